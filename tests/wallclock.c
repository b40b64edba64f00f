/* wallclock.c -- a wall clock that a test can set, see wallclock.h */

#include <stdatomic.h>
#include <sys/time.h>
#include <time.h>

#include "wallclock.h"

static atomic_int ahead_now_s;

void
WallClock_Set(int ahead_s)
{
    atomic_store(&ahead_now_s, ahead_s);
}

int
gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec real;

    (void)zone;
    clock_gettime(CLOCK_REALTIME, &real);
    now->tv_sec = real.tv_sec + atomic_load(&ahead_now_s);
    now->tv_usec = real.tv_nsec / 1000;
    return 0;
}
