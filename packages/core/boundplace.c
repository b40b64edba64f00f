/* boundplace.c -- chooses the workers that run the tasks of a bound job

   Placement takes the eligible worker that is expected to end the task first,
   with a small penalty for busy workers so that load spreads (forecast.h).
   All tasks that may start are assigned before any is sent, so they are placed
   together or not at all.

   Workers are compared from a random one on.  The comparison ends after
   BW_COMPARED_MAX of them when one near the task's data has free resources,
   and after BW_COMPARED_FULL_MAX when one could run the task at all.  The best
   of a sample this large is nearly as good as the best of all, and a task of
   which only few workers have the label is still compared at every one.

   dispatcher.c calls this when a job arrives and when tasks are requeued or
   their earlier steps are done.
*/

#include <stdlib.h>
#include <string.h>

#include "boundadmission.h"
#include "boundcrash.h"
#include "boundjob.h"
#include "brasswing.h"
#include "forecast.h"

/* A task that was reassigned this many times may wait in a worker's queue,
   even where its resources seem to be free. */
#define WAIT_AFTER_REASSIGNMENTS 3
/* Added to twice the forecast wait, once for each time that the task was
   placed: a wait that proves too short is not repeated for ever. */
#define WAIT_SLACK_US 5000

/* ------------------------------------------------------------- choice */

/* Counts the unfinished tasks of the step at each view, if the step limits
   them. */
static void
count_step_tasks(BwDispatcher *d, const BwBoundJob *job, uint32_t step)
{
    if (job->steps[step].spread_max == 0)
        return;
    for (BwSupervisorView *view = d->views; view != NULL; view = view->hh.next)
        view->step_task_count = 0;
    for (uint32_t i = 0; i < job->task_count; i++) {
        const BwBoundTask *task = &job->tasks[i];

        if (task->view != NULL && task->step == step &&
            task->state != BW_BOUND_TASK_DONE)
            task->view->step_task_count++;
    }
}

/* Returns whether the best of the views that were compared is good enough. */
static bool
is_compared_enough(uint32_t compared, uint32_t eligible,
                   const BwForecast *best)
{
    if (compared >= BW_COMPARED_FULL_MAX && eligible > 0)
        return true;
    return compared >= BW_COMPARED_MAX && best->end_us != BW_NEVER_US &&
           best->wait_us == 0 && !best->is_far;
}

/* Returns the view with the least cost for the task, or NULL when the task can
   end nowhere in time.  Then *late_us is how far past `limit_us` the earliest
   end is, or 0 when no view is eligible.  The view to avoid is taken only if
   there is no other.  Sets how long the task may wait there. */
static BwSupervisorView *
pick_view(BwDispatcher *d, const BwBoundJob *job, BwBoundTask *task,
          const BwExpectation *expected, uint64_t now_us, uint64_t limit_us,
          uint64_t *late_us)
{
    BwSupervisorView *best = NULL, *fallback = NULL;
    uint64_t soonest_us = BW_NEVER_US;
    BwForecast best_forecast = BwForecast_None(),
               fallback_forecast = BwForecast_None();
    uint32_t count = HASH_COUNT(d->views);
    uint32_t first =
        count > BW_COMPARED_MAX ? BwRandom_Below(&d->random, count) : 0;
    uint32_t eligible = 0;

    for (uint32_t i = 0;
         i < count && !is_compared_enough(i, eligible, &best_forecast); i++) {
        BwSupervisorView *view = d->view_table[(first + i) % count];
        BwForecast forecast = BwForecast_At(job, task, view, expected, now_us);

        eligible += forecast.end_us != BW_NEVER_US;
        if (forecast.end_us < soonest_us)
            soonest_us = forecast.end_us;
        /* The limit is for tasks that would wait, since these delay other
           jobs.  Where resources are free the deadline is enough. */
        if (forecast.end_us == BW_NEVER_US ||
            forecast.end_us >
                (forecast.wait_us == 0 ? job->deadline_us : limit_us))
            continue;
        if (view == task->avoided) {
            fallback = view;
            fallback_forecast = forecast;
            continue;
        }
        if (forecast.cost_us >= best_forecast.cost_us)
            continue;
        best = view;
        best_forecast = forecast;
    }
    if (best == NULL) {
        best = fallback;
        best_forecast = fallback_forecast;
    }
    if (best == NULL)
        *late_us = soonest_us == BW_NEVER_US
                       ? 0
                       : BwBoundJob_TimeLeft(soonest_us, limit_us);
    task->forecast_us = best_forecast.report_us;
    task->wait_us = best_forecast.wait_us;
    if (best_forecast.wait_us > 0 ||
        task->reassignments >= WAIT_AFTER_REASSIGNMENTS)
        task->wait_us = 2 * best_forecast.wait_us +
                        WAIT_SLACK_US * (1 + task->reassignments);
    return best;
}

/* ----------------------------------------------------------- messages */

/* Returns a lower bound of the supervisor's clock, allowing for drift.  A
   PLACE renews the session from that time on, because a supervisor without
   tasks asks for a renewal only rarely. */
static uint64_t
supervisor_clock(const BwSupervisorView *view, uint64_t now_us)
{
    return view->supervisor_clock_us +
           (now_us - view->clock_read_us) * 1000 / BW_LEASE_DRIFT_PERMILLE;
}

/* Sends the view a PLACE with the tasks of its list, and empties that. */
static void
send_place(BwDispatcher *d, uint64_t now_us, BwBoundJob *job,
           BwSupervisorView *view, uint32_t step_index, uint64_t run_us)
{
    const BwBoundStep *step = &job->steps[step_index];
    BwMessage message = {.kind = BW_MSG_PLACE};
    BwPlace *place = &message.u.place;
    BwTaskIndex *tasks = d->place_tasks;
    uint32_t count = 0;

    for (BwBoundTask *task = view->first_assigned; task != NULL;
         task = task->next_at_view) {
        task->state = BW_BOUND_TASK_PLACED;
        task->link_generation = view->link_generation;
        task->placed_us = now_us;
        if (task->wait_us > place->wait_us)
            place->wait_us = task->wait_us;
        tasks[count++].index = task->index;
    }
    place->number = ++view->place_number;
    /* One entry counts all steps that were assigned together, so it lasts
       until the supervisor has read the last of their PLACEs. */
    view->in_flight[view->in_flight_count - 1].number = place->number;
    place->ref = job->ref;
    place->job = BwSpan_FromString(job->name);
    place->spec.base = job->spec;
    place->spec.size_bytes = job->spec_bytes;
    place->service = BwSpan_FromString(job->service);
    place->route = BwSpan_FromString(job->route);
    place->requirement = step->requirement;
    place->resources = step->resources;
    place->step = step_index;
    place->priority = job->priority;
    place->spread_max = step->spread_max;
    place->is_exclusive = job->is_exclusive;
    place->requested_us = supervisor_clock(view, now_us);
    view->session_renewed_us = now_us;
    place->expected_us = run_us;
    place->due_in_us =
        BwBoundJob_TimeLeft(BwBoundAdmission_LimitUs(job), now_us + run_us);
    place->deadline_in_us = BwBoundJob_TimeLeft(job->deadline_us, now_us);
    place->tasks = tasks;
    place->task_count = count;
    job->was_placed = true;
    d->counters.placed += count;
    d->port->log(d->ctx, "place", job, view, count, "earliest expected end");
    d->port->send(d->ctx, view->peer, &message);
    view->first_assigned = NULL;
    view->last_assigned = NULL;
}

/* --------------------------------------------------------- assignment */

static bool
is_step_ready(const BwBoundJob *job, uint32_t step)
{
    for (uint32_t i = 0; i < step; i++) {
        if ((job->steps[step].after >> i & 1) != 0 && job->remaining[i] > 0)
            return false;
    }
    return true;
}

/* Returns whether the task is assigned to a view and not sent yet. */
static bool
is_assigned(const BwBoundTask *task, uint32_t step)
{
    return task->step == step && task->state == BW_BOUND_TASK_WAITING &&
           task->view != NULL;
}

/* Assigns every waiting task of the step to a view and counts them.  Returns
   false when one of them cannot end in time. */
static bool
assign_step(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, uint32_t step,
            uint64_t limit_us, uint32_t *count)
{
    const BwResources *need = &job->steps[step].resources;
    BwExpectation expected = BwForecast_ExpectStep(&d->route_stats, job, step);

    *count = 0;
    count_step_tasks(d, job, step);
    for (uint32_t i = 0; i < job->task_count; i++) {
        BwBoundTask *task = &job->tasks[i];

        if (task->step != step || task->state != BW_BOUND_TASK_WAITING)
            continue;
        task->view = pick_view(d, job, task, &expected, now_us, limit_us,
                               &job->late_us);
        if (task->view == NULL)
            return false;
        BwViews_AddInFlight(task->view, need);
        if (job->is_exclusive)
            task->view->exclusive_ref = job->ref;
        task->view->step_task_count++;
        ++*count;
    }
    return true;
}

/* Undoes the assignment of all tasks that were not sent. */
static void
unassign(BwBoundJob *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        BwBoundTask *task = &job->tasks[i];
        const BwResources *need = &job->steps[task->step].resources;

        if (!is_assigned(task, task->step))
            continue;
        BwViews_RemoveInFlight(task->view, need);
        task->view = NULL;
    }
}

/* Appends every assigned task of the step to the list of its view. */
static void
list_assigned(BwBoundJob *job, uint32_t step)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        BwBoundTask *task = &job->tasks[i];
        BwSupervisorView *view = task->view;

        if (!is_assigned(task, step))
            continue;
        task->next_at_view = NULL;
        if (view->first_assigned == NULL)
            view->first_assigned = task;
        else
            view->last_assigned->next_at_view = task;
        view->last_assigned = task;
    }
}

static void
send_step(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, uint32_t step)
{
    uint64_t run_us = BwForecast_StepRunUs(&d->route_stats, job, step);

    list_assigned(job, step);
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (is_assigned(&job->tasks[i], step))
            send_place(d, now_us, job, job->tasks[i].view, step, run_us);
    }
}

bool
BwBoundPlace_PlaceReady(BwDispatcher *d, uint64_t now_us, BwBoundJob *job,
                        uint64_t limit_us)
{
    uint32_t counts[BW_STEPS_MAX] = {0};

    for (uint32_t step = 0; step < job->step_count; step++) {
        if (job->remaining[step] > 0 && is_step_ready(job, step) &&
            !assign_step(d, now_us, job, step, limit_us, &counts[step])) {
            unassign(job);
            return false;
        }
    }
    for (uint32_t step = 0; step < job->step_count; step++) {
        if (counts[step] > 0)
            send_step(d, now_us, job, step);
    }
    return true;
}

bool
BwBoundPlace_IsRunnable(BwDispatcher *d, const BwBoundJob *job,
                        uint64_t now_us)
{
    uint32_t first = 0;
    uint64_t late_us;

    for (uint32_t step = 0; step < job->step_count; step++) {
        BwExpectation expected =
            BwForecast_ExpectStep(&d->route_stats, job, step);

        count_step_tasks(d, job, step);
        if (job->remaining[step] > 0 &&
            pick_view(d, job, &job->tasks[first], &expected, now_us,
                      BW_NEVER_US, &late_us) == NULL)
            return false;
        first += job->remaining[step];
    }
    return true;
}
