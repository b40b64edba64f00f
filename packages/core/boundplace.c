/* boundplace.c -- where the tasks of a bound job run

   Placement looks at every worker that fits and takes the one expected to end
   the task first: its foreseen wait, from the account of room and queue that
   came with its supervisor's last answer less what is under way there, and
   the run time at its pace.  All that may start is assigned before anything
   is sent, so a job is placed whole or not at all.  Looking at all workers
   costs a step for each; a dispatcher is connected to a few hundred at most.
*/

#include <stdlib.h>
#include <string.h>

#include "boundjob.h"
#include "brasswing.h"
#include "pace.h"
#include "room.h"

#define RELEASE_MIN_US 5000          /* until a full worker frees room */
#define REASSIGNMENTS_WITHOUT_WAIT 3 /* after which a task waits at a worker  \
                                      */
#define WAIT_SLACK_US 20000          /* beyond twice the foreseen wait */
#define AFFINITY_MISS_PERMILLE 1500
#define LOAD_COST_PERMILLE 100
#define URGENT_LIMIT_PERMILLE 1200
#define LIMIT_PERMILLE 850
#define NEVER UINT64_MAX

/* ---------------------------------------------------------- foresight */

/* One that is probed takes a single task. */
static bool
is_idle(const BwView *view)
{
    return view->in_flight_count == 0 &&
           BwRoom_Fits(&view->capacity, &view->free);
}

static bool
accepts_tasks(const BwView *view)
{
    return view->peer != 0 && view->is_usable && view->answered_us != 0 &&
           !view->health.is_ejected &&
           (!view->health.is_probing || is_idle(view));
}

static bool
has_free_resources(const BwView *view, const BwRoom *need, const BwRoom *room,
                   uint32_t priority)
{
    uint32_t queued = priority == 0 ? view->queued_urgent : view->queued;

    return queued == 0 && BwRoom_Fits(need, room);
}

static bool
view_has_label(const BwView *view, BwSpan label)
{
    return BwLabel_IsMet(label, view->labels, view->label_count);
}

static uint64_t
view_pace(const BwView *view)
{
    return view->slow_permille > view->pace_permille ? view->slow_permille
                                                     : view->pace_permille;
}

static uint64_t
saturating_sub(uint64_t from_us, uint64_t now_us)
{
    return from_us > now_us ? from_us - now_us : 0;
}

/* What would become of a task at a view. */
typedef struct Forecast {
    uint64_t wait_us; /* for room */
    uint64_t end_us;  /* NEVER when the view cannot take it */
    uint64_t cost_us; /* time, and a part that spreads load */
} Forecast;

static bool
is_eligible(const BwBoundJob *job, const BwPiece *task, const BwView *view)
{
    const BwBoundStep *step = &job->steps[task->step];

    return accepts_tasks(view) && strcmp(view->service, job->service) == 0 &&
           BwRoom_Fits(&step->room, &view->capacity) &&
           view_has_label(view, step->requirement) &&
           (step->spread_max == 0 || view->step_task_count < step->spread_max);
}

static Forecast
forecast_at(const BwBoundJob *job, const BwPiece *task, const BwView *view,
            uint64_t run_us, uint64_t now_us)
{
    const BwBoundStep *step = &job->steps[task->step];
    Forecast forecast = {0, NEVER, NEVER};
    uint64_t used_milli;
    uint32_t ahead;
    BwRoom room;

    if (!is_eligible(job, task, view))
        return forecast;
    room = BwViews_FreeResources(view, job->priority, &ahead);
    if (!has_free_resources(view, &step->room, &room, job->priority))
        forecast.wait_us =
            (ahead + 1) * (view->release_us > RELEASE_MIN_US ? view->release_us
                                                             : RELEASE_MIN_US);
    run_us = run_us * view_pace(view) / BW_PACE_MEAN_PERMILLE;
    if (!view_has_label(view, step->affinity))
        run_us = run_us * AFFINITY_MISS_PERMILLE / 1000;
    used_milli = view->capacity.cpu_milli - room.cpu_milli;
    forecast.end_us = now_us + forecast.wait_us + run_us;
    forecast.cost_us = forecast.wait_us + run_us +
                       run_us * LOAD_COST_PERMILLE / 1000 * used_milli /
                           (view->capacity.cpu_milli + 1);
    return forecast;
}

/* ------------------------------------------------------------- choice */

/* Counts the step's tasks at each view. */
static void
count_step_tasks(BwDispatcher *d, const BwBoundJob *job, uint32_t step)
{
    if (job->steps[step].spread_max == 0)
        return;
    for (BwView *view = d->views; view != NULL; view = view->hh.next)
        view->step_task_count = 0;
    for (uint32_t i = 0; i < job->task_count; i++) {
        const BwPiece *task = &job->tasks[i];

        if (task->view != NULL && task->step == step &&
            task->state != BW_BOUND_TASK_DONE)
            task->view->step_task_count++;
    }
}

/* Picks the view that ends the task first, or NULL when none ends it by
   `limit_us`; *late_us is then by how much.  The one to avoid is taken when
   there is no other. */
static BwView *
pick_view(BwDispatcher *d, const BwBoundJob *job, BwPiece *task,
          uint64_t run_us, uint64_t now_us, uint64_t limit_us,
          uint64_t *late_us)
{
    BwView *best = NULL, *fallback = NULL;
    uint64_t soonest_us = NEVER;
    Forecast best_forecast = {0, NEVER, NEVER},
             fallback_forecast = {0, NEVER, NEVER};

    for (BwView *view = d->views; view != NULL; view = view->hh.next) {
        Forecast forecast = forecast_at(job, task, view, run_us, now_us);

        if (forecast.end_us < soonest_us)
            soonest_us = forecast.end_us;
        /* Room that is free is given: only waiting keeps others waiting. */
        if (forecast.end_us == NEVER ||
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
        *late_us =
            soonest_us == NEVER ? 0 : saturating_sub(soonest_us, limit_us);
    task->wait_us = best_forecast.wait_us;
    if (best_forecast.wait_us > 0 ||
        task->reassignments >= REASSIGNMENTS_WITHOUT_WAIT)
        task->wait_us = 2 * best_forecast.wait_us + WAIT_SLACK_US;
    return best;
}

/* ----------------------------------------------------------- messages */

uint64_t
BwBoundPlace_AdmissionLimit(const BwBoundJob *job)
{
    uint64_t objective_us = job->due_us - job->arrived_us;
    uint64_t limit_us =
        job->arrived_us +
        objective_us *
            (job->priority == 0 ? URGENT_LIMIT_PERMILLE : LIMIT_PERMILLE) /
            1000;

    return limit_us < job->deadline_us ? limit_us : job->deadline_us;
}

static uint64_t
step_run_us(BwDispatcher *d, const BwBoundJob *job, uint32_t step)
{
    return BwViews_ExpectedUs(d, job->route, job->steps[step].declared_us);
}

/* Returns the supervisor's clock, at most: a PLACE renews the session as if it
   had been asked for now, since without tasks it is asked for rarely. */
static uint64_t
supervisor_clock(const BwView *view, uint64_t now_us)
{
    return view->supervisor_clock_us +
           (now_us - view->clock_read_us) * 1000 / BW_LEASE_DRIFT_PERMILLE;
}

/* Sends the tasks of a step that were assigned to the view and not sent. */
static void
send_place(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, BwView *view,
           uint32_t step_index, uint64_t run_us)
{
    const BwBoundStep *step = &job->steps[step_index];
    BwMessage message = {.kind = BW_MSG_PLACE};
    BwPlace *place = &message.u.place;
    BwTaskIndex *tasks = malloc(job->task_count * sizeof(*tasks));
    uint32_t count = 0;

    if (tasks == NULL)
        return;
    for (uint32_t i = 0; i < job->task_count; i++) {
        BwPiece *task = &job->tasks[i];

        if (task->view != view || task->step != step_index ||
            task->state != BW_BOUND_TASK_WAITING)
            continue;
        task->state = BW_BOUND_TASK_PLACED;
        task->link_generation = view->link_generation;
        if (task->wait_us > place->wait_us)
            place->wait_us = task->wait_us;
        tasks[count++].index = task->index;
    }
    place->number = ++view->place_number;
    /* One account serves all steps that were assigned together. */
    view->in_flight[view->in_flight_count - 1].number = place->number;
    place->ref = job->ref;
    place->job = BwSpan_FromString(job->name);
    place->spec.base = job->spec;
    place->spec.size_bytes = job->spec_bytes;
    place->service = BwSpan_FromString(job->service);
    place->requirement = step->requirement;
    place->room = step->room;
    place->step = step_index;
    place->priority = job->priority;
    place->spread_max = step->spread_max;
    place->asked_us = supervisor_clock(view, now_us);
    view->answered_us = now_us;
    place->expected_us = run_us;
    place->due_in_us =
        saturating_sub(BwBoundPlace_AdmissionLimit(job), now_us + run_us);
    place->deadline_in_us = saturating_sub(job->deadline_us, now_us);
    place->tasks = tasks;
    place->task_count = count;
    job->was_placed = true;
    d->counters.placed += count;
    d->port->log(d->ctx, "place", job, view, count, "ends first");
    d->port->send(d->ctx, view->peer, &message);
    free(tasks);
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

static bool
is_assigned(const BwPiece *task, uint32_t step)
{
    return task->step == step && task->state == BW_BOUND_TASK_WAITING &&
           task->view != NULL;
}

/* Assigns every waiting task of the step and counts them.  Returns false when
   one cannot end by the limit. */
static bool
assign_step(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, uint32_t step,
            uint64_t limit_us, uint32_t *count)
{
    const BwRoom *room = &job->steps[step].room;
    uint64_t run_us = step_run_us(d, job, step);

    *count = 0;
    count_step_tasks(d, job, step);
    for (uint32_t i = 0; i < job->task_count; i++) {
        BwPiece *task = &job->tasks[i];

        if (task->step != step || task->state != BW_BOUND_TASK_WAITING)
            continue;
        task->view =
            pick_view(d, job, task, run_us, now_us, limit_us, &job->late_us);
        if (task->view == NULL)
            return false;
        BwViews_AddInFlight(task->view, room);
        task->view->step_task_count++;
        ++*count;
    }
    return true;
}

/* Takes back what was assigned and not sent. */
static void
unassign(BwBoundJob *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        BwPiece *task = &job->tasks[i];
        const BwRoom *room = &job->steps[task->step].room;

        if (!is_assigned(task, task->step))
            continue;
        BwViews_RemoveInFlight(task->view, room);
        task->view = NULL;
    }
}

static void
send_step(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, uint32_t step)
{
    for (BwView *view = d->views; view != NULL; view = view->hh.next) {
        for (uint32_t i = 0; i < job->task_count; i++) {
            if (is_assigned(&job->tasks[i], step) &&
                job->tasks[i].view == view) {
                send_place(d, now_us, job, view, step,
                           step_run_us(d, job, step));
                break;
            }
        }
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
        count_step_tasks(d, job, step);
        if (job->remaining[step] > 0 &&
            pick_view(d, job, &job->tasks[first], step_run_us(d, job, step),
                      now_us, NEVER, &late_us) == NULL)
            return false;
        first += job->remaining[step];
    }
    return true;
}
