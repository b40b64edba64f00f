/* confinement.h -- which routes of a service crash its workers

   While some jobs of a route crash their workers, each of them finds another
   one, and a worker that is away for seconds costs all callers of the service.
   So a route under whose tasks workers crash is confined: its tasks go to a
   small pool of workers only, and those of other routes go to the others.

   Which route it is follows from the tasks that ran on the crashed workers.
   The tasks of an innocent route are there by chance, as many as the worker
   usually has; those of the route at fault are there more often.  For each
   crash a route's score changes by the logarithm of that ratio, so a score is
   the logarithm of the likelihood that the route is at fault.  It is halved
   every few seconds.  A route is confined when several workers have crashed
   lately, at different moments, and its score leads clearly.  A wrong choice
   corrects itself: workers that crash without a task of the confined route
   raise the scores of the others.  Workers that crash at the same moment may
   have a common cause that is not a task, and count as one crash.  Each of
   them changes the scores, so that these hardly depend on the order of
   reports.

   While the cause of several crashes is open, each route gets workers of its
   own (BwConfinement_OwnerOf).  That bounds what is lost meanwhile, and the
   next crash tells which route it is.

   All figures come from the supervisors' reports, which every dispatcher gets,
   so that dispatchers decide alike without a message between them.

   A route is released when for some seconds no worker of the pool has crashed
   although one was up.  One route of a service is never confined: with nothing
   to protect, confinement would only idle the other workers.

   boundcrash.c calls these functions; the pool of workers is its own.  Times
   are microseconds of the monotonic clock.
*/

#ifndef BW_CONFINEMENT_H
#define BW_CONFINEMENT_H

#include <stdbool.h>

#include <uthash.h>

#include "messages.h"

/* Crashes that are remembered of a service. */
#define BW_CRASH_EVENTS_MAX 64
/* Routes of a service that can be told apart, a bit of a mask each. */
#define BW_CRASH_ROUTES_MAX 64

typedef struct BwRouteSuspicion {
    char route[BW_NAME_BYTES_MAX];
    uint32_t number;      /* its bit in BwCrashEvent.routes */
    uint64_t usual_milli; /* tasks on crashed workers, as was usual there */
    double score;         /* at scored_us */
    uint64_t scored_us;
    uint64_t seen_us; /* last crash of a worker with a task of it */
    bool is_confined;
    /* Since it is confined: crashes in the pool, how long a worker of the pool
       was up, and how long since the last crash. */
    uint32_t crashes;
    uint64_t up_us;
    uint64_t calm_us;
    uint64_t released_us; /* when it was last released; 0: never */
    UT_hash_handle hh;
} BwRouteSuspicion;

/* A crash, or several at the same moment. */
typedef struct BwCrashEvent {
    uint64_t at_us;
    uint64_t routes; /* whose tasks ran there */
    bool is_in_pool; /* the worker was in the pool */
} BwCrashEvent;

/* The routes and crashes of one service. */
typedef struct BwConfinement {
    char service[BW_NAME_BYTES_MAX];
    BwRouteSuspicion *routes; /* hash by name */
    uint32_t confined_count;
    uint64_t confined_us; /* when the last route was confined */
    uint64_t released_us; /* when the last one was released */
    BwCrashEvent events[BW_CRASH_EVENTS_MAX]; /* a ring */
    uint64_t event_count;
    /* Routes that have workers to themselves now, a bit each. */
    uint64_t owners;
    /* Moving average of how long a crashed worker is away. */
    uint64_t outage_us;
    UT_hash_handle hh;
} BwConfinement;

/* The number of tasks of a route that ran on a crashed worker. */
typedef struct BwCrashedRoute {
    BwSpan route;
    uint32_t task_count;
} BwCrashedRoute;

/* Returns the record of a service, added to the table if it is new; NULL when
   memory is short. */
BwConfinement *
BwConfinement_Of(BwConfinement **table, const char *service);

void
BwConfinement_Finish(BwConfinement **table);

/* Records that a worker, of the pool or not, crashed at `at_us`.  Returns
   false for a crash at the same moment as an earlier one, which has a common
   cause with it. */
bool
BwConfinement_OnCrash(BwConfinement *confinement, uint64_t at_us,
                      bool is_in_pool, const BwCrashedRoute *routes,
                      uint32_t route_count, const BwUsualRoute *usual,
                      uint32_t usual_count);

/* Forgets routes whose workers have not crashed for a minute. */
void
BwConfinement_Evict(BwConfinement *confinement, uint64_t now_us);

/* Returns the route that has to be confined now, marked as such, or NULL.
   `worker_count` is the number of workers of the service. */
const BwRouteSuspicion *
BwConfinement_Confine(BwConfinement *confinement, uint64_t now_us,
                      uint32_t worker_count);

/* Counts `elapsed_us` in which a worker of the pool was up.  Returns a route
   that is no longer confined since then, or NULL; to be called again until it
   returns NULL, with 0. */
const BwRouteSuspicion *
BwConfinement_Release(BwConfinement *confinement, uint64_t now_us,
                      uint64_t elapsed_us);

/* Returns the route that has a worker to itself while the cause of crashes is
   open, in proportion to the routes' usual loads, or NULL when no route is
   known.  `worker_hash` is a hash of the worker's name. */
const BwRouteSuspicion *
BwConfinement_OwnerOf(const BwConfinement *confinement, uint64_t worker_hash);

bool
BwConfinement_IsConfined(const BwConfinement *confinement, const char *route);

/* Returns the route, or NULL when it is not known. */
const BwRouteSuspicion *
BwConfinement_FindRoute(const BwConfinement *confinement, const char *route);

/* Counts the recent crashes that no confined route explains: those outside the
   pool since the last route was confined, and earlier ones without a task of a
   confined route. */
uint32_t
BwConfinement_CountOpen(const BwConfinement *confinement, uint64_t now_us);

/* Returns whether there are several such crashes, so that a suspect must not
   run beside others. */
bool
BwConfinement_HasCrashes(const BwConfinement *confinement, uint64_t now_us);

/* Learns how long a crashed worker was away. */
void
BwConfinement_LearnOutage(BwConfinement *confinement, uint64_t outage_us);

#endif
