/* player.c -- runs an experiment and records what happened

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
#include "player.h"
#include "wording.h"

#define HOST "127.0.0.1"
#define SERVICE "tarif-engine"
#define READY_TIMEOUT_US 30000000
#define END_TIMEOUT_US 30000000
#define IDLE_TIMEOUT_US 4000000
#define POLL_US 20000
#define REQUEST_POLL_MS 5
#define PROGRESS_INTERVAL_US 200000
#define CALL_TIMEOUT_US 5000000
#define PLANNED_STOP_MS 4000
#define ANSWER_MARGIN_US 500000 /* a caller waits past its deadline */

static bool
fail(BwPlayer *player, const char *what)
{
    snprintf(player->fault, sizeof(player->fault), "%s; see %s", what,
             player->fleet.dir);
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
configure(BwPlayer *player)
{
    const BwExperiment *experiment = player->experiment;
    char *routes = NULL, *config, *text = NULL;
    size_t size;
    FILE *out = open_memstream(&routes, &size);
    bool is_first = true, is_accepted;

    if (out == NULL)
        return false;
    for (uint32_t i = 0; i < experiment->class_count; i++) {
        const BwLabClass *class_spec = &experiment->classes[i];

        if (!player->is_forbidden[i])
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
    config = BwWording_ConfigText(++player->version, routes);
    is_accepted =
        config != NULL && asprintf(&text, "{\"config\":%s}", config) > 0;
    is_accepted =
        is_accepted && BwFleet_Control(player->fleet.door_ports[0], text);
    free(routes);
    free(config);
    free(text);
    return is_accepted;
}

/* --------------------------------------------------------------- fleet */

static bool
wait_until_usable(BwPlayer *player)
{
    uint64_t give_up_us = BwClock_Now() + READY_TIMEOUT_US;
    const BwExperiment *experiment = player->experiment;

    if (experiment->is_configured && !configure(player))
        return fail(player, "the store refused the configuration");
    while (!BwFleet_HasWorkers(&player->fleet, experiment->fleet.workers) ||
           (experiment->is_configured &&
            !BwFleet_HasVersion(&player->fleet, player->version))) {
        if (BwClock_Now() > give_up_us)
            return fail(player, "not every dispatcher had all workers and the "
                                "configuration within 30 s");
        usleep(POLL_US);
    }
    /* The ingress checks readiness every 100 ms; it must have seen this. */
    usleep(10 * POLL_US);
    return true;
}

static bool
start_fleet(BwPlayer *player, const char *daemon, const char *lab, char *dir)
{
    const BwExperiment *experiment = player->experiment;
    BwFleetPlan plan = {
        .dispatchers = experiment->fleet.dispatchers,
        .workers = experiment->fleet.workers,
        .cpu = experiment->fleet.cpu,
        .mem = experiment->fleet.mem,
        .service = SERVICE,
        .daemon = daemon,
        .lab = lab,
        .seed = experiment->seed,
        .session_ms = 500,
        .worker_lease_ms = 400,
        .stop_ms = PLANNED_STOP_MS,
        .clock_permille = experiment->fleet.clock_permille,
        .has_ingress = true,
        .store = experiment->store,
    };

    if (!BwFleet_Init(&player->fleet, &plan, dir)) {
        snprintf(player->fault, sizeof(player->fault), "%s",
                 player->fleet.fault);
        return false;
    }
    return wait_until_usable(player);
}

/* ---------------------------------------------------------------- jobs */

static BwLabJob *
add_job(BwPlayer *player, uint32_t job_class)
{
    BwLabJob *job = calloc(1, sizeof(*job));

    if (player->job_count == player->job_room) {
        uint32_t capacity = player->job_room * 2 + 64;
        BwLabJob **grown = realloc(player->jobs, capacity * sizeof(*grown));

        if (grown == NULL || job == NULL) {
            free(job);
            return NULL;
        }
        player->jobs = grown;
        player->job_room = capacity;
    }
    if (job == NULL)
        return NULL;
    player->jobs[player->job_count++] = job;
    job->job_class = job_class;
    snprintf(job->name, sizeof(job->name), "%016x", player->job_count);
    return job;
}

static void
send_job(BwPlayer *player, uint32_t job_class, uint64_t now_us)
{
    const BwLabClass *class_spec = &player->experiment->classes[job_class];
    BwLabJob *job = add_job(player, job_class);
    uint64_t wait_us =
        (uint64_t)class_spec->deadline_ms * 1000 + ANSWER_MARGIN_US;
    uint32_t client = BwEmulator_Draw(&player->seed, class_spec->clients);
    char path[128], headers[64];
    char *body = BwWording_JobText(class_spec->tasks, class_spec->run_ms,
                                   class_spec->cpu, class_spec->mem,
                                   class_spec->spread);

    if (job == NULL || body == NULL) {
        free(body);
        return;
    }
    job->will_give_up =
        BwEmulator_Draw(&player->seed, 1000) < class_spec->give_up_permille;
    if (job->will_give_up)
        wait_us = (uint64_t)class_spec->give_up_ms * 1000;
    job->sent_us = now_us;
    snprintf(path, sizeof(path), "/%s/%s", class_spec->name, job->name);
    snprintf(headers, sizeof(headers), "%s: %u\r\n",
             BW_WORDING_DEADLINE_HEADER, class_spec->deadline_ms);
    if (!BwCalls_Start(&player->calls, player->fleet.ingress_port, client,
                       "POST", path, headers, body, now_us + wait_us, job)) {
        job->end = BW_LAB_UNANSWERED;
        job->ended_us = now_us;
    }
    free(body);
}

static BwLabEnd
classify_end(const BwCall *request, const BwLabJob *job,
             const BwAnswerHead *client_answer)
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

static void
on_request_end(void *ctx, BwCall *request)
{
    BwLabJob *job = request->data;
    BwAnswerHead client_answer;

    (void)ctx;
    request->answer[request->answer_bytes] = '\0';
    BwAnswerHead_Read(&client_answer, request->answer, request->answer_bytes);
    job->end = classify_end(request, job, &client_answer);
    job->status = client_answer.status;
    job->ended_us = BwClock_Now();
    if (job->end != BW_LAB_COMPLETED && job->end != BW_LAB_GAVE_UP &&
        client_answer.body != NULL)
        job->reason = read_reason(client_answer.body);
}

/* Returns the time to the next arrival: uniform, 0.5 to 1.5 times the mean. */
static uint64_t
random_gap_us(BwPlayer *player, uint32_t rate_per_s)
{
    uint64_t mean_us = 1000000 / rate_per_s;

    return mean_us / 2 + BwEmulator_Draw(&player->seed, (uint32_t)mean_us + 1);
}

static void
send_due_jobs(BwPlayer *player, uint32_t job_class, uint64_t now_us)
{
    const BwLabClass *class_spec = &player->experiment->classes[job_class];
    uint64_t from_us = player->start_us + (uint64_t)class_spec->from_ms * 1000;
    uint64_t until_us =
        player->start_us + (uint64_t)class_spec->until_ms * 1000;
    uint64_t *next_us = &player->next_us[job_class];
    uint64_t *burst_us = &player->next_burst_us[job_class];

    if (now_us < from_us || now_us >= until_us)
        return;
    if (*next_us < from_us)
        *next_us = *burst_us = from_us;
    while (class_spec->rate_per_s > 0 && *next_us <= now_us) {
        send_job(player, job_class, now_us);
        *next_us += random_gap_us(player, class_spec->rate_per_s);
    }
    if (class_spec->burst_jobs == 0 || *burst_us > now_us)
        return;
    for (uint32_t i = 0; i < class_spec->burst_jobs; i++)
        send_job(player, job_class, now_us);
    *burst_us = class_spec->burst_every_ms > 0
                    ? *burst_us + (uint64_t)class_spec->burst_every_ms * 1000
                    : UINT64_MAX;
}

/* -------------------------------------------------------------- faults */

typedef bool (*StartProcess)(BwFleet *fleet, uint32_t i);

static void
apply_to_process(BwPlayer *player, BwProcess *process, uint32_t i,
                 BwLabDeed deed, StartProcess start)
{
    switch (deed) {
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
    case BW_LAB_START:
        start(&player->fleet, i);
        break;
    default:
        break;
    }
}

static void
apply_to_daemons(BwPlayer *player, const BwLabFault *fault)
{
    BwFleet *fleet = &player->fleet;

    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        if (BwLabTarget_Matches(fault->target, "dispatcher", i))
            apply_to_process(player, &fleet->dispatchers[i], i,
                             (BwLabDeed)fault->deed, BwFleet_StartDispatcher);
    }
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        if (BwLabTarget_Matches(fault->target, "supervisor", i))
            apply_to_process(player, &fleet->supervisors[i], i,
                             (BwLabDeed)fault->deed, BwFleet_StartSupervisor);
    }
}

static void
send_control(BwPlayer *player, const BwLabFault *fault)
{
    const BwFleet *fleet = &player->fleet;

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
forbid_route(BwPlayer *player, const BwLabFault *fault)
{
    for (uint32_t i = 0; i < player->experiment->class_count; i++) {
        if (strcmp(player->experiment->classes[i].name, fault->target) == 0)
            player->is_forbidden[i] = true;
    }
    configure(player);
}

/* Returns whether the process has ended.  An end that is found here and not
   with exit code 0 counts as a crash; one by the runner's own SIGKILL was
   waited for when it was sent, and does not count. */
static bool
has_ended(BwPlayer *player, BwProcess *process)
{
    int code = 0;

    if (process->pid == 0)
        return true;
    if (!BwProcess_WaitEnd(process, 0, &code))
        return false;
    player->crashes += code != 0;
    return true;
}

/* Returns whether all processes that the fault starts again have ended. */
static bool
have_targets_ended(BwPlayer *player, const BwLabFault *fault)
{
    BwFleet *fleet = &player->fleet;
    bool have_ended = true;

    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        if (BwLabTarget_Matches(fault->target, "dispatcher", i))
            have_ended &= has_ended(player, &fleet->dispatchers[i]);
    }
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        if (BwLabTarget_Matches(fault->target, "supervisor", i))
            have_ended &= has_ended(player, &fleet->supervisors[i]);
    }
    return have_ended;
}

static void
inject_fault(BwPlayer *player, const BwLabFault *fault)
{
    BwLabDone *done = &player->done[player->done_count++];

    done->fault = fault;
    done->at_us = BwClock_Now();
    if (fault->deed == BW_LAB_TELL)
        send_control(player, fault);
    else if (fault->deed == BW_LAB_CONFIGURE)
        configure(player);
    else if (fault->deed == BW_LAB_FORBID)
        forbid_route(player, fault);
    else
        apply_to_daemons(player, fault);
}

/* Injects the faults that are due, in the order of the file.  A restart waits
   for the end of the previous process, and later faults wait with it. */
static void
inject_due_faults(BwPlayer *player, uint64_t now_us)
{
    const BwExperiment *experiment = player->experiment;

    while (player->done_count < experiment->fault_count) {
        const BwLabFault *fault = &experiment->faults[player->done_count];

        if (now_us < player->start_us + (uint64_t)fault->at_ms * 1000 ||
            (fault->deed == BW_LAB_START &&
             !have_targets_ended(player, fault)))
            return;
        inject_fault(player, fault);
    }
}

/* ----------------------------------------------------------------- run */

static void
show_progress(const BwPlayer *player, FILE *progress, uint64_t now_us)
{
    uint64_t total_us = ((uint64_t)player->experiment->duration_ms +
                         player->experiment->settle_ms) *
                        1000;
    uint64_t elapsed_us = now_us - player->start_us;

    if (progress == NULL)
        return;
    fprintf(progress, "\r%-28s %3llu%%  %u jobs, %u open, %u faults ",
            player->experiment->name,
            (unsigned long long)(elapsed_us < total_us
                                     ? elapsed_us * 100 / total_us
                                     : 100),
            player->job_count, player->calls.count, player->done_count);
    fflush(progress);
}

static void
run_traffic(BwPlayer *player, FILE *progress)
{
    const BwExperiment *experiment = player->experiment;
    uint64_t last_progress_us = 0, now_us = BwClock_Now(), settled_us,
             iteration_us;

    player->start_us = now_us;
    settled_us =
        now_us +
        ((uint64_t)experiment->duration_ms + experiment->settle_ms) * 1000;
    while (now_us < settled_us ||
           ((player->calls.count > 0 ||
             player->done_count < experiment->fault_count) &&
            now_us < settled_us + END_TIMEOUT_US)) {
        for (uint32_t i = 0; i < experiment->class_count; i++)
            send_due_jobs(player, i, now_us);
        inject_due_faults(player, now_us);
        BwCalls_Run(&player->calls, REQUEST_POLL_MS);
        iteration_us = now_us;
        now_us = BwClock_Now();
        if (now_us - iteration_us > (uint64_t)player->held_up_ms * 1000)
            player->held_up_ms = (uint32_t)((now_us - iteration_us) / 1000);
        if (now_us - last_progress_us > PROGRESS_INTERVAL_US) {
            show_progress(player, progress, now_us);
            last_progress_us = now_us;
        }
    }
    show_progress(player, progress, now_us);
    if (progress != NULL)
        fprintf(progress, "\n");
    player->end_us = now_us;
}

/* ------------------------------------------------------------- ledgers */

static json_t *
read_ledger(uint32_t port)
{
    BwCallReply reply;
    json_t *root = NULL;

    if (BwFleet_Call(port, "GET", "/ledger", "", CALL_TIMEOUT_US, &reply) ==
        200)
        root = json_loadb(reply.body, reply.body_bytes, 0, NULL);
    free(reply.body);
    return root;
}

/* Reads the ledgers once no task runs, or after IDLE_TIMEOUT_US. */
static bool
read_ledgers(BwPlayer *player)
{
    uint64_t give_up_us = BwClock_Now() + IDLE_TIMEOUT_US;
    json_int_t running = 1;

    while (running > 0) {
        running = 0;
        json_decref(player->workers);
        player->workers = json_array();
        for (uint32_t i = 0; i < player->fleet.plan.workers; i++) {
            json_t *ledger = read_ledger(player->fleet.worker_ports[i]);

            if (ledger == NULL)
                return fail(player, "a worker did not return its ledger");
            running += json_integer_value(json_object_get(ledger, "running"));
            json_array_append_new(player->workers, ledger);
        }
        if (BwClock_Now() > give_up_us)
            break;
        usleep(POLL_US);
    }
    player->ingress = read_ledger(player->fleet.ingress_control_port);
    return player->ingress != NULL ||
           fail(player, "the ingress did not return its ledger");
}

static void
find_crashes(BwPlayer *player)
{
    BwFleet *fleet = &player->fleet;

    has_ended(player, &fleet->store);
    has_ended(player, &fleet->ingress);
    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++)
        has_ended(player, &fleet->dispatchers[i]);
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        has_ended(player, &fleet->supervisors[i]);
        has_ended(player, &fleet->workers[i]);
    }
}

/* Returns the lowest number of usable workers at any running dispatcher. */
static uint32_t
min_usable_workers(const BwPlayer *player)
{
    const BwFleet *fleet = &player->fleet;
    uint32_t least = UINT32_MAX;

    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        uint32_t usable;

        if (fleet->dispatchers[i].pid == 0)
            continue;
        usable = (uint32_t)BwFleet_Counter(fleet->ready_ports[i],
                                           "brasswing_workers_usable");
        if (usable < least)
            least = usable;
    }
    return least == UINT32_MAX ? 0 : least;
}

/* Waits up to READY_TIMEOUT_US for the number of usable workers that an
   outcome expects, because a process that was just started needs time to join.
 */
static void
wait_for_usable_workers(BwPlayer *player)
{
    const BwExperiment *experiment = player->experiment;
    uint64_t give_up_us = BwClock_Now() + READY_TIMEOUT_US;
    uint32_t expected = 0;

    for (uint32_t i = 0; i < experiment->outcome_count; i++) {
        if (strcmp(experiment->outcomes[i].expect, "usable_workers") == 0)
            expected = experiment->outcomes[i].at_least;
    }
    while ((player->usable_workers = min_usable_workers(player)) < expected &&
           BwClock_Now() < give_up_us)
        usleep(POLL_US);
}

bool
BwPlayer_Run(BwPlayer *player, const BwExperiment *experiment,
             const char *daemon, const char *lab, char *dir, FILE *progress)
{
    memset(player, 0, sizeof(*player));
    player->experiment = experiment;
    player->seed = experiment->seed;
    player->done = calloc(experiment->fault_count + 1, sizeof(BwLabDone));
    player->next_us = calloc(experiment->class_count + 1, sizeof(uint64_t));
    player->next_burst_us =
        calloc(experiment->class_count + 1, sizeof(uint64_t));
    player->is_forbidden = calloc(experiment->class_count + 1, sizeof(bool));
    BwCalls_Init(&player->calls, on_request_end, player);
    if (player->done == NULL || player->next_us == NULL ||
        player->next_burst_us == NULL || player->is_forbidden == NULL)
        return fail(player, "out of memory");
    if (!start_fleet(player, daemon, lab, dir))
        return false;
    run_traffic(player, progress);
    find_crashes(player);
    wait_for_usable_workers(player);
    return read_ledgers(player);
}

void
BwPlayer_Finish(BwPlayer *player)
{
    BwCalls_Finish(&player->calls);
    BwFleet_Finish(&player->fleet);
    for (uint32_t i = 0; i < player->job_count; i++) {
        free(player->jobs[i]->reason);
        free(player->jobs[i]);
    }
    free(player->jobs);
    free(player->done);
    free(player->next_us);
    free(player->next_burst_us);
    free(player->is_forbidden);
    json_decref(player->workers);
    json_decref(player->ingress);
}
