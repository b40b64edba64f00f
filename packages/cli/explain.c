/* explain.c -- the command explain: what was decided about a job, and why

   Requests from every node the decisions about the job that it has kept.
   Nothing but log lines is kept of a bound job, so these are collected from
   the log files of --logs instead.
*/

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli.h"
#include "clock.h"
#include "configlog.h"
#include "joblog.h"

#define NODE_TIMEOUT_US 2000000
#define TIME_OFFSET 11 /* index of the time in YYYY-MM-DDTHH:MM:SS */

typedef struct DecisionList {
    json_t *decisions;
    uint32_t silent; /* number of nodes that did not answer */
} DecisionList;

static void
fetch_decisions(const BwCliOptions *options, DecisionList *list,
                const json_t *node, const char *path)
{
    char address[96];
    BwBlockingReply reply;
    BwSpan none = {"", 0};
    json_t *root;

    if (!BwCli_NodeAddress(node, address, sizeof(address)) ||
        BwCli_CallDaemonQuietly(options, address, "GET", path, none,
                                NODE_TIMEOUT_US, &reply) != 200) {
        list->silent++;
        return;
    }
    root = json_loadb(reply.body, reply.body_bytes, 0, NULL);
    json_array_extend(list->decisions, json_object_get(root, "decisions"));
    json_decref(root);
    free(reply.body);
}

static int
compare_times(const void *left, const void *right)
{
    uint64_t a = BwRecord_Number(*(json_t *const *)left, "at_wall_us");
    uint64_t b = BwRecord_Number(*(json_t *const *)right, "at_wall_us");

    return a < b ? -1 : a > b;
}

static void
print_decision(const json_t *decision)
{
    uint64_t at_us = BwRecord_Number(decision, "at_wall_us");
    time_t at = (time_t)(at_us / 1000000);
    const char *choice =
        json_string_value(json_object_get(decision, "choice"));
    struct tm parts;
    char when[32];

    gmtime_r(&at, &parts);
    strftime(when, sizeof(when), "%H:%M:%S", &parts);
    printf("%s.%06llu %-12s %-10s %5llu", when,
           (unsigned long long)(at_us % 1000000),
           json_string_value(json_object_get(decision, "node")),
           json_string_value(json_object_get(decision, "what")),
           (unsigned long long)BwRecord_Number(decision, "count"));
    if (choice != NULL && choice[0] != '\0')
        printf(" %s of %llu", choice,
               (unsigned long long)BwRecord_Number(decision, "alternatives"));
    printf(": %s\n", json_string_value(json_object_get(decision, "reason")));
}

static void
print_decisions(const BwCliOptions *options, const DecisionList *list,
                const char *id)
{
    json_t *sorted = BwRecord_Sort(list->decisions, compare_times);
    json_t *decision;
    size_t index;

    if (BwCli_IsJson(options)) {
        BwCli_PrintJson(json_pack("{s:s, s:o, s:I}", "job", id, "decisions",
                                  sorted, "silent", (json_int_t)list->silent));
        return;
    }
    printf("job %s\n", id);
    json_array_foreach(sorted, index, decision) print_decision(decision);
    if (list->silent > 0)
        printf("%u processes did not answer; their decisions are missing\n",
               list->silent);
    json_decref(sorted);
}

static void
print_log_line(const json_t *line)
{
    const char *key;
    json_t *value;

    printf("%.15s  %-14s %-10s",
           json_string_value(json_object_get(line, "at")) + TIME_OFFSET,
           json_string_value(json_object_get(line, "name")),
           json_string_value(json_object_get(line, "event")));
    json_object_foreach((json_t *)line, key, value)
    {
        if (strcmp(key, "at") == 0 || strcmp(key, "level") == 0 ||
            strcmp(key, "name") == 0 || strcmp(key, "event") == 0 ||
            strcmp(key, "job") == 0)
            continue;
        if (json_is_integer(value))
            printf(" %s=%lld", key, json_integer_value(value));
        else if (json_string_length(value) > 0)
            printf(" %s=%s", key, json_string_value(value));
    }
    printf("\n");
}

/* Explains a bound job by the lines of the log files. */
static BwExit
explain_logs(const BwCliOptions *options)
{
    const char *job = options->argv[0];
    json_t *lines = json_array();
    json_t *sorted = NULL, *line;
    size_t index;
    BwExit code = BW_EXIT_FAILED;

    for (uint32_t i = 0; i < options->log_count; i++) {
        if (BwJobLog_AddFile(lines, options->logs[i], job))
            continue;
        fprintf(stderr, "brasswing: %s: %s\n", options->logs[i],
                strerror(errno));
        code = BW_EXIT_USAGE;
        goto finish;
    }
    if (json_array_size(lines) == 0) {
        fprintf(stderr,
                "brasswing: no line of these logs is about job %s; give the "
                "logs of every dispatcher, supervisor and worker\n",
                job);
        goto finish;
    }
    code = BW_EXIT_OK;
    sorted = BwJobLog_Sort(lines);
    if (BwCli_IsJson(options)) {
        BwCli_PrintJson(json_pack("{s:s, s:O}", "job", job, "lines", sorted));
        goto finish;
    }
    printf("job %s\n", job);
    json_array_foreach(sorted, index, line) print_log_line(line);
finish:
    json_decref(sorted);
    json_decref(lines);
    return code;
}

BwExit
BwCli_Explain(const BwCliOptions *options)
{
    DecisionList list = {json_array(), 0};
    json_t *nodes;
    json_t *node;
    size_t index;
    char path[512];
    char id[36];
    BwJobId job;
    BwExit code = BW_EXIT_OK;

    if (options->log_count > 0) {
        json_decref(list.decisions);
        return explain_logs(options);
    }
    if (options->member == NULL) {
        fprintf(stderr, "brasswing: give --member, the job's owner, or --logs "
                        "for a bound job\n");
        json_decref(list.decisions);
        return BW_EXIT_USAGE;
    }
    job = BwJobId_Make(BwSpan_FromString(options->member),
                       BwSpan_FromString(options->argv[0]));
    snprintf(id, sizeof(id), "%016llx%016llx", (unsigned long long)job.high,
             (unsigned long long)job.low);
    snprintf(path, sizeof(path), "/v1/decisions/%s/%s", options->member,
             options->argv[0]);
    nodes =
        BwCli_ListNodes(options, BwClock_Now() + options->timeout_us, NULL);
    json_array_foreach(nodes, index, node)
        fetch_decisions(options, &list, node, path);
    if (nodes == NULL) {
        fprintf(stderr, "brasswing: no answer; give --entry HOST:PORT of a "
                        "running process\n");
        code = BW_EXIT_NO_ANSWER;
    }
    else if (json_array_size(list.decisions) == 0) {
        fprintf(stderr,
                "brasswing: no process has decisions about this job; check "
                "--member and the key, or search the processes' log lines "
                "for job=%s\n",
                id);
        code = BW_EXIT_FAILED;
    }
    else {
        print_decisions(options, &list, id);
    }
    json_decref(nodes);
    json_decref(list.decisions);
    return code;
}
