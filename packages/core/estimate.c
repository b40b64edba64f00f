/* estimate.c -- expected run times, from what was observed

   A mean over recent runs, and how far it and the declarations were off, in a
   fixed number of bytes for each kind of task.

   What is learnt of declarations holds for those of their size: a task that
   declares far more than any that ran is another kind of task, and is
   believed.

   Logarithms are in 1/256 of a factor of two, with a linear mantissa: the
   error is under 9%.
*/

#include <string.h>

#include "control.h"

#define MEAN_RUNS 32
#define ERROR_RUNS 16
#define RUNS_TO_TRUST 8
#define LOG_ONE 256

static int32_t
log_of(uint64_t value)
{
    int32_t whole;
    uint64_t mantissa;

    if (value <= 1)
        return 0;
    whole = 63 - __builtin_clzll(value);
    mantissa = whole >= 8 ? value >> (whole - 8) : value << (8 - whole);
    return whole * LOG_ONE + (int32_t)(mantissa & (LOG_ONE - 1));
}

static uint64_t
power_of(int32_t log)
{
    int32_t whole = log / LOG_ONE;
    uint64_t mantissa = (uint64_t)(LOG_ONE + log % LOG_ONE);

    if (log <= 0)
        return 1;
    if (whole > 50)
        return UINT64_C(1) << 50;
    return whole >= 8 ? mantissa << (whole - 8) : mantissa >> (8 - whole);
}

/* The class, two octaves wide, of a declared time. */
static uint32_t
size_of(uint64_t declared_us)
{
    return (uint32_t)(log_of(declared_us) / LOG_ONE / 2);
}

static uint32_t
distance(int32_t a, int32_t b)
{
    return (uint32_t)(a > b ? a - b : b - a);
}

static void
follow(uint32_t *average, uint32_t value)
{
    *average = *average + value / ERROR_RUNS - *average / ERROR_RUNS;
}

static void
record_errors(BwEstimate *estimate, uint64_t ran_us, uint64_t declared_us)
{
    int32_t ran = log_of(ran_us);

    follow(&estimate->error_mean,
           distance(ran, log_of(estimate->mean_us)) * LOG_ONE);
    if (declared_us == 0)
        return;
    follow(&estimate->error_declared,
           distance(ran, log_of(declared_us) + estimate->ratio) * LOG_ONE);
    estimate->ratio +=
        (ran - log_of(declared_us) - estimate->ratio) / ERROR_RUNS;
}

void
BwEstimate_Record(BwEstimate *estimate, uint64_t ran_us, uint64_t declared_us)
{
    uint64_t runs =
        estimate->count < MEAN_RUNS ? estimate->count + 1 : MEAN_RUNS;

    if (estimate->count > 0)
        record_errors(estimate, ran_us, declared_us);
    else if (declared_us > 0)
        estimate->ratio = log_of(ran_us) - log_of(declared_us);
    estimate->mean_us =
        (estimate->mean_us * (runs - 1) + ran_us + runs / 2) / runs;
    estimate->count++;
    if (declared_us > 0 &&
        estimate->sizes[size_of(declared_us)] < RUNS_TO_TRUST)
        estimate->sizes[size_of(declared_us)]++;
}

uint64_t
BwEstimate_Expect(const BwEstimate *estimate, uint64_t declared_us)
{
    uint64_t learnt_us = estimate->mean_us;

    if (estimate->count == 0)
        return declared_us;
    if (declared_us == 0)
        return learnt_us;
    if (estimate->count >= RUNS_TO_TRUST &&
        estimate->error_declared < estimate->error_mean)
        learnt_us = power_of(log_of(declared_us) + estimate->ratio);
    if (learnt_us < declared_us &&
        estimate->sizes[size_of(declared_us)] < RUNS_TO_TRUST)
        return declared_us;
    return learnt_us;
}
