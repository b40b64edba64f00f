/* backend_standin.c -- emulates a backend server

   usage: backend_standin AGENT_HTTP_PORT SERVICE SLOTS [DEFAULT_RUN_US]

   It announces itself to the agent every second; after SIGTERM it deregisters
   and exits when its running tasks have ended.  fleet.c starts it.

   The body of a task may contain run_us=N, status=N and crash=1, and is sent
   back as the answer.  GET /starts lists the starts of each task as
   "JOB TASK COUNT" lines.  POST /control injects faults:

     {"slow": N}         multiplies run times
     {"fail": BOOL}      answers every task with 500 at once
     {"announce": BOOL}  stops or resumes the announcements
*/

#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <jansson.h>
#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "emulator.h"
#include "httpclient.h"
#include "httpserver.h"

#define ANNOUNCE_US 1000000

typedef struct RunningTask {
    BwExchange *exchange;
    uint64_t end_us;
    int status;
    struct RunningTask *prev, *next;
} RunningTask;

typedef struct StartCount {
    char name[64]; /* JOB TASK */
    unsigned count;
    UT_hash_handle hh;
} StartCount;

static struct {
    BwEventLoop event_loop;
    BwHttpServer http;
    BwHttpClient agent;
    h2o_socket_t *timer;
    RunningTask *running;
    StartCount *starts;
    const char *service;
    unsigned slots;
    uint64_t default_run_us;
    uint64_t run_time_factor;
    bool is_failing;
    bool is_announcing;
    uint64_t next_announcement_us;
    bool is_leaving;
    bool is_deregistered;
} backend;

static void
arm_timer(void)
{
    struct itimerspec when = {0};
    uint64_t end_us = UINT64_MAX;
    RunningTask *running;

    DL_FOREACH(backend.running, running)
    if (running->end_us < end_us)
        end_us = running->end_us;
    if (end_us != UINT64_MAX) {
        when.it_value.tv_sec = (time_t)(end_us / 1000000);
        when.it_value.tv_nsec = (long)(end_us % 1000000) * 1000 + 1;
    }
    timerfd_settime(h2o_socket_get_fd(backend.timer), TFD_TIMER_ABSTIME, &when,
                    NULL);
}

static void
on_timer(h2o_socket_t *sock, const char *err)
{
    RunningTask *running, *next;
    uint64_t count;
    ssize_t ignored = read(h2o_socket_get_fd(sock), &count, sizeof(count));

    (void)ignored;
    (void)err;
    DL_FOREACH_SAFE(backend.running, running, next)
    {
        if (running->end_us > BwClock_Now())
            continue;
        DL_DELETE(backend.running, running);
        BwExchange_Reply(running->exchange, running->status, "text/plain",
                         running->exchange->body, 0);
        free(running);
    }
    arm_timer();
}

static void
count_start(BwExchange *exchange)
{
    char job[40];
    char index[16];
    char name[64];
    StartCount *start;

    BwSpan_ToString(BwExchange_Header(exchange, "brasswing-job"), job,
                    sizeof(job));
    BwSpan_ToString(BwExchange_Header(exchange, "brasswing-task"), index,
                    sizeof(index));
    snprintf(name, sizeof(name), "%s %s", job, index);
    HASH_FIND_STR(backend.starts, name, start);
    if (start == NULL) {
        start = calloc(1, sizeof(StartCount));
        strcpy(start->name, name);
        HASH_ADD_STR(backend.starts, name, start);
    }
    start->count++;
}

static uint64_t
read_option(BwSpan body, const char *name, uint64_t fallback)
{
    char text[256];
    const char *found;

    BwSpan_ToString(body, text, sizeof(text));
    found = strstr(text, name);
    return found != NULL ? strtoull(found + strlen(name), NULL, 10) : fallback;
}

static void
serve_task(BwExchange *exchange)
{
    RunningTask *running = calloc(1, sizeof(RunningTask));
    uint64_t run_us =
        read_option(exchange->body, "run_us=", backend.default_run_us) *
        backend.run_time_factor;

    count_start(exchange);
    if (read_option(exchange->body, "crash=", 0) != 0)
        _exit(3);
    running->exchange = exchange;
    running->status = (int)read_option(exchange->body, "status=", 200);
    if (backend.is_failing) {
        run_us = 0;
        running->status = 500;
    }
    running->end_us = BwClock_Now() + run_us;
    exchange->data = running;
    DL_APPEND(backend.running, running);
    arm_timer();
}

static void
serve_starts(BwExchange *exchange)
{
    size_t capacity = (size_t)HASH_COUNT(backend.starts) * 80 + 1;
    char *text = malloc(capacity);
    size_t length = 0;

    text[0] = '\0';
    for (StartCount *s = backend.starts; s != NULL; s = s->hh.next)
        length += (size_t)snprintf(text + length, capacity - length, "%s %u\n",
                                   s->name, s->count);
    BwExchange_Reply(exchange, 200, "text/plain", BwSpan_FromString(text), 0);
    free(text);
}

static void
serve_control(BwExchange *exchange)
{
    json_t *root =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    json_t *value;

    if ((value = json_object_get(root, "slow")) != NULL)
        backend.run_time_factor = (uint64_t)json_integer_value(value);
    if ((value = json_object_get(root, "fail")) != NULL)
        backend.is_failing = json_is_true(value);
    if ((value = json_object_get(root, "announce")) != NULL)
        backend.is_announcing = json_is_true(value);
    json_decref(root);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString("{}"), 0);
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/control")))
        serve_control(exchange);
    else if (BwSpan_Equal(exchange->path, BwSpan_FromString("/starts")))
        serve_starts(exchange);
    else
        serve_task(exchange);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    RunningTask *running = exchange->data;

    (void)ctx;
    if (running == NULL)
        return;
    DL_DELETE(backend.running, running);
    free(running);
}

static void
on_announced(void *data, const BwHttpReply *reply)
{
    (void)reply;
    if (data != NULL)
        backend.is_deregistered = true;
}

static void
announce(uint64_t now_us)
{
    static int deregistration_mark;
    const char *method = backend.is_leaving ? "DELETE" : "PUT";
    char text[256];

    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"host\":\"127.0.0.1\",\"port\":%u,"
             "\"slots\":%u,\"connections\":64}",
             backend.service, backend.http.port, backend.slots);
    BwHttpClient_Send(&backend.agent, method, BwSpan_FromString("/v1/backend"),
                      "content-type: application/json\r\n",
                      BwSpan_FromString(text), now_us + ANNOUNCE_US,
                      on_announced,
                      backend.is_leaving ? &deregistration_mark : NULL);
    backend.next_announcement_us = now_us + ANNOUNCE_US;
}

static void
on_tick(void *ctx)
{
    uint64_t now_us = BwClock_Now();

    (void)ctx;
    BwHttpClient_Tick(&backend.agent, now_us);
    if (BwEmulator_IsStopping() && !backend.is_leaving) {
        backend.is_leaving = true;
        announce(now_us);
    }
    if (backend.is_deregistered && backend.running == NULL)
        BwEventLoop_Stop(&backend.event_loop);
    if (!backend.is_leaving && backend.is_announcing &&
        now_us >= backend.next_announcement_us)
        announce(now_us);
}

static void
on_thread_message(void *ctx, BwThreadMessage *message)
{
    (void)ctx;
    free(message);
}

int
main(int argc, char **argv)
{
    static const BwHttpEvents http_events = {on_request, on_abort, on_request};
    static const BwLoopEvents loop_events = {on_thread_message, on_tick};

    if (argc < 4) {
        fprintf(stderr, "usage: backend_standin AGENT_HTTP_PORT SERVICE SLOTS "
                        "[DEFAULT_RUN_US]\n");
        return 2;
    }
    backend.service = argv[2];
    backend.slots = (unsigned)atoi(argv[3]);
    backend.default_run_us = argc > 4 ? strtoull(argv[4], NULL, 10) : 50000;
    backend.run_time_factor = 1;
    backend.is_announcing = true;
    BwEventLoop_Init(&backend.event_loop, &loop_events, NULL);
    if (!BwHttpServer_Init(&backend.http, backend.event_loop.loop, "127.0.0.1",
                           0, 1u << 24, &http_events, NULL) ||
        !BwHttpClient_Init(&backend.agent, backend.event_loop.loop,
                           "127.0.0.1", (uint16_t)atoi(argv[1]), 2, 65536)) {
        perror("backend_standin");
        return 1;
    }
    backend.timer = h2o_evloop_socket_create(
        backend.event_loop.loop, timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK),
        H2O_SOCKET_FLAG_DONT_READ);
    h2o_socket_read_start(backend.timer, on_timer);
    BwEmulator_ReportStarted("backend", backend.http.port);
    BwEventLoop_Run(&backend.event_loop);
    return 0;
}
