/* dispatcher.h -- accepts bound jobs, places their tasks and answers callers

   A bound job lives only as long as the request of its caller.  The dispatcher
   that holds the caller's connection is the only process that places the job's
   tasks.  It keeps a view of every supervisor and its worker: the last load
   report less the tasks that were sent since.  A task goes to the worker that
   is expected to end it first, and a job that cannot end in time is refused at
   once.  The view may be out of date, so a supervisor can decline a task,
   which is then placed again.

   When a supervisor is silent, it is unknown which of its tasks still run.
   They start elsewhere only when the session and the worker's lease must have
   expired, or when that supervisor reports that none of this dispatcher's
   tasks is left.  That delays them, but keeps a task from running twice at the
   same time.

   Up to BW_COMPARED_MAX workers are compared for each task.  In a larger fleet
   a dispatcher compares workers from a random one on until it has found one
   with free resources, so that the time for a task does not grow with the
   fleet, and dispatchers with the same load reports choose different workers.

   The dispatcher role of the daemon (dispatchrole.c) drives this module and
   implements BwDispatcherPort.  All times are microseconds of the monotonic
   clock of the dispatcher's host.
*/

#ifndef BW_DISPATCHER_H
#define BW_DISPATCHER_H

#include <uthash.h>

#include "classadmission.h"
#include "confinement.h"
#include "control.h"
#include "driver.h"
#include "evacuations.h"
#include "routestats.h"
#include "suspects.h"

#define BW_IN_FLIGHT_MAX 64
/* Workers that are compared for a task when one of them has free resources,
   and at most when none has but some could run it. */
#define BW_COMPARED_MAX 32
#define BW_COMPARED_FULL_MAX 256

typedef enum BwBoundTaskState {
    BW_BOUND_TASK_WAITING, /* for earlier steps or for a worker */
    BW_BOUND_TASK_PLACED,
    BW_BOUND_TASK_UNKNOWN, /* placed over a connection that has ended */
    BW_BOUND_TASK_DONE,
} BwBoundTaskState;

/* One task of a bound job. */
typedef struct BwBoundTask {
    BwBoundTaskState state;
    uint32_t step;
    uint32_t index;         /* within the step */
    uint32_t failures;      /* failed runs that count as an attempt */
    uint32_t reassignments; /* how often it was requeued otherwise */
    uint32_t crashes;       /* of workers on which it ran */
    uint64_t wait_us;       /* how long it may wait in the worker's queue */
    uint64_t forecast_us;   /* its wait by the load report; 0: none */
    uint64_t placed_us;
    uint64_t ran_us; /* run time, set when it is done */
    /* The view that the task is assigned to or placed at, or NULL. */
    struct BwSupervisorView *view;
    /* The last view that failed the task, or declined it for another reason
       than being busy; or NULL. */
    struct BwSupervisorView *avoided;
    uint64_t link_generation;         /* of the connection it was sent over */
    struct BwBoundTask *next_at_view; /* in BwSupervisorView.first_assigned */
} BwBoundTask;

typedef struct BwBoundJob {
    uint64_t ref;
    void *data; /* the caller's, passed to BwDispatcherPort.answer */
    char name[BW_NAME_BYTES_MAX];
    char *spec;
    uint32_t spec_bytes;
    char service[BW_NAME_BYTES_MAX];
    char route[BW_NAME_BYTES_MAX];
    uint32_t priority;
    uint32_t attempts_max;
    uint64_t arrived_us;
    uint64_t waited_us;        /* how long the caller had waited by then */
    uint64_t expected_us;      /* run time of its critical path */
    uint64_t target_us;        /* of the route's latency objective, with */
    uint32_t stretch_permille; /* this share of the run time added */
    uint32_t wait_permille;    /* granted by BwClassAdmission */
    uint64_t due_us;           /* the objective by the expected run time */
    uint64_t deadline_us;      /* the caller's */
    BwBoundStep *steps;
    char *labels; /* storage for the label texts of the steps */
    uint32_t step_count;
    uint32_t *remaining; /* for each step, its tasks that are not done */
    BwBoundTask *tasks;
    uint32_t task_count;
    uint32_t done_count;
    /* How far past the limit the task that found no worker would end at the
       best one; 0: not known. */
    uint64_t late_us;
    /* When a worker for it is expected to be back; 0: not known. */
    uint64_t return_us;
    bool is_confined;  /* its route is, see confinement.h */
    bool is_exclusive; /* no other job may run beside it on a worker */
    uint32_t owner;    /* of the workers that it may use; 0: of all */
    bool has_crashed;  /* a worker has crashed under a task of it */
    bool was_placed;   /* a task is at a supervisor, or may have run */
    bool may_have_run; /* a task may have started that is not done */
    UT_hash_handle hh;
    UT_hash_handle by_name;
} BwBoundJob;

/* A PLACE that the supervisor had not read when it sent its last load report,
   and the resources that its tasks take. */
typedef struct BwInFlight {
    uint64_t number;
    BwResources resources;
    uint32_t task_count;
} BwInFlight;

/* What is known of one supervisor and its worker.  The fields that are read
   when workers are compared come first, so that they share few cache lines. */
typedef struct BwSupervisorView {
    uint32_t peer; /* number of the connection; 0: none */
    bool is_usable;
    bool is_in_pool;        /* for confined routes and suspects */
    bool is_reserved;       /* for these only */
    bool is_evacuated;      /* its failure domain is */
    uint64_t exclusive_ref; /* the last exclusive job assigned to it */
    uint32_t owner; /* number of the route that it is kept for, from 1 */
    uint32_t in_flight_count;
    uint32_t label_count;
    BwResources capacity;
    /* `free` to `slow_permille` are from the last load report. */
    BwResources free;
    uint32_t queued;
    uint32_t queued_urgent;
    uint64_t release_in_us;
    uint32_t slow_permille;
    uint32_t pace_permille;   /* learnt by this dispatcher, see pace.h */
    uint32_t step_task_count; /* its tasks of the step that is being placed */
    /* When its session was last renewed; 0: not since it connected. */
    uint64_t session_renewed_us;
    BwHealth health;
    char service[BW_NAME_BYTES_MAX];
    char name[BW_NAME_BYTES_MAX];
    uint64_t link_generation; /* differs for each connection */
    char instance[BW_NAME_BYTES_MAX];
    char domain[BW_NAME_BYTES_MAX];
    char labels[BW_LABELS_MAX][BW_NAME_BYTES_MAX];
    uint64_t reported_us; /* arrival of the last load report; 0: none yet */
    uint64_t supervisor_clock_us; /* its clock in its last SESSION */
    uint64_t clock_read_us;       /* local time at which that arrived */
    uint64_t disconnected_us;     /* when the last connection ended */
    /* By this time all tasks placed over ended connections have stopped; 0: no
       such task may be left. */
    uint64_t gone_us;
    /* Tasks of the step that is being sent. */
    BwBoundTask *first_assigned;
    BwBoundTask *last_assigned;
    uint64_t place_number; /* of the last PLACE on this connection */
    BwInFlight in_flight[BW_IN_FLIGHT_MAX];
    uint64_t crashed_us;  /* when its worker last crashed; 0: never */
    uint64_t series_us;   /* first crash of the present series; 0: none */
    uint64_t unusable_us; /* since when it is not usable; 0: it is */
    uint64_t pool_order;  /* a hash of the name */
    char crashed_instance[BW_NAME_BYTES_MAX]; /* of the last report */
    uint64_t stopped_ref; /* job that a STOP was last sent for */
    /* The state that its supervisor follows, as reported; 0: none. */
    uint64_t evacuation_version;
    bool reports_evacuated;
    uint32_t table_index; /* in BwDispatcher.view_table */
    UT_hash_handle hh;    /* by name */
    UT_hash_handle by_peer;
} BwSupervisorView;

/* How a bound job ended. */
typedef enum BwBoundEnd {
    BW_BOUND_COMPLETED,
    BW_BOUND_FAILED,  /* a task failed attempts_max times */
    BW_BOUND_REFUSED, /* nothing was started; the caller may retry */
    BW_BOUND_EXPIRED, /* it cannot end in time; tasks may have run */
} BwBoundEnd;

/* What is logged of a job when it ends: enough to tell, for many jobs, when
   and why callers were served badly. */
typedef struct BwJobEndReport {
    const char *event; /* "end", or "withdraw" when its caller is gone */
    BwBoundEnd end;    /* of an "end" */
    const char *reason;
    uint64_t took_us;   /* since its arrival */
    uint64_t waited_us; /* that its caller had waited before */
    /* For both together; of a job that is completed by its actual run time,
       else by the expected one. */
    uint64_t objective_us;
    uint64_t expected_objective_us; /* as the dispatcher decided by it */
    /* Share of the service's capacity that was free by the last load reports,
       and the mean age of these; both of usable workers. */
    uint32_t free_permille;
    uint64_t report_age_us;
    /* Of a refused job: by the load reports a worker had room for one of its
       tasks, though not in time for all. */
    bool has_room;
} BwJobEndReport;

typedef struct BwDispatcherPort {
    void (*send)(void *ctx, uint32_t peer, const BwMessage *message);
    /* Answers the caller, once for each job that was not withdrawn.
       `retry_after_ms` is 0 unless the job was refused. */
    void (*answer)(void *ctx, void *data, BwBoundEnd end,
                   uint32_t retry_after_ms);
    /* Logs a decision; `job` and `view` may be NULL. */
    void (*log)(void *ctx, const char *event, const BwBoundJob *job,
                const BwSupervisorView *view, uint32_t count,
                const char *reason);
    /* Logs how a job ended, just before it is answered and freed. */
    void (*log_end)(void *ctx, const BwBoundJob *job,
                    const BwJobEndReport *report);
    /* Logs a decision on a route of a service. */
    void (*log_route)(void *ctx, const char *event, const char *service,
                      const char *route, const char *reason);
} BwDispatcherPort;

typedef struct BwDispatcherLimits {
    uint64_t session_us; /* of a dispatcher at a supervisor */
    uint64_t lease_us;   /* of a supervisor at its worker */
    uint64_t stop_us;    /* until a stop at a worker has taken effect */
    uint32_t jobs;       /* most jobs held at a time */
    /* Until then workers are still connecting, and a job that finds no worker
       waits for them. */
    uint64_t forming_until_us;
    uint64_t random_seed; /* to differ between dispatchers */
} BwDispatcherLimits;

typedef struct BwDispatcherCounters {
    uint64_t submitted;
    uint64_t completed;
    uint64_t failed;
    uint64_t refused;
    uint64_t not_admitted;      /* of these, refused before a job was made */
    uint64_t refused_with_room; /* a task of it would have fitted somewhere */
    uint64_t expired;
    uint64_t withdrawn;
    uint64_t placed;
    uint64_t bounced;  /* tasks that were placed and not run */
    uint64_t lost;     /* tasks that may have run and whose end is unknown */
    uint64_t crashed;  /* tasks lost because their worker crashed */
    uint64_t crashes;  /* of workers, as reported by supervisors */
    uint64_t confined; /* how often a route was confined */
    uint64_t given_up; /* jobs under a task of which two workers crashed */
} BwDispatcherCounters;

typedef struct BwDispatcher {
    const BwDispatcherPort *port;
    void *ctx;
    BwDispatcherLimits limits;
    BwDispatcherCounters counters;
    BwBoundJob *jobs;              /* hash by ref */
    BwBoundJob *jobs_by_name;      /* hash by name */
    BwSupervisorView *views;       /* hash by name */
    BwSupervisorView **view_table; /* all views, in no order */
    uint32_t view_table_size;
    /* Hash of the connected views by connection. */
    BwSupervisorView *views_by_peer;
    BwRouteStats *route_stats;
    BwClassAdmission *class_admissions; /* hash by service */
    BwSuspectJob *suspects;             /* hash by job */
    BwConfinement *confinements;        /* hash by service */
    uint64_t pools_updated_us;
    BwRandom random; /* of the workers that are compared */
    BwTaskIndex place_tasks[BW_JOB_TASKS_MAX]; /* of the PLACE being sent */
    uint64_t last_ref;
    uint64_t last_link_generation;
    BwEvacuations evacuations;
    uint64_t normalized_us; /* when the workers' paces were last normalized */
} BwDispatcher;

void
BwDispatcher_Init(BwDispatcher *dispatcher, const BwDispatcherLimits *limits,
                  const BwDispatcherPort *port, void *ctx);

void
BwDispatcher_Finish(BwDispatcher *dispatcher);

/* Accepts a job and places it.  Everything is copied but `data`, which is
   passed back with the answer and stays the caller's.  The answer comes by the
   port, possibly from inside this call.  A job is refused above the limit of
   jobs, if its name is in use or not printable, if it has no task, and if no
   worker can end it in time; while workers are still connecting it waits for
   these, within its objective.  `allowed_us` is how long the caller waits for
   the answer from now on, 0 if it does not say.  Returns the job's reference,
   or 0 when it was answered inside. */
uint64_t
BwDispatcher_Submit(BwDispatcher *dispatcher, uint64_t now_us, BwSpan name,
                    const BwBoundRequest *request, const BwRoute *route,
                    uint64_t deadline_us, uint64_t allowed_us, void *data);

/* Ends a job without an answer because its caller is gone, and stops its
   tasks.  An unknown reference is ignored. */
void
BwDispatcher_Withdraw(BwDispatcher *dispatcher, uint64_t now_us, uint64_t ref);

/* Returns the job of that name, whatever its route, or NULL.  Workers know
   tasks by the name alone, so it is used by one job at a time. */
BwBoundJob *
BwDispatcher_FindName(BwDispatcher *dispatcher, BwSpan name);

/* Returns whether a task of the job may have started. */
bool
BwBoundJob_IsRunning(const BwBoundJob *job);

/* Returns the number of jobs of a route that have no task placed. */
uint32_t
BwDispatcher_CountWaiting(const BwDispatcher *dispatcher, const char *route);

/* A supervisor connected, or its connection ended.  `peer` is the number of
   the connection, not 0 and unique while it lasts. */
void
BwDispatcher_PeerUp(BwDispatcher *dispatcher, uint64_t now_us, uint32_t peer,
                    BwSpan name);

void
BwDispatcher_PeerDown(BwDispatcher *dispatcher, uint64_t now_us,
                      uint32_t peer);

/* Handles a WORKER, OUTCOME or SESSION from a supervisor; other kinds are
   ignored. */
void
BwDispatcher_OnMessage(BwDispatcher *dispatcher, uint64_t now_us,
                       uint32_t peer, const BwMessage *message);

/* Ends jobs whose deadline has passed and requeues tasks whose leases have
   expired.  To be called regularly. */
void
BwDispatcher_Tick(BwDispatcher *dispatcher, uint64_t now_us);

/* Ends and answers every job; for a process that stops. */
void
BwDispatcher_EndAll(BwDispatcher *dispatcher, uint64_t now_us);

/* Places no further task in the failure domains that are evacuated and tells
   their supervisors; takes those up again that no longer are. */
void
BwDispatcher_SetEvacuations(BwDispatcher *dispatcher,
                            const BwEvacuations *evacuations);

/* Returns the number of supervisors that have not confirmed yet whether their
   failure domain is evacuated. */
uint32_t
BwDispatcher_CountUnconfirmed(const BwDispatcher *dispatcher);

/* Returns the number of workers that accept tasks.  Ejected ones count. */
uint32_t
BwDispatcher_CountUsable(const BwDispatcher *dispatcher);

#endif
