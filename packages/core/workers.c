/* workers.c -- the home's view of the executors, grouped by service

   A worker is found by its connection in an open-addressing hash table, and by
   its free slots in buckets: a list of workers for each number of free slots,
   and a bit mask of the lists that are not empty.  So every change of a worker
   and every choice by free slots takes constant time in a fleet of any size.
   The cost is a list entry for each worker, and that a choice among equals is
   random and not by name.

   The home (home.c, jobplacement.c, recovery.c) keeps its workers here;
   placement.c reads the groups.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"

#define INITIAL_CAPACITY 16
#define HASH_FACTOR UINT64_C(0x9e3779b97f4a7c15)

void
BwRandom_Init(BwRandom *random, uint64_t seed)
{
    random->state = seed * HASH_FACTOR + 1;
}

uint32_t
BwRandom_Below(BwRandom *random, uint32_t limit)
{
    uint64_t mixed;

    random->state += HASH_FACTOR;
    mixed = random->state;
    mixed = (mixed ^ (mixed >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    mixed = (mixed ^ (mixed >> 27)) * UINT64_C(0x94d049bb133111eb);
    mixed ^= mixed >> 31;
    return limit == 0 ? 0 : (uint32_t)((mixed >> 32) * limit >> 32);
}

/* ------------------------------------------------------------- lists */

bool
BwWorkerList_Append(BwWorkerList *list, BwWorkerView *worker, uint32_t *index)
{
    if (list->count == list->capacity) {
        uint32_t capacity =
            list->capacity ? list->capacity * 2 : INITIAL_CAPACITY;
        BwWorkerView **grown =
            realloc(list->items, capacity * sizeof(BwWorkerView *));

        if (grown == NULL)
            return false;
        list->items = grown;
        list->capacity = capacity;
    }
    *index = list->count;
    list->items[list->count++] = worker;
    return true;
}

/* Removes the worker at `index` by moving the last one there.  Returns the one
   that moved, or NULL. */
static BwWorkerView *
list_remove(BwWorkerList *list, uint32_t index)
{
    BwWorkerView *moved = list->items[--list->count];

    list->items[index] = moved;
    return index < list->count ? moved : NULL;
}

static void
leave_bucket(BwWorkerView *worker)
{
    BwWorkerGroup *group = worker->group;
    BwWorkerList *list = &group->buckets[worker->tier][worker->bucket];
    BwWorkerView *moved;

    if (worker->bucket == 0)
        return;
    moved = list_remove(list, worker->bucket_index);
    if (moved != NULL)
        moved->bucket_index = worker->bucket_index;
    if (list->count == 0)
        group->bucket_masks[worker->tier] &= ~(UINT64_C(1) << worker->bucket);
    worker->bucket = 0;
}

static void
enter_bucket(BwWorkerView *worker)
{
    BwWorkerGroup *group = worker->group;
    uint32_t bucket = worker->free_slots < BW_FREE_BUCKETS
                          ? worker->free_slots
                          : BW_FREE_BUCKETS - 1;

    worker->tier = worker->is_self || worker->health.is_slow;
    if (bucket == 0 ||
        !BwWorkerList_Append(&group->buckets[worker->tier][bucket], worker,
                             &worker->bucket_index))
        return;
    worker->bucket = bucket;
    group->bucket_masks[worker->tier] |= UINT64_C(1) << bucket;
}

/* ------------------------------------------------------------ groups */

BwWorkerGroup *
BwWorkers_Group(const BwWorkers *workers, BwSpan service)
{
    for (uint32_t i = 0; i < workers->group_count; i++) {
        if (BwSpan_Equal(BwSpan_FromString(workers->groups[i]->service),
                         service))
            return workers->groups[i];
    }
    return NULL;
}

static BwWorkerGroup *
find_or_add_group(BwWorkers *workers, const char *service)
{
    BwWorkerGroup *group =
        BwWorkers_Group(workers, BwSpan_FromString(service));
    BwWorkerGroup **grown;

    if (group != NULL)
        return group;
    grown = realloc(workers->groups,
                    (workers->group_count + 1) * sizeof(BwWorkerGroup *));
    if (grown == NULL)
        return NULL;
    workers->groups = grown;
    group = calloc(1, sizeof(BwWorkerGroup));
    if (group == NULL)
        return NULL;
    BwSpan_ToString(BwSpan_FromString(service), group->service,
                    sizeof(group->service));
    workers->groups[workers->group_count++] = group;
    return group;
}

/* Adds the slots and queue of a worker to the sums of its group, or subtracts
   them. */
static void
add_to_sums(const BwWorkerView *worker, bool is_added)
{
    uint64_t sign = is_added ? 1 : UINT64_MAX;

    worker->group->slots += sign * worker->slots;
    for (uint32_t i = 0; i < BW_PRIORITIES; i++)
        worker->group->queued_by[i] += sign * worker->queued_by[i];
}

static void
leave_group(BwWorkerView *worker)
{
    BwWorkerGroup *group = worker->group;
    BwWorkerView *moved;

    if (group == NULL)
        return;
    leave_bucket(worker);
    add_to_sums(worker, false);
    moved = list_remove(&group->usable, worker->group_index);
    if (moved != NULL)
        moved->group_index = worker->group_index;
    worker->group = NULL;
    group->is_near_stale = true;
}

static bool
is_usable(const BwWorkerView *worker)
{
    return !worker->is_blocked && worker->is_up && !worker->is_leaving &&
           !worker->health.is_ejected && worker->slots > 0;
}

void
BwWorkers_Refresh(BwWorkers *workers, BwWorkerView *worker)
{
    BwWorkerGroup *group;

    workers->generation++;
    leave_group(worker);
    if (!is_usable(worker))
        return;
    group = find_or_add_group(workers, worker->service);
    if (group == NULL ||
        !BwWorkerList_Append(&group->usable, worker, &worker->group_index))
        return;
    worker->group = group;
    enter_bucket(worker);
    add_to_sums(worker, true);
    group->is_near_stale = true;
}

void
BwWorkers_SetSlots(BwWorkers *workers, BwWorkerView *worker, BwSpan service,
                   uint32_t slots)
{
    if (worker->group != NULL && worker->slots == slots &&
        BwSpan_Equal(BwSpan_FromString(worker->service), service) &&
        is_usable(worker)) {
        leave_bucket(worker);
        enter_bucket(worker);
        return;
    }
    leave_group(worker);
    BwSpan_ToString(service, worker->service, sizeof(worker->service));
    worker->slots = slots;
    BwWorkers_Refresh(workers, worker);
}

uint64_t
BwWorkers_OfferedSlots(const BwWorkers *workers, BwSpan service)
{
    BwWorkerGroup *group = BwWorkers_Group(workers, service);
    uint64_t slots = 0;

    if (group != NULL && group->offered_generation == workers->generation)
        return group->offered_slots;
    for (uint32_t i = 0; i < workers->all.count; i++) {
        const BwWorkerView *worker = workers->all.items[i];

        if (worker->is_up && !worker->is_leaving &&
            BwSpan_Equal(BwSpan_FromString(worker->service), service))
            slots += worker->slots;
    }
    if (group != NULL) {
        group->offered_slots = slots;
        group->offered_generation = workers->generation;
    }
    return slots;
}

void
BwWorkers_SetFree(BwWorkerView *worker, uint32_t free_slots)
{
    if (worker->free_slots == free_slots)
        return;
    worker->free_slots = free_slots;
    if (worker->group == NULL)
        return;
    leave_bucket(worker);
    enter_bucket(worker);
}

void
BwWorkers_SetQueued(BwWorkerView *worker, const BwQueueCount *counts,
                    uint32_t count)
{
    if (worker->group != NULL)
        add_to_sums(worker, false);
    worker->queued = 0;
    for (uint32_t i = 0; i < BW_PRIORITIES; i++) {
        worker->queued_by[i] = i < count ? counts[i].slots : 0;
        worker->queued += worker->queued_by[i];
    }
    if (worker->group != NULL)
        add_to_sums(worker, true);
}

uint64_t
BwWorkerGroup_IdleSlots(const BwWorkerGroup *group)
{
    uint64_t each =
        group->slots / (group->usable.count > 0 ? group->usable.count : 1);
    uint64_t idle = 0;

    for (uint32_t i = (uint32_t)each; i > 0 && i < BW_FREE_BUCKETS; i++)
        idle += (uint64_t)i * group->buckets[0][i].count;
    return idle;
}

/* Returns whether `a` follows the name `from` before `b` in the circle of
   names. */
static bool
is_nearer(const char *from, const BwWorkerView *a, const BwWorkerView *b)
{
    bool a_wraps = strcmp(a->name, from) <= 0;
    bool b_wraps = strcmp(b->name, from) <= 0;

    if (a_wraps != b_wraps)
        return b_wraps;
    return strcmp(a->name, b->name) < 0;
}

/* Inserts the worker among the near ones, in order, if it is near enough. */
static void
insert_near(BwWorkerGroup *group, const char *from, BwWorkerView *worker)
{
    uint32_t index = group->near_count;

    while (index > 0 && is_nearer(from, worker, group->near[index - 1]))
        index--;
    if (index == BW_NEAR_WORKERS_MAX)
        return;
    if (group->near_count < BW_NEAR_WORKERS_MAX)
        group->near_count++;
    memmove(group->near + index + 1, group->near + index,
            (group->near_count - index - 1) * sizeof(*group->near));
    group->near[index] = worker;
}

void
BwWorkers_FindNear(const BwWorkers *workers, BwWorkerGroup *group)
{
    if (!group->is_near_stale)
        return;
    group->is_near_stale = false;
    group->near_count = 0;
    for (uint32_t i = 0; workers->self != NULL && i < group->usable.count;
         i++) {
        BwWorkerView *worker = group->usable.items[i];

        if (worker->tier == 0)
            insert_near(group, workers->self->name, worker);
    }
}

BwWorkerView *
BwWorkerGroup_Pick(const BwWorkerGroup *group, uint32_t tier, uint32_t bucket,
                   BwRandom *random)
{
    const BwWorkerList *list = &group->buckets[tier][bucket];

    return list->items[BwRandom_Below(random, list->count)];
}

/* ----------------------------------------------------------- by peer */

static uint32_t
hash_index(const BwWorkers *workers, uint32_t peer)
{
    return (uint32_t)(peer * HASH_FACTOR >> 32) &
           (workers->by_peer_capacity - 1);
}

BwWorkerView *
BwWorkers_Find(const BwWorkers *workers, uint32_t peer)
{
    uint32_t index;

    if (workers->by_peer_capacity == 0)
        return NULL;
    index = hash_index(workers, peer);
    while (workers->by_peer[index] != NULL) {
        if (workers->by_peer[index]->peer == peer)
            return workers->by_peer[index];
        index = (index + 1) & (workers->by_peer_capacity - 1);
    }
    return NULL;
}

static void
index_worker(BwWorkers *workers, BwWorkerView *worker)
{
    uint32_t index = hash_index(workers, worker->peer);

    while (workers->by_peer[index] != NULL)
        index = (index + 1) & (workers->by_peer_capacity - 1);
    workers->by_peer[index] = worker;
}

static bool
grow_index(BwWorkers *workers)
{
    uint32_t capacity = workers->by_peer_capacity
                            ? workers->by_peer_capacity * 2
                            : 2 * INITIAL_CAPACITY;
    BwWorkerView **grown;

    if (workers->all.count * 2 < workers->by_peer_capacity)
        return true;
    grown = calloc(capacity, sizeof(BwWorkerView *));
    if (grown == NULL)
        return false;
    free(workers->by_peer);
    workers->by_peer = grown;
    workers->by_peer_capacity = capacity;
    for (uint32_t i = 0; i < workers->all.count; i++)
        index_worker(workers, workers->all.items[i]);
    return true;
}

BwWorkerView *
BwWorkers_Add(BwWorkers *workers, uint32_t peer)
{
    BwWorkerView *worker = calloc(1, sizeof(BwWorkerView));
    uint32_t index;

    if (worker == NULL)
        return NULL;
    worker->peer = peer;
    if (!grow_index(workers) ||
        !BwWorkerList_Append(&workers->all, worker, &index)) {
        free(worker);
        return NULL;
    }
    index_worker(workers, worker);
    return worker;
}

void
BwWorkers_Init(BwWorkers *workers)
{
    memset(workers, 0, sizeof(*workers));
}

static void
free_group(BwWorkerGroup *group)
{
    for (uint32_t tier = 0; tier < BW_WORKER_TIERS; tier++) {
        for (uint32_t i = 0; i < BW_FREE_BUCKETS; i++)
            free(group->buckets[tier][i].items);
    }
    free(group->usable.items);
    free(group);
}

void
BwWorkers_Finish(BwWorkers *workers)
{
    for (uint32_t i = 0; i < workers->all.count; i++) {
        free(workers->all.items[i]->releases);
        free(workers->all.items[i]);
    }
    for (uint32_t i = 0; i < workers->group_count; i++)
        free_group(workers->groups[i]);
    free(workers->all.items);
    free(workers->by_peer);
    free(workers->groups);
    memset(workers, 0, sizeof(*workers));
}

BwHealthPeers
BwWorkers_SumPeers(const BwWorkers *workers, const BwWorkerView *worker)
{
    BwHealthPeers peers = {0};

    for (uint32_t i = 0; i < workers->all.count; i++) {
        const BwWorkerView *other = workers->all.items[i];

        if (other != worker && other->is_up && other->slots > 0 &&
            strcmp(other->service, worker->service) == 0)
            BwHealthPeers_Add(&peers, &other->health);
    }
    return peers;
}
