/* routes.h -- finds the route of a request by host and path

   The table holds the routes of one configuration revision.  A request takes
   the route of its host with the longest prefix of its path.  Hosts and
   prefixes are keys of one hash table, so a lookup costs one probe for each
   prefix length in use and does not grow with the number of routes.

   The dispatcher role of the daemon builds a table for each revision.
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
    bool has_length[BW_ROUTE_TEXT_BYTES]; /* whether a prefix has it */
    BwRoute *table;
} BwRoutes;

/* Copies the rows.  A later row replaces an earlier one of the same host and
   prefix; a row whose host or prefix is too long is left out.  Returns false
   when memory is short; `routes` is then empty. */
bool
BwRoutes_Init(BwRoutes *routes, const BwRouteRows *rows);

void
BwRoutes_Finish(BwRoutes *routes);

/* Returns the route of a request, which belongs to `routes`, or NULL.  A port
   after the host and the case of the host are ignored. */
const BwRoute *
BwRoutes_Find(const BwRoutes *routes, BwSpan host, BwSpan path);

#endif
