/* dispatchrole.c -- the role of a dispatcher: callers, routes, readiness

   Owns the callers' connections and joins them to the decisions of
   dispatcher.h.  The configuration comes from the store and from other
   dispatchers, whichever is newer.  Dispatchers announce the revision that
   they have to each other; the text is asked for by who still lacks it a
   moment later, first of the one that announced it, then of all.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "daemon.h"
#include "dispatcher.h"
#include "net.h"
#include "node.h"
#include "nodestatus.h"
#include "storereader.h"

/* Until the balancer has noticed that this process is not ready. */
#define UNREADY_US 2500000
#define LAST_ANSWER_US 150000 /* before the end of a planned stop */
#define LAST_TAKEN_US 1500000 /* before that, requests are still taken */
#define DEFAULT_DEADLINE_US 30000000
#define DEADLINE_MAX_US 600000000
#define STATE_BYTES 64
#define ASK_PAUSE_US 50000 /* until the store has mostly told as well */
#define ASK_ANSWER_US 300000

typedef struct Role {
    BwNode *node;
    BwHttpServer front;
    BwHttpServer ready;
    BwStoreReader store;
    BwDispatcher dispatcher;
    BwRoutes routes;
    char *config_text;
    uint32_t config_bytes;
    uint64_t offered; /* newest revision that was announced */
    uint32_t offerer; /* connection that announced it first; 0: was asked */
    uint64_t ask_us;  /* when the text is asked for; 0: it is not */
    bool is_front_closed;
} Role;

/* Of a request that waits: the exchange, and the job once it is known. */
typedef struct Waiter {
    BwExchange *exchange;
    uint64_t ref;
} Waiter;

/* ------------------------------------------------------ configuration */

static BwMessage
make_announcement(const Role *role)
{
    BwMessage message = {.kind = BW_MSG_CONFIG_STATE};

    message.u.config_state.revision = role->routes.revision;
    message.u.config_state.publish_id = BwSpan_FromString("");
    message.u.config_state.text = BwSpan_FromString("");
    return message;
}

static void
send_config(Role *role, uint32_t link, uint64_t known)
{
    BwMessage message = make_announcement(role);

    if (role->routes.revision <= known)
        return;
    message.u.config_state.text.base = role->config_text;
    message.u.config_state.text.size_bytes = role->config_bytes;
    BwMesh_Send(&role->node->mesh, link, &message);
}

static void
note_offer(Role *role, uint32_t link, uint64_t revision)
{
    if (revision <= role->routes.revision || revision <= role->offered)
        return;
    role->offered = revision;
    role->offerer = link;
    role->ask_us = BwClock_Now() + ASK_PAUSE_US;
}

/* The one that announced it may be gone: then all are asked, once. */
static void
ask_config(Role *role, uint64_t now_us)
{
    BwMesh *mesh = &role->node->mesh;
    BwMessage message = {.kind = BW_MSG_CONFIG_ASK};

    if (role->ask_us == 0 || now_us < role->ask_us)
        return;
    role->ask_us = 0;
    if (role->offered <= role->routes.revision)
        return;
    message.u.config_ask.revision = role->routes.revision;
    if (role->offerer != 0 && BwMesh_Send(mesh, role->offerer, &message)) {
        role->offerer = 0;
        role->ask_us = now_us + ASK_ANSWER_US;
        return;
    }
    role->offered = role->routes.revision;
    BwMesh_BroadcastToDispatchers(mesh, &message);
}

/* Puts a configuration into force if it is newer. */
static void
take_config(void *ctx, BwSpan text)
{
    Role *role = ctx;
    const BwDriver *driver = role->node->driver;
    const char *fault = "";
    BwRouteRows rows;
    BwRoutes routes;
    BwMessage message;
    char *copy;

    if (!driver->read_routes(text, &rows, &fault)) {
        BW_LOG(&role->node->logger, BW_LOG_ERROR, "config_refused",
               BW_LOG_TEXT("fault", fault));
        driver->release(rows.memory);
        return;
    }
    copy = malloc(text.size_bytes + 1);
    if (rows.revision <= role->routes.revision || copy == NULL ||
        !BwRoutes_Init(&routes, &rows)) {
        driver->release(rows.memory);
        free(copy);
        return;
    }
    driver->release(rows.memory);
    memcpy(copy, text.base, text.size_bytes);
    free(role->config_text);
    role->config_text = copy;
    role->config_bytes = text.size_bytes;
    BwRoutes_Finish(&role->routes);
    role->routes = routes;
    BwDispatcher_KeepRoutes(&role->dispatcher, &role->routes);
    BW_LOG(&role->node->logger, BW_LOG_INFO, "config_in_force",
           BW_LOG_NUMBER("revision", routes.revision));
    message = make_announcement(role);
    BwMesh_BroadcastToDispatchers(&role->node->mesh, &message);
}

static void
take_member(void *ctx, BwSpan name, BwSpan address)
{
    Role *role = ctx;
    char text[BW_ADDRESS_BYTES_MAX];
    char host[BW_HOST_BYTES_MAX];
    uint16_t port;

    BwSpan_ToString(address, text, sizeof(text));
    if (BwNet_SplitAddress(text, host, sizeof(host), &port))
        BwMesh_AddDispatcher(&role->node->mesh, BwClock_Now(), name,
                             BwSpan_FromString(host), port, false);
}

static const BwStoreReaderEvents store_events = {take_config, take_member};

/* ------------------------------------------------------------ callers */

static void
reply_text(BwExchange *exchange, int status, const char *text, uint32_t length)
{
    BwSpan body = {text, length};

    BwExchange_Reply(exchange, status, "application/json", body, 0);
}

/* A job that is not here, whether it ended or never was. */
static void
reply_gone(BwExchange *exchange)
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
    Waiter *waiter = data;
    BwExchange *exchange = waiter->exchange;

    exchange->data = NULL;
    free(waiter);
    switch (end) {
    case BW_BOUND_COMPLETED:
        reply_state(role, exchange, BW_STATE_COMPLETED);
        break;
    case BW_BOUND_REFUSED:
        BwDaemon_ReplyRetryAfter(exchange, BW_ERR_OVERLOADED,
                                 "no worker can end it in time; come back",
                                 retry_after_ms);
        break;
    case BW_BOUND_FAILED:
        reply_state(role, exchange, BW_STATE_FAILED);
        break;
    case BW_BOUND_EXPIRED:
        BwDaemon_ReplyError(exchange, BW_ERR_TIMED_OUT_RUNNING,
                            "it cannot end in time; some tasks may have run");
        break;
    }
}

/* When a planned stop answers what still waits; never, without one. */
static uint64_t
last_answer_us(const BwNode *node)
{
    if (!node->is_stopping)
        return UINT64_MAX;
    return node->stop_began_us + node->settings.limits.stop_ms * 1000 -
           LAST_ANSWER_US;
}

static uint64_t
read_deadline(const Role *role, const BwExchange *exchange, uint64_t now_us)
{
    BwSpan text =
        BwExchange_Header(exchange, role->node->driver->deadline_header);
    char number[24] = {0};
    uint64_t deadline_ms;

    if (text.size_bytes == 0 || text.size_bytes >= sizeof(number))
        return now_us + DEFAULT_DEADLINE_US;
    memcpy(number, text.base, text.size_bytes);
    deadline_ms = strtoull(number, NULL, 10);
    if (deadline_ms > DEADLINE_MAX_US / 1000)
        return now_us + DEADLINE_MAX_US;
    return now_us +
           (deadline_ms > 0 ? deadline_ms * 1000 : DEFAULT_DEADLINE_US);
}

/* The caller's deadline, or the end of this process if that is earlier: what
   cannot end by then is refused and goes to another. */
static uint64_t
job_deadline_us(const Role *role, const BwExchange *exchange, uint64_t now_us)
{
    uint64_t deadline_us = read_deadline(role, exchange, now_us);
    uint64_t last_us = last_answer_us(role->node);

    return deadline_us < last_us ? deadline_us : last_us;
}

static void
submit(Role *role, BwExchange *exchange, const BwRoute *route, BwSpan name)
{
    uint64_t now_us = BwClock_Now();
    const BwDriver *driver = role->node->driver;
    const char *fault = "";
    BwBoundRequest request;
    Waiter *waiter;
    uint64_t ref;

    if (name.size_bytes >= BW_NAME_BYTES_MAX ||
        !driver->read_request(exchange->body, &request, &fault)) {
        BwDaemon_ReplyError(exchange, BW_ERR_BAD_REQUEST, fault);
        if (name.size_bytes < BW_NAME_BYTES_MAX)
            driver->release(request.memory);
        return;
    }
    waiter = calloc(1, sizeof(*waiter));
    if (!request.is_bound || request.is_unsupported || waiter == NULL) {
        BwDaemon_ReplyError(exchange, BW_ERR_OVERLOADED,
                            "only bound jobs of plain steps are taken here");
        free(waiter);
    }
    else {
        waiter->exchange = exchange;
        exchange->data = waiter;
        ref = BwDispatcher_Submit(
            &role->dispatcher, now_us, name, &request, route,
            job_deadline_us(role, exchange, now_us), waiter);
        if (ref != 0)
            waiter->ref = ref;
    }
    driver->release(request.memory);
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
    job = BwDispatcher_FindName(&role->dispatcher, name);
    if (job == NULL)
        reply_gone(exchange);
    else
        reply_state(role, exchange,
                    BwBoundJob_IsRunning(job) ? BW_STATE_RUNNING
                                              : BW_STATE_QUEUED);
}

static void
serve_delete(Role *role, BwExchange *exchange, BwSpan name)
{
    BwBoundJob *job = BwDispatcher_FindName(&role->dispatcher, name);
    Waiter *waiter;

    if (job == NULL) {
        reply_gone(exchange);
        return;
    }
    waiter = job->data;
    BwDispatcher_Withdraw(&role->dispatcher, BwClock_Now(), job->ref);
    waiter->exchange->data = NULL;
    reply_state(role, waiter->exchange, BW_STATE_CANCELLED);
    free(waiter);
    reply_state(role, exchange, BW_STATE_CANCELLED);
}

static bool
is_method(const BwExchange *exchange, const char *method)
{
    return BwSpan_Equal(exchange->method, BwSpan_FromString(method));
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    Role *role = ctx;
    const BwRoute *route;
    BwSpan name;

    if (role->routes.revision == 0) {
        BwDaemon_ReplyError(exchange, BW_ERR_NO_BACKEND,
                            "no configuration is known yet; come back");
        return;
    }
    if (BwClock_Now() + LAST_TAKEN_US > last_answer_us(role->node)) {
        BwDaemon_ReplyError(exchange, BW_ERR_LEAVING,
                            "this process is stopping; ask another");
        return;
    }
    route = BwRoutes_Find(&role->routes, exchange->host, exchange->path);
    if (route == NULL) {
        BwDaemon_ReplyError(exchange, BW_ERR_NO_SUCH_PATH,
                            "no route has that host and path");
        return;
    }
    name.base = exchange->path.base + route->prefix_bytes;
    name.size_bytes = exchange->path.size_bytes - route->prefix_bytes;
    if (is_method(exchange, "POST") && name.size_bytes > 0)
        submit(role, exchange, route, name);
    else if (is_method(exchange, "GET"))
        serve_get(role, exchange, route, name);
    else if (is_method(exchange, "DELETE") && name.size_bytes > 0)
        serve_delete(role, exchange, name);
    else
        BwDaemon_ReplyError(exchange, BW_ERR_NO_SUCH_PATH,
                            "post a job to the route's prefix and its name");
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    Role *role = ctx;
    Waiter *waiter = exchange->data;

    if (waiter == NULL)
        return;
    BwDispatcher_Withdraw(&role->dispatcher, BwClock_Now(), waiter->ref);
    free(waiter);
}

static const BwHttpEvents front_events = {on_request, on_abort,
                                          BwDaemon_RefuseTooLarge};

static bool
is_ready(const Role *role)
{
    return role->routes.revision > 0 && !role->node->is_stopping &&
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
                                          BwDaemon_RefuseTooLarge};

/* -------------------------------------------------------- supervisors */

static void
on_up(void *ctx, BwMeshLink *link)
{
    Role *role = ctx;
    BwMessage message = make_announcement(role);

    if (link->role == BW_ROLE_SUPERVISOR)
        BwDispatcher_PeerUp(&role->dispatcher, BwClock_Now(), link->id,
                            BwSpan_FromString(link->name));
    else if (link->member != NULL && role->routes.revision > 0)
        BwMesh_Send(&role->node->mesh, link->id, &message);
}

static void
on_down(void *ctx, BwMeshLink *link)
{
    Role *role = ctx;

    if (link->role == BW_ROLE_SUPERVISOR)
        BwDispatcher_PeerDown(&role->dispatcher, BwClock_Now(), link->id);
}

static void
on_received(void *ctx, BwMeshLink *link, const BwMessage *message)
{
    Role *role = ctx;

    if (message->kind == BW_MSG_CONFIG_ASK) {
        send_config(role, link->id, message->u.config_ask.revision);
    }
    else if (message->kind == BW_MSG_CONFIG_STATE) {
        const BwConfigState *state = &message->u.config_state;

        if (state->text.size_bytes == 0)
            note_offer(role, link->id, state->revision);
        else if (state->revision > role->routes.revision)
            take_config(role, state->text);
    }
    else {
        BwDispatcher_OnMessage(&role->dispatcher, BwClock_Now(), link->id,
                               message);
    }
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
             const BwView *view, uint32_t count, const char *reason)
{
    Role *role = ctx;

    BW_LOG(&role->node->logger, BW_LOG_INFO, event,
           BW_LOG_TEXT("job", job != NULL ? job->name : ""),
           BW_LOG_TEXT("choice", view != NULL ? view->name : ""),
           BW_LOG_NUMBER("count", count), BW_LOG_TEXT("reason", reason));
}

static const BwDispatcherPort dispatcher_port = {send_message, on_answer,
                                                 log_decision};

/* --------------------------------------------------------------- role */

static bool
init(BwNode *node)
{
    const BwSettings *settings = &node->settings;
    BwDispatcherLimits limits = {
        .session_us = settings->limits.session_ms * 1000,
        .lease_us = settings->limits.worker_lease_ms * 1000,
        .jobs = settings->limits.waiting_requests,
    };
    Role *role = calloc(1, sizeof(*role));

    if (role == NULL)
        return false;
    role->node = node;
    node->role = role;
    BwDispatcher_Init(&role->dispatcher, &limits, &dispatcher_port, role);
    if (!(BwMesh_Init(&node->mesh, node->event_loop.loop, settings,
                      &node->logger, node->incarnation, &mesh_events, role) &&
          BwStoreReader_Init(&role->store, node->event_loop.loop, settings,
                             node->driver, &store_events, role) &&
          BwHttpServer_Init(
              &role->ready, node->event_loop.loop, settings->ready.host,
              (uint16_t)settings->ready.port, settings->limits.body_bytes,
              &ready_events, role) &&
          BwHttpServer_Init(&role->front, node->event_loop.loop,
                            settings->http.host, (uint16_t)settings->http.port,
                            settings->limits.body_bytes, &front_events, role)))
        return false;
    node->http_port = role->front.port;
    node->ready_port = role->ready.port;
    return true;
}

static void
tick(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    BwStoreReader_Tick(&role->store, now_us);
    ask_config(role, now_us);
    BwDispatcher_Tick(&role->dispatcher, now_us);
    if (node->is_stopping && !role->is_front_closed &&
        now_us - node->stop_began_us >= UNREADY_US) {
        role->is_front_closed = true;
        BwHttpServer_Shutdown(&role->front);
    }
    if (now_us >= last_answer_us(node))
        BwDispatcher_EndAll(&role->dispatcher);
}

static void
stop(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    (void)now_us;
    role->front.is_closing = true;
}

static bool
is_stopped(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    return (role->is_front_closed && role->front.open_exchanges == 0) ||
           now_us - node->stop_began_us >=
               node->settings.limits.stop_ms * 1000;
}

static void
finish(BwNode *node)
{
    Role *role = node->role;

    BwStoreReader_Finish(&role->store);
    BwDispatcher_Finish(&role->dispatcher);
    BwRoutes_Finish(&role->routes);
    free(role->config_text);
}

static uint32_t
counters(BwNode *node, BwCounter *list, uint32_t room)
{
    Role *role = node->role;
    const BwDispatcherCounters *c = &role->dispatcher.counters;
    uint32_t n = 0;

#define ADD(name, help, value)                                                \
    n = BwCounters_Add(list, n, room, name, help, BW_COUNTER, value)
    ADD("brasswing_submitted_total", "Bound jobs taken", c->submitted);
    ADD("brasswing_completed_total", "Bound jobs completed", c->completed);
    ADD("brasswing_failed_total", "Bound jobs failed", c->failed);
    ADD("brasswing_refused_total", "Bound jobs refused", c->refused);
    ADD("brasswing_expired_total", "Bound jobs given up", c->expired);
    ADD("brasswing_withdrawn_total", "Callers that went away", c->withdrawn);
    ADD("brasswing_placed_total", "Tasks sent to supervisors", c->placed);
    ADD("brasswing_bounced_total", "Tasks declined there", c->bounced);
    ADD("brasswing_lost_total", "Tasks lost with their worker", c->lost);
#undef ADD
    n = BwCounters_Add(list, n, room, "brasswing_workers_usable",
                       "Workers that take tasks now", BW_GAUGE,
                       BwDispatcher_CountUsable(&role->dispatcher));
    return BwCounters_Add(list, n, room, "brasswing_config_revision",
                          "Configuration in force", BW_GAUGE,
                          role->routes.revision);
}

static json_t *
status(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;
    json_t *out = BwNodeStatus_Dispatcher(&role->dispatcher, now_us);

    json_object_set_new(out, "revision",
                        json_integer((json_int_t)role->routes.revision));
    json_object_set_new(out, "store_up", json_boolean(role->store.is_up));
    json_object_set_new(out, "ready", json_boolean(is_ready(role)));
    return out;
}

const BwNodeOps BwDispatcherRole_Ops = {
    "dispatcher", init, tick, stop, is_stopped, finish, counters, status,
};
