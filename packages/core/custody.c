/* custody.c -- which arcs this agent may grant starts for, and until when

   Custody of an arc is protected by leases.  Each agent requests its lease
   from its guardian, the next live agent in the guardian order of the ring,
   which is in another failure domain where possible.  The agent counts the
   lease from the time before it sent the request.  The guardian counts it from
   the arrival of the request and adds a margin for clock drift, so it never
   treats the lease as ended before the agent does.  When the lease has ended,
   or the agent is proved gone, the guardian claims the agent's arcs.  A
   claimed arc is served only after the claimant's own guardian knows of the
   claim.  So a lease record lists all arcs that its holder serves, and a
   further takeover includes the arcs that the holder had taken over itself.

   A guardian without a record of the agent's lease, for example because it has
   just started, claims the arcs too, but says that it knows nothing of their
   prior custody; the home then grants nothing until every executor has been
   asked.  The same holds for an agent whose guardian cannot say who held the
   arc before.  So the loss of a record is never unsafe; it costs a pause.

   An agent changes its guardian only after the former one has dropped the
   record of its lease, or is proved gone, or the lease has ended.  A guardian
   whose own lease has ended drops every record, since others may have acted in
   its place.

   When an agent that is proved gone is skipped in the search for a guardian,
   the lease ends when the proof does: another process of that name may have
   started since, and it waits for a whole lease before it claims anything.

   The daemon's custodian.c delivers messages and time to this module and
   passes gained and lost arcs to the home (recovery.c).
*/

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "custody.h"

/* The margin for the drift of two clocks is the lease divided by this. */
#define DRIFT_MARGIN_DIVISOR 20
#define RENEWALS_PER_LEASE 3
/* Lease requests per lease length while no lease is held. */
#define RETRIES_PER_LEASE 40

/* The number of a term is the incarnation of the process that granted the
   lease, times this, plus a count, so it identifies that process.  The numbers
   are no longer unique after this many terms of one process. */
#define TERMS_PER_INCARNATION 65536

/* A lost agent is removed after this many job lives. */
#define REMOVAL_JOB_LIVES 2

struct BwLocalRun {
    BwJobId job;
    UT_hash_handle hh;
    uint64_t expires_us;
};

void
BwCustody_Init(BwCustody *custody, BwSpan name, uint64_t incarnation,
               uint64_t lease_us, uint64_t job_life_us,
               const BwCustodyPort *port, void *port_ctx)
{
    memset(custody, 0, sizeof(*custody));
    BwSpan_ToString(name, custody->name, sizeof(custody->name));
    custody->incarnation = incarnation;
    custody->lease_us = lease_us;
    custody->margin_us = lease_us / DRIFT_MARGIN_DIVISOR;
    custody->job_life_us = job_life_us;
    custody->port = port;
    custody->port_ctx = port_ctx;
}

static void
free_lease_record(BwCustody *custody, BwAgentView *view)
{
    BwLocalRun *run, *next;

    if (view->lease_record == NULL)
        return;
    HASH_ITER(hh, view->lease_record->local_runs, run, next)
    {
        HASH_DEL(view->lease_record->local_runs, run);
        free(run);
        custody->local_run_count--;
    }
    free(view->lease_record);
    view->lease_record = NULL;
}

static void
free_agent_views(BwCustody *custody)
{
    for (uint32_t i = 0; i < custody->agent_view_count; i++)
        free_lease_record(custody, &custody->agent_views[i]);
    free(custody->agent_views);
    custody->agent_views = NULL;
    custody->agent_view_count = 0;
}

void
BwCustody_Finish(BwCustody *custody)
{
    free_agent_views(custody);
    memset(custody, 0, sizeof(*custody));
}

static BwAgentView *
find_view(const BwCustody *custody, BwSpan name)
{
    int32_t index;

    if (custody->ring == NULL)
        return NULL;
    index = BwRing_IndexOf(custody->ring, name);
    return index >= 0 ? &custody->agent_views[index] : NULL;
}

static int32_t
find_arc(const BwCustody *custody, const char *name)
{
    for (uint32_t i = 0; i < custody->arc_count; i++) {
        if (strcmp(custody->arcs[i].name, name) == 0)
            return (int32_t)i;
    }
    return -1;
}

static bool
is_listed(char (*names)[BW_NAME_BYTES_MAX], uint32_t count, const char *name)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0)
            return true;
    }
    return false;
}

/* Records that this process has held the arc of another agent; the entry is
   never removed. */
static void
add_past_arc(BwCustody *custody, const char *name)
{
    if (custody->past_arc_count < BW_ARCS_MAX &&
        !is_listed(custody->past_arcs, custody->past_arc_count, name))
        memcpy(custody->past_arcs[custody->past_arc_count++], name,
               BW_NAME_BYTES_MAX);
}

static BwHeldArc *
add_arc(BwCustody *custody, uint64_t now_us, const char *name,
        BwPriorCustody prior_custody, bool has_all_local_runs)
{
    BwHeldArc *arc;

    if (custody->arc_count == BW_ARCS_MAX)
        return NULL;
    arc = &custody->arcs[custody->arc_count++];
    memset(arc, 0, sizeof(*arc));
    memcpy(arc->name, name, sizeof(arc->name));
    arc->claimed_us = now_us;
    if (strcmp(name, custody->name) != 0)
        add_past_arc(custody, name);
    arc->prior_custody = prior_custody;
    arc->has_all_local_runs = has_all_local_runs;
    return arc;
}

static void
drop_arc(BwCustody *custody, uint32_t at, const char *owner)
{
    BwHeldArc dropped = custody->arcs[at];
    BwAgentView *view = find_view(custody, BwSpan_FromString(dropped.name));

    custody->arc_count--;
    memmove(custody->arcs + at, custody->arcs + at + 1,
            (custody->arc_count - at) * sizeof(BwHeldArc));
    if (view != NULL && strcmp(view->owner, custody->name) == 0)
        view->owner[0] = '\0';
    if (strcmp(dropped.name, custody->name) == 0)
        custody->term = 0;
    if (dropped.is_active)
        custody->port->lost(custody->port_ctx, BwSpan_FromString(dropped.name),
                            BwSpan_FromString(owner));
}

void
BwCustody_SetRing(BwCustody *custody, uint64_t now_us, const BwRing *ring)
{
    BwAgentView *views = calloc(ring->agent_count + 1, sizeof(BwAgentView));

    (void)now_us;
    if (views == NULL)
        return;
    for (uint32_t i = 0; i < ring->agent_count; i++) {
        memcpy(views[i].name, ring->agents[i].name, sizeof(views[i].name));
        views[i].incarnation = ring->agents[i].incarnation;
    }
    for (uint32_t i = 0; i < custody->agent_view_count; i++) {
        BwAgentView *old = &custody->agent_views[i];
        int32_t index = BwRing_IndexOf(ring, BwSpan_FromString(old->name));

        if (index < 0)
            continue;
        views[index] = *old;
        old->lease_record = NULL;
        views[index].incarnation = ring->agents[index].incarnation;
        if (old->incarnation != views[index].incarnation) {
            views[index].proved_gone_us = 0;
            views[index].taken_over_us = 0;
        }
        /* The removal may have moved keys to this agent's arc for which a
           former custodian has started tasks on this agent's host; the local
           runs that the agent has listed do not include them. */
        if (views[index].lease_record != NULL &&
            ring->removed_version != custody->removed_version)
            views[index].lease_record->has_all_local_runs = false;
    }
    free_agent_views(custody);
    custody->ring = ring;
    custody->removed_version = ring->removed_version;
    custody->agent_views = views;
    custody->agent_view_count = ring->agent_count;
    for (uint32_t i = custody->arc_count; i > 0; i--) {
        const char *name = custody->arcs[i - 1].name;

        if (BwRing_IndexOf(ring, BwSpan_FromString(name)) < 0)
            drop_arc(custody, i - 1, "");
    }
    custody->next_request_us = 0;
}

/* ----------------------------------------------- choice of guardians */

static bool
is_proved_gone(const BwCustody *custody, uint64_t now_us,
               const BwAgentView *view)
{
    return view->proved_gone_us != 0 &&
           now_us < view->proved_gone_us + custody->lease_us;
}

/* Returns the index of the guardian of agent `index`, or `index` when every
   other agent is gone.  An agent whose arc another live agent has announced is
   replaced by that one.  Lowers *cap_us to the time from which a skipped agent
   may act again. */
static uint32_t
find_guardian(const BwCustody *custody, uint64_t now_us, uint32_t index,
              uint64_t *cap_us)
{
    uint32_t at = index;

    for (uint32_t i = 1; i < custody->agent_view_count; i++) {
        const BwAgentView *view;
        int32_t owner = -1;

        at = BwRing_Guardian(custody->ring, at);
        view = &custody->agent_views[at];
        if (strcmp(view->name, custody->name) == 0)
            return at;
        if (is_proved_gone(custody, now_us, view)) {
            uint64_t end_us = view->proved_gone_us + custody->lease_us;

            *cap_us = end_us < *cap_us ? end_us : *cap_us;
            continue;
        }
        if (view->owner[0] == '\0')
            return at;
        owner = BwRing_IndexOf(custody->ring, BwSpan_FromString(view->owner));
        if (owner >= 0 && (uint32_t)owner != index &&
            !is_proved_gone(custody, now_us, &custody->agent_views[owner]))
            return (uint32_t)owner;
    }
    return index;
}

void
BwCustody_OnAgentGone(BwCustody *custody, uint64_t now_us, BwSpan name)
{
    BwAgentView *view = find_view(custody, name);

    if (view != NULL)
        view->proved_gone_us = now_us;
}

void
BwCustody_OnAgentSeen(BwCustody *custody, BwSpan name)
{
    BwAgentView *view = find_view(custody, name);

    if (view != NULL)
        view->proved_gone_us = 0;
}

void
BwCustody_OnNotice(BwCustody *custody, BwSpan arc, BwSpan owner)
{
    BwAgentView *view = find_view(custody, arc);

    if (view == NULL)
        return;
    BwSpan_ToString(owner, view->owner, sizeof(view->owner));
    if (BwSpan_Equal(arc, owner))
        view->owner[0] = '\0';
    custody->next_request_us = 0;
}

BwSpan
BwCustody_OwnerOf(const BwCustody *custody, BwSpan arc)
{
    const BwAgentView *view = find_view(custody, arc);

    if (view == NULL || view->owner[0] == '\0')
        return arc;
    return BwSpan_FromString(view->owner);
}

/* ------------------------------------------------------- as custodian */

/* Begins to serve the arcs that were claimed up to `known_us`, the time of the
   last request that the guardian has answered. */
static void
activate_arcs(BwCustody *custody, uint64_t known_us)
{
    for (uint32_t i = 0; i < custody->arc_count; i++) {
        BwHeldArc *arc = &custody->arcs[i];
        BwSpan name = BwSpan_FromString(arc->name);
        BwAgentView *view = find_view(custody, name);
        BwGain gain = {name, arc->prior_custody, arc->has_all_local_runs, NULL,
                       0};
        BwJobId *local_runs = NULL;

        if (arc->is_active || arc->claimed_us > known_us)
            continue;
        arc->is_active = true;
        if (view == NULL || view->lease_record == NULL)
            gain.has_all_local_runs = false;
        if (gain.has_all_local_runs) {
            BwLeaseRecord *record = view->lease_record;

            local_runs =
                calloc(HASH_COUNT(record->local_runs) + 1, sizeof(BwJobId));
            if (local_runs == NULL)
                gain.has_all_local_runs = false;
            for (BwLocalRun *n = record->local_runs;
                 local_runs != NULL && n != NULL; n = n->hh.next)
                local_runs[gain.local_run_count++] = n->job;
            gain.local_runs = local_runs;
        }
        custody->port->gained(custody->port_ctx, &gain);
        free(local_runs);
    }
}

/* Gains this agent's own arc, with what the guardian knows of its prior
   custody. */
static void
gain_own_arc(BwCustody *custody, uint64_t now_us, const BwLeaseGrant *grant)
{
    BwGain gain = {BwSpan_FromString(custody->name), BW_PRIOR_CUSTODY_UNKNOWN,
                   false, NULL, 0};
    BwHeldArc *arc = add_arc(custody, now_us, custody->name,
                             BW_PRIOR_CUSTODY_UNKNOWN, false);

    if (arc == NULL)
        return;
    if (grant->prior_custody == BW_PRIOR_CUSTODY_ENDED) {
        gain.prior_custody = BW_PRIOR_CUSTODY_ENDED;
        gain.has_all_local_runs = grant->has_all_local_runs != 0;
        gain.local_runs = grant->local_runs;
        gain.local_run_count = grant->local_run_count;
    }
    arc->is_active = true;
    custody->has_job_table = true;
    custody->port->gained(custody->port_ctx, &gain);
}

static void
discard_lease_records(BwCustody *custody)
{
    for (uint32_t i = 0; i < custody->agent_view_count; i++) {
        free_lease_record(custody, &custody->agent_views[i]);
        custody->agent_views[i].guarded_since_us = 0;
    }
}

static void
apply_lease(BwCustody *custody, uint64_t now_us, uint64_t until_us,
            uint64_t known_us, const BwLeaseGrant *grant)
{
    bool is_lapsed = custody->until_us != 0 && now_us >= custody->until_us;
    bool is_interrupted =
        grant->prior_custody == BW_PRIOR_CUSTODY_ENDED ||
        (is_lapsed && grant->prior_custody != BW_PRIOR_CUSTODY_CONTINUED);

    if (until_us <= now_us)
        return;
    if (is_lapsed) {
        custody->lapses++;
        discard_lease_records(custody);
    }
    for (uint32_t i = custody->arc_count; i > 0 && is_interrupted; i--)
        drop_arc(custody, i - 1, "");
    custody->term = grant->term;
    if (until_us > custody->until_us)
        custody->until_us = until_us;
    custody->port->lease(custody->port_ctx, custody->until_us,
                         grant->ring_version,
                         BwSpan_FromString(custody->guardian));
    activate_arcs(custody, known_us);
    if (find_arc(custody, custody->name) < 0)
        gain_own_arc(custody, now_us, grant);
}

static void
send_lease_request(BwCustody *custody, uint64_t now_us, const char *guardian,
                   BwLeaseRequestKind kind)
{
    BwName names[BW_ARCS_MAX + 1];
    BwName past_arcs[BW_ARCS_MAX];
    BwLeaseRequest request = {0};
    BwJobId *local_runs = NULL;

    request.incarnation = custody->incarnation;
    request.requested_us = now_us;
    request.ring_version = custody->ring->version;
    request.kind = kind;
    request.has_job_table = custody->has_job_table;
    request.term = custody->term;
    request.arcs = names;
    for (uint32_t i = 0; i < custody->arc_count; i++)
        names[request.arc_count++].name =
            BwSpan_FromString(custody->arcs[i].name);
    if (find_arc(custody, custody->name) < 0)
        names[request.arc_count++].name = BwSpan_FromString(custody->name);
    request.past_arcs = past_arcs;
    request.past_arc_count = custody->past_arc_count;
    for (uint32_t i = 0; i < custody->past_arc_count; i++)
        past_arcs[i].name = BwSpan_FromString(custody->past_arcs[i]);
    if (!custody->are_all_runs_recorded) {
        local_runs = calloc(BW_LOCAL_RUNS_MAX, sizeof(BwJobId));
        request.has_all_local_runs =
            local_runs != NULL &&
            custody->port->list_local_runs(custody->port_ctx, local_runs,
                                           BW_LOCAL_RUNS_MAX,
                                           &request.local_run_count);
        request.local_runs = local_runs;
        if (!request.has_all_local_runs)
            request.local_run_count = 0;
    }
    custody->port->request(custody->port_ctx, BwSpan_FromString(guardian),
                           &request);
    free(local_runs);
}

static void
grant_own_lease(BwCustody *custody, uint64_t now_us, uint64_t cap_us)
{
    BwLeaseGrant grant = {0};
    uint64_t until_us = now_us + custody->lease_us;

    custody->guardian[0] = '\0';
    custody->are_all_runs_recorded = false;
    grant.ring_version = custody->ring->version;
    apply_lease(custody, now_us, cap_us < until_us ? cap_us : until_us, now_us,
                &grant);
}

static void
renew_lease(BwCustody *custody, uint64_t now_us, uint32_t self)
{
    uint64_t cap_us = UINT64_MAX;
    uint32_t index = find_guardian(custody, now_us, self, &cap_us);
    const char *name = custody->agent_views[index].name;
    const BwAgentView *former =
        find_view(custody, BwSpan_FromString(custody->guardian));

    if (index == self) {
        grant_own_lease(custody, now_us, cap_us);
        return;
    }
    if (strcmp(custody->guardian, name) != 0) {
        if (former != NULL && now_us < custody->until_us &&
            !is_proved_gone(custody, now_us, former)) {
            send_lease_request(custody, now_us, custody->guardian,
                               BW_LEASE_MOVE);
            return;
        }
        memcpy(custody->guardian, name, sizeof(custody->guardian));
        custody->are_all_runs_recorded = false;
    }
    custody->requested_cap_us = cap_us;
    send_lease_request(custody, now_us, name,
                       custody->is_stopping ? BW_LEASE_STOP : BW_LEASE_RENEW);
}

static void
release_all_arcs(BwCustody *custody, const char *owner)
{
    custody->is_released = true;
    custody->until_us = 0;
    while (custody->arc_count > 0)
        drop_arc(custody, custody->arc_count - 1, owner);
    discard_lease_records(custody);
}

void
BwCustody_OnLeaseGrant(BwCustody *custody, uint64_t now_us, BwSpan from,
                       const BwLeaseGrant *grant)
{
    uint64_t until_us = grant->requested_us + grant->lease_us;

    if (!BwSpan_Equal(from, BwSpan_FromString(custody->guardian)) ||
        grant->requested_us > now_us || custody->is_released)
        return;
    if (grant->kind == BW_LEASE_MOVE) {
        custody->guardian[0] = '\0';
        custody->next_request_us = now_us;
        return;
    }
    if (grant->kind == BW_LEASE_STOP) {
        if (custody->is_stopping)
            release_all_arcs(custody, custody->guardian);
        return;
    }
    if (custody->requested_cap_us < until_us)
        until_us = custody->requested_cap_us;
    custody->are_all_runs_recorded = grant->are_runs_recorded != 0;
    apply_lease(custody, now_us, until_us, grant->requested_us, grant);
}

void
BwCustody_OnFence(BwCustody *custody, BwSpan from, const BwFence *fence)
{
    char owner[BW_NAME_BYTES_MAX];

    if (fence->holder == custody->incarnation)
        return;
    BwSpan_ToString(from, owner, sizeof(owner));
    for (uint32_t i = 0; i < fence->arc_count; i++) {
        char name[BW_NAME_BYTES_MAX];
        BwAgentView *view = find_view(custody, fence->arcs[i].name);
        int32_t at;

        /* The arc's agent has another guardian: the record is out of date. */
        if (view != NULL &&
            !BwSpan_Equal(fence->guardian, BwSpan_FromString(custody->name)))
            free_lease_record(custody, view);
        BwSpan_ToString(fence->arcs[i].name, name, sizeof(name));
        at = find_arc(custody, name);
        if (at >= 0)
            drop_arc(custody, (uint32_t)at, owner);
    }
}

void
BwCustody_Stop(BwCustody *custody, uint64_t now_us)
{
    custody->is_stopping = true;
    custody->next_request_us = now_us;
}

/* ------------------------------------------------------- as guardian */

static bool
add_local_run(BwCustody *custody, uint64_t now_us, BwLeaseRecord *record,
              BwJobId job)
{
    BwLocalRun *run;

    HASH_FIND(hh, record->local_runs, &job, sizeof(job), run);
    if (run == NULL) {
        if (custody->local_run_count >= BW_LOCAL_RUNS_MAX)
            return false;
        run = calloc(1, sizeof(BwLocalRun));
        if (run == NULL)
            return false;
        run->job = job;
        HASH_ADD(hh, record->local_runs, job, sizeof(run->job), run);
        custody->local_run_count++;
    }
    run->expires_us = now_us + custody->job_life_us;
    return true;
}

bool
BwCustody_OnLocalRunNotice(BwCustody *custody, uint64_t now_us, BwSpan from,
                           const BwLocalRunNotice *notice)
{
    BwAgentView *view = find_view(custody, from);

    if (view == NULL || view->lease_record == NULL ||
        view->lease_record->is_taken_over)
        return false;
    return add_local_run(custody, now_us, view->lease_record, notice->job);
}

/* Returns whether this agent is the requester's guardian only because it has
   taken over the former one, and the requester's custody was not interrupted:
   this agent has taken over every agent between the requester and itself, one
   of them granted the lease with number `term`, and none of them has ever held
   the requester's arc. */
static bool
is_guarding_inherited(const BwCustody *custody, uint32_t requester,
                      uint64_t term)
{
    const char *name = custody->agent_views[requester].name;
    uint32_t at = BwRing_Guardian(custody->ring, requester);
    bool has_granter = false;

    while (strcmp(custody->agent_views[at].name, custody->name) != 0) {
        BwLeaseRecord *record = custody->agent_views[at].lease_record;

        if (at == requester || record == NULL || !record->is_taken_over)
            return false;
        if (record->past_arc_count == BW_ARCS_MAX ||
            is_listed(record->past_arcs, record->past_arc_count, name))
            return false;
        if (term / TERMS_PER_INCARNATION ==
            (record->incarnation * TERMS_PER_INCARNATION) /
                TERMS_PER_INCARNATION)
            has_granter = true;
        at = BwRing_Guardian(custody->ring, at);
    }
    return has_granter;
}

static void
begin_term(BwCustody *custody, BwLeaseRecord *record)
{
    record->term =
        custody->incarnation * TERMS_PER_INCARNATION + ++custody->terms_begun;
    record->has_all_local_runs = false;
}

static void
update_lease_record(BwCustody *custody, uint64_t now_us, BwAgentView *view,
                    const BwLeaseRequest *request)
{
    BwLeaseRecord *record = view->lease_record;

    if (record == NULL) {
        record = calloc(1, sizeof(BwLeaseRecord));
        if (record == NULL)
            return;
        view->lease_record = record;
    }
    if (request->term != record->term ||
        record->incarnation != request->incarnation || record->is_taken_over)
        begin_term(custody, record);
    record->incarnation = request->incarnation;
    record->requested_us = now_us;
    record->until_us = now_us + custody->lease_us + custody->margin_us;
    record->is_taken_over = false;
    record->has_all_local_runs =
        record->has_all_local_runs ||
        (request->has_all_local_runs && request->term == record->term &&
         request->ring_version >= custody->ring->removed_version);
    record->arc_count = 0;
    for (uint32_t i = 0; i < request->arc_count && i < BW_ARCS_MAX; i++)
        BwSpan_ToString(request->arcs[i].name,
                        record->arcs[record->arc_count++], BW_NAME_BYTES_MAX);
    record->past_arc_count = 0;
    for (uint32_t i = 0; i < request->past_arc_count && i < BW_ARCS_MAX; i++)
        BwSpan_ToString(request->past_arcs[i].name,
                        record->past_arcs[record->past_arc_count++],
                        BW_NAME_BYTES_MAX);
}

/* Claims the arcs in the view's lease record.  Returns false when BW_ARCS_MAX
   arcs are held. */
static bool
claim_recorded_arcs(BwCustody *custody, uint64_t now_us, BwAgentView *view,
                    bool has_all_local_runs)
{
    BwLeaseRecord *record = view->lease_record;

    for (uint32_t i = 0; i < record->arc_count; i++) {
        const char *name = record->arcs[i];
        BwAgentView *held = find_view(custody, BwSpan_FromString(name));
        bool is_own = strcmp(name, view->name) == 0;

        if (held == NULL || find_arc(custody, name) >= 0)
            continue;
        if (add_arc(custody, now_us, name, BW_PRIOR_CUSTODY_ENDED,
                    is_own && has_all_local_runs) == NULL)
            return false;
        memcpy(held->owner, custody->name, sizeof(held->owner));
        held->taken_over_us = now_us;
    }
    record->is_taken_over = true;
    custody->takeovers++;
    custody->next_request_us = now_us;
    return true;
}

/* Gives the requester's own arc back if this agent has claimed it, and sets
   what is known of the arc's prior custody in `grant`. */
static void
determine_prior_custody(BwCustody *custody, uint32_t index,
                        const BwLeaseRequest *request, BwLeaseGrant *grant)
{
    BwAgentView *view = &custody->agent_views[index];
    BwLeaseRecord *record = view->lease_record;
    int32_t at = find_arc(custody, view->name);
    bool is_taken_over = at >= 0;
    bool is_same =
        record != NULL && record->incarnation == request->incarnation;
    bool is_continued;

    if (is_taken_over)
        drop_arc(custody, (uint32_t)at, view->name);
    view->owner[0] = '\0';
    view->taken_over_us = 0;
    is_continued = record != NULL ? is_same && !record->is_taken_over &&
                                        request->term == record->term
                                  : !is_taken_over && request->has_job_table &&
                                        is_guarding_inherited(custody, index,
                                                              request->term);
    if (is_continued) {
        grant->prior_custody = BW_PRIOR_CUSTODY_CONTINUED;
    }
    else if (record != NULL && (!is_same || record->is_taken_over)) {
        grant->prior_custody = BW_PRIOR_CUSTODY_ENDED;
        grant->has_all_local_runs = !is_same && record->has_all_local_runs;
    }
}

static BwJobId *
copy_local_runs(const BwLeaseRecord *record, BwLeaseGrant *grant)
{
    BwJobId *local_runs =
        calloc(HASH_COUNT(record->local_runs) + 1, sizeof(BwJobId));

    if (local_runs == NULL) {
        grant->has_all_local_runs = 0;
        return NULL;
    }
    for (BwLocalRun *n = record->local_runs; n != NULL; n = n->hh.next)
        local_runs[grant->local_run_count++] = n->job;
    grant->local_runs = local_runs;
    return local_runs;
}

void
BwCustody_OnLeaseRequest(BwCustody *custody, uint64_t now_us, BwSpan from,
                         const BwLeaseRequest *request)
{
    BwAgentView *view = find_view(custody, from);
    BwLeaseGrant grant = {0};
    BwJobId *local_runs = NULL;
    uint64_t cap_us = UINT64_MAX;
    uint32_t index;

    if (view == NULL || custody->is_stopping ||
        strcmp(view->name, custody->name) == 0)
        return;
    if (custody->until_us != 0 && now_us >= custody->until_us)
        discard_lease_records(custody);
    index = (uint32_t)(view - custody->agent_views);
    grant.requested_us = request->requested_us;
    grant.kind = request->kind;
    grant.ring_version = custody->ring->version;
    view->proved_gone_us = 0;
    if (request->kind == BW_LEASE_MOVE) {
        free_lease_record(custody, view);
        custody->port->grant(custody->port_ctx, from, &grant);
        return;
    }
    if (strcmp(
            custody
                ->agent_views[find_guardian(custody, now_us, index, &cap_us)]
                .name,
            custody->name) != 0)
        return;
    if (request->kind == BW_LEASE_STOP) {
        if (view->lease_record == NULL || !view->lease_record->is_taken_over) {
            update_lease_record(custody, now_us, view, request);
            if (view->lease_record == NULL)
                return;
            /* The stopping executor still answers for its starts, and its
               ledger is handed over to this host when it ends. */
            view->lease_record->has_all_local_runs = false;
            if (!claim_recorded_arcs(custody, now_us, view, false))
                return;
        }
        custody->port->grant(custody->port_ctx, from, &grant);
        return;
    }
    determine_prior_custody(custody, index, request, &grant);
    if (grant.has_all_local_runs)
        local_runs = copy_local_runs(view->lease_record, &grant);
    update_lease_record(custody, now_us, view, request);
    if (view->lease_record != NULL) {
        bool are_all_added = true;

        for (uint32_t i = 0; i < request->local_run_count && are_all_added;
             i++)
            are_all_added = add_local_run(custody, now_us, view->lease_record,
                                          request->local_runs[i]);
        if (!are_all_added)
            free_lease_record(custody, view);
    }
    if (view->lease_record != NULL) {
        grant.lease_us = custody->lease_us;
        grant.term = view->lease_record->term;
        grant.are_runs_recorded = view->lease_record->has_all_local_runs;
        custody->port->grant(custody->port_ctx, from, &grant);
    }
    free(local_runs);
}

/* Claims the arc of an agent without a lease record, once the agent is proved
   gone or leases that another guardian may have granted have ended. */
static void
claim_without_record(BwCustody *custody, uint64_t now_us, BwAgentView *view)
{
    uint64_t wait_us = 2 * custody->lease_us + custody->margin_us;

    if (view->guarded_since_us == 0)
        view->guarded_since_us = now_us;
    if (view->proved_gone_us == 0 && now_us < view->guarded_since_us + wait_us)
        return;
    if (find_arc(custody, view->name) >= 0 ||
        add_arc(custody, now_us, view->name, BW_PRIOR_CUSTODY_UNKNOWN,
                false) == NULL)
        return;
    memcpy(view->owner, custody->name, sizeof(view->owner));
    view->taken_over_us = now_us;
    custody->takeovers++;
    custody->next_request_us = now_us;
}

static void
expire_local_runs(BwCustody *custody, uint64_t now_us, BwLeaseRecord *record)
{
    BwLocalRun *run, *next;

    HASH_ITER(hh, record->local_runs, run, next)
    {
        if (now_us < run->expires_us)
            continue;
        HASH_DEL(record->local_runs, run);
        free(run);
        custody->local_run_count--;
    }
}

/* Returns whether a live agent other than this one has taken over the arc of
   the view's agent. */
static bool
is_held_by_other(const BwCustody *custody, uint64_t now_us,
                 const BwAgentView *view)
{
    const BwAgentView *owner;

    if (view->owner[0] == '\0' || strcmp(view->owner, custody->name) == 0)
        return false;
    owner = find_view(custody, BwSpan_FromString(view->owner));
    return owner != NULL && owner->owner[0] == '\0' &&
           !is_proved_gone(custody, now_us, owner);
}

/* Claims the arcs of the agents that this one guards when their lease has
   ended or they are proved gone. */
static void
check_leases(BwCustody *custody, uint64_t now_us, uint32_t self)
{
    for (uint32_t i = 0; i < custody->agent_view_count; i++) {
        BwAgentView *view = &custody->agent_views[i];
        BwLeaseRecord *record = view->lease_record;
        uint64_t cap_us = UINT64_MAX;

        if (record != NULL)
            expire_local_runs(custody, now_us, record);
        if (i == self || is_held_by_other(custody, now_us, view) ||
            find_guardian(custody, now_us, i, &cap_us) != self) {
            view->guarded_since_us = 0;
            if (record != NULL && now_us >= record->until_us)
                free_lease_record(custody, view);
            continue;
        }
        if (record == NULL)
            claim_without_record(custody, now_us, view);
        else if (!record->is_taken_over &&
                 (now_us >= record->until_us ||
                  view->proved_gone_us > record->requested_us))
            claim_recorded_arcs(custody, now_us, view,
                                record->has_all_local_runs);
    }
}

void
BwCustody_Tick(BwCustody *custody, uint64_t now_us)
{
    int32_t self;
    uint64_t interval_us = custody->lease_us / RENEWALS_PER_LEASE;

    if (custody->ring == NULL || custody->is_released)
        return;
    self = BwRing_IndexOf(custody->ring, BwSpan_FromString(custody->name));
    if (self < 0)
        return;
    if (now_us < custody->until_us && !custody->is_stopping)
        check_leases(custody, now_us, (uint32_t)self);
    if (now_us < custody->next_request_us)
        return;
    if (now_us >= custody->until_us || custody->guardian[0] == '\0')
        interval_us = custody->lease_us / RETRIES_PER_LEASE;
    custody->next_request_us = now_us + interval_us;
    renew_lease(custody, now_us, (uint32_t)self);
}

const BwAgent *
BwCustody_NextToRemove(BwCustody *custody, uint64_t now_us)
{
    for (uint32_t i = 0; i < custody->agent_view_count; i++) {
        BwAgentView *view = &custody->agent_views[i];

        if (view->taken_over_us == 0 || find_arc(custody, view->name) < 0 ||
            now_us <
                view->taken_over_us + REMOVAL_JOB_LIVES * custody->job_life_us)
            continue;
        view->taken_over_us = now_us;
        return &custody->ring->agents[i];
    }
    return NULL;
}
