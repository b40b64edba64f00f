/* dispatcher.c -- the home of jobs that are bound to their caller

   Placement looks at every worker that fits and takes the one expected to end
   the task first: its foreseen wait, from the account of room and queue that
   came with its supervisor's last answer less what is under way there, and
   the run time at its pace.  A job is placed whole or refused whole; later
   only single tasks move.  Looking at all workers costs a step for each; a
   dispatcher is connected to a few hundred at most.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "dispatcher.h"
#include "pace.h"
#include "room.h"

#define LEASE_DRIFT_PERMILLE 1030
#define GONE_MARGIN_US 120000 /* stops take effect, and clocks drift */
#define RELEASE_MIN_US 5000   /* until a full worker frees room */
#define MOVES_MAX 24
#define BOUNCES_MAX 3 /* after which a task waits at a worker */
#define FAILURES_TO_EJECT 3
#define EJECTED_US 3000000
#define EJECTED_SHARE_MAX 2 /* half of the workers */
#define RATIO_SHIFT 5
#define RATIO_START_PERMILLE 1000
#define RATIO_MAX_PERMILLE 4000
#define ANCHORED_MAX 256
#define ANCHOR_US 1000000
#define PATIENCE_US 20000 /* beyond twice the foreseen wait */
#define FAR_PERMILLE 1500
#define CROWDED_PERMILLE 100
#define RETRY_AFTER_MS 1000
#define DECLARED_MAX_US 86400000000ull /* sums of more could overflow */
#define URGENT_LIMIT_PERMILLE 1200
#define LIMIT_PERMILLE 850
#define NEVER UINT64_MAX

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

static uint64_t
expected_us(BwDispatcher *d, const char *route, uint64_t declared_us)
{
    const BwRoutePace *pace = find_pace(d, route);

    if (pace == NULL)
        return declared_us;
    return declared_us * pace->ratio_permille / 1000;
}

/* Learns the run time of a route against the declared one. */
static void
learn_ratio(BwDispatcher *d, const BwBoundJob *job, const BwPiece *piece)
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

/* Compares the workers that ran the tasks of each step. */
static void
learn_paces(const BwBoundJob *job)
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

static void
anchor_paces(BwDispatcher *d)
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

/* -------------------------------------------------------------- views */

static BwView *
find_view(BwDispatcher *d, uint32_t peer)
{
    BwView *view;

    for (view = d->views; view != NULL; view = view->hh.next) {
        if (view->peer == peer)
            return view;
    }
    return NULL;
}

static bool
view_takes(const BwView *view, uint64_t now_us)
{
    return view->peer != 0 && view->is_usable &&
           now_us >= view->ejected_until_us && view->answered_us != 0;
}

/* The room that is free once what is under way has come, and the number of
   tasks that a new one of that priority waits for. */
static BwRoom
view_room(const BwView *view, uint32_t priority, uint32_t *ahead)
{
    BwRoom room = view->free;

    *ahead = priority == 0 ? view->queued_urgent : view->queued;
    for (uint32_t i = 0; i < view->in_flight_count; i++) {
        BwRoom_Remove(&room, &view->in_flight[i].room);
        *ahead += view->in_flight[i].task_count;
    }
    return room;
}

static bool
view_has_room(const BwView *view, const BwRoom *need, const BwRoom *room,
              uint32_t priority)
{
    uint32_t queued = priority == 0 ? view->queued_urgent : view->queued;

    return queued == 0 && BwRoom_Fits(need, room);
}

static bool
view_has_label(const BwView *view, BwSpan label)
{
    if (label.size_bytes == 0)
        return true;
    for (uint32_t i = 0; i < view->label_count; i++) {
        if (BwSpan_Equal(label, BwSpan_FromString(view->labels[i])))
            return true;
    }
    return false;
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

static void
reserve(BwView *view, const BwRoom *room)
{
    BwInFlight *sent = next_in_flight(view);

    BwRoom_Add(&sent->room, room);
    sent->task_count++;
}

static void
unreserve(BwView *view, const BwRoom *room)
{
    BwInFlight *sent = next_in_flight(view);

    BwRoom_Remove(&sent->room, room);
    sent->task_count--;
}

static void
take_load(BwView *view, const BwWorkerLoad *load)
{
    uint32_t kept = 0;

    view->free = load->free;
    view->queued = load->queued;
    view->queued_urgent = load->queued_urgent;
    view->release_us = load->release_us;
    view->slow_permille = load->slow_permille;
    view->failed_permille = load->failed_permille;
    for (uint32_t i = 0; i < view->in_flight_count; i++) {
        if (view->in_flight[i].number > load->place_seen)
            view->in_flight[kept++] = view->in_flight[i];
    }
    view->in_flight_count = kept;
}

static void
note_failure(BwDispatcher *d, uint64_t now_us, BwView *view)
{
    uint32_t ejected = 0, known = 0;

    if (++view->failed_in_row < FAILURES_TO_EJECT)
        return;
    for (const BwView *v = d->views; v != NULL; v = v->hh.next) {
        known += v->peer != 0;
        ejected += v->ejected_until_us > now_us;
    }
    if ((ejected + 1) * EJECTED_SHARE_MAX > known)
        return;
    view->ejected_until_us = now_us + EJECTED_US;
    view->failed_in_row = FAILURES_TO_EJECT - 1;
    d->port->log(d->ctx, "eject", NULL, view, 1, "failures in a row");
}

/* ---------------------------------------------------------- placement */

/* Counts the step's tasks at each view. */
static void
count_there(BwDispatcher *d, const BwBoundJob *job, uint32_t step)
{
    if (job->steps[step].spread_max == 0)
        return;
    for (BwView *view = d->views; view != NULL; view = view->hh.next)
        view->there = 0;
    for (uint32_t i = 0; i < job->piece_count; i++) {
        const BwPiece *piece = &job->pieces[i];

        if (piece->view != NULL && piece->step == step &&
            piece->state != BW_PIECE_DONE)
            piece->view->there++;
    }
}

static uint64_t
view_pace(const BwView *view)
{
    return view->slow_permille > view->pace_permille ? view->slow_permille
                                                     : view->pace_permille;
}

/* What would become of a task at a view. */
typedef struct Foresight {
    uint64_t wait_us; /* for room */
    uint64_t end_us;  /* NEVER when the view cannot take it */
    uint64_t cost_us; /* time, and a part that spreads load */
} Foresight;

static bool
is_suited(const BwBoundJob *job, const BwPiece *piece, const BwView *view,
          uint64_t now_us)
{
    const BwBoundStep *step = &job->steps[piece->step];

    return view_takes(view, now_us) &&
           strcmp(view->service, job->service) == 0 &&
           BwRoom_Fits(&step->room, &view->capacity) &&
           view_has_label(view, step->requirement) &&
           (step->spread_max == 0 || view->there < step->spread_max);
}

static Foresight
foresee(const BwBoundJob *job, const BwPiece *piece, const BwView *view,
        uint64_t run_us, uint64_t now_us)
{
    const BwBoundStep *step = &job->steps[piece->step];
    Foresight foresight = {0, NEVER, NEVER};
    uint64_t used_milli;
    uint32_t ahead;
    BwRoom room;

    if (!is_suited(job, piece, view, now_us))
        return foresight;
    room = view_room(view, job->priority, &ahead);
    if (!view_has_room(view, &step->room, &room, job->priority))
        foresight.wait_us =
            (ahead + 1) * (view->release_us > RELEASE_MIN_US ? view->release_us
                                                             : RELEASE_MIN_US);
    run_us = run_us * view_pace(view) / BW_PACE_MEAN_PERMILLE;
    if (!view_has_label(view, step->affinity))
        run_us = run_us * FAR_PERMILLE / 1000;
    used_milli = view->capacity.cpu_milli - room.cpu_milli;
    foresight.end_us = now_us + foresight.wait_us + run_us;
    foresight.cost_us = foresight.wait_us + run_us +
                        run_us * CROWDED_PERMILLE / 1000 * used_milli /
                            (view->capacity.cpu_milli + 1);
    return foresight;
}

/* Picks the view that ends the task first, or NULL when none ends it by
   `limit_us`.  The one to avoid is taken when there is no other. */
static BwView *
pick_view(BwDispatcher *d, const BwBoundJob *job, BwPiece *piece,
          uint64_t run_us, uint64_t now_us, uint64_t limit_us)
{
    BwView *best = NULL, *last = NULL;
    Foresight least = {0, NEVER, NEVER}, last_least = {0, NEVER, NEVER};

    for (BwView *view = d->views; view != NULL; view = view->hh.next) {
        Foresight foresight = foresee(job, piece, view, run_us, now_us);

        /* Room that is free is given: only waiting keeps others waiting. */
        if (foresight.end_us == NEVER ||
            foresight.end_us >
                (foresight.wait_us == 0 ? job->deadline_us : limit_us))
            continue;
        if (view == piece->avoid) {
            last = view;
            last_least = foresight;
            continue;
        }
        if (foresight.cost_us >= least.cost_us)
            continue;
        best = view;
        least = foresight;
    }
    if (best == NULL) {
        best = last;
        least = last_least;
    }
    piece->wait_us = least.wait_us;
    if (least.wait_us > 0 || piece->moves >= BOUNCES_MAX)
        piece->wait_us = 2 * least.wait_us + PATIENCE_US;
    return best;
}

static bool
is_step_open(const BwBoundJob *job, uint32_t step)
{
    for (uint32_t i = 0; i < step; i++) {
        if ((job->steps[step].after >> i & 1) != 0 && job->left[i] > 0)
            return false;
    }
    return true;
}

/* When the last task has to end, as far as can be foreseen, for the job to be
   taken.  Work that would end late keeps others waiting, so only urgent jobs
   may pass their objective. */
static uint64_t
limit_of(const BwBoundJob *job)
{
    uint64_t objective_us = job->due_us - job->arrived_us;
    uint64_t limit_us =
        job->arrived_us +
        objective_us *
            (job->priority == 0 ? URGENT_LIMIT_PERMILLE : LIMIT_PERMILLE) /
            1000;

    return limit_us < job->deadline_us ? limit_us : job->deadline_us;
}

static uint64_t
clip(uint64_t from_us, uint64_t now_us)
{
    return from_us > now_us ? from_us - now_us : 0;
}

/* Sends the pieces of a step that were assigned to the view and not sent. */
static void
send_place(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, BwView *view,
           uint32_t step_index, uint64_t run_us)
{
    const BwBoundStep *step = &job->steps[step_index];
    BwMessage message = {.kind = BW_MSG_PLACE};
    BwPlace *place = &message.u.place;
    BwTaskIndex *tasks = malloc(job->piece_count * sizeof(*tasks));
    uint32_t count = 0;

    if (tasks == NULL)
        return;
    for (uint32_t i = 0; i < job->piece_count; i++) {
        BwPiece *piece = &job->pieces[i];

        if (piece->view != view || piece->step != step_index ||
            piece->state != BW_PIECE_WAITING)
            continue;
        piece->state = BW_PIECE_PLACED;
        piece->link = view->link;
        piece->placed_us = now_us;
        if (piece->wait_us > place->wait_us)
            place->wait_us = piece->wait_us;
        tasks[count++].index = piece->index;
    }
    place->number = ++view->place_number;
    /* One account serves all steps that were assigned together. */
    view->in_flight[view->in_flight_count - 1].number = place->number;
    place->ref = job->ref;
    place->job = BwSpan_FromString(job->name);
    place->spec.base = job->spec;
    place->spec.size_bytes = job->spec_bytes;
    place->service = BwSpan_FromString(job->service);
    place->requirement = step->requirement;
    place->room = step->room;
    place->step = step_index;
    place->priority = job->priority;
    place->spread_max = step->spread_max;
    place->expected_us = run_us;
    place->due_in_us = clip(limit_of(job), now_us + run_us);
    place->deadline_in_us = clip(job->deadline_us, now_us);
    place->tasks = tasks;
    place->task_count = count;
    job->was_placed = true;
    d->counters.placed += count;
    d->port->log(d->ctx, "place", job, view, count, "ends first");
    d->port->send(d->ctx, view->peer, &message);
    free(tasks);
}

static uint64_t
step_run_us(BwDispatcher *d, const BwBoundJob *job, uint32_t step)
{
    return expected_us(d, job->route, job->steps[step].declared_us);
}

static bool
is_assigned(const BwPiece *piece, uint32_t step)
{
    return piece->step == step && piece->state == BW_PIECE_WAITING &&
           piece->view != NULL;
}

/* Assigns every waiting piece of the step and counts them.  Returns false when
   one cannot end by the limit. */
static bool
assign_step(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, uint32_t step,
            uint64_t limit_us, uint32_t *count)
{
    const BwRoom *room = &job->steps[step].room;
    uint64_t run_us = step_run_us(d, job, step);

    *count = 0;
    count_there(d, job, step);
    for (uint32_t i = 0; i < job->piece_count; i++) {
        BwPiece *piece = &job->pieces[i];

        if (piece->step != step || piece->state != BW_PIECE_WAITING)
            continue;
        piece->view = pick_view(d, job, piece, run_us, now_us, limit_us);
        if (piece->view == NULL)
            return false;
        reserve(piece->view, room);
        piece->view->there++;
        ++*count;
    }
    return true;
}

/* Takes back what was assigned and not sent. */
static void
unassign(BwBoundJob *job)
{
    for (uint32_t i = 0; i < job->piece_count; i++) {
        BwPiece *piece = &job->pieces[i];
        const BwRoom *room = &job->steps[piece->step].room;

        if (!is_assigned(piece, piece->step))
            continue;
        unreserve(piece->view, room);
        piece->view = NULL;
    }
}

static void
send_step(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, uint32_t step)
{
    for (BwView *view = d->views; view != NULL; view = view->hh.next) {
        for (uint32_t i = 0; i < job->piece_count; i++) {
            if (is_assigned(&job->pieces[i], step) &&
                job->pieces[i].view == view) {
                send_place(d, now_us, job, view, step,
                           step_run_us(d, job, step));
                break;
            }
        }
    }
}

/* Places all that waits and may start.  Returns false, with nothing sent,
   when a task cannot end by the limit. */
static bool
place_open(BwDispatcher *d, uint64_t now_us, BwBoundJob *job,
           uint64_t limit_us)
{
    uint32_t counts[BW_STEPS_MAX] = {0};

    for (uint32_t step = 0; step < job->step_count; step++) {
        if (job->left[step] > 0 && is_step_open(job, step) &&
            !assign_step(d, now_us, job, step, limit_us, &counts[step])) {
            unassign(job);
            return false;
        }
    }
    for (uint32_t step = 0; step < job->step_count; step++) {
        if (counts[step] > 0)
            send_step(d, now_us, job, step);
    }
    return true;
}

/* Whether some worker could run a task of each step. */
static bool
is_runnable(BwDispatcher *d, const BwBoundJob *job, uint64_t now_us)
{
    uint32_t first = 0;

    for (uint32_t step = 0; step < job->step_count; step++) {
        count_there(d, job, step);
        if (job->left[step] > 0 &&
            pick_view(d, job, &job->pieces[first], step_run_us(d, job, step),
                      now_us, NEVER) == NULL)
            return false;
        first += job->left[step];
    }
    return true;
}

/* --------------------------------------------------------------- jobs */

static void
free_job(BwBoundJob *job)
{
    free(job->spec);
    free(job->steps);
    free(job->labels);
    free(job->left);
    free(job->pieces);
    free(job);
}

/* Tells the supervisors that still have tasks of the job to end them. */
static void
stop_pieces(BwDispatcher *d, const BwBoundJob *job)
{
    BwMessage message = {.kind = BW_MSG_STOP};

    message.u.stop.ref = job->ref;
    for (BwView *view = d->views; view != NULL; view = view->hh.next) {
        for (uint32_t i = 0; i < job->piece_count; i++) {
            const BwPiece *piece = &job->pieces[i];

            if (piece->view == view && piece->state == BW_PIECE_PLACED &&
                piece->link == view->link && view->peer != 0) {
                d->port->send(d->ctx, view->peer, &message);
                break;
            }
        }
    }
}

static void
remove_job(BwDispatcher *d, BwBoundJob *job)
{
    stop_pieces(d, job);
    HASH_DELETE(hh, d->jobs, job);
    HASH_DELETE(by_name, d->names, job);
    free_job(job);
}

/* Whether a task of the job was started, or may have been. */
static bool
has_started(const BwBoundJob *job)
{
    if (job->may_have_run)
        return true;
    for (uint32_t i = 0; i < job->piece_count; i++) {
        if (job->pieces[i].state != BW_PIECE_WAITING)
            return true;
    }
    return false;
}

static void
end_job(BwDispatcher *d, BwBoundJob *job, BwBoundEnd end, const char *reason)
{
    void *data = job->data;

    if (end == BW_BOUND_EXPIRED && (!job->was_placed || !has_started(job)))
        end = BW_BOUND_REFUSED;
    d->counters.completed += end == BW_BOUND_COMPLETED;
    d->counters.failed += end == BW_BOUND_FAILED;
    d->counters.refused += end == BW_BOUND_REFUSED;
    d->counters.expired += end == BW_BOUND_EXPIRED;
    d->port->log(d->ctx, "end", job, NULL, (uint32_t)end, reason);
    remove_job(d, job);
    if (data != NULL)
        d->port->answer(d->ctx, data, end,
                        end == BW_BOUND_REFUSED ? RETRY_AFTER_MS : 0);
}

/* Places tasks that became free again, or gives the job up. */
static void
replace_pieces(BwDispatcher *d, uint64_t now_us, BwBoundJob *job,
               const char *reason)
{
    uint64_t limit_us = job->deadline_us;

    /* Declined by all: the job is where it was before it was taken. */
    if (!has_started(job)) {
        job->was_placed = false;
        limit_us = limit_of(job);
    }
    if (!place_open(d, now_us, job, limit_us))
        end_job(d, job, BW_BOUND_EXPIRED, reason);
}

static BwPiece *
find_piece(BwBoundJob *job, const BwView *view, uint32_t step, uint32_t index)
{
    for (uint32_t i = 0; i < job->piece_count; i++) {
        BwPiece *piece = &job->pieces[i];

        if (piece->step == step && piece->index == index &&
            piece->view == view && piece->state == BW_PIECE_PLACED &&
            piece->link == view->link)
            return piece;
    }
    return NULL;
}

static void
on_done(BwDispatcher *d, BwBoundJob *job, BwPiece *piece, uint64_t ran_us)
{
    piece->view->failed_in_row = 0;
    piece->state = BW_PIECE_DONE;
    piece->ran_us = ran_us;
    learn_ratio(d, job, piece);
    job->left[piece->step]--;
    if (++job->done_count == job->piece_count)
        learn_paces(job);
}

/* How a job ends that a task cannot go on with; COMPLETED while it can. */
static BwBoundEnd
on_failed(BwDispatcher *d, uint64_t now_us, BwBoundJob *job, BwPiece *piece)
{
    bool is_suspect = piece->view->failed_in_row > 0;

    note_failure(d, now_us, piece->view);
    job->may_have_run = true;
    piece->state = BW_PIECE_WAITING;
    piece->avoid = piece->view;
    piece->view = NULL;
    if (!is_suspect)
        piece->failures++;
    else
        piece->moves++;
    if (piece->failures >= job->attempts_max)
        return BW_BOUND_FAILED;
    return piece->moves < MOVES_MAX ? BW_BOUND_COMPLETED : BW_BOUND_EXPIRED;
}

static BwBoundEnd
on_moved(BwDispatcher *d, BwBoundJob *job, BwPiece *piece, uint32_t kind,
         uint32_t reason)
{
    job->may_have_run |= kind != BW_OUTCOME_NOT_RUN;
    piece->state = BW_PIECE_WAITING;
    piece->avoid = reason == BW_DECLINE_BUSY ? NULL : piece->view;
    piece->view = NULL;
    d->counters.bounced += kind == BW_OUTCOME_NOT_RUN;
    d->counters.lost += kind == BW_OUTCOME_LOST;
    return ++piece->moves < MOVES_MAX ? BW_BOUND_COMPLETED : BW_BOUND_EXPIRED;
}

static void
on_outcome(BwDispatcher *d, uint64_t now_us, BwView *view,
           const BwOutcome *outcome)
{
    BwBoundJob *job;
    BwBoundEnd end = BW_BOUND_COMPLETED;

    HASH_FIND(hh, d->jobs, &outcome->ref, sizeof(outcome->ref), job);
    if (job == NULL)
        return;
    for (uint32_t i = 0; i < outcome->task_count && end == BW_BOUND_COMPLETED;
         i++) {
        const BwTaskOutcome *task = &outcome->tasks[i];
        BwPiece *piece = find_piece(job, view, outcome->step, task->index);

        if (piece == NULL)
            continue;
        if (task->kind == BW_OUTCOME_DONE) {
            on_done(d, job, piece, task->ran_us);
        }
        else if (task->kind == BW_OUTCOME_FAILED) {
            end = on_failed(d, now_us, job, piece);
        }
        else {
            end = on_moved(d, job, piece, task->kind, task->reason);
        }
    }
    if (end != BW_BOUND_COMPLETED)
        end_job(d, job, end,
                end == BW_BOUND_FAILED ? "a task failed for good"
                                       : "a task moved too often");
    else if (job->done_count == job->piece_count)
        end_job(d, job, BW_BOUND_COMPLETED, "all tasks are done");
    else
        replace_pieces(d, now_us, job, "no worker can end it in time");
}

static char *
copy_label(char *at, BwSpan *span)
{
    memcpy(at, span->base, span->size_bytes);
    span->base = at;
    return at + span->size_bytes;
}

static bool
copy_steps(BwBoundJob *job, const BwBoundRequest *request)
{
    size_t label_bytes = 1;
    uint32_t next = 0;
    char *at;

    for (uint32_t i = 0; i < request->step_count; i++) {
        label_bytes += request->steps[i].requirement.size_bytes +
                       request->steps[i].affinity.size_bytes;
        job->piece_count += request->steps[i].task_count;
    }
    job->step_count = request->step_count;
    job->steps = calloc(job->step_count + 1, sizeof(*job->steps));
    job->left = calloc(job->step_count + 1, sizeof(*job->left));
    job->pieces = calloc(job->piece_count + 1, sizeof(*job->pieces));
    job->labels = malloc(label_bytes);
    if (job->steps == NULL || job->left == NULL || job->pieces == NULL ||
        job->labels == NULL)
        return false;
    memcpy(job->steps, request->steps, job->step_count * sizeof(*job->steps));
    at = job->labels;
    for (uint32_t i = 0; i < job->step_count; i++) {
        BwBoundStep *step = &job->steps[i];

        if (step->requirement.size_bytes > 0)
            at = copy_label(at, &step->requirement);
        if (step->affinity.size_bytes > 0)
            at = copy_label(at, &step->affinity);
        if (step->declared_us > DECLARED_MAX_US)
            step->declared_us = DECLARED_MAX_US;
        job->left[i] = step->task_count;
        for (uint32_t j = 0; j < step->task_count; j++) {
            job->pieces[next].step = i;
            job->pieces[next++].index = j;
        }
    }
    return true;
}

/* The declared run time of the longest chain of steps. */
static uint64_t
longest_chain_us(const BwBoundJob *job)
{
    uint64_t ends_us[BW_STEPS_MAX] = {0};
    uint64_t longest_us = 0;

    for (uint32_t i = 0; i < job->step_count; i++) {
        uint64_t start_us = 0;

        for (uint32_t j = 0; j < i; j++) {
            if ((job->steps[i].after >> j & 1) != 0 && ends_us[j] > start_us)
                start_us = ends_us[j];
        }
        ends_us[i] = start_us + job->steps[i].declared_us;
        if (ends_us[i] > longest_us)
            longest_us = ends_us[i];
    }
    return longest_us;
}

static BwBoundJob *
make_job(BwDispatcher *d, uint64_t now_us, BwSpan name,
         const BwBoundRequest *request, const BwRoute *route,
         uint64_t deadline_us, void *data)
{
    BwBoundJob *job = calloc(1, sizeof(*job));

    if (job == NULL)
        return NULL;
    BwSpan_ToString(name, job->name, sizeof(job->name));
    strcpy(job->service, route->service);
    strcpy(job->route, route->name);
    job->priority = route->priority;
    job->attempts_max = route->attempts_max > 0 ? route->attempts_max : 1;
    job->arrived_us = now_us;
    job->deadline_us = deadline_us;
    job->data = data;
    job->spec_bytes = request->spec.size_bytes;
    job->spec = malloc(request->spec.size_bytes + 1);
    if (job->spec == NULL || !copy_steps(job, request) ||
        job->piece_count == 0) {
        free_job(job);
        return NULL;
    }
    memcpy(job->spec, request->spec.base, request->spec.size_bytes);
    job->due_us = now_us + route->target_us +
                  expected_us(d, job->route, longest_chain_us(job)) *
                      route->stretch_permille / 1000;
    job->ref = ++d->next_ref;
    return job;
}

/* Calls to workers carry the name as text. */
static bool
is_name(BwSpan name)
{
    for (uint32_t i = 0; i < name.size_bytes; i++) {
        if (name.base[i] <= ' ' || name.base[i] > '~')
            return false;
    }
    return name.size_bytes > 0 && name.size_bytes < BW_NAME_BYTES_MAX;
}

uint64_t
BwDispatcher_Submit(BwDispatcher *d, uint64_t now_us, BwSpan name,
                    const BwBoundRequest *request, const BwRoute *route,
                    uint64_t deadline_us, void *data)
{
    BwBoundJob *job = NULL;
    BwBoundJob *twin = BwDispatcher_FindName(d, name);
    uint64_t ref;

    d->counters.submitted++;
    if (twin == NULL && is_name(name) && HASH_COUNT(d->jobs) < d->limits.jobs)
        job = make_job(d, now_us, name, request, route, deadline_us, data);
    if (job == NULL) {
        d->counters.refused++;
        d->port->answer(d->ctx, data, BW_BOUND_REFUSED, RETRY_AFTER_MS);
        return 0;
    }
    ref = job->ref;
    HASH_ADD(hh, d->jobs, ref, sizeof(job->ref), job);
    HASH_ADD_KEYPTR(by_name, d->names, job->name, strlen(job->name), job);
    if (!is_runnable(d, job, now_us) ||
        !place_open(d, now_us, job, limit_of(job))) {
        end_job(d, job, BW_BOUND_EXPIRED, "no worker can end it in time");
        return 0;
    }
    return ref;
}

void
BwDispatcher_Withdraw(BwDispatcher *d, uint64_t now_us, uint64_t ref)
{
    BwBoundJob *job;

    (void)now_us;
    HASH_FIND(hh, d->jobs, &ref, sizeof(ref), job);
    if (job == NULL)
        return;
    d->counters.withdrawn++;
    d->port->log(d->ctx, "withdraw", job, NULL, 0, "the caller is gone");
    remove_job(d, job);
}

BwBoundJob *
BwDispatcher_FindName(BwDispatcher *d, BwSpan name)
{
    BwBoundJob *job;

    HASH_FIND(by_name, d->names, name.base, name.size_bytes, job);
    return job;
}

bool
BwBoundJob_IsRunning(const BwBoundJob *job)
{
    return job->was_placed;
}

uint32_t
BwDispatcher_CountWaiting(const BwDispatcher *d, const char *route)
{
    uint32_t count = 0;

    for (const BwBoundJob *job = d->jobs; job != NULL; job = job->hh.next)
        count += !job->was_placed && strcmp(job->route, route) == 0;
    return count;
}

/* -------------------------------------------------------- supervisors */

/* Lets tasks of earlier connections start elsewhere. */
static void
release_unknown(BwDispatcher *d, uint64_t now_us, BwView *view)
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
            is_alive = on_moved(d, job, piece, BW_OUTCOME_LOST, 0) ==
                           BW_BOUND_COMPLETED &&
                       is_alive;
            piece->avoid = NULL;
            is_freed = true;
        }
        if (!is_alive)
            end_job(d, job, BW_BOUND_EXPIRED, "a task moved too often");
        else if (is_freed)
            replace_pieces(d, now_us, job, "its worker was lost");
    }
}

static void
lose_link(BwDispatcher *d, uint64_t now_us, BwView *view)
{
    uint64_t session_us = view->answered_us + d->limits.session_us;
    uint64_t from_us = session_us > now_us ? session_us : now_us;
    uint64_t gone_us = from_us + GONE_MARGIN_US +
                       d->limits.lease_us * LEASE_DRIFT_PERMILLE / 1000;
    BwBoundJob *job, *next;

    view->peer = 0;
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
            run_us = expected_us(d, job->route,
                                 job->steps[piece->step].declared_us);
            is_late = is_late || view->gone_us + run_us > job->deadline_us;
        }
        if (is_late)
            end_job(d, job, BW_BOUND_EXPIRED, "its worker is silent");
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
    view->link = ++d->next_link;
    view->place_number = 0;
    view->in_flight_count = 0;
    view->is_usable = false;
    view->answered_us = 0;
}

void
BwDispatcher_PeerDown(BwDispatcher *d, uint64_t now_us, uint32_t peer)
{
    BwView *view = find_view(d, peer);

    if (view != NULL)
        lose_link(d, now_us, view);
}

static void
on_worker(BwDispatcher *d, uint64_t now_us, BwView *view,
          const BwWorkerState *state)
{
    char instance[BW_NAME_BYTES_MAX];

    BwSpan_ToString(state->instance, instance, sizeof(instance));
    if (strcmp(instance, view->instance) != 0) {
        view->failed_in_row = 0;
        view->ejected_until_us = 0;
    }
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
        release_unknown(d, now_us, view);
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
            take_load(view, message->u.worker.load);
        on_worker(d, now_us, view, &message->u.worker);
        break;
    case BW_MSG_OUTCOME:
        if (message->u.outcome.load_count > 0)
            take_load(view, message->u.outcome.load);
        on_outcome(d, now_us, view, &message->u.outcome);
        break;
    case BW_MSG_SESSION:
        if (message->u.session.load_count > 0)
            take_load(view, message->u.session.load);
        view->answered_us = now_us;
        answer.u.session.asked_us = message->u.session.asked_us;
        d->port->send(d->ctx, peer, &answer);
        break;
    default:
        break;
    }
}

void
BwDispatcher_Tick(BwDispatcher *d, uint64_t now_us)
{
    BwBoundJob *job, *next;

    if (now_us - d->anchored_us >= ANCHOR_US) {
        d->anchored_us = now_us;
        anchor_paces(d);
    }
    for (BwView *view = d->views; view != NULL; view = view->hh.next) {
        if (view->gone_us != 0 && now_us >= view->gone_us)
            release_unknown(d, now_us, view);
    }
    HASH_ITER(hh, d->jobs, job, next)
    {
        if (now_us >= job->deadline_us)
            end_job(d, job, BW_BOUND_EXPIRED, "the deadline passed");
    }
}

void
BwDispatcher_EndAll(BwDispatcher *d)
{
    BwBoundJob *job, *next;

    HASH_ITER(hh, d->jobs, job, next)
    {
        end_job(d, job, BW_BOUND_EXPIRED, "the process stops");
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

void
BwDispatcher_Init(BwDispatcher *d, const BwDispatcherLimits *limits,
                  const BwDispatcherPort *port, void *ctx)
{
    memset(d, 0, sizeof(*d));
    d->limits = *limits;
    d->port = port;
    d->ctx = ctx;
}

void
BwDispatcher_Finish(BwDispatcher *d)
{
    BwBoundJob *job, *next_job;
    BwView *view, *next_view;
    BwRoutePace *pace, *next_pace;

    HASH_ITER(hh, d->jobs, job, next_job)
    {
        HASH_DELETE(hh, d->jobs, job);
        HASH_DELETE(by_name, d->names, job);
        free_job(job);
    }
    HASH_ITER(hh, d->views, view, next_view)
    {
        HASH_DEL(d->views, view);
        free(view);
    }
    HASH_ITER(hh, d->paces, pace, next_pace)
    {
        HASH_DEL(d->paces, pace);
        free(pace);
    }
}
