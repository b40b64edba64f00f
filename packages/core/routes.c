/* routes.c -- finds the route of a request by host and path, see routes.h */

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "routes.h"

/* Writes the key of host, which is made lower case, and prefix.  Returns the
   length of the key, or 0 when a part is too long. */
static uint32_t
make_key(char *key, BwSpan host, const char *prefix, uint32_t prefix_bytes)
{
    if (host.size_bytes >= BW_ROUTE_TEXT_BYTES ||
        prefix_bytes >= BW_ROUTE_TEXT_BYTES)
        return 0;
    for (uint32_t i = 0; i < host.size_bytes; i++) {
        char c = host.base[i];

        key[i] = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
    }
    key[host.size_bytes] = '\0';
    memcpy(key + host.size_bytes + 1, prefix, prefix_bytes);
    return host.size_bytes + 1 + prefix_bytes;
}

static bool
add_route(BwRoutes *routes, const BwRouteRow *row)
{
    BwRoute *route = calloc(1, sizeof(*route));
    BwRoute *duplicate;

    if (route == NULL)
        return false;
    BwSpan_ToString(row->name, route->name, sizeof(route->name));
    BwSpan_ToString(row->service, route->service, sizeof(route->service));
    route->priority = row->priority;
    route->attempts_max = row->attempts_max;
    route->stretch_permille = row->stretch_permille;
    route->target_us = row->target_us;
    route->timeout_us = row->timeout_us;
    route->prefix_bytes = row->prefix.size_bytes;
    route->key_bytes = make_key(route->key, row->host, row->prefix.base,
                                row->prefix.size_bytes);
    if (route->key_bytes == 0) {
        free(route);
        return true;
    }
    HASH_FIND(hh, routes->table, route->key, route->key_bytes, duplicate);
    if (duplicate != NULL) {
        HASH_DEL(routes->table, duplicate);
        free(duplicate);
    }
    HASH_ADD(hh, routes->table, key, route->key_bytes, route);
    routes->has_length[route->prefix_bytes] = true;
    return true;
}

bool
BwRoutes_Init(BwRoutes *routes, const BwRouteRows *rows)
{
    memset(routes, 0, sizeof(*routes));
    routes->revision = rows->revision;
    routes->body_bytes_max = rows->body_bytes_max;
    for (uint32_t i = 0; i < rows->row_count; i++) {
        if (!add_route(routes, &rows->rows[i])) {
            BwRoutes_Finish(routes);
            return false;
        }
    }
    return true;
}

void
BwRoutes_Finish(BwRoutes *routes)
{
    BwRoute *route, *next;

    HASH_ITER(hh, routes->table, route, next)
    {
        HASH_DEL(routes->table, route);
        free(route);
    }
    routes->table = NULL;
}

const BwRoute *
BwRoutes_Find(const BwRoutes *routes, BwSpan host, BwSpan path)
{
    char key[2 * BW_ROUTE_TEXT_BYTES];
    const char *colon = memchr(host.base, ':', host.size_bytes);
    uint32_t length = path.size_bytes;

    if (colon != NULL)
        host.size_bytes = (uint32_t)(colon - host.base);
    if (length >= BW_ROUTE_TEXT_BYTES)
        length = BW_ROUTE_TEXT_BYTES - 1;
    for (; length > 0; length--) {
        BwRoute *route;
        uint32_t key_bytes;

        if (!routes->has_length[length])
            continue;
        key_bytes = make_key(key, host, path.base, length);
        if (key_bytes == 0)
            return NULL;
        HASH_FIND(hh, routes->table, key, key_bytes, route);
        if (route != NULL)
            return route;
    }
    return NULL;
}
