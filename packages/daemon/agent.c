/* agent.c -- the role of an agent: the home and executor of one backend server

   The home accepts and dispatches the jobs of the arcs that this agent holds;
   the executor starts tasks on the backend server.  One event loop owns the
   home's jobs, the executor's slots, the links to other agents and the
   connection to the backend server, so nothing is locked.  Home and executor
   of the same process exchange messages too: tasks for the local executor and
   for remote ones take the same path, at the price of encoding each local
   message.  main.c calls this role through BwAgent_Ops.
*/

#include <stdlib.h>
#include <string.h>

#include "backend.h"
#include "custodian.h"
#include "daemon.h"
#include "servicecheck.h"

#define LOAD_CHANGE_INTERVAL_US 1000000
#define LOAD_HEARTBEAT_INTERVAL_US 5000000
/* With more peers than this, an agent reports its load less often. */
#define FULL_RATE_PEERS_MAX 32
#define ENTRY_HEARTBEAT_INTERVAL_US 10000000
#define SWEEP_INTERVAL_US 100000
#define GRANT_VALID_US 2000000
#define LEAVE_TIMEOUT_US 3000000

typedef struct Agent {
    BwDaemon *daemon;
    BwHome home;
    BwExecutor executor;
    BwBackend backend;
    BwCustodian custodian;
    bool was_in_ring; /* the last ring listed this agent */
    uint64_t next_sweep_us;
    bool is_leave_requested;
    bool has_left;
    /* The process stops at this time even if the hand-over has not ended;
       0: not yet set. */
    uint64_t leave_deadline_us;
    BwLoad last_load;  /* last broadcast to agents */
    BwLoad entry_load; /* last sent to entries */
    char entry_load_service[BW_NAME_BYTES_MAX];
    char refusal[BW_REFUSAL_BYTES];
    uint32_t last_queued;
    bool was_suspect;
} Agent;

/* ----------------------------------------- callbacks of home and executor */

#define SEND_AS(agent, peer, kind_, member, value)                            \
    do {                                                                      \
        BwMessage message_;                                                   \
        memset(&message_, 0, sizeof(message_));                               \
        message_.kind = kind_;                                                \
        message_.u.member = *(value);                                         \
        BwPeers_Send(&((Agent *)(agent))->daemon->peers, peer, &message_);    \
    } while (0)

static void
home_grant(void *ctx, uint32_t peer, const BwGrant *grant)
{
    SEND_AS(ctx, peer, BW_MSG_GRANT, grant, grant);
}

static void
home_release(void *ctx, uint32_t peer, const BwRelease *release)
{
    SEND_AS(ctx, peer, BW_MSG_RELEASE, release, release);
}

static void
home_result(void *ctx, BwWaiter waiter, const BwResult *result)
{
    SEND_AS(ctx, waiter.peer, BW_MSG_RESULT, result, result);
}

static void
executor_done(void *ctx, uint32_t peer, const BwDone *done)
{
    SEND_AS(ctx, peer, BW_MSG_DONE, done, done);
}

static void
executor_decline(void *ctx, uint32_t peer, const BwDecline *decline)
{
    SEND_AS(ctx, peer, BW_MSG_DECLINE, decline, decline);
}

static void
executor_pull(void *ctx, uint32_t peer, const BwPull *pull)
{
    SEND_AS(ctx, peer, BW_MSG_PULL, pull, pull);
}

static void
executor_start(void *ctx, const BwStart *start)
{
    Agent *agent = ctx;

    BwBackend_Start(&agent->backend, start);
}

static void
log_decision(void *ctx, const BwDecision *decision)
{
    Agent *agent = ctx;

    BwDaemon_LogDecision(agent->daemon, decision);
}

static void
home_fence(void *ctx, uint32_t peer, const BwFence *fence)
{
    SEND_AS(ctx, peer, BW_MSG_FENCE, fence, fence);
}

static void
home_request_recovery(void *ctx, uint32_t peer,
                      const BwRecoverRequest *request)
{
    SEND_AS(ctx, peer, BW_MSG_RECOVER_REQUEST, recover_request, request);
}

static void
home_record_local_run(void *ctx, BwJobId job, uint64_t expires_in_us)
{
    Agent *agent = ctx;

    BwCustodian_SendLocalRunNotice(&agent->custodian, job, expires_in_us);
}

static void
executor_answer_fence(void *ctx, uint32_t peer, const BwFenceAnswer *answer)
{
    SEND_AS(ctx, peer, BW_MSG_FENCE_ANSWER, fence_answer, answer);
}

static void
executor_send_ledger_entry(void *ctx, uint32_t peer, const BwHandOver *entry)
{
    SEND_AS(ctx, peer, BW_MSG_HAND_OVER, hand_over, entry);
}

static void
executor_end_hand_over(void *ctx, uint32_t peer, const BwHandOverEnd *end)
{
    SEND_AS(ctx, peer, BW_MSG_HAND_OVER_END, hand_over_end, end);
}

static bool
has_worker(void *ctx, BwSpan service)
{
    Agent *agent = ctx;

    return BwHome_HasWorker(&agent->home, service);
}

static BwErrorKind
check_submission(void *ctx, const BwSubmit *submit, const char **detail)
{
    Agent *agent = ctx;
    BwDaemon *daemon = agent->daemon;

    *detail = agent->refusal;
    return BwServiceCheck_Submission(&daemon->config, daemon->revision, submit,
                                     BwClock_WallNow(), has_worker, agent,
                                     agent->refusal);
}

static const BwHomePort home_port = {
    home_fence,   home_request_recovery, home_record_local_run, home_grant,
    home_release, home_result,           log_decision};
static const BwExecutorPort executor_port = {
    executor_start,         executor_done,         executor_decline,
    executor_pull,          executor_answer_fence, executor_send_ledger_entry,
    executor_end_hand_over, log_decision};

static void
on_task_ended(void *ctx, BwJobId job, uint32_t index, BwErrorKind error,
              uint32_t status, BwSpan body)
{
    Agent *agent = ctx;

    if (BwBackend_IsInDoubt(&agent->backend))
        BwExecutor_Pause(&agent->executor);
    BwExecutor_TaskEnded(&agent->executor, BwClock_Now(), job, index, error,
                         status, body);
}

/* ------------------------------------------------------------- load */

static BwLoad
current_load(Agent *agent)
{
    BwLoad load = {0};

    load.service = BwSpan_FromString(agent->executor.service);
    load.slots = agent->executor.slots;
    load.free_slots = BwExecutor_FreeSlots(&agent->executor);
    load.ended = agent->executor.outcomes.ended;
    load.failed_permille = agent->executor.outcomes.failed_permille;
    load.pace_permille = agent->executor.outcomes.pace_permille;
    load.queued = agent->executor.queue.counts;
    load.queued_count = BW_PRIORITIES;
    load.leaving = agent->executor.is_leaving;
    load.clock_us = BwClock_Now();
    load.revision = agent->daemon->revision;
    return load;
}

static void
update_local_load(Agent *agent, const BwLoad *load)
{
    BwHome_OnLoad(&agent->home, BwClock_Now(), BW_PEER_SELF,
                  BwSpan_FromString(agent->daemon->settings.name), true, load);
}

static void
broadcast_load(Agent *agent)
{
    BwMessage message;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_LOAD;
    message.u.load = current_load(agent);
    agent->last_load = message.u.load;
    agent->last_queued = agent->executor.queue.slots;
    agent->was_suspect = BwOutcomes_IsSuspect(&agent->executor.outcomes);
    BwPeers_BroadcastToAgents(&agent->daemon->peers, &message);
    update_local_load(agent, &message.u.load);
}

static bool
needs_immediate_report(const BwLoad *a, const BwLoad *b)
{
    return a->slots != b->slots || a->leaving != b->leaving ||
           a->revision != b->revision ||
           strcmp(a->service.base, b->service.base) != 0;
}

/* Operators read the state of the fleet from entries.  Changes that operators
   watch for are sent to entries at once, all else with a slow heartbeat. */
static void
send_load_to_entries(Agent *agent, uint64_t now_us)
{
    BwPeers *peers = &agent->daemon->peers;
    BwMessage message;
    bool is_changed;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_LOAD;
    message.u.load = current_load(agent);
    is_changed = needs_immediate_report(&message.u.load, &agent->entry_load);
    for (BwPeer *peer = peers->table; peer != NULL; peer = peer->hh.next) {
        if (peer->role != BW_ROLE_ENTRY ||
            (!is_changed && peer->load_sent_us != 0 &&
             now_us < peer->load_sent_us + ENTRY_HEARTBEAT_INTERVAL_US))
            continue;
        if (BwPeers_Send(peers, peer->id, &message))
            peer->load_sent_us = now_us;
    }
    agent->entry_load = message.u.load;
    strcpy(agent->entry_load_service, agent->executor.service);
    agent->entry_load.service = BwSpan_FromString(agent->entry_load_service);
}

/* Every agent sends its load to every other one.  The interval grows with
   their number, so that the bytes that one agent sends per second do not. */
static uint64_t
load_interval(const Agent *agent, uint64_t interval_us)
{
    uint32_t peers = HASH_COUNT(agent->daemon->peers.table);

    return peers > FULL_RATE_PEERS_MAX
               ? interval_us * peers / FULL_RATE_PEERS_MAX
               : interval_us;
}

static void
tick_load(Agent *agent, uint64_t now_us)
{
    BwLoad load = current_load(agent);
    uint64_t age_us = now_us - agent->last_load.clock_us;
    bool is_changed = load.free_slots != agent->last_load.free_slots ||
                      agent->executor.queue.slots != agent->last_queued;
    bool is_suspect = BwOutcomes_IsSuspect(&agent->executor.outcomes);

    if (is_suspect != agent->was_suspect ||
        age_us >= load_interval(agent, LOAD_HEARTBEAT_INTERVAL_US) ||
        (is_changed &&
         age_us >= load_interval(agent, LOAD_CHANGE_INTERVAL_US)))
        broadcast_load(agent);
}

/* --------------------------------------------------------- messages */

static void
on_load(Agent *agent, uint32_t id, const BwLoad *load)
{
    BwPeer *peer = BwPeers_Find(&agent->daemon->peers, id);

    BwPeers_UpdateReport(&agent->daemon->peers, id, load);
    if (peer != NULL)
        BwHome_OnLoad(&agent->home, BwClock_Now(), id,
                      BwSpan_FromString(peer->name), false, load);
}

static void
on_submit(Agent *agent, uint32_t peer, const BwSubmit *submit)
{
    BwWaiter waiter = {peer, submit->request_id};
    BwResult refused = {0};

    if (agent->daemon->is_leaving && !(submit->flags & BW_SUBMIT_ATTACH)) {
        refused.request_id = submit->request_id;
        refused.error = BW_ERR_LEAVING;
        home_result(agent, waiter, &refused);
        return;
    }
    if (!BwHome_Owns(&agent->home, BwClock_Now(),
                     BwJobId_Make(submit->member, submit->key))) {
        refused.request_id = submit->request_id;
        refused.error = BW_ERR_NOT_OWNER;
        refused.owner = BwCustodian_OwnerOf(
            &agent->custodian, BwJobId_Make(submit->member, submit->key));
        home_result(agent, waiter, &refused);
        return;
    }
    BwHome_Submit(&agent->home, BwClock_Now(), BwClock_WallNow(), waiter,
                  submit);
}

static void
on_message(void *ctx, uint32_t peer, const BwMessage *message)
{
    BwDaemon *daemon = ctx;
    Agent *agent = daemon->role;
    uint64_t now_us = BwClock_Now();
    BwWaiter waiter = {peer, 0};

    if (BwCustodian_OnMessage(&agent->custodian, peer, message))
        return;
    switch (message->kind) {
    case BW_MSG_SUBMIT:
        on_submit(agent, peer, &message->u.submit);
        break;
    case BW_MSG_WITHDRAW:
        waiter.request_id = message->u.withdraw.request_id;
        BwHome_RemoveWaiter(&agent->home, waiter);
        break;
    case BW_MSG_CANCEL:
        waiter.request_id = message->u.cancel.request_id;
        BwHome_Cancel(&agent->home, now_us, waiter, &message->u.cancel);
        break;
    case BW_MSG_GRANT:
        BwExecutor_OnGrant(&agent->executor, now_us, peer, &message->u.grant);
        break;
    case BW_MSG_RELEASE:
        BwExecutor_OnRelease(&agent->executor, now_us, peer,
                             &message->u.release);
        break;
    case BW_MSG_DECLINE:
        BwHome_OnDecline(&agent->home, now_us, peer, &message->u.decline);
        break;
    case BW_MSG_PULL:
        BwHome_OnPull(&agent->home, now_us, peer, &message->u.pull);
        break;
    case BW_MSG_DONE:
        BwHome_OnDone(&agent->home, now_us, peer, &message->u.done);
        break;
    case BW_MSG_LOAD:
        on_load(agent, peer, &message->u.load);
        break;
    case BW_MSG_CONFIG_REQUEST:
        BwConfigFetch_Answer(daemon, peer, &message->u.config_request);
        break;
    default:
        BW_LOG(&daemon->logger, BW_LOG_WARNING, "message_skipped",
               BW_LOG_NUMBER("kind", message->kind));
        break;
    }
}

static void
on_peer_up(void *ctx, BwPeer *peer)
{
    BwDaemon *daemon = ctx;
    Agent *agent = daemon->role;
    BwMessage message;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_LOAD;
    message.u.load = current_load(agent);
    message.u.load.is_first = 1;
    BwPeers_Send(&daemon->peers, peer->id, &message);
    BwCustodian_OnPeerUp(&agent->custodian, peer);
}

static void
on_peer_down(void *ctx, BwPeer *peer, bool is_gone)
{
    BwDaemon *daemon = ctx;
    Agent *agent = daemon->role;
    uint64_t now_us = BwClock_Now();
    BwWaiter waiter = {peer->id, 0};

    if (peer->role != BW_ROLE_AGENT) {
        BwHome_RemoveWaiter(&agent->home, waiter);
        return;
    }
    BwCustodian_OnPeerDown(&agent->custodian, peer, is_gone);
    if (!is_gone)
        return;
    BwHome_WorkerLost(&agent->home, now_us, peer->id);
    BwExecutor_HomeLost(&agent->executor, now_us, peer->id);
}

static const BwPeerEvents peer_events = {on_message, on_peer_up, on_peer_down};

/* ------------------------------------------------------------- HTTP */

/* Queues reservations in the order that the policy of this agent's service
   sets. */
static void
apply_service_policy(Agent *agent)
{
    const BwServicePolicy *policy = BwPolicy_Find(
        &agent->home.policy, BwSpan_FromString(agent->executor.service));

    BwExecutor_SetOrder(&agent->executor, policy->order);
}

static void
serve_announce(Agent *agent, BwExchange *exchange)
{
    BwAnnouncement announcement;
    const char *fault;
    bool is_changed;

    if (agent->daemon->is_leaving) {
        BwDaemon_ReplyError(exchange, BW_ERR_LEAVING, "the agent is leaving");
        return;
    }
    if (!BwAnnouncement_Read(&announcement, exchange->body, &fault)) {
        BwDaemon_ReplyError(exchange, BW_ERR_BAD_REQUEST, fault);
        return;
    }
    if (!BwBackend_Announce(&agent->backend, BwClock_Now(), &announcement)) {
        BwDaemon_ReplyError(exchange, BW_ERR_OVERLOADED,
                            "tasks still run at the previous address; repeat "
                            "the announcement later");
        return;
    }
    is_changed = agent->executor.slots != announcement.slots ||
                 strcmp(agent->executor.service, announcement.service) != 0;
    BwExecutor_Announce(&agent->executor,
                        BwSpan_FromString(announcement.service),
                        announcement.slots);
    apply_service_policy(agent);
    if (is_changed)
        broadcast_load(agent);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString("{\"state\":\"announced\"}"), 0);
}

static void
withdraw_backend(Agent *agent)
{
    agent->backend.expires_us = 0;
    BwExecutor_Announce(&agent->executor,
                        BwSpan_FromString(agent->executor.service), 0);
    broadcast_load(agent);
}

static void
on_backend_checked(void *ctx, bool is_there)
{
    Agent *agent = ctx;

    if (!is_there) {
        BW_LOG(&agent->daemon->logger, BW_LOG_WARNING, "backend_ended",
               BW_LOG_TEXT("service", agent->executor.service));
        withdraw_backend(agent);
    }
    BwExecutor_Resume(&agent->executor, BwClock_Now());
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    BwDaemon *daemon = ctx;
    Agent *agent = daemon->role;

    if (BwDaemon_ServeCommon(daemon, exchange))
        return;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/v1/drain")) &&
        BwSpan_Equal(exchange->method, BwSpan_FromString("POST"))) {
        BwDaemon_Leave(daemon, "drain");
        BwExchange_Reply(exchange, 202, "application/json",
                         BwSpan_FromString("{\"state\":\"draining\"}"), 0);
        return;
    }
    if (!BwSpan_Equal(exchange->path, BwSpan_FromString("/v1/backend"))) {
        BwDaemon_ReplyError(exchange, BW_ERR_NO_SUCH_PATH, "");
        return;
    }
    if (BwSpan_Equal(exchange->method, BwSpan_FromString("PUT"))) {
        serve_announce(agent, exchange);
        return;
    }
    if (BwSpan_Equal(exchange->method, BwSpan_FromString("DELETE"))) {
        withdraw_backend(agent);
        BwExchange_Reply(exchange, 200, "application/json",
                         BwSpan_FromString("{\"state\":\"leaving\"}"), 0);
        return;
    }
    BwDaemon_ReplyError(exchange, BW_ERR_BAD_REQUEST, "use PUT or DELETE");
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    (void)exchange;
}

static const BwHttpEvents http_events = {on_request, on_abort,
                                         BwDaemon_RefuseNoRoom};

/* ------------------------------------------------------------- role */

static void
request_membership(BwDaemon *daemon, bool is_join)
{
    BwMembershipRequest *request = calloc(1, sizeof(BwMembershipRequest));

    if (request == NULL)
        return;
    request->header.kind = BW_THREAD_MSG_MEMBERSHIP;
    request->is_join = is_join;
    strcpy(request->agent.name, daemon->settings.name);
    strcpy(request->agent.domain, daemon->settings.domain);
    strcpy(request->agent.host, daemon->settings.peer.host);
    request->agent.port = (uint16_t)daemon->settings.peer.port;
    request->agent.incarnation = daemon->incarnation;
    BwEventLoop_Post(&daemon->directory.event_loop, &request->header);
}

static bool
agent_init(BwDaemon *daemon)
{
    Agent *agent = calloc(1, sizeof(Agent));
    const BwLimits *limits = &daemon->settings.limits;
    BwHomeLimits home_limits = {0};
    BwHello hello = BwDaemon_Hello(daemon);
    uint16_t port = (uint16_t)daemon->settings.peer.port;

    if (agent == NULL)
        return false;
    daemon->role = agent;
    agent->daemon = daemon;
    agent->entry_load.service.base = agent->entry_load_service;
    home_limits.jobs_max = limits->jobs;
    home_limits.bytes_max = limits->job_bytes;
    home_limits.lifetime_us = limits->job_lifetime_ms * 1000;
    home_limits.keep_us = limits->answer_kept_ms * 1000;
    home_limits.grant_valid_us = GRANT_VALID_US;
    home_limits.skew_us = limits->clock_skew_ms * 1000;
    home_limits.hold_timeout_us = limits->silence_ms * 1000;
    BwHome_Init(&agent->home, &home_limits, &home_port, agent,
                daemon->incarnation);
    agent->home.check = check_submission;
    BwExecutor_Init(&agent->executor, home_limits.keep_us, &executor_port,
                    agent);
    BwBackend_Init(&agent->backend, daemon->event_loop.loop, on_task_ended,
                   on_backend_checked, agent);
    BwPeers_Init(&daemon->peers, daemon->event_loop.loop, &daemon->logger,
                 &hello, &peer_events, daemon);
    if (!BwPeers_Listen(&daemon->peers, daemon->settings.peer.host, &port))
        return false;
    daemon->settings.peer.port = port;
    if (!BwHttpServer_Init(&daemon->http, daemon->event_loop.loop,
                           daemon->settings.http.host,
                           (uint16_t)daemon->settings.http.port,
                           limits->body_bytes, &http_events, daemon))
        return false;
    BwCustodian_Init(&agent->custodian, daemon, &agent->home,
                     &agent->executor);
    request_membership(daemon, true);
    return true;
}

/* Finishes a planned stop once no job and no task is left and custody and
   ledger are handed over.  A drained agent then leaves the ring.  A stopped
   agent stays in the ring, since most restart soon; its guardian removes it if
   it does not. */
static void
tick_leave(BwDaemon *daemon, Agent *agent)
{
    BwSpan name = BwSpan_FromString(daemon->settings.name);

    if (!daemon->is_leaving || agent->has_left || agent->executor.busy > 0 ||
        BwHome_CountUnfinished(&agent->home) > 0 ||
        !BwCustodian_IsStopped(&agent->custodian))
        return;
    if (daemon->is_stopping) {
        agent->has_left = true;
        return;
    }
    if (!agent->is_leave_requested)
        request_membership(daemon, false);
    agent->is_leave_requested = true;
    agent->has_left = BwRing_IndexOf(&daemon->ring, name) < 0;
}

static void
agent_tick(BwDaemon *daemon, uint64_t now_us)
{
    Agent *agent = daemon->role;

    BwPeers_Tick(&daemon->peers, now_us);
    if (BwBackend_Tick(&agent->backend, now_us))
        withdraw_backend(agent);
    if (now_us >= agent->next_sweep_us) {
        BwHome_Tick(&agent->home, now_us);
        BwExecutor_Tick(&agent->executor, now_us);
        agent->next_sweep_us = now_us + SWEEP_INTERVAL_US;
    }
    BwHome_Flush(&agent->home, now_us);
    BwCustodian_Tick(&agent->custodian, now_us);
    tick_leave(daemon, agent);
    tick_load(agent, now_us);
    send_load_to_entries(agent, now_us);
}

/* A guardian removes an agent that was unreachable for long; an agent that is
   still running then joins again. */
static void
rejoin_if_removed(BwDaemon *daemon)
{
    Agent *agent = daemon->role;
    bool is_member =
        BwRing_IndexOf(&daemon->ring,
                       BwSpan_FromString(daemon->settings.name)) >= 0;

    if (agent->was_in_ring && !is_member && !daemon->is_leaving)
        request_membership(daemon, true);
    agent->was_in_ring = is_member;
}

static void
agent_on_ring(BwDaemon *daemon)
{
    Agent *agent = daemon->role;

    BwPeers_SetRing(&daemon->peers, &daemon->ring);
    BwCustodian_OnRing(&agent->custodian);
    rejoin_if_removed(daemon);
}

static void
agent_on_config(BwDaemon *daemon)
{
    Agent *agent = daemon->role;
    BwPolicy policy;

    if (BwConfigPolicy_Build(&daemon->config, &policy))
        BwHome_SetPolicy(&agent->home, &policy);
    apply_service_policy(agent);
}

static void
agent_stop(BwDaemon *daemon)
{
    Agent *agent = daemon->role;

    BwExecutor_Leave(&agent->executor);
    broadcast_load(agent);
    BwCustodian_Stop(&agent->custodian);
}

static bool
agent_is_stopped(BwDaemon *daemon)
{
    Agent *agent = daemon->role;

    if (agent->executor.busy > 0 || BwHome_CountUnfinished(&agent->home) > 0)
        return false;
    if (agent->leave_deadline_us == 0)
        agent->leave_deadline_us = BwClock_Now() + LEAVE_TIMEOUT_US;
    return agent->has_left || BwClock_Now() >= agent->leave_deadline_us;
}

static void
agent_finish(BwDaemon *daemon)
{
    Agent *agent = daemon->role;

    BwBackend_Finish(&agent->backend);
    BwCustodian_Finish(&agent->custodian);
    BwHome_Finish(&agent->home);
    BwExecutor_Finish(&agent->executor);
    free(agent);
}

static uint32_t
agent_counters(BwDaemon *daemon, BwCounter *counters, uint32_t capacity)
{
    Agent *agent = daemon->role;
    const BwHomeCounters *home = &agent->home.counters;
    const BwExecutorCounters *executor = &agent->executor.counters;
    const struct {
        const char *name;
        const char *help;
        BwCounterKind kind;
        uint64_t value;
    } rows[] = {
        {"brasswing_jobs_submitted_total", "Jobs taken by this home",
         BW_COUNTER, home->jobs_submitted},
        {"brasswing_jobs_attached_total", "Resubmissions of a known job",
         BW_COUNTER, home->jobs_attached},
        {"brasswing_jobs_complete_total", "Jobs answered whole", BW_COUNTER,
         home->jobs_complete},
        {"brasswing_jobs_failed_total", "Jobs marked failed", BW_COUNTER,
         home->jobs_failed},
        {"brasswing_jobs_refused_total", "Jobs refused, not run", BW_COUNTER,
         home->jobs_refused},
        {"brasswing_tasks_granted_total", "Start grants sent", BW_COUNTER,
         home->tasks_granted},
        {"brasswing_tasks_declined_total", "Start grants declined", BW_COUNTER,
         home->tasks_declined},
        {"brasswing_tasks_done_total", "Answers taken", BW_COUNTER,
         home->tasks_done},
        {"brasswing_answers_late_total", "Answers that nobody waits for",
         BW_COUNTER, home->answers_late},
        {"brasswing_pulls_empty_total", "Pulls answered without a task",
         BW_COUNTER, home->pulls_empty},
        {"brasswing_retries_total", "Further attempts of requests", BW_COUNTER,
         home->retries},
        {"brasswing_ejections_total", "Executors judged to be failing",
         BW_COUNTER, home->ejections},
        {"brasswing_messages_wasted_total",
         "Messages that led to no start, answer or change of state",
         BW_COUNTER, home->messages_wasted + executor->messages_wasted},
        {"brasswing_tasks_started_total", "Tasks started here", BW_COUNTER,
         executor->starts},
        {"brasswing_pulls_total", "Slots that pulled a task", BW_COUNTER,
         executor->pulls},
        {"brasswing_jobs", "Jobs kept by this home", BW_GAUGE,
         agent->home.job_count},
        {"brasswing_job_bytes", "Bytes kept by this home", BW_GAUGE,
         agent->home.bytes},
        {"brasswing_slots", "Slots of the backend server", BW_GAUGE,
         agent->executor.slots},
        {"brasswing_slots_busy", "Slots with a running task", BW_GAUGE,
         agent->executor.busy},
    };
    uint32_t count = 0;

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        count = BwCounters_Add(counters, count, capacity, rows[i].name,
                               rows[i].help, rows[i].kind, rows[i].value);
    return count;
}

/* Returns the arcs that the agent holds and the guardian and remaining time of
   its lease. */
static json_t *
custody_status(const BwCustody *custody)
{
    uint64_t now_us = BwClock_Now();
    uint64_t left_us =
        custody->until_us > now_us ? custody->until_us - now_us : 0;
    json_t *arcs = json_array();

    for (uint32_t i = 0; i < custody->arc_count; i++)
        json_array_append_new(arcs, json_string(custody->arcs[i].name));
    return json_pack("{s:s, s:I, s:o}", "guardian", custody->guardian,
                     "lease_left_ms", (json_int_t)(left_us / 1000), "arcs",
                     arcs);
}

static json_t *
agent_status(BwDaemon *daemon)
{
    Agent *agent = daemon->role;

    return json_pack(
        "{s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:b, s:o}", "service",
        agent->executor.service, "slots", (int)agent->executor.slots, "busy",
        (int)agent->executor.busy, "queued", (int)agent->executor.queue.slots,
        "unfinished", (int)BwHome_CountUnfinished(&agent->home), "jobs",
        (int)agent->home.job_count, "workers_known",
        (int)agent->home.workers.all.count, "leaving",
        (int)agent->executor.is_leaving, "custody",
        custody_status(&agent->custodian.custody));
}

static BwLoad
agent_load(BwDaemon *daemon)
{
    return current_load(daemon->role);
}

const BwRoleOps BwAgent_Ops = {
    .name = "agent",
    .init = agent_init,
    .on_tick = agent_tick,
    .on_ring = agent_on_ring,
    .on_config = agent_on_config,
    .stop = agent_stop,
    .is_stopped = agent_is_stopped,
    .finish = agent_finish,
    .counters = agent_counters,
    .status = agent_status,
    .load = agent_load,
};
