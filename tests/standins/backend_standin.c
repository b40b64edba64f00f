/* backend_standin.c -- stands in for a backend server

   usage: backend_standin AGENT_HTTP_PORT SERVICE SLOTS [DEFAULT_RUN_US]

   Announces itself to the agent every second.  A task's body may hold
   run_us=N, status=N and crash=1.  The answer is the body.  Starts are counted
   for each job and task; GET /starts lists them as "JOB TASK COUNT" lines.
   POST /control {"slow": N} multiplies run times, {"fail": BOOL} fails
   everything at once, {"announce": BOOL} ends or resumes announcing.
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

typedef struct Running {
    BwExchange *exchange;
    uint64_t due_us;
    int status;
    struct Running *prev, *next;
} Running;

typedef struct Start {
    char name[64]; /* JOB TASK */
    unsigned count;
    UT_hash_handle hh;
} Start;

static struct {
    BwEventLoop task;
    BwHttpServer http;
    BwHttpClient agent;
    h2o_socket_t *timer;
    Running *running;
    Start *starts;
    const char *service;
    unsigned slots;
    uint64_t default_run_us;
    uint64_t slow;
    bool is_failing;
    bool is_announcing;
    uint64_t announce_at_us;
    bool is_leaving;
    bool is_gone;
} me;

static void
arm_timer(void)
{
    struct itimerspec when = {0};
    uint64_t due_us = UINT64_MAX;
    Running *running;

    DL_FOREACH(me.running, running)
    if (running->due_us < due_us)
        due_us = running->due_us;
    if (due_us != UINT64_MAX) {
        when.it_value.tv_sec = (time_t)(due_us / 1000000);
        when.it_value.tv_nsec = (long)(due_us % 1000000) * 1000 + 1;
    }
    timerfd_settime(h2o_socket_get_fd(me.timer), TFD_TIMER_ABSTIME, &when,
                    NULL);
}

static void
on_timer(h2o_socket_t *sock, const char *err)
{
    Running *running, *next;
    uint64_t count;
    ssize_t ignored = read(h2o_socket_get_fd(sock), &count, sizeof(count));

    (void)ignored;
    (void)err;
    DL_FOREACH_SAFE(me.running, running, next)
    {
        if (running->due_us > BwClock_Now())
            continue;
        DL_DELETE(me.running, running);
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
    Start *start;

    BwSpan_ToString(BwExchange_Header(exchange, "brasswing-job"), job,
                    sizeof(job));
    BwSpan_ToString(BwExchange_Header(exchange, "brasswing-task"), index,
                    sizeof(index));
    snprintf(name, sizeof(name), "%s %s", job, index);
    HASH_FIND_STR(me.starts, name, start);
    if (start == NULL) {
        start = calloc(1, sizeof(Start));
        strcpy(start->name, name);
        HASH_ADD_STR(me.starts, name, start);
    }
    start->count++;
}

static uint64_t
read_option(BwSpan body, const char *name, uint64_t fallback)
{
    char text[256];
    const char *place;

    BwSpan_ToString(body, text, sizeof(text));
    place = strstr(text, name);
    return place != NULL ? strtoull(place + strlen(name), NULL, 10) : fallback;
}

static void
serve_task(BwExchange *exchange)
{
    Running *running = calloc(1, sizeof(Running));
    uint64_t run_us =
        read_option(exchange->body, "run_us=", me.default_run_us) * me.slow;

    count_start(exchange);
    if (read_option(exchange->body, "crash=", 0) != 0)
        _exit(3);
    running->exchange = exchange;
    running->status = (int)read_option(exchange->body, "status=", 200);
    if (me.is_failing) {
        run_us = 0;
        running->status = 500;
    }
    running->due_us = BwClock_Now() + run_us;
    exchange->data = running;
    DL_APPEND(me.running, running);
    arm_timer();
}

static void
serve_starts(BwExchange *exchange)
{
    size_t room = (size_t)HASH_COUNT(me.starts) * 80 + 1;
    char *text = malloc(room);
    size_t used = 0;

    text[0] = '\0';
    for (Start *s = me.starts; s != NULL; s = s->hh.next)
        used += (size_t)snprintf(text + used, room - used, "%s %u\n", s->name,
                                 s->count);
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
        me.slow = (uint64_t)json_integer_value(value);
    if ((value = json_object_get(root, "fail")) != NULL)
        me.is_failing = json_is_true(value);
    if ((value = json_object_get(root, "announce")) != NULL)
        me.is_announcing = json_is_true(value);
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
    Running *running = exchange->data;

    (void)ctx;
    if (running == NULL)
        return;
    DL_DELETE(me.running, running);
    free(running);
}

static void
on_announced(void *data, const BwHttpReply *reply)
{
    (void)reply;
    if (data != NULL)
        me.is_gone = true;
}

static void
announce(uint64_t now_us)
{
    static int leaving_mark;
    const char *method = me.is_leaving ? "DELETE" : "PUT";
    char text[256];

    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"host\":\"127.0.0.1\",\"port\":%u,"
             "\"slots\":%u,\"connections\":64}",
             me.service, me.http.port, me.slots);
    BwHttpClient_Send(&me.agent, method, BwSpan_FromString("/v1/backend"),
                      "content-type: application/json\r\n",
                      BwSpan_FromString(text), now_us + ANNOUNCE_US,
                      on_announced, me.is_leaving ? &leaving_mark : NULL);
    me.announce_at_us = now_us + ANNOUNCE_US;
}

static void
on_tick(void *ctx)
{
    uint64_t now_us = BwClock_Now();

    (void)ctx;
    BwHttpClient_Tick(&me.agent, now_us);
    if (BwEmulator_IsStopping() && !me.is_leaving) {
        me.is_leaving = true;
        announce(now_us);
    }
    if (me.is_gone && me.running == NULL)
        BwEventLoop_Stop(&me.task);
    if (!me.is_leaving && me.is_announcing && now_us >= me.announce_at_us)
        announce(now_us);
}

static void
on_thread_message(void *ctx, BwThreadMessage *mail)
{
    (void)ctx;
    free(mail);
}

int
main(int argc, char **argv)
{
    static const BwHttpEvents http_events = {on_request, on_abort, on_request};
    static const BwLoopEvents task_events = {on_thread_message, on_tick};

    if (argc < 4) {
        fprintf(stderr, "usage: backend_standin AGENT_HTTP_PORT SERVICE SLOTS "
                        "[DEFAULT_RUN_US]\n");
        return 2;
    }
    me.service = argv[2];
    me.slots = (unsigned)atoi(argv[3]);
    me.default_run_us = argc > 4 ? strtoull(argv[4], NULL, 10) : 50000;
    me.slow = 1;
    me.is_announcing = true;
    BwEventLoop_Init(&me.task, &task_events, NULL);
    if (!BwHttpServer_Init(&me.http, me.task.loop, "127.0.0.1", 0, 1u << 24,
                           &http_events, NULL) ||
        !BwHttpClient_Init(&me.agent, me.task.loop, "127.0.0.1",
                           (uint16_t)atoi(argv[1]), 2, 65536)) {
        perror("backend_standin");
        return 1;
    }
    me.timer = h2o_evloop_socket_create(
        me.task.loop, timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK),
        H2O_SOCKET_FLAG_DONT_READ);
    h2o_socket_read_start(me.timer, on_timer);
    BwEmulator_ReportStarted("backend", me.http.port);
    BwEventLoop_Run(&me.task);
    return 0;
}
