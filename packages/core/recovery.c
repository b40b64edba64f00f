/* recovery.c -- how a home takes keys over from a former custodian

   A home grants starts only while three things hold: its lease, the custody
   of the key's arc, and for the executor a fence that it took and answered.
   A fence round of one executor begins when an arc is gained, when a message
   may have been lost on the way to or from it, and when an agent was removed
   from the ring.  Rounds are numbered, each executor has its own number, and
   no grant is sent between the beginning of a round and its answer.  So the
   answer is the whole truth: a granted task that it does not list was not
   started and never will be under the old number.

   What the answers list for keys outside the table is kept as orphans until
   a caller submits the key again; the job then takes the starts over.

   An arc is complete when every executor of the ring has answered since it
   was gained.  When another agent may still have held the arc, all are asked
   twice: a process that answers gives the arc up, so nobody else grants
   anything between the last first answer and the second ones.  Until then a
   job is held, unless it was submitted after all former custody ended.  The
   only question that uses wall clocks is whether a key is older than a time,
   and it is answered yes when in doubt.  A key that may have been started by
   an executor that cannot be asked fails with an error that says so.
*/

#include <stdlib.h>
#include <string.h>

#include "job.h"

#define REFENCE_US 20000
#define RESEND_FENCE_US 500000
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
    bool is_noted; /* ran on the host of a former custodian */
    OrphanTask *tasks;
    uint32_t task_count;
};

static void
decide(BwHome *home, const char *what, const BwJob *job, uint32_t count,
       const char *reason)
{
    BwHome_Decide(home, what, job, count, "", 0, reason);
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
arc_of(const BwHome *home, BwJobId id)
{
    int32_t index = BwRing_Find(home->ring, id);

    if (index < 0)
        return NULL;
    return find_arc(home, BwSpan_FromString(home->ring->agents[index].name));
}

static bool
owns(const BwHome *home, uint64_t now_us, BwJobId id)
{
    return now_us < home->lease_until_us && arc_of(home, id) != NULL;
}

static bool
is_complete(const BwHome *home, BwJobId id)
{
    const BwHomeArc *arc = arc_of(home, id);

    return arc == NULL || arc->is_complete;
}

static bool
is_engaged(const BwHome *home, const BwWorkerView *worker)
{
    if (!worker->is_fenced || worker->incarnation != worker->member)
        return false;
    return worker->is_self || worker->since_version <= home->engage_version;
}

static bool
is_usable(const BwHome *home, uint64_t now_us, const BwWorkerView *worker,
          const BwJob *job)
{
    if (now_us >= home->lease_until_us || !is_engaged(home, worker))
        return false;
    return !worker->is_self || home->ring->agent_count == 1 || job->is_noted;
}

/* ------------------------------------------------------ fence rounds */

/* Begins a round of its own number, also when one is under way. */
static void
begin_round(BwHome *home, BwWorkerView *worker, uint64_t at_us)
{
    worker->fence_number++;
    worker->is_fenced = false;
    worker->fence_at_us = at_us;
    BwHome_RefreshWorker(home, worker);
}

void
BwHome_LinkLost(BwHome *home, uint64_t now_us, uint32_t peer)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);

    if (worker != NULL && home->ring != NULL)
        begin_round(home, worker, now_us + REFENCE_US);
}

void
BwHome_WorkerSilent(BwHome *home, BwSpan name)
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
    home->cover_count = 0;
    for (uint32_t i = 0; i < home->workers.all.count; i++)
        begin_round(home, home->workers.all.items[i], now_us);
}

static void
send_fence(BwHome *home, const BwWorkerView *worker)
{
    BwName names[BW_ARCS_MAX];
    BwFence fence = {0};

    fence.holder = home->holder;
    fence.number = worker->fence_number;
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

        if (worker->is_fenced || worker->is_gone || worker->member == 0 ||
            now_us < worker->fence_at_us)
            continue;
        worker->fence_at_us = now_us + RESEND_FENCE_US;
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

/* Of several attempts of one request the last one counts. */
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
lose_orphans(BwHome *home, uint32_t peer)
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
    free(home->covers);
}

/* ------------------------------------------------------------ taking over */

static bool
is_submitted_by(const BwHome *home, uint64_t submitted_wall_us,
                uint64_t wall_us)
{
    return submitted_wall_us < wall_us + home->limits.skew_us;
}

static bool
may_have_run(const BwHome *home, BwJobId id, uint64_t submitted_wall_us)
{
    const BwHomeArc *arc;
    BwOrphan *orphan;

    arc = arc_of(home, id);
    HASH_FIND(hh, home->orphans, &id, sizeof(id), orphan);
    if (arc == NULL || orphan != NULL)
        return true;
    if (!arc->is_complete)
        return arc->fresh_wall_us == 0 ||
               is_submitted_by(home, submitted_wall_us, arc->fresh_wall_us);
    return arc->doubt_wall_us != 0 &&
           is_submitted_by(home, submitted_wall_us, arc->doubt_wall_us);
}

static void
ask_once(BwHome *home, const BwJob *job, const BwOrphan *orphan, uint32_t at)
{
    BwRecoverAsk ask = {job->id};

    for (uint32_t i = 0; i < at; i++) {
        if (orphan->tasks[i].peer == orphan->tasks[at].peer)
            return;
    }
    home->port->recover(home->port_ctx, orphan->tasks[at].peer, &ask);
}

/* Marks a task as started at `peer`.  Returns whether it was waiting; one
   that waits for a later attempt was not started as that. */
static bool
take_start(BwJob *job, uint32_t index, uint32_t attempt, uint32_t peer)
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
take_orphan(BwHome *home, BwJob *job, BwOrphan *orphan)
{
    bool is_lost = orphan->is_noted;

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
        take_start(job, orphan->tasks[i].index, orphan->tasks[i].attempt,
                   orphan->tasks[i].peer);
        ask_once(home, job, orphan, i);
    }
    home->counters.jobs_recovered++;
    decide(home, "recover", job, orphan->task_count,
           "tasks were started under a former custodian");
    free_orphan(home, orphan);
}

/* Holds a new job, or makes it take over what was started before. */
static void
adopt(BwHome *home, uint64_t now_us, BwJob *job)
{
    const BwHomeArc *arc;
    BwOrphan *orphan;

    arc = arc_of(home, job->id);
    if (arc == NULL)
        return;
    if (!arc->is_complete &&
        (arc->fresh_wall_us == 0 ||
         is_submitted_by(home, job->submitted_wall_us, arc->fresh_wall_us))) {
        job->is_held = true;
        job->held_by_us = now_us + home->limits.loss_us;
        decide(home, "hold", job, job->task_count,
               "not every worker has said what it started");
        return;
    }
    job->is_held = false;
    HASH_FIND(hh, home->orphans, &job->id, sizeof(job->id), orphan);
    if (orphan != NULL)
        take_orphan(home, job, orphan);
    if (job->is_ended || job->is_known || job->waiting == 0)
        return;
    if (arc->doubt_wall_us != 0 &&
        is_submitted_by(home, job->submitted_wall_us, arc->doubt_wall_us)) {
        home->counters.jobs_in_doubt++;
        BwHome_EndJob(home, job, BW_ERR_EXECUTOR_LOST,
                      "a worker that may have started tasks is gone");
    }
}

/* Nothing of the job was started, and no worker of its service is left: the
   refusal that admission gives when it need not hold a job. */
static void
refuse_released(BwHome *home, BwJob *job)
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
        adopt(home, now_us, job);
        if (job->is_held || job->is_ended)
            continue;
        job->is_known = true;
        if (job->waiting == job->task_count &&
            !BwHome_HasWorker(home, job->service))
            refuse_released(home, job);
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

/* Returns until when the starts of a process are unknown, when `doubt_wall_us`
   would hold without its ledger being kept elsewhere. */
static uint64_t
cover_doubt(const BwHome *home, const char *name, uint64_t incarnation,
            uint64_t doubt_wall_us)
{
    for (uint32_t i = 0; i < home->cover_count; i++) {
        const BwHomeCover *cover = &home->covers[i];

        if (cover->incarnation == incarnation &&
            strcmp(cover->name, name) == 0 &&
            cover->reach_wall_us < doubt_wall_us)
            doubt_wall_us = cover->reach_wall_us;
    }
    return doubt_wall_us;
}

/* Returns whether an executor need not be waited for, and until when its
   starts are unknown. */
static bool
is_settled(const BwHome *home, const BwHomeArc *arc, const BwAgent *agent,
           uint64_t *doubt_wall_us)
{
    const BwWorkerView *worker = find_named(home, agent->name);
    bool has_answered = worker != NULL && worker->answered_gain >= arc->gain;

    *doubt_wall_us = 0;
    if (arc->has_notes && strcmp(arc->name, agent->name) == 0)
        return worker == NULL || !worker->is_self || has_answered;
    if (has_answered)
        *doubt_wall_us = cover_doubt(home, agent->name, worker->previous,
                                     worker->reach_wall_us);
    else if (worker != NULL && worker->is_gone && worker->gone_wall_us != 0)
        *doubt_wall_us = cover_doubt(home, agent->name, agent->incarnation,
                                     worker->gone_wall_us);
    else
        return false;
    return true;
}

static bool
judge_arc(const BwHome *home, BwHomeArc *arc)
{
    uint64_t doubt_wall_us = arc->doubt_wall_us;

    for (uint32_t i = 0; i < home->ring->agent_count; i++) {
        uint64_t until = 0;

        if (!is_settled(home, arc, &home->ring->agents[i], &until))
            return false;
        if (until > doubt_wall_us)
            doubt_wall_us = until;
    }
    arc->is_complete = true;
    arc->doubt_wall_us = doubt_wall_us;
    return true;
}

static void
judge_arcs(BwHome *home, uint64_t now_us)
{
    bool is_changed = false;
    bool is_asked_again = false;

    for (uint32_t i = 0; i < home->arc_count; i++) {
        BwHomeArc *arc = &home->arcs[i];

        if (arc->is_complete || !judge_arc(home, arc))
            continue;
        is_changed = true;
        if (!arc->is_contested)
            continue;
        arc->is_contested = false;
        arc->is_complete = false;
        arc->gain = ++home->gains;
        is_asked_again = true;
    }
    if (is_asked_again) {
        begin_all_rounds(home, now_us);
        send_fences(home, now_us);
    }
    if (is_changed)
        release_held(home, now_us);
}

/* ------------------------------------------------------------ answers */

/* Merges one listed job.  Returns true when the home lacks some answers. */
static bool
merge_table(BwJob *job, const BwFencedJob *listed, uint32_t peer)
{
    bool is_lacking = false;

    for (uint32_t i = 0; i < listed->task_count; i++) {
        uint32_t index = listed->tasks[i].index;
        uint32_t attempt = listed->tasks[i].attempt;
        bool is_taken = take_start(job, index, attempt, peer);

        if (index >= job->task_count)
            continue;
        if (job->tasks[index].state == TASK_GRANTED &&
            job->tasks[index].peer == peer &&
            job->tasks[index].attempt == attempt) {
            job->tasks[index].is_confirmed = true;
            is_lacking |= listed->tasks[i].is_ended || is_taken;
        }
    }
    return is_lacking;
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
        orphan->is_noted = true;
    /* Without room for it, every key of the time is in doubt. */
    for (uint32_t i = 0; orphan == NULL && i < home->arc_count; i++)
        home->arcs[i].doubt_wall_us = UINT64_MAX / 2;
}

static void
merge_jobs(BwHome *home, uint64_t now_us, uint32_t peer,
           const BwFenceAnswer *answer)
{
    for (uint32_t i = 0; i < answer->job_count; i++) {
        const BwFencedJob *listed = &answer->jobs[i];
        BwJob *job = BwHome_FindJob(home, listed->job);
        BwRecoverAsk ask = {listed->job};

        if (job == NULL)
            merge_orphan(home, now_us, listed, peer);
        else if (!job->is_ended && merge_table(job, listed, peer))
            home->port->recover(home->port_ctx, peer, &ask);
    }
}

static void
merge_covers(BwHome *home, uint64_t now_wall_us, const BwFenceAnswer *answer)
{
    for (uint32_t i = 0; i < answer->cover_count; i++) {
        const BwCover *told = &answer->covers[i];
        BwHomeCover *cover;

        if (home->covers == NULL)
            home->covers = calloc(BW_COVERS_MAX, sizeof(BwHomeCover));
        if (home->covers == NULL || home->cover_count == BW_COVERS_MAX)
            return;
        cover = &home->covers[home->cover_count++];
        BwSpan_ToString(told->name, cover->name, sizeof(cover->name));
        cover->incarnation = told->incarnation;
        cover->reach_wall_us =
            told->reach_us < now_wall_us ? now_wall_us - told->reach_us : 0;
    }
}

/* Tasks that were granted to the peer and are not in its answer go back. */
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
                if (i < job->next_waiting)
                    job->next_waiting = i;
            }
            task->is_confirmed = false;
        }
        BwHome_Unreserve(home, job, peer);
    }
}

void
BwHome_OnFenceAnswer(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
                     uint32_t peer, const BwFenceAnswer *answer)
{
    BwWorkerView *worker = BwHome_FindWorker(home, peer);

    if (worker == NULL || worker->is_fenced || home->ring == NULL ||
        answer->number != worker->fence_number)
        return;
    /* A list by another ring may lack keys that this home still holds. */
    if (answer->refusal == BW_FENCE_TAKEN &&
        answer->ring_version != home->ring_version) {
        begin_round(home, worker, now_us + REFENCE_US);
        return;
    }
    if (answer->refusal == BW_FENCE_BEHIND) {
        worker->fence_at_us = now_us + REFENCE_US;
        return;
    }
    if (answer->refusal == BW_FENCE_OUTDATED) {
        worker->fence_number = answer->known_number + 1;
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
    worker->reach_wall_us = 0;
    if (answer->reach_us < now_wall_us)
        worker->reach_wall_us = now_wall_us - answer->reach_us;
    worker->answered_gain = home->gains;
    worker->incarnation = answer->incarnation;
    worker->previous = answer->previous;
    BwHome_RefreshWorker(home, worker);
    merge_covers(home, now_wall_us, answer);
    merge_jobs(home, now_us, peer, answer);
    return_unstarted(home, peer);
    judge_arcs(home, now_us);
    BwHome_PlaceAll(home, now_us);
}

/* ------------------------------------------------------------ custody */

/* Forgets a job that another agent has now. */
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
    decide(home, "abandon", job, job->task_count, "its arc has moved");
    BwHome_RemoveJob(home, job);
}

/* Forgets the jobs whose arc is held no more. */
static void
abandon_moved(BwHome *home, BwSpan owner)
{
    BwJob *job, *next;
    BwOrphan *orphan, *next_orphan;

    HASH_ITER(hh, home->jobs, job, next)
    {
        int32_t index = BwRing_Find(home->ring, job->id);
        BwSpan name = owner;

        if (arc_of(home, job->id) != NULL)
            continue;
        if (index >= 0 && owner.size_bytes == 0)
            name = BwSpan_FromString(home->ring->agents[index].name);
        abandon(home, job, name);
    }
    HASH_ITER(hh, home->orphans, orphan, next_orphan)
    {
        if (arc_of(home, orphan->job) == NULL)
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
BwHome_Drop(BwHome *home, BwSpan arc, BwSpan owner)
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
add_note(BwHome *home, BwJobId id, uint64_t expires_us)
{
    BwOrphan *orphan = find_or_add_orphan(home, id, expires_us);

    if (orphan != NULL)
        orphan->is_noted = true;
}

BwErrorKind
BwHome_Gain(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
            const BwGain *gain)
{
    BwHomeArc *arc;
    uint64_t expires_us =
        now_us + home->limits.lifetime_us + home->limits.keep_us;

    BwHome_Drop(home, gain->arc, gain->arc);
    arc = realloc(home->arcs, (home->arc_count + 1) * sizeof(BwHomeArc));
    if (arc == NULL)
        return BW_ERR_NO_MEMORY;
    home->arcs = arc;
    arc = &home->arcs[home->arc_count++];
    memset(arc, 0, sizeof(*arc));
    BwSpan_ToString(gain->arc, arc->name, sizeof(arc->name));
    arc->gain = ++home->gains;
    arc->has_notes = gain->has_notes;
    arc->is_contested = gain->standing != BW_STANDING_ENDED;
    if (gain->standing == BW_STANDING_ENDED)
        arc->fresh_wall_us = now_wall_us;
    for (uint32_t i = 0; i < gain->note_count; i++)
        add_note(home, gain->notes[i], expires_us);
    begin_all_rounds(home, now_us);
    send_fences(home, now_us);
    return BW_OK;
}

void
BwHome_SetLease(BwHome *home, uint64_t now_us, uint64_t until_us,
                uint64_t engage_version, BwSpan guardian)
{
    bool was_lapsed = now_us >= home->lease_until_us;
    bool is_wider = engage_version > home->engage_version;

    home->lease_until_us = until_us;
    home->engage_version = engage_version;
    BwSpan_ToString(guardian, home->guardian, sizeof(home->guardian));
    for (uint32_t i = 0; is_wider && i < home->workers.all.count; i++)
        BwHome_RefreshWorker(home, home->workers.all.items[i]);
    if (home->ring != NULL && (was_lapsed || is_wider))
        BwHome_PlaceAll(home, now_us);
}

void
BwHome_AddExecutor(BwHome *home, uint32_t peer, BwSpan name, bool is_self)
{
    BwWorkerView *worker = BwHome_FindOrAddWorker(home, peer);

    if (worker == NULL)
        return;
    BwSpan_ToString(name, worker->name, sizeof(worker->name));
    worker->is_self = is_self;
    if (is_self)
        home->workers.self = worker;
    if (worker->fence_number == 0)
        worker->fence_number = 1;
}

/* After a removal every arc may hold keys of the removed agent, and a job in
   the table stays known unless an agent came and went unseen. */
static void
restart_arcs(BwHome *home, uint64_t now_us, bool is_continuous)
{
    home->gains++;
    for (uint32_t i = 0; i < home->arc_count; i++) {
        home->arcs[i].gain = home->gains;
        home->arcs[i].is_complete = false;
        home->arcs[i].fresh_wall_us = 0;
        home->arcs[i].has_notes = false;
    }
    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        if (job->is_ended || job->waiting == 0)
            continue;
        job->is_known = is_continuous && !job->is_held;
        job->is_held = true;
        job->held_by_us = now_us + home->limits.loss_us;
    }
    begin_all_rounds(home, now_us);
}

/* What was known of a former incarnation does not hold for the one that has
   joined. */
static void
set_member(BwWorkerView *worker, const BwRing *ring)
{
    int32_t index = BwRing_IndexOf(ring, BwSpan_FromString(worker->name));
    uint64_t member = index >= 0 ? ring->agents[index].incarnation : 0;

    if (member == worker->member)
        return;
    worker->member = member;
    memset(&worker->health, 0, sizeof(worker->health));
    worker->since_version = member != 0 ? ring->version : UINT64_MAX;
    if (member != worker->incarnation)
        worker->is_gone = false;
}

/* ----------------------------------------------------------- own host */

/* Asks the guardian to note the job when its tasks find no other slot. */
static void
want_own_host(BwHome *home, uint64_t now_us, BwJob *job)
{
    if (job->is_noted || job->is_held || home->ring->agent_count == 1 ||
        (job->is_note_asked && now_us < job->note_asked_us + RESEND_FENCE_US))
        return;
    for (uint32_t i = 0; i < home->workers.all.count; i++) {
        const BwWorkerView *worker = home->workers.all.items[i];

        if (!worker->is_self || !worker->is_up || worker->is_leaving ||
            worker->free_slots == 0 ||
            !BwSpan_Equal(BwSpan_FromString(worker->service), job->service))
            continue;
        job->is_note_asked = true;
        job->note_asked_us = now_us;
        home->port->note(home->port_ctx, job->id, job->drop_us - now_us);
        return;
    }
}

void
BwHome_OnNoted(BwHome *home, uint64_t now_us, BwJobId id, bool is_taken)
{
    BwJob *job = BwHome_FindJob(home, id);

    if (job == NULL || !job->is_note_asked)
        return;
    job->is_noted = is_taken;
    if (is_taken && !job->is_ended)
        BwHome_PlaceJob(home, now_us, job);
}

/* Whether the home knows all that was started on its host for its own arc. */
static bool
knows_own_host(const BwHome *home)
{
    const BwWorkerView *self = home->workers.self;
    const BwHomeArc *arc;

    if (self == NULL)
        return false;
    arc = find_arc(home, BwSpan_FromString(self->name));
    return arc != NULL && self->answered_gain >= arc->gain;
}

static bool
is_on_own_host(const BwHome *home, const BwJob *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        const BwWorkerView *worker =
            BwHome_FindWorker((BwHome *)home, job->tasks[i].peer);

        if (job->tasks[i].state != TASK_WAITING && worker != NULL &&
            worker->is_self)
            return true;
    }
    return job->is_note_asked;
}

bool
BwHome_ListNotes(const BwHome *home, BwJobId *jobs, uint32_t room,
                 uint32_t *count)
{
    *count = 0;
    if (!knows_own_host(home))
        return false;
    for (const BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        if (!is_on_own_host(home, job))
            continue;
        if (*count == room)
            return false;
        jobs[(*count)++] = job->id;
    }
    for (const BwOrphan *o = home->orphans; o != NULL; o = o->hh.next) {
        if (*count == room)
            return false;
        jobs[(*count)++] = o->job;
    }
    return true;
}

/* ------------------------------------------------------------- rights */

static bool
is_current(const BwWorkerView *worker, uint64_t epoch)
{
    return epoch == worker->fence_number;
}

/* A grant ends with the lease. */
static void
stamp(const BwHome *home, const BwWorkerView *worker, const BwJob *job,
      BwGrant *grant)
{
    (void)job;
    grant->epoch = worker->fence_number;
    grant->holder = home->holder;
    if (home->lease_until_us < grant->not_after_us)
        grant->not_after_us = home->lease_until_us;
}

static const BwHomeRights rights = {
    .owns = owns,
    .is_complete = is_complete,
    .is_engaged = is_engaged,
    .is_usable = is_usable,
    .is_current = is_current,
    .may_have_run = may_have_run,
    .stamp = stamp,
    .adopt = adopt,
    .want_own_host = want_own_host,
    .link_lost = BwHome_LinkLost,
    .worker_lost = lose_orphans,
    .finish = finish,
};

void
BwHome_SetRing(BwHome *home, uint64_t now_us, const BwRing *ring,
               uint64_t holder)
{
    BwSpan nobody = {"", 0};
    uint64_t former_version = home->ring_version;

    home->ring = ring;
    home->rights = &rights;
    home->ring_version = ring->version;
    home->holder = holder;
    for (uint32_t i = 0; i < home->workers.all.count; i++) {
        set_member(home->workers.all.items[i], ring);
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
    judge_arcs(home, now_us);
    for (BwJob *job = home->jobs; job != NULL; job = job->hh.next) {
        if (job->is_held && !job->is_ended && now_us >= job->held_by_us)
            BwHome_EndJob(home, job, BW_ERR_EXECUTOR_LOST,
                          "a worker that may have started tasks is silent");
    }
    HASH_ITER(hh, home->orphans, orphan, next_orphan)
    {
        if (now_us >= orphan->expires_us)
            free_orphan(home, orphan);
    }
}
