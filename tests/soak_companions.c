/* soak_companions.c -- cancels, late requests and odd heartbeats in the soak

   See soak_companions.h. */

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "clock.h"
#include "fleet.h"
#include "soak_companions.h"
#include "wording.h"

#define CALL_TIMEOUT_US 3500000
#define TASKS 3
#define RUN_MS 1500
/* No task of a job starts later than this after its cancelling was
   acknowledged: the platform's bound. */
#define CANCEL_US 3000000
/* A request is sent again this long after the cancelling. */
#define REPEAT_US 3300000
#define HEARTBEAT_US 150000
#define ODD_NUMBERS 20000

typedef struct CancelledJob {
    char name[32];
    uint64_t acknowledged_us;
} CancelledJob;

/* A request of a job, on a connection of its own. */
typedef struct Post {
    uint16_t port;
    char path[64];
} Post;

static uint32_t
request(uint16_t port, const char *method, const char *path, const char *body)
{
    BwBlockingClient client;
    BwBlockingReply reply;
    char *headers = g_strdup_printf("%s: %u\r\n", BW_WORDING_DEADLINE_HEADER,
                                    CALL_TIMEOUT_US / 1000);
    uint32_t status;

    BwBlockingClient_Init(&client, "127.0.0.1", port);
    status = BwBlockingClient_Request(&client, method, path, headers,
                                      BwSpan_FromString(body), CALL_TIMEOUT_US,
                                      &reply);
    BwBlockingClient_Finish(&client);
    free(reply.body);
    g_free(headers);
    return status;
}

static gpointer
run_post(gpointer data)
{
    Post *post = data;
    char *body = BwWording_JobText(TASKS, RUN_MS, 100, 50, 0, false);

    request(post->port, "POST", post->path, body);
    free(body);
    return NULL;
}

static void
sleep_until(const SoakCompanions *c, uint64_t until_us)
{
    while (BwClock_Now() < until_us && !g_atomic_int_get(c->is_over))
        g_usleep(10000);
}

/* Sends the job's request again to the dispatcher that has acknowledged the
   cancelling, unless its process has ended since. */
static void
repeat(const SoakCompanions *c, const Post *post, uint32_t dispatcher,
       pid_t pid, uint64_t at_us)
{
    Post again = *post;

    sleep_until(c, at_us);
    again.port = (uint16_t)c->runner->fleet.http_ports[dispatcher];
    if (!g_atomic_int_get(c->is_over) &&
        c->runner->fleet.dispatchers[dispatcher].pid == pid)
        run_post(&again);
}

gpointer
SoakCompanions_Cancel(gpointer data)
{
    SoakCompanions *c = data;
    const BwFleet *fleet = &c->runner->fleet;
    uint32_t count = fleet->plan.dispatchers;
    GRand *rand = g_rand_new_with_seed(c->seed);

    for (uint32_t i = 0;
         BwClock_Now() < c->end_us && !g_atomic_int_get(c->is_over); i++) {
        uint32_t home = (uint32_t)g_rand_int_range(rand, 0, (gint32)count);
        uint32_t other = (uint32_t)g_rand_int_range(rand, 0, (gint32)count);
        pid_t pid = fleet->dispatchers[other].pid;
        Post post = {.port = (uint16_t)fleet->http_ports[home]};
        CancelledJob job = {0};
        GThread *thread;
        uint32_t status;

        g_snprintf(job.name, sizeof(job.name), "e%015x", i);
        g_snprintf(post.path, sizeof(post.path), "/short/%s", job.name);
        thread = g_thread_new("post", run_post, &post);
        sleep_until(c, BwClock_Now() +
                           (uint64_t)g_rand_int_range(rand, 20000, 500000));
        status = request((uint16_t)fleet->http_ports[other], "DELETE",
                         post.path, "");
        job.acknowledged_us = BwClock_Now();
        g_thread_join(thread);
        if (status != 200 && status != 410)
            continue;
        g_array_append_val(c->jobs, job);
        if (status == 200)
            repeat(c, &post, other, pid, job.acknowledged_us + REPEAT_US);
    }
    g_rand_free(rand);
    return NULL;
}

gpointer
SoakCompanions_SendHeartbeats(gpointer data)
{
    SoakCompanions *c = data;
    const BwFleet *fleet = &c->runner->fleet;
    char *odd = BwWording_InvalidHeartbeat(ODD_NUMBERS);
    char *stranger = BwWording_StrangerHeartbeat();

    for (uint32_t i = 0; !g_atomic_int_get(c->is_over); i++) {
        uint32_t supervisor = i % fleet->plan.workers;

        request((uint16_t)fleet->supervisor_ports[supervisor], "POST",
                BW_WORDING_STRANGER_PATH, i % 3 == 0 ? odd : stranger);
        g_usleep(HEARTBEAT_US);
    }
    free(odd);
    free(stranger);
    return NULL;
}

static void
check_job(const SoakCompanions *c, const CancelledJob *job, SoakReport *report)
{
    size_t length = strlen(job->name);
    size_t worker, i;
    json_t *record, *row;

    json_array_foreach(c->runner->workers, worker, record)
    {
        json_array_foreach(json_object_get(record, "rows"), i, row)
        {
            const char *task = json_string_value(json_object_get(row, "task"));
            uint64_t started_us = (uint64_t)json_integer_value(
                json_object_get(row, "started_us"));

            if (strncmp(task, job->name, length) == 0 && task[length] == '.' &&
                started_us > job->acknowledged_us + CANCEL_US)
                SoakReport_Add(
                    report,
                    "%s started on worker-%zu %u ms after its "
                    "cancelling was acknowledged",
                    task, worker,
                    (uint32_t)((started_us - job->acknowledged_us) / 1000));
        }
    }
}

void
SoakCompanions_Check(const SoakCompanions *c, SoakReport *report)
{
    for (guint i = 0; i < c->jobs->len; i++)
        check_job(c, &g_array_index(c->jobs, CancelledJob, i), report);
}

void
SoakCompanions_Init(SoakCompanions *c, const BwLabRunner *runner,
                    uint32_t seed, uint64_t end_us, const gint *is_over)
{
    c->runner = runner;
    c->seed = seed;
    c->end_us = end_us;
    c->is_over = is_over;
    c->jobs = g_array_new(FALSE, FALSE, sizeof(CancelledJob));
}

void
SoakCompanions_Finish(SoakCompanions *c)
{
    g_array_free(c->jobs, TRUE);
}
