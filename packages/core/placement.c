/* placement.c -- policies that choose the worker for a start or reservation

   Each policy is a table of functions over a group of usable workers.  The
   local worker and workers that are slow are in the second tier, which is used
   when the first has no free slot.  The local worker is in the second tier
   because, when its host is lost, no process is left that knows which tasks
   the home had started there.

   A choice by free slots reads the buckets of the group and takes constant
   time.  A choice by queue length compares every worker of a small group, and
   SAMPLE_SIZE random ones of a larger.  That gives nearly as short queues, and
   keeps the cost of a choice independent of the size of the fleet.

   The placement rounds of the home (jobplacement.c) call these functions.
*/

#include "brasswing.h"

#define SAMPLE_SIZE 16
#define PROBING_FACTOR 1000
#define BATCH_SAMPLING_SURPLUS_PERCENT 100
#define PROMPT_SURPLUS_PERCENT 25

static uint32_t
lowest_bit(uint64_t mask)
{
    return (uint32_t)__builtin_ctzll(mask);
}

static uint32_t
highest_bit(uint64_t mask)
{
    return 63 - (uint32_t)__builtin_clzll(mask);
}

/* Homes that see the same free slots would choose the same workers, and all
   but the first would be declined.  So each home first uses the workers that
   follow its local host in the order of names.  Few other homes use these, and
   what it knows of their slots comes from its own tasks there. */
static BwWorkerView *
choose_near(const BwWorkerGroup *group)
{
    for (uint32_t i = 0; i < group->near_count; i++) {
        if (group->near[i]->free_slots > 0 && group->near[i]->tier == 0)
            return group->near[i];
    }
    return NULL;
}

static BwWorkerView *
choose_most_free(BwPlacementState *state, const BwWorkerGroup *group,
                 uint32_t needed, uint32_t *count)
{
    (void)needed;
    *count = 1;
    for (uint32_t tier = 0; tier < BW_WORKER_TIERS; tier++) {
        uint64_t mask = group->bucket_masks[tier];

        if (mask != 0)
            return BwWorkerGroup_Pick(group, tier, highest_bit(mask),
                                      &state->random);
    }
    return NULL;
}

/* Returns a near worker with a free slot; else the worker with the fewest free
   slots that has `needed` of them; else one with the most. */
static BwWorkerView *
choose_best_fit(BwPlacementState *state, const BwWorkerGroup *group,
                uint32_t needed, uint32_t *count)
{
    uint32_t wanted = needed < BW_FREE_BUCKETS ? needed : BW_FREE_BUCKETS - 1;
    BwWorkerView *near = choose_near(group);

    if (near != NULL) {
        *count = needed < near->free_slots ? needed : near->free_slots;
        return near;
    }
    for (uint32_t tier = 0; tier < BW_WORKER_TIERS; tier++) {
        uint64_t mask = group->bucket_masks[tier];
        uint64_t fitting = mask >> wanted << wanted;
        BwWorkerView *worker;
        uint32_t bucket;

        if (mask == 0)
            continue;
        bucket = fitting != 0 ? lowest_bit(fitting) : highest_bit(mask);
        worker = BwWorkerGroup_Pick(group, tier, bucket, &state->random);
        *count = needed < worker->free_slots ? needed : worker->free_slots;
        return worker;
    }
    return NULL;
}

/* Returns the first worker from `index` on that is not excluded, or NULL. */
static BwWorkerView *
next_eligible(const BwWorkerGroup *group, uint32_t index)
{
    for (uint32_t i = 0; i < group->usable.count; i++) {
        uint32_t at = (index + i) % group->usable.count;

        if (!group->usable.items[at]->is_excluded)
            return group->usable.items[at];
    }
    return NULL;
}

static BwWorkerView *
choose_random(BwPlacementState *state, const BwWorkerGroup *group,
              uint32_t needed, uint32_t *count)
{
    (void)needed;
    *count = 1;
    return next_eligible(group,
                         BwRandom_Below(&state->random, group->usable.count));
}

static BwWorkerView *
choose_next(BwPlacementState *state, const BwWorkerGroup *group,
            uint32_t needed, uint32_t *count)
{
    (void)needed;
    *count = 1;
    return next_eligible(group, state->next++);
}

static BwWorkerView *
choose_none(BwPlacementState *state, const BwWorkerGroup *group,
            uint32_t needed, uint32_t *count)
{
    (void)state;
    (void)group;
    (void)needed;
    (void)count;
    return NULL;
}

static BwWorkerView *
reserve_random(BwPlacementState *state, const BwWorkerGroup *group)
{
    uint32_t count;

    return choose_random(state, group, 1, &count);
}

/* Returns the queue length with one more reservation, in 1/1024 of the
   worker's slots.  The queue counts as longer on a slow worker, and as very
   long on one that is being probed.  The home's own reservations may be newer
   than the last known queue, so the larger of both counts. */
static uint64_t
queue_length(const BwWorkerView *worker)
{
    uint64_t known =
        worker->queued > worker->reserved ? worker->queued : worker->reserved;
    uint64_t length = (known + worker->picked_reserves + 1) * 1024;

    if (worker->health.is_slow)
        length = length * worker->health.outcomes.pace_permille / 1000;
    if (worker->health.is_probing)
        length *= PROBING_FACTOR;
    return length / worker->slots + (uint64_t)worker->tier * 1024;
}

static BwWorkerView *
reserve_shortest(BwPlacementState *state, const BwWorkerGroup *group)
{
    uint32_t count = group->usable.count;
    uint32_t sample_count = count < SAMPLE_SIZE ? count : SAMPLE_SIZE;
    uint32_t first = BwRandom_Below(&state->random, count);
    BwWorkerView *best = NULL;

    for (uint32_t i = 0; i < sample_count; i++) {
        uint32_t index = sample_count == count
                             ? (first + i) % count
                             : BwRandom_Below(&state->random, count);
        BwWorkerView *worker = group->usable.items[index];

        if (worker->is_excluded)
            continue;
        if (best == NULL || queue_length(worker) < queue_length(best))
            best = worker;
    }
    return best != NULL ? best : next_eligible(group, first);
}

const BwPlacement BwPlacement_Random = {
    .name = "random",
    .choose = choose_random,
    .reserve = reserve_random,
    .ignores_free_slots = true,
};
const BwPlacement BwPlacement_RoundRobin = {
    .name = "round_robin",
    .choose = choose_next,
    .reserve = reserve_random,
    .ignores_free_slots = true,
};
const BwPlacement BwPlacement_LeastLoaded = {
    .name = "least_loaded",
    .choose = choose_most_free,
    .reserve = reserve_shortest,
    .waste_permille = BW_WASTE_NO_LIMIT,
};
const BwPlacement BwPlacement_BatchSampling = {
    .name = "batch_sampling",
    .choose = choose_none,
    .reserve = reserve_random,
    .ignores_free_slots = true,
    .surplus_percent = BATCH_SAMPLING_SURPLUS_PERCENT,
    .waste_permille = BW_WASTE_NO_LIMIT,
};
const BwPlacement BwPlacement_Frugal = {
    .name = "frugal",
    .choose = choose_best_fit,
    .reserve = reserve_shortest,
    .waste_permille = 40,
};
const BwPlacement BwPlacement_Prompt = {
    .name = "prompt",
    .choose = choose_most_free,
    .reserve = reserve_shortest,
    .surplus_percent = PROMPT_SURPLUS_PERCENT,
    .waste_permille = 500,
};

const BwPlacement *const BwPlacement_Table[BW_PLACEMENT_COUNT] = {
    &BwPlacement_Random,      &BwPlacement_RoundRobin,
    &BwPlacement_LeastLoaded, &BwPlacement_BatchSampling,
    &BwPlacement_Frugal,      &BwPlacement_Prompt,
};
