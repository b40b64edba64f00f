/* routestats.h -- what a dispatcher has learnt of each route

   Two things are learnt from the jobs of a route: the ratio of observed to
   declared run times, and how long its callers usually wait (callerwait.h).
   Declared times may be far off, and a request does not say when its caller
   first sent it.

   A table is a hash of routes by name, owned by the dispatcher.  What it holds
   can be exported and adopted by another process, which then begins with it.
   dispatcher.c and boundplace.c use the table; the daemon exports it.
*/

#ifndef BW_ROUTESTATS_H
#define BW_ROUTESTATS_H

#include <uthash.h>

#include "callerwait.h"
#include "routes.h"

/* What may be passed on; 0: not known. */
typedef struct BwRouteKnowledge {
    uint32_t ratio_permille; /* of observed to declared run times */
    uint64_t usual_us;       /* least usual time that a caller waits */
} BwRouteKnowledge;

typedef struct BwRouteStats {
    char route[BW_NAME_BYTES_MAX];
    uint32_t ratio_permille;
    uint32_t run_count;     /* tasks that the ratio was learnt from */
    uint32_t wait_permille; /* of observed to forecast waits */
    BwCallerWait caller_wait;
    BwRouteKnowledge exported; /* as it was exported or adopted last */
    bool is_kept;              /* scratch of BwRouteStats_Keep */
    UT_hash_handle hh;
} BwRouteStats;

/* Returns the expected run time of a task on a worker of mean speed: the
   declared one times the ratio learnt for the route. */
uint64_t
BwRouteStats_ExpectedUs(BwRouteStats **table, const char *route,
                        uint64_t declared_us);

/* Learns from a task that is done; `ran_us` is its run time on a worker of
   mean speed. */
void
BwRouteStats_LearnRun(BwRouteStats **table, const char *route,
                      uint64_t declared_us, uint64_t ran_us);

/* Returns the ratio of the waits of the route's tasks to those that were
   forecast from load reports. */
uint32_t
BwRouteStats_WaitPermille(BwRouteStats **table, const char *route);

/* Learns from a task that waited for `waited_us`, or longer if it was handed
   back before it started. */
void
BwRouteStats_LearnWait(BwRouteStats **table, const char *route,
                       uint64_t forecast_us, uint64_t waited_us);

/* Returns how long at least the caller of a request has waited before it came,
   by how long it waits from now on, and learns from it. */
uint64_t
BwRouteStats_CallerWaitedUs(BwRouteStats **table, const char *route,
                            uint64_t allowed_us);

/* Drops what was learnt of all routes but these. */
void
BwRouteStats_Keep(BwRouteStats **table, const BwRoutes *routes);

/* Takes over what another process has learnt, unless something was learnt or
   adopted here before. */
void
BwRouteStats_Adopt(BwRouteStats **table, const char *route,
                   const BwRouteKnowledge *knowledge);

/* Returns whether something was learnt that differs by a tenth from what was
   exported last, and counts all of it as exported. */
bool
BwRouteStats_HasChanged(BwRouteStats *table);

/* Returns what is known of a route. */
BwRouteKnowledge
BwRouteStats_Export(const BwRouteStats *stats);

void
BwRouteStats_Finish(BwRouteStats **table);

#endif
