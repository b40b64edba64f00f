/* log_standin.c -- emulates the platform's append-only log

   usage: log_standin [PORT]

   It serves the protocol that logclient.h describes and keeps its streams in
   memory.  fleet.c starts it.  POST /control injects faults:

     {"outage": BOOL, "delay_ms": N, "lose_answers": N, "retain": N}

   During an outage connections are accepted and requests are answered with
   503.  lose_answers makes the next N appends take effect and be answered with
   503.  retain limits each stream to its newest N records from the next append
   on; 0 is no limit.
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
    size_t first, next, capacity;
    struct Stream *next_stream;
} Stream;

typedef struct PendingReply {
    BwExchange *exchange;
    Stream *stream;
    uint64_t from;
    uint64_t earliest_reply_us; /* after delay_ms */
    uint64_t wait_end_us;
    char *reply; /* NULL: a read, answered with the records of then */
    int status;
    struct PendingReply *prev, *next;
} PendingReply;

static struct {
    BwEventLoop event_loop;
    BwHttpServer http;
    Stream *streams;
    PendingReply *pending;
    bool is_in_outage;
    uint64_t delay_us;
    uint64_t answers_to_lose;
    uint64_t records_max;
} log_server;

static Stream *
find_stream(BwSpan path)
{
    char name[64] = "";
    Stream *stream;

    sscanf(path.base, "/v1/streams/%63[^/ ]/records", name);
    for (stream = log_server.streams; stream != NULL;
         stream = stream->next_stream) {
        if (strcmp(stream->name, name) == 0)
            return stream;
    }
    stream = calloc(1, sizeof(Stream));
    strcpy(stream->name, name);
    stream->next_stream = log_server.streams;
    log_server.streams = stream;
    return stream;
}

static void
send_reply(PendingReply *pending)
{
    DL_DELETE(log_server.pending, pending);
    BwExchange_Reply(pending->exchange, pending->status, "application/json",
                     BwSpan_FromString(pending->reply), 0);
    free(pending->reply);
    free(pending);
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
reply_if_due(PendingReply *pending, uint64_t now_us)
{
    if (now_us < pending->earliest_reply_us)
        return false;
    if (pending->reply != NULL) {
        send_reply(pending);
        return true;
    }
    if (log_server.is_in_outage) {
        pending->status = 503;
        pending->reply = strdup("{\"error\":\"outage\"}");
        send_reply(pending);
        return true;
    }
    if (pending->from >= pending->stream->next &&
        now_us < pending->wait_end_us)
        return false;
    pending->status = 200;
    pending->reply = make_page(pending->stream, pending->from);
    send_reply(pending);
    return true;
}

static void
on_tick(void *ctx)
{
    PendingReply *pending, *next;

    (void)ctx;
    DL_FOREACH_SAFE(log_server.pending, pending, next)
    reply_if_due(pending, BwClock_Now());
    if (BwEmulator_IsStopping())
        BwEventLoop_Stop(&log_server.event_loop);
}

static void
serve_append(Stream *stream, BwExchange *exchange, PendingReply *pending)
{
    char text[64];

    if (log_server.is_in_outage) {
        pending->status = 503;
        pending->reply = strdup("{\"error\":\"outage\"}");
        return;
    }
    if (stream->next == stream->capacity) {
        stream->capacity = stream->capacity ? stream->capacity * 2 : 1024;
        stream->records =
            realloc(stream->records, stream->capacity * sizeof(char *));
    }
    stream->records[stream->next++] =
        strndup(exchange->body.base, exchange->body.size_bytes);
    while (log_server.records_max > 0 &&
           stream->next - stream->first > log_server.records_max)
        free(stream->records[stream->first++]);
    snprintf(text, sizeof(text), "{\"offset\":%zu}", stream->next - 1);
    pending->status = 200;
    if (log_server.answers_to_lose > 0) {
        log_server.answers_to_lose--;
        pending->status = 503;
    }
    pending->reply = strdup(text);
}

static void
serve_control(BwExchange *exchange)
{
    json_t *root =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    json_t *value;

    if ((value = json_object_get(root, "outage")) != NULL)
        log_server.is_in_outage = json_is_true(value);
    if ((value = json_object_get(root, "delay_ms")) != NULL)
        log_server.delay_us = (uint64_t)json_integer_value(value) * 1000;
    if ((value = json_object_get(root, "lose_answers")) != NULL)
        log_server.answers_to_lose = (uint64_t)json_integer_value(value);
    if ((value = json_object_get(root, "retain")) != NULL)
        log_server.records_max = (uint64_t)json_integer_value(value);
    json_decref(root);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString("{}"), 0);
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    PendingReply *pending;
    unsigned long long from = 0;
    unsigned long long wait_ms = 0;
    char query[64];

    (void)ctx;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/control"))) {
        serve_control(exchange);
        return;
    }
    pending = calloc(1, sizeof(PendingReply));
    pending->exchange = exchange;
    pending->stream = find_stream(exchange->path);
    pending->earliest_reply_us = BwClock_Now() + log_server.delay_us;
    exchange->data = pending;
    DL_APPEND(log_server.pending, pending);
    if (BwSpan_Equal(exchange->method, BwSpan_FromString("POST"))) {
        serve_append(pending->stream, exchange, pending);
        on_tick(NULL);
        return;
    }
    BwSpan_ToString(exchange->query, query, sizeof(query));
    sscanf(query, "from=%llu&wait_ms=%llu", &from, &wait_ms);
    pending->from = from;
    pending->wait_end_us = BwClock_Now() + wait_ms * 1000;
    reply_if_due(pending, BwClock_Now());
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    PendingReply *pending = exchange->data;

    (void)ctx;
    if (pending == NULL)
        return;
    DL_DELETE(log_server.pending, pending);
    free(pending->reply);
    free(pending);
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
    unsigned port = argc > 1 ? (unsigned)atoi(argv[1]) : 0;

    BwEventLoop_Init(&log_server.event_loop, &loop_events, NULL);
    if (!BwHttpServer_Init(&log_server.http, log_server.event_loop.loop,
                           "127.0.0.1", (uint16_t)port, 1u << 24, &http_events,
                           NULL)) {
        perror("log_standin");
        return 1;
    }
    BwEmulator_ReportStarted("log", log_server.http.port);
    BwEventLoop_Run(&log_server.event_loop);
    return 0;
}
