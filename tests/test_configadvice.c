/* test_configadvice.c -- a configuration that is valid and does what nobody
   wants

   Each rule has a text that breaks it alone, and none finds anything in the
   examples of the pages.  Differences are told by what callers see.
*/

#include <string.h>

#include <glib.h>

#include "configadvice.h"

static void
read_config(BwConfig *config, const char *text)
{
    BwYamlFaults faults = {0};

    if (!BwConfig_Read(config, "text", BwSpan_FromString(text), &faults))
        g_error("%s", faults.lines[0]);
}

/* Expects one finding of the kind that has the text, or none for NULL. */
static void
expect_one(const BwFindings *findings, BwFindingKind kind, const char *text)
{
    for (uint32_t i = 0; i < findings->count; i++)
        g_test_message("%s: %s", BwFinding_KindName(findings->items[i].kind),
                       findings->items[i].text);
    g_assert_cmpuint(findings->count, ==, text != NULL);
    if (text == NULL)
        return;
    g_assert_cmpint(findings->items[0].kind, ==, kind);
    g_assert_nonnull(strstr(findings->items[0].text, text));
}

/* The lines of a configuration of which a case replaces some. */
typedef struct Lines {
    const char *team;
    const char *service;
    const char *kind;
    const char *class_name;
} Lines;

static char *
make_text(const Lines *lines)
{
    return g_strdup_printf(
        "members:\n  - name: m\n    teams:\n      - {name: t%s}\n"
        "services:\n  - name: s\n    member: m\n%s"
        "    classes:\n      - {name: %s, priority: 1}\n"
        "    kinds:\n"
        "      - {name: k, class: c, job_tasks: 8, task_bytes: 100, "
        "runtime_ms: 200%s}\n",
        lines->team != NULL ? lines->team : "",
        lines->service != NULL ? lines->service : "",
        lines->class_name != NULL ? lines->class_name : "c",
        lines->kind != NULL ? lines->kind : "");
}

static void
test_rules(void)
{
    static const struct {
        Lines lines;
        BwFindingKind kind;
        const char *text;
    } cases[] = {
        {{0}, 0, NULL},
        {{.team = ", tasks_max: 7"},
         BW_FINDING_CONTRADICTION,
         "refuses every job of 8 tasks"},
        {{.team = ", tasks_max: 8"}, 0, NULL},
        {{.team = ", tasks_max: 8, quota_slots: 9"},
         BW_FINDING_CONTRADICTION,
         "never uses its quota"},
        {{.team = ", tasks_max: 8, quota_slots: 8"}, 0, NULL},
        {{.class_name = "c, priority: 0}\n      - {name: d"},
         BW_FINDING_NEVER_MATCHES,
         "class 'd' of service 's': no kind uses it"},
        {{.service = "    policy: {task_bytes_max: 99}\n"},
         BW_FINDING_CONTRADICTION,
         "over the policy's task_bytes_max"},
        {{.service = "    policy: {task_bytes_max: 100}\n"}, 0, NULL},
        {{.service = "    policy: {backlog_ms_max: 199}\n"},
         BW_FINDING_CONTRADICTION,
         "over the policy's backlog_ms_max"},
        {{.service = "    policy: {queued_tasks_max: 7}\n"},
         BW_FINDING_CONTRADICTION,
         "over the policy's queued_tasks_max"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = make_text(&cases[i].lines);
        BwFindings findings = {0};
        BwConfig config;

        read_config(&config, text);
        BwAdvice_Examine(&findings, &config);
        expect_one(&findings, cases[i].kind, cases[i].text);
        BwFindings_Finish(&findings);
        BwConfig_Finish(&config);
        g_free(text);
    }
}

static void
test_member_without_service(void)
{
    BwFindings findings = {0};
    BwConfig config;

    read_config(&config, "members:\n  - {name: m}\n  - {name: idle}\n"
                         "services:\n  - {name: s, member: m}\n");
    BwAdvice_Examine(&findings, &config);
    expect_one(&findings, BW_FINDING_NEVER_MATCHES, "member 'idle'");
    g_assert_cmpuint(findings.items[0].line, ==, 3);
    BwFindings_Finish(&findings);
    BwConfig_Finish(&config);
}

static void
test_examples(void)
{
    GDir *dir = g_dir_open(BW_EXAMPLES_DIR, 0, NULL);
    const char *name;
    uint32_t count = 0;

    while ((name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(BW_EXAMPLES_DIR, name, NULL);
        char *text;
        BwFindings findings = {0};
        BwConfig config;

        g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
        read_config(&config, text);
        BwAdvice_Examine(&findings, &config);
        BwAdvice_Compare(&findings, &config, &config);
        expect_one(&findings, 0, NULL);
        BwFindings_Finish(&findings);
        BwConfig_Finish(&config);
        g_free(text);
        g_free(path);
        count++;
    }
    g_dir_close(dir);
    g_assert_cmpuint(count, >=, 3);
}

static void
test_differences(void)
{
    static const struct {
        Lines before, after;
        const char *text;
    } cases[] = {
        {{0}, {.team = ", quota_slots: 4"}, "quota_slots 4, was 0"},
        {{.team = ", tasks_max: 20"},
         {.team = ", tasks_max: 9"},
         "tasks_max 9, was 20: further jobs are refused"},
        {{.service = "    tasks_max: 100\n"},
         {.service = "    tasks_max: 50\n"},
         "larger jobs are refused"},
        {{.service = "    job_lifetime_ms: 9000\n"},
         {.service = "    job_lifetime_ms: 5000\n"},
         "later deadlines are refused"},
        {{0},
         {.service = "    policy: {retry_percent: 5}\n"},
         "policy.retry_percent 5, was 0"},
        {{0},
         {.service = "    policy: {placement: frugal}\n"},
         "another placement"},
        {{.class_name = "c, priority: 0}\n      - {name: d"},
         {0},
         "class 'd' of service 's': removed"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *before_text = make_text(&cases[i].before);
        char *after_text = make_text(&cases[i].after);
        BwFindings findings = {0}, none = {0};
        BwConfig before, after;
        bool is_found = false;

        read_config(&before, before_text);
        read_config(&after, after_text);
        BwAdvice_Compare(&findings, &before, &after);
        for (uint32_t j = 0; j < findings.count; j++) {
            g_assert_cmpint(findings.items[j].kind, ==, BW_FINDING_DIFFERENCE);
            is_found |= strstr(findings.items[j].text, cases[i].text) != NULL;
        }
        if (!is_found)
            g_error("'%s' is not among %u findings", cases[i].text,
                    findings.count);
        BwAdvice_Compare(&none, &after, &after);
        g_assert_cmpuint(none.count, ==, 0);
        BwFindings_Finish(&findings);
        BwConfig_Finish(&before);
        BwConfig_Finish(&after);
        g_free(before_text);
        g_free(after_text);
    }
}

/* Services, members and teams that come and go. */
static void
test_added_and_removed(void)
{
    static const char *const expected[] = {
        "service 'new': added",
        "service 'old': removed; its callers get unknown_service",
        "team 'y' of member 'm': added with a quota of 2 slots",
        "team 'x' of member 'm': removed; it loses its quota of 3 slots",
        "member 'n': added",
        "member 'o': removed",
        "member 'm': callers need a token"};
    BwFindings findings = {0};
    BwConfig before, after;
    char *text = g_strdup_printf(
        "members:\n  - name: m\n    tokens: [{sha256: %064d}]\n"
        "    teams: [{name: y, quota_slots: 2}]\n  - {name: n}\n"
        "services:\n  - {name: new, member: m}\n",
        0);

    read_config(&before,
                "members:\n  - name: m\n"
                "    teams: [{name: x, quota_slots: 3}]\n  - {name: o}\n"
                "services:\n  - {name: old, member: m}\n");
    read_config(&after, text);
    BwAdvice_Compare(&findings, &before, &after);
    g_assert_cmpuint(findings.count, ==, G_N_ELEMENTS(expected));
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        bool is_found = false;

        for (uint32_t j = 0; j < findings.count; j++)
            is_found |= strstr(findings.items[j].text, expected[i]) != NULL;
        if (!is_found)
            g_error("missing: %s", expected[i]);
    }
    BwFindings_Finish(&findings);
    BwConfig_Finish(&before);
    BwConfig_Finish(&after);
    g_free(text);
}

/* -------------------------------------------------------------- routes */

static BwRouteRow
make_route(const char *name, const char *prefix)
{
    BwRouteRow row = {.name = BwSpan_FromString(name),
                      .host = BwSpan_FromString("a.example"),
                      .prefix = BwSpan_FromString(prefix),
                      .service = BwSpan_FromString("s"),
                      .attempts_max = 3,
                      .stretch_permille = 1600,
                      .target_us = 60000,
                      .timeout_us = 1500000};

    return row;
}

static void
examine_route(const BwRouteRow *row, BwFindingKind kind, const char *text)
{
    BwRouteRow rows[] = {make_route("other", "/a/"), *row};
    BwRouteRows routes = {.revision = 7, .rows = rows, .row_count = 2};
    BwFindings findings = {0};

    BwAdvice_ExamineRoutes(&findings, &routes);
    expect_one(&findings, kind, text);
    BwFindings_Finish(&findings);
}

static void
test_routes(void)
{
    BwRouteRow row = make_route("r", "/a/b/");

    examine_route(&row, 0, NULL); /* a longer prefix wins over '/a/' */
    row.prefix = BwSpan_FromString("/a/");
    examine_route(&row, BW_FINDING_NEVER_MATCHES, "same host and prefix");
    row.prefix =
        BwSpan_FromString("/123456789012345678901234567890123456789012345678"
                          "90123456789012345678901234567890123456789012345678"
                          "90123456789012345678901234567890123456789012345678"
                          "90123456789012345678901234567890123456789012345678"
                          "90123456789012345678901234567890123456789012345678"
                          "90123456789012345678901234567890");
    examine_route(&row, BW_FINDING_NEVER_MATCHES, "is left out");
    row = make_route("r", "b/");
    examine_route(&row, BW_FINDING_NEVER_MATCHES, "no path begins with");
    row = make_route("r", "/b/");
    row.host = BwSpan_FromString("");
    examine_route(&row, BW_FINDING_NEVER_MATCHES, "no host");
    row = make_route("r", "/b/");
    row.service = BwSpan_FromString("");
    examine_route(&row, BW_FINDING_NEVER_MATCHES, "names no service");
    row = make_route("r", "/b/");
    row.stretch_permille = 900;
    examine_route(&row, BW_FINDING_CONTRADICTION, "shorter than the run");
    row = make_route("r", "/b/");
    row.timeout_us = row.target_us;
    examine_route(&row, BW_FINDING_CONTRADICTION, "ends before the target");
    row = make_route("r", "/b/");
    row.attempts_max = 0;
    examine_route(&row, BW_FINDING_CONTRADICTION, "no attempt");
}

static void
test_route_differences(void)
{
    BwRouteRow before[] = {make_route("a", "/a/"), make_route("b", "/b/")};
    BwRouteRow after[] = {make_route("a", "/a/"), make_route("c", "/c/")};
    BwRouteRows old = {.revision = 7, .rows = before, .row_count = 2};
    BwRouteRows new = {.revision = 8, .rows = after, .row_count = 2};
    BwFindings findings = {0};

    after[0].priority = 2;
    BwAdvice_CompareRoutes(&findings, &old, &new);
    g_assert_cmpuint(findings.count, ==, 3);
    g_assert_nonnull(strstr(findings.items[0].text, "priority 2, was 0"));
    g_assert_nonnull(strstr(findings.items[1].text, "route 'c': added"));
    g_assert_nonnull(strstr(findings.items[2].text, "its callers get 404"));
    BwFindings_Finish(&findings);
    new.revision = 7;
    BwAdvice_CompareRoutes(&findings, &old, &new);
    g_assert_cmpint(findings.items[0].kind, ==, BW_FINDING_CONTRADICTION);
    BwFindings_Finish(&findings);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/configadvice/rules", test_rules);
    g_test_add_func("/configadvice/member-without-service",
                    test_member_without_service);
    g_test_add_func("/configadvice/examples", test_examples);
    g_test_add_func("/configadvice/differences", test_differences);
    g_test_add_func("/configadvice/added-and-removed", test_added_and_removed);
    g_test_add_func("/configadvice/routes", test_routes);
    g_test_add_func("/configadvice/route-differences", test_route_differences);
    return g_test_run();
}
