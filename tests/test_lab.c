/* test_lab.c -- the emulator's rules, experiments and reports, without
   processes

   A rule that never finds anything is worth nothing, so each is shown a played
   experiment that breaks it, and one that just does not.
*/

#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "experiment.h"
#include "labcounters.h"
#include "labreport.h"

#define MS 1000
#define LOST_US 1000000 /* when the fault comes */

/* A run of task "N.0.0.0" of job 1, and a connection that carried it. */
typedef struct Case {
    const char *rule;
    uint32_t seen;
    BwLabAction action;
    const char *target;
    uint64_t started_us, ended_us, drained_us;
    uint64_t again_us; /* a second run starts; 0: none */
    uint64_t peak_cpu;
    const char *how; /* of the connection, which began at 0 */
    uint64_t broken_us;
    BwLabEnd end; /* of the job, sent at started_us */
    uint32_t crashes;
    uint64_t end_us;
} Case;

static const Case cases[] = {
    {"crashes", 1, .crashes = 1, .ended_us = 1},
    {"over_capacity", 0, .peak_cpu = 4000, .ended_us = 1},
    {"over_capacity", 1, .peak_cpu = 4001, .ended_us = 1},
    {"overlaps", 0, .started_us = 10, .ended_us = 20, .again_us = 20},
    {"overlaps", 1, .started_us = 10, .ended_us = 20, .again_us = 19},
    {"overlaps", 1, .started_us = 10, .ended_us = 0, .again_us = 99},
    {"running", 1, .started_us = 10},
    {"starts_after_drain", 0, .drained_us = 100 * MS, .ended_us = 1},
    {"starts_after_drain", 1, .drained_us = 900 * MS, .ended_us = 1},
    {"starts_after_forbid", 0, BW_LAB_FORBID, "daily",
     .started_us = LOST_US + 100 * MS, .ended_us = LOST_US + 200 * MS},
    {"starts_after_forbid", 1, BW_LAB_FORBID, "daily",
     .started_us = LOST_US + 2000 * MS, .ended_us = LOST_US + 2100 * MS},
    {"lost_at_planned_stop", 0, BW_LAB_KILL, "dispatcher-0", .how = "broken",
     .broken_us = LOST_US + 5, .ended_us = 1},
    {"lost_at_planned_stop", 0, BW_LAB_STOP, "dispatcher-0", .how = "answered",
     .broken_us = LOST_US + 5, .ended_us = 1},
    {"lost_at_planned_stop", 0, BW_LAB_STOP, "dispatcher-1", .how = "broken",
     .broken_us = LOST_US + 5, .ended_us = 1},
    {"lost_at_planned_stop", 1, BW_LAB_STOP, "dispatcher-0", .how = "broken",
     .broken_us = LOST_US + 5, .ended_us = 1},
    {"outlived_dispatcher", 0, BW_LAB_KILL, "dispatcher-0", .how = "broken",
     .broken_us = LOST_US + 5, .ended_us = LOST_US + 1200 * MS},
    {"outlived_dispatcher", 0, BW_LAB_KILL, "dispatcher-0", .how = "answered",
     .broken_us = LOST_US - 5, .ended_us = LOST_US + 1400 * MS},
    {"outlived_dispatcher", 1, BW_LAB_KILL, "dispatcher-0", .how = "broken",
     .broken_us = LOST_US + 5, .ended_us = LOST_US + 1400 * MS},
    {"outlived_dispatcher", 1, BW_LAB_FREEZE, "dispatcher", .how = "given_up",
     .broken_us = LOST_US + 900 * MS, .ended_us = 0},
    {"outlived_supervisor", 0, BW_LAB_KILL, "supervisor-1",
     .ended_us = LOST_US + 1400 * MS},
    {"outlived_supervisor", 1, BW_LAB_KILL, "supervisor-0",
     .ended_us = LOST_US + 1400 * MS},
    {"outlived_caller", 0, .end = BW_LAB_GAVE_UP, .end_us = 500 * MS,
     .ended_us = 1700 * MS},
    {"outlived_caller", 1, .end = BW_LAB_GAVE_UP, .end_us = 500 * MS,
     .ended_us = 1900 * MS},
};

static json_t *
make_run(const Case *c, uint32_t run, uint64_t started_us, uint64_t ended_us)
{
    return json_pack("{s:s, s:i, s:I, s:I, s:I, s:s}", "task",
                     "0000000000000001.0.0.0", "run", (int)run, "started_us",
                     (json_int_t)started_us, "ended_us", (json_int_t)ended_us,
                     "drained_us", (json_int_t)c->drained_us, "how",
                     ended_us > 0 ? "done" : "");
}

static void
set_ledgers(BwLabRunner *runner, const Case *c)
{
    json_t *runs = json_array();
    json_t *rows = json_array();

    json_array_append_new(runs, make_run(c, 1, c->started_us, c->ended_us));
    if (c->again_us > 0)
        json_array_append_new(runs,
                              make_run(c, 2, c->again_us, c->again_us + 1));
    if (c->how != NULL)
        json_array_append_new(
            rows,
            json_pack("{s:s, s:i, s:I, s:I, s:s}", "job", "0000000000000001",
                      "dispatcher", 0, "started_us", (json_int_t)0, "ended_us",
                      (json_int_t)c->broken_us, "how", c->how));
    runner->workers =
        json_pack("[{s:I, s:I, s:I, s:I, s:o}]", "cpu", (json_int_t)4000,
                  "mem", (json_int_t)8000, "peak_cpu", (json_int_t)c->peak_cpu,
                  "peak_mem", (json_int_t)0, "rows", runs);
    runner->ingress = json_pack("{s:o}", "rows", rows);
}

static void
check_case(const Case *c)
{
    BwLabClass which = {.name = "daily"};
    BwExperiment experiment = {.classes = &which, .class_count = 1};
    BwLabFault fault = {.action = (uint32_t)c->action};
    BwLabInjectedFault injected = {&fault, LOST_US};
    BwLabJob job = {
        .end = c->end, .sent_us = c->started_us, .ended_us = c->end_us};
    BwLabJob *jobs[] = {&job};
    BwLabRunner runner = {.experiment = &experiment,
                          .jobs = jobs,
                          .job_count = 1,
                          .injected = &injected,
                          .injected_count = c->target != NULL,
                          .crashes = c->crashes};
    static const BwLabOutcome none;
    BwLabResults results;

    if (c->target != NULL)
        g_strlcpy(fault.target, c->target, sizeof(fault.target));
    set_ledgers(&runner, c);
    g_assert_true(BwLabResults_Init(&results, &runner));
    g_assert_true(BwLabCounter_Find(c->rule)->is_rule);
    g_assert_cmpuint(BwLabCounter_Find(c->rule)->count(&results, &none), ==,
                     c->seen);
    BwLabResults_Finish(&results);
    json_decref(runner.workers);
    json_decref(runner.ingress);
}

static void
test_rules(void)
{
    uint32_t broken = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu: %s", i, cases[i].rule);
        check_case(&cases[i]);
    }
    /* Every rule is broken by one of them. */
    for (const BwLabCounter *counter = BwLabCounters(); counter->name != NULL;
         counter++) {
        bool is_broken = !counter->is_rule;

        for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
            is_broken |=
                cases[i].seen > 0 && strcmp(cases[i].rule, counter->name) == 0;
        g_assert_true(is_broken);
        broken += counter->is_rule;
    }
    g_assert_cmpuint(broken, ==, 10);
}

/* ----------------------------------------------------------- experiment */

static bool
load(BwExperiment *experiment, const char *text, BwYamlFaults *faults)
{
    char *path = NULL;
    int fd = g_file_open_tmp("brasswing-XXXXXX", &path, NULL);
    bool is_sound;

    g_assert_cmpint(fd, >=, 0);
    g_close(fd, NULL);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    memset(faults, 0, sizeof(*faults));
    is_sound = BwExperiment_Load(experiment, path, faults);
    g_remove(path);
    g_free(path);
    return is_sound;
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
        g_assert_false(load(&experiment, bad[i], faults));
        g_assert_cmpuint(faults->count, >, 0);
        BwExperiment_Finish(&experiment);
    }
    g_assert_true(
        load(&experiment,
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

/* A page stands alone and shows texts as they are. */
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
