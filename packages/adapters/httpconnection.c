/* httpconnection.c -- connections of an HTTP server in the account

   H2o offers no callback between reading and parsing, so the read callback of
   an accepted socket is replaced by on_read, which charges for the input and
   calls the callback of h2o.  H2o sets its own again when it waits for the
   next request; the replacement is then repeated at the end of the turn,
   before anything more is read.  A connection is closed by calling h2o's
   callback with an error, which frees its memory at once.

   H2o does not tell how much an HTTP/2 stream has received.  The input of such
   a connection is charged whole until the streams that are not complete have
   been counted: without one, nothing of it is held any more.

   H2o reads nothing behind an HTTP/1.1 request that awaits its reply; what the
   system has received there is asked from it.
*/

#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utlist.h>

#include "clock.h"
#include "httpconnection.h"

/* Estimates of what h2o and the TLS library hold besides the input. */
#define CONNECTION_BYTES 4096
#define TLS_BYTES 49152
#define HTTP2_BYTES 16384
#define STREAM_BYTES 8192
#define REQUEST_BYTES 4096
/* HEADERS frames with a request of indexed fields have at least this. */
#define STREAM_INPUT_BYTES_MIN 16
/* Streams are counted before the end of the turn when this share of the
   account, or more, may be held by streams that were not counted yet. */
#define UNEXAMINED_DIVISOR 16
#define HTTP2_VERSION 0x200
#define HTTP2_PREFACE "PRI * HTTP/2"
#define HTTP2_PROTOCOL "h2"

struct BwHttpConnection {
    BwHolder holder;
    BwHttpConnections *owner;
    h2o_socket_t *sock; /* NULL: closed */
    h2o_socket_cb read; /* of h2o */
    void *waiting;      /* HTTP/1.1 request that awaits its reply */
    uint64_t unread_bytes;
    uint32_t users;    /* the socket, its requests, on_read */
    uint32_t requests; /* whole ones that h2o has not freed */
    bool is_http2;
    bool is_reading_message; /* a part of one was read */
    bool is_in_read;
    bool is_dropped; /* closed by the on_read that runs */
    bool is_changed;
    uint64_t stream_bytes; /* read and not of a whole request */
    uint32_t streams;
    uint32_t round; /* owner->round when the streams were counted */
    BwHttpConnection *prev, *next; /* in owner->changed */
};

static void
release(BwHttpConnection *connection)
{
    if (--connection->users == 0)
        free(connection);
}

static void
mark_changed(BwHttpConnection *connection)
{
    BwHttpConnections *owner = connection->owner;

    if (connection->is_changed)
        return;
    connection->is_changed = true;
    connection->users++;
    DL_APPEND(owner->changed, connection);
    if (!h2o_timeout_is_linked(&owner->turn_entry))
        h2o_timeout_link(owner->context->loop, &owner->turn,
                         &owner->turn_entry);
}

static uint64_t
buffer_bytes(const h2o_socket_t *sock)
{
    return sock->input->size > 0 ? sock->input->capacity : 0;
}

static void
charge(BwHttpConnection *connection)
{
    const h2o_socket_t *sock = connection->sock;
    uint64_t bytes = CONNECTION_BYTES;

    if (sock->ssl != NULL)
        bytes += TLS_BYTES;
    if (connection->is_http2)
        bytes += HTTP2_BYTES + buffer_bytes(sock) + connection->stream_bytes +
                 (uint64_t)connection->streams * STREAM_BYTES;
    else if (connection->requests > 0)
        bytes += connection->unread_bytes;
    else
        bytes += buffer_bytes(sock);
    BwHolder_SetLoose(&connection->holder, bytes);
}

static bool
starts_http2(h2o_socket_t *sock)
{
    size_t length = strlen(HTTP2_PREFACE);
    h2o_iovec_t protocol = {"", 0};

    if (sock->ssl != NULL)
        protocol = h2o_socket_ssl_get_selected_protocol(sock);
    return (protocol.len == strlen(HTTP2_PROTOCOL) &&
            memcmp(protocol.base, HTTP2_PROTOCOL, protocol.len) == 0) ||
           (sock->input->size >= length &&
            memcmp(sock->input->bytes, HTTP2_PREFACE, length) == 0);
}

/* Charges for the input before h2o parses it. */
static void
charge_input(BwHttpConnection *connection)
{
    BwHttpConnections *owner = connection->owner;
    h2o_socket_t *sock = connection->sock;
    uint64_t read_bytes = sock->bytes_read;

    sock->bytes_read = 0;
    if (!connection->is_reading_message && sock->input->size > 0) {
        connection->is_reading_message = true;
        connection->holder.since_us = BwClock_Now();
        connection->is_http2 = connection->is_http2 || starts_http2(sock);
    }
    if (connection->is_http2) {
        connection->stream_bytes += read_bytes;
        owner->unexamined_bytes +=
            read_bytes / STREAM_INPUT_BYTES_MIN * STREAM_BYTES;
        mark_changed(connection);
    }
    charge(connection);
    BwAccount_Settle(owner->account, owner->kind, BwClock_Now());
}

/* Whether h2o will set its callback later, as after the last write of a TLS
   handshake. */
static bool
waits_for_callback(const BwHttpConnection *connection)
{
    return connection->sock != NULL && connection->sock->_cb.read == NULL &&
           connection->requests == 0;
}

static void
replace_callback(BwHttpConnection *connection);

static void
on_read(h2o_socket_t *sock, const char *err)
{
    BwHttpConnection *connection = sock->on_close.data;
    BwHttpConnections *owner = connection->owner;
    bool has_input = err == NULL;

    connection->users++;
    connection->is_in_read = true;
    if (has_input)
        charge_input(connection);
    if (connection->is_dropped)
        err = h2o_socket_error_closed;
    connection->read(sock, err);
    connection->is_in_read = false;
    if (connection->sock != NULL) {
        replace_callback(connection);
        charge(connection);
        if (waits_for_callback(connection))
            mark_changed(connection);
    }
    release(connection);
    if (has_input && owner->unexamined_bytes >
                         owner->account->bytes_max / UNEXAMINED_DIVISOR)
        BwHttpConnections_Settle(owner);
}

static void
replace_callback(BwHttpConnection *connection)
{
    h2o_socket_t *sock = connection->sock;

    if (sock->_cb.read == NULL || sock->_cb.read == on_read)
        return;
    connection->read = sock->_cb.read;
    sock->_cb.read = on_read;
}

static void
on_close(void *data)
{
    BwHttpConnection *connection = data;

    connection->sock = NULL;
    BwHolder_Leave(&connection->holder);
    release(connection);
}

/* The shutdown makes writes fail for which h2o would wait before it closes the
   socket. */
static void
evict(BwHolder *holder)
{
    BwHttpConnection *connection =
        H2O_STRUCT_FROM_MEMBER(BwHttpConnection, holder, holder);
    h2o_socket_t *sock = connection->sock;

    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
    connection->is_dropped = true;
    if (connection->is_in_read)
        return;
    if (connection->waiting != NULL)
        connection->owner->drop(connection->waiting);
    else if (sock->_cb.read == on_read)
        on_read(sock, h2o_socket_error_closed);
}

/* --------------------------------------------------------------- streams */

static int
count_stream(h2o_req_t *req, void *data)
{
    BwHttpConnections *connections = data;
    BwHttpConnection *connection = BwHttpConnection_Of(connections, req);

    if (connection == NULL)
        return 0;
    if (connection->round != connections->round)
        connection->streams = 0;
    connection->round = connections->round;
    connection->streams++;
    return 0;
}

/* Counts the streams of all connections if one that has changed has some. */
static void
count_streams(BwHttpConnections *connections)
{
    BwHttpConnection *connection;
    bool has_http2 = false;

    DL_FOREACH(connections->changed, connection)
    {
        has_http2 |= connection->is_http2;
    }
    connections->round++;
    if (has_http2)
        connections->context->globalconf->http2.callbacks.foreach_request(
            connections->context, count_stream, connections);
}

static void
examine_streams(BwHttpConnection *connection)
{
    uint32_t incomplete;
    uint64_t bytes_max;

    if (connection->round != connection->owner->round)
        connection->streams = 0;
    incomplete = connection->streams > connection->requests
                     ? connection->streams - connection->requests
                     : 0;
    bytes_max = (uint64_t)incomplete * connection->owner->body_bytes_max;
    if (connection->stream_bytes > bytes_max)
        connection->stream_bytes = bytes_max;
    if (incomplete == 0)
        connection->is_reading_message = false;
}

void
BwHttpConnections_Settle(BwHttpConnections *connections)
{
    BwHttpConnection *connection, *next;

    if (connections->account == NULL || connections->changed == NULL)
        return;
    connections->unexamined_bytes = 0;
    count_streams(connections);
    DL_FOREACH_SAFE(connections->changed, connection, next)
    {
        if (waits_for_callback(connection))
            continue; /* until the next tick */
        DL_DELETE(connections->changed, connection);
        connection->is_changed = false;
        if (connection->sock != NULL && !connection->is_in_read) {
            if (connection->is_http2)
                examine_streams(connection);
            replace_callback(connection);
            charge(connection);
        }
        release(connection);
    }
    BwAccount_Settle(connections->account, connections->kind, BwClock_Now());
}

static void
on_turn(h2o_timeout_entry_t *entry)
{
    BwHttpConnections_Settle(
        H2O_STRUCT_FROM_MEMBER(BwHttpConnections, turn_entry, entry));
}

/* -------------------------------------------------------------- requests */

BwHttpConnection *
BwHttpConnection_Of(const BwHttpConnections *connections, h2o_req_t *req)
{
    h2o_socket_t *sock = connections->account != NULL
                             ? req->conn->callbacks->get_socket(req->conn)
                             : NULL;

    return sock != NULL && sock->on_close.cb == on_close ? sock->on_close.data
                                                         : NULL;
}

bool
BwHttpConnection_Begin(BwHttpConnection *connection, h2o_req_t *req,
                       void *request, uint64_t *kept_bytes)
{
    uint64_t body_bytes = req->entity.len;
    uint64_t bytes = REQUEST_BYTES + body_bytes;

    *kept_bytes = 0;
    if (connection == NULL)
        return true;
    connection->users++;
    connection->requests++;
    connection->holder.is_busy = true;
    if (req->version >= HTTP2_VERSION) {
        connection->is_http2 = true;
        connection->stream_bytes -= connection->stream_bytes < body_bytes
                                        ? connection->stream_bytes
                                        : body_bytes;
        bytes += body_bytes;
    }
    else {
        connection->waiting = request;
        connection->unread_bytes = 0;
        bytes += buffer_bytes(connection->sock);
    }
    charge(connection);
    if (!BwHolder_Admit(&connection->holder, bytes))
        return false;
    *kept_bytes = bytes;
    return true;
}

void
BwHttpConnection_Reply(BwHttpConnection *connection, uint64_t bytes,
                       uint64_t *kept_bytes)
{
    if (connection == NULL)
        return;
    connection->waiting = NULL;
    BwHolder_Keep(&connection->holder, bytes);
    *kept_bytes += bytes;
}

void
BwHttpConnection_End(BwHttpConnection *connection, uint64_t kept_bytes)
{
    if (connection == NULL)
        return;
    BwHolder_Release(&connection->holder, kept_bytes);
    connection->waiting = NULL;
    connection->requests--;
    connection->unread_bytes = 0;
    connection->holder.is_busy = connection->requests > 0;
    connection->holder.was_served = true;
    if (connection->requests == 0 && connection->stream_bytes == 0) {
        connection->is_reading_message = false;
        connection->holder.since_us = BwClock_Now();
    }
    if (connection->sock != NULL)
        mark_changed(connection);
    release(connection);
}

void
BwHttpConnection_OnUnread(BwHttpConnection *connection)
{
    BwHttpConnections *owner = connection->owner;
    int bytes = 0;

    if (connection->sock == NULL ||
        ioctl(h2o_socket_get_fd(connection->sock), FIONREAD, &bytes) != 0)
        return;
    connection->unread_bytes = bytes > 0 ? (uint64_t)bytes : 0;
    charge(connection);
    BwAccount_Settle(owner->account, owner->kind, BwClock_Now());
}

/* ----------------------------------------------------------- connections */

void
BwHttpConnections_Init(BwHttpConnections *connections, h2o_context_t *context,
                       size_t body_bytes_max, BwAccount *account,
                       BwShareKind kind, void (*drop)(void *request))
{
    memset(connections, 0, sizeof(*connections));
    connections->account = account;
    connections->kind = kind;
    connections->context = context;
    connections->body_bytes_max = body_bytes_max;
    connections->drop = drop;
    h2o_timeout_init(context->loop, &connections->turn, 0);
    connections->turn_entry.cb = on_turn;
}

void
BwHttpConnections_Accept(BwHttpConnections *connections, h2o_socket_t *sock,
                         h2o_accept_ctx_t *accept)
{
    BwHttpConnection *connection;

    if (connections->account == NULL) {
        h2o_accept(accept, sock);
        return;
    }
    connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        h2o_socket_close(sock);
        return;
    }
    connection->owner = connections;
    connection->sock = sock;
    connection->users = 2; /* one until the end of this function */
    connection->holder.evict = evict;
    sock->on_close.cb = on_close;
    sock->on_close.data = connection;
    h2o_accept(accept, sock);
    if (connection->sock != NULL) {
        replace_callback(connection);
        BwAccount_Join(connections->account, &connection->holder,
                       connections->kind, BwClock_Now());
        if (connection->sock != NULL)
            charge(connection);
    }
    release(connection);
}
