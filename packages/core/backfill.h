/* backfill.h -- which waiting tasks may overtake one that does not fit yet

   Where whatever fits is started, small tasks take each gap as it opens, and a
   task that needs several gaps at once waits as long as small ones come.  EASY
   backfilling reserves room for the first task in queue order that does not
   fit: it is to start when enough of the tasks that run are expected to have
   ended.  Another task may overtake it if it is expected to end by then, or if
   what it needs is left over beside the reserved task.  So a gap is used as
   long as something fits into it that does not delay the first.

   Only the first has a reservation: one for each waiting task (conservative
   backfilling) leaves more gaps empty where run times are estimates.  When the
   expected time passes and the task still does not fit, since tasks take
   longer than expected, nothing overtakes it any more: it waits for those that
   run by then, and no later arrival.

   The load that this answers: small tasks at four fifths of the room and more,
   with large ones among them.

   Pure: values only, no clock.  State is one reservation for each worker.
   workertasks.c calls this when it starts queued tasks.
*/

#ifndef BW_BACKFILL_H
#define BW_BACKFILL_H

#include <stdbool.h>

#include "messages.h"

/* How the tasks of a worker's queue may overtake each other. */
typedef enum BwBackfillPolicy {
    BW_BACKFILL_GREEDY, /* whatever fits is started */
    BW_BACKFILL_EASY,   /* the first that does not fit has a reservation */
} BwBackfillPolicy;

/* A task on the worker, and when it is expected to end. */
typedef struct BwExpectedEnd {
    uint64_t end_us;
    BwResources resources;
} BwExpectedEnd;

/* Room reserved for a task that does not fit yet. */
typedef struct BwReservation {
    uint64_t start_us; /* when the task is expected to fit */
    BwResources spare; /* left over beside it then */
} BwReservation;

/* Reserves room for a task that needs no more than the worker has.  Sorts
   `ends`, which lists all tasks on the worker; `free` is what they leave. */
BwReservation
BwBackfill_Reserve(const BwResources *free, BwExpectedEnd *ends,
                   uint32_t count, const BwResources *need, uint64_t now_us);

/* Whether a task that fits now and is expected to end at `end_us` may overtake
   the one with the reservation.  It is taken out of the spare room if it uses
   that. */
bool
BwBackfill_MayOvertake(BwReservation *reservation, const BwResources *need,
                       uint64_t end_us);

#endif
