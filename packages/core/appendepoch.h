/* appendepoch.h -- the order of appends to one record of the store

   An append without an answer may be carried out seconds later, after newer
   ones, and would then replace what they wrote.  The store refuses an append
   whose epoch is below one that it has seen from the same producer.  So each
   attempt gets a higher epoch than all before, also than those of earlier
   processes of the same name: the wall clock, in milliseconds.  Where that was
   set back, the store refuses the append, and the epochs skip ahead until one
   is accepted.

   keptrecord.c and storereader.c number their appends with this.
*/

#ifndef BW_APPENDEPOCH_H
#define BW_APPENDEPOCH_H

#include <stdint.h>

typedef struct BwAppendEpoch {
    uint64_t last;     /* 0: none yet */
    uint64_t ahead_ms; /* of the wall clock */
} BwAppendEpoch;

/* Returns the epoch of the next append. */
uint64_t
BwAppendEpoch_Next(BwAppendEpoch *epoch, uint64_t wall_ms);

/* The store has refused the last append because it has seen a higher epoch. */
void
BwAppendEpoch_OnFenced(BwAppendEpoch *epoch);

#endif
