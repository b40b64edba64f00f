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
     Custody     which arcs this agent may grant starts for, and until when
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
    uint64_t joined_version; /* of the ring that brought this incarnation */
} BwAgent;

typedef struct BwRingPoint {
    uint64_t position;
    uint32_t agent;
} BwRingPoint;

/* The agents of one region at one version.  `agents` is sorted by name.
   `guards` is a circular order of the agents in which neighbours stand in
   different failure domains where that can be. */
typedef struct BwRing {
    uint64_t version;
    uint64_t removed_version;        /* of the last removal */
    uint64_t removed_joined_version; /* newest join that was removed */
    BwAgent *agents;
    uint32_t agent_count;
    uint32_t agent_room;
    BwRingPoint *points;
    uint32_t *guards;
} BwRing;

void
BwRing_Init(BwRing *ring);

void
BwRing_Finish(BwRing *ring);

/* Adds `agent`, or replaces the one of the same name, and sets the version.
   Returns BW_ERR_NO_MEMORY and leaves the ring as it was when memory is
   short.  The points are stale until BwRing_Build. */
BwErrorKind
BwRing_Put(BwRing *ring, const BwAgent *agent, uint64_t version);

/* Removes the agent named `name`; a name that is not there is no error. */
void
BwRing_Remove(BwRing *ring, BwSpan name, uint64_t version);

/* Computes points and guards after a series of changes. */
BwErrorKind
BwRing_Build(BwRing *ring);

/* Returns the index of the agent whose arc holds `job`, or -1 when the ring
   is empty. */
int32_t
BwRing_Find(const BwRing *ring, BwJobId job);

/* Returns the index of the guardian of agent `agent`: the next one on the
   ring of guards.  Equals `agent` in a ring of one. */
uint32_t
BwRing_Guardian(const BwRing *ring, uint32_t agent);

/* Returns the index of the agent named `name`, or -1. */
int32_t
BwRing_IndexOf(const BwRing *ring, BwSpan name);

/* -------------------------------------------------------------- Revision */

/* A reader is anchored while it has applied, without a gap, every record up
   to next_offset: from the log's first record ever, or from a state that an
   anchored reader wrote down in a renewal or handed over.  Only an anchored
   reader can tell which of two texts with the same base was accepted. */
typedef struct BwRevision {
    uint64_t number;        /* 0: no text was ever accepted */
    uint64_t offset;        /* of the record that set it */
    uint64_t next_offset;   /* of the next record to apply */
    uint64_t start_offset;  /* no record was missed from here on */
    uint64_t anchor_offset; /* greatest as_of of a renewal, or 0 */
    bool is_anchored;
    char publish_id[BW_NAME_BYTES_MAX];
} BwRevision;

typedef struct BwRevisionRecord {
    uint64_t offset;
    uint64_t base;   /* revision that the author had read */
    uint64_t number; /* of a renewal: the revision it repeats */
    uint64_t as_of;  /* of a renewal: its author's next_offset */
    uint64_t set_at; /* of a renewal: offset of the record that set it */
    BwSpan publish_id;
    bool is_valid;   /* the text passed every check */
    bool is_renewal; /* the text in force, appended again */
} BwRevisionRecord;

typedef enum BwRevisionVerdict {
    BW_REVISION_ACCEPTED,
    BW_REVISION_REPEATED, /* known already; nothing changed */
    BW_REVISION_INVALID,
    BW_REVISION_CONFLICT,  /* based on a revision no longer in force */
    BW_REVISION_UNDECIDED, /* the reader is not anchored */
    BW_REVISION_NONE,      /* not a record of a text */
} BwRevisionVerdict;

/* For a reader that starts at the log's first record. */
void
BwRevision_Init(BwRevision *revision);

/* For a reader that is to be anchored by a renewal: it may use those whose
   as_of is not before `first`. */
void
BwRevision_InitLate(BwRevision *revision, uint64_t first);

/* The log no longer has the records before `first`.  A reader that has not
   applied all of them is no longer anchored; its revision stays. */
void
BwRevision_Retained(BwRevision *revision, uint64_t first);

/* Applies one record.  On BW_REVISION_ACCEPTED the caller puts the record's
   text in force; on any other verdict the number is unchanged.  When
   next_offset is not after the record's offset afterwards, the caller reads
   on from next_offset. */
BwRevisionVerdict
BwRevision_Offer(BwRevision *revision, const BwRevisionRecord *record);

/* Notes a record of another sort. */
void
BwRevision_Skip(BwRevision *revision, uint64_t offset);

/* Takes the state of an anchored reader, such as a renewal that came from a
   peer.  Returns whether its text is to be put in force. */
bool
BwRevision_Adopt(BwRevision *revision, const BwRevisionRecord *state);

/* When a record must be appended again, before retention drops it. */
typedef struct BwRenewal {
    uint64_t offset; /* from which on the log must keep its records */
    uint64_t renew_at_us;
} BwRenewal;

/* A reader that starts applies no more than about so many records. */
#define BW_RENEWAL_RECORDS 64

/* Says whether the copy at renewal->offset is old: by time, or because it
   lies in the older half of the records [first, next) of a log that has
   dropped some. */
bool
BwRenewal_IsDue(const BwRenewal *renewal, uint64_t now_us, uint64_t first,
                uint64_t next);

/* ------------------------------------------------------------- Decisions */

/* One routing or placement decision, for the log line that each one gets. */
typedef struct BwDecision {
    const char *what; /* event, such as "place", "refuse", "decline" */
    BwJobId job;
    BwSpan key; /* empty where only the id is known; for a decision on a
                   worker, its service */
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
    uint64_t gain;     /* sequence number: when the home gained the arc, or had
                          to ask all executors again */
    bool is_contested; /* another agent may hold the arc, until every executor
                          has answered once */
    bool is_complete;  /* every executor has listed its starts */
    bool has_notes; /* all that agent `name` ran on its local host is known */
    uint64_t fresh_wall_us; /* keys submitted later did not run; 0: unknown */
    uint64_t doubt_wall_us; /* keys submitted by then may have run */
} BwHomeArc;

typedef struct BwOrphan BwOrphan;

#define BW_COVERS_MAX 256

/* A stopped process whose whole ledger another executor keeps. */
typedef struct BwHomeCover {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    uint64_t reach_wall_us; /* the ledger holds every start since then */
} BwHomeCover;

/* Callbacks that send messages, answer waiters and log decisions. */
typedef struct BwHomePort {
    void (*fence)(void *ctx, uint32_t peer, const BwFence *fence);
    void (*recover)(void *ctx, uint32_t peer, const BwRecoverAsk *ask);
    /* Asks the guardian to record that the job will run on this host;
       BwHome_OnNoted brings the answer. */
    void (*note)(void *ctx, BwJobId job, uint64_t expires_in_us);
    void (*grant)(void *ctx, uint32_t peer, const BwGrant *grant);
    void (*release)(void *ctx, uint32_t peer, const BwRelease *release);
    void (*result)(void *ctx, BwWaiter waiter, const BwResult *result);
    void (*decide)(void *ctx, const BwDecision *decision);
} BwHomePort;

typedef struct BwHomeLimits {
    uint32_t jobs_max;
    uint64_t bytes_max;   /* of jobs, their bodies and answers */
    uint64_t lifetime_us; /* longest time from submission to deadline */
    uint64_t keep_us;     /* an answer is kept this long past the deadline */
    uint64_t grant_valid_us; /* executors decline older grants */
    uint64_t skew_us;        /* greatest difference of two wall clocks */
    uint64_t loss_us; /* a held job fails when executors are silent so long */
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
    BwAdmitted admitted; /* by this home */
    bool has_unreserved; /* a job may have waiting tasks without reservation */
    BwTeamUsage *teams;
    uint32_t team_count;
    /* Jobs with tasks to be placed, by priority, first come first served. */
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
    BwWorkerList workers_to_release; /* with a release to be sent */
    BwJob *retry_list;               /* jobs that wait for a further attempt */
    BwRandom random;
    uint64_t seed;
    uint64_t now_us; /* of the current call */
    uint64_t epoch;
    BwWorkers workers;
    BwJob *jobs; /* hash by id */
    uint32_t job_count;
    uint64_t bytes;
    const BwRing *ring; /* NULL: owns every key, without lease and fences */
    uint64_t ring_version;
    uint64_t removed_version;
    uint64_t holder; /* incarnation of this process */
    uint64_t lease_until_us;
    uint64_t engage_version; /* executors that joined in a later ring version
                                get no grants */
    char guardian[BW_NAME_BYTES_MAX];
    BwHomeArc *arcs;
    uint32_t arc_count;
    uint64_t gains; /* last sequence number of an arc */
    BwHomeCover *covers;
    uint32_t cover_count;
    BwOrphan *orphans; /* hash by job: tasks started under a former custodian
                          of keys that were not submitted here yet */
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

/* Cancels a job for its owner: tasks not yet granted will never start. */
void
BwHome_Cancel(BwHome *home, uint64_t now_us, BwWaiter waiter,
              const BwCancel *cancel);

/* Removes one waiter, or with request_id 0 all those of its connection.  The
   jobs go on. */
void
BwHome_Withdraw(BwHome *home, BwWaiter waiter);

/* Applies an agent's report on its backend server.  `name` is copied. */
void
BwHome_WorkerLoad(BwHome *home, uint64_t now_us, uint32_t peer, BwSpan name,
                  bool is_self, const BwLoad *load);

/* Whether a worker with slots of the service is known to be up. */
bool
BwHome_HasWorker(const BwHome *home, BwSpan service);

/* Call it when the worker's process is proved gone: its running tasks are
   lost.  A job with one of them fails, unless the task may be retried. */
void
BwHome_WorkerLost(BwHome *home, uint64_t now_us, uint32_t peer);

/* These apply the messages of an executor. */
void
BwHome_OnDone(BwHome *home, uint64_t now_us, uint32_t peer,
              const BwDone *done);

void
BwHome_OnDecline(BwHome *home, uint64_t now_us, uint32_t peer,
                 const BwDecline *decline);

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
BwHome_Unfinished(const BwHome *home);

/* -------------------------------------------------------------- Recovery */

/* How an arc came to this home. */
typedef struct BwGain {
    BwSpan arc;
    BwStanding standing;
    bool has_notes; /* `notes` is all that its agent ran on its host */
    const BwJobId *notes;
    uint32_t note_count;
} BwGain;

/* Follows a ring.  From the first call on the home grants starts only within
   its lease, for its arcs, and to executors that took its fence. */
void
BwHome_SetRing(BwHome *home, uint64_t now_us, const BwRing *ring,
               uint64_t holder);

/* Whether this home may take the key. */
bool
BwHome_Owns(const BwHome *home, uint64_t now_us, BwJobId id);

/* The executor `name` of the ring is reached as `peer`. */
void
BwHome_AddExecutor(BwHome *home, uint32_t peer, BwSpan name, bool is_self);

/* Messages to or from the executor may be lost: it is fenced anew. */
void
BwHome_LinkLost(BwHome *home, uint64_t now_us, uint32_t peer);

/* Another agent has taken over from the executor's home, which is silent: it
   gets no new task until it reports its load. */
void
BwHome_WorkerSilent(BwHome *home, BwSpan name);

/* `guardian` gave the lease; it is empty when this agent guards itself. */
void
BwHome_SetLease(BwHome *home, uint64_t now_us, uint64_t until_us,
                uint64_t engage_version, BwSpan guardian);

/* Takes the custody of an arc. */
BwErrorKind
BwHome_Gain(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
            const BwGain *gain);

/* Gives the custody of an arc up; its waiters are told that `owner` has it. */
void
BwHome_Drop(BwHome *home, BwSpan arc, BwSpan owner);

void
BwHome_OnFenceAnswer(BwHome *home, uint64_t now_us, uint64_t now_wall_us,
                     uint32_t peer, const BwFenceAnswer *answer);

/* The guardian has, or has not, taken the note that a job runs here. */
void
BwHome_OnNoted(BwHome *home, uint64_t now_us, BwJobId job, bool is_taken);

/* Lists the jobs that were started on this host, and maybe others.  Returns
   false when not all are known or there is no room for them. */
bool
BwHome_ListNotes(const BwHome *home, BwJobId *jobs, uint32_t room,
                 uint32_t *count);

/* Sends fences that are due and completes arcs. */
void
BwHome_RecoveryTick(BwHome *home, uint64_t now_us, uint64_t now_wall_us);

/* --------------------------------------------------------------- Custody */

#define BW_NOTES_MAX 8192

typedef struct BwNote BwNote;

/* An agent whose leases this one grants. */
typedef struct BwWard {
    uint64_t incarnation;
    uint64_t term; /* new each time that another has held its arc */
    uint64_t asked_us;
    uint64_t until_us; /* sends no grant later */
    bool is_taken;     /* its arcs were taken over */
    bool has_notes;    /* `notes` is all that it ran on its own host */
    char arcs[BW_ARCS_MAX][BW_NAME_BYTES_MAX]; /* that it holds */
    uint32_t arc_count;
    char past[BW_ARCS_MAX][BW_NAME_BYTES_MAX]; /* of others, ever held */
    uint32_t past_count; /* BW_ARCS_MAX: maybe others too */
    BwNote *notes;       /* hash by job */
} BwWard;

/* What is known of an agent of the ring, at the same index. */
typedef struct BwNeighbour {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    char owner[BW_NAME_BYTES_MAX]; /* of its arc, when it is another agent */
    uint64_t proof_us;             /* last proof that it is gone; 0: none */
    uint64_t taken_us; /* when this agent claimed its arc; 0: did not */
    uint64_t guarded_since_us; /* without a lease granted to it; 0: no ward */
    BwWard *ward;              /* NULL: no lease was granted to it */
} BwNeighbour;

typedef struct BwHeldArc {
    char name[BW_NAME_BYTES_MAX];
    uint64_t claimed_us;
    bool is_active; /* the guardian knows that it is held */
    bool has_notes;
    BwStanding standing;
} BwHeldArc;

typedef struct BwCustodyPort {
    void (*ask)(void *ctx, BwSpan agent, const BwLeaseAsk *ask);
    void (*grant)(void *ctx, BwSpan agent, const BwLeaseGrant *grant);
    /* Lists the jobs that were started on this host; returns false when not
       all are known. */
    bool (*list_notes)(void *ctx, BwJobId *jobs, uint32_t room,
                       uint32_t *count);
    void (*lease)(void *ctx, uint64_t until_us, uint64_t ring_version,
                  BwSpan guardian);
    void (*gained)(void *ctx, const BwGain *gain);
    void (*lost)(void *ctx, BwSpan arc, BwSpan owner);
} BwCustodyPort;

typedef struct BwCustody {
    const BwCustodyPort *port;
    void *port_ctx;
    uint64_t lease_us;
    uint64_t margin_us; /* drift of two clocks over a lease */
    uint64_t note_keep_us;
    const BwRing *ring;
    uint64_t removed_version;
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    uint64_t until_us; /* of the own lease */
    uint64_t next_ask_us;
    uint64_t ask_cap_us; /* a lease asked for last ends by this time */
    uint64_t term;       /* of the lease applied last */
    uint64_t terms;      /* given to wards */
    bool has_table;
    bool has_told_notes; /* the guardian has the whole list */
    bool is_stopping;
    bool is_released;
    char guardian[BW_NAME_BYTES_MAX]; /* asked last */
    BwHeldArc arcs[BW_ARCS_MAX];
    uint32_t arc_count;
    char past[BW_ARCS_MAX][BW_NAME_BYTES_MAX];
    uint32_t past_count;
    BwNeighbour *neighbours;
    uint32_t neighbour_count;
    uint32_t note_count;
    uint64_t takeovers;
    uint64_t lapses;
} BwCustody;

/* A note is kept for `note_keep_us`, the longest life of a job. */
void
BwCustody_Init(BwCustody *custody, BwSpan name, uint64_t incarnation,
               uint64_t lease_us, uint64_t note_keep_us,
               const BwCustodyPort *port, void *port_ctx);

void
BwCustody_Finish(BwCustody *custody);

/* The ring must outlive the next call. */
void
BwCustody_SetRing(BwCustody *custody, uint64_t now_us, const BwRing *ring);

/* The process of agent `name`, as last seen, is proved gone; repeat the call
   for as long as there is proof.  BwCustody_Seen ends it. */
void
BwCustody_Proof(BwCustody *custody, uint64_t now_us, BwSpan name);

void
BwCustody_Seen(BwCustody *custody, BwSpan name);

/* `owner` says that it holds the arc. */
void
BwCustody_OnNotice(BwCustody *custody, BwSpan arc, BwSpan owner);

void
BwCustody_OnAsk(BwCustody *custody, uint64_t now_us, BwSpan from,
                const BwLeaseAsk *ask);

void
BwCustody_OnGrant(BwCustody *custody, uint64_t now_us, BwSpan from,
                  const BwLeaseGrant *grant);

/* Keeps a note for a ward.  Returns false when it is refused: the agent is no
   ward, or BW_NOTES_MAX are kept. */
bool
BwCustody_OnNote(BwCustody *custody, uint64_t now_us, BwSpan from,
                 const BwOwnNote *note);

/* Another agent has fenced these arcs here: gives up those held. */
void
BwCustody_OnFence(BwCustody *custody, BwSpan from, const BwFence *fence);

/* Returns the agent that holds the arc as far as is known. */
BwSpan
BwCustody_OwnerOf(const BwCustody *custody, BwSpan arc);

/* A planned stop: hands every arc to the guardian. */
void
BwCustody_Stop(BwCustody *custody, uint64_t now_us);

void
BwCustody_Tick(BwCustody *custody, uint64_t now_us);

/* Returns an agent whose arc was held here for so long that no job of its time
   is left, and which is to be removed from the ring; NULL for none.  It is not
   returned again for a while. */
const BwAgent *
BwCustody_NextToLeave(BwCustody *custody, uint64_t now_us);

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

/* A stopped process whose whole ledger was handed over to this executor. */
typedef struct BwExecutorCover {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    uint64_t since_us; /* the ledger holds every start since then; 0: all */
    uint64_t expires_us;
} BwExecutorCover;

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
    uint64_t keep_us;   /* ledger entries are kept so long past the deadline */
    const BwRing *ring; /* NULL: accepts grants without a fence */
    uint64_t removed_version;
    BwExecutorFence *fences; /* hash by arc */
    uint64_t started_us;     /* the ledger holds every start since then */
    uint64_t incarnation;
    uint64_t previous; /* the previous incarnation of this name; 0: none */
    BwExecutorCover *covers;
    uint32_t cover_count;
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
BwExecutor_OnRecoverAsk(BwExecutor *executor, uint32_t peer,
                        const BwRecoverAsk *ask);

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
   that it had inherited, are kept here.  Returns false when BW_COVERS_MAX are
   kept already or memory is short. */
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
