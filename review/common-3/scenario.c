/* scenario.c -- a small fleet on loopback, its callers, and a record

   Method and callers are described in scenario.h.
*/

#include <dirent.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "scenario.h"
#include "wording.h"

#define DAEMON_PATH "target/packages/daemon/brasswingd"
#define LAB_PATH "review/build-3/packages/cli/brasswing"
#define POLL_MS 5
#define READY_TIMEOUT_US 20000000
#define LEDGER_TIMEOUT_US 5000000
#define TARGET_MS 60
#define TASK_CPU 1000
#define TASK_MEM 64
/* Of the deployments: a planned stop within a grace of 6 s, less a margin. */
#define PLANNED_STOP_MS 5700

void
Scenario_Note(Scenario *scenario, const char *format, ...)
{
    va_list arguments;

    fprintf(scenario->record, "%7.3f  ",
            (double)(BwClock_Now() - scenario->began_us) / 1e6);
    va_start(arguments, format);
    vfprintf(scenario->record, format, arguments);
    va_end(arguments);
    fputc('\n', scenario->record);
    fflush(scenario->record);
}

uint64_t
Scenario_At(const Scenario *scenario, uint64_t ms)
{
    return scenario->began_us + ms * 1000;
}

/* ------------------------------------------------------------ requests */

static void
on_end(void *ctx, BwClientRequest *request)
{
    Scenario *scenario = ctx;
    ScenarioCall *call = request->data;
    BwClientAnswer answer;

    request->answer[request->answer_bytes] = '\0';
    BwClientAnswer_Parse(&answer, request->answer, request->answer_bytes);
    call->ended_us = BwClock_Now();
    call->status = answer.is_complete ? answer.status : 0;
    snprintf(call->body, sizeof(call->body), "%s",
             answer.is_complete ? answer.body : "");
    Scenario_Note(scenario, "answer to %s: %u %s", call->what, call->status,
                  call->status != 0       ? call->body
                  : request->has_given_up ? "(the caller gave up)"
                                          : "(the connection ended)");
}

static void
send_request(Scenario *scenario, ScenarioCall *call, uint32_t dispatcher,
             const char *method, const char *queue, const char *name,
             const char *headers, const char *body, uint64_t give_up_us)
{
    char path[128];

    memset(call, 0, sizeof(*call));
    call->scenario = scenario;
    snprintf(call->what, sizeof(call->what), "%s %s/%s at dispatcher-%u",
             method, queue, name, dispatcher);
    snprintf(path, sizeof(path), "/%s/%s", queue, name);
    Scenario_Note(scenario, "send %s", call->what);
    if (!BwClientRequests_Start(&scenario->requests,
                                scenario->fleet.http_ports[dispatcher],
                                ++scenario->callers, method, path, headers,
                                body, give_up_us, call))
        Scenario_Note(scenario, "%s could not be sent", call->what);
    BwClientRequests_Poll(&scenario->requests, 0);
}

/* Frees the body. */
static void
submit(Scenario *scenario, ScenarioCall *call, uint32_t dispatcher,
       const char *queue, const char *name, char *body, uint64_t deadline_ms)
{
    char headers[64];

    snprintf(headers, sizeof(headers), BW_WORDING_DEADLINE_HEADER ": %llu\r\n",
             (unsigned long long)deadline_ms);
    send_request(scenario, call, dispatcher, "POST", queue, name, headers,
                 body, BwClock_Now() + deadline_ms * 1000);
    free(body);
}

void
Scenario_Submit(Scenario *scenario, ScenarioCall *call, uint32_t dispatcher,
                const char *queue, const char *name, uint32_t tasks,
                uint32_t run_ms, uint64_t deadline_ms)
{
    submit(scenario, call, dispatcher, queue, name,
           BwWording_JobText(tasks, run_ms, TASK_CPU, TASK_MEM, 0, false),
           deadline_ms);
}

void
Scenario_SubmitSteps(Scenario *scenario, ScenarioCall *call,
                     uint32_t dispatcher, const char *queue, const char *name,
                     uint32_t run_ms, uint64_t deadline_ms)
{
    submit(scenario, call, dispatcher, queue, name,
           BwWording_TwoStepJobText(run_ms, TASK_CPU), deadline_ms);
}

void
Scenario_Cancel(Scenario *scenario, ScenarioCall *call, uint32_t dispatcher,
                const char *queue, const char *name)
{
    send_request(scenario, call, dispatcher, "DELETE", queue, name, "", "",
                 BwClock_Now() + 4000000);
}

void
Scenario_WaitUntil(Scenario *scenario, uint64_t until_us)
{
    while (BwClock_Now() < until_us) {
        if (scenario->requests.count > 0)
            BwClientRequests_Poll(&scenario->requests, POLL_MS);
        else
            usleep(POLL_MS * 1000);
    }
}

bool
Scenario_WaitCall(Scenario *scenario, const ScenarioCall *call,
                  uint64_t until_us)
{
    while (call->ended_us == 0 && BwClock_Now() < until_us)
        BwClientRequests_Poll(&scenario->requests, POLL_MS);
    return call->ended_us != 0;
}

/* --------------------------------------------------------------- fleet */

void
Scenario_Signal(Scenario *scenario, BwProcess *process, int signal_number)
{
    Scenario_Note(scenario, "signal %s to %s", strsignal(signal_number),
                  process->name);
    BwProcess_Signal(process, signal_number);
}

bool
Scenario_StartDispatcher(Scenario *scenario, uint32_t dispatcher)
{
    BwFleet *fleet = &scenario->fleet;

    if (!BwFleet_StartDispatcher(fleet, dispatcher) ||
        !BwFleet_WaitStarted(fleet, &fleet->dispatchers[dispatcher])) {
        Scenario_Note(scenario, "%s", fleet->fault);
        return false;
    }
    Scenario_Note(scenario, "dispatcher-%u has started again", dispatcher);
    return true;
}

/* Returns the routes of the queues, to be freed with free(). */
static char *
make_routes(void)
{
    char *first = BwWording_RouteText(SCENARIO_QUEUE, "127.0.0.1",
                                      SCENARIO_SERVICE, TARGET_MS);
    char *second = BwWording_RouteText(SCENARIO_OTHER_QUEUE, "127.0.0.1",
                                       SCENARIO_SERVICE, TARGET_MS);
    char *urgent = BwWording_PriorityRouteText(
        SCENARIO_URGENT_QUEUE, "127.0.0.1", SCENARIO_SERVICE, 0, TARGET_MS);
    char *routes = NULL;

    if (asprintf(&routes, "%s,%s,%s", first, second, urgent) < 0)
        routes = NULL;
    free(first);
    free(second);
    free(urgent);
    return routes;
}

bool
Scenario_Configure(Scenario *scenario)
{
    const BwFleet *fleet = &scenario->fleet;
    uint64_t give_up_us = BwClock_Now() + READY_TIMEOUT_US;
    char *routes = make_routes();
    char *config = BwWording_ConfigText(1, routes);
    char *control = NULL;
    bool is_written;

    if (asprintf(&control, "{\"config\":%s}", config) < 0)
        control = NULL;
    is_written =
        control != NULL && BwFleet_Control(fleet->door_ports[0], control);
    free(routes);
    free(config);
    free(control);
    while (is_written && BwClock_Now() < give_up_us) {
        if (BwFleet_HasConfigRevision(fleet, 1) &&
            BwFleet_HasWorkers(fleet, fleet->plan.workers)) {
            scenario->began_us = BwClock_Now();
            Scenario_Note(scenario, "configured; %u dispatchers, %u workers",
                          fleet->plan.dispatchers, fleet->plan.workers);
            return true;
        }
        usleep(POLL_MS * 1000);
    }
    Scenario_Note(scenario, "the fleet is not ready");
    return false;
}

/* ------------------------------------------------------------- ledgers */

static int
compare_runs(const void *left, const void *right)
{
    const ScenarioRun *a = left, *b = right;

    return a->started_us < b->started_us   ? -1
           : a->started_us > b->started_us ? 1
                                           : 0;
}

static bool
add_ledger(ScenarioRuns *runs, uint32_t worker, const char *name,
           const json_t *rows)
{
    size_t name_bytes = strlen(name);
    ScenarioRun *grown =
        realloc(runs->runs,
                (runs->count + json_array_size(rows) + 1) * sizeof(*grown));
    size_t i;
    json_t *row;

    if (grown == NULL)
        return false;
    runs->runs = grown;
    json_array_foreach(rows, i, row)
    {
        const char *task = json_string_value(json_object_get(row, "task"));
        ScenarioRun *run = &runs->runs[runs->count];

        if (task == NULL || strncmp(task, name, name_bytes) != 0 ||
            task[name_bytes] != '.')
            continue;
        memset(run, 0, sizeof(*run));
        snprintf(run->task, sizeof(run->task), "%s", task);
        run->worker = worker;
        run->number =
            (uint32_t)json_integer_value(json_object_get(row, "run"));
        run->started_us =
            (uint64_t)json_integer_value(json_object_get(row, "started_us"));
        run->ended_us =
            (uint64_t)json_integer_value(json_object_get(row, "ended_us"));
        snprintf(run->how, sizeof(run->how), "%s",
                 json_string_value(json_object_get(row, "how")));
        runs->count++;
    }
    return true;
}

bool
Scenario_ReadRuns(Scenario *scenario, const char *name, ScenarioRuns *runs)
{
    const BwFleet *fleet = &scenario->fleet;

    memset(runs, 0, sizeof(*runs));
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        BwBlockingReply reply;
        uint32_t status =
            BwFleet_Request(fleet->worker_ports[i], "GET", "/ledger", "",
                            LEDGER_TIMEOUT_US, &reply);
        json_t *ledger =
            status == 200 ? json_loads(reply.body, 0, NULL) : NULL;
        bool is_read =
            ledger != NULL &&
            add_ledger(runs, i, name, json_object_get(ledger, "rows"));

        json_decref(ledger);
        free(reply.body);
        if (!is_read) {
            Scenario_Note(scenario, "the ledger of worker-%u is unreadable",
                          i);
            return false;
        }
    }
    if (runs->count > 0)
        qsort(runs->runs, runs->count, sizeof(*runs->runs), compare_runs);
    return true;
}

uint32_t
Scenario_CountLate(Scenario *scenario, const ScenarioRuns *runs,
                   const ScenarioCall *cancel, uint64_t from_us)
{
    uint64_t limit_us = cancel->ended_us + SCENARIO_CANCEL_MS * 1000;
    uint32_t late = 0;

    for (uint32_t i = 0; i < runs->count; i++)
        late += runs->runs[i].started_us > limit_us &&
                runs->runs[i].started_us >= from_us;
    Scenario_Note(scenario,
                  "%u starts, by machines in touch, later than %u ms after "
                  "the acknowledgement",
                  late, SCENARIO_CANCEL_MS);
    return late;
}

void
Scenario_NoteRuns(Scenario *scenario, const ScenarioRuns *runs)
{
    for (uint32_t i = 0; i < runs->count; i++) {
        const ScenarioRun *run = &runs->runs[i];
        double from_s =
            ((double)run->started_us - (double)scenario->began_us) / 1e6;
        double to_s =
            ((double)run->ended_us - (double)scenario->began_us) / 1e6;

        if (run->ended_us != 0)
            Scenario_Note(scenario,
                          "run: %s run %u on worker-%u, %.3f to "
                          "%.3f, %s",
                          run->task, run->number, run->worker, from_s, to_s,
                          run->how);
        else
            Scenario_Note(scenario, "run: %s run %u on worker-%u, from %.3f",
                          run->task, run->number, run->worker, from_s);
    }
}

/* ------------------------------------------------------------- program */

static void
remove_directory(const char *path)
{
    DIR *directory = opendir(path);
    const struct dirent *entry;
    char file[512];

    while (directory != NULL && (entry = readdir(directory)) != NULL) {
        snprintf(file, sizeof(file), "%s/%s", path, entry->d_name);
        unlink(file);
    }
    if (directory != NULL)
        closedir(directory);
    rmdir(path);
}

static int
play(Scenario *scenario, const ScenarioPlan *plan, char *directory)
{
    BwFleetPlan fleet_plan = {
        .dispatchers = plan->dispatchers,
        .workers = plan->workers,
        .cpu = plan->cpu,
        .mem = plan->mem,
        .service = SCENARIO_SERVICE,
        .daemon = DAEMON_PATH,
        .production = "",
        .lab = LAB_PATH,
        .seed = 1,
        .session_ms = 500,
        .worker_lease_ms = 400,
        .stop_ms = PLANNED_STOP_MS,
        .clock_permille = 980,
        .store = "",
    };
    int code = SCENARIO_CANNOT_RUN;

    if (!BwFleet_Init(&scenario->fleet, &fleet_plan, directory))
        Scenario_Note(scenario, "%s", scenario->fleet.fault);
    else if (Scenario_Configure(scenario))
        code = plan->play(scenario);
    BwClientRequests_Finish(&scenario->requests);
    BwFleet_Finish(&scenario->fleet);
    return code;
}

int
Scenario_Main(const ScenarioPlan *plan, int argc, char **argv)
{
    static const char *const results[] = {"held", "BROKEN", "could not run"};
    Scenario scenario = {0};
    const char *trouble = getenv("TROUBLE");
    const char *keep = getenv("KEEP");
    char directory[] = "/tmp/review-XXXXXX";
    char path[512];
    int code = SCENARIO_CANNOT_RUN;

    if (argc != 2 || mkdtemp(directory) == NULL)
        return code;
    snprintf(path, sizeof(path), "%s/record.txt", argv[1]);
    scenario.record = fopen(path, "w");
    if (scenario.record == NULL)
        return code;
    signal(SIGPIPE, SIG_IGN);
    scenario.has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    scenario.began_us = BwClock_Now();
    BwClientRequests_Init(&scenario.requests, on_end, &scenario);
    code = play(&scenario, plan, directory);
    Scenario_Note(&scenario, "the rule %s%s", results[code],
                  scenario.has_trouble ? "" : " (without the disruption)");
    fclose(scenario.record);
    if (keep == NULL)
        remove_directory(directory);
    else
        printf("kept: %s\n", directory);
    return code;
}
