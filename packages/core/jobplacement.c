/* jobplacement.c -- placement of a job's tasks on workers

   A placement round first chooses workers for all waiting tasks of a job and
   then sends one grant to each chosen worker, with its tasks and the
   reservations that it is to keep.  This takes a second pass over the chosen
   workers, but only one message for each worker instead of each task.

   Messages that lead to no start are limited by a budget for each service, in
   proportion to the tasks granted.

   Called by home.c and submission.c; the choice of a worker is the service's
   placement policy (placement.c).
*/

#include <stdlib.h>

#include "job.h"

/* The budget of wasted messages of a service that has granted nothing yet. */
#define INITIAL_WASTE_MESSAGES 1
/* An unused reservation costs a release, or a pull and its answer. */
#define UNUSED_RESERVATION_MESSAGES 2
/* No worker gets more than this many equal shares of a job's reservations. */
#define EQUAL_SHARES_MAX 2

uint32_t
BwHome_GrantTasks(BwHome *home, BwJob *job, BwWorkerView *worker,
                  uint32_t tasks_max, uint32_t reserve, uint32_t pulled)
{
    BwGrant grant = {0};
    uint32_t count = 0;
    uint32_t limit = tasks_max < job->waiting ? tasks_max : job->waiting;

    grant.tasks = calloc(limit + 1, sizeof(BwGrantedTask));
    if (grant.tasks == NULL)
        return 0;
    while (count < limit) {
        HomeTask *task = &job->tasks[job->first_waiting++];

        if (task->state != TASK_WAITING)
            continue;
        task->state = TASK_GRANTED;
        task->peer = worker->peer;
        grant.tasks[count].index = task->task.index;
        grant.tasks[count].attempt = task->attempt;
        grant.tasks[count].declared_us = task->task.declared_us;
        grant.tasks[count].body = task->task.body;
        count++;
    }
    job->waiting -= count;
    BwHome_UpdateWaitingList(job);
    BwWorkers_SetFree(worker, worker->free_slots - (count < worker->free_slots
                                                        ? count
                                                        : worker->free_slots));
    job->home_service->tasks += count;
    home->counters.tasks_granted += count;
    grant.job = job->id;
    grant.not_after_us = home->now_us + home->limits.grant_valid_us;
    home->custody_hooks->set_fence(home, worker, job, &grant);
    grant.not_after_us += worker->clock_ahead_us;
    grant.deadline_us = job->deadline_us + worker->clock_ahead_us;
    grant.member = job->member;
    grant.team = job->team;
    grant.service = job->service;
    grant.job_class = job->job_class;
    grant.path = job->path;
    grant.priority = job->priority;
    grant.weight =
        BwPolicy_Team(&home->policy, job->member, job->team)->weight;
    grant.expected_us = job->expected_us;
    grant.reserve = reserve;
    grant.pulled = pulled;
    grant.task_count = count;
    home->port->grant(home->port_ctx, worker->peer, &grant);
    free(grant.tasks);
    return count;
}

/* Returns how many more messages the service may waste. */
static uint64_t
remaining_waste(const BwHomeService *service)
{
    uint64_t permille = service->policy->waste_permille;
    uint64_t allowed =
        INITIAL_WASTE_MESSAGES + service->tasks * permille / 1000;
    uint64_t spent = service->wasted + service->pending_waste;

    if (permille >= BW_WASTE_NO_LIMIT)
        return UINT32_MAX;
    return allowed > spent ? allowed - spent : 0;
}

bool
BwHome_MayMoveTasks(const BwHomeService *service, const BwWorkerGroup *group)
{
    return !service->policy->placement->ignores_free_slots &&
           (remaining_waste(service) >= UNUSED_RESERVATION_MESSAGES ||
            BwWorkerGroup_IdleSlots(group) > 0);
}

/* One placement round: the workers picked, and those excluded from it. */
typedef struct PlacementRound {
    BwHome *home;
    BwJob *job;
    BwWorkerGroup *group;
    BwWorkerList picked;
    BwWorkerView *excluded[2];
    uint32_t excluded_free[2];
    uint32_t excluded_count;
} PlacementRound;

static bool
add_picked(PlacementRound *round, BwWorkerView *worker)
{
    uint32_t index;

    return worker->picked > 0 || worker->picked_reserves > 0 ||
           BwWorkerList_Append(&round->picked, worker, &index);
}

/* Picks workers for up to `needed` tasks; no free slot is known for the rest.
   The known number of free slots may be out of date, and a grant that finds no
   slot is a wasted message.  A reservation for a waiting task is not wasted,
   but its start takes two more messages, the pull and its answer.  So when the
   budget is spent, the tasks become reservations at the workers on which slots
   should be free. */
static void
pick_starts(PlacementRound *round, uint32_t needed)
{
    BwHomeService *service = round->job->home_service;
    const BwPlacement *placement = service->policy->placement;
    bool may_use_known_slots =
        placement->ignores_free_slots || remaining_waste(service) > 0;

    while (needed > 0) {
        uint32_t count = 0;
        uint32_t known_free;
        uint32_t starts;
        BwWorkerView *worker = placement->choose(&service->placement,
                                                 round->group, needed, &count);

        if (worker == NULL || !add_picked(round, worker))
            return;
        known_free = count < worker->free_slots ? count : worker->free_slots;
        starts = may_use_known_slots ? known_free : 0;
        worker->picked += count;
        worker->picked_free += starts;
        worker->picked_reserves += count - starts;
        BwWorkers_SetFree(worker, worker->free_slots - known_free);
        needed -= count;
    }
}

/* Picks workers for `needed` reservations.  The known queue lengths may be out
   of date, and the job ends only with its last task, so the reservations are
   not concentrated on the worker whose queue seems shortest: no worker gets
   more than EQUAL_SHARES_MAX equal shares. */
static void
pick_reservations(PlacementRound *round, uint32_t needed)
{
    BwHomeService *service = round->job->home_service;
    const BwPlacement *placement = service->policy->placement;
    uint32_t picks_max = 0;

    if (round->group->usable.count > round->excluded_count)
        picks_max = EQUAL_SHARES_MAX * needed /
                        (round->group->usable.count - round->excluded_count) +
                    1;
    while (needed-- > 0) {
        BwWorkerView *worker =
            placement->reserve(&service->placement, round->group);

        if (worker == NULL || !add_picked(round, worker))
            break;
        worker->picked_reserves++;
        worker->is_excluded = worker->picked_reserves >= picks_max;
    }
    for (uint32_t i = 0; i < round->picked.count; i++)
        round->picked.items[i]->is_excluded = false;
}

/* Excludes a worker from the round until restore_excluded, which also restores
   its free slots. */
static void
exclude(PlacementRound *round, BwWorkerView *worker)
{
    if (worker == NULL || worker->group != round->group || worker->is_excluded)
        return;
    worker->is_excluded = true;
    round->excluded[round->excluded_count] = worker;
    round->excluded_free[round->excluded_count++] = worker->free_slots;
    BwWorkers_SetFree(worker, 0);
}

static void
restore_excluded(PlacementRound *round)
{
    while (round->excluded_count > 0) {
        BwWorkerView *worker = round->excluded[--round->excluded_count];

        worker->is_excluded = false;
        BwWorkers_SetFree(worker, round->excluded_free[round->excluded_count]);
    }
}

/* Excludes the local host until the guardian has recorded the job, and the
   worker on which the last attempt failed if there is another one. */
static void
exclude_unfit(PlacementRound *round, uint64_t now_us)
{
    BwHome *home = round->home;
    const BwJob *job = round->job;
    BwWorkerView *self = home->workers.self;

    if (self != NULL &&
        !home->custody_hooks->is_usable(home, now_us, self, job))
        exclude(round, self);
    if (job->tasks[0].attempt > 0 &&
        round->group->usable.count > round->excluded_count + 1)
        exclude(round, BwHome_FindWorker(home, job->avoided_peer));
}

/* Sends one grant to each picked worker. */
static void
send_grants(PlacementRound *round)
{
    uint32_t alternatives = round->group->usable.count;

    for (uint32_t i = 0; i < round->picked.count; i++) {
        BwWorkerView *worker = round->picked.items[i];
        uint32_t starts = worker->picked_free;
        uint32_t reservations = worker->picked_reserves;

        BwWorkers_SetFree(worker, worker->free_slots + starts);
        worker->picked = 0;
        worker->picked_free = 0;
        worker->picked_reserves = 0;
        if (reservations > 0)
            BwHome_AdjustReservation(round->home, round->job, worker->peer,
                                     (int32_t)reservations);
        BwHome_GrantTasks(round->home, round->job, worker, starts,
                          reservations, 0);
        if (starts > 0)
            BwHome_LogDecision(
                round->home, "place", round->job, starts, worker->name,
                alternatives,
                round->job->home_service->policy->placement->name);
        if (reservations > 0)
            BwHome_LogDecision(round->home, "reserve", round->job,
                               reservations, worker->name, alternatives,
                               "no slot known to be free");
    }
    free(round->picked.items);
}

/* Returns how many reservations to make beyond one for each unplaced task.
   Those that are not used are wasted messages, so the budget limits them. */
static uint32_t
surplus_reservations(const BwJob *job, uint32_t unplaced)
{
    const BwServicePolicy *policy = job->home_service->policy;
    uint64_t surplus =
        ((uint64_t)unplaced * policy->surplus_percent + 99) / 100;
    uint64_t affordable =
        remaining_waste(job->home_service) / UNUSED_RESERVATION_MESSAGES;

    return (uint32_t)(surplus < affordable ? surplus : affordable);
}

/* Returns how many tasks with a reservation may be granted elsewhere.  Each
   leaves a reservation that ends in a release or in an empty pull, so the
   budget limits them.  But slots of workers that are entirely idle are used
   even without budget, as tasks are waiting. */
static uint32_t
movable_tasks(const PlacementRound *round, uint32_t reserved)
{
    const BwHomeService *service = round->job->home_service;
    uint64_t affordable =
        remaining_waste(service) / UNUSED_RESERVATION_MESSAGES;
    uint64_t idle;

    if (reserved == 0 || service->policy->placement->ignores_free_slots)
        return 0;
    idle = BwWorkerGroup_IdleSlots(round->group);
    if (idle > affordable)
        affordable = idle;
    return (uint32_t)(affordable < reserved ? affordable : reserved);
}

static void
run_round(PlacementRound *round)
{
    BwJob *job = round->job;
    uint32_t reserved =
        job->reserved < job->waiting ? job->reserved : job->waiting;
    uint32_t unreserved = job->waiting - reserved;
    uint32_t starts = 0;

    pick_starts(round, unreserved + movable_tasks(round, reserved));
    for (uint32_t i = 0; i < round->picked.count; i++)
        starts += round->picked.items[i]->picked;
    if (starts > unreserved)
        job->home_service->pending_waste +=
            (starts - unreserved) * UNUSED_RESERVATION_MESSAGES;
    if (starts < unreserved) {
        uint32_t surplus = surplus_reservations(job, unreserved - starts);

        job->home_service->pending_waste +=
            surplus * UNUSED_RESERVATION_MESSAGES;
        pick_reservations(round, unreserved - starts + surplus);
    }
    restore_excluded(round);
    send_grants(round);
}

void
BwHome_HedgeJob(BwHome *home, uint64_t now_us, BwJob *job)
{
    BwWorkerGroup *group = BwWorkers_Group(&home->workers, job->service);
    PlacementRound round = {.home = home, .job = job, .group = group};

    job->hedge_at_us = UINT64_MAX;
    if (!job->is_in_waiting_list || group == NULL ||
        group->usable.count == 0 || !BwHome_Owns(home, now_us, job->id))
        return;
    home->now_us = now_us;
    exclude_unfit(&round, now_us);
    pick_reservations(&round, job->waiting);
    job->home_service->pending_waste +=
        job->waiting * UNUSED_RESERVATION_MESSAGES;
    restore_excluded(&round);
    send_grants(&round);
}

void
BwHome_PlaceJob(BwHome *home, uint64_t now_us, BwJob *job)
{
    BwWorkerGroup *group = BwWorkers_Group(&home->workers, job->service);
    PlacementRound round = {.home = home, .job = job, .group = group};

    BwHome_UpdateWaitingList(job);
    if (!job->is_in_waiting_list || BwHome_CannotFinish(job, now_us))
        return;
    if (group == NULL || group->usable.count == 0 ||
        !BwHome_Owns(home, now_us, job->id)) {
        job->home_service->has_unreserved = true;
        return;
    }
    home->now_us = now_us;
    BwWorkers_FindNear(&home->workers, group);
    exclude_unfit(&round, now_us);
    run_round(&round);
    job->home_service->has_unreserved |= job->waiting > job->reserved;
    if (job->waiting > 0)
        home->custody_hooks->request_local_start(home, now_us, job);
    else if (job->reserved > 0)
        BwHome_ReleaseAllReservations(home, job);
}
