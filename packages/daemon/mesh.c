/* mesh.c -- connections between dispatchers and supervisors */

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "clock.h"
#include "mesh.h"
#include "net.h"

#define REDIAL_FIRST_US 50000
#define REDIAL_LAST_US 500000
#define CONNECT_TIMEOUT_US 300000
#define HELLO_TIMEOUT_US 1000000
#define HEARTBEAT_US 1000000 /* where nothing else was sent */
#define REPAIR_US 1000000
#define REPAIR_MEMBERS 32 /* told again to one connection at a time */
#define DISPATCHER_SILENCE_US 3500000
#define MEMBER_KEPT_US 30000000

static void
end_link(BwMeshLink *link)
{
    BwMesh *mesh = link->mesh;
    BwMeshMember *member = link->member;

    if (link->is_over)
        return;
    link->is_over = true;
    BwLink_Close(&link->link);
    if (member != NULL) {
        uint64_t pause_us = REDIAL_FIRST_US << member->failures;

        member->link = NULL;
        member->redial_us =
            BwClock_Now() +
            (pause_us < REDIAL_LAST_US ? pause_us : REDIAL_LAST_US);
        if (member->failures < 4)
            member->failures++;
    }
    if (!link->is_up)
        return;
    link->is_up = false;
    BW_LOG(mesh->logger, BW_LOG_INFO, "link_down",
           BW_LOG_TEXT("peer", link->name), BW_LOG_NUMBER("link", link->id));
    mesh->events->down(mesh->ctx, link);
}

static void
on_ended(BwLink *inner, BwLinkEnd end)
{
    (void)end;
    end_link(inner->data);
}

/* Something must be heard in the time of a silence, or in what the other side
   has announced beyond. */
static void
note_heard(BwMeshLink *link, const BwMessage *message)
{
    uint64_t due_us = link->heard_us + link->mesh->silence_us;

    if (message->kind == BW_MSG_SESSION)
        due_us += message->u.session.next_us;
    if (due_us > link->due_us)
        link->due_us = due_us;
}

static bool
is_answered(const BwMesh *mesh, const BwMessage *message)
{
    return message->kind == BW_MSG_PLACE ||
           (message->kind == BW_MSG_SESSION && mesh->listener == NULL);
}

static bool
send_on(BwMeshLink *link, const BwMessage *message)
{
    BwMesh *mesh = link->mesh;

    link->sent_us = mesh->ticked_us;
    if (is_answered(mesh, message)) {
        uint64_t answer_us = BwClock_Now() + mesh->silence_us;

        if (answer_us < link->due_us)
            link->due_us = answer_us;
    }
    return BwLink_Send(&link->link, message);
}

static void
send_hello(BwMeshLink *link)
{
    BwMessage message = {.kind = BW_MSG_HELLO};

    message.u.hello = link->mesh->hello;
    message.u.hello.clock_us = BwClock_Now();
    send_on(link, &message);
}

static void
on_opened(BwLink *inner)
{
    BwMeshLink *link = inner->data;

    link->heard_us = BwClock_Now();
    if (link->member != NULL)
        send_hello(link);
}

/* Sends up to `most` of the dispatchers with news after `told`, without the
   first `skipped`.  Returns how many. */
static uint32_t
send_members(BwMeshLink *link, uint64_t told, uint32_t skipped, uint32_t most)
{
    BwMessage message = {.kind = BW_MSG_MEMBERS};
    BwMember members[BW_MESH_MEMBERS_MAX];
    BwMeshMember *member;
    uint32_t count = 0;

    for (member = link->mesh->members; member != NULL && count < most;
         member = member->hh.next) {
        if (member->news <= told ||
            (!member->is_self &&
             (member->link == NULL || !member->link->is_up)))
            continue;
        if (skipped > 0) {
            skipped--;
            continue;
        }
        members[count].name = BwSpan_FromString(member->name);
        members[count].host = BwSpan_FromString(member->address.host);
        members[count++].port = member->address.port;
    }
    message.u.members.members = members;
    message.u.members.member_count = count;
    send_on(link, &message);
    return count;
}

static void
send_news(BwMeshLink *link)
{
    send_members(link, link->told, 0, BW_MESH_MEMBERS_MAX);
    link->told = link->mesh->news;
}

static void
on_hello(BwMeshLink *link, const BwHello *hello)
{
    BwMesh *mesh = link->mesh;

    if (link->is_up || hello->wire_version != BW_WIRE_VERSION) {
        end_link(link);
        return;
    }
    link->role = (BwRole)hello->role;
    BwSpan_ToString(hello->name, link->name, sizeof(link->name));
    link->is_up = true;
    if (link->member != NULL) {
        BwSpan_ToString(hello->name, link->member->name,
                        sizeof(link->member->name));
        link->member->failures = 0;
        link->member->is_self = hello->incarnation == mesh->hello.incarnation;
        link->member->news = ++mesh->news;
    }
    else {
        send_hello(link);
        if (hello->role == BW_ROLE_DISPATCHER)
            BwMesh_AddMember(mesh, link->heard_us, hello->name,
                             hello->http_host, hello->http_port, false);
        send_news(link);
    }
    BW_LOG(mesh->logger, BW_LOG_INFO, "link_up",
           BW_LOG_TEXT("peer", link->name), BW_LOG_NUMBER("link", link->id));
    mesh->events->up(mesh->ctx, link);
}

static void
on_members(BwMeshLink *link, const BwMembers *members)
{
    for (uint32_t i = 0; i < members->member_count; i++)
        BwMesh_AddMember(link->mesh, link->heard_us, members->members[i].name,
                         members->members[i].host, members->members[i].port,
                         false);
}

static void
on_received(BwLink *inner, const BwMessage *message)
{
    BwMeshLink *link = inner->data;

    link->heard_us = BwClock_Now();
    note_heard(link, message);
    if (link->member != NULL)
        link->member->heard_us = link->heard_us;
    if (message->kind == BW_MSG_HELLO)
        on_hello(link, &message->u.hello);
    else if (!link->is_up)
        end_link(link);
    else if (message->kind == BW_MSG_MEMBERS)
        on_members(link, &message->u.members);
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
    link->heard_us = BwClock_Now();
    HASH_ADD(hh, mesh->links, id, sizeof(link->id), link);
    return link;
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    BwMesh *mesh = listener->data;
    h2o_socket_t *sock;

    if (err != NULL)
        return;
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        BwMeshLink *link = make_link(mesh);

        if (link == NULL)
            h2o_socket_close(sock);
        else
            BwLink_Accept(&link->link, sock, &link_events, link,
                          &mesh->counters, &mesh->tls);
    }
}

static void
dial(BwMesh *mesh, BwMeshMember *member)
{
    struct sockaddr_storage address;
    socklen_t length = BwNet_Parse(member->address.host,
                                   (uint16_t)member->address.port, &address);
    BwMeshLink *link = length > 0 ? make_link(mesh) : NULL;
    BwLinkEnd end;

    if (link == NULL)
        return;
    link->member = member;
    member->link = link;
    if (!BwLink_Dial(&link->link, mesh->loop, (struct sockaddr *)&address,
                     length, &link_events, link, &mesh->counters, &mesh->tls,
                     &end))
        end_link(link);
}

void
BwMesh_AddMember(BwMesh *mesh, uint64_t now_us, BwSpan name, BwSpan host,
                 uint32_t port, bool is_seed)
{
    BwMeshAddress address;
    BwMeshMember *member;

    memset(&address, 0, sizeof(address));
    BwSpan_ToString(host, address.host, sizeof(address.host));
    address.port = port;
    HASH_FIND(hh, mesh->members, &address, sizeof(address), member);
    if (member != NULL) {
        member->is_seed |= is_seed;
        return;
    }
    if (HASH_COUNT(mesh->members) == BW_MESH_MEMBERS_MAX)
        return;
    member = calloc(1, sizeof(*member));
    if (member == NULL)
        return;
    member->address = address;
    BwSpan_ToString(name, member->name, sizeof(member->name));
    member->is_seed = is_seed;
    member->heard_us = now_us;
    member->is_self = mesh->listener != NULL &&
                      port == mesh->settings->peer.port &&
                      strcmp(address.host, mesh->settings->peer.host) == 0;
    member->news = member->is_self ? ++mesh->news : 0;
    HASH_ADD(hh, mesh->members, address, sizeof(member->address), member);
}

void
BwMesh_SetSeeds(BwMesh *mesh, uint64_t now_us, const BwSettings *settings)
{
    BwMeshMember *member;

    for (member = mesh->members; member != NULL; member = member->hh.next)
        member->is_seed = member->is_self;
    for (uint32_t i = 0; i < settings->peer_count; i++)
        BwMesh_AddMember(mesh, now_us, BwSpan_FromString(""),
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

    if (link == NULL || link->is_over || link->is_cut)
        return false;
    link->is_cut = !send_on(link, message);
    return !link->is_cut;
}

void
BwMesh_TellDispatchers(BwMesh *mesh, const BwMessage *message)
{
    for (BwMeshLink *link = mesh->links; link != NULL; link = link->hh.next) {
        if (link->is_up && link->member != NULL &&
            link->role == BW_ROLE_DISPATCHER)
            send_on(link, message);
    }
}

static void
reap_links(BwMesh *mesh)
{
    BwMeshLink *link, *next;

    HASH_ITER(hh, mesh->links, link, next)
    {
        if (!link->is_over)
            continue;
        HASH_DEL(mesh->links, link);
        free(link);
    }
}

/* Until when something must be heard of a connection.  A host that was down
   drops the first packet of a connection, and the system sends it again only
   after a second: dialling again is faster. */
static uint64_t
due_us(const BwMeshLink *link)
{
    if (!link->link.is_open)
        return link->heard_us + CONNECT_TIMEOUT_US;
    if (!link->is_up)
        return link->heard_us + HELLO_TIMEOUT_US;
    if (link->mesh->listener != NULL && link->role == BW_ROLE_DISPATCHER)
        return link->heard_us + DISPATCHER_SILENCE_US;
    return link->due_us;
}

/* Dispatchers that dial each other tell on the connections they accepted. */
static void
tell_link(BwMeshLink *link, uint64_t now_us)
{
    if (link->member == NULL && link->told < link->mesh->news)
        send_news(link);
    else if (now_us - link->sent_us >= HEARTBEAT_US)
        send_members(link, UINT64_MAX, 0, 0);
}

static void
tick_links(BwMesh *mesh, uint64_t now_us)
{
    for (BwMeshLink *link = mesh->links; link != NULL; link = link->hh.next) {
        if (!link->is_over && (link->is_cut || now_us > due_us(link)))
            end_link(link);
        else if (link->is_up && mesh->listener != NULL)
            tell_link(link, now_us);
    }
}

/* Who could not reach a dispatcher for long has forgotten it, and it is no
   news: each second one connection after the other is told a part again. */
static void
repair_members(BwMesh *mesh, uint64_t now_us)
{
    BwMeshLink *next = NULL;
    uint32_t count;

    if (mesh->listener == NULL || now_us - mesh->repaired_us < REPAIR_US)
        return;
    mesh->repaired_us = now_us;
    for (BwMeshLink *link = mesh->links; link != NULL; link = link->hh.next) {
        if (!link->is_up || link->member != NULL)
            continue;
        if (next == NULL || link->id > mesh->repaired_id)
            next = link;
        if (next->id > mesh->repaired_id)
            break;
    }
    if (next == NULL)
        return;
    mesh->repaired_id = next->id;
    count = send_members(next, 0, next->retold, REPAIR_MEMBERS);
    next->retold = count == REPAIR_MEMBERS ? next->retold + count : 0;
}

static void
tick_members(BwMesh *mesh, uint64_t now_us)
{
    BwMeshMember *member, *next;

    HASH_ITER(hh, mesh->members, member, next)
    {
        if (member->is_self || member->link != NULL)
            continue;
        if (!member->is_seed && now_us - member->heard_us > MEMBER_KEPT_US) {
            HASH_DEL(mesh->members, member);
            free(member);
            continue;
        }
        if (now_us >= member->redial_us)
            dial(mesh, member);
    }
}

void
BwMesh_Tick(BwMesh *mesh, uint64_t now_us)
{
    mesh->ticked_us = now_us;
    tick_links(mesh, now_us);
    repair_members(mesh, now_us);
    reap_links(mesh);
    tick_members(mesh, now_us);
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
    mesh->silence_us = settings->limits.session_ms * 1000;
    mesh->hello.wire_version = BW_WIRE_VERSION;
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
        mesh->listener =
            BwNet_Listen(loop, settings->peer.host, &port, on_accept, mesh);
        if (mesh->listener == NULL)
            return false;
        mesh->hello.http_port = port;
        BwMesh_AddMember(mesh, BwClock_Now(), mesh->hello.name,
                         mesh->hello.http_host, port, true);
        mesh->members->is_self = true;
        mesh->members->news = ++mesh->news;
    }
    BwMesh_SetSeeds(mesh, BwClock_Now(), settings);
    return true;
}

void
BwMesh_Finish(BwMesh *mesh)
{
    BwMeshLink *link;
    BwMeshMember *member, *next;

    for (link = mesh->links; link != NULL; link = link->hh.next) {
        link->is_up = false;
        end_link(link);
    }
    reap_links(mesh);
    HASH_ITER(hh, mesh->members, member, next)
    {
        HASH_DEL(mesh->members, member);
        free(member);
    }
    if (mesh->listener != NULL)
        h2o_socket_close(mesh->listener);
    mesh->listener = NULL;
}
