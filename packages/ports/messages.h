/* messages.h -- the messages that processes of the system exchange

   Every message is a plain struct.  The wire adapter describes each one by a
   table of fields and carries it as a msgpack array inside a TCP frame, so a
   new message is a struct here and a table there.

   Spans point into memory that the builder of the message owns: a receiver
   copies what it keeps beyond the call.  Processes of different builds
   exchange these messages; docs/design/upgrade.md tells how a message may
   change.  Fields named *_wall_us are
   microseconds since the Unix epoch.  Other *_us fields are durations, or
   times on the monotonic clock of the process that the comment names.
*/

#ifndef BW_MESSAGES_H
#define BW_MESSAGES_H

#include <stddef.h>
#include <stdint.h>

/* Versions of the layouts of messages: the newest and the oldest that this
   build speaks. */
#define BW_WIRE_VERSION 5
#define BW_WIRE_VERSION_MIN 3
#define BW_NAME_BYTES_MAX 64
#define BW_JOB_TASKS_MAX 1700
#define BW_FRAME_BYTES_MAX (32u * 1024 * 1024)
#define BW_LIST_ITEMS_MAX 65536

typedef struct BwSpan {
    const char *base;
    uint32_t size_bytes;
} BwSpan;

/* 128-bit hash of member and submission key: identifies a job between
   processes. */
typedef struct BwJobId {
    uint64_t high;
    uint64_t low;
} BwJobId;

typedef enum BwMessageKind {
    BW_MSG_HELLO = 1,
    BW_MSG_SUBMIT,
    BW_MSG_RESULT,
    BW_MSG_WITHDRAW,
    BW_MSG_CANCEL,
    BW_MSG_GRANT,
    BW_MSG_DECLINE,
    BW_MSG_PULL,
    BW_MSG_DONE,
    BW_MSG_RELEASE,
    BW_MSG_LOAD,
    BW_MSG_LEASE_REQUEST,
    BW_MSG_LEASE_GRANT,
    BW_MSG_FENCE,
    BW_MSG_FENCE_ANSWER,
    BW_MSG_RECOVER_REQUEST,
    BW_MSG_CUSTODY,
    BW_MSG_LOCAL_RUN_NOTICE,
    BW_MSG_HAND_OVER,
    BW_MSG_HAND_OVER_END,
    BW_MSG_CONFIG_REQUEST,
    BW_MSG_CONFIG_STATE,
    BW_MSG_RING_STATE,
    BW_MSG_WORKER,
    BW_MSG_PLACE,
    BW_MSG_STOP,
    BW_MSG_OUTCOME,
    BW_MSG_SESSION,
    BW_MSG_CRASH,
    BW_MSG_DISPATCHER_LIST,
    BW_MSG_EVACUATIONS,
    BW_MSG_EVACUATE,
    BW_MSG_JOB_CANCEL,
    BW_MSG_JOB_CANCEL_ANSWER,
    BW_MSG_COUNT
} BwMessageKind;

typedef enum BwRole {
    BW_ROLE_ENTRY = 1,
    BW_ROLE_AGENT = 2,
    BW_ROLE_CONFIG_CLIENT = 3, /* fetches the configuration, and disconnects */
    BW_ROLE_DISPATCHER = 4,
    BW_ROLE_SUPERVISOR = 5,
} BwRole;

/* First message on each connection, from the side that opened it, and the
   other side's answer to it.  clock_us is the sender's monotonic clock.  Its
   layout is the same in all wire versions but for fields at its end. */
typedef struct BwHello {
    /* Offered by the side that opened the connection, and in the answer the
       one in which both speak from then on; see wireversion.h. */
    uint32_t wire_version;
    uint32_t role;
    BwSpan name;
    uint64_t incarnation;
    BwSpan region;
    BwSpan domain;
    uint64_t clock_us;
    uint64_t ring_version;
    BwSpan http_host;
    uint32_t http_port;
    /* Optional: the newest version that the sender speaks, and its build.
       Builds of wire version 4 and below do not send them. */
    uint32_t wire_version_max;
    BwSpan build;
} BwHello;

typedef struct BwTask {
    uint32_t index;
    uint64_t declared_us; /* run time that the caller declared */
    uint64_t size_bytes;
    BwSpan body;
} BwTask;

#define BW_SUBMIT_IDEMPOTENT 1u /* its tasks may be sent twice */
#define BW_SUBMIT_ATTACH 2u     /* only attach to a job that exists */
#define BW_SUBMIT_NO_WAIT 4u    /* answer at once, even if it still runs */

/* Entry to home.  request_id is the entry's, unique on its connection. */
typedef struct BwSubmit {
    uint64_t request_id;
    BwSpan member;
    BwSpan team;
    BwSpan key;
    BwSpan service;
    BwSpan job_class;
    BwSpan path;
    uint64_t deadline_wall_us;
    uint64_t submitted_wall_us; /* of the first submission; 0: not given */
    uint64_t ring_version;
    uint32_t flags;
    BwTask *tasks;
    uint32_t task_count;
} BwSubmit;

typedef struct BwAnswer {
    uint32_t status;
    BwSpan body;
} BwAnswer;

/* Home to entry: the answers of all tasks, or an error and no answers. */
typedef struct BwResult {
    uint64_t request_id;
    uint32_t error;      /* BwErrorKind */
    uint32_t is_running; /* accepted and not yet ended; has no answers */
    BwSpan detail;
    BwSpan owner; /* with BW_ERR_NOT_OWNER, the owner or empty */
    uint32_t retry_after_ms;
    BwAnswer *answers;
    uint32_t answer_count;
} BwResult;

/* Entry to home: the caller of request_id no longer waits. */
typedef struct BwWithdraw {
    uint64_t request_id;
} BwWithdraw;

typedef struct BwCancel {
    uint64_t request_id;
    BwSpan member;
    BwSpan key;
} BwCancel;

/* `attempt` is above 0 only for a task that may be sent again. */
typedef struct BwGrantedTask {
    uint32_t index;
    uint32_t attempt;
    uint64_t declared_us;
    BwSpan body;
} BwGrantedTask;

/* Home to executor: start these tasks now if slots are free, and keep
   reservations for `reserve` further ones.  not_after_us and deadline_us are
   on the executor's monotonic clock.  `pulled` is how many slots of an earlier
   PULL this grant answers.  Reservations are ordered by priority, weight and
   expected run time, which come along so that an executor needs no
   configuration for it. */
typedef struct BwGrant {
    BwJobId job;
    /* Number of the last fence that the custodian sent to the executor. */
    uint64_t fence_number;
    uint64_t holder; /* incarnation of the custodian */
    uint64_t not_after_us;
    uint64_t deadline_us;
    BwSpan member;
    BwSpan team;
    BwSpan service;
    BwSpan job_class;
    BwSpan path;
    uint32_t reserve;
    uint32_t pulled;
    uint32_t priority;
    uint32_t weight;
    uint64_t expected_us; /* run time of a task, 0 when unknown */
    BwGrantedTask *tasks;
    uint32_t task_count;
} BwGrant;

/* Number of reservations of one priority that wait at an executor. */
typedef struct BwQueueCount {
    uint32_t slots;
} BwQueueCount;

typedef enum BwDeclineReason {
    BW_DECLINE_BUSY = 1,
    BW_DECLINE_LATE,
    BW_DECLINE_STALE_FENCE,
    BW_DECLINE_LEAVING,
    BW_DECLINE_NO_SERVICE,
    BW_DECLINE_NO_SESSION,
    BW_DECLINE_DUPLICATE,
    BW_DECLINE_UNSUITED,  /* label, spread or capacity */
    BW_DECLINE_REFUSED,   /* by the worker */
    BW_DECLINE_EVACUATED, /* the failure domain is */
    BW_DECLINE_CANCELLED, /* the job is */
} BwDeclineReason;

typedef struct BwTaskIndex {
    uint32_t index;
} BwTaskIndex;

/* Executor to home: these granted tasks have not been started and never will
   be under that grant.  `reserved` of them are kept as reservations. */
typedef struct BwDecline {
    BwJobId job;
    uint64_t fence_number;
    uint32_t reason;
    uint32_t reserved;
    uint32_t free_slots;
    BwTaskIndex *tasks;
    uint32_t task_count;
    BwQueueCount *queued; /* by priority */
    uint32_t queued_count;
} BwDecline;

/* Executor to home: `slots` slots are held free for this job. */
typedef struct BwPull {
    BwJobId job;
    uint32_t slots;
} BwPull;

typedef struct BwDoneTask {
    uint32_t index;
    uint32_t attempt;
    uint32_t error; /* BwErrorKind */
    uint32_t status;
    uint64_t ran_us;
    BwSpan body;
} BwDoneTask;

/* Executor to home: tasks that have ended, and a PULL of `pull` slots for the
   same job. */
typedef struct BwDone {
    BwJobId job;
    uint64_t fence_number;
    uint32_t pull;
    uint32_t free_slots;
    /* Outcomes of all tasks at the executor, as in BwOutcomes: `ended`,
       `failed_permille` and `pace_permille`. */
    uint64_t ended;
    uint32_t failed_permille;
    uint32_t pace_permille;
    BwDoneTask *tasks;
    uint32_t task_count;
    BwQueueCount *queued; /* by priority */
    uint32_t queued_count;
} BwDone;

/* Home to executor: drop reservations of these jobs, `slots` of each.  A
   number is given instead of dropping all, since a declined grant may leave
   further reservations while this message is on its way. */
typedef struct BwReleasedJob {
    BwJobId job;
    uint32_t slots;
} BwReleasedJob;

typedef struct BwRelease {
    BwReleasedJob *jobs;
    uint32_t job_count;
} BwRelease;

/* Agent to its peers, on each change and as a heartbeat. */
typedef struct BwLoad {
    BwSpan service; /* empty: no backend server has registered */
    uint32_t slots;
    uint32_t free_slots;
    uint32_t leaving;
    uint64_t clock_us;
    /* Outcomes of all tasks at the executor, as in BwOutcomes: `ended`,
       `failed_permille` and `pace_permille`. */
    uint64_t ended;
    uint32_t failed_permille;
    uint32_t pace_permille;
    BwQueueCount *queued; /* by priority */
    uint32_t queued_count;
    /* It is the first on its connection; messages sent over an earlier
       connection may be lost. */
    uint32_t is_first;
    uint64_t revision; /* of the configuration in force */
} BwLoad;

typedef struct BwName {
    BwSpan name;
} BwName;

typedef enum BwLeaseRequestKind {
    BW_LEASE_RENEW = 0,
    BW_LEASE_STOP, /* planned stop: the guardian takes the arcs over now */
    /* The custodian is about to change its guardian: drop its lease. */
    BW_LEASE_MOVE,
} BwLeaseRequestKind;

/* Custodian to its guardian: requests a lease during which it may grant starts
   for `arcs`.  requested_us is on the custodian's clock and comes back in the
   answer. */
typedef struct BwLeaseRequest {
    uint64_t incarnation;
    uint64_t requested_us;
    uint64_t ring_version;
    uint32_t kind;
    /* This incarnation has held its own arc, and has its job table. */
    uint32_t has_job_table;
    uint64_t term; /* of the last lease that the custodian applied */
    /* The list of jobs that it runs on its local host is complete. */
    uint32_t has_all_local_runs;
    BwName *arcs;
    uint32_t arc_count;
    BwName *past_arcs; /* arcs of others that it has ever held */
    uint32_t past_arc_count;
    BwJobId *local_runs;
    uint32_t local_run_count;
} BwLeaseRequest;

/* What a guardian knows of the custody of the arc before this lease. */
typedef enum BwPriorCustody {
    BW_PRIOR_CUSTODY_UNKNOWN = 0,
    BW_PRIOR_CUSTODY_CONTINUED, /* no other held it; the job table is valid */
    /* All previous custody has ended; the grant lists the jobs that the
       previous holder ran on its local host. */
    BW_PRIOR_CUSTODY_ENDED,
} BwPriorCustody;

/* Guardian to custodian: the lease.  `ring_version` is the guardian's, and the
   custodian uses executors only up to that version of the ring. */
typedef struct BwLeaseGrant {
    uint64_t requested_us;
    uint32_t kind;     /* of the request */
    uint64_t lease_us; /* 0 in the answer to STOP and MOVE */
    uint64_t ring_version;
    uint64_t term; /* a new one if another process held the arc since */
    uint32_t prior_custody;
    /* The guardian has recorded every local run in the request. */
    uint32_t are_runs_recorded;
    uint32_t has_all_local_runs; /* the list of such jobs is complete */
    BwJobId *local_runs;
    uint32_t local_run_count;
} BwLeaseGrant;

/* Custodian to executor: for the keys of `arcs`, accept only grants with this
   holder and fence number, and answer with what was started. */
typedef struct BwFence {
    uint64_t holder; /* incarnation */
    uint64_t number;
    uint64_t ring_version;
    /* Guardian of the holder; empty when the holder is its own guardian. */
    BwSpan guardian;
    BwName *arcs;
    uint32_t arc_count;
} BwFence;

typedef struct BwFencedTask {
    uint32_t index;
    uint32_t attempt;
    uint32_t is_ended;
} BwFencedTask;

typedef struct BwFencedJob {
    BwJobId job;
    uint64_t expires_in_us;
    BwFencedTask *tasks;
    uint32_t task_count;
} BwFencedJob;

typedef enum BwFenceRefusal {
    BW_FENCE_ACCEPTED = 0,
    BW_FENCE_RING_BEHIND, /* the executor's ring is older: repeat it later */
    BW_FENCE_OUTDATED,    /* a fence with a higher number is in force */
} BwFenceRefusal;

/* A ledger that the sender has inherited: the whole ledger of process `name`,
   which handed it over at its planned stop. */
typedef struct BwInheritedLedger {
    BwSpan name;
    uint64_t incarnation;
    uint64_t complete_for_us;
} BwInheritedLedger;

/* Executor to custodian: what was started for the keys of the arcs.  The
   ledger has all starts of the last `complete_for_us`, and all starts ever if
   that is UINT64_MAX.  `previous` is the incarnation of the same name before
   this one, 0 for none. */
typedef struct BwFenceAnswer {
    uint64_t number;
    uint32_t refusal;
    uint64_t known_fence_number; /* of the fence in force, when OUTDATED */
    uint64_t ring_version;
    uint64_t complete_for_us;
    uint64_t incarnation;
    uint64_t previous;
    BwInheritedLedger *inherited_ledgers;
    uint32_t inherited_ledger_count;
    BwFencedJob *jobs;
    uint32_t job_count;
} BwFenceAnswer;

/* Custodian to executor: send the custodian a DONE for each task of the job
   that has ended, now and later. */
typedef struct BwRecoverRequest {
    BwJobId job;
} BwRecoverRequest;

/* Custodian to every process: `owner` is the custodian of this arc. */
typedef struct BwCustodyNotice {
    BwSpan arc;
    BwSpan owner;
} BwCustodyNotice;

/* Custodian to guardian: the custodian is about to run tasks of this job on
   its local host.  The guardian's acknowledgement is the same message. */
typedef struct BwLocalRunNotice {
    BwJobId job;
    uint64_t expires_in_us;
    uint32_t is_ack;
    uint32_t is_refused;
} BwLocalRunNotice;

typedef struct BwHandedTask {
    uint32_t index;
    uint32_t error; /* BwErrorKind */
    uint32_t status;
    BwSpan body;
} BwHandedTask;

/* Stopping executor to its guardian: a ledger entry, which the guardian keeps
   and includes in its fence answers. */
typedef struct BwHandOver {
    BwJobId job;
    uint64_t expires_in_us;
    BwHandedTask *tasks;
    uint32_t task_count;
} BwHandOver;

/* Follows the last BwHandOver: the ledger is complete, and includes the ones
   that the sender kept for others.  The guardian sends the message back as an
   acknowledgement. */
typedef struct BwHandOverEnd {
    uint64_t incarnation;
    uint64_t complete_for_us;
    uint32_t entry_count;
    uint32_t is_ack;
    BwInheritedLedger *inherited_ledgers;
    uint32_t inherited_ledger_count;
} BwHandOverEnd;

/* Configuration client to agent, or dispatcher to dispatcher: requests the
   configuration in force. */
typedef struct BwConfigRequest {
    uint64_t revision;   /* that the sender has; 0: none */
    uint32_t wants_ring; /* send a BwRingState before the configuration */
} BwConfigRequest;

typedef struct BwRingAgent {
    BwSpan name;
    BwSpan domain;
    BwSpan host;
    uint32_t port;
    uint64_t incarnation;
} BwRingAgent;

/* The agents of the region, for an entry that starts in a log outage. */
typedef struct BwRingState {
    uint64_t version;
    BwRingAgent *agents;
    uint32_t agent_count;
} BwRingState;

/* The configuration in force and its place in the log, see BwRevision_Adopt.
   `set_at` and `as_of` are offsets of the log.  Between dispatchers a message
   without `text` announces the revision. */
typedef struct BwConfigState {
    uint64_t revision;
    uint64_t set_at;
    uint64_t as_of;
    BwSpan publish_id;
    BwSpan text;
} BwConfigState;

/* Resources that a task needs or that a worker has. */
typedef struct BwResources {
    uint64_t cpu_milli; /* thousandths of a core */
    uint64_t mem_mb;
    uint64_t gpu;
} BwResources;

/* Load report of a supervisor on its worker.  It includes the receiver's PLACE
   messages up to number `place_seen`. */
typedef struct BwWorkerLoad {
    uint64_t place_seen;
    BwResources free;
    uint32_t queued;        /* tasks that wait for resources */
    uint32_t queued_urgent; /* those of priority 0 among them */
    uint64_t release_in_us; /* expected time until the next task ends */
    /* Ratio of actual to expected run time if it is far above 1000, else 1000;
       at its maximum while the worker is in quarantine. */
    uint32_t slow_permille;
    uint64_t ended; /* number of tasks done or failed */
    uint32_t failed_permille;
} BwWorkerLoad;

/* Supervisor to dispatcher: the state of its worker, when they connect and on
   each change. */
typedef struct BwWorkerState {
    BwSpan instance; /* its life; empty: no heartbeat of a worker yet */
    BwSpan service;
    BwSpan domain;
    BwResources capacity;
    uint32_t is_leaving;
    uint32_t is_clear; /* no task of the receiver is left there */
    uint32_t is_evacuated;
    uint64_t evacuation_version; /* that it was told of; 0: none */
    BwName *labels;
    uint32_t label_count;
    BwWorkerLoad *load; /* array of 0 or 1 items */
    uint32_t load_count;
} BwWorkerState;

/* Dispatcher to dispatcher: the failure domains that are evacuated, by the
   newest state of the store's log that the sender knows. */
typedef struct BwEvacuationList {
    uint64_t version; /* as in BwEvacuations */
    BwName *domains;
    uint32_t domain_count;
} BwEvacuationList;

/* Dispatcher to supervisor: whether its failure domain is evacuated.  A lower
   version than it knows is ignored. */
typedef struct BwEvacuate {
    uint64_t version;
    uint32_t is_evacuated;
} BwEvacuate;

/* Dispatcher to supervisor: run these tasks of one step as resources become
   free.  Times are durations from the arrival, except requested_us. */
typedef struct BwPlace {
    uint64_t number; /* of this PLACE on its connection, from 1 */
    uint64_t ref;    /* the dispatcher's number of the job */
    BwSpan job;
    BwSpan spec;
    BwSpan service;
    BwSpan route;          /* that the job came by */
    BwSpan requirement;    /* label that the worker must have, or empty */
    BwResources resources; /* that each task needs */
    uint32_t step;
    uint32_t priority;
    /* Most tasks of the step that may be on the worker; 0: no limit. */
    uint32_t spread_max;
    /* They run only while no task of another job is on the worker. */
    uint32_t is_exclusive;
    /* The supervisor's clock when the PLACE was sent, or an earlier time: the
       session is renewed from this time on; 0: it is not renewed. */
    uint64_t requested_us;
    uint64_t wait_us; /* decline a task that is still queued after this time */
    uint64_t expected_us;
    /* Until the latency objective of the job; sets the queue order. */
    uint64_t due_in_us;
    uint64_t deadline_in_us;
    BwTaskIndex *tasks;
    uint32_t task_count;
} BwPlace;

/* Dispatcher to supervisor: end all tasks of the job. */
typedef struct BwStop {
    uint64_t ref;
} BwStop;

typedef enum BwOutcomeKind {
    BW_OUTCOME_DONE = 1,
    BW_OUTCOME_FAILED,
    BW_OUTCOME_LOST,    /* it may have run, and no longer does */
    BW_OUTCOME_NOT_RUN, /* see `reason` */
    BW_OUTCOME_CRASHED, /* lost, since the worker crashed */
} BwOutcomeKind;

typedef struct BwTaskOutcome {
    uint32_t index;
    uint32_t kind;   /* BwOutcomeKind */
    uint32_t reason; /* BwDeclineReason */
    uint64_t ran_us;
} BwTaskOutcome;

/* Supervisor to dispatcher: outcomes of tasks of one step. */
typedef struct BwOutcome {
    uint64_t ref;
    uint32_t step;
    BwTaskOutcome *tasks;
    uint32_t task_count;
    BwWorkerLoad *load; /* array of 0 or 1 items */
    uint32_t load_count;
} BwOutcome;

/* Session renewal: supervisor to dispatcher, which sends it back with the same
   requested_us.  The supervisor then runs the dispatcher's tasks for
   BwLimits.session_ms from requested_us, which is on the supervisor's clock.
   Both may stay silent for next_us, unless something changes before. */
typedef struct BwSession {
    uint64_t requested_us;
    uint64_t next_us; /* time until the next renewal request */
    /* Array of 1 item to the dispatcher, of 0 items in its answer. */
    BwWorkerLoad *load;
    uint32_t load_count;
} BwSession;

/* A task that ran on a worker when it crashed. */
typedef struct BwCrashedTask {
    BwSpan job;
    BwSpan route;
    uint32_t step;
    uint32_t index;
} BwCrashedTask;

/* How many tasks of a route the worker usually has. */
typedef struct BwUsualRoute {
    BwSpan route;
    uint64_t tasks_milli; /* mean over the last seconds, in thousandths */
} BwUsualRoute;

#define BW_CRASHED_TASKS_MAX 64
#define BW_USUAL_ROUTES_MAX 16

/* Supervisor to every dispatcher: its worker crashed age_us ago, with these
   tasks and `unlisted` further ones.  A crash is reported once as soon as it
   shows, and again to a dispatcher that connects within the next seconds. */
typedef struct BwCrash {
    BwSpan instance;
    BwSpan service;
    uint64_t age_us;
    uint32_t is_withdrawn; /* it was reported before, and was none */
    uint32_t is_exclusive; /* it ran one job, which was placed exclusively */
    uint32_t unlisted;
    BwCrashedTask *tasks;
    uint32_t task_count;
    BwUsualRoute *usual;
    uint32_t usual_count;
} BwCrash;

/* Dispatcher to dispatcher: cancel the job if it is yours, and answer with the
   same number; with the number 0: the job has been cancelled.  Dispatcher to
   supervisor: end the job's tasks and decline further ones. */
typedef struct BwJobCancel {
    uint64_t number;
    BwSpan queue; /* name of its route */
    BwSpan name;
} BwJobCancel;

typedef struct BwJobCancelAnswer {
    uint64_t number;
    uint32_t is_cancelled; /* 0: the sender does not know the job */
} BwJobCancelAnswer;

/* Address of a dispatcher that the sender is connected to. */
typedef struct BwDispatcherAddress {
    BwSpan name;
    BwSpan host;
    uint32_t port;
} BwDispatcherAddress;

typedef struct BwDispatcherList {
    BwDispatcherAddress *dispatchers;
    uint32_t dispatcher_count;
} BwDispatcherList;

typedef struct BwMessage {
    BwMessageKind kind;
    union {
        BwHello hello;
        BwSubmit submit;
        BwResult result;
        BwWithdraw withdraw;
        BwCancel cancel;
        BwGrant grant;
        BwDecline decline;
        BwPull pull;
        BwDone done;
        BwRelease release;
        BwLoad load;
        BwLeaseRequest lease_request;
        BwLeaseGrant lease_grant;
        BwFence fence;
        BwFenceAnswer fence_answer;
        BwRecoverRequest recover_request;
        BwCustodyNotice custody;
        BwLocalRunNotice local_run_notice;
        BwHandOver hand_over;
        BwHandOverEnd hand_over_end;
        BwConfigRequest config_request;
        BwConfigState config_state;
        BwRingState ring_state;
        BwWorkerState worker;
        BwPlace place;
        BwStop stop;
        BwOutcome outcome;
        BwSession session;
        BwCrash crash;
        BwDispatcherList dispatcher_list;
        BwEvacuationList evacuations;
        BwEvacuate evacuate;
        BwJobCancel job_cancel;
        BwJobCancelAnswer job_cancel_answer;
    } u;
} BwMessage;

#endif
