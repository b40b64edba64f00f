/* workerlife.c -- which worker is at the address, and how its lives follow

   A worker is known by its name and, where it tells it, by its start: a worker
   may start again under the name that it had, and then knows nothing of
   before. Heartbeats announce a life, and answers to calls show which one is
   there.

   Nothing is started on a life before it is cleared: tasks that an earlier
   supervisor left there, or that were started around a restart, are stopped
   first.  Orders carry the name alone, so both lives may carry out those that
   were sent around a restart.  Until the new one has been cleared the tasks
   therefore count as being there; the price is that they are reported as lost
   some milliseconds later.

   workerlink.c and the daemon call these functions.
*/

#include <stdio.h>
#include <string.h>

#include "brasswing.h"
#include "workerlife.h"
#include "workerlink.h"
#include "workertasks.h"

#define BORN_BYTES_MAX 22 /* '@', a time in milliseconds and the final 0 */

void
BwWorkerLife_RecordUp(BwSupervisor *s, const char *reason)
{
    s->down_since_us = 0;
    s->port->log_worker(s->ctx, "worker_up",
                        HASH_COUNT(s->tasks_by_key) - s->queued_count, reason);
}

/* Whether a heartbeat is of the instance of that name and start.  Two lives
   under one name differ in their start, and one that says nothing of its start
   is not a life of a worker that does. */
static bool
is_of(const BwWorkerHeartbeat *heartbeat, const char *instance,
      uint64_t born_ms)
{
    return BwSpan_Equal(heartbeat->instance, BwSpan_FromString(instance)) &&
           heartbeat->born_ms == born_ms;
}

/* Whether a heartbeat cannot be of the worker that is there: it is of the
   instance before, of an earlier life under the same name, or lacks the start
   that this worker gives. */
static bool
is_outdated(const BwSupervisor *s, const BwWorkerHeartbeat *heartbeat)
{
    bool is_known_name =
        BwSpan_Equal(heartbeat->instance, BwSpan_FromString(s->instance));

    if (s->previous_instance[0] != '\0' &&
        is_of(heartbeat, s->previous_instance, s->previous_born_ms))
        return true;
    return is_known_name && heartbeat->born_ms < s->born_ms;
}

/* The message that a worker ends does not tell its start, and a late one may
   be of an earlier life.  A worker that tells its start announces first that
   it leaves. */
static bool
is_end_of_this(const BwSupervisor *s, const BwWorkerHeartbeat *heartbeat)
{
    return BwSpan_Equal(heartbeat->instance, BwSpan_FromString(s->instance)) &&
           (s->born_ms == 0 || s->is_worker_leaving);
}

/* Returns whether the heartbeat describes the worker as it is known. */
static bool
is_as_known(const BwSupervisor *s, const BwWorkerHeartbeat *heartbeat)
{
    if ((heartbeat->has_capacity && memcmp(&s->capacity, &heartbeat->capacity,
                                           sizeof(s->capacity)) != 0) ||
        !BwSpan_Equal(heartbeat->service, BwSpan_FromString(s->service)) ||
        !BwSpan_Equal(heartbeat->domain, BwSpan_FromString(s->domain)) ||
        heartbeat->label_count != s->label_count)
        return false;
    for (uint32_t i = 0; i < s->label_count; i++) {
        if (!BwSpan_Equal(heartbeat->labels[i],
                          BwSpan_FromString(s->labels[i])))
            return false;
    }
    return true;
}

static void
adopt_description(BwSupervisor *s, const BwWorkerHeartbeat *heartbeat)
{
    BwSpan_ToString(heartbeat->service, s->service, sizeof(s->service));
    BwSpan_ToString(heartbeat->domain, s->domain, sizeof(s->domain));
    if (heartbeat->has_capacity)
        s->capacity = heartbeat->capacity;
    s->label_count = heartbeat->label_count;
    for (uint32_t i = 0; i < heartbeat->label_count; i++)
        BwSpan_ToString(heartbeat->labels[i], s->labels[i], BW_NAME_BYTES_MAX);
}

/* Begins a life under the name that is in s->instance. */
static void
begin_life(BwSupervisor *s, uint64_t born_ms)
{
    memset(&s->outcomes, 0, sizeof(s->outcomes));
    s->previous_born_ms = s->born_ms;
    s->born_ms = born_ms;
    if (s->born_ms == 0)
        strcpy(s->life, s->instance);
    else
        snprintf(s->life, sizeof(s->life), "%.*s@%llu",
                 BW_NAME_BYTES_MAX - BORN_BYTES_MAX, s->instance,
                 (unsigned long long)s->born_ms);
}

/* The clock of a new life starts anew.  Its fence must not be lower than those
   of the lives before: their late orders would pass it. */
static void
adopt_clock(BwSupervisor *s, uint64_t now_us, uint64_t clock_ms)
{
    uint64_t least = s->born_ms != 0 ? s->fence + 1 : 1;

    s->clock_ms = clock_ms;
    s->clock_read_us = now_us;
    s->fence = clock_ms > least ? clock_ms : least;
}

/* The worker that is in use describes itself differently.  Tasks that run go
   on; queued ones that can never fit are declined. */
static void
on_description_changed(BwSupervisor *s, uint64_t now_us)
{
    s->port->log_worker(s->ctx, "worker_changed",
                        HASH_COUNT(s->tasks_by_key) - s->queued_count,
                        "it announced another capacity, service or labels");
    BwWorkerTasks_DeclineUnsuited(s, now_us);
    BwWorkerTasks_StartQueued(s, now_us);
    BwSupervisor_BroadcastState(s, now_us);
}

/* Resets the state for an instance: whatever runs there is stopped first, and
   answers to calls made before are ignored. */
static void
clear_worker(BwSupervisor *s, uint64_t now_us)
{
    s->phase = BW_WORKER_CLEARING;
    s->last_end = 0;
    s->polls_in_flight = 0;
    s->answer_due_us = 0;
    s->first_poll = s->poll_number + 1;
    s->first_order_number = s->next_number + 1;
    BwWorkerLink_Poll(s, now_us, 0);
}

/* ------------------------------------------------------- announcements */

/* Copies the heartbeat, so that its life can be adopted once an answer has
   shown that it is at the address. */
static void
keep_announcement(BwSupervisor *s, uint64_t now_us,
                  const BwWorkerHeartbeat *heartbeat)
{
    BwAnnouncement *kept = &s->announced;
    uint32_t count = heartbeat->label_count;

    kept->heartbeat = *heartbeat;
    kept->heartbeat.memory = NULL;
    kept->received_us = now_us;
    BwSpan_ToString(heartbeat->instance, kept->instance,
                    sizeof(kept->instance));
    BwSpan_ToString(heartbeat->service, kept->service, sizeof(kept->service));
    BwSpan_ToString(heartbeat->domain, kept->domain, sizeof(kept->domain));
    kept->heartbeat.instance = BwSpan_FromString(kept->instance);
    kept->heartbeat.service = BwSpan_FromString(kept->service);
    kept->heartbeat.domain = BwSpan_FromString(kept->domain);
    for (uint32_t i = 0; i < count; i++) {
        BwSpan_ToString(heartbeat->labels[i], kept->labels[i],
                        BW_NAME_BYTES_MAX);
        kept->heartbeat.labels[i] = BwSpan_FromString(kept->labels[i]);
    }
}

/* The heartbeat is of another life than the one in use.  Another writer may
   have sent it, so a poll has to show which one is at the address. */
static void
on_announced(BwSupervisor *s, uint64_t now_us,
             const BwWorkerHeartbeat *heartbeat)
{
    keep_announcement(s, now_us, heartbeat);
    if (s->polls_in_flight < BW_WORKER_POLLS_MAX)
        BwWorkerLink_Poll(s, now_us, 0);
}

static void
adopt_life(BwSupervisor *s, const BwWorkerHeartbeat *heartbeat)
{
    if (s->down_since_us != 0)
        BwWorkerLife_RecordUp(s, "another instance has registered");
    strcpy(s->previous_instance, s->instance);
    BwSpan_ToString(heartbeat->instance, s->instance, sizeof(s->instance));
    begin_life(s, heartbeat->born_ms);
}

/* Takes what the heartbeat says of the worker that is in use, or that is going
   to be. */
static void
apply_heartbeat(BwSupervisor *s, uint64_t now_us, uint64_t received_us,
                const BwWorkerHeartbeat *heartbeat)
{
    bool is_same = is_of(heartbeat, s->instance, s->born_ms);
    bool is_changed = !is_as_known(s, heartbeat);
    bool was_leaving = s->is_worker_leaving;

    s->heartbeat_us = received_us;
    /* A record may be of another writer, or of another life. */
    s->heartbeat_sequence = heartbeat->is_recalled ? 0 : heartbeat->sequence;
    s->is_worker_leaving = heartbeat->is_leaving;
    s->is_undescribed = false;
    adopt_description(s, heartbeat);
    if (is_same && is_changed && s->phase == BW_WORKER_READY)
        on_description_changed(s, now_us);
    if (!is_same || s->phase == BW_WORKER_NONE) {
        if (!is_same)
            adopt_life(s, heartbeat);
        adopt_clock(s, received_us, heartbeat->clock_ms);
        s->is_recalled = heartbeat->is_recalled;
        clear_worker(s, now_us);
    }
    if (s->is_worker_leaving && !was_leaving)
        BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    if (s->was_usable != BwWorkerTasks_IsUsable(s, now_us))
        BwSupervisor_BroadcastState(s, now_us);
}

/* The instance that was in use is not at the address.  Adopts the one that was
   announced, if it has another name. */
static void
adopt_announced(BwSupervisor *s, uint64_t now_us)
{
    BwAnnouncement *kept = &s->announced;
    uint64_t received_us = kept->received_us;

    kept->received_us = 0;
    if (received_us != 0 && strcmp(kept->instance, s->instance) != 0)
        apply_heartbeat(s, now_us, received_us, &kept->heartbeat);
}

/* Takes the description of the life that has begun, if it was announced. */
static void
describe_life(BwSupervisor *s, uint64_t now_us)
{
    BwAnnouncement *kept = &s->announced;
    uint64_t received_us = kept->received_us;

    kept->received_us = 0;
    if (received_us != 0 && is_of(&kept->heartbeat, s->instance, s->born_ms))
        apply_heartbeat(s, now_us, received_us, &kept->heartbeat);
}

void
BwWorkerLife_OnKnown(BwSupervisor *s, uint64_t sent_us)
{
    BwAnnouncement *kept = &s->announced;

    if (kept->received_us == 0 || sent_us < kept->received_us)
        return;
    kept->received_us = 0;
    s->counters.heartbeats_ignored++;
    if (strcmp(kept->instance, s->ignored_instance) == 0)
        return;
    strcpy(s->ignored_instance, kept->instance);
    s->port->log_worker(s->ctx, "heartbeat_ignored",
                        HASH_COUNT(s->tasks_by_key) - s->queued_count,
                        "it names another life, and the one in use answers");
}

/* The worker ends now.  Heartbeats sent before may arrive later and are
   ignored. */
static void
on_gone(BwSupervisor *s, uint64_t now_us)
{
    bool was_leaving = s->is_worker_leaving;

    s->heartbeat_us = now_us;
    s->heartbeat_sequence = UINT64_MAX;
    s->is_worker_leaving = true;
    if (!was_leaving)
        BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    if (s->was_usable != BwWorkerTasks_IsUsable(s, now_us))
        BwSupervisor_BroadcastState(s, now_us);
}

bool
BwSupervisor_OnHeartbeat(BwSupervisor *s, uint64_t now_us,
                         const BwWorkerHeartbeat *heartbeat)
{
    bool is_same = is_of(heartbeat, s->instance, s->born_ms);

    if (heartbeat->is_gone) {
        is_same = is_end_of_this(s, heartbeat);
        if (is_same)
            on_gone(s, now_us);
        return is_same;
    }
    if ((heartbeat->is_recalled && s->phase != BW_WORKER_NONE) ||
        is_outdated(s, heartbeat) ||
        (is_same && heartbeat->sequence < s->heartbeat_sequence))
        return false;
    if (!is_same && s->phase != BW_WORKER_NONE) {
        on_announced(s, now_us, heartbeat);
        return false;
    }
    apply_heartbeat(s, now_us, now_us, heartbeat);
    return true;
}

/* ------------------------------------------------------------- answers */

bool
BwWorkerLife_IsOther(const BwSupervisor *s, const BwWorkerAnswer *answer)
{
    return answer->verdict == BW_WORKER_WRONG_INSTANCE ||
           (answer->born_ms != 0 && answer->born_ms != s->born_ms);
}

/* The worker at the address has another name; the next heartbeat names the
   one that is there now.  Orders for the old name were refused, so all tasks
   ended with the instance before. */
static void
on_other_name(BwSupervisor *s, uint64_t now_us)
{
    bool was_ready = s->phase == BW_WORKER_READY;

    s->phase = BW_WORKER_NONE;
    s->is_recalled = false;
    s->previous_instance[0] = '\0';
    if (HASH_COUNT(s->tasks_by_key) == 0 && !was_ready)
        return;
    if (was_ready && !s->is_worker_leaving)
        BwCrashReports_Report(s, now_us);
    BwWorkerTasks_LoseAll(
        s, now_us, s->is_worker_leaving ? BW_OUTCOME_LOST : BW_OUTCOME_CRASHED,
        "the worker was replaced");
    BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    BwSupervisor_BroadcastState(s, now_us);
}

/* Keeps the records of the tasks until the new life is cleared.  Those that it
   lists were started by it; the others are reported with the crash of the life
   before. */
static void
hold_tasks(BwSupervisor *s, uint64_t now_us, const BwWorkerAnswer *answer)
{
    BwWorkerTask *task, *next;
    bool is_on_next_life;

    for (uint32_t i = 0; i < answer->running_count; i++) {
        task = BwWorkerLink_FindListed(s, &answer->running[i]);
        if (task != NULL)
            task->is_on_next_life = true;
    }
    if (s->phase == BW_WORKER_READY && !s->is_worker_leaving)
        BwCrashReports_Report(s, now_us);
    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (!BwWorkerTasks_IsOnWorker(task))
            continue;
        is_on_next_life = task->is_on_next_life;
        task->is_on_next_life = false;
        task->listed_us = 0;
        if (task->state == BW_WORKER_TASK_STOPPING)
            continue;
        task->state = BW_WORKER_TASK_STOPPING;
        task->outcome = s->is_worker_leaving || is_on_next_life
                            ? BW_OUTCOME_LOST
                            : BW_OUTCOME_CRASHED;
        task->reason = 0;
    }
}

/* The worker has started again under its name.  Orders carry the name alone,
   so each life may have carried out those that were sent around the restart,
   and may yet carry out late ones.  The new life refuses these once it has had
   a call with the new fence.  What it lists then is stopped; tasks that it
   does not list are gone. */
static void
on_next_life(BwSupervisor *s, uint64_t now_us, const BwWorkerAnswer *answer)
{
    s->port->log_worker(s->ctx, "worker_restarted",
                        HASH_COUNT(s->tasks_by_key) - s->queued_count,
                        "another life answers under its name");
    hold_tasks(s, now_us, answer);
    strcpy(s->previous_instance, s->instance);
    begin_life(s, answer->born_ms);
    adopt_clock(s, now_us, answer->clock_ms);
    s->heartbeat_sequence = 0;
    s->is_worker_leaving = false;
    s->is_recalled = false;
    s->is_undescribed = true;
    s->lease_end_us = 0;
    clear_worker(s, now_us);
    BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    BwSupervisor_BroadcastState(s, now_us);
}

void
BwWorkerLife_OnOther(BwSupervisor *s, uint64_t now_us,
                     const BwWorkerAnswer *answer)
{
    if (answer->verdict == BW_WORKER_WRONG_INSTANCE) {
        on_other_name(s, now_us);
        adopt_announced(s, now_us);
    }
    else {
        on_next_life(s, now_us, answer);
        describe_life(s, now_us);
    }
}

/* Ends the held tasks that the new life of the worker does not list.  One that
   it has done is not run again.  A start that was on its way when the poll was
   sent may meet a further life.  Returns whether none is left. */
static bool
settle_held_tasks(BwSupervisor *s, uint64_t now_us, uint64_t sent_us,
                  const BwWorkerAnswer *answer)
{
    bool is_none_left = true;
    BwWorkerTask *task, *next;

    for (uint32_t i = 0; i < answer->ended_count; i++) {
        task = BwWorkerLink_FindListed(s, &answer->ended[i]);
        if (task != NULL && answer->ended[i].end == BW_END_DONE)
            BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_DONE, 0);
    }
    for (uint32_t i = 0; i < answer->running_count; i++) {
        task = BwWorkerLink_FindListed(s, &answer->running[i]);
        if (task != NULL)
            task->listed_us = sent_us;
    }
    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (!BwWorkerTasks_IsOnWorker(task))
            continue;
        if (task->listed_us == sent_us || task->start_settled_us == 0 ||
            task->start_settled_us > sent_us) {
            is_none_left = false;
            continue;
        }
        s->port->log(s->ctx, "lost", task, 1, "the worker has started again");
        BwWorkerTasks_Remove(s, now_us, task, task->outcome, task->reason);
    }
    return is_none_left;
}

void
BwWorkerLife_Clear(BwSupervisor *s, uint64_t now_us, uint64_t sent_us,
                   const BwWorkerAnswer *answer)
{
    bool is_settled;

    if (s->is_recalled) {
        /* The fence of a recalled heartbeat is that of the supervisor before.
           The worker's clock is above it. */
        s->is_recalled = false;
        if (answer->clock_ms > s->fence)
            s->fence = answer->clock_ms;
        BwWorkerLink_Poll(s, now_us, 0);
        return;
    }
    is_settled = settle_held_tasks(s, now_us, sent_us, answer);
    /* An order for the life before named the end of its lease on that one's
       clock.  None passes the fence from now on. */
    if (s->born_ms != 0)
        BwWorkerTasks_ExtendLease(s, now_us, s->limits.lease_max_us);
    for (uint32_t i = 0; i < answer->running_count; i++)
        BwWorkerLink_StopListed(s, &answer->running[i]);
    for (uint32_t i = 0; i < answer->ended_count; i++) {
        if (answer->ended[i].number > s->last_end)
            s->last_end = answer->ended[i].number;
    }
    if (answer->running_count == 0 && answer->ended_count > 0)
        BwWorkerLink_Poll(s, now_us, 0);
    if (answer->running_count > 0 || answer->ended_count > 0 || !is_settled)
        return;
    s->phase = s->is_undescribed ? BW_WORKER_NONE : BW_WORKER_READY;
    BwSupervisor_BroadcastState(s, now_us);
}
