/* appendepoch.c -- the order of appends to one record of the store, see
   appendepoch.h */

#include "appendepoch.h"

#define AHEAD_MS_MIN 1000

uint64_t
BwAppendEpoch_Next(BwAppendEpoch *epoch, uint64_t wall_ms)
{
    uint64_t next = wall_ms + epoch->ahead_ms;

    epoch->last = next > epoch->last ? next : epoch->last + 1;
    return epoch->last;
}

void
BwAppendEpoch_OnFenced(BwAppendEpoch *epoch)
{
    epoch->ahead_ms = epoch->ahead_ms > 0 ? 2 * epoch->ahead_ms : AHEAD_MS_MIN;
}
