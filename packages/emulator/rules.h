/* rules.h -- what is counted of a played experiment, and the rules

   Everything is counted from the emulator's own side: ledgers of the workers
   and of the ingress, and what callers saw.
*/

#ifndef BW_RULES_H
#define BW_RULES_H

#include "player.h"

/* A run of a task at a worker. */
typedef struct BwLabRun {
    const char *task;
    const BwLabJob *job; /* NULL: of no job */
    uint32_t worker;
    uint64_t started_us;
    uint64_t ended_us;   /* 0: it runs */
    uint64_t drained_us; /* the worker had been leaving so long */
    const char *how;
} BwLabRun;

typedef struct BwLabFacts {
    const BwPlayer *player;
    BwLabRun *runs; /* by task, then by start */
    uint32_t run_count;
} BwLabFacts;

/* Strings are those of the player, which must live as long. */
bool
BwLabFacts_Init(BwLabFacts *facts, const BwPlayer *player);

void
BwLabFacts_Finish(BwLabFacts *facts);

typedef uint32_t (*BwLabCount)(const BwLabFacts *facts,
                               const BwLabOutcome *outcome);

/* One that an outcome may expect.  A rule must be 0 in every experiment. */
typedef struct BwLabCounter {
    const char *name;
    bool is_rule;
    const char *meaning;
    BwLabCount count;
} BwLabCounter;

/* Returns the table, ended by a NULL name. */
const BwLabCounter *
BwLabCounters(void);

const BwLabCounter *
BwLabCounter_Find(const char *name);

/* The name of a job's end. */
const char *
BwLabEnd_Name(BwLabEnd end);

#endif
