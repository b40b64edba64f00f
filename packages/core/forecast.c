/* forecast.c -- how long a task waits and runs at a worker, see forecast.h */

#include <string.h>

#include "boundcrash.h"
#include "boundjob.h"
#include "forecast.h"
#include "pace.h"
#include "resources.h"

/* Least expected wait until a full worker frees resources. */
#define RELEASE_MIN_US 5000
/* Run time of a task on a worker that lacks its affinity label. */
#define AFFINITY_MISS_PERMILLE 1500
/* Share of the run time that is added to the cost of a fully loaded worker. */
#define LOAD_COST_PERMILLE 100

uint64_t
BwForecast_StepRunUs(BwRouteStats **stats, const BwBoundJob *job,
                     uint32_t step)
{
    return BwRouteStats_ExpectedUs(stats, job->route,
                                   job->steps[step].declared_us);
}

BwExpectation
BwForecast_ExpectStep(BwRouteStats **stats, const BwBoundJob *job,
                      uint32_t step)
{
    BwExpectation expected = {BwForecast_StepRunUs(stats, job, step),
                              BwRouteStats_WaitPermille(stats, job->route)};

    return expected;
}

BwForecast
BwForecast_None(void)
{
    BwForecast none = {0, 0, BW_NEVER_US, BW_NEVER_US, true};

    return none;
}

static bool
is_idle(const BwSupervisorView *view)
{
    return view->in_flight_count == 0 &&
           BwResources_Fits(&view->capacity, &view->free);
}

/* Whether no other job is at the worker of an exclusive one. */
static bool
is_free_for(const BwBoundJob *job, const BwSupervisorView *view)
{
    return is_idle(view) ||
           (view->in_flight_count > 0 && view->exclusive_ref == job->ref);
}

/* A worker that is being probed gets a task only when it has none. */
static bool
accepts_tasks(const BwSupervisorView *view)
{
    return view->peer != 0 && view->is_usable && !view->is_evacuated &&
           view->session_renewed_us != 0 && !view->health.is_ejected &&
           (!view->health.is_probing || is_idle(view));
}

static bool
has_free_resources(const BwSupervisorView *view, const BwResources *need,
                   const BwResources *left, uint32_t priority)
{
    uint32_t queued = priority == 0 ? view->queued_urgent : view->queued;

    return queued == 0 && BwResources_Fits(need, left);
}

static bool
view_has_label(const BwSupervisorView *view, BwSpan label)
{
    return BwLabel_IsMet(label, view->labels, view->label_count);
}

static uint64_t
view_pace(const BwSupervisorView *view)
{
    return view->slow_permille > view->pace_permille ? view->slow_permille
                                                     : view->pace_permille;
}

static bool
is_eligible(const BwBoundJob *job, const BwBoundTask *task,
            const BwSupervisorView *view)
{
    const BwBoundStep *step = &job->steps[task->step];

    return accepts_tasks(view) && BwBoundCrash_Allows(job, view) &&
           strcmp(view->service, job->service) == 0 &&
           (!job->is_confined || !job->is_exclusive ||
            is_free_for(job, view)) &&
           BwResources_Fits(&step->resources, &view->capacity) &&
           view_has_label(view, step->requirement) &&
           (step->spread_max == 0 || view->step_task_count < step->spread_max);
}

bool
BwForecast_HasRoom(const BwBoundJob *job, const BwSupervisorView *view)
{
    uint32_t tasks_ahead;
    BwResources left;

    if (!is_eligible(job, &job->tasks[0], view))
        return false;
    left = BwViews_FreeResources(view, job->priority, &tasks_ahead);
    return BwResources_Fits(&job->steps[job->tasks[0].step].resources, &left);
}

BwForecast
BwForecast_At(const BwBoundJob *job, const BwBoundTask *task,
              const BwSupervisorView *view, const BwExpectation *expected,
              uint64_t now_us)
{
    const BwBoundStep *step = &job->steps[task->step];
    BwForecast forecast = BwForecast_None();
    uint64_t run_us;
    uint64_t used_milli;
    uint32_t tasks_ahead;
    BwResources left;

    if (!is_eligible(job, task, view))
        return forecast;
    left = BwViews_FreeResources(view, job->priority, &tasks_ahead);
    if (job->is_exclusive && !is_free_for(job, view))
        forecast.report_us = expected->run_us * (tasks_ahead > 0 ? 2 : 1);
    else if (!has_free_resources(view, &step->resources, &left, job->priority))
        forecast.report_us =
            (tasks_ahead + 1) * (view->release_in_us > RELEASE_MIN_US
                                     ? view->release_in_us
                                     : RELEASE_MIN_US);
    forecast.wait_us = forecast.report_us * expected->wait_permille / 1000;
    run_us = expected->run_us * view_pace(view) / BW_PACE_MEAN_PERMILLE;
    forecast.is_far = !view_has_label(view, step->affinity);
    if (forecast.is_far)
        run_us = run_us * AFFINITY_MISS_PERMILLE / 1000;
    used_milli = view->capacity.cpu_milli - left.cpu_milli;
    forecast.end_us = now_us + forecast.wait_us + run_us;
    forecast.cost_us = forecast.wait_us + run_us +
                       run_us * LOAD_COST_PERMILLE / 1000 * used_milli /
                           (view->capacity.cpu_milli + 1);
    return forecast;
}
