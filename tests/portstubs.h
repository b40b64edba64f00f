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
                      const BwSupervisorView *view, uint32_t count,
                      const char *reason);

void
PortStub_DropJobEnd(void *ctx, const BwBoundJob *job,
                    const BwJobEndReport *report);

/* Returns true, as if the start or stop was sent. */
bool
PortStub_DropOrder(void *ctx, uint64_t number, const BwTaskOrder *order);

/* Returns true, as if the poll was sent. */
bool
PortStub_DropPoll(void *ctx, uint64_t number, const BwPollOrder *order);

void
PortStub_DropTaskEvent(void *ctx, const char *event, const BwWorkerTask *task,
                       uint32_t count, const char *reason);

void
PortStub_DropRouteEvent(void *ctx, const char *event, const char *service,
                        const char *route, const char *reason);

void
PortStub_DropWorkerEvent(void *ctx, const char *event, uint32_t count,
                         const char *reason);

#endif
