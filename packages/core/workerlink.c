/* workerlink.c -- what the worker announces and answers

   A seat leaves the worker by a listed end, by an answer that proves that it
   never started, by a look that was sent after its stop was acknowledged, or
   because the worker's lease ran out or the worker was replaced; nothing else
   frees room.

   The worker is looked at by a waiting call that renews the lease.  A second
   one is sent when the first is overdue, since answers may be lost; a worker
   that stays silent gets no renewal, so that its lease ends at a known time.
   While answers are being lost looks overlap, so that an end is known as soon
   as one of them comes through: more calls, in such times alone.
   What an earlier supervisor left there is stopped before anything starts.
*/

#include <string.h>

#include "brasswing.h"
#include "seats.h"

#define IDLE_HOLD_US 1000000   /* with nothing to wait for */
#define CLEARING_HOLD_US 20000 /* between looks at what is being stopped */
#define STOP_SETTLES_US 60000  /* a stop takes effect within */
#define HOLDS_MAX 3
#define LOSSY_US 1000000  /* looks overlap after a lost answer */
#define OVERLAP_US 30000  /* between two looks that overlap */
#define LOOKS_MAX 6       /* at once, with those after a stop */
#define RUNS_PER_SEAT 512 /* more than the steps of all tries */
#define TRIES_MAX 4
#define RUN_STEP 16
#define STALL_MIN_US 100000
#define STALL_STEPS 4 /* of the progress so far */
#define SUSPECT_MIN_US 250000
#define SUSPECT_MAX_US 1000000

static void
send_hold(BwSupervisor *s, uint64_t now_us, uint64_t wait_us)
{
    BwHoldOrder order = {0};
    uint64_t due_us = now_us + wait_us + s->limits.answer_us;
    bool renews = s->phase == BW_WORKER_READY && HASH_COUNT(s->seats) > 0 &&
                  BwSeats_IsResponsive(s, now_us) &&
                  now_us - s->clock_read_us <= BW_CLOCK_STALE_US;

    order.instance = BwSpan_FromString(s->instance);
    order.fence = s->fence;
    order.seen = s->seen;
    order.wait_ms = (uint32_t)(wait_us / 1000);
    if (renews) {
        order.lease_ms =
            BwSeats_WorkerClock(s, now_us) + s->limits.lease_us / 1000;
        BwSeats_ExtendLease(s, now_us);
    }
    if (s->due_us == 0 || due_us < s->due_us)
        s->due_us = due_us;
    if (s->holds_in_flight == 0 || due_us > s->last_due_us)
        s->last_due_us = due_us;
    s->hold_sent_us = now_us;
    s->counters.holds++;
    if (s->port->hold(s->ctx, ++s->hold_number, &order))
        s->holds_in_flight++;
}

/* ------------------------------------------------------ announcements */

static void
clear_worker(BwSupervisor *s, uint64_t now_us)
{
    s->phase = BW_WORKER_CLEARING;
    s->seen = 0;
    s->holds_in_flight = 0;
    s->due_us = 0;
    s->first_hold = s->hold_number + 1;
    s->first_number = s->next_number + 1;
    send_hold(s, now_us, 0);
}

void
BwSupervisor_OnBeat(BwSupervisor *s, uint64_t now_us, const BwWorkerBeat *beat)
{
    bool was_leaving = s->is_worker_leaving;
    char instance[BW_NAME_BYTES_MAX];
    bool is_same;

    BwSpan_ToString(beat->instance, instance, sizeof(instance));
    is_same = strcmp(instance, s->instance) == 0;
    if (strcmp(instance, s->former) == 0 || (beat->is_gone && !is_same))
        return;
    if (is_same && beat->sequence < s->beat_sequence && !beat->is_gone)
        return;
    if (!is_same && HASH_COUNT(s->seats) > 0) {
        if (s->holds_in_flight < HOLDS_MAX)
            send_hold(s, now_us, 0);
        return;
    }
    s->beat_us = now_us;
    s->beat_sequence = beat->sequence;
    if (beat->is_gone) {
        s->is_worker_leaving = true;
        s->beat_sequence = UINT64_MAX;
    }
    else {
        s->is_worker_leaving = beat->is_leaving;
        BwSpan_ToString(beat->service, s->service, sizeof(s->service));
        BwSpan_ToString(beat->domain, s->domain, sizeof(s->domain));
        if (beat->has_capacity)
            s->capacity = beat->capacity;
        s->label_count = beat->label_count;
        for (uint32_t i = 0; i < beat->label_count; i++)
            BwSpan_ToString(beat->labels[i], s->labels[i], BW_NAME_BYTES_MAX);
        if (!is_same || s->phase == BW_WORKER_NONE) {
            if (!is_same) {
                strcpy(s->former, s->instance);
                memset(&s->outcomes, 0, sizeof(s->outcomes));
            }
            strcpy(s->instance, instance);
            s->clock_ms = beat->clock_ms;
            s->clock_read_us = now_us;
            s->fence = beat->clock_ms > 0 ? beat->clock_ms : 1;
            clear_worker(s, now_us);
        }
    }
    if (s->is_worker_leaving && !was_leaving)
        BwSeats_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    if (s->was_usable != BwSeats_IsUsable(s, now_us))
        BwSupervisor_TellAll(s, now_us);
}

/* ------------------------------------------------------------ answers */

static void
take_clock(BwSupervisor *s, uint64_t now_us, const BwWorkerAnswer *answer)
{
    if (answer->verdict == BW_WORKER_NO_ANSWER ||
        answer->verdict == BW_WORKER_OTHER)
        return;
    if (answer->clock_ms == 0)
        return;
    s->clock_ms = answer->clock_ms;
    s->clock_read_us = now_us;
    if (answer->verdict == BW_WORKER_FENCED)
        s->fence =
            answer->clock_ms > s->fence ? answer->clock_ms : s->fence + 1;
}

/* The worker at the address is not the one that is meant: the next
   announcement says which one it is. */
static void
on_other_instance(BwSupervisor *s, uint64_t now_us)
{
    bool was_ready = s->phase == BW_WORKER_READY;

    s->phase = BW_WORKER_NONE;
    s->former[0] = '\0';
    if (!was_ready)
        return;
    BwSeats_LoseAll(s, now_us, "the worker was replaced");
    BwSeats_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    BwSupervisor_TellAll(s, now_us);
}

static void
note_lost_answer(BwSupervisor *s, uint64_t now_us)
{
    s->counters.unanswered++;
    s->lossy_until_us = now_us + LOSSY_US;
}

static BwSeat *
find_number(BwSupervisor *s, uint64_t number)
{
    BwSeat *seat;

    HASH_FIND(by_number, s->numbers, &number, sizeof(number), seat);
    return seat;
}

static BwSeat *
find_listed(BwSupervisor *s, const BwListedTask *task)
{
    BwSeatKey key;
    BwSeat *seat;

    memset(&key, 0, sizeof(key));
    BwSpan_ToString(task->job, key.job, sizeof(key.job));
    key.step = task->step;
    key.index = task->index;
    HASH_FIND(hh, s->seats, &key, sizeof(key), seat);
    if (seat != NULL && (!BwSeats_IsOnWorker(seat) || seat->run != task->run))
        return NULL;
    return seat;
}

/* Seats are numbered upwards, so the first step passes every run of the task
   that this process has started; a predecessor's may be higher. */
static void
raise_run(BwSeat *seat)
{
    uint64_t run = seat->number * RUNS_PER_SEAT;

    if (seat->run < run && run < UINT32_MAX / 2)
        seat->run = (uint32_t)run;
    else
        seat->run += RUN_STEP << seat->tries;
}

static void
on_refused_start(BwSupervisor *s, uint64_t now_us, BwSeat *seat,
                 BwWorkerVerdict verdict)
{
    if ((verdict == BW_WORKER_FENCED || verdict == BW_WORKER_OLD_RUN) &&
        ++seat->tries < TRIES_MAX && seat->state == BW_SEAT_STARTING &&
        BwSeats_IsUsable(s, now_us) && BwSeats_IsInTime(s, now_us, seat)) {
        if (verdict == BW_WORKER_OLD_RUN)
            raise_run(seat);
        BwSeats_SendStart(s, now_us, seat);
        return;
    }
    if (seat->state == BW_SEAT_STOPPING) {
        BwSeats_Remove(s, now_us, seat, seat->outcome, seat->reason);
        return;
    }
    s->port->log(s->ctx, "refused", seat, 1, "by the worker");
    BwSeats_Remove(s, now_us, seat, BW_OUTCOME_NOT_RUN,
                   verdict == BW_WORKER_LATE ? BW_DECLINE_LATE
                                             : BW_DECLINE_REFUSED);
}

/* A start without an answer may run: its work is kept if the next look lists
   it, and it is stopped if that does not. */
static void
doubt_start(BwSupervisor *s, uint64_t now_us, BwSeat *seat)
{
    s->port->log(s->ctx, "unanswered", seat, 1, "start");
    seat->doubted_us = now_us;
    if (s->holds_in_flight < LOOKS_MAX)
        send_hold(s, now_us, 0);
}

/* Returns the seat that the order was for, while the answer still matters to
   one. */
static BwSeat *
take_answer(BwSupervisor *s, uint64_t now_us, uint64_t number,
            const BwWorkerAnswer *answer)
{
    if (number < s->first_number)
        return NULL;
    take_clock(s, now_us, answer);
    if (answer->verdict == BW_WORKER_OTHER) {
        on_other_instance(s, now_us);
        return NULL;
    }
    return find_number(s, number);
}

void
BwSupervisor_OnStarted(BwSupervisor *s, uint64_t now_us, uint64_t number,
                       const BwWorkerAnswer *answer)
{
    BwSeat *seat = take_answer(s, now_us, number, answer);

    if (seat == NULL || !BwSeats_IsOnWorker(seat))
        return;
    switch (answer->verdict) {
    case BW_WORKER_OK:
        if (seat->state == BW_SEAT_STARTING)
            seat->state = BW_SEAT_RUNNING;
        seat->is_confirmed = true;
        if (seat->moved_us == 0)
            seat->moved_us = now_us;
        break;
    case BW_WORKER_NO_ANSWER:
        note_lost_answer(s, now_us);
        if (seat->state == BW_SEAT_STARTING)
            doubt_start(s, now_us, seat);
        break;
    default:
        on_refused_start(s, now_us, seat, answer->verdict);
        BwSeats_StartQueued(s, now_us);
        break;
    }
}

void
BwSupervisor_OnStopped(BwSupervisor *s, uint64_t now_us, uint64_t number,
                       const BwWorkerAnswer *answer)
{
    BwSeat *seat = take_answer(s, now_us, number, answer);

    if (seat == NULL || seat->state != BW_SEAT_STOPPING)
        return;
    seat->is_stop_in_flight = false;
    if (answer->verdict != BW_WORKER_OK) {
        note_lost_answer(s, now_us);
        return;
    }
    seat->stopped_us = now_us;
    if (!seat->is_confirmed && s->holds_in_flight < LOOKS_MAX)
        send_hold(s, now_us, 0);
}

/* -------------------------------------------------------------- looks */

/* Whether a look sent at `sent_us` that does not list the stopped task proves
   that it is gone.  One that was never seen to run is listed until its end or
   never starts, since the worker remembers the stop. */
static bool
is_stop_settled(const BwSeat *seat, uint64_t sent_us)
{
    uint64_t settles_us = seat->is_confirmed ? STOP_SETTLES_US : 0;

    return seat->stopped_us != 0 && sent_us >= seat->stopped_us + settles_us;
}

static void
take_ends(BwSupervisor *s, uint64_t now_us, const BwWorkerAnswer *answer)
{
    for (uint32_t i = 0; i < answer->ended_count; i++) {
        const BwListedTask *task = &answer->ended[i];
        BwSeat *seat;

        if (task->number <= s->seen)
            continue;
        s->seen = task->number;
        seat = find_listed(s, task);
        if (seat == NULL)
            continue;
        if (task->end == BW_END_DONE) {
            s->progress_us = now_us;
            BwSeats_Remove(s, now_us, seat, BW_OUTCOME_DONE, 0);
        }
        else if (seat->state == BW_SEAT_STOPPING)
            BwSeats_Remove(s, now_us, seat, seat->outcome, seat->reason);
        else if (task->end == BW_END_FAILED)
            BwSeats_Remove(s, now_us, seat, BW_OUTCOME_FAILED, 0);
        else
            BwSeats_Remove(s, now_us, seat, BW_OUTCOME_LOST, 0);
    }
}

/* Stops what runs there and has no seat. */
static void
stop_stranger(BwSupervisor *s, const BwListedTask *task)
{
    BwTaskOrder order = {0};

    order.instance = BwSpan_FromString(s->instance);
    order.job = task->job;
    order.step = task->step;
    order.index = task->index;
    order.run = task->run;
    order.fence = s->fence;
    s->port->stop(s->ctx, ++s->next_number, &order);
}

/* Whether a look sent then should have seen progress: half of the expected
   run has passed, and more than progress has taken so far. */
static bool
is_stalled(const BwSeat *seat, uint64_t sent_us)
{
    uint64_t limit_us = seat->expected_us / 2;
    uint64_t step_us = 0;

    if (seat->percent > 0)
        step_us = (seat->moved_us - seat->started_us) / seat->percent;
    if (limit_us < step_us * STALL_STEPS)
        limit_us = step_us * STALL_STEPS;
    if (limit_us < STALL_MIN_US)
        limit_us = STALL_MIN_US;
    return sent_us > seat->moved_us + limit_us;
}

/* Nothing goes on at the worker: it gets no task for a while, twice as long
   each time, and then one at a time until one is done. */
static void
suspect_worker(BwSupervisor *s, uint64_t now_us)
{
    if (now_us >= s->suspect_until_us) {
        s->suspect_us *= 2;
        if (s->suspect_us < SUSPECT_MIN_US)
            s->suspect_us = SUSPECT_MIN_US;
        if (s->suspect_us > SUSPECT_MAX_US)
            s->suspect_us = SUSPECT_MAX_US;
        s->suspect_until_us = now_us + s->suspect_us;
    }
    BwSeats_DeclineQueue(s, now_us, BW_DECLINE_BUSY);
}

/* The task may go on elsewhere. */
static void
end_stalled(BwSupervisor *s, uint64_t now_us, BwSeat *seat)
{
    s->counters.stalled++;
    if (s->progress_us <= seat->moved_us)
        suspect_worker(s, now_us);
    BwSeats_End(s, now_us, seat, BW_OUTCOME_LOST, 0, "no progress");
}

static void
take_running(BwSupervisor *s, uint64_t now_us, uint64_t sent_us,
             const BwWorkerAnswer *answer)
{
    for (uint32_t i = 0; i < answer->running_count; i++) {
        const BwListedTask *task = &answer->running[i];
        BwSeat *seat = find_listed(s, task);

        if (seat == NULL) {
            stop_stranger(s, task);
            continue;
        }
        if (task->percent > seat->percent)
            s->progress_us = now_us;
        if (task->percent > seat->percent || seat->moved_us == 0)
            seat->moved_us = now_us;
        seat->percent = task->percent;
        seat->is_confirmed = true;
        seat->listed_us = sent_us;
        if (seat->state == BW_SEAT_STARTING)
            seat->state = BW_SEAT_RUNNING;
        if (seat->state == BW_SEAT_RUNNING && is_stalled(seat, sent_us))
            end_stalled(s, now_us, seat);
    }
}

/* Whether a task that should be there is not listed by a look sent then. */
static bool
is_missing(const BwSeat *seat, uint64_t sent_us)
{
    if (seat->state == BW_SEAT_STARTING)
        return seat->doubted_us != 0 && sent_us >= seat->doubted_us;
    return seat->state == BW_SEAT_RUNNING && seat->listed_us != 0 &&
           sent_us > seat->listed_us + STOP_SETTLES_US;
}

/* Seats that a look does not list although it was sent after they were known
   to be there, or after their stop has taken effect, or was made when their
   start, which nobody confirmed, could no longer be carried out. */
static void
take_absent(BwSupervisor *s, uint64_t now_us, uint64_t sent_us,
            uint64_t clock_ms)
{
    BwSeat *seat, *next;

    HASH_ITER(hh, s->seats, seat, next)
    {
        if (!BwSeats_IsOnWorker(seat) || seat->listed_us == sent_us)
            continue;
        if (seat->state == BW_SEAT_STOPPING &&
            (is_stop_settled(seat, sent_us) ||
             (!seat->is_confirmed && clock_ms > seat->start_ms)))
            BwSeats_Remove(s, now_us, seat, seat->outcome, seat->reason);
        else if (is_missing(seat, sent_us))
            BwSeats_End(s, now_us, seat, BW_OUTCOME_LOST, 0,
                        "the worker does not list it");
    }
}

static void
take_cleared(BwSupervisor *s, uint64_t now_us, const BwWorkerAnswer *answer)
{
    for (uint32_t i = 0; i < answer->running_count; i++)
        stop_stranger(s, &answer->running[i]);
    for (uint32_t i = 0; i < answer->ended_count; i++) {
        if (answer->ended[i].number > s->seen)
            s->seen = answer->ended[i].number;
    }
    if (answer->running_count > 0 || answer->ended_count > 0)
        return;
    s->phase = BW_WORKER_READY;
    BwSupervisor_TellAll(s, now_us);
}

/* When the next answer is overdue: a look that was sent while the worker was
   idle waits for longer than the others. */
static uint64_t
next_due_us(const BwSupervisor *s, uint64_t now_us)
{
    uint64_t due_us = now_us + s->limits.hold_us + s->limits.answer_us;

    if (s->holds_in_flight == 0)
        return 0;
    return due_us > s->last_due_us ? due_us : s->last_due_us;
}

void
BwSupervisor_OnHeld(BwSupervisor *s, uint64_t now_us, uint64_t number,
                    uint64_t sent_us, const BwWorkerAnswer *answer)
{
    if (number < s->first_hold)
        return;
    if (s->holds_in_flight > 0)
        s->holds_in_flight--;
    take_clock(s, now_us, answer);
    if (answer->verdict != BW_WORKER_NO_ANSWER &&
        answer->verdict != BW_WORKER_UNHEALTHY)
        s->due_us = next_due_us(s, now_us);
    if (answer->verdict == BW_WORKER_OTHER) {
        on_other_instance(s, now_us);
        return;
    }
    if (answer->verdict == BW_WORKER_NO_ANSWER) {
        s->lossy_until_us = now_us + LOSSY_US;
        BwWorkerLink_Tick(s, now_us);
    }
    if (answer->verdict != BW_WORKER_OK)
        return;
    if (s->phase == BW_WORKER_CLEARING) {
        take_cleared(s, now_us, answer);
        return;
    }
    take_running(s, now_us, sent_us, answer);
    take_ends(s, now_us, answer);
    take_absent(s, now_us, sent_us, answer->clock_ms);
    BwSupervisor_Tick(s, now_us);
}

void
BwWorkerLink_Tick(BwSupervisor *s, uint64_t now_us)
{
    uint64_t age_us = now_us - s->hold_sent_us;
    bool is_idle = HASH_COUNT(s->seats) == 0;
    uint64_t wait_us = is_idle ? IDLE_HOLD_US : s->limits.hold_us;
    uint64_t next_us = now_us < s->lossy_until_us
                           ? OVERLAP_US
                           : s->limits.hold_us + s->limits.answer_us / 2;

    if (s->phase == BW_WORKER_NONE)
        return;
    if (s->phase == BW_WORKER_CLEARING) {
        if (age_us >= CLEARING_HOLD_US &&
            (s->holds_in_flight == 0 || age_us > s->limits.answer_us))
            send_hold(s, now_us, 0);
        return;
    }
    if (!BwSeats_IsResponsive(s, now_us))
        wait_us = 0;
    if (s->holds_in_flight == 0) {
        if (s->due_us == 0 || age_us >= CLEARING_HOLD_US)
            send_hold(s, now_us, wait_us);
    }
    else if (!is_idle && s->holds_in_flight < HOLDS_MAX && age_us > next_us)
        send_hold(s, now_us, s->limits.hold_us);
}
