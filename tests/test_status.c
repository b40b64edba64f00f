/* test_status.c -- tests the status documents of dispatchers and supervisors,
   and the check of settings

   Status is read first from the structs alone, then from real processes with
   the command line.
*/

#include <glib.h>
#include <string.h>
#include <sys/wait.h>

#include <glib/gstdio.h>

#include "blockingclient.h"
#include "brasswing.h"
#include "nodeprocess.h"
#include "nodestatus.h"
#include "portstubs.h"

#define NOW_US 5000000
#define POLL_US 10000
#define POLLS_MAX 1000
#define REQUEST_TIMEOUT_US 5000000

/* --------------------------------------------------------- from structs */

static void
drop_answer(void *ctx, void *data, BwBoundEnd end, uint32_t retry_after_ms)
{
    (void)ctx;
    (void)data;
    (void)end;
    (void)retry_after_ms;
}

static const BwDispatcherPort dispatcher_port = {
    PortStub_DropMessage, drop_answer, PortStub_DropDecision,
    PortStub_DropJobEnd, PortStub_DropRouteEvent};
static const BwSupervisorPort supervisor_port = {
    PortStub_DropMessage, PortStub_DropOrder,     PortStub_DropOrder,
    PortStub_DropPoll,    PortStub_DropTaskEvent, PortStub_DropWorkerEvent};

static json_int_t
number_at(json_t *object, const char *key, const char *inner)
{
    json_t *value = json_object_get(object, key);

    if (inner != NULL)
        value = json_object_get(value, inner);
    g_assert_true(json_is_integer(value));
    return json_integer_value(value);
}

static void
assert_text(json_t *object, const char *key, const char *expected)
{
    g_assert_cmpstr(json_string_value(json_object_get(object, key)), ==,
                    expected);
}

static void
assert_flag(json_t *object, const char *key, bool expected)
{
    json_t *value = json_object_get(object, key);

    g_assert_true(json_is_boolean(value));
    g_assert_cmpint(json_is_true(value), ==, expected);
}

static void
send_worker_state(BwDispatcher *dispatcher, uint32_t peer)
{
    BwWorkerLoad load = {.free = {1500, 600, 1},
                         .queued = 7,
                         .slow_permille = 2250,
                         .ended = 40,
                         .failed_permille = 30};
    BwMessage state = {.kind = BW_MSG_WORKER};
    BwMessage session = {.kind = BW_MSG_SESSION};

    state.u.worker.instance = BwSpan_FromString("w1");
    state.u.worker.service = BwSpan_FromString("render");
    state.u.worker.domain = BwSpan_FromString("hall-1");
    state.u.worker.capacity = (BwResources){4000, 1024, 2};
    state.u.worker.load = &load;
    state.u.worker.load_count = 1;
    BwDispatcher_OnMessage(dispatcher, NOW_US, peer, &state);
    session.u.session.load = &load;
    session.u.session.load_count = 1;
    BwDispatcher_OnMessage(dispatcher, NOW_US, peer, &session);
}

/* One job runs on the first supervisor's worker; the second supervisor has
   disconnected. */
static void
test_dispatcher(void)
{
    BwDispatcherLimits limits = {500000, 400000, 120000, 16, 0, 1};
    BwBoundRequest request = {.ends_with_connection = true, .step_count = 1};
    BwRoute route = {.name = "q", .service = "render", .target_us = 1000000};
    BwDispatcher dispatcher;
    json_t *status, *first, *second;
    int job = 0;

    BwDispatcher_Init(&dispatcher, &limits, &dispatcher_port, NULL);
    BwDispatcher_PeerUp(&dispatcher, NOW_US, 7, BwSpan_FromString("s-1"));
    BwDispatcher_PeerUp(&dispatcher, NOW_US, 8, BwSpan_FromString("s-2"));
    send_worker_state(&dispatcher, 7);
    BwDispatcher_PeerDown(&dispatcher, NOW_US, 8);
    request.spec = BwSpan_FromString("spec");
    request.steps[0].task_count = 2;
    request.steps[0].resources = (BwResources){100, 10, 0};
    request.steps[0].declared_us = 50000;
    g_assert_cmpuint(BwDispatcher_Submit(&dispatcher, NOW_US,
                                         BwSpan_FromString("j"), &request,
                                         &route, NOW_US + 2000000, 0, &job),
                     !=, 0);

    status = BwNodeStatus_Dispatcher(&dispatcher, NOW_US + 40000);
    g_assert_cmpint(number_at(status, "jobs_waiting", NULL), ==, 0);
    g_assert_cmpint(number_at(status, "jobs_running", NULL), ==, 1);
    first = json_array_get(json_object_get(status, "workers"), 0);
    second = json_array_get(json_object_get(status, "workers"), 1);
    assert_text(first, "supervisor", "s-1");
    assert_text(first, "instance", "w1");
    assert_text(first, "service", "render");
    assert_text(first, "domain", "hall-1");
    assert_flag(first, "usable", true);
    assert_flag(first, "ejected", false);
    g_assert_cmpint(number_at(first, "capacity", "cpu_milli"), ==, 4000);
    g_assert_cmpint(number_at(first, "free", "mem_mb"), ==, 600);
    g_assert_cmpint(number_at(first, "queued", NULL), ==, 7);
    g_assert_cmpint(number_at(first, "in_flight", NULL), ==, 1);
    g_assert_cmpint(number_at(first, "slow_permille", NULL), ==, 2250);
    g_assert_cmpint(number_at(first, "failed_permille", NULL), ==, 30);
    g_assert_cmpint(number_at(first, "answered_ms", NULL), ==, 40);
    assert_text(second, "supervisor", "s-2");
    assert_flag(second, "connected", false);
    assert_flag(second, "usable", false);
    g_assert_cmpint(number_at(second, "answered_ms", NULL), ==, -1);
    g_assert_cmpint(number_at(second, "gone_in_ms", NULL), >, 0);
    json_decref(status);
    BwDispatcher_Finish(&dispatcher);
}

/* Two tasks are placed; the worker has resources for one. */
static void
test_supervisor(void)
{
    BwSupervisorLimits limits = {.session_us = 500000,
                                 .lease_us = 400000,
                                 .stop_us = 60000,
                                 .poll_wait_us = 120000,
                                 .answer_us = 120000};
    BwWorkerHeartbeat heartbeat = {.has_capacity = true,
                                   .capacity = {1000, 512, 0},
                                   .clock_ms = 900,
                                   .sequence = 1};
    BwWorkerAnswer poll_answer = {.verdict = BW_WORKER_OK, .clock_ms = 901};
    BwTaskIndex tasks[2] = {{0}, {1}};
    BwMessage message = {.kind = BW_MSG_SESSION};
    BwSupervisor supervisor;
    json_t *status, *peer;

    BwSupervisor_Init(&supervisor, &limits, &supervisor_port, NULL);
    heartbeat.instance = BwSpan_FromString("w1");
    heartbeat.service = BwSpan_FromString("render");
    heartbeat.domain = BwSpan_FromString("hall-1");
    BwSupervisor_OnHeartbeat(&supervisor, NOW_US, &heartbeat);
    BwSupervisor_OnPolled(&supervisor, NOW_US, 1, NOW_US, &poll_answer);
    BwSupervisor_PeerUp(&supervisor, NOW_US, 3);
    message.u.session.requested_us = NOW_US;
    BwSupervisor_OnMessage(&supervisor, NOW_US, 3, &message);
    message = (BwMessage){.kind = BW_MSG_PLACE};
    message.u.place.number = 1;
    message.u.place.ref = 1;
    message.u.place.job = BwSpan_FromString("j");
    message.u.place.spec = BwSpan_FromString("spec");
    message.u.place.service = BwSpan_FromString("render");
    message.u.place.requirement = BwSpan_FromString("");
    message.u.place.resources = (BwResources){600, 100, 0};
    message.u.place.expected_us = 50000;
    message.u.place.due_in_us = 1000000;
    message.u.place.deadline_in_us = 1000000;
    message.u.place.wait_us = 1000000;
    message.u.place.tasks = tasks;
    message.u.place.task_count = 2;
    BwSupervisor_OnMessage(&supervisor, NOW_US, 3, &message);

    status = BwNodeStatus_Supervisor(&supervisor, NOW_US + 100000);
    assert_text(json_object_get(status, "worker"), "phase", "ready");
    assert_text(json_object_get(status, "worker"), "instance", "w1");
    assert_flag(json_object_get(status, "worker"), "usable", true);
    g_assert_cmpint(number_at(status, "worker", "announced_ms"), ==, 100);
    g_assert_cmpint(number_at(status, "worker", "lease_left_ms"), >, 0);
    g_assert_cmpint(
        number_at(json_object_get(status, "account"), "used", "cpu_milli"), ==,
        600);
    g_assert_cmpint(number_at(status, "account", "queued"), ==, 1);
    g_assert_cmpint(number_at(status, "tasks", "queued"), ==, 1);
    g_assert_cmpint(number_at(status, "tasks", "starting"), ==, 1);
    peer = json_array_get(json_object_get(status, "peers"), 0);
    g_assert_cmpint(number_at(peer, "link", NULL), ==, 3);
    g_assert_cmpint(number_at(peer, "session_left_ms", NULL), ==, 400);
    g_assert_cmpint(number_at(peer, "tasks", NULL), ==, 2);
    json_decref(status);
    BwSupervisor_Finish(&supervisor);
}

/* ------------------------------------------------------ from processes */

/* Runs `brasswing --entry HOST:PORT --output FORMAT status` and returns its
   output; g_free it. */
static char *
run_status(uint32_t port, const char *format)
{
    char *entry = g_strdup_printf("127.0.0.1:%u", port);
    char *argv[] = {BW_CLI_PATH,    "--entry", entry, "--output",
                    (char *)format, "status",  NULL};
    char *out = NULL;
    int code = -1;

    g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                               &out, NULL, &code, NULL));
    g_assert_cmpint(code, ==, 0);
    g_free(entry);
    return out;
}

static json_t *
fetch_status(uint32_t port)
{
    char *text = run_status(port, "json");
    json_t *status = json_loads(text, 0, NULL);

    g_assert_nonnull(status);
    g_free(text);
    return status;
}

/* Requests the status until the list has a row, and returns its first row,
   which *status owns. */
static json_t *
wait_for_row(uint32_t port, const char *list, json_t **status)
{
    for (uint32_t i = 0; i < POLLS_MAX; i++) {
        *status = fetch_status(port);
        if (json_array_size(json_object_get(*status, list)) > 0)
            return json_array_get(json_object_get(*status, list), 0);
        json_decref(*status);
        g_usleep(POLL_US);
    }
    g_error("no row in %s", list);
}

static const char common_settings[] = "region: tunis-nord\ndomain: hall-1\n"
                                      "log: {host: 127.0.0.1, port: 1}\n"
                                      "http: {host: 127.0.0.1, port: 0}\n";

static void
assert_text_output(uint32_t port, const char *first, const char *second)
{
    char *text = run_status(port, "text");

    g_assert_nonnull(strstr(text, first));
    g_assert_nonnull(strstr(text, second));
    g_free(text);
}

static void
test_processes(void)
{
    char *dir = g_dir_make_tmp("brasswing-XXXXXX", NULL);
    char *text = g_strdup_printf("role: dispatcher\nname: d-1\n%s"
                                 "ready: {host: 127.0.0.1, port: 0}\n"
                                 "peer: {host: 127.0.0.1, port: 0}\n",
                                 common_settings);
    Node dispatcher, supervisor;
    json_t *status, *row;

    Node_Start(&dispatcher, dir, "d-1", text);
    g_free(text);
    text = g_strdup_printf("role: supervisor\nname: s-1\n%s"
                           "worker: {host: 127.0.0.1, port: 1}\n"
                           "peers: [{host: 127.0.0.1, port: %u}]\n",
                           common_settings, dispatcher.peer_port);
    Node_Start(&supervisor, dir, "s-1", text);
    g_free(text);

    row = wait_for_row(dispatcher.ready_port, "workers", &status);
    assert_text(row, "supervisor", "s-1");
    assert_flag(row, "usable", false);
    assert_text(status, "name", "d-1");
    assert_text(status, "role", "dispatcher");
    assert_text(status, "region", "tunis-nord");
    assert_text(status, "domain", "hall-1");
    assert_flag(status, "store_up", false);
    assert_flag(status, "stopping", false);
    assert_flag(status, "ready", false);
    g_assert_cmpint(number_at(status, "revision", NULL), ==, 0);
    json_decref(status);

    row = wait_for_row(supervisor.http_port, "peers", &status);
    assert_text(row, "name", "d-1");
    assert_text(status, "role", "supervisor");
    assert_text(json_object_get(status, "worker"), "phase", "none");
    json_decref(status);
    assert_text_output(dispatcher.ready_port,
                       "dispatcher d-1, region tunis-nord", "SUPERVISOR");
    assert_text_output(supervisor.http_port,
                       "supervisor s-1, region tunis-nord", "tasks: 0 queued");
    Node_Finish(&supervisor);
    Node_Finish(&dispatcher);
    g_rmdir(dir);
    g_free(dir);
}

/* Returns the value of a metric in the text that is served on `port`. */
static uint64_t
fetch_metric(uint32_t port, const char *name)
{
    BwBlockingClient client;
    BwBlockingReply reply;
    char *start = g_strdup_printf("\n%s ", name);
    const char *line;
    uint64_t value;

    g_assert_true(BwBlockingClient_Init(&client, "127.0.0.1", (uint16_t)port));
    g_assert_cmpuint(BwBlockingClient_Request(&client, "GET", "/metrics", "",
                                              BwSpan_FromString(""),
                                              REQUEST_TIMEOUT_US, &reply),
                     ==, 200);
    line = strstr(reply.body, start);
    g_assert_nonnull(line);
    value = g_ascii_strtoull(line + strlen(start), NULL, 10);
    free(reply.body);
    BwBlockingClient_Finish(&client);
    g_free(start);
    return value;
}

/* Metrics tell how reads of the store go.  A port for monitoring that is in
   use does not keep a process from starting. */
static void
test_metrics_port(void)
{
    char *dir = g_dir_make_tmp("brasswing-XXXXXX", NULL);
    char *text = g_strdup_printf("role: dispatcher\nname: d-1\n%s"
                                 "ready: {host: 127.0.0.1, port: 0}\n"
                                 "peer: {host: 127.0.0.1, port: 0}\n"
                                 "metrics: {host: 127.0.0.1, port: 0}\n",
                                 common_settings);
    Node dispatcher, supervisor;

    Node_Start(&dispatcher, dir, "d-1", text);
    g_free(text);
    g_assert_cmpuint(dispatcher.metrics_port, !=, 0);
    while (fetch_metric(dispatcher.metrics_port,
                        "brasswing_store_reads_failed_total") == 0)
        g_usleep(POLL_US);
    g_assert_cmpuint(
        fetch_metric(dispatcher.metrics_port, "brasswing_store_reads_total"),
        >, 0);
    while (fetch_metric(dispatcher.metrics_port,
                        "brasswing_store_silent_ms") == 0)
        g_usleep(POLL_US);
    g_assert_cmpuint(
        fetch_metric(dispatcher.metrics_port, "brasswing_config_in_force_ms"),
        ==, 0);

    text = g_strdup_printf("role: supervisor\nname: s-1\n%s"
                           "worker: {host: 127.0.0.1, port: 1}\n"
                           "metrics: {host: 127.0.0.1, port: %u}\n",
                           common_settings, dispatcher.metrics_port);
    Node_Start(&supervisor, dir, "s-1", text);
    g_free(text);
    g_assert_cmpuint(supervisor.metrics_port, ==, 0);
    assert_text_output(supervisor.http_port,
                       "supervisor s-1, region tunis-nord", "tasks: 0 queued");
    Node_Finish(&supervisor);
    Node_Finish(&dispatcher);
    g_rmdir(dir);
    g_free(dir);
}

/* Runs `brasswingd --settings FILE --check`; returns its exit code.  *faults
   is what it printed to stderr; g_free it. */
static int
run_check(const char *path, char **faults)
{
    char *argv[] = {BW_DAEMON_PATH, "--settings", (char *)path, "--check",
                    NULL};
    int status = -1;

    g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL,
                               NULL, NULL, NULL, faults, &status, NULL));
    g_assert_true(WIFEXITED(status));
    return WEXITSTATUS(status);
}

static void
test_check(void)
{
    char *dir = g_dir_make_tmp("brasswing-XXXXXX", NULL);
    char *path = g_build_filename(dir, "s.yaml", NULL);
    char *text = g_strdup_printf("role: supervisor\nname: s-1\n%s"
                                 "worker: {host: 127.0.0.1, port: 1}\n",
                                 common_settings);
    char *faults;

    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_assert_cmpint(run_check(path, &faults), ==, 0);
    g_assert_cmpstr(faults, ==, "");
    g_free(faults);
    g_assert_true(g_file_set_contents(path, common_settings, -1, NULL));
    g_assert_cmpint(run_check(path, &faults), ==, 2);
    g_assert_nonnull(strstr(faults, "lacks 'role'"));
    g_assert_nonnull(strstr(faults, "lacks 'name'"));
    g_free(faults);
    g_remove(path);
    g_rmdir(dir);
    g_free(text);
    g_free(path);
    g_free(dir);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/status/dispatcher", test_dispatcher);
    g_test_add_func("/status/supervisor", test_supervisor);
    g_test_add_func("/status/processes", test_processes);
    g_test_add_func("/status/metrics-port", test_metrics_port);
    g_test_add_func("/settings/check", test_check);
    return g_test_run();
}
