/* job.h -- the job of a home, shared by the files that implement BwHome

   The files are layered in the order of the sections below: job.c,
   jobplacement.c, submission.c and home.c each call only functions of the
   files before them.  recovery.c uses all of them.  They do not depend on
   custody: what the home owns and may grant is decided by the function table
   BwCustodyHooks, which recovery.c implements.
*/

#ifndef BW_JOB_H
#define BW_JOB_H

#include <uthash.h>

#include "brasswing.h"

typedef enum TaskState { TASK_WAITING, TASK_GRANTED, TASK_DONE } TaskState;

typedef struct HomeTask {
    BwTask task; /* body points into the job's block */
    TaskState state;
    uint32_t peer; /* connection of the worker that it was granted to */
    uint32_t attempt;
    uint32_t crashes; /* attempts that ended with their backend server */
    /* How the last of these ended; BW_OK: none did.  A later attempt that
       fails does not replace it, since the earlier one may have run. */
    BwErrorKind loss;
    /* The fence answer that is being merged lists this task. */
    bool is_confirmed;
    uint32_t status;
    BwSpan answer; /* allocated */
} HomeTask;

/* What a job has reserved at one worker.  `slots` drops below 0 when a pull
   from the worker crosses the release of the reservation it pulls for. */
typedef struct Reservation {
    uint32_t peer;
    int32_t slots;
} Reservation;

struct BwJob {
    BwJobId id;
    UT_hash_handle hh;
    char *block; /* copies of all strings and bodies */
    uint64_t bytes;
    uint64_t digest; /* of service, path and bodies; detects key reuse */
    BwSpan member;
    BwSpan team;
    BwSpan key;
    BwSpan service;
    BwSpan job_class;
    BwSpan path;
    uint64_t deadline_us;
    uint64_t deadline_wall_us;
    uint64_t submitted_wall_us; /* lower bound of the first submission */
    bool is_held; /* waits until all executors have listed their starts */
    bool is_start_state_known; /* this home knows every task started of it */
    uint64_t hold_deadline_us; /* a job still held at this time fails */
    /* The guardian was asked to record a local run. */
    bool is_record_requested;
    uint64_t record_requested_us;
    /* The guardian has recorded that the job runs on this host. */
    bool is_run_recorded;
    /* The first task of the job must start by latest_first_start_us, so that
       all its tasks are expected to end by the deadline.  A single task must
       start by latest_start_us, so that it is expected to end by the
       deadline. */
    uint64_t latest_first_start_us;
    uint64_t latest_start_us;
    uint64_t hedge_at_us;  /* UINT64_MAX: hedged already */
    uint64_t forget_at_us; /* when the ended job and its answer are dropped */
    /* Copied from the home, for grants without a ring. */
    uint64_t fence_number;
    uint32_t priority;
    uint32_t flags;
    uint64_t expected_us;  /* expected run time of a task */
    uint64_t retry_at_us;  /* 0: not between two attempts */
    uint32_t avoided_peer; /* worker on which the last attempt failed */
    /* Index into the service's teams; -1: the team has no limit. */
    int32_t team_index;
    /* Whether it is in BwHome.retry_list, linked by retry_next. */
    bool is_in_retry_list;
    BwJob *retry_next;
    BwHomeService *home_service;
    BwJob *list_prev; /* in the service's list for the job's priority */
    BwJob *list_next;
    bool is_in_waiting_list;  /* whether it is in this list */
    uint32_t counted_waiting; /* its share of the service's waiting_tasks */
    HomeTask *tasks;
    uint32_t task_count;
    uint32_t waiting;
    uint32_t reserved;
    uint32_t done;
    uint32_t first_waiting; /* no task below this index is waiting */
    bool is_ended;
    BwErrorKind error;
    char detail[160];
    Reservation *reservations;
    uint32_t reservation_count;
    BwWaiter *waiters;
    uint32_t waiter_count;
};

/* --------------------------------------------------------- custody hooks */

/* Decides which keys a home owns and to which workers it may grant starts. */
struct BwCustodyHooks {
    bool (*owns)(const BwHome *home, uint64_t now_us, BwJobId id);
    /* Whether the home knows of every task that was started for the key. */
    bool (*is_complete)(const BwHome *home, BwJobId id);
    /* Whether the worker may be granted tasks at all; is_usable also checks
       the time and the job. */
    bool (*may_receive_grants)(const BwHome *home, const BwWorkerView *worker);
    /* Whether the worker may be granted tasks of this job now. */
    bool (*is_usable)(const BwHome *home, uint64_t now_us,
                      const BwWorkerView *worker, const BwJob *job);
    /* Whether `number` is that of the newest fence sent to the worker. */
    bool (*is_current_fence)(const BwWorkerView *worker, uint64_t number);
    /* Whether tasks of a key that has no job here may have been started. */
    bool (*may_have_run)(const BwHome *home, BwJobId id,
                         uint64_t submitted_wall_us);
    /* Sets the fence number of a grant, and may shorten its validity. */
    void (*set_fence)(const BwHome *home, const BwWorkerView *worker,
                      const BwJob *job, BwGrant *grant);
    /* Called for each new job: may hold it, end it, or mark tasks as granted
       that were started before. */
    void (*recover_job)(BwHome *home, uint64_t now_us, BwJob *job);
    /* Called when tasks of the job still wait after a placement round.  Slots
       of the local host may be used only once the guardian has recorded the
       job, so this may request that. */
    void (*request_local_start)(BwHome *home, uint64_t now_us, BwJob *job);
    void (*link_lost)(BwHome *home, uint64_t now_us, uint32_t peer);
    /* Called when tasks that were started at the worker are lost. */
    void (*worker_lost)(BwHome *home, uint32_t peer);
    void (*finish)(BwHome *home);
};

/* For a home without custody: owns every key and may grant to anyone. */
extern const BwCustodyHooks BwCustodyHooks_None;

/* ----------------------------------------------------------------- job.c */

#define BW_RETRY_AFTER_MS 1000

/* Returns NULL when memory is short. */
BwHomeService *
BwHome_FindOrAddService(BwHome *home, BwSpan name);

/* Returns the run-time estimate of a class of jobs; that of the whole service
   when BW_CLASSES_MAX classes are known already. */
BwEstimate *
BwHome_FindEstimate(BwHomeService *service, BwSpan job_class);

/* Returns NULL when the home has no such job. */
BwJob *
BwHome_FindJob(BwHome *home, BwJobId id);

/* Adds the job to its service's list of jobs with tasks to be placed, or
   removes it, as its state demands.  Call it after each change of the state
   or of the number of waiting tasks. */
void
BwHome_UpdateWaitingList(BwJob *job);

void
BwHome_RemoveFromRetryList(BwHome *home, BwJob *job);

/* Ends the job with `error`, or BW_OK, and sends the result to its waiters.
   The ended job is kept until forget_at_us.  A job that has ended already is
   left as it is. */
void
BwHome_EndJob(BwHome *home, BwJob *job, BwErrorKind error, const char *detail);

/* Removes the job from the home's table and frees it, with no answer. */
void
BwHome_RemoveJob(BwHome *home, BwJob *job);

/* Frees a job that is no longer in the home's table. */
void
BwHome_FreeJob(BwHome *home, BwJob *job);

/* Whether a task of the job was started, or may have been. */
bool
BwHome_MayHaveRun(const BwHome *home, uint64_t now_us, const BwJob *job);

/* Whether the job has waiting tasks that can no longer end by the deadline. */
bool
BwHome_CannotFinish(const BwJob *job, uint64_t now_us);

/* Reports one decision on a job, for the decision log. */
void
BwHome_LogDecision(BwHome *home, const char *what, const BwJob *job,
                   uint32_t count, const char *choice, uint32_t alternatives,
                   const char *reason);

/* Sends an error with the time after which the caller may submit again; 0:
   none. */
void
BwHome_SendErrorAfter(BwHome *home, BwWaiter waiter, BwErrorKind error,
                      const char *detail, uint32_t retry_after_ms);

/* Sends an error; a transient one (overload, no memory) tells the caller to
   submit again after BW_RETRY_AFTER_MS. */
void
BwHome_SendError(BwHome *home, BwWaiter waiter, BwErrorKind error,
                 const char *detail);

/* Sends the result of an ended job: its answers or its error. */
void
BwHome_SendResult(BwHome *home, const BwJob *job, BwWaiter waiter);

/* Returns NULL when no worker is known under the connection. */
BwWorkerView *
BwHome_FindWorker(BwHome *home, uint32_t peer);

/* Returns NULL when memory is short. */
BwWorkerView *
BwHome_FindOrAddWorker(BwHome *home, uint32_t peer);

/* Call it after a change that affects whether the worker may be granted
   tasks. */
void
BwHome_RefreshWorker(BwHome *home, BwWorkerView *worker);

/* Counts messages that led to no start, answer or change of state. */
void
BwHome_CountWastedMessages(BwHome *home, BwHomeService *service,
                           uint32_t messages);

/* Returns NULL when the job has reserved nothing at the worker. */
Reservation *
BwHome_FindReservation(BwJob *job, uint32_t peer);

/* Adds `change`, which may be negative, to the job's reservations at a
   worker.  Returns the new number; 0 also when memory is short. */
int32_t
BwHome_AdjustReservation(BwHome *home, BwJob *job, uint32_t peer,
                         int32_t change);

/* Sets the job's reservations at a worker to 0 without telling it. */
void
BwHome_ClearReservation(BwHome *home, BwJob *job, uint32_t peer);

/* Sets the job's reservations at a worker to 0 and queues a release, which
   BwHome_Flush sends. */
void
BwHome_ReleaseReservation(BwHome *home, BwJob *job, uint32_t peer);

/* Does the same at every worker with reservations of the job. */
void
BwHome_ReleaseAllReservations(BwHome *home, BwJob *job);

/* -------------------------------------------------------- jobplacement.c */

/* Grants or reserves slots for the waiting tasks of the job. */
void
BwHome_PlaceJob(BwHome *home, uint64_t now_us, BwJob *job);

/* Makes a second reservation for each task that still waits. */
void
BwHome_HedgeJob(BwHome *home, uint64_t now_us, BwJob *job);

/* Grants up to `tasks_max` waiting tasks to one worker in a single message,
   which also makes `reserve` reservations and answers for `pulled` slots that
   the worker holds for a pull.  Returns how many were granted; 0 with nothing
   sent when memory is short. */
uint32_t
BwHome_GrantTasks(BwHome *home, BwJob *job, BwWorkerView *worker,
                  uint32_t tasks_max, uint32_t reserve, uint32_t pulled);

/* Whether tasks may be granted to other workers than those that hold
   reservations for them. */
bool
BwHome_MayMoveTasks(const BwHomeService *service, const BwWorkerGroup *group);

/* ---------------------------------------------------------------- home.c */

/* Places the waiting tasks of every service.  Call it after changes to jobs
   or workers that no message of theirs caused. */
void
BwHome_PlaceAll(BwHome *home, uint64_t now_us);

/* The tasks granted to the worker may have run and will not be answered: each
   is retried where that is allowed, or else fails its job. */
void
BwHome_ResolveLostTasks(BwHome *home, uint64_t now_us, uint32_t peer);

#endif
