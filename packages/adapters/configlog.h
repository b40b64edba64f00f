/* configlog.h -- the operators' configuration as records of the platform's log

   Parses, applies and makes the records.  They are JSON objects with a "type":

     config   publish_id, base, author, at_wall_us, text
     renewal  publish_id, number, as_of, set_at, at_wall_us, text

   A config record is a text that an operator published.  A renewal repeats
   the text in force, so that a reader needs no older records.

   The daemon and the command line apply the records with the same code, so a
   publisher sees the verdict that every process reaches.
*/

#ifndef BW_CONFIGLOG_H
#define BW_CONFIGLOG_H

#include <jansson.h>

#include "brasswing.h"

/* A reader of the configuration records.  A new reader first scans the log to
   its end for the newest renewal, then applies records from there, so that it
   need not validate every text that the log holds. */
typedef struct BwConfigLog {
    bool is_scanning; /* no record is applied yet, and nothing is in force */
    json_t *newest_renewal; /* newest renewal found so far, or NULL */
    uint64_t newest_renewal_offset;
    BwRevision revision;
    char *text; /* text in force, NUL-terminated; NULL: none yet */
    uint32_t text_bytes;
} BwConfigLog;

void
BwConfigLog_Init(BwConfigLog *log);

void
BwConfigLog_Finish(BwConfigLog *log);

/* Applies a record of any type; `record` is NULL for one that is not a JSON
   object.  Copies the record's text into the log and puts it in force when the
   record is accepted.  Returns the verdict: BW_REVISION_NONE for a record of
   another type, and BW_REVISION_UNDECIDED also during the scan and when memory
   is short.  If BwConfigLog_IsBehind returns true afterwards, the caller must
   read again from log->revision.next_offset. */
BwRevisionVerdict
BwConfigLog_Apply(BwConfigLog *log, uint64_t offset, const json_t *record);

/* Ends the scan after the log was read to its end, and applies the newest
   renewal that the scan found.  If the reader is synced afterwards, the caller
   reads on from log->revision.next_offset.  Without a renewal, a reader of a
   log that still has its first record starts there; any other reader waits for
   the next renewal.  Does nothing when no scan is in progress. */
void
BwConfigLog_EndScan(BwConfigLog *log);

/* Returns whether the reader is synced but has not applied all records up to
   `offset`, so that they must be read again from log->revision.next_offset. */
bool
BwConfigLog_IsBehind(const BwConfigLog *log, uint64_t offset);

/* Adopts the state of a synced reader, such as a peer's, which has the form of
   a renewal, and its text, which is copied.  Returns whether the text is now
   in force. */
bool
BwConfigLog_Adopt(BwConfigLog *log, const BwRevisionRecord *renewal,
                  BwSpan text);

/* Makes a config record that publishes `text`, based on revision number
   `base`.  The caller releases it with json_decref.  Returns NULL when memory
   is short. */
json_t *
BwConfigLog_MakeConfig(const char *publish_id, uint64_t base,
                       const char *author, uint64_t now_wall_us,
                       const char *text);

/* Makes a renewal of the text in force, with the reader's next offset as
   as_of.  The caller releases it with json_decref.  Returns NULL when memory
   is short. */
json_t *
BwConfigLog_MakeRenewal(const BwConfigLog *log, uint64_t now_wall_us);

/* Returns a string of any JSON object, or "" when it is absent or of another
   type.  The span points into the object. */
BwSpan
BwRecord_Text(const json_t *record, const char *key);

/* Returns an integer of any JSON object, or 0 when it is absent or of another
   type. */
uint64_t
BwRecord_Number(const json_t *record, const char *key);

/* Returns a new array with the records in the order of `compare`, which takes
   pointers to json_t pointers, as for qsort.  The caller releases it with
   json_decref.  The array is empty when memory is short. */
json_t *
BwRecord_Sort(const json_t *records,
              int (*compare)(const void *left, const void *right));

#endif
