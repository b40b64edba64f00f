/* storereader.c -- configuration and dispatchers from the platform's store */

#include <stdio.h>
#include <string.h>

#include "brasswing.h"
#include "clock.h"
#include "node.h"
#include "storereader.h"

#define WAIT_MS 4000
#define CALL_TIMEOUT_US 1500000
#define FIRST_TIMEOUT_US 250000 /* while there is no configuration */
#define FIRST_TRIES 3
#define RETRY_FIRST_US 100000
#define RETRY_SHIFT_MAX 4
#define REPLY_BYTES_MAX (4u * 1024 * 1024)
#define CONNECTIONS_MAX 4

bool
BwStoreReader_Init(BwStoreReader *reader, h2o_loop_t *loop,
                   const BwSettings *settings, const BwDriver *driver,
                   const BwStoreReaderEvents *events, void *ctx)
{
    memset(reader, 0, sizeof(*reader));
    reader->driver = driver;
    reader->events = events;
    reader->ctx = ctx;
    snprintf(reader->name, sizeof(reader->name), "%s", settings->name);
    snprintf(reader->address, sizeof(reader->address), "%s:%u",
             settings->peer.host, settings->peer.port);
    return BwHttpClient_Init(&reader->http, loop, settings->log.host,
                             (uint16_t)settings->log.port, CONNECTIONS_MAX,
                             REPLY_BYTES_MAX);
}

void
BwStoreReader_Finish(BwStoreReader *reader)
{
    BwHttpClient_Finish(&reader->http);
}

static bool
is_good(const BwHttpReply *reply)
{
    return reply->outcome == BW_HTTP_ANSWERED && reply->status == 200;
}

/* The pause grows, but not while there is no configuration: nothing is served
   until it is known that the store answers again. */
static void
note_failure(BwStoreReader *reader)
{
    uint32_t shift_max = reader->has_config ? RETRY_SHIFT_MAX : 0;
    uint32_t shift =
        reader->failures < shift_max ? reader->failures : shift_max;

    reader->is_up = false;
    reader->failures++;
    reader->retry_us = BwClock_Now() + (RETRY_FIRST_US << shift);
}

static void
note_success(BwStoreReader *reader)
{
    reader->is_up = true;
    reader->failures = 0;
}

static void
take_config(BwStoreReader *reader, const BwStorePage *page)
{
    BwSpan key = reader->driver->config_key();
    const BwStoreRecord *newest = NULL;

    for (uint32_t i = 0; i < page->record_count; i++) {
        if (BwSpan_Equal(page->records[i].key, key))
            newest = &page->records[i];
    }
    if (newest != NULL && newest->value.size_bytes > 0)
        reader->events->on_config(reader->ctx, newest->value);
}

static void
on_newest(void *data, const BwHttpReply *reply)
{
    BwStoreReader *reader = data;
    BwStorePage page;

    reader->is_reading = false;
    if (!is_good(reply) || !reader->driver->read_newest(reply->body, &page)) {
        note_failure(reader);
        return;
    }
    note_success(reader);
    take_config(reader, &page);
    reader->next = page.end;
    reader->has_config = true;
    reader->driver->release(page.memory);
}

static void
on_page(void *data, const BwHttpReply *reply)
{
    BwStoreReader *reader = data;
    BwStorePage page;

    reader->is_reading = false;
    if (reply->outcome == BW_HTTP_ANSWERED && reply->status == 410) {
        reader->has_config = false;
        return;
    }
    if (!is_good(reply) ||
        !reader->driver->read_page(reader->next, reply->body, &page)) {
        note_failure(reader);
        return;
    }
    note_success(reader);
    take_config(reader, &page);
    reader->next += page.record_count;
    if (page.end < reader->next)
        reader->has_config = false;
    reader->driver->release(page.memory);
}

static void
on_members(void *data, const BwHttpReply *reply)
{
    BwStoreReader *reader = data;
    BwStorePage page;

    reader->is_reading = false;
    if (!is_good(reply) || !reader->driver->read_newest(reply->body, &page)) {
        note_failure(reader);
        return;
    }
    reader->has_members = true;
    for (uint32_t i = 0; i < page.record_count; i++)
        reader->events->on_member(reader->ctx, page.records[i].key,
                                  page.records[i].value);
    reader->driver->release(page.memory);
}

static void
on_announced(void *data, const BwHttpReply *reply)
{
    BwStoreReader *reader = data;

    reader->is_announcing = false;
    if (is_good(reply))
        reader->is_announced = true;
    else
        note_failure(reader);
}

/* A call whose answer is lost must not hold up a start for long; a store that
   is merely slow gets more time after a few. */
static uint64_t
timeout_us(const BwStoreReader *reader)
{
    if (reader->has_config)
        return CALL_TIMEOUT_US;
    return reader->failures < FIRST_TRIES ? FIRST_TIMEOUT_US : CALL_TIMEOUT_US;
}

static void
read_next(BwStoreReader *reader, uint64_t now_us)
{
    BwSpan none = {"", 0};
    BwCallText call;
    uint64_t deadline_us = now_us + timeout_us(reader);
    BwHttpCallback callback;

    if (!reader->has_config) {
        reader->driver->make_newest(BW_TOPIC_CONFIG, none, &call);
        callback = on_newest;
    }
    else if (!reader->has_members) {
        reader->driver->make_newest(BW_TOPIC_MEMBERS, none, &call);
        callback = on_members;
    }
    else {
        reader->driver->make_read(BW_TOPIC_CONFIG, reader->next, WAIT_MS,
                                  &call);
        callback = on_page;
        deadline_us += (uint64_t)WAIT_MS * 1000;
    }
    reader->is_reading = true;
    BwNode_SendRequest(&reader->http, &call, deadline_us, callback, reader);
}

static void
announce(BwStoreReader *reader, uint64_t now_us)
{
    BwCallText call;

    if (!reader->driver->make_append(
            BW_TOPIC_MEMBERS, BwSpan_FromString(reader->name),
            BwSpan_FromString(reader->address), &call))
        return;
    reader->is_announcing = true;
    BwNode_SendRequest(&reader->http, &call, now_us + CALL_TIMEOUT_US,
                       on_announced, reader);
}

void
BwStoreReader_Tick(BwStoreReader *reader, uint64_t now_us)
{
    BwHttpClient_Tick(&reader->http, now_us);
    if (now_us < reader->retry_us)
        return;
    if (!reader->is_announced && !reader->is_announcing && reader->has_config)
        announce(reader, now_us);
    if (!reader->is_reading)
        read_next(reader, now_us);
}
