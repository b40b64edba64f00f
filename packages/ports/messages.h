/* messages.h -- the messages that processes of the system exchange

   Every message is a plain struct.  The wire adapter describes each one by a
   table of fields and carries it as a msgpack array inside a TCP frame, so a
   new message is a struct here and a table there.

   Spans point into memory of whoever built the message: a receiver copies
   what it keeps beyond the call.  Times named *_wall_us are microseconds of
   the Unix epoch; other *_us times are on the monotonic clock of the process
   that the field's comment names.
*/

#ifndef BW_MESSAGES_H
#define BW_MESSAGES_H

#include <stddef.h>
#include <stdint.h>

#define BW_WIRE_VERSION 2
#define BW_NAME_BYTES_MAX 64
#define BW_JOB_TASKS_MAX 1700
#define BW_FRAME_BYTES_MAX (32u * 1024 * 1024)
#define BW_LIST_ITEMS_MAX 65536

typedef struct BwSpan {
    const char *base;
    uint32_t size_bytes;
} BwSpan;

/* 128-bit hash of member and submission key: names a job between processes */
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
    BW_MSG_LEASE_ASK,
    BW_MSG_LEASE_GRANT,
    BW_MSG_FENCE,
    BW_MSG_FENCE_ANSWER,
    BW_MSG_RECOVER_ASK,
    BW_MSG_CUSTODY,
    BW_MSG_OWN_NOTE,
    BW_MSG_HAND_OVER,
    BW_MSG_HAND_OVER_END,
    BW_MSG_CONFIG_ASK,
    BW_MSG_CONFIG_STATE,
    BW_MSG_RING_STATE,
    BW_MSG_WORKER,
    BW_MSG_PLACE,
    BW_MSG_STOP,
    BW_MSG_OUTCOME,
    BW_MSG_SESSION,
    BW_MSG_MEMBERS,
    BW_MSG_COUNT
} BwMessageKind;

typedef enum BwRole {
    BW_ROLE_ENTRY = 1,
    BW_ROLE_AGENT = 2,
    BW_ROLE_NEWCOMER = 3, /* asks for the configuration, and leaves */
    BW_ROLE_DISPATCHER = 4,
    BW_ROLE_SUPERVISOR = 5,
} BwRole;

/* First message on each connection, from the side that opened it, and the
   other side's answer.  clock_us is the sender's monotonic clock. */
typedef struct BwHello {
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
} BwHello;

typedef struct BwTask {
    uint32_t index;
    uint64_t declared_us;
    uint64_t size_bytes;
    BwSpan body;
} BwTask;

#define BW_SUBMIT_IDEMPOTENT 1u /* the backend server may see it twice */
#define BW_SUBMIT_ATTACH 2u     /* ask for a job, never start one */
#define BW_SUBMIT_NO_WAIT 4u    /* answer at once, ended or running */

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
    uint64_t submitted_wall_us; /* the first time, repeated; 0: not said */
    uint64_t ring_version;
    uint32_t flags;
    BwTask *tasks;
    uint32_t task_count;
} BwSubmit;

typedef struct BwAnswer {
    uint32_t status;
    BwSpan body;
} BwAnswer;

/* Home to entry: the whole answer, or an error and no answers. */
typedef struct BwResult {
    uint64_t request_id;
    uint32_t error;      /* BwErrorKind */
    uint32_t is_running; /* accepted and not ended; no answers yet */
    BwSpan detail;
    BwSpan owner; /* with BW_ERR_NOT_OWNER, who is, or empty */
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

/* `attempt` is above 0 only for a request that may be repeated. */
typedef struct BwGrantedTask {
    uint32_t index;
    uint32_t attempt;
    uint64_t declared_us;
    BwSpan body;
} BwGrantedTask;

/* Home to executor: start these tasks now if slots are free, and keep a
   reservation for `reserve` further ones.  not_after_us and deadline_us are
   on the executor's monotonic clock.  `pulled` says how many slots of an
   earlier PULL this grant answers.  Priority, weight and expected run time
   order the reservations, so an executor needs no configuration for it. */
typedef struct BwGrant {
    BwJobId job;
    uint64_t epoch;  /* number of the custodian's last fence there */
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

/* Reservations that wait at an executor, of one priority. */
typedef struct BwQueueCount {
    uint32_t slots;
} BwQueueCount;

typedef enum BwDeclineReason {
    BW_DECLINE_BUSY = 1,
    BW_DECLINE_LATE,
    BW_DECLINE_STALE_EPOCH,
    BW_DECLINE_LEAVING,
    BW_DECLINE_NO_SERVICE,
    BW_DECLINE_NO_SESSION,
    BW_DECLINE_DUPLICATE,
    BW_DECLINE_UNSUITED, /* label, spread or capacity */
    BW_DECLINE_REFUSED,  /* by the worker */
} BwDeclineReason;

typedef struct BwTaskIndex {
    uint32_t index;
} BwTaskIndex;

/* Executor to home: these granted tasks were not started and never will be
   under that grant.  `reserved` of them are kept as reservations. */
typedef struct BwDecline {
    BwJobId job;
    uint64_t epoch;
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

/* Executor to home: tasks that ended, and a PULL for the same job. */
typedef struct BwDone {
    BwJobId job;
    uint64_t epoch;
    uint32_t pull;
    uint32_t free_slots;
    uint64_t ended; /* outcomes of all tasks there, as in BwOutcomes */
    uint32_t failed_permille;
    uint32_t pace_permille;
    BwDoneTask *tasks;
    uint32_t task_count;
    BwQueueCount *queued; /* by priority */
    uint32_t queued_count;
} BwDone;

/* Home to executor: drop so many reservations of these jobs.  A number, since
   a declined grant may leave further ones while this is on its way. */
typedef struct BwReleasedJob {
    BwJobId job;
    uint32_t slots;
} BwReleasedJob;

typedef struct BwRelease {
    BwReleasedJob *jobs;
    uint32_t job_count;
} BwRelease;

/* Agent to its peers, on change and as a heartbeat. */
typedef struct BwLoad {
    BwSpan service; /* empty: no backend server has announced itself */
    uint32_t slots;
    uint32_t free_slots;
    uint32_t leaving;
    uint64_t clock_us;
    uint64_t ended; /* outcomes of all tasks there, as in BwOutcomes */
    uint32_t failed_permille;
    uint32_t pace_permille;
    BwQueueCount *queued; /* by priority */
    uint32_t queued_count;
    uint32_t is_first; /* on its connection: earlier messages may be lost */
    uint64_t revision; /* in force */
} BwLoad;

typedef struct BwName {
    BwSpan name;
} BwName;

typedef enum BwLeaseAskKind {
    BW_LEASE_RENEW = 0,
    BW_LEASE_STOP, /* a planned stop: take the arcs over now */
    BW_LEASE_MOVE, /* I am about to ask another guardian: forget me */
} BwLeaseAskKind;

/* Custodian to its guardian: let me grant starts for `arcs` for another term.
   asked_us is on the custodian's clock and comes back in the answer. */
typedef struct BwLeaseAsk {
    uint64_t incarnation;
    uint64_t asked_us;
    uint64_t ring_version;
    uint32_t kind;
    uint32_t has_table; /* held its arc before, in this incarnation */
    uint64_t term;      /* of the last lease that was applied */
    uint32_t has_notes; /* `notes` is all that it runs on its own host */
    BwName *arcs;
    uint32_t arc_count;
    BwName *past; /* arcs of others that it has ever held */
    uint32_t past_count;
    BwJobId *notes;
    uint32_t note_count;
} BwLeaseAsk;

/* What a guardian knows of the arc before this lease. */
typedef enum BwStanding {
    BW_STANDING_UNKNOWN = 0,
    BW_STANDING_CONTINUED, /* nobody else held it; the job table stands */
    BW_STANDING_ENDED,     /* all former custody has ended; `notes` says which
                              keys its former holder ran on its own host */
} BwStanding;

/* Guardian to custodian.  `ring_version` is the guardian's: the custodian
   engages executors of no later one. */
typedef struct BwLeaseGrant {
    uint64_t asked_us;
    uint32_t kind;     /* of the ask */
    uint64_t lease_us; /* 0 in the answer to STOP and MOVE */
    uint64_t ring_version;
    uint64_t term; /* changes when the arc was held by another */
    uint32_t standing;
    uint32_t is_noted;  /* the guardian has the asker's whole list */
    uint32_t has_notes; /* `notes` is whole */
    BwJobId *notes;
    uint32_t note_count;
} BwLeaseGrant;

/* Custodian to executor: for the keys of `arcs`, take grants with this holder
   and number only, and say what was started. */
typedef struct BwFence {
    uint64_t holder; /* incarnation */
    uint64_t number;
    uint64_t ring_version;
    BwSpan guardian; /* of the holder; empty when it guards itself */
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
    BW_FENCE_TAKEN = 0,
    BW_FENCE_BEHIND,   /* the executor's ring is older; ask again */
    BW_FENCE_OUTDATED, /* a higher number is in force */
} BwFenceRefusal;

/* The whole ledger of a process that made a planned stop is kept here. */
typedef struct BwCover {
    BwSpan name;
    uint64_t incarnation;
    uint64_t reach_us;
} BwCover;

/* Executor to custodian: what was started for the keys of the arcs.  The
   ledger reaches back `reach_us`, UINT64_MAX for always; `previous` is the
   incarnation of the same name before this one, 0 for none. */
typedef struct BwFenceAnswer {
    uint64_t number;
    uint32_t refusal;
    uint64_t known_number; /* of the fence in force, when OUTDATED */
    uint64_t ring_version;
    uint64_t reach_us;
    uint64_t incarnation;
    uint64_t previous;
    BwCover *covers;
    uint32_t cover_count;
    BwFencedJob *jobs;
    uint32_t job_count;
} BwFenceAnswer;

/* Custodian to executor: send a DONE for each ended task of the job, to me
   now and for later ones. */
typedef struct BwRecoverAsk {
    BwJobId job;
} BwRecoverAsk;

/* Custodian to every process: I hold this arc. */
typedef struct BwCustodyNotice {
    BwSpan arc;
    BwSpan owner;
} BwCustodyNotice;

/* Custodian to guardian: I am about to run tasks of this job on my own host;
   and the guardian's acknowledgement. */
typedef struct BwOwnNote {
    BwJobId job;
    uint64_t expires_in_us;
    uint32_t is_ack;
    uint32_t is_refused;
} BwOwnNote;

typedef struct BwHandedTask {
    uint32_t index;
    uint32_t error; /* BwErrorKind */
    uint32_t status;
    BwSpan body;
} BwHandedTask;

/* A stopping executor to its guardian: a ledger entry to keep and to answer
   for. */
typedef struct BwHandOver {
    BwJobId job;
    uint64_t expires_in_us;
    BwHandedTask *tasks;
    uint32_t task_count;
} BwHandOver;

/* After the last BwHandOver: that was the whole ledger, and the ledgers of
   `covers` were in it.  The guardian sends it back. */
typedef struct BwHandOverEnd {
    uint64_t incarnation;
    uint64_t reach_us;
    uint32_t entry_count;
    uint32_t is_ack;
    BwCover *covers;
    uint32_t cover_count;
} BwHandOverEnd;

/* Newcomer to agent, dispatcher to dispatcher: send the configuration in
   force. */
typedef struct BwConfigAsk {
    uint64_t revision;   /* that it has; 0 for none */
    uint32_t wants_ring; /* answer with a BwRingState first */
} BwConfigAsk;

typedef struct BwRingMember {
    BwSpan name;
    BwSpan domain;
    BwSpan host;
    uint32_t port;
    uint64_t incarnation;
} BwRingMember;

/* The agents of the region, for an entry that starts in a log outage. */
typedef struct BwRingState {
    uint64_t version;
    BwRingMember *members;
    uint32_t member_count;
} BwRingState;

/* The state of a reader of the log, see BwRevision_Adopt.  Between dispatchers
   one without text announces its revision. */
typedef struct BwConfigState {
    uint64_t revision;
    uint64_t set_at;
    uint64_t as_of;
    BwSpan publish_id;
    BwSpan text;
} BwConfigState;

/* What a task takes, and what a worker has. */
typedef struct BwRoom {
    uint64_t cpu_milli; /* thousandths of a core */
    uint64_t mem_mb;
    uint64_t gpu;
} BwRoom;

/* A supervisor's account of its worker, after PLACE number `place_seen` of
   the receiver. */
typedef struct BwWorkerLoad {
    uint64_t place_seen;
    BwRoom free;
    uint32_t queued;        /* tasks that wait there */
    uint32_t queued_urgent; /* of them of priority 0 */
    uint64_t release_us;    /* until one of those that run ends, on average */
    uint32_t slow_permille; /* run time against the expected one if it is far
                               above, else 1000 */
    uint64_t ended;         /* tasks, done or failed */
    uint32_t failed_permille;
} BwWorkerLoad;

/* Supervisor to dispatcher, on each connection and on change. */
typedef struct BwWorkerState {
    BwSpan instance; /* empty: no worker has announced itself */
    BwSpan service;
    BwSpan domain;
    BwRoom capacity;
    uint32_t is_leaving;
    uint32_t is_clear; /* no task of the receiver is left there */
    BwName *labels;
    uint32_t label_count;
    BwWorkerLoad *load; /* one */
    uint32_t load_count;
} BwWorkerState;

/* Dispatcher to supervisor: run these tasks of one step as room comes free.
   Times are durations from the arrival; the supervisor stores deadlines. */
typedef struct BwPlace {
    uint64_t number; /* of this PLACE on its connection, from 1 */
    uint64_t ref;    /* the dispatcher's name of the job */
    BwSpan job;
    BwSpan spec;
    BwSpan service;
    BwSpan requirement; /* a label, or empty */
    BwRoom room;        /* of each task */
    uint32_t step;
    uint32_t priority;
    uint32_t spread_max; /* tasks of the step there; 0: no bound */
    uint64_t asked_us;   /* the supervisor's clock now, or a little before: the
                            session is renewed from then; 0: it is not */
    uint64_t wait_us;    /* decline what finds no room for so long */
    uint64_t expected_us;
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
    BW_OUTCOME_LOST,    /* it may have run, and is gone */
    BW_OUTCOME_NOT_RUN, /* see BwDeclineReason */
} BwOutcomeKind;

typedef struct BwTaskOutcome {
    uint32_t index;
    uint32_t kind;   /* BwOutcomeKind */
    uint32_t reason; /* BwDeclineReason */
    uint64_t ran_us;
} BwTaskOutcome;

/* Supervisor to dispatcher, on tasks of one step. */
typedef struct BwOutcome {
    uint64_t ref;
    uint32_t step;
    BwTaskOutcome *tasks;
    uint32_t task_count;
    BwWorkerLoad *load; /* one */
    uint32_t load_count;
} BwOutcome;

/* Supervisor to dispatcher, and back with the same asked_us: the supervisor
   runs the dispatcher's tasks for BwLimits.session_ms from asked_us, which is
   on the supervisor's clock.  Until it asks next, unless something changes,
   both may stay silent. */
typedef struct BwSession {
    uint64_t asked_us;
    uint64_t next_us;   /* until then */
    BwWorkerLoad *load; /* one, towards the dispatcher */
    uint32_t load_count;
} BwSession;

/* Dispatchers that the sender is connected to. */
typedef struct BwMember {
    BwSpan name;
    BwSpan host;
    uint32_t port;
} BwMember;

typedef struct BwMembers {
    BwMember *members;
    uint32_t member_count;
} BwMembers;

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
        BwLeaseAsk lease_ask;
        BwLeaseGrant lease_grant;
        BwFence fence;
        BwFenceAnswer fence_answer;
        BwRecoverAsk recover_ask;
        BwCustodyNotice custody;
        BwOwnNote own_note;
        BwHandOver hand_over;
        BwHandOverEnd hand_over_end;
        BwConfigAsk config_ask;
        BwConfigState config_state;
        BwRingState ring_state;
        BwWorkerState worker;
        BwPlace place;
        BwStop stop;
        BwOutcome outcome;
        BwSession session;
        BwMembers members;
    } u;
} BwMessage;

#endif
