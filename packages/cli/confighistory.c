/* confighistory.c -- the publications on the platform's log

   Records are applied by the code that every node runs (configlog.h), so the
   command line comes to the same verdicts.  The verdict on a record is
   undecided while the records before it were dropped by the log's retention
   limit.  Such a record is read again after a renewal has given the state.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "confighistory.h"

#define RETRY_US 100000
#define TAIL_RECORDS (4 * BW_RENEWAL_RECORDS) /* include a renewal */
#define END_OFFSET (UINT64_C(1) << 62)        /* after any record */

void
BwConfigHistory_Init(BwConfigHistory *log)
{
    memset(log, 0, sizeof(*log));
    BwConfigLog_Init(&log->config);
}

void
BwConfigHistory_Finish(BwConfigHistory *log)
{
    for (uint32_t i = 0; i < log->count; i++)
        free(log->records[i].text);
    free(log->records);
    BwConfigLog_Finish(&log->config);
}

/* Returns the record of an offset, adding it if needed.  Returns NULL without
   memory. */
static BwHistoryRecord *
find_or_add_record(BwConfigHistory *log, uint64_t offset)
{
    for (uint32_t i = 0; i < log->count; i++) {
        if (log->records[i].offset == offset)
            return &log->records[i];
    }
    if (log->count == log->capacity) {
        uint32_t capacity = log->capacity ? log->capacity * 2 : 64;
        BwHistoryRecord *new_records =
            realloc(log->records, capacity * sizeof(BwHistoryRecord));

        if (new_records == NULL)
            return NULL;
        log->records = new_records;
        log->capacity = capacity;
    }
    memset(&log->records[log->count], 0, sizeof(BwHistoryRecord));
    log->records[log->count].offset = offset;
    return &log->records[log->count++];
}

static void
store_record(BwConfigHistory *log, uint64_t offset, const json_t *json_record,
             BwRevisionVerdict verdict)
{
    BwHistoryRecord *record = find_or_add_record(log, offset);
    BwSpan text = BwRecord_Text(json_record, "text");

    if (record == NULL)
        return;
    record->is_renewal = BwSpan_Equal(BwRecord_Text(json_record, "type"),
                                      BwSpan_FromString("renewal"));
    record->verdict = verdict;
    record->base = BwRecord_Number(json_record, "base");
    record->number = record->is_renewal
                         ? BwRecord_Number(json_record, "number")
                         : log->config.revision.number;
    record->at_wall_us = BwRecord_Number(json_record, "at_wall_us");
    BwSpan_ToString(BwRecord_Text(json_record, "publish_id"),
                    record->publish_id, sizeof(record->publish_id));
    BwSpan_ToString(BwRecord_Text(json_record, "author"), record->author,
                    sizeof(record->author));
    free(record->text);
    record->text = strndup(text.base, text.size_bytes);
}

static void
apply_page(BwConfigHistory *log, const json_t *page)
{
    json_t *item;
    size_t index;

    BwRevision_OnTruncated(&log->config.revision,
                           BwRecord_Number(page, "first"));
    json_array_foreach(json_object_get(page, "records"), index, item)
    {
        const char *body = json_string_value(json_object_get(item, "body"));
        json_t *json_record = body != NULL ? json_loads(body, 0, NULL) : NULL;
        uint64_t offset = BwRecord_Number(item, "offset");
        BwRevisionVerdict verdict =
            BwConfigLog_Apply(&log->config, offset, json_record);
        bool is_behind = BwConfigLog_IsBehind(&log->config, offset);

        if (verdict != BW_REVISION_NONE)
            store_record(log, offset, json_record, verdict);
        log->read_offset =
            is_behind ? log->config.revision.next_offset : offset + 1;
        json_decref(json_record);
        if (is_behind)
            return;
    }
    if (log->read_offset < BwRecord_Number(page, "first"))
        log->read_offset = BwRecord_Number(page, "first");
}

/* Reads one page of records from offset `from`, or NULL without an answer. */
static json_t *
read_page(const BwCliOptions *options, uint64_t from, uint64_t deadline_us)
{
    char path[256];
    BwBlockingReply reply;
    BwSpan none = {"", 0};
    json_t *page = NULL;
    uint64_t now_us = BwClock_Now();

    if (now_us >= deadline_us)
        return NULL;
    snprintf(path, sizeof(path), "/v1/streams/%s/records?from=%llu&wait_ms=0",
             options->stream, (unsigned long long)from);
    if (BwCli_CallQuietly(options->log, "GET", path, none,
                          deadline_us - now_us, &reply) == 200)
        page = json_loadb(reply.body, reply.body_bytes, 0, NULL);
    free(reply.body);
    return page;
}

bool
BwConfigHistory_ReadToEnd(BwConfigHistory *log, const BwCliOptions *options,
                          uint64_t deadline_us)
{
    uint64_t end;

    do {
        json_t *page = read_page(options, log->read_offset, deadline_us);

        if (page == NULL)
            return false;
        apply_page(log, page);
        end = BwRecord_Number(page, "next");
        json_decref(page);
    } while (log->read_offset < end);
    return true;
}

/* Scans for the newest renewal, first only in the newest records unless all
   are requested, and reads the log from there to its end. */
static bool
scan_for_renewal(BwConfigHistory *log, const BwCliOptions *options,
                 BwHistoryRange range, uint64_t deadline_us)
{
    BwRevision *revision = &log->config.revision;
    json_t *page = read_page(options, END_OFFSET, deadline_us);
    uint64_t end_offset = BwRecord_Number(page, "next");
    bool is_partial_scan;

    if (page == NULL)
        return false;
    BwRevision_OnTruncated(revision, BwRecord_Number(page, "first"));
    json_decref(page);
    log->read_offset = revision->start_offset;
    is_partial_scan = range == BW_HISTORY_RECENT &&
                      end_offset > log->read_offset + TAIL_RECORDS;
    if (is_partial_scan)
        log->read_offset = end_offset - TAIL_RECORDS;
    if (!BwConfigHistory_ReadToEnd(log, options, deadline_us))
        return false;
    if (range == BW_HISTORY_ALL && revision->start_offset == 0) {
        /* The log is complete: start at its first record instead of the
           renewal, so that every record gets its verdict. */
        json_decref(log->config.newest_renewal);
        log->config.newest_renewal = NULL;
    }
    if (log->config.newest_renewal == NULL && is_partial_scan) {
        log->read_offset = revision->start_offset;
        if (!BwConfigHistory_ReadToEnd(log, options, deadline_us))
            return false;
    }
    BwConfigLog_EndScan(&log->config);
    if (revision->is_synced)
        log->read_offset = revision->next_offset;
    return BwConfigHistory_ReadToEnd(log, options, deadline_us);
}

bool
BwConfigHistory_Load(BwConfigHistory *log, const BwCliOptions *options,
                     BwHistoryRange range, uint64_t deadline_us)
{
    bool is_read = false;

    while (BwClock_Now() < deadline_us) {
        if (log->config.is_scanning)
            is_read = scan_for_renewal(log, options, range, deadline_us);
        else
            is_read = BwConfigHistory_ReadToEnd(log, options, deadline_us);
        if (is_read && log->config.revision.is_synced)
            return true;
        usleep(RETRY_US);
    }
    if (is_read)
        fprintf(stderr,
                "brasswing: the log has dropped the record of the "
                "configuration in force and no agent has renewed it yet; "
                "check that agents run and try again\n");
    else
        fprintf(stderr,
                "brasswing: the log at %s did not answer in time; check "
                "--log, or wait for the end of its outage and try again\n",
                options->log != NULL ? options->log : "(no --log)");
    return false;
}

const BwHistoryRecord *
BwConfigHistory_FindPublication(const BwConfigHistory *log,
                                const char *publish_id)
{
    for (uint32_t i = 0; i < log->count; i++) {
        const BwHistoryRecord *record = &log->records[i];

        if (!record->is_renewal && record->verdict != BW_REVISION_UNDECIDED &&
            strcmp(record->publish_id, publish_id) == 0)
            return record;
    }
    return NULL;
}

const BwHistoryRecord *
BwConfigHistory_FindRevision(const BwConfigHistory *log, uint64_t number)
{
    for (uint32_t i = 0; i < log->count; i++) {
        const BwHistoryRecord *record = &log->records[i];

        if (record->number == number && number > 0 &&
            (record->is_renewal || record->verdict == BW_REVISION_ACCEPTED))
            return record;
    }
    return NULL;
}
