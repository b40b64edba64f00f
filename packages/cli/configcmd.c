/* configcmd.c -- the commands show, history, diff and rollback

   All of them work on the operators' configurations on the platform's log
   (confighistory.h).
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock.h"
#include "config.h"
#include "confighistory.h"

#define DIFF_LINES_MAX 4000

bool
BwCli_ReadConfig(const char *file, BwSpan text, BwConfig *config)
{
    BwYamlFaults *faults = calloc(1, sizeof(BwYamlFaults));
    bool is_valid;

    memset(config, 0, sizeof(*config));
    if (faults == NULL)
        return false;
    is_valid = BwConfig_Read(config, file, text, faults);
    for (uint32_t i = 0; i < faults->count && i < BW_YAML_FAULTS_MAX; i++)
        fprintf(stderr, "%s\n", faults->lines[i]);
    if (faults->count > BW_YAML_FAULTS_MAX)
        fprintf(stderr,
                "%s: %u further faults are not shown; correct these and check "
                "again\n",
                file, faults->count - BW_YAML_FAULTS_MAX);
    free(faults);
    return is_valid;
}

bool
BwCli_IsValidConfig(const char *file, BwSpan text)
{
    BwConfig config;
    bool is_valid = BwCli_ReadConfig(file, text, &config);

    BwConfig_Finish(&config);
    return is_valid;
}

static bool
read_log(BwConfigHistory *log, const BwCliOptions *options,
         BwHistoryRange range)
{
    BwConfigHistory_Init(log);
    return BwConfigHistory_Load(log, options, range,
                                BwClock_Now() + options->timeout_us);
}

static BwExit
show(const BwCliOptions *options, const BwConfigLog *config)
{
    const BwRevision *revision = &config->revision;

    if (config->text == NULL) {
        fprintf(stderr, "brasswing: no configuration was published yet; use "
                        "`brasswing publish`\n");
        return BW_EXIT_FAILED;
    }
    if (BwCli_IsJson(options))
        BwCli_PrintJson(json_pack(
            "{s:I, s:s, s:I, s:s}", "revision", (json_int_t)revision->number,
            "publish_id", revision->publish_id, "offset",
            (json_int_t)revision->offset, "text", config->text));
    else
        printf("# revision %llu, publish id %s\n%s",
               (unsigned long long)revision->number, revision->publish_id,
               config->text);
    return BW_EXIT_OK;
}

BwExit
BwCli_Show(const BwCliOptions *options)
{
    BwConfigHistory log;
    BwExit code = BW_EXIT_NO_ANSWER;

    if (read_log(&log, options, BW_HISTORY_RECENT))
        code = show(options, &log.config);
    BwConfigHistory_Finish(&log);
    return code;
}

/* ------------------------------------------------------------ history */

static const char *
verdict_name(const BwHistoryRecord *record)
{
    static const char *const names[] = {"accepted", "repeated", "invalid",
                                        "refused", "undecided"};

    return record->is_renewal ? "renewal" : names[record->verdict];
}

static void
print_record(const BwHistoryRecord *record)
{
    time_t at = (time_t)(record->at_wall_us / 1000000);
    struct tm parts;
    char when[32];

    gmtime_r(&at, &parts);
    strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &parts);
    printf(
        "%6llu  %-9s  %s  base %llu  offset %llu  %s  %s\n",
        (unsigned long long)record->number, verdict_name(record), when,
        (unsigned long long)record->base, (unsigned long long)record->offset,
        record->author[0] != '\0' ? record->author : "-", record->publish_id);
}

static json_t *
record_json(const BwHistoryRecord *record)
{
    return json_pack("{s:I, s:s, s:I, s:I, s:I, s:s, s:s}", "revision",
                     (json_int_t)record->number, "verdict",
                     verdict_name(record), "base", (json_int_t)record->base,
                     "offset", (json_int_t)record->offset, "at_wall_us",
                     (json_int_t)record->at_wall_us, "author", record->author,
                     "publish_id", record->publish_id);
}

BwExit
BwCli_History(const BwCliOptions *options)
{
    BwConfigHistory log;
    json_t *list = json_array();
    BwExit code = BW_EXIT_NO_ANSWER;

    if (read_log(&log, options, BW_HISTORY_ALL)) {
        code = BW_EXIT_OK;
        for (uint32_t i = 0; i < log.count; i++) {
            if (BwCli_IsJson(options))
                json_array_append_new(list, record_json(&log.records[i]));
            else
                print_record(&log.records[i]);
        }
        if (BwCli_IsJson(options))
            BwCli_PrintJson(json_incref(list));
    }
    json_decref(list);
    BwConfigHistory_Finish(&log);
    return code;
}

static const BwHistoryRecord *
find_revision(const BwConfigHistory *log, const char *operand)
{
    char *end;
    uint64_t number = strtoull(operand, &end, 10);
    const BwHistoryRecord *record = NULL;

    if (*end == '\0')
        record = BwConfigHistory_FindRevision(log, number);
    if (record == NULL)
        fprintf(stderr,
                "brasswing: revision '%s' is not on the log: it was "
                "dropped or never published; see `brasswing history`\n",
                operand);
    return record;
}

/* --------------------------------------------------------------- diff */

typedef struct TextLines {
    char *text;
    char *lines[DIFF_LINES_MAX];
    uint32_t count;
} TextLines;

static bool
split(TextLines *out, const char *text)
{
    char *rest;
    char *line;

    out->count = 0;
    out->text = strdup(text);
    rest = out->text;
    while (rest != NULL && *rest != '\0' &&
           (line = strsep(&rest, "\n")) != NULL) {
        if (out->count == DIFF_LINES_MAX)
            return false;
        out->lines[out->count++] = line;
    }
    return out->text != NULL;
}

/* Prints the removed and added lines.  lengths[i][j] is the length of the
   longest common subsequence of the lines of `a` from i on and those of `b`
   from j on. */
static void
print_changes(const TextLines *a, const TextLines *b, const uint16_t *lengths)
{
    uint32_t width = b->count + 1;
    uint32_t i = 0;
    uint32_t j = 0;

    while (i < a->count || j < b->count) {
        bool is_same = i < a->count && j < b->count &&
                       strcmp(a->lines[i], b->lines[j]) == 0;

        if (is_same) {
            i++;
            j++;
        }
        else if (j == b->count ||
                 (i < a->count && lengths[(i + 1) * width + j] >=
                                      lengths[i * width + j + 1])) {
            printf("-%u: %s\n", i + 1, a->lines[i]);
            i++;
        }
        else {
            printf("+%u: %s\n", j + 1, b->lines[j]);
            j++;
        }
    }
}

static bool
compare(const TextLines *a, const TextLines *b)
{
    uint32_t width = b->count + 1;
    uint16_t *lengths =
        calloc((size_t)(a->count + 1) * width, sizeof(uint16_t));

    if (lengths == NULL)
        return false;
    for (uint32_t i = a->count; i-- > 0;) {
        for (uint32_t j = b->count; j-- > 0;) {
            uint16_t down = lengths[(i + 1) * width + j];
            uint16_t right = lengths[i * width + j + 1];

            if (strcmp(a->lines[i], b->lines[j]) == 0)
                lengths[i * width + j] = lengths[(i + 1) * width + j + 1] + 1;
            else
                lengths[i * width + j] = down > right ? down : right;
        }
    }
    print_changes(a, b, lengths);
    free(lengths);
    return true;
}

static BwExit
diff(const char *before, const char *after)
{
    TextLines *a = calloc(1, sizeof(TextLines));
    TextLines *b = calloc(1, sizeof(TextLines));
    BwExit code = BW_EXIT_FAILED;

    if (a != NULL && b != NULL && split(a, before) && split(b, after) &&
        compare(a, b))
        code = BW_EXIT_OK;
    else
        fprintf(stderr,
                "brasswing: a revision has more than %d lines; compare "
                "the files that were published with a diff tool\n",
                DIFF_LINES_MAX);
    if (a != NULL)
        free(a->text);
    if (b != NULL)
        free(b->text);
    free(a);
    free(b);
    return code;
}

BwExit
BwCli_Diff(const BwCliOptions *options)
{
    BwConfigHistory log;
    BwExit code = BW_EXIT_NO_ANSWER;

    if (read_log(&log, options, BW_HISTORY_ALL)) {
        const BwHistoryRecord *before = find_revision(&log, options->argv[0]);
        const BwHistoryRecord *after = find_revision(&log, options->argv[1]);

        code = BW_EXIT_FAILED;
        if (before != NULL && after != NULL)
            code = diff(before->text, after->text);
    }
    BwConfigHistory_Finish(&log);
    return code;
}

BwExit
BwCli_Rollback(const BwCliOptions *options)
{
    BwConfigHistory log;
    BwExit code = BW_EXIT_NO_ANSWER;

    if (read_log(&log, options, BW_HISTORY_ALL)) {
        const BwHistoryRecord *record = find_revision(&log, options->argv[0]);

        code = BW_EXIT_FAILED;
        if (record != NULL)
            code = BwCli_PublishConfig(options, record->text,
                                       log.config.revision.number);
    }
    BwConfigHistory_Finish(&log);
    return code;
}
