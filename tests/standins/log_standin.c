/* log_standin.c -- stands in for the platform's append-only log

   Speaks the protocol of logclient.h.  POST /control sets its faults:

     {"outage": BOOL, "delay_ms": N, "lose_answers": N, "retain": N}

   In an outage connections are accepted and requests answered with 503.  A
   lost answer is an append that takes effect and is answered with 503.
*/

#include <getopt.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <utlist.h>

#include "clock.h"
#include "emulator.h"
#include "httpserver.h"

typedef struct Stream {
    char name[64];
    char **records;
    size_t first, next, room;
    struct Stream *link;
} Stream;

typedef struct Waiting {
    BwExchange *exchange;
    Stream *stream;
    uint64_t from;
    uint64_t reply_at_us; /* delayed until then */
    uint64_t give_up_us;
    char *reply; /* of an append */
    int status;
    struct Waiting *prev, *next;
} Waiting;

static struct {
    BwEventLoop task;
    BwHttpServer http;
    Stream *streams;
    Waiting *waiting;
    bool is_out;
    uint64_t delay_us;
    uint64_t lose_answers;
    uint64_t retain;
} me;

static Stream *
find_stream(BwSpan path)
{
    char name[64] = "";
    Stream *stream;

    sscanf(path.base, "/v1/streams/%63[^/ ]/records", name);
    for (stream = me.streams; stream != NULL; stream = stream->link) {
        if (strcmp(stream->name, name) == 0)
            return stream;
    }
    stream = calloc(1, sizeof(Stream));
    strcpy(stream->name, name);
    stream->link = me.streams;
    me.streams = stream;
    return stream;
}

static void
end_waiting(Waiting *waiting)
{
    DL_DELETE(me.waiting, waiting);
    BwExchange_Reply(waiting->exchange, waiting->status, "application/json",
                     BwSpan_FromString(waiting->reply), 0);
    free(waiting->reply);
    free(waiting);
}

static char *
make_page(const Stream *stream, uint64_t from)
{
    json_t *records = json_array();
    json_t *page;
    char *text;

    if (from < stream->first)
        from = stream->first;
    for (uint64_t i = from; i < stream->next; i++)
        json_array_append_new(records,
                              json_pack("{s:I, s:s}", "offset", (json_int_t)i,
                                        "body", stream->records[i]));
    page = json_pack("{s:I, s:I, s:o}", "first", (json_int_t)stream->first,
                     "next", (json_int_t)stream->next, "records", records);
    text = json_dumps(page, JSON_COMPACT);
    json_decref(page);
    return text;
}

static bool
tick_waiting(Waiting *waiting, uint64_t now_us)
{
    if (now_us < waiting->reply_at_us)
        return false;
    if (waiting->reply != NULL) {
        end_waiting(waiting);
        return true;
    }
    if (me.is_out) {
        waiting->status = 503;
        waiting->reply = strdup("{\"error\":\"outage\"}");
        end_waiting(waiting);
        return true;
    }
    if (waiting->from >= waiting->stream->next && now_us < waiting->give_up_us)
        return false;
    waiting->status = 200;
    waiting->reply = make_page(waiting->stream, waiting->from);
    end_waiting(waiting);
    return true;
}

static void
on_tick(void *ctx)
{
    Waiting *waiting, *next;

    (void)ctx;
    DL_FOREACH_SAFE(me.waiting, waiting, next)
    tick_waiting(waiting, BwClock_Now());
    if (BwEmulator_IsStopping())
        BwEventLoop_Stop(&me.task);
}

static void
serve_append(Stream *stream, BwExchange *exchange, Waiting *waiting)
{
    char text[64];

    if (me.is_out) {
        waiting->status = 503;
        waiting->reply = strdup("{\"error\":\"outage\"}");
        return;
    }
    if (stream->next == stream->room) {
        stream->room = stream->room ? stream->room * 2 : 1024;
        stream->records =
            realloc(stream->records, stream->room * sizeof(char *));
    }
    stream->records[stream->next++] =
        strndup(exchange->body.base, exchange->body.size_bytes);
    while (me.retain > 0 && stream->next - stream->first > me.retain)
        free(stream->records[stream->first++]);
    snprintf(text, sizeof(text), "{\"offset\":%zu}", stream->next - 1);
    waiting->status = 200;
    if (me.lose_answers > 0) {
        me.lose_answers--;
        waiting->status = 503;
    }
    waiting->reply = strdup(text);
}

static void
serve_control(BwExchange *exchange)
{
    json_t *root =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    json_t *value;

    if ((value = json_object_get(root, "outage")) != NULL)
        me.is_out = json_is_true(value);
    if ((value = json_object_get(root, "delay_ms")) != NULL)
        me.delay_us = (uint64_t)json_integer_value(value) * 1000;
    if ((value = json_object_get(root, "lose_answers")) != NULL)
        me.lose_answers = (uint64_t)json_integer_value(value);
    if ((value = json_object_get(root, "retain")) != NULL)
        me.retain = (uint64_t)json_integer_value(value);
    json_decref(root);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString("{}"), 0);
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    Waiting *waiting;
    unsigned long long from = 0;
    unsigned long long wait_ms = 0;
    char query[64];

    (void)ctx;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/control"))) {
        serve_control(exchange);
        return;
    }
    waiting = calloc(1, sizeof(Waiting));
    waiting->exchange = exchange;
    waiting->stream = find_stream(exchange->path);
    waiting->reply_at_us = BwClock_Now() + me.delay_us;
    exchange->data = waiting;
    DL_APPEND(me.waiting, waiting);
    if (BwSpan_Equal(exchange->method, BwSpan_FromString("POST"))) {
        serve_append(waiting->stream, exchange, waiting);
        on_tick(NULL);
        return;
    }
    BwSpan_ToString(exchange->query, query, sizeof(query));
    sscanf(query, "from=%llu&wait_ms=%llu", &from, &wait_ms);
    waiting->from = from;
    waiting->give_up_us = BwClock_Now() + wait_ms * 1000;
    tick_waiting(waiting, BwClock_Now());
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    Waiting *waiting = exchange->data;

    (void)ctx;
    if (waiting == NULL)
        return;
    DL_DELETE(me.waiting, waiting);
    free(waiting->reply);
    free(waiting);
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
    unsigned port = argc > 1 ? (unsigned)atoi(argv[1]) : 0;

    BwEventLoop_Init(&me.task, &task_events, NULL);
    if (!BwHttpServer_Init(&me.http, me.task.loop, "127.0.0.1", (uint16_t)port,
                           1u << 24, &http_events, NULL)) {
        perror("log_standin");
        return 1;
    }
    BwEmulator_ReportStarted("log", me.http.port);
    BwEventLoop_Run(&me.task);
    return 0;
}
