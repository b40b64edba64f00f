/* supervisor.c -- the account of one worker's room, and what runs there

   Every task is a seat: queued, starting, running or stopping.  The room of
   the last three is in `used`.  A seat leaves the worker by a listed end, by
   an answer that proves that it never started, by a look that was sent after
   its stop was acknowledged, or because the worker's lease ran out or the
   worker was replaced; nothing else frees room.

   The worker is looked at by a waiting call that renews the lease.  A second
   one is sent when the first is overdue, since answers may be lost; a worker
   that stays silent gets no renewal, so that its lease ends at a known time.
*/

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "brasswing.h"
#include "room.h"
#include "supervisor.h"

#define SESSION_RENEWALS 3     /* in the time of a session */
#define IDLE_HOLD_US 1000000   /* with nothing to wait for */
#define CLEARING_HOLD_US 20000 /* between looks at what is being stopped */
#define CLOCK_STALE_US 1500000 /* of the worker */
#define STOP_SETTLES_US 60000  /* a stop takes effect within */
#define HOLDS_MAX 3
#define LOOKS_MAX 6       /* at once, with those after a stop */
#define RUNS_PER_SEAT 512 /* more than the steps of all tries */
#define TRIES_MAX 4
#define RUN_STEP 16
#define PACE_SHIFT 3
#define ENDED_WEIGHT 4 /* of the tasks that ended, beside each that runs */
#define FAR_PACE_PERMILLE 2000
#define PACE_MAX_PERMILLE 8000
#define PROGRESS_AFTER_US 80000
#define STUCK_FACTOR 4
#define FAILED_SHIFT 4
#define LEASE_DRIFT_PERMILLE 1030
#define LEASE_MARGIN_US 20000

static bool
is_on_worker(const BwSeat *seat)
{
    return seat->state != BW_SEAT_QUEUED;
}

/* Whether the worker has answered lately enough to be given work. */
static bool
is_responsive(const BwSupervisor *s, uint64_t now_us)
{
    return s->due_us == 0 || now_us < s->due_us;
}

static bool
is_usable(const BwSupervisor *s, uint64_t now_us)
{
    return s->phase == BW_WORKER_READY && !s->is_worker_leaving &&
           !s->is_leaving && is_responsive(s, now_us);
}

/* The run times against the expected ones, of tasks that ended and of those
   that run, as far as their progress shows; 1000 unless they are far above.
   Single declarations are far off, so small differences say nothing. */
static uint32_t
slow_permille(const BwSupervisor *s, uint64_t now_us)
{
    uint64_t sum = s->pace_permille * ENDED_WEIGHT;
    uint64_t count = ENDED_WEIGHT;
    uint64_t mean;

    for (const BwSeat *seat = s->seats; seat != NULL; seat = seat->hh.next) {
        uint64_t ran_us = now_us - seat->started_us;
        uint64_t whole_us, pace;

        if (seat->state != BW_SEAT_RUNNING || ran_us < PROGRESS_AFTER_US)
            continue;
        whole_us = seat->percent > 0 ? ran_us * 100 / seat->percent
                                     : ran_us * STUCK_FACTOR;
        pace = whole_us * 1000 / (seat->expected_us + 1000);
        sum += pace < PACE_MAX_PERMILLE ? pace : PACE_MAX_PERMILLE;
        count++;
    }
    mean = sum / count;
    return mean > FAR_PACE_PERMILLE ? (uint32_t)mean : 1000;
}

/* How long until one of the tasks that run ends, on average. */
static uint64_t
release_us(const BwSupervisor *s, uint64_t now_us)
{
    uint64_t left_us = 0, count = 0;

    for (const BwSeat *seat = s->seats; seat != NULL; seat = seat->hh.next) {
        uint64_t run_us = seat->expected_us;
        uint64_t ran_us = now_us - seat->started_us;

        if (!is_on_worker(seat))
            continue;
        count++;
        if (seat->state != BW_SEAT_STOPPING)
            left_us += ran_us < run_us ? run_us - ran_us : ran_us / 2;
    }
    return count > 0 ? left_us / count / count : 0;
}

static BwWorkerLoad
make_load(const BwSupervisor *s, const BwSupervisorPeer *peer, uint64_t now_us)
{
    BwWorkerLoad load = {0};

    load.place_seen = peer->place_seen;
    load.free = s->capacity;
    BwRoom_Remove(&load.free, &s->used);
    load.queued = s->queued_count;
    load.queued_urgent = s->queued_urgent;
    load.release_us = release_us(s, now_us);
    load.slow_permille = slow_permille(s, now_us);
    load.failed_permille = s->failed_permille;
    return load;
}

static void
tell_state(BwSupervisor *s, BwSupervisorPeer *peer, uint64_t now_us)
{
    BwMessage message = {.kind = BW_MSG_WORKER};
    BwWorkerState *state = &message.u.worker;
    BwWorkerLoad load = make_load(s, peer, now_us);
    BwName labels[BW_LABELS_MAX];

    for (uint32_t i = 0; i < s->label_count; i++)
        labels[i].name = BwSpan_FromString(s->labels[i]);
    state->instance = BwSpan_FromString(s->instance);
    state->service = BwSpan_FromString(s->service);
    state->domain = BwSpan_FromString(s->domain);
    state->capacity = s->capacity;
    state->is_leaving = !is_usable(s, now_us);
    state->is_clear = s->phase == BW_WORKER_READY && s->orphan_count == 0;
    state->labels = labels;
    state->label_count = s->label_count;
    state->load = &load;
    state->load_count = 1;
    peer->was_clear = state->is_clear != 0;
    s->port->send(s->ctx, peer->peer, &message);
}

static void
tell_all(BwSupervisor *s, uint64_t now_us)
{
    BwSupervisorPeer *peer, *next;

    s->was_usable = is_usable(s, now_us);
    HASH_ITER(hh, s->peers, peer, next)
    {
        tell_state(s, peer, now_us);
    }
}

static void
report(BwSupervisor *s, uint64_t now_us, uint32_t peer_id, uint64_t ref,
       uint32_t step, BwTaskOutcome *tasks, uint32_t task_count)
{
    BwMessage message = {.kind = BW_MSG_OUTCOME};
    BwSupervisorPeer *peer;
    BwWorkerLoad load;

    HASH_FIND(hh, s->peers, &peer_id, sizeof(peer_id), peer);
    if (peer == NULL || task_count == 0)
        return;
    load = make_load(s, peer, now_us);
    message.u.outcome.ref = ref;
    message.u.outcome.step = step;
    message.u.outcome.tasks = tasks;
    message.u.outcome.task_count = task_count;
    message.u.outcome.load = &load;
    message.u.outcome.load_count = 1;
    s->port->send(s->ctx, peer_id, &message);
}

/* -------------------------------------------------------------- seats */

static void
note_unqueued(BwSupervisor *s, const BwSeat *seat)
{
    s->queued_count--;
    s->queued_urgent -= seat->priority == 0;
}

static void
unlink_seat(BwSupervisor *s, BwSeat *seat)
{
    BwSupervisorPeer *peer;

    if (seat->state == BW_SEAT_QUEUED) {
        DL_DELETE(s->queue, seat);
        note_unqueued(s, seat);
    }
    else {
        BwRoom_Remove(&s->used, &seat->room);
    }
    HASH_DELETE(hh, s->seats, seat);
    HASH_DELETE(by_number, s->numbers, seat);
    if (seat->peer == 0 && s->orphan_count > 0)
        s->orphan_count--;
    HASH_FIND(hh, s->peers, &seat->peer, sizeof(seat->peer), peer);
    if (peer != NULL)
        peer->seat_count--;
}

static void
free_seat(BwSeat *seat)
{
    if (--seat->text->references == 0)
        free(seat->text);
    free(seat);
}

static void
count_outcome(BwSupervisor *s, const BwSeat *seat, uint32_t kind,
              uint64_t ran_us)
{
    uint32_t failed = kind == BW_OUTCOME_FAILED ? 1000 : 0;
    uint64_t expected = seat->expected_us > 1000 ? seat->expected_us : 1000;

    if (kind == BW_OUTCOME_DONE || kind == BW_OUTCOME_FAILED)
        s->failed_permille +=
            (failed >> PACE_SHIFT) - (s->failed_permille >> PACE_SHIFT);
    if (kind == BW_OUTCOME_DONE) {
        uint64_t pace = ran_us * 1000 / expected;

        if (pace > PACE_MAX_PERMILLE)
            pace = PACE_MAX_PERMILLE;
        s->pace_permille +=
            (uint32_t)(pace >> PACE_SHIFT) - (s->pace_permille >> PACE_SHIFT);
    }
    s->counters.done += kind == BW_OUTCOME_DONE;
    s->counters.failed += kind == BW_OUTCOME_FAILED;
    s->counters.lost += kind == BW_OUTCOME_LOST;
    s->counters.declined += kind == BW_OUTCOME_NOT_RUN;
}

/* The task is no longer here; `kind` 0 tells nobody. */
static void
finish_seat(BwSupervisor *s, uint64_t now_us, BwSeat *seat, uint32_t kind,
            uint32_t reason)
{
    BwTaskOutcome outcome = {seat->key.index, kind, reason, 0};

    if (seat->started_us != 0)
        outcome.ran_us = now_us - seat->started_us;
    unlink_seat(s, seat);
    count_outcome(s, seat, kind, outcome.ran_us);
    if (kind != 0 && seat->peer != 0)
        report(s, now_us, seat->peer, seat->ref, seat->key.step, &outcome, 1);
    free_seat(seat);
}

static BwTaskOrder
make_order(BwSupervisor *s, const BwSeat *seat)
{
    BwTaskOrder order = {0};

    order.instance = BwSpan_FromString(s->instance);
    order.job = BwSpan_FromString(seat->key.job);
    order.spec.base = seat->text->spec;
    order.spec.size_bytes = seat->text->spec_bytes;
    order.step = seat->key.step;
    order.index = seat->key.index;
    order.run = seat->run;
    order.fence = s->fence;
    return order;
}

static uint64_t
worker_clock(const BwSupervisor *s, uint64_t now_us)
{
    return s->clock_ms + (now_us - s->clock_read_us) / 1000;
}

static void
extend_lease(BwSupervisor *s, uint64_t now_us)
{
    uint64_t end_us = now_us +
                      s->limits.lease_us * LEASE_DRIFT_PERMILLE / 1000 +
                      LEASE_MARGIN_US;

    if (end_us > s->lease_end_us)
        s->lease_end_us = end_us;
}

static void
send_start(BwSupervisor *s, uint64_t now_us, BwSeat *seat)
{
    BwTaskOrder order = make_order(s, seat);

    order.lease_ms = worker_clock(s, now_us) + s->limits.lease_us / 1000;
    extend_lease(s, now_us);
    seat->start_ms = order.lease_ms;
    seat->started_us = now_us;
    s->counters.started++;
    s->port->start(s->ctx, seat->number, &order);
}

static void
send_stop(BwSupervisor *s, uint64_t now_us, BwSeat *seat)
{
    BwTaskOrder order = make_order(s, seat);

    seat->stop_sent_us = now_us;
    seat->is_stop_in_flight = true;
    s->port->stop(s->ctx, seat->number, &order);
}

/* Ends a task; `kind` is reported once it is certainly not there. */
static void
end_seat(BwSupervisor *s, uint64_t now_us, BwSeat *seat, uint32_t kind,
         uint32_t reason)
{
    if (seat->state == BW_SEAT_QUEUED) {
        finish_seat(s, now_us, seat, kind, reason);
        return;
    }
    if (seat->state == BW_SEAT_STOPPING)
        return;
    seat->state = BW_SEAT_STOPPING;
    seat->outcome = kind;
    seat->reason = reason;
    s->counters.stopped++;
    send_stop(s, now_us, seat);
}

/* Whether the task's session and its deadline are still to end. */
static bool
is_in_time(const BwSupervisor *s, uint64_t now_us, const BwSeat *seat)
{
    const BwSupervisorPeer *peer;

    HASH_FIND(hh, s->peers, &seat->peer, sizeof(seat->peer), peer);
    return peer != NULL && now_us < peer->valid_until_us &&
           now_us < seat->deadline_us;
}

/* Starts what fits, in the order of the queue; a smaller task may pass a
   larger one. */
static void
start_queued(BwSupervisor *s, uint64_t now_us)
{
    BwSeat *seat, *next;

    if (!is_usable(s, now_us) || now_us - s->clock_read_us > CLOCK_STALE_US)
        return;
    DL_FOREACH_SAFE(s->queue, seat, next)
    {
        BwRoom room = s->capacity;

        BwRoom_Remove(&room, &s->used);
        if (!BwRoom_Fits(&seat->room, &room) || !is_in_time(s, now_us, seat))
            continue;
        DL_DELETE(s->queue, seat);
        note_unqueued(s, seat);
        BwRoom_Add(&s->used, &seat->room);
        seat->state = BW_SEAT_STARTING;
        s->port->log(s->ctx, "start", seat, "room");
        send_start(s, now_us, seat);
    }
}

/* Everything on the worker is gone. */
static void
lose_all(BwSupervisor *s, uint64_t now_us, const char *reason)
{
    BwSeat *seat, *next;

    HASH_ITER(hh, s->seats, seat, next)
    {
        if (!is_on_worker(seat))
            continue;
        s->port->log(s->ctx, "lost", seat, reason);
        finish_seat(s, now_us, seat, BW_OUTCOME_LOST, 0);
    }
}

static void
decline_queue(BwSupervisor *s, uint64_t now_us, uint32_t reason)
{
    BwSeat *seat, *next;

    DL_FOREACH_SAFE(s->queue, seat, next)
    {
        finish_seat(s, now_us, seat, BW_OUTCOME_NOT_RUN, reason);
    }
}

/* ------------------------------------------------------------- worker */

static void
send_hold(BwSupervisor *s, uint64_t now_us, uint64_t wait_us)
{
    BwHoldOrder order = {0};
    bool renews = s->phase == BW_WORKER_READY && HASH_COUNT(s->seats) > 0 &&
                  is_responsive(s, now_us) &&
                  now_us - s->clock_read_us <= CLOCK_STALE_US;

    order.instance = BwSpan_FromString(s->instance);
    order.fence = s->fence;
    order.seen = s->seen;
    order.wait_ms = (uint32_t)(wait_us / 1000);
    if (renews) {
        order.lease_ms = worker_clock(s, now_us) + s->limits.lease_us / 1000;
        extend_lease(s, now_us);
    }
    if (s->due_us == 0 || now_us + wait_us + s->limits.answer_us < s->due_us)
        s->due_us = now_us + wait_us + s->limits.answer_us;
    s->hold_sent_us = now_us;
    s->holds_in_flight++;
    s->counters.holds++;
    s->port->hold(s->ctx, ++s->hold_number, &order);
}

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
            if (!is_same)
                strcpy(s->former, s->instance);
            strcpy(s->instance, instance);
            s->clock_ms = beat->clock_ms;
            s->clock_read_us = now_us;
            s->fence = beat->clock_ms > 0 ? beat->clock_ms : 1;
            clear_worker(s, now_us);
        }
    }
    if (s->is_worker_leaving && !was_leaving)
        decline_queue(s, now_us, BW_DECLINE_LEAVING);
    if (s->was_usable != is_usable(s, now_us))
        tell_all(s, now_us);
}

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
    lose_all(s, now_us, "the worker was replaced");
    decline_queue(s, now_us, BW_DECLINE_LEAVING);
    tell_all(s, now_us);
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
    if (seat != NULL && (!is_on_worker(seat) || seat->run != task->run))
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
        is_usable(s, now_us) && is_in_time(s, now_us, seat)) {
        if (verdict == BW_WORKER_OLD_RUN)
            raise_run(seat);
        send_start(s, now_us, seat);
        return;
    }
    if (seat->state == BW_SEAT_STOPPING) {
        finish_seat(s, now_us, seat, seat->outcome, seat->reason);
        return;
    }
    s->port->log(s->ctx, "refused", seat, "by the worker");
    finish_seat(s, now_us, seat, BW_OUTCOME_NOT_RUN,
                verdict == BW_WORKER_LATE ? BW_DECLINE_LATE
                                          : BW_DECLINE_REFUSED);
}

void
BwSupervisor_OnStarted(BwSupervisor *s, uint64_t now_us, uint64_t number,
                       const BwWorkerAnswer *answer)
{
    BwSeat *seat = find_number(s, number);

    if (number < s->first_number)
        return;
    take_clock(s, now_us, answer);
    if (answer->verdict == BW_WORKER_OTHER) {
        on_other_instance(s, now_us);
        return;
    }
    if (seat == NULL || !is_on_worker(seat))
        return;
    switch (answer->verdict) {
    case BW_WORKER_OK:
        if (seat->state == BW_SEAT_STARTING)
            seat->state = BW_SEAT_RUNNING;
        seat->is_confirmed = true;
        break;
    case BW_WORKER_NO_ANSWER:
        s->counters.unanswered++;
        if (seat->state == BW_SEAT_STARTING) {
            s->port->log(s->ctx, "unanswered", seat, "start");
            end_seat(s, now_us, seat, BW_OUTCOME_LOST, 0);
        }
        break;
    default:
        on_refused_start(s, now_us, seat, answer->verdict);
        start_queued(s, now_us);
        break;
    }
}

void
BwSupervisor_OnStopped(BwSupervisor *s, uint64_t now_us, uint64_t number,
                       const BwWorkerAnswer *answer)
{
    BwSeat *seat = find_number(s, number);

    if (number < s->first_number)
        return;
    take_clock(s, now_us, answer);
    if (answer->verdict == BW_WORKER_OTHER) {
        on_other_instance(s, now_us);
        return;
    }
    if (seat == NULL || seat->state != BW_SEAT_STOPPING)
        return;
    seat->is_stop_in_flight = false;
    if (answer->verdict != BW_WORKER_OK) {
        s->counters.unanswered++;
        return;
    }
    seat->stopped_us = now_us;
    if (!seat->is_confirmed && s->holds_in_flight < LOOKS_MAX)
        send_hold(s, now_us, 0);
}

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
        if (task->end == BW_END_DONE)
            finish_seat(s, now_us, seat, BW_OUTCOME_DONE, 0);
        else if (seat->state == BW_SEAT_STOPPING)
            finish_seat(s, now_us, seat, seat->outcome, seat->reason);
        else if (task->end == BW_END_FAILED)
            finish_seat(s, now_us, seat, BW_OUTCOME_FAILED, 0);
        else
            finish_seat(s, now_us, seat, BW_OUTCOME_LOST, 0);
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

static void
take_running(BwSupervisor *s, uint64_t sent_us, const BwWorkerAnswer *answer)
{
    for (uint32_t i = 0; i < answer->running_count; i++) {
        const BwListedTask *task = &answer->running[i];
        BwSeat *seat = find_listed(s, task);

        if (seat == NULL) {
            stop_stranger(s, task);
            continue;
        }
        seat->percent = task->percent;
        seat->is_confirmed = true;
        seat->listed_us = sent_us;
        if (seat->state == BW_SEAT_STARTING)
            seat->state = BW_SEAT_RUNNING;
    }
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
        if (!is_on_worker(seat) || seat->listed_us == sent_us)
            continue;
        if (seat->state == BW_SEAT_STOPPING &&
            (is_stop_settled(seat, sent_us) ||
             (!seat->is_confirmed && clock_ms > seat->start_ms)))
            finish_seat(s, now_us, seat, seat->outcome, seat->reason);
        else if (seat->state == BW_SEAT_RUNNING && seat->listed_us != 0 &&
                 sent_us > seat->listed_us + STOP_SETTLES_US)
            end_seat(s, now_us, seat, BW_OUTCOME_LOST, 0);
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
    tell_all(s, now_us);
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
        s->due_us = s->holds_in_flight == 0
                        ? 0
                        : now_us + s->limits.hold_us + s->limits.answer_us;
    if (answer->verdict == BW_WORKER_OTHER) {
        on_other_instance(s, now_us);
        return;
    }
    if (answer->verdict != BW_WORKER_OK)
        return;
    if (s->phase == BW_WORKER_CLEARING) {
        take_cleared(s, now_us, answer);
        return;
    }
    take_running(s, sent_us, answer);
    take_ends(s, now_us, answer);
    take_absent(s, now_us, sent_us, answer->clock_ms);
    start_queued(s, now_us);
    BwSupervisor_Tick(s, now_us);
}

/* -------------------------------------------------------- dispatchers */

static void
remove_peer_seats(BwSupervisor *s, uint64_t now_us, uint32_t peer)
{
    BwSeat *seat, *next;

    HASH_ITER(hh, s->seats, seat, next)
    {
        if (seat->peer != peer)
            continue;
        if (is_on_worker(seat)) {
            seat->peer = 0;
            seat->outcome = 0;
            s->orphan_count++;
        }
        end_seat(s, now_us, seat, 0, 0);
    }
}

/* The session lapsed and the connection stands. */
static void
end_peer_seats(BwSupervisor *s, uint64_t now_us, uint32_t peer)
{
    BwSeat *seat, *next;

    HASH_ITER(hh, s->seats, seat, next)
    {
        if (seat->peer == peer)
            end_seat(s, now_us, seat, BW_OUTCOME_LOST, 0);
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
    tell_state(s, peer, now_us);
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
    remove_peer_seats(s, now_us, peer_id);
    start_queued(s, now_us);
}

static int
compare_seats(const BwSeat *left, const BwSeat *right)
{
    if (left->priority != right->priority)
        return left->priority < right->priority ? -1 : 1;
    if (left->due_us != right->due_us)
        return left->due_us < right->due_us ? -1 : 1;
    return 0;
}

static uint32_t
count_spread(const BwSupervisor *s, BwSpan job, uint32_t step)
{
    uint32_t count = 0;

    for (const BwSeat *seat = s->seats; seat != NULL; seat = seat->hh.next)
        count += seat->key.step == step &&
                 BwSpan_Equal(job, BwSpan_FromString(seat->key.job));
    return count;
}

static bool
has_label(const BwSupervisor *s, BwSpan label)
{
    if (label.size_bytes == 0)
        return true;
    for (uint32_t i = 0; i < s->label_count; i++) {
        if (BwSpan_Equal(label, BwSpan_FromString(s->labels[i])))
            return true;
    }
    return false;
}

/* Returns 0 when the task may be queued, or why not. */
static uint32_t
check_place(const BwSupervisor *s, uint64_t now_us,
            const BwSupervisorPeer *peer, const BwPlace *place,
            uint32_t spread)
{
    if (s->is_leaving || s->is_worker_leaving || !is_usable(s, now_us))
        return BW_DECLINE_LEAVING;
    if (now_us >= peer->valid_until_us)
        return BW_DECLINE_NO_SESSION;
    if (!BwSpan_Equal(place->service, BwSpan_FromString(s->service)))
        return BW_DECLINE_NO_SERVICE;
    if (!has_label(s, place->requirement) ||
        !BwRoom_Fits(&place->room, &s->capacity) ||
        (place->spread_max > 0 && spread >= place->spread_max))
        return BW_DECLINE_UNSUITED;
    if (HASH_COUNT(s->seats) >= BW_SUPERVISOR_TASKS_MAX)
        return BW_DECLINE_BUSY;
    return 0;
}

static BwSeat *
make_seat(const BwPlace *place, uint32_t index, uint64_t now_us)
{
    BwSeat *seat = calloc(1, sizeof(*seat));

    if (seat == NULL)
        return NULL;
    BwSpan_ToString(place->job, seat->key.job, sizeof(seat->key.job));
    seat->key.step = place->step;
    seat->key.index = index;
    seat->ref = place->ref;
    seat->room = place->room;
    seat->priority = place->priority;
    seat->run = 1;
    seat->expected_us = place->expected_us;
    seat->due_us = now_us + place->due_in_us;
    seat->patience_us = now_us + place->wait_us;
    seat->deadline_us = now_us + place->deadline_in_us;
    return seat;
}

/* Returns 0, or why the task was not queued. */
static uint32_t
queue_task(BwSupervisor *s, uint64_t now_us, BwSupervisorPeer *peer,
           const BwPlace *place, uint32_t index, BwSeatText *text)
{
    BwSeat *seat = make_seat(place, index, now_us);
    BwSeat *twin;

    if (seat == NULL)
        return BW_DECLINE_BUSY;
    HASH_FIND(hh, s->seats, &seat->key, sizeof(seat->key), twin);
    if (twin != NULL) {
        free(seat);
        return BW_DECLINE_DUPLICATE;
    }
    seat->peer = peer->peer;
    seat->number = ++s->next_number;
    seat->text = text;
    text->references++;
    HASH_ADD(hh, s->seats, key, sizeof(seat->key), seat);
    HASH_ADD(by_number, s->numbers, number, sizeof(seat->number), seat);
    DL_INSERT_INORDER(s->queue, seat, compare_seats);
    s->queued_count++;
    s->queued_urgent += seat->priority == 0;
    peer->seat_count++;
    return 0;
}

/* Takes back the tasks from seat number `first` on that found no room.
   Returns how many. */
static uint32_t
take_back(BwSupervisor *s, uint64_t first, BwTaskOutcome *declined)
{
    BwSeat *seat, *next;
    uint32_t count = 0;

    DL_FOREACH_SAFE(s->queue, seat, next)
    {
        if (seat->number < first)
            continue;
        declined[count].index = seat->key.index;
        declined[count].kind = BW_OUTCOME_NOT_RUN;
        declined[count++].reason = BW_DECLINE_BUSY;
        unlink_seat(s, seat);
        free_seat(seat);
    }
    return count;
}

static void
on_place(BwSupervisor *s, uint64_t now_us, BwSupervisorPeer *peer,
         const BwPlace *place)
{
    BwSeatText *text = malloc(sizeof(*text) + place->spec.size_bytes);
    BwTaskOutcome *declined = calloc(place->task_count + 1, sizeof(*declined));
    uint64_t first = s->next_number + 1;
    uint32_t spread = 0, count = 0;

    peer->place_seen = place->number;
    if (text == NULL || declined == NULL)
        goto cleanup;
    text->references = 1;
    text->spec_bytes = place->spec.size_bytes;
    memcpy(text->spec, place->spec.base, place->spec.size_bytes);
    if (place->spread_max > 0)
        spread = count_spread(s, place->job, place->step);
    for (uint32_t i = 0; i < place->task_count; i++) {
        uint32_t index = place->tasks[i].index;
        uint32_t reason = check_place(s, now_us, peer, place, spread);

        if (reason == 0)
            reason = queue_task(s, now_us, peer, place, index, text);
        if (reason != 0) {
            declined[count].index = index;
            declined[count].kind = BW_OUTCOME_NOT_RUN;
            declined[count++].reason = reason;
        }
        spread++;
    }
    start_queued(s, now_us);
    if (place->wait_us == 0 && count < place->task_count)
        count += take_back(s, first, declined + count);
    s->counters.declined += count;
    report(s, now_us, peer->peer, place->ref, place->step, declined, count);
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
    BwSeat *seat, *next;

    HASH_ITER(hh, s->seats, seat, next)
    {
        if (seat->peer == peer && seat->ref == ref)
            end_seat(s, now_us, seat, 0, 0);
    }
    start_queued(s, now_us);
}

void
BwSupervisor_OnMessage(BwSupervisor *s, uint64_t now_us, uint32_t peer_id,
                       const BwMessage *message)
{
    BwSupervisorPeer *peer;
    uint64_t until_us;

    HASH_FIND(hh, s->peers, &peer_id, sizeof(peer_id), peer);
    if (peer == NULL)
        return;
    switch (message->kind) {
    case BW_MSG_SESSION:
        until_us = message->u.session.asked_us + s->limits.session_us;
        if (until_us > peer->valid_until_us)
            peer->valid_until_us = until_us;
        break;
    case BW_MSG_PLACE:
        on_place(s, now_us, peer, &message->u.place);
        break;
    case BW_MSG_STOP:
        on_stop(s, now_us, peer_id, message->u.stop.ref);
        break;
    default:
        break;
    }
}

/* --------------------------------------------------------------- time */

static void
tick_sessions(BwSupervisor *s, uint64_t now_us)
{
    BwSupervisorPeer *peer, *next;
    bool is_clear = s->phase == BW_WORKER_READY && s->orphan_count == 0;

    HASH_ITER(hh, s->peers, peer, next)
    {
        if (now_us - peer->asked_us >=
            s->limits.session_us / SESSION_RENEWALS) {
            BwMessage message = {.kind = BW_MSG_SESSION};
            BwWorkerLoad load = make_load(s, peer, now_us);

            peer->asked_us = now_us;
            message.u.session.asked_us = now_us;
            message.u.session.load = &load;
            message.u.session.load_count = 1;
            s->port->send(s->ctx, peer->peer, &message);
        }
        if (now_us >= peer->valid_until_us && peer->seat_count > 0)
            end_peer_seats(s, now_us, peer->peer);
        if (is_clear && !peer->was_clear)
            tell_state(s, peer, now_us);
    }
}

static void
tick_seats(BwSupervisor *s, uint64_t now_us)
{
    BwSeat *seat, *next;

    HASH_ITER(hh, s->seats, seat, next)
    {
        if (seat->state == BW_SEAT_STOPPING) {
            if (!seat->is_stop_in_flight && seat->stopped_us == 0)
                send_stop(s, now_us, seat);
        }
        else if (seat->state == BW_SEAT_QUEUED &&
                 now_us >= seat->patience_us) {
            finish_seat(s, now_us, seat, BW_OUTCOME_NOT_RUN, BW_DECLINE_BUSY);
        }
        else if (now_us >= seat->deadline_us) {
            end_seat(s, now_us, seat,
                     is_on_worker(seat) ? BW_OUTCOME_LOST : BW_OUTCOME_NOT_RUN,
                     BW_DECLINE_LATE);
        }
    }
}

static void
tick_holds(BwSupervisor *s, uint64_t now_us)
{
    uint64_t age_us = now_us - s->hold_sent_us;
    bool is_idle = HASH_COUNT(s->seats) == 0;
    uint64_t wait_us = is_idle ? IDLE_HOLD_US : s->limits.hold_us;

    if (s->phase == BW_WORKER_NONE)
        return;
    if (s->phase == BW_WORKER_CLEARING) {
        if (age_us >= CLEARING_HOLD_US &&
            (s->holds_in_flight == 0 || age_us > s->limits.answer_us))
            send_hold(s, now_us, 0);
        return;
    }
    if (!is_responsive(s, now_us))
        wait_us = 0;
    if (s->holds_in_flight == 0) {
        if (s->due_us == 0 || age_us >= CLEARING_HOLD_US)
            send_hold(s, now_us, wait_us);
    }
    else if (!is_idle && s->holds_in_flight < HOLDS_MAX &&
             age_us > s->limits.hold_us + s->limits.answer_us / 2)
        send_hold(s, now_us, s->limits.hold_us);
}

void
BwSupervisor_Tick(BwSupervisor *s, uint64_t now_us)
{
    if (now_us >= s->lease_end_us && s->lease_end_us != 0) {
        s->lease_end_us = 0;
        lose_all(s, now_us, "the lease ran out");
        if (!is_responsive(s, now_us))
            decline_queue(s, now_us, BW_DECLINE_LEAVING);
    }
    tick_seats(s, now_us);
    tick_sessions(s, now_us);
    tick_holds(s, now_us);
    start_queued(s, now_us);
    if (s->was_usable != is_usable(s, now_us))
        tell_all(s, now_us);
}

void
BwSupervisor_Leave(BwSupervisor *s, uint64_t now_us)
{
    if (s->is_leaving)
        return;
    s->is_leaving = true;
    decline_queue(s, now_us, BW_DECLINE_LEAVING);
    tell_all(s, now_us);
}

bool
BwSupervisor_IsIdle(const BwSupervisor *s)
{
    return HASH_COUNT(s->seats) == 0;
}

void
BwSupervisor_Init(BwSupervisor *s, const BwSupervisorLimits *limits,
                  const BwSupervisorPort *port, void *ctx)
{
    memset(s, 0, sizeof(*s));
    s->limits = *limits;
    s->port = port;
    s->ctx = ctx;
    s->pace_permille = 1000;
}

void
BwSupervisor_Finish(BwSupervisor *s)
{
    BwSeat *seat, *next;
    BwSupervisorPeer *peer, *next_peer;

    HASH_ITER(hh, s->seats, seat, next)
    {
        unlink_seat(s, seat);
        free_seat(seat);
    }
    HASH_ITER(hh, s->peers, peer, next_peer)
    {
        HASH_DELETE(hh, s->peers, peer);
        free(peer);
    }
}
