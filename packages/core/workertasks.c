/* workertasks.c -- tasks of one worker: queue, resources, outcomes, orders

   Every task here is queued, starting, running or stopping.  The last three
   may be on the worker, and their resources are in `used`.  The queue is in
   order of priority and due time.  Whatever fits is started, so a smaller task
   may overtake a larger one of the same priority, but what a waiting task
   needs is set aside from less urgent ones: else these would take each core
   that becomes free, and a large urgent task would wait for all of them.  With
   BW_BACKFILL_EASY the first task that does not fit has a reservation: what
   overtakes it must not delay it, and may then also be less urgent.
   Orders carry times on the worker's clock, computed from its last reading; no
   task is started when that reading is older than BW_CLOCK_STALE_US.

   Finding a task is one hash look-up.  A load report, which goes with every
   answer to a dispatcher, is a walk over all tasks, since it includes their
   progress.

   supervisor.c, workerlink.c and workerlife.c call these functions.
*/

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "brasswing.h"
#include "resources.h"
#include "workertasks.h"

/* Weight of the mean pace of ended tasks; each running task has weight 1. */
#define ENDED_TASKS_WEIGHT 4
#define SLOW_PACE_PERMILLE 2000
/* The pace of a single task is capped at this value, and a worker in
   quarantine is reported with it. */
#define PACE_MAX_PERMILLE 8000
/* The pace of a task that has run for less is not counted. */
#define PROGRESS_AFTER_US 80000
/* A task at 0 % is expected to run this many times as long as until now. */
#define STUCK_FACTOR 4
/* Added to the lease besides the clock drift. */
#define LEASE_MARGIN_US 20000
/* Progress from which on the end of a task is extrapolated. */
#define PERCENT_MIN 20

static const char *const decline_reasons[] = {
    [BW_DECLINE_BUSY] = "no free resources in time",
    [BW_DECLINE_LATE] = "the deadline passed",
    [BW_DECLINE_LEAVING] = "the worker or its supervisor takes no tasks",
    [BW_DECLINE_NO_SERVICE] = "the worker is of another service",
    [BW_DECLINE_NO_SESSION] = "the session has lapsed",
    [BW_DECLINE_DUPLICATE] = "the task is queued or running here already",
    [BW_DECLINE_UNSUITED] = "label, spread limit or capacity does not suit",
    [BW_DECLINE_REFUSED] = "refused by the worker",
    [BW_DECLINE_EVACUATED] = "the failure domain is evacuated",
    [BW_DECLINE_CANCELLED] = "the job is cancelled",
};

bool
BwWorkerTasks_IsOnWorker(const BwWorkerTask *task)
{
    return task->state != BW_WORKER_TASK_QUEUED;
}

bool
BwWorkerTasks_IsResponsive(const BwSupervisor *s, uint64_t now_us)
{
    return s->answer_due_us == 0 || now_us < s->answer_due_us;
}

bool
BwWorkerTasks_IsUsable(const BwSupervisor *s, uint64_t now_us)
{
    return s->phase == BW_WORKER_READY && !s->is_worker_leaving &&
           !s->is_leaving && !s->is_evacuated && s->down_since_us == 0 &&
           BwWorkerTasks_IsResponsive(s, now_us);
}

/* Whether the next task may start.  A worker on which no task made progress is
   in quarantine, then on probation with one task at a time. */
static bool
may_start(const BwSupervisor *s, uint64_t now_us)
{
    return s->quarantine_us == 0 ||
           (now_us >= s->quarantine_until_us &&
            HASH_COUNT(s->tasks_by_key) == s->queued_count);
}

/* --------------------------------------------------------------- load */

/* Returns the mean ratio of actual to expected run time in permille, over
   ended tasks and those that run, whose run time is extrapolated from their
   progress.  Returns PACE_MAX_PERMILLE during quarantine, and 1000 unless the
   ratio is above SLOW_PACE_PERMILLE: the declared time of a single task can be
   far off, so small differences mean nothing. */
static uint32_t
slow_permille(const BwSupervisor *s, uint64_t now_us)
{
    uint64_t ended_pace = s->outcomes.pace_permille;
    uint64_t sum = (ended_pace > 0 ? ended_pace : 1000) * ENDED_TASKS_WEIGHT;
    uint64_t count = ENDED_TASKS_WEIGHT;
    uint64_t mean;

    if (now_us < s->quarantine_until_us)
        return PACE_MAX_PERMILLE;
    for (const BwWorkerTask *task = s->tasks_by_key; task != NULL;
         task = task->hh.next) {
        uint64_t ran_us = now_us - task->started_us;
        uint64_t whole_us, pace;

        if (task->state != BW_WORKER_TASK_RUNNING ||
            ran_us < PROGRESS_AFTER_US)
            continue;
        whole_us = task->percent > 0 ? ran_us * 100 / task->percent
                                     : ran_us * STUCK_FACTOR;
        pace = whole_us * 1000 / (task->expected_us + 1000);
        sum += pace < PACE_MAX_PERMILLE ? pace : PACE_MAX_PERMILLE;
        count++;
    }
    mean = sum / count;
    return mean > SLOW_PACE_PERMILLE ? (uint32_t)mean : 1000;
}

/* Returns the expected time until the next task on the worker ends: the mean
   remaining time of the tasks on the worker, divided by their number.  A task
   that runs longer than expected is expected to need half as long again. */
static uint64_t
release_in_us(const BwSupervisor *s, uint64_t now_us)
{
    uint64_t left_us = 0, count = 0;

    for (const BwWorkerTask *task = s->tasks_by_key; task != NULL;
         task = task->hh.next) {
        uint64_t run_us = task->expected_us;
        uint64_t ran_us = now_us - task->started_us;

        if (!BwWorkerTasks_IsOnWorker(task))
            continue;
        count++;
        if (task->state != BW_WORKER_TASK_STOPPING)
            left_us += ran_us < run_us ? run_us - ran_us : ran_us / 2;
    }
    return count > 0 ? left_us / count / count : 0;
}

BwWorkerLoad
BwWorkerTasks_MakeLoad(const BwSupervisor *s, const BwSupervisorPeer *peer,
                       uint64_t now_us)
{
    BwWorkerLoad load = {0};

    load.place_seen = peer->place_seen;
    if (may_start(s, now_us) && s->exclusive_count == 0) {
        load.free = s->capacity;
        BwResources_Subtract(&load.free, &s->used);
    }
    load.queued = s->queued_count;
    load.queued_urgent = s->queued_urgent;
    load.release_in_us = release_in_us(s, now_us);
    load.slow_permille = slow_permille(s, now_us);
    load.ended = s->outcomes.ended;
    load.failed_permille = s->outcomes.failed_permille;
    return load;
}

void
BwWorkerTasks_Report(BwSupervisor *s, uint64_t now_us, uint32_t peer_id,
                     uint64_t ref, uint32_t step, BwTaskOutcome *tasks,
                     uint32_t task_count)
{
    BwMessage message = {.kind = BW_MSG_OUTCOME};
    BwSupervisorPeer *peer;
    BwWorkerLoad load;

    HASH_FIND(hh, s->peers, &peer_id, sizeof(peer_id), peer);
    if (peer == NULL || task_count == 0)
        return;
    load = BwWorkerTasks_MakeLoad(s, peer, now_us);
    message.u.outcome.ref = ref;
    message.u.outcome.step = step;
    message.u.outcome.tasks = tasks;
    message.u.outcome.task_count = task_count;
    message.u.outcome.load = &load;
    message.u.outcome.load_count = 1;
    s->port->send(s->ctx, peer_id, &message);
}

/* -------------------------------------------------------------- tasks */

static void
count_unqueued(BwSupervisor *s, const BwWorkerTask *task)
{
    s->queued_count--;
    s->queued_urgent -= task->priority == 0;
}

void
BwWorkerTasks_Unlink(BwSupervisor *s, BwWorkerTask *task)
{
    BwSupervisorPeer *peer;

    if (task->state == BW_WORKER_TASK_QUEUED) {
        DL_DELETE(s->queue, task);
        count_unqueued(s, task);
    }
    else {
        BwResources_Subtract(&s->used, &task->resources);
    }
    s->exclusive_count -= task->is_exclusive;
    HASH_DELETE(hh, s->tasks_by_key, task);
    HASH_DELETE(by_number, s->tasks_by_number, task);
    if (task->peer == 0 && s->tasks_without_peer > 0)
        s->tasks_without_peer--;
    HASH_FIND(hh, s->peers, &task->peer, sizeof(task->peer), peer);
    if (peer != NULL)
        peer->live_task_count--;
}

void
BwWorkerTasks_Free(BwWorkerTask *task)
{
    if (--task->text->references == 0)
        free(task->text);
    free(task);
}

static void
count_outcome(BwSupervisor *s, const BwWorkerTask *task, uint32_t kind,
              uint64_t ran_us)
{
    uint64_t expected_us = task->expected_us > 1000 ? task->expected_us : 1000;
    uint64_t far_us = expected_us * PACE_MAX_PERMILLE / 1000;

    if (kind == BW_OUTCOME_DONE || kind == BW_OUTCOME_FAILED)
        BwOutcomes_Record(&s->outcomes, kind == BW_OUTCOME_FAILED,
                          ran_us < far_us ? ran_us : far_us, expected_us);
    if (kind == BW_OUTCOME_DONE && task->started_us > s->quarantine_until_us)
        s->quarantine_us = 0;
    s->counters.done += kind == BW_OUTCOME_DONE;
    s->counters.failed += kind == BW_OUTCOME_FAILED;
    s->counters.lost += kind == BW_OUTCOME_LOST || kind == BW_OUTCOME_CRASHED;
    s->counters.declined += kind == BW_OUTCOME_NOT_RUN;
}

void
BwWorkerTasks_Remove(BwSupervisor *s, uint64_t now_us, BwWorkerTask *task,
                     uint32_t kind, uint32_t reason)
{
    BwTaskOutcome outcome = {task->key.index, kind, reason, 0};

    if (task->started_us != 0)
        outcome.ran_us = now_us - task->started_us;
    if (task->state == BW_WORKER_TASK_QUEUED && kind == BW_OUTCOME_NOT_RUN)
        s->port->log(s->ctx, "decline", task, 1, decline_reasons[reason]);
    BwWorkerTasks_Unlink(s, task);
    count_outcome(s, task, kind, outcome.ran_us);
    if (kind != 0 && task->peer != 0)
        BwWorkerTasks_Report(s, now_us, task->peer, task->ref, task->key.step,
                             &outcome, 1);
    BwWorkerTasks_Free(task);
}

void
BwWorkerTasks_LogDeclined(const BwSupervisor *s, const BwPlace *place,
                          const BwTaskOutcome *declined, uint32_t count)
{
    BwWorkerTask task = {.key.step = place->step, .run = 1};
    uint32_t first = 0;

    BwSpan_ToString(place->job, task.key.job, sizeof(task.key.job));
    for (uint32_t i = 1; i <= count; i++) {
        if (i < count && declined[i].reason == declined[first].reason)
            continue;
        task.key.index = declined[first].index;
        s->port->log(s->ctx, "decline", &task, i - first,
                     decline_reasons[declined[first].reason]);
        first = i;
    }
}

/* ------------------------------------------------------------- orders */

static BwTaskOrder
make_order(BwSupervisor *s, const BwWorkerTask *task)
{
    BwTaskOrder order = {0};

    order.instance = BwSpan_FromString(s->instance);
    order.job = BwSpan_FromString(task->key.job);
    order.spec.base = task->text->spec;
    order.spec.size_bytes = task->text->spec_bytes;
    order.step = task->key.step;
    order.index = task->key.index;
    order.run = task->run;
    order.fence = s->fence;
    return order;
}

uint64_t
BwWorkerTasks_WorkerClock(const BwSupervisor *s, uint64_t now_us)
{
    return s->clock_ms + (now_us - s->clock_read_us) / 1000;
}

void
BwWorkerTasks_ExtendLease(BwSupervisor *s, uint64_t now_us, uint64_t length_us)
{
    uint64_t end_us =
        now_us + length_us * BW_LEASE_DRIFT_PERMILLE / 1000 + LEASE_MARGIN_US;

    if (end_us <= s->lease_end_us)
        return;
    s->lease_end_us = end_us;
    s->is_lease_over = false;
}

void
BwWorkerTasks_SendStart(BwSupervisor *s, uint64_t now_us, BwWorkerTask *task)
{
    BwTaskOrder order = make_order(s, task);

    order.lease_ms =
        BwWorkerTasks_WorkerClock(s, now_us) + s->limits.lease_us / 1000;
    BwWorkerTasks_ExtendLease(s, now_us, s->limits.lease_us);
    task->lease_end_ms = order.lease_ms;
    task->started_us = now_us;
    s->counters.started++;
    task->start_settled_us = 0;
    if (s->port->start(s->ctx, task->number, &order))
        return;
    task->start_settled_us = now_us;
    s->counters.unanswered++;
    s->port->log(s->ctx, "unanswered", task, 1, "the start could not be sent");
    task->unanswered_us = now_us;
}

void
BwWorkerTasks_SendStop(BwSupervisor *s, BwWorkerTask *task)
{
    BwTaskOrder order = make_order(s, task);

    task->is_stop_in_flight = s->port->stop(s->ctx, task->number, &order);
    s->counters.unanswered += !task->is_stop_in_flight;
}

void
BwWorkerTasks_End(BwSupervisor *s, uint64_t now_us, BwWorkerTask *task,
                  uint32_t kind, uint32_t reason, const char *why)
{
    if (task->state == BW_WORKER_TASK_STOPPING)
        return;
    if (task->state == BW_WORKER_TASK_QUEUED) {
        if (kind != BW_OUTCOME_NOT_RUN)
            s->port->log(s->ctx, "drop", task, 1, why);
        BwWorkerTasks_Remove(s, now_us, task, kind, reason);
        return;
    }
    s->port->log(s->ctx, "stop", task, 1, why);
    task->state = BW_WORKER_TASK_STOPPING;
    task->outcome = kind;
    task->reason = reason;
    s->counters.stopped++;
    BwWorkerTasks_SendStop(s, task);
}

/* -------------------------------------------------------------- queue */

static int
compare_tasks(const BwWorkerTask *left, const BwWorkerTask *right)
{
    if (left->priority != right->priority)
        return left->priority < right->priority ? -1 : 1;
    if (left->due_us != right->due_us)
        return left->due_us < right->due_us ? -1 : 1;
    return 0;
}

static BwWorkerTask *
make_task(const BwPlace *place, uint32_t index, uint64_t now_us)
{
    BwWorkerTask *task = calloc(1, sizeof(*task));

    if (task == NULL)
        return NULL;
    BwSpan_ToString(place->job, task->key.job, sizeof(task->key.job));
    task->key.step = place->step;
    task->key.index = index;
    task->ref = place->ref;
    task->resources = place->resources;
    task->priority = place->priority;
    task->is_exclusive = place->is_exclusive != 0;
    task->run = 1;
    task->expected_us = place->expected_us;
    task->due_us = now_us + place->due_in_us;
    task->wait_until_us = now_us + place->wait_us;
    task->deadline_us = now_us + place->deadline_in_us;
    return task;
}

uint32_t
BwWorkerTasks_Queue(BwSupervisor *s, uint64_t now_us, BwSupervisorPeer *peer,
                    const BwPlace *place, uint32_t index, BwSpecText *text)
{
    BwWorkerTask *task = make_task(place, index, now_us);
    BwWorkerTask *duplicate;

    if (task == NULL)
        return BW_DECLINE_BUSY;
    HASH_FIND(hh, s->tasks_by_key, &task->key, sizeof(task->key), duplicate);
    if (duplicate != NULL) {
        free(task);
        return BW_DECLINE_DUPLICATE;
    }
    task->peer = peer->peer;
    task->number = ++s->next_number;
    task->text = text;
    text->references++;
    HASH_ADD(hh, s->tasks_by_key, key, sizeof(task->key), task);
    HASH_ADD(by_number, s->tasks_by_number, number, sizeof(task->number),
             task);
    DL_INSERT_INORDER(s->queue, task, compare_tasks);
    s->queued_count++;
    s->queued_urgent += task->priority == 0;
    s->exclusive_count += task->is_exclusive;
    peer->live_task_count++;
    return 0;
}

uint32_t
BwWorkerTasks_DeclineNew(BwSupervisor *s, uint64_t first,
                         BwTaskOutcome *declined)
{
    BwWorkerTask *task, *next;
    uint32_t count = 0;

    DL_FOREACH_SAFE(s->queue, task, next)
    {
        if (task->number < first)
            continue;
        declined[count].index = task->key.index;
        declined[count].kind = BW_OUTCOME_NOT_RUN;
        declined[count++].reason = BW_DECLINE_BUSY;
        BwWorkerTasks_Unlink(s, task);
        BwWorkerTasks_Free(task);
    }
    return count;
}

bool
BwWorkerTasks_IsInTime(const BwSupervisor *s, uint64_t now_us,
                       const BwWorkerTask *task)
{
    const BwSupervisorPeer *peer;

    HASH_FIND(hh, s->peers, &task->peer, sizeof(task->peer), peer);
    return peer != NULL && now_us < peer->valid_until_us &&
           now_us < task->deadline_us;
}

/* Whether the task may run beside all that is on the worker. */
static bool
may_share(const BwSupervisor *s, const BwWorkerTask *task)
{
    if (s->exclusive_count == 0)
        return true;
    for (const BwWorkerTask *other = s->tasks_by_key; other != NULL;
         other = other->hh.next) {
        if (BwWorkerTasks_IsOnWorker(other) &&
            (task->is_exclusive || other->is_exclusive) &&
            strcmp(task->key.job, other->key.job) != 0)
            return false;
    }
    return true;
}

/* The expected run time of a task at the worker's pace, which is not taken for
   less than usual: the first tasks may have been short ones. */
static uint64_t
expected_run_us(const BwSupervisor *s, const BwWorkerTask *task)
{
    uint64_t pace_permille = s->outcomes.pace_permille;

    return pace_permille > 1000 ? task->expected_us * pace_permille / 1000
                                : task->expected_us;
}

/* When a task on the worker is expected to end: by its progress where that is
   known, else by its expected run time.  One that takes longer than expected
   is expected to need half as long again. */
static uint64_t
expected_end_us(const BwSupervisor *s, const BwWorkerTask *task,
                uint64_t now_us)
{
    uint64_t ran_us = now_us - task->started_us;
    uint64_t run_us = task->percent >= PERCENT_MIN
                          ? ran_us * 100 / task->percent
                          : expected_run_us(s, task);

    return now_us + (ran_us < run_us ? run_us - ran_us : ran_us / 2);
}

/* Reserves room for a queued task that does not fit. */
static BwReservation
reserve(BwSupervisor *s, uint64_t now_us, BwWorkerTask *waiting,
        const BwResources *left)
{
    static const BwReservation none = {0};
    uint32_t on_worker = HASH_COUNT(s->tasks_by_key) - s->queued_count;
    BwExpectedEnd *ends = malloc((on_worker + 1) * sizeof(*ends));
    BwReservation reservation;
    uint32_t count = 0;

    if (ends == NULL)
        return none;
    for (const BwWorkerTask *task = s->tasks_by_key; task != NULL;
         task = task->hh.next) {
        if (!BwWorkerTasks_IsOnWorker(task))
            continue;
        ends[count].end_us = expected_end_us(s, task, now_us);
        ends[count++].resources = task->resources;
    }
    reservation =
        BwBackfill_Reserve(left, ends, count, &waiting->resources, now_us);
    free(ends);
    if (waiting->reserved_us == 0) {
        waiting->reserved_us = reservation.start_us;
        s->counters.reserved++;
    }
    if (now_us >= waiting->reserved_us)
        return none;
    return reservation;
}

/* Starts a queued task. */
static void
start_queued(BwSupervisor *s, uint64_t now_us, BwWorkerTask *task,
             const char *reason)
{
    DL_DELETE(s->queue, task);
    count_unqueued(s, task);
    BwResources_Add(&s->used, &task->resources);
    task->state = BW_WORKER_TASK_STARTING;
    s->port->log(s->ctx, "start", task, 1, reason);
    BwWorkerTasks_SendStart(s, now_us, task);
}

void
BwWorkerTasks_StartQueued(BwSupervisor *s, uint64_t now_us)
{
    BwWorkerTask *task, *next;
    BwResources set_aside = {0}; /* for more urgent tasks */
    BwResources waiting = {0};   /* needed by tasks of `priority` */
    uint32_t priority = 0;
    bool is_easy = s->limits.backfill == BW_BACKFILL_EASY;
    bool is_reserved = false;
    BwReservation reservation = {0};

    if (!BwWorkerTasks_IsUsable(s, now_us) ||
        now_us - s->clock_read_us > BW_CLOCK_STALE_US)
        return;
    DL_FOREACH_SAFE(s->queue, task, next)
    {
        BwResources left = s->capacity;
        BwResources usable;

        if (task->priority != priority) {
            BwResources_Add(&set_aside, &waiting);
            memset(&waiting, 0, sizeof(waiting));
            priority = task->priority;
        }
        BwResources_Subtract(&left, &s->used);
        usable = left;
        BwResources_Subtract(&usable, &set_aside);
        if (!may_start(s, now_us) || !BwWorkerTasks_IsInTime(s, now_us, task))
            continue;
        /* An exclusive task waits until the others have ended, and what is
           behind it waits for it. */
        if (!may_share(s, task)) {
            if (task->is_exclusive)
                return;
            continue;
        }
        if (!BwResources_Fits(&task->resources, &usable)) {
            bool ends_before =
                is_reserved && BwResources_Fits(&task->resources, &left) &&
                now_us + expected_run_us(s, task) <= reservation.start_us;

            if (ends_before) {
                s->counters.overtaken++;
                start_queued(s, now_us, task, "ends before the reservation");
                continue;
            }
            if (is_easy && !is_reserved) {
                is_reserved = true;
                reservation = reserve(s, now_us, task, &left);
            }
            BwResources_Add(&waiting, &task->resources);
            continue;
        }
        if (is_reserved) {
            if (!BwBackfill_MayOvertake(&reservation, &task->resources,
                                        now_us + expected_run_us(s, task))) {
                BwResources_Add(&waiting, &task->resources);
                continue;
            }
            s->counters.overtaken++;
        }
        start_queued(s, now_us, task,
                     task->is_exclusive ? "exclusive" : "room");
    }
}

/* Whether an order for the task may have met a later life of the worker: that
   one's clock is another, so its lease may be as long as the worker grants. */
static bool
is_life_unknown(const BwSupervisor *s, const BwWorkerTask *task)
{
    return s->born_ms != 0 && s->down_since_us == 0 && task->listed_us == 0;
}

void
BwWorkerTasks_EndLease(BwSupervisor *s, uint64_t now_us, uint32_t kind,
                       const char *reason)
{
    uint64_t rest_us = s->limits.lease_max_us > s->limits.lease_us
                           ? s->limits.lease_max_us - s->limits.lease_us
                           : 0;
    bool is_over = s->is_lease_over || rest_us == 0;
    BwWorkerTask *task, *next;

    s->lease_end_us = 0;
    s->is_lease_over = false;
    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (!BwWorkerTasks_IsOnWorker(task))
            continue;
        if (!is_over && is_life_unknown(s, task)) {
            s->lease_end_us =
                now_us + rest_us * BW_LEASE_DRIFT_PERMILLE / 1000;
            s->is_lease_over = true;
            continue;
        }
        s->port->log(s->ctx, "lost", task, 1, reason);
        BwWorkerTasks_Remove(s, now_us, task, kind, 0);
    }
}

void
BwWorkerTasks_LoseAll(BwSupervisor *s, uint64_t now_us, uint32_t kind,
                      const char *reason)
{
    BwWorkerTask *task, *next;

    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (!BwWorkerTasks_IsOnWorker(task))
            continue;
        s->port->log(s->ctx, "lost", task, 1, reason);
        BwWorkerTasks_Remove(s, now_us, task, kind, 0);
    }
}

void
BwWorkerTasks_DeclineQueue(BwSupervisor *s, uint64_t now_us, uint32_t reason)
{
    BwWorkerTask *task, *next;

    DL_FOREACH_SAFE(s->queue, task, next)
    {
        BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_NOT_RUN, reason);
    }
}

void
BwWorkerTasks_DeclineUnsuited(BwSupervisor *s, uint64_t now_us)
{
    BwWorkerTask *task, *next;

    DL_FOREACH_SAFE(s->queue, task, next)
    {
        if (!BwResources_Fits(&task->resources, &s->capacity))
            BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_NOT_RUN,
                                 BW_DECLINE_UNSUITED);
    }
}
