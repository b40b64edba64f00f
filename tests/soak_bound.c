/* soak_bound.c -- the part of the soak with dispatchers and supervisors

   The runner of the lab sends its jobs through the emulated ingress and
   injects the faults; its rules are checked.  Beside it, threads of this file
   act as callers that keep a connection to each dispatcher and go on using it
   until the process is gone, and one thread reads which revision of the
   configuration is in force.  Afterwards their records are compared with the
   ledgers of the workers, and every process is asked to stop.
*/

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "brasswing.h"
#include "clock.h"
#include "configlog.h"
#include "fleet.h"
#include "labcounters.h"
#include "soak.h"
#include "soak_companions.h"
#include "wording.h"

#define DURATION_MS 9000
#define SETTLE_MS 4000
#define FIRST_MS 800 /* the fleet is undisturbed until then */
#define LAST_MS 8500 /* the last disturbance has ended by then */
#define STOP_MS 4400 /* a planned stop, and the end of the process */
#define STORM_GAP_MS 150
#define H2O_CLOSE_LINE                                                        \
    "[WARN] detected close by upstream before the expected timeout (see "     \
    "issue #679)"
/* How long a worker is away after a task has crashed it. */
#define DOWN_TEXT "{\"down_ms\": 1500}"
#define CRASH_PERMILLE_MAX 60
#define CLOCK_STEP_MAX_S 30
/* Tasks of the class `lasting` outlive their callers' time to send again, so
   that a session or connection that does not end them shows. */
#define LASTING_MS 2200
#define DISTURBANCES 14
#define DISPATCHERS 3
#define WORKERS 6
#define STORE_TARGET (BW_FLEET_DISPATCHERS_MAX + 2 * BW_FLEET_WORKERS_MAX)
#define FIRST_DOMAIN_TARGET (STORE_TARGET + 1)
#define TARGETS (FIRST_DOMAIN_TARGET + 3)

#define CLASSES 3
#define CALLERS 6
#define CALLER_TASKS 3
#define CALLER_DEADLINE_MS 3000
#define CALL_TIMEOUT_US 3500000
#define PAUSE_MAX_US 60000
#define MONITOR_US 50000
/* A request that was sent this long before its connection ended had been
   received by the process. */
#define RECEIVED_US 300000
/* A stopping process has ended by then. */
#define STOP_LIMIT_US 6000000
/* Targets of the users: a configuration is in force everywhere, and the memory
   of one process. */
#define IN_FORCE_US 12000000
#define RESIDENT_BYTES_MAX (32u << 20)
/* Connections that are made anew while the old ones are being closed. */
#define DISPATCHER_MARGIN 8
/* Connections that a worker accepts.  A supervisor has as many as it once had
   calls at the same time: the next call takes the one that was not used for
   longest, so none is idle for long enough to be closed. */
#define SUPERVISOR_MARGIN 64
/* Connections that are not in use are closed by then. */
#define LEVEL_TIMEOUT_US 15000000

/* ------------------------------------------------------------ schedule */

typedef struct Draw {
    SoakPlan *plan;
    GRand *rand;
    uint32_t dispatchers, workers;
    uint32_t free_ms[TARGETS]; /* when the last disturbance of each ends */
} Draw;

static uint32_t
draw(Draw *d, uint32_t below)
{
    return (uint32_t)g_rand_int_range(d->rand, 0, (gint32)below);
}

static void
set_fault(BwLabFault *fault, uint32_t at_ms, const char *kind, uint32_t number,
          BwLabAction action, const char *text)
{
    fault->at_ms = at_ms;
    fault->action = action;
    g_snprintf(fault->target, sizeof(fault->target), "%s-%u", kind, number);
    g_strlcpy(fault->text, text, sizeof(fault->text));
}

/* Adds a disturbance of `target` for `span_ms`, 0: at once, unless another one
   of the same target is not over.  Other targets' overlap it. */
static void
add(Draw *d, uint32_t target, const char *kind, uint32_t number,
    BwLabAction begin, const char *begin_text, uint32_t span_ms,
    BwLabAction end, const char *end_text)
{
    uint32_t at_ms = FIRST_MS + draw(d, LAST_MS - FIRST_MS - span_ms);
    SoakDisturbance *disturbance =
        &d->plan->disturbances[d->plan->disturbance_count];

    if (at_ms < d->free_ms[target] ||
        d->plan->disturbance_count == SOAK_DISTURBANCES_MAX)
        return;
    d->free_ms[target] = at_ms + span_ms + 1;
    d->plan->disturbance_count++;
    set_fault(&disturbance->begin, at_ms, kind, number, begin, begin_text);
    if (span_ms > 0)
        set_fault(&disturbance->end, at_ms + span_ms, kind, number, end,
                  end_text);
}

static void
disturb_daemon(Draw *d, uint32_t target, const char *kind, uint32_t number)
{
    switch (draw(d, 4)) {
    case 0:
        add(d, target, kind, number, BW_LAB_KILL, "", 1 + draw(d, 600),
            BW_LAB_START, "");
        break;
    case 1:
        add(d, target, kind, number, BW_LAB_STOP, "", STOP_MS, BW_LAB_START,
            "");
        break;
    case 2:
        add(d, target, kind, number, BW_LAB_FREEZE, "", 50 + draw(d, 2500),
            BW_LAB_THAW, "");
        break;
    default:
        add(d, target, kind, number, BW_LAB_RELOAD, "", 0, BW_LAB_RELOAD, "");
        break;
    }
}

static void
disturb_worker(Draw *d, uint32_t target, uint32_t number)
{
    static const char *const texts[][2] = {
        {"{\"silent\": true}", "{\"silent\": false}"},
        {"{\"answer_ms\": 200}", "{\"answer_ms\": 0}"},
        {"{\"crash\": true}", "{\"revive\": true}"},
        {"{\"late_starts\": true}",
         "{\"late_starts\": false, \"carry_out\": true}"},
        {"{\"cpu\": 600}", "{\"cpu\": 4000}"},
        {"{\"restart\": true}", "{\"restart\": true}"},
    };
    uint32_t kind = draw(d, G_N_ELEMENTS(texts));

    add(d, target, "worker", number, BW_LAB_TELL, texts[kind][0],
        100 + draw(d, 1500), BW_LAB_TELL, texts[kind][1]);
}

static void
disturb_store(Draw *d, uint32_t target)
{
    static const char *const texts[] = {
        "{\"mode\": \"down\"}", "{\"mode\": \"refuse\", \"permille\": 500}",
        "{\"mode\": \"swallow\"}", "{\"mode\": \"lost\", \"permille\": 500}",
        "{\"delay_ms\": 300}"};

    add(d, target, "store", 0, BW_LAB_TELL, texts[draw(d, 5)],
        300 + draw(d, 2500), BW_LAB_TELL,
        "{\"mode\": \"ok\", \"delay_ms\": 0}");
}

/* Changes of the configuration, one or several in quick succession. */
static void
change_config(Draw *d)
{
    uint32_t count = draw(d, 3) == 0 ? 8 : 1;
    uint32_t at_ms = FIRST_MS + draw(d, LAST_MS - FIRST_MS);

    for (uint32_t i = 0; i < count; i++) {
        SoakPlan *plan = d->plan;

        if (plan->disturbance_count == SOAK_DISTURBANCES_MAX)
            return;
        set_fault(&plan->disturbances[plan->disturbance_count++].begin,
                  at_ms + i * STORM_GAP_MS, "store", 0, BW_LAB_CONFIGURE, "");
    }
}

/* A failure domain is evacuated and taken back, in half of the plays; another
   one may overlap. */
static void
evacuate(Draw *d)
{
    static const char *const texts[][2] = {
        {"{\"evacuate\": \"charguia-a\"}", "{\"take_back\": \"charguia-a\"}"},
        {"{\"evacuate\": \"charguia-b\"}", "{\"take_back\": \"charguia-b\"}"},
        {"{\"evacuate\": \"ariana-c\"}", "{\"take_back\": \"ariana-c\"}"},
    };
    uint32_t count = draw(d, 3);

    for (uint32_t i = 0; i < count; i++) {
        uint32_t domain = draw(d, G_N_ELEMENTS(texts));

        add(d, FIRST_DOMAIN_TARGET + domain, "store", 0, BW_LAB_TELL,
            texts[domain][0], 500 + draw(d, 3000), BW_LAB_TELL,
            texts[domain][1]);
    }
}

static void
draw_clock_steps(Draw *d)
{
    SoakPlan *plan = d->plan;

    plan->clock_step_count = draw(d, SOAK_CLOCK_STEPS_MAX + 1);
    for (uint32_t i = 0; i < plan->clock_step_count; i++) {
        SoakClockStep *step = &plan->clock_steps[i];

        step->at_ms = FIRST_MS + draw(d, LAST_MS - FIRST_MS - 2000);
        step->for_ms = 100 + draw(d, 1900);
        step->half = draw(d, 2);
        step->ahead_s =
            (int32_t)draw(d, 2 * CLOCK_STEP_MAX_S + 1) - CLOCK_STEP_MAX_S;
    }
}

void
SoakBound_Draw(SoakPlan *plan)
{
    Draw d = {.plan = plan,
              .rand = g_rand_new_with_seed(plan->seed),
              .dispatchers =
                  plan->is_wide ? BW_FLEET_DISPATCHERS_MAX : DISPATCHERS,
              .workers = plan->is_wide ? BW_FLEET_WORKERS_MAX : WORKERS};

    plan->disturbance_count = 0;
    memset(plan->disturbances, 0, sizeof(plan->disturbances));
    for (uint32_t i = 0; i < DISTURBANCES; i++) {
        uint32_t number = draw(&d, 1000);
        uint32_t dispatcher = number % d.dispatchers;
        uint32_t worker = number % d.workers;

        switch (draw(&d, 6)) {
        case 0:
        case 1:
            disturb_daemon(&d, dispatcher, "dispatcher", dispatcher);
            break;
        case 2:
            disturb_daemon(&d, d.dispatchers + worker, "supervisor", worker);
            break;
        case 3:
            disturb_worker(&d, d.dispatchers + d.workers + worker, worker);
            break;
        case 4:
            disturb_store(&d, STORE_TARGET);
            break;
        default:
            change_config(&d);
            break;
        }
    }
    draw_clock_steps(&d);
    if (draw(&d, 3) == 0)
        plan->crash_permille = 1 + draw(&d, CRASH_PERMILLE_MAX);
    evacuate(&d);
    g_rand_free(d.rand);
}

static int
compare_faults(const void *left, const void *right)
{
    const BwLabFault *a = left, *b = right;

    return a->at_ms < b->at_ms ? -1 : a->at_ms > b->at_ms;
}

/* Returns the faults of the plan by time; free them with g_free. */
static BwLabFault *
list_faults(const SoakPlan *plan, uint32_t *count)
{
    BwLabFault *faults = g_new0(BwLabFault, 2 * SOAK_DISTURBANCES_MAX + 1);

    *count = 0;
    if (plan->crash_permille > 0) {
        BwLabFault *fault = &faults[(*count)++];

        fault->at_ms = 1;
        fault->action = BW_LAB_TELL;
        g_strlcpy(fault->target, "worker", sizeof(fault->target));
        g_strlcpy(fault->text, DOWN_TEXT, sizeof(fault->text));
    }
    for (uint32_t i = 0; i < plan->disturbance_count; i++) {
        faults[(*count)++] = plan->disturbances[i].begin;
        if (plan->disturbances[i].end.at_ms > 0)
            faults[(*count)++] = plan->disturbances[i].end;
    }
    qsort(faults, *count, sizeof(*faults), compare_faults);
    return faults;
}

/* ------------------------------------------------------------- callers */

/* A job of a caller with an open connection. */
typedef struct Call {
    char name[32];
    uint32_t status; /* of its answer; 0: none */
    bool is_completed;
} Call;

typedef struct Play {
    const SoakPlan *plan;
    int32_t *clock_offsets_s; /* of both halves, mapped by the processes */
    BwLabRunner runner;
    BwExperiment experiment;
    SoakReport *report;
    uint32_t seed;
    gint next_caller;
    gint is_over;
    GMutex lock;
    GArray *calls; /* of Call */
    SoakCompanions companions;
    pid_t first_pids[BW_FLEET_DISPATCHERS_MAX + BW_FLEET_WORKERS_MAX];
    uint32_t
        first_descriptors[BW_FLEET_DISPATCHERS_MAX + BW_FLEET_WORKERS_MAX];
    uint32_t first_threads[BW_FLEET_DISPATCHERS_MAX + BW_FLEET_WORKERS_MAX];
} Play;

/* Returns whether a planned stop of the dispatcher has begun and nothing else
   has happened to it since. */
static bool
is_stopping(const Play *play, uint32_t dispatcher)
{
    const BwLabRunner *runner = &play->runner;
    bool is_stopping = false;

    for (uint32_t i = 0; i < runner->injected_count; i++) {
        const BwLabFault *fault = runner->injected[i].fault;

        if (BwLabTarget_Matches(fault->target, "dispatcher", dispatcher) &&
            fault->action != BW_LAB_RELOAD)
            is_stopping = fault->action == BW_LAB_STOP;
    }
    return is_stopping;
}

static bool
has_logged_stopped(const Play *play, uint32_t dispatcher)
{
    char *path = g_strdup_printf("%s/dispatcher-%u.out",
                                 play->runner.fleet.dir, dispatcher);
    char *text = NULL;
    bool has_stopped = false;

    if (g_file_get_contents(path, &text, NULL, NULL))
        has_stopped = strstr(text, " stopped") != NULL;
    g_free(text);
    g_free(path);
    return has_stopped;
}

/* A process that stops as planned answers all that it has received.  It may
   end while a request is still on its way to it. */
static void
check_unanswered(Play *play, uint32_t dispatcher, const char *name,
                 uint64_t sent_us)
{
    uint64_t waited_us = BwClock_Now() - sent_us;

    if (waited_us >= CALL_TIMEOUT_US || !is_stopping(play, dispatcher))
        return;
    if (waited_us > RECEIVED_US)
        SoakReport_Add(play->report,
                       "a stopping dispatcher-%u did not answer %s, sent %u "
                       "ms before the connection ended",
                       dispatcher, name, (uint32_t)(waited_us / 1000));
    else if (!has_logged_stopped(play, dispatcher))
        SoakReport_Add(play->report,
                       "a stopping dispatcher-%u ended the connection of %s "
                       "and ran on",
                       dispatcher, name);
}

static void
call_once(Play *play, BwBlockingClient *client, uint32_t dispatcher,
          const char *name, const char *body)
{
    uint64_t sent_us = BwClock_Now();
    char *path = g_strdup_printf("/short/%s", name);
    char *headers = g_strdup_printf("%s: %u\r\n", BW_WORDING_DEADLINE_HEADER,
                                    CALLER_DEADLINE_MS);
    BwBlockingReply reply;
    Call call = {0};

    g_strlcpy(call.name, name, sizeof(call.name));
    call.status = BwBlockingClient_Request(client, "POST", path, headers,
                                           BwSpan_FromString(body),
                                           CALL_TIMEOUT_US, &reply);
    call.is_completed =
        call.status == 200 && strstr(reply.body, BW_WORDING_COMPLETED) != NULL;
    if (call.status == 0 && reply.is_sent)
        check_unanswered(play, dispatcher, name, sent_us);
    g_mutex_lock(&play->lock);
    g_array_append_val(play->calls, call);
    g_mutex_unlock(&play->lock);
    free(reply.body);
    g_free(headers);
    g_free(path);
}

static gpointer
run_caller(gpointer data)
{
    Play *play = data;
    uint32_t number = (uint32_t)g_atomic_int_add(&play->next_caller, 1);
    GRand *rand = g_rand_new_with_seed(play->seed * CALLERS + number);
    uint32_t count = play->experiment.fleet.dispatchers;
    BwBlockingClient clients[BW_FLEET_DISPATCHERS_MAX];
    char *body = BwWording_JobText(CALLER_TASKS, 60, 200, 100, 0, false);
    uint64_t end_us = play->runner.start_us + DURATION_MS * 1000;
    uint32_t calls = 0;

    for (uint32_t i = 0; i < count; i++)
        BwBlockingClient_Init(&clients[i], "127.0.0.1",
                              (uint16_t)play->runner.fleet.http_ports[i]);
    /* The ledgers are read later, once the last call is over. */
    while (!g_atomic_int_get(&play->is_over) && BwClock_Now() < end_us) {
        uint32_t dispatcher =
            (uint32_t)g_rand_int_range(rand, 0, (gint32)count);
        char name[32];

        g_snprintf(name, sizeof(name), "d%03x%012x", number, calls++);
        call_once(play, &clients[dispatcher], dispatcher, name, body);
        g_usleep((gulong)g_rand_int_range(rand, 1000, PAUSE_MAX_US));
    }
    for (uint32_t i = 0; i < count; i++)
        BwBlockingClient_Finish(&clients[i]);
    free(body);
    g_rand_free(rand);
    return NULL;
}

/* Sets the clocks as the plan has it. */
static void
set_clocks(Play *play)
{
    uint64_t now_us = BwClock_Now();
    int32_t offsets_s[2] = {0, 0};

    for (uint32_t i = 0; i < play->plan->clock_step_count; i++) {
        const SoakClockStep *step = &play->plan->clock_steps[i];
        uint64_t from_us =
            play->runner.start_us + (uint64_t)step->at_ms * 1000;

        if (now_us >= from_us &&
            now_us < from_us + (uint64_t)step->for_ms * 1000)
            offsets_s[step->half] += step->ahead_s;
    }
    for (uint32_t i = 0; play->clock_offsets_s != NULL && i < 2; i++)
        g_atomic_int_set(&play->clock_offsets_s[i], offsets_s[i]);
}

/* A revision never goes back while a process lives. */
static gpointer
run_monitor(gpointer data)
{
    Play *play = data;
    const BwFleet *fleet = &play->runner.fleet;
    uint64_t revisions[BW_FLEET_DISPATCHERS_MAX] = {0};
    pid_t pids[BW_FLEET_DISPATCHERS_MAX] = {0};

    while (!g_atomic_int_get(&play->is_over)) {
        for (uint32_t i = 0; i < play->experiment.fleet.dispatchers; i++) {
            pid_t pid = fleet->dispatchers[i].pid;
            uint64_t revision = BwFleet_ReadMetric(
                fleet->ready_ports[i], "brasswing_config_revision");

            if (pid == 0 || revision == 0 || fleet->dispatchers[i].pid != pid)
                continue;
            if (pid == pids[i] && revision < revisions[i])
                SoakReport_Add(
                    play->report,
                    "dispatcher-%u went from revision %" G_GUINT64_FORMAT
                    " to %" G_GUINT64_FORMAT,
                    i, revisions[i], revision);
            pids[i] = pid;
            revisions[i] = revision;
        }
        set_clocks(play);
        g_usleep(MONITOR_US);
    }
    return NULL;
}

/* ------------------------------------------------------------- levels */

static uint32_t
count_entries(pid_t pid, const char *folder)
{
    char *path = g_strdup_printf("/proc/%d/%s", (int)pid, folder);
    DIR *dir = opendir(path);
    uint32_t count = 0;

    while (dir != NULL && readdir(dir) != NULL)
        count++;
    if (dir != NULL)
        closedir(dir);
    g_free(path);
    return count;
}

static const BwProcess *
daemon_at(const Play *play, uint32_t i)
{
    const BwFleet *fleet = &play->runner.fleet;

    return i < fleet->plan.dispatchers
               ? &fleet->dispatchers[i]
               : &fleet->supervisors[i - fleet->plan.dispatchers];
}

static uint32_t
daemon_count(const Play *play)
{
    return play->runner.fleet.plan.dispatchers +
           play->runner.fleet.plan.workers;
}

static void
record_levels(Play *play)
{
    for (uint32_t i = 0; i < daemon_count(play); i++) {
        play->first_pids[i] = daemon_at(play, i)->pid;
        play->first_descriptors[i] = count_entries(play->first_pids[i], "fd");
        play->first_threads[i] = count_entries(play->first_pids[i], "task");
    }
}

static void
check_resident(Play *play, const BwProcess *process)
{
#ifndef SOAK_SANITIZED
    char *path = g_strdup_printf("/proc/%d/statm", (int)process->pid);
    char *text = NULL;
    unsigned long pages = 0;

    if (g_file_get_contents(path, &text, NULL, NULL))
        sscanf(text, "%*u %lu", &pages);
    if (pages * (unsigned long)sysconf(_SC_PAGESIZE) > RESIDENT_BYTES_MAX)
        SoakReport_Add(play->report, "%s has %lu pages resident",
                       process->name, pages);
    g_free(text);
    g_free(path);
#else
    (void)play;
    (void)process;
#endif
}

/* Returns the descriptors of a process, once they are back at their level or
   LEVEL_TIMEOUT_US have passed. */
static uint32_t
settled_descriptors(const BwProcess *process, uint32_t level)
{
    uint64_t give_up_us = BwClock_Now() + LEVEL_TIMEOUT_US;
    uint32_t count;

    while ((count = count_entries(process->pid, "fd")) > level &&
           BwClock_Now() < give_up_us)
        g_usleep(MONITOR_US);
    return count;
}

/* Processes that were never replaced are back at the level of the start. */
static void
check_levels(Play *play)
{
    for (uint32_t i = 0; i < daemon_count(play); i++) {
        const BwProcess *process = daemon_at(play, i);
        uint32_t level =
            play->first_descriptors[i] +
            (i < play->runner.fleet.plan.dispatchers ? DISPATCHER_MARGIN
                                                     : SUPERVISOR_MARGIN);
        uint32_t descriptors = settled_descriptors(process, level);
        uint32_t threads = count_entries(process->pid, "task");

        if (process->pid == 0 || process->pid != play->first_pids[i])
            continue;
        if (descriptors > level)
            SoakReport_Add(play->report, "%s has %u descriptors, %u before",
                           process->name, descriptors,
                           play->first_descriptors[i]);
        if (threads != play->first_threads[i])
            SoakReport_Add(play->report, "%s has %u threads, %u before",
                           process->name, threads, play->first_threads[i]);
        check_resident(play, process);
    }
}

/* --------------------------------------------------------- comparisons */

static bool
has_lost_supervisor(const SoakPlan *plan)
{
    for (uint32_t i = 0; i < plan->disturbance_count; i++) {
        const BwLabFault *fault = &plan->disturbances[i].begin;

        if (g_str_has_prefix(fault->target, "supervisor") &&
            fault->action != BW_LAB_RELOAD)
            return true;
    }
    return false;
}

/* No task crashes a third worker, and no job fails without a task that crashes
   workers.  A crash while the worker's supervisor is away is known to nobody,
   so these plays are left out. */
static void
check_crashes(Play *play, const BwLabResults *results)
{
    BwLabOutcome filter = {0};
    uint32_t crashes =
        BwLabCounter_Find("crashes_by_task")->count(results, &filter);
    uint32_t innocents =
        BwLabCounter_Find("failed_innocents")->count(results, &filter);

    if (crashes > BW_CRASHES_MAX && !has_lost_supervisor(play->plan))
        SoakReport_Add(play->report, "a task crashed %u workers", crashes);
    if (innocents > 0)
        SoakReport_Add(play->report, "%u jobs failed without a cause",
                       innocents);
}

static void
check_rules(Play *play)
{
    BwLabResults results;
    BwLabOutcome filter = {0};

    if (!BwLabResults_Init(&results, &play->runner)) {
        SoakReport_Add(play->report, "out of memory");
        return;
    }
    for (const BwLabCounter *counter = BwLabCounters(); counter->name != NULL;
         counter++) {
        uint32_t count =
            counter->is_rule ? counter->count(&results, &filter) : 0;

        if (count > 0)
            SoakReport_Add(play->report, "%s=%u", counter->name, count);
    }
    check_crashes(play, &results);
    BwLabResults_Finish(&results);
}

/* Counts the runs of a job in the ledgers; *done: its tasks of which a run was
   done.  A task may be done twice, one after the other, if a supervisor is
   lost before it has reported the first time. */
static uint32_t
count_runs(const Play *play, const char *name, uint32_t *done)
{
    size_t length = strlen(name);
    uint32_t count = 0;
    uint64_t done_tasks = 0; /* bit I: task I */
    size_t worker, i;
    json_t *record, *row;

    *done = 0;
    json_array_foreach(play->runner.workers, worker, record)
    {
        json_array_foreach(json_object_get(record, "rows"), i, row)
        {
            const char *task = json_string_value(json_object_get(row, "task"));
            const char *how = json_string_value(json_object_get(row, "how"));

            if (strncmp(task, name, length) != 0 || task[length] != '.')
                continue;
            count++;
            if (strcmp(how, "done") == 0)
                done_tasks |=
                    UINT64_C(1)
                    << strtoul(strrchr(task, '.') + 1, NULL, 10) % 64;
        }
    }
    while (done_tasks != 0) {
        *done += done_tasks & 1;
        done_tasks >>= 1;
    }
    return count;
}

static void
check_calls(Play *play)
{
    uint32_t completed = 0;

    for (guint i = 0; i < play->calls->len; i++) {
        const Call *call = &g_array_index(play->calls, Call, i);
        uint32_t done;
        uint32_t runs = count_runs(play, call->name, &done);

        completed += call->is_completed;
        if (call->is_completed && done != CALLER_TASKS)
            SoakReport_Add(play->report,
                           "%s was answered as completed with %u of %u tasks "
                           "done",
                           call->name, done, CALLER_TASKS);
        if ((call->status == 429 || call->status == 503) && runs > 0)
            SoakReport_Add(play->report, "%s ran %u times and was refused",
                           call->name, runs);
    }
    if (completed == 0)
        SoakReport_Add(play->report, "no caller was served");
}

/* Every line begins with its time, level, name and event, but one that h2o
   writes itself when the other side has closed an idle connection. */
static void
check_log(Play *play, const char *path, GRegex *line_form)
{
    char *text = NULL;
    char *line, *end;

    if (!g_file_get_contents(path, &text, NULL, NULL))
        return;
    for (line = text; (end = strchr(line, '\n')) != NULL; line = end + 1) {
        *end = '\0';
        if (!g_regex_match(line_form, line, 0, NULL) &&
            strcmp(line, H2O_CLOSE_LINE) != 0) {
            SoakReport_Add(play->report, "%s: %.200s", path, line);
            break;
        }
    }
    g_free(text);
}

static void
check_logs(Play *play)
{
    GRegex *line_form = g_regex_new(
        "^[0-9-]{10}T[0-9:.]{15}Z (error|warning|info|debug) [a-z]+-[0-9]+ "
        "[a-z_]+( [a-z_]+=|$)",
        0, 0, NULL);

    for (uint32_t i = 0; i < daemon_count(play); i++) {
        const char *path = daemon_at(play, i)->output;
        char *old = g_strdup_printf("%s.old", path);

        check_log(play, path, line_form);
        check_log(play, old, line_form);
        g_free(old);
    }
    g_regex_unref(line_form);
}

static void
check_config(Play *play)
{
    uint64_t give_up_us = BwClock_Now() + IN_FORCE_US;

    while (!BwFleet_HasConfigRevision(&play->runner.fleet,
                                      play->runner.config_revision)) {
        if (BwClock_Now() > give_up_us) {
            SoakReport_Add(play->report,
                           "revision %u is not in force everywhere",
                           play->runner.config_revision);
            return;
        }
        g_usleep(MONITOR_US);
    }
}

/* All are asked to stop at once. */
static void
stop_all(Play *play)
{
    for (uint32_t i = 0; i < daemon_count(play); i++)
        BwProcess_Signal((BwProcess *)daemon_at(play, i), SIGTERM);
    for (uint32_t i = 0; i < daemon_count(play); i++) {
        BwProcess *process = (BwProcess *)daemon_at(play, i);
        int code = 0;

        if (process->pid != 0 &&
            (!BwProcess_WaitEnd(process, STOP_LIMIT_US, &code) || code != 0))
            SoakReport_Add(play->report, "%s did not stop as asked: code %d",
                           process->name, code);
    }
}

/* ---------------------------------------------------------------- play */

/* Waits until the fleet has started, or the run has failed. */
static gpointer
run_companions(gpointer data)
{
    Play *play = data;
    GThread *threads[CALLERS + 3];

    while (play->runner.start_us == 0 && !g_atomic_int_get(&play->is_over))
        g_usleep(1000);
    if (g_atomic_int_get(&play->is_over))
        return NULL;
    record_levels(play);
    for (uint32_t i = 0; i < CALLERS; i++)
        threads[i] = g_thread_new("caller", run_caller, play);
    threads[CALLERS] = g_thread_new("monitor", run_monitor, play);
    SoakCompanions_Init(&play->companions, &play->runner, play->seed,
                        play->runner.start_us + DURATION_MS * 1000,
                        &play->is_over);
    threads[CALLERS + 1] =
        g_thread_new("cancels", SoakCompanions_Cancel, &play->companions);
    threads[CALLERS + 2] = g_thread_new(
        "heartbeats", SoakCompanions_SendHeartbeats, &play->companions);
    for (uint32_t i = 0; i < G_N_ELEMENTS(threads); i++)
        g_thread_join(threads[i]);
    return NULL;
}

/* Processes that are started from now on take their wall clock from a file in
   the directory. */
static void
open_clocks(Play *play, const char *dir)
{
#ifndef SOAK_SANITIZED
    char *path = g_build_filename(dir, "clock", NULL);
    int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    void *map = MAP_FAILED;

    if (fd >= 0 && ftruncate(fd, 2 * sizeof(int32_t)) == 0)
        map = mmap(NULL, 2 * sizeof(int32_t), PROT_READ | PROT_WRITE,
                   MAP_SHARED, fd, 0);
    if (map != MAP_FAILED) {
        play->clock_offsets_s = map;
        g_setenv("BW_CLOCK_FILE", path, TRUE);
        g_setenv("LD_PRELOAD", BW_CLOCK_SHIM_PATH, TRUE);
    }
    if (fd >= 0)
        close(fd);
    g_free(path);
#else
    (void)play;
    (void)dir;
#endif
}

static void
close_clocks(Play *play)
{
    g_unsetenv("LD_PRELOAD");
    g_unsetenv("BW_CLOCK_FILE");
    if (play->clock_offsets_s != NULL)
        munmap(play->clock_offsets_s, 2 * sizeof(int32_t));
}

static void
set_classes(BwLabClass classes[CLASSES], const SoakPlan *plan)
{
    bool is_wide = plan->is_wide;
    uint32_t load = is_wide ? 4 : 1;

    classes[0] = (BwLabClass){.name = "short",
                              .priority = 0,
                              .target_ms = 2000,
                              .rate_per_s = 15 * load,
                              .tasks = 4,
                              .run_ms = 60,
                              .cpu = 200,
                              .mem = 100,
                              .clients = 20,
                              .deadline_ms = 5000,
                              .crash_permille = plan->crash_permille,
                              .until_ms = DURATION_MS};
    classes[1] = (BwLabClass){.name = "long",
                              .priority = 2,
                              .target_ms = 2000,
                              .rate_per_s = 4 * load,
                              .tasks = 3,
                              .run_ms = 900,
                              .cpu = 150,
                              .mem = 100,
                              .clients = 20,
                              .deadline_ms = 5000,
                              .give_up_permille = 100,
                              .give_up_ms = 400,
                              .until_ms = DURATION_MS};
    classes[2] = (BwLabClass){.name = "lasting",
                              .priority = 1,
                              .target_ms = 2000,
                              .rate_per_s = 3 * load,
                              .tasks = 2,
                              .run_ms = LASTING_MS,
                              .cpu = 100,
                              .mem = 100,
                              .clients = 20,
                              .deadline_ms = 6000,
                              .until_ms = DURATION_MS};
}

void
SoakBound_Play(const SoakPlan *plan, const char *daemon, const char *lab,
               SoakReport *report)
{
    BwLabClass classes[CLASSES];
    BwLabOutcome outcome = {.expect = "usable_workers"};
    Play *play = g_new0(Play, 1);
    BwExperiment *experiment = &play->experiment;
    char *dir = g_dir_make_tmp("brasswing-soak-XXXXXX", NULL);
    GThread *companions;
    bool is_run;

    play->plan = plan;
    play->report = report;
    open_clocks(play, dir);
    play->seed = plan->seed;
    play->calls = g_array_new(FALSE, FALSE, sizeof(Call));
    g_mutex_init(&play->lock);
    set_classes(classes, plan);
    g_strlcpy(experiment->name, "soak", sizeof(experiment->name));
    experiment->seed = plan->seed;
    experiment->duration_ms = DURATION_MS;
    experiment->settle_ms = SETTLE_MS;
    experiment->is_configured = true;
    experiment->fleet.dispatchers =
        plan->is_wide ? BW_FLEET_DISPATCHERS_MAX : DISPATCHERS;
    experiment->fleet.workers = plan->is_wide ? BW_FLEET_WORKERS_MAX : WORKERS;
    experiment->fleet.cpu = 4000;
    experiment->fleet.mem = 8000;
    experiment->fleet.clock_permille = 980;
    experiment->classes = classes;
    experiment->class_count = G_N_ELEMENTS(classes);
    outcome.at_least = experiment->fleet.workers;
    experiment->outcomes = &outcome;
    experiment->outcome_count = 1;
    experiment->faults = list_faults(plan, &experiment->fault_count);
    companions = g_thread_new("companions", run_companions, play);
    is_run =
        BwLabRunner_Run(&play->runner, experiment, daemon, lab, dir, NULL);
    g_atomic_int_set(&play->is_over, 1);
    g_thread_join(companions);
    if (!is_run) {
        SoakReport_Add(report, "%s", play->runner.fault);
    }
    else {
        if (play->runner.usable_workers < outcome.at_least)
            SoakReport_Add(report, "%u of %u workers usable",
                           play->runner.usable_workers, outcome.at_least);
        check_rules(play);
        check_calls(play);
        SoakCompanions_Check(&play->companions, report);
        check_config(play);
        check_levels(play);
        stop_all(play);
        check_logs(play);
    }
    BwLabRunner_Finish(&play->runner);
    close_clocks(play);
    if (report->lines->len > 0)
        report->dir = dir;
    else
        Fleet_RemoveFiles(dir);
    g_free(experiment->faults);
    if (play->companions.jobs != NULL)
        SoakCompanions_Finish(&play->companions);
    g_array_free(play->calls, TRUE);
    g_mutex_clear(&play->lock);
    g_free(play);
}
