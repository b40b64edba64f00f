/* job.c -- the jobs of a home: lookup, reservations and results

   A task is in one of three states: waiting, granted (to one worker), done.
   A result is complete or an error: it is sent once every task is done, or as
   soon as one task has failed, which fails the job.

   Which keys the home owns, and to which workers it may grant starts, is
   decided by the functions in home->custody_hooks.  The table in this file is
   for a home without custody, which owns every key and may grant to every
   worker.  recovery.c installs its own table with the first ring.

   Called by jobplacement.c, submission.c, home.c and recovery.c.
*/

#include <stdlib.h>
#include <string.h>

#include "job.h"

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
BwHome_UpdateWaitingList(BwJob *job)
{
    bool is_waiting = !job->is_ended && !job->is_held && job->waiting > 0 &&
                      job->retry_at_us == 0;
    uint32_t counted_waiting = is_waiting ? job->waiting : 0;
    BwJob **first;
    BwJob **last;

    if (counted_waiting != job->counted_waiting) {
        job->home_service->waiting_tasks[job->priority] += counted_waiting;
        job->home_service->waiting_tasks[job->priority] -=
            job->counted_waiting;
        job->counted_waiting = counted_waiting;
    }
    if (is_waiting == job->is_in_waiting_list)
        return;
    first = &job->home_service->waiting[job->priority];
    last = &job->home_service->waiting_last[job->priority];
    job->is_in_waiting_list = is_waiting;
    if (is_waiting) {
        job->list_prev = *last;
        job->list_next = NULL;
        *(job->list_prev != NULL ? &job->list_prev->list_next : first) = job;
        *last = job;
        return;
    }
    *(job->list_prev != NULL ? &job->list_prev->list_next : first) =
        job->list_next;
    *(job->list_next != NULL ? &job->list_next->list_prev : last) =
        job->list_prev;
}

void
BwHome_RemoveFromRetryList(BwHome *home, BwJob *job)
{
    BwJob **link = &home->retry_list;

    if (!job->is_in_retry_list)
        return;
    while (*link != job)
        link = &(*link)->retry_next;
    *link = job->retry_next;
    job->is_in_retry_list = false;
}

static void
leave_team_usage(BwJob *job)
{
    if (job->team_index >= 0)
        job->home_service->teams[job->team_index].tasks -= job->task_count;
    job->team_index = -1;
}

void
BwHome_FreeJob(BwHome *home, BwJob *job)
{
    job->is_ended = true;
    BwHome_UpdateWaitingList(job);
    BwHome_RemoveFromRetryList(home, job);
    for (uint32_t i = 0; i < job->task_count; i++)
        free((void *)job->tasks[i].answer.base);
    leave_team_usage(job);
    home->bytes -= job->bytes;
    home->job_count--;
    free(job->tasks);
    free(job->block);
    free(job->reservations);
    free(job->waiters);
    free(job);
}

void
BwHome_LogDecision(BwHome *home, const char *what, const BwJob *job,
                   uint32_t count, const char *choice, uint32_t alternatives,
                   const char *reason)
{
    BwDecision decision = {what,   job->id,      job->key, count,
                           choice, alternatives, reason};

    home->port->log_decision(home->port_ctx, &decision);
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
    worker->is_blocked =
        !home->custody_hooks->may_receive_grants(home, worker);
    BwWorkers_Refresh(&home->workers, worker);
}

void
BwHome_CountWastedMessages(BwHome *home, BwHomeService *service,
                           uint32_t messages)
{
    home->counters.messages_wasted += messages;
    service->wasted += messages;
    service->pending_waste -=
        messages < service->pending_waste ? messages : service->pending_waste;
}

void
BwHome_SendErrorAfter(BwHome *home, BwWaiter waiter, BwErrorKind error,
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
    bool is_transient =
        error == BW_ERR_OVERLOADED || error == BW_ERR_NO_MEMORY;

    BwHome_SendErrorAfter(home, waiter, error, detail,
                          is_transient ? BW_RETRY_AFTER_MS : 0);
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
queue_release(BwHome *home, BwWorkerView *worker, BwJobId id, uint32_t slots)
{
    BwReleasedJob released = {id, slots};
    uint32_t index;

    if (worker->release_count == worker->release_capacity) {
        uint32_t capacity =
            worker->release_capacity ? worker->release_capacity * 2 : 8;
        BwReleasedJob *grown =
            realloc(worker->releases, capacity * sizeof(BwReleasedJob));

        if (grown == NULL)
            return;
        worker->releases = grown;
        worker->release_capacity = capacity;
    }
    if (worker->release_count == 0 &&
        !BwWorkerList_Append(&home->workers_to_release, worker, &index))
        return;
    worker->releases[worker->release_count++] = released;
}

Reservation *
BwHome_FindReservation(BwJob *job, uint32_t peer)
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
    Reservation *reservation = BwHome_FindReservation(job, peer);
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
clamp_to_zero(int32_t slots)
{
    return slots > 0 ? (uint32_t)slots : 0;
}

int32_t
BwHome_AdjustReservation(BwHome *home, BwJob *job, uint32_t peer,
                         int32_t change)
{
    Reservation *reservation = find_or_add_reservation(job, peer);
    BwWorkerView *worker = BwHome_FindWorker(home, peer);
    uint32_t before, after;

    if (reservation == NULL)
        return 0;
    before = clamp_to_zero(reservation->slots);
    reservation->slots += change;
    after = clamp_to_zero(reservation->slots);
    job->reserved += after - before;
    if (worker != NULL && worker->reserved + after >= before)
        worker->reserved += after - before;
    return reservation->slots;
}

void
BwHome_ClearReservation(BwHome *home, BwJob *job, uint32_t peer)
{
    const Reservation *reservation = BwHome_FindReservation(job, peer);

    if (reservation != NULL && reservation->slots != 0)
        BwHome_AdjustReservation(home, job, peer, -reservation->slots);
}

void
BwHome_ReleaseReservation(BwHome *home, BwJob *job, uint32_t peer)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);
    const Reservation *reservation = BwHome_FindReservation(job, peer);

    if (worker == NULL || reservation == NULL || reservation->slots <= 0)
        return;
    if (!job->is_ended && worker->release_count == 0)
        BwHome_CountWastedMessages(home, job->home_service, 1);
    queue_release(home, worker, job->id, (uint32_t)reservation->slots);
    BwHome_ClearReservation(home, job, peer);
}

void
BwHome_ReleaseAllReservations(BwHome *home, BwJob *job)
{
    for (uint32_t i = 0; i < job->reservation_count; i++)
        BwHome_ReleaseReservation(home, job, job->reservations[i].peer);
}

void
BwHome_RemoveJob(BwHome *home, BwJob *job)
{
    if (!job->is_ended)
        BwHome_ReleaseAllReservations(home, job);
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
    BwHome_UpdateWaitingList(job);
    leave_team_usage(job);
    BwHome_ReleaseAllReservations(home, job);
    BwHome_LogDecision(home, "end", job, job->done,
                       BwError_Describe(error)->name, 0, detail);
    for (uint32_t i = 0; i < job->waiter_count; i++)
        BwHome_SendResult(home, job, job->waiters[i]);
    job->waiter_count = 0;
}

bool
BwHome_CannotFinish(const BwJob *job, uint64_t now_us)
{
    bool is_begun =
        job->waiting < job->task_count || job->tasks[0].attempt > 0;

    if (job->is_ended || job->is_held || job->waiting == 0)
        return false;
    return now_us >
           (is_begun ? job->latest_start_us : job->latest_first_start_us);
}

/* Nothing of a job has run when no task is granted or done, no earlier attempt
   failed, and no other home may have started it.  A declined task counts as
   not started, because its state is waiting again. */
bool
BwHome_MayHaveRun(const BwHome *home, uint64_t now_us, const BwJob *job)
{
    if (job->is_held || !BwHome_Owns(home, now_us, job->id))
        return true;
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state != TASK_WAITING || job->tasks[i].attempt > 0)
            return true;
    }
    return false;
}

BwJob *
BwHome_FindJob(BwHome *home, BwJobId id)
{
    BwJob *job;

    HASH_FIND(hh, home->jobs, &id, sizeof(id), job);
    return job;
}

BwEstimate *
BwHome_FindEstimate(BwHomeService *service, BwSpan job_class)
{
    BwClassEstimate *added;

    for (uint32_t i = 0; i < service->class_count; i++) {
        if (BwSpan_Equal(BwSpan_FromString(service->classes[i].name),
                         job_class))
            return &service->classes[i].run_times;
    }
    if (service->class_count == BW_CLASSES_MAX ||
        job_class.size_bytes >= BW_NAME_BYTES_MAX)
        return &service->run_times;
    added = &service->classes[service->class_count++];
    BwSpan_ToString(job_class, added->name, sizeof(added->name));
    return &added->run_times;
}

bool
BwHome_HasWorker(const BwHome *home, BwSpan service)
{
    return BwWorkers_OfferedSlots(&home->workers, service) > 0;
}

bool
BwHome_Owns(const BwHome *home, uint64_t now_us, BwJobId id)
{
    return home->custody_hooks->owns(home, now_us, id);
}

/* ------------------------------------------- hooks without custody */

static bool
no_custody_owns(const BwHome *home, uint64_t now_us, BwJobId id)
{
    (void)home;
    (void)now_us;
    (void)id;
    return true;
}

static bool
no_custody_is_complete(const BwHome *home, BwJobId id)
{
    (void)home;
    (void)id;
    return true;
}

static bool
no_custody_may_receive_grants(const BwHome *home, const BwWorkerView *worker)
{
    (void)home;
    (void)worker;
    return true;
}

static bool
no_custody_is_usable(const BwHome *home, uint64_t now_us,
                     const BwWorkerView *worker, const BwJob *job)
{
    (void)home;
    (void)now_us;
    (void)worker;
    (void)job;
    return true;
}

static bool
no_custody_is_current(const BwWorkerView *worker, uint64_t number)
{
    (void)worker;
    (void)number;
    return true;
}

static bool
no_custody_may_have_run(const BwHome *home, BwJobId id,
                        uint64_t submitted_wall_us)
{
    (void)home;
    (void)id;
    (void)submitted_wall_us;
    return false;
}

static void
no_custody_stamp(const BwHome *home, const BwWorkerView *worker,
                 const BwJob *job, BwGrant *grant)
{
    (void)home;
    (void)worker;
    grant->fence_number = job->fence_number;
}

static void
no_custody_job(BwHome *home, uint64_t now_us, BwJob *job)
{
    (void)home;
    (void)now_us;
    (void)job;
}

static void
no_custody_link_lost(BwHome *home, uint64_t now_us, uint32_t peer)
{
    (void)home;
    (void)now_us;
    (void)peer;
}

static void
no_custody_worker_lost(BwHome *home, uint32_t peer)
{
    (void)home;
    (void)peer;
}

static void
no_custody_finish(BwHome *home)
{
    (void)home;
}

const BwCustodyHooks BwCustodyHooks_None = {
    .owns = no_custody_owns,
    .is_complete = no_custody_is_complete,
    .may_receive_grants = no_custody_may_receive_grants,
    .is_usable = no_custody_is_usable,
    .is_current_fence = no_custody_is_current,
    .may_have_run = no_custody_may_have_run,
    .set_fence = no_custody_stamp,
    .recover_job = no_custody_job,
    .request_local_start = no_custody_job,
    .link_lost = no_custody_link_lost,
    .worker_lost = no_custody_worker_lost,
    .finish = no_custody_finish,
};
