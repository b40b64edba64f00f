/* superviserole.c -- the role of a supervisor: its worker and dispatchers

   Owns the connections to the worker and passes its answers and heartbeats,
   and the messages of the dispatchers, to supervisor.h, which decides.
   Timeouts of starts and stops follow the worker's answer times: a lost
   answer is noticed early, and one from a slow host does not count as lost.
   node.c calls this role through BwSupervisorRole_Ops.
*/

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "brasswing.h"
#include "daemon.h"
#include "node.h"
#include "nodestatus.h"
#include "supervisor.h"
#include "workerrecord.h"

/* Longest wait of a poll while tasks run, and the time for its answer after
   that, as shares of the worker's lease: the renewals of three polls may be
   lost. */
#define POLL_WAIT_PERMILLE 300
#define POLL_ANSWER_PERMILLE 300
/* Timeouts of starts and stops follow the slowest recent answer, up to a share
   of the lease. */
#define ORDER_TIMEOUT_MIN_US 40000
#define ORDER_TIMEOUT_MAX_PERMILLE 375
#define ORDER_TIMEOUT_FACTOR 4
/* Each answer lowers the remembered maximum by 1/SLOWEST_DECAY_DIVISOR. */
#define SLOWEST_DECAY_DIVISOR 16
/* Time until a stop has taken effect, against worker_stop_ms. */
#define STOP_PERMILLE 1200
#define WORKER_CONNECTIONS 48
/* A supervisor that is connected to no dispatcher for this time after its
   start reads their addresses from the store. */
#define SEEDS_ALONE_US 30000
#define WORKER_REPLY_BYTES (4u * 1024 * 1024)

typedef struct Role {
    BwNode *node;
    BwHttpServer control;
    BwHttpClient worker;
    BwSupervisor supervisor;
    BwWorkerRecord record;
    BwKeptRecord dispatchers; /* their addresses; only read */
    uint64_t started_us;
    uint64_t slowest_us; /* decaying maximum of order answer times */
    uint64_t heartbeats_refused;
    const char *refused_fault; /* of the last one that was logged */
    struct WorkerCall *calls;  /* that await their answer */
} Role;

typedef void (*AnswerHandler)(BwSupervisor *supervisor, uint64_t now_us,
                              uint64_t number, const BwWorkerAnswer *answer);

/* An HTTP request to the worker. */
typedef struct WorkerCall {
    Role *role;
    uint64_t number;
    uint64_t sent_us;
    AnswerHandler on_answer; /* NULL for a poll */
    struct WorkerCall *prev, *next;
} WorkerCall;

static void
record_answer_time(Role *role, uint64_t took_us)
{
    role->slowest_us -= role->slowest_us / SLOWEST_DECAY_DIVISOR;
    if (took_us > role->slowest_us)
        role->slowest_us = took_us;
}

/* Returns how long an order may go unanswered.  On a host that is short of
   processor time an answer may be slow and must not count as lost. */
static uint64_t
order_timeout_us(const Role *role)
{
    uint64_t timeout_us = role->slowest_us * ORDER_TIMEOUT_FACTOR;

    uint64_t max_us =
        role->supervisor.limits.lease_us * ORDER_TIMEOUT_MAX_PERMILLE / 1000;

    if (timeout_us < ORDER_TIMEOUT_MIN_US)
        return ORDER_TIMEOUT_MIN_US;
    return timeout_us < max_us ? timeout_us : max_us;
}

static void
on_worker_reply(void *data, const BwHttpReply *reply)
{
    WorkerCall *call = data;
    Role *role = call->role;
    const BwDriver *driver = role->node->driver;
    uint64_t now_us = BwClock_Now();
    BwWorkerAnswer answer;

    if (call->on_answer != NULL && reply->outcome == BW_HTTP_ANSWERED)
        record_answer_time(role, now_us - call->sent_us);
    driver->read_answer(reply->outcome == BW_HTTP_ANSWERED ? reply->status : 0,
                        reply->body, &answer);
    if (reply->outcome == BW_HTTP_NOT_SENT && reply->is_refused)
        answer.verdict = BW_WORKER_UNREACHABLE;
    if (call->on_answer != NULL)
        call->on_answer(&role->supervisor, now_us, call->number, &answer);
    else
        BwSupervisor_OnPolled(&role->supervisor, now_us, call->number,
                              call->sent_us, &answer);
    driver->release(answer.memory);
    DL_DELETE(role->calls, call);
    free(call);
}

/* Frees the body of `request`.  Returns false when memory is short. */
static bool
send_to_worker(Role *role, uint64_t number, BwHttpRequest *request,
               uint64_t wait_us, AnswerHandler on_answer)
{
    uint64_t now_us = BwClock_Now();
    WorkerCall *call = malloc(sizeof(*call));

    if (call == NULL) {
        free(request->body);
        return false;
    }
    call->role = role;
    call->number = number;
    call->sent_us = now_us;
    call->on_answer = on_answer;
    DL_APPEND(role->calls, call);
    BwNode_SendRequest(&role->worker, request, now_us + wait_us,
                       on_worker_reply, call);
    return true;
}

static bool
start_task(void *ctx, uint64_t number, const BwTaskOrder *order)
{
    Role *role = ctx;
    BwHttpRequest request;

    return role->node->driver->make_start(order, &request) &&
           send_to_worker(role, number, &request, order_timeout_us(role),
                          BwSupervisor_OnStarted);
}

static bool
stop_task(void *ctx, uint64_t number, const BwTaskOrder *order)
{
    Role *role = ctx;
    BwHttpRequest request;

    return role->node->driver->make_stop(order, &request) &&
           send_to_worker(role, number, &request, order_timeout_us(role),
                          BwSupervisor_OnStopped);
}

static bool
poll_worker(void *ctx, uint64_t number, const BwPollOrder *order)
{
    Role *role = ctx;
    BwHttpRequest request;

    return role->node->driver->make_poll(order, &request) &&
           send_to_worker(role, number, &request,
                          (uint64_t)order->wait_ms * 1000 +
                              role->supervisor.limits.answer_us,
                          NULL);
}

static void
send_message(void *ctx, uint32_t peer, const BwMessage *message)
{
    Role *role = ctx;

    BwMesh_Send(&role->node->mesh, peer, message);
}

static void
log_decision(void *ctx, const char *event, const BwWorkerTask *task,
             uint32_t count, const char *reason)
{
    Role *role = ctx;

    BW_LOG(&role->node->logger, BW_LOG_INFO, event,
           BW_LOG_TEXT("job", task->key.job),
           BW_LOG_NUMBER("step", task->key.step),
           BW_LOG_NUMBER("index", task->key.index),
           BW_LOG_NUMBER("run", task->run), BW_LOG_NUMBER("count", count),
           BW_LOG_TEXT("reason", reason));
}

static void
log_worker(void *ctx, const char *event, uint32_t count, const char *reason)
{
    Role *role = ctx;

    BW_LOG(&role->node->logger, BW_LOG_INFO, event,
           BW_LOG_TEXT("instance", role->supervisor.instance),
           BW_LOG_NUMBER("count", count), BW_LOG_TEXT("reason", reason));
}

static const BwSupervisorPort supervisor_port = {
    send_message, start_task, stop_task, poll_worker, log_decision, log_worker,
};

/* --------------------------------------------------------- heartbeats */

/* A writer that sends odd heartbeats sends many: only a change of the fault is
   logged. */
static void
refuse_heartbeat(Role *role, BwExchange *exchange, const char *fault)
{
    role->heartbeats_refused++;
    if (role->refused_fault == NULL || strcmp(fault, role->refused_fault) != 0)
        BW_LOG(&role->node->logger, BW_LOG_INFO, "heartbeat_refused",
               BW_LOG_TEXT("reason", fault));
    role->refused_fault = fault;
    BwDaemon_ReplyError(exchange, BW_ERR_BAD_REQUEST, fault);
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    Role *role = ctx;
    const BwDriver *driver = role->node->driver;
    const char *fault = "";
    BwWorkerHeartbeat heartbeat;

    if (BwNode_ServeCommon(role->node, exchange))
        return;
    if (!driver->is_heartbeat(exchange->method, exchange->path)) {
        BwDaemon_ReplyError(exchange, BW_ERR_NO_SUCH_PATH,
                            "only heartbeats of workers and GET of /metrics "
                            "and /v1/status are served here");
        return;
    }
    if (!BwDaemon_CheckValues(exchange))
        return;
    if (!driver->read_heartbeat(exchange->path, exchange->body, &heartbeat,
                                &fault)) {
        refuse_heartbeat(role, exchange, fault);
        driver->release(heartbeat.memory);
        return;
    }
    if (BwSupervisor_OnHeartbeat(&role->supervisor, BwClock_Now(), &heartbeat))
        BwWorkerRecord_OnHeartbeat(&role->record, exchange->path,
                                   exchange->body, &heartbeat);
    driver->release(heartbeat.memory);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString("{}"), 0);
}

static void
on_recalled(void *ctx, const BwWorkerHeartbeat *heartbeat)
{
    Role *role = ctx;
    char instance[BW_NAME_BYTES_MAX];

    BwSpan_ToString(heartbeat->instance, instance, sizeof(instance));
    BW_LOG(&role->node->logger, BW_LOG_INFO, "worker_recalled",
           BW_LOG_TEXT("instance", instance));
    BwSupervisor_OnHeartbeat(&role->supervisor, BwClock_Now(), heartbeat);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    (void)exchange;
}

static const BwHttpEvents control_events = {on_request, on_abort,
                                            BwDaemon_RefuseNoRoom};

/* -------------------------------------------------------- dispatchers */

static void
on_up(void *ctx, BwMeshLink *link)
{
    Role *role = ctx;

    BwKeptRecord_StopReading(&role->dispatchers);
    BwSupervisor_PeerUp(&role->supervisor, BwClock_Now(), link->id);
}

static void
on_down(void *ctx, BwMeshLink *link)
{
    Role *role = ctx;

    BwSupervisor_PeerDown(&role->supervisor, BwClock_Now(), link->id);
}

static void
on_received(void *ctx, BwMeshLink *link, const BwMessage *message)
{
    Role *role = ctx;

    BwSupervisor_OnMessage(&role->supervisor, BwClock_Now(), link->id,
                           message);
}

static const BwMeshEvents mesh_events = {on_up, on_down, on_received};

/* The seeds may all be down, or start later than the others. */
static void
on_dispatchers_read(void *ctx, const BwStorePage *page)
{
    Role *role = ctx;

    BW_LOG(&role->node->logger, BW_LOG_INFO, "dispatchers_read",
           BW_LOG_NUMBER("count", page->record_count));
    for (uint32_t i = 0; i < page->record_count; i++)
        BwMesh_AddAddress(&role->node->mesh, BwClock_Now(),
                          page->records[i].key, page->records[i].value);
}

/* --------------------------------------------------------------- role */

static bool
init(BwNode *node)
{
    const BwSettings *settings = &node->settings;
    uint64_t lease_us = settings->limits.worker_lease_ms * 1000;
    BwSupervisorLimits limits = {
        .session_us = settings->limits.session_ms * 1000,
        .lease_us = lease_us,
        .lease_max_us = settings->limits.worker_lease_max_ms * 1000,
        .stop_us = settings->limits.worker_stop_ms * STOP_PERMILLE,
        .poll_wait_us = lease_us * POLL_WAIT_PERMILLE / 1000,
        .answer_us = lease_us * POLL_ANSWER_PERMILLE / 1000,
        .backfill = (BwBackfillPolicy)settings->backfill,
    };
    Role *role = calloc(1, sizeof(*role));

    if (role == NULL)
        return false;
    role->node = node;
    node->role = role;
    role->started_us = BwClock_Now();
    BwSupervisor_Init(&role->supervisor, &limits, &supervisor_port, role);
    if (!(BwMesh_Init(&node->mesh, node->event_loop.loop, settings,
                      &node->logger, node->incarnation, &mesh_events, role) &&
          BwWorkerRecord_Init(&role->record, node->event_loop.loop, settings,
                              node->driver, on_recalled, role) &&
          BwKeptRecord_Init(&role->dispatchers, node->event_loop.loop,
                            settings, node->driver, BW_TOPIC_DISPATCHERS, "",
                            on_dispatchers_read, role) &&
          BwHttpClient_Init(&role->worker, node->event_loop.loop,
                            settings->worker.host,
                            (uint16_t)settings->worker.port,
                            WORKER_CONNECTIONS, WORKER_REPLY_BYTES) &&
          BwHttpServer_Init(&role->control, node->event_loop.loop,
                            settings->http.host, (uint16_t)settings->http.port,
                            settings->limits.body_bytes, &control_events,
                            role)))
        return false;
    BwDaemon_GuardServer(&role->control, &node->account, BW_SHARE_WORKERS);
    node->http_port = role->control.port;
    return true;
}

static void
tick(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    BwHttpServer_Tick(&role->control);
    BwHttpClient_Tick(&role->worker, now_us);
    BwWorkerRecord_Tick(&role->record, now_us);
    if (now_us - role->started_us >= SEEDS_ALONE_US)
        BwKeptRecord_Tick(&role->dispatchers, now_us);
    BwSupervisor_Tick(&role->supervisor, now_us);
}

static void
stop(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    BwSupervisor_Leave(&role->supervisor, now_us);
}

static bool
is_stopped(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;

    return BwSupervisor_IsIdle(&role->supervisor) ||
           now_us - node->stop_began_us >=
               node->settings.limits.stop_ms * 1000;
}

static void
finish(BwNode *node)
{
    Role *role = node->role;
    WorkerCall *call, *next;

    BwHttpClient_Finish(&role->worker);
    DL_FOREACH_SAFE(role->calls, call, next)
    {
        free(call);
    }
    BwWorkerRecord_Finish(&role->record);
    BwKeptRecord_Finish(&role->dispatchers);
    BwSupervisor_Finish(&role->supervisor);
}

static uint32_t
counters(BwNode *node, BwCounter *list, uint32_t capacity)
{
    Role *role = node->role;
    const BwSupervisorCounters *c = &role->supervisor.counters;
    uint32_t n = 0;

#define ADD(name, help, value)                                                \
    n = BwCounters_Add(list, n, capacity, name, help, BW_COUNTER, value)
    ADD("brasswing_started_total", "Starts ordered", c->started);
    ADD("brasswing_done_total", "Tasks done", c->done);
    ADD("brasswing_task_failed_total", "Tasks failed", c->failed);
    ADD("brasswing_task_lost_total", "Tasks lost", c->lost);
    ADD("brasswing_stopped_total", "Tasks stopped", c->stopped);
    ADD("brasswing_declined_total", "Tasks declined", c->declined);
    ADD("brasswing_unanswered_total", "Orders without an answer",
        c->unanswered);
    ADD("brasswing_stalled_total", "Tasks stopped for want of progress",
        c->stalled);
    ADD("brasswing_worker_crashes_total", "Crashes while tasks ran",
        c->crashes);
    ADD("brasswing_worker_down_total",
        "Times that the worker's address began to refuse connections",
        c->downs);
    ADD("brasswing_heartbeats_ignored_total",
        "Heartbeats of lives that are not at the worker's address",
        c->heartbeats_ignored);
    ADD("brasswing_heartbeats_refused_total",
        "Heartbeats that could not be read or name no worker",
        role->heartbeats_refused);
    ADD("brasswing_reserved_total", "Queued tasks that got a reservation",
        c->reserved);
    ADD("brasswing_overtaken_total",
        "Starts of tasks that overtook one with a reservation", c->overtaken);
    ADD("brasswing_holds_total", "Looks at the worker", c->polls);
#undef ADD
    return n;
}

/* Adds to each peer the name that the other side of its connection sent. */
static void
add_names(json_t *peers, const BwMesh *mesh)
{
    json_t *peer;
    size_t i;

    json_array_foreach(peers, i, peer)
    {
        json_int_t id = json_integer_value(json_object_get(peer, "link"));

        const BwMeshLink *link = BwMesh_Find(mesh, (uint32_t)id);

        if (link != NULL)
            json_object_set_new(peer, "name", json_string(link->name));
    }
}

static json_t *
status(BwNode *node, uint64_t now_us)
{
    Role *role = node->role;
    json_t *out = BwNodeStatus_Supervisor(&role->supervisor, now_us);

    add_names(json_object_get(out, "peers"), &node->mesh);
    return out;
}

const BwNodeOps BwSupervisorRole_Ops = {
    "supervisor", init, tick, stop, is_stopped, finish, counters, status,
};
