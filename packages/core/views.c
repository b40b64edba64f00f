/* views.c -- what a dispatcher knows of supervisors, workers and routes

   A view is the account that came with the supervisor's last answer, and what
   is under way to it since.  It outlives the connection by 20 minutes, for the
   worker's pace, and as long as a job refers to it.  Tasks whose fate is
   unknown start elsewhere when the session and the worker's lease must have
   run out, or when the supervisor says that none is left.  Workers that
   fail are judged by health.c.  Run times are learnt for each route against
   the declared ones, and for each worker against the others.
*/

#include <stdlib.h>
#include <string.h>

#include "boundjob.h"
#include "brasswing.h"
#include "pace.h"
#include "room.h"

#define GONE_MARGIN_US 120000 /* stops take effect, and clocks drift */
#define RATIO_SHIFT 5
#define RATIO_START_PERMILLE 1000
#define RATIO_MAX_PERMILLE 4000
#define ANCHORED_MAX 256
#define KEPT_US 1200000000ull /* a view without a connection */

static const BwHealthRule health_rule = {
    .times_peers = 3,
    .ejected_share_percent = 50,
    .backoff_first_us = 3000000,
    .backoff_last_us = 3000000,
};

/* ---------------------------------------------------------- run times */

static BwRoutePace *
find_pace(BwDispatcher *d, const char *route)
{
    BwRoutePace *pace;

    HASH_FIND_STR(d->paces, route, pace);
    if (pace != NULL)
        return pace;
    pace = calloc(1, sizeof(*pace));
    if (pace == NULL)
        return NULL;
    strncpy(pace->route, route, sizeof(pace->route) - 1);
    pace->ratio_permille = RATIO_START_PERMILLE;
    HASH_ADD_STR(d->paces, route, pace);
    return pace;
}

uint64_t
BwViews_ExpectedUs(BwDispatcher *d, const char *route, uint64_t declared_us)
{
    const BwRoutePace *pace = find_pace(d, route);

    if (pace == NULL)
        return declared_us;
    return declared_us * pace->ratio_permille / 1000;
}

void
BwViews_LearnRatio(BwDispatcher *d, const BwBoundJob *job,
                   const BwPiece *piece)
{
    BwRoutePace *pace = find_pace(d, job->route);
    uint64_t declared_us = job->steps[piece->step].declared_us;
    uint64_t ratio;

    if (pace == NULL || declared_us == 0)
        return;
    ratio = piece->ran_us * 1000 / declared_us * BW_PACE_MEAN_PERMILLE /
            piece->view->pace_permille;
    if (ratio > RATIO_MAX_PERMILLE)
        ratio = RATIO_MAX_PERMILLE;
    pace->ratio_permille += (uint32_t)(ratio >> RATIO_SHIFT) -
                            (pace->ratio_permille >> RATIO_SHIFT);
}

void
BwViews_LearnPaces(const BwBoundJob *job)
{
    BwPaceSample *samples = malloc(job->piece_count * sizeof(*samples));

    if (samples == NULL)
        return;
    for (uint32_t step = 0; step < job->step_count; step++) {
        uint32_t count = 0;

        for (uint32_t i = 0; i < job->piece_count; i++) {
            const BwPiece *piece = &job->pieces[i];

            if (piece->step != step || piece->state != BW_PIECE_DONE)
                continue;
            samples[count].pace_permille = &piece->view->pace_permille;
            samples[count++].ran_us = piece->ran_us;
        }
        BwPace_Compare(samples, count);
    }
    free(samples);
}

void
BwViews_AnchorPaces(BwDispatcher *d)
{
    uint32_t *paces[ANCHORED_MAX];
    uint32_t count = 0;

    for (BwView *view = d->views; view != NULL && count < ANCHORED_MAX;
         view = view->hh.next) {
        if (view->peer != 0)
            paces[count++] = &view->pace_permille;
    }
    BwPace_Anchor(paces, count);
}

void
BwDispatcher_KeepRoutes(BwDispatcher *d, const BwRoutes *routes)
{
    BwRoutePace *pace, *next;

    for (const BwRoute *route = routes->table; route != NULL;
         route = route->hh.next) {
        HASH_FIND_STR(d->paces, route->name, pace);
        if (pace != NULL)
            pace->is_kept = true;
    }
    HASH_ITER(hh, d->paces, pace, next)
    {
        if (!pace->is_kept) {
            HASH_DEL(d->paces, pace);
            free(pace);
            continue;
        }
        pace->is_kept = false;
    }
}

/* ----------------------------------------------------------- accounts */

BwRoom
BwView_Room(const BwView *view, uint32_t priority, uint32_t *ahead)
{
    BwRoom room = view->free;

    *ahead = priority == 0 ? view->queued_urgent : view->queued;
    for (uint32_t i = 0; i < view->in_flight_count; i++) {
        BwRoom_Remove(&room, &view->in_flight[i].room);
        *ahead += view->in_flight[i].task_count;
    }
    return room;
}

/* The account of the next PLACE to the view. */
static BwInFlight *
next_in_flight(BwView *view)
{
    BwInFlight *last;

    if (view->in_flight_count > 0) {
        last = &view->in_flight[view->in_flight_count - 1];
        if (last->number == view->place_number + 1)
            return last;
        if (view->in_flight_count == BW_IN_FLIGHT_MAX) {
            last->number = view->place_number + 1;
            return last;
        }
    }
    last = &view->in_flight[view->in_flight_count++];
    memset(last, 0, sizeof(*last));
    last->number = view->place_number + 1;
    return last;
}

void
BwView_Reserve(BwView *view, const BwRoom *room)
{
    BwInFlight *sent = next_in_flight(view);

    BwRoom_Add(&sent->room, room);
    sent->task_count++;
}

void
BwView_Unreserve(BwView *view, const BwRoom *room)
{
    BwInFlight *sent = next_in_flight(view);

    BwRoom_Remove(&sent->room, room);
    sent->task_count--;
}

void
BwViews_Judge(BwDispatcher *d, uint64_t now_us, BwView *view)
{
    BwHealth *health = &view->health;
    BwHealthPeers peers = {0};

    if (!BwHealth_IsInQuestion(health))
        return;
    for (const BwView *other = d->views; other != NULL;
         other = other->hh.next) {
        if (other != view && other->peer != 0 &&
            strcmp(other->service, view->service) == 0)
            BwHealthPeers_Add(&peers, &other->health);
    }
    if (!BwHealth_Judge(health, &peers, &health_rule, NULL, now_us))
        return;
    if (health->is_ejected)
        d->port->log(d->ctx, "eject", NULL, view, 1,
                     "it fails and its peers do not");
    else
        d->port->log(d->ctx, "judge", NULL, view, 1,
                     health->is_probing ? "one task at a time, as a probe"
                                        : "it is well again");
}

static void
take_load(BwDispatcher *d, uint64_t now_us, BwView *view,
          const BwWorkerLoad *load)
{
    BwOutcomes outcomes = {load->ended, load->failed_permille, 0};
    uint32_t kept = 0;

    view->free = load->free;
    view->queued = load->queued;
    view->queued_urgent = load->queued_urgent;
    view->release_us = load->release_us;
    view->slow_permille = load->slow_permille;
    for (uint32_t i = 0; i < view->in_flight_count; i++) {
        if (view->in_flight[i].number > load->place_seen)
            view->in_flight[kept++] = view->in_flight[i];
    }
    view->in_flight_count = kept;
    BwHealth_Take(&view->health, &outcomes);
    BwViews_Judge(d, now_us, view);
}

/* -------------------------------------------------------- connections */

void
BwViews_ReleaseUnknown(BwDispatcher *d, uint64_t now_us, BwView *view)
{
    BwBoundJob *job, *next;

    view->gone_us = 0;
    HASH_ITER(hh, d->jobs, job, next)
    {
        bool is_freed = false;
        bool is_alive = true;

        for (uint32_t i = 0; i < job->piece_count; i++) {
            BwPiece *piece = &job->pieces[i];

            if (piece->view != view || piece->state != BW_PIECE_UNKNOWN)
                continue;
            is_alive = BwDispatcher_MovePiece(d, job, piece, BW_OUTCOME_LOST,
                                              0) == BW_BOUND_COMPLETED &&
                       is_alive;
            piece->avoid = NULL;
            is_freed = true;
        }
        if (!is_alive)
            BwDispatcher_EndJob(d, job, BW_BOUND_EXPIRED,
                                "a task moved too often");
        else if (is_freed)
            BwDispatcher_ReplacePieces(d, now_us, job, "its worker was lost");
    }
}

static void
lose_link(BwDispatcher *d, uint64_t now_us, BwView *view)
{
    uint64_t session_us = view->answered_us + d->limits.session_us;
    uint64_t from_us = session_us > now_us ? session_us : now_us;
    uint64_t gone_us = from_us + GONE_MARGIN_US +
                       d->limits.lease_us * BW_LEASE_DRIFT_PERMILLE / 1000;
    BwBoundJob *job, *next;

    HASH_DELETE(by_peer, d->peers, view);
    view->peer = 0;
    view->down_us = now_us;
    view->is_usable = false;
    view->in_flight_count = 0;
    /* An earlier connection may have left tasks that end later. */
    if (gone_us > view->gone_us)
        view->gone_us = gone_us;
    HASH_ITER(hh, d->jobs, job, next)
    {
        bool is_late = false;

        for (uint32_t i = 0; i < job->piece_count; i++) {
            BwPiece *piece = &job->pieces[i];
            uint64_t run_us;

            if (piece->view != view || piece->state != BW_PIECE_PLACED)
                continue;
            piece->state = BW_PIECE_UNKNOWN;
            run_us = BwViews_ExpectedUs(d, job->route,
                                        job->steps[piece->step].declared_us);
            is_late = is_late || view->gone_us + run_us > job->deadline_us;
        }
        if (is_late)
            BwDispatcher_EndJob(d, job, BW_BOUND_EXPIRED,
                                "its worker is silent");
    }
}

void
BwDispatcher_PeerUp(BwDispatcher *d, uint64_t now_us, uint32_t peer,
                    BwSpan name)
{
    char text[BW_NAME_BYTES_MAX];
    BwView *view;

    BwSpan_ToString(name, text, sizeof(text));
    HASH_FIND_STR(d->views, text, view);
    if (view == NULL) {
        view = calloc(1, sizeof(*view));
        if (view == NULL)
            return;
        strcpy(view->name, text);
        view->pace_permille = BW_PACE_MEAN_PERMILLE;
        HASH_ADD_STR(d->views, name, view);
    }
    else if (view->peer != 0) {
        lose_link(d, now_us, view);
    }
    view->peer = peer;
    HASH_ADD(by_peer, d->peers, peer, sizeof(view->peer), view);
    view->link = ++d->next_link;
    view->place_number = 0;
    view->in_flight_count = 0;
    view->is_usable = false;
    view->answered_us = 0;
    /* Another process may count from the start. */
    view->health.outcomes.ended = 0;
    view->health.judged_ended = 0;
    view->clock_us = 0;
}

static BwView *
find_view(BwDispatcher *d, uint32_t peer)
{
    BwView *view;

    HASH_FIND(by_peer, d->peers, &peer, sizeof(peer), view);
    return view;
}

void
BwDispatcher_PeerDown(BwDispatcher *d, uint64_t now_us, uint32_t peer)
{
    BwView *view = find_view(d, peer);

    if (view != NULL)
        lose_link(d, now_us, view);
}

static bool
is_referred_to(const BwDispatcher *d, const BwView *view)
{
    for (const BwBoundJob *job = d->jobs; job != NULL; job = job->hh.next) {
        for (uint32_t i = 0; i < job->piece_count; i++) {
            if (job->pieces[i].view == view || job->pieces[i].avoid == view)
                return true;
        }
    }
    return false;
}

void
BwViews_DropOld(BwDispatcher *d, uint64_t now_us)
{
    BwView *view, *next;

    HASH_ITER(hh, d->views, view, next)
    {
        if (view->peer != 0 || now_us - view->down_us <= KEPT_US ||
            is_referred_to(d, view))
            continue;
        HASH_DEL(d->views, view);
        free(view);
    }
}

/* ----------------------------------------------------------- messages */

static void
on_worker(BwDispatcher *d, uint64_t now_us, BwView *view,
          const BwWorkerState *state)
{
    char instance[BW_NAME_BYTES_MAX];

    BwSpan_ToString(state->instance, instance, sizeof(instance));
    if (strcmp(instance, view->instance) != 0)
        memset(&view->health, 0, sizeof(view->health));
    strcpy(view->instance, instance);
    BwSpan_ToString(state->service, view->service, sizeof(view->service));
    BwSpan_ToString(state->domain, view->domain, sizeof(view->domain));
    view->capacity = state->capacity;
    view->is_usable = state->is_leaving == 0;
    view->label_count = state->label_count < BW_LABELS_MAX ? state->label_count
                                                           : BW_LABELS_MAX;
    for (uint32_t i = 0; i < view->label_count; i++)
        BwSpan_ToString(state->labels[i].name, view->labels[i],
                        BW_NAME_BYTES_MAX);
    if (state->is_clear != 0)
        BwViews_ReleaseUnknown(d, now_us, view);
}

void
BwDispatcher_OnMessage(BwDispatcher *d, uint64_t now_us, uint32_t peer,
                       const BwMessage *message)
{
    BwView *view = find_view(d, peer);
    BwMessage answer = {.kind = BW_MSG_SESSION};

    if (view == NULL)
        return;
    switch (message->kind) {
    case BW_MSG_WORKER:
        if (message->u.worker.load_count > 0)
            take_load(d, now_us, view, message->u.worker.load);
        on_worker(d, now_us, view, &message->u.worker);
        break;
    case BW_MSG_OUTCOME:
        if (message->u.outcome.load_count > 0)
            take_load(d, now_us, view, message->u.outcome.load);
        BwDispatcher_TakeOutcome(d, now_us, view, &message->u.outcome);
        break;
    case BW_MSG_SESSION:
        if (message->u.session.load_count > 0)
            take_load(d, now_us, view, message->u.session.load);
        view->answered_us = now_us;
        view->clock_us = message->u.session.asked_us;
        view->asked_us = now_us;
        answer.u.session.asked_us = message->u.session.asked_us;
        answer.u.session.next_us = message->u.session.next_us;
        d->port->send(d->ctx, peer, &answer);
        break;
    default:
        break;
    }
}

uint32_t
BwDispatcher_CountUsable(const BwDispatcher *d)
{
    uint32_t count = 0;

    for (const BwView *view = d->views; view != NULL; view = view->hh.next)
        count += view->peer != 0 && view->is_usable && view->answered_us != 0;
    return count;
}
