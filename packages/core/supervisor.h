/* supervisor.h -- runs the tasks of one worker within its capacity

   A supervisor is the only process that calls its worker.  The worker starts
   whatever it is told to, so the supervisor keeps account of its resources: a
   start reserves what the task needs, and this is free again only when the
   worker has listed the task as ended or when the worker's lease must have
   run out.

   The worker ends all its tasks unless the supervisor renews its lease in
   time.  Tasks of a dispatcher run while its session lasts.  The supervisor
   sends the renewal requests, and a session that the dispatcher confirms
   lasts from when the request was sent.  A dispatcher without tasks here gets
   requests rarely, so its session lapses; its PLACE renews the session from
   the time, on the supervisor's clock, that the dispatcher put into it.

   An order without an answer may still be carried out later.  An unanswered
   start that no poll confirms is followed by a stop of the same run, which
   the worker remembers, and the task is reported as lost only after that.

   All times are microseconds of the caller's monotonic clock unless their
   names end in _ms: those are on the worker's clock.

   The role of the daemon that supervises a worker owns one BwSupervisor and
   passes it heartbeats, messages, answers and time.
*/

#ifndef BW_SUPERVISOR_H
#define BW_SUPERVISOR_H

#include <uthash.h>

#include "backfill.h"
#include "control.h"
#include "crashreports.h"
#include "driver.h"
#include "jobmemory.h"

#define BW_SUPERVISOR_TASKS_MAX 4096
#define BW_SUPERVISOR_JOB_BYTES 64

typedef enum BwWorkerTaskState {
    BW_WORKER_TASK_QUEUED,   /* waits for resources; not known to the worker */
    BW_WORKER_TASK_STARTING, /* a start was sent, and is not confirmed */
    BW_WORKER_TASK_RUNNING,
    /* May still run or start: its resources stay reserved.  After a restart
       of the worker, all tasks are in this state until it is cleared. */
    BW_WORKER_TASK_STOPPING,
} BwWorkerTaskState;

/* The spec that the tasks of one PLACE share, with a reference count. */
typedef struct BwSpecText {
    uint32_t references;
    uint32_t spec_bytes;
    char route[BW_NAME_BYTES_MAX]; /* that their job came by */
    char spec[];
} BwSpecText;

/* Identifies a task on the worker. */
typedef struct BwWorkerTaskKey {
    char job[BW_SUPERVISOR_JOB_BYTES];
    uint32_t step;
    uint32_t index;
} BwWorkerTaskKey;

/* A task that is queued for the worker or may be on it. */
typedef struct BwWorkerTask {
    BwWorkerTaskKey key;
    BwWorkerTaskState state;
    /* Connection of its dispatcher; 0: the connection has ended. */
    uint32_t peer;
    uint64_t ref; /* BwPlace.ref */
    BwSpecText *text;
    BwResources resources;
    uint32_t priority;
    /* The platform's run number; the worker refuses a start whose run number
       is not higher than the last. */
    uint32_t run;
    uint32_t percent; /* progress, as last listed */
    /* Last progress, or the confirmation; 0: not confirmed. */
    uint64_t last_progress_us;
    uint32_t start_attempts;
    uint64_t number; /* number of all orders for this task; never reused */
    uint64_t expected_us;
    uint64_t due_us;
    uint64_t wait_until_us; /* declined if still queued by then */
    /* When it was first expected to fit, if it has had the reservation of
       backfill.h; 0: it has not. */
    uint64_t reserved_us;
    uint64_t deadline_us;
    uint64_t started_us;
    /* When its start was found to have no answer; 0: it has one. */
    uint64_t unanswered_us;
    /* When its start was answered or its answer timed out; 0: not yet. */
    uint64_t start_settled_us;
    uint64_t stopped_us; /* when its stop was acknowledged; 0: not yet */
    uint64_t listed_us;  /* when the last poll that listed it was sent */
    /* End of the lease that its start carries; the worker refuses the start
       later. */
    uint64_t lease_end_ms;
    uint32_t outcome; /* BwOutcomeKind to report at the end; 0: none */
    uint32_t reason;
    bool is_confirmed; /* the worker has listed it or accepted its start */
    bool is_stop_in_flight;
    /* While a crash is reported: the worker that has started again runs it. */
    bool is_on_next_life;
    bool is_exclusive; /* runs only while no other job is on the worker */
    struct BwWorkerTask *prev, *next; /* in the queue */
    UT_hash_handle hh;                /* by key */
    UT_hash_handle by_number;
} BwWorkerTask;

/* Connection of a dispatcher, and its session. */
typedef struct BwSupervisorPeer {
    uint32_t peer;
    uint64_t valid_until_us; /* end of the session */
    uint64_t last_renewal_us;
    uint64_t next_renewal_us; /* the latest that was announced to it */
    uint64_t placed_us;       /* arrival of the last PLACE */
    uint64_t place_seen;      /* number of the last PLACE */
    uint32_t live_task_count;
    uint32_t reported_level; /* load level that was last sent to it */
    bool reported_clear;     /* BwWorkerState.is_clear as last sent to it */
    UT_hash_handle hh;
} BwSupervisorPeer;

typedef struct BwSupervisorPort {
    void (*send)(void *ctx, uint32_t peer, const BwMessage *message);
    /* Calls to the worker.  Each passes its answer to the matching On function
       below, never from inside the call.  If one returns false, it was not
       made and gets no answer. */
    bool (*start)(void *ctx, uint64_t number, const BwTaskOrder *order);
    bool (*stop)(void *ctx, uint64_t number, const BwTaskOrder *order);
    bool (*poll)(void *ctx, uint64_t number, const BwPollOrder *order);
    /* Logs an event of `count` tasks of one step, of which `task` is the
       first. */
    void (*log)(void *ctx, const char *event, const BwWorkerTask *task,
                uint32_t count, const char *reason);
    /* Logs an event of the worker's process, on which `count` tasks are. */
    void (*log_worker)(void *ctx, const char *event, uint32_t count,
                       const char *reason);
} BwSupervisorPort;

typedef struct BwSupervisorLimits {
    uint64_t session_us;
    uint64_t lease_us; /* of the worker, from one renewal */
    /* The worker grants no longer lease, however late the end that an order
       names. */
    uint64_t lease_max_us;
    uint64_t stop_us; /* the worker ends a stopped task within this time */
    /* Longest time that a poll waits for the end of a task. */
    uint64_t poll_wait_us;
    /* An answer is overdue after this time, which for a poll is added to the
       time that it waits. */
    uint64_t answer_us;
    BwBackfillPolicy backfill;
} BwSupervisorLimits;

typedef struct BwSupervisorCounters {
    uint64_t started;
    uint64_t done;
    uint64_t failed;
    uint64_t lost;
    uint64_t stopped;
    uint64_t declined;
    uint64_t unanswered;
    uint64_t stalled;
    uint64_t reserved;  /* tasks that got a reservation */
    uint64_t overtaken; /* starts of tasks that overtook one */
    uint64_t polls;
    uint64_t crashes;
    uint64_t heartbeats_ignored; /* of lives that are not at the address */
    uint64_t downs; /* how often its address began to refuse connections */
} BwSupervisorCounters;

/* The last heartbeat of another life than the one in use, with its texts. */
typedef struct BwAnnouncement {
    uint64_t received_us; /* 0: none */
    BwWorkerHeartbeat heartbeat;
    char instance[BW_NAME_BYTES_MAX];
    char service[BW_NAME_BYTES_MAX];
    char domain[BW_NAME_BYTES_MAX];
    char labels[BW_LABELS_MAX][BW_NAME_BYTES_MAX];
} BwAnnouncement;

typedef enum BwWorkerPhase {
    BW_WORKER_NONE, /* no heartbeat yet, or another worker answered */
    /* Tasks of an earlier supervisor, or of before the worker's restart, are
       being stopped. */
    BW_WORKER_CLEARING,
    BW_WORKER_READY,
} BwWorkerPhase;

typedef struct BwSupervisor {
    const BwSupervisorPort *port;
    void *ctx;
    BwSupervisorLimits limits;
    BwSupervisorCounters counters;

    BwWorkerPhase phase;
    char instance[BW_NAME_BYTES_MAX];
    uint64_t born_ms; /* when the instance started; 0: not told */
    /* Name and start of the instance, which no other one shares. */
    char life[BW_NAME_BYTES_MAX];
    /* The instance that was replaced; its heartbeats are ignored. */
    char previous_instance[BW_NAME_BYTES_MAX];
    uint64_t previous_born_ms;
    char service[BW_NAME_BYTES_MAX];
    char domain[BW_NAME_BYTES_MAX];
    char labels[BW_LABELS_MAX][BW_NAME_BYTES_MAX];
    uint32_t label_count;
    BwResources capacity;
    BwResources used;
    bool is_worker_leaving;
    bool is_leaving;
    bool is_evacuated;           /* its failure domain is: no task starts */
    uint64_t evacuation_version; /* that told so; 0: none did */
    uint64_t heartbeat_us;       /* when the last heartbeat came */
    /* The worker is known from a recalled heartbeat and has not answered
       yet. */
    bool is_recalled;
    uint64_t heartbeat_sequence;
    BwAnnouncement announced;
    /* The instance whose heartbeat was last found not to be the worker's. */
    char ignored_instance[BW_NAME_BYTES_MAX];
    /* The worker has started again and has sent no heartbeat since. */
    bool is_undescribed;

    uint64_t clock_ms; /* clock of the worker at clock_read_us */
    uint64_t clock_read_us;
    /* No task runs on the worker after it; 0: no lease. */
    uint64_t lease_end_us;
    /* It is over, but for tasks that a later life may have started. */
    bool is_lease_over;
    uint64_t fence;
    uint64_t fence_step; /* by which it was last raised; 0: it was accepted */
    uint64_t last_end;   /* number of the last end that was processed */
    uint64_t poll_number;
    uint64_t poll_sent_us;
    uint32_t polls_in_flight;
    uint64_t first_poll; /* number of the first poll of this instance */
    uint64_t first_order_number; /* number of its first start or stop */
    uint64_t down_since_us;      /* its address refuses connections; 0: no */
    uint64_t answer_due_us; /* an answer is overdue from then on; 0: none is */
    uint64_t last_answer_due_us; /* of the polls in flight, the one due last */
    /* Polls overlap until then, since an answer was lost. */
    uint64_t lossy_until_us;

    uint64_t next_number;
    BwWorkerTask *tasks_by_key;    /* hash by key */
    BwWorkerTask *tasks_by_number; /* hash by number */
    BwWorkerTask *queue;           /* list in order of priority and due time */
    BwSupervisorPeer *peers;
    uint32_t queued_count;
    uint32_t queued_urgent;   /* of priority 0 */
    uint32_t exclusive_count; /* exclusive tasks, queued or on it */
    BwCrashReports crash_reports;
    BwJobMemory cancelled;     /* jobs that no task is started of any more */
    BwOutcomes outcomes;       /* of this instance */
    uint64_t last_progress_us; /* a poll last showed progress or a task done */
    /* Length of the last quarantine; 0 after a probation that ended well. */
    uint64_t quarantine_us;
    uint64_t quarantine_until_us;
    uint32_t tasks_without_peer; /* tasks whose dispatcher has disconnected */
    bool was_usable;             /* as last sent to the dispatchers */
} BwSupervisor;

/* Copies `limits`; `port` and `ctx` must outlive the supervisor. */
void
BwSupervisor_Init(BwSupervisor *supervisor, const BwSupervisorLimits *limits,
                  const BwSupervisorPort *port, void *ctx);

/* Frees what the supervisor owns, and sends and calls nothing. */
void
BwSupervisor_Finish(BwSupervisor *supervisor);

/* Processes a heartbeat of the worker, or its message that it ends.  One of
   another life than the one in use may be of another writer: that life is used
   only when an answer has shown that the one in use is not at the address.  A
   recalled heartbeat is used only before the first one of the worker, and only
   once the worker has answered as that instance.  Returns whether it is of the
   worker in use. */
bool
BwSupervisor_OnHeartbeat(BwSupervisor *supervisor, uint64_t now_us,
                         const BwWorkerHeartbeat *heartbeat);

/* The connection of a dispatcher opened or ended.  Its tasks are stopped in
   the latter case. */
void
BwSupervisor_PeerUp(BwSupervisor *supervisor, uint64_t now_us, uint32_t peer);

void
BwSupervisor_PeerDown(BwSupervisor *supervisor, uint64_t now_us,
                      uint32_t peer);

/* Processes a PLACE, STOP, SESSION, EVACUATE or JOB_CANCEL of a dispatcher;
   other messages and those of unknown peers are ignored. */
void
BwSupervisor_OnMessage(BwSupervisor *supervisor, uint64_t now_us,
                       uint32_t peer, const BwMessage *message);

/* The worker answered the start or stop with that number, or did not answer
   it in time (BW_WORKER_NO_ANSWER). */
void
BwSupervisor_OnStarted(BwSupervisor *supervisor, uint64_t now_us,
                       uint64_t number, const BwWorkerAnswer *answer);

void
BwSupervisor_OnStopped(BwSupervisor *supervisor, uint64_t now_us,
                       uint64_t number, const BwWorkerAnswer *answer);

/* The same for a poll; `sent_us` is when it was sent.  An incomplete answer
   counts as none. */
void
BwSupervisor_OnPolled(BwSupervisor *supervisor, uint64_t now_us,
                      uint64_t number, uint64_t sent_us,
                      const BwWorkerAnswer *answer);

/* Renews sessions and the lease, starts what is queued and ends what is
   overdue. */
void
BwSupervisor_Tick(BwSupervisor *supervisor, uint64_t now_us);

/* Declines queued and further tasks; those on the worker continue. */
void
BwSupervisor_Leave(BwSupervisor *supervisor, uint64_t now_us);

/* Whether no task is queued or on the worker. */
bool
BwSupervisor_IsIdle(const BwSupervisor *supervisor);

#endif
