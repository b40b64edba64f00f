/* recovery.c -- how a home takes over keys from a former custodian

   A home grants starts only while three things hold: its lease lasts, it has
   custody of the key's arc, and the executor has accepted and answered its
   fence.  A fence round with an executor begins when an arc is gained, when a
   message to or from the executor may have been lost, and when an agent was
   removed from the ring.  Rounds are numbered separately for each executor,
   and no grant is sent between the beginning of a round and its answer.  So
   the answer is complete: a granted task that it does not list was not started
   and will never be started under the old number.

   Listed starts for keys that are not in the job table are kept as orphans
   until a caller submits the key again; the job then takes them over.

   An arc is complete when every executor of the ring has answered since the
   arc was gained.  If another agent may still have held the arc, every
   executor is asked twice: a process that answers gives up the arc, so once
   all have answered for the first time nobody else grants starts, and the
   second answers list everything.  A job is held until the arc is complete,
   unless it was submitted after all former custody had ended.  Wall clocks are
   used only to decide whether a key was submitted before a given time; if that
   is uncertain, the key counts as submitted before.  A key that may have been
   started by an executor that cannot be asked fails with an error that says
   so.

   The daemon's custodian.c calls these functions on changes of custody, fence
   answers and ticks; home.c, jobplacement.c and submission.c reach them
   through the BwCustodyHooks table.
*/

#include <stdlib.h>
#include <string.h>

#include "job.h"

/* Delay of a new fence after a lost link or with an outdated ring. */
#define REFENCE_DELAY_US 20000
/* An unanswered fence or local-run notice is sent again after this time. */
#define FENCE_RESEND_US 500000
#define ORPHANS_MAX 65536

typedef struct OrphanTask {
    uint32_t index;
    uint32_t attempt;
    uint32_t peer;
    bool is_lost; /* its executor is gone */
} OrphanTask;

struct BwOrphan {
    BwJobId job;
    UT_hash_handle hh;
    uint64_t expires_us;
    /* A task ran on the host of a former custodian, which cannot be asked, or
       a listed start could not be stored: the job fails. */
    bool is_unrecoverable;
    OrphanTask *tasks;
    uint32_t task_count;
};

static void
log_decision(BwHome *home, const char *what, const BwJob *job, uint32_t count,
             const char *reason)
{
    BwHome_LogDecision(home, what, job, count, "", 0, reason);
}

/* ------------------------------------------------------------- arcs */

static BwHomeArc *
find_arc(const BwHome *home, BwSpan name)
{
    for (uint32_t i = 0; i < home->arc_count; i++) {
        if (BwSpan_Equal(BwSpan_FromString(home->arcs[i].name), name))
            return &home->arcs[i];
    }
    return NULL;
}

static BwHomeArc *
find_arc_of_job(const BwHome *home, BwJobId id)
{
    int32_t index = BwRing_Find(home->ring, id);

    if (index < 0)
        return NULL;
    return find_arc(home, BwSpan_FromString(home->ring->agents[index].name));
}

static bool
owns(const BwHome *home, uint64_t now_us, BwJobId id)
{
    return now_us < home->lease_until_us && find_arc_of_job(home, id) != NULL;
}

static bool
is_complete(const BwHome *home, BwJobId id)
{
    const BwHomeArc *arc = find_arc_of_job(home, id);

    return arc == NULL || arc->is_complete;
}

static bool
may_receive_grants(const BwHome *home, const BwWorkerView *worker)
{
    if (!worker->is_fenced || worker->incarnation != worker->ring_incarnation)
        return false;
    return worker->is_self ||
           worker->ring_join_version <= home->lease_ring_version;
}

static bool
is_usable(const BwHome *home, uint64_t now_us, const BwWorkerView *worker,
          const BwJob *job)
{
    if (now_us >= home->lease_until_us || !may_receive_grants(home, worker))
        return false;
    return !worker->is_self || home->ring->agent_count == 1 ||
           job->is_run_recorded;
}

/* ------------------------------------------------------ fence rounds */

/* Begins a round with a new number, even when one is in progress. */
static void
begin_round(BwHome *home, BwWorkerView *worker, uint64_t at_us)
{
    worker->sent_fence_number++;
    worker->is_fenced = false;
    worker->fence_at_us = at_us;
    BwHome_RefreshWorker(home, worker);
}

void
BwHome_LinkLost(BwHome *home, uint64_t now_us, uint32_t peer)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);

    if (worker != NULL && home->ring != NULL)
        begin_round(home, worker, now_us + REFENCE_DELAY_US);
}

void
BwHome_MarkWorkerDown(BwHome *home, BwSpan name)
{
    for (uint32_t i = 0; i < home->workers.all.count; i++) {
        BwWorkerView *worker = home->workers.all.items[i];

        if (!BwSpan_Equal(BwSpan_FromString(worker->name), name) ||
            worker->is_self)
            continue;
        worker->is_up = false;
        BwHome_RefreshWorker(home, worker);
    }
}

static void
begin_all_rounds(BwHome *home, uint64_t now_us)
{
    home->inherited_ledger_count = 0;
    for (uint32_t i = 0; i < home->workers.all.count; i++)
        begin_round(home, home->workers.all.items[i], now_us);
}

static void
send_fence(BwHome *home, const BwWorkerView *worker)
{
    BwName names[BW_ARCS_MAX];
    BwFence fence = {0};

    fence.holder = home->holder;
    fence.number = worker->sent_fence_number;
    fence.ring_version = home->ring->version;
    fence.guardian = BwSpan_FromString(home->guardian);
    fence.arcs = names;
    fence.arc_count = home->arc_count;
    for (uint32_t i = 0; i < home->arc_count; i++)
        names[i].name = BwSpan_FromString(home->arcs[i].name);
    home->counters.fences_sent++;
    home->port->fence(home->port_ctx, worker->peer, &fence);
}

static void
send_fences(BwHome *home, uint64_t now_us)
{
    if (home->arc_count == 0 || now_us >= home->lease_until_us)
        return;
    for (uint32_t i = 0; i < home->workers.all.count; i++) {
        BwWorkerView *worker = home->workers.all.items[i];

        if (worker->is_fenced || worker->is_gone ||
            worker->ring_incarnation == 0 || now_us < worker->fence_at_us)
            continue;
        worker->fence_at_us = now_us + FENCE_RESEND_US;
        send_fence(home, worker);
    }
}

/* ----------------------------------------------------------- orphans */

static BwOrphan *
find_or_add_orphan(BwHome *home, BwJobId id, uint64_t expires_us)
{
    BwOrphan *orphan;

    HASH_FIND(hh, home->orphans, &id, sizeof(id), orphan);
    if (orphan == NULL) {
        if (home->orphan_count >= ORPHANS_MAX)
            return NULL;
        orphan = calloc(1, sizeof(BwOrphan));
        if (orphan == NULL)
            return NULL;
        orphan->job = id;
        HASH_ADD(hh, home->orphans, job, sizeof(orphan->job), orphan);
        home->orphan_count++;
    }
    if (expires_us > orphan->expires_us)
        orphan->expires_us = expires_us;
    return orphan;
}

static void
free_orphan(BwHome *home, BwOrphan *orphan)
{
    HASH_DEL(home->orphans, orphan);
    home->orphan_count--;
    free(orphan->tasks);
    free(orphan);
}

/* Adds a listed start to the orphan; the last attempt of a task replaces the
   earlier ones.  Returns false when an allocation fails. */
static bool
set_orphan_task(BwOrphan *orphan, const BwFencedTask *listed, uint32_t peer)
{
    OrphanTask *grown;

    for (uint32_t i = 0; i < orphan->task_count; i++) {
        if (orphan->tasks[i].index != listed->index)
            continue;
        if (listed->attempt < orphan->tasks[i].attempt)
            return true;
        orphan->tasks[i].attempt = listed->attempt;
        orphan->tasks[i].peer = peer;
        orphan->tasks[i].is_lost = false;
        return true;
    }
    grown =
        realloc(orphan->tasks, (orphan->task_count + 1) * sizeof(OrphanTask));
    if (grown == NULL)
        return false;
    orphan->tasks = grown;
    grown[orphan->task_count].index = listed->index;
    grown[orphan->task_count].attempt = listed->attempt;
    grown[orphan->task_count].peer = peer;
    grown[orphan->task_count].is_lost = false;
    orphan->task_count++;
    return true;
}

static void
mark_orphans_lost(BwHome *home, uint32_t peer)
{
    for (BwOrphan *o = home->orphans; o != NULL; o = o->hh.next) {
        for (uint32_t i = 0; i < o->task_count; i++) {
            if (o->tasks[i].peer == peer)
                o->tasks[i].is_lost = true;
        }
    }
}

static void
finish(BwHome *home)
{
    BwOrphan *orphan, *next;

    HASH_ITER(hh, home->orphans, orphan, next)
    {
        free_orphan(home, orphan);
    }
    free(home->arcs);
    free(home->inherited_ledgers);
}

/* ------------------------------------------------------------ taking over */

/* Returns whether a submission may be older than `wall_us`; two wall clocks
   differ by at most skew_us. */
static bool
may_be_submitted_before(const BwHome *home, uint64_t submitted_wall_us,
                        uint64_t wall_us)
{
    return submitted_wall_us < wall_us + home->limits.skew_us;
}

static bool
may_have_run(const BwHome *home, BwJobId id, uint64_t submitted_wall_us)
{
    const BwHomeArc *arc;
    BwOrphan *orphan;

    arc = find_arc_of_job(home, id);
    HASH_FIND(hh, home->orphans, &id, sizeof(id), orphan);
    if (arc == NULL || orphan != NULL)
        return true;
    if (!arc->is_complete)
        return arc->former_custody_ended_wall_us == 0 ||
               may_be_submitted_before(home, submitted_wall_us,
                                       arc->former_custody_ended_wall_us);
    return arc->starts_unknown_until_wall_us != 0 &&
           may_be_submitted_before(home, submitted_wall_us,
                                   arc->starts_unknown_until_wall_us);
}

/* Asks the peer of task `at` for the results of the job's tasks, unless it was
   asked for an earlier task of the orphan. */
static void
request_results_once(BwHome *home, const BwJob *job, const BwOrphan *orphan,
                     uint32_t at)
{
    BwRecoverRequest request = {job->id};

    for (uint32_t i = 0; i < at; i++) {
        if (orphan->tasks[i].peer == orphan->tasks[at].peer)
            return;
    }
    home->port->recover(home->port_ctx, orphan->tasks[at].peer, &request);
}

/* Marks a waiting task as started at `peer`.  Returns false and changes
   nothing when the task is not waiting, or waits for a later attempt than the
   one that was started. */
static bool
record_start(BwJob *job, uint32_t index, uint32_t attempt, uint32_t peer)
{
    HomeTask *task;

    if (index >= job->task_count)
        return false;
    task = &job->tasks[index];
    if (task->state != TASK_WAITING || attempt < task->attempt)
        return false;
    task->state = TASK_GRANTED;
    task->attempt = attempt;
    task->peer = peer;
    job->waiting--;
    return true;
}

static void
recover_orphan(BwHome *home, BwJob *job, BwOrphan *orphan)
{
    bool is_lost = orphan->is_unrecoverable;

    for (uint32_t i = 0; i < orphan->task_count; i++) {
        const BwWorkerView *worker =
            BwHome_FindWorker(home, orphan->tasks[i].peer);

        is_lost = is_lost || orphan->tasks[i].is_lost || worker == NULL ||
                  worker->is_gone;
    }
    if (is_lost) {
        BwHome_EndJob(home, job, BW_ERR_EXECUTOR_LOST,
                      "a worker that started tasks of the job is gone");
        return;
    }
    for (uint32_t i = 0; i < orphan->task_count; i++) {
        record_start(job, orphan->tasks[i].index, orphan->tasks[i].attempt,
                     orphan->tasks[i].peer);
        request_results_once(home, job, orphan, i);
    }
    home->counters.jobs_recovered++;
    log_decision(home, "recover", job, orphan->task_count,
                 "tasks were started under a former custodian");
    free_orphan(home, orphan);
}

/* Holds a new or held job while its arc is incomplete, unless it was submitted
   after all former custody had ended.  Otherwise makes it take over the starts
   that are known of its key, or fails it when its key may have been started
   by an executor that cannot be asked. */
static void
recover_job(BwHome *home, uint64_t now_us, BwJob *job)
{
    const BwHomeArc *arc;
    BwOrphan *orphan;

    arc = find_arc_of_job(home, job->id);
    if (arc == NULL)
        return;
    if (!arc->is_complete &&
        (arc->former_custody_ended_wall_us == 0 ||
         may_be_submitted_before(home, job->submitted_wall_us,
                                 arc->former_custody_ended_wall_us))) {
        job->is_held = true;
        job->hold_deadline_us = now_us + home->limits.hold_timeout_us;
        log_decision(home, "hold", job, job->task_count,
                     "not every worker has listed the tasks that it started");
        return;
    }
    job->is_held = false;
    HASH_FIND(hh, home->orphans, &job->id, sizeof(job->id), orphan);
    if (orphan != NULL)
        recover_orphan(home, job, orphan);
    if (job->is_ended || job->is_start_state_known || job->waiting == 0)
        return;
    if (arc->starts_unknown_until_wall_us != 0 &&
        may_be_submitted_before(home, job->submitted_wall_us,
                                arc->starts_unknown_until_wall_us)) {
        home->counters.jobs_in_doubt++;
        BwHome_EndJob(home, job, BW_ERR_EXECUTOR_LOST,
                      "a worker that may have started tasks is gone");
    }
}

/* Ends a job of which nothing was started and whose service has no worker
   left, with BW_ERR_NO_BACKEND, as a submission that need not be held is
   refused. */
static void
refuse_without_worker(BwHome *home, BwJob *job)
{
    BwHome_EndJob(home, job, BW_ERR_NO_BACKEND,
                  "no backend server of the service is known");
    BwHome_RemoveJob(home, job);
}

static void
release_held(BwHome *home, uint64_t now_us)
{
    BwJob *job, *next;

    HASH_ITER(hh, home->jobs, job, next)
    {
        if (!job->is_held || job->is_ended)
            continue;
        recover_job(home, now_us, job);
        if (job->is_held || job->is_ended)
            continue;
        job->is_start_state_known = true;
        if (job->waiting == job->task_count &&
            !BwHome_HasWorker(home, job->service))
            refuse_without_worker(home, job);
    }
    BwHome_PlaceAll(home, now_us);
}

/* ------------------------------------------------------- completeness */

static const BwWorkerView *
find_named(const BwHome *home, const char *name)
{
    for (uint32_t i = 0; i < home->workers.all.count; i++) {
        if (strcmp(home->workers.all.items[i]->name, name) == 0)
            return home->workers.all.items[i];
    }
    return NULL;
}

/* Returns the time up to which starts of a process may be unknown:
   `starts_unknown_until_wall_us`, or an earlier time if another executor has
   inherited the ledger of the process. */
static uint64_t
find_unknown_starts_end(const BwHome *home, const char *name,
                        uint64_t incarnation,
                        uint64_t starts_unknown_until_wall_us)
{
    for (uint32_t i = 0; i < home->inherited_ledger_count; i++) {
        const BwHomeInheritedLedger *ledger = &home->inherited_ledgers[i];

        if (ledger->incarnation == incarnation &&
            strcmp(ledger->name, name) == 0 &&
            ledger->complete_since_wall_us < starts_unknown_until_wall_us)
            starts_unknown_until_wall_us = ledger->complete_since_wall_us;
    }
    return starts_unknown_until_wall_us;
}

/* Returns true when an executor need not be waited for, and sets
   *starts_unknown_until_wall_us to the time up to which its starts may be
   unknown; 0: all are known. */
static bool
is_accounted_for(const BwHome *home, const BwHomeArc *arc,
                 const BwAgent *agent, uint64_t *starts_unknown_until_wall_us)
{
    const BwWorkerView *worker = find_named(home, agent->name);
    bool has_answered =
        worker != NULL && worker->answered_gain_number >= arc->gain_number;

    *starts_unknown_until_wall_us = 0;
    if (arc->has_all_local_runs && strcmp(arc->name, agent->name) == 0)
        return worker == NULL || !worker->is_self || has_answered;
    if (has_answered)
        *starts_unknown_until_wall_us =
            find_unknown_starts_end(home, agent->name, worker->previous,
                                    worker->complete_since_wall_us);
    else if (worker != NULL && worker->is_gone && worker->gone_wall_us != 0)
        *starts_unknown_until_wall_us = find_unknown_starts_end(
            home, agent->name, agent->incarnation, worker->gone_wall_us);
    else
        return false;
    return true;
}

/* Marks the arc as complete when every executor is accounted for. */
static bool
try_complete_arc(const BwHome *home, BwHomeArc *arc)
{
    uint64_t starts_unknown_until_wall_us = arc->starts_unknown_until_wall_us;

    for (uint32_t i = 0; i < home->ring->agent_count; i++) {
        uint64_t until = 0;

        if (!is_accounted_for(home, arc, &home->ring->agents[i], &until))
            return false;
        if (until > starts_unknown_until_wall_us)
            starts_unknown_until_wall_us = until;
    }
    arc->is_complete = true;
    arc->starts_unknown_until_wall_us = starts_unknown_until_wall_us;
    return true;
}

static void
complete_arcs(BwHome *home, uint64_t now_us)
{
    bool is_changed = false;
    bool needs_second_answer = false;

    for (uint32_t i = 0; i < home->arc_count; i++) {
        BwHomeArc *arc = &home->arcs[i];

        if (arc->is_complete || !try_complete_arc(home, arc))
            continue;
        is_changed = true;
        if (!arc->is_contested)
            continue;
        arc->is_contested = false;
        arc->is_complete = false;
        arc->gain_number = ++home->last_gain_number;
        needs_second_answer = true;
    }
    if (needs_second_answer) {
        begin_all_rounds(home, now_us);
        send_fences(home, now_us);
    }
    if (is_changed)
        release_held(home, now_us);
}

/* ------------------------------------------------------ fence answers */

/* Merges the listed starts of a job that is in the table.  Returns true when
   the home lacks the result of a task that has ended, or has just learned of a
   start. */
static bool
merge_known_job(BwJob *job, const BwFencedJob *listed, uint32_t peer)
{
    bool lacks_results = false;

    for (uint32_t i = 0; i < listed->task_count; i++) {
        uint32_t index = listed->tasks[i].index;
        uint32_t attempt = listed->tasks[i].attempt;
        bool is_new_start = record_start(job, index, attempt, peer);

        if (index >= job->task_count)
            continue;
        if (job->tasks[index].state == TASK_GRANTED &&
            job->tasks[index].peer == peer &&
            job->tasks[index].attempt == attempt) {
            job->tasks[index].is_confirmed = true;
            lacks_results |= listed->tasks[i].is_ended || is_new_start;
        }
    }
    return lacks_results;
}

static void
merge_orphan(BwHome *home, uint64_t now_us, const BwFencedJob *listed,
             uint32_t peer)
{
    BwOrphan *orphan =
        find_or_add_orphan(home, listed->job, now_us + listed->expires_in_us);
    bool is_kept = orphan != NULL;

    for (uint32_t i = 0; is_kept && i < listed->task_count; i++)
        is_kept = set_orphan_task(orphan, &listed->tasks[i], peer);
    if (!is_kept && orphan != NULL)
        orphan->is_unrecoverable = true;
    /* The orphan could not be stored, so every key of the arcs is in doubt. */
    for (uint32_t i = 0; orphan == NULL && i < home->arc_count; i++)
        home->arcs[i].starts_unknown_until_wall_us = UINT64_MAX / 2;
}

static void
merge_jobs(BwHome *home, uint64_t now_us, uint32_t peer,
           const BwFenceAnswer *answer)
{
    for (uint32_t i = 0; i < answer->job_count; i++) {
        const BwFencedJob *listed = &answer->jobs[i];
        BwJob *job = BwHome_FindJob(home, listed->job);
        BwRecoverRequest request = {listed->job};

        if (job == NULL)
            merge_orphan(home, now_us, listed, peer);
        else if (!job->is_ended && merge_known_job(job, listed, peer))
            home->port->recover(home->port_ctx, peer, &request);
    }
}

static void
merge_inherited_ledgers(BwHome *home, uint64_t now_wall_us,
                        const BwFenceAnswer *answer)
{
    for (uint32_t i = 0; i < answer->inherited_ledger_count; i++) {
        const BwInheritedLedger *listed = &answer->inherited_ledgers[i];
        BwHomeInheritedLedger *ledger;

        if (home->inherited_ledgers == NULL)
            home->inherited_ledgers = calloc(BW_INHERITED_LEDGERS_MAX,
                                             sizeof(BwHomeInheritedLedger));
        if (home->inherited_ledgers == NULL ||
            home->inherited_ledger_count == BW_INHERITED_LEDGERS_MAX)
            return;
        ledger = &home->inherited_ledgers[home->inherited_ledger_count++];
        BwSpan_ToString(listed->name, ledger->name, sizeof(ledger->name));
        ledger->incarnation = listed->incarnation;
        ledger->complete_since_wall_us =
            listed->complete_for_us < now_wall_us
                ? now_wall_us - listed->complete_for_us
                : 0;
    }
}

/* Makes the tasks waiting again that were granted to the peer and that its
   answer does not list. */
static void
return_unstarted(BwHome *home, uint32_t peer)
{
    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        for (uint32_t i = 0; i < job->task_count && !job->is_ended; i++) {
            HomeTask *task = &job->tasks[i];

            if (task->state != TASK_GRANTED || task->peer != peer)
                continue;
            if (!task->is_confirmed) {
                task->state = TASK_WAITING;
                job->waiting++;
                if (i < job->first_waiting)
                    job->first_waiting = i;
            }
            task->is_confirmed = false;
        }
        BwHome_ClearReservation(home, job, peer);
    }
}

void
BwHome_OnFenceAnswer(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
                     uint32_t peer, const BwFenceAnswer *answer)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);

    if (worker == NULL || worker->is_fenced || home->ring == NULL ||
        answer->number != worker->sent_fence_number)
        return;
    /* A list made with another version of the ring may lack keys of arcs that
       this home holds. */
    if (answer->refusal == BW_FENCE_ACCEPTED &&
        answer->ring_version != home->ring_version) {
        begin_round(home, worker, now_us + REFENCE_DELAY_US);
        return;
    }
    if (answer->refusal == BW_FENCE_RING_BEHIND) {
        worker->fence_at_us = now_us + REFENCE_DELAY_US;
        return;
    }
    if (answer->refusal == BW_FENCE_OUTDATED) {
        worker->sent_fence_number = answer->known_fence_number + 1;
        worker->fence_at_us = now_us;
        send_fences(home, now_us);
        return;
    }
    if (worker->incarnation != 0 &&
        worker->incarnation != answer->incarnation) {
        BwHome_WorkerLost(home, now_us, peer);
        worker->incarnation = answer->incarnation;
        worker->is_gone = false;
        return;
    }
    worker->is_fenced = true;
    worker->is_gone = false;
    worker->reserved = 0;
    worker->complete_since_wall_us = 0;
    if (answer->complete_for_us < now_wall_us)
        worker->complete_since_wall_us = now_wall_us - answer->complete_for_us;
    worker->answered_gain_number = home->last_gain_number;
    worker->incarnation = answer->incarnation;
    worker->previous = answer->previous;
    BwHome_RefreshWorker(home, worker);
    merge_inherited_ledgers(home, now_wall_us, answer);
    merge_jobs(home, now_us, peer, answer);
    return_unstarted(home, peer);
    complete_arcs(home, now_us);
    BwHome_PlaceAll(home, now_us);
}

/* ------------------------------------------------------------ custody */

/* Removes a job that belongs to another agent now, and sends its waiters
   BW_ERR_NOT_OWNER. */
static void
abandon(BwHome *home, BwJob *job, BwSpan owner)
{
    BwResult result = {0};

    result.error = BW_ERR_NOT_OWNER;
    result.owner = owner;
    for (uint32_t i = 0; i < job->waiter_count; i++) {
        result.request_id = job->waiters[i].request_id;
        home->port->result(home->port_ctx, job->waiters[i], &result);
    }
    log_decision(home, "abandon", job, job->task_count,
                 "custody of its arc has moved to another agent");
    BwHome_RemoveJob(home, job);
}

/* Removes the jobs and orphans whose arc this home no longer holds. */
static void
abandon_moved(BwHome *home, BwSpan owner)
{
    BwJob *job, *next;
    BwOrphan *orphan, *next_orphan;

    HASH_ITER(hh, home->jobs, job, next)
    {
        int32_t index = BwRing_Find(home->ring, job->id);
        BwSpan name = owner;

        if (find_arc_of_job(home, job->id) != NULL)
            continue;
        if (index >= 0 && owner.size_bytes == 0)
            name = BwSpan_FromString(home->ring->agents[index].name);
        abandon(home, job, name);
    }
    HASH_ITER(hh, home->orphans, orphan, next_orphan)
    {
        if (find_arc_of_job(home, orphan->job) == NULL)
            free_orphan(home, orphan);
    }
}

static void
remove_arc(BwHome *home, uint32_t at)
{
    home->arc_count--;
    memmove(home->arcs + at, home->arcs + at + 1,
            (home->arc_count - at) * sizeof(BwHomeArc));
}

void
BwHome_DropArc(BwHome *home, BwSpan arc, BwSpan owner)
{
    for (uint32_t i = 0; i < home->arc_count; i++) {
        if (!BwSpan_Equal(BwSpan_FromString(home->arcs[i].name), arc))
            continue;
        remove_arc(home, i);
        abandon_moved(home, owner);
        return;
    }
}

static void
add_local_run(BwHome *home, BwJobId id, uint64_t expires_us)
{
    BwOrphan *orphan = find_or_add_orphan(home, id, expires_us);

    if (orphan != NULL)
        orphan->is_unrecoverable = true;
}

BwErrorKind
BwHome_GainArc(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
               const BwGain *gain)
{
    BwHomeArc *arc;
    uint64_t expires_us =
        now_us + home->limits.lifetime_us + home->limits.keep_us;

    BwHome_DropArc(home, gain->arc, gain->arc);
    arc = realloc(home->arcs, (home->arc_count + 1) * sizeof(BwHomeArc));
    if (arc == NULL)
        return BW_ERR_NO_MEMORY;
    home->arcs = arc;
    arc = &home->arcs[home->arc_count++];
    memset(arc, 0, sizeof(*arc));
    BwSpan_ToString(gain->arc, arc->name, sizeof(arc->name));
    arc->gain_number = ++home->last_gain_number;
    arc->has_all_local_runs = gain->has_all_local_runs;
    arc->is_contested = gain->prior_custody != BW_PRIOR_CUSTODY_ENDED;
    if (gain->prior_custody == BW_PRIOR_CUSTODY_ENDED)
        arc->former_custody_ended_wall_us = now_wall_us;
    for (uint32_t i = 0; i < gain->local_run_count; i++)
        add_local_run(home, gain->local_runs[i], expires_us);
    begin_all_rounds(home, now_us);
    send_fences(home, now_us);
    return BW_OK;
}

void
BwHome_SetLease(BwHome *home, uint64_t now_us, uint64_t until_us,
                uint64_t lease_ring_version, BwSpan guardian)
{
    bool was_lapsed = now_us >= home->lease_until_us;
    bool is_later_ring = lease_ring_version > home->lease_ring_version;

    home->lease_until_us = until_us;
    home->lease_ring_version = lease_ring_version;
    BwSpan_ToString(guardian, home->guardian, sizeof(home->guardian));
    for (uint32_t i = 0; is_later_ring && i < home->workers.all.count; i++)
        BwHome_RefreshWorker(home, home->workers.all.items[i]);
    if (home->ring != NULL && (was_lapsed || is_later_ring))
        BwHome_PlaceAll(home, now_us);
}

void
BwHome_AddWorker(BwHome *home, uint32_t peer, BwSpan name, bool is_self)
{
    BwWorkerView *worker = BwHome_FindOrAddWorker(home, peer);

    if (worker == NULL)
        return;
    BwSpan_ToString(name, worker->name, sizeof(worker->name));
    worker->is_self = is_self;
    if (is_self)
        home->workers.self = worker;
    if (worker->sent_fence_number == 0)
        worker->sent_fence_number = 1;
}

/* Makes every arc incomplete after an agent was removed, because any arc may
   have got keys of that agent.  `is_continuous` means that no agent joined and
   left between two versions of the ring that this home has seen.  The start
   states of jobs in the table then stay valid; otherwise such an agent may
   have granted their tasks. */
static void
restart_arcs(BwHome *home, uint64_t now_us, bool is_continuous)
{
    home->last_gain_number++;
    for (uint32_t i = 0; i < home->arc_count; i++) {
        home->arcs[i].gain_number = home->last_gain_number;
        home->arcs[i].is_complete = false;
        home->arcs[i].former_custody_ended_wall_us = 0;
        home->arcs[i].has_all_local_runs = false;
    }
    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        if (job->is_ended || job->waiting == 0)
            continue;
        job->is_start_state_known = is_continuous && !job->is_held;
        job->is_held = true;
        job->hold_deadline_us = now_us + home->limits.hold_timeout_us;
    }
    begin_all_rounds(home, now_us);
}

/* Copies the worker's incarnation from the ring.  What was known of the former
   incarnation does not apply to the one that has joined. */
static void
set_ring_incarnation(BwWorkerView *worker, const BwRing *ring)
{
    int32_t index = BwRing_IndexOf(ring, BwSpan_FromString(worker->name));
    uint64_t incarnation = index >= 0 ? ring->agents[index].incarnation : 0;

    if (incarnation == worker->ring_incarnation)
        return;
    worker->ring_incarnation = incarnation;
    memset(&worker->health, 0, sizeof(worker->health));
    worker->ring_join_version = incarnation != 0 ? ring->version : UINT64_MAX;
    if (incarnation != worker->incarnation)
        worker->is_gone = false;
}

/* --------------------------------------------------------- local host */

/* Sends the guardian a local-run notice for a job whose tasks find no slot on
   another host. */
static void
request_local_start(BwHome *home, uint64_t now_us, BwJob *job)
{
    if (job->is_run_recorded || job->is_held || home->ring->agent_count == 1 ||
        (job->is_record_requested &&
         now_us < job->record_requested_us + FENCE_RESEND_US))
        return;
    for (uint32_t i = 0; i < home->workers.all.count; i++) {
        const BwWorkerView *worker = home->workers.all.items[i];

        if (!worker->is_self || !worker->is_up || worker->is_leaving ||
            worker->free_slots == 0 ||
            !BwSpan_Equal(BwSpan_FromString(worker->service), job->service))
            continue;
        job->is_record_requested = true;
        job->record_requested_us = now_us;
        home->port->record_local_run(home->port_ctx, job->id,
                                     job->forget_at_us - now_us);
        return;
    }
}

void
BwHome_OnLocalRunAck(BwHome *home, uint64_t now_us, BwJobId id,
                     bool is_accepted)
{
    BwJob *job = BwHome_FindJob(home, id);

    if (job == NULL || !job->is_record_requested)
        return;
    job->is_run_recorded = is_accepted;
    if (is_accepted && !job->is_ended)
        BwHome_PlaceJob(home, now_us, job);
}

/* Returns whether the home knows everything that was started on its local host
   for its own arc. */
static bool
knows_local_starts(const BwHome *home)
{
    const BwWorkerView *self = home->workers.self;
    const BwHomeArc *arc;

    if (self == NULL)
        return false;
    arc = find_arc(home, BwSpan_FromString(self->name));
    return arc != NULL && self->answered_gain_number >= arc->gain_number;
}

static bool
may_run_on_local_host(const BwHome *home, const BwJob *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        const BwWorkerView *worker =
            BwHome_FindWorker((BwHome *)home, job->tasks[i].peer);

        if (job->tasks[i].state != TASK_WAITING && worker != NULL &&
            worker->is_self)
            return true;
    }
    return job->is_record_requested;
}

bool
BwHome_ListLocalRuns(const BwHome *home, BwJobId *jobs, uint32_t capacity,
                     uint32_t *count)
{
    *count = 0;
    if (!knows_local_starts(home))
        return false;
    for (const BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        if (!may_run_on_local_host(home, job))
            continue;
        if (*count == capacity)
            return false;
        jobs[(*count)++] = job->id;
    }
    for (const BwOrphan *o = home->orphans; o != NULL; o = o->hh.next) {
        if (*count == capacity)
            return false;
        jobs[(*count)++] = o->job;
    }
    return true;
}

/* ------------------------------------------------------------- rights */

static bool
is_current_fence(const BwWorkerView *worker, uint64_t number)
{
    return number == worker->sent_fence_number;
}

/* Sets the fence of a grant, and its expiry to no later than the lease's. */
static void
set_fence(const BwHome *home, const BwWorkerView *worker, const BwJob *job,
          BwGrant *grant)
{
    (void)job;
    grant->fence_number = worker->sent_fence_number;
    grant->holder = home->holder;
    if (home->lease_until_us < grant->not_after_us)
        grant->not_after_us = home->lease_until_us;
}

static const BwCustodyHooks custody_hooks = {
    .owns = owns,
    .is_complete = is_complete,
    .may_receive_grants = may_receive_grants,
    .is_usable = is_usable,
    .is_current_fence = is_current_fence,
    .may_have_run = may_have_run,
    .set_fence = set_fence,
    .recover_job = recover_job,
    .request_local_start = request_local_start,
    .link_lost = BwHome_LinkLost,
    .worker_lost = mark_orphans_lost,
    .finish = finish,
};

void
BwHome_SetRing(BwHome *home, uint64_t now_us, const BwRing *ring,
               uint64_t holder)
{
    BwSpan nobody = {"", 0};
    uint64_t former_version = home->ring_version;

    home->ring = ring;
    home->custody_hooks = &custody_hooks;
    home->ring_version = ring->version;
    home->holder = holder;
    for (uint32_t i = 0; i < home->workers.all.count; i++) {
        set_ring_incarnation(home->workers.all.items[i], ring);
        BwHome_RefreshWorker(home, home->workers.all.items[i]);
    }
    for (uint32_t i = home->arc_count; i > 0; i--) {
        if (BwRing_IndexOf(ring, BwSpan_FromString(home->arcs[i - 1].name)) <
            0)
            remove_arc(home, i - 1);
    }
    abandon_moved(home, nobody);
    if (ring->removed_version != home->removed_version)
        restart_arcs(home, now_us,
                     ring->removed_joined_version <= former_version);
    home->removed_version = ring->removed_version;
    send_fences(home, now_us);
    BwHome_PlaceAll(home, now_us);
}

/* --------------------------------------------------------------- time */

void
BwHome_RecoveryTick(BwHome *home, uint64_t now_us, uint64_t now_wall_us)
{
    BwOrphan *orphan, *next_orphan;

    if (home->ring == NULL)
        return;
    for (uint32_t i = 0; i < home->workers.all.count; i++) {
        BwWorkerView *worker = home->workers.all.items[i];

        if (!worker->is_gone)
            worker->gone_wall_us = 0;
        else if (worker->gone_wall_us == 0)
            worker->gone_wall_us = now_wall_us;
    }
    send_fences(home, now_us);
    complete_arcs(home, now_us);
    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        if (job->is_held && !job->is_ended && now_us >= job->hold_deadline_us)
            BwHome_EndJob(home, job, BW_ERR_EXECUTOR_LOST,
                          "a worker that may have started tasks did not "
                          "respond in time");
    }
    HASH_ITER(hh, home->orphans, orphan, next_orphan)
    {
        if (now_us >= orphan->expires_us)
            free_orphan(home, orphan);
    }
}
