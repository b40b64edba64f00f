/* loopwatch.h -- notices an event loop that stood still, and steps of the wall
   clock

   What waits for time is done in the ticks of an event loop: reads of the
   store, timeouts, renewals of leases.  Messages are handled without them, so
   a process whose ticks stop looks alive to its callers.  The watch is told of
   each tick, logs a gap or a step once it is over, and counts them.

     loop_stalled gap_ms=N              no tick for N ms
     clock_stepped back_ms=N            the wall clock went back, or
     clock_stepped ahead_ms=N           ahead, against the monotonic clock

   Suspension of the host is a gap without a step, since both clocks go on.
*/

#ifndef BW_LOOPWATCH_H
#define BW_LOOPWATCH_H

#include <stdint.h>

#include "counters.h"
#include "log.h"

typedef struct BwLoopWatch {
    uint64_t ticked_us; /* the last tick, monotonic; 0: none yet */
    uint64_t wall_us;   /* the same by the wall clock */
    uint64_t stalls;
    uint64_t longest_gap_us;
    uint64_t clock_steps;
} BwLoopWatch;

/* Records a tick at `now_us` of the monotonic and `wall_us` of the wall
   clock. */
void
BwLoopWatch_Tick(BwLoopWatch *watch, const BwLogger *logger, uint64_t now_us,
                 uint64_t wall_us);

/* Writes up to `capacity` counters after the first `count`; returns how many
   there are. */
uint32_t
BwLoopWatch_Counters(const BwLoopWatch *watch, BwCounter *list, uint32_t count,
                     uint32_t capacity);

#endif
