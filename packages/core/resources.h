/* resources.h -- resources and labels, which a task requires and a worker has

   CPU, memory and accelerators are added, subtracted and compared as one
   quantity.  The dispatcher (views.c, boundplace.c) and the supervisor
   (supervisor.c, workertasks.c) use it.
*/

#ifndef BW_RESOURCES_H
#define BW_RESOURCES_H

#include <stdbool.h>

#include "messages.h"

void
BwResources_Add(BwResources *sum, const BwResources *part);

/* Subtracts `part` from `sum`; a quantity that would go below 0 becomes 0. */
void
BwResources_Subtract(BwResources *sum, const BwResources *part);

/* Returns whether no part of `need` exceeds that of `free`. */
bool
BwResources_Fits(const BwResources *need, const BwResources *free);

/* Returns whether the label is empty or among the worker's. */
bool
BwLabel_IsMet(BwSpan label, const char (*labels)[BW_NAME_BYTES_MAX],
              uint32_t label_count);

#endif
