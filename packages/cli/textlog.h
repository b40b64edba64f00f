/* textlog.h -- the publications on the platform's log

   Reads the log over HTTP and keeps each publication and renewal with its
   verdict.  The commands show, history, diff, rollback and publish use it.
*/

#ifndef BW_TEXTLOG_H
#define BW_TEXTLOG_H

#include "cli.h"
#include "configlog.h"

/* One publication or renewal. */
typedef struct BwTextEntry {
    uint64_t offset;
    uint64_t base;
    uint64_t number; /* revision that it set or repeats, or that was
                        in force when it was refused */
    BwRevisionVerdict verdict;
    bool is_renewal;
    char publish_id[BW_NAME_BYTES_MAX];
    char author[BW_NAME_BYTES_MAX];
    uint64_t at_wall_us;
    char *text;
} BwTextEntry;

typedef struct BwTextLog {
    BwConfigLog config;
    uint64_t next; /* offset of the next read */
    BwTextEntry *entries;
    uint32_t count;
    uint32_t room;
} BwTextLog;

void
BwTextLog_Init(BwTextLog *log);

void
BwTextLog_Finish(BwTextLog *log);

/* Reads on to the end of the log.  Returns false when the log does not answer
   by the deadline. */
bool
BwTextLog_Read(BwTextLog *log, const BwCliOptions *options,
               uint64_t deadline_us);

typedef enum BwTextLogReach {
    BW_TEXT_LOG_TAIL,  /* enough to know the revision in force */
    BW_TEXT_LOG_WHOLE, /* every record that the log holds */
} BwTextLogReach;

/* Reads until the end of the log was reached and the revision in force is
   known; retries when the log does not answer.  Returns false at the deadline,
   with a message on standard error. */
bool
BwTextLog_Follow(BwTextLog *log, const BwCliOptions *options,
                 BwTextLogReach reach, uint64_t deadline_us);

/* Returns the decided record of a publication, or NULL.  The first of several
   copies is the one that counts. */
const BwTextEntry *
BwTextLog_FindPublication(const BwTextLog *log, const char *publish_id);

/* Returns a record that set or renewed a revision, or NULL. */
const BwTextEntry *
BwTextLog_FindRevision(const BwTextLog *log, uint64_t number);

#endif
