/* dispatcher.c -- the home of jobs that are bound to their caller

   A job is copied when it is taken and lives until its one answer or until
   its caller is gone.  It is placed whole or refused whole (boundplace.c);
   later only single tasks move, and the job ends when one failed or moved too
   often or cannot be in time.  What is known of the workers is in views.c.
*/

#include <stdlib.h>
#include <string.h>

#include "boundjob.h"
#include "brasswing.h"

#define MOVES_MAX 24
#define ANCHOR_US 1000000
#define RETRY_AFTER_MS 1000 /* when nothing is foreseen */
#define RETRY_AFTER_MS_MAX 60000
#define DECLARED_MAX_US 86400000000ull /* sums of more could overflow */

/* --------------------------------------------------------------- ends */

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

/* What is foreseen to end late would be in time once so much more is done. */
static uint32_t
retry_after_ms(const BwBoundJob *job)
{
    uint64_t after_ms = (job->late_us + 999) / 1000;

    if (after_ms == 0)
        return RETRY_AFTER_MS;
    return (uint32_t)(after_ms < RETRY_AFTER_MS_MAX ? after_ms
                                                    : RETRY_AFTER_MS_MAX);
}

void
BwDispatcher_EndJob(BwDispatcher *d, BwBoundJob *job, BwBoundEnd end,
                    const char *reason)
{
    void *data = job->data;
    uint32_t after_ms = retry_after_ms(job);

    if (end == BW_BOUND_EXPIRED && !has_started(job))
        end = BW_BOUND_REFUSED;
    d->counters.completed += end == BW_BOUND_COMPLETED;
    d->counters.failed += end == BW_BOUND_FAILED;
    d->counters.refused += end == BW_BOUND_REFUSED;
    d->counters.expired += end == BW_BOUND_EXPIRED;
    d->port->log(d->ctx, "end", job, NULL, (uint32_t)end, reason);
    remove_job(d, job);
    if (data != NULL)
        d->port->answer(d->ctx, data, end,
                        end == BW_BOUND_REFUSED ? after_ms : 0);
}

void
BwDispatcher_ReplacePieces(BwDispatcher *d, uint64_t now_us, BwBoundJob *job,
                           const char *reason)
{
    uint64_t limit_us = job->deadline_us;

    /* Declined by all: the job is where it was before it was taken. */
    if (!has_started(job)) {
        job->was_placed = false;
        limit_us = BwBoundPlace_LimitOf(job);
    }
    if (!BwBoundPlace_PlaceOpen(d, now_us, job, limit_us))
        BwDispatcher_EndJob(d, job, BW_BOUND_EXPIRED, reason);
}

/* ----------------------------------------------------------- outcomes */

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
    piece->state = BW_PIECE_DONE;
    piece->ran_us = ran_us;
    BwViews_LearnRatio(d, job, piece);
    job->left[piece->step]--;
    if (++job->done_count == job->piece_count)
        BwViews_LearnPaces(job);
}

/* How a job ends that a task cannot go on with; COMPLETED while it can.  The
   account came with the outcome, so it counts this failure. */
static BwBoundEnd
on_failed(BwBoundJob *job, BwPiece *piece)
{
    bool is_suspect =
        BwOutcomes_HasFailedBefore(&piece->view->health.outcomes);

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

BwBoundEnd
BwDispatcher_MovePiece(BwDispatcher *d, BwBoundJob *job, BwPiece *piece,
                       uint32_t kind, uint32_t reason)
{
    job->may_have_run |= kind != BW_OUTCOME_NOT_RUN;
    piece->state = BW_PIECE_WAITING;
    piece->avoid = reason == BW_DECLINE_BUSY ? NULL : piece->view;
    piece->view = NULL;
    d->counters.bounced += kind == BW_OUTCOME_NOT_RUN;
    d->counters.lost += kind == BW_OUTCOME_LOST;
    return ++piece->moves < MOVES_MAX ? BW_BOUND_COMPLETED : BW_BOUND_EXPIRED;
}

void
BwDispatcher_TakeOutcome(BwDispatcher *d, uint64_t now_us, BwView *view,
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
            end = on_failed(job, piece);
        }
        else {
            end = BwDispatcher_MovePiece(d, job, piece, task->kind,
                                         task->reason);
        }
    }
    if (end != BW_BOUND_COMPLETED)
        BwDispatcher_EndJob(d, job, end,
                            end == BW_BOUND_FAILED ? "a task failed for good"
                                                   : "a task moved too often");
    else if (job->done_count == job->piece_count)
        BwDispatcher_EndJob(d, job, BW_BOUND_COMPLETED, "all tasks are done");
    else
        BwDispatcher_ReplacePieces(d, now_us, job,
                                   "no worker can end it in time");
}

/* --------------------------------------------------------------- jobs */

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
                  BwViews_ExpectedUs(d, job->route, longest_chain_us(job)) *
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
    if (!BwBoundPlace_IsRunnable(d, job, now_us) ||
        !BwBoundPlace_PlaceOpen(d, now_us, job, BwBoundPlace_LimitOf(job))) {
        BwDispatcher_EndJob(d, job, BW_BOUND_EXPIRED,
                            "no worker can end it in time");
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

/* --------------------------------------------------------------- time */

void
BwDispatcher_Tick(BwDispatcher *d, uint64_t now_us)
{
    BwBoundJob *job, *next;

    if (now_us - d->anchored_us >= ANCHOR_US) {
        d->anchored_us = now_us;
        BwViews_AnchorPaces(d);
    }
    for (BwView *view = d->views; view != NULL; view = view->hh.next) {
        if (view->gone_us != 0 && now_us >= view->gone_us)
            BwViews_ReleaseUnknown(d, now_us, view);
        BwViews_Judge(d, now_us, view);
    }
    BwViews_DropOld(d, now_us);
    HASH_ITER(hh, d->jobs, job, next)
    {
        if (now_us >= job->deadline_us)
            BwDispatcher_EndJob(d, job, BW_BOUND_EXPIRED,
                                "the deadline passed");
    }
}

void
BwDispatcher_EndAll(BwDispatcher *d)
{
    BwBoundJob *job, *next;

    HASH_ITER(hh, d->jobs, job, next)
    {
        BwDispatcher_EndJob(d, job, BW_BOUND_EXPIRED, "the process stops");
    }
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
    HASH_CLEAR(by_peer, d->peers);
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
