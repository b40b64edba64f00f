/* test_crowds.c -- clients that misbehave, many at once

   Each test starts real processes with lower limits than in production, lets a
   crowd send what it has and stay, and then checks that the process runs, that
   its memory and its descriptors stayed within its limits and that an ordinary
   request beside the crowd is answered.  Memory is the most that was resident,
   and what the system has received for the process and it has not read.  The
   tests run one at a time, apart from others.
*/

#include <openssl/ssl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "boundfleet.h"
#include "clock.h"
#include "crowd.h"
#include "nodeprocess.h"
#include "tls.h"
#include "wording.h"

#define MB (1024ull * 1024)
#define MEMORY_MB 64
#define DESCRIPTORS 256
#define WORKERS 2
#define WAIT_US                                                               \
    30000000 /* guards against a request that is never answered               \
              */
#define RETRY_US 100000
#define STATE_SAMPLES 500
#define STATE_GAP_US 2000
#define DISPATCHER_LIMITS                                                     \
    "body_bytes: 524288, memory_mb: 64, descriptors: 256, "
#define SUPERVISOR_LIMITS                                                     \
    "body_bytes: 4194304, memory_mb: 64, descriptors: 256, "
#define KEYED_LIMITS "limits: {memory_mb: 64, descriptors: 256}\n"
#ifdef CROWDS_SANITIZED
/* The sanitizers multiply the memory of a process. */
#define IS_SANITIZED true
#else
#define IS_SANITIZED false
#endif

/* What the crowds send. */
#define CALLER_BODY_BYTES 500000     /* of limits.body_bytes 524288 */
#define TOO_LARGE_BYTES 1000000      /* over it, under twice as much */
#define CHUNK_BYTES 983040           /* f0000 in hexadecimal */
#define HEARTBEAT_BODY_BYTES 4000000 /* of limits.body_bytes 4194304 */
#define HEAD_BYTES 400000
#define FRAME_BYTES 16000000 /* a frame may have 32 MB */
#define STREAMS 25
#define STREAM_DATA_BYTES 16000

static BwFleet fleet;

/* tests/mutations.sh names a changed brasswingd. */
static const char *
daemon_path(void)
{
    const char *path = g_getenv("BW_DAEMON");

    return path != NULL ? path : BW_DAEMON_PATH;
}

/* ------------------------------------------------------------ requests */

static bool
is_answered(uint32_t port, const char *method, const char *path,
            const char *body, uint32_t status)
{
    BwBlockingReply reply;
    uint32_t got = BwFleet_Request(port, method, path, body, 2000000, &reply);

    free(reply.body);
    return got == status;
}

/* Sends an ordinary request again and again, as a caller does that is told to
   retry, until it is answered with the status. */
static void
assert_answered(uint32_t port, const char *method, const char *path,
                const char *body, uint32_t status)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;

    while (!is_answered(port, method, path, body, status)) {
        if (BwClock_Now() > give_up_us)
            g_error("%s %s is not answered with %u", method, path, status);
        g_usleep(RETRY_US);
    }
}

static void
assert_alive(pid_t pid)
{
    g_assert_cmpint(kill(pid, 0), ==, 0);
}

/* The process runs and is within its limits. */
static void
assert_within(pid_t pid, uint32_t port, uint64_t memory_mb)
{
    uint64_t peak_bytes, unread_bytes;

    assert_alive(pid);
    peak_bytes = Crowd_PeakBytes(pid);
    unread_bytes = Crowd_UnreadBytes(port);
    g_test_message("peak %u kB, unread %u kB, descriptors %u",
                   (unsigned)(peak_bytes / 1024),
                   (unsigned)(unread_bytes / 1024),
                   Crowd_CountDescriptors(pid));
    g_assert_cmpuint(Crowd_CountDescriptors(pid), <=, DESCRIPTORS);
    if (!IS_SANITIZED)
        g_assert_cmpuint(peak_bytes + unread_bytes, <=, memory_mb * MB);
}

static char *
fill(char byte, size_t bytes)
{
    char *text = g_malloc(bytes + 1);

    memset(text, byte, bytes);
    text[bytes] = '\0';
    return text;
}

/* Writes the text over a part of another, without its end. */
static void
put_text(char *into, const char *text)
{
    for (; *text != '\0'; text++)
        *into++ = *text;
}

/* A JSON array of `bytes` bytes whose items are as small as can be. */
static char *
make_small_values(size_t bytes)
{
    char *text = fill(' ', bytes);

    text[0] = '[';
    for (size_t i = 1; i + 4 < bytes; i += 3)
        put_text(text + i, "{},");
    put_text(text + bytes - 3, "{}]");
    return text;
}

/* ----------------------------------------------- dispatcher, supervisor */

static void
set_up_with(const char *dispatcher_limits, const char *supervisor_limits)
{
    BwFleetPlan plan = {
        .dispatchers = 1,
        .workers = WORKERS,
        .cpu = BOUND_CPU,
        .mem = BOUND_MEM,
        .service = BOUND_SERVICE,
        .daemon = daemon_path(),
        .production = "",
        .lab = BW_CLI_PATH,
        .seed = 1,
        .session_ms = 500,
        .worker_lease_ms = 400,
        .stop_ms = 4000,
        .clock_permille = 1000,
        .store = "",
        .dispatcher_limits = dispatcher_limits,
        .supervisor_limits = supervisor_limits,
    };
    char *route =
        BwWording_RouteText("checks", "127.0.0.1", BOUND_SERVICE, 20000);
    char *config = BwWording_ConfigText(5, route);

    if (!BwFleet_Init(&fleet, &plan, g_dir_make_tmp("brasswing-XXXXXX", NULL)))
        g_error("%s", fleet.fault);
    BoundFleet_Configure(&fleet, config);
    BoundFleet_WaitRevision(&fleet, 0, 5);
    while (!BwFleet_HasWorkers(&fleet, WORKERS))
        g_usleep(RETRY_US);
    g_free(config);
    g_free(route);
}

static void
set_up(void)
{
    set_up_with(DISPATCHER_LIMITS, SUPERVISOR_LIMITS);
}

static void
tear_down(void)
{
    char *dir = fleet.dir;

    BwFleet_Finish(&fleet);
    Fleet_RemoveFiles(dir);
}

static void
complete_job(void)
{
    static uint32_t number;
    char *path = g_strdup_printf("/checks/%016x", 0xa0000000u + number++);
    char *job = BwWording_JobText(2, 20, 1000, 1000, 0, false);

    assert_answered(fleet.http_ports[0], "POST", path, job, 200);
    g_free(path);
    g_free(job);
}

/* Lets the crowd send and stay, and checks the process and a job beside it. */
static void
check_crowd(const CrowdPlan *plan, pid_t pid, uint64_t memory_mb)
{
    Crowd crowd;

    Crowd_Init(&crowd, plan);
    Crowd_Run(&crowd);
    assert_within(pid, plan->port, memory_mb);
    complete_job();
    assert_within(pid, plan->port, memory_mb);
    Crowd_Finish(&crowd);
}

static char *
make_job_head(uint32_t member, size_t content_bytes)
{
    return g_strdup_printf(
        "POST /checks/%016x HTTP/1.1\r\n"
        "Host: 127.0.0.1\r\n"
        "Content-Type: application/json\r\n" BW_WORDING_DEADLINE_HEADER
        ": 60000\r\n"
        "Content-Length: %zu\r\n\r\n",
        member + 1, content_bytes);
}

static char *
unfinished_head(uint32_t member)
{
    return make_job_head(member, CALLER_BODY_BYTES + 1);
}

/* Many large bodies of legal size, which stop just short of their end. */
static void
test_unfinished_bodies(void)
{
    char *body = fill(' ', CALLER_BODY_BYTES);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.http_ports[0],
                             .members = 200,
                             .make_head = unfinished_head,
                             .body = body,
                             .body_bytes = CALLER_BODY_BYTES},
                fleet.dispatchers[0].pid, MEMORY_MB);
    tear_down();
    g_free(body);
}

/* The same crowd, whose members connect again at once when they are closed. */
static void
test_returning_bodies(void)
{
    char *body = fill(' ', CALLER_BODY_BYTES);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.http_ports[0],
                             .members = 200,
                             .make_head = unfinished_head,
                             .body = body,
                             .body_bytes = CALLER_BODY_BYTES,
                             .returns = 10},
                fleet.dispatchers[0].pid, MEMORY_MB);
    tear_down();
    g_free(body);
}

static char *
too_large_head(uint32_t member)
{
    return make_job_head(member, TOO_LARGE_BYTES);
}

/* Bodies over the limit, announced, all but the last byte. */
static void
test_too_large_announced(void)
{
    char *body = fill(' ', TOO_LARGE_BYTES - 1);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.http_ports[0],
                             .members = 150,
                             .make_head = too_large_head,
                             .body = body,
                             .body_bytes = TOO_LARGE_BYTES - 1},
                fleet.dispatchers[0].pid, MEMORY_MB);
    tear_down();
    g_free(body);
}

static char *
chunked_head(uint32_t member)
{
    return g_strdup_printf("POST /checks/%016x HTTP/1.1\r\n"
                           "Host: 127.0.0.1\r\n"
                           "Content-Type: application/json\r\n"
                           "Transfer-Encoding: chunked\r\n\r\nf0000\r\n",
                           member + 1);
}

/* Bodies over the limit that no length announces. */
static void
test_too_large_chunked(void)
{
    char *body = fill(' ', CHUNK_BYTES - 1);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.http_ports[0],
                             .members = 150,
                             .make_head = chunked_head,
                             .body = body,
                             .body_bytes = CHUNK_BYTES - 1},
                fleet.dispatchers[0].pid, MEMORY_MB);
    tear_down();
    g_free(body);
}

static char *
whole_head(uint32_t member)
{
    return make_job_head(member, CALLER_BODY_BYTES);
}

/* Whole jobs of legal size whose tasks stand still, so that all wait. */
static void
test_whole_bodies(void)
{
    char *body = fill(' ', CALLER_BODY_BYTES);
    char *job = BwWording_JobText(1, 50, 100, 10, 0, false);
    Crowd crowd;

    put_text(body, job);
    set_up();
    BoundFleet_ControlWorkers(&fleet, 0, "{\"still\":true}");
    BoundFleet_ControlWorkers(&fleet, 1, "{\"still\":true}");
    Crowd_Init(&crowd, &(CrowdPlan){.port = fleet.http_ports[0],
                                    .members = 200,
                                    .make_head = whole_head,
                                    .body = body,
                                    .body_bytes = CALLER_BODY_BYTES});
    Crowd_Run(&crowd);
    assert_within(fleet.dispatchers[0].pid, fleet.http_ports[0], MEMORY_MB);
    BoundFleet_ControlWorkers(&fleet, 0, "{\"still\":false}");
    BoundFleet_ControlWorkers(&fleet, 1, "{\"still\":false}");
    complete_job();
    assert_within(fleet.dispatchers[0].pid, fleet.http_ports[0], MEMORY_MB);
    Crowd_Finish(&crowd);
    tear_down();
    g_free(job);
    g_free(body);
}

/* Bodies of legal size whose values take many times their bytes once read. */
static void
test_many_values(void)
{
    char *body = make_small_values(CALLER_BODY_BYTES);

    set_up_with("body_bytes: 524288, memory_mb: 40, descriptors: 256, ",
                SUPERVISOR_LIMITS);
    check_crowd(&(CrowdPlan){.port = fleet.http_ports[0],
                             .members = 4,
                             .make_head = whole_head,
                             .body = body,
                             .body_bytes = CALLER_BODY_BYTES},
                fleet.dispatchers[0].pid, 40);
    tear_down();
    g_free(body);
}

static char *
large_head(uint32_t member)
{
    return g_strdup_printf("POST /checks/%016x HTTP/1.1\r\nX-Pad: ",
                           member + 1);
}

/* Heads that do not end. */
static void
test_heads(void)
{
    char *body = fill('x', HEAD_BYTES);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.http_ports[0],
                             .members = 200,
                             .make_head = large_head,
                             .body = body,
                             .body_bytes = HEAD_BYTES},
                fleet.dispatchers[0].pid, MEMORY_MB);
    tear_down();
    g_free(body);
}

/* The readiness check, which has no body. */
static void
test_ready_heads(void)
{
    char *body = fill('x', HEAD_BYTES);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.ready_ports[0],
                             .members = 200,
                             .make_head = large_head,
                             .body = body,
                             .body_bytes = HEAD_BYTES},
                fleet.dispatchers[0].pid, MEMORY_MB);
    assert_answered(fleet.ready_ports[0], "GET", BW_WORDING_READY_PATH, "",
                    200);
    tear_down();
    g_free(body);
}

static char *
ready_body_head(uint32_t member)
{
    (void)member;
    return g_strdup_printf("POST " BW_WORDING_READY_PATH " HTTP/1.1\r\n"
                           "Host: 127.0.0.1\r\nContent-Length: %d\r\n\r\n",
                           CALLER_BODY_BYTES + 1);
}

static void
test_ready_bodies(void)
{
    char *body = fill(' ', CALLER_BODY_BYTES);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.ready_ports[0],
                             .members = 200,
                             .make_head = ready_body_head,
                             .body = body,
                             .body_bytes = CALLER_BODY_BYTES},
                fleet.dispatchers[0].pid, MEMORY_MB);
    assert_answered(fleet.ready_ports[0], "GET", BW_WORDING_READY_PATH, "",
                    200);
    tear_down();
    g_free(body);
}

/* ------------------------------------------------------------- HTTP/2 */

#define HTTP2_PREFACE "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
#define HTTP2_DATA 0
#define HTTP2_HEADERS 1
#define HTTP2_SETTINGS 4
#define HTTP2_END_HEADERS 4

static void
add_frame(GByteArray *out, uint8_t type, uint8_t flags, uint32_t stream,
          const void *payload, uint32_t bytes)
{
    uint8_t head[9] = {(uint8_t)(bytes >> 16),
                       (uint8_t)(bytes >> 8),
                       (uint8_t)bytes,
                       type,
                       flags,
                       (uint8_t)(stream >> 24),
                       (uint8_t)(stream >> 16),
                       (uint8_t)(stream >> 8),
                       (uint8_t)stream};

    g_byte_array_append(out, head, sizeof(head));
    g_byte_array_append(out, payload, bytes);
}

/* POST of http://127.0.0.1/checks/STREAM, as indexed and literal fields of
   RFC 7541. */
static void
add_post(GByteArray *out, uint32_t stream)
{
    char fields[64] = "\x83\x86\x04";
    char *path = g_strdup_printf("/checks/%016x", stream);

    g_snprintf(fields + 3, sizeof(fields) - 3,
               "%c%s\x01\x09"
               "127.0.0.1",
               (char)strlen(path), path);
    add_frame(out, HTTP2_HEADERS, HTTP2_END_HEADERS, stream, fields,
              (uint32_t)strlen(fields));
    g_free(path);
}

/* The preface and streams whose bodies do not end. */
static GByteArray *
make_streams(uint32_t streams, uint32_t data_bytes)
{
    GByteArray *out = g_byte_array_new();
    char *data = fill(' ', STREAM_DATA_BYTES);

    g_byte_array_append(out, (const guint8 *)HTTP2_PREFACE,
                        strlen(HTTP2_PREFACE));
    add_frame(out, HTTP2_SETTINGS, 0, 0, "", 0);
    for (uint32_t i = 0; i < streams; i++) {
        add_post(out, 2 * i + 1);
        for (uint32_t sent = 0; sent < data_bytes; sent += STREAM_DATA_BYTES)
            add_frame(out, HTTP2_DATA, 0, 2 * i + 1, data, STREAM_DATA_BYTES);
    }
    g_free(data);
    return out;
}

/* Many bodies on each of a few connections. */
static void
test_streams(void)
{
    GByteArray *text =
        make_streams(STREAMS, CALLER_BODY_BYTES - STREAM_DATA_BYTES);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.http_ports[0],
                             .members = 12,
                             .body = (const char *)text->data,
                             .body_bytes = text->len},
                fleet.dispatchers[0].pid, MEMORY_MB);
    tear_down();
    g_byte_array_free(text, TRUE);
}

/* ---------------------------------------------------- unread, descriptors */

/* A whole job that waits, and more behind it that the process does not
   read. */
static void
test_unread(void)
{
    char *body = fill(' ', 4 * MB);
    char *job = BwWording_JobText(1, 50, 100, 10, 0, false);
    Crowd crowd;

    put_text(body, job);
    set_up();
    BoundFleet_ControlWorkers(&fleet, 0, "{\"still\":true}");
    BoundFleet_ControlWorkers(&fleet, 1, "{\"still\":true}");
    Crowd_Init(&crowd, &(CrowdPlan){.port = fleet.http_ports[0],
                                    .members = 200,
                                    .make_head = whole_head,
                                    .body = body,
                                    .body_bytes = 4 * MB});
    Crowd_Run(&crowd);
    assert_within(fleet.dispatchers[0].pid, fleet.http_ports[0], MEMORY_MB);
    BoundFleet_ControlWorkers(&fleet, 0, "{\"still\":false}");
    BoundFleet_ControlWorkers(&fleet, 1, "{\"still\":false}");
    complete_job();
    assert_within(fleet.dispatchers[0].pid, fleet.http_ports[0], MEMORY_MB);
    Crowd_Finish(&crowd);
    tear_down();
    g_free(job);
    g_free(body);
}

/* Connections that send nothing, more than the process may have. */
static void
test_idle_connections(void)
{
    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.http_ports[0], .members = 400},
                fleet.dispatchers[0].pid, MEMORY_MB);
    tear_down();
}

static void
limit_descriptors(pid_t pid)
{
    struct rlimit limit = {DESCRIPTORS, DESCRIPTORS};

    g_assert_cmpint(prlimit(pid, RLIMIT_NOFILE, &limit, NULL), ==, 0);
}

/* The process sleeps between events.  One that spins is never seen asleep. */
static void
assert_waits(pid_t pid)
{
    uint32_t asleep = 0;

    for (uint32_t i = 0; i < STATE_SAMPLES; i++) {
        asleep += Crowd_IsAsleep(pid) ? 1 : 0;
        g_usleep(STATE_GAP_US);
    }
    g_assert_cmpuint(asleep, >, 0);
}

/* The system's limit is lower than the settings say. */
static void
test_descriptors_run_out(void)
{
    Crowd crowd;

    set_up_with("body_bytes: 524288, memory_mb: 64, descriptors: 4096, ",
                SUPERVISOR_LIMITS);
    limit_descriptors(fleet.dispatchers[0].pid);
    Crowd_Init(&crowd, &(CrowdPlan){.port = fleet.http_ports[0],
                                    .members = 400,
                                    .returns = 5});
    Crowd_Run(&crowd);
    assert_within(fleet.dispatchers[0].pid, fleet.http_ports[0], MEMORY_MB);
    assert_waits(fleet.dispatchers[0].pid);
    complete_job();
    Crowd_Finish(&crowd);
    tear_down();
}

/* Connections to the port of the other processes: the supervisors must still
   get theirs. */
static void
test_peer_connections(void)
{
    Crowd crowd;

    set_up();
    Crowd_Init(&crowd, &(CrowdPlan){.port = fleet.peer_ports[0],
                                    .members = 400,
                                    .returns = 5});
    Crowd_Run(&crowd);
    assert_within(fleet.dispatchers[0].pid, fleet.peer_ports[0], MEMORY_MB);
    BwProcess_Signal(&fleet.supervisors[0], SIGKILL);
    BoundFleet_StartSupervisor(&fleet, 0);
    while (!BwFleet_HasWorkers(&fleet, WORKERS))
        Crowd_RunFor(&crowd, 100);
    complete_job();
    Crowd_Finish(&crowd);
    tear_down();
}

/* Frames between processes, announced with 16 MB, all but the last byte. */
static void
test_peer_frames(void)
{
    char *body = fill('\xc0', FRAME_BYTES + 3);
    const uint8_t length[] = {0, 0xf4, 0x24, 0};

    memcpy(body, length, sizeof(length));
    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.peer_ports[0],
                             .members = 8,
                             .body = body,
                             .body_bytes = FRAME_BYTES + 3},
                fleet.dispatchers[0].pid, MEMORY_MB);
    tear_down();
    g_free(body);
}

/* ---------------------------------------------------------- supervisor */

static char *
make_heartbeat_head(size_t content_bytes)
{
    return g_strdup_printf("POST " BW_WORDING_STRANGER_PATH " HTTP/1.1\r\n"
                           "Host: 127.0.0.1\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: %zu\r\n\r\n",
                           content_bytes);
}

static char *
unfinished_heartbeat_head(uint32_t member)
{
    (void)member;
    return make_heartbeat_head(HEARTBEAT_BODY_BYTES + 1);
}

static void
test_unfinished_heartbeats(void)
{
    char *body = fill(' ', HEARTBEAT_BODY_BYTES);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.supervisor_ports[0],
                             .members = 25,
                             .make_head = unfinished_heartbeat_head,
                             .body = body,
                             .body_bytes = HEARTBEAT_BODY_BYTES},
                fleet.supervisors[0].pid, MEMORY_MB);
    assert_answered(fleet.supervisor_ports[0], "GET", "/metrics", "", 200);
    tear_down();
    g_free(body);
}

static char *
whole_heartbeat_head(uint32_t member)
{
    (void)member;
    return make_heartbeat_head(HEARTBEAT_BODY_BYTES);
}

static void
test_heartbeat_values(void)
{
    char *body = make_small_values(HEARTBEAT_BODY_BYTES);

    set_up();
    check_crowd(&(CrowdPlan){.port = fleet.supervisor_ports[0],
                             .members = 1,
                             .make_head = whole_heartbeat_head,
                             .body = body,
                             .body_bytes = HEARTBEAT_BODY_BYTES},
                fleet.supervisors[0].pid, MEMORY_MB);
    tear_down();
    g_free(body);
}

static void
test_heartbeat_connections(void)
{
    set_up();
    check_crowd(
        &(CrowdPlan){.port = fleet.supervisor_ports[0], .members = 400},
        fleet.supervisors[0].pid, MEMORY_MB);
    assert_answered(fleet.supervisor_ports[0], "GET", "/metrics", "", 200);
    tear_down();
}

/* ------------------------------------------------------------- metrics */

static void
test_metrics_heads(void)
{
    static const char settings[] =
        "role: supervisor\nname: s-1\nregion: tunis-nord\n"
        "domain: charguia-a\nhttp: {address: '127.0.0.1:0'}\n"
        "metrics: {address: '127.0.0.1:0'}\n"
        "worker: {address: '127.0.0.1:1'}\nlog: {address: '127.0.0.1:1'}\n"
        "limits: {memory_mb: 64, descriptors: 256}\n";
    char *dir = g_dir_make_tmp("brasswing-XXXXXX", NULL);
    char *body = fill('x', HEAD_BYTES);
    Crowd crowd;
    Node node;
    pid_t pid;

    Node_Start(&node, dir, "s-1", settings);
    pid = (pid_t)atoi(g_subprocess_get_identifier(node.process));
    Crowd_Init(&crowd, &(CrowdPlan){.port = node.metrics_port,
                                    .members = 200,
                                    .make_head = large_head,
                                    .body = body,
                                    .body_bytes = HEAD_BYTES});
    Crowd_Run(&crowd);
    assert_within(pid, node.metrics_port, MEMORY_MB);
    assert_answered(node.metrics_port, "GET", "/metrics", "", 200);
    Crowd_Finish(&crowd);
    Node_Finish(&node);
    g_rmdir(dir);
    g_free(dir);
    g_free(body);
}

/* ------------------------------------------------------- entry and agent */

static Fleet keyed;

static void
set_up_keyed(const char *entry_settings, const char *authority)
{
    FleetPlan plan = {.agents = 2,
                      .entries = 1,
                      .slots = 4,
                      .run_us = 10000,
                      .services = "renewd tarif-engine",
                      .settings = KEYED_LIMITS,
                      .entry_settings = entry_settings,
                      .authority = authority};

    Fleet_Init(&keyed, &plan);
}

static void
tear_down_keyed(void)
{
    Fleet_Finish(&keyed);
}

/* Submits a job again until it is complete. */
static void
complete_keyed_job(void)
{
    static uint32_t number;
    uint64_t give_up_us = BwClock_Now() + WAIT_US;
    BwBlockingClient caller;
    FleetAnswer answer = {0};

    while (answer.status != 200) {
        char *key = g_strdup_printf("ordinary-%u", number++);
        char *job = Fleet_JobText("lonestar", "renewd", key, 2, 1000,
                                  BwClock_WallNow() + WAIT_US, "");
        SSL_CTX *context = NULL;

        FleetAnswer_Clear(&answer);
        g_assert_true(BwBlockingClient_Init(
            &caller, "127.0.0.1", (uint16_t)keyed.entries[0].http_port));
        if (keyed.plan.authority != NULL) {
            context = BwTls_MakeClientContext(keyed.plan.authority);
            BwHttpClient_UseTls(&caller.client, context, "localhost");
        }
        Fleet_SubmitWithin(&caller, job, 4000000, &answer);
        BwBlockingClient_Finish(&caller);
        SSL_CTX_free(context);
        g_free(job);
        g_free(key);
        if (BwClock_Now() > give_up_us)
            g_error("no job is complete beside the crowd");
        g_usleep(RETRY_US);
    }
    FleetAnswer_Clear(&answer);
}

static void
check_keyed_crowd(const CrowdPlan *plan, pid_t pid)
{
    Crowd crowd;

    Crowd_Init(&crowd, plan);
    Crowd_Run(&crowd);
    assert_within(pid, plan->port, MEMORY_MB);
    complete_keyed_job();
    assert_within(pid, plan->port, MEMORY_MB);
    Crowd_Finish(&crowd);
}

static char *
make_submit_head(size_t content_bytes)
{
    return g_strdup_printf("POST /v1/jobs HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: %zu\r\n\r\n",
                           content_bytes);
}

static char *
unfinished_submit_head(uint32_t member)
{
    (void)member;
    return make_submit_head(HEARTBEAT_BODY_BYTES + 1);
}

static void
test_entry_unfinished_bodies(void)
{
    char *body = fill(' ', HEARTBEAT_BODY_BYTES);

    set_up_keyed(NULL, NULL);
    check_keyed_crowd(&(CrowdPlan){.port = keyed.entries[0].http_port,
                                   .members = 25,
                                   .make_head = unfinished_submit_head,
                                   .body = body,
                                   .body_bytes = HEARTBEAT_BODY_BYTES},
                      keyed.entries[0].pid);
    tear_down_keyed();
    g_free(body);
}

static char *
whole_submit_head(uint32_t member)
{
    (void)member;
    return make_submit_head(HEARTBEAT_BODY_BYTES);
}

static void
test_entry_values(void)
{
    char *body = make_small_values(HEARTBEAT_BODY_BYTES);

    set_up_keyed(NULL, NULL);
    check_keyed_crowd(&(CrowdPlan){.port = keyed.entries[0].http_port,
                                   .members = 1,
                                   .make_head = whole_submit_head,
                                   .body = body,
                                   .body_bytes = HEARTBEAT_BODY_BYTES},
                      keyed.entries[0].pid);
    tear_down_keyed();
    g_free(body);
}

/* The same crowd through TLS. */
static void
test_entry_tls_bodies(void)
{
    char *body = fill(' ', HEARTBEAT_BODY_BYTES);
    CrowdTls tls;
    char *settings;

    CrowdTls_Init(&tls);
    settings = g_strdup_printf("tls: {certificate: %s, key: %s}\n",
                               tls.certificate, tls.key);
    set_up_keyed(settings, tls.authority);
    check_keyed_crowd(&(CrowdPlan){.port = keyed.entries[0].http_port,
                                   .members = 25,
                                   .make_head = unfinished_submit_head,
                                   .body = body,
                                   .body_bytes = HEARTBEAT_BODY_BYTES,
                                   .tls = tls.context},
                      keyed.entries[0].pid);
    tear_down_keyed();
    CrowdTls_Finish(&tls);
    g_free(settings);
    g_free(body);
}

static void
test_entry_connections(void)
{
    set_up_keyed(NULL, NULL);
    check_keyed_crowd(
        &(CrowdPlan){.port = keyed.entries[0].http_port, .members = 400},
        keyed.entries[0].pid);
    tear_down_keyed();
}

static void
test_agent_unfinished_bodies(void)
{
    char *body = fill(' ', HEARTBEAT_BODY_BYTES);

    set_up_keyed(NULL, NULL);
    check_keyed_crowd(&(CrowdPlan){.port = keyed.agents[0].http_port,
                                   .members = 25,
                                   .make_head = unfinished_submit_head,
                                   .body = body,
                                   .body_bytes = HEARTBEAT_BODY_BYTES},
                      keyed.agents[0].pid);
    tear_down_keyed();
    g_free(body);
}

/* The port to which other processes connect, as the agent has logged it. */
static uint32_t
agent_peer_port(void)
{
    char *text = NULL;
    const char *field;
    uint32_t port;

    g_assert_true(
        g_file_get_contents(keyed.agents[0].output, &text, NULL, NULL));
    field = strstr(text, "peer_port=");
    g_assert_nonnull(field);
    port = (uint32_t)atoi(field + strlen("peer_port="));
    g_free(text);
    return port;
}

static void
test_agent_peer_frames(void)
{
    char *body = fill('\xc0', FRAME_BYTES + 3);
    const uint8_t length[] = {0, 0xf4, 0x24, 0};

    memcpy(body, length, sizeof(length));
    set_up_keyed(NULL, NULL);
    check_keyed_crowd(&(CrowdPlan){.port = agent_peer_port(),
                                   .members = 8,
                                   .body = body,
                                   .body_bytes = FRAME_BYTES + 3},
                      keyed.agents[0].pid);
    tear_down_keyed();
    g_free(body);
}

static void
test_agent_peer_connections(void)
{
    set_up_keyed(NULL, NULL);
    check_keyed_crowd(&(CrowdPlan){.port = agent_peer_port(), .members = 400},
                      keyed.agents[0].pid);
    tear_down_keyed();
}

/* --------------------------------------------------------------- calm */

/* Without a crowd a request of the largest size is served. */
static void
test_calm(void)
{
    char *body = fill(' ', 524288);
    char *job = BwWording_JobText(1, 20, 100, 10, 0, false);

    put_text(body, job);
    set_up();
    assert_answered(fleet.http_ports[0], "POST", "/checks/00000000000000ca",
                    body, 200);
    assert_within(fleet.dispatchers[0].pid, fleet.http_ports[0], MEMORY_MB);
    tear_down();
    g_free(job);
    g_free(body);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    /* A member writes through OpenSSL, which cannot suppress the signal. */
    signal(SIGPIPE, SIG_IGN);
    g_test_add_func("/crowds/calm", test_calm);
    g_test_add_func("/crowds/unfinished_bodies", test_unfinished_bodies);
    g_test_add_func("/crowds/returning_bodies", test_returning_bodies);
    g_test_add_func("/crowds/too_large_announced", test_too_large_announced);
    g_test_add_func("/crowds/too_large_chunked", test_too_large_chunked);
    g_test_add_func("/crowds/whole_bodies", test_whole_bodies);
    g_test_add_func("/crowds/many_values", test_many_values);
    g_test_add_func("/crowds/heads", test_heads);
    g_test_add_func("/crowds/ready_heads", test_ready_heads);
    g_test_add_func("/crowds/ready_bodies", test_ready_bodies);
    g_test_add_func("/crowds/streams", test_streams);
    g_test_add_func("/crowds/unread", test_unread);
    g_test_add_func("/crowds/idle_connections", test_idle_connections);
    g_test_add_func("/crowds/descriptors_run_out", test_descriptors_run_out);
    g_test_add_func("/crowds/peer_connections", test_peer_connections);
    g_test_add_func("/crowds/peer_frames", test_peer_frames);
    g_test_add_func("/crowds/unfinished_heartbeats",
                    test_unfinished_heartbeats);
    g_test_add_func("/crowds/heartbeat_values", test_heartbeat_values);
    g_test_add_func("/crowds/heartbeat_connections",
                    test_heartbeat_connections);
    g_test_add_func("/crowds/metrics_heads", test_metrics_heads);
    g_test_add_func("/crowds/entry_unfinished_bodies",
                    test_entry_unfinished_bodies);
    g_test_add_func("/crowds/entry_values", test_entry_values);
    g_test_add_func("/crowds/entry_tls_bodies", test_entry_tls_bodies);
    g_test_add_func("/crowds/entry_connections", test_entry_connections);
    g_test_add_func("/crowds/agent_unfinished_bodies",
                    test_agent_unfinished_bodies);
    g_test_add_func("/crowds/agent_peer_frames", test_agent_peer_frames);
    g_test_add_func("/crowds/agent_peer_connections",
                    test_agent_peer_connections);
    return g_test_run();
}
