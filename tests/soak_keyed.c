/* soak_keyed.c -- the part of the soak with entries and agents

   Jobs under keys are submitted, and submitted again, while agents and entries
   are killed, paused, stopped and told to reload, the log is down or loses its
   answers, and configurations are published.  Faults of different processes
   overlap; a process gets the next one only when the one before is over.  The
   backend stand-ins outlive their agents and count the starts.
*/

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "clock.h"
#include "load.h"
#include "soak.h"

#define AGENTS 6
#define ENTRIES 2
#define PROCESSES (AGENTS + ENTRIES)
#define THREADS 12
#define FAULTS 16
#define FIRST_MS 700
#define LAST_MS 9000
/* After the last fault: leases lapse, and agents join again. */
#define SETTLE_MS 4000
#define STOP_TIMEOUT_US 30000000
#define STEP_US 5000
/* Pause between two publications, and between two looks at what is in force.
 */
#define PUBLISH_US 400000
#define MONITOR_US 50000
/* Target of the users: a configuration is in force everywhere by then. */
#define IN_FORCE_US 12000000

typedef enum Kind {
    KIND_NONE,
    KIND_KILL,
    KIND_PAUSE,
    KIND_STOP,
    KIND_RELOAD,
    KIND_COUNT
} Kind;

/* What happens to one process; `kind` is KIND_NONE between two faults. */
typedef struct Victim {
    Kind kind;
    uint64_t end_us; /* when it is started or continued */
} Victim;

typedef struct Soak {
    Fleet fleet;
    Load load;
    GRand *rand;
    Victim victims[PROCESSES];
    gint is_over;
    uint32_t published;    /* publications that were reported as accepted */
    uint64_t log_until_us; /* when the log answers again; 0: it does */
    SoakReport *report;
} Soak;

static FleetProcess *
process_at(Soak *soak, uint32_t i)
{
    return i < AGENTS ? &soak->fleet.agents[i]
                      : &soak->fleet.entries[i - AGENTS];
}

static void
control_log(Soak *soak, const char *text)
{
    BwBlockingReply reply;

    Fleet_Request(soak->fleet.log.http_port, "POST", "/control", text, &reply);
    free(reply.body);
}

static uint32_t
draw(Soak *soak, uint32_t from, uint32_t below)
{
    return (uint32_t)g_rand_int_range(soak->rand, (gint32)from, (gint32)below);
}

static void
begin_fault(Soak *soak, uint32_t i, uint64_t now_us)
{
    Victim *victim = &soak->victims[i];
    Kind kind = (Kind)draw(soak, KIND_KILL, KIND_COUNT);
    uint32_t span_ms = draw(soak, 50, 3000);

    if (victim->kind != KIND_NONE)
        return;
    victim->kind = kind;
    victim->end_us = now_us + span_ms * 1000;
    if (kind == KIND_KILL)
        Fleet_Signal(process_at(soak, i), SIGKILL);
    else if (kind == KIND_PAUSE)
        Fleet_Signal(process_at(soak, i), SIGSTOP);
    else if (kind == KIND_STOP)
        Fleet_Signal(process_at(soak, i), SIGTERM);
    else {
        Fleet_Signal(process_at(soak, i), SIGHUP);
        victim->kind = KIND_NONE;
    }
}

/* Returns whether a process that was asked to stop has ended.  Meanwhile other
   faults begin and end. */
static bool
has_stopped(Soak *soak, uint32_t i, uint64_t now_us)
{
    FleetProcess *process = process_at(soak, i);
    int code = 0;

    if (!Fleet_WaitEnd(process, 0, &code)) {
        if (now_us < soak->victims[i].end_us + STOP_TIMEOUT_US)
            return false;
        Fleet_Signal(process, SIGKILL);
        code = -1;
    }
    if (code != 0)
        SoakReport_Add(soak->report, "process %u did not stop as asked: %d", i,
                       code);
    return true;
}

static void
end_fault(Soak *soak, uint32_t i, uint64_t now_us)
{
    Victim *victim = &soak->victims[i];

    if (victim->kind == KIND_STOP && !has_stopped(soak, i, now_us))
        return;
    if (victim->kind == KIND_PAUSE)
        Fleet_Signal(process_at(soak, i), SIGCONT);
    else if (i < AGENTS)
        Fleet_RestartAgent(&soak->fleet, i);
    else
        Fleet_RestartEntry(&soak->fleet, i - AGENTS);
    victim->kind = KIND_NONE;
}

static void
end_due_faults(Soak *soak, uint64_t now_us)
{
    if (soak->log_until_us != 0 && now_us >= soak->log_until_us) {
        control_log(soak, "{\"outage\":false}");
        soak->log_until_us = 0;
    }
    /* An agent cannot join beside a log that is down. */
    for (uint32_t i = 0; i < PROCESSES && soak->log_until_us == 0; i++) {
        if (soak->victims[i].kind != KIND_NONE &&
            now_us >= soak->victims[i].end_us)
            end_fault(soak, i, now_us);
    }
}

static void
disturb_log(Soak *soak, uint64_t now_us)
{
    if (soak->log_until_us != 0)
        return;
    if (draw(soak, 0, 2) == 0) {
        control_log(soak, "{\"lose_answers\":2}");
        return;
    }
    control_log(soak, "{\"outage\":true}");
    soak->log_until_us = now_us + draw(soak, 200, 2000) * 1000;
}

static bool
has_open_fault(const Soak *soak)
{
    for (uint32_t i = 0; i < PROCESSES; i++) {
        if (soak->victims[i].kind != KIND_NONE)
            return true;
    }
    return soak->log_until_us != 0;
}

/* Injects the faults at random times. */
static void
inject_faults(Soak *soak)
{
    uint64_t start_us = BwClock_Now();
    uint64_t at_us[FAULTS];
    uint32_t next = 0;

    for (uint32_t i = 0; i < FAULTS; i++)
        at_us[i] = start_us +
                   (FIRST_MS + (uint64_t)i * (LAST_MS - FIRST_MS) / FAULTS +
                    draw(soak, 0, LAST_MS / FAULTS)) *
                       1000;
    while (next < FAULTS || has_open_fault(soak)) {
        uint64_t now_us = BwClock_Now();

        end_due_faults(soak, now_us);
        while (next < FAULTS && now_us >= at_us[next]) {
            uint32_t victim = draw(soak, 0, PROCESSES + 1);

            if (victim == PROCESSES)
                disturb_log(soak, now_us);
            else
                begin_fault(soak, victim, now_us);
            next++;
        }
        g_usleep(STEP_US);
    }
}

/* ------------------------------------------------------ configuration */

static uint64_t
read_revision(const FleetProcess *process)
{
    return process->pid != 0
               ? Fleet_ReadMetric(process->http_port, "brasswing_revision")
               : 0;
}

/* Publishes the same text over and over, each time with another comment. */
static gpointer
run_publisher(gpointer data)
{
    Soak *soak = data;
    char *text = NULL;
    uint32_t count = 0;

    if (!g_file_get_contents(BW_EXAMPLE_PATH, &text, NULL, NULL))
        return NULL;
    while (!g_atomic_int_get(&soak->is_over)) {
        char *changed = g_strdup_printf("# %u\n%s", ++count, text);

        soak->published += Fleet_Publish(&soak->fleet, changed, NULL) == 0;
        g_free(changed);
        g_usleep(PUBLISH_US);
    }
    g_free(text);
    return NULL;
}

/* What is in force never goes back while a process lives. */
static gpointer
run_monitor(gpointer data)
{
    Soak *soak = data;
    uint64_t revisions[PROCESSES] = {0};
    pid_t pids[PROCESSES] = {0};

    while (!g_atomic_int_get(&soak->is_over)) {
        for (uint32_t i = 0; i < PROCESSES; i++) {
            const FleetProcess *process = process_at(soak, i);
            pid_t pid = process->pid;
            uint64_t revision = read_revision(process);

            if (pid == 0 || revision == 0 || process->pid != pid)
                continue;
            if (pid == pids[i] && revision < revisions[i])
                SoakReport_Add(soak->report,
                               "%s went from revision %" G_GUINT64_FORMAT
                               " to %" G_GUINT64_FORMAT,
                               process->name, revisions[i], revision);
            pids[i] = pid;
            revisions[i] = revision;
        }
        g_usleep(MONITOR_US);
    }
    return NULL;
}

/* The last publication is in force at every process. */
static void
check_revisions(Soak *soak)
{
    uint64_t give_up_us = BwClock_Now() + IN_FORCE_US;
    uint64_t least, most;

    do {
        least = UINT64_MAX;
        most = 0;
        for (uint32_t i = 0; i < PROCESSES; i++) {
            uint64_t revision = read_revision(process_at(soak, i));

            least = MIN(least, revision);
            most = MAX(most, revision);
        }
        if (least == most && most > 1)
            return;
        g_usleep(MONITOR_US);
    } while (BwClock_Now() < give_up_us);
    SoakReport_Add(soak->report,
                   "revisions %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
                   " in force after %u publications",
                   least, most, soak->published);
}

/* ------------------------------------------------------------- checks */

static void
check_alive(Soak *soak, const FleetProcess *process)
{
    siginfo_t info = {0};

    if (process->pid != 0 &&
        waitid(P_PID, (id_t)process->pid, &info,
               WEXITED | WNOHANG | WNOWAIT) == 0 &&
        info.si_pid != 0)
        SoakReport_Add(soak->report, "%s ended by itself", process->name);
}

static void
check_counts(Soak *soak, uint64_t since_us)
{
    LoadCounts counts = Load_Count(&soak->load, since_us);

    if (counts.second_starts > 0)
        SoakReport_Add(soak->report, "%u tasks started twice",
                       counts.second_starts);
    if (counts.partial > 0)
        SoakReport_Add(soak->report, "%u answers partial or wrong",
                       counts.partial);
    if (counts.wrong_not_run > 0)
        SoakReport_Add(soak->report, "%u jobs ran and were said not to",
                       counts.wrong_not_run);
    if (counts.served == 0)
        SoakReport_Add(soak->report, "no job was completed after the faults");
}

void
SoakKeyed_Play(uint32_t seed, SoakReport *report)
{
    static const FleetPlan fleet_plan = {.agents = AGENTS,
                                         .entries = ENTRIES,
                                         .slots = 8,
                                         .run_us = 1000,
                                         .services = LOAD_SERVICE};
    LoadPlan plan = {.name = "soak",
                     .threads = THREADS,
                     .seed = seed,
                     .home = LOAD_ANY_HOME,
                     .tasks_max = 8,
                     .run_us_max = 200000};
    Soak *soak = g_new0(Soak, 1);
    GThread *publisher, *monitor;
    uint64_t calm_us;

    soak->report = report;
    soak->rand = g_rand_new_with_seed(seed);
    Fleet_Init(&soak->fleet, &fleet_plan);
    Load_Start(&soak->load, &soak->fleet, &plan);
    publisher = g_thread_new("publisher", run_publisher, soak);
    monitor = g_thread_new("monitor", run_monitor, soak);
    inject_faults(soak);
    calm_us = BwClock_Now() + SETTLE_MS * 1000 / 2;
    g_usleep(SETTLE_MS * 1000);
    Load_Stop(&soak->load);
    g_atomic_int_set(&soak->is_over, 1);
    g_thread_join(publisher);
    g_thread_join(monitor);
    check_revisions(soak);
    check_counts(soak, calm_us);
    for (uint32_t i = 0; i < PROCESSES; i++)
        check_alive(soak, process_at(soak, i));
    Load_Finish(&soak->load);
    Fleet_Finish(&soak->fleet);
    g_rand_free(soak->rand);
    g_free(soak);
}
