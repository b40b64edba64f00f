/* clock.c -- the monotonic and the wall clock */

#include <time.h>

#include "clock.h"

static uint64_t
read_clock(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
BwClock_Now(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

uint64_t
BwClock_WallNow(void)
{
    return read_clock(CLOCK_REALTIME);
}
