/* boundplace.c -- where the tasks of a bound job run

   Placement looks at every worker that fits and takes the one expected to end
   the task first: its foreseen wait, from the account of room and queue that
   came with its supervisor's last answer less what is under way there, and
   the run time at its pace.  All that may start is assigned before anything
   is sent, so a job is placed whole or not at all.  Looking at all workers
   costs a step for each; a dispatcher is connected to a few hundred at most.
*/

#include <stdlib.h>
#include <string.h>

#include "boundjob.h"
#include "brasswing.h"
#include "pace.h"
#include "room.h"

#define RELEASE_MIN_US 5000 /* until a full worker frees room */
#define BOUNCES_MAX 3       /* after which a task waits at a worker */
#define PATIENCE_US 20000   /* beyond twice the foreseen wait */
#define FAR_PERMILLE 1500
#define CROWDED_PERMILLE 100
#define URGENT_LIMIT_PERMILLE 1200
#define LIMIT_PERMILLE 850
#define NEVER UINT64_MAX

/* ---------------------------------------------------------- foresight */

/* One that is probed takes a single task. */
static bool
is_idle(const BwView *view)
{
    return view->in_flight_count == 0 &&
           BwRoom_Fits(&view->capacity, &view->free);
}

static bool
view_takes(const BwView *view)
{
    return view->peer != 0 && view->is_usable && view->answered_us != 0 &&
           !view->health.is_ejected &&
           (!view->health.is_probing || is_idle(view));
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
    return BwLabel_IsMet(label, view->labels, view->label_count);
}

static uint64_t
view_pace(const BwView *view)
{
    return view->slow_permille > view->pace_permille ? view->slow_permille
                                                     : view->pace_permille;
}

static uint64_t
clip(uint64_t from_us, uint64_t now_us)
{
    return from_us > now_us ? from_us - now_us : 0;
}

/* What would become of a task at a view. */
typedef struct Foresight {
    uint64_t wait_us; /* for room */
    uint64_t end_us;  /* NEVER when the view cannot take it */
    uint64_t cost_us; /* time, and a part that spreads load */
} Foresight;

static bool
is_suited(const BwBoundJob *job, const BwPiece *piece, const BwView *view)
{
    const BwBoundStep *step = &job->steps[piece->step];

    return view_takes(view) && strcmp(view->service, job->service) == 0 &&
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

    if (!is_suited(job, piece, view))
        return foresight;
    room = BwView_Room(view, job->priority, &ahead);
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

/* ------------------------------------------------------------- choice */

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

/* Picks the view that ends the task first, or NULL when none ends it by
   `limit_us`; *late_us is then by how much.  The one to avoid is taken when
   there is no other. */
static BwView *
pick_view(BwDispatcher *d, const BwBoundJob *job, BwPiece *piece,
          uint64_t run_us, uint64_t now_us, uint64_t limit_us,
          uint64_t *late_us)
{
    BwView *best = NULL, *last = NULL;
    uint64_t soonest_us = NEVER;
    Foresight least = {0, NEVER, NEVER}, last_least = {0, NEVER, NEVER};

    for (BwView *view = d->views; view != NULL; view = view->hh.next) {
        Foresight foresight = foresee(job, piece, view, run_us, now_us);

        if (foresight.end_us < soonest_us)
            soonest_us = foresight.end_us;
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
    if (best == NULL)
        *late_us = soonest_us == NEVER ? 0 : clip(soonest_us, limit_us);
    piece->wait_us = least.wait_us;
    if (least.wait_us > 0 || piece->moves >= BOUNCES_MAX)
        piece->wait_us = 2 * least.wait_us + PATIENCE_US;
    return best;
}

/* ----------------------------------------------------------- messages */

uint64_t
BwBoundPlace_LimitOf(const BwBoundJob *job)
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
step_run_us(BwDispatcher *d, const BwBoundJob *job, uint32_t step)
{
    return BwViews_ExpectedUs(d, job->route, job->steps[step].declared_us);
}

/* Returns the supervisor's clock, at most: a PLACE renews the session as if it
   had been asked for now, since without tasks it is asked for rarely. */
static uint64_t
supervisor_clock(const BwView *view, uint64_t now_us)
{
    return view->clock_us +
           (now_us - view->asked_us) * 1000 / BW_LEASE_DRIFT_PERMILLE;
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
    place->asked_us = supervisor_clock(view, now_us);
    view->answered_us = now_us;
    place->expected_us = run_us;
    place->due_in_us = clip(BwBoundPlace_LimitOf(job), now_us + run_us);
    place->deadline_in_us = clip(job->deadline_us, now_us);
    place->tasks = tasks;
    place->task_count = count;
    job->was_placed = true;
    d->counters.placed += count;
    d->port->log(d->ctx, "place", job, view, count, "ends first");
    d->port->send(d->ctx, view->peer, &message);
    free(tasks);
}

/* --------------------------------------------------------- assignment */

static bool
is_step_open(const BwBoundJob *job, uint32_t step)
{
    for (uint32_t i = 0; i < step; i++) {
        if ((job->steps[step].after >> i & 1) != 0 && job->left[i] > 0)
            return false;
    }
    return true;
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
        piece->view =
            pick_view(d, job, piece, run_us, now_us, limit_us, &job->late_us);
        if (piece->view == NULL)
            return false;
        BwView_Reserve(piece->view, room);
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
        BwView_Unreserve(piece->view, room);
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

bool
BwBoundPlace_PlaceOpen(BwDispatcher *d, uint64_t now_us, BwBoundJob *job,
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

bool
BwBoundPlace_IsRunnable(BwDispatcher *d, const BwBoundJob *job,
                        uint64_t now_us)
{
    uint32_t first = 0;
    uint64_t late_us;

    for (uint32_t step = 0; step < job->step_count; step++) {
        count_there(d, job, step);
        if (job->left[step] > 0 &&
            pick_view(d, job, &job->pieces[first], step_run_us(d, job, step),
                      now_us, NEVER, &late_us) == NULL)
            return false;
        first += job->left[step];
    }
    return true;
}
