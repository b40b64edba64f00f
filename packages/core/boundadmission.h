/* boundadmission.h -- which bound jobs are accepted, and until when they may
   wait

   A job that would end late takes resources from jobs that could end in time,
   so it is better refused while nothing of it has run.  Two loads decide the
   rules:

   - In a burst a job is accepted when the forecast of its last task leaves
     enough of its slack, the time between its run time and its objective.  The
     forecast cannot know of more urgent jobs that come later, so a job may use
     only a part of its slack for waiting; urgent jobs (priority 0) may use all
     of it.  When more urgent jobs are served badly for seconds, the share
     shrinks (classadmission.h).
   - After a loss of all dispatchers jobs come again that cannot meet their
     objective any more.  Their slack is over, so they run where resources are
     free, since a late answer is of some use, and are refused at once
     otherwise.

   dispatcher.c and boundplace.c ask these functions.
*/

#ifndef BW_BOUNDADMISSION_H
#define BW_BOUNDADMISSION_H

#include "dispatcher.h"

/* Returns the time by which the last task must be expected to end for the job
   to be accepted when it has to wait, never after the deadline. */
uint64_t
BwBoundAdmission_LimitUs(const BwBoundJob *job);

#endif
