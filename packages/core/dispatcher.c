/* dispatcher.c -- accepts bound jobs, tracks their tasks and answers callers

   A job is copied when it is submitted, and freed when its caller is answered
   or gone.  All tasks that may start are placed, or else the job is refused
   (boundplace.c).  Later only single tasks are placed again, and the job ends
   when one of them has failed or was reassigned too many times, or cannot end
   in time.  What is known of the workers is kept in views.c.
*/

#include <stdlib.h>
#include <string.h>

#include "boundadmission.h"
#include "boundcrash.h"
#include "boundjob.h"
#include "brasswing.h"
#include "forecast.h"
#include "jobobjective.h"
#include "pace.h"

#define REASSIGNMENTS_MAX 24
#define NORMALIZE_INTERVAL_US 1000000
#define RETRY_AFTER_MS 1000 /* when no end could be forecast */
#define RETRY_AFTER_MS_MAX 60000
/* Sums of larger declared run times could overflow. */
#define DECLARED_MAX_US 86400000000ull

/* --------------------------------------------------------------- ends */

static void
free_job(BwBoundJob *job)
{
    free(job->spec);
    free(job->steps);
    free(job->labels);
    free(job->remaining);
    free(job->tasks);
    free(job);
}

/* Sends a STOP to each supervisor that still has tasks of the job. */
static void
stop_tasks(BwDispatcher *d, const BwBoundJob *job)
{
    BwMessage message = {.kind = BW_MSG_STOP};

    message.u.stop.ref = job->ref;
    for (uint32_t i = 0; i < job->task_count; i++) {
        const BwBoundTask *task = &job->tasks[i];
        BwSupervisorView *view = task->view;

        if (task->state != BW_BOUND_TASK_PLACED || view->peer == 0 ||
            task->link_generation != view->link_generation ||
            view->stopped_ref == job->ref)
            continue;
        view->stopped_ref = job->ref;
        d->port->send(d->ctx, view->peer, &message);
    }
}

static void
remove_job(BwDispatcher *d, BwBoundJob *job)
{
    stop_tasks(d, job);
    HASH_DELETE(hh, d->jobs, job);
    HASH_DELETE(by_name, d->jobs_by_name, job);
    free_job(job);
}

/* Returns whether a task of the job is at a supervisor or may have started. */
static bool
has_started(const BwBoundJob *job)
{
    if (job->may_have_run)
        return true;
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state != BW_BOUND_TASK_WAITING)
            return true;
    }
    return false;
}

/* The job would end late by late_us.  Once the workers have done that much of
   what is queued before it, it would end in time.  One that no worker can run
   may come again when a worker for it is back. */
static uint32_t
retry_after_ms(const BwBoundJob *job)
{
    uint64_t after_us = job->return_us > 0 ? job->return_us : job->late_us;
    uint64_t after_ms = (after_us + 999) / 1000;

    if (after_ms == 0)
        return RETRY_AFTER_MS;
    return (uint32_t)(after_ms < RETRY_AFTER_MS_MAX ? after_ms
                                                    : RETRY_AFTER_MS_MAX);
}

static bool
is_completed(const BwBoundJob *job)
{
    return job->done_count == job->task_count;
}

/* Records whether the job was served badly, unless no dispatcher could have
   served it in time: it came when its objective was nearly over, no worker can
   run it, its tasks failed, or its route or tasks crash workers. */
static void
record_class(BwDispatcher *d, uint64_t now_us, const BwBoundJob *job,
             BwBoundEnd end)
{
    bool is_bad = end != BW_BOUND_COMPLETED ||
                  now_us - job->arrived_us + job->waited_us >
                      BwJobObjective_ActualUs(job);

    if (end == BW_BOUND_FAILED || job->is_confined || job->has_crashed ||
        job->arrived_us + job->expected_us > job->due_us ||
        (end == BW_BOUND_REFUSED && job->late_us == 0))
        return;
    BwClassAdmission_Record(
        BwClassAdmission_Of(&d->class_admissions, job->service), now_us,
        job->priority, is_bad);
}

/* Whether a worker that takes tasks has room for one of the job's.  In a large
   fleet only BW_COMPARED_FULL_MAX of them are looked at. */
static bool
has_room(const BwDispatcher *d, const BwBoundJob *job)
{
    uint32_t count = HASH_COUNT(d->views);

    for (uint32_t i = 0; i < count && i < BW_COMPARED_FULL_MAX; i++) {
        if (BwForecast_HasRoom(job, d->view_table[i]))
            return true;
    }
    return false;
}

static void
log_end(BwDispatcher *d, uint64_t now_us, const BwBoundJob *job,
        const char *event, BwBoundEnd end, const char *reason)
{
    BwJobEndReport report = {
        .event = event,
        .end = end,
        .reason = reason,
        .took_us = now_us - job->arrived_us,
        .waited_us = job->waited_us,
        .expected_objective_us =
            BwJobObjective_LatencyUs(job, job->expected_us),
    };

    report.objective_us = is_completed(job) ? BwJobObjective_ActualUs(job)
                                            : report.expected_objective_us;

    BwViews_SumLoad(d, job->service, now_us, &report.free_permille,
                    &report.report_age_us);
    report.has_room = end == BW_BOUND_REFUSED && has_room(d, job);
    d->counters.refused_with_room += report.has_room;
    d->port->log_end(d->ctx, job, &report);
}

void
BwDispatcher_EndJob(BwDispatcher *d, uint64_t now_us, BwBoundJob *job,
                    BwBoundEnd end, const char *reason)
{
    void *data = job->data;
    uint32_t after_ms;

    if (end == BW_BOUND_EXPIRED && !has_started(job))
        end = BW_BOUND_REFUSED;
    if (end == BW_BOUND_REFUSED && job->is_confined && job->late_us == 0) {
        job->return_us = BwBoundCrash_ReturnUs(d, now_us, job);
        reason = "its route is confined, and no worker of the pool is up";
    }
    after_ms = retry_after_ms(job);
    d->counters.completed += end == BW_BOUND_COMPLETED;
    d->counters.failed += end == BW_BOUND_FAILED;
    d->counters.refused += end == BW_BOUND_REFUSED;
    d->counters.expired += end == BW_BOUND_EXPIRED;
    if (end == BW_BOUND_REFUSED && job->wait_permille < 1000 &&
        job->late_us > 0)
        reason = "more urgent jobs are served badly, and no worker can end "
                 "it soon enough";
    record_class(d, now_us, job, end);
    log_end(d, now_us, job, "end", end, reason);
    remove_job(d, job);
    if (data != NULL)
        d->port->answer(d->ctx, data, end,
                        end == BW_BOUND_REFUSED ? after_ms : 0);
}

void
BwDispatcher_PlaceRequeued(BwDispatcher *d, uint64_t now_us, BwBoundJob *job,
                           const char *reason)
{
    uint64_t limit_us = job->deadline_us;

    BwBoundCrash_Prepare(d, now_us, job);
    /* All its tasks were declined, so the job is as if it were new and has to
       meet the limit for new jobs again. */
    if (!has_started(job)) {
        job->was_placed = false;
        limit_us = BwBoundAdmission_LimitUs(job);
    }
    if (!BwBoundPlace_PlaceReady(d, now_us, job, limit_us))
        BwDispatcher_EndJob(d, now_us, job, BW_BOUND_EXPIRED, reason);
}

/* ----------------------------------------------------------- outcomes */

static BwBoundTask *
find_task(BwBoundJob *job, const BwSupervisorView *view, uint32_t step,
          uint32_t index)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        BwBoundTask *task = &job->tasks[i];

        if (task->step == step && task->index == index && task->view == view &&
            task->state == BW_BOUND_TASK_PLACED &&
            task->link_generation == view->link_generation)
            return task;
    }
    return NULL;
}

/* The pace is divided out: what is learnt is for a worker of mean speed. */
static void
learn_run(BwDispatcher *d, const BwBoundJob *job, const BwBoundTask *task)
{
    BwRouteStats_LearnRun(
        &d->route_stats, job->route, job->steps[task->step].declared_us,
        task->ran_us * BW_PACE_MEAN_PERMILLE / task->view->pace_permille);
}

static void
learn_wait(BwDispatcher *d, uint64_t now_us, const BwBoundJob *job,
           const BwBoundTask *task)
{
    uint64_t took_us = now_us - task->placed_us;

    BwRouteStats_LearnWait(&d->route_stats, job->route, task->forecast_us,
                           took_us > task->ran_us ? took_us - task->ran_us
                                                  : 0);
}

static void
on_done(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, BwBoundTask *task,
        uint64_t ran_us)
{
    task->state = BW_BOUND_TASK_DONE;
    if (task->crashes > 0)
        BwSuspects_Clear(&d->suspects, job->name, task->step, task->index);
    task->ran_us = ran_us;
    learn_wait(d, now_us, job, task);
    learn_run(d, job, task);
    job->remaining[task->step]--;
    if (++job->done_count == job->task_count)
        BwViews_UpdatePaces(job);
}

/* Returns how the job ends because of a failed task, or BW_BOUND_COMPLETED
   while it can go on.  On a worker that has failed other tasks lately, the
   failure is put down to the worker and does not count as an attempt.  The
   load report that came with the outcome counts this failure already. */
static BwBoundEnd
on_failed(BwBoundJob *job, BwBoundTask *task)
{
    bool is_worker_failing =
        BwOutcomes_HasFailedRepeatedly(&task->view->health.outcomes);

    job->may_have_run = true;
    task->state = BW_BOUND_TASK_WAITING;
    task->avoided = task->view;
    task->view = NULL;
    if (!is_worker_failing)
        task->failures++;
    else
        task->reassignments++;
    if (task->failures >= job->attempts_max)
        return BW_BOUND_FAILED;
    return task->reassignments < REASSIGNMENTS_MAX ? BW_BOUND_COMPLETED
                                                   : BW_BOUND_EXPIRED;
}

BwBoundEnd
BwDispatcher_RequeueTask(BwDispatcher *d, BwBoundJob *job, BwBoundTask *task,
                         uint32_t kind, uint32_t reason)
{
    job->may_have_run |= kind != BW_OUTCOME_NOT_RUN;
    task->state = BW_BOUND_TASK_WAITING;
    task->avoided = reason == BW_DECLINE_BUSY ? NULL : task->view;
    task->view = NULL;
    d->counters.bounced += kind == BW_OUTCOME_NOT_RUN;
    d->counters.lost += kind == BW_OUTCOME_LOST || kind == BW_OUTCOME_CRASHED;
    d->counters.crashed += kind == BW_OUTCOME_CRASHED;
    return ++task->reassignments < REASSIGNMENTS_MAX ? BW_BOUND_COMPLETED
                                                     : BW_BOUND_EXPIRED;
}

void
BwDispatcher_OnOutcome(BwDispatcher *d, uint64_t now_us,
                       BwSupervisorView *view, const BwOutcome *outcome)
{
    BwBoundJob *job;
    BwBoundEnd end = BW_BOUND_COMPLETED;

    HASH_FIND(hh, d->jobs, &outcome->ref, sizeof(outcome->ref), job);
    if (job == NULL)
        return;
    for (uint32_t i = 0; i < outcome->task_count && end == BW_BOUND_COMPLETED;
         i++) {
        const BwTaskOutcome *result = &outcome->tasks[i];
        BwBoundTask *task = find_task(job, view, outcome->step, result->index);

        if (task == NULL)
            continue;
        if (result->kind == BW_OUTCOME_DONE) {
            on_done(d, now_us, job, task, result->ran_us);
        }
        else if (result->kind == BW_OUTCOME_FAILED) {
            end = on_failed(job, task);
        }
        else {
            if (result->kind == BW_OUTCOME_NOT_RUN &&
                result->reason == BW_DECLINE_BUSY)
                learn_wait(d, now_us, job, task);
            end = BwDispatcher_RequeueTask(d, job, task, result->kind,
                                           result->reason);
        }
    }
    if (end != BW_BOUND_COMPLETED)
        BwDispatcher_EndJob(d, now_us, job, end,
                            end == BW_BOUND_FAILED
                                ? "a task failed in all its attempts"
                                : "a task was reassigned too many times");
    else if (is_completed(job))
        BwDispatcher_EndJob(d, now_us, job, BW_BOUND_COMPLETED,
                            "all tasks are done");
    else
        BwDispatcher_PlaceRequeued(d, now_us, job,
                                   "no worker can end it in time");
}

/* --------------------------------------------------------------- jobs */

static char *
copy_label(char *at, BwSpan *span)
{
    memcpy(at, span->base, span->size_bytes);
    span->base = at;
    return at + span->size_bytes;
}

static bool
copy_steps(BwBoundJob *job, const BwBoundRequest *request)
{
    size_t label_bytes = 1;
    uint32_t next = 0;
    char *at;

    for (uint32_t i = 0; i < request->step_count; i++) {
        label_bytes += request->steps[i].requirement.size_bytes +
                       request->steps[i].affinity.size_bytes;
        job->task_count += request->steps[i].task_count;
    }
    if (job->task_count > BW_JOB_TASKS_MAX)
        return false;
    job->step_count = request->step_count;
    job->steps = calloc(job->step_count + 1, sizeof(*job->steps));
    job->remaining = calloc(job->step_count + 1, sizeof(*job->remaining));
    job->tasks = calloc(job->task_count + 1, sizeof(*job->tasks));
    job->labels = malloc(label_bytes);
    if (job->steps == NULL || job->remaining == NULL || job->tasks == NULL ||
        job->labels == NULL)
        return false;
    memcpy(job->steps, request->steps, job->step_count * sizeof(*job->steps));
    at = job->labels;
    for (uint32_t i = 0; i < job->step_count; i++) {
        BwBoundStep *step = &job->steps[i];

        if (step->requirement.size_bytes > 0)
            at = copy_label(at, &step->requirement);
        if (step->affinity.size_bytes > 0)
            at = copy_label(at, &step->affinity);
        if (step->declared_us > DECLARED_MAX_US)
            step->declared_us = DECLARED_MAX_US;
        job->remaining[i] = step->task_count;
        for (uint32_t j = 0; j < step->task_count; j++) {
            job->tasks[next].step = i;
            job->tasks[next++].index = j;
        }
    }
    return true;
}

static BwBoundJob *
make_job(BwDispatcher *d, uint64_t now_us, BwSpan name,
         const BwBoundRequest *request, const BwRoute *route,
         uint64_t deadline_us, uint64_t waited_us, void *data)
{
    BwBoundJob *job = calloc(1, sizeof(*job));

    if (job == NULL)
        return NULL;
    BwSpan_ToString(name, job->name, sizeof(job->name));
    strcpy(job->service, route->service);
    strcpy(job->route, route->name);
    job->priority = route->priority;
    job->attempts_max = route->attempts_max > 0 ? route->attempts_max : 1;
    job->arrived_us = now_us;
    job->deadline_us = deadline_us;
    job->data = data;
    job->spec_bytes = request->spec.size_bytes;
    job->spec = malloc(request->spec.size_bytes + 1);
    if (job->spec == NULL || !copy_steps(job, request) ||
        job->task_count == 0) {
        free_job(job);
        return NULL;
    }
    memcpy(job->spec, request->spec.base, request->spec.size_bytes);
    job->waited_us = waited_us;
    job->target_us = route->target_us;
    job->stretch_permille = route->stretch_permille;
    job->expected_us = BwRouteStats_ExpectedUs(&d->route_stats, job->route,
                                               BwJobObjective_DeclaredUs(job));
    job->due_us =
        now_us - waited_us + BwJobObjective_LatencyUs(job, job->expected_us);
    job->wait_permille = BwClassAdmission_WaitPermille(
        BwClassAdmission_Of(&d->class_admissions, job->service), now_us,
        job->priority);
    job->ref = ++d->last_ref;
    return job;
}

/* Calls to workers carry the name as text, so it has to be printable ASCII
   without spaces. */
static bool
is_name(BwSpan name)
{
    for (uint32_t i = 0; i < name.size_bytes; i++) {
        if (name.base[i] <= ' ' || name.base[i] > '~')
            return false;
    }
    return name.size_bytes > 0 && name.size_bytes < BW_NAME_BYTES_MAX;
}

/* Places a job of which nothing was placed yet.  Returns false when it was
   refused instead. */
static bool
place_new(BwDispatcher *d, uint64_t now_us, BwBoundJob *job)
{
    uint64_t limit_us = BwBoundAdmission_LimitUs(job);

    BwBoundCrash_Prepare(d, now_us, job);
    if (BwBoundPlace_IsRunnable(d, job, now_us) &&
        BwBoundPlace_PlaceReady(d, now_us, job, limit_us))
        return true;
    if (now_us < limit_us &&
        (now_us < d->limits.forming_until_us ||
         BwViews_AreReconnecting(d, job->service, now_us)))
        return true;
    BwDispatcher_EndJob(d, now_us, job, BW_BOUND_EXPIRED,
                        "no worker can end it in time");
    return false;
}

uint64_t
BwDispatcher_Submit(BwDispatcher *d, uint64_t now_us, BwSpan name,
                    const BwBoundRequest *request, const BwRoute *route,
                    uint64_t deadline_us, uint64_t allowed_us, void *data)
{
    uint64_t waited_us =
        allowed_us > 0 ? BwRouteStats_CallerWaitedUs(&d->route_stats,
                                                     route->name, allowed_us)
                       : 0;
    BwBoundJob *job = NULL;
    BwBoundJob *duplicate = BwDispatcher_FindName(d, name);
    BwBoundEnd end;
    uint64_t ref;

    d->counters.submitted++;
    if (duplicate == NULL && is_name(name) &&
        HASH_COUNT(d->jobs) < d->limits.jobs)
        job = make_job(d, now_us, name, request, route, deadline_us, waited_us,
                       data);
    if (job == NULL) {
        d->counters.refused++;
        d->counters.not_admitted++;
        d->port->answer(d->ctx, data, BW_BOUND_REFUSED, RETRY_AFTER_MS);
        return 0;
    }
    ref = job->ref;
    HASH_ADD(hh, d->jobs, ref, sizeof(job->ref), job);
    HASH_ADD_KEYPTR(by_name, d->jobs_by_name, job->name, strlen(job->name),
                    job);
    end = BwBoundCrash_Admit(d, now_us, job);
    if (end != BW_BOUND_COMPLETED) {
        BwDispatcher_EndJob(d, now_us, job, end,
                            "two workers crashed under a task before");
        return 0;
    }
    return place_new(d, now_us, job) ? ref : 0;
}

void
BwDispatcher_Withdraw(BwDispatcher *d, uint64_t now_us, uint64_t ref)
{
    BwBoundJob *job;

    HASH_FIND(hh, d->jobs, &ref, sizeof(ref), job);
    if (job == NULL)
        return;
    d->counters.withdrawn++;
    log_end(d, now_us, job, "withdraw", BW_BOUND_EXPIRED,
            "the caller is gone");
    remove_job(d, job);
}

BwBoundJob *
BwDispatcher_FindName(BwDispatcher *d, BwSpan name)
{
    BwBoundJob *job;

    HASH_FIND(by_name, d->jobs_by_name, name.base, name.size_bytes, job);
    return job;
}

bool
BwBoundJob_IsRunning(const BwBoundJob *job)
{
    return job->was_placed;
}

uint32_t
BwDispatcher_CountWaiting(const BwDispatcher *d, const char *route)
{
    uint32_t count = 0;

    for (const BwBoundJob *job = d->jobs; job != NULL; job = job->hh.next)
        count += !job->was_placed && strcmp(job->route, route) == 0;
    return count;
}

/* --------------------------------------------------------------- time */

void
BwDispatcher_Tick(BwDispatcher *d, uint64_t now_us)
{
    BwBoundJob *job, *next;

    if (now_us - d->normalized_us >= NORMALIZE_INTERVAL_US) {
        d->normalized_us = now_us;
        BwViews_NormalizePaces(d);
    }
    for (BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next) {
        if (view->gone_us != 0 && now_us >= view->gone_us)
            BwViews_RequeueUnknown(d, now_us, view);
        BwViews_EvaluateHealth(d, now_us, view);
    }
    BwViews_EvictStale(d, now_us);
    BwBoundCrash_Tick(d, now_us);
    HASH_ITER(hh, d->jobs, job, next)
    {
        if (now_us >= job->deadline_us)
            BwDispatcher_EndJob(d, now_us, job, BW_BOUND_EXPIRED,
                                "the deadline passed");
        else if (!job->was_placed && !has_started(job))
            place_new(d, now_us, job);
    }
}

void
BwDispatcher_EndAll(BwDispatcher *d, uint64_t now_us)
{
    BwBoundJob *job, *next;

    HASH_ITER(hh, d->jobs, job, next)
    {
        BwDispatcher_EndJob(d, now_us, job, BW_BOUND_EXPIRED,
                            "the process stops");
    }
}

void
BwDispatcher_Init(BwDispatcher *d, const BwDispatcherLimits *limits,
                  const BwDispatcherPort *port, void *ctx)
{
    memset(d, 0, sizeof(*d));
    d->limits = *limits;
    d->port = port;
    d->ctx = ctx;
    BwRandom_Init(&d->random, limits->random_seed);
}

void
BwDispatcher_Finish(BwDispatcher *d)
{
    BwBoundJob *job, *next_job;
    BwSupervisorView *view, *next_view;

    HASH_ITER(hh, d->jobs, job, next_job)
    {
        HASH_DELETE(hh, d->jobs, job);
        HASH_DELETE(by_name, d->jobs_by_name, job);
        free_job(job);
    }
    HASH_CLEAR(by_peer, d->views_by_peer);
    HASH_ITER(hh, d->views, view, next_view)
    {
        HASH_DEL(d->views, view);
        free(view);
    }
    free(d->view_table);
    BwClassAdmission_Finish(&d->class_admissions);
    BwSuspects_Finish(&d->suspects);
    BwConfinement_Finish(&d->confinements);
    BwRouteStats_Finish(&d->route_stats);
}
