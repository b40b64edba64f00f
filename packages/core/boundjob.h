/* boundjob.h -- functions for bound jobs, shared by dispatcher.c, views.c and
   boundplace.c only */

#ifndef BW_BOUNDJOB_H
#define BW_BOUNDJOB_H

#include "dispatcher.h"

/* Returns the time from `now_us` until then, 0 if that is over. */
static inline uint64_t
BwBoundJob_TimeLeft(uint64_t until_us, uint64_t now_us)
{
    return until_us > now_us ? until_us - now_us : 0;
}

/* Stops the job's tasks, frees the job and answers its caller.  A job that
   expires before any task may have started counts as refused.  `reason` is the
   log text. */
void
BwDispatcher_EndJob(BwDispatcher *dispatcher, uint64_t now_us, BwBoundJob *job,
                    BwBoundEnd end, const char *reason);

/* Places all tasks that wait and may start, or ends the job as expired if one
   of them cannot end in time. */
void
BwDispatcher_PlaceRequeued(BwDispatcher *dispatcher, uint64_t now_us,
                           BwBoundJob *job, const char *reason);

/* Requeues a task that did not end at its view: it waits to be reassigned.
   `kind` is a BwOutcomeKind and `reason` a BwDeclineReason.  Returns
   BW_BOUND_COMPLETED while the job can go on, or how it ends after too many
   reassignments. */
BwBoundEnd
BwDispatcher_RequeueTask(BwDispatcher *dispatcher, BwBoundJob *job,
                         BwBoundTask *task, uint32_t kind, uint32_t reason);

/* Handles an OUTCOME of the view's supervisor.  The job may end, and is then
   freed. */
void
BwDispatcher_OnOutcome(BwDispatcher *dispatcher, uint64_t now_us,
                       BwSupervisorView *view, const BwOutcome *outcome);

/* The functions below are in views.c. */

/* Updates the paces of the workers that ran the job, step by step. */
void
BwViews_UpdatePaces(const BwBoundJob *job);

/* Scales the paces of the connected workers so that their mean is
   BW_PACE_MEAN_PERMILLE. */
void
BwViews_NormalizePaces(BwDispatcher *dispatcher);

/* Returns the worker's free resources less those of tasks in flight to it.
   Sets `tasks_ahead` to the number of tasks that a new one of that priority
   would wait behind. */
BwResources
BwViews_FreeResources(const BwSupervisorView *view, uint32_t priority,
                      uint32_t *tasks_ahead);

/* Counts a task that needs these resources in the next PLACE to the view, or
   takes it out again before that is sent. */
void
BwViews_AddInFlight(BwSupervisorView *view, const BwResources *need);

void
BwViews_RemoveInFlight(BwSupervisorView *view, const BwResources *need);

/* Sets the share of the service's capacity that is free at usable workers, by
   their last load reports less the tasks sent since, and the mean age of these
   reports.  In a large fleet both are estimated from BW_COMPARED_FULL_MAX
   workers. */
void
BwViews_SumLoad(BwDispatcher *dispatcher, const char *service, uint64_t now_us,
                uint32_t *free_permille, uint64_t *report_age_us);

/* Ejects a worker that fails most of its tasks while others of its service do
   not, or lets an ejected one be probed when its back-off is over. */
void
BwViews_EvaluateHealth(BwDispatcher *dispatcher, uint64_t now_us,
                       BwSupervisorView *view);

/* Whether no worker of the service accepts tasks and one did a moment ago.  A
   host that was held up for longer than a session finds the connections to all
   supervisors ended, and they are up again within some tens of milliseconds;
   what cannot be placed meanwhile is worth the wait. */
bool
BwViews_AreReconnecting(const BwDispatcher *dispatcher, const char *service,
                        uint64_t now_us);

/* Requeues the tasks that were placed over earlier connections, since they can
   no longer be running, unless all workers are reconnecting; it is then tried
   again at the next tick.  Jobs that cannot go on end. */
void
BwViews_RequeueUnknown(BwDispatcher *dispatcher, uint64_t now_us,
                       BwSupervisorView *view);

/* Frees the views that have been disconnected for 20 minutes and that no job
   refers to. */
void
BwViews_EvictStale(BwDispatcher *dispatcher, uint64_t now_us);

/* The functions below are in boundplace.c. */

/* Places all waiting tasks whose earlier steps are done.  Returns false, with
   nothing sent, when one of them cannot end by `limit_us`. */
bool
BwBoundPlace_PlaceReady(BwDispatcher *dispatcher, uint64_t now_us,
                        BwBoundJob *job, uint64_t limit_us);

/* Returns whether each step has a worker that could run one of its tasks, at
   whatever time. */
bool
BwBoundPlace_IsRunnable(BwDispatcher *dispatcher, const BwBoundJob *job,
                        uint64_t now_us);

#endif
