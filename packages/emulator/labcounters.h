/* labcounters.h -- counters over the records of an experiment

   An outcome of an experiment states limits for a counter.  A rule is a
   counter that must be 0 in every experiment.  Counters are computed from the
   emulator's own records: the ledgers of the workers and of the ingress, what
   callers received, and exit codes.  Only usable_workers relies on a metric of
   the tested processes.  labreport.c evaluates the counters.
*/

#ifndef BW_LABCOUNTERS_H
#define BW_LABCOUNTERS_H

#include "labrunner.h"

/* One run of a task on a worker, from the worker's ledger. */
typedef struct BwLabRun {
    const char *task;
    const BwLabJob *job; /* NULL: the task belongs to no job of this run */
    uint32_t worker;
    uint64_t started_us;
    uint64_t ended_us;       /* 0: still running */
    uint64_t drained_for_us; /* time from the worker's drain to the start */
    const char *end_reason;
} BwLabRun;

typedef struct BwLabResults {
    const BwLabRunner *runner;
    BwLabRun *runs; /* sorted by task, then by start */
    uint32_t run_count;
} BwLabResults;

/* Collects the runs from the workers' ledgers.  Returns false when memory ran
   out.  Strings belong to `runner`, which must outlive `results`. */
bool
BwLabResults_Init(BwLabResults *results, const BwLabRunner *runner);

void
BwLabResults_Finish(BwLabResults *results);

/* Counts over the results.  Some counters count only the class or the worker
   of `filter`. */
typedef uint32_t (*BwLabCountFunction)(const BwLabResults *results,
                                       const BwLabOutcome *filter);

/* A counter that an outcome may name.  If is_rule is set, it must be 0 in
   every experiment. */
typedef struct BwLabCounter {
    const char *name;
    bool is_rule;
    const char *meaning;
    BwLabCountFunction count;
} BwLabCounter;

/* Returns the table of counters; its last name is NULL. */
const BwLabCounter *
BwLabCounters(void);

/* Returns NULL when there is no counter of this name. */
const BwLabCounter *
BwLabCounter_Find(const char *name);

/* Returns the key of a job's end in reports. */
const char *
BwLabEnd_Name(BwLabEnd end);

#endif
