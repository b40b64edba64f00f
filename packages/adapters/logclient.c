/* logclient.c -- client of the platform's append-only log */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "logclient.h"

/* Between two parts of a page that is arriving. */
#define PROGRESS_TIMEOUT_US 5000000
#define APPEND_TIMEOUT_US 5000000
#define CONNECTIONS_MAX 4
#define REPLY_BYTES_MAX (64u * 1024 * 1024)

bool
BwLogClient_Init(BwLogClient *client, h2o_loop_t *loop, const char *host,
                 uint16_t port, const char *stream, uint64_t in_force_us,
                 const BwLogEvents *events, void *ctx)
{
    memset(client, 0, sizeof(*client));
    BwReadPace_Init(&client->pace, in_force_us);
    client->events = events;
    client->ctx = ctx;
    snprintf(client->path, sizeof(client->path), "/v1/streams/%s/records",
             stream);
    if (!BwHttpClient_Init(&client->http, loop, host, port, CONNECTIONS_MAX,
                           REPLY_BYTES_MAX))
        return false;
    BwHttpClient_AllowProgress(&client->http, PROGRESS_TIMEOUT_US);
    return true;
}

void
BwLogClient_Finish(BwLogClient *client)
{
    BwHttpClient_Finish(&client->http);
}

void
BwLogClient_Seek(BwLogClient *client, uint64_t offset)
{
    client->next_offset = offset;
    client->was_seek_called = true;
}

static bool
deliver_records(BwLogClient *client, const json_t *records)
{
    json_t *item;
    size_t index;

    json_array_foreach(records, index, item)
    {
        json_t *offset = json_object_get(item, "offset");
        const char *text = json_string_value(json_object_get(item, "body"));
        json_t *body;

        if (!json_is_integer(offset) || text == NULL)
            return false;
        if ((uint64_t)json_integer_value(offset) < client->next_offset)
            continue;
        client->next_offset = (uint64_t)json_integer_value(offset) + 1;
        body = json_loads(text, 0, NULL);
        client->events->on_record(client->ctx, client->next_offset - 1, body);
        json_decref(body);
        if (client->was_seek_called)
            break;
    }
    return true;
}

static bool
deliver(BwLogClient *client, const json_t *page)
{
    json_t *records = json_object_get(page, "records");
    json_t *first = json_object_get(page, "first");
    json_t *next = json_object_get(page, "next");

    if (!json_is_array(records) || !json_is_integer(first) ||
        !json_is_integer(next))
        return false;
    client->was_seek_called = false;
    client->events->on_page(client->ctx, (uint64_t)json_integer_value(first));
    if (!deliver_records(client, records))
        return false;
    if (client->was_seek_called)
        return true;
    if (client->next_offset < (uint64_t)json_integer_value(first))
        client->next_offset = (uint64_t)json_integer_value(first);
    if (client->next_offset >= (uint64_t)json_integer_value(next))
        client->events->on_caught_up(client->ctx,
                                     (uint64_t)json_integer_value(first),
                                     (uint64_t)json_integer_value(next));
    return true;
}

static void
on_page(void *data, const BwHttpReply *reply)
{
    BwLogClient *client = data;
    json_t *page = NULL;

    client->is_reading = false;
    if (reply->outcome == BW_HTTP_ANSWERED && reply->status == 200)
        page = json_loadb(reply->body.base, reply->body.size_bytes, 0, NULL);
    if (page != NULL && deliver(client, page)) {
        BwReadPace_OnSuccess(&client->pace, BwClock_Now());
        json_decref(page);
        return;
    }
    json_decref(page);
    BwReadPace_OnFailure(&client->pace, BwClock_Now(), true);
    client->events->on_failure(client->ctx);
}

void
BwLogClient_Tick(BwLogClient *client, uint64_t now_us)
{
    char path[256];
    uint64_t wait_us;
    BwSpan none = {"", 0};
    BwSpan target;

    BwHttpClient_Tick(&client->http, now_us);
    if (client->is_reading || now_us < client->pace.retry_us)
        return;
    client->is_reading = true;
    wait_us = BwReadPace_WaitUs(&client->pace);
    snprintf(path, sizeof(path), "%s?from=%llu&wait_ms=%llu", client->path,
             (unsigned long long)client->next_offset,
             (unsigned long long)(wait_us / 1000));
    target.base = path;
    target.size_bytes = (uint32_t)strlen(path);
    BwHttpClient_Send(&client->http, "GET", target, "", none,
                      now_us + wait_us + BwReadPace_TimeoutUs(&client->pace),
                      on_page, client);
}

void
BwLogClient_Append(BwLogClient *client, uint64_t now_us, json_t *record,
                   BwHttpCallback callback, void *data)
{
    char *text = json_dumps(record, JSON_COMPACT);
    BwSpan path = {client->path, (uint32_t)strlen(client->path)};
    BwSpan body = {text, text != NULL ? (uint32_t)strlen(text) : 0};
    BwHttpReply failed = {BW_HTTP_NOT_SENT, false, 0, {"", 0}};

    if (text == NULL) {
        callback(data, &failed);
        return;
    }
    BwHttpClient_Send(&client->http, "POST", path,
                      "content-type: application/json\r\n", body,
                      now_us + APPEND_TIMEOUT_US, callback, data);
    free(text);
}
