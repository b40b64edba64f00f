/* fence.c -- the executor's part in custody and recovery

   A fence tells the executor which custodian may grant starts for a list of
   arcs.  For each arc the executor keeps the holder and the number of the last
   fence that it accepted, and it starts a task only for a grant that carries
   exactly these.  A fence with a higher number replaces the one in force.  So
   a grant from a former custodian, or from before a broken connection, is
   refused however late it arrives.  The answer to a fence lists every start
   for the keys of its arcs; the list stays complete because the executor
   refuses older grants from then on.

   The ledger is the only record of starts.  When custody moves, nobody but
   the executors has to be asked, and a planned stop sends the whole ledger to
   another executor, which then answers for the stopped process.

   The agent's message handling calls these functions, and executor.c
   calls BwLedger_HasCurrentFence before each start.
*/

#include <stdlib.h>
#include <string.h>

#include "ledger.h"

struct BwExecutorFence {
    char arc[BW_NAME_BYTES_MAX];
    UT_hash_handle hh;
    uint64_t holder;
    uint64_t number;
};

static BwExecutorFence *
find_fence(const BwExecutor *executor, const char *arc)
{
    BwExecutorFence *fence;

    HASH_FIND_STR(executor->fences, arc, fence);
    return fence;
}

bool
BwLedger_HasCurrentFence(const BwExecutor *executor, const BwGrant *grant)
{
    const BwExecutorFence *fence;
    int32_t index;

    if (executor->ring == NULL)
        return true;
    index = BwRing_Find(executor->ring, grant->job);
    if (index < 0)
        return false;
    fence = find_fence(executor, executor->ring->agents[index].name);
    return fence != NULL && fence->holder == grant->holder &&
           fence->number == grant->fence_number;
}

void
BwLedger_ClearFences(BwExecutor *executor)
{
    BwExecutorFence *fence, *next;

    HASH_ITER(hh, executor->fences, fence, next)
    {
        HASH_DEL(executor->fences, fence);
        free(fence);
    }
}

void
BwExecutor_SetRing(BwExecutor *executor, const BwRing *ring)
{
    executor->ring = ring;
    if (ring->removed_version != executor->removed_version)
        BwLedger_ClearFences(executor);
    executor->removed_version = ring->removed_version;
}

/* Returns the greatest number of the fences in force that forbid `fence`, or 0
   when none does. */
static uint64_t
find_conflict(const BwExecutor *executor, const BwFence *fence)
{
    uint64_t greatest = 0;

    for (uint32_t i = 0; i < fence->arc_count; i++) {
        char arc[BW_NAME_BYTES_MAX];
        const BwExecutorFence *known;

        BwSpan_ToString(fence->arcs[i].name, arc, sizeof(arc));
        known = find_fence(executor, arc);
        if (known == NULL || known->number < fence->number ||
            (known->number == fence->number && known->holder == fence->holder))
            continue;
        if (known->number > greatest)
            greatest = known->number;
    }
    return greatest;
}

static bool
set_fences(BwExecutor *executor, const BwFence *fence)
{
    for (uint32_t i = 0; i < fence->arc_count; i++) {
        char arc[BW_NAME_BYTES_MAX];
        BwExecutorFence *known;

        BwSpan_ToString(fence->arcs[i].name, arc, sizeof(arc));
        known = find_fence(executor, arc);
        if (known == NULL) {
            known = calloc(1, sizeof(BwExecutorFence));
            if (known == NULL)
                return false;
            memcpy(known->arc, arc, sizeof(arc));
            HASH_ADD_STR(executor->fences, arc, known);
        }
        known->holder = fence->holder;
        known->number = fence->number;
    }
    return true;
}

static bool
includes_job(const BwExecutor *executor, const BwFence *fence, BwJobId job)
{
    int32_t index = BwRing_Find(executor->ring, job);

    for (uint32_t i = 0; index >= 0 && i < fence->arc_count; i++) {
        if (BwSpan_Equal(
                fence->arcs[i].name,
                BwSpan_FromString(executor->ring->agents[index].name)))
            return true;
    }
    return false;
}

/* Makes `peer` the custodian of the job and drops the reservations and held
   slots that wait for a message of the former custodian. */
static void
set_home_peer(BwExecutor *executor, BwLedgerJob *job, uint32_t peer)
{
    BwQueue_Remove(&executor->queue, &job->queued);
    BwLedger_FreeHeldSlots(executor, job, job->pulled);
    job->home_peer = peer;
}

static BwFencedTask *
list_tasks(const BwLedgerJob *job)
{
    BwFencedTask *tasks = calloc(job->task_count, sizeof(BwFencedTask));

    for (uint32_t i = 0; tasks != NULL && i < job->task_count; i++) {
        tasks[i].index = job->tasks[i].index;
        tasks[i].attempt = job->tasks[i].attempt;
        tasks[i].is_ended = job->tasks[i].is_ended;
    }
    return tasks;
}

/* Lists the starts for the keys of the fence's arcs.  Returns false when an
   allocation fails; the fence is then not answered, because the custodian
   takes a start that is not listed for one that never happened. */
static bool
list_starts(BwExecutor *executor, uint64_t now_us, uint32_t peer,
            const BwFence *fence, BwFenceAnswer *answer)
{
    answer->jobs =
        calloc(HASH_COUNT(executor->ledger) + 1, sizeof(BwFencedJob));
    if (answer->jobs == NULL)
        return false;
    for (BwLedgerJob *j = executor->ledger; j != NULL; j = j->hh.next) {
        BwFencedJob *listed = &answer->jobs[answer->job_count];
        uint64_t expires_us = j->deadline_us + executor->keep_us;

        if (!includes_job(executor, fence, j->id))
            continue;
        set_home_peer(executor, j, peer);
        if (j->task_count == 0)
            continue;
        listed->job = j->id;
        listed->expires_in_us = expires_us > now_us ? expires_us - now_us : 0;
        listed->tasks = list_tasks(j);
        listed->task_count = j->task_count;
        if (listed->tasks == NULL)
            return false;
        answer->job_count++;
    }
    return true;
}

/* Returns how far back a ledger reaches that holds every start since
   `since_us`; 0 stands for always. */
static uint64_t
reach_since(uint64_t now_us, uint64_t since_us)
{
    return since_us == 0 ? UINT64_MAX : now_us - since_us;
}

static BwInheritedLedger *
list_inherited_ledgers(const BwExecutor *executor, uint64_t now_us,
                       uint32_t *count)
{
    BwInheritedLedger *inherited_ledgers = calloc(
        executor->inherited_ledger_count + 1, sizeof(BwInheritedLedger));

    *count = 0;
    for (uint32_t i = 0;
         inherited_ledgers != NULL && i < executor->inherited_ledger_count;
         i++) {
        const BwExecutorInheritedLedger *kept =
            &executor->inherited_ledgers[i];

        if (now_us >= kept->expires_us)
            continue;
        inherited_ledgers[*count].name = BwSpan_FromString(kept->name);
        inherited_ledgers[*count].incarnation = kept->incarnation;
        inherited_ledgers[*count].complete_for_us =
            reach_since(now_us, kept->complete_since_us);
        (*count)++;
    }
    return inherited_ledgers;
}

static uint64_t
own_ledger_reach(const BwExecutor *executor, uint64_t now_us)
{
    return executor->previous == 0 ? UINT64_MAX
                                   : now_us - executor->started_us;
}

static void
refuse_fence(BwExecutor *executor, uint32_t peer, const BwFence *fence,
             BwFenceRefusal refusal, uint64_t known)
{
    BwFenceAnswer answer = {0};

    answer.number = fence->number;
    answer.refusal = refusal;
    answer.known_fence_number = known;
    executor->port->fenced(executor->port_ctx, peer, &answer);
}

bool
BwExecutor_OnFence(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                   const BwFence *fence)
{
    BwFenceAnswer answer = {0};
    uint64_t known;

    if (executor->ring == NULL ||
        executor->ring->version < fence->ring_version) {
        refuse_fence(executor, peer, fence, BW_FENCE_RING_BEHIND, 0);
        return false;
    }
    known = find_conflict(executor, fence);
    if (known != 0) {
        refuse_fence(executor, peer, fence, BW_FENCE_OUTDATED, known);
        return false;
    }
    answer.number = fence->number;
    answer.ring_version = executor->ring->version;
    answer.complete_for_us = own_ledger_reach(executor, now_us);
    answer.incarnation = executor->incarnation;
    answer.inherited_ledgers = list_inherited_ledgers(
        executor, now_us, &answer.inherited_ledger_count);
    answer.previous = executor->previous;
    if (set_fences(executor, fence) &&
        list_starts(executor, now_us, peer, fence, &answer))
        executor->port->fenced(executor->port_ctx, peer, &answer);
    for (uint32_t i = 0; i < answer.job_count; i++)
        free(answer.jobs[i].tasks);
    free(answer.jobs);
    free(answer.inherited_ledgers);
    return true;
}

void
BwExecutor_OnRecoverRequest(BwExecutor *executor, uint32_t peer,
                            const BwRecoverRequest *request)
{
    BwLedgerJob *job = BwLedger_Find(executor, request->job);
    BwDone done = {0};

    if (job == NULL)
        return;
    job->home_peer = peer;
    done.job = request->job;
    BwLedger_DescribeLoad(executor, &done);
    done.tasks = calloc(job->task_count + 1, sizeof(BwDoneTask));
    if (done.tasks == NULL)
        return;
    for (uint32_t i = 0; i < job->task_count; i++) {
        const LedgerTask *task = &job->tasks[i];
        BwDoneTask *ended = &done.tasks[done.task_count];

        if (!task->is_ended)
            continue;
        ended->index = task->index;
        ended->attempt = task->attempt;
        ended->error = task->error;
        ended->status = task->status;
        ended->body = task->answer;
        done.task_count++;
    }
    if (done.task_count > 0)
        executor->port->done(executor->port_ctx, peer, &done);
    free(done.tasks);
}

/* -------------------------------------------------------- planned stop */

static bool
send_hand_over_end(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                   uint32_t count)
{
    BwHandOverEnd end = {0};

    end.incarnation = executor->incarnation;
    end.complete_for_us = own_ledger_reach(executor, now_us);
    end.entry_count = count;
    end.inherited_ledgers =
        list_inherited_ledgers(executor, now_us, &end.inherited_ledger_count);
    if (end.inherited_ledgers == NULL)
        return false;
    executor->port->hand_over_end(executor->port_ctx, peer, &end);
    free(end.inherited_ledgers);
    return true;
}

bool
BwExecutor_HandOver(BwExecutor *executor, uint64_t now_us, uint32_t peer)
{
    uint32_t count = 0;

    for (BwLedgerJob *j = executor->ledger; j != NULL; j = j->hh.next) {
        uint64_t expires_us = j->deadline_us + executor->keep_us;
        BwHandOver entry = {0};

        if (j->task_count == 0 || expires_us <= now_us)
            continue;
        entry.job = j->id;
        entry.expires_in_us = expires_us - now_us;
        entry.tasks = calloc(j->task_count, sizeof(BwHandedTask));
        if (entry.tasks == NULL)
            return false;
        entry.task_count = j->task_count;
        for (uint32_t i = 0; i < j->task_count; i++) {
            entry.tasks[i].index = j->tasks[i].index;
            entry.tasks[i].error = j->tasks[i].error;
            entry.tasks[i].status = j->tasks[i].status;
            entry.tasks[i].body = j->tasks[i].answer;
        }
        executor->port->hand_over(executor->port_ctx, peer, &entry);
        free(entry.tasks);
        count++;
    }
    return send_hand_over_end(executor, now_us, peer, count);
}

bool
BwExecutor_OnHandOver(BwExecutor *executor, uint64_t now_us,
                      const BwHandOver *entry)
{
    uint64_t expires_us = now_us + entry->expires_in_us;
    BwLedgerJob *job;

    if (executor->jobs_max > 0 &&
        HASH_COUNT(executor->ledger) >= executor->jobs_max)
        return false;
    job = BwLedger_FindOrAdd(
        executor, entry->job,
        expires_us > executor->keep_us ? expires_us - executor->keep_us : 0);
    if (job == NULL)
        return false;
    for (uint32_t i = 0; i < entry->task_count; i++) {
        const BwHandedTask *handed = &entry->tasks[i];
        LedgerTask *task;

        if (BwLedger_FindTask(job, handed->index) != NULL)
            continue;
        task = BwLedger_AddTask(job, handed->index);
        if (task == NULL)
            return false;
        BwLedger_StoreAnswer(executor, task, (BwErrorKind)handed->error,
                             handed->status, handed->body);
    }
    return true;
}

static bool
add_inherited_ledger(BwExecutor *executor, uint64_t now_us, uint64_t keep_us,
                     const BwInheritedLedger *ledger)
{
    BwExecutorInheritedLedger *kept;

    if (executor->inherited_ledger_count == BW_INHERITED_LEDGERS_MAX)
        return false;
    kept = realloc(executor->inherited_ledgers,
                   (executor->inherited_ledger_count + 1) *
                       sizeof(BwExecutorInheritedLedger));
    if (kept == NULL)
        return false;
    executor->inherited_ledgers = kept;
    kept = &kept[executor->inherited_ledger_count++];
    BwSpan_ToString(ledger->name, kept->name, sizeof(kept->name));
    kept->incarnation = ledger->incarnation;
    kept->complete_since_us = 0;
    if (ledger->complete_for_us < now_us)
        kept->complete_since_us = now_us - ledger->complete_for_us;
    kept->expires_us = now_us + keep_us;
    return true;
}

bool
BwExecutor_OnHandOverEnd(BwExecutor *executor, uint64_t now_us,
                         uint64_t keep_us, BwSpan name,
                         const BwHandOverEnd *end)
{
    BwInheritedLedger whole = {name, end->incarnation, end->complete_for_us};
    uint32_t kept = 0;

    for (uint32_t i = 0; i < executor->inherited_ledger_count; i++) {
        if (now_us < executor->inherited_ledgers[i].expires_us)
            executor->inherited_ledgers[kept++] =
                executor->inherited_ledgers[i];
    }
    executor->inherited_ledger_count = kept;
    for (uint32_t i = 0; i < end->inherited_ledger_count; i++) {
        if (!add_inherited_ledger(executor, now_us, keep_us,
                                  &end->inherited_ledgers[i]))
            return false;
    }
    return add_inherited_ledger(executor, now_us, keep_us, &whole);
}
