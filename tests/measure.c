/* measure.c -- compares the figures of repeated replays with their targets

   usage: measure DIRECTORY

   Reads the reports that tests/replay.c wrote to DIRECTORY as
   NAME[@PLACEMENT].RUN.json and prints two tables: each target with the
   median, the least and the greatest value of its figure, and the placements
   side by side under 80% load.  A figure without a report, or without the
   events that it needs, is printed as "no figure".
*/

#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define RUNS_MAX 9
#define FLEET_SLOTS 88.0   /* of the fleet of tests/replay.c */
#define SETTLE_US 300000.0 /* that a replay waits at its end */
#define PATH_BYTES 512

typedef struct RunReports {
    const char *dir;
    uint32_t run;
} RunReports;

/* Computes a figure from the reports of one run; NAN when they lack it. */
typedef double (*Figure)(const RunReports *reports);

/* -------------------------------------------------------------- reading */

static json_t *
load_report(const RunReports *reports, const char *name)
{
    char path[PATH_BYTES];

    snprintf(path, sizeof(path), "%s/%s.%u.json", reports->dir, name,
             reports->run);
    return json_load_file(path, 0, NULL);
}

/* Reads the number at `path`, keys separated by dots, or NAN, and releases the
   report. */
static double
consume_number(json_t *report, const char *path)
{
    char keys[128];
    char *rest = NULL;
    json_t *value = report;
    double number;

    snprintf(keys, sizeof(keys), "%s", path);
    for (char *key = strtok_r(keys, ".", &rest); key != NULL;
         key = strtok_r(NULL, ".", &rest))
        value = json_object_get(value, key);
    number = json_is_number(value) ? json_number_value(value) : NAN;
    json_decref(report);
    return number;
}

static double
report_number(const RunReports *reports, const char *name, const char *path)
{
    return consume_number(load_report(reports, name), path);
}

static double
group_number(const RunReports *reports, const char *name, const char *group,
             const char *path)
{
    json_t *report = load_report(reports, name);
    json_t *found = NULL;
    json_t *item;
    size_t i;

    json_array_foreach(json_object_get(report, "groups"), i, item)
    {
        const char *own = json_string_value(json_object_get(item, "group"));

        if (own != NULL && strcmp(own, group) == 0)
            found = json_incref(item);
    }
    json_decref(report);
    return consume_number(found, path);
}

static double
interval_messages(const RunReports *reports, const char *name,
                  const char *from)
{
    json_t *report = load_report(reports, name);
    json_t *item;
    size_t i;
    double messages = NAN;

    json_array_foreach(json_object_get(report, "intervals"), i, item)
    {
        const char *own = json_string_value(json_object_get(item, "from"));

        if (own != NULL && strcmp(own, from) == 0)
            messages = consume_number(json_incref(item), "entries.messages") +
                       consume_number(json_incref(item), "agents.messages");
    }
    json_decref(report);
    return messages;
}

/* -------------------------------------------------------------- figures */

static double
idle_p50(const RunReports *r)
{
    return group_number(r, "idle-50ms", "all", "ratio.p50");
}

static double
entry_us(const RunReports *r)
{
    return report_number(r, "jobs-of-100", "entries.cpu_us") /
           report_number(r, "jobs-of-100", "tasks");
}

static double
agent_us(const RunReports *r)
{
    return report_number(r, "jobs-of-100", "agents.cpu_us") /
           report_number(r, "jobs-of-100", "tasks");
}

static double
agent_megabytes(const RunReports *r)
{
    return report_number(r, "agency-month-end", "agents.resident_bytes_max") /
           1e6;
}

static double
p99_over_bound(const RunReports *r, const char *name)
{
    return group_number(r, name, "all", "ratio.p99") /
           group_number(r, name, "all", "bound.p99");
}

static double
excess_of_random(const RunReports *r, const char *name)
{
    double bound = group_number(r, name, "all", "bound.p99");
    double own = group_number(r, name, "all", "ratio.p99");
    double random = group_number(r, "load-80@random", "all", "ratio.p99");

    return (own - bound) / (random - bound);
}

static double
agency_p99(const RunReports *r)
{
    return p99_over_bound(r, "load-80");
}

static double
agency_excess(const RunReports *r)
{
    return excess_of_random(r, "load-80");
}

static double
lonestar_p99(const RunReports *r)
{
    return p99_over_bound(r, "load-80@prompt");
}

static double
lonestar_excess(const RunReports *r)
{
    return excess_of_random(r, "load-80@prompt");
}

static double
agency_wasted(const RunReports *r)
{
    return report_number(r, "agency-month-end", "wasted_per_task");
}

static double
lonestar_wasted(const RunReports *r)
{
    return report_number(r, "lonestar-morning-peak", "wasted_per_task");
}

static double
agency_messages(const RunReports *r)
{
    return report_number(r, "agency-month-end", "messages_per_task");
}

static double
lonestar_messages(const RunReports *r)
{
    return report_number(r, "lonestar-morning-peak", "messages_per_task");
}

static double
burst_slowdown(const RunReports *r)
{
    return group_number(r, "burst-beside-steady", "lonestar-fareworks",
                        "ratio.p99") /
           group_number(r, "steady-alone", "lonestar-fareworks", "ratio.p99");
}

static double
renewal_slowdown(const RunReports *r)
{
    return group_number(r, "reporting-under-renewals", "renewal",
                        "ratio.p99") /
           group_number(r, "renewals-alone", "renewal", "ratio.p99");
}

static double
failing_agent_share(const RunReports *r)
{
    double own = report_number(r, "failing-executor", "starts.agent-3");
    double all = report_number(r, "failing-executor", "agents.starts");

    return fmax(own - 20, 0) / all;
}

static double
wave_messages(const RunReports *r)
{
    return interval_messages(r, "cancellation-wave", "before-wave") /
           10000; /* 100 jobs of 100 tasks */
}

static double
goodput(const RunReports *r)
{
    return report_number(r, "overload-200", "useful_slot_us") /
           (FLEET_SLOTS *
            (report_number(r, "overload-200", "took_us") - SETTLE_US));
}

static double
refusal_ms(const RunReports *r)
{
    if (report_number(r, "overload-200", "ends.not_run") == 0)
        return NAN;
    return report_number(r, "overload-200", "slowest_refusal_us") / 1000;
}

static const struct {
    const char *name;
    double target; /* NAN: none */
    enum {
        AT_MOST,
        AT_LEAST,
        EVERY_RUN_AT_MOST /* the greatest value counts, not the median */
    } kind;
    Figure figure;
} targets[] = {
    {"idle fleet, 50 ms task: p50 / ideal", 1.05, AT_MOST, idle_p50},
    {"entry, us of processor a task in jobs of 100", 16, AT_MOST, entry_us},
    {"agents, us of processor a task in jobs of 100", 200, AT_MOST, agent_us},
    {"agent, greatest resident MB", 32, AT_MOST, agent_megabytes},
    {"80% load, Agency's default: p99 / central queue's", 1.15, AT_MOST,
     agency_p99},
    {"80% load, Lonestar's default: p99 / central queue's", 1.15, AT_MOST,
     lonestar_p99},
    {"80% load, Agency's default: p99 excess / random's", 0.5, AT_MOST,
     agency_excess},
    {"80% load, Lonestar's default: p99 excess / random's", 0.5, AT_MOST,
     lonestar_excess},
    {"Agency: wasted messages a task", 0.05, AT_MOST, agency_wasted},
    {"Lonestar: wasted messages a task", 0.5, AT_MOST, lonestar_wasted},
    {"Agency: all messages a task", NAN, AT_MOST, agency_messages},
    {"Lonestar: all messages a task", NAN, AT_MOST, lonestar_messages},
    {"p99 beside the other's burst / alone", 1.10, AT_MOST, burst_slowdown},
    {"renewals' p99 under reporting / alone", 1.10, AT_MOST, renewal_slowdown},
    {"failing executor: share of starts after 20", 0.01, AT_MOST,
     failing_agent_share},
    {"cancellation wave: messages a task", 0.1, AT_MOST, wave_messages},
    {"200% load: goodput / capacity", 0.95, AT_LEAST, goodput},
    {"200% load: slowest refusal, ms", 50, EVERY_RUN_AT_MOST, refusal_ms},
};

/* ---------------------------------------------------------- printing */

typedef struct Summary {
    double median;
    double least;
    double greatest;
    uint32_t runs;
} Summary;

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return left < right ? -1 : left > right;
}

static Summary
summarize(double *values, uint32_t count)
{
    Summary summary = {NAN, NAN, NAN, count};

    if (count == 0)
        return summary;
    qsort(values, count, sizeof(double), compare_doubles);
    summary.median = values[(count - 1) / 2];
    if (count % 2 == 0)
        summary.median = (summary.median + values[count / 2]) / 2;
    summary.least = values[0];
    summary.greatest = values[count - 1];
    return summary;
}

static Summary
collect(const char *dir, Figure figure)
{
    double values[RUNS_MAX];
    uint32_t count = 0;

    for (uint32_t run = 0; run < RUNS_MAX; run++) {
        RunReports reports = {dir, run};
        double value = figure(&reports);

        if (!isnan(value))
            values[count++] = value;
    }
    return summarize(values, count);
}

static void
print_targets(const char *dir)
{
    printf("| figure | target | median | spread | runs | |\n"
           "|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < sizeof(targets) / sizeof(targets[0]); i++) {
        Summary s = collect(dir, targets[i].figure);
        double judged =
            targets[i].kind == EVERY_RUN_AT_MOST ? s.greatest : s.median;
        bool is_met = targets[i].kind == AT_LEAST
                          ? judged >= targets[i].target
                          : judged <= targets[i].target;

        printf("| %s | ", targets[i].name);
        if (isnan(targets[i].target))
            printf("- | ");
        else
            printf("%s%g | ", targets[i].kind == AT_LEAST ? "at least " : "",
                   targets[i].target);
        if (s.runs == 0) {
            printf("no figure | | 0 | |\n");
            continue;
        }
        printf("%.3f | %.3f to %.3f | %u | %s |\n", s.median, s.least,
               s.greatest, s.runs,
               isnan(targets[i].target) ? "" : (is_met ? "met" : "missed"));
    }
}

static double
cell_value(const RunReports *r, const char *report_name, size_t column)
{
    switch (column) {
    case 0:
        return group_number(r, report_name, "all", "ratio.p50");
    case 1:
        return group_number(r, report_name, "all", "ratio.p95");
    case 2:
        return group_number(r, report_name, "all", "ratio.p99");
    case 3:
        return group_number(r, report_name, "all", "ratio.p99") /
               group_number(r, report_name, "all", "bound.p99");
    case 4:
        return report_number(r, report_name, "messages_per_task");
    default:
        return report_number(r, report_name, "wasted_per_task");
    }
}

static void
print_placements(const char *dir)
{
    static const char *const report_names[] = {
        "load-80",
        "load-80@random",
        "load-80@round_robin",
        "load-80@least_loaded",
        "load-80@batch_sampling",
        "load-80@prompt",
    };

    printf(
        "\n| trace and placement | p50 | p95 | p99 | p99 / central queue | "
        "messages a task | wasted a task |\n|---|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < sizeof(report_names) / sizeof(report_names[0]);
         i++) {
        printf("| %s |", report_names[i]);
        for (size_t column = 0; column < 6; column++) {
            double values[RUNS_MAX];
            uint32_t count = 0;
            Summary s;

            for (uint32_t run = 0; run < RUNS_MAX; run++) {
                RunReports reports = {dir, run};
                double value = cell_value(&reports, report_names[i], column);

                if (!isnan(value))
                    values[count++] = value;
            }
            s = summarize(values, count);
            if (count == 0)
                printf(" no figure |");
            else
                printf(" %.3f (%.3f to %.3f) |", s.median, s.least,
                       s.greatest);
        }
        printf("\n");
    }
}

int
main(int argc, char **argv)
{
    if (argc != 2) {
        fprintf(stderr, "usage: measure DIRECTORY\n");
        return 2;
    }
    print_targets(argv[1]);
    print_placements(argv[1]);
    return 0;
}
