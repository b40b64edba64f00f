/* routestats.c -- what a dispatcher has learnt of each route, see
   routestats.h */

#include <stdlib.h>
#include <string.h>

#include "routestats.h"

#define RATIO_SHIFT 5 /* weight of a task in the moving ratio: 1/32 */
#define RATIO_START_PERMILLE 1000
#define RATIO_MAX_PERMILLE 4000
#define WAIT_SHIFT 5 /* the same of the moving ratio of waits */
#define WAIT_START_PERMILLE 1000
#define WAIT_MIN_PERMILLE 200
#define WAIT_MAX_PERMILLE 8000
#define CHANGE_DIVISOR 10 /* a smaller share is no change worth exporting */

static BwRouteStats *
find_or_add(BwRouteStats **table, const char *route)
{
    BwRouteStats *stats;

    HASH_FIND_STR(*table, route, stats);
    if (stats != NULL)
        return stats;
    stats = calloc(1, sizeof(*stats));
    if (stats == NULL)
        return NULL;
    strncpy(stats->route, route, sizeof(stats->route) - 1);
    stats->ratio_permille = RATIO_START_PERMILLE;
    stats->wait_permille = WAIT_START_PERMILLE;
    HASH_ADD_STR(*table, route, stats);
    return stats;
}

uint64_t
BwRouteStats_ExpectedUs(BwRouteStats **table, const char *route,
                        uint64_t declared_us)
{
    const BwRouteStats *stats = find_or_add(table, route);

    if (stats == NULL)
        return declared_us;
    return declared_us * stats->ratio_permille / 1000;
}

void
BwRouteStats_LearnRun(BwRouteStats **table, const char *route,
                      uint64_t declared_us, uint64_t ran_us)
{
    BwRouteStats *stats = find_or_add(table, route);
    uint64_t ratio;

    if (stats == NULL || declared_us == 0)
        return;
    ratio = ran_us * 1000 / declared_us;
    if (ratio > RATIO_MAX_PERMILLE)
        ratio = RATIO_MAX_PERMILLE;
    stats->run_count++;
    stats->ratio_permille += (uint32_t)(ratio >> RATIO_SHIFT) -
                             (stats->ratio_permille >> RATIO_SHIFT);
}

uint32_t
BwRouteStats_WaitPermille(BwRouteStats **table, const char *route)
{
    const BwRouteStats *stats = find_or_add(table, route);

    return stats != NULL ? stats->wait_permille : WAIT_START_PERMILLE;
}

void
BwRouteStats_LearnWait(BwRouteStats **table, const char *route,
                       uint64_t forecast_us, uint64_t waited_us)
{
    BwRouteStats *stats = find_or_add(table, route);
    uint64_t ratio;

    if (stats == NULL || forecast_us == 0)
        return;
    ratio = waited_us * 1000 / forecast_us;
    if (ratio > WAIT_MAX_PERMILLE)
        ratio = WAIT_MAX_PERMILLE;
    stats->wait_permille =
        (uint32_t)(((uint64_t)stats->wait_permille * ((1u << WAIT_SHIFT) - 1) +
                    ratio) >>
                   WAIT_SHIFT);
    if (stats->wait_permille < WAIT_MIN_PERMILLE)
        stats->wait_permille = WAIT_MIN_PERMILLE;
}

uint64_t
BwRouteStats_CallerWaitedUs(BwRouteStats **table, const char *route,
                            uint64_t allowed_us)
{
    BwRouteStats *stats = find_or_add(table, route);
    uint64_t waited_us;

    if (stats == NULL)
        return 0;
    waited_us = BwCallerWait_BeforeUs(&stats->caller_wait, allowed_us);
    BwCallerWait_Learn(&stats->caller_wait, allowed_us);
    return waited_us;
}

void
BwRouteStats_Keep(BwRouteStats **table, const BwRoutes *routes)
{
    BwRouteStats *stats, *next;

    for (const BwRoute *route = routes->table; route != NULL;
         route = route->hh.next) {
        HASH_FIND_STR(*table, route->name, stats);
        if (stats != NULL)
            stats->is_kept = true;
    }
    HASH_ITER(hh, *table, stats, next)
    {
        if (!stats->is_kept) {
            HASH_DEL(*table, stats);
            free(stats);
            continue;
        }
        stats->is_kept = false;
    }
}

void
BwRouteStats_Adopt(BwRouteStats **table, const char *route,
                   const BwRouteKnowledge *knowledge)
{
    BwRouteStats *stats;

    if (strlen(route) >= BW_NAME_BYTES_MAX)
        return;
    stats = find_or_add(table, route);
    if (stats == NULL)
        return;
    if (stats->run_count == 0 && stats->exported.ratio_permille == 0 &&
        knowledge->ratio_permille != 0) {
        stats->ratio_permille = knowledge->ratio_permille < RATIO_MAX_PERMILLE
                                    ? knowledge->ratio_permille
                                    : RATIO_MAX_PERMILLE;
        stats->exported.ratio_permille = stats->ratio_permille;
    }
    BwCallerWait_Adopt(&stats->caller_wait, knowledge->usual_us);
    stats->exported.usual_us = stats->caller_wait.usual_us;
}

BwRouteKnowledge
BwRouteStats_Export(const BwRouteStats *stats)
{
    BwRouteKnowledge knowledge = {0, stats->caller_wait.usual_us};

    if (stats->run_count > 0 || stats->exported.ratio_permille != 0)
        knowledge.ratio_permille = stats->ratio_permille;
    return knowledge;
}

static bool
differs(uint64_t value, uint64_t from)
{
    uint64_t difference = value > from ? value - from : from - value;

    return difference > from / CHANGE_DIVISOR;
}

bool
BwRouteStats_HasChanged(BwRouteStats *table)
{
    bool has_changed = false;

    for (BwRouteStats *stats = table; stats != NULL; stats = stats->hh.next) {
        BwRouteKnowledge now = BwRouteStats_Export(stats);

        if (differs(now.usual_us, stats->exported.usual_us) ||
            differs(now.ratio_permille, stats->exported.ratio_permille))
            has_changed = true;
    }
    for (BwRouteStats *stats = table; has_changed && stats != NULL;
         stats = stats->hh.next)
        stats->exported = BwRouteStats_Export(stats);
    return has_changed;
}

void
BwRouteStats_Finish(BwRouteStats **table)
{
    BwRouteStats *stats, *next;

    HASH_ITER(hh, *table, stats, next)
    {
        HASH_DEL(*table, stats);
        free(stats);
    }
}
