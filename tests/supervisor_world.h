/* supervisor_world.h -- a supervisor beside a modelled worker and dispatchers

   The worker starts whatever it is told to and guards nothing.  Calls to it
   may be late, lost or overtaken.  After each step, and with each start and
   outcome, the worker's true state is held against what the supervisor told:
   no task runs twice, none runs after its outcome, the capacity is kept. */

#ifndef SUPERVISOR_WORLD_H
#define SUPERVISOR_WORLD_H

#include <glib.h>

#include "brasswing.h"
#include "supervisor.h"

#define STEP_US 5000
#define SESSION_US 500000
#define LEASE_US 400000
#define LONG_LEASE_US 4000000 /* orders that come late are still in time */
#define POLL_US 120000
#define ANSWER_TIMEOUT_US 120000
#define STOP_MAX_US 50000 /* the worker ends a stopped task within */
#define LATE_ORDER_MIN_US 2000000
#define LATE_ORDER_MAX_US 12000000
#define ENDS_MAX 500 /* listed at a time */
#define START_US 1000000
#define CAPACITY_CPU 4000
#define FOREVER_US 3600000000

typedef enum CallKind {
    CALL_START,
    CALL_STOP,
    CALL_POLL,
    CALL_KINDS,
} CallKind;

typedef enum Delivery {
    DELIVERY_ANSWERED,
    DELIVERY_ORDER_LOST,  /* the order does not arrive */
    DELIVERY_ANSWER_LOST, /* it is carried out and the answer is lost */
    DELIVERY_LATE, /* it is carried out seconds later, without an answer */
} Delivery;

/* A task as the worker knows it. */
typedef struct Task {
    char job[BW_SUPERVISOR_JOB_BYTES];
    uint32_t step;
    uint32_t index;
    uint32_t run;
    uint32_t placement; /* number in World.placements */
    uint32_t cpu;
    uint64_t starts_us;
    uint64_t ends_us;
    bool is_stuck; /* it makes no progress */
    BwEndKind end;
    uint64_t number; /* of an end */
} Task;

/* What a start carries as its spec. */
typedef struct Spec {
    uint32_t placement;
    uint32_t cpu;
    uint64_t run_us;
    BwEndKind end;
} Spec;

typedef struct Worker {
    uint32_t instance;
    uint64_t started_us;
    uint64_t clock_base_ms;
    uint64_t clock_slow_permille;
    uint64_t capacity_cpu;
    uint64_t fence;
    uint64_t lease_end_ms;
    uint64_t end_count;
    uint64_t sequence;
    GArray *running;
    GArray *ended;
    GHashTable *ended_runs; /* name of a task to its highest run that ended */
    bool is_silent;         /* nothing arrives */
    bool is_stuck;          /* what starts makes no progress and never ends */
    bool is_unhealthy;
    bool is_leaving;
} Worker;

typedef enum CallState {
    CALL_ARRIVING,
    CALL_WAITING, /* a hold, for an end */
    CALL_ANSWERED,
} CallState;

typedef struct Call {
    CallKind kind;
    CallState state;
    uint32_t supervisor_generation; /* of the supervisor that made it */
    uint64_t number;
    char instance[16];
    Task task;
    BwHoldOrder poll;
    uint64_t fence;
    uint64_t lease_ms;
    uint64_t sent_us;
    uint64_t arrives_us;
    uint64_t answer_due_us;
    uint64_t timeout_us; /* the supervisor takes it as unanswered */
    bool is_settled;
    bool is_answer_lost;
    Spec spec;
    BwWorkerAnswer answer;
    GArray *running; /* as listed */
    GArray *ended;
} Call;

typedef struct Heartbeat {
    uint64_t due_us;
    uint32_t instance;
    uint64_t sequence;
    uint64_t clock_ms;
    uint64_t capacity_cpu;
    bool is_leaving;
    bool is_gone;
} Heartbeat;

typedef struct Placement {
    uint32_t peer;
    uint64_t ref;
    uint32_t index;
    uint32_t kind; /* BwOutcomeKind; 0: none yet */
    uint32_t reason;
    uint32_t outcomes;
    uint64_t deadline_us;
    bool is_stopped;
    bool is_cleared; /* the supervisor said that it is not there */
} Placement;

typedef struct Peer {
    uint32_t id;
    bool is_up;
    bool ignores_renewals; /* does not answer sessions */
    bool is_clear;
    bool is_leaving;
    uint64_t place_number;
    uint64_t clock_us; /* the supervisor's, as last read, and when */
    uint64_t read_us;
    uint32_t renewal_requests;
    uint64_t next_renewal_us; /* when it was told to expect the next one */
    uint64_t valid_until_us;
    uint64_t disconnected_us; /* of the connection */
} Peer;

typedef struct SessionReply {
    uint64_t due_us;
    uint32_t peer;
    uint64_t asked_us;
    uint64_t read_us;
} SessionReply;

typedef struct World {
    BwSupervisor supervisor;
    uint32_t supervisor_generation;
    uint64_t now_us;
    GRand *rand; /* NULL: everything goes well */
    Worker worker;
    Delivery next_delivery[CALL_KINDS]; /* of the next call */
    uint32_t unsendable[CALL_KINDS];    /* of the next calls, can't be made */
    GPtrArray *calls;
    GArray *heartbeats;
    GArray *replies;
    GArray *placements;
    GArray *peers;
    GArray *start_order; /* placements in the order of their first start */
    uint32_t starts;
    uint32_t declines_logged; /* tasks */
    uint32_t stops_logged;
    uint32_t loss_permille; /* of 1000 calls, of each sort */
    uint64_t latency_us;
    uint64_t late_order_delay_us; /* of an order that is carried out late */
    BwSupervisorLimits limits;
    uint64_t next_heartbeat_us;
    uint64_t next_ref;
    bool sends_heartbeats;
} World;

/* Tasks 0 to count - 1 of a step; `cpu` 1000 and no end by default. */
typedef struct PlaceRequest {
    const char *job;
    uint32_t step;
    uint32_t first;
    uint32_t count;
    uint32_t cpu;
    uint64_t run_us;
    BwEndKind end;
    uint32_t priority;
    uint32_t spread_max;
    const char *label;
    uint64_t deadline_us;
    uint64_t due_us;
    uint64_t wait_us; /* for room */
    bool must_not_wait;
} PlaceRequest;

uint64_t
World_Clock(const World *w);

/* The worker starts again, at the same address. */
void
World_RestartWorker(World *w);

Peer *
World_FindPeer(World *w, uint32_t id);

Placement *
World_FindPlacement(World *w, uint32_t number);

uint32_t
World_OpenPeer(World *w);

void
World_ClosePeer(World *w, uint32_t id);

/* Sends a PLACE for each task, which renews the session unless the dispatcher
   is mute; by chance it was under way for long.  Returns the number of the
   first placement. */
uint32_t
World_Place(World *w, uint32_t id, const PlaceRequest *order);

void
World_StopJob(World *w, uint32_t id, uint64_t ref);

void
World_DeliverHeartbeat(World *w, const Heartbeat *from);

Heartbeat
World_MakeHeartbeat(World *w);

/* Lets time pass, with all checks after each step. */
void
World_Run(World *w, uint64_t span_us);

/* The process of the supervisor starts again; calls of the former one stay
   under way. */
void
World_RestartSupervisor(World *w);

/* `rand` may be NULL: then everything takes the same time. */
void
World_Init(World *w, GRand *rand);

void
World_Finish(World *w);

/* A worker that is ready, and one dispatcher, which is returned.  All goes
   well unless it is told otherwise. */
uint32_t
World_Open(World *w);

/* Nothing is left, here or on the worker. */
void
World_AssertEmpty(const World *w);

void
World_AssertKind(World *w, uint32_t placement, uint32_t kind);

void
World_AssertDeclined(World *w, uint32_t placement, uint32_t reason);

#endif
