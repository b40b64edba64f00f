/* callerwait.c -- how long a caller has already waited, see callerwait.h */

#include "callerwait.h"

#define SAMPLES 32 /* requests in a period */
/* The times of new requests spread to this share below the least usual one. */
#define TOLERANCE_PERMILLE 50

/* Returns the middle one of the periods' lowest times. */
static uint64_t
find_middle(const BwCallerWait *wait)
{
    uint32_t count = wait->period_count < BW_CALLER_WAIT_PERIODS
                         ? wait->period_count
                         : BW_CALLER_WAIT_PERIODS;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t below = 0, equal = 0;

        for (uint32_t j = 0; j < count; j++) {
            below += wait->lowest_us[j] < wait->lowest_us[i];
            equal += wait->lowest_us[j] == wait->lowest_us[i];
        }
        if (below <= count / 2 && count / 2 < below + equal)
            return wait->lowest_us[i];
    }
    return 0;
}

void
BwCallerWait_Learn(BwCallerWait *wait, uint64_t allowed_us)
{
    if (wait->sample_count == 0 || allowed_us < wait->current_lowest_us)
        wait->current_lowest_us = allowed_us;
    if (++wait->sample_count < SAMPLES)
        return;
    wait->lowest_us[wait->period_count++ % BW_CALLER_WAIT_PERIODS] =
        wait->current_lowest_us;
    wait->sample_count = 0;
    wait->usual_us = find_middle(wait);
}

void
BwCallerWait_Adopt(BwCallerWait *wait, uint64_t usual_us)
{
    if (wait->period_count > 0 || usual_us == 0)
        return;
    /* As if it had been learnt here, so that what follows changes it only
       gradually. */
    for (uint32_t i = 0; i < BW_CALLER_WAIT_PERIODS; i++)
        wait->lowest_us[i] = usual_us;
    wait->period_count = BW_CALLER_WAIT_PERIODS;
    wait->usual_us = usual_us;
}

uint64_t
BwCallerWait_BeforeUs(const BwCallerWait *wait, uint64_t allowed_us)
{
    uint64_t least_us =
        wait->usual_us - wait->usual_us * TOLERANCE_PERMILLE / 1000;

    return allowed_us < least_us ? least_us - allowed_us : 0;
}
