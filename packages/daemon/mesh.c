/* mesh.c -- connections between dispatchers and supervisors

   Method and callers are described in mesh.h.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "clock.h"
#include "mesh.h"
#include "net.h"
#include "wireversion.h"

#define REDIAL_PAUSE_MIN_US 50000
#define REDIAL_PAUSE_MAX_US 500000
#define CONNECT_TIMEOUT_US 300000
#define HELLO_TIMEOUT_US 1000000
/* Interval between messages of dispatchers, at most a third of the silence
   after which a connection is closed. */
#define HEARTBEAT_INTERVAL_US 1000000
#define REPAIR_INTERVAL_US 1000000
#define REPAIR_BATCH 32 /* dispatchers sent per repair interval */
/* A connection between dispatchers on which nothing arrives is closed before
   contact with its host counts as lost: after this share of contact_ms. */
#define DISPATCHER_SILENCE_PERMILLE 800
#define DISPATCHER_SILENCE_MAX_US 3500000
#define ADDRESS_RETENTION_US 30000000

/* Closes the connection and sets when its dispatcher is dialled again.  The
   next tick frees it. */
static void
close_link(BwMeshLink *link)
{
    BwMesh *mesh = link->mesh;
    BwMeshDispatcher *dispatcher = link->target;

    if (link->is_closed)
        return;
    link->is_closed = true;
    BwLink_Close(&link->link);
    if (dispatcher != NULL) {
        uint64_t pause_us = REDIAL_PAUSE_MIN_US << dispatcher->failures;

        dispatcher->link = NULL;
        dispatcher->redial_us =
            BwClock_Now() +
            (pause_us < REDIAL_PAUSE_MAX_US ? pause_us : REDIAL_PAUSE_MAX_US);
        if (dispatcher->failures < 4)
            dispatcher->failures++;
    }
    if (!link->is_up)
        return;
    link->is_up = false;
    BW_LOG(mesh->logger, BW_LOG_INFO, "link_down",
           BW_LOG_TEXT("peer", link->name), BW_LOG_NUMBER("link", link->id));
    mesh->events->down(mesh->ctx, link);
}

/* A connection that was open and ended before the other side sent HELLO may
   have been closed for the version that was offered. */
static void
on_ended(BwLink *inner, BwLinkEnd end)
{
    BwMeshLink *link = inner->data;
    BwMeshDispatcher *dispatcher = link->target;

    if (end == BW_LINK_LOST && !link->is_up && dispatcher != NULL)
        dispatcher->offered_version =
            BwWireVersion_NextOffer(dispatcher->offered_version);
    close_link(link);
}

/* The next message must arrive within the silence timeout, or later by as much
   as the other side has announced in a SESSION message. */
static void
extend_expiry(BwMeshLink *link, const BwMessage *message)
{
    uint64_t expires_us = link->received_us + link->mesh->silence_timeout_us;

    if (message->kind == BW_MSG_SESSION)
        expires_us += message->u.session.next_us;
    if (expires_us > link->expires_us)
        link->expires_us = expires_us;
}

/* Returns whether the other side answers the message: a supervisor answers
   PLACE, and a dispatcher answers SESSION. */
static bool
expects_reply(const BwMesh *mesh, const BwMessage *message)
{
    return message->kind == BW_MSG_PLACE ||
           (message->kind == BW_MSG_SESSION &&
            !BwAcceptor_IsOpen(&mesh->acceptor));
}

static bool
send_message(BwMeshLink *link, const BwMessage *message)
{
    BwMesh *mesh = link->mesh;

    link->sent_us = mesh->ticked_us;
    if (expects_reply(mesh, message)) {
        uint64_t reply_due_us = BwClock_Now() + mesh->silence_timeout_us;

        if (reply_due_us < link->expires_us)
            link->expires_us = reply_due_us;
    }
    return BwLink_Send(&link->link, message);
}

static void
send_hello(BwMeshLink *link)
{
    BwMessage message = {.kind = BW_MSG_HELLO};

    message.u.hello = link->mesh->hello;
    message.u.hello.wire_version = link->link.wire_version;
    message.u.hello.clock_us = BwClock_Now();
    send_message(link, &message);
}

static void
on_opened(BwLink *inner)
{
    BwMeshLink *link = inner->data;

    link->received_us = BwClock_Now();
    if (link->target == NULL)
        return;
    inner->wire_version = link->target->offered_version;
    send_hello(link);
}

/* Sends up to `max` of the reachable dispatchers that changed after
   `after_version`, without the first `skip`.  Returns how many were sent. */
static uint32_t
send_dispatchers(BwMeshLink *link, uint64_t after_version, uint32_t skip,
                 uint32_t max)
{
    BwMessage message = {.kind = BW_MSG_DISPATCHER_LIST};
    BwDispatcherAddress entries[BW_MESH_DISPATCHERS_MAX];
    BwMeshDispatcher *dispatcher;
    uint32_t count = 0;

    for (dispatcher = link->mesh->dispatchers;
         dispatcher != NULL && count < max; dispatcher = dispatcher->hh.next) {
        if (dispatcher->version <= after_version ||
            (!dispatcher->is_self &&
             (dispatcher->link == NULL || !dispatcher->link->is_up)))
            continue;
        if (skip > 0) {
            skip--;
            continue;
        }
        entries[count].name = BwSpan_FromString(dispatcher->name);
        entries[count].host = BwSpan_FromString(dispatcher->address.host);
        entries[count++].port = dispatcher->address.port;
    }
    message.u.dispatcher_list.dispatchers = entries;
    message.u.dispatcher_list.dispatcher_count = count;
    send_message(link, &message);
    return count;
}

static void
send_changes(BwMeshLink *link)
{
    send_dispatchers(link, link->sent_version, 0, BW_MESH_DISPATCHERS_MAX);
    link->sent_version = link->mesh->version;
}

/* Sets the version in which the link is spoken from now on.  Returns false if
   this build does not speak it. */
static bool
agree_on_version(BwMeshLink *link, const BwHello *hello)
{
    uint32_t version = link->target != NULL ? BwWireVersion_Settle(hello)
                                            : BwWireVersion_Answer(hello);

    if (version == 0) {
        BwPeerRefusals_Add(&link->mesh->refusals, link->received_us, hello,
                           &link->mesh->counters, link->mesh->logger);
        return false;
    }
    link->link.wire_version = version;
    return true;
}

static void
on_hello(BwMeshLink *link, const BwHello *hello)
{
    BwMesh *mesh = link->mesh;

    if (link->is_up || !agree_on_version(link, hello)) {
        close_link(link);
        return;
    }
    link->role = (BwRole)hello->role;
    BwSpan_ToString(hello->name, link->name, sizeof(link->name));
    BwSpan_ToString(hello->build, link->build, sizeof(link->build));
    link->is_up = true;
    BwLink_Trust(&link->link);
    if (link->target != NULL) {
        link->target->offered_version = link->link.wire_version;
        BwSpan_ToString(hello->name, link->target->name,
                        sizeof(link->target->name));
        link->target->failures = 0;
        link->target->is_self = hello->incarnation == mesh->hello.incarnation;
        link->target->version = ++mesh->version;
    }
    else {
        send_hello(link);
        if (hello->role == BW_ROLE_DISPATCHER)
            BwMesh_AddDispatcher(mesh, link->received_us, hello->name,
                                 hello->http_host, hello->http_port, false);
        send_changes(link);
    }
    BW_LOG(mesh->logger, BW_LOG_INFO, "link_up",
           BW_LOG_TEXT("peer", link->name), BW_LOG_NUMBER("link", link->id),
           BW_LOG_NUMBER("wire_version", link->link.wire_version),
           BW_LOG_TEXT("build", link->build));
    mesh->events->up(mesh->ctx, link);
}

static void
on_dispatcher_list(BwMeshLink *link, const BwDispatcherList *list)
{
    for (uint32_t i = 0; i < list->dispatcher_count; i++)
        BwMesh_AddDispatcher(
            link->mesh, link->received_us, list->dispatchers[i].name,
            list->dispatchers[i].host, list->dispatchers[i].port, false);
}

static void
on_received(BwLink *inner, const BwMessage *message)
{
    BwMeshLink *link = inner->data;

    link->received_us = BwClock_Now();
    extend_expiry(link, message);
    if (link->target != NULL)
        link->target->received_us = link->received_us;
    if (message->kind == BW_MSG_HELLO)
        on_hello(link, &message->u.hello);
    else if (!link->is_up)
        close_link(link);
    else if (message->kind == BW_MSG_DISPATCHER_LIST)
        on_dispatcher_list(link, &message->u.dispatcher_list);
    else
        link->mesh->events->received(link->mesh->ctx, link, message);
}

static const BwLinkEvents link_events = {on_opened, on_received, on_ended};

static BwMeshLink *
make_link(BwMesh *mesh)
{
    BwMeshLink *link = calloc(1, sizeof(*link));

    if (link == NULL)
        return NULL;
    link->mesh = mesh;
    link->id = ++mesh->next_id;
    link->received_us = BwClock_Now();
    HASH_ADD(hh, mesh->links, id, sizeof(link->id), link);
    return link;
}

static void
on_accepted(void *ctx, h2o_socket_t *sock)
{
    BwMesh *mesh = ctx;
    BwMeshLink *link = make_link(mesh);

    if (link == NULL) {
        h2o_socket_close(sock);
        return;
    }
    BwLink_Accept(&link->link, sock, &link_events, link, &mesh->counters,
                  &mesh->tls);
    BwLink_SetAccount(&link->link, mesh->account);
}

static void
dial(BwMesh *mesh, BwMeshDispatcher *dispatcher)
{
    struct sockaddr_storage address;
    socklen_t length =
        BwNet_Parse(dispatcher->address.host,
                    (uint16_t)dispatcher->address.port, &address);
    BwMeshLink *link = length > 0 ? make_link(mesh) : NULL;
    BwLinkEnd end;

    if (link == NULL)
        return;
    link->target = dispatcher;
    dispatcher->link = link;
    if (!BwLink_Dial(&link->link, mesh->loop, (struct sockaddr *)&address,
                     length, &link_events, link, &mesh->counters, &mesh->tls,
                     &end))
        close_link(link);
}

void
BwMesh_AddDispatcher(BwMesh *mesh, uint64_t now_us, BwSpan name, BwSpan host,
                     uint32_t port, bool is_seed)
{
    BwMeshAddress address;
    BwMeshDispatcher *dispatcher;

    memset(&address, 0, sizeof(address));
    BwSpan_ToString(host, address.host, sizeof(address.host));
    address.port = port;
    HASH_FIND(hh, mesh->dispatchers, &address, sizeof(address), dispatcher);
    if (dispatcher != NULL) {
        dispatcher->is_seed |= is_seed;
        return;
    }
    if (HASH_COUNT(mesh->dispatchers) == BW_MESH_DISPATCHERS_MAX)
        return;
    dispatcher = calloc(1, sizeof(*dispatcher));
    if (dispatcher == NULL)
        return;
    dispatcher->address = address;
    BwSpan_ToString(name, dispatcher->name, sizeof(dispatcher->name));
    dispatcher->is_seed = is_seed;
    dispatcher->received_us = now_us;
    dispatcher->offered_version = BW_WIRE_VERSION;
    dispatcher->is_self = BwAcceptor_IsOpen(&mesh->acceptor) &&
                          port == mesh->settings->peer.port &&
                          strcmp(address.host, mesh->settings->peer.host) == 0;
    dispatcher->version = dispatcher->is_self ? ++mesh->version : 0;
    HASH_ADD(hh, mesh->dispatchers, address, sizeof(dispatcher->address),
             dispatcher);
}

void
BwMesh_AddAddress(BwMesh *mesh, uint64_t now_us, BwSpan name, BwSpan address)
{
    char text[BW_ADDRESS_BYTES_MAX];
    char host[BW_HOST_BYTES_MAX];
    uint16_t port;

    BwSpan_ToString(address, text, sizeof(text));
    if (BwNet_SplitAddress(text, host, sizeof(host), &port))
        BwMesh_AddDispatcher(mesh, now_us, name, BwSpan_FromString(host), port,
                             false);
}

void
BwMesh_SetSeeds(BwMesh *mesh, uint64_t now_us, const BwSettings *settings)
{
    BwMeshDispatcher *dispatcher;

    for (dispatcher = mesh->dispatchers; dispatcher != NULL;
         dispatcher = dispatcher->hh.next)
        dispatcher->is_seed = dispatcher->is_self;
    for (uint32_t i = 0; i < settings->peer_count; i++)
        BwMesh_AddDispatcher(mesh, now_us, BwSpan_FromString(""),
                             BwSpan_FromString(settings->peers[i].host),
                             settings->peers[i].port, true);
}

BwMeshLink *
BwMesh_Find(const BwMesh *mesh, uint32_t id)
{
    BwMeshLink *link;

    HASH_FIND(hh, mesh->links, &id, sizeof(id), link);
    return link;
}

bool
BwMesh_Send(BwMesh *mesh, uint32_t id, const BwMessage *message)
{
    BwMeshLink *link = BwMesh_Find(mesh, id);

    if (link == NULL || link->is_closed || link->has_overflowed)
        return false;
    link->has_overflowed = !send_message(link, message);
    return !link->has_overflowed;
}

void
BwMesh_BroadcastToDispatchers(BwMesh *mesh, const BwMessage *message)
{
    for (BwMeshLink *link = mesh->links; link != NULL; link = link->hh.next) {
        if (link->is_up && link->target != NULL &&
            link->role == BW_ROLE_DISPATCHER)
            send_message(link, message);
    }
}

static void
reap_links(BwMesh *mesh)
{
    BwMeshLink *link, *next;

    HASH_ITER(hh, mesh->links, link, next)
    {
        if (!link->is_closed)
            continue;
        HASH_DEL(mesh->links, link);
        free(link);
    }
}

/* Returns when the connection is closed unless a message arrives before.  A
   host that was down drops the first packet of a connection, and the operating
   system retransmits it only after a second, so dialling again after
   CONNECT_TIMEOUT_US is faster. */
static uint64_t
link_expiry_us(const BwMeshLink *link)
{
    if (!link->link.is_open)
        return link->received_us + CONNECT_TIMEOUT_US;
    if (!link->is_up)
        return link->received_us + HELLO_TIMEOUT_US;
    if (BwAcceptor_IsOpen(&link->mesh->acceptor) &&
        link->role == BW_ROLE_DISPATCHER)
        return link->received_us + link->mesh->dispatcher_silence_us;
    return link->expires_us;
}

/* The list of dispatchers is sent only on accepted connections: dispatchers
   dial each other, so each receives it on the connection that it dialled. */
static void
update_link(BwMeshLink *link, uint64_t now_us)
{
    if (link->target == NULL && link->sent_version < link->mesh->version)
        send_changes(link);
    else if (now_us - link->sent_us >= link->mesh->heartbeat_us)
        send_dispatchers(link, UINT64_MAX, 0, 0);
}

static void
tick_links(BwMesh *mesh, uint64_t now_us)
{
    for (BwMeshLink *link = mesh->links; link != NULL; link = link->hh.next) {
        if (!link->is_closed &&
            (link->has_overflowed || now_us > link_expiry_us(link)))
            close_link(link);
        else if (link->is_up && BwAcceptor_IsOpen(&mesh->acceptor))
            update_link(link, now_us);
    }
}

/* A peer that could not reach a dispatcher for ADDRESS_RETENTION_US has
   dropped its address, and no change will announce it again.  Once in each
   REPAIR_INTERVAL_US, the next accepted connection in turn is therefore sent
   the next REPAIR_BATCH dispatchers of the list. */
static void
repair_dispatchers(BwMesh *mesh, uint64_t now_us)
{
    BwMeshLink *next = NULL;
    uint32_t count;

    if (!BwAcceptor_IsOpen(&mesh->acceptor) ||
        now_us - mesh->repaired_us < REPAIR_INTERVAL_US)
        return;
    mesh->repaired_us = now_us;
    for (BwMeshLink *link = mesh->links; link != NULL; link = link->hh.next) {
        if (!link->is_up || link->target != NULL)
            continue;
        if (next == NULL || link->id > mesh->repaired_link_id)
            next = link;
        if (next->id > mesh->repaired_link_id)
            break;
    }
    if (next == NULL)
        return;
    mesh->repaired_link_id = next->id;
    count = send_dispatchers(next, 0, next->repair_offset, REPAIR_BATCH);
    next->repair_offset =
        count == REPAIR_BATCH ? next->repair_offset + count : 0;
}

static void
tick_dispatchers(BwMesh *mesh, uint64_t now_us)
{
    BwMeshDispatcher *dispatcher, *next;

    HASH_ITER(hh, mesh->dispatchers, dispatcher, next)
    {
        if (dispatcher->is_self || dispatcher->link != NULL)
            continue;
        if (!dispatcher->is_seed &&
            now_us - dispatcher->received_us > ADDRESS_RETENTION_US) {
            HASH_DEL(mesh->dispatchers, dispatcher);
            free(dispatcher);
            continue;
        }
        if (now_us >= dispatcher->redial_us)
            dial(mesh, dispatcher);
    }
}

void
BwMesh_Tick(BwMesh *mesh, uint64_t now_us)
{
    mesh->ticked_us = now_us;
    BwAcceptor_Tick(&mesh->acceptor);
    tick_links(mesh, now_us);
    repair_dispatchers(mesh, now_us);
    reap_links(mesh);
    tick_dispatchers(mesh, now_us);
}

bool
BwMesh_Init(BwMesh *mesh, h2o_loop_t *loop, const BwSettings *settings,
            const BwLogger *logger, uint64_t incarnation,
            const BwMeshEvents *events, void *ctx)
{
    uint16_t port = (uint16_t)settings->peer.port;

    memset(mesh, 0, sizeof(*mesh));
    mesh->loop = loop;
    mesh->settings = settings;
    mesh->logger = logger;
    mesh->events = events;
    mesh->ctx = ctx;
    mesh->silence_timeout_us = settings->limits.session_ms * 1000;
    mesh->dispatcher_silence_us =
        settings->limits.contact_ms * DISPATCHER_SILENCE_PERMILLE;
    if (mesh->dispatcher_silence_us > DISPATCHER_SILENCE_MAX_US)
        mesh->dispatcher_silence_us = DISPATCHER_SILENCE_MAX_US;
    mesh->heartbeat_us = mesh->dispatcher_silence_us / 3;
    if (mesh->heartbeat_us > HEARTBEAT_INTERVAL_US)
        mesh->heartbeat_us = HEARTBEAT_INTERVAL_US;
    mesh->hello.wire_version_max = BW_WIRE_VERSION;
    mesh->hello.build = BwSpan_FromString(BW_BUILD);
    mesh->hello.role = settings->role == BW_SETTINGS_DISPATCHER
                           ? BW_ROLE_DISPATCHER
                           : BW_ROLE_SUPERVISOR;
    mesh->hello.name = BwSpan_FromString(settings->name);
    mesh->hello.incarnation = incarnation;
    mesh->hello.region = BwSpan_FromString(settings->region);
    mesh->hello.domain = BwSpan_FromString(settings->domain);
    mesh->hello.http_host = BwSpan_FromString(settings->peer.host);
    mesh->hello.http_port = settings->peer.port;
    if (settings->role == BW_SETTINGS_DISPATCHER) {
        if (!BwAcceptor_Init(&mesh->acceptor, loop, settings->peer.host, &port,
                             on_accepted, mesh))
            return false;
        mesh->hello.http_port = port;
        BwMesh_AddDispatcher(mesh, BwClock_Now(), mesh->hello.name,
                             mesh->hello.http_host, port, true);
        mesh->dispatchers->is_self = true;
        mesh->dispatchers->version = ++mesh->version;
    }
    BwMesh_SetSeeds(mesh, BwClock_Now(), settings);
    return true;
}

void
BwMesh_SetAccount(BwMesh *mesh, BwAccount *account)
{
    mesh->account = account;
    BwAcceptor_SetAccount(&mesh->acceptor, account, BW_SHARE_PEERS);
}

void
BwMesh_Finish(BwMesh *mesh)
{
    BwMeshLink *link;
    BwMeshDispatcher *dispatcher, *next;

    for (link = mesh->links; link != NULL; link = link->hh.next) {
        link->is_up = false;
        close_link(link);
    }
    reap_links(mesh);
    HASH_ITER(hh, mesh->dispatchers, dispatcher, next)
    {
        HASH_DEL(mesh->dispatchers, dispatcher);
        free(dispatcher);
    }
    BwAcceptor_Close(&mesh->acceptor);
}
