/* labrunner.c -- runs an experiment and records what happened

   One loop sends the jobs that are due, injects the faults that are due, and
   reads answers.  Arrival times are pseudo-random from the experiment's seed,
   but the processes run in real time, so their interleaving differs from run
   to run: the stated outcomes must hold for every interleaving.
*/

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "emulator.h"
#include "labrunner.h"
#include "wording.h"

#define HOST "127.0.0.1"
#define SERVICE "tarif-engine"
#define READY_TIMEOUT_US 30000000
#define END_TIMEOUT_US 30000000
#define IDLE_TIMEOUT_US 4000000
#define POLL_US 20000
#define REQUEST_POLL_MS 5
/* An iteration of the loop that takes longer shifts the schedule. */
#define HELD_UP_US 250000
#define PROGRESS_INTERVAL_US 200000
#define CALL_TIMEOUT_US 5000000
#define PLANNED_STOP_MS 4000
#define ANSWER_MARGIN_US 500000 /* a caller's wait past its deadline */

static bool
fail(BwLabRunner *runner, const char *what)
{
    snprintf(runner->fault, sizeof(runner->fault), "%s; see %s", what,
             runner->fleet.dir);
    return false;
}

/* ------------------------------------------------------- configuration */

/* Appends a route and frees `route`. */
static void
add_route(FILE *out, bool *is_first, char *route)
{
    fprintf(out, "%s%s", *is_first ? "" : ",", route != NULL ? route : "");
    *is_first = false;
    free(route);
}

static bool
configure(BwLabRunner *runner)
{
    const BwExperiment *experiment = runner->experiment;
    char *routes = NULL, *config, *text = NULL;
    size_t size;
    FILE *out = open_memstream(&routes, &size);
    bool is_first = true, is_accepted;

    if (out == NULL)
        return false;
    for (uint32_t i = 0; i < experiment->class_count; i++) {
        const BwLabClass *class_spec = &experiment->classes[i];

        if (!runner->is_forbidden[i])
            add_route(out, &is_first,
                      BwWording_PriorityRouteText(
                          class_spec->name, HOST, SERVICE,
                          class_spec->priority, class_spec->target_ms));
    }
    for (uint32_t i = 0; i < experiment->fleet.routes; i++) {
        char name[32];

        snprintf(name, sizeof(name), "added-%u", i);
        add_route(out, &is_first,
                  BwWording_RouteText(name, HOST, SERVICE, 20000));
    }
    fclose(out);
    config = BwWording_ConfigText(++runner->config_revision, routes);
    is_accepted =
        config != NULL && asprintf(&text, "{\"config\":%s}", config) > 0;
    is_accepted =
        is_accepted && BwFleet_Control(runner->fleet.door_ports[0], text);
    free(routes);
    free(config);
    free(text);
    return is_accepted;
}

/* --------------------------------------------------------------- fleet */

static bool
wait_until_usable(BwLabRunner *runner)
{
    uint64_t give_up_us = BwClock_Now() + READY_TIMEOUT_US;
    const BwExperiment *experiment = runner->experiment;

    if (experiment->is_configured && !configure(runner))
        return fail(runner, "the store refused the configuration");
    while (!BwFleet_HasWorkers(&runner->fleet, experiment->fleet.workers) ||
           (experiment->is_configured &&
            !BwFleet_HasConfigRevision(&runner->fleet,
                                       runner->config_revision))) {
        if (BwClock_Now() > give_up_us)
            return fail(runner, "not every dispatcher had all workers and the "
                                "configuration within 30 s");
        usleep(POLL_US);
    }
    /* The ingress checks readiness every 100 ms; it must have seen this. */
    usleep(10 * POLL_US);
    return true;
}

static bool
start_fleet(BwLabRunner *runner, const char *daemon, const char *lab,
            char *dir)
{
    const BwExperiment *experiment = runner->experiment;
    BwFleetPlan plan = {
        .dispatchers = experiment->fleet.dispatchers,
        .workers = experiment->fleet.workers,
        .cpu = experiment->fleet.cpu,
        .mem = experiment->fleet.mem,
        .service = SERVICE,
        .daemon = daemon,
        .production = experiment->fleet.production,
        .lab = lab,
        .seed = experiment->seed,
        .session_ms = 500,
        .worker_lease_ms = 400,
        .stop_ms = PLANNED_STOP_MS,
        .clock_permille = experiment->fleet.clock_permille,
        .has_ingress = true,
        .store = experiment->store,
    };

    if (!BwFleet_Init(&runner->fleet, &plan, dir)) {
        snprintf(runner->fault, sizeof(runner->fault), "%s",
                 runner->fleet.fault);
        return false;
    }
    return wait_until_usable(runner);
}

/* ---------------------------------------------------------------- jobs */

static BwLabJob *
add_job(BwLabRunner *runner, uint32_t job_class)
{
    BwLabJob *job = calloc(1, sizeof(*job));

    if (runner->job_count == runner->job_capacity) {
        uint32_t capacity = runner->job_capacity * 2 + 64;
        BwLabJob **grown = realloc(runner->jobs, capacity * sizeof(*grown));

        if (grown == NULL || job == NULL) {
            free(job);
            return NULL;
        }
        runner->jobs = grown;
        runner->job_capacity = capacity;
    }
    if (job == NULL)
        return NULL;
    runner->jobs[runner->job_count++] = job;
    job->job_class = job_class;
    snprintf(job->name, sizeof(job->name), "%016x", runner->job_count);
    return job;
}

/* Sends the job, whose caller waits for the answer until `deadline_us`. */
static void
send_request(BwLabRunner *runner, BwLabJob *job, uint64_t now_us,
             uint64_t deadline_us)
{
    const BwLabClass *class_spec =
        &runner->experiment->classes[job->job_class];
    uint64_t give_up_us = deadline_us + ANSWER_MARGIN_US;
    uint32_t client = BwEmulator_Random(&runner->seed, class_spec->clients);
    char path[128], headers[64];
    char *body = BwWording_JobText(class_spec->tasks, class_spec->run_ms,
                                   class_spec->cpu, class_spec->mem,
                                   class_spec->spread, job->crashes);

    if (job->will_give_up)
        give_up_us = now_us + (uint64_t)class_spec->give_up_ms * 1000;
    snprintf(path, sizeof(path), "/%s/%s", class_spec->name, job->name);
    snprintf(headers, sizeof(headers), "%s: %llu\r\n",
             BW_WORDING_DEADLINE_HEADER,
             (unsigned long long)((deadline_us - now_us) / 1000));
    if (body == NULL ||
        !BwClientRequests_Start(&runner->requests, runner->fleet.ingress_port,
                                client, "POST", path, headers, body,
                                give_up_us, job)) {
        job->end = BW_LAB_UNANSWERED;
        job->ended_us = now_us;
    }
    free(body);
}

static uint64_t
job_deadline_us(const BwLabRunner *runner, const BwLabJob *job)
{
    return job->sent_us +
           (uint64_t)runner->experiment->classes[job->job_class].deadline_ms *
               1000;
}

static void
send_job(BwLabRunner *runner, uint32_t job_class, uint64_t now_us)
{
    const BwLabClass *class_spec = &runner->experiment->classes[job_class];
    BwLabJob *job = add_job(runner, job_class);

    if (job == NULL)
        return;
    job->will_give_up =
        BwEmulator_Random(&runner->seed, 1000) < class_spec->give_up_permille;
    job->crashes =
        class_spec->crash_permille > 0 &&
        BwEmulator_Random(&runner->seed, 1000) < class_spec->crash_permille;
    job->sent_us = now_us;
    send_request(runner, job, now_us, job_deadline_us(runner, job));
}

static void
resend_due_jobs(BwLabRunner *runner, uint64_t now_us)
{
    for (uint32_t i = 0; runner->resend_count > 0 && i < runner->job_count;
         i++) {
        BwLabJob *job = runner->jobs[i];

        if (job->resend_us == 0 || now_us < job->resend_us)
            continue;
        job->resend_us = 0;
        runner->resend_count--;
        send_request(runner, job, now_us, job_deadline_us(runner, job));
    }
}

static BwLabEnd
classify_end(const BwClientRequest *request, const BwLabJob *job,
             const BwClientAnswer *client_answer)
{
    if (request->has_given_up)
        return job->will_give_up ? BW_LAB_GAVE_UP : BW_LAB_UNANSWERED;
    if (!client_answer->is_complete)
        return BW_LAB_UNANSWERED;
    switch (client_answer->status) {
    case 200:
        return strstr(client_answer->body, BW_WORDING_COMPLETED) != NULL
                   ? BW_LAB_COMPLETED
                   : BW_LAB_FAILED;
    case 404:
        return BW_LAB_NOT_FOUND;
    case 429:
    case 503:
        return BW_LAB_REFUSED;
    case 504:
        return BW_LAB_TIMED_OUT;
    default:
        return BW_LAB_FAILED;
    }
}

static char *
read_reason(const char *body)
{
    json_t *root = json_loads(body, 0, NULL);
    const char *error = json_string_value(json_object_get(root, "error"));
    const char *detail = json_string_value(json_object_get(root, "detail"));
    char *reason = NULL;

    if (asprintf(&reason, "%s%s%s", error != NULL ? error : "no reason",
                 detail != NULL ? ": " : "", detail != NULL ? detail : "") < 0)
        reason = NULL;
    json_decref(root);
    return reason;
}

/* Returns whether the caller sends the job again: no dispatcher has answered
   it, and time is left. */
static bool
is_resent(const BwLabRunner *runner, const BwLabJob *job,
          const BwClientAnswer *client_answer)
{
    const BwLabClass *class_spec =
        &runner->experiment->classes[job->job_class];
    bool has_no_answer =
        job->end == BW_LAB_UNANSWERED ||
        (client_answer->status == 503 &&
         strstr(client_answer->body, BW_WORDING_NO_DISPATCHER) != NULL);

    return class_spec->resend_ms > 0 && has_no_answer &&
           job->ended_us + (uint64_t)class_spec->resend_ms * 1000 <
               job_deadline_us(runner, job);
}

static void
on_request_end(void *ctx, BwClientRequest *request)
{
    BwLabRunner *runner = ctx;
    BwLabJob *job = request->data;
    BwClientAnswer client_answer;

    request->answer[request->answer_bytes] = '\0';
    BwClientAnswer_Parse(&client_answer, request->answer,
                         request->answer_bytes);
    job->end = classify_end(request, job, &client_answer);
    job->status = client_answer.status;
    job->ended_us = BwClock_Now();
    if (is_resent(runner, job, &client_answer)) {
        job->end = BW_LAB_OPEN;
        job->resend_us =
            job->ended_us +
            (uint64_t)runner->experiment->classes[job->job_class].resend_ms *
                1000;
        runner->resend_count++;
        return;
    }
    if (job->end != BW_LAB_COMPLETED && job->end != BW_LAB_GAVE_UP &&
        client_answer.body != NULL)
        job->reason = read_reason(client_answer.body);
}

/* Returns the time to the next arrival: uniform, 0.5 to 1.5 times the mean. */
static uint64_t
random_gap_us(BwLabRunner *runner, uint32_t rate_per_s)
{
    uint64_t mean_us = 1000000 / rate_per_s;

    return mean_us / 2 +
           BwEmulator_Random(&runner->seed, (uint32_t)mean_us + 1);
}

static void
send_due_jobs(BwLabRunner *runner, uint32_t job_class, uint64_t now_us)
{
    const BwLabClass *class_spec = &runner->experiment->classes[job_class];
    uint64_t from_us = runner->start_us + (uint64_t)class_spec->from_ms * 1000;
    uint64_t until_us =
        runner->start_us + (uint64_t)class_spec->until_ms * 1000;
    uint64_t *next_arrival_us = &runner->next_arrival_us[job_class];
    uint64_t *burst_us = &runner->next_burst_us[job_class];

    if (now_us < from_us || now_us >= until_us)
        return;
    if (*next_arrival_us < from_us)
        *next_arrival_us = *burst_us = from_us;
    while (class_spec->rate_per_s > 0 && *next_arrival_us <= now_us) {
        send_job(runner, job_class, now_us);
        *next_arrival_us += random_gap_us(runner, class_spec->rate_per_s);
    }
    if (class_spec->burst_jobs == 0 || *burst_us > now_us)
        return;
    for (uint32_t i = 0; i < class_spec->burst_jobs; i++)
        send_job(runner, job_class, now_us);
    *burst_us = class_spec->burst_every_ms > 0
                    ? *burst_us + (uint64_t)class_spec->burst_every_ms * 1000
                    : UINT64_MAX;
}

/* -------------------------------------------------------------- faults */

/* What the fleet does with processes of one role. */
typedef struct RoleOps {
    bool (*start)(BwFleet *fleet, uint32_t i);
    bool (*reload)(BwFleet *fleet, uint32_t i);
} RoleOps;

static const RoleOps dispatcher_ops = {BwFleet_StartDispatcher,
                                       BwFleet_ReloadDispatcher};
static const RoleOps supervisor_ops = {BwFleet_StartSupervisor,
                                       BwFleet_ReloadSupervisor};

static void
apply_to_process(BwLabRunner *runner, BwProcess *process, uint32_t i,
                 BwLabAction action, bool *is_old, const RoleOps *ops)
{
    switch (action) {
    case BW_LAB_KILL:
        BwProcess_Signal(process, SIGKILL);
        break;
    case BW_LAB_FREEZE:
        BwProcess_Signal(process, SIGSTOP);
        break;
    case BW_LAB_THAW:
        BwProcess_Signal(process, SIGCONT);
        break;
    case BW_LAB_STOP:
        BwProcess_Signal(process, SIGTERM);
        break;
    case BW_LAB_UPGRADE:
    case BW_LAB_DOWNGRADE:
        *is_old = action == BW_LAB_DOWNGRADE;
        BwProcess_Signal(process, SIGTERM);
        break;
    case BW_LAB_START:
        ops->start(&runner->fleet, i);
        break;
    case BW_LAB_RELOAD:
        ops->reload(&runner->fleet, i);
        break;
    default:
        break;
    }
}

static void
apply_to_daemons(BwLabRunner *runner, const BwLabFault *fault,
                 BwLabAction action)
{
    BwFleet *fleet = &runner->fleet;

    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        if (BwLabTarget_Matches(fault->target, "dispatcher", i))
            apply_to_process(runner, &fleet->dispatchers[i], i, action,
                             &fleet->is_old_dispatcher[i], &dispatcher_ops);
    }
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        if (BwLabTarget_Matches(fault->target, "supervisor", i))
            apply_to_process(runner, &fleet->supervisors[i], i, action,
                             &fleet->is_old_supervisor[i], &supervisor_ops);
    }
}

static void
send_control(BwLabRunner *runner, const BwLabFault *fault)
{
    const BwFleet *fleet = &runner->fleet;

    if (BwLabTarget_Matches(fault->target, "store", 0))
        BwFleet_Control(fleet->door_ports[0], fault->text);
    if (BwLabTarget_Matches(fault->target, "ingress", 0))
        BwFleet_Control(fleet->ingress_control_port, fault->text);
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        if (BwLabTarget_Matches(fault->target, "worker", i))
            BwFleet_Control(fleet->worker_ports[i], fault->text);
    }
}

static void
forbid_route(BwLabRunner *runner, const BwLabFault *fault)
{
    for (uint32_t i = 0; i < runner->experiment->class_count; i++) {
        if (strcmp(runner->experiment->classes[i].name, fault->target) == 0)
            runner->is_forbidden[i] = true;
    }
    configure(runner);
}

/* Returns whether the process has ended.  An end that is found here and not
   with exit code 0 counts as a crash; one by the runner's own SIGKILL was
   waited for when it was sent, and does not count. */
static bool
has_ended(BwLabRunner *runner, BwProcess *process)
{
    int code = 0;

    if (process->pid == 0)
        return true;
    if (!BwProcess_WaitEnd(process, 0, &code))
        return false;
    runner->crashes += code != 0;
    return true;
}

/* Returns whether all processes that the fault starts again have ended. */
static bool
have_targets_ended(BwLabRunner *runner, const BwLabFault *fault)
{
    BwFleet *fleet = &runner->fleet;
    bool have_ended = true;

    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        if (BwLabTarget_Matches(fault->target, "dispatcher", i))
            have_ended &= has_ended(runner, &fleet->dispatchers[i]);
    }
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        if (BwLabTarget_Matches(fault->target, "supervisor", i))
            have_ended &= has_ended(runner, &fleet->supervisors[i]);
    }
    return have_ended;
}

static void
inject_fault(BwLabRunner *runner, const BwLabFault *fault)
{
    BwLabInjectedFault *injected = &runner->injected[runner->injected_count++];

    injected->fault = fault;
    injected->at_us = BwClock_Now();
    if (fault->action == BW_LAB_TELL)
        send_control(runner, fault);
    else if (fault->action == BW_LAB_CONFIGURE)
        configure(runner);
    else if (fault->action == BW_LAB_FORBID)
        forbid_route(runner, fault);
    else
        apply_to_daemons(runner, fault, (BwLabAction)fault->action);
    if (fault->action == BW_LAB_UPGRADE || fault->action == BW_LAB_DOWNGRADE)
        runner->replacement = fault;
}

/* Starts the processes that the last fault replaces by another build, once
   those that it has stopped have ended.  Returns false until then. */
static bool
finish_replacement(BwLabRunner *runner)
{
    const BwLabFault *fault = runner->replacement;

    if (fault == NULL)
        return true;
    if (!have_targets_ended(runner, fault))
        return false;
    apply_to_daemons(runner, fault, BW_LAB_START);
    runner->replacement = NULL;
    return true;
}

/* Injects the faults that are due, in the order of the file.  A restart waits
   for the end of the previous process, and later faults wait with it. */
static void
inject_due_faults(BwLabRunner *runner, uint64_t now_us)
{
    const BwExperiment *experiment = runner->experiment;

    if (!finish_replacement(runner))
        return;
    while (runner->injected_count < experiment->fault_count) {
        const BwLabFault *fault = &experiment->faults[runner->injected_count];

        if (now_us < runner->start_us + (uint64_t)fault->at_ms * 1000 ||
            (fault->action == BW_LAB_START &&
             !have_targets_ended(runner, fault)))
            return;
        inject_fault(runner, fault);
        if (!finish_replacement(runner))
            return;
    }
}

/* ----------------------------------------------------------------- run */

static void
show_progress(const BwLabRunner *runner, FILE *progress, uint64_t now_us)
{
    uint64_t total_us = ((uint64_t)runner->experiment->duration_ms +
                         runner->experiment->settle_ms) *
                        1000;
    uint64_t elapsed_us = now_us - runner->start_us;

    if (progress == NULL)
        return;
    fprintf(progress, "\r%-28s %3llu%%  %u jobs, %u open, %u faults ",
            runner->experiment->name,
            (unsigned long long)(elapsed_us < total_us
                                     ? elapsed_us * 100 / total_us
                                     : 100),
            runner->job_count, runner->requests.count, runner->injected_count);
    fflush(progress);
}

/* Moves what is to come by the time that the loop was held up, so that the
   gaps between faults and arrivals stay: else they would all be due at once,
   and an outcome that rests on their order in time would be missed. */
static void
shift_schedule(BwLabRunner *runner, uint64_t held_us)
{
    runner->start_us += held_us;
    for (uint32_t i = 0; i < runner->experiment->class_count; i++) {
        runner->next_arrival_us[i] += held_us;
        runner->next_burst_us[i] += held_us;
    }
}

static void
run_traffic(BwLabRunner *runner, FILE *progress)
{
    const BwExperiment *experiment = runner->experiment;
    uint64_t last_progress_us = 0, now_us = BwClock_Now(), settled_us,
             iteration_us;

    runner->start_us = now_us;
    settled_us =
        now_us +
        ((uint64_t)experiment->duration_ms + experiment->settle_ms) * 1000;
    while (now_us < settled_us ||
           ((runner->requests.count > 0 || runner->resend_count > 0 ||
             runner->injected_count < experiment->fault_count ||
             runner->replacement != NULL) &&
            now_us < settled_us + END_TIMEOUT_US)) {
        for (uint32_t i = 0; i < experiment->class_count; i++)
            send_due_jobs(runner, i, now_us);
        resend_due_jobs(runner, now_us);
        inject_due_faults(runner, now_us);
        BwClientRequests_Poll(&runner->requests, REQUEST_POLL_MS);
        iteration_us = now_us;
        now_us = BwClock_Now();
        if (now_us - iteration_us > (uint64_t)runner->held_up_ms * 1000)
            runner->held_up_ms = (uint32_t)((now_us - iteration_us) / 1000);
        if (now_us - iteration_us > HELD_UP_US) {
            shift_schedule(runner, now_us - iteration_us);
            settled_us += now_us - iteration_us;
        }
        if (now_us - last_progress_us > PROGRESS_INTERVAL_US) {
            show_progress(runner, progress, now_us);
            last_progress_us = now_us;
        }
    }
    show_progress(runner, progress, now_us);
    if (progress != NULL)
        fprintf(progress, "\n");
    runner->end_us = now_us;
}

/* ------------------------------------------------------------- ledgers */

static json_t *
read_ledger(uint32_t port)
{
    BwBlockingReply reply;
    json_t *root = NULL;

    if (BwFleet_Request(port, "GET", "/ledger", "", CALL_TIMEOUT_US, &reply) ==
        200)
        root = json_loadb(reply.body, reply.body_bytes, 0, NULL);
    free(reply.body);
    return root;
}

/* Reads the ledgers once no task runs, or after IDLE_TIMEOUT_US. */
static bool
read_ledgers(BwLabRunner *runner)
{
    uint64_t give_up_us = BwClock_Now() + IDLE_TIMEOUT_US;
    json_int_t running = 1;

    while (running > 0) {
        running = 0;
        json_decref(runner->workers);
        runner->workers = json_array();
        for (uint32_t i = 0; i < runner->fleet.plan.workers; i++) {
            json_t *ledger = read_ledger(runner->fleet.worker_ports[i]);

            if (ledger == NULL)
                return fail(runner, "a worker did not return its ledger");
            running += json_integer_value(json_object_get(ledger, "running"));
            json_array_append_new(runner->workers, ledger);
        }
        if (BwClock_Now() > give_up_us)
            break;
        usleep(POLL_US);
    }
    runner->ingress = read_ledger(runner->fleet.ingress_control_port);
    return runner->ingress != NULL ||
           fail(runner, "the ingress did not return its ledger");
}

static void
find_crashes(BwLabRunner *runner)
{
    BwFleet *fleet = &runner->fleet;

    has_ended(runner, &fleet->store);
    has_ended(runner, &fleet->ingress);
    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++)
        has_ended(runner, &fleet->dispatchers[i]);
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        has_ended(runner, &fleet->supervisors[i]);
        has_ended(runner, &fleet->workers[i]);
    }
}

/* Returns the lowest number of usable workers at any running dispatcher. */
static uint32_t
min_usable_workers(const BwLabRunner *runner)
{
    const BwFleet *fleet = &runner->fleet;
    uint32_t least = UINT32_MAX;

    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        uint32_t usable;

        if (fleet->dispatchers[i].pid == 0)
            continue;
        usable = (uint32_t)BwFleet_ReadMetric(fleet->ready_ports[i],
                                              "brasswing_workers_usable");
        if (usable < least)
            least = usable;
    }
    return least == UINT32_MAX ? 0 : least;
}

/* Waits up to READY_TIMEOUT_US for the number of usable workers that an
   outcome expects, because a new process takes time to join. */
static void
wait_for_usable_workers(BwLabRunner *runner)
{
    const BwExperiment *experiment = runner->experiment;
    uint64_t give_up_us = BwClock_Now() + READY_TIMEOUT_US;
    uint32_t expected = 0;

    for (uint32_t i = 0; i < experiment->outcome_count; i++) {
        if (strcmp(experiment->outcomes[i].expect, "usable_workers") == 0)
            expected = experiment->outcomes[i].at_least;
    }
    while ((runner->usable_workers = min_usable_workers(runner)) < expected &&
           BwClock_Now() < give_up_us)
        usleep(POLL_US);
}

bool
BwLabRunner_Run(BwLabRunner *runner, const BwExperiment *experiment,
                const char *daemon, const char *lab, char *dir, FILE *progress)
{
    memset(runner, 0, sizeof(*runner));
    runner->experiment = experiment;
    runner->seed = experiment->seed;
    runner->injected =
        calloc(experiment->fault_count + 1, sizeof(BwLabInjectedFault));
    runner->next_arrival_us =
        calloc(experiment->class_count + 1, sizeof(uint64_t));
    runner->next_burst_us =
        calloc(experiment->class_count + 1, sizeof(uint64_t));
    runner->is_forbidden = calloc(experiment->class_count + 1, sizeof(bool));
    BwClientRequests_Init(&runner->requests, on_request_end, runner);
    if (runner->injected == NULL || runner->next_arrival_us == NULL ||
        runner->next_burst_us == NULL || runner->is_forbidden == NULL)
        return fail(runner, "out of memory");
    if (!start_fleet(runner, daemon, lab, dir))
        return false;
    run_traffic(runner, progress);
    find_crashes(runner);
    wait_for_usable_workers(runner);
    return read_ledgers(runner);
}

void
BwLabRunner_Finish(BwLabRunner *runner)
{
    BwClientRequests_Finish(&runner->requests);
    BwFleet_Finish(&runner->fleet);
    for (uint32_t i = 0; i < runner->job_count; i++) {
        free(runner->jobs[i]->reason);
        free(runner->jobs[i]);
    }
    free(runner->jobs);
    free(runner->injected);
    free(runner->next_arrival_us);
    free(runner->next_burst_us);
    free(runner->is_forbidden);
    json_decref(runner->workers);
    json_decref(runner->ingress);
}
