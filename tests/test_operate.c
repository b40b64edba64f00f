/* test_operate.c -- tests the operators' commands status, explain and drain,
   and that jobs are refused while a dependency has no backend server */

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "fleet.h"

#define MEMBER "power-purchase-agency"
#define WAIT_US 30000000
#define POLL_US 10000

static Fleet fleet;

static const char operators_config[] =
    "members: [{name: " MEMBER "}]\n"
    "services:\n"
    "  - name: tarif-engine\n"
    "    member: " MEMBER "\n"
    "    depends_on: [meter-store]\n"
    "  - name: meter-store\n"
    "    member: " MEMBER "\n"
    "    depends_on: [archive]\n"
    "  - {name: archive, member: " MEMBER "}\n";

/* Submits to entry 1 and returns the HTTP status; free() reply->body. */
static uint32_t
submit(const char *service, const char *key, uint32_t tasks, uint64_t run_us,
       uint64_t deadline_wall_us, BwBlockingReply *reply)
{
    char *job = Fleet_JobText(MEMBER, service, key, tasks, run_us,
                              deadline_wall_us, "");
    uint32_t status = Fleet_Request(fleet.entries[1].http_port, "POST",
                                    "/v1/jobs", job, reply);

    g_free(job);
    return status;
}

static void
control_backend(uint32_t backend, const char *control)
{
    BwBlockingReply reply;

    Fleet_Request(fleet.backends[backend].http_port, "POST", "/control",
                  control, &reply);
    free(reply.body);
}

/* Submits jobs with new keys until the reply has the expected status and
   text. */
static void
wait_status(const char *service, uint32_t expected_status,
            const char *expected_text)
{
    uint64_t wait_limit_us = BwClock_Now() + WAIT_US;
    static uint32_t number;
    bool is_found = false;

    while (!is_found) {
        char *key = g_strdup_printf("wait-%u", number++);
        BwBlockingReply reply;

        is_found = submit(service, key, 1, 1000, BwClock_WallNow() + 30000000,
                          &reply) == expected_status &&
                   strstr(reply.body, expected_text) != NULL;
        if (!is_found && BwClock_Now() > wait_limit_us)
            g_error("%s: %u %s", service, reply.status, reply.body);
        free(reply.body);
        g_free(key);
        g_usleep(POLL_US);
    }
}

static void
test_dependencies(void)
{
    uint64_t deadline_us = BwClock_WallNow() + 50000000;
    BwBlockingReply reply;

    wait_status("tarif-engine", 200, "complete");
    g_assert_cmpuint(
        submit("tarif-engine", "known", 2, 1000, deadline_us, &reply), ==,
        200);
    free(reply.body);
    control_backend(2, "{\"announce\":false}");
    wait_status("meter-store", 503, "depends on 'archive'");
    wait_status("tarif-engine", 503, "depends on 'archive'");
    /* A job that has run is answered from its record. */
    g_assert_cmpuint(
        submit("tarif-engine", "known", 2, 1000, deadline_us, &reply), ==,
        200);
    free(reply.body);
    control_backend(2, "{\"announce\":true}");
    wait_status("tarif-engine", 200, "complete");
}

static json_t *
find_node(json_t *root, const char *name)
{
    json_t *node;
    size_t index;

    json_array_foreach(json_object_get(root, "nodes"), index, node)
    {
        if (g_strcmp0(json_string_value(json_object_get(node, "name")),
                      name) == 0)
            return node;
    }
    return NULL;
}

/* The status of an agent lists the arcs that it holds and names the guardian
   that leases them to it. */
static void
check_custody(void)
{
    BwBlockingReply reply;
    json_t *root;
    json_t *custody;
    const char *guardian;

    g_assert_cmpuint(Fleet_Request(fleet.agents[1].http_port, "GET",
                                   "/v1/status", "", &reply),
                     ==, 200);
    root = json_loads(reply.body, 0, NULL);
    custody = json_object_get(json_object_get(root, "detail"), "custody");
    guardian = json_string_value(json_object_get(custody, "guardian"));
    g_assert_cmpstr(
        json_string_value(json_array_get(json_object_get(custody, "arcs"), 0)),
        ==, "agent-1");
    g_assert_nonnull(guardian);
    g_assert_true(g_str_has_prefix(guardian, "agent-"));
    g_assert_cmpstr(guardian, !=, "agent-1");
    json_decref(root);
    free(reply.body);
}

static void
test_status(void)
{
    static const char *const names[] = {"agent-0", "agent-1", "agent-2",
                                        "entry-0", "entry-1"};
    FleetCommandResult run;
    json_t *root;

    Fleet_RunCommand(&fleet, &run, "--output json status");
    g_assert_cmpint(run.code, ==, 0);
    root = json_loads(run.out, 0, NULL);
    FleetCommandResult_Clear(&run);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        json_t *node = find_node(root, names[i]);

        g_assert_true(json_is_true(json_object_get(node, "up")));
        g_assert_cmpint(json_integer_value(json_object_get(node, "revision")),
                        ==, 1);
    }
    g_assert_cmpstr(json_string_value(json_object_get(
                        find_node(root, "agent-1"), "service")),
                    ==, "meter-store");
    json_decref(root);
    Fleet_RunCommand(&fleet, &run, "status");
    g_assert_nonnull(strstr(run.out, "entry-1"));
    FleetCommandResult_Clear(&run);
    check_custody();
    Fleet_RunCommand(&fleet, &run, "--entry 127.0.0.1:1 status");
    g_assert_cmpint(run.code, ==, 4);
    FleetCommandResult_Clear(&run);
}

static void
test_explain(void)
{
    BwBlockingReply reply;
    FleetCommandResult run;
    const char *route_line;
    const char *place_line;

    g_assert_cmpuint(submit("tarif-engine", "story", 3, 1000,
                            BwClock_WallNow() + 30000000, &reply),
                     ==, 200);
    free(reply.body);
    Fleet_RunCommand(&fleet, &run, "--member " MEMBER " explain story");
    g_assert_cmpint(run.code, ==, 0);
    route_line = strstr(run.out, "entry-1      route");
    place_line = strstr(run.out, "place");
    g_assert_nonnull(route_line);
    g_assert_nonnull(place_line);
    g_assert_true(route_line < place_line);
    FleetCommandResult_Clear(&run);
    Fleet_RunCommand(&fleet, &run, "--member " MEMBER " explain no-such-key");
    g_assert_cmpint(run.code, ==, 1);
    FleetCommandResult_Clear(&run);
}

static gpointer
submit_long(gpointer data)
{
    BwBlockingReply *reply = data;

    submit("tarif-engine", "long", 4, 500000, BwClock_WallNow() + 30000000,
           reply);
    return NULL;
}

/* Drains the only agent of a service.  Running tasks complete, new jobs are
   refused, and the process stays up until SIGTERM. */
static void
test_drain(void)
{
    uint32_t port = fleet.agents[0].http_port;
    FleetCommandResult run;
    GThread *thread;
    BwBlockingReply reply;
    uint64_t total, repeated, after;
    int exit_code = -1;

    thread = g_thread_new("submit", submit_long, &reply);
    while (Fleet_ReadMetric(port, "brasswing_slots_busy") < 4)
        g_usleep(POLL_US);
    Fleet_RunCommand(&fleet, &run, "drain agent-0");
    g_assert_cmpint(run.code, ==, 0);
    FleetCommandResult_Clear(&run);
    g_assert_cmpuint(Fleet_ReadMetric(port, "brasswing_slots_busy"), ==, 0);
    g_thread_join(thread);
    g_assert_cmpuint(reply.status, ==, 200);
    free(reply.body);
    wait_status("tarif-engine", 503, "no backend server");
    Fleet_CountStarts(&fleet, &total, &repeated);
    g_assert_cmpuint(repeated, ==, 0);
    g_assert_cmpuint(submit("tarif-engine", "after", 1, 1000,
                            BwClock_WallNow() + 30000000, &reply),
                     ==, 503);
    free(reply.body);
    Fleet_CountStarts(&fleet, &after, &repeated);
    g_assert_cmpuint(after, ==, total);
    Fleet_WaitRing(&fleet, fleet.plan.agents - 1);
    Fleet_Signal(&fleet.agents[0], SIGTERM);
    g_assert_true(Fleet_WaitEnd(&fleet.agents[0], WAIT_US, &exit_code));
    g_assert_cmpint(exit_code, ==, 0);
}

int
main(int argc, char **argv)
{
    static const FleetPlan plan = {.agents = 3,
                                   .entries = 2,
                                   .slots = 4,
                                   .run_us = 1000,
                                   .services =
                                       "tarif-engine meter-store archive",
                                   .text = operators_config};
    int code;

    g_test_init(&argc, &argv, NULL);
    Fleet_Init(&fleet, &plan);
    g_test_add_func("/operate/dependencies", test_dependencies);
    g_test_add_func("/operate/status", test_status);
    g_test_add_func("/operate/explain", test_explain);
    g_test_add_func("/operate/drain", test_drain);
    code = g_test_run();
    Fleet_Finish(&fleet);
    return code;
}
