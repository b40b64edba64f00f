/* measure_faults.c -- measures the effects of failures, and idle traffic

   usage: measure_faults

   Prints a table for docs/MEASURES.md, section "Failures": the time until a
   lost home's keys are served, the jobs that fail with an executor, the
   traffic of idle agents, and response times around a log outage.  Takes about
   three minutes.
*/

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "load.h"

#define AGENTS 11
#define THREADS 6
#define ROUNDS 5
#define EXECUTOR_LOSSES 3
#define WARM_UP_US 1000000
#define OBSERVE_US 2000000
#define IDLE_US 10000000
#define NO_OUTAGE_US 20000000
#define OUTAGE_US 60000000
#define PROBE_DEADLINE_US 30000000 /* of the job that is timed */

static const FleetPlan fleet_plan = {.agents = AGENTS,
                                     .entries = 2,
                                     .slots = 8,
                                     .run_us = 1000,
                                     .services = LOAD_SERVICE};

static gint
compare(gconstpointer a, gconstpointer b)
{
    const uint64_t *left = a;
    const uint64_t *right = b;

    return (*left > *right) - (*left < *right);
}

static uint64_t
quantile(GArray *values, double share)
{
    guint index = (guint)(share * (values->len - 1) + 0.5);

    g_array_sort(values, compare);
    return g_array_index(values, uint64_t, index);
}

/* -------------------------------------------------- takeover of an arc */

/* Returns the response time of a job that is submitted to the victim's arc
   right after the signal. */
static uint64_t
time_takeover(int signal_number, uint32_t round)
{
    LoadPlan plan = {.name = "probe", .home = round};
    GRand *rand = g_rand_new_with_seed(round);
    Fleet fleet;
    Load load;
    FleetAnswer answer;
    BwBlockingClient caller;
    char *key, *job;

    Fleet_Init(&fleet, &fleet_plan);
    Load_Start(&load, &fleet, &plan);
    key = Load_MakeKey(&load, rand);
    job = Fleet_JobText(LOAD_MEMBER, LOAD_SERVICE, key, 1, 1000,
                        BwClock_WallNow() + PROBE_DEADLINE_US, "");
    g_assert_true(BwBlockingClient_Init(&caller, "127.0.0.1",
                                        (uint16_t)fleet.entries[0].http_port));
    Fleet_Signal(&fleet.agents[round], signal_number);
    Fleet_Submit(&caller, job, &answer);
    if (g_strcmp0(answer.state, "complete") != 0)
        g_error("the job for the lost arc was not served: %s", answer.error);
    FleetAnswer_Clear(&answer);
    BwBlockingClient_Finish(&caller);
    Load_Finish(&load);
    Fleet_Finish(&fleet);
    g_rand_free(rand);
    g_free(key);
    g_free(job);
    return answer.took_us;
}

static void
print_takeover(const char *what, const char *target, int signal_number)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (uint32_t i = 0; i < ROUNDS; i++) {
        uint64_t took_us = time_takeover(signal_number, i);

        g_array_append_val(times, took_us);
    }
    printf("| %s | %s | median %.0f ms, greatest %.0f ms of %u |\n", what,
           target, (double)quantile(times, 0.5) / 1e3,
           (double)quantile(times, 1) / 1e3, ROUNDS);
    fflush(stdout);
    g_array_free(times, TRUE);
}

/* -------------------------------------------------------- lost executors */

static void
print_lost_executors(void)
{
    uint32_t jobs = 0, failed_with_task = 0, failed_without_task = 0;
    uint64_t tasks_running = 0;

    for (uint32_t round = 0; round < EXECUTOR_LOSSES; round++) {
        LoadPlan plan = {.name = "lost",
                         .threads = 2 * THREADS,
                         .seed = round,
                         .home = round,
                         .excludes_home = true,
                         .tasks_max = 8,
                         .run_us_max = 200000};
        GHashTable *starts =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        Fleet fleet;
        Load load;

        Fleet_Init(&fleet, &fleet_plan);
        Load_Start(&load, &fleet, &plan);
        g_usleep(WARM_UP_US);
        tasks_running += Fleet_ReadMetric(fleet.agents[round].http_port,
                                          "brasswing_slots_busy");
        Fleet_Signal(&fleet.agents[round], SIGKILL);
        g_usleep(OBSERVE_US);
        Load_Stop(&load);
        Fleet_AddStarts(&fleet.backends[round], starts);
        for (guint i = 0; i < load.jobs->len; i++) {
            const LoadJob *job = load.jobs->pdata[i];
            bool has_task = Load_CountStartedTasks(job, starts) > 0;

            failed_with_task += !job->is_complete && has_task;
            failed_without_task += !job->is_complete && !has_task;
        }
        jobs += load.jobs->len;
        g_hash_table_destroy(starts);
        Load_Finish(&load);
        Fleet_Finish(&fleet);
    }
    printf("| jobs failed per lost executor | no job without a task there | "
           "%u of %u jobs, %u without a task there; %u tasks ran there "
           "(sum of %u losses) |\n",
           failed_with_task + failed_without_task, jobs, failed_without_task,
           (unsigned)tasks_running, EXECUTOR_LOSSES);
    fflush(stdout);
}

/* ------------------------------------------------------------------ idle */

static void
print_idle(void)
{
    uint64_t messages[AGENTS], bytes[AGENTS];
    uint64_t most_messages = 0, most_bytes = 0;
    Fleet fleet;

    Fleet_Init(&fleet, &fleet_plan);
    g_usleep(OBSERVE_US);
    for (uint32_t i = 0; i < AGENTS; i++) {
        messages[i] = Fleet_ReadMetric(fleet.agents[i].http_port,
                                       "brasswing_messages_sent_total");
        bytes[i] = Fleet_ReadMetric(fleet.agents[i].http_port,
                                    "brasswing_bytes_sent_total");
    }
    g_usleep(IDLE_US);
    for (uint32_t i = 0; i < AGENTS; i++) {
        messages[i] = Fleet_ReadMetric(fleet.agents[i].http_port,
                                       "brasswing_messages_sent_total") -
                      messages[i];
        bytes[i] = Fleet_ReadMetric(fleet.agents[i].http_port,
                                    "brasswing_bytes_sent_total") -
                   bytes[i];
        most_messages = MAX(most_messages, messages[i]);
        most_bytes = MAX(most_bytes, bytes[i]);
    }
    printf("| sent by the busiest idle agent of %u | under 1000 bytes/s | "
           "%.1f messages/s, %.0f bytes/s |\n",
           AGENTS, (double)most_messages / (IDLE_US / 1e6),
           (double)most_bytes / (IDLE_US / 1e6));
    fflush(stdout);
    Fleet_Finish(&fleet);
}

/* ------------------------------------------------------------ log outage */

static uint64_t
run_load(Fleet *fleet, uint64_t for_us, uint32_t *failed)
{
    LoadPlan plan = {.name = for_us == OUTAGE_US ? "outage" : "quiet",
                     .threads = THREADS,
                     .seed = 1,
                     .home = LOAD_ANY_HOME,
                     .tasks_max = 8,
                     .run_us_max = 100000};
    GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    Load load;
    uint64_t p99_us;

    Load_Start(&load, fleet, &plan);
    g_usleep(for_us);
    Load_Stop(&load);
    for (guint i = 0; i < load.jobs->len; i++) {
        const LoadJob *job = load.jobs->pdata[i];

        if (job->attempts == 1)
            g_array_append_val(times, job->took_us);
        *failed += !job->is_complete;
    }
    p99_us = quantile(times, 0.99);
    g_array_free(times, TRUE);
    Load_Finish(&load);
    return p99_us;
}

static void
print_outage(void)
{
    Fleet fleet;
    BwBlockingReply reply;
    uint64_t before_us, during_us, after_us;
    uint32_t failed = 0;

    Fleet_Init(&fleet, &fleet_plan);
    before_us = run_load(&fleet, NO_OUTAGE_US, &failed);
    Fleet_Request(fleet.log.http_port, "POST", "/control", "{\"outage\":true}",
                  &reply);
    free(reply.body);
    during_us = run_load(&fleet, OUTAGE_US, &failed);
    Fleet_Request(fleet.log.http_port, "POST", "/control",
                  "{\"outage\":false}", &reply);
    free(reply.body);
    after_us = run_load(&fleet, NO_OUTAGE_US, &failed);
    printf("| p99 of job response, before / in a log outage of 60 s / after | "
           "no change | %.1f / %.1f / %.1f ms, %u jobs failed |\n",
           (double)before_us / 1e3, (double)during_us / 1e3,
           (double)after_us / 1e3, failed);
    Fleet_Finish(&fleet);
}

int
main(void)
{
    printf("| what | target | figure |\n|---|---|---|\n");
    print_takeover("SIGKILL of a home until its keys are served", "250 ms",
                   SIGKILL);
    print_takeover("SIGSTOP of a home until its keys are served",
                   "lease of 2000 ms + 500 ms", SIGSTOP);
    print_lost_executors();
    print_idle();
    print_outage();
    return 0;
}
