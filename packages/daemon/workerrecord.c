/* workerrecord.c -- what a supervisor last knew of its worker

   Method and callers are described in workerrecord.h.  The text of a record
   is the path of the heartbeat, a newline and its body.
*/

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "brasswing.h"
#include "workerrecord.h"

/* A list of keys starts after a given one.  This one is less than `name`, and
   no other likely name lies between the two. */
static void
set_previous_key(char *out, const char *name)
{
    size_t length = strlen(name);

    strcpy(out, name);
    if (length > 0 && out[length - 1] > ' ')
        out[length - 1]--;
}

static uint64_t
digest_span(BwSpan span, uint64_t seed)
{
    return XXH64(span.base, span.size_bytes, seed ^ span.size_bytes);
}

/* Covers what a supervisor needs to know, and nothing that changes with each
   heartbeat. */
static uint64_t
digest_heartbeat(const BwWorkerHeartbeat *heartbeat)
{
    uint64_t digest = digest_span(heartbeat->instance, heartbeat->is_leaving);

    digest = XXH64(&heartbeat->born_ms, sizeof(heartbeat->born_ms), digest);
    digest = digest_span(heartbeat->service, digest);
    digest = digest_span(heartbeat->domain, digest);
    digest = XXH64(&heartbeat->capacity, sizeof(heartbeat->capacity), digest);
    for (uint32_t i = 0; i < heartbeat->label_count; i++)
        digest = digest_span(heartbeat->labels[i], digest);
    return digest;
}

static void
recall(BwWorkerRecord *record, BwSpan text)
{
    const BwDriver *driver = record->kept.driver;
    const char *end = memchr(text.base, '\n', text.size_bytes);
    BwWorkerHeartbeat heartbeat;
    const char *fault;
    BwSpan path, body;

    if (end == NULL)
        return;
    path.base = text.base;
    path.size_bytes = (uint32_t)(end - text.base);
    body.base = end + 1;
    body.size_bytes = text.size_bytes - path.size_bytes - 1;
    if (!driver->read_heartbeat(path, body, &heartbeat, &fault)) {
        driver->release(heartbeat.memory);
        return;
    }
    heartbeat.is_recalled = true;
    record->digest = digest_heartbeat(&heartbeat);
    record->on_recalled(record->ctx, &heartbeat);
    driver->release(heartbeat.memory);
}

static void
on_read(void *ctx, const BwStorePage *page)
{
    BwWorkerRecord *record = ctx;
    BwSpan name = BwSpan_FromString(record->kept.name);

    for (uint32_t i = 0; i < page->record_count; i++) {
        if (BwSpan_Equal(page->records[i].key, name))
            recall(record, page->records[i].value);
    }
}

bool
BwWorkerRecord_Init(BwWorkerRecord *record, h2o_loop_t *loop,
                    const BwSettings *settings, const BwDriver *driver,
                    void (*on_recalled)(void *ctx,
                                        const BwWorkerHeartbeat *heartbeat),
                    void *ctx)
{
    char after[BW_NAME_BYTES_MAX];

    memset(record, 0, sizeof(*record));
    record->on_recalled = on_recalled;
    record->ctx = ctx;
    set_previous_key(after, settings->name);
    return BwKeptRecord_Init(&record->kept, loop, settings, driver,
                             BW_TOPIC_WORKERS, after, on_read, record);
}

void
BwWorkerRecord_Finish(BwWorkerRecord *record)
{
    BwKeptRecord_Finish(&record->kept);
}

void
BwWorkerRecord_OnHeartbeat(BwWorkerRecord *record, BwSpan path, BwSpan body,
                           const BwWorkerHeartbeat *heartbeat)
{
    bool is_leaving = heartbeat->is_leaving || heartbeat->is_gone;
    uint64_t digest = digest_heartbeat(heartbeat);
    BwSpan text = {NULL, path.size_bytes + 1 + body.size_bytes};
    char *bytes;

    BwKeptRecord_StopReading(&record->kept);
    if (digest == record->digest)
        return;
    bytes = malloc(text.size_bytes);
    if (bytes == NULL)
        return;
    memcpy(bytes, path.base, path.size_bytes);
    bytes[path.size_bytes] = '\n';
    memcpy(bytes + path.size_bytes + 1, body.base, body.size_bytes);
    text.base = bytes;
    if (is_leaving)
        text.size_bytes = 0;
    BwKeptRecord_Write(&record->kept, text);
    record->digest = digest;
    free(bytes);
}

void
BwWorkerRecord_Tick(BwWorkerRecord *record, uint64_t now_us)
{
    BwKeptRecord_Tick(&record->kept, now_us);
}
