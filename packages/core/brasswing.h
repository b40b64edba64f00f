/* brasswing.h -- public interface of the core library

   The core library holds the state machines that decide what the dispatcher
   does.  It performs no I/O: it opens no socket, reads no clock and starts no
   thread.  Each state machine is a struct that the caller allocates, that an
   _Init function initializes and that a _Finish function releases.  Functions
   take the current time as `now_us` (microseconds of a monotonic clock);
   arguments named now_wall_us are microseconds of the wall clock.  A state
   machine sends messages and answers through a port, a table of callbacks that
   the caller supplies; each callback gets the caller's `ctx`.

   Functions that can fail return a BwErrorKind, BW_OK on success.
   BwError_Describe returns the remedy of each kind.

   Sections:
     Errors      kinds, their HTTP status and their remedy
     Spans       byte ranges that do not own their memory
     Ring        which agent is the home of a job
     Revision    which configuration text is in force
     Decisions   what is logged of each decision
     Policy      in policy.h: workers, placement, order, selection
     Control     in control.h: estimates, health, retries, admission
     Home        jobs of one agent: admission, placement, grants, answers
     Recovery    how a home takes jobs over from another agent
     Custody     in custody.h: which arcs this agent may grant starts for
     Executor    tasks of one backend server: slots, start ledger,
                 reservations
*/

#ifndef BRASSWING_H
#define BRASSWING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.h"
#include "messages.h"
#include "policy.h"

#define BW_KEY_BYTES_MAX 256
#define BW_SLOTS_MAX 1024

/* ---------------------------------------------------------------- Errors */

typedef enum BwErrorKind {
    BW_OK = 0,
    BW_ERR_BAD_REQUEST,
    BW_ERR_TOO_LARGE,
    BW_ERR_UNKNOWN_SERVICE,
    BW_ERR_UNKNOWN_JOB,
    BW_ERR_DEADLINE_PASSED,
    BW_ERR_KEY_REUSED,
    BW_ERR_NOT_OWNER,
    BW_ERR_OVERLOADED,
    BW_ERR_NO_BACKEND,
    BW_ERR_CANNOT_RUN,
    BW_ERR_LEAVING,
    BW_ERR_NO_MEMORY,
    BW_ERR_CANCELLED,
    BW_ERR_CANCELLED_RUNNING,
    BW_ERR_TIMED_OUT,
    BW_ERR_TIMED_OUT_RUNNING,
    BW_ERR_TASK_FAILED,
    BW_ERR_EXECUTOR_LOST,
    BW_ERR_HOME_LOST,
    BW_ERR_UNSUPPORTED_TYPE,
    BW_ERR_UNAUTHENTICATED,
    BW_ERR_FORBIDDEN,
    BW_ERR_NO_SUCH_PATH,
    BW_ERR_BACKEND_LOST,
    BW_ERR_COUNT
} BwErrorKind;

/* What a caller may conclude about its tasks from an error. */
typedef enum BwCertainty {
    BW_NOT_RUN,     /* no task was started, and none will be */
    BW_MAY_HAVE_RUN /* at least one task was, or may have been, started */
} BwCertainty;

typedef struct BwErrorInfo {
    const char *name; /* machine-readable, stable */
    int http_status;  /* status of the answer to the caller */
    BwCertainty certainty;
    const char *remedy; /* what the caller can do about it */
} BwErrorInfo;

/* Returns the description of `kind`, never NULL.  An unknown kind, for example
   from a newer peer, is described as BW_MAY_HAVE_RUN. */
const BwErrorInfo *
BwError_Describe(uint32_t kind);

/* ----------------------------------------------------------------- Spans */

/* Returns a span over the bytes of a C string. */
BwSpan
BwSpan_FromString(const char *text);

bool
BwSpan_Equal(BwSpan a, BwSpan b);

/* Copies a span into `buffer` as a C string, truncated to `size_bytes` - 1
   bytes. */
void
BwSpan_ToString(BwSpan span, char *buffer, size_t size_bytes);

/* ------------------------------------------------------------------ Ring */

/* Returns the id of the job that `member` submitted under `key`. */
BwJobId
BwJobId_Make(BwSpan member, BwSpan key);

bool
BwJobId_Equal(BwJobId a, BwJobId b);

#define BW_RING_POINTS_PER_AGENT 64

typedef struct BwAgent {
    char name[BW_NAME_BYTES_MAX];
    char domain[BW_NAME_BYTES_MAX];
    char host[BW_NAME_BYTES_MAX];
    uint16_t port;
    uint64_t incarnation;
    uint64_t joined_version; /* ring version that added this incarnation */
} BwAgent;

typedef struct BwRingPoint {
    uint64_t position;
    uint32_t agent;
} BwRingPoint;

/* The agents of one region at one version.  `agents` is sorted by name.
   `guardian_order` is a circular list of their indices in which each agent is
   followed by its guardian, where possible from another failure domain. */
typedef struct BwRing {
    uint64_t version;
    uint64_t removed_version;        /* version of the last removal; 0: none */
    uint64_t removed_joined_version; /* newest joined_version ever removed */
    BwAgent *agents;
    uint32_t agent_count;
    uint32_t agent_capacity;
    BwRingPoint *points;
    uint32_t *guardian_order;
} BwRing;

void
BwRing_Init(BwRing *ring);

void
BwRing_Finish(BwRing *ring);

/* Adds `agent`, or replaces the agent of the same name, and sets the version.
   An agent whose joined_version is 0 gets `version`.  The agent is copied.
   Returns BW_ERR_NO_MEMORY and leaves the ring unchanged when an allocation
   fails.  The points are stale until BwRing_Build is called. */
BwErrorKind
BwRing_Put(BwRing *ring, const BwAgent *agent, uint64_t version);

/* Removes the agent named `name` and sets the version; an unknown name only
   sets the version.  The points are stale until BwRing_Build is called. */
void
BwRing_Remove(BwRing *ring, BwSpan name, uint64_t version);

/* Computes the points and the guardian order after a series of changes.
   Returns BW_ERR_NO_MEMORY when an allocation fails. */
BwErrorKind
BwRing_Build(BwRing *ring);

/* Returns the index of the agent whose arc holds `job`, or -1 when the ring
   is empty. */
int32_t
BwRing_Find(const BwRing *ring, BwJobId job);

/* Returns the index of the guardian of the agent with index `agent`: the next
   one in the guardian order.  Returns `agent` in a ring of one. */
uint32_t
BwRing_Guardian(const BwRing *ring, uint32_t agent);

/* Returns the index of the agent named `name`, or -1 when it is not in the
   ring. */
int32_t
BwRing_IndexOf(const BwRing *ring, BwSpan name);

/* -------------------------------------------------------------- Revision */

/* A reader of the configuration log, and the revision in force as far as it
   knows.  A reader is synced while it has applied every record before
   next_offset without a gap: from the first record ever written, or from the
   state of another synced reader, received in a renewal record or from a
   peer.  Only a synced reader can tell which of two texts with the same base
   was accepted. */
typedef struct BwRevision {
    uint64_t number;       /* 0: no text was ever accepted */
    uint64_t offset;       /* of the record that set `number` */
    uint64_t next_offset;  /* of the next record to apply */
    uint64_t start_offset; /* the reader has missed no record since this one */
    uint64_t newest_as_of; /* greatest as_of of a renewal; 0: none */
    bool is_synced;
    char publish_id[BW_NAME_BYTES_MAX];
} BwRevision;

/* One record of the log.  `number`, `as_of` and `set_at` are set in renewals
   only. */
typedef struct BwRevisionRecord {
    uint64_t offset;
    uint64_t base;   /* revision in force when the author wrote the text */
    uint64_t number; /* the revision that the renewal repeats */
    uint64_t as_of;  /* next_offset of the renewal's author */
    uint64_t set_at; /* offset of the record that set `number` */
    BwSpan publish_id;
    bool is_valid;   /* the text passed every check */
    bool is_renewal; /* the text in force, appended again */
} BwRevisionRecord;

typedef enum BwRevisionVerdict {
    BW_REVISION_ACCEPTED,
    BW_REVISION_REPEATED, /* already applied; the number is unchanged */
    BW_REVISION_INVALID,
    BW_REVISION_CONFLICT,  /* based on a revision no longer in force */
    BW_REVISION_UNDECIDED, /* the reader is not synced, or cannot use it */
    BW_REVISION_NONE,      /* the record holds no configuration text */
} BwRevisionVerdict;

/* Initializes a reader that starts at the first record ever written to the
   log; it is synced at once. */
void
BwRevision_Init(BwRevision *revision);

/* Initializes a reader that starts at `first` without knowing the records
   before it.  It becomes synced by a renewal whose as_of is not before
   `first`. */
void
BwRevision_InitUnsynced(BwRevision *revision, uint64_t first);

/* Tells the reader that the log has dropped the records before `first`.  A
   reader that has not applied all of them is no longer synced; it keeps its
   revision and goes on at `first`. */
void
BwRevision_OnTruncated(BwRevision *revision, uint64_t first);

/* Applies one record.  On BW_REVISION_ACCEPTED the caller puts the record's
   text in force; on any other verdict the number is unchanged.  When the call
   leaves next_offset at or before the record's offset, the caller reads on
   from next_offset. */
BwRevisionVerdict
BwRevision_Apply(BwRevision *revision, const BwRevisionRecord *record);

/* Advances a synced reader past the record at `offset`, which is not a
   configuration record. */
void
BwRevision_Skip(BwRevision *revision, uint64_t offset);

/* Takes over the state of a synced reader, such as a renewal that a peer has
   sent.  A synced reader ignores a state that is not newer than its own.
   Returns true when the caller must put the text of `state` in force. */
bool
BwRevision_Adopt(BwRevision *revision, const BwRevisionRecord *state);

/* When a record must be appended again, so that the log's retention does not
   drop the last copy. */
typedef struct BwRenewal {
    uint64_t offset; /* the log must keep its records from this one on */
    uint64_t renew_at_us;
} BwRenewal;

/* A renewal is due after this many records, so that a process that starts
   reads only about as many. */
#define BW_RENEWAL_RECORDS 64

/* Returns true when the record must be appended again: renew_at_us has
   passed, or renewal->offset lies in the older half of the records
   [first, next) of a log that has already dropped some. */
bool
BwRenewal_IsDue(const BwRenewal *renewal, uint64_t now_us, uint64_t first,
                uint64_t next);

/* ------------------------------------------------------------- Decisions */

/* One routing or placement decision, for the log line that each one gets. */
typedef struct BwDecision {
    const char *what; /* event, such as "place", "refuse", "decline" */
    BwJobId job;
    /* Empty where only the id is known; for a decision on a worker, its
       service. */
    BwSpan key;
    uint32_t count;
    const char *choice;
    uint32_t alternatives;
    const char *reason;
} BwDecision;

/* ------------------------------------------------------------------ Home */

typedef struct BwJob BwJob;

/* A request that waits for the result of a job: the connection of its entry
   and the id of the request on it. */
typedef struct BwWaiter {
    uint32_t peer;
    uint64_t request_id;
} BwWaiter;

#define BW_ARCS_MAX 64

/* An arc of which the home has the custody. */
typedef struct BwHomeArc {
    char name[BW_NAME_BYTES_MAX];
    /* Number of the newest event after which every executor must answer a
       fence: the gain of the arc, the end of the first round of a contested
       arc, or the removal of an agent. */
    uint64_t gain_number;
    /* Another agent may hold the arc, until every executor has answered
       once. */
    bool is_contested;
    bool is_complete; /* every executor has listed its starts */
    /* All that agent `name` ran on its local host is known. */
    bool has_all_local_runs;
    /* When all former custody had ended: tasks of keys that were submitted
       later were not started before; 0: unknown. */
    uint64_t former_custody_ended_wall_us;
    /* Tasks of keys that were submitted before this time may have been started
       at an executor that cannot be asked; 0: all starts are known. */
    uint64_t starts_unknown_until_wall_us;
} BwHomeArc;

typedef struct BwOrphan BwOrphan;

#define BW_INHERITED_LEDGERS_MAX 256

/* A stopped process whose whole ledger another executor keeps. */
typedef struct BwHomeInheritedLedger {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    /* The ledger holds every start since then. */
    uint64_t complete_since_wall_us;
} BwHomeInheritedLedger;

/* Callbacks that send messages, answer waiters and log decisions. */
typedef struct BwHomePort {
    void (*fence)(void *ctx, uint32_t peer, const BwFence *fence);
    void (*recover)(void *ctx, uint32_t peer, const BwRecoverRequest *request);
    /* Asks the guardian to record that the job will run on this host;
       BwHome_OnLocalRunAck brings the answer. */
    void (*record_local_run)(void *ctx, BwJobId job, uint64_t expires_in_us);
    void (*grant)(void *ctx, uint32_t peer, const BwGrant *grant);
    void (*release)(void *ctx, uint32_t peer, const BwRelease *release);
    void (*result)(void *ctx, BwWaiter waiter, const BwResult *result);
    void (*log_decision)(void *ctx, const BwDecision *decision);
} BwHomePort;

typedef struct BwHomeLimits {
    uint32_t jobs_max;
    uint64_t bytes_max;   /* of jobs, their bodies and answers */
    uint64_t lifetime_us; /* longest time from submission to deadline */
    uint64_t keep_us;     /* an answer is kept this long past the deadline */
    uint64_t grant_valid_us; /* executors decline older grants */
    uint64_t skew_us;        /* greatest difference of two wall clocks */
    /* A held job fails when executors have not answered after this time. */
    uint64_t hold_timeout_us;
} BwHomeLimits;

typedef struct BwHomeCounters {
    uint64_t jobs_submitted;
    uint64_t jobs_attached;
    uint64_t jobs_complete;
    uint64_t jobs_failed;
    uint64_t jobs_refused;
    uint64_t tasks_granted;
    uint64_t tasks_declined;
    uint64_t tasks_done;
    uint64_t answers_late;
    uint64_t pulls_empty;
    uint64_t retries;
    uint64_t ejections;
    uint64_t messages_wasted; /* led to no start, answer or change of state */
    uint64_t jobs_recovered;
    uint64_t jobs_in_doubt;
    uint64_t fences_sent;
} BwHomeCounters;

/* Checks a submission with a new key.  Returns BW_OK, or the error to refuse
   it with and a `detail` that stays valid until the next call. */
typedef BwErrorKind (*BwHomeCheck)(void *ctx, const BwSubmit *submit,
                                   const char **detail);

/* Classes beyond this number share the estimate of the whole service. */
#define BW_CLASSES_MAX 16

typedef struct BwClassEstimate {
    char name[BW_NAME_BYTES_MAX];
    BwEstimate run_times;
} BwClassEstimate;

/* Unfinished tasks of a team that has a limit. */
typedef struct BwTeamUsage {
    char member[BW_NAME_BYTES_MAX];
    char team[BW_NAME_BYTES_MAX];
    uint64_t tasks;
} BwTeamUsage;

/* The state of one service at a home. */
typedef struct BwHomeService {
    char name[BW_NAME_BYTES_MAX];
    const BwServicePolicy *policy; /* from the home's policy, or defaults */
    BwPlacementState placement;
    /* The budget of wasted messages grows with the tasks granted. */
    uint64_t tasks;         /* granted so far */
    uint64_t wasted;        /* messages wasted so far */
    uint64_t pending_waste; /* messages that present reservations may waste */
    BwRetryBudget retries;
    BwEstimate run_times; /* run times of all classes */
    BwClassEstimate classes[BW_CLASSES_MAX];
    uint32_t class_count;
    uint64_t waiting_tasks[BW_PRIORITIES];
    BwAdmittedWork admitted; /* by this home */
    bool has_unreserved; /* a job may have waiting tasks without reservation */
    BwTeamUsage *teams;
    uint32_t team_count;
    /* Jobs with tasks to be placed, by priority, first come first served. */
    BwJob *waiting[BW_PRIORITIES];
    BwJob *waiting_last[BW_PRIORITIES];
} BwHomeService;

typedef struct BwCustodyHooks BwCustodyHooks;

typedef struct BwHome {
    BwHomeLimits limits;
    const BwCustodyHooks *custody_hooks; /* in job.h */
    const BwHomePort *port;
    void *port_ctx;
    BwHomeCheck check; /* set after BwHome_Init; NULL for none */
    BwPolicy policy;
    BwHomeService **services;
    uint32_t service_count;
    /* Workers to which a release must be sent. */
    BwWorkerList workers_to_release;
    BwJob *retry_list; /* jobs that wait for a further attempt */
    BwRandom random;
    uint64_t seed;
    uint64_t now_us; /* of the current call */
    /* Fence number of the grants of a home without a ring; always 1. */
    uint64_t fence_number;
    BwWorkers workers;
    BwJob *jobs; /* hash by id */
    uint32_t job_count;
    uint64_t bytes;
    const BwRing *ring; /* NULL: owns every key, without lease and fences */
    uint64_t ring_version;
    uint64_t removed_version;
    uint64_t holder; /* incarnation of this process */
    uint64_t lease_until_us;
    /* Executors that joined in a later ring version get no grants. */
    uint64_t lease_ring_version;
    char guardian[BW_NAME_BYTES_MAX];
    BwHomeArc *arcs;
    uint32_t arc_count;
    uint64_t last_gain_number; /* the greatest BwHomeArc.gain_number */
    BwHomeInheritedLedger *inherited_ledgers;
    uint32_t inherited_ledger_count;
    /* Hash by job: tasks started under a former custodian of keys that were
       not submitted here yet. */
    BwOrphan *orphans;
    uint32_t orphan_count;
    BwHomeCounters counters;
} BwHome;

/* Initializes a home without jobs and without custody.  `limits` is copied;
   `port` and `port_ctx` must outlive the home.  `seed` is for the random
   choices of placement and back-off. */
void
BwHome_Init(BwHome *home, const BwHomeLimits *limits, const BwHomePort *port,
            void *port_ctx, uint64_t seed);

/* Replaces the policy by that of the operators' configuration.  The home owns
   it from now on and finishes it. */
void
BwHome_SetPolicy(BwHome *home, BwPolicy *policy);

/* Frees every job without an answer to its waiters. */
void
BwHome_Finish(BwHome *home);

/* Accepts a job, or attaches the waiter to the job of the same member and key.
   Answers through port->result, from inside this call when the job is refused
   or has ended already.  `now_wall_us` serves to convert the caller's deadline
   to the monotonic clock.  The submission is copied. */
void
BwHome_Submit(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
              BwWaiter waiter, const BwSubmit *submit);

/* Cancels a job for its caller: tasks not yet granted will never start. */
void
BwHome_Cancel(BwHome *home, uint64_t now_us, BwWaiter waiter,
              const BwCancel *cancel);

/* Removes one waiter, or with request_id 0 all those of its connection.  The
   jobs go on. */
void
BwHome_RemoveWaiter(BwHome *home, BwWaiter waiter);

/* Applies an agent's report on its backend server.  `name` is copied. */
void
BwHome_OnLoad(BwHome *home, uint64_t now_us, uint32_t peer, BwSpan name,
              bool is_self, const BwLoad *load);

/* Whether a worker with slots of the service is known to be up. */
bool
BwHome_HasWorker(const BwHome *home, BwSpan service);

/* Call it when the worker's process is proved gone: its running tasks are
   lost.  A job with one of them fails, unless the task may be retried. */
void
BwHome_WorkerLost(BwHome *home, uint64_t now_us, uint32_t peer);

/* Applies the results of ended tasks, and a pull of slots that comes with
   them. */
void
BwHome_OnDone(BwHome *home, uint64_t now_us, uint32_t peer,
              const BwDone *done);

/* Makes the declined tasks wait again, adjusts the reservations of the job,
   and places its tasks. */
void
BwHome_OnDecline(BwHome *home, uint64_t now_us, uint32_t peer,
                 const BwDecline *decline);

/* Answers a pull: grants waiting tasks of the job to the slots that the
   executor holds, and frees the slots that are not needed. */
void
BwHome_OnPull(BwHome *home, uint64_t now_us, uint32_t peer,
              const BwPull *pull);

/* Ends jobs that passed their deadline or can no longer meet it, hedges jobs,
   evaluates the workers, and drops answers that were kept long enough. */
void
BwHome_Tick(BwHome *home, uint64_t now_us);

/* Sends one release to each worker that holds reservations which are no longer
   needed, and starts retries that are due.  Call it often: both wait for this
   call. */
void
BwHome_Flush(BwHome *home, uint64_t now_us);

/* Returns the number of jobs that have not ended. */
uint32_t
BwHome_CountUnfinished(const BwHome *home);

/* -------------------------------------------------------------- Recovery */

/* Custody of an arc that this home gains, and what its guardian knows of the
   arc's prior custody.  A local run is a job that a custodian has run, or may
   have run, on its local host; its guardian keeps a record of it, because the
   executor of that host cannot be asked once the host is gone. */
typedef struct BwGain {
    BwSpan arc;
    BwPriorCustody prior_custody;
    /* `local_runs` has every local run of the arc's agent. */
    bool has_all_local_runs;
    const BwJobId *local_runs;
    uint32_t local_run_count;
} BwGain;

/* Sets the ring, which must stay valid until the next call, and the
   incarnation of this process, which its fences and grants carry as `holder`.
   From the first call on the home grants starts only while its lease lasts,
   only for keys of its arcs, and only to executors that have accepted its
   fence.  When the ring has lost an agent, the home fences every executor
   again and holds its jobs with waiting tasks until the arcs are complete. */
void
BwHome_SetRing(BwHome *home, uint64_t now_us, const BwRing *ring,
               uint64_t holder);

/* Returns whether this home may accept the job: it holds the key's arc and its
   lease has not ended. */
bool
BwHome_Owns(const BwHome *home, uint64_t now_us, BwJobId id);

/* Records that the executor of agent `name` is reached over connection `peer`.
   The name is copied. */
void
BwHome_AddWorker(BwHome *home, uint32_t peer, BwSpan name, bool is_self);

/* Messages to or from the executor may have been lost: the home begins a new
   fence round with it. */
void
BwHome_LinkLost(BwHome *home, uint64_t now_us, uint32_t peer);

/* Another agent has taken over the arc of agent `name`, which does not
   respond: its executor gets no new task until it reports its load. */
void
BwHome_MarkWorkerDown(BwHome *home, BwSpan name);

/* Extends the lease to `until_us`.  `guardian` granted it; it is empty when
   this agent is its own guardian.  Executors that a ring version later than
   `lease_ring_version` has added get no tasks, since the guardian does not
   know them yet. */
void
BwHome_SetLease(BwHome *home, uint64_t now_us, uint64_t until_us,
                uint64_t lease_ring_version, BwSpan guardian);

/* Takes custody of an arc and begins a fence round with every executor.
   Returns BW_ERR_NO_MEMORY when an allocation fails. */
BwErrorKind
BwHome_GainArc(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
               const BwGain *gain);

/* Gives up custody of an arc and forgets its jobs.  Their waiters get
   BW_ERR_NOT_OWNER with `owner`, or with the arc's agent when `owner` is
   empty. */
void
BwHome_DropArc(BwHome *home, BwSpan arc, BwSpan owner);

/* Handles an executor's answer to a fence: merges the starts that it lists,
   returns granted tasks that it does not list to the waiting ones, and
   places tasks. */
void
BwHome_OnFenceAnswer(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
                     uint32_t peer, const BwFenceAnswer *answer);

/* Handles the guardian's answer to a local-run notice.  Tasks of the job may
   be started on the local host once the guardian has accepted it. */
void
BwHome_OnLocalRunAck(BwHome *home, uint64_t now_us, BwJobId job,
                     bool is_accepted);

/* Writes the home's local runs, and possibly other jobs, to `jobs`, which has
   room for `capacity` ids, and their number to `count`.  Returns false when
   the home does not know all of them or `capacity` is too small. */
bool
BwHome_ListLocalRuns(const BwHome *home, BwJobId *jobs, uint32_t capacity,
                     uint32_t *count);

/* Sends the fences that are due, completes arcs, fails jobs that were held
   longer than hold_timeout_us, and drops expired orphans. */
void
BwHome_RecoveryTick(BwHome *home, uint64_t now_us, uint64_t now_wall_us);

/* -------------------------------------------------------------- Executor */

/* A task to be sent to the backend server. */
typedef struct BwStart {
    BwJobId job;
    uint32_t index;
    uint64_t deadline_us;
    BwSpan path;
    BwSpan body;
} BwStart;

/* Callbacks that start tasks, send messages and log decisions. */
typedef struct BwExecutorPort {
    /* Sends one task to the backend server.  Its outcome is reported by
       BwExecutor_TaskEnded, never from inside this call. */
    void (*start)(void *ctx, const BwStart *start);
    void (*done)(void *ctx, uint32_t peer, const BwDone *done);
    void (*decline)(void *ctx, uint32_t peer, const BwDecline *decline);
    void (*pull)(void *ctx, uint32_t peer, const BwPull *pull);
    void (*fenced)(void *ctx, uint32_t peer, const BwFenceAnswer *answer);
    void (*hand_over)(void *ctx, uint32_t peer, const BwHandOver *entry);
    void (*hand_over_end)(void *ctx, uint32_t peer, const BwHandOverEnd *end);
    void (*log_decision)(void *ctx, const BwDecision *decision);
} BwExecutorPort;

typedef struct BwExecutorCounters {
    uint64_t starts;
    uint64_t declines;
    uint64_t pulls;
    uint64_t repeats_refused;
    uint64_t messages_wasted; /* led to no start, answer or change of state */
} BwExecutorCounters;

typedef struct BwLedgerJob BwLedgerJob;
typedef struct BwExecutorFence BwExecutorFence;

/* A stopped process whose whole ledger was handed over to this executor. */
typedef struct BwExecutorInheritedLedger {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    /* The ledger holds every start since then; 0: all. */
    uint64_t complete_since_us;
    uint64_t expires_us;
} BwExecutorInheritedLedger;

typedef struct BwExecutor {
    const BwExecutorPort *port;
    void *port_ctx;
    char service[BW_NAME_BYTES_MAX];
    uint32_t slots;
    uint32_t busy;
    uint32_t pulled; /* slots held for the answer to a PULL */
    BwQueue queue;   /* reservations */
    BwOutcomes outcomes;
    bool is_leaving;
    bool is_paused; /* no task starts; reservations wait */
    /* Ledger entries are kept this long past the deadline. */
    uint64_t keep_us;
    const BwRing *ring; /* NULL: accepts grants without a fence */
    uint64_t removed_version;
    BwExecutorFence *fences; /* hash by arc */
    uint64_t started_us;     /* the ledger holds every start since then */
    uint64_t incarnation;
    uint64_t previous; /* the previous incarnation of this name; 0: none */
    BwExecutorInheritedLedger *inherited_ledgers;
    uint32_t inherited_ledger_count;
    uint32_t jobs_max;   /* in the ledger; 0: no limit */
    uint64_t bytes_max;  /* of answers in the ledger; 0: no limit */
    BwLedgerJob *ledger; /* hash by job */
    uint64_t ledger_bytes;
    BwExecutorCounters counters;
} BwExecutor;

/* Initializes an executor without slots.  `port` and `port_ctx` must outlive
   it.  `keep_us` is the margin past its deadline for which a job stays in the
   ledger. */
void
BwExecutor_Init(BwExecutor *executor, uint64_t keep_us,
                const BwExecutorPort *port, void *port_ctx);

void
BwExecutor_Finish(BwExecutor *executor);

/* Sets the service and slots that the backend server announced; 0 slots when
   it is gone. */
void
BwExecutor_Announce(BwExecutor *executor, BwSpan service, uint32_t slots);

/* Changes the queue order; queued reservations are moved to the new queue. */
void
BwExecutor_SetOrder(BwExecutor *executor, const BwOrder *order);

/* Starts no task while it is not known whether the backend server still runs.
   Granted tasks are declined, so that their home can place them elsewhere;
   reservations wait. */
void
BwExecutor_Pause(BwExecutor *executor);

/* Ends the pause and pulls for the reservations. */
void
BwExecutor_Resume(BwExecutor *executor, uint64_t now_us);

/* Makes the executor decline every further grant; running tasks go on. */
void
BwExecutor_Leave(BwExecutor *executor);

/* Starts the granted tasks for which there are free slots and declines the
   others; those that only lack a slot become reservations. */
void
BwExecutor_OnGrant(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                   const BwGrant *grant);

/* Drops the reservations that the release lists. */
void
BwExecutor_OnRelease(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                     const BwRelease *release);

/* Call it when the home behind `peer` is gone: its reservations are dropped
   and the slots held for its answers become free.  Running tasks go on. */
void
BwExecutor_HomeLost(BwExecutor *executor, uint64_t now_us, uint32_t peer);

/* Call it when a task that port->start sent to the backend server has ended.
   `body` is copied. */
void
BwExecutor_TaskEnded(BwExecutor *executor, uint64_t now_us, BwJobId job,
                     uint32_t index, BwErrorKind error, uint32_t status,
                     BwSpan body);

/* Sets the ring, which must outlive its use here.  When an agent was removed
   from it, every fence is dropped. */
void
BwExecutor_SetRing(BwExecutor *executor, const BwRing *ring);

/* Accepts or refuses a fence and answers through port->fenced.  An accepted
   fence is answered with all starts of its arcs; there is no answer when
   memory is short.  Returns whether it was accepted. */
bool
BwExecutor_OnFence(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                   const BwFence *fence);

/* Sends the outcomes of all ended tasks of a job to the peer that asks, which
   becomes the job's home. */
void
BwExecutor_OnRecoverRequest(BwExecutor *executor, uint32_t peer,
                            const BwRecoverRequest *request);

/* Hands the ledger over at a planned stop: calls port->hand_over for each job
   with a start, and then port->hand_over_end.  Returns false when memory is
   short. */
bool
BwExecutor_HandOver(BwExecutor *executor, uint64_t now_us, uint32_t peer);

/* Adds a ledger entry that a stopping executor handed over.  Returns false
   when the ledger is full or memory is short; the caller must then not accept
   the end of the hand-over. */
bool
BwExecutor_OnHandOver(BwExecutor *executor, uint64_t now_us,
                      const BwHandOver *entry);

/* Records, for `keep_us`, that the whole ledger of process `name`, and those
   that it had inherited, are kept here.  Returns false when
   BW_INHERITED_LEDGERS_MAX are kept already or memory is short. */
bool
BwExecutor_OnHandOverEnd(BwExecutor *executor, uint64_t now_us,
                         uint64_t keep_us, BwSpan name,
                         const BwHandOverEnd *end);

/* Drops ledger entries whose deadline and margin have passed. */
void
BwExecutor_Tick(BwExecutor *executor, uint64_t now_us);

/* Returns the number of free slots; 0 when the executor is leaving or its
   ledger is full. */
uint32_t
BwExecutor_FreeSlots(const BwExecutor *executor);

#endif
