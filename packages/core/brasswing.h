/* brasswing.h -- the decisions of the brasswing dispatcher

   This header is the manual of the core library.  The core is pure: it opens
   no socket, reads no clock and starts no thread.  Each state machine lives in
   one struct that the caller allocates, is made by an _Init function and ended
   by a _Finish function, takes the current time as `now_us` (microseconds of
   a monotonic clock) and speaks through a table of function pointers.

   Return codes: functions that can fail return a BwErrorKind, BW_OK on
   success.  BwError_Describe gives the remedy of each kind.

   Sections:
     Errors      kinds, their HTTP status and their remedy
     Ring        which agent is the home of a job
     Revision    which configuration text is in force
     Policy      in policy.h: workers, placement, order, selection
     Control     in control.h: estimates, health, retries, admission
     Home        jobs of one agent: placement, start grants, answers
     Custody     which arcs this agent may grant starts for, and until when
     Executor    tasks beside one backend server: slots, ledger, reservations
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

/* Returns the description of `kind`, never NULL.  An unknown kind, such as
   one from a newer peer, is described as one that may have run. */
const BwErrorInfo *
BwError_Describe(uint32_t kind);

/* ----------------------------------------------------------------- Spans */

/* Returns a span over the bytes of a C string. */
BwSpan
BwSpan_FromString(const char *text);

bool
BwSpan_Equal(BwSpan a, BwSpan b);

/* Copies a span into `buffer` as a C string, cut to `size_bytes` - 1. */
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
    uint64_t anchor_offset; /* greatest as_of of a renewal; 0: none */
    bool is_anchored;
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
BwRevision_InitLate(BwRevision *revision, uint64_t first);

/* Tells the reader that the log has dropped the records before `first`.  A
   reader that has not applied all of them is no longer synced; it keeps its
   revision and goes on at `first`. */
void
BwRevision_Retained(BwRevision *revision, uint64_t first);

/* Applies one record.  On BW_REVISION_ACCEPTED the caller puts the record's
   text in force; on any other verdict the number is unchanged.  When the call
   leaves next_offset at or before the record's offset, the caller reads on
   from next_offset. */
BwRevisionVerdict
BwRevision_Offer(BwRevision *revision, const BwRevisionRecord *record);

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
    const char *what; /* such as "place", "refuse", "decline" */
    BwJobId job;
    BwSpan key; /* empty where only the id is known */
    uint32_t count;
    const char *choice;
    uint32_t alternatives;
    const char *reason;
} BwDecision;

/* ------------------------------------------------------------------ Home */

typedef struct BwJob BwJob;

/* Who waits for a job: a connection and the entry's request on it. */
typedef struct BwWaiter {
    uint32_t peer;
    uint64_t request_id;
} BwWaiter;

#define BW_ARCS_MAX 64

/* An arc whose custodian the home is. */
typedef struct BwHomeArc {
    char name[BW_NAME_BYTES_MAX];
    uint64_t gain;     /* number of the gain */
    bool is_contested; /* another may hold it until all have answered once */
    bool is_complete;  /* every executor said what it started */
    bool has_notes;    /* `name` ran on its own host what was noted, no more */
    uint64_t fresh_wall_us; /* later submissions are new; 0: not known */
    uint64_t doubt_wall_us; /* keys submitted by then may have run */
} BwHomeArc;

typedef struct BwOrphan BwOrphan;

#define BW_COVERS_MAX 256

/* A process whose whole ledger another executor keeps since its stop. */
typedef struct BwHomeCover {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    uint64_t reach_wall_us;
} BwHomeCover;

typedef struct BwHomePort {
    void (*fence)(void *ctx, uint32_t peer, const BwFence *fence);
    void (*recover)(void *ctx, uint32_t peer, const BwRecoverAsk *ask);
    /* Tells the guardian that the job is about to run on this host. */
    void (*note)(void *ctx, BwJobId job, uint64_t expires_in_us);
    void (*grant)(void *ctx, uint32_t peer, const BwGrant *grant);
    void (*release)(void *ctx, uint32_t peer, const BwRelease *release);
    void (*result)(void *ctx, BwWaiter waiter, const BwResult *result);
    void (*decide)(void *ctx, const BwDecision *decision);
} BwHomePort;

typedef struct BwHomeLimits {
    uint32_t jobs_max;
    uint64_t bytes_max;   /* bodies and answers kept */
    uint64_t lifetime_us; /* longest time from submission to deadline */
    uint64_t keep_us;     /* an answer is kept this long past its deadline */
    uint64_t grant_valid_us; /* a grant is refused when older */
    uint64_t skew_us;        /* greatest difference of two wall clocks */
    uint64_t loss_us;        /* how long a silent executor is waited for */
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

/* Refuses a job that is not known yet, or returns BW_OK.  `detail` lives until
   the next call. */
typedef BwErrorKind (*BwHomeCheck)(void *ctx, const BwSubmit *submit,
                                   const char **detail);

/* Further classes share the estimate of the whole service. */
#define BW_CLASSES_MAX 16

typedef struct BwClassEstimate {
    char name[BW_NAME_BYTES_MAX];
    BwEstimate runs;
} BwClassEstimate;

/* Unfinished tasks of a team that has a ceiling. */
typedef struct BwTeamUse {
    char member[BW_NAME_BYTES_MAX];
    char team[BW_NAME_BYTES_MAX];
    uint64_t tasks;
} BwTeamUse;

/* What a home keeps for one service. */
typedef struct BwHomeService {
    char name[BW_NAME_BYTES_MAX];
    const BwServicePolicy *policy; /* in the home's policy, or the defaults */
    BwPlacementState placement;
    uint64_t tasks;        /* granted, for the budget of wasted messages */
    uint64_t wasted;       /* messages */
    uint64_t wasted_ahead; /* that choices made already may still waste */
    BwRetryBudget retries;
    BwEstimate runs; /* of all classes */
    BwClassEstimate classes[BW_CLASSES_MAX];
    uint32_t class_count;
    uint64_t waiting_tasks[BW_PRIORITIES];
    BwAdmitted admitted; /* at this home */
    bool has_unreserved; /* some job may have tasks without a reservation */
    BwTeamUse *teams;
    uint32_t team_count;
    /* Jobs with tasks to be placed, by priority and then in order. */
    BwJob *waiting[BW_PRIORITIES];
    BwJob *waiting_end[BW_PRIORITIES];
} BwHomeService;

typedef struct BwHomeRights BwHomeRights;

typedef struct BwHome {
    BwHomeLimits limits;
    const BwHomeRights *rights; /* in job.h */
    const BwHomePort *port;
    void *port_ctx;
    BwHomeCheck check; /* set after BwHome_Init; NULL for none */
    BwPolicy policy;
    BwHomeService **services;
    uint32_t service_count;
    BwWorkerList released; /* workers with a release to be sent */
    BwJob *retrying;       /* jobs that wait for a further attempt */
    BwRandom random;
    uint64_t seed;
    uint64_t now_us; /* of the call being served */
    uint64_t epoch;
    BwWorkers workers;
    BwJob *jobs; /* hash by id */
    uint32_t job_count;
    uint64_t bytes;
    const BwRing *ring; /* NULL: holds every key, without lease and fences */
    uint64_t ring_version;
    uint64_t removed_version;
    uint64_t holder; /* incarnation of this process */
    uint64_t lease_until_us;
    uint64_t engage_version; /* executors of later rings get nothing */
    char guardian[BW_NAME_BYTES_MAX];
    BwHomeArc *arcs;
    uint32_t arc_count;
    uint64_t gains;
    BwHomeCover *covers;
    uint32_t cover_count;
    BwOrphan *orphans; /* hash by job: started under a former custodian */
    uint32_t orphan_count;
    BwHomeCounters counters;
} BwHome;

/* `seed` starts the random choices of placement and back-off. */
void
BwHome_Init(BwHome *home, const BwHomeLimits *limits, const BwHomePort *port,
            void *port_ctx, uint64_t seed);

/* Takes over what the operators' text chose; the home finishes it. */
void
BwHome_SetPolicy(BwHome *home, BwPolicy *policy);

/* Frees every job without an answer to its waiters. */
void
BwHome_Finish(BwHome *home);

/* Takes a job, or attaches the waiter to the job of the same member and key.
   Answers at once through port->result when the job is refused, or ended
   already.  `now_wall_us` turns the caller's deadline into a monotonic one.
   The submission is copied. */
void
BwHome_Submit(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
              BwWaiter waiter, const BwSubmit *submit);

/* Ends a job at its owner's wish: tasks not yet granted never start. */
void
BwHome_Cancel(BwHome *home, uint64_t now_us, BwWaiter waiter,
              const BwCancel *cancel);

/* Forgets one waiter, or with request_id 0 all those of a connection. */
void
BwHome_Withdraw(BwHome *home, BwWaiter waiter);

/* Records what an agent said about its backend server.  `name` is copied. */
void
BwHome_WorkerLoad(BwHome *home, uint64_t now_us, uint32_t peer, BwSpan name,
                  bool is_self, const BwLoad *load);

/* Says whether a worker with slots of the service is known to be up. */
bool
BwHome_HasWorker(const BwHome *home, BwSpan service);

/* The worker's process is proved gone: its running tasks are lost, and each
   job with one of them is marked failed. */
void
BwHome_WorkerLost(BwHome *home, uint64_t now_us, uint32_t peer);

void
BwHome_OnDone(BwHome *home, uint64_t now_us, uint32_t peer,
              const BwDone *done);

void
BwHome_OnDecline(BwHome *home, uint64_t now_us, uint32_t peer,
                 const BwDecline *decline);

void
BwHome_OnPull(BwHome *home, uint64_t now_us, uint32_t peer,
              const BwPull *pull);

/* Ends jobs whose deadline passed and drops answers kept long enough. */
void
BwHome_Tick(BwHome *home, uint64_t now_us);

/* Sends what was collected since the last call: one release to each worker
   that holds reservations nobody needs, and further attempts whose time has
   come.  Call it often. */
void
BwHome_Flush(BwHome *home, uint64_t now_us);

/* Returns how many jobs have no answer yet. */
uint32_t
BwHome_Unfinished(const BwHome *home);

/* -------------------------------------------------------------- Recovery */

/* Custody of an arc that this home gains, and what its guardian knows of the
   arc's prior custody.  A local run is a job that a custodian has run, or may
   have run, on its local host; its guardian keeps a record of it, because the
   executor of that host cannot be asked once the host is gone. */
typedef struct BwGain {
    BwSpan arc;
    BwStanding standing;
    bool has_notes; /* the list has every local run of the arc's agent */
    const BwJobId *notes;
    uint32_t note_count;
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
BwHome_AddExecutor(BwHome *home, uint32_t peer, BwSpan name, bool is_self);

/* Messages to or from the executor may have been lost: the home begins a new
   fence round with it. */
void
BwHome_LinkLost(BwHome *home, uint64_t now_us, uint32_t peer);

/* Another agent has taken over the arc of agent `name`, which does not
   respond: its executor gets no new task until it reports its load. */
void
BwHome_WorkerSilent(BwHome *home, BwSpan name);

/* Extends the lease to `until_us`.  `guardian` granted it; it is empty when
   this agent is its own guardian.  Executors that a ring version later than
   `engage_version` has added get no tasks, since the guardian does not know
   them yet. */
void
BwHome_SetLease(BwHome *home, uint64_t now_us, uint64_t until_us,
                uint64_t engage_version, BwSpan guardian);

/* Takes custody of an arc and begins a fence round with every executor.
   Returns BW_ERR_NO_MEMORY when an allocation fails. */
BwErrorKind
BwHome_Gain(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
            const BwGain *gain);

/* Gives up custody of an arc and forgets its jobs.  Their waiters get
   BW_ERR_NOT_OWNER with `owner`, or with the arc's agent when `owner` is
   empty. */
void
BwHome_Drop(BwHome *home, BwSpan arc, BwSpan owner);

/* Handles an executor's answer to a fence: merges the starts that it lists,
   returns granted tasks that it does not list to the waiting ones, and
   places tasks. */
void
BwHome_OnFenceAnswer(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
                     uint32_t peer, const BwFenceAnswer *answer);

/* Handles the guardian's answer to a local-run notice.  Tasks of the job may
   be started on the local host once the guardian has accepted it. */
void
BwHome_OnNoted(BwHome *home, uint64_t now_us, BwJobId job, bool is_accepted);

/* Writes the home's local runs, and possibly other jobs, to `jobs`, which has
   room for `room` ids, and their number to `count`.  Returns false when the
   home does not know all of them or `room` is too small. */
bool
BwHome_ListNotes(const BwHome *home, BwJobId *jobs, uint32_t room,
                 uint32_t *count);

/* Sends the fences that are due, completes arcs, fails jobs that were held for
   too long, and drops expired orphans. */
void
BwHome_RecoveryTick(BwHome *home, uint64_t now_us, uint64_t now_wall_us);

/* --------------------------------------------------------------- Custody */

#define BW_LOCAL_RUNS_MAX 8192 /* local runs recorded by one guardian */

typedef struct BwLocalRun BwLocalRun;

/* A guardian's record of the last lease that it granted to an agent. */
typedef struct BwLeaseRecord {
    uint64_t incarnation; /* of the agent */
    uint64_t term;        /* new each time that another has held its arc */
    uint64_t asked_us;    /* when the request arrived */
    uint64_t until_us;    /* the agent sends no grant after this time */
    bool is_taken_over;   /* this guardian has claimed the agent's arcs */
    bool has_notes;       /* the list has every local run of the agent */
    char arcs[BW_ARCS_MAX][BW_NAME_BYTES_MAX]; /* arcs that the agent holds */
    uint32_t arc_count;
    /* Arcs of other agents that the agent has ever held.  The list may be
       incomplete when past_count is BW_ARCS_MAX. */
    char past[BW_ARCS_MAX][BW_NAME_BYTES_MAX];
    uint32_t past_count;
    BwLocalRun *notes; /* hash by job */
} BwLeaseRecord;

/* What this agent knows of one agent of the ring; views have the index of
   their agent in the ring. */
typedef struct BwAgentView {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    char owner[BW_NAME_BYTES_MAX]; /* who holds its arc; empty: itself */
    uint64_t proof_us;             /* last proof that it is gone; 0: none */
    uint64_t taken_over_us; /* when its arc was claimed here; 0: was not */
    /* When this agent, as its guardian, first lacked a lease record of it; 0:
       it is not its guardian, or has not lacked one. */
    uint64_t guarded_since_us;
    BwLeaseRecord *lease_record; /* NULL: no lease was granted to it */
} BwAgentView;

/* An arc that this agent holds or has claimed. */
typedef struct BwHeldArc {
    char name[BW_NAME_BYTES_MAX];
    uint64_t claimed_us;
    bool is_active; /* the guardian knows of the claim, so it is served */
    bool has_notes; /* the lease record had every local run of its agent */
    BwStanding standing;
} BwHeldArc;

typedef struct BwCustodyPort {
    void (*request)(void *ctx, BwSpan agent, const BwLeaseAsk *request);
    void (*grant)(void *ctx, BwSpan agent, const BwLeaseGrant *grant);
    /* Writes the jobs that were started on the local host to `jobs`, which
       has room for `room` ids.  Returns false when not all are known or
       `room` is too small. */
    bool (*list_notes)(void *ctx, BwJobId *jobs, uint32_t room,
                       uint32_t *count);
    /* The agent's own lease was granted or extended to `until_us`;
       `guardian` is empty when the agent is its own guardian. */
    void (*lease)(void *ctx, uint64_t until_us, uint64_t ring_version,
                  BwSpan guardian);
    /* Custody of an arc was gained.  `gain` is valid only during the call. */
    void (*gained)(void *ctx, const BwGain *gain);
    /* Custody of the arc has ended.  `owner` is its custodian now, or empty
       when that is not known. */
    void (*lost)(void *ctx, BwSpan arc, BwSpan owner);
} BwCustodyPort;

typedef struct BwCustody {
    const BwCustodyPort *port;
    void *port_ctx;
    uint64_t lease_us;
    uint64_t margin_us;   /* greatest drift of two clocks over one lease */
    uint64_t job_life_us; /* how long a local run is recorded */
    const BwRing *ring;
    uint64_t removed_version;
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    uint64_t until_us;          /* end of this agent's lease */
    uint64_t next_request_us;   /* when to request the next lease */
    uint64_t requested_cap_us;  /* the requested lease must end by then */
    uint64_t term;              /* of the last lease applied; 0: none */
    uint64_t terms_begun;       /* for leases that this agent granted */
    bool has_table;             /* this process has held its own arc before */
    bool are_all_runs_recorded; /* the guardian has every local run */
    bool is_stopping;
    bool is_released; /* the guardian has taken over after a planned stop */
    char guardian[BW_NAME_BYTES_MAX]; /* whom the lease was requested from;
                                         empty: none, or this agent itself */
    BwHeldArc arcs[BW_ARCS_MAX];
    uint32_t arc_count;
    /* Arcs of other agents that this process has ever held. */
    char past[BW_ARCS_MAX][BW_NAME_BYTES_MAX];
    uint32_t past_count;
    BwAgentView *agent_views;
    uint32_t agent_view_count;
    uint32_t note_count; /* local runs in all lease records */
    uint64_t takeovers;
    uint64_t lapses; /* how often a new lease came after the last had ended */
} BwCustody;

/* `job_life_us` is the longest time from the submission of a job until its
   answer is dropped; a local run is recorded for this long.  The name is
   copied; `port` must outlive the custody. */
void
BwCustody_Init(BwCustody *custody, BwSpan name, uint64_t incarnation,
               uint64_t lease_us, uint64_t job_life_us,
               const BwCustodyPort *port, void *port_ctx);

void
BwCustody_Finish(BwCustody *custody);

/* Sets the ring, which must stay valid until the next call has returned.
   Arcs of removed agents are given up.  Keeps the former ring when an
   allocation fails. */
void
BwCustody_SetRing(BwCustody *custody, uint64_t now_us, const BwRing *ring);

/* The process of agent `name`, as last seen, is proved gone.  The proof counts
   for one lease, so repeat the call for as long as it stands.  BwCustody_Seen
   revokes it. */
void
BwCustody_Proof(BwCustody *custody, uint64_t now_us, BwSpan name);

/* The agent is alive: revokes the proof that it is gone. */
void
BwCustody_Seen(BwCustody *custody, BwSpan name);

/* Records that `owner` has announced that it holds the arc. */
void
BwCustody_OnNotice(BwCustody *custody, BwSpan arc, BwSpan owner);

/* Handles a lease request, as the guardian of agent `from`: grants the lease
   through port->grant, or does nothing when it must not grant one. */
void
BwCustody_OnAsk(BwCustody *custody, uint64_t now_us, BwSpan from,
                const BwLeaseAsk *request);

/* Handles an answer to this agent's lease request.  A grant from another agent
   than the one that was asked last is ignored. */
void
BwCustody_OnGrant(BwCustody *custody, uint64_t now_us, BwSpan from,
                  const BwLeaseGrant *grant);

/* Records a local run of agent `from`.  Returns false when it is refused: this
   agent has granted `from` no lease, or has taken its arcs over, or has
   recorded BW_LOCAL_RUNS_MAX local runs already. */
bool
BwCustody_OnNote(BwCustody *custody, uint64_t now_us, BwSpan from,
                 const BwOwnNote *notice);

/* Handles a fence that the executor of this host has accepted from agent
   `from`: gives up those of the arcs that are held here. */
void
BwCustody_OnFence(BwCustody *custody, BwSpan from, const BwFence *fence);

/* Returns the agent that holds the arc, as far as known; the agent of that
   name unless another has announced it.  The span points into `arc` or
   `custody`. */
BwSpan
BwCustody_OwnerOf(const BwCustody *custody, BwSpan arc);

/* Begins a planned stop: asks the guardian to take over every arc. */
void
BwCustody_Stop(BwCustody *custody, uint64_t now_us);

/* Claims arcs whose agents have lost their lease, and renews the lease of this
   agent.  Call it often in relation to the lease. */
void
BwCustody_Tick(BwCustody *custody, uint64_t now_us);

/* Returns an agent that is to be removed from the ring, because its arc has
   been held here for twice the life of a job and no job that it started is
   left; NULL for none.  The same agent is not returned again for as long. */
const BwAgent *
BwCustody_NextToLeave(BwCustody *custody, uint64_t now_us);

/* -------------------------------------------------------------- Executor */

typedef struct BwStart {
    BwJobId job;
    uint32_t index;
    uint64_t deadline_us;
    BwSpan path;
    BwSpan body;
} BwStart;

typedef struct BwExecutorPort {
    /* Sends one task to the backend server.  The outcome comes back through
       BwExecutor_TaskEnded, never from inside this call. */
    void (*start)(void *ctx, const BwStart *start);
    void (*done)(void *ctx, uint32_t peer, const BwDone *done);
    void (*decline)(void *ctx, uint32_t peer, const BwDecline *decline);
    void (*pull)(void *ctx, uint32_t peer, const BwPull *pull);
    void (*fenced)(void *ctx, uint32_t peer, const BwFenceAnswer *answer);
    void (*hand_over)(void *ctx, uint32_t peer, const BwHandOver *entry);
    void (*hand_over_end)(void *ctx, uint32_t peer, const BwHandOverEnd *end);
    void (*decide)(void *ctx, const BwDecision *decision);
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

/* A stopped process whose whole ledger is in this one. */
typedef struct BwExecutorCover {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    uint64_t since_us; /* the ledger reaches back so far; 0: always */
    uint64_t expires_us;
} BwExecutorCover;

typedef struct BwExecutor {
    const BwExecutorPort *port;
    void *port_ctx;
    char service[BW_NAME_BYTES_MAX];
    uint32_t slots;
    uint32_t busy;
    uint32_t pulled; /* slots held for an answer to a PULL */
    BwQueue queue;   /* reservations */
    BwOutcomes outcomes;
    bool is_leaving;
    uint64_t keep_us;
    const BwRing *ring; /* NULL: takes grants without a fence */
    uint64_t removed_version;
    BwExecutorFence *fences; /* hash by arc */
    uint64_t started_us;     /* the ledger reaches back so far */
    uint64_t incarnation;
    uint64_t previous; /* incarnation of this name before; 0: none */
    BwExecutorCover *covers;
    uint32_t cover_count;
    uint32_t jobs_max;   /* ledger entries; 0: no bound */
    uint64_t bytes_max;  /* answers in the ledger; 0: no bound */
    BwLedgerJob *ledger; /* hash by job */
    uint64_t ledger_bytes;
    BwExecutorCounters counters;
} BwExecutor;

void
BwExecutor_Init(BwExecutor *executor, uint64_t keep_us,
                const BwExecutorPort *port, void *port_ctx);

void
BwExecutor_Finish(BwExecutor *executor);

/* Sets what the backend server announced; 0 slots when it has gone. */
void
BwExecutor_Announce(BwExecutor *executor, BwSpan service, uint32_t slots);

/* Changes the order of reservations; those queued are queued again. */
void
BwExecutor_SetOrder(BwExecutor *executor, const BwOrder *order);

/* From now on takes no new task; running ones go on. */
void
BwExecutor_Leave(BwExecutor *executor);

void
BwExecutor_OnGrant(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                   const BwGrant *grant);

void
BwExecutor_OnRelease(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                     const BwRelease *release);

/* The home behind `peer` is gone: its reservations are dropped and slots
   held for its answers are free again.  Running tasks go on. */
void
BwExecutor_HomeLost(BwExecutor *executor, uint64_t now_us, uint32_t peer);

/* A task that port->start sent to the backend server has ended. */
void
BwExecutor_TaskEnded(BwExecutor *executor, uint64_t now_us, BwJobId job,
                     uint32_t index, BwErrorKind error, uint32_t status,
                     BwSpan body);

/* Follows a ring; a removal of an agent makes every fence void. */
void
BwExecutor_SetRing(BwExecutor *executor, const BwRing *ring);

/* Takes a fence or refuses it; the answer goes through port->fenced.  Returns
   whether it was taken. */
bool
BwExecutor_OnFence(BwExecutor *executor, uint64_t now_us, uint32_t peer,
                   const BwFence *fence);

/* Sends what has ended of a job to the peer that asks. */
void
BwExecutor_OnRecoverAsk(BwExecutor *executor, uint32_t peer,
                        const BwRecoverAsk *ask);

/* Calls port->hand_over for each ledger entry with a start, and then
   port->hand_over_end.  Returns false when memory is short. */
bool
BwExecutor_HandOver(BwExecutor *executor, uint64_t now_us, uint32_t peer);

/* Keeps an entry of a stopping executor.  Returns false at the bound; the
   end is then not to be taken. */
bool
BwExecutor_OnHandOver(BwExecutor *executor, uint64_t now_us,
                      const BwHandOver *entry);

/* Keeps that the ledger of process `name` is whole here.  The covers last for
   `keep_us`.  Returns false at the bound. */
bool
BwExecutor_OnHandOverEnd(BwExecutor *executor, uint64_t now_us,
                         uint64_t keep_us, BwSpan name,
                         const BwHandOverEnd *end);

/* Drops ledger entries past their deadline and margin. */
void
BwExecutor_Tick(BwExecutor *executor, uint64_t now_us);

uint32_t
BwExecutor_FreeSlots(const BwExecutor *executor);

#endif
