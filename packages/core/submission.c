/* submission.c -- accepts, attaches or refuses submissions of callers

   A submission with the key of a known job attaches its caller to that job.
   Any other is checked against the limits of the home and the service, then
   against the load forecast of admission.c.  If admitted it becomes a job that
   owns copies of all that was submitted.  A refusal states that nothing ran,
   so it is only sent when that is certain.

   BwHome_Submit, BwHome_Cancel and BwHome_RemoveWaiter are called by the agent
   for the requests of the entries.
*/

#include <stdlib.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "job.h"

/* Tasks that still wait after 1 / HEDGE_AFTER_DIVISOR of the time in which
   they may start get a reservation at a second executor, so that a long queue
   at the first does not delay the job. */
#define HEDGE_AFTER_DIVISOR 4

/* Copies the bytes of a span to the cursor and points the span to the copy. */
static char *
copy_span_to_block(char **cursor, BwSpan *span)
{
    char *start = *cursor;

    if (span->size_bytes > 0)
        memcpy(start, span->base, span->size_bytes);
    span->base = start;
    *cursor += span->size_bytes;
    return start;
}

static uint64_t
digest_submission(const BwSubmit *submit)
{
    XXH3_state_t state;

    XXH3_INITSTATE(&state);
    XXH3_64bits_reset(&state);
    XXH3_64bits_update(&state, submit->service.base,
                       submit->service.size_bytes);
    XXH3_64bits_update(&state, submit->path.base, submit->path.size_bytes);
    for (uint32_t i = 0; i < submit->task_count; i++) {
        BwSpan body = submit->tasks[i].body;

        XXH3_64bits_update(&state, &body.size_bytes, sizeof(uint32_t));
        XXH3_64bits_update(&state, body.base, body.size_bytes);
    }
    return XXH3_64bits_digest(&state);
}

static uint64_t
submission_bytes(const BwSubmit *submit)
{
    uint64_t bytes = 0;

    bytes += submit->member.size_bytes + submit->team.size_bytes;
    bytes += submit->key.size_bytes + submit->service.size_bytes;
    bytes += submit->job_class.size_bytes + submit->path.size_bytes;
    for (uint32_t i = 0; i < submit->task_count; i++)
        bytes += submit->tasks[i].body.size_bytes;
    return bytes;
}

static BwJob *
copy_submission(const BwSubmit *submit, BwJobId id)
{
    BwJob *job = calloc(1, sizeof(BwJob));
    char *cursor;
    uint64_t block_bytes = submission_bytes(submit);

    if (job == NULL)
        return NULL;
    job->block = malloc(block_bytes + 1);
    job->tasks = calloc(submit->task_count, sizeof(HomeTask));
    if (job->block == NULL || job->tasks == NULL)
        goto fail;
    cursor = job->block;
    job->id = id;
    job->digest = digest_submission(submit);
    job->bytes =
        block_bytes + sizeof(BwJob) + submit->task_count * sizeof(HomeTask);
    job->member = submit->member;
    job->team = submit->team;
    job->key = submit->key;
    job->service = submit->service;
    job->job_class = submit->job_class;
    job->path = submit->path;
    copy_span_to_block(&cursor, &job->member);
    copy_span_to_block(&cursor, &job->team);
    copy_span_to_block(&cursor, &job->key);
    copy_span_to_block(&cursor, &job->service);
    copy_span_to_block(&cursor, &job->job_class);
    copy_span_to_block(&cursor, &job->path);
    for (uint32_t i = 0; i < submit->task_count; i++) {
        job->tasks[i].task = submit->tasks[i];
        job->tasks[i].task.index = i;
        copy_span_to_block(&cursor, &job->tasks[i].task.body);
    }
    job->task_count = submit->task_count;
    job->waiting = submit->task_count;
    job->team_index = -1;
    return job;

fail:
    free(job->block);
    free(job->tasks);
    free(job);
    return NULL;
}

static void
add_waiter(BwHome *home, BwJob *job, BwWaiter waiter, uint32_t flags)
{
    BwWaiter *grown;

    if (job->is_ended) {
        BwHome_SendResult(home, job, waiter);
        return;
    }
    if (flags & BW_SUBMIT_NO_WAIT) {
        BwResult running = {0};

        running.request_id = waiter.request_id;
        running.is_running = 1;
        home->port->result(home->port_ctx, waiter, &running);
        return;
    }
    grown = realloc(job->waiters, (job->waiter_count + 1) * sizeof(BwWaiter));
    if (grown == NULL) {
        /* The job goes on, so the error must not say that nothing ran. */
        BwHome_SendError(home, waiter, BW_ERR_HOME_LOST,
                         "no memory to add a waiter");
        return;
    }
    job->waiters = grown;
    job->waiters[job->waiter_count++] = waiter;
}

static void
refuse_with_retry(BwHome *home, BwWaiter waiter, const BwSubmit *submit,
                  BwJobId id, BwErrorKind error, const char *detail,
                  uint32_t retry_after_ms)
{
    BwDecision decision = {"refuse",
                           id,
                           submit->key,
                           submit->task_count,
                           BwError_Describe(error)->name,
                           0,
                           detail};

    home->counters.jobs_refused++;
    home->port->log_decision(home->port_ctx, &decision);
    BwHome_SendErrorAfter(home, waiter, error, detail, retry_after_ms);
}

static void
refuse(BwHome *home, BwWaiter waiter, const BwSubmit *submit, BwJobId id,
       BwErrorKind error, const char *detail)
{
    bool is_transient =
        error == BW_ERR_OVERLOADED || error == BW_ERR_NO_MEMORY;

    refuse_with_retry(home, waiter, submit, id, error, detail,
                      is_transient ? BW_RETRY_AFTER_MS : 0);
}

/* Returns the error for which the submission must be refused, with its
 *detail, or BW_OK. */
static BwErrorKind
find_refusal(BwHome *home, uint64_t now_wall_us, const BwSubmit *submit,
             const char **detail)
{
    BwErrorKind error = BW_OK;

    if (home->check != NULL)
        error = home->check(home->port_ctx, submit, detail);
    if (error != BW_OK)
        return error;
    if (submit->task_count == 0 || submit->task_count > BW_JOB_TASKS_MAX) {
        *detail = "a job has 1 to 1700 tasks";
        return BW_ERR_TOO_LARGE;
    }
    if (submit->deadline_wall_us <= now_wall_us) {
        *detail = "the deadline is in the past";
        return BW_ERR_DEADLINE_PASSED;
    }
    if (submit->deadline_wall_us - now_wall_us > home->limits.lifetime_us) {
        *detail = "the deadline is further away than the longest job lifetime";
        return BW_ERR_CANNOT_RUN;
    }
    if (!BwHome_HasWorker(home, submit->service) &&
        home->custody_hooks->is_complete(
            home, BwJobId_Make(submit->member, submit->key))) {
        *detail = "no backend server of the service is known";
        return BW_ERR_NO_BACKEND;
    }
    if (home->job_count >= home->limits.jobs_max) {
        *detail = "this home has reached its limit of jobs";
        return BW_ERR_OVERLOADED;
    }
    if (home->bytes + submission_bytes(submit) > home->limits.bytes_max) {
        *detail = "this home has reached its memory limit for jobs";
        return BW_ERR_OVERLOADED;
    }
    return BW_OK;
}

/* Returns the index of the team's usage, which is added if need be.  Returns
   -1 when the team has no limit or memory is short. */
static int32_t
find_or_add_team(BwHomeService *service, const BwTeamPolicy *team)
{
    BwTeamUsage *grown;

    if (team->tasks_max == 0)
        return -1;
    for (uint32_t i = 0; i < service->team_count; i++) {
        if (strcmp(service->teams[i].team, team->team) == 0 &&
            strcmp(service->teams[i].member, team->member) == 0)
            return (int32_t)i;
    }
    grown = realloc(service->teams,
                    (service->team_count + 1) * sizeof(BwTeamUsage));
    if (grown == NULL)
        return -1;
    service->teams = grown;
    grown += service->team_count;
    memset(grown, 0, sizeof(*grown));
    memcpy(grown->member, team->member, sizeof(grown->member));
    memcpy(grown->team, team->team, sizeof(grown->team));
    return (int32_t)service->team_count++;
}

/* Estimates how many tasks wait for slots.  For each priority this is the
   larger of two numbers: the reservations that the executors reported, and the
   waiting tasks of this home.  The latter are not counted by their
   reservations, because a surplus reservation has no task of its own. */
static BwServiceLoad
measure_load(BwHome *home, const BwHomeService *service)
{
    const BwWorkerGroup *group =
        BwWorkers_Group(&home->workers, BwSpan_FromString(service->name));
    BwServiceLoad load = {0};

    load.mean_us = service->run_times.mean_us;
    load.slots = BwWorkers_OfferedSlots(&home->workers,
                                        BwSpan_FromString(service->name));
    for (uint32_t i = 0; i < BW_PRIORITIES; i++) {
        uint64_t own = service->waiting_tasks[i];
        uint64_t reported = group != NULL ? group->queued_by[i] : 0;

        load.waiting[i] = reported > own ? reported : own;
        load.kept += own;
    }
    return load;
}

static BwJobDemand
describe_job(BwHomeService *service, const BwSubmit *submit,
             uint64_t time_left_us)
{
    const BwEstimate *run_times =
        BwHome_FindEstimate(service, submit->job_class);
    BwJobDemand demand = {.tasks = submit->task_count,
                          .time_left_us = time_left_us};

    demand.priority =
        BwServicePolicy_Priority(service->policy, submit->job_class);
    for (uint32_t i = 0; i < submit->task_count; i++) {
        const BwTask *task = &submit->tasks[i];
        uint64_t expected_us = BwEstimate_Expect(run_times, task->declared_us);

        demand.total_us += expected_us;
        if (expected_us > demand.longest_us)
            demand.longest_us = expected_us;
        if (task->size_bytes > demand.largest_bytes)
            demand.largest_bytes = task->size_bytes;
    }
    return demand;
}

/* Decides on admission by load and run-time estimates, and sets the fields of
   the job that depend on them. */
static BwAdmission
decide_admission(BwHome *home, BwHomeService *service, const BwSubmit *submit,
                 BwJob *job, uint64_t time_left_us)
{
    const BwTeamPolicy *team =
        BwPolicy_Team(&home->policy, submit->member, submit->team);
    BwServiceLoad load = measure_load(home, service);
    BwJobDemand demand = describe_job(service, submit, time_left_us);
    BwAdmission admission;
    int32_t team_index;

    job->home_service = service;
    job->priority = demand.priority;
    job->flags = submit->flags;
    job->expected_us = demand.total_us / demand.tasks;
    load.higher_priority_slots = BwAdmittedWork_HigherPrioritySlots(
        &service->admitted, home->now_us, demand.priority,
        home->ring != NULL ? home->ring->agent_count : 1);
    team_index = find_or_add_team(service, team);
    if (team_index >= 0)
        load.team_tasks = service->teams[team_index].tasks;
    demand.team_tasks_max = team->tasks_max;
    admission = BwAdmission_Decide(service->policy, &load, &demand);
    if (admission.error == BW_OK)
        BwAdmittedWork_Add(&service->admitted, home->now_us, demand.priority,
                           demand.total_us);
    job->latest_first_start_us = job->deadline_us - admission.run_us;
    job->latest_start_us =
        job->deadline_us -
        (job->expected_us < time_left_us ? job->expected_us : time_left_us);
    job->hedge_at_us = home->now_us + (job->latest_start_us - home->now_us) /
                                          HEDGE_AFTER_DIVISOR;
    if (admission.error == BW_OK && team_index >= 0) {
        service->teams[team_index].tasks += demand.tasks;
        job->team_index = team_index;
    }
    return admission;
}

static void
add_job(BwHome *home, BwJob *job)
{
    HASH_ADD(hh, home->jobs, id, sizeof(job->id), job);
    home->job_count++;
    home->bytes += job->bytes;
    home->counters.jobs_submitted++;
    BwRetryBudget_Earn(&job->home_service->retries,
                       job->home_service->policy->retry_permille);
    job->fence_number = home->fence_number;
    job->forget_at_us = job->deadline_us + home->limits.keep_us;
}

/* Frees a job that was not added.  BwHome_FreeJob subtracts the job from the
   home's totals, so it is added to them first. */
static void
discard_job(BwHome *home, BwJob *job)
{
    home->job_count++;
    home->bytes += job->bytes;
    BwHome_FreeJob(home, job);
}

/* Attaches the caller to the job of its key, or refuses a different job under
   the same key.  Returns false when the key is not known. */
static bool
attach_to_known_job(BwHome *home, BwWaiter waiter, const BwSubmit *submit,
                    BwJobId id)
{
    BwJob *job = BwHome_FindJob(home, id);
    bool is_attach_only = (submit->flags & BW_SUBMIT_ATTACH) != 0;

    if (job == NULL)
        return false;
    if (!is_attach_only && job->digest != digest_submission(submit)) {
        refuse(home, waiter, submit, id, BW_ERR_KEY_REUSED,
               "the key belongs to a job with other tasks");
        return true;
    }
    home->counters.jobs_attached++;
    BwHome_LogDecision(home, "attach", job, job->task_count, "", 0,
                       "the key is known");
    add_waiter(home, job, waiter, submit->flags);
    return true;
}

/* Returns a lower bound of the time at which the key was first submitted: the
   time that the caller states, or the deadline less the longest lifetime. */
static uint64_t
earliest_submission(const BwHome *home, uint64_t now_wall_us,
                    const BwSubmit *submit)
{
    uint64_t deadline_us = submit->deadline_wall_us;

    if (submit->submitted_wall_us != 0)
        return submit->submitted_wall_us < now_wall_us
                   ? submit->submitted_wall_us
                   : now_wall_us;
    return deadline_us > home->limits.lifetime_us
               ? deadline_us - home->limits.lifetime_us
               : 0;
}

/* Returns the error to send in place of `error`.  A refusal states that
   nothing ran, so for a key that may have run under another home
   BW_ERR_HOME_LOST is sent instead. */
static BwErrorKind
replace_if_may_have_run(BwHome *home, uint64_t now_wall_us,
                        const BwSubmit *submit, BwJobId id, BwErrorKind error)
{
    if (error != BW_OK && BwError_Describe(error)->certainty == BW_NOT_RUN &&
        home->custody_hooks->may_have_run(
            home, id, earliest_submission(home, now_wall_us, submit)))
        return BW_ERR_HOME_LOST;
    return error;
}

static BwErrorKind
check_submission(BwHome *home, uint64_t now_wall_us, const BwSubmit *submit,
                 BwJobId id, const char **detail)
{
    BwErrorKind error = replace_if_may_have_run(
        home, now_wall_us, submit, id,
        find_refusal(home, now_wall_us, submit, detail));

    if (error == BW_ERR_DEADLINE_PASSED &&
        now_wall_us + home->limits.skew_us >
            submit->deadline_wall_us + home->limits.keep_us) {
        *detail = "the result of the job is no longer kept";
        return BW_ERR_TIMED_OUT_RUNNING;
    }
    return error;
}

/* Makes a job of a submission that passed the checks, decides on its admission
   and places it. */
static void
start_job(BwHome *home, uint64_t now_us, uint64_t now_wall_us, BwWaiter waiter,
          const BwSubmit *submit, BwJobId id)
{
    BwHomeService *service = BwHome_FindOrAddService(home, submit->service);
    BwJob *job = copy_submission(submit, id);
    BwAdmission admission;

    if (job == NULL || service == NULL) {
        if (job != NULL)
            discard_job(home, job);
        refuse(home, waiter, submit, id, BW_ERR_NO_MEMORY, "");
        return;
    }
    home->now_us = now_us;
    job->deadline_us = now_us + (submit->deadline_wall_us - now_wall_us);
    job->deadline_wall_us = submit->deadline_wall_us;
    job->submitted_wall_us = earliest_submission(home, now_wall_us, submit);
    admission = decide_admission(home, service, submit, job,
                                 job->deadline_us - now_us);
    admission.error = replace_if_may_have_run(home, now_wall_us, submit, id,
                                              admission.error);
    if (admission.error != BW_OK) {
        discard_job(home, job);
        refuse_with_retry(home, waiter, submit, id, admission.error,
                          admission.detail, admission.retry_after_ms);
        return;
    }
    add_job(home, job);
    add_waiter(home, job, waiter, submit->flags);
    home->custody_hooks->recover_job(home, now_us, job);
    if (!job->is_ended)
        BwHome_PlaceJob(home, now_us, job);
}

void
BwHome_Submit(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
              BwWaiter waiter, const BwSubmit *submit)
{
    BwJobId id = BwJobId_Make(submit->member, submit->key);
    BwErrorKind error;
    const char *detail = "";

    if (!BwHome_Owns(home, now_us, id)) {
        BwHome_SendError(home, waiter, BW_ERR_NOT_OWNER, "");
        return;
    }
    if (attach_to_known_job(home, waiter, submit, id))
        return;
    if (submit->flags & BW_SUBMIT_ATTACH) {
        error = home->custody_hooks->may_have_run(
                    home, id, now_wall_us - home->limits.lifetime_us)
                    ? BW_ERR_HOME_LOST
                    : BW_ERR_UNKNOWN_JOB;
        BwHome_SendError(home, waiter, error, "");
        return;
    }
    error = check_submission(home, now_wall_us, submit, id, &detail);
    if (error != BW_OK)
        refuse(home, waiter, submit, id, error, detail);
    else
        start_job(home, now_us, now_wall_us, waiter, submit, id);
}

void
BwHome_Cancel(BwHome *home, uint64_t now_us, BwWaiter waiter,
              const BwCancel *cancel)
{
    BwJobId id = BwJobId_Make(cancel->member, cancel->key);
    BwJob *job;

    if (!BwHome_Owns(home, now_us, id)) {
        BwHome_SendError(home, waiter, BW_ERR_NOT_OWNER, "");
        return;
    }
    HASH_FIND(hh, home->jobs, &id, sizeof(id), job);
    if (job == NULL) {
        BwHome_SendError(home, waiter,
                         home->custody_hooks->may_have_run(home, id, 0)
                             ? BW_ERR_HOME_LOST
                             : BW_ERR_UNKNOWN_JOB,
                         "");
        return;
    }
    BwHome_EndJob(home, job,
                  BwHome_MayHaveRun(home, now_us, job)
                      ? BW_ERR_CANCELLED_RUNNING
                      : BW_ERR_CANCELLED,
                  "cancelled by its caller");
    BwHome_SendResult(home, job, waiter);
}

void
BwHome_RemoveWaiter(BwHome *home, BwWaiter waiter)
{
    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        uint32_t kept = 0;

        for (uint32_t i = 0; i < job->waiter_count; i++) {
            BwWaiter *w = &job->waiters[i];

            if (w->peer == waiter.peer &&
                (waiter.request_id == 0 || w->request_id == waiter.request_id))
                continue;
            job->waiters[kept++] = *w;
        }
        job->waiter_count = kept;
    }
}
