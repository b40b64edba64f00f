/* keptrecord.c -- a record on the platform's store for the next process

   Method and callers are described in keptrecord.h.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "clock.h"
#include "keptrecord.h"
#include "node.h"

#define READ_TIMEOUT_US 250000
#define WRITE_TIMEOUT_US 1500000
#define READ_PAUSE_US 20000   /* after a failure */
#define WRITE_PAUSE_US 500000 /* after a failure */
/* A process that has run for this long knows more than the records do. */
#define READ_FOR_US 5000000
#define HTTP_CONFLICT 409
#define REPLY_BYTES_MAX (2u * 1024 * 1024)
#define CONNECTIONS_MAX 2

bool
BwKeptRecord_Init(BwKeptRecord *record, h2o_loop_t *loop,
                  const BwSettings *settings, const BwDriver *driver,
                  BwStoreTopic topic, const char *after,
                  void (*on_read)(void *ctx, const BwStorePage *page),
                  void *ctx)
{
    memset(record, 0, sizeof(*record));
    record->driver = driver;
    record->topic = topic;
    record->on_read = on_read;
    record->ctx = ctx;
    strcpy(record->name, settings->name);
    strcpy(record->after, after);
    record->read_until_us = BwClock_Now() + READ_FOR_US;
    return BwHttpClient_Init(&record->http, loop, settings->log.host,
                             (uint16_t)settings->log.port, CONNECTIONS_MAX,
                             REPLY_BYTES_MAX);
}

void
BwKeptRecord_Finish(BwKeptRecord *record)
{
    BwHttpClient_Finish(&record->http);
    free(record->text);
}

void
BwKeptRecord_StopReading(BwKeptRecord *record)
{
    record->is_read = true;
}

static bool
is_ok(const BwHttpReply *reply)
{
    return reply->outcome == BW_HTTP_ANSWERED && reply->status == 200;
}

static void
on_records(void *data, const BwHttpReply *reply)
{
    BwKeptRecord *record = data;
    BwStorePage page;

    record->is_calling = false;
    if (!is_ok(reply) || !record->driver->read_newest(reply->body, &page)) {
        record->retry_us = BwClock_Now() + READ_PAUSE_US;
        return;
    }
    record->is_read = true;
    record->on_read(record->ctx, &page);
    record->driver->release(page.memory);
}

static void
read_records(BwKeptRecord *record, uint64_t now_us)
{
    BwHttpRequest request;

    if (!record->driver->make_newest(
            record->topic, BwSpan_FromString(record->after), &request))
        return;
    record->is_calling = true;
    BwNode_SendRequest(&record->http, &request, now_us + READ_TIMEOUT_US,
                       on_records, record);
}

void
BwKeptRecord_Write(BwKeptRecord *record, BwSpan text)
{
    char *copy = malloc(text.size_bytes + 1);

    if (copy == NULL)
        return;
    memcpy(copy, text.base, text.size_bytes);
    free(record->text);
    record->text = copy;
    record->text_bytes = text.size_bytes;
    record->is_replaced = true;
    record->retry_us = 0;
}

static void
on_written(void *data, const BwHttpReply *reply)
{
    BwKeptRecord *record = data;

    record->is_calling = false;
    if (reply->outcome == BW_HTTP_ANSWERED && reply->status == HTTP_CONFLICT)
        BwAppendEpoch_OnFenced(&record->epoch);
    if (!is_ok(reply)) {
        record->retry_us = BwClock_Now() + WRITE_PAUSE_US;
        return;
    }
    if (record->is_replaced)
        return;
    free(record->text);
    record->text = NULL;
}

static void
write_record(BwKeptRecord *record, uint64_t now_us)
{
    BwSpan value = {record->text, record->text_bytes};
    BwHttpRequest request;

    if (!record->driver->make_append(
            record->topic, BwSpan_FromString(record->name), value,
            BwAppendEpoch_Next(&record->epoch, BwClock_WallNow() / 1000),
            &request))
        return;
    record->is_calling = true;
    record->is_replaced = false;
    BwNode_SendRequest(&record->http, &request, now_us + WRITE_TIMEOUT_US,
                       on_written, record);
}

void
BwKeptRecord_Tick(BwKeptRecord *record, uint64_t now_us)
{
    BwHttpClient_Tick(&record->http, now_us);
    if (record->is_calling || now_us < record->retry_us)
        return;
    if (record->text != NULL)
        write_record(record, now_us);
    else if (!record->is_read && now_us < record->read_until_us)
        read_records(record, now_us);
}
