/* routerecord.h -- what dispatchers have learnt of the routes' jobs and
   callers

   A dispatcher that starts knows neither how run times compare with declared
   ones nor how long callers usually wait, and it needs both most when every
   dispatcher starts at once and callers send their jobs again.  So each keeps
   what it has learnt on the platform's store, and one that starts takes over
   the newest record of each route.

   A record is written when something has changed by a share, at most once in
   an interval.  dispatchrole.c uses this on its event loop.
*/

#ifndef BW_ROUTERECORD_H
#define BW_ROUTERECORD_H

#include "dispatcher.h"
#include "keptrecord.h"

typedef struct BwRouteRecord {
    BwKeptRecord kept;
    BwDispatcher *dispatcher;
    uint64_t check_us; /* when to look for changes next */
} BwRouteRecord;

/* Returns false when the store's address is wrong.  `driver` and `dispatcher`
   must outlive the record. */
bool
BwRouteRecord_Init(BwRouteRecord *record, h2o_loop_t *loop,
                   const BwSettings *settings, const BwDriver *driver,
                   BwDispatcher *dispatcher);

void
BwRouteRecord_Finish(BwRouteRecord *record);

void
BwRouteRecord_Tick(BwRouteRecord *record, uint64_t now_us);

#endif
