/* room.h -- resources and labels, which a task requires and a worker has

   CPU, memory and accelerators are added, subtracted and compared as one
   quantity.  The dispatcher (views.c, boundplace.c) and the supervisor
   (supervisor.c, seats.c) use it.
*/

#ifndef BW_ROOM_H
#define BW_ROOM_H

#include <stdbool.h>

#include "messages.h"

void
BwRoom_Add(BwRoom *sum, const BwRoom *part);

/* Subtracts `part` from `sum`; a quantity that would go below 0 becomes 0. */
void
BwRoom_Remove(BwRoom *sum, const BwRoom *part);

/* Returns whether no part of `need` exceeds that of `free`. */
bool
BwRoom_Fits(const BwRoom *need, const BwRoom *free);

/* Returns whether the label is empty or among the worker's. */
bool
BwLabel_IsMet(BwSpan label, const char (*labels)[BW_NAME_BYTES_MAX],
              uint32_t label_count);

#endif
