/* boundfleet.c -- dispatchers, supervisors, workers and a store on loopback

   Controls the emulated workers and store over HTTP and reads states from
   /metrics, from the workers' ledgers and from the output of processes, by
   polling.  Used by test_bound.c.
*/

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "boundfleet.h"
#include "clientrequests.h"
#include "clock.h"
#include "configlog.h"
#include "wording.h"

#define WAIT_US 30000000
#define POLL_US 20000
#define ANSWER_BYTES_MAX 65536

/* ----------------------------------------------------------- processes */

static char *
settings_path(const BoundFleet *fleet, const char *role, uint32_t i)
{
    return g_strdup_printf("%s/%s-%u.yaml", fleet->dir, role, i);
}

char *
BoundFleet_AppendSettings(BoundFleet *fleet, const char *role, uint32_t i,
                          const char *lines)
{
    char *path = settings_path(fleet, role, i);
    char *previous = NULL, *text;

    if (!g_file_get_contents(path, &previous, NULL, NULL))
        g_error("cannot read settings file %s", path);
    text = g_strconcat(previous, lines, NULL);
    g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    g_free(path);
    return previous;
}

void
BoundFleet_SetSettings(BoundFleet *fleet, const char *role, uint32_t i,
                       const char *text)
{
    char *path = settings_path(fleet, role, i);

    g_file_set_contents(path, text, -1, NULL);
    g_free(path);
}

void
BoundFleet_StartDispatcher(BoundFleet *fleet, uint32_t i)
{
    if (!BwFleet_StartDispatcher(fleet, i) ||
        !BwFleet_WaitStarted(fleet, &fleet->dispatchers[i]))
        g_error("%s", fleet->fault);
}

void
BoundFleet_StartSupervisor(BoundFleet *fleet, uint32_t i)
{
    if (!BwFleet_StartSupervisor(fleet, i) ||
        !BwFleet_WaitStarted(fleet, &fleet->supervisors[i]))
        g_error("%s", fleet->fault);
}

void
BoundFleet_Init(BoundFleet *fleet)
{
    static const BwFleetPlan plan = {
        .dispatchers = BOUND_DISPATCHERS,
        .workers = BOUND_WORKERS,
        .cpu = BOUND_CPU,
        .mem = BOUND_MEM,
        .service = BOUND_SERVICE,
        .daemon = BW_DAEMON_PATH,
        .production = "",
        .lab = BW_CLI_PATH,
        .seed = 1,
        .session_ms = 500,
        .worker_lease_ms = 400,
        .stop_ms = 4000,
        .clock_permille = 980,
        .store = "",
    };

    if (!BwFleet_Init(fleet, &plan, g_dir_make_tmp("brasswing-XXXXXX", NULL)))
        g_error("%s", fleet->fault);
    BoundFleet_WaitWorkers(fleet, BOUND_WORKERS);
}

void
BoundFleet_Finish(BoundFleet *fleet)
{
    char *dir = fleet->dir;

    BwFleet_Finish(fleet);
    Fleet_RemoveFiles(dir);
}

/* ------------------------------------------------------------- waiting */

void
BoundFleet_WaitWorkers(BoundFleet *fleet, uint32_t count)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;

    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        while (fleet->dispatchers[i].pid != 0 &&
               Fleet_ReadMetric(fleet->ready_ports[i],
                                "brasswing_workers_usable") != count) {
            if (BwClock_Now() > give_up_us)
                g_error("dispatcher %u does not see %u workers, see %s", i,
                        count, fleet->dir);
            g_usleep(POLL_US);
        }
    }
}

void
BoundFleet_WaitReady(BoundFleet *fleet, uint32_t dispatcher, uint32_t status)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;
    uint32_t seen = 0;

    while (seen != status) {
        BwBlockingReply reply;

        seen = Fleet_Request(fleet->ready_ports[dispatcher], "GET",
                             BW_WORDING_READY_PATH, "", &reply);
        free(reply.body);
        if (BwClock_Now() > give_up_us)
            g_error(
                "readiness check of dispatcher %u answers %u, not %u, see %s",
                dispatcher, seen, status, fleet->dir);
        g_usleep(POLL_US);
    }
}

void
BoundFleet_WaitRevision(BoundFleet *fleet, uint32_t dispatcher,
                        uint64_t revision)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;

    while (Fleet_ReadMetric(fleet->ready_ports[dispatcher],
                            "brasswing_config_revision") != revision) {
        if (BwClock_Now() > give_up_us)
            g_error("dispatcher %u does not have revision %u in force, see %s",
                    dispatcher, (unsigned)revision, fleet->dir);
        g_usleep(POLL_US);
    }
}

void
BoundFleet_WaitOutput(const FleetProcess *process, const char *text,
                      uint32_t times)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;
    uint32_t seen = 0;

    while (seen < times) {
        char *output = NULL;
        const char *at;

        seen = 0;
        g_file_get_contents(process->output, &output, NULL, NULL);
        for (at = output; at != NULL && (at = strstr(at, text)) != NULL; at++)
            seen++;
        g_free(output);
        if (BwClock_Now() > give_up_us)
            g_error("output of %s has '%s' %u times, not %u, see %s",
                    process->name, text, seen, times, process->output);
        g_usleep(POLL_US);
    }
}

static bool
is_refused(const BoundCall *call)
{
    int status = g_atomic_int_get((const gint *)&call->status);

    return status == 429 || status == 503;
}

/* Waits until exactly `running` tasks of the job run.  Returns false if
   `call`, unless it is NULL, is refused first. */
static bool
wait_running(BoundFleet *fleet, const char *job, uint32_t running,
             const BoundCall *call)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;
    BoundCount count;

    BoundFleet_Count(fleet, job, &count);
    while (count.running != running) {
        if (call != NULL && is_refused(call))
            return false;
        if (BwClock_Now() > give_up_us)
            g_error("%u tasks of job '%s' run, not %u, see %s", count.running,
                    job, running, fleet->dir);
        g_usleep(POLL_US);
        BoundFleet_Count(fleet, job, &count);
    }
    return true;
}

void
BoundFleet_WaitRunning(BoundFleet *fleet, const char *job, uint32_t running)
{
    wait_running(fleet, job, running, NULL);
}

/* -------------------------------------------------- emulated processes */

static void
control(uint32_t port, const char *text)
{
    if (!BwFleet_Control(port, text))
        g_error("process at port %u did not accept control text %s", port,
                text);
}

void
BoundFleet_Configure(BoundFleet *fleet, const char *config)
{
    char *text = g_strdup_printf("{\"config\":%s}", config);

    control(fleet->door_ports[0], text);
    g_free(text);
}

void
BoundFleet_Evacuate(BoundFleet *fleet, const char *domain, bool is_asked)
{
    char *text = g_strdup_printf("{\"%s\":\"%s\"}",
                                 is_asked ? "evacuate" : "take_back", domain);

    control(fleet->door_ports[0], text);
    g_free(text);
}

void
BoundFleet_WriteOddRecords(BoundFleet *fleet, const char *key)
{
    char *text = g_strdup_printf("{\"odd\":\"%s\"}", key);

    control(fleet->door_ports[0], text);
    g_free(text);
}

void
BoundFleet_SetDoor(BoundFleet *fleet, int door, const char *mode)
{
    char *text = door < 0 ? g_strdup_printf("{\"mode\":\"%s\"}", mode)
                          : g_strdup_printf("{\"door\":%d,\"mode\":\"%s\"}",
                                            door, mode);

    control(fleet->door_ports[0], text);
    g_free(text);
}

void
BoundFleet_ExpireRecords(BoundFleet *fleet)
{
    control(fleet->door_ports[0], "{\"forget\":true}");
}

uint64_t
BoundFleet_DoorCalls(BoundFleet *fleet, uint32_t door)
{
    BwBlockingReply reply;
    json_t *root = NULL;
    uint64_t calls;

    if (Fleet_Request(fleet->door_ports[0], "GET", "/stats", "", &reply) ==
        200)
        root = json_loadb(reply.body, reply.body_bytes, 0, NULL);
    calls = (uint64_t)json_integer_value(
        json_array_get(json_object_get(root, "calls"), door));
    json_decref(root);
    free(reply.body);
    return calls;
}

void
BoundFleet_ControlWorkers(BoundFleet *fleet, int worker, const char *text)
{
    for (int i = 0; i < BOUND_WORKERS; i++) {
        if (worker < 0 || worker == i)
            control(fleet->worker_ports[i], text);
    }
}

/* ------------------------------------------------------------- ledgers */

static const char *
string_of(const json_t *object, const char *field)
{
    return json_string_value(json_object_get(object, field));
}

/* Returns whether a and b are runs of one task that ran at the same time; an
   end time of 0 means that the run has not ended. */
static bool
is_overlap(const json_t *a, const json_t *b)
{
    uint64_t a_end_us = BwRecord_Number(a, "ended_us");
    uint64_t b_end_us = BwRecord_Number(b, "ended_us");

    return strcmp(string_of(a, "task"), string_of(b, "task")) == 0 &&
           (a_end_us == 0 || BwRecord_Number(b, "started_us") < a_end_us) &&
           (b_end_us == 0 || BwRecord_Number(a, "started_us") < b_end_us);
}

static void
count_row(const json_t *row, BoundCount *count)
{
    const char *end_reason = string_of(row, "how");

    count->starts++;
    if (end_reason[0] == '\0')
        count->running++;
    else if (strcmp(end_reason, "done") == 0)
        count->done++;
    else if (strcmp(end_reason, "stopped") == 0)
        count->stopped++;
    else
        count->other++;
}

/* Adds the worker's ledger rows of the job to `rows` and to the counts. */
static void
count_worker(uint32_t port, const char *job, json_t *rows, BoundCount *count)
{
    uint32_t starts = count->starts;
    BwBlockingReply reply;
    json_t *root = NULL;
    size_t i;
    json_t *row;

    if (Fleet_Request(port, "GET", "/ledger", "", &reply) == 200)
        root = json_loadb(reply.body, reply.body_bytes, 0, NULL);
    free(reply.body);
    if (root == NULL)
        g_error("cannot read the ledger of the worker at port %u", port);
    json_array_foreach(json_object_get(root, "rows"), i, row)
    {
        if (!g_str_has_prefix(string_of(row, "task"), job))
            continue;
        count_row(row, count);
        json_array_append(rows, row);
    }
    count->workers += count->starts > starts;
    count->delayed_orders += (uint32_t)BwRecord_Number(root, "late");
    count->overfull += BwRecord_Number(root, "excess_cpu") > 0 ||
                       BwRecord_Number(root, "excess_mem") > 0;
    json_decref(root);
}

void
BoundFleet_Count(BoundFleet *fleet, const char *job, BoundCount *count)
{
    json_t *rows = json_array();
    size_t size;

    memset(count, 0, sizeof(*count));
    for (uint32_t i = 0; i < BOUND_WORKERS; i++)
        count_worker(fleet->worker_ports[i], job, rows, count);
    size = json_array_size(rows);
    for (size_t i = 0; i < size; i++) {
        for (size_t j = i + 1; j < size; j++)
            count->overlaps +=
                is_overlap(json_array_get(rows, i), json_array_get(rows, j));
    }
    json_decref(rows);
}

uint32_t
BoundFleet_FindBusy(BoundFleet *fleet, const char *job)
{
    json_t *rows = json_array();
    uint32_t i;

    for (i = 0; i < BOUND_WORKERS; i++) {
        BoundCount count = {0};

        count_worker(fleet->worker_ports[i], job, rows, &count);
        if (count.running > 0)
            break;
    }
    json_decref(rows);
    if (i == BOUND_WORKERS)
        g_error("no worker runs %s, see %s", job, fleet->dir);
    return i;
}

void
BoundFleet_WaitLost(BoundFleet *fleet, const char *job)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;
    BoundCount count;

    BoundFleet_Count(fleet, job, &count);
    while (count.other == 0) {
        if (BwClock_Now() > give_up_us)
            g_error("no task of %s has lapsed, crashed or failed, see %s", job,
                    fleet->dir);
        g_usleep(POLL_US);
        BoundFleet_Count(fleet, job, &count);
    }
}

void
BoundFleet_WaitDelayedOrders(BoundFleet *fleet, uint32_t delayed_orders)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;
    BoundCount count;

    BoundFleet_Count(fleet, "", &count);
    while (count.delayed_orders < delayed_orders) {
        if (BwClock_Now() > give_up_us)
            g_error("workers kept %u orders, not %u, see %s",
                    count.delayed_orders, delayed_orders, fleet->dir);
        g_usleep(POLL_US);
        BoundFleet_Count(fleet, "", &count);
    }
}

/* --------------------------------------------------------------- calls */

static void
read_answer(BoundCall *call, const char *text, size_t size)
{
    BwClientAnswer head;

    BwClientAnswer_Parse(&head, text, size);
    if (head.body == NULL)
        return;
    call->status = head.status;
    call->retry_after_s = head.retry_after_s;
    call->is_complete = head.is_complete;
    call->body = g_strdup(head.body);
}

static gpointer
run_call(gpointer data)
{
    BoundCall *call = data;
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *connection = g_socket_client_connect_to_host(
        client, "127.0.0.1", (guint16)call->port, call->cancellable, NULL);
    char *answer = g_malloc(ANSWER_BYTES_MAX);
    gsize size = 0;

    if (connection != NULL) {
        GIOStream *stream = G_IO_STREAM(connection);

        call->is_sent = g_output_stream_write_all(
            g_io_stream_get_output_stream(stream), call->request,
            strlen(call->request), NULL, call->cancellable, NULL);
        g_input_stream_read_all(g_io_stream_get_input_stream(stream), answer,
                                ANSWER_BYTES_MAX - 1, &size, call->cancellable,
                                NULL);
        g_object_unref(connection);
    }
    answer[size] = '\0';
    read_answer(call, answer, size);
    g_free(answer);
    g_object_unref(client);
    return NULL;
}

void
BoundCall_Start(BoundCall *call, uint32_t port, const char *method,
                const char *path, const char *headers, const char *body)
{
    memset(call, 0, sizeof(*call));
    call->port = port;
    call->request = BwClientRequests_MakeText(method, path, headers, body);
    call->cancellable = g_cancellable_new();
    call->thread = g_thread_new("call", run_call, call);
}

void
BoundCall_Wait(BoundCall *call)
{
    if (call->thread != NULL)
        g_thread_join(call->thread);
    call->thread = NULL;
}

void
BoundCall_Abandon(BoundCall *call)
{
    g_cancellable_cancel(call->cancellable);
    BoundCall_Wait(call);
}

void
BoundCall_Clear(BoundCall *call)
{
    BoundCall_Wait(call);
    g_object_unref(call->cancellable);
    g_free(call->request);
    g_free(call->body);
    memset(call, 0, sizeof(*call));
}

bool
BoundCall_WaitRunning(BoundCall *call, BoundFleet *fleet, const char *job,
                      uint32_t running)
{
    if (wait_running(fleet, job, running, call))
        return true;
    BoundCall_Clear(call);
    return false;
}

void
BoundCall_Run(BoundCall *call, uint32_t port, const char *method,
              const char *path, const char *headers, const char *body)
{
    BoundCall_Start(call, port, method, path, headers, body);
    BoundCall_Wait(call);
}
