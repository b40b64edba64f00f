/* executor.c -- runs granted tasks on the backend server of this host

   The start ledger records, for each job, which tasks were started here and
   how they ended.  An entry is written before the request is sent to the
   backend server and is kept until the job's deadline plus a margin, so a
   repeated grant is recognised for as long as a caller may resubmit.

   A slot is free, busy, or held for the answer to a PULL.  Tasks of a grant
   that find no free slot are declined, and become reservations instead.  A
   slot that becomes free is held, and a PULL is sent to the home of the first
   reservation in queue order.  Only the home turns a reservation into a start,
   by a grant in answer to the PULL.

   Called by the agent (packages/daemon) for each message of a home and each
   task that ends at the backend server; fence.c adds fences and hand-over.
*/

#include <stdlib.h>
#include <string.h>

#include "ledger.h"

void
BwExecutor_Init(BwExecutor *executor, uint64_t keep_us,
                const BwExecutorPort *port, void *port_ctx)
{
    memset(executor, 0, sizeof(*executor));
    executor->keep_us = keep_us;
    BwQueue_Init(&executor->queue, &BwOrder_Fair);
    executor->port = port;
    executor->port_ctx = port_ctx;
}

static void
free_ledger_job(BwExecutor *executor, BwLedgerJob *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        executor->ledger_bytes -= job->tasks[i].answer.size_bytes;
        free((void *)job->tasks[i].answer.base);
    }
    BwQueue_Remove(&executor->queue, &job->queued);
    executor->pulled -= job->pulled;
    free(job->tasks);
    free(job);
}

void
BwExecutor_Finish(BwExecutor *executor)
{
    BwLedgerJob *job, *next;

    HASH_ITER(hh, executor->ledger, job, next)
    {
        HASH_DEL(executor->ledger, job);
        free_ledger_job(executor, job);
    }
    BwLedger_ClearFences(executor);
    free(executor->inherited_ledgers);
    memset(executor, 0, sizeof(*executor));
}

static bool
is_ledger_full(const BwExecutor *executor, const BwLedgerJob *job)
{
    if (executor->bytes_max > 0 &&
        executor->ledger_bytes >= executor->bytes_max)
        return true;
    return job == NULL && executor->jobs_max > 0 &&
           HASH_COUNT(executor->ledger) >= executor->jobs_max;
}

uint32_t
BwExecutor_FreeSlots(const BwExecutor *executor)
{
    uint32_t used = executor->busy + executor->pulled;

    if (executor->is_leaving || executor->is_paused ||
        used >= executor->slots || is_ledger_full(executor, NULL))
        return 0;
    return executor->slots - used;
}

void
BwExecutor_Announce(BwExecutor *executor, BwSpan service, uint32_t slots)
{
    BwSpan_ToString(service, executor->service, sizeof(executor->service));
    executor->slots = slots;
}

void
BwExecutor_Leave(BwExecutor *executor)
{
    executor->is_leaving = true;
}

BwLedgerJob *
BwLedger_Find(BwExecutor *executor, BwJobId id)
{
    BwLedgerJob *job;

    HASH_FIND(hh, executor->ledger, &id, sizeof(id), job);
    return job;
}

BwLedgerJob *
BwLedger_FindOrAdd(BwExecutor *executor, BwJobId id, uint64_t deadline_us)
{
    BwLedgerJob *job = BwLedger_Find(executor, id);

    if (job != NULL)
        return job;
    job = calloc(1, sizeof(BwLedgerJob));
    if (job == NULL)
        return NULL;
    job->id = id;
    job->deadline_us = deadline_us;
    HASH_ADD(hh, executor->ledger, id, sizeof(job->id), job);
    return job;
}

LedgerTask *
BwLedger_FindTask(BwLedgerJob *job, uint32_t index)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].index == index)
            return &job->tasks[i];
    }
    return NULL;
}

LedgerTask *
BwLedger_AddTask(BwLedgerJob *job, uint32_t index)
{
    LedgerTask *task;

    if (job->task_count == job->task_capacity) {
        uint32_t capacity = job->task_capacity ? job->task_capacity * 2 : 4;
        LedgerTask *grown = realloc(job->tasks, capacity * sizeof(LedgerTask));

        if (grown == NULL)
            return NULL;
        job->tasks = grown;
        job->task_capacity = capacity;
    }
    task = &job->tasks[job->task_count++];
    memset(task, 0, sizeof(*task));
    task->index = index;
    return task;
}

/* Records a start in the ledger.  A retry reuses the entry of the earlier
   attempt, which has ended. */
static LedgerTask *
record_start(BwExecutor *executor, uint64_t now_us, BwLedgerJob *job,
             const BwGrantedTask *granted)
{
    LedgerTask *task = BwLedger_FindTask(job, granted->index);

    if (task == NULL)
        task = BwLedger_AddTask(job, granted->index);
    if (task == NULL)
        return NULL;
    executor->ledger_bytes -= task->answer.size_bytes;
    free((void *)task->answer.base);
    memset(task, 0, sizeof(*task));
    task->index = granted->index;
    task->attempt = granted->attempt;
    task->started_us = now_us;
    return task;
}

/* Whether the granted attempt or a later one was started already, or any
   attempt is still running. */
static bool
is_repeat(BwLedgerJob *job, const BwGrantedTask *granted)
{
    const LedgerTask *task = BwLedger_FindTask(job, granted->index);

    return task != NULL &&
           (!task->is_ended || granted->attempt <= task->attempt);
}

void
BwLedger_DescribeLoad(const BwExecutor *executor, BwDone *done)
{
    uint32_t unused = BwExecutor_FreeSlots(executor);

    /* Slots for which there are reservations are not reported as free: they
       are pulled for right after this. */
    done->free_slots =
        unused > executor->queue.slots ? unused - executor->queue.slots : 0;
    done->ended = executor->outcomes.ended;
    done->failed_permille = executor->outcomes.failed_permille;
    done->pace_permille = executor->outcomes.pace_permille;
    done->queued = (BwQueueCount *)executor->queue.counts;
    done->queued_count = BW_PRIORITIES;
}

static void
log_decision(BwExecutor *executor, const char *what, BwJobId id,
             uint32_t count, const char *reason)
{
    BwDecision decision = {0};

    decision.what = what;
    decision.job = id;
    decision.count = count;
    decision.choice = executor->service;
    decision.reason = reason;
    executor->port->log_decision(executor->port_ctx, &decision);
}

static const char *const decline_reasons[] = {
    [BW_DECLINE_BUSY] = "no free slot",
    [BW_DECLINE_LATE] = "the grant came too late",
    [BW_DECLINE_STALE_FENCE] = "the grant does not carry the fence in force",
    [BW_DECLINE_LEAVING] = "the backend server is leaving",
    [BW_DECLINE_NO_SERVICE] = "no backend server of the service here",
};

static void
decline_grant(BwExecutor *executor, uint32_t peer, const BwGrant *grant,
              uint32_t first, BwDeclineReason reason, uint32_t reserved)
{
    BwLedgerJob *job = BwLedger_Find(executor, grant->job);
    BwDecline decline = {0};
    uint32_t count = grant->task_count - first;

    if (count == 0 && grant->reserve == 0)
        return;
    decline.tasks = calloc(count + 1, sizeof(BwTaskIndex));
    if (decline.tasks == NULL)
        return;
    for (uint32_t i = 0; i < count; i++) {
        const BwGrantedTask *task = &grant->tasks[first + i];

        if (job == NULL || !is_repeat(job, task))
            decline.tasks[decline.task_count++].index = task->index;
    }
    decline.job = grant->job;
    decline.fence_number = grant->fence_number;
    decline.reason = reason;
    decline.reserved = reserved;
    decline.free_slots = BwExecutor_FreeSlots(executor);
    decline.queued = executor->queue.counts;
    decline.queued_count = BW_PRIORITIES;
    executor->counters.declines += count;
    log_decision(executor, "decline", grant->job, count,
                 decline_reasons[reason]);
    executor->port->decline(executor->port_ctx, peer, &decline);
    free(decline.tasks);
}

/* Returns the reason why no task of the grant may start, or 0. */
static BwDeclineReason
check_grant(const BwExecutor *executor, const BwLedgerJob *job,
            uint64_t now_us, const BwGrant *grant)
{
    if (executor->is_leaving)
        return BW_DECLINE_LEAVING;
    if (executor->slots == 0 ||
        !BwSpan_Equal(BwSpan_FromString(executor->service), grant->service))
        return BW_DECLINE_NO_SERVICE;
    if (!BwLedger_HasCurrentFence(executor, grant))
        return BW_DECLINE_STALE_FENCE;
    if (is_ledger_full(executor, job))
        return BW_DECLINE_BUSY;
    if (now_us > grant->not_after_us)
        return BW_DECLINE_LATE;
    return 0;
}

static uint64_t
flow_key(const BwGrant *grant)
{
    BwJobId id = BwJobId_Make(grant->member, grant->team);

    return id.high ^ id.low;
}

static void
add_reservation(BwExecutor *executor, uint64_t now_us, BwLedgerJob *job,
                const BwGrant *grant, uint32_t slots)
{
    BwQueueItem *item = &job->queued;

    if (slots == 0)
        return;
    if (item->slots == 0) {
        item->flow_key = flow_key(grant);
        item->priority = grant->priority;
        item->weight = grant->weight;
        item->expected_us = grant->expected_us;
        item->since_us = now_us;
    }
    BwQueue_Add(&executor->queue, item, slots);
}

static BwLedgerJob *
job_from_item(BwQueueItem *item)
{
    return (BwLedgerJob *)((char *)item - offsetof(BwLedgerJob, queued));
}

static void
hold_slot(BwExecutor *executor, BwLedgerJob *job)
{
    BwQueue_Take(&executor->queue, &job->queued);
    job->pulled++;
    executor->pulled++;
    executor->counters.pulls++;
}

static void
send_pull(BwExecutor *executor, const BwLedgerJob *job, uint32_t slots)
{
    BwPull pull = {job->id, slots};

    executor->port->pull(executor->port_ctx, job->home_peer, &pull);
}

/* Sends pulls for all free slots that have a reservation.  Consecutive slots
   for the same job share one message. */
static void
pull_reserved(BwExecutor *executor, uint64_t now_us)
{
    BwLedgerJob *job = NULL;
    uint32_t slots = 0;

    while (BwExecutor_FreeSlots(executor) > 0) {
        BwQueueItem *item = BwQueue_Next(&executor->queue, now_us);

        if (item == NULL)
            break;
        if (slots > 0 && job != job_from_item(item)) {
            send_pull(executor, job, slots);
            slots = 0;
        }
        job = job_from_item(item);
        hold_slot(executor, job);
        slots++;
    }
    if (slots > 0)
        send_pull(executor, job, slots);
}

/* Holds free slots for the next reservations if these are of `job`, so that
   the DONE of an ended task pulls for them.  Returns their number. */
static uint32_t
pull_with_done(BwExecutor *executor, uint64_t now_us, BwLedgerJob *job)
{
    uint32_t slots = 0;

    while (BwExecutor_FreeSlots(executor) > 0 && job->queued.slots > 0 &&
           BwQueue_Next(&executor->queue, now_us) == &job->queued) {
        hold_slot(executor, job);
        slots++;
    }
    return slots;
}

void
BwExecutor_Pause(BwExecutor *executor)
{
    executor->is_paused = true;
}

void
BwExecutor_Resume(BwExecutor *executor, uint64_t now_us)
{
    executor->is_paused = false;
    pull_reserved(executor, now_us);
}

void
BwExecutor_SetOrder(BwExecutor *executor, const BwOrder *order)
{
    BwQueue before = executor->queue;

    if (before.order == order)
        return;
    BwQueue_Init(&executor->queue, order);
    for (BwLedgerJob *j = executor->ledger; j != NULL; j = j->hh.next) {
        uint32_t slots = j->queued.slots;

        if (slots == 0)
            continue;
        BwQueue_Remove(&before, &j->queued);
        BwQueue_Add(&executor->queue, &j->queued, slots);
    }
}

static void
start_task(BwExecutor *executor, BwLedgerJob *job, const BwGrant *grant,
           const BwGrantedTask *task)
{
    BwStart start = {0};

    executor->busy++;
    job->running++;
    executor->counters.starts++;
    start.job = grant->job;
    start.index = task->index;
    start.deadline_us = grant->deadline_us;
    start.path = grant->path;
    start.body = task->body;
    executor->port->start(executor->port_ctx, &start);
}

void
BwLedger_FreeHeldSlots(BwExecutor *executor, BwLedgerJob *job, uint32_t slots)
{
    uint32_t freed = slots < job->pulled ? slots : job->pulled;

    job->pulled -= freed;
    executor->pulled -= freed;
}

void
BwExecutor_OnGrant(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                   const BwGrant *grant)
{
    BwLedgerJob *job = BwLedger_Find(executor, grant->job);
    BwDeclineReason reason;
    uint32_t started = 0;
    uint32_t i;

    if (job != NULL && job->home_peer == peer)
        BwLedger_FreeHeldSlots(executor, job, grant->pulled);
    reason = check_grant(executor, job, now_us, grant);
    if (reason != 0) {
        decline_grant(executor, peer, grant, 0, reason, 0);
        pull_reserved(executor, now_us);
        return;
    }
    job = BwLedger_FindOrAdd(executor, grant->job, grant->deadline_us);
    if (job == NULL) {
        decline_grant(executor, peer, grant, 0, BW_DECLINE_BUSY, 0);
        return;
    }
    job->fence_number = grant->fence_number;
    job->home_peer = peer;
    job->expected_us = grant->expected_us;
    add_reservation(executor, now_us, job, grant, grant->reserve);
    for (i = 0; i < grant->task_count; i++) {
        if (is_repeat(job, &grant->tasks[i])) {
            executor->counters.repeats_refused++;
            executor->counters.messages_wasted++;
            continue;
        }
        if (BwExecutor_FreeSlots(executor) == 0 ||
            record_start(executor, now_us, job, &grant->tasks[i]) == NULL)
            break;
        start_task(executor, job, grant, &grant->tasks[i]);
        started++;
    }
    if (started > 0)
        log_decision(executor, "start", grant->job, started, "granted");
    if (i < grant->task_count) {
        add_reservation(executor, now_us, job, grant, grant->task_count - i);
        decline_grant(executor, peer, grant, i, BW_DECLINE_BUSY,
                      grant->task_count - i);
    }
    pull_reserved(executor, now_us);
}

void
BwExecutor_OnRelease(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                     const BwRelease *release)
{
    for (uint32_t i = 0; i < release->job_count; i++) {
        BwLedgerJob *job = BwLedger_Find(executor, release->jobs[i].job);

        if (job != NULL && job->home_peer == peer)
            BwQueue_Drop(&executor->queue, &job->queued,
                         release->jobs[i].slots);
    }
    pull_reserved(executor, now_us);
}

void
BwExecutor_HomeLost(BwExecutor *executor, uint64_t now_us, uint32_t peer)
{
    for (BwLedgerJob *j = executor->ledger; j != NULL; j = j->hh.next) {
        if (j->home_peer != peer)
            continue;
        BwQueue_Remove(&executor->queue, &j->queued);
        BwLedger_FreeHeldSlots(executor, j, j->pulled);
    }
    pull_reserved(executor, now_us);
}

void
BwLedger_StoreAnswer(BwExecutor *executor, LedgerTask *task, BwErrorKind error,
                     uint32_t status, BwSpan body)
{
    char *copy = malloc(body.size_bytes + 1);

    task->is_ended = true;
    task->error = error;
    task->status = status;
    if (copy == NULL) {
        task->error = BW_ERR_TASK_FAILED;
        return;
    }
    if (body.size_bytes > 0)
        memcpy(copy, body.base, body.size_bytes);
    task->answer.base = copy;
    task->answer.size_bytes = body.size_bytes;
    executor->ledger_bytes += body.size_bytes;
}

void
BwExecutor_TaskEnded(BwExecutor *executor, uint64_t now_us, BwJobId id,
                     uint32_t index, BwErrorKind error, uint32_t status,
                     BwSpan body)
{
    BwLedgerJob *job = BwLedger_Find(executor, id);
    LedgerTask *task;
    BwDoneTask ended = {0};
    BwDone done = {0};

    executor->busy--;
    if (job == NULL) {
        pull_reserved(executor, now_us);
        return;
    }
    job->running--;
    task = BwLedger_FindTask(job, index);
    if (task != NULL) {
        BwLedger_StoreAnswer(executor, task, error, status, body);
        ended.attempt = task->attempt;
        ended.ran_us = now_us - task->started_us;
    }
    BwOutcomes_Record(&executor->outcomes, error != BW_OK, ended.ran_us,
                      job->expected_us);
    done.pull = pull_with_done(executor, now_us, job);
    ended.index = index;
    ended.error = error;
    ended.status = status;
    ended.body = body;
    done.job = id;
    done.fence_number = job->fence_number;
    BwLedger_DescribeLoad(executor, &done);
    done.tasks = &ended;
    done.task_count = 1;
    executor->port->done(executor->port_ctx, job->home_peer, &done);
    pull_reserved(executor, now_us);
}

void
BwExecutor_Tick(BwExecutor *executor, uint64_t now_us)
{
    BwLedgerJob *job, *next;

    HASH_ITER(hh, executor->ledger, job, next)
    {
        if (job->running > 0 || now_us < job->deadline_us + executor->keep_us)
            continue;
        HASH_DEL(executor->ledger, job);
        free_ledger_job(executor, job);
    }
    pull_reserved(executor, now_us);
}
