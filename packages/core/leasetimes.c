/* leasetimes.c -- lengths of session and lease, see leasetimes.h */

#include <stddef.h>

#include "driver.h"
#include "leasetimes.h"

#define SESSION_PREFERRED_MS 500
#define LEASE_PREFERRED_MS 400
/* Three renewals must fit, each with some ticks of the event loops. */
#define SESSION_MIN_MS 150
#define LEASE_MIN_MS 120
/* Delay of a stop's order and of the poll that shows its effect. */
#define STOP_DELAY_MS 70
/* A process ends by itself this long before the host would kill it: a share of
   the grace, and at least STOP_MARGIN_MIN_MS. */
#define STOP_MARGIN_PERMILLE 50
#define STOP_MARGIN_MIN_MS 300

static uint64_t
with_drift(uint64_t lease_ms)
{
    return lease_ms * BW_LEASE_DRIFT_PERMILLE / 1000;
}

uint64_t
BwLeaseTimes_StopEffectMs(const BwLeaseBounds *bounds)
{
    return bounds->stop_ms + STOP_DELAY_MS;
}

uint64_t
BwLeaseTimes_EndMs(const BwLeaseTimes *times, const BwLeaseBounds *bounds)
{
    return times->session_ms + BwLeaseTimes_StopEffectMs(bounds) +
           with_drift(times->worker_lease_ms);
}

uint64_t
BwLeaseTimes_ResendMinMs(const BwLeaseBounds *bounds)
{
    static const BwLeaseTimes least = {SESSION_MIN_MS, LEASE_MIN_MS};

    return BwLeaseTimes_EndMs(&least, bounds);
}

const char *
BwLeaseTimes_Derive(BwLeaseTimes *times, const BwLeaseBounds *bounds)
{
    uint64_t stop_ms = BwLeaseTimes_StopEffectMs(bounds);
    uint64_t needed_ms;
    uint64_t left_ms;

    times->session_ms = SESSION_PREFERRED_MS;
    times->worker_lease_ms = bounds->lease_max_ms < LEASE_PREFERRED_MS
                                 ? bounds->lease_max_ms
                                 : LEASE_PREFERRED_MS;
    if (times->worker_lease_ms < LEASE_MIN_MS)
        return "worker_lease_max_ms";
    if (bounds->resend_ms < BwLeaseTimes_ResendMinMs(bounds))
        return "resend_ms";
    left_ms = bounds->resend_ms - stop_ms;
    needed_ms = times->session_ms + with_drift(times->worker_lease_ms);
    if (needed_ms <= left_ms)
        return NULL;
    times->worker_lease_ms = times->worker_lease_ms * left_ms / needed_ms;
    if (times->worker_lease_ms < LEASE_MIN_MS)
        times->worker_lease_ms = LEASE_MIN_MS;
    times->session_ms = left_ms - with_drift(times->worker_lease_ms);
    return NULL;
}

uint64_t
BwLeaseTimes_PlannedStopMs(uint64_t grace_ms)
{
    uint64_t margin_ms = grace_ms * STOP_MARGIN_PERMILLE / 1000;

    if (margin_ms < STOP_MARGIN_MIN_MS)
        margin_ms = STOP_MARGIN_MIN_MS;
    return margin_ms < grace_ms / 2 ? grace_ms - margin_ms : grace_ms / 2;
}
