/* mesh.h -- connections between dispatchers and supervisors

   Dispatchers listen.  Every process dials each dispatcher that it knows: the
   seeds of its settings, and those that other dispatchers report, so that no
   list of all dispatchers has to be maintained.  A supervisor has one
   connection to each dispatcher.  Two dispatchers have two, one dialled by
   each, and each starts its exchanges on the one that it dialled.

   A connection is identified by a number that is never reused.  A connection
   on which nothing arrives is closed and dialled again, because a connection
   may go silent while new ones to the same process work.

   A dispatcher sends to the processes that dialled it all dispatchers that it
   can reach, once at the start of the connection, and only changes after that.
   Once a second the next connection in turn is sent part of the list again, so
   that a peer that has dropped an address learns it anew.  Sending changes
   keeps the traffic small, at the price that this repair takes several seconds
   in a large mesh.  An empty list serves as heartbeat when nothing else was
   sent.

   Processes of different builds agree on a wire version when they connect
   (wireversion.h).  What the version of a connection lacks is not sent on it.

   The roles of dispatchrole.c and superviserole.c use the mesh; node.c ticks
   it.
*/

#ifndef BW_MESH_H
#define BW_MESH_H

#include <uthash.h>

#include "acceptor.h"
#include "link.h"
#include "log.h"
#include "peerrefusal.h"
#include "settings.h"

#define BW_MESH_DISPATCHERS_MAX 1024

typedef struct BwMesh BwMesh;

/* One connection. */
typedef struct BwMeshLink {
    BwLink link;
    BwMesh *mesh;
    uint32_t id;
    BwRole role;
    char name[BW_NAME_BYTES_MAX];
    char build[BW_NAME_BYTES_MAX];   /* of the other side; empty: not sent */
    struct BwMeshDispatcher *target; /* dialled dispatcher; NULL if accepted */
    bool is_up;                      /* the other side has sent HELLO */
    bool is_closed;
    bool has_overflowed; /* a message was dropped: closed at the next tick */
    uint64_t received_us;
    /* A link between supervisor and dispatcher is closed at this time unless
       a message arrives before. */
    uint64_t expires_us;
    uint64_t sent_us;
    uint64_t sent_version;  /* mesh version up to which changes were sent */
    uint32_t repair_offset; /* dispatchers sent in this pass of the repair */
    UT_hash_handle hh;
} BwMeshLink;

typedef struct BwMeshAddress {
    char host[BW_HOST_BYTES_MAX];
    uint32_t port;
} BwMeshAddress;

/* A dispatcher that is known by its address. */
typedef struct BwMeshDispatcher {
    BwMeshAddress address;
    char name[BW_NAME_BYTES_MAX];
    bool is_seed;
    bool is_self;
    BwMeshLink *link; /* the dialled connection, or NULL */
    uint32_t failures;
    uint32_t offered_version; /* wire version of the next HELLO to it */
    uint64_t redial_us;
    uint64_t received_us; /* last message, or when the address was added */
    /* Version of the mesh when a connection to it last came up; 0: never. */
    uint64_t version;
    UT_hash_handle hh;
} BwMeshDispatcher;

typedef struct BwMeshEvents {
    void (*up)(void *ctx, BwMeshLink *link);
    void (*down)(void *ctx, BwMeshLink *link);
    void (*received)(void *ctx, BwMeshLink *link, const BwMessage *message);
} BwMeshEvents;

struct BwMesh {
    h2o_loop_t *loop;
    const BwLogger *logger;
    const BwSettings *settings;
    const BwMeshEvents *events;
    void *ctx;
    BwHello hello;
    BwLinkCounters counters;
    BwPeerRefusals refusals;
    BwLinkTls tls;
    BwAcceptor acceptor;           /* closed in a supervisor */
    BwAccount *account;            /* NULL: nothing is charged */
    BwMeshLink *links;             /* hash by id */
    BwMeshDispatcher *dispatchers; /* known dispatchers, hash by address */
    uint32_t next_id;
    uint64_t version; /* number of the last change of the dispatchers */
    uint64_t ticked_us;
    uint64_t repaired_us;
    uint32_t repaired_link_id;
    uint64_t silence_timeout_us;    /* between supervisor and dispatcher */
    uint64_t dispatcher_silence_us; /* between dispatchers */
    uint64_t heartbeat_us;          /* between messages of dispatchers */
};

/* Charges the connections that are accepted from now on to the account. */
void
BwMesh_SetAccount(BwMesh *mesh, BwAccount *account);

/* Opens the listener if this process is a dispatcher, and adds the seeds.
   `settings`, `logger` and `events` must outlive the mesh.  Returns false with
   errno set when the address cannot be listened on. */
bool
BwMesh_Init(BwMesh *mesh, h2o_loop_t *loop, const BwSettings *settings,
            const BwLogger *logger, uint64_t incarnation,
            const BwMeshEvents *events, void *ctx);

/* Closes all connections, without calling `down`. */
void
BwMesh_Finish(BwMesh *mesh);

/* Adds a dispatcher's address if it is new; the next tick dials it.  Beyond
   BW_MESH_DISPATCHERS_MAX addresses it does nothing. */
void
BwMesh_AddDispatcher(BwMesh *mesh, uint64_t now_us, BwSpan name, BwSpan host,
                     uint32_t port, bool is_seed);

/* The same for an address as text, as it stands on the store.  A malformed
   one is ignored. */
void
BwMesh_AddAddress(BwMesh *mesh, uint64_t now_us, BwSpan name, BwSpan address);

/* Replaces the seeds by those of the settings.  A previous seed is treated
   like other dispatchers: its address is dropped if it stays unreachable. */
void
BwMesh_SetSeeds(BwMesh *mesh, uint64_t now_us, const BwSettings *settings);

/* Returns the connection with that number, or NULL. */
BwMeshLink *
BwMesh_Find(const BwMesh *mesh, uint32_t id);

/* Queues a message.  Returns false when the connection is closed or has no
   space for the message.  In the latter case the connection is closed at the
   next tick, so that both sides discard their shared state as after any lost
   connection. */
bool
BwMesh_Send(BwMesh *mesh, uint32_t id, const BwMessage *message);

/* Sends to every dispatcher on the connection that this process dialled. */
void
BwMesh_BroadcastToDispatchers(BwMesh *mesh, const BwMessage *message);

/* Closes connections that expired, dials dispatchers without a connection, and
   sends heartbeats and changes. */
void
BwMesh_Tick(BwMesh *mesh, uint64_t now_us);

#endif
