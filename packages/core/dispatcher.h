/* dispatcher.h -- the home of jobs that are bound to their caller

   A dispatcher holds the caller's connection and is the only one that places
   the job's tasks.  It keeps a view of every worker from what the supervisors
   tell with each answer, less what is under way to them, and sends a task to
   the worker that is expected to end it first.  What cannot be in time is
   refused at once.

   A task whose supervisor is silent starts elsewhere only when the session
   and the worker's lease must have run out, or when that supervisor says that
   none of this dispatcher's tasks is left.

   All times are microseconds of the caller's monotonic clock.
*/

#ifndef BW_DISPATCHER_H
#define BW_DISPATCHER_H

#include <uthash.h>

#include "control.h"
#include "driver.h"
#include "routes.h"

#define BW_IN_FLIGHT_MAX 64

typedef enum BwBoundTaskState {
    BW_BOUND_TASK_WAITING, /* for its step or a place */
    BW_BOUND_TASK_PLACED,
    BW_BOUND_TASK_UNKNOWN, /* placed, and the supervisor is silent */
    BW_BOUND_TASK_DONE,
} BwBoundTaskState;

/* One task of a bound job. */
typedef struct BwPiece {
    BwBoundTaskState state;
    uint32_t step;
    uint32_t index;         /* within the step */
    uint32_t failures;      /* ends by a fault */
    uint32_t reassignments; /* places that did not run it */
    uint64_t wait_us;       /* that is foreseen at the view */
    uint64_t ran_us;
    struct BwView *view;
    struct BwView *avoided;   /* the last that refused or failed it */
    uint64_t link_generation; /* generation of the view's connection */
} BwPiece;

typedef struct BwBoundJob {
    uint64_t ref;
    void *data; /* the owner's; NULL once answered */
    char name[BW_NAME_BYTES_MAX];
    char *spec;
    uint32_t spec_bytes;
    char service[BW_NAME_BYTES_MAX];
    char route[BW_NAME_BYTES_MAX];
    uint32_t priority;
    uint32_t attempts_max;
    uint64_t arrived_us;
    uint64_t due_us;      /* the objective, as far as it is known */
    uint64_t deadline_us; /* the caller's */
    BwBoundStep *steps;
    char *labels; /* that the steps point to */
    uint32_t step_count;
    uint32_t *remaining; /* tasks of each step that are not done */
    BwPiece *tasks;
    uint32_t task_count;
    uint32_t done_count;
    uint64_t late_us;  /* by how much the best place of a task would end late;
                          0: not known */
    bool was_placed;   /* a task is at a supervisor, or was started */
    bool may_have_run; /* a task was started and did not end as done */
    UT_hash_handle hh;
    UT_hash_handle by_name;
} BwBoundJob;

/* A PLACE that the supervisor had not yet read at its last account. */
typedef struct BwInFlight {
    uint64_t number;
    BwRoom room;
    uint32_t task_count;
} BwInFlight;

/* What is known of one supervisor and its worker. */
typedef struct BwView {
    char name[BW_NAME_BYTES_MAX];
    uint32_t peer;            /* 0: no connection */
    uint64_t link_generation; /* generation of the connection */
    char instance[BW_NAME_BYTES_MAX];
    char service[BW_NAME_BYTES_MAX];
    char domain[BW_NAME_BYTES_MAX];
    char labels[BW_LABELS_MAX][BW_NAME_BYTES_MAX];
    uint32_t label_count;
    BwRoom capacity;
    BwRoom free; /* as told */
    uint32_t queued;
    uint32_t queued_urgent;
    uint64_t release_us;
    uint32_t pace_permille; /* see pace.h */
    uint32_t slow_permille; /* as told */
    BwHealth health;
    bool is_usable;
    uint64_t answered_us;         /* when the session was last renewed */
    uint64_t supervisor_clock_us; /* the supervisor's, when it asked last */
    uint64_t clock_read_us;       /* when that was read here */
    uint64_t disconnected_us;     /* when the last connection ended */
    uint64_t gone_us;         /* what it ran is over then; 0 while connected */
    uint32_t step_task_count; /* tasks of the step that is being assigned */
    uint64_t place_number;
    BwInFlight in_flight[BW_IN_FLIGHT_MAX];
    uint32_t in_flight_count;
    UT_hash_handle hh; /* by name */
    UT_hash_handle by_peer;
} BwView;

/* The run times of a route against the declared ones. */
typedef struct BwRouteEstimate {
    char route[BW_NAME_BYTES_MAX];
    uint32_t ratio_permille;
    bool is_kept; /* while routes are compared */
    UT_hash_handle hh;
} BwRouteEstimate;

typedef enum BwBoundEnd {
    BW_BOUND_COMPLETED,
    BW_BOUND_FAILED,  /* a task failed attempts_max times */
    BW_BOUND_REFUSED, /* nothing was started: come back */
    BW_BOUND_EXPIRED, /* it cannot be in time any more; it may have run */
} BwBoundEnd;

typedef struct BwDispatcherPort {
    void (*send)(void *ctx, uint32_t peer, const BwMessage *message);
    /* The answer to the caller, once for each job that was not withdrawn. */
    void (*answer)(void *ctx, void *data, BwBoundEnd end,
                   uint32_t retry_after_ms);
    void (*log)(void *ctx, const char *event, const BwBoundJob *job,
                const BwView *view, uint32_t count, const char *reason);
} BwDispatcherPort;

typedef struct BwDispatcherLimits {
    uint64_t session_us;
    uint64_t lease_us;
    uint32_t jobs;
} BwDispatcherLimits;

typedef struct BwDispatcherCounters {
    uint64_t submitted;
    uint64_t completed;
    uint64_t failed;
    uint64_t refused;
    uint64_t expired;
    uint64_t withdrawn;
    uint64_t placed;
    uint64_t bounced;
    uint64_t lost;
} BwDispatcherCounters;

typedef struct BwDispatcher {
    const BwDispatcherPort *port;
    void *ctx;
    BwDispatcherLimits limits;
    BwDispatcherCounters counters;
    BwBoundJob *jobs;         /* hash by ref */
    BwBoundJob *jobs_by_name; /* hash by name */
    BwView *views;            /* hash by name */
    BwView *views_by_peer;    /* the same by connection, while there is one */
    BwRouteEstimate *paces;
    uint64_t last_ref;
    uint64_t last_link_generation;
    uint64_t normalized_us; /* when the paces were last anchored */
} BwDispatcher;

void
BwDispatcher_Init(BwDispatcher *dispatcher, const BwDispatcherLimits *limits,
                  const BwDispatcherPort *port, void *ctx);

void
BwDispatcher_Finish(BwDispatcher *dispatcher);

/* Takes a job.  Everything is copied.  The answer comes by the port, possibly
   from inside this call.  Returns the job's reference, or 0 when it was
   answered inside. */
uint64_t
BwDispatcher_Submit(BwDispatcher *dispatcher, uint64_t now_us, BwSpan name,
                    const BwBoundRequest *request, const BwRoute *route,
                    uint64_t deadline_us, void *data);

/* The caller is gone: ends the job without an answer. */
void
BwDispatcher_Withdraw(BwDispatcher *dispatcher, uint64_t now_us, uint64_t ref);

BwBoundJob *
BwDispatcher_FindName(BwDispatcher *dispatcher, BwSpan name);

/* Whether a task of the job may have started. */
bool
BwBoundJob_IsRunning(const BwBoundJob *job);

/* Jobs of a route of which no task has been placed. */
uint32_t
BwDispatcher_CountWaiting(const BwDispatcher *dispatcher, const char *route);

/* A supervisor's connection; `peer` names it until it ends. */
void
BwDispatcher_PeerUp(BwDispatcher *dispatcher, uint64_t now_us, uint32_t peer,
                    BwSpan name);

void
BwDispatcher_PeerDown(BwDispatcher *dispatcher, uint64_t now_us,
                      uint32_t peer);

/* WORKER, OUTCOME or SESSION. */
void
BwDispatcher_OnMessage(BwDispatcher *dispatcher, uint64_t now_us,
                       uint32_t peer, const BwMessage *message);

void
BwDispatcher_Tick(BwDispatcher *dispatcher, uint64_t now_us);

/* Answers every job: the process ends. */
void
BwDispatcher_EndAll(BwDispatcher *dispatcher);

/* Forgets what was learnt of routes that are not among these. */
void
BwDispatcher_KeepRoutes(BwDispatcher *dispatcher, const BwRoutes *routes);

/* Workers that take tasks now. */
uint32_t
BwDispatcher_CountUsable(const BwDispatcher *dispatcher);

#endif
