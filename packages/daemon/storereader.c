/* storereader.c -- reads the configuration and the dispatchers' addresses from
   the platform's store

   Method and callers are described in storereader.h.
*/

#include <stdio.h>
#include <string.h>

#include "brasswing.h"
#include "clock.h"
#include "node.h"
#include "storereader.h"

#define LONG_POLL_MS 4000
#define CALL_TIMEOUT_US 1500000
#define STARTUP_TIMEOUT_US 250000 /* while there is no configuration */
#define STARTUP_SHORT_TRIES 3
#define RETRY_PAUSE_MIN_US 100000
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
is_ok(const BwHttpReply *reply)
{
    return reply->outcome == BW_HTTP_ANSWERED && reply->status == 200;
}

/* The pause doubles with each failure, up to RETRY_SHIFT_MAX times.  It stays
   at its minimum until there is a configuration: without one nothing is
   served, so an answer of the store must be noticed at once. */
static void
record_failure(BwStoreReader *reader)
{
    uint32_t shift_max = reader->has_config ? RETRY_SHIFT_MAX : 0;
    uint32_t shift =
        reader->failures < shift_max ? reader->failures : shift_max;

    reader->is_up = false;
    reader->failures++;
    reader->retry_us = BwClock_Now() + (RETRY_PAUSE_MIN_US << shift);
}

static void
record_success(BwStoreReader *reader)
{
    reader->is_up = true;
    reader->failures = 0;
}

static void
deliver_config(BwStoreReader *reader, const BwStorePage *page)
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
    if (!is_ok(reply) || !reader->driver->read_newest(reply->body, &page)) {
        record_failure(reader);
        return;
    }
    record_success(reader);
    deliver_config(reader, &page);
    reader->next_offset = page.end;
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
        reader->has_config = false; /* the offset is no longer retained */
        return;
    }
    if (!is_ok(reply) ||
        !reader->driver->read_page(reader->next_offset, reply->body, &page)) {
        record_failure(reader);
        return;
    }
    record_success(reader);
    deliver_config(reader, &page);
    reader->next_offset += page.record_count;
    if (page.end < reader->next_offset)
        reader->has_config = false;
    reader->driver->release(page.memory);
}

static void
on_dispatchers(void *data, const BwHttpReply *reply)
{
    BwStoreReader *reader = data;
    BwStorePage page;

    reader->is_reading = false;
    if (!is_ok(reply) || !reader->driver->read_newest(reply->body, &page)) {
        record_failure(reader);
        return;
    }
    reader->has_dispatchers = true;
    for (uint32_t i = 0; i < page.record_count; i++)
        reader->events->on_dispatcher(reader->ctx, page.records[i].key,
                                      page.records[i].value);
    reader->driver->release(page.memory);
}

static void
on_announced(void *data, const BwHttpReply *reply)
{
    BwStoreReader *reader = data;

    reader->is_announcing = false;
    if (is_ok(reply))
        reader->is_announced = true;
    else
        record_failure(reader);
}

/* Returns the timeout of a request.  At start it is short, because a lost
   answer must not delay the start for long; after STARTUP_SHORT_TRIES failures
   it is long again, in case the store is only slow. */
static uint64_t
timeout_us(const BwStoreReader *reader)
{
    if (reader->has_config)
        return CALL_TIMEOUT_US;
    return reader->failures < STARTUP_SHORT_TRIES ? STARTUP_TIMEOUT_US
                                                  : CALL_TIMEOUT_US;
}

static void
read_store(BwStoreReader *reader, uint64_t now_us)
{
    BwSpan none = {"", 0};
    BwHttpRequest request;
    uint64_t deadline_us = now_us + timeout_us(reader);
    BwHttpCallback callback;

    if (!reader->has_config) {
        reader->driver->make_newest(BW_TOPIC_CONFIG, none, &request);
        callback = on_newest;
    }
    else if (!reader->has_dispatchers) {
        reader->driver->make_newest(BW_TOPIC_DISPATCHERS, none, &request);
        callback = on_dispatchers;
    }
    else {
        reader->driver->make_read(BW_TOPIC_CONFIG, reader->next_offset,
                                  LONG_POLL_MS, &request);
        callback = on_page;
        deadline_us += (uint64_t)LONG_POLL_MS * 1000;
    }
    reader->is_reading = true;
    BwNode_SendRequest(&reader->http, &request, deadline_us, callback, reader);
}

static void
announce(BwStoreReader *reader, uint64_t now_us)
{
    BwHttpRequest request;

    if (!reader->driver->make_append(
            BW_TOPIC_DISPATCHERS, BwSpan_FromString(reader->name),
            BwSpan_FromString(reader->address), &request))
        return;
    reader->is_announcing = true;
    BwNode_SendRequest(&reader->http, &request, now_us + CALL_TIMEOUT_US,
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
        read_store(reader, now_us);
}
