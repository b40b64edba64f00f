/* link.c -- one TCP connection between two processes of the system

   Connections are opened here and not by h2o, because h2o does not distinguish
   a refused connection, which proves that no process listens, from one that
   failed for another reason.
*/

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "link.h"
#include "wire.h"

#define ZONE_CHUNK_BYTES 8192
#define LINK_BYTES 4096 /* what a link without data holds */

static void
init_link(BwLink *link, h2o_socket_t *sock, const BwLinkEvents *events,
          void *data, BwLinkCounters *counters, const BwLinkTls *tls)
{
    int on = 1;

    memset(link, 0, sizeof(*link));
    link->sock = sock;
    link->events = events;
    link->data = data;
    link->counters = counters;
    link->tls = tls;
    link->wire_version = BW_WIRE_VERSION;
    msgpack_sbuffer_init(&link->pending);
    msgpack_sbuffer_init(&link->writing);
    sock->data = link;
    setsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
}

void
BwLink_Close(BwLink *link)
{
    if (link->is_closed)
        return;
    link->is_closed = true;
    link->is_open = false;
    if (link->sock != NULL)
        h2o_socket_close(link->sock);
    link->sock = NULL;
    BwHolder_Leave(&link->holder);
    msgpack_sbuffer_destroy(&link->pending);
    msgpack_sbuffer_destroy(&link->writing);
}

static void
close_and_notify(BwLink *link, BwLinkEnd end)
{
    if (link->is_closed)
        return;
    BwLink_Close(link);
    link->events->ended(link, end);
}

static void
flush(BwLink *link);

/* Frees the buffers of an idle link to save memory, as a process may have a
   thousand links. */
static void
release_buffers(BwLink *link)
{
    msgpack_sbuffer_destroy(&link->pending);
    msgpack_sbuffer_destroy(&link->writing);
    msgpack_sbuffer_init(&link->pending);
    msgpack_sbuffer_init(&link->writing);
}

static void
on_written(h2o_socket_t *sock, const char *err)
{
    BwLink *link = sock->data;

    if (err != NULL) {
        close_and_notify(link, BW_LINK_LOST);
        return;
    }
    msgpack_sbuffer_clear(&link->writing);
    if (link->pending.size == 0)
        release_buffers(link);
    flush(link);
}

static void
flush(BwLink *link)
{
    msgpack_sbuffer empty = link->writing;
    h2o_iovec_t buffer;

    if (!link->is_open || link->pending.size == 0 || link->writing.size > 0)
        return;
    /* Swaps the buffers; `writing` is empty here. */
    link->writing = link->pending;
    link->pending = empty;
    buffer = h2o_iovec_init(link->writing.data, link->writing.size);
    link->counters->bytes_sent += link->writing.size;
    h2o_socket_write(link->sock, &buffer, 1, on_written);
}

/* Delivers every complete frame of the input, but those of an unknown kind.
   Returns false on a malformed one.  A callback may close the link. */
static bool
deliver(BwLink *link, msgpack_zone *zone)
{
    h2o_buffer_t **input = &link->sock->input;
    size_t start = 0;

    while (start < (*input)->size) {
        BwMessage message;
        size_t used;
        BwWireStatus status =
            BwWire_Decode((*input)->bytes + start, (*input)->size - start,
                          link->wire_version, &used, zone, &message);

        if (status == BW_WIRE_SHORT)
            break;
        if (status == BW_WIRE_BAD)
            return false;
        start += used;
        link->counters->messages_received++;
        if (status == BW_WIRE_UNKNOWN)
            link->counters->messages_skipped++;
        else
            link->events->received(link, &message);
        if (link->is_closed)
            return true;
        msgpack_zone_clear(zone);
    }
    h2o_buffer_consume(input, start);
    return true;
}

static void
evict(BwHolder *holder)
{
    close_and_notify(H2O_STRUCT_FROM_MEMBER(BwLink, holder, holder),
                     BW_LINK_LOST);
}

static uint64_t
held_bytes(const BwLink *link)
{
    const h2o_buffer_t *input = link->sock->input;

    return LINK_BYTES + (input->size > 0 ? input->capacity : 0) +
           link->pending.alloc + link->writing.alloc;
}

/* Returns whether the link may go on. */
static bool
charge(BwLink *link)
{
    if (link->holder.account == NULL)
        return true;
    if (!link->is_trusted &&
        link->sock->input->size > BW_LINK_UNTRUSTED_BYTES_MAX)
        return false;
    BwHolder_SetLoose(&link->holder, held_bytes(link));
    BwAccount_Settle(link->holder.account, BW_SHARE_PEERS, BwClock_Now());
    return true;
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
    BwLink *link = sock->data;
    msgpack_zone zone;
    bool is_valid;

    if (err != NULL) {
        close_and_notify(link, BW_LINK_LOST);
        return;
    }
    link->counters->bytes_received += sock->bytes_read;
    sock->bytes_read = 0;
    msgpack_zone_init(&zone, ZONE_CHUNK_BYTES);
    is_valid = deliver(link, &zone);
    msgpack_zone_destroy(&zone);
    if (link->is_closed)
        return;
    if (!is_valid || !charge(link))
        close_and_notify(link, BW_LINK_LOST);
}

static void
on_link_ready(BwLink *link)
{
    link->is_open = true;
    h2o_socket_read_start(link->sock, on_read);
    link->events->opened(link);
    if (!link->is_closed)
        flush(link);
}

static void
on_handshake(h2o_socket_t *sock, const char *err)
{
    BwLink *link = sock->data;

    if (err != NULL)
        close_and_notify(link, BW_LINK_FAILED);
    else
        on_link_ready(link);
}

static void
on_connected(h2o_socket_t *sock, const char *err)
{
    BwLink *link = sock->data;
    int error = 0;
    socklen_t length = sizeof(error);

    if (err != NULL ||
        getsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_ERROR, &error,
                   &length) != 0 ||
        error != 0) {
        close_and_notify(link, error == ECONNREFUSED ? BW_LINK_REFUSED
                                                     : BW_LINK_FAILED);
        return;
    }
    if (link->tls->client != NULL)
        h2o_socket_ssl_handshake(sock, link->tls->client, link->tls->name,
                                 on_handshake);
    else
        on_link_ready(link);
}

bool
BwLink_Dial(BwLink *link, h2o_loop_t *loop, struct sockaddr *address,
            socklen_t length, const BwLinkEvents *events, void *data,
            BwLinkCounters *counters, const BwLinkTls *tls, BwLinkEnd *end)
{
    int fd = socket(address->sa_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    memset(link, 0, sizeof(*link));
    /* BwLink_Close does nothing if the attempt fails before init_link. */
    link->is_closed = true;
    *end = BW_LINK_FAILED;
    if (fd < 0)
        return false;
    if (connect(fd, address, length) != 0 && errno != EINPROGRESS) {
        if (errno == ECONNREFUSED)
            *end = BW_LINK_REFUSED;
        close(fd);
        return false;
    }
    init_link(link, h2o_evloop_socket_create(loop, fd, 0), events, data,
              counters, tls);
    h2o_socket_notify_write(link->sock, on_connected);
    return true;
}

void
BwLink_Accept(BwLink *link, h2o_socket_t *sock, const BwLinkEvents *events,
              void *data, BwLinkCounters *counters, const BwLinkTls *tls)
{
    init_link(link, sock, events, data, counters, tls);
    if (tls->server != NULL)
        h2o_socket_ssl_handshake(sock, tls->server, NULL, on_handshake);
    else
        on_link_ready(link);
}

void
BwLink_SetAccount(BwLink *link, BwAccount *account)
{
    if (account == NULL || link->is_closed)
        return;
    link->holder.evict = evict;
    BwAccount_Join(account, &link->holder, BW_SHARE_PEERS, BwClock_Now());
    BwHolder_SetLoose(&link->holder, LINK_BYTES);
}

void
BwLink_Trust(BwLink *link)
{
    link->is_trusted = true;
    link->holder.is_busy = true;
}

bool
BwLink_Send(BwLink *link, const BwMessage *message)
{
    if (link->is_closed || link->pending.size > BW_LINK_PENDING_BYTES_MAX)
        return false;
    if (!BwWire_HasKind(link->wire_version, message->kind)) {
        link->counters->messages_withheld++;
        return true;
    }
    if (!BwWire_Encode(&link->pending, link->wire_version, message))
        return false;
    link->counters->messages_sent++;
    flush(link);
    if (link->holder.account != NULL && !link->is_closed)
        BwHolder_SetLoose(&link->holder, held_bytes(link));
    return true;
}

uint32_t
BwLinkCounters_List(const BwLinkCounters *links, BwCounter *counters,
                    uint32_t count, uint32_t capacity)
{
#define ADD(name, help, value)                                                \
    count = BwCounters_Add(counters, count, capacity, name, help, BW_COUNTER, \
                           value)
    ADD("brasswing_messages_sent_total", "Messages to other processes",
        links->messages_sent);
    ADD("brasswing_messages_received_total", "Messages from other processes",
        links->messages_received);
    ADD("brasswing_bytes_sent_total", "Bytes to other processes",
        links->bytes_sent);
    ADD("brasswing_bytes_received_total", "Bytes from other processes",
        links->bytes_received);
    ADD("brasswing_messages_skipped_total",
        "Messages of a kind that only newer builds know",
        links->messages_skipped);
    ADD("brasswing_messages_withheld_total",
        "Messages that the wire version of their receiver lacks",
        links->messages_withheld);
    ADD("brasswing_peers_refused_total",
        "Connections refused for their wire version", links->peers_refused);
#undef ADD
    return count;
}
