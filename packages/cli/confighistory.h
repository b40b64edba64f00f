/* confighistory.h -- the publications on the platform's log

   Reads the log over HTTP and keeps each publication and renewal with its
   verdict.  The commands show, history, diff, rollback and publish use it.
*/

#ifndef BW_CONFIGHISTORY_H
#define BW_CONFIGHISTORY_H

#include "cli.h"
#include "configlog.h"

/* One publication or renewal. */
typedef struct BwHistoryRecord {
    uint64_t offset;
    uint64_t base;
    /* Revision that it set or repeats, or that was in force when it was
       refused. */
    uint64_t number;
    BwRevisionVerdict verdict;
    bool is_renewal;
    char publish_id[BW_NAME_BYTES_MAX];
    char author[BW_NAME_BYTES_MAX];
    uint64_t at_wall_us;
    char *text;
} BwHistoryRecord;

typedef struct BwConfigHistory {
    BwConfigLog config;
    uint64_t read_offset; /* offset of the next read */
    BwHistoryRecord *records;
    uint32_t count;
    uint32_t capacity;
} BwConfigHistory;

void
BwConfigHistory_Init(BwConfigHistory *log);

void
BwConfigHistory_Finish(BwConfigHistory *log);

/* Reads on to the end of the log.  Returns false when the log does not answer
   by the deadline. */
bool
BwConfigHistory_ReadToEnd(BwConfigHistory *log, const BwCliOptions *options,
                          uint64_t deadline_us);

typedef enum BwHistoryRange {
    BW_HISTORY_RECENT, /* enough to know the revision in force */
    BW_HISTORY_ALL,    /* every record that the log holds */
} BwHistoryRange;

/* Reads until the end of the log is reached and the revision in force is
   known; retries when the log does not answer.  Returns false at the deadline,
   with a message on standard error. */
bool
BwConfigHistory_Load(BwConfigHistory *log, const BwCliOptions *options,
                     BwHistoryRange range, uint64_t deadline_us);

/* Returns the decided record of a publication, or NULL.  The first of several
   copies is the one that counts. */
const BwHistoryRecord *
BwConfigHistory_FindPublication(const BwConfigHistory *log,
                                const char *publish_id);

/* Returns a record that set or renewed a revision, or NULL. */
const BwHistoryRecord *
BwConfigHistory_FindRevision(const BwConfigHistory *log, uint64_t number);

#endif
