/* faults.c -- injects faults into real processes under load

   usage: faults [--known FILE] [--seed N] [CASE...]

   Each case starts a fleet of its own: six agents in three failure domains and
   two entries.  The outcomes checked in every case are:

     second_starts  no task starts twice; the backend stand-ins count the
                    starts and outlive their agents
     partial        no answer is partial or wrong
     wrong_not_run  no job that is reported as `not_run` has started
     unserved       jobs that are submitted after the fault complete
     crashes        no process ends unless the case ends it

   A case may check one more outcome of its own, and where the change is
   planned no job may fail.  A violation is known, and does not fail the run,
   when FILE has the line "faults: CASE OUTCOME" in it.
*/

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "clock.h"
#include "load.h"

#define AGENTS 6
#define DOMAINS 3
#define THREADS 12
#define DEFAULT_SEED 4
#define WARM_UP_MS 700
#define OBSERVE_MS 2000
#define LEASE_MS 2000 /* default in the settings */
#define STOP_TIMEOUT_US 30000000
/* Target: a backend server that leaves gets no task after this time. */
#define BACKEND_LEAVE_MS_MAX 3000

typedef struct Case Case;

typedef struct Run {
    const Case *test_case;
    Fleet fleet;
    Load load;
    uint32_t victim;
    uint64_t fault_us;
    uint32_t extra_violations; /* of the case's own outcome */
} Run;

struct Case {
    const char *name;
    void (*inject)(Run *run);
    const char *extra_name;
    enum { KEYS_ANY, KEYS_OF_VICTIM, KEYS_OF_OTHERS } keys;
    bool is_planned; /* a planned change: no job may fail */
};

static void
sleep_ms(uint32_t ms)
{
    g_usleep((gulong)ms * 1000);
}

static void
post_control(const FleetProcess *process, const char *text)
{
    BwBlockingReply reply;

    Fleet_Request(process->http_port, "POST", "/control", text, &reply);
    free(reply.body);
}

static void
kill_victim(Run *run)
{
    Fleet_Signal(&run->fleet.agents[run->victim], SIGKILL);
}

static void
kill_entry(Run *run)
{
    Fleet_Signal(&run->fleet.entries[0], SIGKILL);
}

static void
pause_home(Run *run)
{
    FleetProcess *home = &run->fleet.agents[run->victim];

    Fleet_Signal(home, SIGSTOP);
    sleep_ms(2 * LEASE_MS);
    Fleet_Signal(home, SIGCONT);
}

static void
kill_home_and_executor(Run *run)
{
    kill_victim(run);
    Fleet_Signal(&run->fleet.agents[(run->victim + 1) % AGENTS], SIGKILL);
}

/* Sends SIGTERM.  The process must exit by itself within the time-out, with
   exit code 0. */
static void
stop_agent(Run *run, uint32_t agent)
{
    FleetProcess *process = &run->fleet.agents[agent];
    int exit_code = -1;

    Fleet_Signal(process, SIGTERM);
    if (!Fleet_WaitEnd(process, STOP_TIMEOUT_US, &exit_code) || exit_code != 0)
        run->extra_violations++;
}

static void
stop_victim(Run *run)
{
    stop_agent(run, run->victim);
}

static void
stop_domain(Run *run)
{
    for (uint32_t i = run->victim % DOMAINS; i < AGENTS; i += DOMAINS)
        stop_agent(run, i);
}

static void
restart_agent(Run *run)
{
    kill_victim(run);
    Fleet_RestartAgent(&run->fleet, run->victim);
}

static void
takeover_in_outage(Run *run)
{
    post_control(&run->fleet.log, "{\"outage\":true}");
    sleep_ms(WARM_UP_MS);
    kill_victim(run);
    run->fault_us = BwClock_Now();
    sleep_ms(OBSERVE_MS);
    post_control(&run->fleet.log, "{\"outage\":false}");
}

/* The log applies the records of a leave and of a join, but its answers are
   lost. */
static void
lose_answers(Run *run)
{
    post_control(&run->fleet.log, "{\"lose_answers\":2}");
    stop_victim(run);
    post_control(&run->fleet.log, "{\"lose_answers\":2}");
    Fleet_RestartAgent(&run->fleet, run->victim);
}

static uint32_t
count_starts(const FleetProcess *backend)
{
    GHashTable *counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    uint32_t count;

    Fleet_AddStarts(backend, counts);
    count = g_hash_table_size(counts);
    g_hash_table_destroy(counts);
    return count;
}

/* One backend server is deregistered, another stops announcing itself. */
static void
leave_backends(Run *run)
{
    uint32_t other = (run->victim + 1) % AGENTS;
    const FleetProcess *leaving = &run->fleet.backends[run->victim];
    const FleetProcess *silent = &run->fleet.backends[other];
    uint32_t before;
    BwBlockingReply reply;

    post_control(leaving, "{\"announce\":false}");
    post_control(silent, "{\"announce\":false}");
    Fleet_Request(run->fleet.agents[run->victim].http_port, "DELETE",
                  "/v1/backend", "", &reply);
    free(reply.body);
    sleep_ms(BACKEND_LEAVE_MS_MAX);
    before = count_starts(leaving) + count_starts(silent);
    sleep_ms(OBSERVE_MS);
    run->extra_violations +=
        count_starts(leaving) + count_starts(silent) - before;
}

static void
kill_domain(Run *run)
{
    for (uint32_t i = run->victim % DOMAINS; i < AGENTS; i += DOMAINS)
        Fleet_Signal(&run->fleet.agents[i], SIGKILL);
}

static const Case cases[] = {
    {"kill-home", kill_victim, "", KEYS_OF_VICTIM, false},
    {"kill-executor", kill_victim, "", KEYS_OF_OTHERS, false},
    {"kill-entry", kill_entry, "", KEYS_ANY, false},
    {"pause-home", pause_home, "", KEYS_OF_VICTIM, false},
    {"kill-home-and-executor", kill_home_and_executor, "", KEYS_OF_VICTIM,
     false},
    {"stop-agent", stop_victim, "stops_failed", KEYS_ANY, true},
    {"stop-domain", stop_domain, "stops_failed", KEYS_ANY, true},
    {"restart-agent", restart_agent, "", KEYS_ANY, false},
    {"takeover-in-log-outage", takeover_in_outage, "", KEYS_OF_VICTIM, false},
    {"lost-log-answers", lose_answers, "stops_failed", KEYS_ANY, true},
    {"leaving-backends", leave_backends, "late_starts", KEYS_ANY, true},
    {"kill-domain", kill_domain, "", KEYS_ANY, false},
};

/* ------------------------------------------------------------ outcomes */

typedef struct Outcome {
    const char *name;
    uint32_t violations;
} Outcome;

static bool
is_known(const char *known, const char *name, const char *outcome)
{
    char *line = g_strdup_printf("faults: %s %s", name, outcome);
    bool is_found = known != NULL && strstr(known, line) != NULL;

    g_free(line);
    return is_found;
}

static bool
has_ended(const FleetProcess *process)
{
    siginfo_t info = {0};

    return process->pid != 0 &&
           waitid(P_PID, (id_t)process->pid, &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid != 0;
}

/* Counts the processes that ended although the case did not end them. */
static uint32_t
count_crashes(const Fleet *fleet)
{
    uint32_t crashes = has_ended(&fleet->log);

    for (uint32_t i = 0; i < fleet->plan.agents; i++)
        crashes +=
            has_ended(&fleet->agents[i]) + has_ended(&fleet->backends[i]);
    for (uint32_t i = 0; i < fleet->plan.entries; i++)
        crashes += has_ended(&fleet->entries[i]);
    return crashes;
}

/* Prints the line of the case.  Returns the number of violated outcomes and
   adds those that are not known to *unknown. */
static uint32_t
check_outcomes(const Run *run, const LoadCounts *counts, const char *known,
               uint32_t *unknown)
{
    uint32_t not_completed =
        run->test_case->is_planned ? counts->failed + counts->not_run : 0;
    const Outcome outcomes[] = {
        {"second_starts", counts->second_starts},
        {"partial", counts->partial},
        {"wrong_not_run", counts->wrong_not_run},
        {"unserved", counts->served == 0},
        {"crashes", count_crashes(&run->fleet)},
        {"failed_in_planned_stop", not_completed},
        {run->test_case->extra_name, run->extra_violations},
    };
    uint32_t violated = 0;

    printf("%-23s jobs=%u complete=%u failed=%u not_run=%u resubmitted=%u "
           "served_after=%u",
           run->test_case->name, counts->jobs, counts->complete,
           counts->failed, counts->not_run, counts->resubmitted,
           counts->served);
    for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
        const Outcome *outcome = &outcomes[i];
        bool is_violated = outcome->violations > 0;
        bool is_known_violation =
            is_violated &&
            is_known(known, run->test_case->name, outcome->name);

        violated += is_violated;
        *unknown += is_violated && !is_known_violation;
        if (is_violated || i < 3)
            printf(" %s=%u%s", outcome->name, outcome->violations,
                   is_known_violation ? " (known)" : "");
    }
    printf("%s\n", violated > 0 ? " VIOLATED" : "");
    fflush(stdout);
    return violated;
}

/* Prints how many jobs did not complete, by error, to explain violations. */
static void
print_errors(const Load *load)
{
    GHashTable *errors = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer name, count;

    for (guint i = 0; i < load->jobs->len; i++) {
        const LoadJob *job = load->jobs->pdata[i];
        const char *error = job->error != NULL ? job->error : "no_answer";

        if (job->is_complete)
            continue;
        count = g_hash_table_lookup(errors, error);
        g_hash_table_replace(errors, (gpointer)error,
                             GSIZE_TO_POINTER(GPOINTER_TO_SIZE(count) + 1));
    }
    g_hash_table_iter_init(&iter, errors);
    while (g_hash_table_iter_next(&iter, &name, &count))
        printf("    %s: %zu jobs\n", (const char *)name,
               GPOINTER_TO_SIZE(count));
    g_hash_table_destroy(errors);
}

static uint32_t
run_case(const Case *test_case, GRand *rand, const char *known,
         uint32_t *unknown)
{
    static const FleetPlan fleet_plan = {.agents = AGENTS,
                                         .entries = 2,
                                         .slots = 8,
                                         .run_us = 1000,
                                         .services = LOAD_SERVICE};
    Run run = {.test_case = test_case};
    LoadPlan plan = {.name = test_case->name,
                     .threads = THREADS,
                     .seed = g_rand_int(rand),
                     .home = LOAD_ANY_HOME,
                     .tasks_max = 8,
                     .run_us_max = 200000};
    LoadCounts counts;
    uint32_t violated;

    run.victim = (uint32_t)g_rand_int_range(rand, 0, AGENTS);
    if (test_case->keys != KEYS_ANY)
        plan.home = run.victim;
    plan.excludes_home = test_case->keys == KEYS_OF_OTHERS;
    Fleet_Init(&run.fleet, &fleet_plan);
    Load_Start(&run.load, &run.fleet, &plan);
    sleep_ms(WARM_UP_MS);
    run.fault_us = BwClock_Now();
    test_case->inject(&run);
    sleep_ms(OBSERVE_MS);
    Load_Stop(&run.load);
    counts = Load_Count(&run.load, run.fault_us);
    violated = check_outcomes(&run, &counts, known, unknown);
    print_errors(&run.load);
    Load_Finish(&run.load);
    Fleet_Finish(&run.fleet);
    return violated;
}

static bool
is_selected(const char *name, char **names)
{
    for (char **selected = names; *selected != NULL; selected++) {
        if (strcmp(*selected, name) == 0)
            return true;
    }
    return *names == NULL;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"known", required_argument, NULL, 'k'},
        {"seed", required_argument, NULL, 's'},
        {NULL, 0, NULL, 0}};
    uint32_t seed = DEFAULT_SEED;
    GRand *rand;
    char *known = NULL;
    uint32_t count = 0;
    uint32_t violated = 0;
    uint32_t unknown = 0;
    int option;

    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        if (option == 's')
            seed = (uint32_t)strtoul(optarg, NULL, 10);
        else if (option != 'k')
            return 2;
        else
            g_file_get_contents(optarg, &known, NULL, NULL);
    }
    rand = g_rand_new_with_seed(seed);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        if (!is_selected(cases[i].name, argv + optind))
            continue;
        count++;
        violated += run_case(&cases[i], rand, known, &unknown) > 0;
    }
    printf("faults: %u cases, %u violated\n", count, violated);
    g_rand_free(rand);
    g_free(known);
    return unknown > 0 ? 1 : 0;
}
