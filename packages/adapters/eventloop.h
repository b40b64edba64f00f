/* eventloop.h -- an h2o event loop with a tick and a message queue

   A process runs one event loop in its main thread and may run others, each
   in a thread of its own.  The code on a loop owns its sockets and its state:
   threads share nothing and send each other messages instead, so callbacks
   need no locks.  The tick replaces a timer for each deadline, at the cost of
   a delay of up to BW_EVENT_LOOP_TICK_MS.

   H2o's timers follow the wall clock: once it is set back, they wait until it
   has caught up.  The loop therefore compares its tick with the monotonic
   clock and restarts a timer that is late.  The timers inside h2o only close
   idle connections; nothing else may depend on a timer of h2o alone.
*/

#ifndef BW_EVENTLOOP_H
#define BW_EVENTLOOP_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include <h2o.h>

#define BW_EVENT_LOOP_TICK_MS 10

typedef struct BwEventLoop BwEventLoop;

/* Header of a message; the first field of each message's struct. */
typedef struct BwThreadMessage {
    h2o_multithread_message_t super;
    int kind; /* chosen by the code that posts and receives it */
} BwThreadMessage;

typedef struct BwLoopEvents {
    /* Receives a message and owns it from then on; release it with free. */
    void (*on_thread_message)(void *ctx, BwThreadMessage *message);
    /* Called about every BW_EVENT_LOOP_TICK_MS. */
    void (*on_tick)(void *ctx);
} BwLoopEvents;

struct BwEventLoop {
    h2o_loop_t *loop;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
    h2o_timeout_t tick;
    h2o_timeout_entry_t tick_entry;
    uint64_t overdue_us; /* the tick should have come long before */
    const BwLoopEvents *events;
    void *ctx;
    pthread_t thread;
    atomic_bool is_stopping;
};

/* Creates the loop.  Sockets may be opened on it before it runs.  `events`
   must live as long as the loop. */
void
BwEventLoop_Init(BwEventLoop *event_loop, const BwLoopEvents *events,
                 void *ctx);

/* Runs the loop in the calling thread until BwEventLoop_Stop. */
void
BwEventLoop_Run(BwEventLoop *event_loop);

/* Runs the loop in a new thread.  Returns false when none can be created. */
bool
BwEventLoop_Start(BwEventLoop *event_loop);

/* Makes BwEventLoop_Run return within a tick.  May be called from any
   thread. */
void
BwEventLoop_Stop(BwEventLoop *event_loop);

/* Waits for the end of the thread that BwEventLoop_Start created. */
void
BwEventLoop_Join(BwEventLoop *event_loop);

/* Sends a message, allocated by malloc, to the loop; on_thread_message frees
   it.  May be called from any thread. */
void
BwEventLoop_Post(BwEventLoop *event_loop, BwThreadMessage *message);

#endif
