/* routes.h -- which queue a path belongs to

   The routes of one revision, found by host and the longest prefix that the
   path begins with.  Prefixes lie in a hash table, so a lookup costs one probe
   for each length that a prefix has and does not grow with the number of
   routes.
*/

#ifndef BW_ROUTES_H
#define BW_ROUTES_H

#include <uthash.h>

#include "driver.h"

#define BW_ROUTE_TEXT_BYTES 256

typedef struct BwRoute {
    char name[BW_NAME_BYTES_MAX];
    char service[BW_NAME_BYTES_MAX];
    uint32_t priority;
    uint32_t attempts_max;
    uint32_t stretch_permille;
    uint64_t target_us;
    uint64_t timeout_us;
    uint32_t prefix_bytes;
    uint32_t key_bytes;
    char key[2 * BW_ROUTE_TEXT_BYTES]; /* host, a zero byte, prefix */
    UT_hash_handle hh;
} BwRoute;

typedef struct BwRoutes {
    uint64_t revision;
    uint32_t body_bytes_max;
    bool has_length[BW_ROUTE_TEXT_BYTES]; /* of some prefix */
    BwRoute *table;
} BwRoutes;

/* Copies the rows.  Returns false when memory is short; `routes` is then
   empty. */
bool
BwRoutes_Init(BwRoutes *routes, const BwRouteRows *rows);

void
BwRoutes_Finish(BwRoutes *routes);

/* Finds the route of a request, or returns NULL.  A port after the host is
   left out, and the host's case counts for nothing. */
const BwRoute *
BwRoutes_Find(const BwRoutes *routes, BwSpan host, BwSpan path);

#endif
