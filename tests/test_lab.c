/* test_lab.c -- tests the emulator's rules, experiments and reports, without
   processes

   A rule that never detects a violation would go unnoticed.  So each rule is
   checked against results that violate it, most also against results that
   barely satisfy it.
*/

#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "experiment.h"
#include "labcounters.h"
#include "labreport.h"

#define US_PER_MS 1000
#define FAULT_US 1000000 /* time at which the fault is injected */

/* Results with one job: the runs of its only task and the connection that
   carried the job. */
typedef struct RuleCase {
    const char *rule;
    uint32_t expected_count;
    BwLabAction action;
    const char *target;
    uint64_t started_us, ended_us, drained_us;
    uint64_t second_start_us; /* start of a second run; 0: none */
    uint64_t excess_cpu;
    const char *connection_end; /* the connection started at 0 */
    uint64_t connection_end_us;
    BwLabEnd end;       /* of the job, which was sent at started_us */
    uint32_t resend_ms; /* of the job's class */
    uint32_t crashes;
    BwLabAction next_action; /* of a next fault of the same target */
    uint64_t end_us;
    uint64_t next_us; /* when it is; 0: there is none */
} RuleCase;

static const RuleCase cases[] = {
    {"crashes", 1, .crashes = 1, .ended_us = 1},
    {"over_capacity", 0, .excess_cpu = 0, .ended_us = 1},
    {"over_capacity", 1, .excess_cpu = 1, .ended_us = 1},
    {"overlaps", 0, .started_us = 10, .ended_us = 20, .second_start_us = 20},
    {"overlaps", 1, .started_us = 10, .ended_us = 20, .second_start_us = 19},
    {"overlaps", 1, .started_us = 10, .ended_us = 0, .second_start_us = 99},
    {"running", 1, .started_us = 10},
    {"starts_after_drain", 0, .drained_us = 100 * US_PER_MS, .ended_us = 1},
    {"starts_after_drain", 1, .drained_us = 900 * US_PER_MS, .ended_us = 1},
    {"starts_after_forbid", 0, BW_LAB_FORBID, "daily",
     .started_us = FAULT_US + 100 * US_PER_MS,
     .ended_us = FAULT_US + 200 * US_PER_MS},
    {"starts_after_forbid", 1, BW_LAB_FORBID, "daily",
     .started_us = FAULT_US + 2000 * US_PER_MS,
     .ended_us = FAULT_US + 2100 * US_PER_MS},
    {"lost_at_planned_stop", 0, BW_LAB_KILL, "dispatcher-0",
     .connection_end = "broken", .connection_end_us = FAULT_US + 5,
     .ended_us = 1},
    {"lost_at_planned_stop", 0, BW_LAB_STOP, "dispatcher-0",
     .connection_end = "answered", .connection_end_us = FAULT_US + 5,
     .ended_us = 1},
    {"lost_at_planned_stop", 0, BW_LAB_STOP, "dispatcher-1",
     .connection_end = "broken", .connection_end_us = FAULT_US + 5,
     .ended_us = 1},
    {"lost_at_planned_stop", 1, BW_LAB_STOP, "dispatcher-0",
     .connection_end = "broken", .connection_end_us = FAULT_US + 5,
     .ended_us = 1},
    {"lost_at_planned_stop", 1, BW_LAB_STOP, "dispatcher-0",
     .connection_end = "broken", .connection_end_us = FAULT_US + 5,
     .ended_us = 1, .next_action = BW_LAB_START, .next_us = FAULT_US + 6},
    /* The connection was one of the next process. */
    {"lost_at_planned_stop", 0, BW_LAB_STOP, "dispatcher-0",
     .connection_end = "broken", .connection_end_us = FAULT_US + 7,
     .ended_us = 1, .next_action = BW_LAB_START, .next_us = FAULT_US + 6},
    {"outlived_dispatcher", 0, BW_LAB_KILL, "dispatcher-0",
     .connection_end = "broken", .connection_end_us = FAULT_US + 5,
     .ended_us = FAULT_US + 1200 * US_PER_MS},
    {"outlived_dispatcher", 0, BW_LAB_KILL, "dispatcher-0",
     .connection_end = "answered", .connection_end_us = FAULT_US - 5,
     .ended_us = FAULT_US + 1400 * US_PER_MS},
    {"outlived_dispatcher", 1, BW_LAB_KILL, "dispatcher-0",
     .connection_end = "broken", .connection_end_us = FAULT_US + 5,
     .ended_us = FAULT_US + 1400 * US_PER_MS},
    {"outlived_dispatcher", 1, BW_LAB_FREEZE, "dispatcher",
     .connection_end = "given_up",
     .connection_end_us = FAULT_US + 900 * US_PER_MS, .ended_us = 0},
    {"outlived_supervisor", 0, BW_LAB_KILL, "supervisor-1",
     .ended_us = FAULT_US + 1400 * US_PER_MS},
    {"outlived_supervisor", 1, BW_LAB_KILL, "supervisor-0",
     .ended_us = FAULT_US + 1400 * US_PER_MS},
    {"outlived_caller", 0, .end = BW_LAB_GAVE_UP, .end_us = 500 * US_PER_MS,
     .ended_us = 1700 * US_PER_MS},
    {"outlived_caller", 1, .end = BW_LAB_GAVE_UP, .end_us = 500 * US_PER_MS,
     .ended_us = 1900 * US_PER_MS},
    {"ran_though_refused", 0, .end = BW_LAB_COMPLETED, .ended_us = 1},
    {"ran_though_refused", 1, .end = BW_LAB_REFUSED, .ended_us = 1},
    {"ran_though_refused", 1, .end = BW_LAB_REFUSED, .ended_us = 1,
     .connection_end = "answered", .connection_end_us = FAULT_US + 5},
    {"ran_though_refused", 0, .end = BW_LAB_REFUSED, .ended_us = 1,
     .connection_end = "broken", .connection_end_us = FAULT_US + 5},
    /* It may have run when it was sent first. */
    {"ran_though_refused", 0, .end = BW_LAB_REFUSED, .resend_ms = 300,
     .ended_us = 1},
};

static json_t *
make_run(const RuleCase *c, uint32_t run, uint64_t started_us,
         uint64_t ended_us)
{
    return json_pack("{s:s, s:i, s:I, s:I, s:I, s:s}", "task",
                     "0000000000000001.0.0.0", "run", (int)run, "started_us",
                     (json_int_t)started_us, "ended_us", (json_int_t)ended_us,
                     "drained_us", (json_int_t)c->drained_us, "how",
                     ended_us > 0 ? "done" : "");
}

static void
set_ledgers(BwLabRunner *runner, const RuleCase *c)
{
    json_t *runs = json_array();
    json_t *rows = json_array();

    json_array_append_new(runs, make_run(c, 1, c->started_us, c->ended_us));
    if (c->second_start_us > 0)
        json_array_append_new(
            runs, make_run(c, 2, c->second_start_us, c->second_start_us + 1));
    if (c->connection_end != NULL)
        json_array_append_new(rows, json_pack("{s:s, s:i, s:I, s:I, s:s}",
                                              "job", "0000000000000001",
                                              "dispatcher", 0, "started_us",
                                              (json_int_t)0, "ended_us",
                                              (json_int_t)c->connection_end_us,
                                              "how", c->connection_end));
    runner->workers =
        json_pack("[{s:I, s:I, s:o}]", "excess_cpu", (json_int_t)c->excess_cpu,
                  "excess_mem", (json_int_t)0, "rows", runs);
    runner->ingress = json_pack("{s:o}", "rows", rows);
}

static void
check_case(const RuleCase *c)
{
    BwLabClass job_class = {.name = "daily", .resend_ms = c->resend_ms};
    BwExperiment experiment = {.classes = &job_class, .class_count = 1};
    BwLabFault fault = {.action = (uint32_t)c->action};
    BwLabFault next = {.action = (uint32_t)c->next_action};
    BwLabInjectedFault injected[] = {{&fault, FAULT_US}, {&next, c->next_us}};
    BwLabJob job = {
        .end = c->end, .sent_us = c->started_us, .ended_us = c->end_us};
    BwLabJob *jobs[] = {&job};
    BwLabRunner runner = {.experiment = &experiment,
                          .jobs = jobs,
                          .job_count = 1,
                          .injected = injected,
                          .injected_count =
                              (c->target != NULL) + (c->next_us != 0),
                          .crashes = c->crashes};
    static const BwLabOutcome none;
    BwLabResults results;

    if (c->target != NULL)
        g_strlcpy(fault.target, c->target, sizeof(fault.target));
    memcpy(next.target, fault.target, sizeof(next.target));
    set_ledgers(&runner, c);
    g_assert_true(BwLabResults_Init(&results, &runner));
    g_assert_true(BwLabCounter_Find(c->rule)->is_rule);
    g_assert_cmpuint(BwLabCounter_Find(c->rule)->count(&results, &none), ==,
                     c->expected_count);
    BwLabResults_Finish(&results);
    json_decref(runner.workers);
    json_decref(runner.ingress);
}

static void
test_rules(void)
{
    uint32_t rule_count = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu: %s", i, cases[i].rule);
        check_case(&cases[i]);
    }
    /* Every rule is violated by at least one case. */
    for (const BwLabCounter *counter = BwLabCounters(); counter->name != NULL;
         counter++) {
        bool is_covered = !counter->is_rule;

        for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
            is_covered |= cases[i].expected_count > 0 &&
                          strcmp(cases[i].rule, counter->name) == 0;
        g_assert_true(is_covered);
        rule_count += counter->is_rule;
    }
    g_assert_cmpuint(rule_count, ==, 11);
}

/* ----------------------------------------------------------- experiment */

static bool
load_experiment(BwExperiment *experiment, const char *text,
                BwYamlFaults *faults)
{
    char *path = NULL;
    int fd = g_file_open_tmp("brasswing-XXXXXX", &path, NULL);
    bool is_valid;

    g_assert_cmpint(fd, >=, 0);
    g_close(fd, NULL);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    memset(faults, 0, sizeof(*faults));
    is_valid = BwExperiment_Load(experiment, path, faults);
    g_remove(path);
    g_free(path);
    return is_valid;
}

static void
test_experiment(void)
{
    static const char *const bad[] = {
        "name: x\n",
        "name: x\nclasses: [{rate_per_s: 1}]\n",
        "name: x\nclasses: [{name: a, rate: 1}]\n",
        "name: x\nclasses: [{name: a}]\nfaults: [{target: a, do: bend}]\n",
        "name: x\nfleet: {workers: 65}\nclasses: [{name: a}]\n",
    };
    BwExperiment experiment;
    BwYamlFaults *faults = g_new(BwYamlFaults, 1);

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_false(load_experiment(&experiment, bad[i], faults));
        g_assert_cmpuint(faults->count, >, 0);
        BwExperiment_Finish(&experiment);
    }
    g_assert_true(load_experiment(
        &experiment,
        "name: x\nduration_ms: 700\nclasses: [{name: a}]\n"
        "outcomes: [{expect: jobs}, {expect: jobs, at_least: 3}]\n",
        faults));
    g_assert_cmpuint(experiment.classes[0].until_ms, ==, 700);
    g_assert_cmpuint(experiment.outcomes[0].at_most, ==, 0);
    g_assert_cmpuint(experiment.outcomes[1].at_most, ==, UINT32_MAX);
    BwExperiment_Finish(&experiment);
    g_free(faults);
    g_assert_true(BwLabTarget_Matches("worker-3", "worker", 3));
    g_assert_true(BwLabTarget_Matches("worker", "worker", 3));
    g_assert_false(BwLabTarget_Matches("worker-3", "worker", 13));
    g_assert_false(BwLabTarget_Matches("worker-31", "worker", 3));
    g_assert_false(BwLabTarget_Matches("workers", "worker", 0));
}

/* A page refers to no other file or site and escapes the texts that it
   shows. */
static void
test_page(void)
{
    json_t *reports = json_loads(
        "[{\"experiment\":\"a<b\",\"about\":\"x & y\",\"jobs\":2,\"runs\":2,"
        "\"seed\":1,\"classes\":[{\"class\":\"c\",\"ends\":{\"completed\":2},"
        "\"p50_ms\":3.0,\"histogram\":[[5,2],[0,0]]}],"
        "\"not_completed\":{\"c 429 refused full\":1},"
        "\"faults\":[{\"at_ms\":100,\"target\":\"store\",\"do\":\"tell\"}],"
        "\"outcomes\":[{\"expect\":\"jobs\",\"class\":\"\",\"at_least\":3,"
        "\"at_most\":-1,\"seen\":2,\"met\":false}],"
        "\"series\":{\"step_ms\":100,\"sent\":[1,1],\"completed\":[0,2],"
        "\"not_completed\":[0,0],\"running\":[1,1]}}]",
        0, NULL);
    char *path = NULL, *page = NULL;
    int fd = g_file_open_tmp("brasswing-XXXXXX", &path, NULL);

    g_close(fd, NULL);
    g_assert_nonnull(reports);
    g_assert_true(BwLabPage_Write(reports, path));
    g_assert_true(g_file_get_contents(path, &page, NULL, NULL));
    g_assert_nonnull(strstr(page, "a&lt;b"));
    g_assert_nonnull(strstr(page, "x &amp; y"));
    g_assert_nonnull(strstr(page, "<polyline"));
    g_assert_nonnull(strstr(page, "1 of 1 outcomes violated"));
    g_assert_null(strstr(page, "http"));
    g_assert_null(strstr(page, "<script"));
    g_assert_null(strstr(page, "nan,"));
    g_remove(path);
    g_free(path);
    g_free(page);
    json_decref(reports);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/lab/rules", test_rules);
    g_test_add_func("/lab/experiment", test_experiment);
    g_test_add_func("/lab/page", test_page);
    return g_test_run();
}
