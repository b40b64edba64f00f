/* custody.h -- which arcs an agent may grant starts for, and until when

   An agent grants starts for the keys of an arc only while it holds custody of
   it, under a lease from the arc's guardian, the next agent of the ring.  A
   guardian that stops granting the lease waits until it has expired and then
   takes the arc over, so at any time at most one process grants starts for a
   key.  Whoever gains an arc fences the executors first and learns from their
   answers what was started; the section Recovery of brasswing.h does that.

   custodian.c of the daemon drives this module.
*/

#ifndef BW_CUSTODY_H
#define BW_CUSTODY_H

#include "brasswing.h"

#define BW_LOCAL_RUNS_MAX 8192 /* local runs recorded by one guardian */

typedef struct BwLocalRun BwLocalRun;

/* A guardian's record of the last lease that it granted to an agent. */
typedef struct BwLeaseRecord {
    uint64_t incarnation;  /* of the agent */
    uint64_t term;         /* new each time that another has held its arc */
    uint64_t requested_us; /* when the request arrived */
    uint64_t until_us;     /* the agent sends no grant after this time */
    bool is_taken_over;    /* this guardian has claimed the agent's arcs */
    /* `local_runs` has every local run of the agent. */
    bool has_all_local_runs;
    char arcs[BW_ARCS_MAX][BW_NAME_BYTES_MAX]; /* arcs that the agent holds */
    uint32_t arc_count;
    /* Arcs of other agents that the agent has ever held.  The list may be
       incomplete when past_arc_count is BW_ARCS_MAX. */
    char past_arcs[BW_ARCS_MAX][BW_NAME_BYTES_MAX];
    uint32_t past_arc_count;
    BwLocalRun *local_runs; /* hash by job */
} BwLeaseRecord;

/* What this agent knows of one agent of the ring; views have the index of
   their agent in the ring. */
typedef struct BwAgentView {
    char name[BW_NAME_BYTES_MAX];
    uint64_t incarnation;
    char owner[BW_NAME_BYTES_MAX]; /* who holds its arc; empty: itself */
    uint64_t proved_gone_us;       /* last proof that it is gone; 0: none */
    uint64_t taken_over_us; /* when its arc was claimed here; 0: was not */
    /* The first time, since this agent became the guardian of that agent, at
       which it had no lease record of it; 0: it is not the guardian, or has
       always had a record. */
    uint64_t guarded_since_us;
    BwLeaseRecord *lease_record; /* NULL: no lease was granted to it */
} BwAgentView;

/* An arc that this agent holds or has claimed. */
typedef struct BwHeldArc {
    char name[BW_NAME_BYTES_MAX];
    uint64_t claimed_us;
    bool is_active; /* the guardian knows of the claim, so it is served */
    /* The lease record had every local run of its agent. */
    bool has_all_local_runs;
    BwPriorCustody prior_custody;
} BwHeldArc;

typedef struct BwCustodyPort {
    void (*request)(void *ctx, BwSpan agent, const BwLeaseRequest *request);
    void (*grant)(void *ctx, BwSpan agent, const BwLeaseGrant *grant);
    /* Writes the jobs that were started on the local host to `jobs`, which
       has room for `capacity` ids.  Returns false when not all are known or
       `capacity` is too small. */
    bool (*list_local_runs)(void *ctx, BwJobId *jobs, uint32_t capacity,
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
    bool has_job_table;         /* this process has held its own arc before */
    bool are_all_runs_recorded; /* the guardian has every local run */
    bool is_stopping;
    bool is_released; /* the guardian has taken over after a planned stop */
    /* The guardian that the lease was requested from; empty: none, or this
       agent itself. */
    char guardian[BW_NAME_BYTES_MAX];
    BwHeldArc arcs[BW_ARCS_MAX];
    uint32_t arc_count;
    /* Arcs of other agents that this process has ever held. */
    char past_arcs[BW_ARCS_MAX][BW_NAME_BYTES_MAX];
    uint32_t past_arc_count;
    BwAgentView *agent_views;
    uint32_t agent_view_count;
    uint32_t local_run_count; /* local runs in all lease records */
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

/* The process of agent `name`, as last seen, is proved gone.  The proof is
   valid for the duration of one lease, so repeat the call while the process is
   still proved gone.  BwCustody_OnAgentSeen revokes it. */
void
BwCustody_OnAgentGone(BwCustody *custody, uint64_t now_us, BwSpan name);

/* The agent is alive: revokes the proof that it is gone. */
void
BwCustody_OnAgentSeen(BwCustody *custody, BwSpan name);

/* Records that `owner` has announced that it holds the arc. */
void
BwCustody_OnNotice(BwCustody *custody, BwSpan arc, BwSpan owner);

/* Handles a lease request, as the guardian of agent `from`: grants the lease
   through port->grant, or does nothing when it must not grant one. */
void
BwCustody_OnLeaseRequest(BwCustody *custody, uint64_t now_us, BwSpan from,
                         const BwLeaseRequest *request);

/* Handles an answer to this agent's lease request.  A grant from another agent
   than the one that was asked last is ignored. */
void
BwCustody_OnLeaseGrant(BwCustody *custody, uint64_t now_us, BwSpan from,
                       const BwLeaseGrant *grant);

/* Records a local run of agent `from`.  Returns false when it is refused: this
   agent has granted `from` no lease, or has taken its arcs over, or has
   recorded BW_LOCAL_RUNS_MAX local runs already. */
bool
BwCustody_OnLocalRunNotice(BwCustody *custody, uint64_t now_us, BwSpan from,
                           const BwLocalRunNotice *notice);

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
   agent.  Call it several times per lease. */
void
BwCustody_Tick(BwCustody *custody, uint64_t now_us);

/* Returns an agent that is to be removed from the ring, because its arc has
   been held here for twice the life of a job and no job that it started is
   left; NULL for none.  The same agent is not returned again for twice the
   life of a job. */
const BwAgent *
BwCustody_NextToRemove(BwCustody *custody, uint64_t now_us);

#endif
