/* estimate.c -- expected run times, from observed and declared ones

   Keeps, for each kind of task and in constant memory, a moving mean of the
   run time, the usual ratio of observed to declared run time, and the mean
   errors of both as estimates.  The better of the two is used.

   Observations make the estimate shorter than the declaration only if its size
   class has been observed often enough: a task that declares far more than any
   before is of another kind, and its declaration is used as it stands.

   Times are compared as base-2 logarithms in units of 1/256 with a linear
   mantissa; the error is under 9%.

   Called by submission.c for estimates and by home.c with observed run times.
*/

#include <string.h>

#include "control.h"

/* The moving averages weigh a new run with 1 / window. */
#define MEAN_WINDOW_RUNS 32
#define ERROR_WINDOW_RUNS 16
/* The errors, and a size class, are used from this many runs on. */
#define RELIABLE_RUNS_MIN 8
#define LOG2_UNIT 256

static int32_t
fixed_log2(uint64_t value)
{
    int32_t whole;
    uint64_t mantissa;

    if (value <= 1)
        return 0;
    whole = 63 - __builtin_clzll(value);
    mantissa = whole >= 8 ? value >> (whole - 8) : value << (8 - whole);
    return whole * LOG2_UNIT + (int32_t)(mantissa & (LOG2_UNIT - 1));
}

static uint64_t
fixed_exp2(int32_t log)
{
    int32_t whole = log / LOG2_UNIT;
    uint64_t mantissa = (uint64_t)(LOG2_UNIT + log % LOG2_UNIT);

    if (log <= 0)
        return 1;
    if (whole > 50)
        return UINT64_C(1) << 50;
    return whole >= 8 ? mantissa << (whole - 8) : mantissa >> (8 - whole);
}

/* Returns the size class of a declared time; a class spans a factor of 4. */
static uint32_t
size_class(uint64_t declared_us)
{
    return (uint32_t)(fixed_log2(declared_us) / LOG2_UNIT / 2);
}

static uint32_t
absolute_difference(int32_t a, int32_t b)
{
    return (uint32_t)(a > b ? a - b : b - a);
}

static void
update_average(uint32_t *average, uint32_t value)
{
    *average =
        *average + value / ERROR_WINDOW_RUNS - *average / ERROR_WINDOW_RUNS;
}

static void
record_errors(BwEstimate *estimate, uint64_t ran_us, uint64_t declared_us)
{
    int32_t ran = fixed_log2(ran_us);

    update_average(&estimate->error_mean,
                   absolute_difference(ran, fixed_log2(estimate->mean_us)) *
                       LOG2_UNIT);
    if (declared_us == 0)
        return;
    update_average(
        &estimate->error_declared,
        absolute_difference(ran, fixed_log2(declared_us) + estimate->ratio) *
            LOG2_UNIT);
    estimate->ratio +=
        (ran - fixed_log2(declared_us) - estimate->ratio) / ERROR_WINDOW_RUNS;
}

void
BwEstimate_Record(BwEstimate *estimate, uint64_t ran_us, uint64_t declared_us)
{
    uint64_t runs = estimate->count < MEAN_WINDOW_RUNS ? estimate->count + 1
                                                       : MEAN_WINDOW_RUNS;

    if (estimate->count > 0)
        record_errors(estimate, ran_us, declared_us);
    else if (declared_us > 0)
        estimate->ratio = fixed_log2(ran_us) - fixed_log2(declared_us);
    estimate->mean_us =
        (estimate->mean_us * (runs - 1) + ran_us + runs / 2) / runs;
    estimate->count++;
    if (declared_us > 0 &&
        estimate->runs_by_size[size_class(declared_us)] < RELIABLE_RUNS_MIN)
        estimate->runs_by_size[size_class(declared_us)]++;
}

uint64_t
BwEstimate_Expect(const BwEstimate *estimate, uint64_t declared_us)
{
    uint64_t expected_us = estimate->mean_us;

    if (estimate->count == 0)
        return declared_us;
    if (declared_us == 0)
        return expected_us;
    if (estimate->count >= RELIABLE_RUNS_MIN &&
        estimate->error_declared < estimate->error_mean)
        expected_us = fixed_exp2(fixed_log2(declared_us) + estimate->ratio);
    if (expected_us < declared_us &&
        estimate->runs_by_size[size_class(declared_us)] < RELIABLE_RUNS_MIN)
        return declared_us;
    return expected_us;
}
