/* supervisor.c -- messages of dispatchers, their sessions, and deadlines

   A dispatcher gets the worker's state when it connects and at each change,
   and a load report with every answer.  It places tasks while its session
   lasts; they are checked against what the worker offers and queued in
   workertasks.c.  When a session lapses, the dispatcher's tasks are ended,
   since another dispatcher may start them from then on.

   Sessions with tasks are renewed three times in their length.  A dispatcher
   that has no tasks here and sends none gets a renewal request with a load
   report once in two session lengths, more rarely beyond 16 dispatchers, and
   when the load of the worker changes by a quarter of its capacity.  So the
   cost of a supervisor follows the number of its tasks and not that of the
   dispatchers.  The trade-off is that dispatchers notice later when a
   worker without tasks falls silent.

   The calls to the worker are in workerlink.c.  The role of the daemon that
   supervises a worker calls these functions.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "resources.h"
#include "workerlink.h"
#include "workertasks.h"

/* Renewals per session length of a dispatcher with tasks. */
#define SESSION_RENEWALS 3
/* The load level is the number of full 1 / LOAD_LEVELS parts of the scarcest
   resource that are in use.  An idle dispatcher gets a load report when the
   level changes. */
#define LOAD_LEVELS 4

/* A dispatcher without tasks is idle from ACTIVE_US after its last PLACE on.
   Up to UNTHROTTLED_PEERS dispatchers, an idle one gets one renewal in
   IDLE_RENEWAL_SESSIONS session lengths; with n times as many dispatchers,
   ACTIVE_US is n times shorter and the interval n times longer, up to the
   maximum. */
#define ACTIVE_US 2000000
#define IDLE_RENEWAL_SESSIONS 2
#define IDLE_RENEWAL_SESSIONS_MAX 8
#define UNTHROTTLED_PEERS 16

/* An unanswered start is stopped when no poll has listed the task for this
   long. */
#define UNANSWERED_START_US 50000

/* -------------------------------------------------------- dispatchers */

/* Returns the load of the worker in steps coarse enough for dispatchers that
   send nothing: quarters of its scarcest resource, and a further step when
   tasks are queued. */
static uint32_t
load_level(const BwSupervisor *s)
{
    uint64_t used[] = {s->used.cpu_milli, s->used.mem_mb, s->used.gpu};
    uint64_t all[] = {s->capacity.cpu_milli, s->capacity.mem_mb,
                      s->capacity.gpu};
    uint64_t level = 0;

    for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
        uint64_t own = all[i] > 0 ? used[i] * LOAD_LEVELS / all[i] : 0;

        level = own > level ? own : level;
    }
    return (uint32_t)level + (s->queued_count > 0);
}

static void
send_state(BwSupervisor *s, BwSupervisorPeer *peer, uint64_t now_us)
{
    BwMessage message = {.kind = BW_MSG_WORKER};
    BwWorkerState *state = &message.u.worker;
    BwWorkerLoad load = BwWorkerTasks_MakeLoad(s, peer, now_us);
    BwName labels[BW_LABELS_MAX];

    for (uint32_t i = 0; i < s->label_count; i++)
        labels[i].name = BwSpan_FromString(s->labels[i]);
    state->instance = BwSpan_FromString(s->life);
    state->service = BwSpan_FromString(s->service);
    state->domain = BwSpan_FromString(s->domain);
    state->capacity = s->capacity;
    state->is_leaving = !BwWorkerTasks_IsUsable(s, now_us);
    state->is_clear =
        s->phase == BW_WORKER_READY && s->tasks_without_peer == 0;
    state->is_evacuated = s->is_evacuated;
    state->evacuation_version = s->evacuation_version;
    state->labels = labels;
    state->label_count = s->label_count;
    state->load = &load;
    state->load_count = 1;
    peer->reported_clear = state->is_clear != 0;
    peer->reported_level = load_level(s);
    s->port->send(s->ctx, peer->peer, &message);
}

void
BwSupervisor_BroadcastState(BwSupervisor *s, uint64_t now_us)
{
    BwSupervisorPeer *peer, *next;

    s->was_usable = BwWorkerTasks_IsUsable(s, now_us);
    HASH_ITER(hh, s->peers, peer, next)
    {
        send_state(s, peer, now_us);
    }
}

/* Removes the queued tasks of a dispatcher that has disconnected.  Its others
   are stopped, and count as orphans until they have ended. */
static void
release_peer_tasks(BwSupervisor *s, uint64_t now_us, uint32_t peer)
{
    BwWorkerTask *task, *next;

    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (task->peer != peer)
            continue;
        if (BwWorkerTasks_IsOnWorker(task)) {
            task->peer = 0;
            task->outcome = 0;
            s->tasks_without_peer++;
        }
        BwWorkerTasks_End(s, now_us, task, 0, 0,
                          "its dispatcher disconnected");
    }
}

/* Ends the tasks of a dispatcher that is still connected and whose session has
   lapsed. */
static void
end_session_tasks(BwSupervisor *s, uint64_t now_us, uint32_t peer)
{
    BwWorkerTask *task, *next;

    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (task->peer == peer)
            BwWorkerTasks_End(s, now_us, task, BW_OUTCOME_LOST, 0,
                              "the session lapsed");
    }
}

void
BwSupervisor_PeerUp(BwSupervisor *s, uint64_t now_us, uint32_t peer_id)
{
    BwSupervisorPeer *peer = calloc(1, sizeof(*peer));

    if (peer == NULL)
        return;
    peer->peer = peer_id;
    HASH_ADD(hh, s->peers, peer, sizeof(peer->peer), peer);
    send_state(s, peer, now_us);
    BwCrashReports_Repeat(s, now_us, peer_id);
}

void
BwSupervisor_PeerDown(BwSupervisor *s, uint64_t now_us, uint32_t peer_id)
{
    BwSupervisorPeer *peer;

    HASH_FIND(hh, s->peers, &peer_id, sizeof(peer_id), peer);
    if (peer == NULL)
        return;
    HASH_DELETE(hh, s->peers, peer);
    free(peer);
    release_peer_tasks(s, now_us, peer_id);
    BwWorkerTasks_StartQueued(s, now_us);
}

/* Extends the session from when its renewal was requested, 0 for a PLACE that
   does not renew it. */
static void
renew_session(const BwSupervisor *s, BwSupervisorPeer *peer,
              uint64_t requested_us)
{
    uint64_t until_us = requested_us + s->limits.session_us;

    if (requested_us != 0 && until_us > peer->valid_until_us)
        peer->valid_until_us = until_us;
}

static uint32_t
count_step_tasks(const BwSupervisor *s, BwSpan job, uint32_t step)
{
    uint32_t count = 0;

    for (const BwWorkerTask *task = s->tasks_by_key; task != NULL;
         task = task->hh.next)
        count += task->key.step == step &&
                 BwSpan_Equal(job, BwSpan_FromString(task->key.job));
    return count;
}

/* Returns 0 when the task may be queued, else the BwDeclineReason.  `spread`
   counts the tasks of its step that are here already. */
static uint32_t
check_place(const BwSupervisor *s, uint64_t now_us,
            const BwSupervisorPeer *peer, const BwPlace *place,
            uint32_t spread)
{
    if (s->is_evacuated)
        return BW_DECLINE_EVACUATED;
    if (BwJobMemory_Find(&s->cancelled, now_us, place->route, place->job) !=
        NULL)
        return BW_DECLINE_CANCELLED;
    if (!BwWorkerTasks_IsUsable(s, now_us))
        return BW_DECLINE_LEAVING;
    if (now_us >= peer->valid_until_us)
        return BW_DECLINE_NO_SESSION;
    if (!BwSpan_Equal(place->service, BwSpan_FromString(s->service)))
        return BW_DECLINE_NO_SERVICE;
    if (!BwLabel_IsMet(place->requirement, s->labels, s->label_count) ||
        !BwResources_Fits(&place->resources, &s->capacity) ||
        (place->spread_max > 0 && spread >= place->spread_max))
        return BW_DECLINE_UNSUITED;
    if (HASH_COUNT(s->tasks_by_key) >= BW_SUPERVISOR_TASKS_MAX)
        return BW_DECLINE_BUSY;
    return 0;
}

static void
on_place(BwSupervisor *s, uint64_t now_us, BwSupervisorPeer *peer,
         const BwPlace *place)
{
    BwSpecText *text = malloc(sizeof(*text) + place->spec.size_bytes);
    BwTaskOutcome *declined = calloc(place->task_count + 1, sizeof(*declined));
    uint64_t first = s->next_number + 1;
    uint32_t spread = 0, count = 0;

    peer->place_seen = place->number;
    peer->placed_us = now_us;
    renew_session(s, peer,
                  place->requested_us < now_us ? place->requested_us : now_us);
    if (text == NULL || declined == NULL)
        goto cleanup;
    text->references = 1;
    text->spec_bytes = place->spec.size_bytes;
    BwSpan_ToString(place->route, text->route, sizeof(text->route));
    memcpy(text->spec, place->spec.base, place->spec.size_bytes);
    if (place->spread_max > 0)
        spread = count_step_tasks(s, place->job, place->step);
    for (uint32_t i = 0; i < place->task_count; i++) {
        uint32_t index = place->tasks[i].index;
        uint32_t reason = check_place(s, now_us, peer, place, spread);

        if (reason == 0)
            reason = BwWorkerTasks_Queue(s, now_us, peer, place, index, text);
        if (reason != 0) {
            declined[count].index = index;
            declined[count].kind = BW_OUTCOME_NOT_RUN;
            declined[count++].reason = reason;
        }
        spread++;
    }
    BwWorkerTasks_StartQueued(s, now_us);
    if (place->wait_us == 0 && count < place->task_count)
        count += BwWorkerTasks_DeclineNew(s, first, declined + count);
    s->counters.declined += count;
    BwWorkerTasks_LogDeclined(s, place, declined, count);
    BwWorkerTasks_Report(s, now_us, peer->peer, place->ref, place->step,
                         declined, count);
    if (--text->references == 0)
        free(text);
    text = NULL;
cleanup:
    free(text);
    free(declined);
}

static void
on_stop(BwSupervisor *s, uint64_t now_us, uint32_t peer, uint64_t ref)
{
    BwWorkerTask *task, *next;

    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (task->peer == peer && task->ref == ref)
            BwWorkerTasks_End(s, now_us, task, 0, 0,
                              "its dispatcher sent a STOP");
    }
    BwWorkerTasks_StartQueued(s, now_us);
}

/* What runs goes on and keeps its lease; what is queued is handed back to be
   placed elsewhere. */
static void
on_evacuate(BwSupervisor *s, uint64_t now_us, const BwEvacuate *evacuate)
{
    bool is_evacuated = evacuate->is_evacuated != 0;
    bool is_changed = is_evacuated != s->is_evacuated;

    if (evacuate->version <= s->evacuation_version)
        return;
    s->evacuation_version = evacuate->version;
    if (!is_changed)
        return;
    s->is_evacuated = is_evacuated;
    s->port->log_worker(s->ctx, is_evacuated ? "evacuate" : "evacuate_end",
                        HASH_COUNT(s->tasks_by_key) - s->queued_count,
                        is_evacuated ? "no task starts in this failure domain"
                                     : "the evacuation was taken back");
    if (is_evacuated)
        BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_EVACUATED);
    BwSupervisor_BroadcastState(s, now_us);
}

/* The job's dispatcher may be out of the sender's reach. */
static void
on_job_cancel(BwSupervisor *s, uint64_t now_us, const BwJobCancel *cancel)
{
    BwWorkerTask *task, *next;

    BwJobMemory_Add(&s->cancelled, now_us, cancel->queue, cancel->name,
                    BW_STATE_CANCELLED);
    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (!BwSpan_Equal(cancel->name, BwSpan_FromString(task->key.job)) ||
            !BwSpan_Equal(cancel->queue, BwSpan_FromString(task->text->route)))
            continue;
        BwWorkerTasks_End(s, now_us, task,
                          BwWorkerTasks_IsOnWorker(task) ? BW_OUTCOME_LOST
                                                         : BW_OUTCOME_NOT_RUN,
                          BW_DECLINE_CANCELLED, "the job was cancelled");
    }
    BwWorkerTasks_StartQueued(s, now_us);
}

void
BwSupervisor_OnMessage(BwSupervisor *s, uint64_t now_us, uint32_t peer_id,
                       const BwMessage *message)
{
    BwSupervisorPeer *peer;

    HASH_FIND(hh, s->peers, &peer_id, sizeof(peer_id), peer);
    if (peer == NULL)
        return;
    switch (message->kind) {
    case BW_MSG_SESSION:
        renew_session(s, peer, message->u.session.requested_us);
        break;
    case BW_MSG_PLACE:
        on_place(s, now_us, peer, &message->u.place);
        break;
    case BW_MSG_STOP:
        on_stop(s, now_us, peer_id, message->u.stop.ref);
        break;
    case BW_MSG_EVACUATE:
        on_evacuate(s, now_us, &message->u.evacuate);
        break;
    case BW_MSG_JOB_CANCEL:
        on_job_cancel(s, now_us, &message->u.job_cancel);
        break;
    default:
        break;
    }
}

/* --------------------------------------------------------------- time */

/* Returns the time from one renewal of the session to the next. */
static uint64_t
renewal_interval_us(const BwSupervisor *s, const BwSupervisorPeer *peer,
                    uint64_t now_us)
{
    uint64_t count = HASH_COUNT(s->peers);
    uint64_t peers = count > UNTHROTTLED_PEERS ? count : UNTHROTTLED_PEERS;
    uint64_t active_us = ACTIVE_US * UNTHROTTLED_PEERS / peers;
    uint64_t idle_us = s->limits.session_us * IDLE_RENEWAL_SESSIONS * peers /
                       UNTHROTTLED_PEERS;

    if (peer->live_task_count > 0 || now_us - peer->placed_us < active_us)
        return s->limits.session_us / SESSION_RENEWALS;
    return idle_us < s->limits.session_us * IDLE_RENEWAL_SESSIONS_MAX
               ? idle_us
               : s->limits.session_us * IDLE_RENEWAL_SESSIONS_MAX;
}

static void
request_renewal(BwSupervisor *s, BwSupervisorPeer *peer, uint64_t now_us)
{
    BwMessage message = {.kind = BW_MSG_SESSION};
    BwWorkerLoad load = BwWorkerTasks_MakeLoad(s, peer, now_us);

    peer->last_renewal_us = now_us;
    peer->next_renewal_us = now_us + renewal_interval_us(s, peer, now_us);
    peer->reported_level = load_level(s);
    message.u.session.requested_us = now_us;
    message.u.session.next_us = peer->next_renewal_us - now_us;
    message.u.session.load = &load;
    message.u.session.load_count = 1;
    s->port->send(s->ctx, peer->peer, &message);
}

static void
tick_sessions(BwSupervisor *s, uint64_t now_us)
{
    BwSupervisorPeer *peer, *next;
    bool is_clear = s->phase == BW_WORKER_READY && s->tasks_without_peer == 0;
    uint32_t level = load_level(s);

    HASH_ITER(hh, s->peers, peer, next)
    {
        uint64_t wait_us = level != peer->reported_level
                               ? s->limits.session_us / SESSION_RENEWALS
                               : renewal_interval_us(s, peer, now_us);

        if (now_us >= peer->next_renewal_us ||
            now_us - peer->last_renewal_us >= wait_us)
            request_renewal(s, peer, now_us);
        if (now_us >= peer->valid_until_us && peer->live_task_count > 0)
            end_session_tasks(s, now_us, peer->peer);
        if (is_clear && !peer->reported_clear)
            send_state(s, peer, now_us);
    }
}

static void
tick_tasks(BwSupervisor *s, uint64_t now_us)
{
    BwWorkerTask *task, *next;

    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (task->state == BW_WORKER_TASK_STOPPING) {
            if (!task->is_stop_in_flight && task->stopped_us == 0 &&
                s->down_since_us == 0 && s->phase == BW_WORKER_READY)
                BwWorkerTasks_SendStop(s, task);
        }
        else if (task->state == BW_WORKER_TASK_STARTING &&
                 task->unanswered_us != 0 &&
                 now_us - task->unanswered_us > UNANSWERED_START_US) {
            BwWorkerTasks_End(s, now_us, task, BW_OUTCOME_LOST, 0,
                              "its start is unanswered, and no poll lists it");
        }
        else if (task->state == BW_WORKER_TASK_QUEUED &&
                 now_us >= task->wait_until_us) {
            BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_NOT_RUN,
                                 BW_DECLINE_BUSY);
        }
        else if (now_us >= task->deadline_us) {
            BwWorkerTasks_End(s, now_us, task,
                              BwWorkerTasks_IsOnWorker(task)
                                  ? BW_OUTCOME_LOST
                                  : BW_OUTCOME_NOT_RUN,
                              BW_DECLINE_LATE, "the deadline passed");
        }
    }
}

void
BwSupervisor_Tick(BwSupervisor *s, uint64_t now_us)
{
    if (now_us >= s->lease_end_us && s->lease_end_us != 0) {
        if (s->down_since_us != 0 && !s->is_worker_leaving)
            BwWorkerTasks_EndLease(s, now_us, BW_OUTCOME_CRASHED,
                                   "the worker crashed, and its lease ran "
                                   "out");
        else
            BwWorkerTasks_EndLease(s, now_us, BW_OUTCOME_LOST,
                                   "the lease of the worker ran out");
        if (!BwWorkerTasks_IsResponsive(s, now_us))
            BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    }
    BwCrashReports_Tick(s, now_us);
    BwWorkerTasks_StartQueued(s, now_us);
    tick_tasks(s, now_us);
    tick_sessions(s, now_us);
    BwWorkerLink_Tick(s, now_us);
    if (s->was_usable != BwWorkerTasks_IsUsable(s, now_us))
        BwSupervisor_BroadcastState(s, now_us);
}

void
BwSupervisor_Leave(BwSupervisor *s, uint64_t now_us)
{
    if (s->is_leaving)
        return;
    s->is_leaving = true;
    BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    BwSupervisor_BroadcastState(s, now_us);
}

bool
BwSupervisor_IsIdle(const BwSupervisor *s)
{
    return HASH_COUNT(s->tasks_by_key) == 0;
}

void
BwSupervisor_Init(BwSupervisor *s, const BwSupervisorLimits *limits,
                  const BwSupervisorPort *port, void *ctx)
{
    memset(s, 0, sizeof(*s));
    s->limits = *limits;
    s->port = port;
    s->ctx = ctx;
}

void
BwSupervisor_Finish(BwSupervisor *s)
{
    BwWorkerTask *task, *next;
    BwSupervisorPeer *peer, *next_peer;

    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        BwWorkerTasks_Unlink(s, task);
        BwWorkerTasks_Free(task);
    }
    HASH_ITER(hh, s->peers, peer, next_peer)
    {
        HASH_DELETE(hh, s->peers, peer);
        free(peer);
    }
    BwCrashReports_Finish(&s->crash_reports);
    BwJobMemory_Finish(&s->cancelled);
}
