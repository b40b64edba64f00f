/* decisions.h -- circular buffer of the last decisions of this process

   `brasswing explain` shows what was decided on a job and why: it reads the
   decisions of the job's entry, home and executors.  A process stores a fixed
   number, so that memory is bounded; decisions of older jobs are lost.  main.c
   adds decisions and serves them at GET /v1/decisions.
*/

#ifndef BW_DECISIONS_H
#define BW_DECISIONS_H

#include "brasswing.h"

#define BW_DECISIONS_MAX 4096

typedef struct BwDecisionRecord {
    uint64_t at_wall_us;
    BwJobId job;
    uint32_t count;
    uint32_t alternatives;
    char what[16];
    char choice[BW_NAME_BYTES_MAX];
    char reason[96];
} BwDecisionRecord;

/* The newest BW_DECISIONS_MAX decisions.  Older ones are overwritten. */
typedef struct BwDecisions {
    uint64_t added;
    BwDecisionRecord records[BW_DECISIONS_MAX];
} BwDecisions;

/* Returns NULL when memory is short; the caller frees it. */
BwDecisions *
BwDecisions_New(void);

void
BwDecisions_Add(BwDecisions *decisions, uint64_t now_wall_us,
                const BwDecision *decision);

/* Returns {"decisions": [...]} of one job as JSON, oldest first, with `node`
   as the name of this process; the caller frees it. */
char *
BwDecisions_Write(const BwDecisions *decisions, const char *node, BwJobId job);

#endif
