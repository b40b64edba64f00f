/* seats.c -- the account: seats, room, outcomes, orders to the worker

   Every task is a seat: queued, starting, running or stopping.  The room of
   the last three is in `used`.  The queue is in order of priority and due
   time, and what fits starts; a smaller task may pass a larger one.  Orders
   carry the worker's clock as it was last read, and none is given once that
   is too old.  Finding a task costs one probe, and the load that dispatchers
   are told a walk over all seats.
*/

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "brasswing.h"
#include "room.h"
#include "seats.h"

#define ENDED_WEIGHT 4 /* of the tasks that ended, beside each that runs */
#define FAR_PACE_PERMILLE 2000
#define PACE_MAX_PERMILLE 8000
#define PROGRESS_AFTER_US 80000
#define STUCK_FACTOR 4
#define LEASE_MARGIN_US 20000

static const char *const decline_reasons[] = {
    [BW_DECLINE_BUSY] = "no room in time",
    [BW_DECLINE_LATE] = "too late",
    [BW_DECLINE_LEAVING] = "the worker takes no tasks",
    [BW_DECLINE_NO_SERVICE] = "the worker is of another service",
    [BW_DECLINE_NO_SESSION] = "the session is over",
    [BW_DECLINE_DUPLICATE] = "it is here already",
    [BW_DECLINE_UNSUITED] = "label, spread or capacity",
    [BW_DECLINE_REFUSED] = "refused by the worker",
};

bool
BwSeats_IsOnWorker(const BwSeat *seat)
{
    return seat->state != BW_SEAT_QUEUED;
}

bool
BwSeats_IsResponsive(const BwSupervisor *s, uint64_t now_us)
{
    return s->due_us == 0 || now_us < s->due_us;
}

bool
BwSeats_IsUsable(const BwSupervisor *s, uint64_t now_us)
{
    return s->phase == BW_WORKER_READY && !s->is_worker_leaving &&
           !s->is_leaving && BwSeats_IsResponsive(s, now_us);
}

/* A worker that stood still is tried with one task at a time. */
static bool
may_start(const BwSupervisor *s, uint64_t now_us)
{
    return s->suspect_us == 0 || (now_us >= s->suspect_until_us &&
                                  HASH_COUNT(s->seats) == s->queued_count);
}

/* --------------------------------------------------------------- load */

/* The run times against the expected ones, of tasks that ended and of those
   that run, as far as their progress shows; 1000 unless they are far above.
   Single declarations are far off, so small differences say nothing. */
static uint32_t
slow_permille(const BwSupervisor *s, uint64_t now_us)
{
    uint64_t ended_pace = s->outcomes.pace_permille;
    uint64_t sum = (ended_pace > 0 ? ended_pace : 1000) * ENDED_WEIGHT;
    uint64_t count = ENDED_WEIGHT;
    uint64_t mean;

    if (now_us < s->suspect_until_us)
        return PACE_MAX_PERMILLE;
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

        if (!BwSeats_IsOnWorker(seat))
            continue;
        count++;
        if (seat->state != BW_SEAT_STOPPING)
            left_us += ran_us < run_us ? run_us - ran_us : ran_us / 2;
    }
    return count > 0 ? left_us / count / count : 0;
}

BwWorkerLoad
BwSeats_MakeLoad(const BwSupervisor *s, const BwSupervisorPeer *peer,
                 uint64_t now_us)
{
    BwWorkerLoad load = {0};

    load.place_seen = peer->place_seen;
    if (may_start(s, now_us)) {
        load.free = s->capacity;
        BwRoom_Remove(&load.free, &s->used);
    }
    load.queued = s->queued_count;
    load.queued_urgent = s->queued_urgent;
    load.release_us = release_us(s, now_us);
    load.slow_permille = slow_permille(s, now_us);
    load.ended = s->outcomes.ended;
    load.failed_permille = s->outcomes.failed_permille;
    return load;
}

void
BwSeats_Report(BwSupervisor *s, uint64_t now_us, uint32_t peer_id,
               uint64_t ref, uint32_t step, BwTaskOutcome *tasks,
               uint32_t task_count)
{
    BwMessage message = {.kind = BW_MSG_OUTCOME};
    BwSupervisorPeer *peer;
    BwWorkerLoad load;

    HASH_FIND(hh, s->peers, &peer_id, sizeof(peer_id), peer);
    if (peer == NULL || task_count == 0)
        return;
    load = BwSeats_MakeLoad(s, peer, now_us);
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

void
BwSeats_Unlink(BwSupervisor *s, BwSeat *seat)
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

void
BwSeats_Free(BwSeat *seat)
{
    if (--seat->text->references == 0)
        free(seat->text);
    free(seat);
}

static void
count_outcome(BwSupervisor *s, const BwSeat *seat, uint32_t kind,
              uint64_t ran_us)
{
    uint64_t expected_us = seat->expected_us > 1000 ? seat->expected_us : 1000;
    uint64_t far_us = expected_us * PACE_MAX_PERMILLE / 1000;

    if (kind == BW_OUTCOME_DONE || kind == BW_OUTCOME_FAILED)
        BwOutcomes_Record(&s->outcomes, kind == BW_OUTCOME_FAILED,
                          ran_us < far_us ? ran_us : far_us, expected_us);
    if (kind == BW_OUTCOME_DONE && seat->started_us > s->suspect_until_us)
        s->suspect_us = 0;
    s->counters.done += kind == BW_OUTCOME_DONE;
    s->counters.failed += kind == BW_OUTCOME_FAILED;
    s->counters.lost += kind == BW_OUTCOME_LOST;
    s->counters.declined += kind == BW_OUTCOME_NOT_RUN;
}

void
BwSeats_Remove(BwSupervisor *s, uint64_t now_us, BwSeat *seat, uint32_t kind,
               uint32_t reason)
{
    BwTaskOutcome outcome = {seat->key.index, kind, reason, 0};

    if (seat->started_us != 0)
        outcome.ran_us = now_us - seat->started_us;
    if (seat->state == BW_SEAT_QUEUED && kind == BW_OUTCOME_NOT_RUN)
        s->port->log(s->ctx, "decline", seat, 1, decline_reasons[reason]);
    BwSeats_Unlink(s, seat);
    count_outcome(s, seat, kind, outcome.ran_us);
    if (kind != 0 && seat->peer != 0)
        BwSeats_Report(s, now_us, seat->peer, seat->ref, seat->key.step,
                       &outcome, 1);
    BwSeats_Free(seat);
}

void
BwSeats_LogDeclined(const BwSupervisor *s, const BwPlace *place,
                    const BwTaskOutcome *declined, uint32_t count)
{
    BwSeat seat = {.key.step = place->step, .run = 1};
    uint32_t first = 0;

    BwSpan_ToString(place->job, seat.key.job, sizeof(seat.key.job));
    for (uint32_t i = 1; i <= count; i++) {
        if (i < count && declined[i].reason == declined[first].reason)
            continue;
        seat.key.index = declined[first].index;
        s->port->log(s->ctx, "decline", &seat, i - first,
                     decline_reasons[declined[first].reason]);
        first = i;
    }
}

/* ------------------------------------------------------------- orders */

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

uint64_t
BwSeats_WorkerClock(const BwSupervisor *s, uint64_t now_us)
{
    return s->clock_ms + (now_us - s->clock_read_us) / 1000;
}

void
BwSeats_ExtendLease(BwSupervisor *s, uint64_t now_us)
{
    uint64_t end_us = now_us +
                      s->limits.lease_us * BW_LEASE_DRIFT_PERMILLE / 1000 +
                      LEASE_MARGIN_US;

    if (end_us > s->lease_end_us)
        s->lease_end_us = end_us;
}

void
BwSeats_SendStart(BwSupervisor *s, uint64_t now_us, BwSeat *seat)
{
    BwTaskOrder order = make_order(s, seat);

    order.lease_ms =
        BwSeats_WorkerClock(s, now_us) + s->limits.lease_us / 1000;
    BwSeats_ExtendLease(s, now_us);
    seat->start_ms = order.lease_ms;
    seat->started_us = now_us;
    s->counters.started++;
    if (s->port->start(s->ctx, seat->number, &order))
        return;
    s->counters.unanswered++;
    s->port->log(s->ctx, "unanswered", seat, 1, "start, not sent");
    seat->doubted_us = now_us;
}

void
BwSeats_SendStop(BwSupervisor *s, BwSeat *seat)
{
    BwTaskOrder order = make_order(s, seat);

    seat->is_stop_in_flight = s->port->stop(s->ctx, seat->number, &order);
    s->counters.unanswered += !seat->is_stop_in_flight;
}

void
BwSeats_End(BwSupervisor *s, uint64_t now_us, BwSeat *seat, uint32_t kind,
            uint32_t reason, const char *why)
{
    if (seat->state == BW_SEAT_STOPPING)
        return;
    if (seat->state == BW_SEAT_QUEUED) {
        if (kind != BW_OUTCOME_NOT_RUN)
            s->port->log(s->ctx, "drop", seat, 1, why);
        BwSeats_Remove(s, now_us, seat, kind, reason);
        return;
    }
    s->port->log(s->ctx, "stop", seat, 1, why);
    seat->state = BW_SEAT_STOPPING;
    seat->outcome = kind;
    seat->reason = reason;
    s->counters.stopped++;
    BwSeats_SendStop(s, seat);
}

/* -------------------------------------------------------------- queue */

static int
compare_seats(const BwSeat *left, const BwSeat *right)
{
    if (left->priority != right->priority)
        return left->priority < right->priority ? -1 : 1;
    if (left->due_us != right->due_us)
        return left->due_us < right->due_us ? -1 : 1;
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

uint32_t
BwSeats_Queue(BwSupervisor *s, uint64_t now_us, BwSupervisorPeer *peer,
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

uint32_t
BwSeats_TakeBack(BwSupervisor *s, uint64_t first, BwTaskOutcome *declined)
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
        BwSeats_Unlink(s, seat);
        BwSeats_Free(seat);
    }
    return count;
}

bool
BwSeats_IsInTime(const BwSupervisor *s, uint64_t now_us, const BwSeat *seat)
{
    const BwSupervisorPeer *peer;

    HASH_FIND(hh, s->peers, &seat->peer, sizeof(seat->peer), peer);
    return peer != NULL && now_us < peer->valid_until_us &&
           now_us < seat->deadline_us;
}

void
BwSeats_StartQueued(BwSupervisor *s, uint64_t now_us)
{
    BwSeat *seat, *next;

    if (!BwSeats_IsUsable(s, now_us) ||
        now_us - s->clock_read_us > BW_CLOCK_STALE_US)
        return;
    DL_FOREACH_SAFE(s->queue, seat, next)
    {
        BwRoom room = s->capacity;

        BwRoom_Remove(&room, &s->used);
        if (!may_start(s, now_us) || !BwRoom_Fits(&seat->room, &room) ||
            !BwSeats_IsInTime(s, now_us, seat))
            continue;
        DL_DELETE(s->queue, seat);
        note_unqueued(s, seat);
        BwRoom_Add(&s->used, &seat->room);
        seat->state = BW_SEAT_STARTING;
        s->port->log(s->ctx, "start", seat, 1, "room");
        BwSeats_SendStart(s, now_us, seat);
    }
}

void
BwSeats_LoseAll(BwSupervisor *s, uint64_t now_us, const char *reason)
{
    BwSeat *seat, *next;

    HASH_ITER(hh, s->seats, seat, next)
    {
        if (!BwSeats_IsOnWorker(seat))
            continue;
        s->port->log(s->ctx, "lost", seat, 1, reason);
        BwSeats_Remove(s, now_us, seat, BW_OUTCOME_LOST, 0);
    }
}

void
BwSeats_DeclineQueue(BwSupervisor *s, uint64_t now_us, uint32_t reason)
{
    BwSeat *seat, *next;

    DL_FOREACH_SAFE(s->queue, seat, next)
    {
        BwSeats_Remove(s, now_us, seat, BW_OUTCOME_NOT_RUN, reason);
    }
}
