/* jobmemory.h -- jobs that have ended, by queue and name

   A request may arrive again after its job has ended, at any process and
   seconds late.  It is one job, so it must not start anew: a process remembers
   the end of a job for BW_JOB_MEMORY_US, and of up to BW_JOB_MEMORY_MAX jobs;
   beyond that the oldest is forgotten first.  A job is kept as a hash of 64
   bits of its queue and name.

   The dispatcher's role and supervisor.c use it.
*/

#ifndef BW_JOBMEMORY_H
#define BW_JOBMEMORY_H

#include <stdbool.h>

#include <uthash.h>

#include "driver.h"

#define BW_JOB_MEMORY_US 30000000ull
#define BW_JOB_MEMORY_MAX 8192

typedef struct BwEndedJob {
    uint64_t key;
    uint64_t until_us;
    BwBoundState state;
    UT_hash_handle hh; /* by key */
} BwEndedJob;

typedef struct BwJobMemory {
    BwEndedJob *ring; /* NULL until the first job */
    BwEndedJob *by_key;
    uint32_t next;      /* place of the next job in the ring */
    uint64_t forgotten; /* jobs that made room for others before their time */
} BwJobMemory;

/* The memory may be all zero at first.  BwJobMemory_Finish frees it. */
void
BwJobMemory_Finish(BwJobMemory *memory);

/* Remembers how the job ended.  Without memory it is not remembered. */
void
BwJobMemory_Add(BwJobMemory *memory, uint64_t now_us, BwSpan queue,
                BwSpan name, BwBoundState state);

/* Returns the job, or NULL when it is not remembered. */
const BwEndedJob *
BwJobMemory_Find(const BwJobMemory *memory, uint64_t now_us, BwSpan queue,
                 BwSpan name);

#endif
