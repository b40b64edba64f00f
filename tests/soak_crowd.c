/* soak_crowd.c -- the part of the soak with clients that misbehave

   Crowds connect to the ports of dispatchers and supervisors, send as much as
   is taken, stay until the process is gone and come back to the one that
   follows.  Beside them the processes are stopped, killed, frozen and
   reloaded, and the configuration changes.  No process may end that was not
   asked to, each stays within its memory and descriptors, each planned stop
   ends in time with the crowds still connected, and afterwards every
   dispatcher completes an ordinary job.
*/

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "boundfleet.h"
#include "clock.h"
#include "crowd.h"
#include "soak.h"
#include "wording.h"

#define DURATION_MS 4000
#define DISPATCHERS 2
#define WORKERS 3
#define WIDE_DISPATCHERS 6
#define WIDE_WORKERS 16
#define CROWDS 5
#define WIDE_CROWDS 16
#define MEMBERS_MIN 20
#define MEMBERS 120
#define WIDE_MEMBERS 400
#define EVENTS 10
#define WIDE_EVENTS 30
#define PROCESSES_MAX (WIDE_DISPATCHERS + WIDE_WORKERS)
#define DESCRIPTORS_MAX 256
#define MEMORY_BYTES_MAX (64ull * 1024 * 1024)
#define DISPATCHER_LIMITS                                                     \
    "body_bytes: 524288, memory_mb: 64, descriptors: 256, "
#define SUPERVISOR_LIMITS                                                     \
    "body_bytes: 4194304, memory_mb: 64, descriptors: 256, "
#define STOP_LIMIT_US 6000000
#define AWAY_MAX_MS 600
#define FROZEN_MAX_MS 1500
#define TURN_US 20000
#define ANSWER_US 30000000 /* guards against a job that is never completed */
#define REQUEST_US 2000000
#define RETURNS UINT32_MAX
#define BODY_BYTES 500000
#define HEAD_BYTES 400000
#define FRAME_BYTES 16000000

typedef enum CrowdKind {
    KIND_IDLE,
    KIND_BODIES,
    KIND_HEADS,
    KIND_VALUES,
    KIND_PEER_IDLE,
    KIND_PEER_FRAMES,
    KIND_COUNT
} CrowdKind;

typedef enum State { RUNNING, FROZEN, STOPPING, AWAY, STARTING } State;

typedef struct Process {
    BwProcess *process;
    bool is_dispatcher;
    uint32_t number;
    State state;
    uint64_t until_us; /* of the state */
} Process;

typedef struct Play {
    BwFleet fleet;
    SoakReport *report;
    GRand *rand;
    Process processes[PROCESSES_MAX];
    uint32_t process_count;
    uint64_t revision;
    Crowd crowds[WIDE_CROWDS];
    GThread *threads[WIDE_CROWDS];
    uint32_t crowd_count;
    gint is_over;
    gint next_crowd;
    char *spaces, *letters, *values, *frame;
} Play;

static uint32_t
draw(Play *play, uint32_t below)
{
    return (uint32_t)g_rand_int_range(play->rand, 0, (gint32)below);
}

/* --------------------------------------------------------------- crowds */

static char *
make_body_head(uint32_t member)
{
    return g_strdup_printf("POST /short/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: %d\r\n\r\n",
                           member + 1, BODY_BYTES + 1);
}

static char *
make_values_head(uint32_t member)
{
    return g_strdup_printf("POST /short/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: %d\r\n\r\n",
                           member + 1, BODY_BYTES);
}

static char *
make_large_head(uint32_t member)
{
    return g_strdup_printf("GET /%u HTTP/1.1\r\nX-Pad: ", member);
}

static void
set_text(Play *play, CrowdPlan *plan, CrowdKind kind)
{
    switch (kind) {
    case KIND_BODIES:
        plan->make_head = make_body_head;
        plan->body = play->spaces;
        plan->body_bytes = BODY_BYTES;
        break;
    case KIND_HEADS:
        plan->make_head = make_large_head;
        plan->body = play->letters;
        plan->body_bytes = HEAD_BYTES;
        break;
    case KIND_VALUES:
        plan->make_head = make_values_head;
        plan->body = play->values;
        plan->body_bytes = BODY_BYTES;
        break;
    case KIND_PEER_FRAMES:
        plan->body = play->frame;
        plan->body_bytes = FRAME_BYTES;
        break;
    default:
        break;
    }
}

static uint32_t
choose_port(Play *play, CrowdKind kind)
{
    const BwFleet *fleet = &play->fleet;
    uint32_t dispatcher = draw(play, fleet->plan.dispatchers);
    uint32_t worker = draw(play, fleet->plan.workers);

    if (kind == KIND_PEER_IDLE || kind == KIND_PEER_FRAMES)
        return fleet->peer_ports[dispatcher];
    switch (draw(play, 4)) {
    case 0:
        return fleet->ready_ports[dispatcher];
    case 1:
        return fleet->supervisor_ports[worker];
    default:
        return fleet->http_ports[dispatcher];
    }
}

static gpointer
run_crowd(gpointer data)
{
    Play *play = data;
    Crowd *crowd = &play->crowds[g_atomic_int_add(&play->next_crowd, 1)];

    while (!g_atomic_int_get(&play->is_over))
        Crowd_RunFor(crowd, 50);
    return NULL;
}

static void
make_texts(Play *play)
{
    play->spaces = g_strnfill(BODY_BYTES, ' ');
    play->letters = g_strnfill(HEAD_BYTES, 'x');
    play->values = g_strnfill(BODY_BYTES, '[');
    for (size_t i = 1; i < BODY_BYTES; i += 2)
        play->values[i] = ',';
    play->frame = g_malloc0(FRAME_BYTES);
    play->frame[1] = (char)0xf4;
}

static void
start_crowds(Play *play, bool is_wide)
{
    play->crowd_count = is_wide ? WIDE_CROWDS : CROWDS;
    for (uint32_t i = 0; i < play->crowd_count; i++) {
        CrowdKind kind = (CrowdKind)draw(play, KIND_COUNT);
        CrowdPlan plan = {.port = choose_port(play, kind),
                          .members =
                              MEMBERS_MIN +
                              draw(play, is_wide ? WIDE_MEMBERS : MEMBERS),
                          .returns = RETURNS};

        set_text(play, &plan, kind);
        Crowd_Init(&play->crowds[i], &plan);
    }
    for (uint32_t i = 0; i < play->crowd_count; i++)
        play->threads[i] = g_thread_new("crowd", run_crowd, play);
}

static void
end_crowds(Play *play)
{
    g_atomic_int_set(&play->is_over, 1);
    for (uint32_t i = 0; i < play->crowd_count; i++)
        g_thread_join(play->threads[i]);
    for (uint32_t i = 0; i < play->crowd_count; i++)
        Crowd_Finish(&play->crowds[i]);
}

/* ------------------------------------------------------------ processes */

static const char *
kind_name(const Process *process)
{
    return process->is_dispatcher ? "dispatcher" : "supervisor";
}

/* A process that starts again would write over it. */
static void
keep_output(const Process *process)
{
    char *kept = g_strdup_printf("%s.kept", process->process->output);

    if (link(process->process->output, kept) != 0)
        g_warning("%s is not kept", kept);
    g_free(kept);
}

static void
violate(Play *play, const Process *process, const char *what)
{
    SoakReport_Add(play->report, "%s-%u %s", kind_name(process),
                   process->number, what);
    keep_output(process);
}

static void
check_exit_code(Play *play, const Process *process, int code)
{
    if (code == 0)
        return;
    SoakReport_Add(play->report, "%s-%u did not stop as asked: code %d",
                   kind_name(process), process->number, code);
    keep_output(process);
}

static void
check_process(Play *play, Process *process)
{
    int code;

    if (BwProcess_WaitEnd(process->process, 0, &code)) {
        violate(play, process, "ended without being asked to");
        process->state = AWAY;
        process->until_us = 0;
        return;
    }
    if (Crowd_CountDescriptors(process->process->pid) > DESCRIPTORS_MAX)
        violate(play, process, "has more descriptors than it may have");
#ifndef SOAK_SANITIZED
    if (Crowd_PeakBytes(process->process->pid) > MEMORY_BYTES_MAX)
        violate(play, process, "held more memory than it may have");
#endif
}

static void
start_process(Play *play, Process *process)
{
    bool is_started =
        process->is_dispatcher
            ? BwFleet_StartDispatcher(&play->fleet, process->number)
            : BwFleet_StartSupervisor(&play->fleet, process->number);

    if (!is_started)
        g_error("%s", play->fleet.fault);
    process->state = STARTING;
}

/* Before that it has no handler for signals. */
static bool
has_started(const Process *process)
{
    char *text = BwProcess_ReadFile(process->process->output);
    bool is_started = text != NULL && strstr(text, " started ") != NULL;

    free(text);
    return is_started;
}

/* Goes on with what has been begun to the process. */
static void
update_process(Play *play, Process *process, uint64_t now_us)
{
    int code = 0;

    switch (process->state) {
    case RUNNING:
        check_process(play, process);
        break;
    case FROZEN:
        if (now_us >= process->until_us) {
            BwProcess_Signal(process->process, SIGCONT);
            process->state = RUNNING;
        }
        break;
    case STOPPING:
        if (BwProcess_WaitEnd(process->process, 0, &code)) {
            check_exit_code(play, process, code);
            process->state = AWAY;
            process->until_us = now_us;
        }
        else if (now_us > process->until_us) {
            violate(play, process, "did not stop in time");
            BwProcess_Signal(process->process, SIGKILL);
            process->state = AWAY;
        }
        break;
    case AWAY:
        if (now_us >= process->until_us)
            start_process(play, process);
        break;
    case STARTING:
        check_process(play, process);
        if (process->state == STARTING && has_started(process))
            process->state = RUNNING;
        break;
    }
}

static void
stop_process(Process *process)
{
    BwProcess_Signal(process->process, SIGTERM);
    process->state = STOPPING;
    process->until_us = BwClock_Now() + STOP_LIMIT_US;
}

static void
configure(Play *play)
{
    char *route =
        BwWording_RouteText("short", "127.0.0.1", BOUND_SERVICE, 20000);
    char *config = BwWording_ConfigText(++play->revision, route);

    BoundFleet_Configure(&play->fleet, config);
    g_free(config);
    g_free(route);
}

static void
disturb(Play *play)
{
    Process *process = &play->processes[draw(play, play->process_count)];
    uint32_t action = draw(play, 6);
    uint32_t span_ms = 1 + draw(play, AWAY_MAX_MS);

    if (action == 0) {
        configure(play);
        return;
    }
    if (process->state != RUNNING)
        return;
    switch (action) {
    case 1:
        BwProcess_Signal(process->process, SIGKILL);
        process->state = AWAY;
        process->until_us = BwClock_Now() + (uint64_t)span_ms * 1000;
        break;
    case 2:
    case 3:
        stop_process(process);
        break;
    case 4:
        BwProcess_Signal(process->process, SIGSTOP);
        process->state = FROZEN;
        process->until_us =
            BwClock_Now() + (uint64_t)draw(play, FROZEN_MAX_MS) * 1000;
        break;
    default:
        if (process->is_dispatcher)
            BwFleet_ReloadDispatcher(&play->fleet, process->number);
        else
            BwFleet_ReloadSupervisor(&play->fleet, process->number);
        break;
    }
}

static bool
is_settled(const Play *play)
{
    for (uint32_t i = 0; i < play->process_count; i++) {
        if (play->processes[i].state != RUNNING)
            return false;
    }
    return true;
}

static void
update_processes(Play *play)
{
    uint64_t now_us = BwClock_Now();

    for (uint32_t i = 0; i < play->process_count; i++)
        update_process(play, &play->processes[i], now_us);
    g_usleep(TURN_US);
}

static void
play_events(Play *play, bool is_wide)
{
    uint32_t count = is_wide ? WIDE_EVENTS : EVENTS;
    uint64_t began_us = BwClock_Now();

    for (uint32_t i = 0; i < count; i++) {
        uint64_t at_us = began_us + (uint64_t)i * DURATION_MS * 1000 / count +
                         (uint64_t)draw(play, DURATION_MS / count) * 1000;

        while (BwClock_Now() < at_us)
            update_processes(play);
        disturb(play);
    }
    while (!is_settled(play))
        update_processes(play);
}

/* Sends jobs until one is completed, as callers do that are told to retry. */
static void
complete_job(Play *play, const Process *process, uint32_t port)
{
    uint64_t give_up_us = BwClock_Now() + ANSWER_US;
    char *job = BwWording_JobText(2, 20, 1000, 1000, 0, false);
    uint32_t status = 0;

    for (uint32_t i = 0; status != 200 && BwClock_Now() < give_up_us; i++) {
        char *path =
            g_strdup_printf("/short/%08x%08x", process->number + 1, i);
        BwBlockingReply reply;

        status = BwFleet_Request(port, "POST", path, job, REQUEST_US, &reply);
        free(reply.body);
        g_free(path);
        update_processes(play);
    }
    if (status != 200)
        violate(play, process, "completes no job beside the clients");
    g_free(job);
}

static void
stop_all(Play *play)
{
    int code;

    for (uint32_t i = 0; i < play->process_count; i++) {
        if (play->processes[i].state == RUNNING)
            stop_process(&play->processes[i]);
    }
    for (uint32_t i = 0; i < play->process_count; i++) {
        Process *process = &play->processes[i];

        if (process->state != STOPPING)
            continue;
        if (!BwProcess_WaitEnd(process->process, STOP_LIMIT_US, &code))
            violate(play, process, "did not stop in time");
        else
            check_exit_code(play, process, code);
    }
}

/* ----------------------------------------------------------------- play */

static void
start_fleet(Play *play, uint32_t seed, bool is_wide, const char *daemon,
            const char *lab)
{
    BwFleetPlan plan = {
        .dispatchers = is_wide ? WIDE_DISPATCHERS : DISPATCHERS,
        .workers = is_wide ? WIDE_WORKERS : WORKERS,
        .cpu = BOUND_CPU,
        .mem = BOUND_MEM,
        .service = BOUND_SERVICE,
        .daemon = daemon,
        .production = "",
        .lab = lab,
        .seed = seed,
        .session_ms = 500,
        .worker_lease_ms = 400,
        .stop_ms = 3000,
        .clock_permille = 1000,
        .store = "",
        .dispatcher_limits = DISPATCHER_LIMITS,
        .supervisor_limits = SUPERVISOR_LIMITS,
    };

    if (!BwFleet_Init(&play->fleet, &plan,
                      g_dir_make_tmp("brasswing-XXXXXX", NULL)))
        g_error("%s", play->fleet.fault);
    for (uint32_t i = 0; i < plan.dispatchers; i++)
        play->processes[play->process_count++] =
            (Process){.process = &play->fleet.dispatchers[i],
                      .is_dispatcher = true,
                      .number = i};
    for (uint32_t i = 0; i < plan.workers; i++)
        play->processes[play->process_count++] =
            (Process){.process = &play->fleet.supervisors[i], .number = i};
    configure(play);
    BoundFleet_WaitRevision(&play->fleet, 0, play->revision);
}

void
SoakCrowd_Play(uint32_t seed, bool is_wide, const char *daemon,
               const char *lab, SoakReport *report)
{
    Play *play = g_new0(Play, 1);

    play->report = report;
    play->rand = g_rand_new_with_seed(seed);
    make_texts(play);
    start_fleet(play, seed, is_wide, daemon, lab);
    start_crowds(play, is_wide);
    play_events(play, is_wide);
    for (uint32_t i = 0; i < play->fleet.plan.dispatchers; i++)
        complete_job(play, &play->processes[i], play->fleet.http_ports[i]);
    stop_all(play);
    end_crowds(play);
    if (report->lines->len > 0)
        report->dir = g_strdup(play->fleet.dir);
    BwFleet_Finish(&play->fleet);
    if (report->dir == NULL)
        Fleet_RemoveFiles(play->fleet.dir);
    else
        g_free(play->fleet.dir);
    g_rand_free(play->rand);
    g_free(play->spaces);
    g_free(play->letters);
    g_free(play->values);
    g_free(play->frame);
    g_free(play);
}
