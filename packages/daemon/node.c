/* node.c -- the process of a dispatcher or supervisor

   Described in node.h.
*/

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "brasswing.h"
#include "daemon.h"
#include "node.h"

#define INCARNATION_MASK ((UINT64_C(1) << 62) - 1)
#define COUNTERS_MAX 96
#define SETTINGS_POLL_US 1000000

typedef struct NodeProcess {
    BwNode node;
    const char *path;
    BwFileState file; /* state of the file at the last poll */
    uint64_t next_poll_us;
    bool has_fault; /* the last read of the file found a fault */
    BwHttpServer metrics;
    bool has_metrics;
    BwSignals *signals;
} NodeProcess;

void
BwNode_SendRequest(BwHttpClient *client, BwHttpRequest *request,
                   uint64_t deadline_us, BwHttpCallback callback, void *data)
{
    BwSpan body = {request->body != NULL ? request->body : "",
                   request->body_bytes};

    BwHttpClient_Send(client, request->method,
                      BwSpan_FromString(request->path), request->headers, body,
                      deadline_us, callback, data);
    free(request->body);
    request->body = NULL;
}

static void
serve_metrics(BwNode *node, BwExchange *exchange)
{
    BwCounter counters[COUNTERS_MAX];
    uint32_t n;

    n = node->ops->counters(node, counters, COUNTERS_MAX);
    n = BwLinkCounters_List(&node->mesh.counters, counters, n, COUNTERS_MAX);
#define ADD(name, help, kind, value)                                          \
    n = BwCounters_Add(counters, n, COUNTERS_MAX, name, help, kind, value)
    ADD("brasswing_cpu_microseconds_total", "Processor time", BW_COUNTER,
        BwCounters_CpuUs());
    ADD("brasswing_resident_bytes", "Resident memory", BW_GAUGE,
        BwCounters_ResidentBytes());
#undef ADD
    n = BwAccount_Counters(&node->account, counters, n, COUNTERS_MAX);
    n = BwLoopWatch_Counters(&node->loop_watch, counters, n, COUNTERS_MAX);
    BwDaemon_ReplyCounters(exchange, counters, n);
}

static void
serve_status(BwNode *node, BwExchange *exchange)
{
    const BwSettings *settings = &node->settings;
    json_t *detail = node->ops->status(node, BwClock_Now());
    json_t *status = json_pack(
        "{s:s, s:s, s:s, s:s, s:b, s:s, s:i}", "name", settings->name, "role",
        node->ops->name, "region", settings->region, "domain",
        settings->domain, "stopping", (int)node->is_stopping, "build",
        BW_BUILD, "wire_version", BW_WIRE_VERSION);
    char *text;

    json_object_update(status, detail);
    text = json_dumps(status, JSON_COMPACT);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString(text != NULL ? text : "{}"), 0);
    free(text);
    json_decref(detail);
    json_decref(status);
}

bool
BwNode_ServeCommon(BwNode *node, BwExchange *exchange)
{
    if (!BwSpan_Equal(exchange->method, BwSpan_FromString("GET")))
        return false;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/metrics")))
        serve_metrics(node, exchange);
    else if (BwSpan_Equal(exchange->path, BwSpan_FromString("/v1/status")))
        serve_status(node, exchange);
    else
        return false;
    return true;
}

/* ------------------------------------------------- port for monitoring */

/* Limits what a request there may cost; none has a body. */
#define METRICS_BODY_BYTES_MAX 1024

static void
on_metrics_request(void *ctx, BwExchange *exchange)
{
    NodeProcess *process = ctx;

    if (!BwNode_ServeCommon(&process->node, exchange))
        BwExchange_Reply(exchange, 404, "text/plain",
                         BwSpan_FromString("only GET of /metrics and "
                                           "/v1/status is answered here\n"),
                         0);
}

static void
on_metrics_abort(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    (void)exchange;
}

/* Monitoring must not keep a process from serving: without its port the
   process runs all the same. */
static void
open_metrics(NodeProcess *process)
{
    static const BwHttpEvents events = {on_metrics_request, on_metrics_abort,
                                        BwDaemon_RefuseNoRoom};
    BwNode *node = &process->node;
    const BwEndpoint *endpoint = &node->settings.metrics;

    if (endpoint->host[0] == '\0')
        return;
    process->has_metrics = BwHttpServer_Init(
        &process->metrics, node->event_loop.loop, endpoint->host,
        (uint16_t)endpoint->port, METRICS_BODY_BYTES_MAX, &events, process);
    if (process->has_metrics)
        BwDaemon_GuardServer(&process->metrics, &node->account,
                             BW_SHARE_OPERATORS);
    else
        BW_LOG(&node->logger, BW_LOG_WARNING, "metrics_unavailable",
               BW_LOG_NUMBER("port", endpoint->port),
               BW_LOG_TEXT("cause", strerror(errno)),
               BW_LOG_TEXT("remedy", "give 'metrics' another port"));
}

static void
on_thread_message(void *ctx, BwThreadMessage *message)
{
    (void)ctx;
    free(message);
}

/* Reads the settings again.  A file with a fault changes nothing and is read
   again at each poll: a file that was still being written may be complete
   later although its time, size and inode are those that were seen first. */
static void
reload(NodeProcess *process, uint64_t now_us, bool is_changed)
{
    BwNode *node = &process->node;
    BwYamlFaults *faults = calloc(1, sizeof(*faults));
    BwSettings fresh;

    if (faults == NULL)
        return;
    process->has_fault = !BwSettings_Load(&fresh, process->path, faults);
    if (!process->has_fault) {
        BwMesh_SetSeeds(&node->mesh, now_us, &fresh);
        node->settings.limits.stop_ms = fresh.limits.stop_ms;
        node->logger.level = (BwLogLevel)fresh.log_level;
        BW_LOG(&node->logger, BW_LOG_INFO, "reloaded",
               BW_LOG_NUMBER("seeds", fresh.peer_count),
               BW_LOG_NUMBER("unknown_keys", faults->unknown_keys),
               BW_LOG_TEXT("warning", faults->lines[0]));
    }
    else if (is_changed) {
        BW_LOG(&node->logger, BW_LOG_ERROR, "reload_refused",
               BW_LOG_TEXT("fault", faults->lines[0]),
               BW_LOG_NUMBER("faults", faults->count));
    }
    BwSettings_Finish(&fresh);
    free(faults);
}

static void
tick_settings(NodeProcess *process, uint64_t now_us)
{
    bool is_requested = process->signals->reload_requested != 0;
    bool is_changed;

    if (!is_requested && now_us < process->next_poll_us)
        return;
    process->signals->reload_requested = 0;
    process->next_poll_us = now_us + SETTINGS_POLL_US;
    is_changed =
        BwFileState_Update(&process->file, process->path) || is_requested;
    if (is_changed || process->has_fault)
        reload(process, now_us, is_changed);
}

static void
on_tick(void *ctx)
{
    NodeProcess *process = ctx;
    BwNode *node = &process->node;
    uint64_t now_us = BwClock_Now();

    BwLoopWatch_Tick(&node->loop_watch, &node->logger, now_us,
                     BwClock_WallNow());
    tick_settings(process, now_us);
    BwMesh_Tick(&node->mesh, now_us);
    if (process->has_metrics)
        BwHttpServer_Tick(&process->metrics);
    node->ops->tick(node, now_us);
    BwAccount_Tick(&node->account, now_us, &node->logger);
    if (process->signals->stop_requested && !node->is_stopping) {
        node->is_stopping = true;
        node->stop_began_us = now_us;
        BW_LOG(&node->logger, BW_LOG_INFO, "stopping",
               BW_LOG_TEXT("reason", "signal"));
        node->ops->stop(node, now_us);
    }
    if (node->is_stopping && node->ops->is_stopped(node, now_us))
        BwEventLoop_Stop(&node->event_loop);
}

static const BwLoopEvents loop_events = {on_thread_message, on_tick};

int
BwNode_Run(BwSettings *settings, const char *path, const BwFileState *file,
           BwSignals *signals)
{
    /* Stays until exit, as h2o does with its loop and the open connections, so
       that a leak check reports only what is lost. */
    static NodeProcess process_state;
    NodeProcess *process = &process_state;
    BwNode *node = &process->node;
    uint64_t number = 0;
    int code = EXIT_FAILURE;

    if (getrandom(&number, sizeof(number), 0) != sizeof(number))
        goto cleanup;
    node->settings = *settings;
    process->path = path;
    process->file = *file;
    process->signals = signals;
    node->incarnation = (number & INCARNATION_MASK) | 1;
    node->logger.fd = STDERR_FILENO;
    node->logger.level = (BwLogLevel)settings->log_level;
    node->logger.format = (BwLogFormat)settings->log_format;
    node->logger.name = node->settings.name;
    node->driver = &BwPlatform_Driver;
    node->ops = settings->role == BW_SETTINGS_DISPATCHER
                    ? &BwDispatcherRole_Ops
                    : &BwSupervisorRole_Ops;
    BwAccount_Init(&node->account,
                   (uint64_t)settings->limits.memory_mb * 1000 * 1000,
                   settings->limits.descriptors,
                   1u << BW_SHARE_OPERATORS |
                       (settings->role == BW_SETTINGS_DISPATCHER
                            ? 1u << BW_SHARE_CALLERS | 1u << BW_SHARE_PEERS
                            : 1u << BW_SHARE_WORKERS));
    BwEventLoop_Init(&node->event_loop, &loop_events, process);
    if (!node->ops->init(node)) {
        BW_LOG(&node->logger, BW_LOG_ERROR, "start_failed",
               BW_LOG_TEXT("cause", strerror(errno)),
               BW_LOG_TEXT("remedy", "check the addresses in the settings"));
        goto cleanup;
    }
    open_metrics(process);
    BW_LOG(&node->logger, BW_LOG_INFO, "started",
           BW_LOG_TEXT("role", node->ops->name),
           BW_LOG_TEXT("build", BW_BUILD),
           BW_LOG_NUMBER("http_port", node->http_port),
           BW_LOG_NUMBER("ready_port", node->ready_port),
           BW_LOG_NUMBER("peer_port", node->mesh.hello.http_port),
           BW_LOG_NUMBER("metrics_port",
                         process->has_metrics ? process->metrics.port : 0),
           BW_LOG_NUMBER("incarnation", node->incarnation));
    BwEventLoop_Run(&node->event_loop);
    node->ops->finish(node);
    BwMesh_Finish(&node->mesh);
    BW_LOG(&node->logger, BW_LOG_INFO, "stopped");
    code = EXIT_SUCCESS;
cleanup:
    BwSettings_Finish(settings);
    return code;
}
