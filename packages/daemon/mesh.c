/* mesh.c -- connections between dispatchers and supervisors */

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "brasswing.h"
#include "clock.h"
#include "mesh.h"
#include "net.h"

#define REDIAL_FIRST_US 50000
#define REDIAL_LAST_US 500000
#define CONNECT_TIMEOUT_US 300000
#define HELLO_TIMEOUT_US 1000000
#define TELL_MEMBERS_US 1000000
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

static void
send_hello(BwMeshLink *link)
{
    BwMessage message = {.kind = BW_MSG_HELLO};

    message.u.hello = link->mesh->hello;
    message.u.hello.clock_us = BwClock_Now();
    BwLink_Send(&link->link, &message);
}

static void
on_opened(BwLink *inner)
{
    BwMeshLink *link = inner->data;

    link->heard_us = BwClock_Now();
    if (link->member != NULL)
        send_hello(link);
}

static void
send_members(BwMeshLink *link)
{
    BwMessage message = {.kind = BW_MSG_MEMBERS};
    BwMember members[BW_MESH_MEMBERS_MAX];
    BwMeshMember *member;
    uint32_t count = 0;

    DL_FOREACH(link->mesh->members, member)
    {
        if (count == BW_MESH_MEMBERS_MAX)
            break;
        if (!member->is_self && (member->link == NULL || !member->link->is_up))
            continue;
        members[count].name = BwSpan_FromString(member->name);
        members[count].host = BwSpan_FromString(member->host);
        members[count++].port = member->port;
    }
    message.u.members.members = members;
    message.u.members.member_count = count;
    BwLink_Send(&link->link, &message);
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
    }
    else {
        send_hello(link);
        if (hello->role == BW_ROLE_DISPATCHER)
            BwMesh_AddMember(mesh, link->heard_us, hello->name,
                             hello->http_host, hello->http_port, false);
        send_members(link);
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
    DL_APPEND(mesh->links, link);
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
    socklen_t length =
        BwNet_Parse(member->host, (uint16_t)member->port, &address);
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
    char text[BW_HOST_BYTES_MAX];
    BwMeshMember *member;

    BwSpan_ToString(host, text, sizeof(text));
    DL_FOREACH(mesh->members, member)
    {
        if (member->port == port && strcmp(member->host, text) == 0) {
            member->is_seed |= is_seed;
            return;
        }
    }
    if (mesh->member_count == BW_MESH_MEMBERS_MAX)
        return;
    member = calloc(1, sizeof(*member));
    if (member == NULL)
        return;
    strcpy(member->host, text);
    BwSpan_ToString(name, member->name, sizeof(member->name));
    member->port = port;
    member->is_seed = is_seed;
    member->heard_us = now_us;
    member->is_self = mesh->listener != NULL &&
                      port == mesh->settings->peer.port &&
                      strcmp(text, mesh->settings->peer.host) == 0;
    DL_APPEND(mesh->members, member);
    mesh->member_count++;
}

void
BwMesh_SetSeeds(BwMesh *mesh, uint64_t now_us, const BwSettings *settings)
{
    BwMeshMember *member;

    DL_FOREACH(mesh->members, member)
    {
        member->is_seed = member->is_self;
    }
    for (uint32_t i = 0; i < settings->peer_count; i++)
        BwMesh_AddMember(mesh, now_us, BwSpan_FromString(""),
                         BwSpan_FromString(settings->peers[i].host),
                         settings->peers[i].port, true);
}

bool
BwMesh_Send(BwMesh *mesh, uint32_t id, const BwMessage *message)
{
    BwMeshLink *link;

    DL_FOREACH(mesh->links, link)
    {
        if (link->id != id || link->is_over || link->is_cut)
            continue;
        link->is_cut = !BwLink_Send(&link->link, message);
        return !link->is_cut;
    }
    return false;
}

void
BwMesh_TellDispatchers(BwMesh *mesh, const BwMessage *message)
{
    BwMeshLink *link;

    DL_FOREACH(mesh->links, link)
    {
        if (link->is_up && link->member != NULL &&
            link->role == BW_ROLE_DISPATCHER)
            BwLink_Send(&link->link, message);
    }
}

static void
reap_links(BwMesh *mesh)
{
    BwMeshLink *link, *next;

    DL_FOREACH_SAFE(mesh->links, link, next)
    {
        if (!link->is_over)
            continue;
        DL_DELETE(mesh->links, link);
        free(link);
    }
}

/* How long nothing may be heard of a connection.  A host that was down drops
   the first packet of a connection, and the system sends it again only after
   a second: dialling again is faster. */
static uint64_t
silence_us(const BwMeshLink *link)
{
    if (!link->link.is_open)
        return CONNECT_TIMEOUT_US;
    if (!link->is_up)
        return HELLO_TIMEOUT_US;
    if (link->mesh->listener != NULL && link->role == BW_ROLE_DISPATCHER)
        return DISPATCHER_SILENCE_US;
    return link->mesh->silence_us;
}

static void
tick_links(BwMesh *mesh, uint64_t now_us)
{
    bool tells =
        now_us - mesh->told_us >= TELL_MEMBERS_US && mesh->listener != NULL;
    BwMeshLink *link;

    if (tells)
        mesh->told_us = now_us;
    DL_FOREACH(mesh->links, link)
    {
        if (!link->is_over &&
            (link->is_cut || now_us - link->heard_us > silence_us(link)))
            end_link(link);
        else if (tells && link->is_up)
            send_members(link);
    }
}

static void
tick_members(BwMesh *mesh, uint64_t now_us)
{
    BwMeshMember *member, *next;

    DL_FOREACH_SAFE(mesh->members, member, next)
    {
        if (member->is_self || member->link != NULL)
            continue;
        if (!member->is_seed && now_us - member->heard_us > MEMBER_KEPT_US) {
            DL_DELETE(mesh->members, member);
            mesh->member_count--;
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
    tick_links(mesh, now_us);
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
    }
    BwMesh_SetSeeds(mesh, BwClock_Now(), settings);
    return true;
}

void
BwMesh_Finish(BwMesh *mesh)
{
    BwMeshLink *link;
    BwMeshMember *member, *next;

    DL_FOREACH(mesh->links, link)
    {
        link->is_up = false;
        end_link(link);
    }
    reap_links(mesh);
    DL_FOREACH_SAFE(mesh->members, member, next)
    {
        free(member);
    }
    mesh->members = NULL;
    if (mesh->listener != NULL)
        h2o_socket_close(mesh->listener);
    mesh->listener = NULL;
}
