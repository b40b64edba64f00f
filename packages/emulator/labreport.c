/* labreport.c -- the report of an experiment */

#include <stdlib.h>
#include <string.h>

#include "labreport.h"

#define STEP_MS 100
#define QUANTILE_COUNT 4
#define HELD_UP_REPORTED_MS 500 /* a longer loop iteration is reported */

static const uint32_t bounds_ms[] = {5,   10,   20,   50,   100,   200,
                                     500, 1000, 2000, 5000, 10000, UINT32_MAX};

#define BOUND_COUNT (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

static const struct {
    const char *name;
    uint32_t permille;
} quantiles[QUANTILE_COUNT] = {
    {"p50_ms", 500}, {"p95_ms", 950}, {"p99_ms", 990}, {"max_ms", 1000}};

/* ------------------------------------------------------------- classes */

static int
compare_numbers(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left, b = *(const uint64_t *)right;

    return a < b ? -1 : a > b;
}

static uint32_t
collect_latencies(const BwLabRunner *runner, uint32_t job_class,
                  uint64_t *latencies_us)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < runner->job_count; i++) {
        const BwLabJob *job = runner->jobs[i];

        if (job->job_class == job_class && job->end == BW_LAB_COMPLETED)
            latencies_us[count++] = job->ended_us - job->sent_us;
    }
    qsort(latencies_us, count, sizeof(*latencies_us), compare_numbers);
    return count;
}

static json_t *
make_histogram(const uint64_t *latencies_us, uint32_t count)
{
    json_t *histogram = json_array();
    uint32_t at = 0;

    for (size_t i = 0; i < BOUND_COUNT; i++) {
        uint32_t from = at;

        while (at < count && latencies_us[at] / 1000 < bounds_ms[i])
            at++;
        json_array_append_new(histogram,
                              json_pack("[I, i]",
                                        bounds_ms[i] == UINT32_MAX
                                            ? (json_int_t)0
                                            : (json_int_t)bounds_ms[i],
                                        (int)(at - from)));
    }
    return histogram;
}

static json_t *
make_class(const BwLabRunner *runner, uint32_t job_class)
{
    uint64_t *latencies_us =
        calloc(runner->job_count + 1, sizeof(*latencies_us));
    json_t *object = json_object();
    json_t *ends = json_object();
    uint32_t counts[BW_LAB_END_COUNT] = {0};
    uint32_t count;

    if (latencies_us == NULL)
        return object;
    count = collect_latencies(runner, job_class, latencies_us);
    for (uint32_t i = 0; i < runner->job_count; i++)
        counts[runner->jobs[i]->end] +=
            runner->jobs[i]->job_class == job_class;
    for (uint32_t i = 0; i < BW_LAB_END_COUNT; i++)
        json_object_set_new(ends, BwLabEnd_Name((BwLabEnd)i),
                            json_integer(counts[i]));
    json_object_set_new(
        object, "class",
        json_string(runner->experiment->classes[job_class].name));
    json_object_set_new(object, "ends", ends);
    for (uint32_t i = 0; count > 0 && i < QUANTILE_COUNT; i++) {
        uint32_t rank = (count * quantiles[i].permille + 999) / 1000;

        json_object_set_new(object, quantiles[i].name,
                            json_real((double)latencies_us[rank - 1] / 1000));
    }
    json_object_set_new(object, "histogram",
                        make_histogram(latencies_us, count));
    free(latencies_us);
    return object;
}

/* ------------------------------------------------------ not completed */

static json_t *
make_not_completed(const BwLabRunner *runner)
{
    json_t *counts = json_object();

    for (uint32_t i = 0; i < runner->job_count; i++) {
        const BwLabJob *job = runner->jobs[i];
        char key[512];

        if (job->end == BW_LAB_COMPLETED || job->end == BW_LAB_GAVE_UP)
            continue;
        snprintf(key, sizeof(key), "%s %u %s %s",
                 runner->experiment->classes[job->job_class].name, job->status,
                 BwLabEnd_Name(job->end),
                 job->reason != NULL ? job->reason : "");
        json_object_set_new(
            counts, key,
            json_integer(json_integer_value(json_object_get(counts, key)) +
                         1));
    }
    return counts;
}

/* -------------------------------------------------------------- series */

typedef struct Series {
    uint64_t start_us;
    uint32_t steps;
    uint32_t *counts;
} Series;

static void
count_at(Series *series, uint64_t at_us)
{
    uint64_t step;

    if (at_us < series->start_us)
        return;
    step = (at_us - series->start_us) / (STEP_MS * 1000);
    if (step < series->steps)
        series->counts[step]++;
}

static json_t *
flush_series(Series *series)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < series->steps; i++) {
        json_array_append_new(list, json_integer(series->counts[i]));
        series->counts[i] = 0;
    }
    return list;
}

static json_t *
make_series(const BwLabRunner *runner, const BwLabResults *results)
{
    Series series = {.start_us = runner->start_us};
    json_t *object = json_object();

    series.steps =
        (uint32_t)((runner->end_us - runner->start_us) / (STEP_MS * 1000)) + 1;
    series.counts = calloc(series.steps, sizeof(*series.counts));
    if (series.counts == NULL)
        return object;
    for (uint32_t i = 0; i < runner->job_count; i++)
        count_at(&series, runner->jobs[i]->sent_us);
    json_object_set_new(object, "sent", flush_series(&series));
    for (uint32_t i = 0; i < runner->job_count; i++) {
        if (runner->jobs[i]->end == BW_LAB_COMPLETED)
            count_at(&series, runner->jobs[i]->ended_us);
    }
    json_object_set_new(object, "completed", flush_series(&series));
    for (uint32_t i = 0; i < runner->job_count; i++) {
        if (runner->jobs[i]->end != BW_LAB_COMPLETED &&
            runner->jobs[i]->end != BW_LAB_GAVE_UP)
            count_at(&series, runner->jobs[i]->ended_us);
    }
    json_object_set_new(object, "not_completed", flush_series(&series));
    for (uint32_t i = 0; i < results->run_count; i++) {
        const BwLabRun *run = &results->runs[i];
        uint64_t end_us = run->ended_us != 0 ? run->ended_us : runner->end_us;

        for (uint64_t at_us = run->started_us; at_us < end_us;
             at_us += STEP_MS * 1000)
            count_at(&series, at_us);
    }
    json_object_set_new(object, "running", flush_series(&series));
    json_object_set_new(object, "step_ms", json_integer(STEP_MS));
    free(series.counts);
    return object;
}

/* ------------------------------------------------------------ outcomes */

static json_t *
evaluate_outcome(const BwLabResults *results, const BwLabCounter *counter,
                 const BwLabOutcome *outcome)
{
    uint32_t observed = counter->count(results, outcome);
    bool is_met =
        observed >= outcome->at_least && observed <= outcome->at_most;

    return json_pack(
        "{s:s, s:s, s:b, s:I, s:I, s:I, s:b}", "expect", counter->name,
        "class", outcome->job_class, "rule", (int)counter->is_rule, "at_least",
        (json_int_t)outcome->at_least, "at_most",
        outcome->at_most == UINT32_MAX ? (json_int_t)-1
                                       : (json_int_t)outcome->at_most,
        "seen", (json_int_t)observed, "met", (int)is_met);
}

static json_t *
make_outcomes(const BwLabRunner *runner, const BwLabResults *results)
{
    static const BwLabOutcome none;
    const BwExperiment *experiment = runner->experiment;
    json_t *outcomes = json_array();

    for (const BwLabCounter *counter = BwLabCounters(); counter->name != NULL;
         counter++) {
        if (counter->is_rule)
            json_array_append_new(outcomes,
                                  evaluate_outcome(results, counter, &none));
    }
    for (uint32_t i = 0; i < experiment->outcome_count; i++) {
        const BwLabOutcome *outcome = &experiment->outcomes[i];

        json_array_append_new(
            outcomes,
            evaluate_outcome(results, BwLabCounter_Find(outcome->expect),
                             outcome));
    }
    return outcomes;
}

static json_t *
make_faults(const BwLabRunner *runner)
{
    json_t *faults = json_array();

    for (uint32_t i = 0; i < runner->injected_count; i++) {
        const BwLabInjectedFault *injected = &runner->injected[i];

        json_array_append_new(
            faults,
            json_pack(
                "{s:I, s:s, s:s, s:s}", "at_ms",
                (json_int_t)((injected->at_us - runner->start_us) / 1000),
                "target", injected->fault->target, "do",
                BwLabAction_Name((BwLabAction)injected->fault->action), "text",
                injected->fault->text));
    }
    return faults;
}

json_t *
BwLabReport_Make(const BwLabRunner *runner, const BwLabResults *results)
{
    const BwExperiment *experiment = runner->experiment;
    json_t *classes = json_array();

    for (uint32_t i = 0; i < experiment->class_count; i++)
        json_array_append_new(classes, make_class(runner, i));
    return json_pack(
        "{s:s, s:s, s:I, s:{s:i, s:i}, s:i, s:i, s:i, s:o, s:o, s:o, s:o, "
        "s:o}",
        "experiment", experiment->name, "about", experiment->about, "seed",
        (json_int_t)experiment->seed, "fleet", "dispatchers",
        (int)experiment->fleet.dispatchers, "workers",
        (int)experiment->fleet.workers, "jobs", (int)runner->job_count,
        "held_up_ms", (int)runner->held_up_ms, "runs", (int)results->run_count,
        "classes", classes, "not_completed", make_not_completed(runner),
        "outcomes", make_outcomes(runner, results), "faults",
        make_faults(runner), "series", make_series(runner, results));
}

/* ---------------------------------------------------------------- text */

json_int_t
BwLabReport_Integer(const json_t *object, const char *field)
{
    return json_integer_value(json_object_get(object, field));
}

const char *
BwLabReport_Text(const json_t *object, const char *field)
{
    const char *text = json_string_value(json_object_get(object, field));

    return text != NULL ? text : "";
}

static void
print_outcomes(const json_t *report, FILE *out)
{
    size_t i;
    json_t *outcome;

    json_array_foreach(json_object_get(report, "outcomes"), i, outcome)
    {
        bool is_met = json_is_true(json_object_get(outcome, "met"));

        fprintf(out, "  %-9s%-21s %-10s seen %lld", is_met ? "" : "VIOLATED",
                BwLabReport_Text(outcome, "expect"),
                BwLabReport_Text(outcome, "class"),
                BwLabReport_Integer(outcome, "seen"));
        if (BwLabReport_Integer(outcome, "at_least") > 0)
            fprintf(out, ", at least %lld",
                    BwLabReport_Integer(outcome, "at_least"));
        if (BwLabReport_Integer(outcome, "at_most") >= 0)
            fprintf(out, ", at most %lld",
                    BwLabReport_Integer(outcome, "at_most"));
        fprintf(out, "\n");
    }
}

void
BwLabReport_Print(const json_t *report, FILE *out)
{
    size_t i;
    json_t *item;
    const char *key;

    fprintf(out, "%s: %lld jobs, %lld runs, seed %lld\n",
            BwLabReport_Text(report, "experiment"),
            BwLabReport_Integer(report, "jobs"),
            BwLabReport_Integer(report, "runs"),
            BwLabReport_Integer(report, "seed"));
    if (BwLabReport_Integer(report, "held_up_ms") > HELD_UP_REPORTED_MS)
        fprintf(out, "  an iteration of the lab's loop took %lld ms\n",
                BwLabReport_Integer(report, "held_up_ms"));
    json_array_foreach(json_object_get(report, "classes"), i, item)
    {
        json_t *ends = json_object_get(item, "ends");
        json_t *count;

        fprintf(out, "  %-12s", BwLabReport_Text(item, "class"));
        for (uint32_t q = 0; q < QUANTILE_COUNT; q++)
            fprintf(out, " %s %.0f", quantiles[q].name,
                    json_real_value(json_object_get(item, quantiles[q].name)));
        json_object_foreach(ends, key, count)
        {
            if (json_integer_value(count) > 0)
                fprintf(out, ", %s %lld", key, json_integer_value(count));
        }
        fprintf(out, "\n");
    }
    json_object_foreach(json_object_get(report, "not_completed"), key, item)
    {
        fprintf(out, "  %6lld x %s\n", json_integer_value(item), key);
    }
    print_outcomes(report, out);
}

uint32_t
BwLabReport_CountOutcomes(const json_t *report, uint32_t *violated)
{
    const json_t *outcomes = json_object_get(report, "outcomes");
    size_t i;
    json_t *outcome;

    *violated = 0;
    json_array_foreach(outcomes, i, outcome)
    {
        *violated += !json_is_true(json_object_get(outcome, "met"));
    }
    return (uint32_t)json_array_size(outcomes);
}

/* ---------------------------------------------------------- comparison */

static const json_t *
find_class(const json_t *report, const char *name)
{
    size_t i;
    json_t *item;

    json_array_foreach(json_object_get(report, "classes"), i, item)
    {
        if (strcmp(BwLabReport_Text(item, "class"), name) == 0)
            return item;
    }
    return NULL;
}

static void
compare_class(const json_t *a, const json_t *b, FILE *out)
{
    const char *name = BwLabReport_Text(a, "class");
    json_t *ends = json_object_get(a, "ends");
    json_t *count;
    const char *key;

    for (uint32_t q = 0; q < QUANTILE_COUNT; q++) {
        const char *figure = quantiles[q].name;

        fprintf(out, "%-12s %-14s %10.1f %10.1f\n", name, figure,
                json_real_value(json_object_get(a, figure)),
                json_real_value(json_object_get(b, figure)));
    }
    json_object_foreach(ends, key, count)
    {
        json_int_t other =
            BwLabReport_Integer(json_object_get(b, "ends"), key);

        if (json_integer_value(count) > 0 || other > 0)
            fprintf(out, "%-12s %-14s %10lld %10lld\n", name, key,
                    json_integer_value(count), other);
    }
}

void
BwLabReport_Compare(const json_t *a, const json_t *b, FILE *out)
{
    json_t *outcomes = json_object_get(b, "outcomes");
    size_t i;
    json_t *item;

    fprintf(out, "%-27s %10.10s %10.10s\n", "",
            BwLabReport_Text(a, "experiment"),
            BwLabReport_Text(b, "experiment"));
    fprintf(out, "%-27s %10lld %10lld\n", "jobs",
            BwLabReport_Integer(a, "jobs"), BwLabReport_Integer(b, "jobs"));
    fprintf(out, "%-27s %10lld %10lld\n", "runs",
            BwLabReport_Integer(a, "runs"), BwLabReport_Integer(b, "runs"));
    json_array_foreach(json_object_get(a, "classes"), i, item)
    {
        const json_t *other = find_class(b, BwLabReport_Text(item, "class"));

        if (other != NULL)
            compare_class(item, other, out);
    }
    json_array_foreach(json_object_get(a, "outcomes"), i, item)
    {
        const json_t *other = json_array_get(outcomes, i);

        if (other != NULL && strcmp(BwLabReport_Text(item, "expect"),
                                    BwLabReport_Text(other, "expect")) == 0)
            fprintf(out, "%-27s %10lld %10lld%s\n",
                    BwLabReport_Text(item, "expect"),
                    BwLabReport_Integer(item, "seen"),
                    BwLabReport_Integer(other, "seen"),
                    json_is_true(json_object_get(item, "met")) ==
                            json_is_true(json_object_get(other, "met"))
                        ? ""
                        : "  verdicts differ");
    }
}
