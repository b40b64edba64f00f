/* labcounters.c -- counters over the records of an experiment

   A rule is a counter that must be 0.  The rules allow for delays.  Tasks of a
   lost dispatcher, of a lost supervisor or of a caller that disconnected must
   have ended when callers may resend their jobs (RESEND_US).  Processes learn
   of a new configuration or of a draining worker with a delay, so a run counts
   as a violation only if its job was sent more than CONFIG_DELAY_US after the
   publication, or if it started more than DRAIN_DELAY_US after the drain.
*/

#include <stdlib.h>
#include <string.h>

#include "configlog.h"
#include "labcounters.h"
#include "wording.h"

/* Time after which callers may resend a job: the default delay of the ingress,
   RESEND_DELAY_US in ingress.c. */
#define RESEND_US 1300000
#define CONFIG_DELAY_US 1500000
#define DRAIN_DELAY_US 600000
/* Answers that are lost up to this time after the order to stop count as lost
   at the stop. */
#define STOP_LIMIT_US 6000000
#define JOB_NAME_BASE 16

/* ---------------------------------------------------------------- runs */

static const char *
get_text(const json_t *object, const char *field)
{
    return json_string_value(json_object_get(object, field));
}

static const BwLabJob *
find_job(const BwLabRunner *runner, const char *name)
{
    uint64_t number = strtoull(name, NULL, JOB_NAME_BASE);

    return number > 0 && number <= runner->job_count ? runner->jobs[number - 1]
                                                     : NULL;
}

static int
compare_runs(const void *left, const void *right)
{
    const BwLabRun *a = left, *b = right;
    int order = strcmp(a->task, b->task);

    if (order != 0)
        return order;
    return a->started_us < b->started_us ? -1 : a->started_us > b->started_us;
}

bool
BwLabResults_Init(BwLabResults *results, const BwLabRunner *runner)
{
    size_t worker, i, count = 0;
    json_t *worker_record, *row;

    memset(results, 0, sizeof(*results));
    results->runner = runner;
    json_array_foreach(runner->workers, worker, worker_record)
    {
        count += json_array_size(json_object_get(worker_record, "rows"));
    }
    results->runs = calloc(count + 1, sizeof(*results->runs));
    if (results->runs == NULL)
        return false;
    json_array_foreach(runner->workers, worker, worker_record)
    {
        json_array_foreach(json_object_get(worker_record, "rows"), i, row)
        {
            BwLabRun *run = &results->runs[results->run_count++];

            run->task = get_text(row, "task");
            run->job = find_job(runner, run->task);
            run->worker = (uint32_t)worker;
            run->started_us = BwRecord_Number(row, "started_us");
            run->ended_us = BwRecord_Number(row, "ended_us");
            run->drained_for_us = BwRecord_Number(row, "drained_us");
            run->end_reason = get_text(row, "how");
        }
    }
    qsort(results->runs, results->run_count, sizeof(*results->runs),
          compare_runs);
    return true;
}

void
BwLabResults_Finish(BwLabResults *results)
{
    free(results->runs);
}

/* --------------------------------------------------------------- rules */

static uint32_t
count_over_capacity(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;
    size_t i;
    json_t *worker_record;

    (void)filter;
    json_array_foreach(results->runner->workers, i, worker_record)
    {
        count += BwRecord_Number(worker_record, "excess_cpu") > 0 ||
                 BwRecord_Number(worker_record, "excess_mem") > 0;
    }
    return count;
}

static uint32_t
count_overlaps(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;
    uint64_t last_us = 0;

    (void)filter;
    for (uint32_t i = 0; i < results->run_count; i++) {
        const BwLabRun *run = &results->runs[i];
        uint64_t end_us = run->ended_us != 0 ? run->ended_us : UINT64_MAX;
        bool is_next =
            i > 0 && strcmp(run->task, results->runs[i - 1].task) == 0;

        count += is_next && run->started_us < last_us;
        last_us = is_next && last_us > end_us ? last_us : end_us;
    }
    return count;
}

static uint32_t
count_starts_after_forbid(const BwLabResults *results,
                          const BwLabOutcome *filter)
{
    const BwLabRunner *runner = results->runner;
    uint32_t count = 0;

    (void)filter;
    for (uint32_t i = 0; i < runner->injected_count; i++) {
        const BwLabInjectedFault *injected = &runner->injected[i];

        if (injected->fault->action != BW_LAB_FORBID)
            continue;
        for (uint32_t j = 0; j < results->run_count; j++) {
            const BwLabJob *job = results->runs[j].job;

            count += job != NULL &&
                     job->sent_us > injected->at_us + CONFIG_DELAY_US &&
                     strcmp(runner->experiment->classes[job->job_class].name,
                            injected->fault->target) == 0;
        }
    }
    return count;
}

static uint32_t
count_starts_after_drain(const BwLabResults *results,
                         const BwLabOutcome *filter)
{
    uint32_t count = 0;

    (void)filter;
    for (uint32_t i = 0; i < results->run_count; i++)
        count += results->runs[i].drained_for_us > DRAIN_DELAY_US;
    return count;
}

/* Returns whether a connection of the job ended without an answer.  The
   ingress has then sent it again, or refused it for want of a dispatcher. */
static bool
was_cut(const BwLabRunner *runner, const BwLabJob *job)
{
    size_t i;
    json_t *row;

    json_array_foreach(json_object_get(runner->ingress, "rows"), i, row)
    {
        const char *end_reason = get_text(row, "how");

        if (find_job(runner, get_text(row, "job")) == job &&
            (strcmp(end_reason, "broken") == 0 ||
             strcmp(end_reason, "given_up") == 0))
            return true;
    }
    return false;
}

/* A job that is sent again may have run at its first attempt, so those are
   counted whose callers and ingress have sent them once. */
static uint32_t
count_ran_though_refused(const BwLabResults *results,
                         const BwLabOutcome *filter)
{
    const BwExperiment *experiment = results->runner->experiment;
    uint32_t count = 0;

    (void)filter;
    for (uint32_t i = 0; i < results->run_count; i++) {
        const BwLabJob *job = results->runs[i].job;

        count += job != NULL && job->end == BW_LAB_REFUSED &&
                 experiment->classes[job->job_class].resend_ms == 0 &&
                 !was_cut(results->runner, job);
    }
    return count;
}

/* Returns whether the dispatcher was killed or started again after fault
   `stop` and before `until_us`. */
static bool
is_stop_over(const BwLabRunner *runner, uint32_t stop, uint32_t dispatcher,
             uint64_t until_us)
{
    for (uint32_t i = stop + 1; i < runner->injected_count; i++) {
        const BwLabInjectedFault *injected = &runner->injected[i];

        if ((injected->fault->action == BW_LAB_START ||
             injected->fault->action == BW_LAB_KILL) &&
            injected->at_us < until_us &&
            BwLabTarget_Matches(injected->fault->target, "dispatcher",
                                dispatcher))
            return true;
    }
    return false;
}

static uint32_t
count_lost_at_stop(const BwLabResults *results, const BwLabOutcome *filter)
{
    const BwLabRunner *runner = results->runner;
    uint32_t count = 0;
    size_t i;
    json_t *row;

    (void)filter;
    json_array_foreach(json_object_get(runner->ingress, "rows"), i, row)
    {
        const char *end_reason = get_text(row, "how");
        uint64_t ended_us = BwRecord_Number(row, "ended_us");

        if (strcmp(end_reason, "broken") != 0 &&
            strcmp(end_reason, "given_up") != 0)
            continue;
        for (uint32_t j = 0; j < runner->injected_count; j++) {
            const BwLabInjectedFault *injected = &runner->injected[j];

            count +=
                BwLabAction_IsPlannedStop(
                    (BwLabAction)injected->fault->action) &&
                BwLabTarget_Matches(
                    injected->fault->target, "dispatcher",
                    (uint32_t)BwRecord_Number(row, "dispatcher")) &&
                ended_us > injected->at_us &&
                ended_us < injected->at_us + STOP_LIMIT_US &&
                !is_stop_over(runner, j,
                              (uint32_t)BwRecord_Number(row, "dispatcher"),
                              ended_us);
        }
    }
    return count;
}

/* Returns whether injected fault `i` made this process unavailable until
   callers may resend: it was killed, or frozen and not thawed before that. */
static bool
is_process_lost(const BwLabRunner *runner, uint32_t i, const char *kind,
                uint32_t number)
{
    const BwLabInjectedFault *loss = &runner->injected[i];

    if (!BwLabTarget_Matches(loss->fault->target, kind, number))
        return false;
    if (loss->fault->action == BW_LAB_KILL)
        return true;
    if (loss->fault->action != BW_LAB_FREEZE)
        return false;
    for (uint32_t j = i + 1; j < runner->injected_count; j++) {
        const BwLabInjectedFault *injected = &runner->injected[j];

        if (injected->fault->action == BW_LAB_THAW &&
            BwLabTarget_Matches(injected->fault->target, kind, number) &&
            injected->at_us < loss->at_us + RESEND_US)
            return false;
    }
    return true;
}

/* Returns whether the run started before callers could resend and was still
   running when they could.  `lost_us` is when its dispatcher or supervisor was
   lost or its caller disconnected. */
static bool
outlives_resend(const BwLabRun *run, uint64_t lost_us)
{
    return run->started_us < lost_us + RESEND_US &&
           (run->ended_us == 0 || run->ended_us > lost_us + RESEND_US);
}

static uint32_t
count_outliving_runs(const BwLabResults *results, const BwLabJob *job,
                     uint64_t lost_us)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < results->run_count; i++)
        count += results->runs[i].job == job &&
                 outlives_resend(&results->runs[i], lost_us);
    return count;
}

/* Counts runs of jobs that were at a dispatcher when it was lost and that
   still ran when callers could resend. */
static uint32_t
count_outlived_dispatcher(const BwLabResults *results,
                          const BwLabOutcome *filter)
{
    const BwLabRunner *runner = results->runner;
    uint32_t count = 0;
    size_t i;
    json_t *row;

    (void)filter;
    json_array_foreach(json_object_get(runner->ingress, "rows"), i, row)
    {
        uint32_t number = (uint32_t)BwRecord_Number(row, "dispatcher");
        uint64_t ended_us = BwRecord_Number(row, "ended_us");
        const BwLabJob *job = find_job(runner, get_text(row, "job"));

        for (uint32_t j = 0; job != NULL && j < runner->injected_count; j++) {
            uint64_t lost_us = runner->injected[j].at_us;

            if (is_process_lost(runner, j, "dispatcher", number) &&
                BwRecord_Number(row, "started_us") < lost_us &&
                (ended_us == 0 || ended_us > lost_us))
                count += count_outliving_runs(results, job, lost_us);
        }
    }
    return count;
}

/* Counts runs that a supervisor's worker had started when the supervisor was
   lost and that still ran when callers could resend. */
static uint32_t
count_outlived_supervisor(const BwLabResults *results,
                          const BwLabOutcome *filter)
{
    const BwLabRunner *runner = results->runner;
    uint32_t count = 0;

    (void)filter;
    for (uint32_t i = 0; i < results->run_count; i++) {
        const BwLabRun *run = &results->runs[i];

        for (uint32_t j = 0; j < runner->injected_count; j++)
            count += run->started_us < runner->injected[j].at_us &&
                     is_process_lost(runner, j, "supervisor", run->worker) &&
                     outlives_resend(run, runner->injected[j].at_us);
    }
    return count;
}

static uint32_t
count_outlived_caller(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;

    (void)filter;
    for (uint32_t i = 0; i < results->run_count; i++) {
        const BwLabRun *run = &results->runs[i];

        count += run->job != NULL && run->job->end == BW_LAB_GAVE_UP &&
                 outlives_resend(run, run->job->ended_us);
    }
    return count;
}

static uint32_t
count_crashes(const BwLabResults *results, const BwLabOutcome *filter)
{
    (void)filter;
    return results->runner->crashes;
}

static uint32_t
count_running(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;

    (void)filter;
    for (uint32_t i = 0; i < results->run_count; i++)
        count += results->runs[i].ended_us == 0;
    return count;
}

/* --------------------------------------------------------------- counts */

static bool
matches_class(const BwLabResults *results, const BwLabJob *job,
              const BwLabOutcome *filter)
{
    const BwExperiment *experiment = results->runner->experiment;

    return filter->job_class[0] == '\0' ||
           (job != NULL && strcmp(experiment->classes[job->job_class].name,
                                  filter->job_class) == 0);
}

static uint32_t
count_jobs(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < results->runner->job_count; i++)
        count += matches_class(results, results->runner->jobs[i], filter);
    return count;
}

static uint32_t
count_ends(const BwLabResults *results, const BwLabOutcome *filter,
           BwLabEnd end)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < results->runner->job_count; i++) {
        const BwLabJob *job = results->runner->jobs[i];

        count += job->end == end && matches_class(results, job, filter);
    }
    return count;
}

#define COUNT_END(function, end)                                              \
    static uint32_t function(const BwLabResults *results,                     \
                             const BwLabOutcome *filter)                      \
    {                                                                         \
        return count_ends(results, filter, end);                              \
    }

COUNT_END(count_completed, BW_LAB_COMPLETED)
COUNT_END(count_refused, BW_LAB_REFUSED)
COUNT_END(count_failed, BW_LAB_FAILED)
COUNT_END(count_timed_out, BW_LAB_TIMED_OUT)
COUNT_END(count_not_found, BW_LAB_NOT_FOUND)
COUNT_END(count_unanswered, BW_LAB_UNANSWERED)
COUNT_END(count_gave_up, BW_LAB_GAVE_UP)

static uint32_t
count_completed_permille(const BwLabResults *results,
                         const BwLabOutcome *filter)
{
    uint32_t jobs = count_jobs(results, filter);

    return jobs > 0 ? count_completed(results, filter) * 1000 / jobs : 0;
}

/* Returns whether the job was answered within the objective of its class: its
   target and its run time, stretched as the routes of experiments state. */
static bool
is_in_time(const BwLabResults *results, const BwLabJob *job)
{
    const BwLabClass *class_spec =
        &results->runner->experiment->classes[job->job_class];
    uint64_t objective_ms = class_spec->target_ms +
                            (uint64_t)class_spec->run_ms * BW_WORDING_STRETCH;

    return job->end == BW_LAB_COMPLETED &&
           job->ended_us - job->sent_us <= objective_ms * 1000;
}

static uint32_t
count_in_time_permille(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t jobs = count_jobs(results, filter), count = 0;

    for (uint32_t i = 0; i < results->runner->job_count; i++) {
        const BwLabJob *job = results->runner->jobs[i];

        count +=
            matches_class(results, job, filter) && is_in_time(results, job);
    }
    return jobs > 0 ? count * 1000 / jobs : 0;
}

static uint32_t
count_starts(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < results->run_count; i++)
        count += matches_class(results, results->runs[i].job, filter);
    return count;
}

static uint32_t
count_worker_starts(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < results->run_count; i++)
        count += results->runs[i].worker == filter->worker;
    return count;
}

static uint32_t
count_end_reason(const BwLabResults *results, const char *end_reason)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < results->run_count; i++)
        count += strcmp(results->runs[i].end_reason, end_reason) == 0;
    return count;
}

#define COUNT_END_REASON(function, end_reason)                                \
    static uint32_t function(const BwLabResults *results,                     \
                             const BwLabOutcome *filter)                      \
    {                                                                         \
        (void)filter;                                                         \
        return count_end_reason(results, end_reason);                         \
    }

COUNT_END_REASON(count_run_done, "done")
COUNT_END_REASON(count_run_failed, "failed")
COUNT_END_REASON(count_run_stopped, "stopped")
COUNT_END_REASON(count_run_lapsed, "lapsed")
COUNT_END_REASON(count_run_crashed, "crashed")
COUNT_END_REASON(count_worker_crashes, "crashed_worker")

/* Returns how many workers the task that crashed most of them has crashed. */
static uint32_t
count_crashes_by_task(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t most = 0, count = 0;

    (void)filter;
    for (uint32_t i = 0; i < results->run_count; i++) {
        const BwLabRun *run = &results->runs[i];

        if (i == 0 || strcmp(run->task, results->runs[i - 1].task) != 0)
            count = 0;
        count += strcmp(run->end_reason, "crashed_worker") == 0;
        most = count > most ? count : most;
    }
    return most;
}

/* Counts jobs that were answered as failed though none of their tasks crashes
   its worker. */
static uint32_t
count_failed_innocents(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < results->runner->job_count; i++) {
        const BwLabJob *job = results->runner->jobs[i];

        count += job->end == BW_LAB_FAILED && !job->crashes &&
                 matches_class(results, job, filter);
    }
    return count;
}

/* Counts connections to a dispatcher that closed without an answer. */
static uint32_t
count_broken(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;
    size_t i;
    json_t *row;

    (void)filter;
    json_array_foreach(json_object_get(results->runner->ingress, "rows"), i,
                       row)
    {
        const char *end_reason = get_text(row, "how");

        count += strcmp(end_reason, "broken") == 0 ||
                 strcmp(end_reason, "given_up") == 0;
    }
    return count;
}

static uint32_t
count_late_orders(const BwLabResults *results, const BwLabOutcome *filter)
{
    uint32_t count = 0;
    size_t i;
    json_t *worker_record;

    (void)filter;
    json_array_foreach(results->runner->workers, i, worker_record)
    {
        count += (uint32_t)BwRecord_Number(worker_record, "late");
    }
    return count;
}

static uint32_t
count_usable_workers(const BwLabResults *results, const BwLabOutcome *filter)
{
    (void)filter;
    return results->runner->usable_workers;
}

/* --------------------------------------------------------------- table */

static const BwLabCounter counters[] = {
    {"over_capacity", true,
     "workers whose running tasks ever exceeded their capacity",
     count_over_capacity},
    {"overlaps", true,
     "runs that started while another run of the task was running",
     count_overlaps},
    {"starts_after_forbid", true,
     "starts of jobs sent after a configuration forbade them",
     count_starts_after_forbid},
    {"starts_after_drain", true, "starts on a worker that was draining",
     count_starts_after_drain},
    {"ran_though_refused", true,
     "runs of jobs whose callers were told that nothing had run",
     count_ran_though_refused},
    {"lost_at_planned_stop", true,
     "answers lost by a dispatcher that was asked to stop",
     count_lost_at_stop},
    {"outlived_dispatcher", true,
     "tasks that ran on past the resend time after their dispatcher's loss",
     count_outlived_dispatcher},
    {"outlived_supervisor", true,
     "tasks that ran on past the resend time after their supervisor's loss",
     count_outlived_supervisor},
    {"outlived_caller", true,
     "tasks that ran on past the resend time after their caller disconnected",
     count_outlived_caller},
    {"running", true, "runs that had not ended at the end", count_running},
    {"crashes", true,
     "processes that exited with an error or by an unexpected signal",
     count_crashes},
    {"jobs", false, "jobs sent", count_jobs},
    {"completed", false, "jobs answered as completed", count_completed},
    {"completed_permille", false, "jobs answered as completed, per 1000 jobs",
     count_completed_permille},
    {"in_time_permille", false,
     "jobs completed within their objective, per 1000 jobs",
     count_in_time_permille},
    {"refused", false, "jobs refused before anything ran", count_refused},
    {"failed", false, "jobs answered as failed", count_failed},
    {"timed_out", false, "jobs whose deadline passed", count_timed_out},
    {"not_found", false, "jobs whose route is unknown", count_not_found},
    {"unanswered", false, "jobs without an answer", count_unanswered},
    {"gave_up", false, "jobs whose caller disconnected on purpose",
     count_gave_up},
    {"starts", false, "runs of tasks", count_starts},
    {"worker_starts", false, "runs on one worker", count_worker_starts},
    {"runs_done", false, "runs that were done", count_run_done},
    {"runs_failed", false, "runs that failed", count_run_failed},
    {"runs_stopped", false, "runs that were stopped", count_run_stopped},
    {"runs_lapsed", false, "runs ended by the worker's lease",
     count_run_lapsed},
    {"runs_crashed", false, "runs ended by a crash", count_run_crashed},
    {"worker_crashes", false, "crashes of workers by a task",
     count_worker_crashes},
    {"crashes_by_task", false, "most workers that one task has crashed",
     count_crashes_by_task},
    {"failed_innocents", false,
     "jobs answered as failed without a task that crashes its worker",
     count_failed_innocents},
    {"broken", false, "connections to a dispatcher closed without an answer",
     count_broken},
    {"late_orders", false, "orders that workers delayed", count_late_orders},
    {"usable_workers", false, "workers usable at the end",
     count_usable_workers},
    {NULL, false, NULL, NULL},
};

const BwLabCounter *
BwLabCounters(void)
{
    return counters;
}

const BwLabCounter *
BwLabCounter_Find(const char *name)
{
    for (const BwLabCounter *counter = counters; counter->name != NULL;
         counter++) {
        if (strcmp(counter->name, name) == 0)
            return counter;
    }
    return NULL;
}

const char *
BwLabEnd_Name(BwLabEnd end)
{
    static const char *const names[BW_LAB_END_COUNT] = {
        [BW_LAB_OPEN] = "open",
        [BW_LAB_COMPLETED] = "completed",
        [BW_LAB_REFUSED] = "refused",
        [BW_LAB_FAILED] = "failed",
        [BW_LAB_TIMED_OUT] = "timed_out",
        [BW_LAB_NOT_FOUND] = "not_found",
        [BW_LAB_UNANSWERED] = "unanswered",
        [BW_LAB_GAVE_UP] = "gave_up",
    };

    return names[end];
}
