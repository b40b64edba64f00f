/* storereader.c -- reads what operators write and the dispatchers' addresses
   from the platform's store

   Method and callers are described in storereader.h.
*/

#include <stdio.h>
#include <string.h>

#include "brasswing.h"
#include "clock.h"
#include "node.h"
#include "storereader.h"

/* Nothing is served before the first configuration, so the reads before it are
   given up early. */
#define HTTP_CONFLICT 409
#define STARTUP_TIMEOUT_US 250000
#define ANNOUNCE_TIMEOUT_US 1500000
#define ANNOUNCE_PAUSE_US 200000 /* after a failure */
#define REPLY_BYTES_MAX (4u * 1024 * 1024)
#define CONNECTIONS_MAX 4

bool
BwStoreReader_Init(BwStoreReader *reader, h2o_loop_t *loop,
                   const BwSettings *settings, const BwLogger *logger,
                   const BwDriver *driver, const BwStoreReaderEvents *events,
                   void *ctx)
{
    memset(reader, 0, sizeof(*reader));
    BwReadPace_Init(&reader->pace, settings->limits.config_apply_ms * 1000);
    reader->answered_us = BwClock_Now();
    reader->logger = logger;
    reader->driver = driver;
    reader->events = events;
    reader->ctx = ctx;
    snprintf(reader->name, sizeof(reader->name), "%s", settings->name);
    snprintf(reader->address, sizeof(reader->address), "%s:%u",
             settings->peer.host, settings->peer.port);
    if (!BwHttpClient_Init(&reader->http, loop, settings->log.host,
                           (uint16_t)settings->log.port, CONNECTIONS_MAX,
                           REPLY_BYTES_MAX))
        return false;
    BwHttpClient_AllowProgress(&reader->http, reader->pace.timeout_us);
    return true;
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

/* Without a configuration nothing is served, so an answer of the store must be
   noticed at once: the pause stays at its minimum. */
static void
record_failure(BwStoreReader *reader, const BwHttpReply *reply)
{
    static const char *const reasons[] = {
        [BW_HTTP_ANSWERED] = "it refuses calls or its answer is malformed",
        [BW_HTTP_NOT_SENT] = "it cannot be reached",
        [BW_HTTP_BROKEN] = "its answer broke off",
        [BW_HTTP_TIMED_OUT] = "it does not answer",
    };
    bool is_cut = reply->outcome == BW_HTTP_TIMED_OUT && reply->status != 0;

    reader->is_up = false;
    reader->reads++;
    reader->reads_failed++;
    if (BwReadPace_OnFailure(&reader->pace, BwClock_Now(), reader->has_config))
        BW_LOG(reader->logger, BW_LOG_WARNING, "store_lost",
               BW_LOG_NUMBER("status", reply->status),
               BW_LOG_TEXT("reason", is_cut ? "its answer stopped arriving"
                                            : reasons[reply->outcome]));
}

static void
record_success(BwStoreReader *reader)
{
    uint32_t failures = reader->pace.failures;
    uint64_t now_us = BwClock_Now();
    uint64_t lost_for_us = BwReadPace_OnSuccess(&reader->pace, now_us);

    reader->reads++;
    reader->answered_us = now_us;
    if (failures > 0)
        BW_LOG(reader->logger, BW_LOG_INFO, "store_regained",
               BW_LOG_NUMBER("after_ms", lost_for_us / 1000),
               BW_LOG_NUMBER("failures", failures));
    reader->is_up = true;
}

/* Records are applied in the order of the log. */
static void
deliver_evacuations(BwStoreReader *reader, const BwStorePage *page)
{
    for (uint32_t i = 0; i < page->record_count; i++) {
        const BwStoreRecord *record = &page->records[i];
        BwSpan domain;

        if (reader->driver->read_evacuation_key(record->key, &domain))
            reader->events->on_evacuation(reader->ctx, record->offset + 1,
                                          domain,
                                          record->value.size_bytes > 0);
    }
}

/* Adds a page of the newest records to those before.  Returns whether it was
   the last one.  What is written meanwhile comes with the reads from the end
   of the log as of the first page. */
static bool
collect_newest(BwStoreReader *reader, const BwStorePage *page)
{
    BwSpan last = {"", 0};

    if (reader->newest_after_bytes == 0) {
        memset(&reader->newest_evacuations, 0,
               sizeof(reader->newest_evacuations));
        reader->newest_end = page->end;
    }
    for (uint32_t i = 0; i < page->record_count; i++) {
        const BwStoreRecord *record = &page->records[i];
        BwSpan domain;

        last = record->key;
        if (record->value.size_bytes > 0 &&
            reader->driver->read_evacuation_key(record->key, &domain))
            BwEvacuations_List(&reader->newest_evacuations, domain);
    }
    reader->newest_after_bytes = 0;
    if (!page->has_more || last.size_bytes == 0 ||
        last.size_bytes > sizeof(reader->newest_after))
        return true;
    memcpy(reader->newest_after, last.base, last.size_bytes);
    reader->newest_after_bytes = last.size_bytes;
    return false;
}

/* An append that was carried out late may have put an older text after a newer
   one, so all of them count.  Usually the last one is the newest, and the
   others change nothing. */
static void
deliver_config(BwStoreReader *reader, const BwStorePage *page)
{
    BwSpan key = reader->driver->config_key();

    for (uint32_t i = page->record_count; i > 0; i--) {
        const BwStoreRecord *record = &page->records[i - 1];

        if (BwSpan_Equal(record->key, key) && record->value.size_bytes > 0)
            reader->events->on_config(reader->ctx, record->value);
    }
}

static void
on_newest(void *data, const BwHttpReply *reply)
{
    BwStoreReader *reader = data;
    BwStorePage page;

    reader->is_reading = false;
    if (!is_ok(reply) || !reader->driver->read_newest(reply->body, &page)) {
        record_failure(reader, reply);
        return;
    }
    record_success(reader);
    if (collect_newest(reader, &page)) {
        reader->newest_evacuations.version = reader->newest_end;
        reader->events->on_evacuations(reader->ctx,
                                       &reader->newest_evacuations);
        reader->next_offset = reader->newest_end;
        reader->has_config = true;
    }
    deliver_config(reader, &page);
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
        record_failure(reader, reply);
        return;
    }
    record_success(reader);
    deliver_evacuations(reader, &page);
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
        record_failure(reader, reply);
        return;
    }
    record_success(reader);
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
    reader->is_announced = is_ok(reply);
    if (reply->outcome == BW_HTTP_ANSWERED && reply->status == HTTP_CONFLICT)
        BwAppendEpoch_OnFenced(&reader->epoch);
    if (!reader->is_announced)
        reader->announce_us = BwClock_Now() + ANNOUNCE_PAUSE_US;
}

static uint64_t
timeout_us(const BwStoreReader *reader)
{
    uint64_t own_us = BwReadPace_TimeoutUs(&reader->pace);

    if (reader->has_config || own_us > reader->pace.timeout_us ||
        own_us < STARTUP_TIMEOUT_US)
        return own_us;
    return STARTUP_TIMEOUT_US;
}

static void
read_store(BwStoreReader *reader, uint64_t now_us)
{
    BwSpan none = {"", 0};
    BwHttpRequest request;
    uint64_t deadline_us = now_us + timeout_us(reader);
    BwHttpCallback callback;

    if (!reader->has_config) {
        BwSpan after = {reader->newest_after, reader->newest_after_bytes};

        reader->driver->make_newest(BW_TOPIC_CONFIG, after, &request);
        callback = on_newest;
    }
    else if (!reader->has_dispatchers) {
        reader->driver->make_newest(BW_TOPIC_DISPATCHERS, none, &request);
        callback = on_dispatchers;
    }
    else {
        uint64_t wait_us = BwReadPace_WaitUs(&reader->pace);

        reader->driver->make_read(BW_TOPIC_CONFIG, reader->next_offset,
                                  (uint32_t)(wait_us / 1000), &request);
        callback = on_page;
        deadline_us += wait_us;
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
            BwSpan_FromString(reader->address),
            BwAppendEpoch_Next(&reader->epoch, BwClock_WallNow() / 1000),
            &request))
        return;
    reader->is_announcing = true;
    BwNode_SendRequest(&reader->http, &request, now_us + ANNOUNCE_TIMEOUT_US,
                       on_announced, reader);
}

void
BwStoreReader_Tick(BwStoreReader *reader, uint64_t now_us)
{
    BwHttpClient_Tick(&reader->http, now_us);
    if (!reader->is_announced && !reader->is_announcing &&
        reader->has_config && now_us >= reader->announce_us)
        announce(reader, now_us);
    if (!reader->is_reading && now_us >= reader->pace.retry_us)
        read_store(reader, now_us);
}
