/* confinement.c -- which routes of a service crash its workers, see
   confinement.h */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "brasswing.h"
#include "confinement.h"

/* Crashes count for this long. */
#define RECENT_US 4000000
/* Crashes that are closer have a common cause. */
#define SAME_MOMENT_US 20000
/* A route is confined after this many crashes, and this share of the
   workers. */
#define CRASHES_MIN 3
#define CRASHES_PERCENT 5
/* A suspect runs alone after this many. */
#define CRASHES_ALARM 2
#define SCORE_HALF_LIFE_US 4000000.0
/* Least lead of a score over the next: ten times as likely. */
#define LEAD_MIN 2.3
/* Bounds of the shares that are compared, so that one crash, or a route with
   few tasks, decides nothing by itself. */
#define SHARE_MIN 0.05
#define STEP_MAX 2.3
/* A route is forgotten this long after its last task was on a crashed worker,
   when no event that counts refers to its number any more. */
#define RETENTION_US 60000000
/* How long the pool must be up without a crash, against the mean time between
   crashes there, and at least and at most. */
#define CALM_FACTOR 6
#define CALM_MIN_US 2000000
#define CALM_MAX_US 3000000
/* Weight of a report in the moving average of usual loads: 1/4. */
#define USUAL_SHIFT 2
/* A route that was released is confined again at the first crash under its
   tasks in this time. */
#define PROBATION_US 8000000
#define OUTAGE_START_US 3000000
#define OUTAGE_SHIFT 2

/* --------------------------------------------------------------- table */

BwConfinement *
BwConfinement_Of(BwConfinement **table, const char *service)
{
    BwConfinement *confinement;

    HASH_FIND_STR(*table, service, confinement);
    if (confinement != NULL)
        return confinement;
    confinement = calloc(1, sizeof(*confinement));
    if (confinement == NULL)
        return NULL;
    strncpy(confinement->service, service, sizeof(confinement->service) - 1);
    confinement->outage_us = OUTAGE_START_US;
    HASH_ADD_STR(*table, service, confinement);
    return confinement;
}

static void
free_routes(BwConfinement *confinement)
{
    BwRouteSuspicion *route, *next;

    HASH_ITER(hh, confinement->routes, route, next)
    {
        HASH_DEL(confinement->routes, route);
        free(route);
    }
}

void
BwConfinement_Finish(BwConfinement **table)
{
    BwConfinement *confinement, *next;

    HASH_ITER(hh, *table, confinement, next)
    {
        HASH_DEL(*table, confinement);
        free_routes(confinement);
        free(confinement);
    }
}

static BwRouteSuspicion *
find_route(const BwConfinement *confinement, const char *name)
{
    BwRouteSuspicion *route;

    HASH_FIND_STR(confinement->routes, name, route);
    return route;
}

/* Returns the route, added if it is new; NULL when there are too many. */
static BwRouteSuspicion *
find_or_add(BwConfinement *confinement, const char *name)
{
    BwRouteSuspicion *route = find_route(confinement, name);
    uint64_t used = 0;

    if (route != NULL ||
        HASH_COUNT(confinement->routes) == BW_CRASH_ROUTES_MAX)
        return route;
    route = calloc(1, sizeof(*route));
    if (route == NULL)
        return NULL;
    strncpy(route->route, name, sizeof(route->route) - 1);
    for (const BwRouteSuspicion *other = confinement->routes; other != NULL;
         other = other->hh.next)
        used |= UINT64_C(1) << other->number;
    while ((used >> route->number & 1) != 0)
        route->number++;
    HASH_ADD_STR(confinement->routes, route, route);
    return route;
}

void
BwConfinement_Evict(BwConfinement *confinement, uint64_t now_us)
{
    BwRouteSuspicion *route, *next;

    HASH_ITER(hh, confinement->routes, route, next)
    {
        if (route->is_confined || now_us - route->seen_us <= RETENTION_US)
            continue;
        HASH_DEL(confinement->routes, route);
        free(route);
    }
}

/* -------------------------------------------------------------- scores */

static double
aged_score(const BwRouteSuspicion *route, uint64_t now_us)
{
    uint64_t age_us =
        now_us > route->scored_us ? now_us - route->scored_us : 0;

    return route->score * exp2(-(double)age_us / SCORE_HALF_LIFE_US);
}

static double
share(double part, double whole)
{
    double value = whole > 0 ? part / whole : 0;

    return value > SHARE_MIN ? value : SHARE_MIN;
}

/* Adds the logarithm of the route's share of the crashed worker's tasks
   against its share of all tasks. */
static void
score_route(const BwConfinement *confinement, BwRouteSuspicion *route,
            uint64_t at_us, uint32_t crashed, uint32_t all_crashed,
            uint64_t all_usual_milli)
{
    double expected =
        all_usual_milli > 0
            ? share((double)route->usual_milli, (double)all_usual_milli)
            : 1.0 / HASH_COUNT(confinement->routes);
    double step = log(share(crashed, all_crashed) / expected);

    if (step > STEP_MAX)
        step = STEP_MAX;
    if (step < -STEP_MAX)
        step = -STEP_MAX;
    route->score = aged_score(route, at_us) + step;
    if (at_us > route->scored_us)
        route->scored_us = at_us;
}

static uint32_t
count_of(const BwRouteSuspicion *route, const BwCrashedRoute *routes,
         uint32_t route_count)
{
    for (uint32_t i = 0; i < route_count; i++) {
        if (BwSpan_Equal(routes[i].route, BwSpan_FromString(route->route)))
            return routes[i].task_count;
    }
    return 0;
}

/* -------------------------------------------------------------- events */

static const BwCrashEvent *
event_at(const BwConfinement *confinement, uint64_t i)
{
    return &confinement->events[i % BW_CRASH_EVENTS_MAX];
}

static uint64_t
first_event(const BwConfinement *confinement)
{
    return confinement->event_count > BW_CRASH_EVENTS_MAX
               ? confinement->event_count - BW_CRASH_EVENTS_MAX
               : 0;
}

/* Returns the event of the same moment, or NULL. */
static BwCrashEvent *
find_event(BwConfinement *confinement, uint64_t at_us)
{
    for (uint64_t i = first_event(confinement); i < confinement->event_count;
         i++) {
        BwCrashEvent *event = &confinement->events[i % BW_CRASH_EVENTS_MAX];

        if (at_us < event->at_us + SAME_MOMENT_US &&
            event->at_us < at_us + SAME_MOMENT_US)
            return event;
    }
    return NULL;
}

static uint64_t
confined_mask(const BwConfinement *confinement)
{
    uint64_t mask = 0;

    for (const BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next)
        mask |= (uint64_t)route->is_confined << route->number;
    return mask;
}

uint32_t
BwConfinement_CountOpen(const BwConfinement *confinement, uint64_t now_us)
{
    uint64_t mask = confined_mask(confinement);
    uint32_t count = 0;

    for (uint64_t i = first_event(confinement); i < confinement->event_count;
         i++) {
        const BwCrashEvent *event = event_at(confinement, i);
        bool is_explained = event->at_us > confinement->confined_us
                                ? event->is_in_pool
                                : (event->routes & mask) != 0;

        count += event->at_us + RECENT_US > now_us &&
                 event->at_us > confinement->released_us && !is_explained;
    }
    return count;
}

/* Updates what is usual by the report of one worker. */
static void
learn_usual(BwConfinement *confinement, const BwUsualRoute *usual,
            uint32_t usual_count)
{
    for (BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next)
        route->usual_milli -= route->usual_milli >> USUAL_SHIFT;
    for (uint32_t i = 0; i < usual_count; i++) {
        char name[BW_NAME_BYTES_MAX];
        BwRouteSuspicion *route;

        BwSpan_ToString(usual[i].route, name, sizeof(name));
        route = find_or_add(confinement, name);
        if (route != NULL)
            route->usual_milli += usual[i].tasks_milli >> USUAL_SHIFT;
    }
}

bool
BwConfinement_OnCrash(BwConfinement *confinement, uint64_t at_us,
                      bool is_in_pool, const BwCrashedRoute *routes,
                      uint32_t route_count, const BwUsualRoute *usual,
                      uint32_t usual_count)
{
    BwCrashEvent event = {at_us, 0, is_in_pool};
    BwCrashEvent *same;
    uint32_t crashed = 0;
    uint64_t usual_milli = 0;

    learn_usual(confinement, usual, usual_count);

    for (uint32_t i = 0; i < route_count; i++) {
        char name[BW_NAME_BYTES_MAX];
        BwRouteSuspicion *route;

        BwSpan_ToString(routes[i].route, name, sizeof(name));
        route = find_or_add(confinement, name);
        if (route == NULL)
            continue;
        event.routes |= UINT64_C(1) << route->number;
        route->seen_us = at_us;
        route->calm_us = 0;
        route->crashes += is_in_pool;
        crashed += routes[i].task_count;
    }
    for (const BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next)
        usual_milli += route->usual_milli;
    for (BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next)
        score_route(confinement, route, at_us,
                    count_of(route, routes, route_count), crashed,
                    usual_milli);
    same = find_event(confinement, at_us);
    if (same != NULL) {
        same->routes |= event.routes;
        return false;
    }
    confinement->events[confinement->event_count++ % BW_CRASH_EVENTS_MAX] =
        event;
    return true;
}

/* ----------------------------------------------------------- decisions */

/* Releases the routes under which no worker of the pool has crashed while the
   crashes went on elsewhere.  Otherwise an innocent route would stay as long
   as the other one that is confined now, since its tasks run in the same pool.
 */
static void
release_innocent(BwConfinement *confinement)
{
    for (BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next) {
        if (!route->is_confined || route->crashes > 0)
            continue;
        route->is_confined = false;
        confinement->confined_count--;
    }
}

static const BwRouteSuspicion *
confine(BwConfinement *confinement, uint64_t now_us, BwRouteSuspicion *route)
{
    route->is_confined = true;
    route->crashes = 0;
    route->up_us = 0;
    route->calm_us = 0;
    confinement->confined_count++;
    confinement->confined_us = now_us;
    return route;
}

/* Returns a route that was released a short time ago, if a worker has crashed
   under its tasks since. */
static BwRouteSuspicion *
find_relapsed(const BwConfinement *confinement, uint64_t now_us)
{
    const BwCrashEvent *last;

    if (confinement->event_count == 0)
        return NULL;
    last = event_at(confinement, confinement->event_count - 1);
    for (BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next) {
        if (!route->is_confined && route->released_us != 0 &&
            last->at_us > route->released_us &&
            now_us - route->released_us < PROBATION_US &&
            (last->routes >> route->number & 1) != 0)
            return route;
    }
    return NULL;
}

const BwRouteSuspicion *
BwConfinement_Confine(BwConfinement *confinement, uint64_t now_us,
                      uint32_t worker_count)
{
    uint32_t crashes = BwConfinement_CountOpen(confinement, now_us);
    BwRouteSuspicion *first;
    double lead = HUGE_VAL;

    first = find_relapsed(confinement, now_us);
    if (first != NULL)
        return confine(confinement, now_us, first);
    if (crashes < CRASHES_MIN ||
        crashes * 100 < worker_count * CRASHES_PERCENT)
        return NULL;
    for (BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next) {
        double score = aged_score(route, now_us);

        if (route->is_confined)
            continue;
        if (first == NULL) {
            first = route;
            continue;
        }
        if (score > aged_score(first, now_us)) {
            lead = score - aged_score(first, now_us);
            first = route;
        }
        else if (aged_score(first, now_us) - score < lead) {
            lead = aged_score(first, now_us) - score;
        }
    }
    if (lead == HUGE_VAL || lead < LEAD_MIN)
        return NULL;
    release_innocent(confinement);
    return confine(confinement, now_us, first);
}

static uint64_t
calm_needed_us(const BwRouteSuspicion *route)
{
    uint64_t calm_us = CALM_MAX_US;

    if (route->crashes > 0)
        calm_us =
            (route->up_us - route->calm_us) * CALM_FACTOR / route->crashes;
    if (calm_us < CALM_MIN_US)
        return CALM_MIN_US;
    return calm_us < CALM_MAX_US ? calm_us : CALM_MAX_US;
}

const BwRouteSuspicion *
BwConfinement_Release(BwConfinement *confinement, uint64_t now_us,
                      uint64_t elapsed_us)
{
    for (BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next) {
        route->calm_us += route->is_confined ? elapsed_us : 0;
        route->up_us += route->is_confined ? elapsed_us : 0;
    }
    for (BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next) {
        if (!route->is_confined || route->calm_us < calm_needed_us(route))
            continue;
        route->is_confined = false;
        route->score = 0;
        route->released_us = now_us;
        confinement->confined_count--;
        confinement->released_us = now_us;
        return route;
    }
    return NULL;
}

/* Returns a number between 0 and 1 that a hash of both determines. */
static double
fraction_of(uint64_t worker_hash, const char *route)
{
    uint64_t hash = XXH3_64bits_withSeed(route, strlen(route), worker_hash);

    return ((double)(hash >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
}

/* Weighted rendezvous hashing: when a worker or a route comes or goes, or the
   weights change a little, few workers change their owner. */
const BwRouteSuspicion *
BwConfinement_OwnerOf(const BwConfinement *confinement, uint64_t worker_hash)
{
    const BwRouteSuspicion *owner = NULL;
    double most = 0;

    for (const BwRouteSuspicion *route = confinement->routes; route != NULL;
         route = route->hh.next) {
        double weight;

        if (route->is_confined)
            continue;
        weight = -(double)(route->usual_milli + 1) /
                 log(fraction_of(worker_hash, route->route));

        if (weight > most) {
            most = weight;
            owner = route;
        }
    }
    return owner;
}

const BwRouteSuspicion *
BwConfinement_FindRoute(const BwConfinement *confinement, const char *name)
{
    return find_route(confinement, name);
}

bool
BwConfinement_IsConfined(const BwConfinement *confinement, const char *name)
{
    const BwRouteSuspicion *route = find_route(confinement, name);

    return route != NULL && route->is_confined;
}

bool
BwConfinement_HasCrashes(const BwConfinement *confinement, uint64_t now_us)
{
    return BwConfinement_CountOpen(confinement, now_us) >= CRASHES_ALARM;
}

void
BwConfinement_LearnOutage(BwConfinement *confinement, uint64_t outage_us)
{
    confinement->outage_us +=
        (outage_us >> OUTAGE_SHIFT) - (confinement->outage_us >> OUTAGE_SHIFT);
}
