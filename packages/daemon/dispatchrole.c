/* dispatchrole.c -- the role of a dispatcher: callers, routes, readiness

   Owns the callers' connections and passes their jobs to dispatcher.h, which
   decides.  The routes are those of routeconfig.h.
   node.c calls this role through BwDispatcherRole_Ops.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "brasswing.h"
#include "daemon.h"
#include "dispatcher.h"
#include "evacuationsync.h"
#include "jobcancels.h"
#include "jobmemory.h"
#include "node.h"
#include "nodestatus.h"
#include "routeconfig.h"
#include "routerecord.h"
#include "startuphold.h"

/* Limits what a readiness check may cost; it has no body. */
#define READY_BODY_BYTES_MAX 1024
/* A planned stop closes the callers' listener after this time, or
   CLOSE_MARGIN_US before its end.  By then the load balancer has noticed that
   this process is not ready. */
#define HTTP_CLOSE_DELAY_US 2500000
#define CLOSE_MARGIN_US 700000
/* Time before the end of a planned stop at which all jobs that still wait are
   answered. */
#define ANSWER_MARGIN_US 150000
/* Time before these last answers at which new requests are refused, at most a
   third of the stop. */
#define ACCEPT_MARGIN_US 1500000
/* A process that starts leaves its callers' connections waiting until it has a
   configuration, since it could only refuse them, but no longer than this. */
#define ACCEPT_WAIT_US 300000
/* For this time after its start it does not know all workers. */
#define FORMING_US 250000
#define DEFAULT_DEADLINE_US 30000000
#define DEADLINE_MAX_US 600000000
#define STATE_BYTES 64
#define CANCEL_RETRY_MS 1000
/* Refused requests are logged as counts, since many may come at once. */
#define REFUSAL_LOG_INTERVAL_US 200000

/* Reasons to refuse a request before it becomes a job. */
typedef enum RefusalReason {
    REFUSAL_NO_CONFIG,
    REFUSAL_STOPPING,
    REFUSAL_UNSUPPORTED,
    REFUSAL_NOT_ADMITTED,
    REFUSAL_COUNT
} RefusalReason;

static const char *const refusal_texts[REFUSAL_COUNT] = {
    [REFUSAL_NO_CONFIG] = "no configuration is in force yet",
    [REFUSAL_STOPPING] = "this dispatcher is stopping",
    [REFUSAL_UNSUPPORTED] = "a feature that is not implemented",
    [REFUSAL_NOT_ADMITTED] = "the name is in use or too many jobs wait",
};

/* A request that has not been answered.  `ref` is 0 until the dispatcher has
   accepted its job. */
typedef struct PendingRequest {
    BwExchange *exchange;
    uint64_t ref;
    char queue[BW_NAME_BYTES_MAX]; /* of a job */
    char name[BW_NAME_BYTES_MAX];
    bool is_cancel; /* a DELETE that other dispatchers are asked about */
    /* While it is held since no configuration is in force: */
    bool is_held;
    uint64_t held_until_us;
    BwHeldRequest held;
    struct PendingRequest *prev, *next; /* in Role.held */
} PendingRequest;

typedef struct Role {
    BwNode *node;
    BwHttpServer http; /* for callers */
    BwHttpServer ready;
    BwRouteConfig config;
    BwEvacuationSync evacuations;
    BwRouteRecord route_record;
    BwDispatcher dispatcher;
    BwJobMemory ended; /* jobs whose requests may come again */
    BwJobCancels cancels;
    uint64_t repeated; /* requests answered from it */
    uint64_t refusals[REFUSAL_COUNT];
    uint64_t refusals_logged[REFUSAL_COUNT];
    uint64_t refusals_logged_us;
    PendingRequest *held; /* list of requests */
    uint32_t held_count;
    uint64_t held_total;
    uint64_t started_us;
    bool is_accepting; /* connections of callers */
    bool is_http_closed;
} Role;

static void
on_routes_changed(void *ctx, const BwRoutes *routes)
{
    Role *role = ctx;

    BwRouteStats_Keep(&role->dispatcher.route_stats, routes);
    BwClassAdmission_Keep(&role->dispatcher.class_admissions, routes);
}

static void
on_evacuations_changed(void *ctx, const BwEvacuations *evacuations)
{
    Role *role = ctx;

    BwDispatcher_SetEvacuations(&role->dispatcher, evacuations);
}

/* ------------------------------------------------------------ callers */

static void
reply_text(BwExchange *exchange, int status, const char *text, uint32_t length)
{
    BwSpan body = {text, length};

    BwExchange_Reply(exchange, status, "application/json", body, 0);
}

/* Replies 410 for a job that is unknown here, because it has ended or never
   existed. */
static void
reply_unknown_job(BwExchange *exchange)
{
    reply_text(exchange, 410, "{}", 2);
}

static void
reply_state(Role *role, BwExchange *exchange, BwBoundState state)
{
    char text[STATE_BYTES];

    reply_text(exchange, 200, text,
               role->node->driver->write_state(state, text, sizeof(text)));
}

static void
on_answer(void *ctx, void *data, BwBoundEnd end, uint32_t retry_after_ms)
{
    Role *role = ctx;
    PendingRequest *pending = data;
    BwExchange *exchange = pending->exchange;

    if (end == BW_BOUND_COMPLETED || end == BW_BOUND_FAILED)
        BwJobMemory_Add(
            &role->ended, BwClock_Now(), BwSpan_FromString(pending->queue),
            BwSpan_FromString(pending->name),
            end == BW_BOUND_COMPLETED ? BW_STATE_COMPLETED : BW_STATE_FAILED);
    exchange->data = NULL;
    free(pending);
    switch (end) {
    case BW_BOUND_COMPLETED:
        reply_state(role, exchange, BW_STATE_COMPLETED);
        break;
    case BW_BOUND_REFUSED:
        BwDaemon_ReplyRetryAfter(
            exchange, BW_ERR_OVERLOADED,
            "no worker can complete the job in time; retry later",
            retry_after_ms);
        break;
    case BW_BOUND_FAILED:
        reply_state(role, exchange, BW_STATE_FAILED);
        break;
    case BW_BOUND_EXPIRED:
        BwDaemon_ReplyError(exchange, BW_ERR_TIMED_OUT_RUNNING,
                            "the job cannot complete by its deadline; some "
                            "of its tasks may have run");
        break;
    }
}

static uint64_t
min_us(uint64_t a_us, uint64_t b_us)
{
    return a_us < b_us ? a_us : b_us;
}

static uint64_t
planned_stop_us(const BwNode *node)
{
    return node->settings.limits.stop_ms * 1000;
}

/* Returns when a planned stop answers the jobs that still wait, or UINT64_MAX
   when no stop is in progress. */
static uint64_t
last_answer_us(const BwNode *node)
{
    if (!node->is_stopping)
        return UINT64_MAX;
    return node->stop_began_us + planned_stop_us(node) -
           min_us(ANSWER_MARGIN_US, planned_stop_us(node) / 2);
}

/* Returns how long the caller waits for the answer, or 0 if it does not
   say. */
static uint64_t
read_allowed_us(const Role *role, const BwExchange *exchange)
{
    BwSpan text =
        BwExchange_Header(exchange, role->node->driver->deadline_header);
    char number[24] = {0};
    uint64_t allowed_ms;

    if (text.size_bytes == 0 || text.size_bytes >= sizeof(number))
        return 0;
    memcpy(number, text.base, text.size_bytes);
    allowed_ms = strtoull(number, NULL, 10);
    return allowed_ms < DEADLINE_MAX_US / 1000 ? allowed_ms * 1000
                                               : DEADLINE_MAX_US;
}

/* Returns the caller's deadline, or the end of this process if that is
   earlier: a job that cannot end by then is refused, so that its caller goes
   to another dispatcher. */
static uint64_t
job_deadline_us(const Role *role, uint64_t now_us, uint64_t allowed_us)
{
    uint64_t deadline_us =
        now_us + (allowed_us > 0 ? allowed_us : DEFAULT_DEADLINE_US);

    return min_us(deadline_us, last_answer_us(role->node));
}

/* Answers a request whose job has ended with the job's end. */
static bool
answer_repeated(Role *role, BwExchange *exchange, const BwRoute *route,
                BwSpan name)
{
    const BwEndedJob *ended = BwJobMemory_Find(
        &role->ended, BwClock_Now(), BwSpan_FromString(route->name), name);

    if (ended == NULL)
        return false;
    role->repeated++;
    reply_state(role, exchange, ended->state);
    return true;
}

/* `held_us` is how long the request was held before. */
static void
submit(Role *role, BwExchange *exchange, const BwRoute *route, BwSpan name,
       uint64_t held_us)
{
    uint64_t now_us = BwClock_Now();
    uint64_t allowed_us = read_allowed_us(role, exchange);
    const BwDriver *driver = role->node->driver;
    const char *fault = "";
    BwBoundRequest request;
    PendingRequest *pending;
    uint64_t ref;

    if (answer_repeated(role, exchange, route, name))
        return;
    allowed_us -= min_us(allowed_us, held_us);
    if (name.size_bytes >= BW_NAME_BYTES_MAX ||
        !driver->read_request(exchange->body, &request, &fault)) {
        BwDaemon_ReplyError(exchange, BW_ERR_BAD_REQUEST, fault);
        if (name.size_bytes < BW_NAME_BYTES_MAX)
            driver->release(request.memory);
        return;
    }
    pending = calloc(1, sizeof(*pending));
    if (!request.ends_with_connection || request.is_unsupported ||
        pending == NULL) {
        role->refusals[REFUSAL_UNSUPPORTED]++;
        BwDaemon_ReplyError(exchange, BW_ERR_OVERLOADED,
                            "only bound jobs of plain steps are accepted");
        free(pending);
    }
    else {
        pending->exchange = exchange;
        strcpy(pending->queue, route->name);
        BwSpan_ToString(name, pending->name, sizeof(pending->name));
        exchange->data = pending;
        ref = BwDispatcher_Submit(
            &role->dispatcher, now_us, name, &request, route,
            job_deadline_us(role, now_us, allowed_us), allowed_us, pending);
        if (ref != 0)
            pending->ref = ref;
    }
    driver->release(request.memory);
}

/* Returns the job of that queue and name, or NULL. */
static BwBoundJob *
find_job(Role *role, BwSpan queue, BwSpan name)
{
    BwBoundJob *job = BwDispatcher_FindName(&role->dispatcher, name);

    return job != NULL && BwSpan_Equal(queue, BwSpan_FromString(job->route))
               ? job
               : NULL;
}

static void
serve_get(Role *role, BwExchange *exchange, const BwRoute *route, BwSpan name)
{
    const BwDriver *driver = role->node->driver;
    const BwBoundJob *job;
    char text[STATE_BYTES];

    if (name.size_bytes == 0) {
        uint32_t count =
            BwDispatcher_CountWaiting(&role->dispatcher, route->name);

        reply_text(exchange, 200, text,
                   driver->write_waiting(count, text, sizeof(text)));
        return;
    }
    job = find_job(role, BwSpan_FromString(route->name), name);
    if (job == NULL)
        reply_unknown_job(exchange);
    else
        reply_state(role, exchange,
                    BwBoundJob_IsRunning(job) ? BW_STATE_RUNNING
                                              : BW_STATE_QUEUED);
}

/* ------------------------------------------------------------ cancels */

/* Ends a job that its caller, or another one of its queue, has cancelled, and
   answers its request. */
static void
cancel_job(Role *role, BwBoundJob *job)
{
    PendingRequest *pending = job->data;
    uint64_t now_us = BwClock_Now();

    BwJobMemory_Add(&role->ended, now_us, BwSpan_FromString(job->route),
                    BwSpan_FromString(job->name), BW_STATE_CANCELLED);
    BwJobCancels_Announce(&role->cancels, BwSpan_FromString(job->route),
                          BwSpan_FromString(job->name));
    BwDispatcher_Withdraw(&role->dispatcher, now_us, job->ref);
    pending->exchange->data = NULL;
    reply_state(role, pending->exchange, BW_STATE_CANCELLED);
    free(pending);
}

static bool
on_cancel(void *ctx, BwSpan queue, BwSpan name)
{
    Role *role = ctx;
    BwBoundJob *job = find_job(role, queue, name);
    const BwEndedJob *ended =
        BwJobMemory_Find(&role->ended, BwClock_Now(), queue, name);

    if (job != NULL)
        cancel_job(role, job);
    return job != NULL ||
           (ended != NULL && ended->state == BW_STATE_CANCELLED);
}

/* A job of the same queue and name here is the same job. */
static void
on_cancelled_elsewhere(void *ctx, BwSpan queue, BwSpan name)
{
    Role *role = ctx;
    BwBoundJob *job = find_job(role, queue, name);

    if (job != NULL)
        cancel_job(role, job);
    else
        BwJobMemory_Add(&role->ended, BwClock_Now(), queue, name,
                        BW_STATE_CANCELLED);
}

static void
on_cancel_answered(void *ctx, void *data, BwCancelResult result)
{
    Role *role = ctx;
    PendingRequest *pending = data;
    BwExchange *exchange = pending->exchange;

    /* The announcement comes over another connection, or not at all. */
    if (result == BW_CANCEL_DONE)
        on_cancelled_elsewhere(role, BwSpan_FromString(pending->queue),
                               BwSpan_FromString(pending->name));
    exchange->data = NULL;
    free(pending);
    if (result == BW_CANCEL_DONE)
        reply_state(role, exchange, BW_STATE_CANCELLED);
    else
        reply_unknown_job(exchange);
}

static const BwJobCancelEvents cancel_events = {
    on_cancel, on_cancelled_elsewhere, on_cancel_answered};

/* The job may be another dispatcher's. */
static void
ask_others(Role *role, BwExchange *exchange, const BwRoute *route, BwSpan name)
{
    PendingRequest *pending = calloc(1, sizeof(*pending));

    if (pending != NULL) {
        pending->exchange = exchange;
        pending->is_cancel = true;
        strcpy(pending->queue, route->name);
        BwSpan_ToString(name, pending->name, sizeof(pending->name));
        exchange->data = pending;
        if (BwJobCancels_Ask(&role->cancels, BwClock_Now(),
                             BwSpan_FromString(route->name), name, pending))
            return;
        exchange->data = NULL;
        free(pending);
    }
    BwDaemon_ReplyRetryAfter(exchange, BW_ERR_OVERLOADED,
                             "too many jobs that are unknown here are "
                             "cancelled; retry later",
                             CANCEL_RETRY_MS);
}

static void
serve_delete(Role *role, BwExchange *exchange, const BwRoute *route,
             BwSpan name)
{
    BwBoundJob *job = find_job(role, BwSpan_FromString(route->name), name);

    if (job != NULL) {
        cancel_job(role, job);
        reply_state(role, exchange, BW_STATE_CANCELLED);
    }
    else if (name.size_bytes >= BW_NAME_BYTES_MAX ||
             BwJobMemory_Find(&role->ended, BwClock_Now(),
                              BwSpan_FromString(route->name), name) != NULL)
        reply_unknown_job(exchange);
    else
        ask_others(role, exchange, route, name);
}

static bool
is_method(const BwExchange *exchange, const char *method)
{
    return BwSpan_Equal(exchange->method, BwSpan_FromString(method));
}

static void
serve_request(Role *role, BwExchange *exchange, uint64_t held_us)
{
    const BwRoute *route;
    BwSpan name;

    if (BwClock_Now() +
            min_us(ACCEPT_MARGIN_US, planned_stop_us(role->node) / 3) >
        last_answer_us(role->node)) {
        role->refusals[REFUSAL_STOPPING]++;
        BwDaemon_ReplyError(exchange, BW_ERR_LEAVING,
                            "this dispatcher is stopping; use another one");
        return;
    }
    route =
        BwRoutes_Find(&role->config.routes, exchange->host, exchange->path);
    if (route == NULL) {
        BwDaemon_ReplyError(exchange, BW_ERR_NO_SUCH_PATH,
                            "no route matches the host and path");
        return;
    }
    name.base = exchange->path.base + route->prefix_bytes;
    name.size_bytes = exchange->path.size_bytes - route->prefix_bytes;
    if (is_method(exchange, "POST") && name.size_bytes > 0)
        submit(role, exchange, route, name, held_us);
    else if (is_method(exchange, "GET"))
        serve_get(role, exchange, route, name);
    else if (is_method(exchange, "DELETE") && name.size_bytes > 0)
        serve_delete(role, exchange, route, name);
    else
        BwDaemon_ReplyError(
            exchange, BW_ERR_NO_SUCH_PATH,
            "send POST to the route's prefix followed by a job name");
}

/* ---------------------------------------- requests without a configuration */

static void
refuse_without_config(Role *role, BwExchange *exchange)
{
    role->refusals[REFUSAL_NO_CONFIG]++;
    BwDaemon_ReplyError(exchange, BW_ERR_NO_BACKEND,
                        "no configuration is in force yet; retry later");
}

static void
unhold(Role *role, PendingRequest *pending)
{
    DL_DELETE(role->held, pending);
    role->held_count--;
    pending->exchange->data = NULL;
    free(pending);
}

/* Returns false when the request is not held. */
static bool
hold_request(Role *role, BwExchange *exchange)
{
    const BwLimits *limits = &role->node->settings.limits;
    uint64_t now_us = BwClock_Now();
    uint64_t until_us =
        BwStartupHold_UntilUs(now_us, read_allowed_us(role, exchange),
                              limits->startup_hold_permille);
    PendingRequest *pending;

    if (until_us <= now_us || role->node->is_stopping ||
        role->held_count >= limits->waiting_requests)
        return false;
    pending = calloc(1, sizeof(*pending));
    if (pending == NULL)
        return false;
    pending->exchange = exchange;
    pending->is_held = true;
    pending->held_until_us = until_us;
    pending->held.arrived_us = now_us;
    exchange->data = pending;
    DL_APPEND(role->held, pending);
    role->held_count++;
    role->held_total++;
    return true;
}

static int
compare_held(const PendingRequest *left, const PendingRequest *right)
{
    return BwStartupHold_Compare(&left->held, &right->held);
}

/* Serves the held requests now that there is a configuration. */
static void
serve_held(Role *role, uint64_t now_us)
{
    PendingRequest *pending;

    BW_LOG(&role->node->logger, BW_LOG_INFO, "serve_held",
           BW_LOG_NUMBER("count", role->held_count));
    DL_FOREACH(role->held, pending)
    {
        const BwRoute *route =
            BwRoutes_Find(&role->config.routes, pending->exchange->host,
                          pending->exchange->path);

        pending->held.priority = route != NULL ? route->priority : UINT32_MAX;
    }
    DL_SORT(role->held, compare_held);
    while (role->held != NULL) {
        BwExchange *exchange = role->held->exchange;
        uint64_t held_us = now_us - role->held->held.arrived_us;

        unhold(role, role->held);
        serve_request(role, exchange, held_us);
    }
}

static void
tick_held(Role *role, uint64_t now_us)
{
    PendingRequest *pending, *next;

    if (role->held == NULL)
        return;
    if (role->config.routes.revision > 0) {
        serve_held(role, now_us);
        return;
    }
    DL_FOREACH_SAFE(role->held, pending, next)
    {
        BwExchange *exchange = pending->exchange;

        if (now_us < pending->held_until_us && !role->node->is_stopping)
            continue;
        unhold(role, pending);
        refuse_without_config(role, exchange);
    }
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    Role *role = ctx;

    if (!BwDaemon_CheckValues(exchange))
        return;
    if (role->config.routes.revision > 0)
        serve_request(role, exchange, 0);
    else if (!hold_request(role, exchange))
        refuse_without_config(role, exchange);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    Role *role = ctx;
    PendingRequest *pending = exchange->data;

    if (pending == NULL)
        return;
    if (pending->is_held) {
        unhold(role, pending);
        return;
    }
    if (pending->is_cancel)
        BwJobCancels_Drop(&role->cancels, pending);
    else
        BwDispatcher_Withdraw(&role->dispatcher, BwClock_Now(), pending->ref);
    free(pending);
}

static const BwHttpEvents http_events = {on_request, on_abort,
                                         BwDaemon_RefuseNoRoom};

static bool
is_ready(const Role *role)
{
    return role->config.routes.revision > 0 && !role->node->is_stopping &&
           BwDispatcher_CountUsable(&role->dispatcher) > 0;
}

static void
on_ready_request(void *ctx, BwExchange *exchange)
{
    Role *role = ctx;
    bool ready = is_ready(role);

    if (BwNode_ServeCommon(role->node, exchange))
        return;
    BwExchange_Reply(exchange, ready ? 200 : 503, "text/plain",
                     BwSpan_FromString(ready ? "ready" : "not ready"), 0);
}

static void
on_ready_abort(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    (void)exchange;
}

static const BwHttpEvents ready_events = {on_ready_request, on_ready_abort,
                                          BwDaemon_RefuseNoRoom};

/* -------------------------------------------------------- supervisors */

static void
on_up(void *ctx, BwMeshLink *link)
{
    Role *role = ctx;

    if (link->role == BW_ROLE_SUPERVISOR)
        BwDispatcher_PeerUp(&role->dispatcher, BwClock_Now(), link->id,
                            BwSpan_FromString(link->name));
    /* A link with a target was dialled by this process.  Each of two
       dispatchers dials the other, so each announces its revision once. */
    else if (link->target != NULL) {
        BwEvacuationSync_Announce(&role->evacuations, link->id);
        BwRouteConfig_Announce(&role->config, link->id);
    }
}

static void
on_down(void *ctx, BwMeshLink *link)
{
    Role *role = ctx;

    if (link->role == BW_ROLE_SUPERVISOR)
        BwDispatcher_PeerDown(&role->dispatcher, BwClock_Now(), link->id);
    else
        BwJobCancels_OnDown(&role->cancels, BwClock_Now());
}

static void
on_received(void *ctx, BwMeshLink *link, const BwMessage *message)
{
    Role *role = ctx;

    if (!BwRouteConfig_OnMessage(&role->config, link->id, message) &&
        !BwEvacuationSync_OnMessage(&role->evacuations, link->id, message) &&
        !BwJobCancels_OnMessage(&role->cancels, BwClock_Now(), link->id,
                                message))
        BwDispatcher_OnMessage(&role->dispatcher, BwClock_Now(), link->id,
                               message);
}

static const BwMeshEvents mesh_events = {on_up, on_down, on_received};

static void
send_message(void *ctx, uint32_t peer, const BwMessage *message)
{
    Role *role = ctx;

    BwMesh_Send(&role->node->mesh, peer, message);
}

static void
log_decision(void *ctx, const char *event, const BwBoundJob *job,
             const BwSupervisorView *view, uint32_t count, const char *reason)
{
    Role *role = ctx;

    BW_LOG(&role->node->logger, BW_LOG_INFO, event,
           BW_LOG_TEXT("job", job != NULL ? job->name : ""),
           BW_LOG_TEXT("choice", view != NULL ? view->name : ""),
           BW_LOG_NUMBER("count", count), BW_LOG_TEXT("reason", reason));
}

static void
log_job_end(void *ctx, const BwBoundJob *job, const BwJobEndReport *report)
{
    Role *role = ctx;
    bool is_end = strcmp(report->event, "end") == 0;

    BW_LOG(&role->node->logger, BW_LOG_INFO, report->event,
           BW_LOG_TEXT("job", job->name), BW_LOG_TEXT("choice", ""),
           BW_LOG_NUMBER("count", is_end ? report->end : 0),
           BW_LOG_TEXT("route", job->route),
           BW_LOG_NUMBER("priority", job->priority),
           BW_LOG_NUMBER("tasks", job->task_count),
           BW_LOG_NUMBER("took_ms", report->took_us / 1000),
           BW_LOG_NUMBER("waited_ms", report->waited_us / 1000),
           BW_LOG_NUMBER("allowed_ms",
                         (job->deadline_us - job->arrived_us) / 1000),
           BW_LOG_NUMBER("objective_ms", report->objective_us / 1000),
           BW_LOG_NUMBER("expected_objective_ms",
                         report->expected_objective_us / 1000),
           BW_LOG_NUMBER("free_permille", report->free_permille),
           BW_LOG_NUMBER("report_ms", report->report_age_us / 1000),
           BW_LOG_NUMBER("room", report->has_room),
           BW_LOG_TEXT("reason", report->reason));
}

static void
log_route(void *ctx, const char *event, const char *service, const char *route,
          const char *reason)
{
    Role *role = ctx;

    BW_LOG(&role->node->logger, BW_LOG_INFO, event,
           BW_LOG_TEXT("service", service), BW_LOG_TEXT("route", route),
           BW_LOG_TEXT("reason", reason));
}

static const BwDispatcherPort dispatcher_port = {
    send_message, on_answer, log_decision, log_job_end, log_route};

/* --------------------------------------------------------------- role */

static bool
init(BwNode *node)
{
    const BwSettings *settings = &node->settings;
    BwLeaseBounds bounds = BwLimits_LeaseBounds(&settings->limits);
    BwDispatcherLimits limits = {
        .session_us = settings->limits.session_ms * 1000,
        .lease_us = settings->limits.worker_lease_ms * 1000,
        .stop_us = BwLeaseTimes_StopEffectMs(&bounds) * 1000,
        .jobs = settings->limits.waiting_requests,
        .forming_until_us = BwClock_Now() + FORMING_US,
        .random_seed = node->incarnation,
    };
    Role *role = calloc(1, sizeof(*role));

    if (role == NULL)
        return false;
    role->node = node;
    node->role = role;
    role->started_us = BwClock_Now();
    BwDispatcher_Init(&role->dispatcher, &limits, &dispatcher_port, role);
    BwEvacuationSync_Init(&role->evacuations, node, on_evacuations_changed,
                          role);
    BwJobCancels_Init(&role->cancels, node, &cancel_events, role);
    if (!(BwMesh_Init(&node->mesh, node->event_loop.loop, settings,
                      &node->logger, node->incarnation, &mesh_events, role) &&
          BwRouteConfig_Init(&role->config, node, &role->evacuations,
                             on_routes_changed, role) &&
          BwRouteRecord_Init(&role->route_record, node->event_loop.loop,
                             settings, node->driver, &role->dispatcher) &&
          BwHttpServer_Init(&role->ready, node->event_loop.loop,
                            settings->ready.host,
                            (uint16_t)settings->ready.port,
                            READY_BODY_BYTES_MAX, &ready_events, role) &&
          BwHttpServer_Init(&role->http, node->event_loop.loop,
                            settings->http.host, (uint16_t)settings->http.port,
                            settings->limits.body_bytes, &http_events, role)))
        return false;
    BwDaemon_GuardServer(&role->http, &node->account, BW_SHARE_CALLERS);
    BwDaemon_GuardServer(&role->ready, &node->account, BW_SHARE_OPERATORS);
    BwMesh_SetAccount(&node->mesh, &node->account);
    BwHttpServer_Hold(&role->http);
    node->http_port = role->http.port;
    node->ready_port = role->ready.port;
    return true;
}

static uint64_t
close_delay_us(const BwNode *node)
{
    uint64_t stop_us = planned_stop_us(node);

    return min_us(HTTP_CLOSE_DELAY_US, stop_us > 2 * CLOSE_MARGIN_US
                                           ? stop_us - CLOSE_MARGIN_US
                                           : stop_us / 2);
}

static void
log_refusals(Role *role, uint64_t now_us)
{
    if (now_us - role->refusals_logged_us < REFUSAL_LOG_INTERVAL_US)
        return;
    role->refusals_logged_us = now_us;
    role->refusals[REFUSAL_NOT_ADMITTED] =
        role->dispatcher.counters.not_admitted;
    for (uint32_t i = 0; i < REFUSAL_COUNT; i++) {
        uint64_t count = role->refusals[i] - role->refusals_logged[i];

        if (count > 0)
            BW_LOG(&role->node->logger, BW_LOG_INFO, "refuse",
                   BW_LOG_NUMBER("count", count),
                   BW_LOG_TEXT("reason", refusal_texts[i]));
        role->refusals_logged[i] = role->refusals[i];
    }
}

static void
tick(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    BwHttpServer_Tick(&role->http);
    BwHttpServer_Tick(&role->ready);
    log_refusals(role, now_us);
    /* The count is a walk over all workers. */
    if (role->evacuations.is_unconfirmed)
        BwEvacuationSync_Tick(
            &role->evacuations, now_us,
            BwDispatcher_CountUnconfirmed(&role->dispatcher));
    BwRouteConfig_Tick(&role->config, now_us);
    BwJobCancels_Tick(&role->cancels, now_us);
    tick_held(role, now_us);
    BwRouteRecord_Tick(&role->route_record, now_us);
    BwDispatcher_Tick(&role->dispatcher, now_us);
    if (!role->is_accepting && (role->config.routes.revision > 0 ||
                                now_us - role->started_us >= ACCEPT_WAIT_US)) {
        role->is_accepting = true;
        BwHttpServer_Accept(&role->http);
    }
    if (node->is_stopping && !role->is_http_closed &&
        now_us - node->stop_began_us >= close_delay_us(node)) {
        role->is_http_closed = true;
        BwHttpServer_Shutdown(&role->http);
    }
    if (now_us >= last_answer_us(node))
        BwDispatcher_EndAll(&role->dispatcher, now_us);
}

static void
stop(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    (void)now_us;
    role->http.is_closing = true;
}

static bool
is_stopped(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    return (role->is_http_closed && role->http.open_exchanges == 0) ||
           now_us - node->stop_began_us >= planned_stop_us(node);
}

static void
finish(BwNode *node)
{
    Role *role = node->role;

    BwRouteConfig_Finish(&role->config);
    BwRouteRecord_Finish(&role->route_record);
    BwDispatcher_Finish(&role->dispatcher);
    BwJobCancels_Finish(&role->cancels);
    BwJobMemory_Finish(&role->ended);
}

static uint32_t
counters(BwNode *node, BwCounter *list, uint32_t capacity)
{
    Role *role = node->role;
    const BwDispatcherCounters *c = &role->dispatcher.counters;
    uint32_t n = 0;

#define ADD(name, help, value)                                                \
    n = BwCounters_Add(list, n, capacity, name, help, BW_COUNTER, value)
    ADD("brasswing_submitted_total", "Bound jobs taken", c->submitted);
    ADD("brasswing_completed_total", "Bound jobs completed", c->completed);
    ADD("brasswing_failed_total", "Bound jobs failed", c->failed);
    ADD("brasswing_refused_total", "Bound jobs refused", c->refused);
    ADD("brasswing_refused_with_room_total",
        "Bound jobs refused while a worker had room for one of their tasks",
        c->refused_with_room);
    ADD("brasswing_expired_total", "Bound jobs given up", c->expired);
    ADD("brasswing_withdrawn_total", "Callers that went away", c->withdrawn);
    ADD("brasswing_placed_total", "Tasks sent to supervisors", c->placed);
    ADD("brasswing_bounced_total", "Tasks declined there", c->bounced);
    ADD("brasswing_lost_total", "Tasks lost with their worker", c->lost);
    ADD("brasswing_crashed_total", "Tasks lost as their worker crashed",
        c->crashed);
    ADD("brasswing_worker_crashes_total", "Crashes of workers reported",
        c->crashes);
    ADD("brasswing_confined_total", "Routes confined", c->confined);
    ADD("brasswing_given_up_total",
        "Bound jobs given up after two crashes under a task", c->given_up);
    ADD("brasswing_repeated_total",
        "Requests answered with the end of their job", role->repeated);
    ADD("brasswing_ended_forgotten_total",
        "Ended jobs that made room for others before their time",
        role->ended.forgotten);
    ADD("brasswing_cancels_asked_total",
        "Cancels of unknown jobs that other dispatchers were asked about",
        role->cancels.asked);
    ADD("brasswing_cancels_refused_total",
        "Cancels of unknown jobs that were refused for their number",
        role->cancels.refused);
    ADD("brasswing_cancels_escalated_total",
        "Cancels that supervisors were told of", role->cancels.escalated);
    ADD("brasswing_held_total",
        "Requests held while no configuration was in force", role->held_total);
#undef ADD
    n = BwCounters_Add(list, n, capacity, "brasswing_workers_usable",
                       "Workers that take tasks now", BW_GAUGE,
                       BwDispatcher_CountUsable(&role->dispatcher));
    n = BwCounters_Add(list, n, capacity, "brasswing_domains_evacuated",
                       "Failure domains in which no task starts", BW_GAUGE,
                       role->evacuations.state.domain_count);
    n = BwCounters_Add(list, n, capacity, "brasswing_evacuation_unconfirmed",
                       "Supervisors that have not confirmed an evacuation, or "
                       "its end",
                       BW_GAUGE,
                       BwDispatcher_CountUnconfirmed(&role->dispatcher));
    return BwRouteConfig_Counters(&role->config, BwClock_Now(), list, n,
                                  capacity);
}

static json_t *
status(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;
    json_t *out = BwNodeStatus_Dispatcher(&role->dispatcher, now_us);

    BwRouteConfig_AddStatus(&role->config, now_us, out);
    BwEvacuationSync_AddStatus(&role->evacuations, out);
    json_object_set_new(out, "ready", json_boolean(is_ready(role)));
    return out;
}

const BwNodeOps BwDispatcherRole_Ops = {
    "dispatcher", init, tick, stop, is_stopped, finish, counters, status,
};
