/* reviewcase.c -- a small deployment on loopback, see reviewcase.h */

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "brasswing.h"
#include "clock.h"
#include "reviewcase.h"
#include "wording.h"

#define READY_TIMEOUT_US 30000000
#define CALL_TIMEOUT_US 3000000
#define POLL_MS 1
/* The bounds that the deploy file's settings lead to. */
#define SESSION_MS 500
#define WORKER_LEASE_MS 400
#define STOP_MS 5700
#define CLIENT_SLACK_US 50000

long
ReviewCase_Ms(const ReviewCase *review, uint64_t at_us)
{
    return ((long)at_us - (long)review->began_us) / 1000;
}

long
ReviewCase_NowMs(const ReviewCase *review)
{
    return ReviewCase_Ms(review, BwClock_Now());
}

void
ReviewCase_Note(ReviewCase *review, const char *format, ...)
{
    va_list arguments;

    fprintf(review->record, "%8ld ms  ", ReviewCase_NowMs(review));
    va_start(arguments, format);
    vfprintf(review->record, format, arguments);
    va_end(arguments);
    fputc('\n', review->record);
    fflush(review->record);
}

static void
on_client_end(void *ctx, BwClientRequest *request)
{
    ReviewCase *review = ctx;
    ReviewJob *job = request->data;
    BwClientAnswer answer;

    request->answer[request->answer_bytes] = '\0';
    BwClientAnswer_Parse(&answer, request->answer, request->answer_bytes);
    job->answered_us = BwClock_Now();
    job->status = answer.is_complete ? answer.status : 0;
    if (answer.is_complete)
        snprintf(job->body, sizeof(job->body), "%s", answer.body);
    ReviewCase_Note(review, "POST %s at dispatcher-%u: %u %s", job->name,
                    job->dispatcher, job->status,
                    request->has_given_up ? "(the client gave up)"
                                          : job->body);
}

bool
ReviewCase_Init(ReviewCase *review, int argc, char **argv,
                uint32_t dispatchers, uint32_t workers, uint64_t cpu,
                uint64_t mem)
{
    const char *trouble = getenv("TROUBLE");
    char *dir = strdup("/tmp/brasswing-review-XXXXXX");
    BwFleetPlan plan = {
        .dispatchers = dispatchers,
        .workers = workers,
        .cpu = cpu,
        .mem = mem,
        .service = REVIEW_SERVICE,
        .production = "",
        .seed = 1,
        .session_ms = SESSION_MS,
        .worker_lease_ms = WORKER_LEASE_MS,
        .stop_ms = STOP_MS,
        .clock_permille = 980,
        .store = "",
    };

    memset(review, 0, sizeof(*review));
    review->began_us = BwClock_Now();
    review->has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    if (argc != 4)
        return false;
    plan.daemon = argv[1];
    plan.lab = argv[2];
    review->record = fopen(argv[3], "w");
    if (review->record == NULL || mkdtemp(dir) == NULL)
        return false;
    BwClientRequests_Init(&review->requests, on_client_end, review);
    ReviewCase_Note(review, "%u dispatchers, %u workers, TROUBLE=%d",
                    dispatchers, workers, review->has_trouble);
    if (BwFleet_Init(&review->fleet, &plan, dir))
        return true;
    ReviewCase_Note(review, "not started: %s", review->fleet.fault);
    return false;
}

static void
remove_files(const char *dir)
{
    char command[128];

    if (dir == NULL || strncmp(dir, "/tmp/brasswing-review-", 22) != 0)
        return;
    snprintf(command, sizeof(command), "rm -rf '%s'", dir);
    if (system(command) != 0)
        perror("rm");
}

int
ReviewCase_Finish(ReviewCase *review, int code)
{
    static const char *const outcomes[] = {
        "the rule held", "the rule was broken", "the case could not run"};
    char *dir = review->fleet.dir;

    BwFleet_Finish(&review->fleet);
    if (review->record != NULL) {
        ReviewCase_Note(review, "outcome: %s", outcomes[code]);
        fclose(review->record);
        BwClientRequests_Finish(&review->requests);
    }
    if (getenv("KEEP") == NULL)
        remove_files(dir);
    else if (dir != NULL)
        printf("%s\n", dir);
    free(dir);
    free(review->runs);
    return code;
}

bool
ReviewCase_Configure(ReviewCase *review, const char *service)
{
    uint64_t give_up_us = BwClock_Now() + READY_TIMEOUT_US;
    char *first = BwWording_RouteText("q", "127.0.0.1", service, 20000);
    char *second = BwWording_RouteText("p", "127.0.0.1", service, 20000);
    char *routes = NULL, *config, *text = NULL;
    bool is_accepted;

    if (asprintf(&routes, "%s,%s", first, second) < 0)
        return false;
    config = BwWording_ConfigText(++review->revision, routes);
    is_accepted = asprintf(&text, "{\"config\":%s}", config) > 0 &&
                  BwFleet_Control(review->fleet.door_ports[0], text);
    free(text);
    free(config);
    free(routes);
    free(first);
    free(second);
    while (is_accepted &&
           !(BwFleet_HasWorkers(&review->fleet, review->fleet.plan.workers) &&
             BwFleet_HasConfigRevision(&review->fleet, review->revision))) {
        if (BwClock_Now() > give_up_us)
            is_accepted = false;
        usleep(20000);
    }
    ReviewCase_Note(review, "configuration %u, queues q and p of %s: %s",
                    review->revision, service,
                    is_accepted ? "in force" : "not in force");
    return is_accepted;
}

ReviewJob *
ReviewCase_Post(ReviewCase *review, uint32_t dispatcher, const char *name,
                const char *body, uint32_t deadline_ms)
{
    ReviewJob *job = &review->jobs[review->job_count];
    char path[64], headers[64];

    if (review->job_count == REVIEW_JOBS_MAX)
        return NULL;
    snprintf(path, sizeof(path), "/q/%s", name);
    snprintf(headers, sizeof(headers), "%s: %u\r\n",
             BW_WORDING_DEADLINE_HEADER, deadline_ms);
    snprintf(job->name, sizeof(job->name), "%s", name);
    job->dispatcher = dispatcher;
    job->sent_us = BwClock_Now();
    if (!BwClientRequests_Start(
            &review->requests, review->fleet.http_ports[dispatcher], 1, "POST",
            path, headers, body,
            job->sent_us + deadline_ms * 1000ull + CLIENT_SLACK_US, job))
        return NULL;
    review->job_count++;
    ReviewCase_Note(review, "POST %s sent to dispatcher-%u", name, dispatcher);
    return job;
}

uint32_t
ReviewCase_Call(ReviewCase *review, uint32_t dispatcher, const char *method,
                const char *queue, const char *name)
{
    BwBlockingClient client;
    BwBlockingReply reply = {0};
    char path[64];

    snprintf(path, sizeof(path), "/%s/%s", queue, name);
    if (BwBlockingClient_Init(
            &client, "127.0.0.1",
            (uint16_t)review->fleet.http_ports[dispatcher])) {
        BwBlockingClient_Request(&client, method, path, "",
                                 BwSpan_FromString(""), CALL_TIMEOUT_US,
                                 &reply);
        BwBlockingClient_Finish(&client);
    }
    ReviewCase_Note(review, "%s %s at dispatcher-%u: %u %s", method, path,
                    dispatcher, reply.status,
                    reply.body != NULL ? reply.body : "");
    free(reply.body);
    return reply.status;
}

void
ReviewCase_Wait(ReviewCase *review, uint32_t ms)
{
    uint64_t until_us = BwClock_Now() + ms * 1000ull;

    while (BwClock_Now() < until_us) {
        if (review->requests.count > 0)
            BwClientRequests_Poll(&review->requests, POLL_MS);
        else
            usleep(POLL_MS * 1000);
    }
}

bool
ReviewCase_WaitAnswer(ReviewCase *review, const ReviewJob *job, uint32_t ms)
{
    uint64_t until_us = BwClock_Now() + ms * 1000ull;

    while (job->answered_us == 0 && BwClock_Now() < until_us)
        BwClientRequests_Poll(&review->requests, POLL_MS);
    return job->answered_us != 0;
}

static bool
read_ledger(ReviewCase *review, uint32_t worker)
{
    BwBlockingReply reply;
    json_t *ledger, *rows, *row;
    size_t i;

    BwFleet_Request(review->fleet.worker_ports[worker], "GET", "/ledger", "",
                    CALL_TIMEOUT_US, &reply);
    ledger = reply.status == 200 ? json_loads(reply.body, 0, NULL) : NULL;
    free(reply.body);
    rows = json_object_get(ledger, "rows");
    review->runs =
        realloc(review->runs, (review->run_count + json_array_size(rows) + 1) *
                                  sizeof(*review->runs));
    json_array_foreach(rows, i, row)
    {
        ReviewRun *run = &review->runs[review->run_count++];

        memset(run, 0, sizeof(*run));
        snprintf(run->task, sizeof(run->task), "%s",
                 json_string_value(json_object_get(row, "task")));
        snprintf(run->how, sizeof(run->how), "%s",
                 json_string_value(json_object_get(row, "how")));
        run->worker = worker;
        run->run = (uint32_t)json_integer_value(json_object_get(row, "run"));
        run->started_us =
            (uint64_t)json_integer_value(json_object_get(row, "started_us"));
        run->ended_us =
            (uint64_t)json_integer_value(json_object_get(row, "ended_us"));
    }
    json_decref(ledger);
    if (rows == NULL)
        ReviewCase_Note(review, "worker-%u did not tell its runs", worker);
    return rows != NULL;
}

static int
compare_runs(const void *left, const void *right)
{
    const ReviewRun *a = left, *b = right;

    return a->started_us < b->started_us   ? -1
           : a->started_us > b->started_us ? 1
                                           : 0;
}

bool
ReviewCase_ReadRuns(ReviewCase *review)
{
    review->run_count = 0;
    for (uint32_t i = 0; i < review->fleet.plan.workers; i++) {
        if (!read_ledger(review, i))
            return false;
    }
    qsort(review->runs, review->run_count, sizeof(*review->runs),
          compare_runs);
    for (uint32_t i = 0; i < review->run_count; i++) {
        const ReviewRun *run = &review->runs[i];

        fprintf(review->record,
                "%8ld ms  run %u of %s starts on worker-%u; %s after %ld ms\n",
                ReviewCase_Ms(review, run->started_us), run->run, run->task,
                run->worker, run->ended_us != 0 ? run->how : "still runs",
                run->ended_us != 0
                    ? (long)(run->ended_us - run->started_us) / 1000
                    : 0);
    }
    return true;
}
