/* room.h -- processors, memory and accelerators as one quantity */

#ifndef BW_ROOM_H
#define BW_ROOM_H

#include <stdbool.h>

#include "messages.h"

void
BwRoom_Add(BwRoom *sum, const BwRoom *room);

/* Takes away at most what is there. */
void
BwRoom_Remove(BwRoom *sum, const BwRoom *room);

bool
BwRoom_Fits(const BwRoom *need, const BwRoom *free);

#endif
