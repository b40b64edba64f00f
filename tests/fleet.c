/* fleet.c -- real processes on loopback, for tests and measurements

   Writes each process's settings, starts it and polls its HTTP port until it
   is ready.  Used by the fleet tests and the measurements.
*/

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <jansson.h>

#include "clock.h"
#include "fleet.h"
#include "tls.h"

#define START_TIMEOUT_US 20000000
#define CALL_TIMEOUT_US 60000000
#define POLL_US 10000

static const char *const domains[] = {"charguia-a", "charguia-b", "ariana-c"};

void
FleetProcess_Start(FleetProcess *process, const char *dir, const char *name,
                   char **argv)
{
    if (!BwProcess_Start(process, dir, name, argv))
        g_error("%s: %s", name, g_strerror(errno));
}

void
FleetProcess_WaitStarted(FleetProcess *process)
{
    if (!BwProcess_WaitStarted(process, START_TIMEOUT_US))
        g_error("%s did not start, see %s", process->name, process->output);
}

static char *
write_settings(Fleet *fleet, const char *name, const char *role,
               const char *domain)
{
    char *path = g_strdup_printf("%s/%s.yaml", fleet->dir, name);
    char *text = g_strdup_printf(
        "role: %s\nname: %s\nregion: tunis-nord\ndomain: %s\n"
        "http: {host: 127.0.0.1, port: 0}\n"
        "log: {host: 127.0.0.1, port: %u}\n%s%s%s",
        role, name, domain, fleet->log.http_port,
        strcmp(role, "agent") == 0 ? "peer: {host: 127.0.0.1, port: 0}\n" : "",
        fleet->plan.settings != NULL ? fleet->plan.settings : "",
        strcmp(role, "entry") == 0 && fleet->plan.entry_settings != NULL
            ? fleet->plan.entry_settings
            : "");

    g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    return path;
}

static void
start_daemon(Fleet *fleet, FleetProcess *process, const char *role, uint32_t i)
{
    char *name = g_strdup_printf("%s-%u", role, i);
    char *path = write_settings(fleet, name, role, domains[i % 3]);
    char *argv[] = {BW_DAEMON_PATH, "--settings", path, NULL};

    FleetProcess_Start(process, fleet->dir, name, argv);
    g_free(path);
    g_free(name);
}

static void
start_backend(Fleet *fleet, uint32_t i)
{
    char **services = g_strsplit(fleet->plan.services, " ", -1);
    char *name = g_strdup_printf("backend-%u", i);
    char *port = g_strdup_printf("%u", fleet->agents[i].http_port);
    char *slots = g_strdup_printf("%u", fleet->plan.slots);
    char *run_us = g_strdup_printf("%u", fleet->plan.run_us);
    char *argv[] = {
        BW_BACKEND_PATH, port,   services[i % g_strv_length(services)],
        slots,           run_us, NULL};

    FleetProcess_Start(&fleet->backends[i], fleet->dir, name, argv);
    g_strfreev(services);
    g_free(name);
    g_free(port);
    g_free(slots);
    g_free(run_us);
}

/* ----------------------------------------------------------- requests */

static uint32_t
send_request(uint32_t port, const char *authority, const char *method,
             const char *path, const char *body, BwBlockingReply *reply)
{
    BwBlockingClient caller;
    BwSpan span = {body, (uint32_t)strlen(body)};
    SSL_CTX *context = NULL;
    uint32_t status;

    memset(reply, 0, sizeof(*reply));
    if (!BwBlockingClient_Init(&caller, "127.0.0.1", (uint16_t)port))
        return 0;
    if (authority != NULL) {
        context = BwTls_MakeClientContext(authority);
        BwHttpClient_UseTls(&caller.client, context, "localhost");
    }
    status = BwBlockingClient_Request(&caller, method, path, "", span,
                                      CALL_TIMEOUT_US, reply);
    BwBlockingClient_Finish(&caller);
    SSL_CTX_free(context);
    return status;
}

uint32_t
Fleet_Request(uint32_t port, const char *method, const char *path,
              const char *body, BwBlockingReply *reply)
{
    return send_request(port, NULL, method, path, body, reply);
}

uint64_t
Fleet_ReadMetric(uint32_t port, const char *name)
{
    BwBlockingReply reply;
    char *pattern = g_strdup_printf("\n%s ", name);
    const char *found;
    uint64_t value = 0;

    if (Fleet_Request(port, "GET", "/metrics", "", &reply) == 200 &&
        (found = strstr(reply.body, pattern)) != NULL)
        value = strtoull(found + strlen(pattern), NULL, 10);
    g_free(pattern);
    free(reply.body);
    return value;
}

void
Fleet_RunCommand(const Fleet *fleet, FleetCommandResult *run,
                 const char *arguments)
{
    char *line = g_strdup_printf(
        "%s --log 127.0.0.1:%u --entry 127.0.0.1:%u %s", BW_CLI_PATH,
        fleet->log.http_port, fleet->entries[0].http_port, arguments);
    char **argv = g_strsplit(line, " ", -1);
    GError *error = NULL;
    int status = 0;

    if (!g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &run->out,
                      &run->err, &status, &error))
        g_error("%s: %s", line, error->message);
    run->code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    g_strfreev(argv);
    g_free(line);
}

void
FleetCommandResult_Clear(FleetCommandResult *run)
{
    g_free(run->out);
    g_free(run->err);
}

int
Fleet_Publish(Fleet *fleet, const char *text, const char *base)
{
    char *path = g_strdup_printf("%s/text.yaml", fleet->dir);
    char *log = g_strdup_printf("127.0.0.1:%u", fleet->log.http_port);
    char *argv[] = {BW_CLI_PATH,  "--log", log,
                    "publish",    path,    base != NULL ? "--base" : NULL,
                    (char *)base, NULL};
    int status = -1;

    g_file_set_contents(path, text, -1, NULL);
    g_spawn_sync(NULL, argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL, NULL, NULL,
                 NULL, NULL, &status, NULL);
    g_free(path);
    g_free(log);
    return WEXITSTATUS(status);
}

static bool
is_entry_ready(const Fleet *fleet, const FleetProcess *entry, uint32_t agents)
{
    BwBlockingReply reply;
    char *ring = g_strdup_printf("\"ring_agents\":%u,", agents);
    bool is_ready = send_request(entry->http_port, fleet->plan.authority,
                                 "GET", "/v1/status", "", &reply) == 200 &&
                    strstr(reply.body, ring) != NULL &&
                    strstr(reply.body, "\"ready\":true") != NULL;

    free(reply.body);
    g_free(ring);
    return is_ready;
}

void
Fleet_WaitRing(Fleet *fleet, uint32_t agents)
{
    uint64_t give_up_us = BwClock_Now() + START_TIMEOUT_US;

    for (uint32_t i = 0; i < fleet->plan.entries; i++) {
        if (fleet->entries[i].pid == 0)
            continue;
        while (!is_entry_ready(fleet, &fleet->entries[i], agents)) {
            if (BwClock_Now() > give_up_us)
                g_error("entry %u is not ready with %u agents on the ring", i,
                        agents);
            g_usleep(POLL_US);
        }
    }
}

/* Waits until every agent knows the slots of every other. */
static void
wait_workers(Fleet *fleet)
{
    uint64_t give_up_us = BwClock_Now() + START_TIMEOUT_US;
    char *pattern =
        g_strdup_printf("\"workers_known\":%u", fleet->plan.agents);

    for (uint32_t i = 0; i < fleet->plan.agents; i++) {
        bool is_ready = false;

        while (!is_ready) {
            BwBlockingReply reply;

            is_ready = Fleet_Request(fleet->agents[i].http_port, "GET",
                                     "/v1/status", "", &reply) == 200 &&
                       strstr(reply.body, pattern) != NULL &&
                       strstr(reply.body, "\"slots\":0") == NULL;
            free(reply.body);
            if (BwClock_Now() > give_up_us)
                g_error("agent %u does not know %u workers with slots", i,
                        fleet->plan.agents);
            g_usleep(POLL_US);
        }
    }
    g_free(pattern);
}

void
Fleet_Init(Fleet *fleet, const FleetPlan *plan)
{
    char *log_argv[] = {BW_LOG_PATH, NULL};
    char *text = NULL;

    memset(fleet, 0, sizeof(*fleet));
    fleet->plan = *plan;
    fleet->dir = g_dir_make_tmp("brasswing-XXXXXX", NULL);
    FleetProcess_Start(&fleet->log, fleet->dir, "log", log_argv);
    FleetProcess_WaitStarted(&fleet->log);
    for (uint32_t i = 0; i < plan->agents; i++)
        start_daemon(fleet, &fleet->agents[i], "agent", i);
    for (uint32_t i = 0; i < plan->entries; i++)
        start_daemon(fleet, &fleet->entries[i], "entry", i);
    for (uint32_t i = 0; i < plan->agents; i++) {
        FleetProcess_WaitStarted(&fleet->agents[i]);
        start_backend(fleet, i);
    }
    for (uint32_t i = 0; i < plan->agents; i++)
        FleetProcess_WaitStarted(&fleet->backends[i]);
    for (uint32_t i = 0; i < plan->entries; i++)
        FleetProcess_WaitStarted(&fleet->entries[i]);
    if (plan->text == NULL)
        g_file_get_contents(BW_EXAMPLE_PATH, &text, NULL, NULL);
    if (Fleet_Publish(fleet, plan->text != NULL ? plan->text : text, NULL) !=
        0)
        g_error("brasswing publish failed for the configuration");
    g_free(text);
    Fleet_WaitRing(fleet, plan->agents);
    wait_workers(fleet);
}

void
Fleet_RestartAgent(Fleet *fleet, uint32_t i)
{
    if (fleet->backends[i].pid != 0) {
        g_assert_cmpuint(fleet->retired_count, <, FLEET_AGENTS_MAX);
        fleet->retired[fleet->retired_count++] = fleet->backends[i];
        memset(&fleet->backends[i], 0, sizeof(fleet->backends[i]));
    }
    start_daemon(fleet, &fleet->agents[i], "agent", i);
    FleetProcess_WaitStarted(&fleet->agents[i]);
    start_backend(fleet, i);
    FleetProcess_WaitStarted(&fleet->backends[i]);
}

void
Fleet_RestartEntry(Fleet *fleet, uint32_t i)
{
    start_daemon(fleet, &fleet->entries[i], "entry", i);
    FleetProcess_WaitStarted(&fleet->entries[i]);
}

void
Fleet_Signal(FleetProcess *process, int number)
{
    BwProcess_Signal(process, number);
}

bool
Fleet_WaitEnd(FleetProcess *process, uint64_t timeout_us, int *exit_code)
{
    return BwProcess_WaitEnd(process, timeout_us, exit_code);
}

void
FleetProcess_Finish(FleetProcess *process)
{
    BwProcess_Finish(process);
}

void
Fleet_RemoveFiles(char *dir)
{
    if (g_getenv("BW_KEEP") == NULL) {
        char *argv[] = {"/bin/rm", "-rf", dir, NULL};

        g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL, NULL,
                     NULL, NULL);
    }
    g_free(dir);
}

void
Fleet_Finish(Fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->plan.entries; i++)
        FleetProcess_Finish(&fleet->entries[i]);
    for (uint32_t i = 0; i < fleet->plan.agents; i++) {
        FleetProcess_Finish(&fleet->agents[i]);
        FleetProcess_Finish(&fleet->backends[i]);
    }
    for (uint32_t i = 0; i < fleet->retired_count; i++)
        FleetProcess_Finish(&fleet->retired[i]);
    FleetProcess_Finish(&fleet->log);
    Fleet_RemoveFiles(fleet->dir);
}

/* --------------------------------------------------------------- jobs */

char *
Fleet_JobText(const char *member, const char *service, const char *key,
              uint32_t tasks, uint64_t run_us, uint64_t deadline_wall_us,
              const char *extra)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text,
                           "{\"member\":\"%s\",\"key\":\"%s\","
                           "\"service\":\"%s\",\"deadline_us\":%llu,"
                           "\"submitted_us\":%llu,"
                           "\"tasks\":[",
                           member, key, service,
                           (unsigned long long)deadline_wall_us,
                           (unsigned long long)BwClock_WallNow());
    for (uint32_t i = 0; i < tasks; i++)
        g_string_append_printf(
            text,
            "%s{\"body\":\"task=%u run_us=%llu %s\",\"runtime_us\":%llu}",
            i > 0 ? "," : "", i, (unsigned long long)run_us, extra,
            (unsigned long long)run_us);
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

/* Returns the number of answers that differ from the body of their task. */
static uint32_t
count_wrong(const char *job, json_t *answers)
{
    json_t *root = json_loads(job, 0, NULL);
    json_t *tasks = json_object_get(root, "tasks");
    json_t *answer;
    size_t index;
    uint32_t wrong = 0;

    json_array_foreach(answers, index, answer)
    {
        json_t *task = json_array_get(tasks, index);

        wrong += !json_equal(json_object_get(answer, "body"),
                             json_object_get(task, "body"));
    }
    json_decref(root);
    return wrong;
}

void
Fleet_Submit(BwBlockingClient *caller, const char *job, FleetAnswer *answer)
{
    Fleet_SubmitWithin(caller, job, CALL_TIMEOUT_US, answer);
}

void
Fleet_SubmitWithin(BwBlockingClient *caller, const char *job,
                   uint64_t timeout_us, FleetAnswer *answer)
{
    BwBlockingReply reply;
    BwSpan body = {job, (uint32_t)strlen(job)};
    uint64_t start_us = BwClock_Now();
    json_t *root;
    json_t *answers;

    memset(answer, 0, sizeof(*answer));
    answer->status = BwBlockingClient_Request(caller, "POST", "/v1/jobs", "",
                                              body, timeout_us, &reply);
    answer->took_us = BwClock_Now() - start_us;
    root = reply.body != NULL
               ? json_loadb(reply.body, reply.body_bytes, 0, NULL)
               : NULL;
    answers = json_object_get(root, "answers");
    answer->state =
        g_strdup(json_string_value(json_object_get(root, "state")));
    answer->error =
        g_strdup(json_string_value(json_object_get(root, "error")));
    answer->ran = g_strdup(json_string_value(json_object_get(root, "ran")));
    answer->answers = (uint32_t)json_array_size(answers);
    answer->wrong = count_wrong(job, answers);
    json_decref(root);
    free(reply.body);
}

void
FleetAnswer_Clear(FleetAnswer *answer)
{
    g_free(answer->state);
    g_free(answer->error);
    g_free(answer->ran);
}

static void
add_starts(GHashTable *counts, const char *text)
{
    char **lines = g_strsplit(text, "\n", -1);

    for (char **line = lines; *line != NULL; line++) {
        char *space = strrchr(*line, ' ');
        uint64_t count;

        if (space == NULL)
            continue;
        *space = '\0';
        count = strtoull(space + 1, NULL, 10) +
                GPOINTER_TO_SIZE(g_hash_table_lookup(counts, *line));
        g_hash_table_replace(counts, g_strdup(*line), GSIZE_TO_POINTER(count));
    }
    g_strfreev(lines);
}

void
Fleet_AddStarts(const FleetProcess *backend, GHashTable *counts)
{
    BwBlockingReply reply;

    if (backend->pid == 0)
        return;
    if (Fleet_Request(backend->http_port, "GET", "/starts", "", &reply) == 200)
        add_starts(counts, reply.body);
    free(reply.body);
}

GHashTable *
Fleet_ListStarts(Fleet *fleet)
{
    GHashTable *counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    for (uint32_t i = 0; i < fleet->plan.agents; i++)
        Fleet_AddStarts(&fleet->backends[i], counts);
    for (uint32_t i = 0; i < fleet->retired_count; i++)
        Fleet_AddStarts(&fleet->retired[i], counts);
    return counts;
}

void
Fleet_CountStarts(Fleet *fleet, uint64_t *total, uint64_t *repeated)
{
    GHashTable *counts = Fleet_ListStarts(fleet);
    GHashTableIter iter;
    gpointer value;

    *total = 0;
    *repeated = 0;
    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        *total += GPOINTER_TO_SIZE(value);
        *repeated += GPOINTER_TO_SIZE(value) > 1;
    }
    g_hash_table_destroy(counts);
}
