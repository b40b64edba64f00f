/* ledger.h -- the start ledger, shared by executor.c and fence.c */

#ifndef BW_LEDGER_H
#define BW_LEDGER_H

#include <uthash.h>

#include "brasswing.h"

typedef struct LedgerTask {
    uint32_t index;
    uint32_t attempt;
    uint64_t started_us;
    bool is_ended;
    uint32_t error;
    uint32_t status;
    BwSpan answer; /* allocated */
} LedgerTask;

struct BwLedgerJob {
    BwJobId id;
    UT_hash_handle hh;
    uint64_t fence_number; /* of the last accepted grant */
    uint64_t deadline_us;
    uint32_t home_peer; /* connection of the job's home */
    uint32_t pulled;    /* slots held for answers to its pulls */
    LedgerTask *tasks;
    uint32_t task_count;
    uint32_t task_capacity;
    uint32_t running;
    uint64_t expected_us; /* run time of a task */
    BwQueueItem queued;   /* reservations of this job */
};

/* Returns NULL when the task was not started here. */
LedgerTask *
BwLedger_FindTask(BwLedgerJob *job, uint32_t index);

/* Adds an entry for a task.  Returns NULL when memory is short. */
LedgerTask *
BwLedger_AddTask(BwLedgerJob *job, uint32_t index);

/* Marks the task as ended and stores a copy of its answer.  When memory is
   short the task is recorded as failed, without an answer. */
void
BwLedger_StoreAnswer(BwExecutor *executor, LedgerTask *task, BwErrorKind error,
                     uint32_t status, BwSpan body);

/* Returns NULL when the ledger has no such job. */
BwLedgerJob *
BwLedger_Find(BwExecutor *executor, BwJobId id);

/* Returns NULL when memory is short. */
BwLedgerJob *
BwLedger_FindOrAdd(BwExecutor *executor, BwJobId id, uint64_t deadline_us);

/* Sets the fields of a DONE that report the executor's load. */
void
BwLedger_DescribeLoad(const BwExecutor *executor, BwDone *done);

/* Frees up to `slots` of the slots that are held for pulls of the job. */
void
BwLedger_FreeHeldSlots(BwExecutor *executor, BwLedgerJob *job, uint32_t slots);

/* Whether the grant carries holder and number of the fence in force for its
   key; always true without a ring. */
bool
BwLedger_HasCurrentFence(const BwExecutor *executor, const BwGrant *grant);

void
BwLedger_ClearFences(BwExecutor *executor);

#endif
