/* taskloop.h -- an h2o event loop with a tick and a message queue

   A process runs one event loop in its main thread and may run others, each
   in a thread of its own.  The code on a loop owns its sockets and its state:
   threads share nothing and send each other messages instead, so callbacks
   need no locks.  The tick replaces a timer for each deadline, at the cost of
   a delay of up to BW_TASK_TICK_MS.
*/

#ifndef BW_TASKLOOP_H
#define BW_TASKLOOP_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include <h2o.h>

#define BW_TASK_TICK_MS 10

typedef struct BwTaskLoop BwTaskLoop;

/* Header of a message; the first field of each message's struct. */
typedef struct BwMail {
    h2o_multithread_message_t super;
    int kind; /* chosen by the code that posts and receives it */
} BwMail;

typedef struct BwTaskEvents {
    /* Receives a message and owns it from then on; release it with free. */
    void (*on_mail)(void *ctx, BwMail *message);
    /* Called about every BW_TASK_TICK_MS. */
    void (*on_tick)(void *ctx);
} BwTaskEvents;

struct BwTaskLoop {
    h2o_loop_t *loop;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
    h2o_timeout_t tick;
    h2o_timeout_entry_t tick_entry;
    const BwTaskEvents *events;
    void *ctx;
    pthread_t thread;
    atomic_bool is_stopping;
};

/* Creates the loop.  Sockets may be opened on it before it runs.  `events`
   must live as long as the loop. */
void
BwTaskLoop_Init(BwTaskLoop *event_loop, const BwTaskEvents *events, void *ctx);

/* Runs the loop in the calling thread until BwTaskLoop_Stop. */
void
BwTaskLoop_Run(BwTaskLoop *event_loop);

/* Runs the loop in a new thread.  Returns false when none can be created. */
bool
BwTaskLoop_Start(BwTaskLoop *event_loop);

/* Makes BwTaskLoop_Run return within a tick.  May be called from any
   thread. */
void
BwTaskLoop_Stop(BwTaskLoop *event_loop);

/* Waits for the end of the thread that BwTaskLoop_Start created. */
void
BwTaskLoop_Join(BwTaskLoop *event_loop);

/* Sends a message, allocated by malloc, to the loop; on_mail frees it.  May be
   called from any thread. */
void
BwTaskLoop_Post(BwTaskLoop *event_loop, BwMail *message);

#endif
