/* configfetch.c -- fetches the configuration in force from peers at start

   An entry also adopts the ring of a peer.  A stale ring does no harm there:
   the entry only sends jobs to agents, and an agent that does not hold the key
   answers with the owner that it knows.  An agent adopts no ring, because
   which leases and starts it may grant depends on ring versions that it has
   read from the log itself.
*/

#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "net.h"
#include "wireversion.h"

#define FIRST_REQUEST_DELAY_US 300000
#define REQUEST_INTERVAL_US 1000000

static void
send_ring(BwDaemon *daemon, uint32_t peer)
{
    const BwRing *ring = &daemon->ring;
    BwRingAgent *ring_agents =
        calloc(ring->agent_count + 1, sizeof(*ring_agents));
    BwMessage message;

    if (ring_agents == NULL)
        return;
    for (uint32_t i = 0; i < ring->agent_count; i++) {
        ring_agents[i].name = BwSpan_FromString(ring->agents[i].name);
        ring_agents[i].domain = BwSpan_FromString(ring->agents[i].domain);
        ring_agents[i].host = BwSpan_FromString(ring->agents[i].host);
        ring_agents[i].port = ring->agents[i].port;
        ring_agents[i].incarnation = ring->agents[i].incarnation;
    }
    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_RING_STATE;
    message.u.ring_state.version = ring->version;
    message.u.ring_state.agents = ring_agents;
    message.u.ring_state.agent_count = ring->agent_count;
    BwPeers_Send(&daemon->peers, peer, &message);
    free(ring_agents);
}

void
BwConfigFetch_Answer(BwDaemon *daemon, uint32_t peer,
                     const BwConfigRequest *request)
{
    const BwConfigUpdate *config = daemon->config_update;
    BwMessage message;

    if (request->wants_ring && daemon->ring.agent_count > 0)
        send_ring(daemon, peer);
    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_CONFIG_STATE;
    if (config != NULL && config->revision.number > request->revision) {
        const BwRevision *revision = &config->revision;
        BwConfigState *state = &message.u.config_state;

        state->revision = revision->number;
        state->set_at = revision->offset;
        state->as_of = revision->next_offset;
        state->publish_id = BwSpan_FromString(revision->publish_id);
        state->text.base = config->text;
        state->text.size_bytes = config->text_bytes;
    }
    BwPeers_Send(&daemon->peers, peer, &message);
}

/* ------------------------------------------------------------- requests */

static void
post_peer_config(BwDaemon *daemon, const BwConfigState *state)
{
    BwPeerConfig *config =
        calloc(1, sizeof(BwPeerConfig) + state->text.size_bytes + 1);

    if (config == NULL)
        return;
    config->header.kind = BW_THREAD_MSG_PEER_CONFIG;
    config->state.number = state->revision;
    config->state.set_at = state->set_at;
    config->state.as_of = state->as_of;
    BwSpan_ToString(state->publish_id, config->publish_id,
                    sizeof(config->publish_id));
    config->text_bytes = state->text.size_bytes;
    BwSpan_ToString(state->text, config->text, state->text.size_bytes + 1);
    BwEventLoop_Post(&daemon->directory.event_loop, &config->header);
}

/* Returns whether to request the ring: an entry does so until it has one. */
static bool
wants_ring(const BwDaemon *daemon)
{
    return daemon->settings.role == BW_SETTINGS_ENTRY &&
           daemon->ring.agent_count == 0;
}

static void
adopt_ring(BwDaemon *daemon, const BwRingState *state)
{
    BwRing ring;

    BwRing_Init(&ring);
    for (uint32_t i = 0; i < state->agent_count; i++) {
        const BwRingAgent *ring_agent = &state->agents[i];
        BwAgent agent = {0};

        BwSpan_ToString(ring_agent->name, agent.name, sizeof(agent.name));
        BwSpan_ToString(ring_agent->domain, agent.domain,
                        sizeof(agent.domain));
        BwSpan_ToString(ring_agent->host, agent.host, sizeof(agent.host));
        agent.port = (uint16_t)ring_agent->port;
        agent.incarnation = ring_agent->incarnation;
        if (BwRing_Put(&ring, &agent, state->version) != BW_OK)
            goto fail;
    }
    if (BwRing_Build(&ring) != BW_OK)
        goto fail;
    BwRing_Finish(&daemon->ring);
    daemon->ring = ring;
    daemon->is_ready = true;
    BW_LOG(&daemon->logger, BW_LOG_INFO, "ring",
           BW_LOG_NUMBER("version", ring.version),
           BW_LOG_NUMBER("agents", ring.agent_count),
           BW_LOG_TEXT("from", "a peer"));
    daemon->ops->on_ring(daemon);
    return;

fail:
    BwRing_Finish(&ring);
}

static void
on_open(BwLink *link)
{
    (void)link;
}

static void
settle_version(BwConfigFetchPeer *peer, const BwHello *hello)
{
    uint32_t version = BwWireVersion_Settle(hello);

    if (version == 0)
        return;
    peer->offered_version = version;
    peer->link.wire_version = version;
}

static void
on_message(BwLink *link, const BwMessage *message)
{
    BwConfigFetchPeer *peer = link->data;

    peer->is_heard = true;
    if (message->kind == BW_MSG_HELLO)
        settle_version(peer, &message->u.hello);
    if (message->kind == BW_MSG_RING_STATE && wants_ring(peer->daemon))
        adopt_ring(peer->daemon, &message->u.ring_state);
    if (message->kind != BW_MSG_CONFIG_STATE)
        return;
    /* Revision 0 is the answer of a peer without a configuration newer than
       this process's.  If this process has none either, the peer is sent a
       further request. */
    peer->is_answered =
        message->u.config_state.revision > 0 || peer->daemon->revision > 0;
    if (message->u.config_state.revision > 0)
        post_peer_config(peer->daemon, &message->u.config_state);
}

static void
on_end(BwLink *link, BwLinkEnd end)
{
    BwConfigFetchPeer *peer = link->data;

    /* It may have been closed for the version that was offered. */
    if (end == BW_LINK_LOST && !peer->is_heard)
        peer->offered_version = BwWireVersion_NextOffer(peer->offered_version);
    peer->is_linked = false;
}

static const BwLinkEvents link_events = {on_open, on_message, on_end};

static void
send_request(BwConfigFetch *config_fetch, BwDaemon *daemon, uint32_t i)
{
    BwConfigFetchPeer *peer = &config_fetch->peers[i];
    const BwEndpoint *endpoint = &daemon->settings.peers[i];
    struct sockaddr_storage address;
    socklen_t length =
        BwNet_Parse(endpoint->host, (uint16_t)endpoint->port, &address);
    BwMessage message;
    BwLinkEnd end;

    if (length == 0)
        return;
    peer->daemon = daemon;
    if (!BwLink_Dial(&peer->link, daemon->event_loop.loop,
                     (struct sockaddr *)&address, length, &link_events, peer,
                     &config_fetch->counters, &daemon->peers.tls, &end))
        return;
    peer->is_linked = true;
    peer->is_heard = false;
    peer->link.wire_version = peer->offered_version;
    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_HELLO;
    message.u.hello = BwDaemon_Hello(daemon);
    message.u.hello.wire_version = peer->offered_version;
    message.u.hello.role = BW_ROLE_CONFIG_CLIENT;
    BwLink_Send(&peer->link, &message);
    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_CONFIG_REQUEST;
    message.u.config_request.revision = daemon->revision;
    message.u.config_request.wants_ring = wants_ring(daemon);
    BwLink_Send(&peer->link, &message);
}

static void
close_link(BwConfigFetchPeer *peer)
{
    if (peer->is_linked)
        BwLink_Close(&peer->link);
    peer->is_linked = false;
}

void
BwConfigFetch_Init(BwConfigFetch *config_fetch, uint64_t now_us)
{
    memset(config_fetch, 0, sizeof(*config_fetch));
    for (uint32_t i = 0; i < BW_CONFIGFETCH_PEERS_MAX; i++) {
        config_fetch->peers[i].offered_version = BW_WIRE_VERSION;
        config_fetch->peers[i].request_at_us = now_us + FIRST_REQUEST_DELAY_US;
    }
}

void
BwConfigFetch_Tick(BwConfigFetch *config_fetch, BwDaemon *daemon,
                   uint64_t now_us)
{
    for (uint32_t i = 0;
         i < daemon->settings.peer_count && i < BW_CONFIGFETCH_PEERS_MAX;
         i++) {
        BwConfigFetchPeer *peer = &config_fetch->peers[i];

        if (peer->is_answered || daemon->is_log_up) {
            close_link(peer);
            continue;
        }
        if (now_us < peer->request_at_us)
            continue;
        close_link(peer);
        peer->request_at_us = now_us + REQUEST_INTERVAL_US;
        send_request(config_fetch, daemon, i);
    }
}

void
BwConfigFetch_Finish(BwConfigFetch *config_fetch)
{
    for (uint32_t i = 0; i < BW_CONFIGFETCH_PEERS_MAX; i++)
        close_link(&config_fetch->peers[i]);
}
