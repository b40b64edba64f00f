/* portstubs.h -- functions of the core's ports that do nothing */

#ifndef PORTSTUBS_H
#define PORTSTUBS_H

#include "dispatcher.h"
#include "supervisor.h"

void
PortStub_DropMessage(void *ctx, uint32_t peer, const BwMessage *message);

void
PortStub_DropDecision(void *ctx, const char *event, const BwBoundJob *job,
                      const BwSupervisorView *view, uint32_t count,
                      const char *reason);

/* A start or a stop, as one that was sent. */
bool
PortStub_DropOrder(void *ctx, uint64_t number, const BwTaskOrder *order);

bool
PortStub_DropHold(void *ctx, uint64_t number, const BwPollOrder *order);

void
PortStub_DropSeat(void *ctx, const char *event, const BwWorkerTask *seat,
                  uint32_t count, const char *reason);

#endif
