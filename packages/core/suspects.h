/* suspects.h -- tasks that ran on a worker when it crashed

   A task may crash every worker that starts it.  When a worker crashes, the
   tasks that ran there are suspects, and most of them are innocent.  The table
   counts for each of them how many workers have crashed under it, so that a
   task is not started a third time, at whichever dispatcher its job is handed
   in next.  A second crash under a job that ran alone proves that the job is
   the cause; a first one proves nothing, since any job may be alone on a
   worker that crashes.

   Every dispatcher keeps a table from the crash reports that supervisors send
   to all dispatchers, and that they repeat to one that starts.  A record lasts
   for BW_SUSPECT_US after the last crash; above BW_SUSPECT_JOBS_MAX jobs the
   oldest are dropped.

   boundcrash.c owns the table.  Times are microseconds of the monotonic clock.
*/

#ifndef BW_SUSPECTS_H
#define BW_SUSPECTS_H

#include <stdbool.h>

#include <uthash.h>

#include "control.h"
#include "messages.h"

/* Callers resend a job within seconds; its record must last longer. */
#define BW_SUSPECT_US 30000000ull
/* Limits the memory of the table. */
#define BW_SUSPECT_JOBS_MAX 4096

typedef struct BwSuspectTask {
    uint32_t step;
    uint32_t index;
    uint32_t crashes; /* of workers on which it ran */
    bool is_proven;   /* the last of several crashes was conclusive */
} BwSuspectTask;

typedef struct BwSuspectJob {
    char job[BW_NAME_BYTES_MAX];
    BwSuspectTask *tasks;
    uint32_t task_count;
    uint64_t last_us; /* time of the last crash */
    UT_hash_handle hh;
} BwSuspectJob;

/* Counts a crash under the task.  It is conclusive when nothing but the task's
   job can be the cause.  Returns the record, or NULL when memory is short. */
const BwSuspectTask *
BwSuspects_Record(BwSuspectJob **table, uint64_t now_us, BwSpan job,
                  uint32_t step, uint32_t index, bool is_conclusive);

/* Takes one crash back, because the worker had not crashed. */
void
BwSuspects_Withdraw(BwSuspectJob **table, BwSpan job, uint32_t step,
                    uint32_t index);

/* Drops the record of a task that has run to its end. */
void
BwSuspects_Clear(BwSuspectJob **table, const char *job, uint32_t step,
                 uint32_t index);

/* Returns the task's record, or NULL when no worker has crashed under it. */
const BwSuspectTask *
BwSuspects_FindTask(BwSuspectJob *table, BwSpan job, uint32_t step,
                    uint32_t index);

/* Returns the job's record, or NULL when no worker has crashed under it. */
const BwSuspectJob *
BwSuspects_Find(BwSuspectJob *table, const char *job);

/* Drops the records that have expired. */
void
BwSuspects_Evict(BwSuspectJob **table, uint64_t now_us);

void
BwSuspects_Finish(BwSuspectJob **table);

#endif
