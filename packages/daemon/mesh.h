/* mesh.h -- connections between dispatchers and supervisors

   Dispatchers listen.  Every process dials the dispatchers that it knows: the
   seeds of its settings, and those that other dispatchers tell of, so nobody
   keeps a list.  A supervisor has one connection to each dispatcher;
   dispatchers have one to each other in each direction and send on their own.

   A connection is named by a number that is never used again.  One that stays
   silent is closed: connections may go silent while new ones work.

   Dispatchers tell those who dialled them all dispatchers that they reach, at
   the start, and then only what is new.  Each second one connection after the
   other is told a part again, so that a loss mends; an empty list is the
   heartbeat where nothing else was sent.
*/

#ifndef BW_MESH_H
#define BW_MESH_H

#include <uthash.h>

#include "link.h"
#include "log.h"
#include "settings.h"

#define BW_MESH_MEMBERS_MAX 1024

typedef struct BwMesh BwMesh;

/* One connection. */
typedef struct BwMeshLink {
    BwLink link;
    BwMesh *mesh;
    uint32_t id;
    BwRole role;
    char name[BW_NAME_BYTES_MAX];
    struct BwMeshMember *member; /* that was dialled, or NULL */
    bool is_up;                  /* the other side has said hello */
    bool is_over;
    bool is_cut; /* a message was dropped: it ends at the next tick */
    uint64_t heard_us;
    uint64_t due_us; /* between supervisor and dispatcher: it is over when
                        nothing was heard by then */
    uint64_t sent_us;
    uint64_t told;   /* news of the mesh up to this one */
    uint32_t retold; /* members, in this round of the repair */
    UT_hash_handle hh;
} BwMeshLink;

typedef struct BwMeshAddress {
    char host[BW_HOST_BYTES_MAX];
    uint32_t port;
} BwMeshAddress;

/* A dispatcher that is known by its address. */
typedef struct BwMeshMember {
    BwMeshAddress address;
    char name[BW_NAME_BYTES_MAX];
    bool is_seed;
    bool is_self;
    BwMeshLink *link;
    uint32_t failures;
    uint64_t redial_us;
    uint64_t heard_us; /* or when it was first told of */
    uint64_t news;     /* number of its last start; 0: it was not reached */
    UT_hash_handle hh;
} BwMeshMember;

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
    BwLinkTls tls;
    h2o_socket_t *listener;
    BwMeshLink *links;     /* hash by id */
    BwMeshMember *members; /* hash by address */
    uint32_t next_id;
    uint64_t news; /* number of the last change of the members */
    uint64_t ticked_us;
    uint64_t repaired_us;
    uint32_t repaired_id;
    uint64_t silence_us;
};

/* Listens if this process is a dispatcher.  Returns false with errno set. */
bool
BwMesh_Init(BwMesh *mesh, h2o_loop_t *loop, const BwSettings *settings,
            const BwLogger *logger, uint64_t incarnation,
            const BwMeshEvents *events, void *ctx);

void
BwMesh_Finish(BwMesh *mesh);

/* Notes a dispatcher's address. */
void
BwMesh_AddMember(BwMesh *mesh, uint64_t now_us, BwSpan name, BwSpan host,
                 uint32_t port, bool is_seed);

/* Notes the seeds of the settings; former ones are dropped like any other
   member that is not heard of. */
void
BwMesh_SetSeeds(BwMesh *mesh, uint64_t now_us, const BwSettings *settings);

/* Returns the connection of that number, or NULL. */
BwMeshLink *
BwMesh_Find(const BwMesh *mesh, uint32_t id);

/* Queues a message.  Returns false when the connection is gone, or has no room
   for the message: it is then closed soon, so that both sides drop what they
   shared, as after any loss. */
bool
BwMesh_Send(BwMesh *mesh, uint32_t id, const BwMessage *message);

/* Sends to every dispatcher that was dialled. */
void
BwMesh_TellDispatchers(BwMesh *mesh, const BwMessage *message);

void
BwMesh_Tick(BwMesh *mesh, uint64_t now_us);

#endif
