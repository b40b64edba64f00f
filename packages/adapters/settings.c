/* settings.c -- the settings of one brasswingd process

   Described in settings.h.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "net.h"
#include "settings.h"

#define STOP_DEFAULT_MS 5000
#define MEMORY_DEFAULT_MB 128
#define BYTES_PER_MB 1000000
/* Bodies of the largest size for which a process has memory. */
#define BODIES_IN_MEMORY 8
/* Time in which a published configuration is in force, of dispatchers and of
   the other roles. */
#define CONFIG_APPLY_DISPATCHER_MS 2000
#define CONFIG_APPLY_DEFAULT_MS 12000

#define TEXT(s, k, f, need, how)                                              \
    {                                                                         \
        .key = k, .type = BW_YAML_TEXT, .is_required = need,                  \
        .offset = offsetof(s, f), .size_bytes = sizeof(((s *)0)->f),          \
        .minimum = 1, .remedy = how                                           \
    }
#define NUMBER(s, k, t, f, low, high, how)                                    \
    {                                                                         \
        .key = k, .type = t, .offset = offsetof(s, f), .minimum = low,        \
        .maximum = high, .remedy = how                                        \
    }
#define NESTED(s, k, f, need, e)                                              \
    {                                                                         \
        .key = k, .type = BW_YAML_STRUCT, .is_required = need,                \
        .offset = offsetof(s, f), .element = &(e)                             \
    }
#define SCHEMA(s, title, f)                                                   \
    {                                                                         \
        .name = title, .size_bytes = sizeof(s),                               \
        .field_count = sizeof(f) / sizeof(f[0]), .fields = f                  \
    }

static const BwYamlField endpoint_fields[] = {
    TEXT(BwEndpoint, "host", host, false, "give an IP number"),
    NUMBER(BwEndpoint, "port", BW_YAML_U32, port, 0, 65535, "give a TCP port"),
    TEXT(BwEndpoint, "address", address, false, "give HOST:PORT"),
};
static const BwYamlSchema endpoint_schema =
    SCHEMA(BwEndpoint, "an address", endpoint_fields);

static const BwYamlField limits_fields[] = {
    NUMBER(BwLimits, "jobs", BW_YAML_U32, jobs, 1, 1000000,
           "give the number of jobs that one home keeps"),
    NUMBER(BwLimits, "job_bytes", BW_YAML_U64, job_bytes, 65536, 1ull << 40,
           "give the bytes that one home keeps"),
    NUMBER(BwLimits, "body_bytes", BW_YAML_U32, body_bytes, 1024, 1u << 25,
           "give the largest HTTP body"),
    NUMBER(BwLimits, "memory_mb", BW_YAML_U32, memory_mb, 16, 1u << 20,
           "give the memory of this process in MB"),
    NUMBER(BwLimits, "descriptors", BW_YAML_U32, descriptors, 64, 1u << 20,
           "give the number of descriptors of this process"),
    NUMBER(BwLimits, "waiting_requests", BW_YAML_U32, waiting_requests, 1,
           1000000, "give the number of requests that one entry keeps"),
    NUMBER(BwLimits, "job_lifetime_ms", BW_YAML_U64, job_lifetime_ms, 1000,
           3600000, "give the longest time from submission to deadline"),
    NUMBER(BwLimits, "answer_kept_ms", BW_YAML_U64, answer_kept_ms, 1000,
           3600000, "give how long an answer is kept past the deadline"),
    NUMBER(BwLimits, "lease_ms", BW_YAML_U64, lease_ms, 1500, 60000,
           "give how long a custodian may act without its guardian"),
    NUMBER(BwLimits, "clock_skew_ms", BW_YAML_U64, clock_skew_ms, 0, 60000,
           "give the greatest difference of two hosts' wall clocks"),
    NUMBER(BwLimits, "silence_ms", BW_YAML_U64, silence_ms, 1000, 600000,
           "give how long a silent executor is waited for"),
    NUMBER(BwLimits, "session_ms", BW_YAML_U64, session_ms, 100, 60000,
           "give how long a supervisor runs tasks of a silent dispatcher"),
    NUMBER(BwLimits, "worker_lease_ms", BW_YAML_U64, worker_lease_ms, 100,
           60000, "give how long a worker runs tasks of a silent supervisor"),
    NUMBER(BwLimits, "resend_ms", BW_YAML_U64, resend_ms, 1, 600000,
           "give the least time until a caller sends a bound job again"),
    NUMBER(BwLimits, "worker_lease_max_ms", BW_YAML_U64, worker_lease_max_ms,
           1, 600000, "give the longest lease that a worker accepts"),
    NUMBER(BwLimits, "worker_stop_ms", BW_YAML_U64, worker_stop_ms, 1, 60000,
           "give the time in which a worker ends a stopped task"),
    NUMBER(BwLimits, "contact_ms", BW_YAML_U64, contact_ms, 500, 600000,
           "give the silence after which contact with a host counts as lost"),
    NUMBER(BwLimits, "grace_s", BW_YAML_SECONDS, grace_ms, 100, 600000,
           "give the time from SIGTERM until the host kills a process"),
    NUMBER(BwLimits, "startup_hold_permille", BW_YAML_U32,
           startup_hold_permille, 0, 900,
           "give the share of a caller's time for which its request is held "
           "while no configuration is in force"),
    NUMBER(BwLimits, "config_apply_ms", BW_YAML_U64, config_apply_ms, 500,
           600000,
           "give the time in which a published configuration has to "
           "be in force"),
    NUMBER(BwLimits, "stop_ms", BW_YAML_U64, stop_ms, 100, 600000,
           "give how long a planned stop may take"),
};
static const BwYamlSchema limits_schema =
    SCHEMA(BwLimits, "limits", limits_fields);

static const BwYamlField tls_fields[] = {
    TEXT(BwTlsFiles, "certificate", certificate, true, "name a PEM file"),
    TEXT(BwTlsFiles, "key", key, true, "name a PEM file"),
};
static const BwYamlSchema tls_schema = SCHEMA(BwTlsFiles, "tls", tls_fields);

static const BwYamlField peer_tls_fields[] = {
    TEXT(BwTlsFiles, "certificate", certificate, true, "name a PEM file"),
    TEXT(BwTlsFiles, "key", key, true, "name a PEM file"),
    TEXT(BwTlsFiles, "authority", authority, true, "name a PEM file"),
};
static const BwYamlSchema peer_tls_schema =
    SCHEMA(BwTlsFiles, "peer_tls", peer_tls_fields);

static const char *const role_names[] = {"entry", "agent", "dispatcher",
                                         "supervisor", NULL};
static const char *const level_names[] = {"error", "warning", "info", "debug",
                                          NULL};

static const char *const format_names[] = {"key_value", "json", NULL};

/* In the order of BwBackfillPolicy. */
static const char *const backfill_names[] = {"greedy", "easy", NULL};

static const BwYamlField settings_fields[] = {
    {.key = "role",
     .type = BW_YAML_CHOICE,
     .is_required = true,
     .offset = offsetof(BwSettings, role),
     .choices = role_names,
     .remedy = "an entry takes callers' requests, an agent runs tasks; a "
               "dispatcher takes bound jobs, a supervisor runs them"},
    TEXT(BwSettings, "name", name, true, "give this process a unique name"),
    TEXT(BwSettings, "region", region, true, "name the region"),
    TEXT(BwSettings, "domain", domain, true, "name the failure domain"),
    NESTED(BwSettings, "http", http, true, endpoint_schema),
    NESTED(BwSettings, "peer", peer, false, endpoint_schema),
    NESTED(BwSettings, "ready", ready, false, endpoint_schema),
    NESTED(BwSettings, "metrics", metrics, false, endpoint_schema),
    NESTED(BwSettings, "worker", worker, false, endpoint_schema),
    NESTED(BwSettings, "log", log, true, endpoint_schema),
    TEXT(BwSettings, "log_stream", log_stream, false,
         "name the stream of the platform's log"),
    NUMBER(BwSettings, "log_retention_s", BW_YAML_U64, log_retention_s, 60,
           315360000, "give the seconds that the log keeps a record"),
    {.key = "log_level",
     .type = BW_YAML_CHOICE,
     .offset = offsetof(BwSettings, log_level),
     .choices = level_names,
     .remedy = "choose which levels are logged"},
    {.key = "log_format",
     .type = BW_YAML_CHOICE,
     .offset = offsetof(BwSettings, log_format),
     .choices = format_names,
     .remedy = "choose the format of a log line"},
    {.key = "backfill",
     .type = BW_YAML_CHOICE,
     .offset = offsetof(BwSettings, backfill),
     .choices = backfill_names,
     .remedy = "choose which queued tasks of a worker may overtake others"},
    {.key = "peers",
     .type = BW_YAML_LIST,
     .offset = offsetof(BwSettings, peers),
     .count_offset = offsetof(BwSettings, peer_count),
     .element = &endpoint_schema,
     .remedy = "list addresses of agents"},
    NESTED(BwSettings, "limits", limits, false, limits_schema),
    NESTED(BwSettings, "tls", tls, false, tls_schema),
    NESTED(BwSettings, "peer_tls", peer_tls, false, peer_tls_schema),
};
static const BwYamlSchema settings_schema =
    SCHEMA(BwSettings, "the settings", settings_fields);

static void
set_defaults(BwSettings *settings)
{
    memset(settings, 0, sizeof(*settings));
    strcpy(settings->log_stream, "brasswing");
    settings->log_level = BW_LOG_INFO;
    settings->log_retention_s = 86400;
    settings->limits.jobs = 4096;
    settings->limits.job_bytes = 8u * 1024 * 1024;
    settings->limits.body_bytes = 4u * 1024 * 1024;
    settings->limits.descriptors = 4096;
    settings->limits.waiting_requests = 4096;
    settings->limits.job_lifetime_ms = 60000;
    settings->limits.answer_kept_ms = 10000;
    settings->limits.lease_ms = 2000;
    settings->limits.clock_skew_ms = 500;
    settings->limits.silence_ms = 10000;
    settings->limits.resend_ms = 1300;
    settings->limits.worker_lease_max_ms = 1000;
    settings->limits.worker_stop_ms = 50;
    settings->limits.contact_ms = 3000;
}

/* Splits `address` into host and port.  Returns false when it is not
   HOST:PORT. */
static bool
split_address(BwEndpoint *endpoint)
{
    uint16_t port;

    if (!BwNet_SplitAddress(endpoint->address, endpoint->host,
                            sizeof(endpoint->host), &port))
        return false;
    endpoint->port = port;
    return true;
}

static void
check_address(const char *path, const char *key, bool is_required,
              BwEndpoint *endpoint, BwYamlFaults *faults)
{
    struct sockaddr_storage address;

    if (endpoint->address[0] != '\0' && !split_address(endpoint))
        BwYaml_AddFault(faults, path, 1,
                        "%s.address: '%s' is not HOST:PORT; write an IP "
                        "number, a colon and a TCP port",
                        key, endpoint->address);
    if (is_required && BwYaml_IsUsable(faults) && endpoint->host[0] == '\0')
        BwYaml_AddFault(faults, path, 1,
                        "%s: 'host' is missing; give an IP number", key);
    if (endpoint->host[0] != '\0' &&
        BwNet_Parse(endpoint->host, 1, &address) == 0)
        BwYaml_AddFault(faults, path, 1,
                        "%s.host: '%s' is not an IP number; write an IPv4 "
                        "or IPv6 number, names are not looked up",
                        key, endpoint->host);
}

static char *
read_file(const char *path, uint32_t *size_bytes)
{
    FILE *file = fopen(path, "rb");
    char *text = NULL;
    size_t size;

    if (file == NULL)
        return NULL;
    text = malloc(BW_SETTINGS_BYTES_MAX + 1);
    if (text != NULL) {
        size = fread(text, 1, BW_SETTINGS_BYTES_MAX + 1, file);
        *size_bytes = (uint32_t)size;
    }
    fclose(file);
    return text;
}

/* Checks an address that exactly one role needs and no other may have. */
static void
check_role_address(const char *path, const char *key, bool has_role,
                   const char *role, const char *remedy, BwEndpoint *endpoint,
                   BwYamlFaults *faults)
{
    bool is_given = endpoint->host[0] != '\0' || endpoint->address[0] != '\0';

    if (has_role && !is_given)
        BwYaml_AddFault(faults, path, 1, "a %s lacks '%s'; %s", role, key,
                        remedy);
    else if (!has_role && is_given)
        BwYaml_AddFault(faults, path, 1,
                        "'%s' is for a %s only; remove it or correct 'role'",
                        key, role);
    check_address(path, key, false, endpoint, faults);
}

/* Entries and agents serve metrics where callers connect. */
static void
check_metrics(const char *path, bool may_have, BwEndpoint *endpoint,
              BwYamlFaults *faults)
{
    bool is_given = endpoint->host[0] != '\0' || endpoint->address[0] != '\0';

    if (!may_have && is_given)
        BwYaml_AddFault(faults, path, 1,
                        "'metrics' is for dispatchers and supervisors; remove "
                        "it or correct 'role'");
    check_address(path, "metrics", false, endpoint, faults);
}

static bool
is_same_address(const BwEndpoint *left, const BwEndpoint *right)
{
    return left->port != 0 && left->port == right->port &&
           strcmp(left->host, right->host) == 0;
}

static void
check_distinct(const char *path, const BwSettings *settings,
               BwYamlFaults *faults)
{
    const struct {
        const char *key;
        const BwEndpoint *endpoint;
    } listeners[] = {{"http", &settings->http},
                     {"peer", &settings->peer},
                     {"ready", &settings->ready},
                     {"metrics", &settings->metrics}};

    for (size_t i = 0; i < sizeof(listeners) / sizeof(listeners[0]); i++) {
        for (size_t j = 0; j < i; j++) {
            if (is_same_address(listeners[i].endpoint, listeners[j].endpoint))
                BwYaml_AddFault(faults, path, 1,
                                "'%s' and '%s' have the same address; give "
                                "each a port of its own",
                                listeners[j].key, listeners[i].key);
        }
    }
}

BwLeaseBounds
BwLimits_LeaseBounds(const BwLimits *limits)
{
    BwLeaseBounds bounds = {
        .resend_ms = limits->resend_ms,
        .lease_max_ms = limits->worker_lease_max_ms,
        .stop_ms = limits->worker_stop_ms,
    };

    return bounds;
}

/* Derives the lengths that the file does not give. */
static void
derive_lengths(const char *path, BwLimits *limits, BwYamlFaults *faults)
{
    BwLeaseBounds bounds = BwLimits_LeaseBounds(limits);
    BwLeaseTimes times;
    const char *bound = BwLeaseTimes_Derive(&times, &bounds);
    bool is_given = limits->session_ms != 0 && limits->worker_lease_ms != 0;

    if (bound != NULL && !is_given)
        BwYaml_AddFault(
            faults, path, 1,
            "limits: %s leaves no time for session and lease; give a "
            "resend_ms of at least %llu and a worker_lease_max_ms of 120",
            bound, (unsigned long long)BwLeaseTimes_ResendMinMs(&bounds));
    if (limits->session_ms == 0)
        limits->session_ms = times.session_ms;
    if (limits->worker_lease_ms == 0)
        limits->worker_lease_ms = times.worker_lease_ms;
    if (limits->stop_ms == 0)
        limits->stop_ms = limits->grace_ms != 0
                              ? BwLeaseTimes_PlannedStopMs(limits->grace_ms)
                              : STOP_DEFAULT_MS;
}

/* The account has room for one body at least, while it is read and parsed. */
static void
derive_memory(BwLimits *limits)
{
    uint64_t body_max;

    if (limits->memory_mb == 0) {
        uint64_t least_mb =
            (uint64_t)limits->body_bytes * BODIES_IN_MEMORY / BYTES_PER_MB + 1;

        limits->memory_mb = least_mb > MEMORY_DEFAULT_MB ? (uint32_t)least_mb
                                                         : MEMORY_DEFAULT_MB;
    }
    body_max = (uint64_t)limits->memory_mb * BYTES_PER_MB / BODIES_IN_MEMORY;
    if (limits->body_bytes > body_max)
        limits->body_bytes = (uint32_t)body_max;
}

/* Checks the lengths that the file gives against the bounds. */
static void
check_leases(const char *path, const BwLimits *limits, BwYamlFaults *faults)
{
    BwLeaseBounds bounds = BwLimits_LeaseBounds(limits);
    BwLeaseTimes times = {limits->session_ms, limits->worker_lease_ms};
    uint64_t end_ms = BwLeaseTimes_EndMs(&times, &bounds);

    if (end_ms > limits->resend_ms)
        BwYaml_AddFault(
            faults, path, 1,
            "limits: session_ms, worker_lease_ms and a stop together may take "
            "%llu ms, over resend_ms of %llu; shorten session_ms or "
            "worker_lease_ms, or remove both",
            (unsigned long long)end_ms, (unsigned long long)limits->resend_ms);
    if (limits->worker_lease_ms > limits->worker_lease_max_ms)
        BwYaml_AddFault(faults, path, 1,
                        "limits: worker_lease_ms of %llu is over "
                        "worker_lease_max_ms of %llu; shorten or remove it",
                        (unsigned long long)limits->worker_lease_ms,
                        (unsigned long long)limits->worker_lease_max_ms);
    if (limits->grace_ms != 0 && limits->stop_ms >= limits->grace_ms)
        BwYaml_AddFault(faults, path, 1,
                        "limits: stop_ms of %llu is not below grace_s, %llu "
                        "ms; shorten or remove it",
                        (unsigned long long)limits->stop_ms,
                        (unsigned long long)limits->grace_ms);
}

static void
check_addresses(BwSettings *settings, const char *path, BwYamlFaults *faults)
{
    bool is_dispatcher = settings->role == BW_SETTINGS_DISPATCHER;
    bool is_supervisor = settings->role == BW_SETTINGS_SUPERVISOR;

    check_address(path, "http", true, &settings->http, faults);
    check_address(path, "peer", false, &settings->peer, faults);
    check_role_address(path, "ready", is_dispatcher, "dispatcher",
                       "give the address where readiness is served",
                       &settings->ready, faults);
    check_role_address(path, "worker", is_supervisor, "supervisor",
                       "give the address where its worker takes orders",
                       &settings->worker, faults);
    check_metrics(path, is_dispatcher || is_supervisor, &settings->metrics,
                  faults);
    check_address(path, "log", true, &settings->log, faults);
    for (uint32_t i = 0; i < settings->peer_count; i++)
        check_address(path, "peers", true, &settings->peers[i], faults);
    if (settings->role == BW_SETTINGS_AGENT && settings->peer.host[0] == '\0')
        BwYaml_AddFault(faults, path, 1,
                        "an agent lacks 'peer'; give the address where other "
                        "processes connect");
    if (is_dispatcher && settings->peer.host[0] == '\0' &&
        settings->peer.address[0] == '\0')
        BwYaml_AddFault(faults, path, 1,
                        "a dispatcher lacks 'peer'; give the address where "
                        "supervisors connect");
    if (is_dispatcher || is_supervisor)
        check_distinct(path, settings, faults);
    if (BwYaml_IsUsable(faults) && (is_dispatcher || is_supervisor))
        check_leases(path, &settings->limits, faults);
}

bool
BwSettings_Load(BwSettings *settings, const char *path, BwYamlFaults *faults)
{
    BwSpan text = {NULL, 0};
    char *content;

    set_defaults(settings);
    content = read_file(path, &text.size_bytes);
    if (content == NULL) {
        BwYaml_AddFault(faults, path, 0,
                        "cannot be read; check the path and its rights");
        return false;
    }
    text.base = content;
    if (text.size_bytes > BW_SETTINGS_BYTES_MAX)
        BwYaml_AddFault(faults, path, 0, "is over %d bytes; shorten it",
                        BW_SETTINGS_BYTES_MAX);
    else
        BwYaml_Read(path, text, &settings_schema, settings, faults);
    derive_lengths(path, &settings->limits, faults);
    derive_memory(&settings->limits);
    if (settings->limits.config_apply_ms == 0)
        settings->limits.config_apply_ms =
            settings->role == BW_SETTINGS_DISPATCHER
                ? CONFIG_APPLY_DISPATCHER_MS
                : CONFIG_APPLY_DEFAULT_MS;
    check_addresses(settings, path, faults);
    free(content);
    return BwYaml_IsUsable(faults);
}

void
BwSettings_Finish(BwSettings *settings)
{
    BwYaml_Free(&settings_schema, settings);
}
