/* job.h -- a job of a home, and the layers that work on it

   job.c, rounds.c, submission.c and home.c each use only what stands before
   them here.  recovery.c stands on all of them, and they know nothing of
   custody: what a home may grant they ask of a table.
*/

#ifndef BW_JOB_H
#define BW_JOB_H

#include <uthash.h>

#include "brasswing.h"

typedef enum TaskState { TASK_WAITING, TASK_GRANTED, TASK_DONE } TaskState;

typedef struct HomeTask {
    BwTask task; /* body points into the job's block */
    TaskState state;
    uint32_t peer; /* who was granted it */
    uint32_t attempt;
    bool is_confirmed; /* during the merge of a fence answer */
    uint32_t status;
    BwSpan answer; /* allocated */
} HomeTask;

/* Below 0 when a pull crossed the release of what it pulled for. */
typedef struct Reservation {
    uint32_t peer;
    int32_t slots;
} Reservation;

struct BwJob {
    BwJobId id;
    UT_hash_handle hh;
    char *block; /* copies of all strings and bodies */
    uint64_t bytes;
    uint64_t digest;
    BwSpan member;
    BwSpan team;
    BwSpan key;
    BwSpan service;
    BwSpan job_class;
    BwSpan path;
    uint64_t deadline_us;
    uint64_t deadline_wall_us;
    uint64_t submitted_wall_us; /* the first time, at the earliest */
    bool is_held;        /* not all that may have started it have answered */
    bool is_known;       /* this home started whatever was started of it */
    uint64_t held_by_us; /* then it fails */
    bool is_note_asked;
    uint64_t note_asked_us;
    bool is_noted; /* the guardian knows that it runs on this host */
    uint64_t latest_first_start_us; /* an unstarted job that is later ends too
                                       late */
    uint64_t latest_start_us;       /* a task that starts later does */
    uint64_t hedge_at_us;           /* UINT64_MAX: was hedged */
    uint64_t drop_us;               /* the answer is forgotten then */
    uint64_t epoch;
    uint32_t priority;
    uint32_t flags;
    uint64_t expected_us;  /* run time of a task */
    uint64_t retry_at_us;  /* 0: not between two attempts */
    uint32_t avoided_peer; /* where the last attempt failed */
    int32_t team_index;    /* among the service's, -1 without a ceiling */
    bool is_in_retry_list; /* is among the home's retrying jobs */
    BwJob *retry_next;
    BwHomeService *home_service;
    BwJob *list_prev; /* among the service's jobs with tasks to be placed */
    BwJob *list_next;
    bool is_in_waiting_list;
    uint32_t
        counted_waiting; /* of its tasks, among the service's waiting ones */
    HomeTask *tasks;
    uint32_t task_count;
    uint32_t waiting;
    uint32_t reserved;
    uint32_t done;
    uint32_t next_waiting; /* no task below this index is waiting */
    bool is_ended;
    BwErrorKind error;
    char detail[160];
    Reservation *reservations;
    uint32_t reservation_count;
    BwWaiter *waiters;
    uint32_t waiter_count;
};

/* ---------------------------------------------------------------- rights */

/* Which keys a home holds, and whom it may grant starts. */
struct BwHomeRights {
    bool (*owns)(const BwHome *home, uint64_t now_us, BwJobId id);
    /* Whether all that was started of the key is known, if any was. */
    bool (*is_complete)(const BwHome *home, BwJobId id);
    /* Whether the worker may be granted tasks, apart from time and job. */
    bool (*is_engaged)(const BwHome *home, const BwWorkerView *worker);
    /* Whether it may be granted tasks of the job now. */
    bool (*is_usable)(const BwHome *home, uint64_t now_us,
                      const BwWorkerView *worker, const BwJob *job);
    /* Whether grants of that epoch are the worker's newest. */
    bool (*is_current)(const BwWorkerView *worker, uint64_t epoch);
    /* Whether a key that is not in the table may have been started. */
    bool (*may_have_run)(const BwHome *home, BwJobId id,
                         uint64_t submitted_wall_us);
    /* Sets the epoch of a grant, and may shorten its time. */
    void (*stamp)(const BwHome *home, const BwWorkerView *worker,
                  const BwJob *job, BwGrant *grant);
    /* A new job: may hold it, end it, or add what was started before. */
    void (*adopt)(BwHome *home, uint64_t now_us, BwJob *job);
    /* Tasks of the job find no slot but those of the own host. */
    void (*want_own_host)(BwHome *home, uint64_t now_us, BwJob *job);
    void (*link_lost)(BwHome *home, uint64_t now_us, uint32_t peer);
    /* What was started at the worker is lost. */
    void (*worker_lost)(BwHome *home, uint32_t peer);
    void (*finish)(BwHome *home);
};

/* Of a home without custody. */
extern const BwHomeRights BwHomeRights_Open;

/* ----------------------------------------------------------------- job.c */

#define BW_RETRY_AFTER_MS 1000

/* Returns NULL when memory is short. */
BwHomeService *
BwHome_FindOrAddService(BwHome *home, BwSpan name);

/* Returns the estimate of a class of jobs. */
BwEstimate *
BwHome_FindEstimate(BwHomeService *service, BwSpan job_class);

BwJob *
BwHome_FindJob(BwHome *home, BwJobId id);

/* Keeps a job among those with tasks to be placed, or takes it out. */
void
BwHome_UpdateWaitingList(BwJob *job);

/* The job no longer waits for a further attempt. */
void
BwHome_RemoveFromRetryList(BwHome *home, BwJob *job);

void
BwHome_EndJob(BwHome *home, BwJob *job, BwErrorKind error, const char *detail);

void
BwHome_RemoveJob(BwHome *home, BwJob *job);

/* Frees a job that is in no table any more. */
void
BwHome_FreeJob(BwHome *home, BwJob *job);

/* Whether a task of the job was started, or may have been. */
bool
BwHome_MayHaveRun(const BwHome *home, uint64_t now_us, const BwJob *job);

/* Whether tasks wait that can no longer end by the deadline. */
bool
BwHome_CannotFinish(const BwJob *job, uint64_t now_us);

/* Reports one decision on a job for the log. */
void
BwHome_Decide(BwHome *home, const char *what, const BwJob *job, uint32_t count,
              const char *choice, uint32_t alternatives, const char *reason);

void
BwHome_SendErrorAfter(BwHome *home, BwWaiter waiter, BwErrorKind error,
                      const char *detail, uint32_t retry_after_ms);

/* Sends an error; a passing one says when to come again. */
void
BwHome_SendError(BwHome *home, BwWaiter waiter, BwErrorKind error,
                 const char *detail);

/* Sends what became of an ended job. */
void
BwHome_SendResult(BwHome *home, const BwJob *job, BwWaiter waiter);

BwWorkerView *
BwHome_FindWorker(BwHome *home, uint32_t peer);

/* Returns NULL when memory is short. */
BwWorkerView *
BwHome_FindOrAddWorker(BwHome *home, uint32_t peer);

/* Follows a change of what the worker may be granted. */
void
BwHome_RefreshWorker(BwHome *home, BwWorkerView *worker);

void
BwHome_CountWastedMessages(BwHome *home, BwHomeService *service,
                           uint32_t messages);

/* Returns NULL when the job has none there. */
Reservation *
BwHome_FindReservation(BwJob *job, uint32_t peer);

/* Changes what the job has reserved at a worker; returns the new number. */
int32_t
BwHome_AdjustReservation(BwHome *home, BwJob *job, uint32_t peer,
                         int32_t change);

/* Forgets what the job has reserved at a worker. */
void
BwHome_Unreserve(BwHome *home, BwJob *job, uint32_t peer);

/* Has the worker told to drop what the job reserved there. */
void
BwHome_ReleaseReservation(BwHome *home, BwJob *job, uint32_t peer);

/* Tells the workers that still hold reservations that none is needed. */
void
BwHome_ReleaseAllReservations(BwHome *home, BwJob *job);

/* -------------------------------------------------------------- rounds.c */

void
BwHome_PlaceJob(BwHome *home, uint64_t now_us, BwJob *job);

/* Leaves a second reservation for each task that still waits. */
void
BwHome_HedgeJob(BwHome *home, uint64_t now_us, BwJob *job);

/* Grants up to `room` waiting tasks to one worker in a single message, and
   asks it to keep `reserve` reservations.  Returns how many were granted. */
uint32_t
BwHome_GrantTasks(BwHome *home, BwJob *job, BwWorkerView *worker,
                  uint32_t room, uint32_t reserve, uint32_t pulled);

/* Whether tasks may be granted elsewhere than where they are reserved. */
bool
BwHome_MayMoveTasks(const BwHomeService *service, const BwWorkerGroup *group);

/* ---------------------------------------------------------------- home.c */

/* After changes to jobs or workers other than by their messages. */
void
BwHome_PlaceAll(BwHome *home, uint64_t now_us);

/* What was granted to the worker may have run and has no answer: it is
   retried where that is allowed, or fails its job. */
void
BwHome_ResolveLostTasks(BwHome *home, uint64_t now_us, uint32_t peer);

#endif
