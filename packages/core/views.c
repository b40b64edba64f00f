/* views.c -- what a dispatcher knows of supervisors and workers

   A view holds the last load report of a supervisor and the tasks that were
   sent to it since.  It is kept for 20 minutes after the connection ends, so
   that the worker's pace is not lost, and as long as a job refers to it.

   Tasks that were placed over a connection that has ended may still run.  They
   are requeued when the session and the worker's lease must have expired, or
   when the supervisor reports that none is left.  Workers that fail are
   ejected and probed by the rules of health.c.

   The pace of a worker against the others is learnt from jobs whose tasks ran
   on several workers (pace.c).

   dispatcher.c and boundplace.c call these functions; the connections and
   messages come from the daemon's dispatcher role.
*/

#include <stdlib.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "boundcrash.h"
#include "boundjob.h"
#include "brasswing.h"
#include "pace.h"
#include "resources.h"

#define PACES_NORMALIZED_MAX 256
/* How long a view without a connection is kept. */
#define VIEW_RETENTION_US 1200000000ull
/* Time after the loss of the last worker in which others may reconnect: a few
   attempts to dial and the messages of a new connection. */
#define RECONNECT_US 500000

static const BwEjectionRule health_rule = {
    .failures_times_peers = 3,
    .ejected_share_percent = 50,
    .backoff_first_us = 3000000,
    .backoff_last_us = 3000000,
};

/* --------------------------------------------------------------- paces */

void
BwViews_UpdatePaces(const BwBoundJob *job)
{
    BwPaceSample *samples = malloc(job->task_count * sizeof(*samples));

    if (samples == NULL)
        return;
    for (uint32_t step = 0; step < job->step_count; step++) {
        uint32_t count = 0;

        for (uint32_t i = 0; i < job->task_count; i++) {
            const BwBoundTask *task = &job->tasks[i];

            if (task->step != step || task->state != BW_BOUND_TASK_DONE)
                continue;
            samples[count].pace_permille = &task->view->pace_permille;
            samples[count++].ran_us = task->ran_us;
        }
        BwPace_Compare(samples, count);
    }
    free(samples);
}

void
BwViews_NormalizePaces(BwDispatcher *d)
{
    uint32_t *worker_paces[PACES_NORMALIZED_MAX];
    uint32_t count = 0;

    for (BwSupervisorView *view = d->views;
         view != NULL && count < PACES_NORMALIZED_MAX; view = view->hh.next) {
        if (view->peer != 0)
            worker_paces[count++] = &view->pace_permille;
    }
    BwPace_Normalize(worker_paces, count);
}

/* ------------------------------------------------------- load reports */

BwResources
BwViews_FreeResources(const BwSupervisorView *view, uint32_t priority,
                      uint32_t *tasks_ahead)
{
    BwResources left = view->free;

    *tasks_ahead = priority == 0 ? view->queued_urgent : view->queued;
    for (uint32_t i = 0; i < view->in_flight_count; i++) {
        BwResources_Subtract(&left, &view->in_flight[i].resources);
        *tasks_ahead += view->in_flight[i].task_count;
    }
    return left;
}

/* Returns the entry of the next PLACE to the view.  When all entries are in
   use, that PLACE shares the last entry with an earlier one, and the tasks of
   both count as in flight until the supervisor has read the later PLACE. */
static BwInFlight *
next_in_flight(BwSupervisorView *view)
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
BwViews_AddInFlight(BwSupervisorView *view, const BwResources *need)
{
    BwInFlight *sent = next_in_flight(view);

    BwResources_Add(&sent->resources, need);
    sent->task_count++;
}

void
BwViews_RemoveInFlight(BwSupervisorView *view, const BwResources *need)
{
    BwInFlight *sent = next_in_flight(view);

    BwResources_Subtract(&sent->resources, need);
    sent->task_count--;
}

void
BwViews_SumLoad(BwDispatcher *d, const char *service, uint64_t now_us,
                uint32_t *free_permille, uint64_t *report_age_us)
{
    uint64_t free_milli = 0, capacity_milli = 0, age_us = 0, count = 0;

    uint32_t all = HASH_COUNT(d->views);
    uint32_t first =
        all > BW_COMPARED_FULL_MAX ? BwRandom_Below(&d->random, all) : 0;

    for (uint32_t i = 0; i < all && i < BW_COMPARED_FULL_MAX; i++) {
        const BwSupervisorView *view = d->view_table[(first + i) % all];
        uint32_t tasks_ahead;

        if (view->peer == 0 || !view->is_usable || view->is_evacuated ||
            view->reported_us == 0 || strcmp(view->service, service) != 0)
            continue;
        free_milli += BwViews_FreeResources(view, 0, &tasks_ahead).cpu_milli;
        capacity_milli += view->capacity.cpu_milli;
        age_us += now_us - view->reported_us;
        count++;
    }
    *free_permille = capacity_milli > 0
                         ? (uint32_t)(free_milli * 1000 / capacity_milli)
                         : 0;
    *report_age_us = count > 0 ? age_us / count : 0;
}

void
BwViews_EvaluateHealth(BwDispatcher *d, uint64_t now_us,
                       BwSupervisorView *view)
{
    BwHealth *health = &view->health;
    BwHealthPeers peers = {0};

    if (!BwHealth_NeedsEvaluation(health))
        return;
    for (const BwSupervisorView *other = d->views; other != NULL;
         other = other->hh.next) {
        if (other != view && other->peer != 0 &&
            strcmp(other->service, view->service) == 0)
            BwHealthPeers_Add(&peers, &other->health);
    }
    if (!BwHealth_Evaluate(health, &peers, &health_rule, NULL, now_us))
        return;
    if (health->is_ejected)
        d->port->log(d->ctx, "eject", NULL, view, 1,
                     "it fails tasks and its peers do not");
    else
        d->port->log(d->ctx, "judge", NULL, view, 1,
                     health->is_probing ? "one task at a time, as a probe"
                                        : "it is healthy again");
}

static void
apply_load(BwDispatcher *d, uint64_t now_us, BwSupervisorView *view,
           const BwWorkerLoad *load)
{
    BwOutcomes outcomes = {load->ended, load->failed_permille, 0};
    uint32_t kept_count = 0;

    view->reported_us = now_us;
    view->free = load->free;
    view->queued = load->queued;
    view->queued_urgent = load->queued_urgent;
    view->release_in_us = load->release_in_us;
    view->slow_permille = load->slow_permille;
    for (uint32_t i = 0; i < view->in_flight_count; i++) {
        if (view->in_flight[i].number > load->place_seen)
            view->in_flight[kept_count++] = view->in_flight[i];
    }
    view->in_flight_count = kept_count;
    BwHealth_Update(&view->health, &outcomes);
    BwViews_EvaluateHealth(d, now_us, view);
}

/* -------------------------------------------------------------- table */

/* Adds a view to the table of all views.  Returns false without memory. */
static bool
append_view(BwDispatcher *d, BwSupervisorView *view)
{
    uint32_t count = HASH_COUNT(d->views);

    if (count == d->view_table_size) {
        uint32_t size = count > 0 ? 2 * count : 16;
        BwSupervisorView **table =
            realloc(d->view_table, size * sizeof(BwSupervisorView *));

        if (table == NULL)
            return false;
        d->view_table = table;
        d->view_table_size = size;
    }
    view->table_index = count;
    d->view_table[count] = view;
    HASH_ADD_STR(d->views, name, view);
    return true;
}

static void
remove_view(BwDispatcher *d, BwSupervisorView *view)
{
    BwSupervisorView *last = d->view_table[HASH_COUNT(d->views) - 1];

    last->table_index = view->table_index;
    d->view_table[last->table_index] = last;
    HASH_DEL(d->views, view);
    free(view);
}

/* -------------------------------------------------------- connections */

/* Whether a worker of the service is connected and its session is open. */
static bool
has_serving_worker(const BwDispatcher *d, const char *service)
{
    for (const BwSupervisorView *view = d->views_by_peer; view != NULL;
         view = view->by_peer.next) {
        if (view->session_renewed_us != 0 &&
            strcmp(view->service, service) == 0)
            return true;
    }
    return false;
}

static bool
was_just_lost(const BwSupervisorView *view, uint64_t now_us)
{
    return view->disconnected_us != 0 &&
           now_us < view->disconnected_us + RECONNECT_US;
}

void
BwViews_RequeueUnknown(BwDispatcher *d, uint64_t now_us,
                       BwSupervisorView *view)
{
    BwBoundJob *job, *next;

    if (was_just_lost(view, now_us) && !has_serving_worker(d, view->service)) {
        view->gone_us = now_us;
        return;
    }
    view->gone_us = 0;
    HASH_ITER(hh, d->jobs, job, next)
    {
        bool has_requeued = false;
        bool can_go_on = true;

        for (uint32_t i = 0; i < job->task_count; i++) {
            BwBoundTask *task = &job->tasks[i];

            if (task->view != view || task->state != BW_BOUND_TASK_UNKNOWN)
                continue;
            /* BW_BOUND_COMPLETED: it was requeued, the job goes on. */
            can_go_on = BwDispatcher_RequeueTask(d, job, task, BW_OUTCOME_LOST,
                                                 0) == BW_BOUND_COMPLETED &&
                        can_go_on;
            task->avoided = NULL;
            has_requeued = true;
        }
        if (!can_go_on)
            BwDispatcher_EndJob(d, now_us, job, BW_BOUND_EXPIRED,
                                "a task was reassigned too many times");
        else if (has_requeued)
            BwDispatcher_PlaceRequeued(
                d, now_us, job, "no worker can end its lost tasks in time");
    }
}

bool
BwViews_AreReconnecting(const BwDispatcher *d, const char *service,
                        uint64_t now_us)
{
    if (has_serving_worker(d, service))
        return false;
    for (const BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next) {
        if (was_just_lost(view, now_us) && strcmp(view->service, service) == 0)
            return true;
    }
    return false;
}

static void
on_link_down(BwDispatcher *d, uint64_t now_us, BwSupervisorView *view)
{
    uint64_t session_us = view->session_renewed_us + d->limits.session_us;
    uint64_t from_us = session_us > now_us ? session_us : now_us;
    uint64_t gone_us = from_us + d->limits.stop_us +
                       d->limits.lease_us * BW_LEASE_DRIFT_PERMILLE / 1000;
    BwBoundJob *job, *next;

    HASH_DELETE(by_peer, d->views_by_peer, view);
    view->peer = 0;
    view->disconnected_us = now_us;
    view->is_usable = false;
    view->in_flight_count = 0;
    /* Tasks of an earlier connection may run for longer. */
    if (gone_us > view->gone_us)
        view->gone_us = gone_us;
    HASH_ITER(hh, d->jobs, job, next)
    {
        bool is_late = false;

        for (uint32_t i = 0; i < job->task_count; i++) {
            BwBoundTask *task = &job->tasks[i];
            uint64_t run_us;

            if (task->view != view || task->state != BW_BOUND_TASK_PLACED)
                continue;
            task->state = BW_BOUND_TASK_UNKNOWN;
            run_us =
                BwRouteStats_ExpectedUs(&d->route_stats, job->route,
                                        job->steps[task->step].declared_us);
            is_late = is_late || view->gone_us + run_us > job->deadline_us;
        }
        if (is_late)
            BwDispatcher_EndJob(d, now_us, job, BW_BOUND_EXPIRED,
                                "a supervisor disconnected and its tasks "
                                "cannot run again in time");
    }
}

void
BwDispatcher_PeerUp(BwDispatcher *d, uint64_t now_us, uint32_t peer,
                    BwSpan name)
{
    char text[BW_NAME_BYTES_MAX];
    BwSupervisorView *view;

    BwSpan_ToString(name, text, sizeof(text));
    HASH_FIND_STR(d->views, text, view);
    if (view == NULL) {
        view = calloc(1, sizeof(*view));
        if (view == NULL)
            return;
        strcpy(view->name, text);
        view->pool_order = XXH3_64bits(text, strlen(text));
        view->pace_permille = BW_PACE_MEAN_PERMILLE;
        if (!append_view(d, view)) {
            free(view);
            return;
        }
    }
    else if (view->peer != 0) {
        on_link_down(d, now_us, view);
    }
    view->peer = peer;
    HASH_ADD(by_peer, d->views_by_peer, peer, sizeof(view->peer), view);
    view->link_generation = ++d->last_link_generation;
    view->place_number = 0;
    view->in_flight_count = 0;
    view->is_usable = false;
    view->session_renewed_us = 0;
    /* The supervisor may be a new process, whose count of ended tasks starts
       at 0. */
    view->health.outcomes.ended = 0;
    view->health.evaluated_ended = 0;
    view->supervisor_clock_us = 0;
    view->reported_us = 0;
}

static BwSupervisorView *
find_view(BwDispatcher *d, uint32_t peer)
{
    BwSupervisorView *view;

    HASH_FIND(by_peer, d->views_by_peer, &peer, sizeof(peer), view);
    return view;
}

void
BwDispatcher_PeerDown(BwDispatcher *d, uint64_t now_us, uint32_t peer)
{
    BwSupervisorView *view = find_view(d, peer);

    if (view != NULL)
        on_link_down(d, now_us, view);
}

static bool
is_referenced(const BwDispatcher *d, const BwSupervisorView *view)
{
    for (const BwBoundJob *job = d->jobs; job != NULL; job = job->hh.next) {
        for (uint32_t i = 0; i < job->task_count; i++) {
            if (job->tasks[i].view == view || job->tasks[i].avoided == view)
                return true;
        }
    }
    return false;
}

void
BwViews_EvictStale(BwDispatcher *d, uint64_t now_us)
{
    BwSupervisorView *view, *next;

    HASH_ITER(hh, d->views, view, next)
    {
        if (view->peer != 0 ||
            now_us <= view->disconnected_us + VIEW_RETENTION_US ||
            is_referenced(d, view))
            continue;
        remove_view(d, view);
    }
}

/* -------------------------------------------------------- evacuations */

/* Whether the supervisor follows another state of its failure domain than this
   dispatcher's, and that is the older one. */
static bool
is_unconfirmed(const BwDispatcher *d, const BwSupervisorView *view)
{
    return view->peer != 0 && view->domain[0] != '\0' &&
           view->evacuation_version < d->evacuations.version &&
           view->reports_evacuated != view->is_evacuated;
}

static void
update_evacuation(BwDispatcher *d, BwSupervisorView *view)
{
    BwMessage message = {.kind = BW_MSG_EVACUATE};

    view->is_evacuated = BwEvacuations_Contains(
        &d->evacuations, BwSpan_FromString(view->domain));
    if (!is_unconfirmed(d, view))
        return;
    message.u.evacuate.version = d->evacuations.version;
    message.u.evacuate.is_evacuated = view->is_evacuated;
    d->port->send(d->ctx, view->peer, &message);
}

void
BwDispatcher_SetEvacuations(BwDispatcher *d, const BwEvacuations *evacuations)
{
    d->evacuations = *evacuations;
    for (BwSupervisorView *view = d->views; view != NULL; view = view->hh.next)
        update_evacuation(d, view);
}

uint32_t
BwDispatcher_CountUnconfirmed(const BwDispatcher *d)
{
    uint32_t count = 0;

    for (const BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next)
        count += is_unconfirmed(d, view);
    return count;
}

/* ----------------------------------------------------------- messages */

static void
on_worker(BwDispatcher *d, uint64_t now_us, BwSupervisorView *view,
          const BwWorkerState *state)
{
    char instance[BW_NAME_BYTES_MAX];

    BwSpan_ToString(state->instance, instance, sizeof(instance));
    if (strcmp(instance, view->instance) != 0)
        memset(&view->health, 0, sizeof(view->health));
    strcpy(view->instance, instance);
    if (!BwSpan_Equal(state->service, BwSpan_FromString(view->service))) {
        view->is_in_pool = false;
        view->is_reserved = false;
    }
    BwSpan_ToString(state->service, view->service, sizeof(view->service));
    BwSpan_ToString(state->domain, view->domain, sizeof(view->domain));
    view->capacity = state->capacity;
    view->is_usable = state->is_leaving == 0;
    view->evacuation_version = state->evacuation_version;
    view->reports_evacuated = state->is_evacuated != 0;
    update_evacuation(d, view);
    BwBoundCrash_OnUsable(d, now_us, view);
    view->label_count = state->label_count < BW_LABELS_MAX ? state->label_count
                                                           : BW_LABELS_MAX;
    for (uint32_t i = 0; i < view->label_count; i++)
        BwSpan_ToString(state->labels[i].name, view->labels[i],
                        BW_NAME_BYTES_MAX);
    if (state->is_clear != 0)
        BwViews_RequeueUnknown(d, now_us, view);
}

void
BwDispatcher_OnMessage(BwDispatcher *d, uint64_t now_us, uint32_t peer,
                       const BwMessage *message)
{
    BwSupervisorView *view = find_view(d, peer);
    BwMessage answer = {.kind = BW_MSG_SESSION};

    if (view == NULL)
        return;
    switch (message->kind) {
    case BW_MSG_WORKER:
        if (message->u.worker.load_count > 0)
            apply_load(d, now_us, view, message->u.worker.load);
        on_worker(d, now_us, view, &message->u.worker);
        break;
    case BW_MSG_OUTCOME:
        if (message->u.outcome.load_count > 0)
            apply_load(d, now_us, view, message->u.outcome.load);
        BwDispatcher_OnOutcome(d, now_us, view, &message->u.outcome);
        break;
    case BW_MSG_CRASH:
        BwBoundCrash_OnReport(d, now_us, view, &message->u.crash);
        break;
    case BW_MSG_SESSION:
        if (message->u.session.load_count > 0)
            apply_load(d, now_us, view, message->u.session.load);
        view->session_renewed_us = now_us;
        view->supervisor_clock_us = message->u.session.requested_us;
        view->clock_read_us = now_us;
        answer.u.session.requested_us = message->u.session.requested_us;
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

    for (const BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next)
        count += view->peer != 0 && view->is_usable && !view->is_evacuated &&
                 view->session_renewed_us != 0;
    return count;
}
