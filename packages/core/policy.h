/* policy.h -- the policies of placement and queueing, and their state

   A policy is a table of function pointers, and the operators' configuration
   selects one of each kind for a service.

   Sections:
     Random      a seeded generator, so that a run can be repeated
     Workers     the home's view of the executors, grouped by service
     Placement   which worker gets the next start or reservation
     Order       which reservation an executor turns into a pull next
     Selection   the policies and limits configured for each service

   The home of a job is the agent that owns it and places its tasks; it uses
   all of this but the order.  The executor is the part of an agent that runs
   tasks on its host, and uses the order.
*/

#ifndef BW_POLICY_H
#define BW_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "messages.h"

/* ---------------------------------------------------------------- Random */

typedef struct BwRandom {
    uint64_t state;
} BwRandom;

void
BwRandom_Init(BwRandom *random, uint64_t seed);

/* Returns a random number from 0 to `limit` - 1, or 0 when `limit` is 0. */
uint32_t
BwRandom_Below(BwRandom *random, uint32_t limit);

/* --------------------------------------------------------------- Workers */

/* Bucket i holds the workers with i free slots, the last one also those with
   more. */
#define BW_FREE_BUCKETS 64
#define BW_WORKER_TIERS 2
#define BW_NEAR_WORKERS_MAX 4
#define BW_PRIORITIES 8
#define BW_PRIORITY_DEFAULT 3

typedef struct BwWorkerGroup BwWorkerGroup;

/* How the tasks of one worker ended, as moving averages.  The pace is run time
   over expected run time, 0 when unknown. */
typedef struct BwOutcomes {
    uint64_t ended; /* count of all tasks, done or failed */
    uint32_t failed_permille;
    uint32_t pace_permille;
} BwOutcomes;

/* The state of a worker that health.c derives from its outcomes. */
typedef struct BwHealth {
    BwOutcomes outcomes;      /* last known */
    bool is_worsening;        /* the last update did not lower the failures */
    bool is_slow;             /* used when no other worker has a free slot */
    bool is_ejected;          /* gets no work */
    bool is_probing;          /* gets one task at a time */
    uint64_t evaluated_ended; /* outcomes.ended at the last evaluation */
    uint64_t backoff_us;
    uint64_t probe_at_us;
} BwHealth;

/* The home's view of one executor.  `free_slots` is changed only through
   BwWorkers_SetFree.  After a change of a field that decides whether the
   worker is usable, or of its tier, call BwWorkers_Refresh. */
typedef struct BwWorkerView {
    uint32_t peer; /* the daemon's number of the connection */
    char name[BW_NAME_BYTES_MAX];
    char service[BW_NAME_BYTES_MAX];
    uint32_t slots;
    uint32_t free_slots; /* last known, less what was granted since */
    uint32_t queued;     /* reservations of all homes there, last known */
    uint32_t queued_by[BW_PRIORITIES];
    uint32_t reserved; /* reservations of this home there */
    bool is_up;
    bool is_leaving;
    bool is_self;
    bool is_blocked;       /* custody forbids to grant it tasks for now */
    bool is_excluded;      /* excluded for the job that is being placed */
    bool is_gone;          /* its process is known to have ended */
    uint64_t gone_wall_us; /* the latest time at which it can have ended */
    /* The first ring version that has this incarnation. */
    uint64_t ring_join_version;
    uint64_t ring_incarnation;  /* its incarnation in the ring; 0: not in it */
    uint64_t sent_fence_number; /* of the last fence sent */
    bool is_fenced;             /* it has accepted that fence */
    uint64_t fence_at_us;       /* when to send a fence (again) */
    /* Its ledger holds every start since then. */
    uint64_t complete_since_wall_us;
    /* BwHome.last_gain_number when it last accepted a fence. */
    uint64_t answered_gain_number;
    uint64_t incarnation; /* of the process that answered; 0: none has */
    uint64_t previous;    /* incarnation of the same name before that one */
    BwHealth health;
    /* Lower bound of its clock less the local one, modulo 2^64. */
    uint64_t clock_ahead_us;
    BwWorkerGroup *group; /* NULL while it is not usable */
    uint32_t group_index;
    uint32_t bucket; /* of its tier; 0: in none */
    uint32_t bucket_index;
    uint32_t tier;           /* 1: local or slow, see placement.c */
    BwReleasedJob *releases; /* reservations that are no longer needed */
    uint32_t release_count;
    uint32_t release_capacity;
    uint32_t picked;          /* tasks chosen for it in this placement round */
    uint32_t picked_free;     /* of those, starts on slots that seem free */
    uint32_t picked_reserves; /* reservations chosen for it in this round */
} BwWorkerView;

typedef struct BwWorkerList {
    BwWorkerView **items;
    uint32_t count;
    uint32_t capacity;
} BwWorkerList;

/* The usable workers of one service.  The buckets of a tier hold those with
   free slots, by their number, and its mask has a bit for each bucket that is
   not empty.  Tier 1 is used when tier 0 has no free slot. */
struct BwWorkerGroup {
    char service[BW_NAME_BYTES_MAX];
    BwWorkerList usable;
    BwWorkerList buckets[BW_WORKER_TIERS][BW_FREE_BUCKETS];
    uint64_t bucket_masks[BW_WORKER_TIERS];
    uint64_t slots;
    uint64_t offered_slots;      /* cached by BwWorkers_OfferedSlots */
    uint64_t offered_generation; /* BwWorkers.generation at that time */
    uint64_t queued_by[BW_PRIORITIES];
    /* The workers that follow the local host in the circle of names. */
    BwWorkerView *near[BW_NEAR_WORKERS_MAX];
    uint32_t near_count;
    bool is_near_stale;
};

typedef struct BwWorkers {
    BwWorkerList all;
    BwWorkerView **by_peer; /* open addressing, a power of two */
    uint32_t by_peer_capacity;
    uint64_t generation; /* counts changes of what workers offer */
    BwWorkerView *self;  /* on the local host; NULL until known */
    BwWorkerGroup **groups;
    uint32_t group_count;
} BwWorkers;

void
BwWorkers_Init(BwWorkers *workers);

void
BwWorkers_Finish(BwWorkers *workers);

/* Returns the worker behind connection `peer`, or NULL. */
BwWorkerView *
BwWorkers_Find(const BwWorkers *workers, uint32_t peer);

/* Adds a worker that is not usable yet and belongs to `workers`.  Returns NULL
   when memory is short. */
BwWorkerView *
BwWorkers_Add(BwWorkers *workers, uint32_t peer);

/* Returns the group of a service, or NULL when no worker ever offered it. */
BwWorkerGroup *
BwWorkers_Group(const BwWorkers *workers, BwSpan service);

/* Sets the service and slots that the worker offers, and refreshes it. */
void
BwWorkers_SetSlots(BwWorkers *workers, BwWorkerView *worker, BwSpan service,
                   uint32_t slots);

/* Puts the worker into the group and bucket of its present state, or out of
   all if it is not usable. */
void
BwWorkers_Refresh(BwWorkers *workers, BwWorkerView *worker);

/* Returns the slots of all workers of the service that are up and not leaving,
   also of those that are ejected or that custody forbids to use. */
uint64_t
BwWorkers_OfferedSlots(const BwWorkers *workers, BwSpan service);

void
BwWorkers_SetFree(BwWorkerView *worker, uint32_t free_slots);

/* Appends a worker and sets its index.  Returns false when memory is short. */
bool
BwWorkerList_Append(BwWorkerList *list, BwWorkerView *worker, uint32_t *index);

/* Sets the queued reservations of an executor; `counts` has an entry for each
   priority from 0 on, and those that are missing are 0. */
void
BwWorkers_SetQueued(BwWorkerView *worker, const BwQueueCount *counts,
                    uint32_t count);

/* Returns an estimate of the free slots on idle workers of the first tier: of
   those that have at least as many free slots as a worker has on average. */
uint64_t
BwWorkerGroup_IdleSlots(const BwWorkerGroup *group);

/* Updates group->near if the group has changed. */
void
BwWorkers_FindNear(const BwWorkers *workers, BwWorkerGroup *group);

/* Returns a random worker of a bucket that is not empty. */
BwWorkerView *
BwWorkerGroup_Pick(const BwWorkerGroup *group, uint32_t tier, uint32_t bucket,
                   BwRandom *random);

/* ------------------------------------------------------------- Placement */

#define BW_WASTE_NO_LIMIT 1000000 /* for BwPlacement.waste_permille */

typedef struct BwPlacementState {
    BwRandom random;
    uint32_t next; /* index for round robin */
} BwPlacementState;

/* A placement policy.  `choose` returns the worker for the next of `needed`
   tasks and sets how many of them it gets; NULL when no more can be placed.
   `reserve` returns the worker for the next reservation, or NULL. */
typedef struct BwPlacement {
    const char *name;
    BwWorkerView *(*choose)(BwPlacementState *state,
                            const BwWorkerGroup *group, uint32_t needed,
                            uint32_t *count);
    BwWorkerView *(*reserve)(BwPlacementState *state,
                             const BwWorkerGroup *group);
    bool ignores_free_slots;  /* chooses without regard to free slots */
    uint32_t surplus_percent; /* reservations beyond one for each task */
    uint32_t waste_permille;  /* wasted messages per 1000 tasks it may cause */
} BwPlacement;

/* Random workers, without regard to load. */
extern const BwPlacement BwPlacement_Random;
/* Each worker in turn, without regard to load. */
extern const BwPlacement BwPlacement_RoundRobin;
/* Most free slots first, one task at a time. */
extern const BwPlacement BwPlacement_LeastLoaded;
/* Reservations at twice as many random workers as there are tasks; the first
   to have a free slot pulls. */
extern const BwPlacement BwPlacement_BatchSampling;
/* Fewest messages: whole jobs on the worker where they fit best. */
extern const BwPlacement BwPlacement_Frugal;
/* Least response time: tasks are spread, with surplus reservations. */
extern const BwPlacement BwPlacement_Prompt;

#define BW_PLACEMENT_COUNT 6

/* The policies that the operators' configuration may name. */
extern const BwPlacement *const BwPlacement_Table[BW_PLACEMENT_COUNT];

/* ----------------------------------------------------------------- Order */

#define BW_ORDER_COUNT 2

typedef struct BwFlow BwFlow;
typedef struct BwQueue BwQueue;

/* The reservations of one job in a queue.  The memory is the caller's, and the
   queue links it while it has slots.  Zero it first, and set the fields down
   to `expected_us` before it is added. */
typedef struct BwQueueItem {
    uint64_t flow_key;    /* hash of member and team */
    uint32_t priority;    /* 0 is the highest */
    uint32_t weight;      /* share of its flow within the class */
    uint64_t since_us;    /* when it began to wait */
    uint64_t expected_us; /* run time of a task, 0 when unknown */
    uint32_t slots;       /* reserved slots that are not taken yet */
    BwFlow *flow;
    struct BwQueueItem *next;
    struct BwQueueItem *previous;
} BwQueueItem;

/* A queueing discipline.  `add` and `remove` link and unlink an item, `next`
   returns the item whose turn it is, and `on_take` accounts for a slot that is
   taken from it. */
typedef struct BwOrder {
    const char *name;
    bool (*add)(BwQueue *queue, BwQueueItem *item);
    void (*remove)(BwQueue *queue, BwQueueItem *item);
    BwQueueItem *(*next)(BwQueue *queue, uint64_t now_us);
    void (*on_take)(BwQueue *queue, BwQueueItem *item);
} BwOrder;

/* First come, first served. */
extern const BwOrder BwOrder_Fifo;
/* By priority, then fair queueing by weight. */
extern const BwOrder BwOrder_Fair;

extern const BwOrder *const BwOrder_Table[BW_ORDER_COUNT];

struct BwQueue {
    const BwOrder *order;
    uint32_t slots; /* sum of the slots of all items */
    BwQueueCount counts[BW_PRIORITIES];
    uint32_t takes_since_aged; /* slots taken since the last choice by age */
    BwQueueItem *first;        /* list of all items, used by fifo */
    BwQueueItem *last;
    BwFlow *flows[BW_PRIORITIES]; /* circular lists, used by fair */
};

void
BwQueue_Init(BwQueue *queue, const BwOrder *order);

/* Adds `slots` to an item.  Returns false when memory is short. */
bool
BwQueue_Add(BwQueue *queue, BwQueueItem *item, uint32_t slots);

/* Returns the item whose turn it is, or NULL.  Repeated calls return the same
   one until the queue changes. */
BwQueueItem *
BwQueue_Next(BwQueue *queue, uint64_t now_us);

/* Takes one slot of the item that BwQueue_Next returned. */
void
BwQueue_Take(BwQueue *queue, BwQueueItem *item);

/* Drops all slots of an item. */
void
BwQueue_Remove(BwQueue *queue, BwQueueItem *item);

/* Drops up to `slots` slots of an item. */
void
BwQueue_Drop(BwQueue *queue, BwQueueItem *item, uint32_t slots);

/* ------------------------------------------------------------- Selection */

/* A class of jobs of a service. */
typedef struct BwClassPolicy {
    char name[BW_NAME_BYTES_MAX];
    uint32_t priority;
} BwClassPolicy;

typedef struct BwTeamPolicy {
    char member[BW_NAME_BYTES_MAX];
    char team[BW_NAME_BYTES_MAX];
    uint32_t weight;    /* guaranteed slots, and its share in fair queueing */
    uint32_t tasks_max; /* unfinished at one home; 0: no limit */
} BwTeamPolicy;

/* The policies and limits of one service. */
typedef struct BwServicePolicy {
    char service[BW_NAME_BYTES_MAX];
    const BwPlacement *placement;
    uint32_t surplus_percent;
    uint32_t waste_permille;
    const BwOrder *order;
    uint32_t tasks_max;        /* of one job */
    uint64_t task_bytes_max;   /* declared; 0: no limit */
    uint64_t queued_tasks_max; /* waiting at one home */
    uint64_t backlog_us_max;   /* expected wait allowed for priority 0 */
    uint32_t retry_permille;   /* retries for each 1000 jobs */
    BwClassPolicy *classes;
    uint32_t class_count;
} BwServicePolicy;

typedef struct BwPolicy {
    BwServicePolicy *services;
    uint32_t service_count;
    BwTeamPolicy *teams;
    uint32_t team_count;
} BwPolicy;

void
BwPolicy_Init(BwPolicy *policy);

void
BwPolicy_Finish(BwPolicy *policy);

/* Adds a service with the defaults.  Returns NULL when memory is short. */
BwServicePolicy *
BwPolicy_Add(BwPolicy *policy, BwSpan service);

/* These return false when memory is short. */
bool
BwServicePolicy_AddClass(BwServicePolicy *service, BwSpan name,
                         uint32_t priority);

bool
BwPolicy_AddTeam(BwPolicy *policy, BwSpan member, BwSpan team, uint32_t weight,
                 uint32_t tasks_max);

/* Returns the priority of a class, or BW_PRIORITY_DEFAULT. */
uint32_t
BwServicePolicy_Priority(const BwServicePolicy *service, BwSpan name);

/* Returns a team, or a default of weight 1 and no limit; never NULL. */
const BwTeamPolicy *
BwPolicy_Team(const BwPolicy *policy, BwSpan member, BwSpan team);

/* Returns the policy of a service, or the defaults; never NULL. */
const BwServicePolicy *
BwPolicy_Find(const BwPolicy *policy, BwSpan service);

#endif
