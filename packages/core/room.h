/* room.h -- what a task needs of a worker: processors, memory and
   accelerators as one quantity, and labels */

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

/* Whether the label is empty or among the worker's. */
bool
BwLabel_IsMet(BwSpan label, const char (*labels)[BW_NAME_BYTES_MAX],
              uint32_t label_count);

#endif
