/* test_custody.c -- custody and recovery under random failures

   Several agents, as pure state machines, exchange encoded messages over
   links that delay, lose, and deliver late what a closed connection still
   held.  Agents crash, restart, pause, stop as planned, lose sight of each
   other and learn of the ring late.  Whatever happens, no task starts twice,
   no caller is told wrongly that nothing ran, and an answer is whole. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "wire.h"

#define NODES 5
#define KEYS 400
#define TASKS 3
#define STEP_US 5000
#define LEASE_US 2000000
#define LIFETIME_US 6000000
#define KEEP_US 2000000
#define SKEW_US 100000
#define RUN_US 40000000
#define START_US 1000000 /* by then every agent knows the others */
#define CLIENT_PEER 1000

typedef struct Frame {
    uint64_t due_us;
    uint64_t epoch; /* of the link */
    uint32_t from;
    uint32_t size_bytes;
    char *data;
} Frame;

typedef struct Link {
    GQueue frames;
    uint64_t last_due_us;
    uint64_t epoch;
    uint64_t blocked_until_us;
    bool is_reset_due;
} Link;

typedef struct Running {
    uint32_t node;
    uint64_t incarnation;
    uint64_t ends_us;
    BwJobId job;
    uint32_t index;
} Running;

typedef struct Node {
    char name[8];
    bool is_alive;
    bool is_stopping;
    bool is_hand_over_sent;
    bool knows_gone[NODES];
    uint64_t members[NODES];
    uint64_t dead_since_us;
    uint64_t paused_until_us;
    uint64_t behind_until_us; /* its view of the ring stands still */
    uint64_t incarnation;
    uint64_t previous;
    uint64_t clock_us; /* offset of its monotonic clock */
    uint64_t wall_us;  /* offset of its wall clock */
    BwRing ring;
    BwHome home;
    BwExecutor executor;
    BwCustody custody;
} Node;

typedef struct Key {
    char text[16];
    BwJobId id;
    bool is_used;
    bool is_over;
    uint64_t deadline_wall_us;
    uint64_t submitted_wall_us; /* said by every second key */
    uint64_t resend_us;
    uint32_t starts[TASKS];
} Key;

static struct {
    GRand *rand;
    uint64_t now_us;
    uint64_t incarnations;
    Node nodes[NODES];
    Link links[NODES][NODES];
    GArray *running;
    BwRing ring; /* newest */
    Key keys[KEYS];
    uint32_t used;
    uint32_t complete, failed, refused, starts;
    uint64_t takeovers, recovered, jobs_in_doubt;
} sim;

static bool
chance(uint32_t one_in)
{
    return g_rand_int_range(sim.rand, 0, (gint32)one_in) == 0;
}

static uint64_t
between(uint32_t low, uint32_t high)
{
    return (uint64_t)g_rand_int_range(sim.rand, (gint32)low, (gint32)high);
}

static uint64_t
clock_of(const Node *node)
{
    return sim.now_us + node->clock_us;
}

static uint64_t
wall_of(const Node *node)
{
    return sim.now_us + node->wall_us;
}

static uint32_t
index_of(const Node *node)
{
    return (uint32_t)(node - sim.nodes);
}

static uint32_t
peer_of(const Node *self, uint32_t index)
{
    return index == index_of(self) ? 0 : index + 1;
}

/* --------------------------------------------------------------- links */

static void
send_to(Node *node, uint32_t to, const BwMessage *message)
{
    Link *link = &sim.links[index_of(node)][to];
    Frame *frame = g_new0(Frame, 1);
    uint64_t due_us = sim.now_us + between(100, 8000);
    msgpack_sbuffer out;

    msgpack_sbuffer_init(&out);
    g_assert_true(BwWire_Encode(&out, message));
    frame->due_us = due_us > link->last_due_us ? due_us : link->last_due_us;
    link->last_due_us = frame->due_us;
    frame->epoch = link->epoch;
    frame->size_bytes = (uint32_t)out.size;
    frame->data = g_memdup2(out.data, out.size);
    g_queue_push_tail(&link->frames, frame);
    msgpack_sbuffer_destroy(&out);
}

static void
send_peer(Node *node, uint32_t peer, const BwMessage *message)
{
    send_to(node, peer == 0 ? index_of(node) : peer - 1, message);
}

static void
send_name(Node *node, BwSpan name, const BwMessage *message)
{
    for (uint32_t i = 0; i < NODES; i++) {
        if (BwSpan_Equal(name, BwSpan_FromString(sim.nodes[i].name)))
            send_to(node, i, message);
    }
}

static void
free_frame(gpointer data)
{
    Frame *frame = data;

    g_free(frame->data);
    g_free(frame);
}

/* Ends a connection.  What it held is lost, or arrives after all, late. */
static void
reset_link(Link *link)
{
    bool is_late = chance(2);

    link->epoch++;
    if (!is_late) {
        g_queue_clear_full(&link->frames, free_frame);
        return;
    }
    for (GList *l = link->frames.head; l != NULL; l = l->next)
        ((Frame *)l->data)->due_us += between(0, 3000000);
    link->last_due_us = 0;
}

#define PORT(name, kind_, member, type)                                       \
    static void name(void *ctx, uint32_t peer, const type *value)             \
    {                                                                         \
        BwMessage message;                                                    \
        memset(&message, 0, sizeof(message));                                 \
        message.kind = kind_;                                                 \
        message.u.member = *value;                                            \
        send_peer(ctx, peer, &message);                                       \
    }
PORT(out_fence, BW_MSG_FENCE, fence, BwFence)
PORT(out_recover, BW_MSG_RECOVER_REQUEST, recover_request, BwRecoverRequest)
PORT(out_grant, BW_MSG_GRANT, grant, BwGrant)
PORT(out_release, BW_MSG_RELEASE, release, BwRelease)
PORT(out_done, BW_MSG_DONE, done, BwDone)
PORT(out_decline, BW_MSG_DECLINE, decline, BwDecline)
PORT(out_pull, BW_MSG_PULL, pull, BwPull)
PORT(out_fenced, BW_MSG_FENCE_ANSWER, fence_answer, BwFenceAnswer)
PORT(out_hand_over, BW_MSG_HAND_OVER, hand_over, BwHandOver)
PORT(out_hand_over_end, BW_MSG_HAND_OVER_END, hand_over_end, BwHandOverEnd)

static void
out_ask(void *ctx, BwSpan agent, const BwLeaseRequest *ask)
{
    BwMessage message = {BW_MSG_LEASE_REQUEST, {.lease_request = *ask}};

    send_name(ctx, agent, &message);
}

static void
out_lease(void *ctx, BwSpan agent, const BwLeaseGrant *grant)
{
    BwMessage message = {BW_MSG_LEASE_GRANT, {.lease_grant = *grant}};

    send_name(ctx, agent, &message);
}

static void
out_note(void *ctx, BwJobId job, uint64_t expires_in_us)
{
    Node *node = ctx;
    BwMessage message = {BW_MSG_LOCAL_RUN_NOTICE,
                         {.local_run_notice = {job, expires_in_us, 0, 0}}};

    if (node->custody.guardian[0] != '\0') {
        send_name(node, BwSpan_FromString(node->custody.guardian), &message);
        return;
    }
    message.u.local_run_notice.is_ack = 1;
    send_peer(node, 0, &message);
}

static void
ignore_decision(void *ctx, const BwDecision *decision)
{
    (void)ctx;
    (void)decision;
}

/* -------------------------------------------------------------- callers */

static Key *
find_key(BwJobId id)
{
    for (uint32_t i = 0; i < sim.used; i++) {
        if (BwJobId_Equal(sim.keys[i].id, id))
            return &sim.keys[i];
    }
    g_assert_not_reached();
}

static void
check_not_run(const Key *key)
{
    for (uint32_t i = 0; i < TASKS; i++)
        g_assert_cmpuint(key->starts[i], ==, 0);
}

static void
on_result(void *ctx, BwWaiter waiter, const BwResult *result)
{
    Key *key = &sim.keys[waiter.peer - CLIENT_PEER];
    char expected[32];

    (void)ctx;
    if (key->is_over)
        return;
    if (result->error == BW_ERR_NOT_OWNER || result->error == BW_ERR_LEAVING) {
        key->resend_us = sim.now_us + 50000;
        return;
    }
    key->is_over = true;
    if (result->error != BW_OK) {
        sim.failed++;
        g_test_message("%s at %u ms: %s", key->text,
                       (uint32_t)(sim.now_us / 1000),
                       BwError_Describe(result->error)->name);
        if (BwError_Describe(result->error)->certainty == BW_NOT_RUN) {
            sim.refused++;
            check_not_run(key);
        }
        return;
    }
    sim.complete++;
    g_assert_cmpuint(result->answer_count, ==, TASKS);
    for (uint32_t i = 0; i < TASKS; i++) {
        g_snprintf(expected, sizeof(expected), "%s.%u", key->text, i);
        g_assert_true(BwSpan_Equal(result->answers[i].body,
                                   BwSpan_FromString(expected)));
    }
}

static void
submit(Key *key)
{
    uint32_t index = (uint32_t)BwRing_Find(&sim.ring, key->id);
    Node *node;
    BwTask tasks[TASKS] = {0};
    BwSubmit submit = {0};
    BwWaiter waiter = {CLIENT_PEER + (uint32_t)(key - sim.keys), 1};

    key->resend_us = sim.now_us + 50000;
    index = (uint32_t)sim.ring.agents[index].name[1] - '0';
    node = &sim.nodes[chance(3) ? between(0, NODES) : index];
    if (!node->is_alive || sim.now_us < node->paused_until_us)
        return;
    if (!BwHome_Owns(&node->home, clock_of(node), key->id) ||
        node->is_stopping)
        return;
    key->resend_us = sim.now_us + between(50000, 1500000);
    submit.member = BwSpan_FromString("m");
    submit.key = BwSpan_FromString(key->text);
    submit.service = BwSpan_FromString("s");
    submit.deadline_wall_us = key->deadline_wall_us;
    submit.submitted_wall_us = key->submitted_wall_us;
    submit.tasks = tasks;
    submit.task_count = TASKS;
    BwHome_Submit(&node->home, clock_of(node), wall_of(node), waiter, &submit);
}

static void
tick_callers(void)
{
    if (sim.used < KEYS && sim.now_us > START_US &&
        sim.now_us < RUN_US - LIFETIME_US && chance(12)) {
        Key *key = &sim.keys[sim.used++];

        g_snprintf(key->text, sizeof(key->text), "k%u", sim.used);
        key->id =
            BwJobId_Make(BwSpan_FromString("m"), BwSpan_FromString(key->text));
        key->deadline_wall_us = sim.now_us + between(2000000, 5500000);
        key->submitted_wall_us = sim.used % 2 == 0 ? sim.now_us : 0;
        key->resend_us = sim.now_us;
    }
    for (uint32_t i = 0; i < sim.used; i++) {
        Key *key = &sim.keys[i];

        if (!key->is_over && sim.now_us >= key->resend_us)
            submit(key);
    }
}

/* ------------------------------------------------------------- custody */

static bool
list_local_runs(void *ctx, BwJobId *jobs, uint32_t room, uint32_t *count)
{
    Node *node = ctx;

    return BwHome_ListLocalRuns(&node->home, jobs, room, count);
}

static void
on_lease(void *ctx, uint64_t until_us, uint64_t ring_version, BwSpan guardian)
{
    Node *node = ctx;

    BwHome_SetLease(&node->home, clock_of(node), until_us, ring_version,
                    guardian);
}

static void
on_gained(void *ctx, const BwGain *gain)
{
    Node *node = ctx;
    BwMessage message = {
        BW_MSG_CUSTODY,
        {.custody = {gain->arc, BwSpan_FromString(node->name)}}};

    BwHome_GainArc(&node->home, clock_of(node), wall_of(node), gain);
    for (uint32_t i = 0; i < NODES; i++)
        send_to(node, i, &message);
}

static void
on_lost(void *ctx, BwSpan arc, BwSpan owner)
{
    Node *node = ctx;

    BwHome_DropArc(&node->home, arc, owner);
}

static void
on_start(void *ctx, const BwStart *start)
{
    Node *node = ctx;
    Key *key = find_key(start->job);
    Running run = {index_of(node), node->incarnation,
                   sim.now_us + between(5000, 300000), start->job,
                   start->index};

    sim.starts++;
    key->starts[start->index]++;
    g_assert_cmpuint(key->starts[start->index], ==, 1);
    g_array_append_val(sim.running, run);
}

static const BwHomePort home_port = {out_fence,      out_recover, out_note,
                                     out_grant,      out_release, on_result,
                                     ignore_decision};
static const BwExecutorPort executor_port = {
    on_start,   out_done,      out_decline,       out_pull,
    out_fenced, out_hand_over, out_hand_over_end, ignore_decision};
static const BwCustodyPort custody_port = {
    out_ask, out_lease, list_local_runs, on_lease, on_gained, on_lost};

/* --------------------------------------------------------------- nodes */

static void
send_load(Node *node, uint32_t to, bool is_first)
{
    BwMessage message;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_LOAD;
    message.u.load.service = BwSpan_FromString("s");
    message.u.load.slots = node->executor.slots;
    message.u.load.free_slots = BwExecutor_FreeSlots(&node->executor);
    message.u.load.leaving = node->is_stopping;
    message.u.load.clock_us = clock_of(node);
    message.u.load.is_first = is_first;
    send_to(node, to, &message);
}

static void
take_ring(Node *node, const BwRing *newest)
{
    BwRing_Finish(&node->ring);
    for (uint32_t i = 0; i < newest->agent_count; i++)
        BwRing_Put(&node->ring, &newest->agents[i], newest->version);
    node->ring.version = newest->version;
    node->ring.removed_version = newest->removed_version;
    node->ring.removed_joined_version = newest->removed_joined_version;
    g_assert_cmpint(BwRing_Build(&node->ring), ==, BW_OK);
    for (uint32_t i = 0; i < NODES; i++) {
        BwSpan name = BwSpan_FromString(sim.nodes[i].name);

        int32_t at = BwRing_IndexOf(&node->ring, name);

        if (at >= 0 && node->members[i] != node->ring.agents[at].incarnation) {
            node->members[i] = node->ring.agents[at].incarnation;
            node->knows_gone[i] = false;
        }
        if (at >= 0)
            BwHome_AddExecutor(&node->home, peer_of(node, i), name,
                               i == index_of(node));
    }
    node->executor.previous = node->previous;
    BwExecutor_SetRing(&node->executor, &node->ring);
    BwHome_SetRing(&node->home, clock_of(node), &node->ring,
                   node->incarnation);
    BwCustody_SetRing(&node->custody, clock_of(node), &node->ring);
}

static void
change_ring(Node *node, bool is_join)
{
    BwAgent agent = {0};
    uint64_t version = sim.ring.version + 1;

    memcpy(agent.name, node->name, sizeof(node->name));
    g_snprintf(agent.domain, sizeof(agent.domain), "d%u", index_of(node) % 3);
    agent.incarnation = node->incarnation;
    if (is_join)
        BwRing_Put(&sim.ring, &agent, version);
    else
        BwRing_Remove(&sim.ring, BwSpan_FromString(node->name), version);
    BwRing_Build(&sim.ring);
}

static void
begin_node(Node *node)
{
    BwHomeLimits limits = {1000,    1u << 24, LIFETIME_US, KEEP_US,
                           2000000, SKEW_US,  3000000};

    node->previous = node->incarnation;
    node->incarnation = ++sim.incarnations;
    node->is_alive = true;
    node->is_stopping = false;
    node->is_hand_over_sent = false;
    node->paused_until_us = 0;
    node->clock_us = between(1, 1u << 30);
    node->wall_us = between(0, SKEW_US);
    BwRing_Init(&node->ring);
    BwHome_Init(&node->home, &limits, &home_port, node, node->incarnation);
    BwExecutor_Init(&node->executor, KEEP_US, &executor_port, node);
    BwExecutor_Announce(&node->executor, BwSpan_FromString("s"), 4);
    node->executor.started_us = clock_of(node);
    node->executor.incarnation = node->incarnation;
    BwCustody_Init(&node->custody, BwSpan_FromString(node->name),
                   node->incarnation, LEASE_US, LIFETIME_US + KEEP_US,
                   &custody_port, node);
    take_ring(node, &node->ring);
    change_ring(node, true);
    for (uint32_t i = 0; i < NODES; i++) {
        node->knows_gone[i] = false;
        node->members[i] = 0;
        send_load(node, i, true);
    }
}

static void
end_node(Node *node)
{
    sim.takeovers += node->custody.takeovers;
    sim.recovered += node->home.counters.jobs_recovered;
    sim.jobs_in_doubt += node->home.counters.jobs_in_doubt;
    BwCustody_Finish(&node->custody);
    BwHome_Finish(&node->home);
    BwExecutor_Finish(&node->executor);
    BwRing_Finish(&node->ring);
    node->is_alive = false;
    node->dead_since_us = sim.now_us;
    for (uint32_t i = 0; i < NODES; i++) {
        g_queue_clear_full(&sim.links[i][index_of(node)].frames, free_frame);
        reset_link(&sim.links[index_of(node)][i]);
    }
}

static void
on_load(Node *node, uint32_t from, const BwLoad *load)
{
    uint32_t peer = peer_of(node, from);

    BwHome_OnLoad(&node->home, clock_of(node), peer,
                  BwSpan_FromString(sim.nodes[from].name), peer == 0, load);
}

static void
on_custody_message(Node *node, uint32_t from, BwMessage *message)
{
    uint32_t peer = peer_of(node, from);
    BwSpan name = BwSpan_FromString(sim.nodes[from].name);
    uint64_t now_us = clock_of(node);
    BwLocalRunNotice *note = &message->u.local_run_notice;

    switch (message->kind) {
    case BW_MSG_LEASE_REQUEST:
        BwCustody_OnLeaseRequest(&node->custody, now_us, name,
                                 &message->u.lease_request);
        break;
    case BW_MSG_LEASE_GRANT:
        BwCustody_OnLeaseGrant(&node->custody, now_us, name,
                               &message->u.lease_grant);
        break;
    case BW_MSG_FENCE:
        if (BwExecutor_OnFence(&node->executor, now_us, peer,
                               &message->u.fence))
            BwCustody_OnFence(&node->custody, name, &message->u.fence);
        break;
    case BW_MSG_FENCE_ANSWER:
        BwHome_OnFenceAnswer(&node->home, now_us, wall_of(node), peer,
                             &message->u.fence_answer);
        break;
    case BW_MSG_RECOVER_REQUEST:
        BwExecutor_OnRecoverAsk(&node->executor, peer,
                                &message->u.recover_request);
        break;
    case BW_MSG_CUSTODY:
        BwCustody_OnNotice(&node->custody, message->u.custody.arc,
                           message->u.custody.owner);
        break;
    case BW_MSG_LOCAL_RUN_NOTICE:
        if (note->is_ack) {
            BwHome_OnLocalRunAck(&node->home, now_us, note->job,
                                 !note->is_refused);
            break;
        }
        note->is_refused =
            !BwCustody_OnLocalRunNotice(&node->custody, now_us, name, note);
        note->is_ack = 1;
        send_peer(node, peer, message);
        break;
    case BW_MSG_HAND_OVER:
        g_assert_true(BwExecutor_OnHandOver(&node->executor, now_us,
                                            &message->u.hand_over));
        break;
    case BW_MSG_HAND_OVER_END:
        if (message->u.hand_over_end.is_ack) {
            if (!node->is_hand_over_sent)
                break;
            end_node(node);
            if (chance(2) && sim.ring.agent_count > 2)
                change_ring(node, false);
            break;
        }
        /* A link that lost an entry was reset, and with it this message. */
        g_assert_true(BwExecutor_OnHandOverEnd(&node->executor, now_us,
                                               LIFETIME_US + KEEP_US, name,
                                               &message->u.hand_over_end));
        message->u.hand_over_end.is_ack = 1;
        send_peer(node, peer, message);
        break;
    default:
        g_assert_not_reached();
    }
}

static void
on_message(Node *node, uint32_t from, BwMessage *message)
{
    uint32_t peer = peer_of(node, from);
    uint64_t now_us = clock_of(node);

    switch (message->kind) {
    case BW_MSG_GRANT:
        BwExecutor_OnGrant(&node->executor, now_us, peer, &message->u.grant);
        break;
    case BW_MSG_RELEASE:
        BwExecutor_OnRelease(&node->executor, now_us, peer,
                             &message->u.release);
        break;
    case BW_MSG_DECLINE:
        BwHome_OnDecline(&node->home, now_us, peer, &message->u.decline);
        break;
    case BW_MSG_PULL:
        BwHome_OnPull(&node->home, now_us, peer, &message->u.pull);
        break;
    case BW_MSG_DONE:
        BwHome_OnDone(&node->home, now_us, peer, &message->u.done);
        break;
    case BW_MSG_LOAD:
        on_load(node, from, &message->u.load);
        break;
    default:
        on_custody_message(node, from, message);
        break;
    }
}

static void
deliver(uint32_t from, uint32_t to)
{
    Link *link = &sim.links[from][to];
    Node *node = &sim.nodes[to];

    while (node->is_alive && !g_queue_is_empty(&link->frames)) {
        Frame *frame = g_queue_peek_head(&link->frames);
        msgpack_zone zone;
        BwMessage message;
        size_t used;

        if (frame->due_us > sim.now_us)
            break;
        g_queue_pop_head(&link->frames);
        msgpack_zone_init(&zone, 4096);
        g_assert_cmpint(BwWire_Decode(frame->data, frame->size_bytes, &used,
                                      &zone, &message),
                        ==, BW_WIRE_OK);
        on_message(node, from, &message);
        msgpack_zone_destroy(&zone);
        free_frame(frame);
    }
}

/* Both ends learn that their connections ended and opened again. */
static void
reconnect(uint32_t a, uint32_t b)
{
    for (int i = 0; i < 2; i++) {
        Node *node = &sim.nodes[i == 0 ? a : b];
        uint32_t other = i == 0 ? b : a;

        reset_link(&sim.links[index_of(node)][other]);
        if (!node->is_alive)
            continue;
        BwHome_LinkLost(&node->home, clock_of(node), peer_of(node, other));
        send_load(node, other, true);
    }
}

static void
notice_peers(Node *node)
{
    uint64_t now_us = clock_of(node);

    for (uint32_t i = 0; i < NODES; i++) {
        const Node *other = &sim.nodes[i];
        BwSpan name = BwSpan_FromString(other->name);

        if (i == index_of(node) ||
            sim.now_us < sim.links[index_of(node)][i].blocked_until_us)
            continue;
        if (!other->is_alive && (node->knows_gone[i] || chance(10))) {
            BwCustody_OnAgentGone(&node->custody, now_us, name);
            if (!node->knows_gone[i]) {
                BwHome_WorkerLost(&node->home, now_us, peer_of(node, i));
                BwExecutor_HomeLost(&node->executor, now_us, peer_of(node, i));
            }
            node->knows_gone[i] = true;
        }
        else if (other->is_alive && node->knows_gone[i]) {
            node->knows_gone[i] = false;
            BwCustody_OnAgentSeen(&node->custody, name);
            BwHome_LinkLost(&node->home, now_us, peer_of(node, i));
            send_load(node, i, true);
        }
    }
}

static void
tick_stop(Node *node)
{
    BwSpan guardian = BwSpan_FromString(node->custody.guardian);

    if (!node->is_stopping || node->is_hand_over_sent ||
        !node->custody.is_released || node->executor.busy > 0)
        return;
    node->is_hand_over_sent = true;
    for (uint32_t i = 0; i < NODES; i++) {
        if (BwSpan_Equal(guardian, BwSpan_FromString(sim.nodes[i].name)))
            BwExecutor_HandOver(&node->executor, clock_of(node),
                                peer_of(node, i));
    }
}

static void
tick_node(Node *node)
{
    uint64_t now_us = clock_of(node);

    if (sim.now_us >= node->behind_until_us && chance(8) &&
        node->ring.version != sim.ring.version)
        take_ring(node, &sim.ring);
    notice_peers(node);
    BwCustody_Tick(&node->custody, now_us);
    BwHome_RecoveryTick(&node->home, now_us, wall_of(node));
    BwHome_Tick(&node->home, now_us);
    BwHome_Flush(&node->home, now_us);
    BwExecutor_Tick(&node->executor, now_us);
    if (chance(40)) {
        for (uint32_t i = 0; i < NODES; i++)
            send_load(node, i, false);
    }
    tick_stop(node);
}

static void
tick_running(void)
{
    for (guint i = sim.running->len; i > 0; i--) {
        Running run = g_array_index(sim.running, Running, i - 1);
        Node *node = &sim.nodes[run.node];
        char body[32];

        if (sim.now_us < run.ends_us || sim.now_us < node->paused_until_us)
            continue;
        g_array_remove_index_fast(sim.running, i - 1);
        if (!node->is_alive || node->incarnation != run.incarnation)
            continue;
        g_snprintf(body, sizeof(body), "%s.%u", find_key(run.job)->text,
                   run.index);
        BwExecutor_TaskEnded(&node->executor, clock_of(node), run.job,
                             run.index, BW_OK, 200, BwSpan_FromString(body));
    }
}

/* -------------------------------------------------------------- faults */

static void
fail_something(void)
{
    Node *node = &sim.nodes[between(0, NODES)];
    uint32_t other = (uint32_t)between(0, NODES);
    uint64_t until_us = sim.now_us + between(200000, 5000000);

    if (!node->is_alive) {
        if (sim.now_us > node->dead_since_us + LIFETIME_US + KEEP_US &&
            sim.ring.agent_count > 2 && chance(2) &&
            BwRing_IndexOf(&sim.ring, BwSpan_FromString(node->name)) >= 0)
            change_ring(node, false);
        else
            begin_node(node);
        return;
    }
    switch (between(0, 6)) {
    case 0:
        end_node(node);
        break;
    case 1:
        node->paused_until_us = until_us;
        break;
    case 2:
        sim.links[index_of(node)][other].blocked_until_us = until_us;
        sim.links[other][index_of(node)].blocked_until_us = until_us;
        sim.links[index_of(node)][other].is_reset_due = true;
        break;
    case 3:
        node->behind_until_us = until_us;
        break;
    case 4:
        if (other != index_of(node))
            reconnect(index_of(node), other);
        break;
    default:
        node->is_stopping = true;
        BwExecutor_Leave(&node->executor);
        BwCustody_Stop(&node->custody, clock_of(node));
        break;
    }
}

static void
step(uint32_t faults_one_in)
{
    sim.now_us += STEP_US;
    if (faults_one_in > 0 && sim.now_us > START_US && chance(faults_one_in))
        fail_something();
    for (uint32_t i = 0; i < NODES; i++) {
        Node *node = &sim.nodes[i];

        if (!node->is_alive || sim.now_us < node->paused_until_us)
            continue;
        for (uint32_t j = 0; j < NODES; j++) {
            Link *link = &sim.links[j][i];

            if (sim.now_us < link->blocked_until_us)
                continue;
            if (link->is_reset_due && i != j)
                reconnect(i, j);
            link->is_reset_due = false;
            deliver(j, i);
        }
        if (node->is_alive)
            tick_node(node);
    }
    tick_running();
    tick_callers();
}

static void
run(uint32_t seed, uint32_t faults_one_in)
{
    memset(&sim, 0, sizeof(sim));
    sim.rand = g_rand_new_with_seed(seed);
    sim.now_us = 1000;
    sim.running = g_array_new(FALSE, FALSE, sizeof(Running));
    BwRing_Init(&sim.ring);
    for (uint32_t i = 0; i < NODES; i++)
        g_snprintf(sim.nodes[i].name, sizeof(sim.nodes[i].name), "n%u", i);
    for (uint32_t i = 0; i < NODES; i++)
        begin_node(&sim.nodes[i]);
    while (sim.now_us < RUN_US)
        step(faults_one_in);
    for (uint32_t i = 0; i < NODES; i++) {
        if (sim.nodes[i].is_alive)
            end_node(&sim.nodes[i]);
        for (uint32_t j = 0; j < NODES; j++)
            g_queue_clear_full(&sim.links[i][j].frames, free_frame);
    }
    BwRing_Finish(&sim.ring);
    g_array_free(sim.running, TRUE);
    g_rand_free(sim.rand);
    g_test_message("seed %u: %u complete, %u failed, %u of them not run, %u "
                   "starts, %u takeovers, %u recovered, %u in doubt",
                   seed, sim.complete, sim.failed, sim.refused, sim.starts,
                   (uint32_t)sim.takeovers, (uint32_t)sim.recovered,
                   (uint32_t)sim.jobs_in_doubt);
}

/* Without failures every job completes. */
static void
test_calm(void)
{
    for (uint32_t seed = 1; seed <= 4; seed++) {
        run(seed, 0);
        g_assert_cmpuint(sim.used, >, 100);
        g_assert_cmpuint(sim.complete, ==, sim.used);
    }
}

static void
test_faults(void)
{
    uint32_t complete = 0, takeovers = 0, recovered = 0;

    for (uint32_t seed = 1; seed <= 60; seed++) {
        run(seed, 60 + (seed * 37) % 700);
        complete += sim.complete;
        takeovers += (uint32_t)sim.takeovers;
        recovered += (uint32_t)sim.recovered;
    }
    g_assert_cmpuint(complete, >, 0);
    g_assert_cmpuint(takeovers, >, 0);
    g_assert_cmpuint(recovered, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/custody/calm", test_calm);
    g_test_add_func("/custody/faults", test_faults);
    return g_test_run();
}
