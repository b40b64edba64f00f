/* supervisor_world.h -- a supervisor with a simulated worker and dispatchers

   The simulated worker starts whatever it is told to and checks nothing, not
   even its capacity.  Calls to it may be late, lost or reordered.  After each
   time step, start and outcome, the worker's true state is compared with what
   the supervisor reported: no task runs twice, none runs after its outcome
   was reported, and the tasks that run fit the worker's capacity.

   test_supervisor.c is built on it. */

#ifndef SUPERVISOR_WORLD_H
#define SUPERVISOR_WORLD_H

#include <glib.h>

#include "brasswing.h"
#include "supervisor.h"

#define STEP_US 5000
#define SESSION_US 500000
#define LEASE_US 400000
#define LEASE_MAX_US 1000000 /* that the worker grants */
#define STOP_US 60000
#define LONG_LEASE_US 4000000 /* valid when a delayed order arrives */
#define POLL_US 120000
#define ANSWER_TIMEOUT_US 120000
#define STOP_MAX_US 50000 /* from a stop to the end of the task */
#define LATE_ORDER_MIN_US 2000000
#define LATE_ORDER_MAX_US 12000000
#define ENDS_MAX 500 /* that one poll lists */
#define START_US 1000000
#define CAPACITY_CPU 4000
#define HEARTBEAT_US 200000
/* The supervisor knows of less capacity by then: single heartbeats are late.
 */
#define SHRINK_KNOWN_US (3 * HEARTBEAT_US)
#define FOREVER_US 3600000000

typedef enum CallKind {
    CALL_START,
    CALL_STOP,
    CALL_POLL,
    CALL_KINDS,
} CallKind;

/* What happens to a call and its answer. */
typedef enum Delivery {
    DELIVERY_ANSWERED,
    DELIVERY_ORDER_LOST,  /* the order does not arrive */
    DELIVERY_ANSWER_LOST, /* the order is executed, the answer is lost */
    DELIVERY_LATE, /* the order arrives seconds later, no answer comes */
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
    bool is_stuck; /* makes no progress */
    BwEndKind end;
    uint64_t number; /* of its end; numbers grow with each end */
} Task;

/* The simulated worker reads these from the spec of a start. */
typedef struct Spec {
    uint32_t placement;
    uint32_t cpu;
    uint64_t run_us;
    BwEndKind end;
} Spec;

typedef struct Worker {
    uint32_t instance;
    uint64_t born_ms; /* 0: it does not tell */
    uint64_t started_us;
    uint64_t clock_base_ms;
    uint64_t clock_slow_permille;
    uint64_t capacity_cpu;
    /* Before it shrank at shrunk_us: what runs then may run on, and until the
       supervisor can know of it starts may go by it. */
    uint64_t former_cpu;
    uint64_t shrunk_us;
    uint64_t fence;
    uint64_t lease_end_ms;
    uint64_t end_count;
    uint64_t sequence;
    GArray *running;
    GArray *ended;
    GHashTable *ended_runs;  /* task name to its highest run that ended */
    bool is_silent;          /* calls are neither executed nor answered */
    bool breaks_connections; /* of all calls, when they arrive */
    bool is_stuck; /* tasks started now make no progress and never end */
    bool is_unhealthy;
    bool is_leaving;
    bool is_down; /* its process has ended: it refuses connections */
} Worker;

typedef enum CallState {
    CALL_ARRIVING,
    CALL_WAITING, /* a poll that waits for the end of a task */
    CALL_ANSWERED,
} CallState;

typedef struct Call {
    CallKind kind;
    CallState state;
    uint32_t supervisor_generation; /* of the supervisor process that called */
    uint64_t number;
    char instance[16];
    Task task;
    BwPollOrder poll;
    uint64_t fence;
    uint64_t lease_ms;
    uint64_t sent_us;
    uint64_t arrives_us;
    uint64_t answer_due_us;
    uint64_t timeout_us; /* when the supervisor counts it as unanswered */
    bool is_settled;     /* the supervisor got an answer or a timeout */
    bool is_answer_lost;
    bool is_put_off; /* the worker has it and carries it out late */
    Spec spec;
    BwWorkerAnswer answer;
    GArray *running; /* tasks that the answer lists */
    GArray *ended;
} Call;

typedef struct Heartbeat {
    uint64_t due_us;
    uint32_t instance;
    uint64_t born_ms;
    uint64_t sequence;
    uint64_t clock_ms;
    uint64_t capacity_cpu;
    bool is_leaving;
    bool is_gone;
    bool is_recalled;
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
    bool is_cleared; /* the supervisor reported that no task is left of it */
} Placement;

typedef struct Peer {
    uint32_t id;
    bool is_up;
    bool ignores_renewals; /* does not answer session renewals */
    bool is_clear;
    bool is_leaving;
    uint64_t capacity_cpu; /* of the worker, as last told */
    uint64_t place_number;
    uint64_t clock_us; /* last known reading of the supervisor's clock */
    uint64_t read_us;  /* when that was known */
    uint32_t renewal_requests;
    uint64_t next_renewal_us; /* announced time of the next request */
    uint64_t valid_until_us;
    uint64_t disconnected_us;
} Peer;

typedef struct SessionReply {
    uint64_t due_us;
    uint32_t peer;
    uint64_t requested_us;
    uint64_t read_us;
} SessionReply;

typedef struct World {
    BwSupervisor supervisor;
    uint32_t supervisor_generation;
    uint64_t now_us;
    GRand *rand; /* NULL: fixed delays and no random faults */
    Worker worker;
    Delivery next_delivery[CALL_KINDS]; /* of the next call of a kind */
    uint32_t unsendable[CALL_KINDS];    /* how many of the next calls fail */
    GPtrArray *calls;
    GArray *heartbeats;
    GArray *replies;
    GArray *placements;
    GArray *peers;
    GArray *start_order; /* placements in the order of their first start */
    uint32_t starts;
    uint32_t declines_logged; /* number of tasks */
    uint32_t stops_logged;
    uint32_t loss_permille; /* of calls, for each failing Delivery */
    uint64_t latency_us;
    uint64_t late_order_delay_us; /* for DELIVERY_LATE without rand */
    BwSupervisorLimits limits;
    uint64_t next_heartbeat_us;
    uint64_t next_ref;
    bool sends_heartbeats;
    GArray *crashed;        /* placements that ran when the worker crashed */
    uint32_t crash_reports; /* that were sent, to all dispatchers together */
    uint32_t crash_withdrawals;
    uint32_t reported_tasks; /* in the last report */
} World;

/* The tasks of one step from index `first` on.  A field that is 0 means
   one task, 1000 of `cpu`, a run without end, a wait without limit, or no
   deadline. */
typedef struct PlaceRequest {
    const char *job;
    uint32_t step;
    uint32_t first;
    uint32_t count;
    uint32_t cpu;
    uint64_t run_us;
    uint32_t declared_permille; /* of it; 0: as long as it runs */
    BwEndKind end;
    uint32_t priority;
    uint32_t spread_max;
    const char *label;
    uint64_t deadline_us;
    uint64_t due_us;
    uint64_t wait_us;   /* limit of the wait for resources */
    bool must_not_wait; /* that limit is 0 */
    bool is_exclusive;
} PlaceRequest;

uint64_t
World_Clock(const World *w);

/* Replaces the worker by a new instance at the same address. */
void
World_RestartWorker(World *w);

/* Starts a worker that tells its start again under the name that it had. */
void
World_RebornWorker(World *w);

/* Changes the worker's capacity while it runs. */
void
World_SetCapacity(World *w, uint64_t cpu);

/* Ends all that runs on the worker, which refuses connections until it is
   restarted. */
void
World_CrashWorker(World *w);

Peer *
World_FindPeer(World *w, uint32_t id);

Placement *
World_FindPlacement(World *w, uint32_t number);

uint32_t
World_OpenPeer(World *w);

void
World_ClosePeer(World *w, uint32_t id);

/* Sends one PLACE for each task.  It renews the session unless the dispatcher
   ignores renewals.  With random losses, some carry an old clock reading, as
   after a long transfer.  Returns the number of the first placement. */
uint32_t
World_Place(World *w, uint32_t id, const PlaceRequest *request);

void
World_StopJob(World *w, uint32_t id, uint64_t ref);

void
World_DeliverHeartbeat(World *w, const Heartbeat *from);

Heartbeat
World_MakeHeartbeat(World *w);

/* Advances the time and checks the worker after each step. */
void
World_Run(World *w, uint64_t span_us);

/* Replaces the supervisor by a new process.  Calls of the previous one stay in
   progress. */
void
World_RestartSupervisor(World *w);

/* Without `rand` all delays are fixed.  The caller owns `rand`. */
void
World_Init(World *w, GRand *rand);

void
World_Finish(World *w);

/* Initializes `w` without random faults, with a worker that is ready and one
   connected dispatcher, and returns the dispatcher's peer id. */
uint32_t
World_Open(World *w);

/* Asserts that no task is left in the supervisor or on the worker. */
void
World_AssertEmpty(const World *w);

void
World_AssertKind(World *w, uint32_t placement, uint32_t kind);

void
World_AssertDeclined(World *w, uint32_t placement, uint32_t reason);

#endif
