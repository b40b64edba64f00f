/* jobcancels.h -- cancels of jobs that run at other dispatchers

   A DELETE may reach any dispatcher.  One that does not know the job asks all
   the others, and answers as soon as one has cancelled it, or when none has
   it. When a dispatcher does not answer in time, or has been lost shortly
   before, it may be unreachable from here only: then the supervisors are told
   as well, which end the job's tasks and decline further ones, and the job
   counts as unknown.  A cancelled job is announced to all dispatchers, which
   answer a late repetition of its request with its end.

   Weighed in docs/design/cancelling.md.  The price is a message to each other
   dispatcher for each cancel, and for each DELETE of an unknown job; the
   latter have a budget, beyond which they are refused for the time being.

   The dispatcher's role owns it and gives it the events below.
*/

#ifndef BW_JOBCANCELS_H
#define BW_JOBCANCELS_H

#include "node.h"

typedef enum BwCancelResult {
    BW_CANCEL_DONE,
    BW_CANCEL_UNKNOWN, /* no dispatcher has the job */
} BwCancelResult;

typedef struct BwJobCancelEvents {
    /* Cancels the job if it is here, and remembers it.  Returns whether it was
       here, or is remembered as cancelled. */
    bool (*cancel)(void *ctx, BwSpan queue, BwSpan name);
    /* Another dispatcher has cancelled the job. */
    void (*remember)(void *ctx, BwSpan queue, BwSpan name);
    /* The answer to BwJobCancels_Ask, with its `data`. */
    void (*answer)(void *ctx, void *data, BwCancelResult result);
} BwJobCancelEvents;

/* A DELETE that waits for the answers of others. */
typedef struct BwCancelAsk {
    uint64_t number;
    uint64_t until_us;
    char queue[BW_NAME_BYTES_MAX];
    char name[BW_NAME_BYTES_MAX];
    uint32_t waiting; /* dispatchers that have not answered */
    bool is_link_lost;
    void *data;
    struct BwCancelAsk *prev, *next;
} BwCancelAsk;

typedef struct BwJobCancels {
    BwNode *node;
    const BwJobCancelEvents *events;
    void *ctx;
    BwCancelAsk *asks; /* list, the oldest first */
    uint64_t last_number;
    uint64_t lost_us; /* when the last dispatcher was lost; 0: never */
    uint64_t budget;  /* messages that may still be sent for unknown jobs */
    uint64_t budget_us;
    uint64_t asked; /* counters: DELETEs that were asked for */
    uint64_t refused;
    uint64_t escalated; /* those that supervisors were told of */
} BwJobCancels;

/* `node` and `events` must outlive it. */
void
BwJobCancels_Init(BwJobCancels *cancels, BwNode *node,
                  const BwJobCancelEvents *events, void *ctx);

/* Frees the open questions without an answer. */
void
BwJobCancels_Finish(BwJobCancels *cancels);

/* Asks the other dispatchers to cancel a job that is unknown here.  The answer
   comes by the event, possibly from inside this call, after at most half a
   second.  Returns false when the budget is used up. */
bool
BwJobCancels_Ask(BwJobCancels *cancels, uint64_t now_us, BwSpan queue,
                 BwSpan name, void *data);

/* The caller of the question with that `data` has gone. */
void
BwJobCancels_Drop(BwJobCancels *cancels, const void *data);

/* Tells the other dispatchers that the job has been cancelled here. */
void
BwJobCancels_Announce(BwJobCancels *cancels, BwSpan queue, BwSpan name);

/* A connection to another dispatcher has ended. */
void
BwJobCancels_OnDown(BwJobCancels *cancels, uint64_t now_us);

/* Handles a message of another dispatcher.  Returns false for one that is not
   about cancels. */
bool
BwJobCancels_OnMessage(BwJobCancels *cancels, uint64_t now_us, uint32_t link,
                       const BwMessage *message);

void
BwJobCancels_Tick(BwJobCancels *cancels, uint64_t now_us);

#endif
