/* peers.h -- connections of an agent or entry to the other processes

   An agent dials every agent of the ring and sends to it on that link; what
   the other agent sends arrives on the link that it has dialled itself.  An
   entry only dials, so an agent sends to an entry on the accepted link.

   Terms: a peer is linked while this process dials it or has a connection that
   it dialled; up once the peer has sent HELLO on that link; down when the link
   has ended.  A peer is gone, or proved gone, when its process is known to
   have ended, because a connection was refused or a HELLO had another
   incarnation.

   A peer is identified by a number that is not reused while the process runs.
   Number 0 is this process: messages to it are queued and delivered by the
   event loop.

   agent.c and entry.c use the connections; the names of agents are translated
   to numbers by BwPeers_FindAgent.
*/

#ifndef BW_PEERS_H
#define BW_PEERS_H

#include <uthash.h>

#include "acceptor.h"
#include "brasswing.h"
#include "link.h"
#include "log.h"
#include "peerrefusal.h"

#define BW_PEER_SELF 0
#define BW_PEERS_MAX 16384

typedef struct BwPeers BwPeers;

/* What a process last reported about itself, in HELLO and LOAD. */
typedef struct BwPeerReport {
    char domain[BW_NAME_BYTES_MAX];
    char http_host[BW_NAME_BYTES_MAX];
    uint32_t http_port;
    char service[BW_NAME_BYTES_MAX];
    uint32_t slots;
    uint32_t free_slots;
    uint32_t queued;
    bool is_leaving;
    uint64_t revision; /* revision in force there; 0: not reported */
} BwPeerReport;

typedef struct BwPeer {
    uint32_t id;
    BwRole role;
    char name[BW_NAME_BYTES_MAX];
    UT_hash_handle hh;
    BwPeers *peers;
    BwLink link;
    bool is_linked;          /* `link` is being dialled or is open */
    bool is_up;              /* the peer has sent HELLO on `link` */
    bool is_in_ring;         /* `agent` has its address */
    bool is_proved_gone;     /* its last known process has ended */
    uint64_t proved_gone_us; /* time of the last proof */
    BwAgent agent;
    uint64_t incarnation; /* incarnation in the last HELLO; 0: none yet */
    uint64_t redial_at_us;
    uint32_t failures;
    uint32_t offered_version; /* wire version of the next HELLO to it */
    BwPeerReport report;
    /* When this agent's load was last sent to the peer, an entry; 0: never. */
    uint64_t load_sent_us;
} BwPeer;

/* A connection that another process opened. */
typedef struct BwInbound {
    BwLink link;
    BwPeers *peers;
    uint32_t peer_id; /* 0 until the peer has sent HELLO */
    uint64_t accepted_us;
    bool is_closed;
    struct BwInbound *prev, *next;
} BwInbound;

typedef struct BwPeerEvents {
    void (*received)(void *ctx, uint32_t peer_id, const BwMessage *message);
    /* The link to an agent is open and the agent has sent HELLO. */
    void (*up)(void *ctx, BwPeer *peer);
    /* The link has ended.  If `is_gone`, the peer's process is proved gone;
       otherwise it may still run. */
    void (*down)(void *ctx, BwPeer *peer, bool is_gone);
} BwPeerEvents;

struct BwPeers {
    h2o_loop_t *loop;
    const BwLogger *logger;
    const BwPeerEvents *events;
    void *ctx;
    BwHello hello; /* this process's own HELLO */
    BwPeer *table; /* hash by id */
    BwInbound *inbound;
    uint32_t next_id;
    BwAcceptor acceptor;
    BwAccount *account; /* NULL: nothing is charged */
    BwLinkCounters counters;
    BwPeerRefusals refusals;
    /* The owner replaces the contexts when the certificates change. */
    BwLinkTls tls;
    msgpack_sbuffer self_queue;
    h2o_timeout_t self_timeout;
    h2o_timeout_entry_t self_timer;
};

/* `hello` describes this process; its spans must live as long as `peers`. */
void
BwPeers_Init(BwPeers *peers, h2o_loop_t *loop, const BwLogger *logger,
             const BwHello *hello, const BwPeerEvents *events, void *ctx);

/* Listens for connections of other processes.  Returns false with errno set on
   failure. */
bool
BwPeers_Listen(BwPeers *peers, const char *host, uint16_t *port);

/* Charges the connections that are accepted from now on to the account. */
void
BwPeers_SetAccount(BwPeers *peers, BwAccount *account);

/* Begins to dial the agents that are new in the ring, and stops dialling those
   that are no longer in it. */
void
BwPeers_SetRing(BwPeers *peers, const BwRing *ring);

/* Returns the number of queued slots, summed over all priorities. */
uint32_t
BwLoad_CountQueued(const BwLoad *load);

/* Stores what an agent reported in a LOAD. */
void
BwPeers_UpdateReport(BwPeers *peers, uint32_t id, const BwLoad *load);

/* Queues a message; its contents are copied.  Returns false when there is no
   link to the peer or the link cannot take it. */
bool
BwPeers_Send(BwPeers *peers, uint32_t id, const BwMessage *message);

/* Sends to every agent whose link is up. */
void
BwPeers_BroadcastToAgents(BwPeers *peers, const BwMessage *message);

/* Sends to every agent whose link is up, and to every entry. */
void
BwPeers_BroadcastToAgentsAndEntries(BwPeers *peers, const BwMessage *message);

/* Returns the agent with this name, or NULL. */
BwPeer *
BwPeers_FindAgent(BwPeers *peers, BwSpan name);

BwPeer *
BwPeers_Find(BwPeers *peers, uint32_t id);

/* Dials the agents that are due, and frees accepted connections that have
   ended. */
void
BwPeers_Tick(BwPeers *peers, uint64_t now_us);

/* Closes every connection and frees the peers. */
void
BwPeers_Finish(BwPeers *peers);

#endif
