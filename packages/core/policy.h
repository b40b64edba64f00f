/* policy.h -- how the system decides, and the state the decisions need

   Each concern has a table of function pointers or one small state machine,
   and each service of the operators' text names the ones it wants.

   Sections:
     Random      a seeded generator, so that a run can be repeated
     Workers     the home's view of the executors, grouped by service
     Placement   which worker gets the next start or reservation
     Order       which reservation an executor turns into a pull next
     Selection   what the operators' text chose for a service
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

/* Returns a number from 0 to `limit` - 1; 0 when `limit` is 0. */
uint32_t
BwRandom_Below(BwRandom *random, uint32_t limit);

/* --------------------------------------------------------------- Workers */

/* Workers with this many free slots or more share one bucket. */
#define BW_FREE_BUCKETS 64
#define BW_WORKER_TIERS 2
#define BW_NEAR_WORKERS_MAX 4
#define BW_PRIORITIES 8
#define BW_PRIORITY_DEFAULT 3

typedef struct BwWorkerGroup BwWorkerGroup;

/* How the tasks of one worker ended, with older ones fading.  The pace is run
   time over expected run time, 0 when unknown. */
typedef struct BwOutcomes {
    uint64_t ended;
    uint32_t failed_permille;
    uint32_t pace_permille;
} BwOutcomes;

/* What is made of them; changed only by health.c. */
typedef struct BwHealth {
    BwOutcomes outcomes;      /* last known */
    bool is_worsening;        /* by the last of them */
    bool is_slow;             /* used when no other worker has room */
    bool is_ejected;          /* gets no work */
    bool is_probing;          /* gets one task at a time */
    uint64_t evaluated_ended; /* outcomes.ended at the last judgement */
    uint64_t backoff_us;
    uint64_t probe_at_us;
} BwHealth;

/* The home's view of one executor.  `free_slots` is changed only through
   BwWorkers_SetFree, and the fields that make it usable are followed by
   BwWorkers_Refresh. */
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
    bool is_barred;         /* by custody: not to be granted tasks now */
    bool is_hidden;         /* from the job being placed */
    bool is_gone;           /* its process is proved gone */
    uint64_t gone_wall_us;  /* since when, at the latest */
    uint64_t since_version; /* of the ring that brought its incarnation */
    uint64_t member;        /* its incarnation in the ring; 0: not there */
    uint64_t fence_number;  /* of the last fence sent */
    bool is_fenced;         /* it has taken that fence */
    uint64_t fence_at_us;   /* when to send a fence (again) */
    uint64_t reach_wall_us; /* its ledger holds every start since then */
    uint64_t answered_gain; /* the last gain it has answered for */
    uint64_t incarnation;   /* that answered; 0: none did */
    uint64_t previous;      /* incarnation of the name before that */
    BwHealth health;
    uint64_t clock_ahead_us; /* modulo 2^64: its clock less ours, at least */
    BwWorkerGroup *group;    /* NULL while it is not usable */
    uint32_t group_index;
    uint32_t bucket; /* of its tier; 0: in none */
    uint32_t bucket_index;
    uint32_t tier;
    BwReleasedJob *releases; /* reservations that nobody needs */
    uint32_t release_count;
    uint32_t release_room;
    uint32_t picked;          /* tasks chosen for it in this round */
    uint32_t picked_free;     /* of those, on slots known to be free */
    uint32_t picked_reserves; /* reservations chosen for it in this round */
} BwWorkerView;

typedef struct BwWorkerList {
    BwWorkerView **items;
    uint32_t count;
    uint32_t capacity;
} BwWorkerList;

/* The usable workers of one service.  The buckets hold those with free slots
   by their number; tier 1 is used when tier 0 is empty. */
struct BwWorkerGroup {
    char service[BW_NAME_BYTES_MAX];
    BwWorkerList usable;
    BwWorkerList buckets[BW_WORKER_TIERS][BW_FREE_BUCKETS];
    uint64_t bucket_masks[BW_WORKER_TIERS];
    uint64_t slots;
    uint64_t offered_slots; /* also of workers that custody bars now */
    uint64_t offered_generation;
    uint64_t queued_by[BW_PRIORITIES];
    BwWorkerView
        *near[BW_NEAR_WORKERS_MAX]; /* that follow the own host by name */
    uint32_t near_count;
    bool is_near_stale;
};

typedef struct BwWorkers {
    BwWorkerList all;
    BwWorkerView **by_peer; /* open addressing, a power of two */
    uint32_t by_peer_capacity;
    uint64_t generation; /* counts changes of what workers offer */
    BwWorkerView *self;  /* on the own host; NULL until known */
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

/* Adds a worker that is not usable yet.  Returns NULL when memory is short. */
BwWorkerView *
BwWorkers_Add(BwWorkers *workers, uint32_t peer);

/* Returns the group of a service, or NULL when no worker ever offered it. */
BwWorkerGroup *
BwWorkers_Group(const BwWorkers *workers, BwSpan service);

/* Sets what the worker offers, and refreshes it. */
void
BwWorkers_SetSlots(BwWorkers *workers, BwWorkerView *worker, BwSpan service,
                   uint32_t slots);

/* Follows a change of state or tier. */
void
BwWorkers_Refresh(BwWorkers *workers, BwWorkerView *worker);

/* Returns the slots of all workers that are up and stay, usable or not. */
uint64_t
BwWorkers_OfferedSlots(const BwWorkers *workers, BwSpan service);

void
BwWorkers_SetFree(BwWorkerView *worker, uint32_t free_slots);

bool
BwWorkerList_Append(BwWorkerList *list, BwWorkerView *worker, uint32_t *index);

/* Takes the queue of an executor, by priority. */
void
BwWorkers_SetQueued(BwWorkerView *worker, const BwQueueCount *counts,
                    uint32_t count);

/* Returns the free slots on workers of which all slots are free. */
uint64_t
BwWorkerGroup_IdleSlots(const BwWorkerGroup *group);

/* Chooses the near workers again after a change of the group. */
void
BwWorkers_FindNear(const BwWorkers *workers, BwWorkerGroup *group);

/* Returns a random worker with exactly bucket `bucket` of `tier`. */
BwWorkerView *
BwWorkerGroup_Pick(const BwWorkerGroup *group, uint32_t tier, uint32_t bucket,
                   BwRandom *random);

/* ------------------------------------------------------------- Placement */

#define BW_WASTE_NO_LIMIT 1000000

typedef struct BwPlacementState {
    BwRandom random;
    uint32_t next; /* of a round robin */
} BwPlacementState;

/* `choose` returns the worker for the next of `needed` starts and sets how
   many of them it gets; NULL when no more can be placed.  `reserve` returns
   the worker for the next reservation. */
typedef struct BwPlacement {
    const char *name;
    BwWorkerView *(*choose)(BwPlacementState *state,
                            const BwWorkerGroup *group, uint32_t needed,
                            uint32_t *count);
    BwWorkerView *(*reserve)(BwPlacementState *state,
                             const BwWorkerGroup *group);
    bool is_blind;            /* chooses without regard to free slots */
    uint32_t surplus_percent; /* further reservations */
    uint32_t waste_permille;  /* wasted messages per 1000 tasks it may cause */
} BwPlacement;

/* Any worker, whatever is known of it. */
extern const BwPlacement BwPlacement_Random;
/* Each worker in turn, whatever is known of it. */
extern const BwPlacement BwPlacement_RoundRobin;
/* Most free slots first, one task at a time. */
extern const BwPlacement BwPlacement_LeastLoaded;
/* Reservations at twice as many random workers as there are tasks; the first
   to have a free slot pulls. */
extern const BwPlacement BwPlacement_BatchSampling;
/* Fewest messages: whole jobs on the worker where they fit best. */
extern const BwPlacement BwPlacement_Frugal;
/* Least response time: spread, with surplus reservations. */
extern const BwPlacement BwPlacement_Prompt;

#define BW_PLACEMENT_COUNT 6

/* In the order of the names that the operators' text may give. */
extern const BwPlacement *const BwPlacement_Table[BW_PLACEMENT_COUNT];

/* ----------------------------------------------------------------- Order */

#define BW_ORDER_COUNT 2

typedef struct BwFlow BwFlow;
typedef struct BwQueue BwQueue;

/* The reservations of one job, in its owner's memory.  Zero it first; set
   the fields down to `expected_us` before it is added. */
typedef struct BwQueued {
    uint64_t flow_key; /* hash of member and team */
    uint32_t priority; /* 0 goes first */
    uint32_t weight;   /* share of its flow within the class */
    uint64_t since_us;
    uint64_t expected_us; /* run time of a task, 0 when unknown */
    uint32_t slots;
    BwFlow *flow;
    struct BwQueued *next;
    struct BwQueued *previous;
} BwQueued;

typedef struct BwOrder {
    const char *name;
    bool (*add)(BwQueue *queue, BwQueued *item);
    void (*remove)(BwQueue *queue, BwQueued *item);
    BwQueued *(*next)(BwQueue *queue, uint64_t now_us);
    void (*on_take)(BwQueue *queue, BwQueued *item);
} BwOrder;

/* First come, first served. */
extern const BwOrder BwOrder_Fifo;
/* By priority, then in shares by weight. */
extern const BwOrder BwOrder_Fair;

extern const BwOrder *const BwOrder_Table[BW_ORDER_COUNT];

struct BwQueue {
    const BwOrder *order;
    uint32_t slots; /* of all items */
    BwQueueCount counts[BW_PRIORITIES];
    uint32_t takes_since_aged; /* since an aged item was */
    BwQueued *first;
    BwQueued *last;
    BwFlow *flows[BW_PRIORITIES];
};

void
BwQueue_Init(BwQueue *queue, const BwOrder *order);

/* Adds `slots` to an item.  Returns false when memory is short. */
bool
BwQueue_Add(BwQueue *queue, BwQueued *item, uint32_t slots);

/* Returns the item whose turn it is, or NULL.  Repeated calls return the same
   one until the queue changes. */
BwQueued *
BwQueue_Next(BwQueue *queue, uint64_t now_us);

/* Takes one slot of the item that BwQueue_Next returned. */
void
BwQueue_Take(BwQueue *queue, BwQueued *item);

/* Drops all slots of an item, or up to `slots` of them. */
void
BwQueue_Remove(BwQueue *queue, BwQueued *item);

void
BwQueue_Drop(BwQueue *queue, BwQueued *item, uint32_t slots);

/* ------------------------------------------------------------- Selection */

/* A class of jobs of a service. */
typedef struct BwClassPolicy {
    char name[BW_NAME_BYTES_MAX];
    uint32_t priority;
} BwClassPolicy;

typedef struct BwTeamPolicy {
    char member[BW_NAME_BYTES_MAX];
    char team[BW_NAME_BYTES_MAX];
    uint32_t weight;    /* slots that it is guaranteed */
    uint32_t tasks_max; /* unfinished at one home; 0: no ceiling */
} BwTeamPolicy;

/* What one service of the operators' text chose. */
typedef struct BwServicePolicy {
    char service[BW_NAME_BYTES_MAX];
    const BwPlacement *placement;
    uint32_t surplus_percent;
    uint32_t waste_permille;
    const BwOrder *order;
    uint32_t tasks_max;        /* of one job */
    uint64_t task_bytes_max;   /* declared; 0: no limit */
    uint64_t queued_tasks_max; /* that wait at one home */
    uint64_t backlog_us_max;   /* expected wait, for the first priority */
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

/* Returns a team, or one of weight 1 and no ceiling; never NULL. */
const BwTeamPolicy *
BwPolicy_Team(const BwPolicy *policy, BwSpan member, BwSpan team);

/* Returns the policy of a service, or the defaults; never NULL. */
const BwServicePolicy *
BwPolicy_Find(const BwPolicy *policy, BwSpan service);

#endif
