/* callerwait.h -- how long a caller has already waited before its request came

   After all dispatchers were gone for a while, callers that found nobody send
   their jobs again beside the new ones.  Most of these come too late to be of
   use to their callers, and would fill the fleet while jobs that could be
   answered in time are refused.  A request does not say when its caller first
   sent it, but it says how much longer the caller will wait.  Callers of a
   route start with similar times, so one that allows clearly less than the
   least usual time has been waiting for about the difference.

   The least usual time is learnt for each route: the lowest of each SAMPLES
   requests is kept, and the middle one of the last PERIODS of these counts.
   So requests that are sent again in great numbers for some seconds do not
   lower it, and when the callers change it follows.  Where callers send a
   constant time the estimate is exact; where their times spread widely it is
   too low or 0, and a request counts as new.

   dispatcher.c uses this for each request.  Times are in microseconds.
*/

#ifndef BW_CALLERWAIT_H
#define BW_CALLERWAIT_H

#include <stdint.h>

#define BW_CALLER_WAIT_PERIODS 8

/* What was learnt of the callers of one route. */
typedef struct BwCallerWait {
    uint64_t lowest_us[BW_CALLER_WAIT_PERIODS]; /* of the last periods */
    uint32_t period_count;
    uint64_t current_lowest_us; /* of the period in progress */
    uint32_t sample_count;      /* in that period */
    uint64_t usual_us; /* least usual time of a new request; 0: not known */
} BwCallerWait;

/* Learns from a request whose caller waits for `allowed_us` more. */
void
BwCallerWait_Learn(BwCallerWait *wait, uint64_t allowed_us);

/* Takes over what another process has learnt, unless something is known. */
void
BwCallerWait_Adopt(BwCallerWait *wait, uint64_t usual_us);

/* Returns how long at least the caller of such a request has waited before. */
uint64_t
BwCallerWait_BeforeUs(const BwCallerWait *wait, uint64_t allowed_us);

#endif
