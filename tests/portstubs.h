/* portstubs.h -- callbacks of the core's ports that do nothing

   Tests use them for the callbacks whose effects they do not check. */

#ifndef PORTSTUBS_H
#define PORTSTUBS_H

#include "dispatcher.h"
#include "supervisor.h"

void
PortStub_DropMessage(void *ctx, uint32_t peer, const BwMessage *message);

void
PortStub_DropDecision(void *ctx, const char *event, const BwBoundJob *job,
                      const BwView *view, uint32_t count, const char *reason);

/* Returns true, as if the start or stop was sent. */
bool
PortStub_DropOrder(void *ctx, uint64_t number, const BwTaskOrder *order);

/* Returns true, as if the poll was sent. */
bool
PortStub_DropHold(void *ctx, uint64_t number, const BwHoldOrder *order);

void
PortStub_DropSeat(void *ctx, const char *event, const BwSeat *task,
                  uint32_t count, const char *reason);

#endif
