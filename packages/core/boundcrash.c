/* boundcrash.c -- keeps tasks that crash workers away from the others, see
   boundcrash.h */

#include <stdlib.h>
#include <string.h>

#include "boundcrash.h"
#include "boundjob.h"
#include "brasswing.h"

#define POOL_INTERVAL_US 50000
/* Share of a service's workers that the pool of its confined routes takes. */
#define POOL_PERCENT 25
/* A worker that is away for longer is replaced in the pool. */
#define ABSENCE_MAX_US 10000000
/* Crashes that are older do not belong to the present series. */
#define SERIES_US 20000000
/* Least time that callers are told to wait for a worker of the pool. */
#define RETURN_MIN_US 200000

/* ---------------------------------------------------------------- pool */

static bool
is_of_service(const BwSupervisorView *view, const char *service)
{
    return view->peer != 0 && strcmp(view->service, service) == 0;
}

static uint32_t
count_workers(const BwDispatcher *d, const char *service)
{
    uint32_t count = 0;

    for (const BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next)
        count += is_of_service(view, service);
    return count;
}

static bool
is_absent(const BwSupervisorView *view, uint64_t now_us)
{
    return view->peer == 0 || (!view->is_usable && view->unusable_us != 0 &&
                               now_us - view->unusable_us > ABSENCE_MAX_US);
}

/* Workers that crashed first in the present series come first, then the
   others in the order of a hash of their names. */
static int
compare_candidates(const void *left, const void *right)
{
    const BwSupervisorView *a = *(BwSupervisorView *const *)left;
    const BwSupervisorView *b = *(BwSupervisorView *const *)right;
    uint64_t a_us = a->series_us != 0 ? a->series_us : UINT64_MAX;
    uint64_t b_us = b->series_us != 0 ? b->series_us : UINT64_MAX;

    if (a_us != b_us)
        return a_us < b_us ? -1 : 1;
    if (a->pool_order != b->pool_order)
        return a->pool_order < b->pool_order ? -1 : 1;
    return strcmp(a->name, b->name);
}

/* Adds workers to the pool until it has `wanted`. */
static void
fill_pool(BwDispatcher *d, uint64_t now_us, const char *service,
          uint32_t present, uint32_t wanted)
{
    uint32_t count = 0;
    BwSupervisorView **candidates =
        malloc((HASH_COUNT(d->views) + 1) * sizeof(BwSupervisorView *));

    if (candidates == NULL)
        return;
    for (BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next) {
        if (is_of_service(view, service) && !view->is_in_pool &&
            !is_absent(view, now_us))
            candidates[count++] = view;
    }
    qsort(candidates, count, sizeof(BwSupervisorView *), compare_candidates);
    for (uint32_t i = 0; i < count && present + i < wanted; i++)
        candidates[i]->is_in_pool = true;
    free(candidates);
}

/* Returns how many workers the pool takes: a share for confined routes, one
   for suspects, and never the only one. */
static uint32_t
pool_size(const BwConfinement *confinement, uint64_t now_us,
          uint32_t worker_count)
{
    uint32_t size = 0;

    if (confinement->confined_count > 0)
        size = (worker_count * POOL_PERCENT + 99) / 100;
    else if (BwConfinement_HasCrashes(confinement, now_us))
        size = 1;
    return size < worker_count ? size : worker_count - (worker_count > 0);
}

static void
update_pool(BwDispatcher *d, uint64_t now_us, const BwConfinement *confinement)
{
    uint32_t wanted =
        pool_size(confinement, now_us, count_workers(d, confinement->service));
    uint32_t present = 0;

    for (BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next) {
        if (strcmp(view->service, confinement->service) != 0)
            continue;
        if (view->series_us != 0 && now_us - view->crashed_us > SERIES_US)
            view->series_us = 0;
        view->is_in_pool =
            view->is_in_pool && present < wanted && !is_absent(view, now_us);
        present += view->is_in_pool;
    }
    if (present < wanted)
        fill_pool(d, now_us, confinement->service, present, wanted);
    for (BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next) {
        if (strcmp(view->service, confinement->service) == 0)
            view->is_reserved =
                view->is_in_pool && confinement->confined_count > 0;
    }
}

/* Gives each route workers of its own while the cause of crashes is open. */
static void
update_owners(BwDispatcher *d, uint64_t now_us, BwConfinement *confinement)
{
    bool is_open = BwConfinement_HasCrashes(confinement, now_us);

    confinement->owners = 0;
    for (BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next) {
        const BwRouteSuspicion *owner;

        if (strcmp(view->service, confinement->service) != 0)
            continue;
        view->owner = 0;
        if (!is_open || view->is_reserved)
            continue;
        owner = BwConfinement_OwnerOf(confinement, view->pool_order);
        if (owner == NULL)
            continue;
        view->owner = owner->number + 1;
        if (view->peer != 0 && view->is_usable)
            confinement->owners |= UINT64_C(1) << owner->number;
    }
}

static void
update_workers(BwDispatcher *d, uint64_t now_us, BwConfinement *confinement)
{
    update_pool(d, now_us, confinement);
    update_owners(d, now_us, confinement);
}

static bool
is_pool_up(const BwDispatcher *d, const char *service)
{
    for (const BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next) {
        if (view->is_in_pool && view->is_usable &&
            is_of_service(view, service))
            return true;
    }
    return false;
}

static void
confine(BwDispatcher *d, uint64_t now_us, BwConfinement *confinement)
{
    const BwRouteSuspicion *route = BwConfinement_Confine(
        confinement, now_us, count_workers(d, confinement->service));

    if (route == NULL)
        return;
    d->counters.confined++;
    d->port->log_route(d->ctx, "confine", confinement->service, route->route,
                       "workers crash more often under its tasks");
}

static void
release(BwDispatcher *d, uint64_t now_us, BwConfinement *confinement,
        uint64_t elapsed_us)
{
    const BwRouteSuspicion *route;

    if (confinement->confined_count == 0)
        return;
    if (!is_pool_up(d, confinement->service))
        elapsed_us = 0;
    while ((route = BwConfinement_Release(confinement, now_us, elapsed_us)) !=
           NULL) {
        d->port->log_route(d->ctx, "release", confinement->service,
                           route->route, "no worker of the pool crashes");
        elapsed_us = 0;
    }
}

/* -------------------------------------------------------------- reports */

/* Counts the tasks of each route.  Returns the number of routes. */
static uint32_t
sum_routes(const BwCrash *crash, BwCrashedRoute *routes)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < crash->task_count; i++) {
        uint32_t j = 0;

        while (j < count &&
               !BwSpan_Equal(routes[j].route, crash->tasks[i].route))
            j++;
        if (j == BW_CRASHED_TASKS_MAX)
            continue;
        if (j == count)
            routes[count++] = (BwCrashedRoute){crash->tasks[i].route, 0};
        routes[j].task_count++;
    }
    return count;
}

static BwBoundTask *
find_task(BwBoundJob *job, uint32_t step, uint32_t index)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].step == step && job->tasks[i].index == index)
            return &job->tasks[i];
    }
    return NULL;
}

/* Applies the record to the task of a job that is here.  Ends the job when the
   task must not be started again. */
static void
apply_record(BwDispatcher *d, uint64_t now_us, const BwCrashedTask *crashed,
             const BwSuspectTask *record)
{
    BwBoundJob *job = BwDispatcher_FindName(d, crashed->job);
    BwBoundTask *task =
        job != NULL ? find_task(job, crashed->step, crashed->index) : NULL;

    if (task == NULL || task->state == BW_BOUND_TASK_DONE)
        return;
    task->crashes = record->crashes;
    job->has_crashed = true;
    d->port->log(d->ctx, "suspect", job, task->view, record->crashes,
                 "its worker crashed while a task ran there");
    if (task->crashes < BW_CRASHES_MAX)
        return;
    d->counters.given_up++;
    BwDispatcher_EndJob(d, now_us, job,
                        record->is_proven ? BW_BOUND_FAILED : BW_BOUND_EXPIRED,
                        "two workers crashed under a task");
}

/* Returns whether only the task's job can be the cause: it was placed
   exclusively, no other worker crashed at that moment, and no other crash is
   open than those under the task, so that workers do not crash for other
   causes just now.  A job that was alone by chance proves nothing. */
static bool
is_conclusive(const BwConfinement *confinement, uint64_t now_us,
              const BwCrash *crash, bool is_single,
              const BwSuspectTask *previous)
{
    uint32_t crashes = previous != NULL ? previous->crashes + 1 : 1;

    return crash->is_exclusive != 0 && is_single && confinement != NULL &&
           BwConfinement_CountOpen(confinement, now_us) <= crashes;
}

static void
record_tasks(BwDispatcher *d, uint64_t now_us,
             const BwConfinement *confinement, const BwCrash *crash,
             bool is_single)
{
    for (uint32_t i = 0; i < crash->task_count; i++) {
        const BwCrashedTask *task = &crash->tasks[i];
        const BwSuspectTask *record = BwSuspects_FindTask(
            d->suspects, task->job, task->step, task->index);

        record = BwSuspects_Record(
            &d->suspects, now_us, task->job, task->step, task->index,
            is_conclusive(confinement, now_us, crash, is_single, record));
        if (record != NULL)
            apply_record(d, now_us, task, record);
    }
}

static void
withdraw_report(BwDispatcher *d, BwSupervisorView *view, const BwCrash *crash)
{
    for (uint32_t i = 0; i < crash->task_count; i++) {
        const BwCrashedTask *crashed = &crash->tasks[i];
        BwBoundJob *job = BwDispatcher_FindName(d, crashed->job);
        BwBoundTask *task =
            job != NULL ? find_task(job, crashed->step, crashed->index) : NULL;

        BwSuspects_Withdraw(&d->suspects, crashed->job, crashed->step,
                            crashed->index);
        if (task != NULL && task->crashes > 0)
            task->crashes--;
    }
    view->crashed_instance[0] = '\0';
    view->crashed_us = 0;
    view->series_us = 0;
    d->port->log(d->ctx, "crash", NULL, view, crash->task_count,
                 "withdrawn: the worker has not crashed");
}

void
BwBoundCrash_OnReport(BwDispatcher *d, uint64_t now_us, BwSupervisorView *view,
                      const BwCrash *crash)
{
    BwCrashedRoute routes[BW_CRASHED_TASKS_MAX];
    char instance[BW_NAME_BYTES_MAX], service[BW_NAME_BYTES_MAX];
    uint64_t at_us = now_us > crash->age_us ? now_us - crash->age_us : 1;
    BwConfinement *confinement;
    bool is_single = true;

    BwSpan_ToString(crash->instance, instance, sizeof(instance));
    BwSpan_ToString(crash->service, service, sizeof(service));
    if (crash->is_withdrawn != 0) {
        if (strcmp(instance, view->crashed_instance) == 0)
            withdraw_report(d, view, crash);
        return;
    }
    /* A supervisor repeats its reports, the oldest first, to a dispatcher that
       connects again. */
    if (at_us <= view->crashed_us ||
        strcmp(instance, view->crashed_instance) == 0)
        return;
    strcpy(view->crashed_instance, instance);
    view->crashed_us = at_us;
    if (view->series_us == 0)
        view->series_us = at_us;
    d->counters.crashes++;
    d->port->log(d->ctx, "crash", NULL, view, crash->task_count,
                 "its worker crashed with these tasks");
    confinement = BwConfinement_Of(&d->confinements, service);
    if (confinement != NULL)
        is_single = BwConfinement_OnCrash(
            confinement, at_us, view->is_reserved, routes,
            sum_routes(crash, routes), crash->usual, crash->usual_count);
    if (confinement != NULL) {
        confine(d, now_us, confinement);
        update_workers(d, now_us, confinement);
    }
    record_tasks(d, now_us, confinement, crash, is_single);
}

void
BwBoundCrash_OnUsable(BwDispatcher *d, uint64_t now_us, BwSupervisorView *view)
{
    BwConfinement *confinement;

    if (!view->is_usable) {
        if (view->unusable_us == 0)
            view->unusable_us = now_us;
        return;
    }
    if (view->unusable_us != 0 && view->crashed_us != 0 &&
        now_us - view->crashed_us < ABSENCE_MAX_US &&
        view->unusable_us + ABSENCE_MAX_US > view->crashed_us) {
        HASH_FIND_STR(d->confinements, view->service, confinement);
        if (confinement != NULL)
            BwConfinement_LearnOutage(confinement, now_us - view->crashed_us);
    }
    view->unusable_us = 0;
}

/* ----------------------------------------------------------- placement */

BwBoundEnd
BwBoundCrash_Admit(BwDispatcher *d, uint64_t now_us, BwBoundJob *job)
{
    const BwSuspectJob *record = BwSuspects_Find(d->suspects, job->name);

    if (record == NULL)
        return BW_BOUND_COMPLETED;
    job->has_crashed = true;
    for (uint32_t i = 0; i < record->task_count; i++) {
        const BwSuspectTask *suspect = &record->tasks[i];
        BwBoundTask *task = find_task(job, suspect->step, suspect->index);

        if (task == NULL)
            continue;
        task->crashes = suspect->crashes;
        if (suspect->is_proven)
            return BW_BOUND_FAILED;
        if (suspect->crashes < BW_CRASHES_MAX)
            continue;
        job->return_us =
            BwBoundJob_TimeLeft(record->last_us + BW_SUSPECT_US, now_us);
        return BW_BOUND_REFUSED;
    }
    return BW_BOUND_COMPLETED;
}

void
BwBoundCrash_Prepare(BwDispatcher *d, uint64_t now_us, BwBoundJob *job)
{
    const BwRouteSuspicion *route;
    BwConfinement *confinement;

    job->is_confined = false;
    job->is_exclusive = false;
    job->owner = 0;
    if (d->confinements == NULL)
        return;
    HASH_FIND_STR(d->confinements, job->service, confinement);
    if (confinement == NULL)
        return;
    job->is_confined = confinement->confined_count > 0 &&
                       BwConfinement_IsConfined(confinement, job->route);
    route = BwConfinement_FindRoute(confinement, job->route);
    if (route != NULL && (confinement->owners >> route->number & 1) != 0)
        job->owner = route->number + 1;
    job->is_exclusive =
        job->has_crashed &&
        (job->is_confined || (confinement->confined_count == 0 &&
                              BwConfinement_HasCrashes(confinement, now_us)));
}

bool
BwBoundCrash_Allows(const BwBoundJob *job, const BwSupervisorView *view)
{
    if (job->is_confined || job->is_exclusive)
        return view->is_in_pool;
    return !view->is_reserved &&
           (job->owner == 0 || job->owner == view->owner);
}

uint64_t
BwBoundCrash_ReturnUs(const BwDispatcher *d, uint64_t now_us,
                      const BwBoundJob *job)
{
    uint64_t soonest_us = UINT64_MAX;
    const BwConfinement *confinement;

    HASH_FIND_STR(d->confinements, job->service, confinement);
    if (confinement == NULL)
        return 0;
    for (const BwSupervisorView *view = d->views; view != NULL;
         view = view->hh.next) {
        uint64_t back_us = view->crashed_us + confinement->outage_us;

        if (!view->is_in_pool || !is_of_service(view, job->service))
            continue;
        if (view->is_usable)
            return 0;
        if (back_us < soonest_us)
            soonest_us = back_us;
    }
    if (soonest_us == UINT64_MAX)
        return 0;
    return soonest_us > now_us + RETURN_MIN_US ? soonest_us - now_us
                                               : RETURN_MIN_US;
}

/* ---------------------------------------------------------------- time */

void
BwBoundCrash_Tick(BwDispatcher *d, uint64_t now_us)
{
    uint64_t elapsed_us = now_us - d->pools_updated_us;

    if (elapsed_us < POOL_INTERVAL_US)
        return;
    d->pools_updated_us = now_us;
    BwSuspects_Evict(&d->suspects, now_us);
    for (BwConfinement *confinement = d->confinements; confinement != NULL;
         confinement = confinement->hh.next) {
        BwConfinement_Evict(confinement, now_us);
        if (confinement->routes == NULL)
            continue;
        confine(d, now_us, confinement);
        release(d, now_us, confinement,
                elapsed_us < 2 * POOL_INTERVAL_US ? elapsed_us
                                                  : 2 * POOL_INTERVAL_US);
        update_workers(d, now_us, confinement);
    }
}
