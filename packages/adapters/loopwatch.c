/* loopwatch.c -- notices an event loop that stood still, see loopwatch.h */

#include "loopwatch.h"

/* Time without a tick from which on it counts as a stall; below it are a busy
   host and slow callbacks. */
#define STALL_US 500000
/* Difference of the two clocks between two ticks from which on it counts as a
   step; below it the wall clock is being adjusted gradually. */
#define STEP_US 500000

static void
watch_gap(BwLoopWatch *watch, const BwLogger *logger, uint64_t gap_us)
{
    if (gap_us > watch->longest_gap_us)
        watch->longest_gap_us = gap_us;
    if (gap_us < STALL_US)
        return;
    watch->stalls++;
    BW_LOG(logger, BW_LOG_WARNING, "loop_stalled",
           BW_LOG_NUMBER("gap_ms", gap_us / 1000));
}

static void
watch_clock(BwLoopWatch *watch, const BwLogger *logger, uint64_t gap_us,
            uint64_t wall_us)
{
    uint64_t expected_us = watch->wall_us + gap_us;
    uint64_t step_us =
        wall_us > expected_us ? wall_us - expected_us : expected_us - wall_us;

    if (step_us < STEP_US)
        return;
    watch->clock_steps++;
    BW_LOG(logger, BW_LOG_WARNING, "clock_stepped",
           BW_LOG_NUMBER(wall_us > expected_us ? "ahead_ms" : "back_ms",
                         step_us / 1000));
}

void
BwLoopWatch_Tick(BwLoopWatch *watch, const BwLogger *logger, uint64_t now_us,
                 uint64_t wall_us)
{
    if (watch->ticked_us != 0) {
        uint64_t gap_us = now_us - watch->ticked_us;

        watch_gap(watch, logger, gap_us);
        watch_clock(watch, logger, gap_us, wall_us);
    }
    watch->ticked_us = now_us;
    watch->wall_us = wall_us;
}

uint32_t
BwLoopWatch_Counters(const BwLoopWatch *watch, BwCounter *list, uint32_t count,
                     uint32_t capacity)
{
    count = BwCounters_Add(
        list, count, capacity, "brasswing_loop_stalls_total",
        "Times that the event loop stood still", BW_COUNTER, watch->stalls);
    count =
        BwCounters_Add(list, count, capacity, "brasswing_loop_longest_gap_ms",
                       "Longest time between two ticks since the start",
                       BW_GAUGE, watch->longest_gap_us / 1000);
    return BwCounters_Add(list, count, capacity, "brasswing_clock_steps_total",
                          "Steps of the wall clock", BW_COUNTER,
                          watch->clock_steps);
}
