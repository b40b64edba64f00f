/* home.c -- the jobs whose home is this agent

   A job passes through admission (submission.c), placement (jobplacement.c)
   and the collection of answers.  This file collects the answers and handles
   the other messages of workers, retries, lost workers and deadlines.  A
   granted task becomes waiting again, and can be granted again, only when the
   worker declines it, which states that it was not started.  There are two
   exceptions: the retry of an idempotent request, and a fence answer that does
   not list the task (recovery.c).

   Placement uses late binding.  A task is granted at once to a worker with a
   slot that is known to be free.  Without one, the job makes reservations at
   several workers, and the worker that first frees a slot pulls the next task.
   This costs a message for each reservation, but the home need not guess which
   queue is shortest.

   Called by the agent (packages/daemon) for each message and from its timers.
*/

#include <stdlib.h>
#include <string.h>

#include "job.h"

/* Each tick drops this fraction of the pending waste, since not every message
   that may be wasted is. */
#define PENDING_WASTE_DECAY_DIVISOR 16

static const BwEjectionRule ejection_rule = {
    .failures_times_peers = 3,
    .ejected_share_percent = 30,
    .backoff_first_us = 5000000,
    .backoff_last_us = 300000000,
};

void
BwHome_Init(BwHome *home, const BwHomeLimits *limits, const BwHomePort *port,
            void *port_ctx, uint64_t seed)
{
    memset(home, 0, sizeof(*home));
    home->seed = seed;
    home->limits = *limits;
    home->port = port;
    home->port_ctx = port_ctx;
    home->custody_hooks = &BwCustodyHooks_None;
    BwWorkers_Init(&home->workers);
    BwPolicy_Init(&home->policy);
    BwRandom_Init(&home->random, home->seed);
    home->fence_number = 1;
}

void
BwHome_SetPolicy(BwHome *home, BwPolicy *policy)
{
    BwPolicy_Finish(&home->policy);
    home->policy = *policy;
    for (uint32_t i = 0; i < home->service_count; i++) {
        BwHomeService *service = home->services[i];

        service->policy =
            BwPolicy_Find(&home->policy, BwSpan_FromString(service->name));
    }
}

void
BwHome_Finish(BwHome *home)
{
    BwJob *job, *next;

    HASH_ITER(hh, home->jobs, job, next)
    {
        HASH_DEL(home->jobs, job);
        BwHome_FreeJob(home, job);
    }
    for (uint32_t i = 0; i < home->service_count; i++) {
        free(home->services[i]->teams);
        free(home->services[i]);
    }
    home->custody_hooks->finish(home);
    free(home->services);
    free(home->workers_to_release.items);
    BwWorkers_Finish(&home->workers);
    BwPolicy_Finish(&home->policy);
    memset(home, 0, sizeof(*home));
}

/* Sends the releases queued for a worker.  The worker stays in the home's list
   of workers to release; the caller clears the list. */
static void
send_releases(BwHome *home, BwWorkerView *worker)
{
    BwRelease release = {worker->releases, worker->release_count};

    worker->release_count = 0;
    if (worker->is_up && release.job_count > 0)
        home->port->release(home->port_ctx, worker->peer, &release);
}

/* ---------------------------------------------------------- workers */

static bool
has_free_slot(const BwWorkerGroup *group)
{
    for (uint32_t tier = 0; tier < BW_WORKER_TIERS; tier++) {
        if (group->bucket_masks[tier] != 0)
            return true;
    }
    return false;
}

/* Places waiting jobs of one service, by priority and then first come, first
   served.  When every waiting task has a reservation, the jobs are visited
   only if there is a free slot and a task may be moved to it. */
static void
place_waiting(BwHome *home, uint64_t now_us, BwHomeService *service,
              const BwWorkerGroup *group)
{
    bool has_unreserved = service->has_unreserved;

    service->has_unreserved = false;
    for (uint32_t i = 0; i < BW_PRIORITIES; i++) {
        BwJob *job = service->waiting[i];

        while (job != NULL) {
            BwJob *next = job->list_next;

            if (!has_unreserved &&
                !(has_free_slot(group) && BwHome_MayMoveTasks(service, group)))
                return;
            BwHome_PlaceJob(home, now_us, job);
            job = next;
        }
    }
}

static void
place_service(BwHome *home, uint64_t now_us, BwSpan name)
{
    const BwWorkerGroup *group = BwWorkers_Group(&home->workers, name);

    for (uint32_t i = 0; i < home->service_count && group != NULL; i++) {
        BwHomeService *service = home->services[i];

        if (BwSpan_Equal(BwSpan_FromString(service->name), name))
            place_waiting(home, now_us, service, group);
    }
}

void
BwHome_PlaceAll(BwHome *home, uint64_t now_us)
{
    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next)
        BwHome_UpdateWaitingList(job);
    for (uint32_t i = 0; i < home->service_count; i++) {
        home->services[i]->has_unreserved = true;
        place_service(home, now_us,
                      BwSpan_FromString(home->services[i]->name));
    }
}

/* Releases all reservations at a worker that gets no more work, and places
   their tasks elsewhere. */
static void
release_worker(BwHome *home, uint64_t now_us, BwWorkerView *worker)
{
    BwSpan service = BwSpan_FromString(worker->service);

    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        if (job->is_ended || BwHome_FindReservation(job, worker->peer) == NULL)
            continue;
        BwHome_ReleaseReservation(home, job, worker->peer);
        job->home_service->has_unreserved = true;
    }
    place_service(home, now_us, service);
}

/* Returns how many of the worker's free slots may be used.  A worker that is
   being probed gets one task at a time: one slot, when all are free. */
static uint32_t
usable_slots(const BwWorkerView *worker, uint32_t free_slots)
{
    if (!worker->health.is_probing)
        return free_slots;
    return free_slots == worker->slots && free_slots > 0 ? 1 : 0;
}

static void
evaluate_worker(BwHome *home, uint64_t now_us, BwWorkerView *worker)
{
    BwHealth *health = &worker->health;
    bool was_ejected = health->is_ejected;
    BwDecision decision = {.what = "eject", .count = 1};
    BwHealthPeers peers;

    if (!BwHealth_NeedsEvaluation(health))
        return;
    peers = BwWorkers_SumPeers(&home->workers, worker);
    if (!BwHealth_Evaluate(health, &peers, &ejection_rule, &home->random,
                           now_us))
        return;
    BwWorkers_SetFree(worker, usable_slots(worker, worker->free_slots));
    BwWorkers_Refresh(&home->workers, worker);
    decision.choice = worker->name;
    decision.key = BwSpan_FromString(worker->service);
    decision.reason =
        health->is_ejected   ? "it fails tasks and its peers do not"
        : health->is_probing ? "one task at a time, as a probe"
        : health->is_slow    ? "it is slower than its peers; used last"
                             : "it is healthy again";
    if (!health->is_ejected)
        decision.what = "judge";
    home->port->log_decision(home->port_ctx, &decision);
    if (!health->is_ejected || was_ejected)
        return;
    home->counters.ejections++;
    release_worker(home, now_us, worker);
}

/* Applies the state that an executor reports with each message. */
static void
update_worker_state(BwHome *home, uint64_t now_us, BwWorkerView *worker,
                    uint32_t free_slots, BwOutcomes outcomes)
{
    BwHealth_Update(&worker->health, &outcomes);
    BwWorkers_SetFree(worker, usable_slots(worker, free_slots));
    evaluate_worker(home, now_us, worker);
}

void
BwHome_OnLoad(BwHome *home, uint64_t now_us, uint32_t peer, BwSpan name,
              bool is_self, const BwLoad *load)
{
    BwWorkerView *worker = BwHome_FindOrAddWorker(home, peer);
    BwOutcomes outcomes = {load->ended, load->failed_permille,
                           load->pace_permille};

    if (worker == NULL)
        return;
    worker->is_self = is_self;
    if (is_self)
        home->workers.self = worker;
    worker->is_gone = false;
    if (load->is_first)
        home->custody_hooks->link_lost(home, now_us, peer);
    BwSpan_ToString(name, worker->name, sizeof(worker->name));
    worker->is_leaving = load->leaving != 0;
    worker->is_up = true;
    worker->clock_ahead_us = load->clock_us - now_us;
    worker->is_blocked =
        !home->custody_hooks->may_receive_grants(home, worker);
    BwWorkers_SetSlots(&home->workers, worker, load->service, load->slots);
    BwWorkers_SetQueued(worker, load->queued, load->queued_count);
    update_worker_state(home, now_us, worker, load->free_slots, outcomes);
    if (worker->free_slots > 0)
        place_service(home, now_us, load->service);
}

/* Schedules a further attempt of a failed request if its caller marked it as
   idempotent and the retry budget and the deadline allow it, but not after
   backend servers have been lost under BW_CRASHES_MAX attempts: the request
   itself may end them.  Returns whether
   it did. */
static bool
retry_task(BwHome *home, uint64_t now_us, BwJob *job, HomeTask *task,
           BwErrorKind error)
{
    if (error == BW_ERR_BACKEND_LOST || error == BW_ERR_EXECUTOR_LOST) {
        task->crashes++;
        task->loss = error;
    }
    if (job->task_count != 1 || !(job->flags & BW_SUBMIT_IDEMPOTENT) ||
        task->crashes >= BW_CRASHES_MAX)
        return false;
    job->retry_at_us = BwRetryBudget_Spend(
        &job->home_service->retries, &home->random, task->attempt, now_us,
        job->expected_us, job->deadline_us);
    if (job->retry_at_us == 0)
        return false;
    job->avoided_peer = task->peer;
    task->attempt++;
    task->state = TASK_WAITING;
    job->waiting = 1;
    job->first_waiting = 0;
    job->retry_next = home->retry_list;
    home->retry_list = job;
    job->is_in_retry_list = true;
    home->counters.retries++;
    BwHome_LogDecision(home, "retry", job, 1, "", 0,
                       "idempotent, within the budget");
    return true;
}

static void
start_retries(BwHome *home, uint64_t now_us)
{
    BwJob *job = home->retry_list;

    while (job != NULL) {
        BwJob *next = job->retry_next;

        if (job->is_ended || now_us >= job->retry_at_us) {
            BwHome_RemoveFromRetryList(home, job);
            job->retry_at_us = 0;
            BwHome_UpdateWaitingList(job);
            if (!job->is_ended)
                BwHome_PlaceJob(home, now_us, job);
        }
        job = next;
    }
}

void
BwHome_Flush(BwHome *home, uint64_t now_us)
{
    start_retries(home, now_us);
    for (uint32_t i = 0; i < home->workers_to_release.count; i++)
        send_releases(home, home->workers_to_release.items[i]);
    home->workers_to_release.count = 0;
}

static void
resolve_lost_task(BwHome *home, uint64_t now_us, BwJob *job, uint32_t peer)
{
    BwHome_ClearReservation(home, job, peer);
    job->home_service->has_unreserved = true;
    for (uint32_t i = 0; i < job->task_count; i++) {
        HomeTask *task = &job->tasks[i];

        if (task->state != TASK_GRANTED || task->peer != peer)
            continue;
        if (!retry_task(home, now_us, job, task, BW_ERR_EXECUTOR_LOST))
            BwHome_EndJob(home, job, BW_ERR_EXECUTOR_LOST,
                          "a worker was lost with a task running on it");
        return;
    }
}

void
BwHome_ResolveLostTasks(BwHome *home, uint64_t now_us, uint32_t peer)
{
    BwJob *job, *next;

    home->custody_hooks->worker_lost(home, peer);
    HASH_ITER(hh, home->jobs, job, next)
    {
        if (!job->is_ended)
            resolve_lost_task(home, now_us, job, peer);
    }
}

void
BwHome_WorkerLost(BwHome *home, uint64_t now_us, uint32_t peer)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);

    if (worker == NULL)
        return;
    worker->is_up = false;
    worker->is_gone = true;
    home->custody_hooks->link_lost(home, now_us, peer);
    worker->reserved = 0;
    BwWorkers_SetFree(worker, 0);
    BwWorkers_Refresh(&home->workers, worker);
    BwHome_ResolveLostTasks(home, now_us, peer);
    BwHome_PlaceAll(home, now_us);
}

static HomeTask *
find_granted(BwJob *job, uint32_t index, uint32_t peer)
{
    HomeTask *task;

    if (index >= job->task_count)
        return NULL;
    task = &job->tasks[index];
    return task->state == TASK_GRANTED && task->peer == peer ? task : NULL;
}

static void
answer_pull(BwHome *home, uint64_t now_us, BwJob *job, uint32_t peer,
            uint32_t slots)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);
    bool is_refused;
    uint32_t count;

    if (slots == 0 || worker == NULL)
        return;
    BwHome_AdjustReservation(home, job, peer, -(int32_t)slots);
    home->now_us = now_us;
    is_refused = job->is_ended || job->is_held || job->retry_at_us > 0 ||
                 BwHome_CannotFinish(job, now_us) ||
                 worker->health.is_ejected ||
                 !home->custody_hooks->is_usable(home, now_us, worker, job);
    count =
        BwHome_GrantTasks(home, job, worker, is_refused ? 0 : slots, 0, slots);
    if (count == 0) {
        home->counters.pulls_empty++;
        job->home_service->has_unreserved |= !job->is_ended;
        BwHome_CountWastedMessages(home, job->home_service, 2);
        return;
    }
    BwHome_LogDecision(home, "place", job, count, worker->name, 1, "pulled");
    if (job->waiting == 0)
        BwHome_ReleaseAllReservations(home, job);
}

static void
store_answer(BwHome *home, BwJob *job, HomeTask *task, const BwDoneTask *done)
{
    char *copy = malloc(done->body.size_bytes + 1);

    if (copy == NULL) {
        BwHome_EndJob(home, job, BW_ERR_HOME_LOST, "no memory for an answer");
        return;
    }
    if (done->body.size_bytes > 0)
        memcpy(copy, done->body.base, done->body.size_bytes);
    task->answer.base = copy;
    task->answer.size_bytes = done->body.size_bytes;
    task->status = done->status;
    job->bytes += done->body.size_bytes;
    home->bytes += done->body.size_bytes;
}

static void
count_late_answer(BwHome *home)
{
    home->counters.answers_late++;
    home->counters.messages_wasted++;
}

static void
record_outcome(BwHome *home, uint64_t now_us, BwJob *job, uint32_t peer,
               const BwDoneTask *done)
{
    HomeTask *task = find_granted(job, done->index, peer);

    if (task == NULL || job->is_ended || done->attempt < task->attempt) {
        count_late_answer(home);
        return;
    }
    if (done->error != BW_OK) {
        char detail[160];

        if (retry_task(home, now_us, job, task, done->error))
            return;
        task->state = TASK_DONE;
        job->done++;
        home->counters.tasks_done++;
        BwSpan_ToString(done->body, detail, sizeof(detail));
        BwHome_EndJob(home, job,
                      task->loss != BW_OK ? task->loss : BW_ERR_TASK_FAILED,
                      detail);
        return;
    }
    task->state = TASK_DONE;
    job->done++;
    home->counters.tasks_done++;
    BwEstimate_Record(&job->home_service->run_times, done->ran_us,
                      task->task.declared_us);
    if (BwHome_FindEstimate(job->home_service, job->job_class) !=
        &job->home_service->run_times)
        BwEstimate_Record(
            BwHome_FindEstimate(job->home_service, job->job_class),
            done->ran_us, task->task.declared_us);
    store_answer(home, job, task, done);
}

void
BwHome_OnDone(BwHome *home, uint64_t now_us, uint32_t peer, const BwDone *done)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);
    BwJob *job = BwHome_FindJob(home, done->job);
    BwOutcomes outcomes = {done->ended, done->failed_permille,
                           done->pace_permille};

    if (worker != NULL) {
        BwWorkers_SetQueued(worker, done->queued, done->queued_count);
        update_worker_state(home, now_us, worker, done->free_slots, outcomes);
    }
    for (uint32_t i = 0; i < done->task_count; i++) {
        if (job == NULL)
            count_late_answer(home);
        else
            record_outcome(home, now_us, job, peer, &done->tasks[i]);
    }
    if (job == NULL)
        return;
    if (!job->is_ended && job->done == job->task_count)
        BwHome_EndJob(home, job, BW_OK, "every task answered");
    answer_pull(home, now_us, job, peer, done->pull);
    if (worker != NULL && worker->free_slots > 0)
        place_service(home, now_us, BwSpan_FromString(worker->service));
}

static void
return_task(BwHome *home, BwJob *job, uint32_t peer, uint32_t index)
{
    HomeTask *task = find_granted(job, index, peer);

    if (task == NULL)
        return;
    task->state = TASK_WAITING;
    job->waiting++;
    if (index < job->first_waiting)
        job->first_waiting = index;
    home->counters.tasks_declined++;
}

void
BwHome_OnDecline(BwHome *home, uint64_t now_us, uint32_t peer,
                 const BwDecline *decline)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);
    BwJob *job = BwHome_FindJob(home, decline->job);

    if (worker == NULL)
        return;
    BwWorkers_SetQueued(worker, decline->queued, decline->queued_count);
    update_worker_state(home, now_us, worker, decline->free_slots,
                        worker->health.outcomes);
    if (decline->reason == BW_DECLINE_LEAVING)
        worker->is_leaving = true;
    BwWorkers_Refresh(&home->workers, worker);
    if (decline->reason == BW_DECLINE_STALE_FENCE &&
        home->custody_hooks->is_current_fence(worker, decline->fence_number))
        home->custody_hooks->link_lost(home, now_us, peer);
    if (job == NULL)
        return;
    /* The grant is older than the last fence; the answer to that fence tells
       which of its tasks were started. */
    if (!home->custody_hooks->is_current_fence(worker, decline->fence_number))
        return;
    if (decline->task_count == 0)
        BwHome_ClearReservation(home, job, peer);
    for (uint32_t i = 0; i < decline->task_count; i++)
        return_task(home, job, peer, decline->tasks[i].index);
    BwHome_CountWastedMessages(home, job->home_service,
                               decline->reserved > 0 ? 1 : 2);
    if (decline->reserved > 0 && !job->is_ended)
        BwHome_AdjustReservation(home, job, peer, (int32_t)decline->reserved);
    if (!job->is_ended)
        BwHome_PlaceJob(home, now_us, job);
}

void
BwHome_OnPull(BwHome *home, uint64_t now_us, uint32_t peer, const BwPull *pull)
{
    BwJob *job = BwHome_FindJob(home, pull->job);
    BwGrant none = {0};

    if (job != NULL) {
        answer_pull(home, now_us, job, peer, pull->slots);
        return;
    }
    home->counters.pulls_empty++;
    home->counters.messages_wasted += 2;
    none.job = pull->job;
    none.pulled = pull->slots;
    home->port->grant(home->port_ctx, peer, &none);
}

/* -------------------------------------------------------- deadlines */

static void
end_if_overdue(BwHome *home, uint64_t now_us, BwJob *job)
{
    bool is_past = now_us >= job->deadline_us;

    if (job->is_ended || !(is_past || BwHome_CannotFinish(job, now_us)))
        return;
    BwHome_EndJob(home, job,
                  BwHome_MayHaveRun(home, now_us, job)
                      ? BW_ERR_TIMED_OUT_RUNNING
                      : BW_ERR_TIMED_OUT,
                  is_past ? "the deadline passed"
                          : "the job can no longer end by its deadline");
}

void
BwHome_Tick(BwHome *home, uint64_t now_us)
{
    BwJob *job, *next;

    for (uint32_t i = 0; i < home->service_count; i++)
        home->services[i]->pending_waste -= (home->services[i]->pending_waste +
                                             PENDING_WASTE_DECAY_DIVISOR - 1) /
                                            PENDING_WASTE_DECAY_DIVISOR;
    for (uint32_t i = 0; i < home->workers.all.count; i++)
        evaluate_worker(home, now_us, home->workers.all.items[i]);
    HASH_ITER(hh, home->jobs, job, next)
    {
        end_if_overdue(home, now_us, job);
        if (now_us >= job->hedge_at_us)
            BwHome_HedgeJob(home, now_us, job);
        if (job->is_ended && now_us >= job->forget_at_us)
            BwHome_RemoveJob(home, job);
    }
}

uint32_t
BwHome_CountUnfinished(const BwHome *home)
{
    uint32_t count = 0;

    for (const BwJob *job = home->jobs; job != NULL; job = job->hh.next)
        count += !job->is_ended;
    return count;
}
