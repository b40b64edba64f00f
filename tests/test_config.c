/* test_config.c -- tests the faults reported for the operators' configuration
   and for the settings of a process */

#include <glib.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include "config.h"
#include "configlog.h"
#include "settings.h"

static BwYamlFaults faults;

static bool
validate_text(const char *text)
{
    BwConfig config;
    bool is_valid;

    memset(&faults, 0, sizeof(faults));
    is_valid = BwConfig_Read(&config, "t", BwSpan_FromString(text), &faults);
    BwConfig_Finish(&config);
    return is_valid;
}

static bool
has_fault(uint32_t line, const char *cause)
{
    char *prefix = g_strdup_printf("t:%u: ", line);
    bool is_found = false;

    for (uint32_t i = 0; i < faults.count && i < BW_YAML_FAULTS_MAX; i++)
        is_found |= g_str_has_prefix(faults.lines[i], prefix) &&
                    strstr(faults.lines[i], cause) != NULL &&
                    strstr(faults.lines[i], "; ") != NULL;
    g_free(prefix);
    return is_found;
}

static void
test_examples(void)
{
    static const char *const names[] = {"operators", "tarif-engine", "renewd"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_strdup_printf(BW_EXAMPLES_DIR "/%s.yaml", names[i]);
        char *text;

        g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
        validate_text(text);
        g_assert_cmpstr(faults.lines[0], ==, "");
        g_free(text);
        g_free(path);
    }
}

static const char invalid_config[] =
    "members:\n"
    "  - name: m\n"
    "    capacity_slots: 10\n"
    "    teams:\n"
    "      - {name: t, quota_slots: 8}\n"
    "      - {name: t, quota_slots: 3}\n"
    "  - name: m\n"
    "services:\n"
    "  - name: a\n"
    "    member: m\n"
    "    depends_on: [b]\n"
    "    classes: [{name: c, priority: 9}]\n"
    "    kinds:\n"
    "      - {name: k, class: none, job_tasks: 20, task_bytes: 200}\n"
    "    tasks_max: 10\n"
    "    body_bytes_max: 2048\n"
    "  - name: b\n"
    "    member: nobody\n"
    "    depends_on: [c]\n"
    "  - name: c\n"
    "    member: m\n"
    "    depends_on: [a, missing]\n"
    "    kinds: [{name: slow, runtime_ms: 5000}]\n"
    "    job_lifetime_ms: 4000\n"
    "    colour: red\n"
    "  - name: c\n"
    "    member: m\n";

/* All faults are reported at once, each with its line. */
static void
test_every_fault(void)
{
    static const struct {
        uint32_t line;
        const char *cause;
    } expected[] = {
        {2, "11 slots together, over its capacity_slots of 10"},
        {6, "team 't' stands twice, first in line 5"},
        {7, "member 'm' stands twice, first in line 2"},
        {9, "cycle: a -> b -> c -> a"},
        {12, "'9' is not a number from 0 to 7"},
        {14, "class 'none' is not in the classes of service 'a'"},
        {14, "20 tasks is over the service's tasks_max of 10"},
        {14, "4000 bytes is over the service's body_bytes_max of 2048"},
        {17, "member 'nobody' is not in members"},
        {22, "depends on 'missing'"},
        {23, "5000 ms is over the service's job_lifetime_ms of 4000"},
        {25, "'colour' is not a key of a service"},
        {26, "service 'c' stands twice, first in line 20"},
    };

    g_assert_false(validate_text(invalid_config));
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        if (!has_fault(expected[i].line, expected[i].cause))
            g_error("missing: %u: %s", expected[i].line, expected[i].cause);
    }
    g_assert_cmpuint(faults.count, ==, G_N_ELEMENTS(expected));
}

static void
test_cycles(void)
{
    g_assert_false(
        validate_text("members: [{name: m}]\n"
                      "services:\n"
                      "  - {name: a, member: m, depends_on: [a]}\n"
                      "  - {name: b, member: m, depends_on: [c, d]}\n"
                      "  - {name: c, member: m, depends_on: [d]}\n"
                      "  - {name: d, member: m}\n"));
    g_assert_true(has_fault(3, "cycle: a -> a"));
    g_assert_cmpuint(faults.count, ==, 1);
}

static void
test_not_yaml(void)
{
    g_assert_false(validate_text("members: [\n"));
    g_assert_cmpuint(faults.count, ==, 1);
    g_assert_false(validate_text(""));
    g_assert_cmpuint(faults.count, ==, 1);
}

static void
apply(BwConfigLog *log, uint64_t offset, json_t *record)
{
    BwConfigLog_Apply(log, offset, record);
    json_decref(record);
}

/* The log has three accepted configurations, a renewal of the newest by its
   reader, and one more configuration.  A reader that starts late begins at the
   renewal. */
static void
test_scan(void)
{
    static const char good[] = "members: [{name: m}]\n";
    BwConfigLog first_reader, late_reader;

    BwConfigLog_Init(&first_reader);
    BwConfigLog_EndScan(&first_reader);
    BwConfigLog_Init(&late_reader);
    for (uint64_t i = 0; i < 3; i++) {
        apply(&first_reader, i,
              BwConfigLog_MakeConfig("id", i, "me", 0, good));
        apply(&late_reader, i, BwConfigLog_MakeConfig("id", i, "me", 0, good));
    }
    g_assert_cmpuint(first_reader.revision.number, ==, 3);
    apply(&late_reader, 3, BwConfigLog_MakeRenewal(&first_reader, 0));
    apply(&late_reader, 4, BwConfigLog_MakeConfig("last", 3, "me", 0, good));
    g_assert_cmpuint(late_reader.revision.number, ==, 0);
    BwConfigLog_EndScan(&late_reader);
    g_assert_cmpuint(late_reader.revision.number, ==, 3);
    g_assert_cmpuint(late_reader.revision.next_offset, ==, 3);
    apply(&late_reader, 3, BwConfigLog_MakeRenewal(&first_reader, 0));
    apply(&late_reader, 4, BwConfigLog_MakeConfig("last", 3, "me", 0, good));
    g_assert_cmpuint(late_reader.revision.number, ==, 4);
    g_assert_cmpstr(late_reader.revision.publish_id, ==, "last");
    g_assert_cmpstr(late_reader.text, ==, good);
    BwConfigLog_Finish(&first_reader);
    BwConfigLog_Finish(&late_reader);
}

/* docs/CALLING.md has a row for each error, with the values of the code. */
static void
test_error_table(void)
{
    char *page;

    g_assert_true(g_file_get_contents(BW_EXAMPLES_DIR "/../CALLING.md", &page,
                                      NULL, NULL));
    for (uint32_t kind = BW_OK + 1; kind < BW_ERR_COUNT; kind++) {
        const BwErrorInfo *info = BwError_Describe(kind);
        char *row = g_strdup_printf(
            "| `%s` | %d | %s | %s |\n", info->name, info->http_status,
            info->certainty == BW_NOT_RUN ? "not_run" : "may_have_run",
            info->remedy);

        if (strstr(page, row) == NULL)
            g_error("docs/CALLING.md lacks the row: %s", row);
        g_free(row);
    }
    g_free(page);
}

/* ------------------------------------------------------------- settings */

static const char dispatcher_settings[] =
    "role: dispatcher\n"
    "name: d\nregion: r\ndomain: h\n"
    "http: {address: '127.0.0.1:1001'}\n"
    "peer: {address: '127.0.0.1:1002'}\n"
    "ready: {address: '127.0.0.1:1003'}\n"
    "log: {address: '127.0.0.1:1004'}\n";
static const char supervisor_settings[] =
    "role: supervisor\n"
    "name: s\nregion: r\ndomain: h\n"
    "http: {address: '127.0.0.1:1001'}\n"
    "worker: {address: '127.0.0.1:1002'}\n"
    "log: {address: '127.0.0.1:1004'}\n";

static const char entry_settings[] = "role: entry\n"
                                     "name: e\nregion: r\ndomain: h\n"
                                     "http: {address: '127.0.0.1:1001'}\n"
                                     "log: {address: '127.0.0.1:1004'}\n";

/* Loads the settings `text` with `from` replaced by `to`, unless `from` is
   NULL. */
static bool
load_settings(BwSettings *settings, const char *text, const char *from,
              const char *to)
{
    char **parts = g_strsplit(text, from != NULL ? from : "\n\n", 2);
    char *changed = g_strjoinv(to, parts);
    char *path;
    int fd = g_file_open_tmp("brasswing-XXXXXX", &path, NULL);
    bool is_valid;

    g_assert_cmpint(fd, >=, 0);
    g_assert_cmpuint(g_strv_length(parts), ==, from != NULL ? 2 : 1);
    close(fd);
    g_assert_true(g_file_set_contents(path, changed, -1, NULL));
    memset(&faults, 0, sizeof(faults));
    is_valid = BwSettings_Load(settings, path, &faults);
    BwSettings_Finish(settings);
    g_unlink(path);
    g_free(path);
    g_free(changed);
    g_strfreev(parts);
    return is_valid;
}

static void
test_node_settings(void)
{
    BwSettings settings;

    g_assert_true(load_settings(&settings, dispatcher_settings, NULL, ""));
    g_assert_cmpuint(settings.role, ==, BW_SETTINGS_DISPATCHER);
    g_assert_cmpstr(settings.ready.host, ==, "127.0.0.1");
    g_assert_cmpuint(settings.ready.port, ==, 1003);
    g_assert_cmpuint(settings.limits.session_ms, ==, 500);
    g_assert_cmpuint(settings.limits.worker_lease_ms, ==, 400);
    g_assert_true(load_settings(&settings, supervisor_settings, NULL, ""));
    g_assert_cmpuint(settings.role, ==, BW_SETTINGS_SUPERVISOR);
    g_assert_cmpuint(settings.worker.port, ==, 1002);
    g_assert_true(load_settings(
        &settings, supervisor_settings, "log:",
        "limits: {session_ms: 300, worker_lease_ms: 300, stop_ms: 5700,\n"
        "         resend_ms: 1000}\nlog:"));
    g_assert_cmpuint(settings.limits.session_ms, ==, 300);
    g_assert_cmpuint(settings.limits.stop_ms, ==, 5700);
}

/* Lengths that the file does not give follow from the stated bounds. */
static void
test_node_bounds(void)
{
    BwSettings settings;

    g_assert_true(load_settings(&settings, supervisor_settings, "log:",
                                "limits: {resend_ms: 700, grace_s: 3}\nlog:"));
    g_assert_cmpuint(settings.limits.session_ms, <, 500);
    g_assert_cmpuint(settings.limits.worker_lease_ms, <, 400);
    g_assert_cmpuint(settings.limits.stop_ms, ==, 2700);
    g_assert_true(load_settings(&settings, dispatcher_settings, "log:",
                                "limits: {resend_ms: 2000, grace_s: 7.25,\n"
                                "  worker_lease_max_ms: 350}\nlog:"));
    g_assert_cmpuint(settings.limits.session_ms, ==, 500);
    g_assert_cmpuint(settings.limits.worker_lease_ms, ==, 350);
    g_assert_cmpuint(settings.limits.stop_ms, ==, 6888);
    g_assert_true(load_settings(&settings, dispatcher_settings, NULL, ""));
    g_assert_cmpuint(settings.limits.stop_ms, ==, 5000);
}

/* Settings that were written for a later build can be used, and a check still
   reports the keys that this one lacks. */
static void
test_node_unknown_keys(void)
{
    BwSettings settings;

    g_assert_true(load_settings(&settings, dispatcher_settings, "log:",
                                "limits: {stop_ms: 700, later_ms: 5}\n"
                                "later: {address: '127.0.0.1'}\nlog:"));
    g_assert_cmpuint(settings.limits.stop_ms, ==, 700);
    g_assert_cmpuint(faults.count, ==, 2);
    g_assert_cmpuint(faults.unknown_keys, ==, 2);
    g_assert_nonnull(strstr(faults.lines[0], "'later_ms' is not a key of"));
    g_assert_nonnull(strstr(faults.lines[1], "'later' is not a key of"));
    /* Other faults still count, also those found after unknown keys. */
    g_assert_false(load_settings(&settings, dispatcher_settings, "log:",
                                 "later: 1\nlimits: {stop_ms: 1}\nlog:"));
    g_assert_false(load_settings(
        &settings, dispatcher_settings,
        "log:", "later: 1\nmetrics: {address: '127.0.0.1:1003'}\nlog:"));
    /* A misspelled key that is required is missing. */
    g_assert_false(
        load_settings(&settings, dispatcher_settings, "ready:", "raedy:"));
}

/* Each case makes one change to valid settings and lists the fault that must
   be reported. */
static void
test_node_faults(void)
{
    static const struct {
        const char *text;
        const char *from;
        const char *to;
        const char *fault;
    } cases[] = {
        {dispatcher_settings, "role: dispatcher", "role: worker",
         "role: 'worker' is not one of"},
        {dispatcher_settings, "ready: {address: '127.0.0.1:1003'}\n", "",
         "a dispatcher lacks 'ready'; give the address"},
        {dispatcher_settings, "peer: {address: '127.0.0.1:1002'}\n", "",
         "a dispatcher lacks 'peer'; give the address"},
        {dispatcher_settings, "127.0.0.1:1003", "127.0.0.1",
         "ready.address: '127.0.0.1' is not HOST:PORT; write"},
        {dispatcher_settings, "127.0.0.1:1003", "127.0.0.1:70000",
         "ready.address: '127.0.0.1:70000' is not HOST:PORT; write"},
        {dispatcher_settings, "127.0.0.1:1003", "ready.example:1003",
         "ready.host: 'ready.example' is not an IP number; write"},
        {dispatcher_settings, "{address: '127.0.0.1:1003'}",
         "{host: h, port: 65536}",
         "port: '65536' is not a number from 0 to 65535; give"},
        {dispatcher_settings, "1003", "1001",
         "'http' and 'ready' have the same address; give"},
        {dispatcher_settings,
         "log:", "metrics: {address: '127.0.0.1:1003'}\nlog:",
         "'ready' and 'metrics' have the same address; give"},
        {supervisor_settings, "log:",
         "metrics: {address: '127.0.0.1'}\n"
         "log:",
         "metrics.address: '127.0.0.1' is not HOST:PORT; write"},
        {entry_settings, "log:", "metrics: {address: '127.0.0.1:1009'}\nlog:",
         "'metrics' is for dispatchers and supervisors; remove it"},
        {dispatcher_settings,
         "log:", "worker: {address: '127.0.0.1:1005'}\nlog:",
         "'worker' is for a supervisor only; remove it"},
        {supervisor_settings, "worker: {address: '127.0.0.1:1002'}\n", "",
         "a supervisor lacks 'worker'; give the address"},
        {supervisor_settings,
         "log:", "ready: {address: '127.0.0.1:1005'}\nlog:",
         "'ready' is for a dispatcher only; remove it"},
        {supervisor_settings, "log:", "limits: {session_ms: 99}\nlog:",
         "session_ms: '99' is not a number from 100 to 60000; give"},
        {supervisor_settings, "log:", "limits: {worker_lease_ms: 99}\nlog:",
         "worker_lease_ms: '99' is not a number from 100 to 60000; give"},
        {supervisor_settings, "log:", "limits: {resend_ms: 392}\nlog:",
         "resend_ms leaves no time for session and lease; give a resend_ms "
         "of at least 393"},
        {supervisor_settings,
         "log:", "limits: {worker_lease_max_ms: 119}\nlog:",
         "worker_lease_max_ms leaves no time for session and lease; give"},
        {dispatcher_settings, "log:",
         "limits: {worker_lease_max_ms: 300, worker_lease_ms: 400}\n"
         "log:",
         "worker_lease_ms of 400 is over worker_lease_max_ms of 300; shorten"},
        {dispatcher_settings,
         "log:", "limits: {grace_s: 3, stop_ms: 3000}\nlog:",
         "stop_ms of 3000 is not below grace_s, 3000 ms; shorten"},
        {dispatcher_settings, "log:", "limits: {grace_s: 0.05}\nlog:",
         "grace_s: '0.05' is not a time from 0.1 to 600 seconds; give"},
        {dispatcher_settings, "log:", "limits: {grace_s: 6.1234}\nlog:",
         "grace_s: '6.1234' is not a time from"},
        {dispatcher_settings, "log:", "limits: {grace_s: 6.}\nlog:",
         "grace_s: '6.' is not a time from"},
        {supervisor_settings, "log:", "limits: {stop_ms: 99}\nlog:",
         "stop_ms: '99' is not a number from 100 to 600000; give"},
        {supervisor_settings, "log:", "limits: {worker_lease_ms: 700}\nlog:",
         "may take 1341 ms, over resend_ms of 1300; shorten"},
        {dispatcher_settings, "log:", "limits: {session_ms: 800}\nlog:",
         "may take 1332 ms, over resend_ms of 1300; shorten"},
    };
    BwSettings settings;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_false(load_settings(&settings, cases[i].text, cases[i].from,
                                     cases[i].to));
        if (strstr(faults.lines[0], cases[i].fault) == NULL)
            g_error("case %zu: %s", i, faults.lines[0]);
    }
}

/* Faults of several keys are reported together. */
static void
test_node_all_faults(void)
{
    BwSettings settings;

    g_assert_false(
        load_settings(&settings,
                      "role: dispatcher\nname: d\nregion: r\ndomain: h\n"
                      "http: {address: '127.0.0.1:1001'}\n"
                      "log: {address: '127.0.0.1:1004'}\n"
                      "limits: {worker_lease_ms: 1}\n",
                      NULL, ""));
    g_assert_cmpuint(faults.count, ==, 3);
}

/* Memory and the largest body follow from each other. */
static void
test_memory(void)
{
    BwSettings settings;

    g_assert_true(load_settings(&settings, dispatcher_settings, "log:",
                                "limits: {body_bytes: 33554432}\nlog:"));
    g_assert_cmpuint(settings.limits.memory_mb, ==, 269);
    g_assert_cmpuint(settings.limits.body_bytes, ==, 33554432);
    BwSettings_Finish(&settings);
    g_assert_true(load_settings(&settings, dispatcher_settings,
                                "log:", "limits: {memory_mb: 16}\nlog:"));
    g_assert_cmpuint(settings.limits.body_bytes, ==, 2000000);
    BwSettings_Finish(&settings);
    g_assert_true(
        load_settings(&settings, dispatcher_settings, "log:", "log:"));
    g_assert_cmpuint(settings.limits.memory_mb, ==, 128);
    g_assert_cmpuint(settings.limits.body_bytes, ==, 4194304);
    BwSettings_Finish(&settings);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config/examples", test_examples);
    g_test_add_func("/config/every-fault", test_every_fault);
    g_test_add_func("/config/cycles", test_cycles);
    g_test_add_func("/config/not-yaml", test_not_yaml);
    g_test_add_func("/config/scan", test_scan);
    g_test_add_func("/config/error-table", test_error_table);
    g_test_add_func("/settings/nodes", test_node_settings);
    g_test_add_func("/settings/node-bounds", test_node_bounds);
    g_test_add_func("/settings/node-unknown-keys", test_node_unknown_keys);
    g_test_add_func("/settings/node-faults", test_node_faults);
    g_test_add_func("/settings/all-faults", test_node_all_faults);
    g_test_add_func("/config/memory", test_memory);
    return g_test_run();
}
