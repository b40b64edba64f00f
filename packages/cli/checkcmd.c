/* checkcmd.c -- the command check: a configuration before it is sent

   A file is an operators' configuration, or, if it is a JSON object, the
   routes of bound jobs as the platform's driver reads them.  With --against it
   is compared with a file, with a revision of the log, or with the one in
   force there ("running").
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "configadvice.h"
#include "confighistory.h"

/* One text that was read: a configuration or routes. */
typedef struct Text {
    char *content;
    BwSpan span;
    bool is_routes;
    BwConfig config;
    BwRouteRows routes;
} Text;

static bool
is_json_object(BwSpan span)
{
    uint32_t at = 0;

    while (at < span.size_bytes && strchr(" \t\r\n", span.base[at]) != NULL)
        at++;
    return at < span.size_bytes && span.base[at] == '{';
}

/* Takes ownership of `content`.  Prints every fault, with `name` as the file.
   Returns false when there is one. */
static bool
read_text(Text *text, const char *name, char *content, uint32_t size_bytes)
{
    const char *fault = "";
    bool is_valid;

    memset(text, 0, sizeof(*text));
    text->content = content;
    text->span = (BwSpan){content, size_bytes};
    text->is_routes = is_json_object(text->span);
    if (text->is_routes) {
        is_valid =
            BwPlatform_Driver.read_routes(text->span, &text->routes, &fault);
        if (!is_valid)
            fprintf(stderr, "%s: %s\n", name, fault);
        return is_valid;
    }
    return BwCli_ReadConfig(name, text->span, &text->config);
}

static void
free_text(Text *text)
{
    if (text->is_routes)
        BwPlatform_Driver.release(text->routes.memory);
    else
        BwConfig_Finish(&text->config);
    free(text->content);
    memset(text, 0, sizeof(*text));
}

/* Returns a copy of a published text, or NULL with a message. */
static char *
read_published(const BwCliOptions *options)
{
    BwConfigHistory log;
    const BwHistoryRecord *record = NULL;
    const char *found = NULL;
    char *copy = NULL;
    char *end;
    uint64_t number = strtoull(options->against, &end, 10);

    if (options->log == NULL) {
        fprintf(stderr,
                "brasswing: '%s' is no file; give --log to compare with a "
                "revision\n",
                options->against);
        return NULL;
    }
    BwConfigHistory_Init(&log);
    if (!BwConfigHistory_Load(&log, options, BW_HISTORY_ALL,
                              BwClock_Now() + options->timeout_us))
        goto cleanup;
    if (strcmp(options->against, "running") == 0)
        found = log.config.text;
    else if (*end == '\0')
        record = BwConfigHistory_FindRevision(&log, number);
    if (record != NULL)
        found = record->text;
    if (found == NULL)
        fprintf(stderr,
                "brasswing: '%s' is no file, and no revision on the log; see "
                "`brasswing history`\n",
                options->against);
    else
        copy = strdup(found);
cleanup:
    BwConfigHistory_Finish(&log);
    return copy;
}

static bool
is_file(const char *path)
{
    FILE *file = fopen(path, "rb");

    if (file != NULL)
        fclose(file);
    return file != NULL;
}

/* Reads what to compare with.  On failure sets *code. */
static bool
read_other(Text *text, const BwCliOptions *options, BwExit *code)
{
    uint32_t size_bytes = 0;
    char *content;

    if (is_file(options->against)) {
        content = BwCli_ReadFile(options->against, &size_bytes);
    }
    else {
        content = read_published(options);
        size_bytes = content != NULL ? (uint32_t)strlen(content) : 0;
    }
    *code = BW_EXIT_FAILED;
    if (content == NULL)
        return false;
    *code = BW_EXIT_INVALID;
    return read_text(text, options->against, content, size_bytes);
}

static void
print_findings(const BwCliOptions *options, const char *file,
               const BwFindings *findings)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < findings->count; i++) {
        const BwFinding *finding = &findings->items[i];

        if (BwCli_IsJson(options))
            json_array_append_new(list,
                                  json_pack("{s:s, s:I, s:s}", "kind",
                                            BwFinding_KindName(finding->kind),
                                            "line", (json_int_t)finding->line,
                                            "text", finding->text));
        else if (finding->line > 0)
            printf("%s:%u: %s: %s\n", file, finding->line,
                   BwFinding_KindName(finding->kind), finding->text);
        else
            printf("%s: %s: %s\n", file, BwFinding_KindName(finding->kind),
                   finding->text);
    }
    if (BwCli_IsJson(options))
        BwCli_PrintJson(json_pack("{s:s, s:b, s:o}", "file", file, "valid", 1,
                                  "findings", json_incref(list)));
    else
        printf("%s: valid\n", file);
    json_decref(list);
}

/* Whether a finding is a warning: a difference is none. */
static bool
has_warning(const BwFindings *findings)
{
    for (uint32_t i = 0; i < findings->count; i++) {
        if (findings->items[i].kind != BW_FINDING_DIFFERENCE)
            return true;
    }
    return findings->is_incomplete;
}

BwExit
BwCli_Check(const BwCliOptions *options)
{
    const char *file = options->argv[0];
    uint32_t size_bytes = 0;
    char *content = BwCli_ReadFile(file, &size_bytes);
    BwFindings findings = {0};
    Text text, other = {0};
    BwExit code = BW_EXIT_INVALID;

    if (content == NULL)
        return BW_EXIT_USAGE;
    if (!read_text(&text, file, content, size_bytes))
        goto cleanup;
    if (options->against != NULL && !read_other(&other, options, &code))
        goto cleanup;
    code = BW_EXIT_FAILED;
    if (options->against != NULL && other.is_routes != text.is_routes) {
        fprintf(stderr,
                "brasswing: %s and %s are of different formats; compare a "
                "configuration with one, or routes with routes\n",
                file, options->against);
        goto cleanup;
    }
    if (text.is_routes) {
        BwAdvice_ExamineRoutes(&findings, &text.routes);
        if (options->against != NULL)
            BwAdvice_CompareRoutes(&findings, &other.routes, &text.routes);
    }
    else {
        BwAdvice_Examine(&findings, &text.config);
        if (options->against != NULL)
            BwAdvice_Compare(&findings, &other.config, &text.config);
    }
    print_findings(options, file, &findings);
    code = options->is_strict && has_warning(&findings) ? BW_EXIT_FAILED
                                                        : BW_EXIT_OK;
cleanup:
    BwFindings_Finish(&findings);
    free_text(&other);
    free_text(&text);
    return code;
}
