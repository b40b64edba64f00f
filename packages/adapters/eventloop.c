/* eventloop.c -- an h2o event loop with a tick and a message queue */

#include <string.h>

#include "clock.h"
#include "eventloop.h"

/* A tick that has not come by then waits for a clock that was set back. */
#define OVERDUE_US (2 * BW_EVENT_LOOP_TICK_MS * 1000)

static void
on_messages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
    BwEventLoop *event_loop =
        H2O_STRUCT_FROM_MEMBER(BwEventLoop, receiver, receiver);

    while (!h2o_linklist_is_empty(messages)) {
        BwThreadMessage *message = H2O_STRUCT_FROM_MEMBER(
            BwThreadMessage, super.link, messages->next);

        h2o_linklist_unlink(&message->super.link);
        event_loop->events->on_thread_message(event_loop->ctx, message);
    }
}

static void
start_timer(BwEventLoop *event_loop)
{
    event_loop->overdue_us = BwClock_Now() + OVERDUE_US;
    h2o_timeout_link(event_loop->loop, &event_loop->tick,
                     &event_loop->tick_entry);
}

static void
on_tick(h2o_timeout_entry_t *entry)
{
    BwEventLoop *event_loop =
        H2O_STRUCT_FROM_MEMBER(BwEventLoop, tick_entry, entry);

    event_loop->events->on_tick(event_loop->ctx);
    start_timer(event_loop);
}

/* Restarts a timer that is late, as after the wall clock was set back.  The
   tick itself has to come from h2o's loop: before its next turn h2o frees the
   sockets that were closed, even those with a callback pending. */
static void
check_timer(BwEventLoop *event_loop)
{
    if (BwClock_Now() < event_loop->overdue_us)
        return;
    h2o_timeout_unlink(&event_loop->tick_entry);
    start_timer(event_loop);
}

void
BwEventLoop_Init(BwEventLoop *event_loop, const BwLoopEvents *events,
                 void *ctx)
{
    memset(event_loop, 0, sizeof(*event_loop));
    event_loop->events = events;
    event_loop->ctx = ctx;
    event_loop->loop = h2o_evloop_create();
    event_loop->queue = h2o_multithread_create_queue(event_loop->loop);
    h2o_multithread_register_receiver(event_loop->queue, &event_loop->receiver,
                                      on_messages);
    h2o_timeout_init(event_loop->loop, &event_loop->tick,
                     BW_EVENT_LOOP_TICK_MS);
    event_loop->tick_entry.cb = on_tick;
    start_timer(event_loop);
}

void
BwEventLoop_Run(BwEventLoop *event_loop)
{
    while (!atomic_load(&event_loop->is_stopping)) {
        h2o_evloop_run(event_loop->loop, BW_EVENT_LOOP_TICK_MS);
        check_timer(event_loop);
    }
}

static void *
run_thread(void *argument)
{
    BwEventLoop_Run(argument);
    return NULL;
}

bool
BwEventLoop_Start(BwEventLoop *event_loop)
{
    return pthread_create(&event_loop->thread, NULL, run_thread, event_loop) ==
           0;
}

void
BwEventLoop_Stop(BwEventLoop *event_loop)
{
    atomic_store(&event_loop->is_stopping, true);
}

void
BwEventLoop_Join(BwEventLoop *event_loop)
{
    pthread_join(event_loop->thread, NULL);
}

void
BwEventLoop_Post(BwEventLoop *event_loop, BwThreadMessage *message)
{
    memset(&message->super, 0, sizeof(message->super));
    h2o_multithread_send_message(&event_loop->receiver, &message->super);
}
