/* workerlink.c -- polls of the worker, and its answers to calls

   A task has left the worker, and its resources are free, only when one of
   these shows it: the worker lists its end; an answer proves that it never
   started; a poll that was sent after its stop had been acknowledged does not
   list it; the worker's lease has run out; the worker was replaced.

   The worker is polled by a call that waits for an end and renews the lease.
   A second poll is sent when the answer to the first is overdue, since answers
   may be lost.  A worker that stays silent gets no renewal, so its lease ends
   at a known time.  After a lost answer, polls overlap for a while, so that an
   end is known as soon as one of their answers arrives; the price is more
   calls during that time.

   Which worker is at the address is the part of workerlife.c.  The daemon
   passes in what the worker answers.
*/

#include <string.h>

#include "brasswing.h"
#include "workerlife.h"
#include "workerlink.h"
#include "workertasks.h"

/* Longest wait of a poll while the worker has no task that could end. */
#define IDLE_POLL_WAIT_US 1000000
#define POLL_INTERVAL_US 20000 /* interval of polls that don't wait */
/* The same while the worker refuses connections.  Its next instance makes
   itself known by a heartbeat. */
#define DOWN_POLL_INTERVAL_US 100000
/* Most polls in flight, including those that an unanswered start or a stop
   causes. */
#define URGENT_POLLS_MAX 6
#define LOSSY_US 1000000 /* how long polls overlap after a lost answer */
#define OVERLAP_INTERVAL_US 30000 /* interval of overlapping polls */

/* Each task number has a range of run numbers of its own, wider than all
   increments of START_ATTEMPTS_MAX attempts together. */
#define RUNS_PER_TASK 512
#define START_ATTEMPTS_MAX 4
#define RUN_STEP 16

/* Orders carry the fence as a signed number of 64 bits. */
#define FENCE_MAX ((uint64_t)INT64_MAX - 1)

#define STALL_MIN_US 100000
/* A task is stalled after this many times its mean time per percent. */
#define STALL_FACTOR 4
#define QUARANTINE_MIN_US 250000
#define QUARANTINE_MAX_US 1000000

void
BwWorkerLink_Poll(BwSupervisor *s, uint64_t now_us, uint64_t wait_us)
{
    BwPollOrder order = {0};
    uint64_t due_us = now_us + wait_us + s->limits.answer_us;
    bool renews =
        s->phase == BW_WORKER_READY && HASH_COUNT(s->tasks_by_key) > 0 &&
        BwWorkerTasks_IsResponsive(s, now_us) && s->down_since_us == 0 &&
        now_us - s->clock_read_us <= BW_CLOCK_STALE_US;

    order.instance = BwSpan_FromString(s->instance);
    order.fence = s->fence;
    order.last_end = s->last_end;
    order.wait_ms = (uint32_t)(wait_us / 1000);
    if (renews) {
        order.lease_ms =
            BwWorkerTasks_WorkerClock(s, now_us) + s->limits.lease_us / 1000;
        BwWorkerTasks_ExtendLease(s, now_us, s->limits.lease_us);
    }
    if (s->answer_due_us == 0 || due_us < s->answer_due_us)
        s->answer_due_us = due_us;
    if (s->polls_in_flight == 0 || due_us > s->last_answer_due_us)
        s->last_answer_due_us = due_us;
    s->poll_sent_us = now_us;
    s->counters.polls++;
    if (s->port->poll(s->ctx, ++s->poll_number, &order))
        s->polls_in_flight++;
}

/* ------------------------------------------------------------ answers */

static bool
is_answered(const BwWorkerAnswer *answer)
{
    return answer->verdict != BW_WORKER_NO_ANSWER &&
           answer->verdict != BW_WORKER_UNREACHABLE;
}

/* Records whether the worker's process can be reached.  A refused connection
   on the worker's own host means that the process has ended. */
static void
record_reach(BwSupervisor *s, uint64_t now_us, const BwWorkerAnswer *answer)
{
    if (answer->verdict == BW_WORKER_UNREACHABLE && s->down_since_us == 0) {
        s->down_since_us = now_us;
        s->counters.downs++;
        s->port->log_worker(s->ctx, "worker_down",
                            HASH_COUNT(s->tasks_by_key) - s->queued_count,
                            "its address refuses connections");
        if (!s->is_worker_leaving)
            BwCrashReports_Report(s, now_us);
        BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
        BwSupervisor_BroadcastState(s, now_us);
    }
    else if (is_answered(answer) && s->down_since_us != 0) {
        bool is_same = !BwWorkerLife_IsOther(s, answer);

        BwWorkerLife_RecordUp(s, is_same ? "the same instance answers"
                                         : "another instance answers");
        if (is_same)
            BwCrashReports_Withdraw(s, now_us);
    }
}

/* The worker has had a call with a higher fence.  That of an earlier
   supervisor is at most the worker's clock, unless the worker has started
   again since and its clock with it.  Steps that double reach any fence in a
   few calls. */
static void
raise_fence(BwSupervisor *s)
{
    s->fence_step = s->fence_step > 0 ? s->fence_step * 2 : 1;
    if (s->fence_step > FENCE_MAX - s->fence)
        s->fence_step = FENCE_MAX - s->fence;
    s->fence += s->fence_step;
    if (s->clock_ms > s->fence)
        s->fence = s->clock_ms;
}

static void
record_clock(BwSupervisor *s, uint64_t now_us, const BwWorkerAnswer *answer)
{
    if (!is_answered(answer) || BwWorkerLife_IsOther(s, answer))
        return;
    if (answer->clock_ms == 0)
        return;
    s->clock_ms = answer->clock_ms;
    s->clock_read_us = now_us;
    if (answer->verdict == BW_WORKER_FENCED)
        raise_fence(s);
    else if (answer->verdict == BW_WORKER_OK)
        s->fence_step = 0;
}

static void
record_lost_answer(BwSupervisor *s, uint64_t now_us)
{
    s->counters.unanswered++;
    s->lossy_until_us = now_us + LOSSY_US;
}

static BwWorkerTask *
find_by_number(BwSupervisor *s, uint64_t number)
{
    BwWorkerTask *task;

    HASH_FIND(by_number, s->tasks_by_number, &number, sizeof(number), task);
    return task;
}

BwWorkerTask *
BwWorkerLink_FindListed(BwSupervisor *s, const BwListedTask *listed)
{
    BwWorkerTaskKey key;
    BwWorkerTask *task;

    memset(&key, 0, sizeof(key));
    BwSpan_ToString(listed->job, key.job, sizeof(key.job));
    key.step = listed->step;
    key.index = listed->index;
    HASH_FIND(hh, s->tasks_by_key, &key, sizeof(key), task);
    if (task != NULL &&
        (!BwWorkerTasks_IsOnWorker(task) || task->run != listed->run))
        return NULL;
    return task;
}

void
BwWorkerLink_StopListed(BwSupervisor *s, const BwListedTask *listed)
{
    BwTaskOrder order = {0};

    order.instance = BwSpan_FromString(s->instance);
    order.job = listed->job;
    order.step = listed->step;
    order.index = listed->index;
    order.run = listed->run;
    order.fence = s->fence;
    s->port->stop(s->ctx, ++s->next_number, &order);
}

/* Raises the run number of a task after the worker refused it as an old one.
   Task numbers only grow, so the first raise is above every run number of the
   task that this process has sent.  One of an earlier supervisor may be higher
   yet; further raises grow exponentially to pass it. */
static void
raise_run(BwWorkerTask *task)
{
    uint64_t run = task->number * RUNS_PER_TASK;

    if (task->run < run && run < UINT32_MAX / 2)
        task->run = (uint32_t)run;
    else
        task->run += RUN_STEP << task->start_attempts;
}

static void
on_refused_start(BwSupervisor *s, uint64_t now_us, BwWorkerTask *task,
                 BwWorkerVerdict verdict)
{
    if ((verdict == BW_WORKER_FENCED || verdict == BW_WORKER_OLD_RUN) &&
        ++task->start_attempts < START_ATTEMPTS_MAX &&
        task->state == BW_WORKER_TASK_STARTING &&
        BwWorkerTasks_IsUsable(s, now_us) &&
        BwWorkerTasks_IsInTime(s, now_us, task)) {
        if (verdict == BW_WORKER_OLD_RUN)
            raise_run(task);
        BwWorkerTasks_SendStart(s, now_us, task);
        return;
    }
    if (task->state == BW_WORKER_TASK_STOPPING) {
        BwWorkerTasks_Remove(s, now_us, task, task->outcome, task->reason);
        return;
    }
    s->port->log(s->ctx, "refused", task, 1, "the worker refused the start");
    BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_NOT_RUN,
                         verdict == BW_WORKER_LATE ? BW_DECLINE_LATE
                                                   : BW_DECLINE_REFUSED);
}

/* A start without an answer may have been carried out.  The task continues if
   the next poll lists it, and is stopped if not. */
static void
on_unanswered_start(BwSupervisor *s, uint64_t now_us, BwWorkerTask *task)
{
    s->port->log(s->ctx, "unanswered", task, 1, "start");
    task->unanswered_us = now_us;
    if (s->polls_in_flight < URGENT_POLLS_MAX)
        BwWorkerLink_Poll(s, now_us, 0);
}

/* Applies what every answer to an order says of the worker.  Returns the task
   that the order was for, or NULL when it is gone or the order was for an
   earlier instance. */
static BwWorkerTask *
find_answered_task(BwSupervisor *s, uint64_t now_us, uint64_t number,
                   const BwWorkerAnswer *answer)
{
    if (number < s->first_order_number)
        return NULL;
    record_reach(s, now_us, answer);
    record_clock(s, now_us, answer);
    if (BwWorkerLife_IsOther(s, answer)) {
        BwWorkerLife_OnOther(s, now_us, answer);
        return NULL;
    }
    return find_by_number(s, number);
}

/* A task whose start found no connection never reached the worker, so it must
   not count among those that ran there. */
static void
remove_unsent(BwSupervisor *s, uint64_t now_us, uint64_t number)
{
    BwWorkerTask *task =
        number >= s->first_order_number ? find_by_number(s, number) : NULL;

    if (task == NULL || !BwWorkerTasks_IsOnWorker(task))
        return;
    s->port->log(s->ctx, "refused", task, 1,
                 "the worker's address refuses connections");
    if (task->state == BW_WORKER_TASK_STOPPING)
        BwWorkerTasks_Remove(s, now_us, task, task->outcome, task->reason);
    else
        BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_NOT_RUN,
                             BW_DECLINE_LEAVING);
}

void
BwSupervisor_OnStarted(BwSupervisor *s, uint64_t now_us, uint64_t number,
                       const BwWorkerAnswer *answer)
{
    BwWorkerTask *task = find_by_number(s, number);

    if (task != NULL)
        task->start_settled_us = now_us;
    if (answer->verdict == BW_WORKER_UNREACHABLE)
        remove_unsent(s, now_us, number);
    task = find_answered_task(s, now_us, number, answer);
    if (task == NULL || !BwWorkerTasks_IsOnWorker(task))
        return;
    switch (answer->verdict) {
    case BW_WORKER_OK:
        if (task->state == BW_WORKER_TASK_STARTING)
            task->state = BW_WORKER_TASK_RUNNING;
        task->is_confirmed = true;
        if (task->last_progress_us == 0)
            task->last_progress_us = now_us;
        break;
    case BW_WORKER_NO_ANSWER:
        record_lost_answer(s, now_us);
        if (task->state == BW_WORKER_TASK_STARTING)
            on_unanswered_start(s, now_us, task);
        break;
    default:
        on_refused_start(s, now_us, task, answer->verdict);
        BwWorkerTasks_StartQueued(s, now_us);
        break;
    }
}

void
BwSupervisor_OnStopped(BwSupervisor *s, uint64_t now_us, uint64_t number,
                       const BwWorkerAnswer *answer)
{
    BwWorkerTask *task = find_answered_task(s, now_us, number, answer);

    if (task == NULL || task->state != BW_WORKER_TASK_STOPPING)
        return;
    task->is_stop_in_flight = false;
    if (answer->verdict != BW_WORKER_OK) {
        record_lost_answer(s, now_us);
        return;
    }
    task->stopped_us = now_us;
    if (!task->is_confirmed && s->polls_in_flight < URGENT_POLLS_MAX)
        BwWorkerLink_Poll(s, now_us, 0);
}

/* -------------------------------------------------------------- polls */

/* Whether a poll sent at `sent_us` that does not list the stopped task proves
   that it has ended.  No time for the stop to take effect is needed for a task
   that was never confirmed: either a poll lists it until its end, or it never
   starts, since the worker remembers the stop. */
static bool
is_stop_settled(const BwSupervisor *s, const BwWorkerTask *task,
                uint64_t sent_us)
{
    uint64_t effect_us = task->is_confirmed ? s->limits.stop_us : 0;

    return task->stopped_us != 0 && sent_us >= task->stopped_us + effect_us;
}

static void
process_ended(BwSupervisor *s, uint64_t now_us, const BwWorkerAnswer *answer)
{
    for (uint32_t i = 0; i < answer->ended_count; i++) {
        const BwListedTask *listed = &answer->ended[i];
        BwWorkerTask *task;

        if (listed->number <= s->last_end)
            continue;
        s->last_end = listed->number;
        task = BwWorkerLink_FindListed(s, listed);
        if (task == NULL)
            continue;
        if (listed->end == BW_END_DONE) {
            s->last_progress_us = now_us;
            BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_DONE, 0);
        }
        else if (task->state == BW_WORKER_TASK_STOPPING)
            BwWorkerTasks_Remove(s, now_us, task, task->outcome, task->reason);
        else if (listed->end == BW_END_FAILED)
            BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_FAILED, 0);
        else
            BwWorkerTasks_Remove(s, now_us, task, BW_OUTCOME_LOST, 0);
    }
}

/* Whether a poll sent at `sent_us` should have shown progress: half of the
   expected run time has passed without any, and STALL_FACTOR times as long as
   one percent has taken so far, and STALL_MIN_US. */
static bool
is_stalled(const BwWorkerTask *task, uint64_t sent_us)
{
    uint64_t limit_us = task->expected_us / 2;
    uint64_t step_us = 0;

    if (task->percent > 0)
        step_us = (task->last_progress_us - task->started_us) / task->percent;
    if (limit_us < step_us * STALL_FACTOR)
        limit_us = step_us * STALL_FACTOR;
    if (limit_us < STALL_MIN_US)
        limit_us = STALL_MIN_US;
    return sent_us > task->last_progress_us + limit_us;
}

/* No task on the worker makes progress.  It gets none during a quarantine,
   which is twice as long each time, and then one at a time until one is
   done. */
static void
quarantine_worker(BwSupervisor *s, uint64_t now_us)
{
    if (now_us >= s->quarantine_until_us) {
        s->quarantine_us *= 2;
        if (s->quarantine_us < QUARANTINE_MIN_US)
            s->quarantine_us = QUARANTINE_MIN_US;
        if (s->quarantine_us > QUARANTINE_MAX_US)
            s->quarantine_us = QUARANTINE_MAX_US;
        s->quarantine_until_us = now_us + s->quarantine_us;
    }
    BwWorkerTasks_DeclineQueue(s, now_us, BW_DECLINE_BUSY);
}

/* Ends a stalled task as lost: another worker may be able to run it. */
static void
end_stalled(BwSupervisor *s, uint64_t now_us, BwWorkerTask *task)
{
    s->counters.stalled++;
    if (s->last_progress_us <= task->last_progress_us)
        quarantine_worker(s, now_us);
    BwWorkerTasks_End(s, now_us, task, BW_OUTCOME_LOST, 0,
                      "the task made no progress");
}

static void
process_running(BwSupervisor *s, uint64_t now_us, uint64_t sent_us,
                const BwWorkerAnswer *answer)
{
    for (uint32_t i = 0; i < answer->running_count; i++) {
        const BwListedTask *listed = &answer->running[i];
        BwWorkerTask *task = BwWorkerLink_FindListed(s, listed);

        if (task == NULL) {
            BwWorkerLink_StopListed(s, listed);
            continue;
        }
        if (listed->percent > task->percent)
            s->last_progress_us = now_us;
        if (listed->percent > task->percent || task->last_progress_us == 0)
            task->last_progress_us = now_us;
        task->percent = listed->percent;
        task->is_confirmed = true;
        task->listed_us = sent_us;
        if (task->state == BW_WORKER_TASK_STARTING)
            task->state = BW_WORKER_TASK_RUNNING;
        if (task->state == BW_WORKER_TASK_RUNNING && is_stalled(task, sent_us))
            end_stalled(s, now_us, task);
    }
}

/* Whether a poll sent at `sent_us` should have listed the task. */
static bool
is_missing(const BwSupervisor *s, const BwWorkerTask *task, uint64_t sent_us)
{
    if (task->state == BW_WORKER_TASK_STARTING)
        return task->unanswered_us != 0 && sent_us >= task->unanswered_us;
    return task->state == BW_WORKER_TASK_RUNNING && task->listed_us != 0 &&
           sent_us > task->listed_us + s->limits.stop_us;
}

/* Ends the tasks that the poll does not list.  A stopped task has ended if the
   poll was sent after the stop had taken effect, or if the task was never
   confirmed and the answer was made when its start could no longer be carried
   out.  A starting or running one that the poll should have listed is
   stopped. */
static void
process_absent(BwSupervisor *s, uint64_t now_us, uint64_t sent_us,
               uint64_t clock_ms)
{
    BwWorkerTask *task, *next;

    HASH_ITER(hh, s->tasks_by_key, task, next)
    {
        if (!BwWorkerTasks_IsOnWorker(task) || task->listed_us == sent_us)
            continue;
        if (task->state == BW_WORKER_TASK_STOPPING &&
            (is_stop_settled(s, task, sent_us) ||
             (!task->is_confirmed && clock_ms > task->lease_end_ms)))
            BwWorkerTasks_Remove(s, now_us, task, task->outcome, task->reason);
        else if (is_missing(s, task, sent_us))
            BwWorkerTasks_End(s, now_us, task, BW_OUTCOME_LOST, 0,
                              "the worker does not list it");
    }
}

/* Returns when the answers of the polls in flight are overdue, 0 without any.
   One that was sent while the worker had no tasks waits longer than the
   others. */
static uint64_t
next_answer_due_us(const BwSupervisor *s, uint64_t now_us)
{
    uint64_t due_us = now_us + s->limits.poll_wait_us + s->limits.answer_us;

    if (s->polls_in_flight == 0)
        return 0;
    return due_us > s->last_answer_due_us ? due_us : s->last_answer_due_us;
}

/* The connection of a poll that waited may have broken with the worker's
   process, which may have started again: the next poll tells at once.  A
   worker that breaks each connection is polled no more often than that. */
static void
on_unanswered_poll(BwSupervisor *s, uint64_t now_us)
{
    if (s->phase == BW_WORKER_READY && s->polls_in_flight == 0 &&
        s->down_since_us == 0 && now_us - s->poll_sent_us >= POLL_INTERVAL_US)
        BwWorkerLink_Poll(s, now_us, 0);
    else
        BwWorkerLink_Tick(s, now_us);
}

void
BwSupervisor_OnPolled(BwSupervisor *s, uint64_t now_us, uint64_t number,
                      uint64_t sent_us, const BwWorkerAnswer *polled)
{
    static const BwWorkerAnswer none = {.verdict = BW_WORKER_NO_ANSWER};
    const BwWorkerAnswer *answer = polled;

    /* What an incomplete answer does not list may still be on the worker. */
    if (answer->verdict == BW_WORKER_OK && answer->is_incomplete)
        answer = &none;
    if (number < s->first_poll)
        return;
    if (s->polls_in_flight > 0)
        s->polls_in_flight--;
    record_reach(s, now_us, answer);
    record_clock(s, now_us, answer);
    if (is_answered(answer) && answer->verdict != BW_WORKER_UNHEALTHY)
        s->answer_due_us = next_answer_due_us(s, now_us);
    if (BwWorkerLife_IsOther(s, answer)) {
        BwWorkerLife_OnOther(s, now_us, answer);
        return;
    }
    if (!is_answered(answer)) {
        s->lossy_until_us = now_us + LOSSY_US;
        on_unanswered_poll(s, now_us);
    }
    if (answer->verdict != BW_WORKER_OK)
        return;
    BwWorkerLife_OnKnown(s, sent_us);
    if (s->phase == BW_WORKER_CLEARING) {
        BwWorkerLife_Clear(s, now_us, sent_us, answer);
        return;
    }
    process_running(s, now_us, sent_us, answer);
    process_ended(s, now_us, answer);
    process_absent(s, now_us, sent_us, answer->clock_ms);
    BwSupervisor_Tick(s, now_us);
}

void
BwWorkerLink_Tick(BwSupervisor *s, uint64_t now_us)
{
    uint64_t age_us = now_us - s->poll_sent_us;
    bool is_idle = HASH_COUNT(s->tasks_by_key) == 0;
    uint64_t wait_us = is_idle ? IDLE_POLL_WAIT_US : s->limits.poll_wait_us;
    uint64_t next_us = now_us < s->lossy_until_us
                           ? OVERLAP_INTERVAL_US
                           : s->limits.poll_wait_us + s->limits.answer_us / 2;

    if (s->phase == BW_WORKER_NONE)
        return;
    if (s->phase == BW_WORKER_CLEARING) {
        if (age_us >= (s->down_since_us != 0 ? DOWN_POLL_INTERVAL_US
                                             : POLL_INTERVAL_US) &&
            (s->polls_in_flight == 0 || age_us > s->limits.answer_us))
            BwWorkerLink_Poll(s, now_us, 0);
        return;
    }
    if (!BwWorkerTasks_IsResponsive(s, now_us) || s->down_since_us != 0)
        wait_us = 0;
    if (s->polls_in_flight == 0) {
        if (age_us >= (s->down_since_us != 0 ? DOWN_POLL_INTERVAL_US
                                             : POLL_INTERVAL_US) ||
            (s->answer_due_us == 0 && s->down_since_us == 0))
            BwWorkerLink_Poll(s, now_us, wait_us);
    }
    else if (!is_idle && s->polls_in_flight < BW_WORKER_POLLS_MAX &&
             age_us > next_us)
        BwWorkerLink_Poll(s, now_us, s->limits.poll_wait_us);
}
