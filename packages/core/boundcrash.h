/* boundcrash.h -- keeps tasks that crash workers away from the others

   Supervisors report what ran on a worker when it crashed.  From that a
   dispatcher decides three things:

   - A task under which BW_CRASHES_MAX workers have crashed is not started
     again, at this or, after its job was handed in again, at any dispatcher.
     Its job fails if the task is proved to be the cause (suspects.h).
   - A suspect runs alone, at a worker of the pool, while its route is confined
     or the cause of several crashes is not known yet.  After a single crash it
     runs as before: most crashes have other causes, and the limit above holds.
   - While the cause of several crashes is open, each route has workers of its
     own.  A confined route (confinement.h) uses the workers of the pool only,
   and the other routes use the others.  A job that finds no worker there is
     refused at once, until a worker of the pool is back.

   The pool takes the workers that crashed first in the present series, which
   every dispatcher learns by itself, so that the pools of all dispatchers are
   nearly the same without a further message.  It is filled up in an order that
   is the same everywhere.

   dispatcher.c, views.c and boundplace.c call these functions.
*/

#ifndef BW_BOUNDCRASH_H
#define BW_BOUNDCRASH_H

#include "dispatcher.h"

/* Handles a crash report of the view's supervisor.  Jobs may end. */
void
BwBoundCrash_OnReport(BwDispatcher *dispatcher, uint64_t now_us,
                      BwSupervisorView *view, const BwCrash *crash);

/* The view's worker accepts tasks again, or does no longer. */
void
BwBoundCrash_OnUsable(BwDispatcher *dispatcher, uint64_t now_us,
                      BwSupervisorView *view);

/* Sets what a new job's tasks are known for.  Returns how the job has to end
   at once, or BW_BOUND_COMPLETED when it may be placed. */
BwBoundEnd
BwBoundCrash_Admit(BwDispatcher *dispatcher, uint64_t now_us, BwBoundJob *job);

/* Sets whether the job is confined and exclusive; to be called before it is
   placed. */
void
BwBoundCrash_Prepare(BwDispatcher *dispatcher, uint64_t now_us,
                     BwBoundJob *job);

/* Returns whether the job may run at that worker. */
bool
BwBoundCrash_Allows(const BwBoundJob *job, const BwSupervisorView *view);

/* Returns the time until a worker for a confined job is expected to be back,
   0 if one is up. */
uint64_t
BwBoundCrash_ReturnUs(const BwDispatcher *dispatcher, uint64_t now_us,
                      const BwBoundJob *job);

/* Confines and releases routes and maintains the pools.  To be called
   regularly. */
void
BwBoundCrash_Tick(BwDispatcher *dispatcher, uint64_t now_us);

#endif
