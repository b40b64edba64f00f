/* load.c -- submits jobs to a fleet from many threads and checks the results

   See load.h.
*/

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "load.h"

#define DEADLINE_US 15000000
#define REQUEST_TIMEOUT_US 60000000
#define EARLY_TIMEOUT_US_MAX 400000
#define RESUBMIT_DELAY_US 20000
#define SETTLE_US 300000
#define RUN_US_MIN 20000

static bool
matches_plan(const Load *load, const char *key)
{
    BwJobId id =
        BwJobId_Make(BwSpan_FromString(LOAD_MEMBER), BwSpan_FromString(key));
    char name[BW_NAME_BYTES_MAX];
    int32_t home = BwRing_Find(&load->ring, id);

    if (load->plan.home == LOAD_ANY_HOME)
        return true;
    g_snprintf(name, sizeof(name), "agent-%u", load->plan.home);
    return (strcmp(load->ring.agents[home].name, name) == 0) !=
           load->plan.excludes_home;
}

char *
Load_MakeKey(Load *load, GRand *rand)
{
    for (;;) {
        char *key =
            g_strdup_printf("%s-%08x", load->plan.name, g_rand_int(rand));

        if (matches_plan(load, key))
            return key;
        g_free(key);
    }
}

/* Stores an answer in the job.  Returns whether the job may be submitted
   again. */
static bool
accept_answer(LoadJob *job, const FleetAnswer *answer)
{
    bool is_failed = g_strcmp0(answer->state, "failed") == 0;

    job->is_complete = g_strcmp0(answer->state, "complete") == 0;
    job->is_not_run = is_failed && g_strcmp0(answer->ran, "not_run") == 0;
    job->is_partial |= answer->wrong > 0 ||
                       answer->answers != (job->is_complete ? job->tasks : 0);
    g_free(job->error);
    job->error = g_strdup(answer->error);
    if (job->is_complete)
        return false;
    job->may_have_run |= !job->is_not_run;
    return !is_failed || job->is_not_run ||
           g_strcmp0(answer->error, "home_lost") == 0;
}

/* A client of each entry, as a thread has it. */
typedef struct Callers {
    BwBlockingClient clients[FLEET_ENTRIES_MAX];
    uint32_t ports[FLEET_ENTRIES_MAX]; /* 0: not connected yet */
} Callers;

/* Returns the client of an entry, which has another port after a restart. */
static BwBlockingClient *
client_of(const Load *load, Callers *callers, uint32_t entry)
{
    uint32_t port = load->fleet->entries[entry].http_port;

    if (port != 0 && port != callers->ports[entry]) {
        if (callers->ports[entry] != 0)
            BwBlockingClient_Finish(&callers->clients[entry]);
        g_assert_true(BwBlockingClient_Init(&callers->clients[entry],
                                            "127.0.0.1", (uint16_t)port));
        callers->ports[entry] = port;
    }
    return &callers->clients[entry];
}

static void
run_job(Load *load, GRand *rand, Callers *callers)
{
    LoadJob *job = g_new0(LoadJob, 1);
    uint32_t entries = load->fleet->plan.entries;
    uint32_t entry = (uint32_t)g_rand_int_range(rand, 0, (gint)entries);
    uint64_t run_us = (uint64_t)g_rand_int_range(rand, RUN_US_MIN,
                                                 (gint)load->plan.run_us_max);
    bool may_resubmit = g_rand_int_range(rand, 0, 4) != 0;
    bool disconnects_early = may_resubmit && g_rand_boolean(rand);
    uint64_t timeout_us =
        disconnects_early
            ? (uint64_t)g_rand_int_range(rand, 1000, EARLY_TIMEOUT_US_MAX)
            : REQUEST_TIMEOUT_US;
    bool needs_attempt = true;
    char *text;

    job->key = Load_MakeKey(load, rand);
    job->tasks =
        (uint32_t)g_rand_int_range(rand, 1, (gint)load->plan.tasks_max + 1);
    job->submitted_us = BwClock_Now();
    text = Fleet_JobText(LOAD_MEMBER, LOAD_SERVICE, job->key, job->tasks,
                         run_us, BwClock_WallNow() + DEADLINE_US, job->key);
    while (needs_attempt) {
        FleetAnswer answer;

        Fleet_SubmitWithin(
            client_of(load, callers, (entry + job->attempts++) % entries),
            text, timeout_us, &answer);
        timeout_us = REQUEST_TIMEOUT_US;
        needs_attempt = accept_answer(job, &answer) && may_resubmit &&
                        BwClock_Now() < job->submitted_us + DEADLINE_US;
        FleetAnswer_Clear(&answer);
        if (needs_attempt)
            g_usleep(RESUBMIT_DELAY_US);
    }
    job->took_us = BwClock_Now() - job->submitted_us;
    g_free(text);
    g_mutex_lock(&load->lock);
    g_ptr_array_add(load->jobs, job);
    g_mutex_unlock(&load->lock);
}

static gpointer
run_thread(gpointer data)
{
    Load *load = data;
    uint32_t number = (uint32_t)g_atomic_int_add(&load->next_thread, 1);
    GRand *rand = g_rand_new_with_seed(load->plan.seed + number);
    Callers callers = {0};

    while (!g_atomic_int_get(&load->is_stopping))
        run_job(load, rand, &callers);
    for (uint32_t i = 0; i < load->fleet->plan.entries; i++) {
        if (callers.ports[i] != 0)
            BwBlockingClient_Finish(&callers.clients[i]);
    }
    g_rand_free(rand);
    return NULL;
}

static void
free_job(gpointer data)
{
    LoadJob *job = data;

    g_free(job->key);
    g_free(job->error);
    g_free(job);
}

void
Load_Start(Load *load, Fleet *fleet, const LoadPlan *plan)
{
    memset(load, 0, sizeof(*load));
    load->fleet = fleet;
    load->plan = *plan;
    g_mutex_init(&load->lock);
    load->jobs = g_ptr_array_new_with_free_func(free_job);
    BwRing_Init(&load->ring);
    for (uint32_t i = 0; i < fleet->plan.agents; i++) {
        BwAgent agent = {.incarnation = 1};

        g_snprintf(agent.name, sizeof(agent.name), "agent-%u", i);
        g_assert_cmpint(BwRing_Put(&load->ring, &agent, i + 1), ==, BW_OK);
    }
    g_assert_cmpint(BwRing_Build(&load->ring), ==, BW_OK);
    load->threads = g_new0(GThread *, plan->threads);
    for (uint32_t i = 0; i < plan->threads; i++)
        load->threads[i] = g_thread_new("load", run_thread, load);
}

void
Load_Stop(Load *load)
{
    g_atomic_int_set(&load->is_stopping, 1);
    for (uint32_t i = 0; i < load->plan.threads; i++)
        g_thread_join(load->threads[i]);
    g_usleep(SETTLE_US);
}

void
Load_Finish(Load *load)
{
    g_ptr_array_unref(load->jobs);
    g_free(load->threads);
    g_mutex_clear(&load->lock);
    BwRing_Finish(&load->ring);
}

uint32_t
Load_CountStartedTasks(const LoadJob *job, GHashTable *starts)
{
    BwJobId id = BwJobId_Make(BwSpan_FromString(LOAD_MEMBER),
                              BwSpan_FromString(job->key));
    uint32_t found = 0;

    for (uint32_t i = 0; i < job->tasks; i++) {
        char *name =
            g_strdup_printf("%016llx%016llx %u", (unsigned long long)id.high,
                            (unsigned long long)id.low, i);

        found += g_hash_table_lookup(starts, name) != NULL;
        g_free(name);
    }
    return found;
}

static void
count_job(const LoadJob *job, GHashTable *starts, uint64_t since_us,
          LoadCounts *counts)
{
    uint32_t started = Load_CountStartedTasks(job, starts);

    counts->jobs++;
    counts->complete += job->is_complete;
    counts->not_run += job->is_not_run;
    counts->failed += !job->is_complete && !job->is_not_run;
    counts->resubmitted += job->attempts > 1;
    counts->served += job->is_complete && job->submitted_us >= since_us;
    counts->partial +=
        job->is_partial || (job->is_complete && started != job->tasks);
    /* `timed_out` with `not_run` is the home's statement about the whole job,
       not about one request, so it is wrong after a start even if an earlier
       attempt left open whether the job ran. */
    counts->wrong_not_run +=
        job->is_not_run && started > 0 &&
        (!job->may_have_run || g_strcmp0(job->error, "timed_out") == 0);
}

LoadCounts
Load_Count(Load *load, uint64_t since_us)
{
    GHashTable *starts = Fleet_ListStarts(load->fleet);
    LoadCounts counts = {0};
    GHashTableIter iter;
    gpointer value;

    for (guint i = 0; i < load->jobs->len; i++)
        count_job(load->jobs->pdata[i], starts, since_us, &counts);
    g_hash_table_iter_init(&iter, starts);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        counts.second_starts += GPOINTER_TO_SIZE(value) > 1;
    g_hash_table_destroy(starts);
    return counts;
}
