/* backfill.c -- which waiting tasks may overtake one that does not fit yet,
   see backfill.h */

#include <stdlib.h>

#include "backfill.h"
#include "resources.h"

static int
compare_ends(const void *left, const void *right)
{
    const BwExpectedEnd *a = left, *b = right;

    return a->end_us < b->end_us ? -1 : a->end_us > b->end_us;
}

BwReservation
BwBackfill_Reserve(const BwResources *free, BwExpectedEnd *ends,
                   uint32_t count, const BwResources *need, uint64_t now_us)
{
    BwReservation reservation = {now_us, *free};

    qsort(ends, count, sizeof(*ends), compare_ends);
    for (uint32_t i = 0;
         i < count && !BwResources_Fits(need, &reservation.spare); i++) {
        BwResources_Add(&reservation.spare, &ends[i].resources);
        if (ends[i].end_us > reservation.start_us)
            reservation.start_us = ends[i].end_us;
    }
    BwResources_Subtract(&reservation.spare, need);
    return reservation;
}

bool
BwBackfill_MayOvertake(BwReservation *reservation, const BwResources *need,
                       uint64_t end_us)
{
    if (end_us <= reservation->start_us)
        return true;
    if (!BwResources_Fits(need, &reservation->spare))
        return false;
    BwResources_Subtract(&reservation->spare, need);
    return true;
}
