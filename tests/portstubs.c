/* portstubs.c -- callbacks of the core's ports that do nothing */

#include "portstubs.h"

void
PortStub_DropMessage(void *ctx, uint32_t peer, const BwMessage *message)
{
    (void)ctx;
    (void)peer;
    (void)message;
}

void
PortStub_DropDecision(void *ctx, const char *event, const BwBoundJob *job,
                      const BwSupervisorView *view, uint32_t count,
                      const char *reason)
{
    (void)ctx;
    (void)event;
    (void)job;
    (void)view;
    (void)count;
    (void)reason;
}

void
PortStub_DropJobEnd(void *ctx, const BwBoundJob *job,
                    const BwJobEndReport *report)
{
    (void)ctx;
    (void)job;
    (void)report;
}

bool
PortStub_DropOrder(void *ctx, uint64_t number, const BwTaskOrder *order)
{
    (void)ctx;
    (void)number;
    (void)order;
    return true;
}

bool
PortStub_DropPoll(void *ctx, uint64_t number, const BwPollOrder *order)
{
    (void)ctx;
    (void)number;
    (void)order;
    return true;
}

void
PortStub_DropTaskEvent(void *ctx, const char *event, const BwWorkerTask *task,
                       uint32_t count, const char *reason)
{
    (void)ctx;
    (void)event;
    (void)task;
    (void)count;
    (void)reason;
}

void
PortStub_DropWorkerEvent(void *ctx, const char *event, uint32_t count,
                         const char *reason)
{
    (void)ctx;
    (void)event;
    (void)count;
    (void)reason;
}

void
PortStub_DropRouteEvent(void *ctx, const char *event, const char *service,
                        const char *route, const char *reason)
{
    (void)ctx;
    (void)event;
    (void)service;
    (void)route;
    (void)reason;
}
