/* peers.c -- connections of an agent or entry to the other processes

   A refused connection, or a HELLO with another incarnation, proves that the
   process seen before has ended.  A link that ends in another way proves
   nothing.  An agent whose link has ended is dialled at the next tick; failed
   attempts are repeated with exponential backoff, 50 ms to 1 s.
*/

#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "net.h"
#include "peers.h"
#include "wire.h"
#include "wireversion.h"

#define REDIAL_MIN_US 50000
#define REDIAL_MAX_US 1000000
/* An accepted connection that has sent no HELLO by then is closed. */
#define HELLO_TIMEOUT_US 5000000

static void
send_hello(BwPeers *peers, BwLink *link)
{
    BwMessage message;

    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_HELLO;
    message.u.hello = peers->hello;
    message.u.hello.wire_version = link->wire_version;
    message.u.hello.clock_us = BwClock_Now();
    BwLink_Send(link, &message);
}

static BwPeer *
add_peer(BwPeers *peers, BwRole role, BwSpan name)
{
    BwPeer *peer = calloc(1, sizeof(BwPeer));

    if (peer == NULL || HASH_COUNT(peers->table) >= BW_PEERS_MAX) {
        free(peer);
        return NULL;
    }
    peer->id = peers->next_id++;
    peer->role = role;
    peer->peers = peers;
    peer->offered_version = BW_WIRE_VERSION;
    BwSpan_ToString(name, peer->name, sizeof(peer->name));
    HASH_ADD(hh, peers->table, id, sizeof(peer->id), peer);
    return peer;
}

static void
copy_hello(BwPeer *peer, const BwHello *hello)
{
    BwPeerReport *report = &peer->report;

    BwSpan_ToString(hello->domain, report->domain, sizeof(report->domain));
    BwSpan_ToString(hello->http_host, report->http_host,
                    sizeof(report->http_host));
    report->http_port = hello->http_port;
}

uint32_t
BwLoad_CountQueued(const BwLoad *load)
{
    uint32_t total = 0;

    for (uint32_t i = 0; i < load->queued_count; i++)
        total += load->queued[i].slots;
    return total;
}

void
BwPeers_UpdateReport(BwPeers *peers, uint32_t id, const BwLoad *load)
{
    BwPeer *peer = BwPeers_Find(peers, id);
    BwPeerReport *report;

    if (peer == NULL)
        return;
    report = &peer->report;
    BwSpan_ToString(load->service, report->service, sizeof(report->service));
    report->slots = load->slots;
    report->free_slots = load->free_slots;
    report->queued = BwLoad_CountQueued(load);
    report->is_leaving = load->leaving != 0;
    report->revision = load->revision;
}

BwPeer *
BwPeers_Find(BwPeers *peers, uint32_t id)
{
    BwPeer *peer;

    HASH_FIND(hh, peers->table, &id, sizeof(id), peer);
    return peer;
}

BwPeer *
BwPeers_FindAgent(BwPeers *peers, BwSpan name)
{
    for (BwPeer *peer = peers->table; peer != NULL; peer = peer->hh.next) {
        if (peer->role == BW_ROLE_AGENT &&
            BwSpan_Equal(BwSpan_FromString(peer->name), name))
            return peer;
    }
    return NULL;
}

static void
refuse(BwPeers *peers, const BwHello *hello)
{
    BwPeerRefusals_Add(&peers->refusals, BwClock_Now(), hello,
                       &peers->counters, peers->logger);
}

/* ------------------------------------------------- dialled connections */

static void
mark_peer_down(BwPeer *peer, bool is_gone)
{
    BwPeers *peers = peer->peers;

    peer->is_up = false;
    if (is_gone)
        peer->proved_gone_us = BwClock_Now();
    if (is_gone && peer->is_proved_gone)
        return;
    peer->is_proved_gone = is_gone;
    BW_LOG(peers->logger, BW_LOG_INFO, "peer_down",
           BW_LOG_TEXT("peer", peer->name),
           BW_LOG_TEXT("proof", is_gone ? "gone" : "none"));
    peers->events->down(peers->ctx, peer, is_gone);
}

static void
on_dialled_hello(BwPeer *peer, const BwHello *hello)
{
    BwPeers *peers = peer->peers;

    copy_hello(peer, hello);
    if (peer->incarnation != 0 && peer->incarnation != hello->incarnation)
        mark_peer_down(peer, true);
    peer->incarnation = hello->incarnation;
    peer->is_proved_gone = false;
    peer->failures = 0;
    if (peer->is_up)
        return;
    peer->is_up = true;
    BW_LOG(peers->logger, BW_LOG_INFO, "peer_up",
           BW_LOG_TEXT("peer", peer->name),
           BW_LOG_NUMBER("incarnation", peer->incarnation));
    peers->events->up(peers->ctx, peer);
}

static void
on_open(BwLink *link)
{
    (void)link;
}

static void
schedule_redial(BwPeer *peer)
{
    uint64_t delay_us = REDIAL_MIN_US;

    for (uint32_t i = 0; i < peer->failures && delay_us < REDIAL_MAX_US; i++)
        delay_us *= 2;
    peer->failures++;
    peer->redial_at_us =
        BwClock_Now() + (delay_us < REDIAL_MAX_US ? delay_us : REDIAL_MAX_US);
}

/* Sets the version in which the link is spoken from now on, or closes it if
   this build does not speak that version. */
static void
settle_version(BwPeer *peer, const BwHello *hello)
{
    uint32_t version = BwWireVersion_Settle(hello);

    if (version == 0) {
        refuse(peer->peers, hello);
        BwLink_Close(&peer->link);
        peer->is_linked = false;
        schedule_redial(peer);
        return;
    }
    peer->link.wire_version = version;
    peer->offered_version = version;
    on_dialled_hello(peer, hello);
}

static void
on_dialled_message(BwLink *link, const BwMessage *message)
{
    BwPeer *peer = link->data;

    if (message->kind == BW_MSG_HELLO)
        settle_version(peer, &message->u.hello);
    else
        peer->peers->events->received(peer->peers->ctx, peer->id, message);
}

static void
on_dialled_end(BwLink *link, BwLinkEnd end)
{
    BwPeer *peer = link->data;
    bool was_up = peer->is_up;

    peer->is_linked = false;
    /* It may have been closed for the version that was offered. */
    if (!was_up && end == BW_LINK_LOST)
        peer->offered_version = BwWireVersion_NextOffer(peer->offered_version);
    if (was_up)
        peer->redial_at_us = 0;
    else
        schedule_redial(peer);
    if (end == BW_LINK_REFUSED)
        mark_peer_down(peer, true);
    else if (was_up)
        mark_peer_down(peer, false);
}

static const BwLinkEvents dialled_events = {on_open, on_dialled_message,
                                            on_dialled_end};

static void
dial(BwPeer *peer)
{
    BwPeers *peers = peer->peers;
    struct sockaddr_storage address;
    socklen_t length =
        BwNet_Parse(peer->agent.host, peer->agent.port, &address);
    BwLinkEnd end = BW_LINK_FAILED;

    if (length == 0) {
        schedule_redial(peer);
        return;
    }
    peer->is_linked = true;
    if (!BwLink_Dial(&peer->link, peers->loop, (struct sockaddr *)&address,
                     length, &dialled_events, peer, &peers->counters,
                     &peers->tls, &end)) {
        peer->link.data = peer;
        on_dialled_end(&peer->link, end);
        return;
    }
    peer->link.wire_version = peer->offered_version;
    send_hello(peers, &peer->link);
}

void
BwPeers_SetRing(BwPeers *peers, const BwRing *ring)
{
    peers->hello.ring_version = ring->version;
    for (BwPeer *peer = peers->table; peer != NULL; peer = peer->hh.next)
        peer->is_in_ring = false;
    for (uint32_t i = 0; i < ring->agent_count; i++) {
        const BwAgent *agent = &ring->agents[i];
        BwSpan name = BwSpan_FromString(agent->name);
        BwPeer *peer;

        if (BwSpan_Equal(name, peers->hello.name))
            continue;
        peer = BwPeers_FindAgent(peers, name);
        if (peer == NULL)
            peer = add_peer(peers, BW_ROLE_AGENT, name);
        if (peer == NULL)
            continue;
        peer->is_in_ring = true;
        if (peer->agent.incarnation != agent->incarnation)
            peer->is_proved_gone = false;
        peer->agent = *agent;
        if (!peer->is_linked)
            peer->redial_at_us = 0;
    }
}

/* ------------------------------------------------ accepted connections */

static void
on_inbound_hello(BwInbound *inbound, const BwHello *hello)
{
    BwPeers *peers = inbound->peers;
    BwPeer *peer = NULL;
    uint32_t version = BwWireVersion_Answer(hello);

    if (version == 0) {
        refuse(peers, hello);
        BwLink_Close(&inbound->link);
        inbound->is_closed = true;
        return;
    }
    if (hello->role == BW_ROLE_AGENT)
        peer = BwPeers_FindAgent(peers, hello->name);
    if (peer == NULL)
        peer = add_peer(peers, (BwRole)hello->role, hello->name);
    if (peer == NULL) {
        BwLink_Close(&inbound->link);
        inbound->is_closed = true;
        return;
    }
    inbound->peer_id = peer->id;
    inbound->link.wire_version = version;
    BwLink_Trust(&inbound->link);
    copy_hello(peer, hello);
    send_hello(peers, &inbound->link);
    if (hello->role == BW_ROLE_AGENT && peer->incarnation != 0 &&
        peer->incarnation != hello->incarnation) {
        peer->incarnation = hello->incarnation;
        mark_peer_down(peer, true);
        peer->is_proved_gone = false;
        peer->redial_at_us = 0;
    }
}

static void
on_inbound_message(BwLink *link, const BwMessage *message)
{
    BwInbound *inbound = link->data;

    if (message->kind == BW_MSG_HELLO)
        on_inbound_hello(inbound, &message->u.hello);
    else if (inbound->peer_id != 0)
        inbound->peers->events->received(inbound->peers->ctx, inbound->peer_id,
                                         message);
}

static void
on_inbound_end(BwLink *link, BwLinkEnd end)
{
    BwInbound *inbound = link->data;
    BwPeers *peers = inbound->peers;
    BwPeer *peer = BwPeers_Find(peers, inbound->peer_id);

    (void)end;
    inbound->is_closed = true;
    if (peer == NULL || peer->role == BW_ROLE_AGENT)
        return;
    peers->events->down(peers->ctx, peer, false);
    HASH_DEL(peers->table, peer);
    free(peer);
}

static const BwLinkEvents inbound_events = {on_open, on_inbound_message,
                                            on_inbound_end};

static void
on_accepted(void *ctx, h2o_socket_t *sock)
{
    BwPeers *peers = ctx;
    BwInbound *inbound = calloc(1, sizeof(BwInbound));

    if (inbound == NULL) {
        h2o_socket_close(sock);
        return;
    }
    inbound->peers = peers;
    inbound->accepted_us = BwClock_Now();
    DL_APPEND(peers->inbound, inbound);
    BwLink_Accept(&inbound->link, sock, &inbound_events, inbound,
                  &peers->counters, &peers->tls);
    BwLink_SetAccount(&inbound->link, peers->account);
}

bool
BwPeers_Listen(BwPeers *peers, const char *host, uint16_t *port)
{
    return BwAcceptor_Init(&peers->acceptor, peers->loop, host, port,
                           on_accepted, peers);
}

void
BwPeers_SetAccount(BwPeers *peers, BwAccount *account)
{
    peers->account = account;
    BwAcceptor_SetAccount(&peers->acceptor, account, BW_SHARE_PEERS);
}

static BwLink *
find_inbound_link(BwPeers *peers, uint32_t id)
{
    BwInbound *inbound;

    DL_FOREACH(peers->inbound, inbound)
    {
        if (inbound->peer_id == id && !inbound->is_closed)
            return &inbound->link;
    }
    return NULL;
}

/* ------------------------------------------- messages to this process */

static void
on_self_timeout(h2o_timeout_entry_t *entry)
{
    BwPeers *peers = H2O_STRUCT_FROM_MEMBER(BwPeers, self_timer, entry);
    msgpack_sbuffer queue = peers->self_queue;
    size_t start = 0;
    size_t used;
    msgpack_zone zone;

    msgpack_sbuffer_init(&peers->self_queue);
    /* Chunk size in bytes, as ZONE_CHUNK_BYTES in link.c. */
    msgpack_zone_init(&zone, 8192);
    while (start < queue.size) {
        BwMessage message;

        if (BwWire_Decode(queue.data + start, queue.size - start,
                          BW_WIRE_VERSION, &used, &zone,
                          &message) != BW_WIRE_OK)
            break;
        start += used;
        peers->events->received(peers->ctx, BW_PEER_SELF, &message);
        msgpack_zone_clear(&zone);
    }
    msgpack_zone_destroy(&zone);
    msgpack_sbuffer_destroy(&queue);
}

static bool
send_self(BwPeers *peers, const BwMessage *message)
{
    if (!BwWire_Encode(&peers->self_queue, BW_WIRE_VERSION, message))
        return false;
    if (!h2o_timeout_is_linked(&peers->self_timer))
        h2o_timeout_link(peers->loop, &peers->self_timeout,
                         &peers->self_timer);
    return true;
}

/* ---------------------------------------------------------- all peers */

bool
BwPeers_Send(BwPeers *peers, uint32_t id, const BwMessage *message)
{
    BwPeer *peer;
    BwLink *link;

    if (id == BW_PEER_SELF)
        return send_self(peers, message);
    peer = BwPeers_Find(peers, id);
    if (peer == NULL)
        return false;
    if (peer->role == BW_ROLE_AGENT)
        return peer->is_linked && BwLink_Send(&peer->link, message);
    link = find_inbound_link(peers, id);
    return link != NULL && BwLink_Send(link, message);
}

void
BwPeers_BroadcastToAgents(BwPeers *peers, const BwMessage *message)
{
    for (BwPeer *peer = peers->table; peer != NULL; peer = peer->hh.next) {
        if (peer->role == BW_ROLE_AGENT && peer->is_up)
            BwLink_Send(&peer->link, message);
    }
}

void
BwPeers_BroadcastToAgentsAndEntries(BwPeers *peers, const BwMessage *message)
{
    BwPeers_BroadcastToAgents(peers, message);
    for (BwPeer *peer = peers->table; peer != NULL; peer = peer->hh.next) {
        if (peer->role == BW_ROLE_ENTRY)
            BwPeers_Send(peers, peer->id, message);
    }
}

void
BwPeers_Init(BwPeers *peers, h2o_loop_t *loop, const BwLogger *logger,
             const BwHello *hello, const BwPeerEvents *events, void *ctx)
{
    memset(peers, 0, sizeof(*peers));
    peers->loop = loop;
    peers->logger = logger;
    peers->hello = *hello;
    peers->events = events;
    peers->ctx = ctx;
    peers->next_id = BW_PEER_SELF + 1;
    msgpack_sbuffer_init(&peers->self_queue);
    h2o_timeout_init(loop, &peers->self_timeout, 0);
    peers->self_timer.cb = on_self_timeout;
}

void
BwPeers_Tick(BwPeers *peers, uint64_t now_us)
{
    BwInbound *inbound, *next;

    for (BwPeer *peer = peers->table; peer != NULL; peer = peer->hh.next) {
        if (peer->is_in_ring && !peer->is_linked &&
            now_us >= peer->redial_at_us)
            dial(peer);
    }
    BwAcceptor_Tick(&peers->acceptor);
    DL_FOREACH_SAFE(peers->inbound, inbound, next)
    {
        if (inbound->peer_id == 0 &&
            now_us > inbound->accepted_us + HELLO_TIMEOUT_US) {
            BwLink_Close(&inbound->link);
            inbound->is_closed = true;
        }
        if (!inbound->is_closed)
            continue;
        DL_DELETE(peers->inbound, inbound);
        free(inbound);
    }
}

void
BwPeers_Finish(BwPeers *peers)
{
    BwInbound *inbound, *next_inbound;
    BwPeer *peer, *next_peer;

    BwAcceptor_Close(&peers->acceptor);
    DL_FOREACH_SAFE(peers->inbound, inbound, next_inbound)
    {
        BwLink_Close(&inbound->link);
        free(inbound);
    }
    HASH_ITER(hh, peers->table, peer, next_peer)
    {
        if (peer->is_linked)
            BwLink_Close(&peer->link);
        HASH_DEL(peers->table, peer);
        free(peer);
    }
    msgpack_sbuffer_destroy(&peers->self_queue);
    h2o_timeout_unlink(&peers->self_timer);
    h2o_timeout_dispose(peers->loop, &peers->self_timeout);
}
