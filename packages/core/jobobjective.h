/* jobobjective.h -- by when a bound job should be answered

   The latency objective of a route is a share of the run time of the job's
   critical path plus a constant.  When a job arrives only the expected run
   time is known, and the objective that follows from it is a forecast.  When
   the job has ended, the objective follows from what its tasks really took, on
   a worker of mean speed, and only by that one was it late or in time.

   dispatcher.c calls these functions.
*/

#ifndef BW_JOBOBJECTIVE_H
#define BW_JOBOBJECTIVE_H

#include "dispatcher.h"

/* Returns the declared run time of the critical path of the job's steps. */
uint64_t
BwJobObjective_DeclaredUs(const BwBoundJob *job);

/* Returns the route's objective for a critical path of that length. */
uint64_t
BwJobObjective_LatencyUs(const BwBoundJob *job, uint64_t path_us);

/* Returns the objective by the run times of the tasks of a job that is
   completed. */
uint64_t
BwJobObjective_ActualUs(const BwBoundJob *job);

#endif
