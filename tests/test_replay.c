/* test_replay.c -- tests traces, their ideal schedules, and the outcomes that
   a replay checks

   The outcomes decide whether a change is accepted, so a run that violates an
   outcome must be reported for each kind of outcome.
*/

#include <string.h>

#include <glib.h>

#include "ideal.h"
#include "replay.h"

static const char two_job_trace[] =
    "{\"trace\":\"t\",\"services\":{\"s\":2},\"priorities\":{\"low\":4}}\n"
    "{\"at_us\":0,\"job\":{\"member\":\"m\",\"service\":\"s\",\"class\":"
    "\"low\",\"key\":\"low-1\",\"lifetime_us\":100,\"tasks\":[[9,100,4]]}}\n"
    "{\"at_us\":10,\"job\":{\"member\":\"m\",\"service\":\"s\",\"class\":"
    "\"high\",\"key\":\"high-1\",\"lifetime_us\":100,\"tasks\":[[9,50,1]]}}\n";

static void
read_trace(BwTrace *trace, const char *text)
{
    if (!BwTrace_Read(trace, text, (uint32_t)strlen(text)))
        g_error("%s", trace->error_message);
}

static void
test_read(void)
{
    static const char *const invalid[] = {
        "",
        "[]\n",
        "{\"trace\":\"t\"}\n",
        "{\"trace\":\"t\",\"services\":{}}\n{\"at_us\":0}\n",
        "{\"trace\":\"t\",\"services\":{}}\n{\"mark\":\"m\"}\n",
        "{\"trace\":\"t\",\"services\":{}}\n"
        "{\"at_us\":0,\"job\":{\"member\":\"m\",\"key\":\"k\",\"service\":"
        "\"s\",\"lifetime_us\":1,\"tasks\":[[1,1,1]]}}\n",
        "{\"trace\":\"t\",\"services\":{\"s\":1}}\n"
        "{\"at_us\":0,\"job\":{\"member\":\"m\",\"key\":\"k\",\"service\":"
        "\"s\",\"lifetime_us\":1,\"tasks\":[[1,1,1701]]}}\n",
    };
    BwTrace trace;

    read_trace(&trace, two_job_trace);
    g_assert_cmpuint(trace.job_count, ==, 2);
    g_assert_cmpuint(trace.jobs[0].task_count, ==, 4);
    g_assert_cmpuint(trace.jobs[0].tasks[3].run_us, ==, 100);
    g_assert_cmpuint(BwTrace_Priority(&trace, "low"), ==, 4);
    BwTrace_Finish(&trace);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_false(
            BwTrace_Read(&trace, invalid[i], (uint32_t)strlen(invalid[i])));
        g_assert_cmpstr(trace.error_message, !=, "");
        BwTrace_Finish(&trace);
    }
}

static void
test_ideal(void)
{
    uint64_t took_us[2] = {0};
    BwTrace trace;

    read_trace(&trace, two_job_trace);
    g_assert_cmpuint(BwIdeal_JobUs(&trace.jobs[0], 2), ==, 200);
    g_assert_cmpuint(BwIdeal_JobUs(&trace.jobs[0], 3), ==, 200);
    g_assert_cmpuint(BwIdeal_JobUs(&trace.jobs[0], 4), ==, 100);
    /* Both slots are busy until 100.  Then the task of the class with the
       higher priority starts first and ends at 150; the two remaining tasks
       of the other class end at 200 and 250. */
    g_assert_true(BwIdeal_CentralQueue(&trace, "s", 2, took_us));
    g_assert_cmpuint(took_us[0], ==, 250);
    g_assert_cmpuint(took_us[1], ==, 140);
    BwTrace_Finish(&trace);
}

/* ---------------------------------------------------------- outcomes */

typedef struct ReplayRun {
    BwTrace trace;
    BwReplay replay;
    BwReplayJob jobs[2];
    uint32_t task_starts[2][4];
    BwReplayMark *marks;
    BwReplayProcess agents[2];
} ReplayRun;

/* Makes a run in which both jobs completed and each task started once. */
static void
make_good_run(ReplayRun *run)
{
    memset(run, 0, sizeof(*run));
    read_trace(&run->trace, two_job_trace);
    run->marks = g_new0(BwReplayMark, 2);
    run->replay.trace = &run->trace;
    run->replay.jobs = run->jobs;
    run->replay.marks = run->marks;
    run->replay.mark_count = 2;
    run->replay.processes = run->agents;
    run->replay.process_count = 2;
    for (uint32_t i = 0; i < 2; i++) {
        run->jobs[i].trace = &run->trace.jobs[i];
        run->jobs[i].end = BW_REPLAY_COMPLETE;
        run->jobs[i].task_starts = run->task_starts[i];
        run->jobs[i].starts = run->trace.jobs[i].task_count;
        for (uint32_t t = 0; t < run->trace.jobs[i].task_count; t++)
            run->task_starts[i][t] = 1;
        run->agents[i].role = "agent";
        run->agents[i].name = i == 0 ? "agent-0" : "agent-1";
    }
    run->marks[1].counters[0].starts = 3;
    run->marks[1].counters[1].starts = 2;
}

static void
set_not_run(BwReplayJob *job)
{
    job->end = BW_REPLAY_NOT_RUN;
    job->starts = 0;
    memset(job->task_starts, 0, sizeof(uint32_t) * job->trace->task_count);
}

/* Checks one outcome of the run and frees the run. */
static bool
is_outcome_met(ReplayRun *run, const char *outcome)
{
    json_t *line = json_loads(outcome, 0, NULL);
    json_t *verdicts;
    bool is_ok;

    run->trace.outcomes[0] = line;
    run->trace.outcome_count = 1;
    verdicts = BwReplay_CheckOutcomes(&run->replay);
    is_ok = json_is_true(json_object_get(json_array_get(verdicts, 0), "ok"));
    json_decref(verdicts);
    json_decref(line);
    BwTrace_Finish(&run->trace);
    g_free(run->marks);
    return is_ok;
}

static const char fair_share[] =
    "{\"outcome\":\"start_share\",\"agent\":\"agent-0\",\"after\":3,"
    "\"percent\":1}";

static void
test_outcomes_met(void)
{
    static const char *const outcomes[] = {
        "{\"outcome\":\"complete\"}",
        "{\"outcome\":\"complete_or_refused\"}",
        "{\"outcome\":\"answered\"}",
        "{\"outcome\":\"no_partial\"}",
        "{\"outcome\":\"no_second_start\"}",
        "{\"outcome\":\"refused_not_run\"}",
        "{\"outcome\":\"not_shed\"}",
        "{\"outcome\":\"shed_order\",\"classes\":[\"high\",\"low\"]}",
        fair_share,
    };
    ReplayRun run;

    for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
        make_good_run(&run);
        g_assert_true(is_outcome_met(&run, outcomes[i]));
    }
}

static void
test_outcomes_of_ends(void)
{
    static const struct {
        const char *outcome;
        BwReplayEnd end; /* of the second job */
    } invalid[] = {
        {"{\"outcome\":\"complete\"}", BW_REPLAY_NOT_RUN},
        {"{\"outcome\":\"complete\"}", BW_REPLAY_MAY_HAVE_RUN},
        {"{\"outcome\":\"refused\",\"where\":{\"class\":\"high\"}}",
         BW_REPLAY_COMPLETE},
        {"{\"outcome\":\"complete_or_refused\"}", BW_REPLAY_MAY_HAVE_RUN},
        {"{\"outcome\":\"failed_or_refused\",\"where\":{\"key\":\"high\"}}",
         BW_REPLAY_COMPLETE},
        {"{\"outcome\":\"answered\"}", BW_REPLAY_NOT_ANSWERED},
        {"{\"outcome\":\"no_partial\"}", BW_REPLAY_PARTIAL},
        {"{\"outcome\":\"refused_not_run\"}", BW_REPLAY_NOT_RUN},
    };
    ReplayRun run;

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        make_good_run(&run);
        run.jobs[1].end = invalid[i].end;
        g_assert_false(is_outcome_met(&run, invalid[i].outcome));
    }
}

static void
test_outcomes_of_runs(void)
{
    ReplayRun run;

    make_good_run(&run);
    run.task_starts[0][2] = 2;
    g_assert_false(is_outcome_met(&run, "{\"outcome\":\"no_second_start\"}"));
    make_good_run(&run);
    strcpy(run.jobs[1].error, "overloaded");
    g_assert_false(is_outcome_met(&run, "{\"outcome\":\"not_shed\"}"));
    make_good_run(&run);
    set_not_run(&run.jobs[1]);
    g_assert_false(is_outcome_met(&run,
                                  "{\"outcome\":\"shed_order\",\"classes\":"
                                  "[\"high\",\"low\"]}"));
    make_good_run(&run);
    g_assert_false(is_outcome_met(
        &run, "{\"outcome\":\"start_share\",\"agent\":\"agent-0\","
              "\"after\":1,\"percent\":1}"));
    make_good_run(&run);
    g_assert_false(is_outcome_met(&run, "{\"outcome\":\"no_such_kind\"}"));
    make_good_run(&run);
    g_assert_false(is_outcome_met(
        &run, "{\"outcome\":\"complete\",\"where\":{\"key\":\"none-\"}}"));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replay/read", test_read);
    g_test_add_func("/replay/ideal", test_ideal);
    g_test_add_func("/replay/outcomes-met", test_outcomes_met);
    g_test_add_func("/replay/outcomes-of-ends", test_outcomes_of_ends);
    g_test_add_func("/replay/outcomes-of-runs", test_outcomes_of_runs);
    return g_test_run();
}
