/* replaycmd.c -- the command replay: replays a trace and prints its report */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "replay.h"

static double
quantile(json_t *group, const char *figure, const char *name)
{
    return json_real_value(
        json_object_get(json_object_get(group, figure), name));
}

static json_int_t
end_count(json_t *report, const char *name)
{
    return json_integer_value(
        json_object_get(json_object_get(report, "ends"), name));
}

static void
print_groups(json_t *report)
{
    json_t *group;
    size_t i;

    printf("%-24s %6s  response/ideal      central queue\n", "", "");
    printf("%-24s %6s %6s %6s %6s %6s %6s %6s\n", "", "jobs", "p50", "p95",
           "p99", "p50", "p95", "p99");
    json_array_foreach(json_object_get(report, "groups"), i, group)
    {
        json_t *ratio = json_object_get(group, "ratio");

        printf(
            "%-24s %6lld %6.2f %6.2f %6.2f %6.2f %6.2f %6.2f\n",
            json_string_value(json_object_get(group, "group")),
            json_integer_value(json_object_get(ratio, "jobs")),
            quantile(group, "ratio", "p50"), quantile(group, "ratio", "p95"),
            quantile(group, "ratio", "p99"), quantile(group, "bound", "p50"),
            quantile(group, "bound", "p95"), quantile(group, "bound", "p99"));
    }
}

static void
print_outcomes(json_t *report)
{
    json_t *item;
    size_t i;

    json_array_foreach(json_object_get(report, "outcomes"), i, item)
    {
        json_t *outcome = json_object_get(item, "outcome");
        char *text = json_dumps(outcome, JSON_COMPACT);

        printf("%-9s %s  %s\n",
               json_is_true(json_object_get(item, "ok")) ? "met" : "VIOLATED",
               text != NULL ? text : "",
               json_string_value(json_object_get(item, "detail")));
        free(text);
    }
}

static void
print_text(json_t *report)
{
    printf("%s: %lld jobs, %lld tasks: %lld complete, %lld not run, %lld may "
           "have run, %lld partial, %lld not answered\n",
           json_string_value(json_object_get(report, "trace")),
           json_integer_value(json_object_get(report, "jobs")),
           json_integer_value(json_object_get(report, "tasks")),
           end_count(report, "complete"), end_count(report, "not_run"),
           end_count(report, "may_have_run"), end_count(report, "partial"),
           end_count(report, "not_answered"));
    print_groups(report);
    printf("messages per task: %.2f, wasted: ",
           json_real_value(json_object_get(report, "messages_per_task")));
    if (json_object_get(report, "wasted_per_task") != NULL)
        printf("%.3f\n",
               json_real_value(json_object_get(report, "wasted_per_task")));
    else
        printf("not counted\n");
    print_outcomes(report);
}

static bool
is_violated(json_t *report)
{
    json_t *item;
    size_t i;

    json_array_foreach(json_object_get(report, "outcomes"), i, item)
    {
        if (!json_is_true(json_object_get(item, "ok")))
            return true;
    }
    return false;
}

static BwExit
replay_trace(const BwCliOptions *options, const BwTrace *trace, json_t *fleet)
{
    BwReplay replay;
    json_t *report;
    char *text;
    BwExit code;

    if (!BwReplay_Init(&replay, trace, options->entries, options->entry_count,
                       fleet) ||
        !BwReplay_UseKeys(&replay, options->authority, options->tls_name,
                          options->token)) {
        fprintf(stderr, "brasswing: %s\n", replay.error_message);
        BwReplay_Finish(&replay);
        return BW_EXIT_USAGE;
    }
    BwReplay_Run(&replay);
    report = BwReplay_Report(&replay);
    if (strcmp(options->output, "json") == 0) {
        text = json_dumps(report, JSON_COMPACT);
        printf("%s\n", text != NULL ? text : "");
        free(text);
    }
    else
        print_text(report);
    code = is_violated(report) ? BW_EXIT_FAILED : BW_EXIT_OK;
    json_decref(report);
    BwReplay_Finish(&replay);
    return code;
}

static json_t *
read_fleet(const char *path)
{
    json_error_t where;
    json_t *fleet = json_load_file(path, 0, &where);

    if (fleet == NULL)
        fprintf(stderr, "brasswing: %s:%d: %s\n", path, where.line,
                where.text);
    return fleet;
}

BwExit
BwCli_Replay(const BwCliOptions *options)
{
    uint32_t size_bytes;
    char *text = BwCli_ReadFile(options->argv[0], &size_bytes);
    json_t *fleet = NULL;
    BwTrace trace;
    BwExit code;

    if (text == NULL)
        return BW_EXIT_USAGE;
    if (!BwTrace_Read(&trace, text, size_bytes)) {
        fprintf(stderr, "brasswing: %s: %s\n", options->argv[0],
                trace.error_message);
        code = BW_EXIT_INVALID;
    }
    else if (options->entry_count == 0) {
        fprintf(stderr, "brasswing: give --entry at least once\n");
        code = BW_EXIT_USAGE;
    }
    else if (options->fleet != NULL &&
             (fleet = read_fleet(options->fleet)) == NULL)
        code = BW_EXIT_USAGE;
    else
        code = replay_trace(options, &trace, fleet);
    BwTrace_Finish(&trace);
    free(text);
    return code;
}
