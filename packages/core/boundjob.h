/* boundjob.h -- a job that is bound to its caller, shared by dispatcher.c,
   views.c and boundplace.c */

#ifndef BW_BOUNDJOB_H
#define BW_BOUNDJOB_H

#include "dispatcher.h"

/* Ends a job and answers its caller; the job is freed. */
void
BwDispatcher_EndJob(BwDispatcher *dispatcher, BwBoundJob *job, BwBoundEnd end,
                    const char *reason);

/* Places tasks that became free again, or gives the job up. */
void
BwDispatcher_PlaceRequeued(BwDispatcher *dispatcher, uint64_t now_us,
                           BwBoundJob *job, const char *reason);

/* Frees a task that did not run at its view.  Returns how the job ends when
   that was too often, or BW_BOUND_COMPLETED. */
BwBoundEnd
BwDispatcher_RequeueTask(BwDispatcher *dispatcher, BwBoundJob *job,
                         BwPiece *task, uint32_t kind, uint32_t reason);

/* Takes what became of tasks at the view; the job may end. */
void
BwDispatcher_OnOutcome(BwDispatcher *dispatcher, uint64_t now_us, BwView *view,
                       const BwOutcome *outcome);

/* The functions below are views.c's. */

/* Returns the run time of a task of the route on a worker of mean speed. */
uint64_t
BwViews_ExpectedUs(BwDispatcher *dispatcher, const char *route,
                   uint64_t declared_us);

/* Learns the run time of a route against the declared one. */
void
BwViews_UpdateEstimate(BwDispatcher *dispatcher, const BwBoundJob *job,
                       const BwPiece *task);

/* Compares the workers that ran the tasks of each step. */
void
BwViews_UpdatePaces(const BwBoundJob *job);

/* Moves the paces of the connected workers back around their mean. */
void
BwViews_NormalizePaces(BwDispatcher *dispatcher);

/* Returns the room that is free once what is under way has come, and the
   number of tasks that a new one of that priority waits for. */
BwRoom
BwViews_FreeResources(const BwView *view, uint32_t priority, uint32_t *ahead);

/* Counts a task among the next PLACE to the view, or takes it out again. */
void
BwViews_AddInFlight(BwView *view, const BwRoom *room);

void
BwViews_RemoveInFlight(BwView *view, const BwRoom *room);

/* Ejects a view that fails most of its tasks, and lets it be probed later. */
void
BwViews_EvaluateHealth(BwDispatcher *dispatcher, uint64_t now_us,
                       BwView *view);

/* Lets tasks of earlier connections start elsewhere. */
void
BwViews_RequeueUnknown(BwDispatcher *dispatcher, uint64_t now_us,
                       BwView *view);

/* Drops views that are long disconnected and that no job refers to. */
void
BwViews_EvictStale(BwDispatcher *dispatcher, uint64_t now_us);

/* The functions below are boundplace.c's. */

/* When the last task has to end, as far as can be foreseen, for the job to be
   taken.  Work that would end late keeps others waiting, so only urgent jobs
   may pass their objective. */
uint64_t
BwBoundPlace_AdmissionLimit(const BwBoundJob *job);

/* Places all that waits and may start.  Returns false, with nothing sent,
   when a task cannot end by the limit. */
bool
BwBoundPlace_PlaceReady(BwDispatcher *dispatcher, uint64_t now_us,
                        BwBoundJob *job, uint64_t limit_us);

/* Whether some worker could run a task of each step. */
bool
BwBoundPlace_IsRunnable(BwDispatcher *dispatcher, const BwBoundJob *job,
                        uint64_t now_us);

#endif
