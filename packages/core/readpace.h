/* readpace.h -- when the store is read, and how long an answer may take

   A store that falls silent swallows the reads that it has received, also the
   long poll that was sent just before its return.  So the waiting time of a
   long poll, the timeout of its answer, the pause and the next read must
   together end within the time in which a configuration has to be in force
   everywhere.  All of them are shares of that time.

   A poll waits only while the store answers.  After a failure it is read
   without a wait and given up early; one read in READS_PER_LONG_TIMEOUT is
   given longer, since a store may be slow and not silent.  The trade-off is
   more calls: the shorter the time, the more often an idle poll is renewed.

   storereader.c makes the reads.  Times are microseconds of the monotonic
   clock of the caller.
*/

#ifndef BW_READPACE_H
#define BW_READPACE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct BwReadPace {
    uint64_t wait_us;    /* of a long poll */
    uint64_t timeout_us; /* for an answer, after the wait */
    /* The timeout of a read that allows for a slow store. */
    uint64_t long_timeout_us;
    uint64_t pause_min_us, pause_max_us; /* before a read after a failure */
    uint32_t failures;                   /* since the last success */
    uint64_t lost_us; /* first failure since the last success; 0: none */
    uint64_t retry_us;
} BwReadPace;

/* Derives all times from `in_force_us`, the time in which a published
   configuration has to be in force. */
void
BwReadPace_Init(BwReadPace *pace, uint64_t in_force_us);

/* Returns how long the next read may wait for a new record. */
uint64_t
BwReadPace_WaitUs(const BwReadPace *pace);

/* Returns how long the answer of the next read may take, beyond its wait. */
uint64_t
BwReadPace_TimeoutUs(const BwReadPace *pace);

/* Records a read that failed, and sets `retry_us`.  The pause stays at its
   minimum unless `may_back_off` is set.  Returns true at the first failure
   since the last success. */
bool
BwReadPace_OnFailure(BwReadPace *pace, uint64_t now_us, bool may_back_off);

/* Records a read that was answered.  Returns for how long the store was lost,
   or 0 when it was not. */
uint64_t
BwReadPace_OnSuccess(BwReadPace *pace, uint64_t now_us);

#endif
