/* supervisor.c -- the dispatchers of one worker: messages, sessions, time

   A dispatcher is told the worker's state when it connects and at each change,
   and its load with every answer.  It places tasks while its session lasts;
   those are checked against the worker and queued in the account of seats.c.
   A session that lapses ends the dispatcher's tasks, since another may start
   them then.  A dispatcher that has and sends no tasks is asked and told once
   in two sessions, more rarely beyond 16 dispatchers, and when the use of the
   worker changes by a quarter: what a supervisor spends follows its tasks, not
   the number of dispatchers.  The price is that the silence of a
   worker without tasks is noticed later.  The worker's side is in
   workerlink.c.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "room.h"
#include "seats.h"

#define SESSION_RENEWALS 3 /* in the time of a session */
#define IDLE_SESSIONS 2    /* between two renewals without tasks */
#define IDLE_SESSIONS_MAX 8
#define IDLE_PEERS 16     /* beyond, renewals are as much further apart */
#define ACTIVE_US 2000000 /* after a PLACE; beyond, as much shorter */
#define LEVELS 4          /* of use */
#define DOUBT_US 50000    /* until an unanswered start is stopped unseen */

/* -------------------------------------------------------- dispatchers */

/* How far the worker is in use, as far as that matters to who sends nothing:
   in quarters, and one more when tasks wait. */
static uint32_t
use_level(const BwSupervisor *s)
{
    uint64_t used[] = {s->used.cpu_milli, s->used.mem_mb, s->used.gpu};
    uint64_t all[] = {s->capacity.cpu_milli, s->capacity.mem_mb,
                      s->capacity.gpu};
    uint64_t level = 0;

    for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
        uint64_t own = all[i] > 0 ? used[i] * LEVELS / all[i] : 0;

        level = own > level ? own : level;
    }
    return (uint32_t)level + (s->queued_count > 0);
}

static void
tell_state(BwSupervisor *s, BwSupervisorPeer *peer, uint64_t now_us)
{
    BwMessage message = {.kind = BW_MSG_WORKER};
    BwWorkerState *state = &message.u.worker;
    BwWorkerLoad load = BwSeats_MakeLoad(s, peer, now_us);
    BwName labels[BW_LABELS_MAX];

    for (uint32_t i = 0; i < s->label_count; i++)
        labels[i].name = BwSpan_FromString(s->labels[i]);
    state->instance = BwSpan_FromString(s->instance);
    state->service = BwSpan_FromString(s->service);
    state->domain = BwSpan_FromString(s->domain);
    state->capacity = s->capacity;
    state->is_leaving = !BwSeats_IsUsable(s, now_us);
    state->is_clear = s->phase == BW_WORKER_READY && s->orphan_count == 0;
    state->labels = labels;
    state->label_count = s->label_count;
    state->load = &load;
    state->load_count = 1;
    peer->was_clear = state->is_clear != 0;
    peer->told_level = use_level(s);
    s->port->send(s->ctx, peer->peer, &message);
}

void
BwSupervisor_TellAll(BwSupervisor *s, uint64_t now_us)
{
    BwSupervisorPeer *peer, *next;

    s->was_usable = BwSeats_IsUsable(s, now_us);
    HASH_ITER(hh, s->peers, peer, next)
    {
        tell_state(s, peer, now_us);
    }
}

static void
remove_peer_seats(BwSupervisor *s, uint64_t now_us, uint32_t peer)
{
    BwSeat *seat, *next;

    HASH_ITER(hh, s->seats, seat, next)
    {
        if (seat->peer != peer)
            continue;
        if (BwSeats_IsOnWorker(seat)) {
            seat->peer = 0;
            seat->outcome = 0;
            s->orphan_count++;
        }
        BwSeats_End(s, now_us, seat, 0, 0, "its dispatcher is gone");
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
            BwSeats_End(s, now_us, seat, BW_OUTCOME_LOST, 0,
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
    BwSeats_StartQueued(s, now_us);
}

static void
renew(const BwSupervisor *s, BwSupervisorPeer *peer, uint64_t asked_us)
{
    uint64_t until_us = asked_us + s->limits.session_us;

    if (asked_us != 0 && until_us > peer->valid_until_us)
        peer->valid_until_us = until_us;
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

/* Returns 0 when the task may be queued, or why not. */
static uint32_t
check_place(const BwSupervisor *s, uint64_t now_us,
            const BwSupervisorPeer *peer, const BwPlace *place,
            uint32_t spread)
{
    if (!BwSeats_IsUsable(s, now_us))
        return BW_DECLINE_LEAVING;
    if (now_us >= peer->valid_until_us)
        return BW_DECLINE_NO_SESSION;
    if (!BwSpan_Equal(place->service, BwSpan_FromString(s->service)))
        return BW_DECLINE_NO_SERVICE;
    if (!BwLabel_IsMet(place->requirement, s->labels, s->label_count) ||
        !BwRoom_Fits(&place->room, &s->capacity) ||
        (place->spread_max > 0 && spread >= place->spread_max))
        return BW_DECLINE_UNSUITED;
    if (HASH_COUNT(s->seats) >= BW_SUPERVISOR_TASKS_MAX)
        return BW_DECLINE_BUSY;
    return 0;
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
    peer->placed_us = now_us;
    renew(s, peer, place->asked_us < now_us ? place->asked_us : now_us);
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
            reason = BwSeats_Queue(s, now_us, peer, place, index, text);
        if (reason != 0) {
            declined[count].index = index;
            declined[count].kind = BW_OUTCOME_NOT_RUN;
            declined[count++].reason = reason;
        }
        spread++;
    }
    BwSeats_StartQueued(s, now_us);
    if (place->wait_us == 0 && count < place->task_count)
        count += BwSeats_TakeBack(s, first, declined + count);
    s->counters.declined += count;
    BwSeats_LogDeclined(s, place, declined, count);
    BwSeats_Report(s, now_us, peer->peer, place->ref, place->step, declined,
                   count);
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
            BwSeats_End(s, now_us, seat, 0, 0, "its dispatcher asks");
    }
    BwSeats_StartQueued(s, now_us);
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
        renew(s, peer, message->u.session.asked_us);
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

/* Returns how long the dispatcher may wait from one renewal to the next. */
static uint64_t
renewal_us(const BwSupervisor *s, const BwSupervisorPeer *peer,
           uint64_t now_us)
{
    uint64_t count = HASH_COUNT(s->peers);
    uint64_t peers = count > IDLE_PEERS ? count : IDLE_PEERS;
    uint64_t active_us = ACTIVE_US * IDLE_PEERS / peers;
    uint64_t idle_us =
        s->limits.session_us * IDLE_SESSIONS * peers / IDLE_PEERS;

    if (peer->seat_count > 0 || now_us - peer->placed_us < active_us)
        return s->limits.session_us / SESSION_RENEWALS;
    return idle_us < s->limits.session_us * IDLE_SESSIONS_MAX
               ? idle_us
               : s->limits.session_us * IDLE_SESSIONS_MAX;
}

static void
ask_session(BwSupervisor *s, BwSupervisorPeer *peer, uint64_t now_us)
{
    BwMessage message = {.kind = BW_MSG_SESSION};
    BwWorkerLoad load = BwSeats_MakeLoad(s, peer, now_us);

    peer->asked_us = now_us;
    peer->ask_us = now_us + renewal_us(s, peer, now_us);
    peer->told_level = use_level(s);
    message.u.session.asked_us = now_us;
    message.u.session.next_us = peer->ask_us - now_us;
    message.u.session.load = &load;
    message.u.session.load_count = 1;
    s->port->send(s->ctx, peer->peer, &message);
}

static void
tick_sessions(BwSupervisor *s, uint64_t now_us)
{
    BwSupervisorPeer *peer, *next;
    bool is_clear = s->phase == BW_WORKER_READY && s->orphan_count == 0;
    uint32_t level = use_level(s);

    HASH_ITER(hh, s->peers, peer, next)
    {
        uint64_t wait_us = level != peer->told_level
                               ? s->limits.session_us / SESSION_RENEWALS
                               : renewal_us(s, peer, now_us);

        if (now_us >= peer->ask_us || now_us - peer->asked_us >= wait_us)
            ask_session(s, peer, now_us);
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
                BwSeats_SendStop(s, seat);
        }
        else if (seat->state == BW_SEAT_STARTING && seat->doubted_us != 0 &&
                 now_us - seat->doubted_us > DOUBT_US) {
            BwSeats_End(s, now_us, seat, BW_OUTCOME_LOST, 0,
                        "no answer, and not seen");
        }
        else if (seat->state == BW_SEAT_QUEUED &&
                 now_us >= seat->patience_us) {
            BwSeats_Remove(s, now_us, seat, BW_OUTCOME_NOT_RUN,
                           BW_DECLINE_BUSY);
        }
        else if (now_us >= seat->deadline_us) {
            BwSeats_End(s, now_us, seat,
                        BwSeats_IsOnWorker(seat) ? BW_OUTCOME_LOST
                                                 : BW_OUTCOME_NOT_RUN,
                        BW_DECLINE_LATE, "the deadline passed");
        }
    }
}

void
BwSupervisor_Tick(BwSupervisor *s, uint64_t now_us)
{
    if (now_us >= s->lease_end_us && s->lease_end_us != 0) {
        s->lease_end_us = 0;
        BwSeats_LoseAll(s, now_us, "the lease ran out");
        if (!BwSeats_IsResponsive(s, now_us))
            BwSeats_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    }
    BwSeats_StartQueued(s, now_us);
    tick_seats(s, now_us);
    tick_sessions(s, now_us);
    BwWorkerLink_Tick(s, now_us);
    if (s->was_usable != BwSeats_IsUsable(s, now_us))
        BwSupervisor_TellAll(s, now_us);
}

void
BwSupervisor_Leave(BwSupervisor *s, uint64_t now_us)
{
    if (s->is_leaving)
        return;
    s->is_leaving = true;
    BwSeats_DeclineQueue(s, now_us, BW_DECLINE_LEAVING);
    BwSupervisor_TellAll(s, now_us);
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
}

void
BwSupervisor_Finish(BwSupervisor *s)
{
    BwSeat *seat, *next;
    BwSupervisorPeer *peer, *next_peer;

    HASH_ITER(hh, s->seats, seat, next)
    {
        BwSeats_Unlink(s, seat);
        BwSeats_Free(seat);
    }
    HASH_ITER(hh, s->peers, peer, next_peer)
    {
        HASH_DELETE(hh, s->peers, peer);
        free(peer);
    }
}
