/* configlog.c -- the operators' configuration as records of the platform's log

   Described in configlog.h.
*/

#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "configlog.h"

BwSpan
BwRecord_Text(const json_t *record, const char *key)
{
    json_t *value = json_object_get(record, key);
    BwSpan span = {"", 0};

    if (json_is_string(value)) {
        span.base = json_string_value(value);
        span.size_bytes = (uint32_t)json_string_length(value);
    }
    return span;
}

uint64_t
BwRecord_Number(const json_t *record, const char *key)
{
    json_t *value = json_object_get(record, key);

    return json_is_integer(value) ? (uint64_t)json_integer_value(value) : 0;
}

json_t *
BwRecord_Sort(const json_t *records,
              int (*compare)(const void *left, const void *right))
{
    size_t count = json_array_size(records);
    json_t **items = calloc(count + 1, sizeof(json_t *));
    json_t *sorted = json_array();

    for (size_t i = 0; items != NULL && i < count; i++)
        items[i] = json_array_get(records, i);
    if (items != NULL)
        qsort(items, count, sizeof(json_t *), compare);
    for (size_t i = 0; items != NULL && i < count; i++)
        json_array_append(sorted, items[i]);
    free(items);
    return sorted;
}

void
BwConfigLog_Init(BwConfigLog *log)
{
    memset(log, 0, sizeof(*log));
    log->is_scanning = true;
    BwRevision_InitUnsynced(&log->revision, 0);
}

void
BwConfigLog_Finish(BwConfigLog *log)
{
    free(log->text);
    log->text = NULL;
    json_decref(log->newest_renewal);
    log->newest_renewal = NULL;
}

static bool
is_valid_text(BwSpan text)
{
    BwYamlFaults *faults = calloc(1, sizeof(BwYamlFaults));
    BwConfig config;
    bool is_valid;

    if (faults == NULL)
        return false;
    is_valid = BwConfig_Read(&config, "text", text, faults);
    BwConfig_Finish(&config);
    free(faults);
    return is_valid;
}

static char *
copy_text(BwSpan text)
{
    char *copy = malloc(text.size_bytes + 1);

    if (copy != NULL)
        BwSpan_ToString(text, copy, text.size_bytes + 1);
    return copy;
}

/* Takes ownership of `owned_text`, a copy of `text`. */
static void
put_in_force(BwConfigLog *log, char *owned_text, BwSpan text)
{
    free(log->text);
    log->text = owned_text;
    log->text_bytes = text.size_bytes;
}

static bool
read_record(const BwConfigLog *log, uint64_t offset, const json_t *record,
            BwRevisionRecord *parsed)
{
    BwSpan type = BwRecord_Text(record, "type");

    memset(parsed, 0, sizeof(*parsed));
    parsed->is_renewal = BwSpan_Equal(type, BwSpan_FromString("renewal"));
    if (!parsed->is_renewal &&
        !BwSpan_Equal(type, BwSpan_FromString("config")))
        return false;
    parsed->offset = offset;
    parsed->base = BwRecord_Number(record, "base");
    parsed->number = BwRecord_Number(record, "number");
    parsed->as_of = BwRecord_Number(record, "as_of");
    parsed->set_at = BwRecord_Number(record, "set_at");
    parsed->publish_id = BwRecord_Text(record, "publish_id");
    /* A record that is not based on the revision in force is refused, so its
       text need not be validated. */
    parsed->is_valid = parsed->is_renewal || log->is_scanning ||
                       parsed->base != log->revision.number ||
                       is_valid_text(BwRecord_Text(record, "text"));
    return true;
}

/* Keeps the newest renewal that the scan has found and whose as_of this reader
   can continue from.  Applies nothing. */
static BwRevisionVerdict
remember_renewal(BwConfigLog *log, uint64_t offset,
                 const BwRevisionRecord *parsed, const json_t *record)
{
    if (parsed->is_renewal && parsed->as_of >= log->revision.start_offset &&
        parsed->as_of <= offset) {
        json_decref(log->newest_renewal);
        log->newest_renewal = json_deep_copy(record);
        log->newest_renewal_offset = offset;
    }
    return BW_REVISION_UNDECIDED;
}

void
BwConfigLog_EndScan(BwConfigLog *log)
{
    json_t *newest_renewal = log->newest_renewal;

    if (!log->is_scanning)
        return;
    log->is_scanning = false;
    log->newest_renewal = NULL;
    if (newest_renewal != NULL)
        BwConfigLog_Apply(log, log->newest_renewal_offset, newest_renewal);
    else if (log->revision.start_offset == 0)
        BwRevision_Init(&log->revision);
    json_decref(newest_renewal);
}

BwRevisionVerdict
BwConfigLog_Apply(BwConfigLog *log, uint64_t offset, const json_t *record)
{
    BwSpan text = BwRecord_Text(record, "text");
    BwRevisionRecord parsed;
    BwRevisionVerdict verdict;
    char *owned_text;

    if (!read_record(log, offset, record, &parsed)) {
        BwRevision_Skip(&log->revision, offset);
        return BW_REVISION_NONE;
    }
    if (log->is_scanning)
        return remember_renewal(log, offset, &parsed, record);
    owned_text = copy_text(text);
    if (owned_text == NULL)
        return BW_REVISION_UNDECIDED;
    verdict = BwRevision_Apply(&log->revision, &parsed);
    if (verdict == BW_REVISION_ACCEPTED)
        put_in_force(log, owned_text, text);
    else
        free(owned_text);
    return verdict;
}

bool
BwConfigLog_IsBehind(const BwConfigLog *log, uint64_t offset)
{
    return log->revision.is_synced && log->revision.next_offset <= offset;
}

bool
BwConfigLog_Adopt(BwConfigLog *log, const BwRevisionRecord *renewal,
                  BwSpan text)
{
    char *owned_text = copy_text(text);

    if (owned_text == NULL || !BwRevision_Adopt(&log->revision, renewal)) {
        /* The scan serves to sync the reader, so a synced one needs none. */
        log->is_scanning = log->is_scanning && !log->revision.is_synced;
        free(owned_text);
        return false;
    }
    log->is_scanning = false;
    put_in_force(log, owned_text, text);
    return true;
}

json_t *
BwConfigLog_MakeConfig(const char *publish_id, uint64_t base,
                       const char *author, uint64_t now_wall_us,
                       const char *text)
{
    return json_pack("{s:s, s:s, s:I, s:s, s:I, s:s}", "type", "config",
                     "publish_id", publish_id, "base", (json_int_t)base,
                     "author", author, "at_wall_us", (json_int_t)now_wall_us,
                     "text", text);
}

json_t *
BwConfigLog_MakeRenewal(const BwConfigLog *log, uint64_t now_wall_us)
{
    const BwRevision *revision = &log->revision;

    return json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:I, s:s}", "type", "renewal", "publish_id",
        revision->publish_id, "number", (json_int_t)revision->number, "as_of",
        (json_int_t)revision->next_offset, "set_at",
        (json_int_t)revision->offset, "at_wall_us", (json_int_t)now_wall_us,
        "text", log->text != NULL ? log->text : "");
}
