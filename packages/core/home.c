/* home.c -- the jobs whose home is this agent

   A job goes through admission (submission.c), placement (rounds.c) and
   gathering, which is here with what workers tell.  A task is in one of
   three states: waiting, granted (to one worker), done.  It goes from granted
   back to waiting only by a DECLINE, which is the worker's word that it was
   not started; nothing else ever grants a task again.

   Placement binds late.  A task is granted at once to a worker whose slot is
   known to be free.  When no slot is known, the job leaves reservations at the
   workers, and the worker that frees a slot first pulls the next task.  This
   costs a message for each reservation, and spares the guess of which queue
   is shortest.

   An answer is complete or an error: results are only sent when every task is
   done, and the first failed task fails the job.
*/

#include <stdlib.h>
#include <string.h>

#include "job.h"

#define AHEAD_FADES 16

void
BwHome_Init(BwHome *home, const BwHomeLimits *limits, const BwHomePort *port,
            void *port_ctx, uint64_t seed)
{
    memset(home, 0, sizeof(*home));
    home->seed = seed;
    home->limits = *limits;
    home->port = port;
    home->port_ctx = port_ctx;
    BwWorkers_Init(&home->workers);
    BwPolicy_Init(&home->policy);
    BwRandom_Init(&home->random, home->seed);
    home->epoch = 1;
}

/* ---------------------------------------------------------- services */

BwHomeService *
BwHome_FindOrAddService(BwHome *home, BwSpan name)
{
    BwHomeService *service;
    BwHomeService **grown;

    for (uint32_t i = 0; i < home->service_count; i++) {
        if (BwSpan_Equal(BwSpan_FromString(home->services[i]->name), name))
            return home->services[i];
    }
    grown = realloc(home->services,
                    (home->service_count + 1) * sizeof(BwHomeService *));
    if (grown == NULL)
        return NULL;
    home->services = grown;
    service = calloc(1, sizeof(BwHomeService));
    if (service == NULL)
        return NULL;
    BwSpan_ToString(name, service->name, sizeof(service->name));
    service->policy = BwPolicy_Find(&home->policy, name);
    BwRandom_Init(&service->placement.random, home->seed);
    BwRetryBudget_Init(&service->retries);
    home->services[home->service_count++] = service;
    return service;
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

/* Keeps a job among those with tasks to be placed, or takes it out. */
void
BwHome_ListWaiting(BwJob *job)
{
    bool is_waiting = !job->is_ended && !job->is_held && job->waiting > 0 &&
                      job->retry_at_us == 0;
    uint32_t counted = is_waiting ? job->waiting : 0;
    BwJob **first;
    BwJob **last;

    if (counted != job->counted) {
        job->of->waiting_tasks[job->priority] += counted;
        job->of->waiting_tasks[job->priority] -= job->counted;
        job->counted = counted;
    }
    if (is_waiting == job->is_listed)
        return;
    first = &job->of->waiting[job->priority];
    last = &job->of->waiting_end[job->priority];
    job->is_listed = is_waiting;
    if (is_waiting) {
        job->before = *last;
        job->after = NULL;
        *(job->before != NULL ? &job->before->after : first) = job;
        *last = job;
        return;
    }
    *(job->before != NULL ? &job->before->after : first) = job->after;
    *(job->after != NULL ? &job->after->before : last) = job->before;
}

static void
forget_retry(BwHome *home, BwJob *job)
{
    BwJob **place = &home->retrying;

    if (!job->is_retrying)
        return;
    while (*place != job)
        place = &(*place)->next_retrying;
    *place = job->next_retrying;
    job->is_retrying = false;
}

static void
leave_team(BwJob *job)
{
    if (job->team_use >= 0)
        job->of->teams[job->team_use].tasks -= job->task_count;
    job->team_use = -1;
}

void
BwHome_FreeJob(BwHome *home, BwJob *job)
{
    job->is_ended = true;
    BwHome_ListWaiting(job);
    forget_retry(home, job);
    for (uint32_t i = 0; i < job->task_count; i++)
        free((void *)job->tasks[i].answer.base);
    leave_team(job);
    home->bytes -= job->bytes;
    home->job_count--;
    free(job->tasks);
    free(job->block);
    free(job->reservations);
    free(job->waiters);
    free(job);
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
    BwRecovery_Finish(home);
    free(home->services);
    free(home->released.items);
    BwWorkers_Finish(&home->workers);
    BwPolicy_Finish(&home->policy);
    memset(home, 0, sizeof(*home));
}

void
BwHome_Decide(BwHome *home, const char *what, const BwJob *job, uint32_t count,
              const char *choice, uint32_t alternatives, const char *reason)
{
    BwDecision decision = {what,   job->id,      job->key, count,
                           choice, alternatives, reason};

    home->port->decide(home->port_ctx, &decision);
}

BwWorkerView *
BwHome_FindWorker(BwHome *home, uint32_t peer)
{
    return BwWorkers_Find(&home->workers, peer);
}

BwWorkerView *
BwHome_FindOrAddWorker(BwHome *home, uint32_t peer)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);

    return worker != NULL ? worker : BwWorkers_Add(&home->workers, peer);
}

void
BwHome_RefreshWorker(BwHome *home, BwWorkerView *worker)
{
    worker->is_barred = !BwRecovery_IsEngaged(home, worker);
    BwWorkers_Refresh(&home->workers, worker);
}

static void
count_wasted(BwHome *home, BwHomeService *service, uint32_t messages)
{
    home->counters.messages_wasted += messages;
    service->wasted += messages;
    service->wasted_ahead -=
        messages < service->wasted_ahead ? messages : service->wasted_ahead;
}

/* ----------------------------------------------------------- results */

void
BwHome_SendRefusal(BwHome *home, BwWaiter waiter, BwErrorKind error,
                   const char *detail, uint32_t retry_after_ms)
{
    BwResult result = {0};

    result.request_id = waiter.request_id;
    result.error = error;
    result.detail = BwSpan_FromString(detail);
    result.retry_after_ms = retry_after_ms;
    home->port->result(home->port_ctx, waiter, &result);
}

void
BwHome_SendError(BwHome *home, BwWaiter waiter, BwErrorKind error,
                 const char *detail)
{
    bool is_passing = error == BW_ERR_OVERLOADED || error == BW_ERR_NO_MEMORY;

    BwHome_SendRefusal(home, waiter, error, detail,
                       is_passing ? BW_RETRY_AFTER_MS : 0);
}

void
BwHome_SendResult(BwHome *home, const BwJob *job, BwWaiter waiter)
{
    BwResult result = {0};
    BwAnswer *answers;

    if (job->error != BW_OK) {
        BwHome_SendError(home, waiter, job->error, job->detail);
        return;
    }
    answers = calloc(job->task_count, sizeof(BwAnswer));
    if (answers == NULL) {
        BwHome_SendError(home, waiter, BW_ERR_HOME_LOST,
                         "no memory for the answer");
        return;
    }
    for (uint32_t i = 0; i < job->task_count; i++) {
        answers[i].status = job->tasks[i].status;
        answers[i].body = job->tasks[i].answer;
    }
    result.request_id = waiter.request_id;
    result.answers = answers;
    result.answer_count = job->task_count;
    home->port->result(home->port_ctx, waiter, &result);
    free(answers);
}

static void
collect_release(BwHome *home, BwWorkerView *worker, BwJobId id, uint32_t slots)
{
    BwReleasedJob released = {id, slots};
    uint32_t place;

    if (worker->release_count == worker->release_room) {
        uint32_t room = worker->release_room ? worker->release_room * 2 : 8;
        BwReleasedJob *grown =
            realloc(worker->releases, room * sizeof(BwReleasedJob));

        if (grown == NULL)
            return;
        worker->releases = grown;
        worker->release_room = room;
    }
    if (worker->release_count == 0 &&
        !BwWorkerList_Append(&home->released, worker, &place))
        return;
    worker->releases[worker->release_count++] = released;
}

/* A worker stays in the list of those with releases until the flush. */
static void
send_releases(BwHome *home, BwWorkerView *worker)
{
    BwRelease release = {worker->releases, worker->release_count};

    worker->release_count = 0;
    if (worker->is_up && release.job_count > 0)
        home->port->release(home->port_ctx, worker->peer, &release);
}

static Reservation *
find_reservation(BwJob *job, uint32_t peer)
{
    for (uint32_t i = 0; i < job->reservation_count; i++) {
        if (job->reservations[i].peer == peer)
            return &job->reservations[i];
    }
    return NULL;
}

static Reservation *
find_or_add_reservation(BwJob *job, uint32_t peer)
{
    Reservation *reservation = find_reservation(job, peer);
    Reservation *grown;

    if (reservation != NULL)
        return reservation;
    grown = realloc(job->reservations,
                    (job->reservation_count + 1) * sizeof(Reservation));
    if (grown == NULL)
        return NULL;
    job->reservations = grown;
    reservation = &grown[job->reservation_count++];
    reservation->peer = peer;
    reservation->slots = 0;
    return reservation;
}

static uint32_t
above_zero(int32_t slots)
{
    return slots > 0 ? (uint32_t)slots : 0;
}

int32_t
BwHome_Reserve(BwHome *home, BwJob *job, uint32_t peer, int32_t change)
{
    Reservation *reservation = find_or_add_reservation(job, peer);
    BwWorkerView *worker = BwHome_FindWorker(home, peer);
    uint32_t before, after;

    if (reservation == NULL)
        return 0;
    before = above_zero(reservation->slots);
    reservation->slots += change;
    after = above_zero(reservation->slots);
    job->reserved += after - before;
    if (worker != NULL && worker->reserved + after >= before)
        worker->reserved += after - before;
    return reservation->slots;
}

void
BwHome_Unreserve(BwHome *home, BwJob *job, uint32_t peer)
{
    const Reservation *reservation = find_reservation(job, peer);

    if (reservation != NULL && reservation->slots != 0)
        BwHome_Reserve(home, job, peer, -reservation->slots);
}

/* Has the worker told to drop what the job reserved there. */
static void
release_at(BwHome *home, BwJob *job, uint32_t peer)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);
    const Reservation *reservation = find_reservation(job, peer);

    if (worker == NULL || reservation == NULL || reservation->slots <= 0)
        return;
    if (!job->is_ended && worker->release_count == 0)
        count_wasted(home, job->of, 1);
    collect_release(home, worker, job->id, (uint32_t)reservation->slots);
    BwHome_Unreserve(home, job, peer);
}

/* Tells the workers that still hold reservations that none is needed. */
void
BwHome_ReleaseReservations(BwHome *home, BwJob *job)
{
    for (uint32_t i = 0; i < job->reservation_count; i++)
        release_at(home, job, job->reservations[i].peer);
}

void
BwHome_RemoveJob(BwHome *home, BwJob *job)
{
    if (!job->is_ended)
        BwHome_ReleaseReservations(home, job);
    HASH_DEL(home->jobs, job);
    BwHome_FreeJob(home, job);
}

void
BwHome_EndJob(BwHome *home, BwJob *job, BwErrorKind error, const char *detail)
{
    if (job->is_ended)
        return;
    job->is_ended = true;
    job->error = error;
    strncpy(job->detail, detail, sizeof(job->detail) - 1);
    if (error == BW_OK)
        home->counters.jobs_complete++;
    else
        home->counters.jobs_failed++;
    BwHome_ListWaiting(job);
    leave_team(job);
    BwHome_ReleaseReservations(home, job);
    BwHome_Decide(home, "end", job, job->done, BwError_Describe(error)->name,
                  0, detail);
    for (uint32_t i = 0; i < job->waiter_count; i++)
        BwHome_SendResult(home, job, job->waiters[i]);
    job->waiter_count = 0;
}

bool
BwHome_IsTooLate(const BwJob *job, uint64_t now_us)
{
    bool is_begun =
        job->waiting < job->task_count || job->tasks[0].attempt > 0;

    if (job->is_ended || job->is_held || job->waiting == 0)
        return false;
    return now_us > (is_begun ? job->last_start_us : job->start_by_us);
}

/* A job has run nothing when no grant is outstanding or done, no earlier
   attempt failed, and no other home may have run it; a declined grant is a
   task that was not started. */
bool
BwHome_HasRun(const BwHome *home, uint64_t now_us, const BwJob *job)
{
    if (job->is_held || !BwHome_Owns(home, now_us, job->id))
        return true;
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state != TASK_WAITING || job->tasks[i].attempt > 0)
            return true;
    }
    return false;
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

/* Places what waits for slots of one service, first come first.  Jobs whose
   tasks all have reservations are looked at only when there is a free slot to
   move one to. */
static void
place_waiting(BwHome *home, uint64_t now_us, BwHomeService *service,
              const BwWorkerGroup *group)
{
    bool has_unreserved = service->has_unreserved;

    service->has_unreserved = false;
    for (uint32_t i = 0; i < BW_PRIORITIES; i++) {
        BwJob *job = service->waiting[i];

        while (job != NULL) {
            BwJob *after = job->after;

            if (!has_unreserved &&
                !(has_free_slot(group) && BwHome_MayMove(service, group)))
                return;
            BwHome_PlaceJob(home, now_us, job);
            job = after;
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
        BwHome_ListWaiting(job);
    for (uint32_t i = 0; i < home->service_count; i++) {
        home->services[i]->has_unreserved = true;
        place_service(home, now_us,
                      BwSpan_FromString(home->services[i]->name));
    }
}

/* Takes the jobs' reservations away from a worker that gets no more work. */
static void
move_reservations(BwHome *home, uint64_t now_us, BwWorkerView *worker)
{
    BwSpan service = BwSpan_FromString(worker->service);

    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        if (job->is_ended || find_reservation(job, worker->peer) == NULL)
            continue;
        release_at(home, job, worker->peer);
        job->of->has_unreserved = true;
    }
    place_service(home, now_us, service);
}

static void
judge_worker(BwHome *home, uint64_t now_us, BwWorkerView *worker)
{
    bool was_ejected = worker->is_ejected;
    BwDecision decision = {.what = "eject", .count = 1};

    if (!BwHealth_Judge(&home->workers, worker, &home->random, now_us))
        return;
    BwWorkers_SetFree(worker, BwHealth_Usable(worker, worker->free_slots));
    BwWorkers_Refresh(&home->workers, worker);
    decision.choice = worker->name;
    decision.key = BwSpan_FromString(worker->service);
    decision.reason = worker->is_ejected   ? "it fails and its peers do not"
                      : worker->is_probing ? "one task at a time, as a probe"
                      : worker->is_slow    ? "it is slow; used last"
                                           : "it is well again";
    if (!worker->is_ejected)
        decision.what = "judge";
    home->port->decide(home->port_ctx, &decision);
    if (!worker->is_ejected || was_ejected)
        return;
    home->counters.ejections++;
    move_reservations(home, now_us, worker);
}

/* Takes what a message of the executor says about its state. */
static void
observe_worker(BwHome *home, uint64_t now_us, BwWorkerView *worker,
               uint32_t free_slots, BwOutcomes outcomes)
{
    if (outcomes.ended > worker->outcomes.ended)
        worker->outcomes = outcomes;
    BwWorkers_SetFree(worker, BwHealth_Usable(worker, free_slots));
    judge_worker(home, now_us, worker);
}

void
BwHome_WorkerLoad(BwHome *home, uint64_t now_us, uint32_t peer, BwSpan name,
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
        BwHome_LinkLost(home, now_us, peer);
    BwSpan_ToString(name, worker->name, sizeof(worker->name));
    worker->is_leaving = load->leaving != 0;
    worker->is_up = true;
    worker->clock_ahead_us = load->clock_us - now_us;
    worker->is_barred = !BwRecovery_IsEngaged(home, worker);
    BwWorkers_SetSlots(&home->workers, worker, load->service, load->slots);
    BwWorkers_SetQueued(worker, load->queued, load->queued_count);
    observe_worker(home, now_us, worker, load->free_slots, outcomes);
    if (worker->free_slots > 0)
        place_service(home, now_us, load->service);
}

/* Gives a failed request a further attempt, where its caller allows it and
   the budget and the deadline have room. */
static bool
retry_task(BwHome *home, uint64_t now_us, BwJob *job, HomeTask *task)
{
    if (job->task_count != 1 || !(job->flags & BW_SUBMIT_IDEMPOTENT))
        return false;
    job->retry_at_us =
        BwRetryBudget_Spend(&job->of->retries, &home->random, task->attempt,
                            now_us, job->expected_us, job->deadline_us);
    if (job->retry_at_us == 0)
        return false;
    job->avoided_peer = task->peer;
    task->attempt++;
    task->state = TASK_WAITING;
    job->waiting = 1;
    job->next_waiting = 0;
    job->next_retrying = home->retrying;
    home->retrying = job;
    job->is_retrying = true;
    home->counters.retries++;
    BwHome_Decide(home, "retry", job, 1, "", 0,
                  "idempotent, within the budget");
    return true;
}

static void
start_retries(BwHome *home, uint64_t now_us)
{
    BwJob *job = home->retrying;

    while (job != NULL) {
        BwJob *next = job->next_retrying;

        if (job->is_ended || now_us >= job->retry_at_us) {
            forget_retry(home, job);
            job->retry_at_us = 0;
            BwHome_ListWaiting(job);
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
    for (uint32_t i = 0; i < home->released.count; i++)
        send_releases(home, home->released.items[i]);
    home->released.count = 0;
}

static void
lose_tasks_of(BwHome *home, uint64_t now_us, BwJob *job, uint32_t peer)
{
    BwHome_Unreserve(home, job, peer);
    job->of->has_unreserved = true;
    for (uint32_t i = 0; i < job->task_count; i++) {
        HomeTask *task = &job->tasks[i];

        if (task->state != TASK_GRANTED || task->peer != peer)
            continue;
        if (!retry_task(home, now_us, job, task))
            BwHome_EndJob(home, job, BW_ERR_EXECUTOR_LOST,
                          "a worker was lost with a task running on it");
        return;
    }
}

void
BwHome_LoseTasks(BwHome *home, uint64_t now_us, uint32_t peer)
{
    BwJob *job, *next;

    BwRecovery_LoseOrphans(home, peer);
    HASH_ITER(hh, home->jobs, job, next)
    {
        if (!job->is_ended)
            lose_tasks_of(home, now_us, job, peer);
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
    BwHome_LinkLost(home, now_us, peer);
    worker->reserved = 0;
    BwWorkers_SetFree(worker, 0);
    BwWorkers_Refresh(&home->workers, worker);
    BwHome_LoseTasks(home, now_us, peer);
    BwHome_PlaceAll(home, now_us);
}

BwJob *
BwHome_FindJob(BwHome *home, BwJobId id)
{
    BwJob *job;

    HASH_FIND(hh, home->jobs, &id, sizeof(id), job);
    return job;
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
    BwHome_Reserve(home, job, peer, -(int32_t)slots);
    home->now_us = now_us;
    is_refused = job->is_ended || job->is_held || job->retry_at_us > 0 ||
                 BwHome_IsTooLate(job, now_us) || worker->is_ejected ||
                 !BwRecovery_IsUsable(home, now_us, worker, job);
    count =
        BwHome_GrantTasks(home, job, worker, is_refused ? 0 : slots, 0, slots);
    if (count == 0) {
        home->counters.pulls_empty++;
        job->of->has_unreserved |= !job->is_ended;
        count_wasted(home, job->of, 2);
        return;
    }
    BwHome_Decide(home, "place", job, count, worker->name, 1, "pulled");
    if (job->waiting == 0)
        BwHome_ReleaseReservations(home, job);
}

static void
record_answer(BwHome *home, BwJob *job, HomeTask *task, const BwDoneTask *done)
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
drop_late(BwHome *home)
{
    home->counters.answers_late++;
    home->counters.messages_wasted++;
}

static void
take_answer(BwHome *home, uint64_t now_us, BwJob *job, uint32_t peer,
            const BwDoneTask *done)
{
    HomeTask *task = find_granted(job, done->index, peer);

    if (task == NULL || job->is_ended || done->attempt < task->attempt) {
        drop_late(home);
        return;
    }
    if (done->error != BW_OK) {
        char detail[160];

        if (retry_task(home, now_us, job, task))
            return;
        task->state = TASK_DONE;
        job->done++;
        home->counters.tasks_done++;
        BwSpan_ToString(done->body, detail, sizeof(detail));
        BwHome_EndJob(home, job, BW_ERR_TASK_FAILED, detail);
        return;
    }
    task->state = TASK_DONE;
    job->done++;
    home->counters.tasks_done++;
    BwEstimate_Record(&job->of->runs, done->ran_us, task->task.declared_us);
    if (BwHome_FindEstimate(job->of, job->job_class) != &job->of->runs)
        BwEstimate_Record(BwHome_FindEstimate(job->of, job->job_class),
                          done->ran_us, task->task.declared_us);
    record_answer(home, job, task, done);
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
        observe_worker(home, now_us, worker, done->free_slots, outcomes);
    }
    for (uint32_t i = 0; i < done->task_count; i++) {
        if (job == NULL)
            drop_late(home);
        else
            take_answer(home, now_us, job, peer, &done->tasks[i]);
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
take_back(BwHome *home, BwJob *job, uint32_t peer, uint32_t index)
{
    HomeTask *task = find_granted(job, index, peer);

    if (task == NULL)
        return;
    task->state = TASK_WAITING;
    job->waiting++;
    if (index < job->next_waiting)
        job->next_waiting = index;
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
    observe_worker(home, now_us, worker, decline->free_slots,
                   worker->outcomes);
    if (decline->reason == BW_DECLINE_LEAVING)
        worker->is_leaving = true;
    BwWorkers_Refresh(&home->workers, worker);
    if (decline->reason == BW_DECLINE_STALE_EPOCH &&
        decline->epoch == worker->fence_number)
        BwHome_LinkLost(home, now_us, peer);
    if (job == NULL)
        return;
    /* An older grant than the last fence; the answer to that settles it. */
    if (home->ring != NULL && decline->epoch != worker->fence_number)
        return;
    if (decline->task_count == 0)
        BwHome_Unreserve(home, job, peer);
    for (uint32_t i = 0; i < decline->task_count; i++)
        take_back(home, job, peer, decline->tasks[i].index);
    count_wasted(home, job->of, decline->reserved > 0 ? 1 : 2);
    if (decline->reserved > 0 && !job->is_ended)
        BwHome_Reserve(home, job, peer, (int32_t)decline->reserved);
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

/* ------------------------------------------------------------- time */

static void
end_in_time(BwHome *home, uint64_t now_us, BwJob *job)
{
    bool is_past = now_us >= job->deadline_us;

    if (job->is_ended || !(is_past || BwHome_IsTooLate(job, now_us)))
        return;
    BwHome_EndJob(home, job,
                  BwHome_HasRun(home, now_us, job) ? BW_ERR_TIMED_OUT_RUNNING
                                                   : BW_ERR_TIMED_OUT,
                  is_past ? "the deadline passed"
                          : "the job can no longer end by its deadline");
}

void
BwHome_Tick(BwHome *home, uint64_t now_us)
{
    BwJob *job, *next;

    for (uint32_t i = 0; i < home->service_count; i++)
        home->services[i]->wasted_ahead -=
            (home->services[i]->wasted_ahead + AHEAD_FADES - 1) / AHEAD_FADES;
    for (uint32_t i = 0; i < home->workers.all.count; i++)
        judge_worker(home, now_us, home->workers.all.items[i]);
    HASH_ITER(hh, home->jobs, job, next)
    {
        end_in_time(home, now_us, job);
        if (now_us >= job->hedge_at_us)
            BwHome_HedgeJob(home, now_us, job);
        if (job->is_ended && now_us >= job->drop_us)
            BwHome_RemoveJob(home, job);
    }
}

uint32_t
BwHome_Unfinished(const BwHome *home)
{
    uint32_t count = 0;

    for (const BwJob *job = home->jobs; job != NULL; job = job->hh.next)
        count += !job->is_ended;
    return count;
}
