/* leasetimes.h -- lengths of session and lease, from the bounds of a
   deployment

   A caller sends a bound job again after resend_ms.  By then the tasks that an
   unreachable dispatcher started for it must have ended, so that no task runs
   twice at once.  The supervisor stops them when the dispatcher's session
   ends; a worker that the stop does not reach ends them when its lease runs
   out, which may have been renewed until then.  So

     session + stop + lease with clock drift <= resend

   Long leases bear longer delays of messages.  The lengths are therefore the
   preferred ones where the bounds allow these, and are shortened in proportion
   otherwise.

   settings.c computes the lengths when it reads a file; dispatchers and
   supervisors of a region must use the same.
*/

#ifndef BW_LEASETIMES_H
#define BW_LEASETIMES_H

#include <stdbool.h>
#include <stdint.h>

/* What callers, workers and hosts of a deployment state, in milliseconds. */
typedef struct BwLeaseBounds {
    uint64_t resend_ms;    /* a caller sends a job again no sooner */
    uint64_t lease_max_ms; /* the worker accepts no longer lease */
    uint64_t stop_ms;      /* the worker ends a stopped task within */
} BwLeaseBounds;

typedef struct BwLeaseTimes {
    uint64_t session_ms;
    uint64_t worker_lease_ms;
} BwLeaseTimes;

/* Computes the lengths.  Returns NULL, or the name of the bound that leaves no
   time for them: "resend_ms" or "worker_lease_max_ms". */
const char *
BwLeaseTimes_Derive(BwLeaseTimes *times, const BwLeaseBounds *bounds);

/* Returns within which time an unreachable dispatcher's tasks have ended. */
uint64_t
BwLeaseTimes_EndMs(const BwLeaseTimes *times, const BwLeaseBounds *bounds);

/* Returns the least resend_ms for which lengths exist. */
uint64_t
BwLeaseTimes_ResendMinMs(const BwLeaseBounds *bounds);

/* Returns the time until a stop has certainly taken effect, including the
   delays of the processes that order and notice it. */
uint64_t
BwLeaseTimes_StopEffectMs(const BwLeaseBounds *bounds);

/* Returns how long a planned stop may take on a host that ends a process
   grace_ms after the signal. */
uint64_t
BwLeaseTimes_PlannedStopMs(uint64_t grace_ms);

#endif
