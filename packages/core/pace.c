/* pace.c -- the speed of workers relative to each other, see pace.h */

#include "pace.h"

#define SAMPLE_SHIFT 5 /* weight of a sample in the moving average: 1/32 */
#define SAMPLE_MIN_PERMILLE 400
#define SAMPLE_MAX_PERMILLE 8000
#define PACE_MIN_PERMILLE 300
#define PACE_MAX_PERMILLE 8000

static uint64_t
clamp(uint64_t value, uint64_t low, uint64_t high)
{
    if (value < low)
        return low;
    return value < high ? value : high;
}

/* Returns the run time that the task would have had at mean speed. */
static uint64_t
normalized_run_us(const BwPaceSample *sample)
{
    return sample->ran_us * BW_PACE_MEAN_PERMILLE / *sample->pace_permille;
}

void
BwPace_Compare(const BwPaceSample *samples, uint32_t count)
{
    uint64_t sum_us = 0;

    if (count < 2)
        return;
    for (uint32_t i = 0; i < count; i++)
        sum_us += normalized_run_us(&samples[i]);
    for (uint32_t i = 0; i < count; i++) {
        uint64_t others_us =
            (sum_us - normalized_run_us(&samples[i])) / (count - 1);
        uint32_t *pace = samples[i].pace_permille;
        uint64_t sample;

        if (others_us == 0)
            continue;
        sum_us -= normalized_run_us(&samples[i]);
        sample = clamp(samples[i].ran_us * BW_PACE_MEAN_PERMILLE / others_us,
                       SAMPLE_MIN_PERMILLE, SAMPLE_MAX_PERMILLE);
        *pace = (uint32_t)clamp(
            (((uint64_t)*pace << SAMPLE_SHIFT) - *pace + sample) >>
                SAMPLE_SHIFT,
            PACE_MIN_PERMILLE, PACE_MAX_PERMILLE);
        sum_us += normalized_run_us(&samples[i]);
    }
}

void
BwPace_Normalize(uint32_t *const *paces, uint32_t count)
{
    uint64_t sum = 0;

    for (uint32_t i = 0; i < count; i++)
        sum += *paces[i];
    if (sum == 0)
        return;
    for (uint32_t i = 0; i < count; i++) {
        uint64_t pace =
            (uint64_t)*paces[i] * count * BW_PACE_MEAN_PERMILLE / sum;

        *paces[i] =
            (uint32_t)clamp(pace, PACE_MIN_PERMILLE, PACE_MAX_PERMILLE);
    }
}
