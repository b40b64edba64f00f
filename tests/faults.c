/* faults.c -- failures of real processes under a running load

   usage: faults [--known FILE] [--seed N] [CASE...]

   Each case has a fleet of its own: six agents in three failure domains, two
   entries.  Outcomes of every case: no second start, counted by the backend
   stand-ins, which outlive their agents; no partial or wrong answer; no wrong
   `not_run`; jobs that are submitted after the fault are served; no process
   ends that nobody ended; and what the case adds.  A violation is known, and
   does not fail the run, when FILE has the line "faults: CASE OUTCOME" in it.
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
#define SEED 4
#define WARM_MS 700
#define AFTER_MS 2000
#define LEASE_MS 2000 /* default of the settings */
#define STOP_TIMEOUT_US 30000000
#define LEAVING_MS 3000 /* stated target for a leaving backend server */

typedef struct Case Case;

typedef struct Run {
    const Case *which;
    Fleet fleet;
    Load load;
    uint32_t victim;
    uint64_t fault_us;
    uint32_t extra; /* violations of the case's own outcome */
} Run;

struct Case {
    const char *name;
    void (*act)(Run *run);
    const char *extra_name;
    enum { KEYS_ANY, KEYS_OF_VICTIM, KEYS_OF_OTHERS } keys;
    bool is_planned; /* no job may fail */
};

static void
wait_ms(uint32_t ms)
{
    g_usleep((gulong)ms * 1000);
}

static void
control(const FleetProcess *process, const char *text)
{
    BwBlockingReply reply;

    Fleet_Call(process->http_port, "POST", "/control", text, &reply);
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
    wait_ms(2 * LEASE_MS);
    Fleet_Signal(home, SIGCONT);
}

static void
kill_two(Run *run)
{
    kill_victim(run);
    Fleet_Signal(&run->fleet.agents[(run->victim + 1) % AGENTS], SIGKILL);
}

/* Every planned stop ends by itself, with success. */
static void
stop_agent(Run *run, uint32_t agent)
{
    FleetProcess *process = &run->fleet.agents[agent];
    int exit_code = -1;

    Fleet_Signal(process, SIGTERM);
    if (!Fleet_WaitEnd(process, STOP_TIMEOUT_US, &exit_code) || exit_code != 0)
        run->extra++;
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
    control(&run->fleet.log, "{\"outage\":true}");
    wait_ms(WARM_MS);
    kill_victim(run);
    run->fault_us = BwClock_Now();
    wait_ms(AFTER_MS);
    control(&run->fleet.log, "{\"outage\":false}");
}

/* The records of a leave and of a join take effect, their answers are lost. */
static void
lose_answers(Run *run)
{
    control(&run->fleet.log, "{\"lose_answers\":2}");
    stop_victim(run);
    control(&run->fleet.log, "{\"lose_answers\":2}");
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

/* One server says that it leaves, another falls silent. */
static void
leave_backends(Run *run)
{
    uint32_t other = (run->victim + 1) % AGENTS;
    const FleetProcess *leaving = &run->fleet.backends[run->victim];
    const FleetProcess *silent = &run->fleet.backends[other];
    uint32_t before;
    BwBlockingReply reply;

    control(leaving, "{\"announce\":false}");
    control(silent, "{\"announce\":false}");
    Fleet_Call(run->fleet.agents[run->victim].http_port, "DELETE",
               "/v1/backend", "", &reply);
    free(reply.body);
    wait_ms(LEAVING_MS);
    before = count_starts(leaving) + count_starts(silent);
    wait_ms(AFTER_MS);
    run->extra += count_starts(leaving) + count_starts(silent) - before;
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
    {"kill-home-and-executor", kill_two, "", KEYS_OF_VICTIM, false},
    {"stop-agent", stop_victim, "stops_failed", KEYS_ANY, true},
    {"stop-domain", stop_domain, "stops_failed", KEYS_ANY, true},
    {"restart-agent", restart_agent, "", KEYS_ANY, false},
    {"takeover-in-log-outage", takeover_in_outage, "", KEYS_OF_VICTIM, false},
    {"lost-log-answers", lose_answers, "stops_failed", KEYS_ANY, true},
    {"leaving-backends", leave_backends, "late_starts", KEYS_ANY, true},
    {"kill-domain", kill_domain, "", KEYS_ANY, false},
};

/* ------------------------------------------------------------ verdicts */

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

/* Counts processes that ended though nobody ended them. */
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

/* Prints the case's line.  Returns its outcomes that are violated; those that
   are not known are added to *unknown. */
static uint32_t
judge(const Run *run, const LoadCounts *counts, const char *known,
      uint32_t *unknown)
{
    uint32_t broken =
        run->which->is_planned ? counts->failed + counts->not_run : 0;
    const Outcome outcomes[] = {
        {"second_starts", counts->second_starts},
        {"partial", counts->partial},
        {"wrong_not_run", counts->wrong_not_run},
        {"unserved", counts->served == 0},
        {"crashes", count_crashes(&run->fleet)},
        {"failed_in_planned_stop", broken},
        {run->which->extra_name, run->extra},
    };
    uint32_t violated = 0;

    printf("%-23s jobs=%u complete=%u failed=%u not_run=%u resubmitted=%u "
           "served_after=%u",
           run->which->name, counts->jobs, counts->complete, counts->failed,
           counts->not_run, counts->resubmitted, counts->served);
    for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
        const Outcome *outcome = &outcomes[i];
        bool is_red = outcome->violations > 0;
        bool is_excused =
            is_red && is_known(known, run->which->name, outcome->name);

        violated += is_red;
        *unknown += is_red && !is_excused;
        if (is_red || i < 3)
            printf(" %s=%u%s", outcome->name, outcome->violations,
                   is_excused ? " (known)" : "");
    }
    printf("%s\n", violated > 0 ? " VIOLATED" : "");
    fflush(stdout);
    return violated;
}

/* Says why jobs did not complete, for whoever looks into a violation. */
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
run_case(const Case *which, GRand *rand, const char *known, uint32_t *unknown)
{
    static const FleetPlan fleet_plan = {.agents = AGENTS,
                                         .entries = 2,
                                         .slots = 8,
                                         .run_us = 1000,
                                         .services = LOAD_SERVICE};
    Run run = {.which = which};
    LoadPlan plan = {.name = which->name,
                     .threads = THREADS,
                     .seed = g_rand_int(rand),
                     .home = LOAD_ANY_HOME,
                     .tasks_max = 8,
                     .run_us_max = 200000};
    LoadCounts counts;
    uint32_t violated;

    run.victim = (uint32_t)g_rand_int_range(rand, 0, AGENTS);
    if (which->keys != KEYS_ANY)
        plan.home = run.victim;
    plan.is_not_home = which->keys == KEYS_OF_OTHERS;
    Fleet_Init(&run.fleet, &fleet_plan);
    Load_Start(&run.load, &run.fleet, &plan);
    wait_ms(WARM_MS);
    run.fault_us = BwClock_Now();
    which->act(&run);
    wait_ms(AFTER_MS);
    Load_Stop(&run.load);
    counts = Load_Count(&run.load, run.fault_us);
    violated = judge(&run, &counts, known, unknown);
    print_errors(&run.load);
    Load_Finish(&run.load);
    Fleet_Finish(&run.fleet);
    return violated;
}

static bool
is_chosen(const char *name, char **names)
{
    for (char **one = names; *one != NULL; one++) {
        if (strcmp(*one, name) == 0)
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
    uint32_t seed = SEED;
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
        if (!is_chosen(cases[i].name, argv + optind))
            continue;
        count++;
        violated += run_case(&cases[i], rand, known, &unknown) > 0;
    }
    printf("faults: %u cases, %u violated\n", count, violated);
    g_rand_free(rand);
    g_free(known);
    return unknown > 0 ? 1 : 0;
}
