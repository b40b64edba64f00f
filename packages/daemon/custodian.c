/* custodian.c -- connects custody and recovery of an agent to its peers

   The custody, recovery and fence modules of the core decide.  This module
   translates agent names to connections, and reports an agent as gone when
   peers.c has proof of it.
*/

#include <stdlib.h>
#include <string.h>

#include "custodian.h"

#define TICK_INTERVAL_US 20000
#define CUSTODY_BROADCAST_INTERVAL_US 1000000
#define LEDGER_LIMIT_FACTOR 2 /* ledger limits, in multiples of the home's */

/* ----------------------------------------------- callbacks of custody */

static void
send_to_agent(BwCustodian *custodian, BwSpan name, const BwMessage *message)
{
    BwPeer *peer = BwPeers_FindAgent(&custodian->daemon->peers, name);

    if (peer != NULL)
        BwPeers_Send(&custodian->daemon->peers, peer->id, message);
}

static void
custody_request_lease(void *ctx, BwSpan agent, const BwLeaseRequest *request)
{
    BwMessage message;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_LEASE_REQUEST;
    message.u.lease_request = *request;
    send_to_agent(ctx, agent, &message);
}

static void
custody_grant_lease(void *ctx, BwSpan agent, const BwLeaseGrant *grant)
{
    BwMessage message;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_LEASE_GRANT;
    message.u.lease_grant = *grant;
    send_to_agent(ctx, agent, &message);
}

static bool
custody_list_local_runs(void *ctx, BwJobId *jobs, uint32_t capacity,
                        uint32_t *count)
{
    BwCustodian *custodian = ctx;

    return BwHome_ListLocalRuns(custodian->home, jobs, capacity, count);
}

static void
custody_set_lease(void *ctx, uint64_t until_us, uint64_t ring_version,
                  BwSpan guardian)
{
    BwCustodian *custodian = ctx;

    BwHome_SetLease(custodian->home, BwClock_Now(), until_us, ring_version,
                    guardian);
}

static void
log_custody(const BwCustodian *custodian, const char *event, BwSpan arc,
            const char *reason)
{
    char name[BW_NAME_BYTES_MAX];

    BwSpan_ToString(arc, name, sizeof(name));
    BW_LOG(&custodian->daemon->logger, BW_LOG_INFO, event,
           BW_LOG_TEXT("arc", name), BW_LOG_TEXT("reason", reason));
}

static void
broadcast_custody(BwCustodian *custodian, BwSpan arc)
{
    BwMessage message;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_CUSTODY;
    message.u.custody.arc = arc;
    message.u.custody.owner =
        BwSpan_FromString(custodian->daemon->settings.name);
    BwPeers_BroadcastToAgentsAndEntries(&custodian->daemon->peers, &message);
}

static void
custody_gained(void *ctx, const BwGain *gain)
{
    static const char *const reasons[] = {
        [BW_PRIOR_CUSTODY_UNKNOWN] = "its previous holder is not known",
        [BW_PRIOR_CUSTODY_CONTINUED] = "no other agent held it",
        [BW_PRIOR_CUSTODY_ENDED] = "its previous holder has ended",
    };
    BwCustodian *custodian = ctx;

    log_custody(custodian, "custody_gained", gain->arc,
                reasons[gain->prior_custody]);
    if (BwHome_GainArc(custodian->home, BwClock_Now(), BwClock_WallNow(),
                       gain) == BW_OK) {
        BwHome_MarkWorkerDown(custodian->home, gain->arc);
        broadcast_custody(custodian, gain->arc);
    }
}

static void
custody_lost(void *ctx, BwSpan arc, BwSpan owner)
{
    BwCustodian *custodian = ctx;

    log_custody(custodian, "custody_lost", arc, "another agent holds it");
    BwHome_DropArc(custodian->home, arc, owner);
}

static const BwCustodyPort custody_port = {
    custody_request_lease, custody_grant_lease, custody_list_local_runs,
    custody_set_lease,     custody_gained,      custody_lost};

/* ---------------------------------------------------------- messages */

static BwSpan
agent_name(const BwCustodian *custodian, uint32_t id)
{
    BwPeer *peer = BwPeers_Find(&custodian->daemon->peers, id);

    if (id == BW_PEER_SELF)
        return BwSpan_FromString(custodian->daemon->settings.name);
    return BwSpan_FromString(peer != NULL ? peer->name : "");
}

static void
on_fence(BwCustodian *custodian, uint32_t peer, const BwFence *fence)
{
    if (BwExecutor_OnFence(custodian->executor, BwClock_Now(), peer, fence))
        BwCustody_OnFence(&custodian->custody, agent_name(custodian, peer),
                          fence);
}

static void
on_local_run_notice(BwCustodian *custodian, uint32_t peer,
                    const BwLocalRunNotice *notice)
{
    BwMessage message;
    bool is_recorded;

    if (notice->is_ack) {
        BwHome_OnLocalRunAck(custodian->home, BwClock_Now(), notice->job,
                             !notice->is_refused);
        return;
    }
    is_recorded =
        BwCustody_OnLocalRunNotice(&custodian->custody, BwClock_Now(),
                                   agent_name(custodian, peer), notice);
    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_LOCAL_RUN_NOTICE;
    message.u.local_run_notice.job = notice->job;
    message.u.local_run_notice.is_ack = 1;
    message.u.local_run_notice.is_refused = !is_recorded;
    BwPeers_Send(&custodian->daemon->peers, peer, &message);
}

static void
on_hand_over(BwCustodian *custodian, uint32_t peer, const BwHandOver *entry)
{
    if (custodian->hand_over_peer != peer) {
        custodian->hand_over_peer = peer;
        custodian->hand_over_received = 0;
    }
    if (BwExecutor_OnHandOver(custodian->executor, BwClock_Now(), entry))
        custodian->hand_over_received++;
}

/* Acknowledges the hand-over only when every entry was stored. */
static void
on_hand_over_end(BwCustodian *custodian, uint32_t peer,
                 const BwHandOverEnd *end)
{
    uint32_t count =
        custodian->hand_over_peer == peer ? custodian->hand_over_received : 0;
    BwMessage message;

    if (end->is_ack) {
        custodian->is_hand_over_acked = true;
        return;
    }
    custodian->hand_over_peer = BW_PEER_SELF;
    custodian->hand_over_received = 0;
    if (count != end->entry_count ||
        !BwExecutor_OnHandOverEnd(custodian->executor, BwClock_Now(),
                                  custodian->retention_us,
                                  agent_name(custodian, peer), end))
        return;
    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_HAND_OVER_END;
    message.u.hand_over_end.is_ack = 1;
    BwPeers_Send(&custodian->daemon->peers, peer, &message);
}

static void
on_custody_notice(BwCustodian *custodian, const BwCustodyNotice *notice)
{
    BwCustody_OnNotice(&custodian->custody, notice->arc, notice->owner);
    if (!BwSpan_Equal(notice->arc, notice->owner))
        BwHome_MarkWorkerDown(custodian->home, notice->arc);
}

bool
BwCustodian_OnMessage(BwCustodian *custodian, uint32_t peer,
                      const BwMessage *message)
{
    BwCustody *custody = &custodian->custody;
    uint64_t now_us = BwClock_Now();
    BwSpan sender = agent_name(custodian, peer);

    switch (message->kind) {
    case BW_MSG_LEASE_REQUEST:
        BwCustody_OnLeaseRequest(custody, now_us, sender,
                                 &message->u.lease_request);
        return true;
    case BW_MSG_LEASE_GRANT:
        BwCustody_OnLeaseGrant(custody, now_us, sender,
                               &message->u.lease_grant);
        return true;
    case BW_MSG_FENCE:
        on_fence(custodian, peer, &message->u.fence);
        return true;
    case BW_MSG_FENCE_ANSWER:
        BwHome_OnFenceAnswer(custodian->home, now_us, BwClock_WallNow(), peer,
                             &message->u.fence_answer);
        return true;
    case BW_MSG_RECOVER_REQUEST:
        BwExecutor_OnRecoverRequest(custodian->executor, peer,
                                    &message->u.recover_request);
        return true;
    case BW_MSG_CUSTODY:
        on_custody_notice(custodian, &message->u.custody);
        return true;
    case BW_MSG_LOCAL_RUN_NOTICE:
        on_local_run_notice(custodian, peer, &message->u.local_run_notice);
        return true;
    case BW_MSG_HAND_OVER:
        on_hand_over(custodian, peer, &message->u.hand_over);
        return true;
    case BW_MSG_HAND_OVER_END:
        on_hand_over_end(custodian, peer, &message->u.hand_over_end);
        return true;
    default:
        return false;
    }
}

void
BwCustodian_SendLocalRunNotice(BwCustodian *custodian, BwJobId job,
                               uint64_t expires_in_us)
{
    BwMessage message;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_LOCAL_RUN_NOTICE;
    message.u.local_run_notice.job = job;
    message.u.local_run_notice.expires_in_us = expires_in_us;
    if (custodian->custody.guardian[0] != '\0') {
        send_to_agent(custodian,
                      BwSpan_FromString(custodian->custody.guardian),
                      &message);
        return;
    }
    /* Without a guardian every other agent is gone, so no agent can take over
       without asking this one: the notice counts as acknowledged. */
    message.u.local_run_notice.is_ack = 1;
    BwPeers_Send(&custodian->daemon->peers, BW_PEER_SELF, &message);
}

/* -------------------------------------------------------------- peers */

void
BwCustodian_OnPeerUp(BwCustodian *custodian, BwPeer *peer)
{
    BwSpan name = BwSpan_FromString(peer->name);

    BwCustody_OnAgentSeen(&custodian->custody, name);
    BwHome_LinkLost(custodian->home, BwClock_Now(), peer->id);
}

void
BwCustodian_OnPeerDown(BwCustodian *custodian, BwPeer *peer, bool is_gone)
{
    if (is_gone)
        BwCustody_OnAgentGone(&custodian->custody, BwClock_Now(),
                              BwSpan_FromString(peer->name));
    else
        BwHome_LinkLost(custodian->home, BwClock_Now(), peer->id);
}

static void
report_gone_agents(BwCustodian *custodian)
{
    BwPeer *peer = custodian->daemon->peers.table;

    for (; peer != NULL; peer = peer->hh.next) {
        if (peer->role == BW_ROLE_AGENT && peer->is_proved_gone)
            BwCustody_OnAgentGone(&custodian->custody, peer->proved_gone_us,
                                  BwSpan_FromString(peer->name));
    }
}

/* --------------------------------------------------------------- time */

static void
rebroadcast_custody(BwCustodian *custodian, uint64_t now_us)
{
    const BwCustody *custody = &custodian->custody;

    if (now_us < custodian->next_broadcast_us)
        return;
    custodian->next_broadcast_us = now_us + CUSTODY_BROADCAST_INTERVAL_US;
    for (uint32_t i = 0; i < custody->arc_count; i++) {
        const BwHeldArc *arc = &custody->arcs[i];

        if (arc->is_active && strcmp(arc->name, custody->name) != 0)
            broadcast_custody(custodian, BwSpan_FromString(arc->name));
    }
}

static void
remove_expired_agent(BwCustodian *custodian, uint64_t now_us)
{
    const BwAgent *agent = BwCustody_NextToRemove(&custodian->custody, now_us);
    BwMembershipRequest *request;

    if (agent == NULL)
        return;
    request = calloc(1, sizeof(BwMembershipRequest));
    if (request == NULL)
        return;
    log_custody(custodian, "member_removed", BwSpan_FromString(agent->name),
                "it was gone for longer than any of its jobs can live");
    request->header.kind = BW_THREAD_MSG_MEMBERSHIP;
    request->agent = *agent;
    BwEventLoop_Post(&custodian->daemon->directory.event_loop,
                     &request->header);
}

void
BwCustodian_Tick(BwCustodian *custodian, uint64_t now_us)
{
    if (now_us < custodian->next_tick_us)
        return;
    custodian->next_tick_us = now_us + TICK_INTERVAL_US;
    report_gone_agents(custodian);
    BwCustody_Tick(&custodian->custody, now_us);
    BwHome_RecoveryTick(custodian->home, now_us, BwClock_WallNow());
    rebroadcast_custody(custodian, now_us);
    remove_expired_agent(custodian, now_us);
}

void
BwCustodian_OnRing(BwCustodian *custodian)
{
    BwDaemon *daemon = custodian->daemon;
    const BwRing *ring = &daemon->ring;

    for (uint32_t i = 0; i < ring->agent_count; i++) {
        BwSpan name = BwSpan_FromString(ring->agents[i].name);
        BwPeer *peer = BwPeers_FindAgent(&daemon->peers, name);
        bool is_self =
            strcmp(ring->agents[i].name, daemon->settings.name) == 0;

        if (is_self)
            BwHome_AddWorker(custodian->home, BW_PEER_SELF, name, true);
        else if (peer != NULL)
            BwHome_AddWorker(custodian->home, peer->id, name, false);
    }
    custodian->executor->previous = daemon->previous_incarnation;
    BwExecutor_SetRing(custodian->executor, ring);
    BwHome_SetRing(custodian->home, BwClock_Now(), ring, daemon->incarnation);
    BwCustody_SetRing(&custodian->custody, BwClock_Now(), ring);
}

void
BwCustodian_Init(BwCustodian *custodian, BwDaemon *daemon, BwHome *home,
                 BwExecutor *executor)
{
    const BwLimits *limits = &daemon->settings.limits;

    memset(custodian, 0, sizeof(*custodian));
    custodian->daemon = daemon;
    custodian->home = home;
    custodian->executor = executor;
    executor->started_us = BwClock_Now();
    executor->incarnation = daemon->incarnation;
    executor->jobs_max = LEDGER_LIMIT_FACTOR * limits->jobs;
    executor->bytes_max = LEDGER_LIMIT_FACTOR * limits->job_bytes;
    custodian->retention_us =
        (limits->job_lifetime_ms + limits->answer_kept_ms) * 1000;
    BwCustody_Init(&custodian->custody,
                   BwSpan_FromString(daemon->settings.name),
                   daemon->incarnation, limits->lease_ms * 1000,
                   custodian->retention_us, &custody_port, custodian);
    BwCustodian_OnRing(custodian);
}

void
BwCustodian_Finish(BwCustodian *custodian)
{
    BwCustody_Finish(&custodian->custody);
}

BwSpan
BwCustodian_OwnerOf(const BwCustodian *custodian, BwJobId job)
{
    const BwRing *ring = &custodian->daemon->ring;
    int32_t index = BwRing_Find(ring, job);
    BwSpan nobody = {"", 0};

    if (index < 0)
        return nobody;
    return BwCustody_OwnerOf(&custodian->custody,
                             BwSpan_FromString(ring->agents[index].name));
}

/* ------------------------------------------------------- planned stop */

void
BwCustodian_Stop(BwCustodian *custodian)
{
    BwCustody_Stop(&custodian->custody, BwClock_Now());
}

bool
BwCustodian_IsStopped(BwCustodian *custodian)
{
    const BwCustody *custody = &custodian->custody;
    BwPeer *peer = BwPeers_FindAgent(&custodian->daemon->peers,
                                     BwSpan_FromString(custody->guardian));

    if (custody->guardian[0] == '\0' || peer == NULL)
        return true;
    if (!custody->is_released || custodian->executor->busy > 0)
        return false;
    if (!custodian->is_hand_over_sent) {
        custodian->is_hand_over_sent = true;
        BwExecutor_HandOver(custodian->executor, BwClock_Now(), peer->id);
    }
    return custodian->is_hand_over_acked;
}
