/* clock.h -- the monotonic and the wall clock */

#ifndef BW_CLOCK_H
#define BW_CLOCK_H

#include <stdint.h>

/* Returns microseconds of the monotonic clock, which counts on while the host
   is suspended and never goes back. */
uint64_t
BwClock_Now(void);

/* Returns the time of day in microseconds since the Unix epoch. */
uint64_t
BwClock_WallNow(void);

#endif
