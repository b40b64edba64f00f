/* test_bound.c -- bound jobs through real processes

   Dispatchers, supervisors, emulated workers and an emulated store each run as
   a process of their own.  The workers can pause all tasks, so a test brings
   about a state and waits for it and does not depend on timing.  After each
   test no task may run, none may have run twice at the same time, and no
   worker's resources may ever have been exceeded.
*/

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "boundfleet.h"
#include "clock.h"
#include "wording.h"

#define WAIT_US 30000000
#define LONG_TARGET_MS 20000
#define CALLS 24
/* Heartbeats of 1 MB, whose numbers take 16 MB when they are read. */
#define ODD_NUMBERS 500000
#define ODD_HEARTBEATS 12
#define ODD_GROWTH_MAX_KB 32768 /* what a host gives a process */
#ifdef BOUND_SANITIZED
#define IS_SANITIZED true
#else
#define IS_SANITIZED false
#endif
#define UNKNOWN_CANCELS 3000
#define CLOSED_PORT 1 /* nobody listens there */

static BoundFleet fleet;
static bool is_up;
static uint32_t revision;
static uint32_t next_job;

/* ------------------------------------------------------------- helpers */

/* The name of a job, as it stands in the workers' ledgers, and the path of its
   requests. */
typedef struct Job {
    char name[20];
    char path[40];
} Job;

static void
name_job(Job *job, const char *route)
{
    snprintf(job->name, sizeof(job->name), "%016x", ++next_job);
    snprintf(job->path, sizeof(job->path), "/%.16s/%.16s", route, job->name);
}

static char *
make_routes(bool has_added)
{
    char *checks = BwWording_RouteText("checks", "127.0.0.1", BOUND_SERVICE,
                                       LONG_TARGET_MS);
    char *tight = BwWording_RouteText("tight", "127.0.0.1", BOUND_SERVICE, 1);
    char *other = BwWording_RouteText("other", "other.example", BOUND_SERVICE,
                                      LONG_TARGET_MS);
    char *added = BwWording_RouteText("added", "127.0.0.1", BOUND_SERVICE,
                                      LONG_TARGET_MS);
    char *routes =
        g_strjoin(",", checks, tight, other, has_added ? added : NULL, NULL);

    g_free(checks);
    g_free(tight);
    g_free(other);
    g_free(added);
    return routes;
}

/* Writes a configuration with this revision number to the store.  Returns the
   number. */
static uint32_t
configure(uint32_t number, bool has_added)
{
    char *routes = make_routes(has_added);
    char *text = BwWording_ConfigText(number, routes);

    BoundFleet_Configure(&fleet, text);
    g_free(text);
    g_free(routes);
    return number;
}

static void
wait_revision(void)
{
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        BoundFleet_WaitRevision(&fleet, i, revision);
}

/* Starts the fleet and puts a configuration into force, each once for all
   tests, and resumes the workers. */
static void
set_up(void)
{
    if (!is_up) {
        BoundFleet_Init(&fleet);
        is_up = true;
    }
    if (revision == 0) {
        revision = configure(5, false);
        wait_revision();
    }
    BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":false}");
}

static void
check_invariants(void)
{
    BoundCount count;

    BoundFleet_WaitRunning(&fleet, "", 0);
    BoundFleet_Count(&fleet, "", &count);
    g_assert_cmpuint(count.overlaps, ==, 0);
    g_assert_cmpuint(count.overfull, ==, 0);
}

static void
start_job_spread(BoundCall *call, uint32_t dispatcher, const Job *job,
                 uint32_t tasks, uint32_t run_ms, uint32_t spread)
{
    char *text = BwWording_JobText(tasks, run_ms, 1000, 1000, spread, false);

    BoundCall_Start(call, fleet.http_ports[dispatcher], "POST", job->path, "",
                    text);
    g_free(text);
}

static void
start_job(BoundCall *call, uint32_t dispatcher, const Job *job, uint32_t tasks,
          uint32_t run_ms)
{
    start_job_spread(call, dispatcher, job, tasks, run_ms, 0);
}

static void
expect_completed(BoundCall *call)
{
    BoundCall_Wait(call);
    g_assert_cmpuint(call->status, ==, 200);
    g_assert_true(call->is_complete);
    g_assert_nonnull(strstr(call->body, BW_WORDING_COMPLETED));
    BoundCall_Clear(call);
}

static void
expect_status(uint32_t dispatcher, const char *method, const char *path,
              uint32_t status)
{
    BoundCall call;

    BoundCall_Run(&call, fleet.http_ports[dispatcher], method, path, "", "");
    g_assert_cmpuint(call.status, ==, status);
    BoundCall_Clear(&call);
}

static void
complete_job(uint32_t dispatcher, uint32_t tasks)
{
    BoundCall call;
    BoundCount count;
    Job job;

    name_job(&job, "checks");
    start_job(&call, dispatcher, &job, tasks, 20);
    expect_completed(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.done, ==, tasks);
}

/* Pauses all workers, starts a job and waits until all of its tasks run.  A
   refused job is sent again, as callers do: a session may just have lapsed. */
static void
start_paused(BoundCall *call, uint32_t dispatcher, Job *job, uint32_t tasks)
{
    BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":true}");
    do {
        name_job(job, "checks");
        start_job(call, dispatcher, job, tasks, 50);
    } while (!BoundCall_WaitRunning(call, &fleet, job->name, tasks));
}

/* Does the same with a job that fills every worker. */
static void
start_full(BoundCall *call, uint32_t dispatcher, Job *job)
{
    BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":true}");
    do {
        name_job(job, "checks");
        start_job_spread(call, dispatcher, job, 16, 50, 4);
    } while (!BoundCall_WaitRunning(call, &fleet, job->name, 16));
}

static void
resume_workers(void)
{
    BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":false}");
}

/* Kills and starts every supervisor, so that the dispatchers prefer no worker
   because of earlier tests. */
static void
restart_supervisors(void)
{
    for (uint32_t i = 0; i < BOUND_WORKERS; i++)
        Fleet_Signal(&fleet.supervisors[i], SIGKILL);
    BoundFleet_WaitWorkers(&fleet, 0);
    for (uint32_t i = 0; i < BOUND_WORKERS; i++)
        BoundFleet_StartSupervisor(&fleet, i);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
}

static void
wait_door_calls(uint32_t door, uint64_t calls)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;

    while (BoundFleet_DoorCalls(&fleet, door) < calls) {
        g_assert_cmpuint(BwClock_Now(), <, give_up_us);
        g_usleep(10000);
    }
}

/* ------------------------------------------------------- configuration */

static void
test_no_configuration(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    BoundFleet_Init(&fleet);
    is_up = true;
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        name_job(&job, "checks");
        BoundFleet_WaitReady(&fleet, i, 503);
        start_job(&call, i, &job, 1, 20);
        BoundCall_Wait(&call);
        g_assert_cmpuint(call.status, ==, 503);
        g_assert_cmpuint(call.retry_after_s, >, 0);
        BoundCall_Clear(&call);
    }
    revision = configure(5, false);
    wait_revision();
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        BoundFleet_WaitReady(&fleet, i, 200);
    BoundFleet_Count(&fleet, "", &count);
    g_assert_cmpuint(count.starts, ==, 0);
}

static void
test_either_dispatcher(void)
{
    set_up();
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        complete_job(i, 1);
        complete_job(i, 16);
        complete_job(i, 40);
    }
    check_invariants();
}

static void
test_chain(void)
{
    char *text = BwWording_TwoStepJobText(30, 1000);
    BoundCall call;
    BoundCount first, second;
    Job job;
    char prefix[40];

    set_up();
    name_job(&job, "checks");
    BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":true}");
    BoundCall_Start(&call, fleet.http_ports[0], "POST", job.path, "", text);
    BoundFleet_WaitRunning(&fleet, job.name, 1);
    snprintf(prefix, sizeof(prefix), "%s.0.0.", job.name);
    BoundFleet_Count(&fleet, prefix, &first);
    g_assert_cmpuint(first.running, ==, 1);
    resume_workers();
    expect_completed(&call);
    snprintf(prefix, sizeof(prefix), "%s.0.1.", job.name);
    BoundFleet_Count(&fleet, prefix, &second);
    g_assert_cmpuint(second.done, ==, 1);
    check_invariants();
    g_free(text);
}

static void
test_wrong_host(void)
{
    set_up();
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        expect_status(i, "POST", "/other/00000000000000ff", 404);
        expect_status(i, "POST", "/nowhere/00000000000000ff", 404);
        expect_status(i, "GET", "/checks/00000000000000ff", 410);
        expect_status(i, "GET", "/checks/", 200);
    }
}

static void
test_change(void)
{
    set_up();
    revision = configure(revision + 3, true);
    wait_revision();
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        expect_status(i, "GET", "/added/", 200);
    revision = configure(revision + 1, false);
    wait_revision();
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        expect_status(i, "GET", "/added/", 404);
}

/* The store fails for one dispatcher, in each fault mode, and the other
   dispatcher sends it the configuration. */
static void
test_change_from_peer(void)
{
    static const char *const modes[] = {"refuse", "down", "silent", "lost"};

    set_up();
    for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
        uint32_t refused_dispatcher = i % BOUND_DISPATCHERS;

        BoundFleet_SetDoor(&fleet, 1 + (int)refused_dispatcher, modes[i]);
        revision = configure(revision + 2, i % 2 == 0);
        wait_revision();
        expect_status(refused_dispatcher, "GET", "/added/",
                      i % 2 == 0 ? 200 : 404);
        BoundFleet_SetDoor(&fleet, -1, "ok");
    }
    complete_job(0, 4);
    complete_job(1, 4);
}

/* An older configuration that is written later does not replace a newer one,
   also not at a dispatcher that restarts. */
static void
test_never_back(void)
{
    uint64_t calls[BOUND_DISPATCHERS];

    set_up();
    revision = configure(revision + 2, true);
    wait_revision();
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        calls[i] = BoundFleet_DoorCalls(&fleet, 1 + i);
    configure(revision - 1, false);
    /* A dispatcher has read the older one when it calls the store again. */
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        wait_door_calls(1 + i, calls[i] + 1);
        BoundFleet_WaitRevision(&fleet, i, revision);
        expect_status(i, "GET", "/added/", 200);
    }
    /* A dispatcher that starts reads the older one from the store and is sent
       the newer one by the other dispatcher. */
    Fleet_Signal(&fleet.dispatchers[1], SIGKILL);
    BoundFleet_StartDispatcher(&fleet, 1);
    BoundFleet_WaitRevision(&fleet, 1, revision);
    BoundFleet_WaitRevision(&fleet, 0, revision);
    expect_status(1, "GET", "/added/", 200);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    revision = configure(revision + 1, false);
    wait_revision();
}

/* Records of the store expire before the dispatchers, for which it was down,
   have read them. */
static void
test_forgotten_history(void)
{
    set_up();
    BoundFleet_SetDoor(&fleet, -1, "down");
    configure(revision + 1, false);
    revision = configure(revision + 2, true);
    BoundFleet_ExpireRecords(&fleet);
    BoundFleet_SetDoor(&fleet, -1, "ok");
    wait_revision();
    revision = configure(revision + 1, false);
    wait_revision();
    complete_job(0, 2);
}

/* ----------------------------------------------------------- failures */

/* The tasks of a killed dispatcher are stopped, and the job runs through the
   other dispatcher. */
static void
test_dispatcher_killed(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    start_paused(&call, 0, &job, 8);
    Fleet_Signal(&fleet.dispatchers[0], SIGKILL);
    BoundCall_Wait(&call);
    g_assert_false(call.is_complete);
    BoundCall_Clear(&call);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.done, ==, 0);
    g_assert_cmpuint(count.starts, ==, 8);
    resume_workers();
    start_job(&call, 1, &job, 8, 20);
    expect_completed(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.done, ==, 8);
    check_invariants();
    BoundFleet_StartDispatcher(&fleet, 0);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_WaitRevision(&fleet, 0, revision);
    complete_job(0, 16);
    check_invariants();
}

/* None of the dispatchers that the settings of a supervisor name answers; it
   finds the others by the store. */
static void
test_seeds_gone(void)
{
    uint32_t ports[BOUND_DISPATCHERS];

    set_up();
    Fleet_Signal(&fleet.supervisors[0], SIGKILL);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS - 1);
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        ports[i] = fleet.peer_ports[i];
        fleet.peer_ports[i] = CLOSED_PORT;
    }
    BoundFleet_StartSupervisor(&fleet, 0);
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        fleet.peer_ports[i] = ports[i];
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    complete_job(0, 16);
    check_invariants();
}

static void
test_supervisor_killed(void)
{
    BoundCall call;
    BoundCount count;
    Job job;
    uint32_t victim;

    set_up();
    start_paused(&call, 0, &job, 8);
    victim = BoundFleet_FindBusy(&fleet, job.name);
    Fleet_Signal(&fleet.supervisors[victim], SIGKILL);
    /* The worker's lease lapses and ends its tasks, which start elsewhere. */
    BoundFleet_WaitLost(&fleet, job.name);
    resume_workers();
    expect_completed(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.done, ==, 8);
    g_assert_cmpuint(count.starts, >, 8);
    check_invariants();
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS - 1);
    complete_job(1, 16);
    BoundFleet_StartSupervisor(&fleet, victim);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    complete_job(0, 16);
    complete_job(1, 16);
    check_invariants();
}

/* The tasks of a frozen dispatcher end.  When it is resumed while the other
   dispatcher runs the job, it starts none of them again. */
static void
test_dispatcher_frozen(void)
{
    BoundCall calls[2];
    BoundCount count;
    Job job;

    set_up();
    start_paused(&calls[0], 0, &job, 8);
    Fleet_Signal(&fleet.dispatchers[0], SIGSTOP);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    BoundCall_Abandon(&calls[0]);
    BoundCall_Clear(&calls[0]);
    start_job(&calls[1], 1, &job, 8, 50);
    BoundFleet_WaitRunning(&fleet, job.name, 8);
    Fleet_Signal(&fleet.dispatchers[0], SIGCONT);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_WaitReady(&fleet, 0, 200);
    resume_workers();
    expect_completed(&calls[1]);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 16);
    g_assert_cmpuint(count.done, ==, 8);
    complete_job(0, 8);
    check_invariants();
}

/* Tasks that wait in the queue of a frozen supervisor are placed elsewhere,
   and it starts none of them when it is resumed. */
static void
test_supervisor_frozen(void)
{
    BoundCall calls[2];
    BoundCount count;
    Job jobs[2];

    set_up();
    restart_supervisors();
    start_paused(&calls[0], 0, &jobs[0], 16);
    name_job(&jobs[1], "checks");
    start_job(&calls[1], 1, &jobs[1], 16, 20);
    BoundFleet_WaitOutput(&fleet.dispatchers[1], jobs[1].name, 1);
    Fleet_Signal(&fleet.supervisors[2], SIGSTOP);
    BoundFleet_WaitLost(&fleet, jobs[0].name);
    resume_workers();
    expect_completed(&calls[1]);
    Fleet_Signal(&fleet.supervisors[2], SIGCONT);
    expect_completed(&calls[0]);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    for (uint32_t i = 0; i < 2; i++) {
        BoundFleet_WaitRunning(&fleet, jobs[i].name, 0);
        BoundFleet_Count(&fleet, jobs[i].name, &count);
        g_assert_cmpuint(count.done, ==, 16);
    }
    complete_job(0, 16);
    check_invariants();
}

/* A supervisor that restarts at once accepts no task before the tasks that its
   previous process left on the worker have ended. */
static void
test_supervisor_restarted(void)
{
    BoundCall call;
    Job job;
    uint32_t victim;

    set_up();
    start_paused(&call, 1, &job, 8);
    victim = BoundFleet_FindBusy(&fleet, job.name);
    Fleet_Signal(&fleet.supervisors[victim], SIGKILL);
    BoundFleet_StartSupervisor(&fleet, victim);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    resume_workers();
    expect_completed(&call);
    check_invariants();
    complete_job(0, 16);
    check_invariants();
}

static void
test_worker_crashed(void)
{
    BoundCall call;
    BoundCount count;
    Job job;
    uint32_t victim;

    set_up();
    start_paused(&call, 0, &job, 8);
    victim = BoundFleet_FindBusy(&fleet, job.name);
    BoundFleet_ControlWorkers(&fleet, (int)victim, "{\"crash\":true}");
    BoundFleet_ControlWorkers(&fleet, (int)victim, "{\"revive\":true}");
    resume_workers();
    expect_completed(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.done, ==, 8);
    g_assert_cmpuint(count.other, >=, 1);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    complete_job(1, 16);
    check_invariants();
}

static void
test_worker_silent(void)
{
    BoundCall call;
    Job job;
    int victim;

    set_up();
    start_paused(&call, 1, &job, 8);
    victim = (int)BoundFleet_FindBusy(&fleet, job.name);
    BoundFleet_ControlWorkers(&fleet, victim, "{\"silent\":true}");
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS - 1);
    resume_workers();
    expect_completed(&call);
    complete_job(0, 12);
    BoundFleet_ControlWorkers(&fleet, victim, "{\"silent\":false}");
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    complete_job(0, 16);
    check_invariants();
}

/* Returns how many tasks the supervisors have ordered to stop. */
static uint32_t
count_stop_orders(void)
{
    uint64_t count = 0;

    for (uint32_t i = 0; i < BOUND_WORKERS; i++)
        count += Fleet_ReadMetric(fleet.supervisor_ports[i],
                                  "brasswing_stopped_total");
    return (uint32_t)count;
}

/* Every task is ordered to stop, and none is done.  A worker that gets no
   processor time until its lease has run out ends them by the lease. */
static void
test_caller_gone(void)
{
    BoundCall call;
    BoundCount count;
    Job job;
    uint32_t before;

    set_up();
    start_paused(&call, 0, &job, 8);
    before = count_stop_orders();
    BoundCall_Abandon(&call);
    BoundCall_Clear(&call);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 8);
    g_assert_cmpuint(count.stopped + count.other, ==, 8);
    g_assert_cmpuint(count.done, ==, 0);
    g_assert_cmpuint(count_stop_orders() - before, ==, 8);
    expect_status(0, "GET", job.path, 410);
    check_invariants();
}

/* Many callers disconnect at once; all resources must be freed. */
static void
test_callers_gone(void)
{
    BoundCall calls[CALLS];
    BoundCount count;
    Job job;

    set_up();
    BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":true}");
    for (uint32_t i = 0; i < CALLS; i++) {
        name_job(&job, "checks");
        start_job(&calls[i], i % BOUND_DISPATCHERS, &job, 2, 20);
    }
    BoundFleet_WaitRunning(&fleet, "", BOUND_WORKERS * BOUND_CPU / 1000);
    for (uint32_t i = 0; i < CALLS; i++) {
        BoundCall_Abandon(&calls[i]);
        BoundCall_Clear(&calls[i]);
    }
    BoundFleet_WaitRunning(&fleet, "", 0);
    resume_workers();
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        name_job(&job, "checks");
        BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":true}");
        start_job_spread(&calls[i], i, &job, 16, 20, 4);
        BoundFleet_WaitRunning(&fleet, job.name, 16);
        resume_workers();
        expect_completed(&calls[i]);
        BoundFleet_Count(&fleet, job.name, &count);
        g_assert_cmpuint(count.starts, ==, 16);
    }
    check_invariants();
}

static void
test_same_connection(void)
{
    char *text = BwWording_JobText(4, 20, 1000, 1000, 0, false);
    BwSpan body = {text, (uint32_t)strlen(text)};
    BwBlockingReply reply;
    BwBlockingClient caller;
    Job job;

    set_up();
    g_assert_true(BwBlockingClient_Init(&caller, "127.0.0.1",
                                        (uint16_t)fleet.http_ports[0]));
    for (uint32_t i = 0; i < 5; i++) {
        name_job(&job, "checks");
        g_assert_cmpuint(BwBlockingClient_Request(&caller, "POST", job.path,
                                                  "", body, WAIT_US, &reply),
                         ==, 200);
        g_assert_nonnull(strstr(reply.body, BW_WORDING_COMPLETED));
        free(reply.body);
    }
    BwBlockingClient_Finish(&caller);
    check_invariants();
    g_free(text);
}

/* A job is refused while a job of the same name runs. */
static void
test_twin(void)
{
    char *text = BwWording_JobText(4, 20, 1000, 1000, 0, false);
    BoundCall call, duplicate;
    BoundCount count;
    Job job;

    set_up();
    start_paused(&call, 0, &job, 4);
    BoundCall_Run(&duplicate, fleet.http_ports[0], "POST", job.path, "", text);
    g_assert_true(duplicate.status == 429 || duplicate.status == 503);
    BoundCall_Clear(&duplicate);
    resume_workers();
    expect_completed(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 4);
    check_invariants();
    g_free(text);
}

static void
test_cancelled(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    start_paused(&call, 1, &job, 8);
    expect_status(1, "GET", job.path, 200);
    expect_status(1, "DELETE", job.path, 200);
    BoundCall_Wait(&call);
    g_assert_cmpuint(call.status, ==, 200);
    g_assert_nonnull(strstr(call.body, BW_WORDING_CANCELLED));
    BoundCall_Clear(&call);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.stopped, ==, 8);
    expect_status(1, "DELETE", job.path, 410);
    check_invariants();
}

/* Callers of another queue were shown the job under its ID, and their DELETE
   cancelled it. */
static void
test_other_queue(void)
{
    char *path;
    BoundCall call;
    Job job;

    set_up();
    start_paused(&call, 1, &job, 8);
    path = g_strdup_printf("/tight/%s", job.name);
    expect_status(1, "GET", path, 410);
    expect_status(1, "DELETE", path, 410);
    expect_status(1, "GET", job.path, 200);
    resume_workers();
    expect_completed(&call);
    g_free(path);
    check_invariants();
}

static void
expect_exit(FleetProcess *process)
{
    int code = -1;

    g_assert_true(Fleet_WaitEnd(process, WAIT_US, &code));
    g_assert_cmpint(code, ==, 0);
}

/* ------------------------------------- cancels, and requests that come again
 */

static void
expect_cancelled(BoundCall *call)
{
    BoundCall_Wait(call);
    g_assert_cmpuint(call->status, ==, 200);
    g_assert_nonnull(strstr(call->body, BW_WORDING_CANCELLED));
    BoundCall_Clear(call);
}

/* A DELETE at another dispatcher than the job's was answered 410, and the job
   went on. */
static void
test_cancelled_elsewhere(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    start_paused(&call, 0, &job, 8);
    expect_status(1, "DELETE", job.path, 200);
    expect_cancelled(&call);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.stopped, ==, 8);
    check_invariants();
}

/* A request that came again after its job was cancelled started the job anew,
   at either dispatcher. */
static void
test_cancelled_stays(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    start_paused(&call, 0, &job, 8);
    expect_status(0, "DELETE", job.path, 200);
    expect_cancelled(&call);
    resume_workers();
    for (uint32_t i = 0; i < 4; i++) {
        start_job(&call, i % 2, &job, 8, 20);
        expect_cancelled(&call);
    }
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 8);
    check_invariants();
}

/* A request that came again after its job was done ran the job twice. */
static void
test_done_stays(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    name_job(&job, "checks");
    for (uint32_t i = 0; i < 3; i++) {
        start_job(&call, 0, &job, 8, 20);
        expect_completed(&call);
    }
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 8);
    check_invariants();
}

/* Nobody has the job.  Too many such calls are refused for a while, and then
   answered again. */
static void
test_cancel_unknown(void)
{
    uint32_t refused = 0;
    Job job;

    set_up();
    for (uint32_t i = 0; i < UNKNOWN_CANCELS; i++) {
        BoundCall call;

        name_job(&job, "checks");
        BoundCall_Run(&call, fleet.http_ports[0], "DELETE", job.path, "", "");
        if (call.status == 429)
            refused++;
        else
            g_assert_cmpuint(call.status, ==, 410);
        BoundCall_Clear(&call);
    }
    g_assert_cmpuint(refused, <, UNKNOWN_CANCELS);
    complete_job(0, 8);
}

/* The job's dispatcher leaves, and DELETE reaches another one. */
static void
test_cancel_while_leaving(void)
{
    BoundCall call;
    Job job;

    set_up();
    start_paused(&call, 0, &job, 8);
    Fleet_Signal(&fleet.dispatchers[0], SIGTERM);
    expect_status(1, "DELETE", job.path, 200);
    expect_cancelled(&call);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    expect_exit(&fleet.dispatchers[0]);
    BoundFleet_StartDispatcher(&fleet, 0);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_WaitRevision(&fleet, 0, revision);
    check_invariants();
}

/* The job's dispatcher is frozen.  DELETE is answered all the same, and when
   it goes on none of the job's tasks starts. */
static void
test_cancel_while_frozen(void)
{
    BoundCall call;
    BoundCount before, after;
    Job job;

    set_up();
    start_paused(&call, 0, &job, 8);
    Fleet_Signal(&fleet.dispatchers[0], SIGSTOP);
    expect_status(1, "DELETE", job.path, 410);
    BoundFleet_Count(&fleet, job.name, &before);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    Fleet_Signal(&fleet.dispatchers[0], SIGCONT);
    BoundCall_Wait(&call);
    BoundCall_Clear(&call);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_Count(&fleet, job.name, &after);
    g_assert_cmpuint(after.starts, ==, before.starts);
    resume_workers();
    complete_job(0, 8);
    check_invariants();
}

/* The job's dispatcher is killed with its tasks running. */
static void
test_cancel_while_killed(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    start_paused(&call, 0, &job, 8);
    Fleet_Signal(&fleet.dispatchers[0], SIGKILL);
    expect_status(1, "DELETE", job.path, 410);
    BoundCall_Wait(&call);
    BoundCall_Clear(&call);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 8);
    BoundFleet_StartDispatcher(&fleet, 0);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_WaitRevision(&fleet, 0, revision);
    check_invariants();
}

static void
test_deadline(void)
{
    char *text = BwWording_JobText(4, 50, 1000, 1000, 0, false);
    BoundCall call;
    Job job;

    set_up();
    BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":true}");
    name_job(&job, "checks");
    BoundCall_Run(&call, fleet.http_ports[0], "POST", job.path,
                  BW_WORDING_DEADLINE_HEADER ": 1000\r\n", text);
    g_assert_true(call.is_complete);
    BoundCall_Clear(&call);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    check_invariants();
    g_free(text);
}

/* The deadline is 2^64 + 384 microseconds.  Without a check for overflow it
   would wrap around to 384 microseconds. */
static void
test_deadline_too_far(void)
{
    char *text = BwWording_JobText(4, 20, 1000, 1000, 0, false);
    BoundCall call;
    Job job;

    set_up();
    name_job(&job, "checks");
    BoundCall_Start(&call, fleet.http_ports[0], "POST", job.path,
                    BW_WORDING_DEADLINE_HEADER ": 18446744073709552\r\n",
                    text);
    expect_completed(&call);
    g_free(text);
}

/* ------------------------------------------------------- planned stops */

static void
test_dispatcher_stopped(void)
{
    BoundCall calls[CALLS];
    Job jobs[CALLS];
    uint32_t completed = 0;

    set_up();
    for (uint32_t i = 0; i < CALLS; i++) {
        name_job(&jobs[i], "checks");
        start_job(&calls[i], 0, &jobs[i], 4, 100);
        if (i == CALLS / 2) {
            BoundFleet_WaitOutput(&fleet.dispatchers[0], jobs[0].name, 1);
            Fleet_Signal(&fleet.dispatchers[0], SIGTERM);
        }
    }
    for (uint32_t i = 0; i < CALLS; i++) {
        BoundCall_Wait(&calls[i]);
        if (!calls[i].is_sent)
            continue;
        g_assert_true(calls[i].is_complete);
        completed += calls[i].status == 200;
        if (calls[i].status != 200) {
            BoundCount count;

            g_assert_cmpuint(calls[i].status, ==, 503);
            g_assert_cmpuint(calls[i].retry_after_s, >, 0);
            BoundFleet_Count(&fleet, jobs[i].name, &count);
            g_assert_cmpuint(count.starts, ==, 0);
        }
    }
    g_assert_cmpuint(completed, >, CALLS / 2);
    expect_exit(&fleet.dispatchers[0]);
    for (uint32_t i = 0; i < CALLS; i++)
        BoundCall_Clear(&calls[i]);
    check_invariants();
    BoundFleet_StartDispatcher(&fleet, 0);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_WaitRevision(&fleet, 0, revision);
    complete_job(0, 8);
}

/* When a dispatcher stops, tasks that never end do not delay the answer. */
static void
test_dispatcher_stopped_late(void)
{
    BoundCall call;
    Job job;

    set_up();
    start_paused(&call, 0, &job, 4);
    Fleet_Signal(&fleet.dispatchers[0], SIGTERM);
    BoundFleet_WaitReady(&fleet, 0, 503);
    BoundCall_Wait(&call);
    g_assert_true(call.is_complete);
    BoundCall_Clear(&call);
    expect_exit(&fleet.dispatchers[0]);
    BoundFleet_WaitRunning(&fleet, job.name, 0);
    check_invariants();
    BoundFleet_StartDispatcher(&fleet, 0);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_WaitRevision(&fleet, 0, revision);
}

static void
test_supervisor_stopped(void)
{
    BoundCall calls[2];
    BoundCount count;
    Job jobs[2];

    set_up();
    start_full(&calls[0], 0, &jobs[0]);
    /* The tasks of the second job wait in the supervisors' queues. */
    name_job(&jobs[1], "checks");
    start_job(&calls[1], 1, &jobs[1], 8, 20);
    BoundFleet_WaitOutput(&fleet.dispatchers[1], jobs[1].name, 1);
    Fleet_Signal(&fleet.supervisors[1], SIGTERM);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS - 1);
    resume_workers();
    expect_completed(&calls[0]);
    expect_completed(&calls[1]);
    for (uint32_t i = 0; i < 2; i++) {
        BoundFleet_Count(&fleet, jobs[i].name, &count);
        g_assert_cmpuint(count.starts, ==, i == 0 ? 16 : 8);
        g_assert_cmpuint(count.done, ==, count.starts);
    }
    expect_exit(&fleet.supervisors[1]);
    check_invariants();
    BoundFleet_StartSupervisor(&fleet, 1);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    complete_job(0, 16);
}

static void
test_worker_drained(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    start_full(&call, 0, &job);
    BoundFleet_ControlWorkers(&fleet, 0, "{\"draining\":true}");
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS - 1);
    resume_workers();
    expect_completed(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 16);
    complete_job(0, 12);
    BoundFleet_ControlWorkers(&fleet, 0, "{\"draining\":false}");
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    check_invariants();
}

static void
test_reload(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    start_full(&call, 1, &job);
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        Fleet_Signal(&fleet.dispatchers[i], SIGHUP);
    for (uint32_t i = 0; i < BOUND_WORKERS; i++)
        Fleet_Signal(&fleet.supervisors[i], SIGHUP);
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        BoundFleet_WaitOutput(&fleet.dispatchers[i], " reloaded ", 1);
    for (uint32_t i = 0; i < BOUND_WORKERS; i++)
        BoundFleet_WaitOutput(&fleet.supervisors[i], " reloaded ", 1);
    resume_workers();
    expect_completed(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 16);
    g_assert_cmpuint(count.done, ==, 16);
    check_invariants();
}

/* Changed settings are read without a signal; invalid settings are refused and
   change nothing. */
static void
test_settings_changed(void)
{
    const char *const roles[] = {"dispatcher", "supervisor"};
    const FleetProcess *const processes[] = {&fleet.dispatchers[0],
                                             &fleet.supervisors[0]};

    set_up();
    for (uint32_t i = 0; i < G_N_ELEMENTS(roles); i++) {
        char *previous = BoundFleet_AppendSettings(
            &fleet, roles[i], 0, "  - {address: '127.0.0.1'}\n");

        BoundFleet_WaitOutput(processes[i], " reload_refused ", 1);
        BoundFleet_WaitOutput(processes[i], "write an IP number", 1);
        complete_job(0, 8);
        BoundFleet_SetSettings(&fleet, roles[i], 0, previous);
        g_free(BoundFleet_AppendSettings(&fleet, roles[i], 0,
                                         "  - {address: '127.0.0.1:1'}\n"));
        BoundFleet_WaitOutput(processes[i], " seeds=3", 1);
        BoundFleet_SetSettings(&fleet, roles[i], 0, previous);
        g_free(previous);
    }
    complete_job(0, 8);
    check_invariants();
}

/* ------------------------------------------------------------ refusals */

static void
expect_refused(uint32_t dispatcher, const char *route, const char *text)
{
    BoundCall call;
    BoundCount count;
    Job job;

    name_job(&job, route);
    BoundCall_Run(&call, fleet.http_ports[dispatcher], "POST", job.path, "",
                  text);
    g_assert_true(call.status == 429 || call.status == 503);
    g_assert_cmpuint(call.retry_after_s, >, 0);
    BoundCall_Clear(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 0);
}

static void
test_refused(void)
{
    char *small = BwWording_JobText(2, 5, 1000, 1000, 0, false);
    char *huge = BwWording_JobText(1, 50, BOUND_CPU + 1, 1000, 0, false);
    BoundCall call;
    Job job;

    set_up();
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        /* The dispatcher counts the resources of its own job as in use as soon
           as it has placed the tasks, so it refuses at once. */
        start_full(&call, i, &job);
        expect_refused(i, "tight", small);
        expect_refused(i, "checks", huge);
        expect_refused(i, "checks", BW_WORDING_UNBOUND_JOB);
        resume_workers();
        expect_completed(&call);
    }
    check_invariants();
    g_free(small);
    g_free(huge);
}

static void
test_bad_requests(void)
{
    const char *const *bodies = BwWording_InvalidJobs();
    BoundCount before, after;
    BoundCall call;
    Job job;

    set_up();
    BoundFleet_Count(&fleet, "", &before);
    for (; *bodies != NULL; bodies++) {
        name_job(&job, "checks");
        BoundCall_Run(&call, fleet.http_ports[0], "POST", job.path, "",
                      *bodies);
        g_assert_cmpuint(call.status, ==, 400);
        BoundCall_Clear(&call);
    }
    BoundFleet_Count(&fleet, "", &after);
    g_assert_cmpuint(after.starts, ==, before.starts);
}

static uint64_t
resident_kb(int pid)
{
    char *path = g_strdup_printf("/proc/%d/statm", pid);
    char *text = NULL;
    uint64_t pages;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    pages = g_ascii_strtoull(strchr(text, ' '), NULL, 10);
    g_free(text);
    g_free(path);
    return pages * (uint64_t)sysconf(_SC_PAGESIZE) / 1024;
}

/* Another writer's heartbeats were kept in memory, each with all its numbers,
   so that its host ended the supervisor sooner or later. */
static void
test_odd_heartbeats(void)
{
    char *body = BwWording_InvalidHeartbeat(ODD_NUMBERS);
    uint64_t before_kb = 0;

    set_up();
    for (uint32_t i = 0; i <= ODD_HEARTBEATS; i++) {
        BoundCall call;

        BoundCall_Run(&call, fleet.supervisor_ports[0], "POST",
                      BW_WORDING_STRANGER_PATH, "", body);
        g_assert_cmpuint(call.status, ==, 400);
        BoundCall_Clear(&call);
        /* The first one may have made the process larger for good. */
        if (i == 0)
            before_kb = resident_kb(fleet.supervisors[0].pid);
    }
    /* The address sanitizer keeps what is freed for a while. */
    if (!IS_SANITIZED)
        g_assert_cmpuint(resident_kb(fleet.supervisors[0].pid), <,
                         before_kb + ODD_GROWTH_MAX_KB);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    complete_job(0, 12);
    check_invariants();
    free(body);
}

/* Odd records of another writer, also under the keys of a supervisor and a
   dispatcher, must not end or stop a process that reads them at its start or
   while it runs. */
static void
test_odd_records(void)
{
    static const char *const keys[] = {"stranger", "supervisor-0",
                                       "supervisor-1", "dispatcher-0"};

    set_up();
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
        BoundFleet_WriteOddRecords(&fleet, keys[i]);
    complete_job(0, 12);
    restart_supervisors();
    Fleet_Signal(&fleet.dispatchers[0], SIGKILL);
    BoundFleet_StartDispatcher(&fleet, 0);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_WaitRevision(&fleet, 0, revision);
    complete_job(0, 12);
    complete_job(1, 12);
    check_invariants();
}

/* A worker keeps orders without an answer, as the control text says, and
   executes them after the job has ended. */
static void
run_delayed_orders(const char *control)
{
    BoundCall call;
    BoundCount count;
    Job job;
    uint32_t delayed_orders;

    set_up();
    restart_supervisors();
    BoundFleet_Count(&fleet, "", &count);
    delayed_orders = count.delayed_orders;
    BoundFleet_ControlWorkers(&fleet, 0, control);
    name_job(&job, "checks");
    start_job(&call, 0, &job, 16, 20);
    BoundFleet_WaitDelayedOrders(&fleet, delayed_orders + 1);
    expect_completed(&call);
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.done, ==, 16);
    BoundFleet_ControlWorkers(&fleet, 0,
                              "{\"carry_out\":true,\"late_starts\":false,"
                              "\"late_stops\":false}");
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.starts, ==, 16);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    complete_job(0, 16);
    check_invariants();
}

static void
test_late_orders(void)
{
    run_delayed_orders("{\"late_starts\":true}");
}

static void
test_late_orders_and_stops(void)
{
    run_delayed_orders("{\"late_starts\":true,\"late_stops\":true}");
}

/* A worker executes delayed start orders while the job's tasks run elsewhere.
   No task may run twice at the same time. */
static void
test_late_orders_meanwhile(void)
{
    BoundCall call;
    BoundCount count;
    Job job;
    uint32_t delayed_orders;

    set_up();
    restart_supervisors();
    BoundFleet_Count(&fleet, "", &count);
    delayed_orders = count.delayed_orders;
    BoundFleet_ControlWorkers(&fleet, 0, "{\"late_starts\":true}");
    BoundFleet_ControlWorkers(&fleet, -1, "{\"still\":true}");
    name_job(&job, "checks");
    start_job(&call, 0, &job, 12, 50);
    BoundFleet_WaitDelayedOrders(&fleet, delayed_orders + 1);
    BoundFleet_WaitRunning(&fleet, job.name, 12);
    BoundFleet_ControlWorkers(&fleet, 0,
                              "{\"carry_out\":true,\"late_starts\":false}");
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.running, ==, 12);
    resume_workers();
    expect_completed(&call);
    check_invariants();
}

/* Tasks that fail at a worker which fails every task run elsewhere. */
static void
test_worker_fails_all(void)
{
    BoundCall call;
    BoundCount count;
    Job job;

    set_up();
    restart_supervisors();
    BoundFleet_ControlWorkers(&fleet, 2, "{\"fail\":true}");
    name_job(&job, "checks");
    start_job(&call, 1, &job, 12, 20);
    expect_completed(&call);
    BoundFleet_ControlWorkers(&fleet, 2, "{\"fail\":false}");
    BoundFleet_Count(&fleet, job.name, &count);
    g_assert_cmpuint(count.done, ==, 12);
    check_invariants();
}

static void
test_worker_slow(void)
{
    set_up();
    restart_supervisors();
    BoundFleet_ControlWorkers(&fleet, 1, "{\"slow_permille\":5000}");
    for (uint32_t i = 0; i < 4; i++)
        complete_job(i % BOUND_DISPATCHERS, 16);
    BoundFleet_ControlWorkers(&fleet, 1, "{\"slow_permille\":1000}");
    check_invariants();
}

/* --------------------------------------------------------------- store */

static void
test_store_down_later(void)
{
    static const char *const modes[] = {"down", "refuse", "silent", "lost"};

    set_up();
    for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
        BoundFleet_SetDoor(&fleet, -1, modes[i]);
        complete_job(0, 8);
        complete_job(1, 8);
        BoundFleet_WaitReady(&fleet, 0, 200);
        BoundFleet_SetDoor(&fleet, -1, "ok");
    }
    revision = configure(revision + 1, false);
    wait_revision();
    check_invariants();
}

/* A dispatcher that starts while the store is down gets the configuration from
   the other one. */
static void
test_store_down_one_starts(void)
{
    set_up();
    BoundFleet_SetDoor(&fleet, -1, "down");
    Fleet_Signal(&fleet.dispatchers[1], SIGKILL);
    BoundFleet_StartDispatcher(&fleet, 1);
    BoundFleet_WaitRevision(&fleet, 1, revision);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    BoundFleet_WaitReady(&fleet, 1, 200);
    complete_job(1, 8);
    BoundFleet_SetDoor(&fleet, -1, "ok");
    check_invariants();
}

/* When all dispatchers start while the store is down, they have no
   configuration and answer 503 until the store serves one of them. */
static void
test_store_down_all_start(void)
{
    set_up();
    BoundFleet_SetDoor(&fleet, -1, "down");
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        Fleet_Signal(&fleet.dispatchers[i], SIGKILL);
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        BoundFleet_StartDispatcher(&fleet, i);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        BoundFleet_WaitReady(&fleet, i, 503);
        expect_status(i, "GET", "/checks/", 503);
    }
    BoundFleet_SetDoor(&fleet, 1, "ok");
    wait_revision();
    BoundFleet_SetDoor(&fleet, -1, "ok");
    complete_job(0, 8);
    complete_job(1, 8);
    check_invariants();
}

/* Callers who have time left are held while no configuration is in force, and
   served as soon as one is. */
static void
test_held_until_configured(void)
{
    char *text = BwWording_JobText(2, 20, 1000, 1000, 0, false);
    BoundCall calls[BOUND_DISPATCHERS], short_call;
    Job job;

    set_up();
    BoundFleet_SetDoor(&fleet, -1, "down");
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        Fleet_Signal(&fleet.dispatchers[i], SIGKILL);
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        BoundFleet_StartDispatcher(&fleet, i);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    name_job(&job, "checks");
    BoundCall_Run(&short_call, fleet.http_ports[0], "POST", job.path,
                  BW_WORDING_DEADLINE_HEADER ": 200\r\n", text);
    g_assert_cmpuint(short_call.status, ==, 503);
    BoundCall_Clear(&short_call);
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++) {
        name_job(&job, "checks");
        BoundCall_Start(&calls[i], fleet.http_ports[i], "POST", job.path,
                        BW_WORDING_DEADLINE_HEADER ": 60000\r\n", text);
        while (Fleet_ReadMetric(fleet.ready_ports[i],
                                "brasswing_held_total") != (i == 0 ? 2 : 1))
            g_usleep(1000);
    }
    BoundFleet_SetDoor(&fleet, -1, "ok");
    for (uint32_t i = 0; i < BOUND_DISPATCHERS; i++)
        expect_completed(&calls[i]);
    g_free(text);
    check_invariants();
}

/* --------------------------------------------------------- evacuations */

static uint32_t
count_started_on(uint32_t worker)
{
    return (uint32_t)Fleet_ReadMetric(fleet.supervisor_ports[worker],
                                      "brasswing_started_total");
}

/* The store turns one dispatcher away; that one and the supervisors that it
   starts beside learn of the evacuation all the same. */
static void
test_evacuated(void)
{
    uint32_t before;

    set_up();
    restart_supervisors();
    BoundFleet_SetDoor(&fleet, 2, "refuse");
    BoundFleet_Evacuate(&fleet, "charguia-a", true);
    BoundFleet_WaitWorkers(&fleet, 2); /* workers 0 and 3 are there */
    before = count_started_on(0) + count_started_on(3);
    for (uint32_t i = 0; i < 4; i++)
        complete_job(i % BOUND_DISPATCHERS, 8);
    /* A supervisor and a dispatcher that start know nothing at first. */
    Fleet_Signal(&fleet.supervisors[3], SIGKILL);
    BoundFleet_StartSupervisor(&fleet, 3);
    BoundFleet_WaitOutput(&fleet.supervisors[3], "evacuate instance", 1);
    Fleet_Signal(&fleet.dispatchers[1], SIGKILL);
    BoundFleet_StartDispatcher(&fleet, 1);
    BoundFleet_WaitRevision(&fleet, 1, revision);
    BoundFleet_WaitWorkers(&fleet, 2);
    complete_job(1, 8);
    g_assert_cmpuint(count_started_on(0), ==, before);
    g_assert_cmpuint(count_started_on(3), ==, 0);
    BoundFleet_SetDoor(&fleet, -1, "ok");
    BoundFleet_Evacuate(&fleet, "charguia-a", false);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    complete_job(0, 16);
    check_invariants();
}

/* What runs ends by itself and is answered; nobody else gets the room. */
static void
test_evacuated_while_running(void)
{
    BoundCall running;
    Job job;

    set_up();
    start_full(&running, 0, &job);
    BoundFleet_Evacuate(&fleet, "charguia-b", true);
    BoundFleet_WaitWorkers(&fleet, 3); /* worker 1 is there */
    resume_workers();
    expect_completed(&running);
    complete_job(1, 8);
    BoundFleet_Evacuate(&fleet, "charguia-b", false);
    BoundFleet_WaitWorkers(&fleet, BOUND_WORKERS);
    check_invariants();
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *path;
        void (*run)(void);
    } tests[] = {
        {"/bound/no_configuration", test_no_configuration},
        {"/bound/either_dispatcher", test_either_dispatcher},
        {"/bound/chain", test_chain},
        {"/bound/wrong_host", test_wrong_host},
        {"/bound/change", test_change},
        {"/bound/change_from_peer", test_change_from_peer},
        {"/bound/never_back", test_never_back},
        {"/bound/forgotten_history", test_forgotten_history},
        {"/bound/dispatcher_killed", test_dispatcher_killed},
        {"/bound/supervisor_killed", test_supervisor_killed},
        {"/bound/seeds_gone", test_seeds_gone},
        {"/bound/dispatcher_frozen", test_dispatcher_frozen},
        {"/bound/supervisor_frozen", test_supervisor_frozen},
        {"/bound/supervisor_restarted", test_supervisor_restarted},
        {"/bound/worker_crashed", test_worker_crashed},
        {"/bound/worker_silent", test_worker_silent},
        {"/bound/caller_gone", test_caller_gone},
        {"/bound/callers_gone", test_callers_gone},
        {"/bound/same_connection", test_same_connection},
        {"/bound/twin", test_twin},
        {"/bound/cancelled", test_cancelled},
        {"/bound/other_queue", test_other_queue},
        {"/bound/cancelled_elsewhere", test_cancelled_elsewhere},
        {"/bound/cancelled_stays", test_cancelled_stays},
        {"/bound/done_stays", test_done_stays},
        {"/bound/cancel_unknown", test_cancel_unknown},
        {"/bound/cancel_while_leaving", test_cancel_while_leaving},
        {"/bound/cancel_while_frozen", test_cancel_while_frozen},
        {"/bound/cancel_while_killed", test_cancel_while_killed},
        {"/bound/deadline", test_deadline},
        {"/bound/deadline_too_far", test_deadline_too_far},
        {"/bound/dispatcher_stopped", test_dispatcher_stopped},
        {"/bound/dispatcher_stopped_late", test_dispatcher_stopped_late},
        {"/bound/supervisor_stopped", test_supervisor_stopped},
        {"/bound/worker_drained", test_worker_drained},
        {"/bound/reload", test_reload},
        {"/bound/settings_changed", test_settings_changed},
        {"/bound/refused", test_refused},
        {"/bound/bad_requests", test_bad_requests},
        {"/bound/odd_heartbeats", test_odd_heartbeats},
        {"/bound/odd_records", test_odd_records},
        {"/bound/late_orders", test_late_orders},
        {"/bound/late_orders_and_stops", test_late_orders_and_stops},
        {"/bound/late_orders_meanwhile", test_late_orders_meanwhile},
        {"/bound/worker_fails_all", test_worker_fails_all},
        {"/bound/worker_slow", test_worker_slow},
        {"/bound/store_down_later", test_store_down_later},
        {"/bound/store_down_one_starts", test_store_down_one_starts},
        {"/bound/store_down_all_start", test_store_down_all_start},
        {"/bound/held_until_configured", test_held_until_configured},
        {"/bound/evacuated", test_evacuated},
        {"/bound/evacuated_while_running", test_evacuated_while_running},
    };
    int code;

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
        g_test_add_func(tests[i].path, tests[i].run);
    code = g_test_run();
    if (is_up)
        BoundFleet_Finish(&fleet);
    return code;
}
