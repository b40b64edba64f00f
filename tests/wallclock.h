/* wallclock.h -- a wall clock that a test can set

   Linked into a test, its gettimeofday takes the place of the C library's,
   also for h2o, whose timers follow it.
*/

#ifndef WALLCLOCK_H
#define WALLCLOCK_H

/* Sets the clock `ahead_s` seconds ahead of the true time, or back where it is
   below 0.  May be called from any thread. */
void
WallClock_Set(int ahead_s);

#endif
