/* rounds.c -- how a home places the tasks of a job

   A round chooses workers for all tasks that wait, then sends one grant to
   each worker that was chosen: its tasks, and the reservations to be kept.
   Choosing first costs a pass over the chosen workers, and spares a message
   for each task.
*/

#include <stdlib.h>

#include "job.h"

#define WASTE_FIRST 1
#define MOVE_MESSAGES 2
#define SHARES_MAX 2

/* Grants up to `room` waiting tasks to one worker in a single message, and
   asks it to keep `reserve` reservations. */
uint32_t
BwHome_GrantTasks(BwHome *home, BwJob *job, BwWorkerView *worker,
                  uint32_t room, uint32_t reserve, uint32_t pulled)
{
    BwGrant grant = {0};
    uint32_t count = 0;
    uint32_t limit = room < job->waiting ? room : job->waiting;

    grant.tasks = calloc(limit + 1, sizeof(BwGrantedTask));
    if (grant.tasks == NULL)
        return 0;
    while (count < limit) {
        HomeTask *task = &job->tasks[job->next_waiting++];

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
    BwHome_ListWaiting(job);
    BwWorkers_SetFree(worker, worker->free_slots - (count < worker->free_slots
                                                        ? count
                                                        : worker->free_slots));
    job->of->tasks += count;
    home->counters.tasks_granted += count;
    grant.job = job->id;
    grant.not_after_us = home->now_us + home->limits.grant_valid_us;
    home->rights->stamp(home, worker, job, &grant);
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

/* How many wasted messages the budget of the service still allows.  A new
   service begins with one. */
static uint64_t
waste_left(const BwHomeService *service)
{
    uint64_t permille = service->policy->waste_permille;
    uint64_t allowed = WASTE_FIRST + service->tasks * permille / 1000;
    uint64_t spent = service->wasted + service->wasted_ahead;

    if (permille >= BW_WASTE_NO_LIMIT)
        return UINT32_MAX;
    return allowed > spent ? allowed - spent : 0;
}

/* True when tasks may be granted elsewhere than where they are reserved. */
bool
BwHome_MayMove(const BwHomeService *service, const BwWorkerGroup *group)
{
    return !service->policy->placement->is_blind &&
           (waste_left(service) >= MOVE_MESSAGES ||
            BwWorkerGroup_IdleSlots(group) > 0);
}

/* The workers chosen in one round of placement. */
typedef struct Round {
    BwHome *home;
    BwJob *job;
    BwWorkerGroup *group;
    BwWorkerList picked;
    BwWorkerView *hidden[2];
    uint32_t hidden_free[2];
    uint32_t hidden_count;
} Round;

static bool
note_picked(Round *round, BwWorkerView *worker)
{
    uint32_t place;

    return worker->picked > 0 || worker->picked_reserves > 0 ||
           BwWorkerList_Append(&round->picked, worker, &place);
}

/* Chooses workers for up to `needed` tasks; the rest found no free slot.  What
   is known of a slot may be old, and a grant that finds it taken is wasted; a
   reservation never is, but its start takes two messages more.  So without
   budget the tasks become reservations where a slot should be free. */
static void
pick_starts(Round *round, uint32_t needed)
{
    BwHomeService *service = round->job->of;
    const BwPlacement *placement = service->policy->placement;
    bool may_guess = placement->is_blind || waste_left(service) > 0;

    while (needed > 0) {
        uint32_t count = 0;
        uint32_t known_free;
        uint32_t starts;
        BwWorkerView *worker = placement->choose(&service->placement,
                                                 round->group, needed, &count);

        if (worker == NULL || !note_picked(round, worker))
            return;
        known_free = count < worker->free_slots ? count : worker->free_slots;
        starts = may_guess ? known_free : 0;
        worker->picked += count;
        worker->picked_free += starts;
        worker->picked_reserves += count - starts;
        BwWorkers_SetFree(worker, worker->free_slots - known_free);
        needed -= count;
    }
}

/* What is known of a queue may be old, and the last task ends the job: no
   worker gets more than SHARES_MAX equal shares, however short its queue
   seems. */
static void
pick_reserves(Round *round, uint32_t needed)
{
    BwHomeService *service = round->job->of;
    const BwPlacement *placement = service->policy->placement;
    uint32_t most = 0;

    if (round->group->usable.count > round->hidden_count)
        most = SHARES_MAX * needed /
                   (round->group->usable.count - round->hidden_count) +
               1;
    while (needed-- > 0) {
        BwWorkerView *worker =
            placement->reserve(&service->placement, round->group);

        if (worker == NULL || !note_picked(round, worker))
            break;
        worker->picked_reserves++;
        worker->is_hidden = worker->picked_reserves >= most;
    }
    for (uint32_t i = 0; i < round->picked.count; i++)
        round->picked.items[i]->is_hidden = false;
}

/* Keeps a worker out of a round.  Its slots come back with show_all. */
static void
hide(Round *round, BwWorkerView *worker)
{
    if (worker == NULL || worker->group != round->group || worker->is_hidden)
        return;
    worker->is_hidden = true;
    round->hidden[round->hidden_count] = worker;
    round->hidden_free[round->hidden_count++] = worker->free_slots;
    BwWorkers_SetFree(worker, 0);
}

static void
show_all(Round *round)
{
    while (round->hidden_count > 0) {
        BwWorkerView *worker = round->hidden[--round->hidden_count];

        worker->is_hidden = false;
        BwWorkers_SetFree(worker, round->hidden_free[round->hidden_count]);
    }
}

/* Hides the own host until the guardian knows of the job, and the worker on
   which the last attempt failed, where there is another one. */
static void
hide_unfit(Round *round, uint64_t now_us)
{
    BwHome *home = round->home;
    const BwJob *job = round->job;
    BwWorkerView *self = home->workers.self;

    if (self != NULL && !home->rights->is_usable(home, now_us, self, job))
        hide(round, self);
    if (job->tasks[0].attempt > 0 &&
        round->group->usable.count > round->hidden_count + 1)
        hide(round, BwHome_FindWorker(home, job->avoided_peer));
}

/* Sends one grant to each worker chosen. */
static void
send_round(Round *round)
{
    uint32_t alternatives = round->group->usable.count;

    for (uint32_t i = 0; i < round->picked.count; i++) {
        BwWorkerView *worker = round->picked.items[i];
        uint32_t starts = worker->picked_free;
        uint32_t reserves = worker->picked_reserves;

        BwWorkers_SetFree(worker, worker->free_slots + starts);
        worker->picked = 0;
        worker->picked_free = 0;
        worker->picked_reserves = 0;
        if (reserves > 0)
            BwHome_Reserve(round->home, round->job, worker->peer,
                           (int32_t)reserves);
        BwHome_GrantTasks(round->home, round->job, worker, starts, reserves,
                          0);
        if (starts > 0)
            BwHome_Decide(round->home, "place", round->job, starts,
                          worker->name, alternatives,
                          round->job->of->policy->placement->name);
        if (reserves > 0)
            BwHome_Decide(round->home, "reserve", round->job, reserves,
                          worker->name, alternatives,
                          "no slot known to be free");
    }
    free(round->picked.items);
}

/* Further reservations than tasks, as far as the budget goes: one that is not
   used costs a pull and its answer, or a release. */
static uint32_t
surplus_reserves(const BwJob *job, uint32_t unplaced)
{
    const BwServicePolicy *policy = job->of->policy;
    uint64_t surplus =
        ((uint64_t)unplaced * policy->surplus_percent + 99) / 100;
    uint64_t affordable = waste_left(job->of) / MOVE_MESSAGES;

    return (uint32_t)(surplus < affordable ? surplus : affordable);
}

/* How many tasks may leave the reservations that they have: each leaves one
   that ends in a release or in a pull for nothing.  Workers that are wholly
   idle while tasks wait are used whatever it costs. */
static uint32_t
movable_tasks(const Round *round, uint32_t reserved)
{
    const BwHomeService *service = round->job->of;
    uint64_t affordable = waste_left(service) / MOVE_MESSAGES;
    uint64_t idle;

    if (reserved == 0 || service->policy->placement->is_blind)
        return 0;
    idle = BwWorkerGroup_IdleSlots(round->group);
    if (idle > affordable)
        affordable = idle;
    return (uint32_t)(affordable < reserved ? affordable : reserved);
}

static void
run_round(Round *round)
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
        job->of->wasted_ahead += (starts - unreserved) * MOVE_MESSAGES;
    if (starts < unreserved) {
        uint32_t surplus = surplus_reserves(job, unreserved - starts);

        job->of->wasted_ahead += surplus * MOVE_MESSAGES;
        pick_reserves(round, unreserved - starts + surplus);
    }
    show_all(round);
    send_round(round);
}

void
BwHome_HedgeJob(BwHome *home, uint64_t now_us, BwJob *job)
{
    BwWorkerGroup *group = BwWorkers_Group(&home->workers, job->service);
    Round round = {.home = home, .job = job, .group = group};

    job->hedge_at_us = UINT64_MAX;
    if (!job->is_listed || group == NULL || group->usable.count == 0 ||
        !BwHome_Owns(home, now_us, job->id))
        return;
    home->now_us = now_us;
    hide_unfit(&round, now_us);
    pick_reserves(&round, job->waiting);
    job->of->wasted_ahead += job->waiting * MOVE_MESSAGES;
    show_all(&round);
    send_round(&round);
}

void
BwHome_PlaceJob(BwHome *home, uint64_t now_us, BwJob *job)
{
    BwWorkerGroup *group = BwWorkers_Group(&home->workers, job->service);
    Round round = {.home = home, .job = job, .group = group};

    BwHome_ListWaiting(job);
    if (!job->is_listed || BwHome_IsTooLate(job, now_us))
        return;
    if (group == NULL || group->usable.count == 0 ||
        !BwHome_Owns(home, now_us, job->id)) {
        job->of->has_unreserved = true;
        return;
    }
    home->now_us = now_us;
    BwWorkers_FindNear(&home->workers, group);
    hide_unfit(&round, now_us);
    run_round(&round);
    job->of->has_unreserved |= job->waiting > job->reserved;
    if (job->waiting > 0)
        home->rights->want_own_host(home, now_us, job);
    else if (job->reserved > 0)
        BwHome_ReleaseReservations(home, job);
}
