/* configlog.h -- the operators' text, as records of the platform's log

   Records are JSON objects with a "type":

     config   publish_id, base, author, at_wall_us, text
     renewal  publish_id, number, as_of, set_at, at_wall_us, text

   The daemon and the command line apply them by the same code, so a publisher
   sees the verdict that every node comes to.
*/

#ifndef BW_CONFIGLOG_H
#define BW_CONFIGLOG_H

#include <jansson.h>

#include "brasswing.h"

/* A new reader first scans the log to its end for the newest renewal, then
   starts from there, so that it need not judge every text that the log holds.
*/
typedef struct BwConfigLog {
    bool is_scanning;
    json_t *newest; /* renewal that the scan found, or NULL */
    uint64_t newest_offset;
    BwRevision revision;
    char *text; /* in force; NULL before the first */
    uint32_t text_bytes;
} BwConfigLog;

void
BwConfigLog_Init(BwConfigLog *log);

void
BwConfigLog_Finish(BwConfigLog *log);

/* Applies any record, NULL for one that is not a JSON object, and puts its
   text in force when it is accepted.  Afterwards the caller reads on from
   log->revision.next_offset if that is not after `offset` while the reader is
   anchored; see BwConfigLog_IsBehind. */
BwRevisionVerdict
BwConfigLog_Apply(BwConfigLog *log, uint64_t offset, const json_t *record);

/* Ends the scan when the log was read to its end.  The caller reads on from
   log->revision.next_offset if the reader is now anchored.  Without a renewal
   a reader of a whole log starts at its first record, any other one waits for
   the next renewal. */
void
BwConfigLog_EndScan(BwConfigLog *log);

/* Says whether records up to `offset` were passed over and are to be read
   again from log->revision.next_offset. */
bool
BwConfigLog_IsBehind(const BwConfigLog *log, uint64_t offset);

/* Takes the state of an anchored reader.  Returns whether its text is now in
   force. */
bool
BwConfigLog_Adopt(BwConfigLog *log, const BwRevisionRecord *state,
                  BwSpan text);

/* Makes a record; json_decref it.  Returns NULL without memory. */
json_t *
BwConfigLog_MakeConfig(const char *publish_id, uint64_t base,
                       const char *author, uint64_t now_wall_us,
                       const char *text);

json_t *
BwConfigLog_MakeRenewal(const BwConfigLog *log, uint64_t now_wall_us);

/* Read a record's values; an absent or wrong one is "" or 0. */
BwSpan
BwRecord_Text(const json_t *record, const char *key);

uint64_t
BwRecord_Number(const json_t *record, const char *key);

/* Returns the records in the order of `compare`, which takes what qsort's
   does: pointers to json_t pointers.  json_decref it.  Without memory it is
   empty. */
json_t *
BwRecord_Sort(const json_t *records,
              int (*compare)(const void *left, const void *right));

#endif
