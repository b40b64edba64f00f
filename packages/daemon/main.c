/* main.c -- brasswingd: command line, start, event loop and graceful stop

   An entry or agent serves its requests on the main thread and reads the log
   on a second one (directory.h), which sends it changes of the ring and the
   configuration as messages.  Dispatchers and supervisors run in node.c.
*/

#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "daemon.h"
#include "jsonbound.h"
#include "node.h"
#include "nodelist.h"
#include "tokens.h"

#define EXIT_USAGE 2
#define COUNTERS_MAX 96
#define INCARNATION_MASK ((UINT64_C(1) << 62) - 1)

static BwSignals signals;

static void
on_signal(int number)
{
    if (number == SIGHUP)
        signals.reload_requested = 1;
    else
        signals.stop_requested = 1;
}

/* ----------------------------------------------------------------- replies */

BwHello
BwDaemon_Hello(const BwDaemon *daemon)
{
    BwHello hello = {0};

    hello.wire_version = BW_WIRE_VERSION;
    hello.wire_version_max = BW_WIRE_VERSION;
    hello.build = BwSpan_FromString(BW_BUILD);
    hello.role = daemon->settings.role == BW_SETTINGS_AGENT ? BW_ROLE_AGENT
                                                            : BW_ROLE_ENTRY;
    hello.name = BwSpan_FromString(daemon->settings.name);
    hello.incarnation = daemon->incarnation;
    hello.region = BwSpan_FromString(daemon->settings.region);
    hello.domain = BwSpan_FromString(daemon->settings.domain);
    hello.http_host = BwSpan_FromString(daemon->settings.http.host);
    return hello;
}

void
BwDaemon_ReplyRetryAfter(BwExchange *exchange, BwErrorKind error,
                         const char *detail, uint32_t retry_after_ms)
{
    char *text = BwJobJson_Error(error, detail);

    BwExchange_Reply(exchange, BwError_Describe(error)->http_status,
                     "application/json",
                     BwSpan_FromString(text != NULL ? text : "{}"),
                     (retry_after_ms + 999) / 1000);
    free(text);
}

void
BwDaemon_ReplyError(BwExchange *exchange, BwErrorKind error,
                    const char *detail)
{
    int status = BwError_Describe(error)->http_status;

    BwDaemon_ReplyRetryAfter(exchange, error, detail,
                             status == 429 || status == 503 ? 1000 : 0);
}

void
BwDaemon_ReplyCounters(BwExchange *exchange, const BwCounter *counters,
                       uint32_t count)
{
    char *text = BwCounters_Write(counters, count);

    BwExchange_Reply(exchange, 200, "text/plain; version=0.0.4",
                     BwSpan_FromString(text != NULL ? text : ""), 0);
    free(text);
}

void
BwDaemon_RefuseNoRoom(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    BwDaemon_ReplyError(exchange, BW_ERR_NO_MEMORY,
                        "the requests under way hold the memory that "
                        "limits.memory_mb of the settings leaves for them");
}

bool
BwDaemon_CheckValues(BwExchange *exchange)
{
    if (BwJsonBound_Check(exchange->body))
        return true;
    BwDaemon_ReplyError(exchange, BW_ERR_BAD_REQUEST, BW_JSON_BOUND_FAULT);
    return false;
}

void
BwDaemon_GuardServer(BwHttpServer *server, BwAccount *account,
                     BwShareKind kind)
{
    static char *too_large;

    if (too_large == NULL)
        too_large = BwJobJson_Error(
            BW_ERR_TOO_LARGE, "the body exceeds limits.body_bytes of the "
                              "settings");
    server->too_large_body = too_large;
    BwHttpServer_SetAccount(server, account, kind);
}

void
BwDaemon_LogDecision(const BwDaemon *daemon, const BwDecision *decision)
{
    char id[36];
    char key[260];

    snprintf(id, sizeof(id), "%016llx%016llx",
             (unsigned long long)decision->job.high,
             (unsigned long long)decision->job.low);
    BwSpan_ToString(decision->key, key, sizeof(key));
    BwDecisions_Add(daemon->decisions, BwClock_WallNow(), decision);
    BW_LOG(&daemon->logger, BW_LOG_INFO, decision->what,
           BW_LOG_TEXT("job", id), BW_LOG_TEXT("key", key),
           BW_LOG_NUMBER("count", decision->count),
           BW_LOG_TEXT("choice", decision->choice),
           BW_LOG_NUMBER("alternatives", decision->alternatives),
           BW_LOG_TEXT("reason", decision->reason));
}

static void
serve_metrics(BwDaemon *daemon, BwExchange *exchange)
{
    BwCounter counters[COUNTERS_MAX];
    uint32_t n = daemon->ops->counters(daemon, counters, COUNTERS_MAX);

    n = BwLinkCounters_List(&daemon->peers.counters, counters, n,
                            COUNTERS_MAX);
#define ADD(name, help, kind, value)                                          \
    n = BwCounters_Add(counters, n, COUNTERS_MAX, name, help, kind, value)
    ADD("brasswing_cpu_microseconds_total", "Processor time", BW_COUNTER,
        BwCounters_CpuUs());
    ADD("brasswing_resident_bytes", "Resident memory", BW_GAUGE,
        BwCounters_ResidentBytes());
    ADD("brasswing_revision", "Configuration revision in force", BW_GAUGE,
        daemon->revision);
    ADD("brasswing_log_up", "Whether the log answers", BW_GAUGE,
        daemon->is_log_up);
    ADD("brasswing_ring_agents", "Agents of the ring", BW_GAUGE,
        daemon->ring.agent_count);
#undef ADD
    n = BwAccount_Counters(&daemon->account, counters, n, COUNTERS_MAX);
    n = BwLoopWatch_Counters(&daemon->loop_watch, counters, n, COUNTERS_MAX);
    BwDaemon_ReplyCounters(exchange, counters, n);
}

static void
serve_status(BwDaemon *daemon, BwExchange *exchange)
{
    json_t *status = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:b, s:b, s:b, s:o}", "name",
        daemon->settings.name, "role", daemon->ops->name, "region",
        daemon->settings.region, "domain", daemon->settings.domain, "revision",
        (json_int_t)daemon->revision, "ring_version",
        (json_int_t)daemon->ring.version, "ring_agents",
        (json_int_t)daemon->ring.agent_count, "log_up", (int)daemon->is_log_up,
        "stopping", (int)daemon->is_stopping, "ready",
        (int)(daemon->is_ready && daemon->revision > 0), "detail",
        daemon->ops->status(daemon));
    char *text = json_dumps(status, JSON_COMPACT);

    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString(text != NULL ? text : "{}"), 0);
    free(text);
    json_decref(status);
}

bool
BwDaemon_SplitPath(BwSpan path, const char *prefix, BwSpan *member,
                   BwSpan *key)
{
    size_t length = strlen(prefix);
    const char *slash;

    if (path.size_bytes <= length || memcmp(path.base, prefix, length) != 0)
        return false;
    member->base = path.base + length;
    slash = memchr(member->base, '/', path.size_bytes - length);
    if (slash == NULL)
        return false;
    member->size_bytes = (uint32_t)(slash - member->base);
    key->base = slash + 1;
    key->size_bytes = path.size_bytes - (uint32_t)(key->base - path.base);
    return member->size_bytes > 0 && key->size_bytes > 0 &&
           member->size_bytes < BW_NAME_BYTES_MAX && key->size_bytes <= 256;
}

/* Answers GET /v1/decisions/MEMBER/KEY.  A member with tokens must present one
   of them. */
static void
serve_decisions(BwDaemon *daemon, BwExchange *exchange, BwSpan member,
                BwSpan key)
{
    BwErrorKind error = BwTokens_Check(
        &daemon->config, member, BwExchange_Header(exchange, "authorization"));
    BwJobId job = BwJobId_Make(member, key);
    char *text;

    if (error != BW_OK) {
        BwDaemon_ReplyError(exchange, error,
                            "the member's jobs need one of its bearer tokens");
        return;
    }
    text = BwDecisions_Write(daemon->decisions, daemon->settings.name, job);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString(text != NULL ? text : "{}"), 0);
    free(text);
}

bool
BwDaemon_ServeCommon(BwDaemon *daemon, BwExchange *exchange)
{
    BwSpan member, key;

    if (!BwSpan_Equal(exchange->method, BwSpan_FromString("GET")))
        return false;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/metrics"))) {
        serve_metrics(daemon, exchange);
        return true;
    }
    if (BwDaemon_SplitPath(exchange->path, "/v1/decisions/", &member, &key)) {
        serve_decisions(daemon, exchange, member, key);
        return true;
    }
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/v1/nodes"))) {
        BwNodeList_Serve(daemon, exchange);
        return true;
    }
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/v1/status"))) {
        serve_status(daemon, exchange);
        return true;
    }
    return false;
}

/* -------------------------------------------------------------- event loop */

static void
apply_ring(BwDaemon *daemon, BwRingUpdate *update)
{
    BwRing_Finish(&daemon->ring);
    daemon->ring = update->ring;
    daemon->previous_incarnation =
        update->newest_join_incarnation == daemon->incarnation
            ? update->previous_join_incarnation
            : update->newest_join_incarnation;
    daemon->is_ready = true;
    BW_LOG(&daemon->logger, BW_LOG_INFO, "ring",
           BW_LOG_NUMBER("version", daemon->ring.version),
           BW_LOG_NUMBER("agents", daemon->ring.agent_count));
    daemon->ops->on_ring(daemon);
}

static void
free_config(BwConfigUpdate *update)
{
    BwConfig_Finish(&update->config);
    free(update->text);
    free(update);
}

/* Takes ownership of the update; drops it unless its revision is newer. */
static void
apply_config(BwDaemon *daemon, BwConfigUpdate *update)
{
    if (update->revision.number <= daemon->revision) {
        free_config(update);
        return;
    }
    if (daemon->config_update != NULL)
        free_config(daemon->config_update);
    daemon->config_update = update;
    daemon->config = update->config;
    daemon->revision = update->revision.number;
    BW_LOG(&daemon->logger, BW_LOG_INFO, "config_in_force",
           BW_LOG_NUMBER("revision", daemon->revision));
    daemon->ops->on_config(daemon);
}

static void
on_thread_message(void *ctx, BwThreadMessage *message)
{
    BwDaemon *daemon = ctx;

    switch (message->kind) {
    case BW_THREAD_MSG_RING:
        apply_ring(daemon, (BwRingUpdate *)message);
        break;
    case BW_THREAD_MSG_CONFIG:
        apply_config(daemon, (BwConfigUpdate *)message);
        return;
    case BW_THREAD_MSG_LOG_STATE:
        daemon->is_log_up = ((BwLogStateUpdate *)message)->is_up;
        break;
    default:
        break;
    }
    free(message);
}

void
BwDaemon_Leave(BwDaemon *daemon, const char *reason)
{
    if (daemon->is_leaving)
        return;
    daemon->is_leaving = true;
    BW_LOG(&daemon->logger, BW_LOG_INFO, "leaving",
           BW_LOG_TEXT("reason", reason));
    daemon->ops->stop(daemon);
}

static void
begin_stop(BwDaemon *daemon)
{
    daemon->is_stopping = true;
    BW_LOG(&daemon->logger, BW_LOG_INFO, "stopping",
           BW_LOG_TEXT("reason", "signal"));
    BwHttpServer_Shutdown(&daemon->http);
    BwDaemon_Leave(daemon, "signal");
}

/* Sets the TLS contexts for new connections; open connections keep the
   certificate that they started with. */
static void
set_tls_contexts(BwDaemon *daemon)
{
    daemon->http.accept.ssl_ctx = daemon->tls_contexts.callers;
    daemon->peers.tls.server = daemon->tls_contexts.peer_server;
    daemon->peers.tls.client = daemon->tls_contexts.peer_client;
    daemon->peers.tls.name = BW_PEER_CERTIFICATE_NAME;
}

static void
tick_tls(BwDaemon *daemon)
{
    if (BwTls_Tick(&daemon->tls_contexts, BwClock_Now())) {
        set_tls_contexts(daemon);
        BW_LOG(&daemon->logger, BW_LOG_INFO, "keys",
               BW_LOG_TEXT("state", "certificates reloaded"));
    }
    else if (daemon->tls_contexts.fault[0] != '\0') {
        BW_LOG(&daemon->logger, BW_LOG_ERROR, "keys",
               BW_LOG_TEXT("fault", daemon->tls_contexts.fault));
        daemon->tls_contexts.fault[0] = '\0';
    }
}

static void
on_tick(void *ctx)
{
    BwDaemon *daemon = ctx;

    BwLoopWatch_Tick(&daemon->loop_watch, &daemon->logger, BwClock_Now(),
                     BwClock_WallNow());
    tick_tls(daemon);
    BwHttpServer_Tick(&daemon->http);
    BwAccount_Tick(&daemon->account, BwClock_Now(), &daemon->logger);
    daemon->ops->on_tick(daemon, BwClock_Now());
    BwConfigFetch_Tick(&daemon->config_fetch, daemon, BwClock_Now());
    if (signals.stop_requested && !daemon->is_stopping)
        begin_stop(daemon);
    if (daemon->is_stopping && daemon->ops->is_stopped(daemon))
        BwEventLoop_Stop(&daemon->event_loop);
}

static const BwLoopEvents loop_events = {on_thread_message, on_tick};

static void
set_signals(void)
{
    struct sigaction action;

    memset(&action, 0, sizeof(action));
    action.sa_handler = on_signal;
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    sigaction(SIGHUP, &action, NULL);
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, NULL);
}

static bool
start(BwDaemon *daemon)
{
    uint64_t number = 0;

    if (getrandom(&number, sizeof(number), 0) != sizeof(number))
        return false;
    daemon->incarnation = (number & INCARNATION_MASK) | 1;
    daemon->logger.fd = STDERR_FILENO;
    daemon->logger.level = (BwLogLevel)daemon->settings.log_level;
    daemon->logger.format = (BwLogFormat)daemon->settings.log_format;
    daemon->logger.name = daemon->settings.name;
    daemon->ops = daemon->settings.role == BW_SETTINGS_AGENT ? &BwAgent_Ops
                                                             : &BwEntry_Ops;
    daemon->decisions = BwDecisions_New();
    if (daemon->decisions == NULL)
        return false;
    BwAccount_Init(&daemon->account,
                   (uint64_t)daemon->settings.limits.memory_mb * 1000 * 1000,
                   daemon->settings.limits.descriptors,
                   daemon->settings.role == BW_SETTINGS_AGENT
                       ? 1u << BW_SHARE_CALLERS | 1u << BW_SHARE_PEERS
                       : 1u << BW_SHARE_CALLERS);
    BwEventLoop_Init(&daemon->event_loop, &loop_events, daemon);
    if (!BwDirectory_Init(&daemon->directory, &daemon->event_loop,
                          &daemon->settings, &daemon->logger))
        return false;
    if (!BwTls_Init(&daemon->tls_contexts, &daemon->settings)) {
        BW_LOG(&daemon->logger, BW_LOG_ERROR, "start_failed",
               BW_LOG_TEXT("cause", daemon->tls_contexts.fault));
        return false;
    }
    if (!daemon->ops->init(daemon)) {
        BW_LOG(&daemon->logger, BW_LOG_ERROR, "start_failed",
               BW_LOG_TEXT("cause", strerror(errno)),
               BW_LOG_TEXT("remedy", "check the addresses in the settings"));
        return false;
    }
    BwDaemon_GuardServer(&daemon->http, &daemon->account, BW_SHARE_CALLERS);
    BwPeers_SetAccount(&daemon->peers, &daemon->account);
    daemon->peers.hello.http_port = daemon->http.port;
    BwConfigFetch_Init(&daemon->config_fetch, BwClock_Now());
    set_tls_contexts(daemon);
    BW_LOG(&daemon->logger, BW_LOG_INFO, "started",
           BW_LOG_TEXT("role", daemon->ops->name),
           BW_LOG_TEXT("build", BW_BUILD),
           BW_LOG_NUMBER("http_port", daemon->http.port),
           BW_LOG_NUMBER("peer_port", daemon->settings.peer.port),
           BW_LOG_NUMBER("incarnation", daemon->incarnation));
    return BwEventLoop_Start(&daemon->directory.event_loop);
}

/* Loads the settings and prints their faults.  Returns false if they cannot be
   used, or if `is_strict` and there is any fault. */
static bool
load_settings(BwSettings *settings, const char *path, bool is_strict)
{
    BwYamlFaults *faults = calloc(1, sizeof(BwYamlFaults));
    bool is_valid;

    if (faults == NULL) {
        memset(settings, 0, sizeof(*settings));
        return false;
    }
    is_valid = BwSettings_Load(settings, path, faults) &&
               (faults->count == 0 || !is_strict);
    for (uint32_t i = 0; i < faults->count && i < BW_YAML_FAULTS_MAX; i++)
        fprintf(stderr, "%s\n", faults->lines[i]);
    free(faults);
    return is_valid;
}

static int
check(const char *path)
{
    BwSettings settings;
    bool is_valid = load_settings(&settings, path, true);

    BwSettings_Finish(&settings);
    return is_valid ? EXIT_SUCCESS : EXIT_USAGE;
}

static int
run(const char *path)
{
    BwDaemon *daemon = calloc(1, sizeof(BwDaemon));
    BwFileState file = {0};
    int code = EXIT_FAILURE;

    if (daemon == NULL)
        goto cleanup;
    BwFileState_Update(&file, path);
    if (!load_settings(&daemon->settings, path, false)) {
        BwSettings_Finish(&daemon->settings);
        code = EXIT_USAGE;
        goto cleanup;
    }
    set_signals();
    if (daemon->settings.role >= BW_SETTINGS_DISPATCHER) {
        code = BwNode_Run(&daemon->settings, path, &file, &signals);
        goto cleanup;
    }
    if (start(daemon)) {
        BwEventLoop_Run(&daemon->event_loop);
        BwEventLoop_Stop(&daemon->directory.event_loop);
        BwEventLoop_Join(&daemon->directory.event_loop);
        BwDirectory_Finish(&daemon->directory);
        daemon->ops->finish(daemon);
        BwPeers_Finish(&daemon->peers);
        BwTls_Finish(&daemon->tls_contexts);
        BwRing_Finish(&daemon->ring);
        BwConfigFetch_Finish(&daemon->config_fetch);
        if (daemon->config_update != NULL)
            free_config(daemon->config_update);
        BW_LOG(&daemon->logger, BW_LOG_INFO, "stopped",
               BW_LOG_NUMBER("revision", daemon->revision));
        code = EXIT_SUCCESS;
    }
    BwSettings_Finish(&daemon->settings);
    free(daemon->decisions);
cleanup:
    free(daemon);
    return code;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"settings", required_argument, NULL, 's'},
        {"check", no_argument, NULL, 'c'},
        {"version", no_argument, NULL, 'V'},
        {"help", no_argument, NULL, 'h'},
        {NULL, 0, NULL, 0},
    };
    const char *path = NULL;
    bool only_checks = false;
    int option;

    while ((option = getopt_long(argc, argv, "s:cVh", options, NULL)) != -1) {
        switch (option) {
        case 's':
            path = optarg;
            break;
        case 'c':
            only_checks = true;
            break;
        case 'V':
            printf("brasswingd %s\n", BW_BUILD);
            return EXIT_SUCCESS;
        case 'h':
            printf("usage: brasswingd --settings FILE [--check]\n"
                   "  -s, --settings FILE  YAML settings of this process\n"
                   "  -c, --check          print the settings' faults and "
                   "end\n"
                   "  -V, --version        print the version\n"
                   "  -h, --help           print this text\n");
            return EXIT_SUCCESS;
        default:
            return EXIT_USAGE;
        }
    }
    if (path == NULL || optind != argc) {
        fprintf(stderr, "usage: brasswingd --settings FILE [--check]\n");
        return EXIT_USAGE;
    }
    return only_checks ? check(path) : run(path);
}
