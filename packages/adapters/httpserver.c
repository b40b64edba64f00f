/* httpserver.c -- HTTP/1.1 and HTTP/2 server for callers and operators

   H2o does not read from an HTTP/1.1 connection while its request awaits the
   reply, so it would not notice that the caller disconnects.  A second epoll
   descriptor beside h2o's own watches these connections, only for their end.
   HTTP/2 connections are not watched, because h2o notices their end itself.
   With an account the same descriptor tells of input behind the request.

   H2o refuses a body that is too large; a filter puts the server's own error
   into that reply.
*/

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "clock.h"
#include "httpserver.h"
#include "net.h"

#define IDLE_TIMEOUT_MS 30000
#define HTTP2_VERSION 0x200
#define STATUS_CALLER_GONE 499 /* no caller receives it */
#define STATUS_TOO_LARGE 413
#define PLAIN_TEXT "text/plain"
#define LINGER_BODIES 4 /* that are taken behind a refusal */

typedef struct Handler {
    h2o_handler_t super;
    BwHttpServer *server;
} Handler;

typedef struct Filter {
    h2o_filter_t super;
    BwHttpServer *server;
} Filter;

typedef struct TooLargeStream {
    h2o_ostream_t super;
    h2o_iovec_t body;
} TooLargeStream;

typedef struct StatusReason {
    int status;
    const char *reason;
} StatusReason;

static const StatusReason status_reasons[] = {
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {409, "Conflict"},
    {410, "Gone"},
    {413, "Payload Too Large"},
    {415, "Unsupported Media Type"},
    {422, "Unprocessable Entity"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
};

static const char *
find_reason(int status)
{
    size_t count = sizeof(status_reasons) / sizeof(status_reasons[0]);

    for (size_t i = 0; i < count; i++) {
        if (status_reasons[i].status == status)
            return status_reasons[i].reason;
    }
    return "Unknown";
}

static BwSpan
to_span(h2o_iovec_t vector)
{
    BwSpan span = {vector.base, (uint32_t)vector.len};

    return span;
}

static void
watch(BwExchange *exchange)
{
    h2o_conn_t *conn = exchange->req->conn;
    struct epoll_event event = {.events = EPOLLRDHUP,
                                .data = {.ptr = exchange}};
    h2o_socket_t *sock;
    int fd;

    exchange->watched_fd = -1;
    if (exchange->req->version >= HTTP2_VERSION)
        return;
    if (exchange->state->connection != NULL)
        event.events |= EPOLLIN | EPOLLET;
    sock = conn->callbacks->get_socket(conn);
    fd = sock != NULL ? h2o_socket_get_fd(sock) : -1;
    if (fd >= 0 &&
        epoll_ctl(exchange->server->watch_fd, EPOLL_CTL_ADD, fd, &event) == 0)
        exchange->watched_fd = fd;
}

static void
unwatch(BwExchange *exchange)
{
    if (exchange->watched_fd >= 0)
        epoll_ctl(exchange->server->watch_fd, EPOLL_CTL_DEL,
                  exchange->watched_fd, NULL);
    exchange->watched_fd = -1;
}

/* Whether the caller has closed its connection, also when no event has told it
   yet: a process that was suspended reads requests whose callers have sent
   them elsewhere since. */
static bool
is_caller_gone(const BwExchange *exchange)
{
    struct pollfd connection = {.fd = exchange->watched_fd,
                                .events = POLLRDHUP};

    return connection.fd >= 0 && poll(&connection, 1, 0) == 1 &&
           (connection.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* The request is replied to with `bytes`. */
static void
end_exchange(BwExchange *exchange, size_t bytes)
{
    BwRequestState *state = exchange->state;

    state->exchange = NULL;
    exchange->server->open_exchanges--;
    BwHttpConnection_Reply(state->connection, bytes, &state->kept_bytes);
}

/* Ends the exchange.  The reply, which no caller receives, makes h2o close the
   connection. */
static void
drop_exchange(BwExchange *exchange, bool is_known)
{
    static h2o_generator_t generator = {NULL, NULL};
    h2o_iovec_t nothing = {"", 0};
    h2o_req_t *req = exchange->req;

    unwatch(exchange);
    end_exchange(exchange, 0);
    exchange->req = NULL;
    if (is_known)
        exchange->server->events->on_abort(exchange->server->ctx, exchange);
    free(exchange);
    req->http1_is_persistent = 0;
    req->res.status = STATUS_CALLER_GONE;
    req->res.reason = "Caller Gone";
    req->res.content_length = 0;
    h2o_start_response(req, &generator);
    h2o_send(req, &nothing, 1, H2O_SEND_STATE_FINAL);
}

static void
drop_request(void *request)
{
    drop_exchange(request, true);
}

/* Takes one event at a time, because the end of an exchange may end others,
   for which events read earlier would be stale. */
static void
on_watch(h2o_socket_t *sock, const char *err)
{
    BwHttpServer *server = sock->data;
    struct epoll_event event;

    if (err != NULL)
        return;
    while (epoll_wait(server->watch_fd, &event, 1, 0) == 1) {
        BwExchange *exchange = event.data.ptr;

        if ((event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
            drop_exchange(exchange, true);
        else
            BwHttpConnection_OnUnread(exchange->state->connection);
    }
}

/* Called when h2o frees the request's pool: after the reply was sent, or
   because the connection ended before it. */
static void
on_request_cleared(void *data)
{
    BwRequestState *state = data;
    BwExchange *exchange = state->exchange;

    if (exchange != NULL) {
        unwatch(exchange);
        exchange->server->open_exchanges--;
        exchange->req = NULL;
        exchange->server->events->on_abort(exchange->server->ctx, exchange);
        free(exchange);
    }
    BwHttpConnection_End(state->connection, state->kept_bytes);
}

static int
on_req(h2o_handler_t *self, h2o_req_t *req)
{
    BwHttpServer *server = ((Handler *)self)->server;
    BwExchange *exchange = calloc(1, sizeof(BwExchange));
    h2o_iovec_t path = req->path;
    BwRequestState *state;
    bool is_admitted;

    if (exchange == NULL)
        return -1;
    exchange->server = server;
    exchange->req = req;
    exchange->method = to_span(req->method);
    if (req->query_at != SIZE_MAX) {
        exchange->query.base = path.base + req->query_at + 1;
        exchange->query.size_bytes = path.len - req->query_at - 1;
        path.len = req->query_at;
    }
    exchange->path = to_span(path);
    exchange->host = to_span(req->authority);
    exchange->body = to_span(req->entity);
    state =
        h2o_mem_alloc_shared(&req->pool, sizeof(*state), on_request_cleared);
    state->exchange = exchange;
    state->connection = BwHttpConnection_Of(&server->connections, req);
    exchange->state = state;
    is_admitted = BwHttpConnection_Begin(state->connection, req, exchange,
                                         &state->kept_bytes);
    server->open_exchanges++;
    watch(exchange);
    if (is_caller_gone(exchange))
        drop_exchange(exchange, false);
    else if (!is_admitted)
        server->events->on_no_room(server->ctx, exchange);
    else
        server->events->on_request(server->ctx, exchange);
    return 0;
}

static void
send_too_large(h2o_ostream_t *stream, h2o_req_t *req, h2o_iovec_t *bufs,
               size_t count, h2o_send_state_t state)
{
    (void)bufs;
    (void)count;
    h2o_ostream_send_next(stream, req, &((TooLargeStream *)stream)->body, 1,
                          state);
}

/* H2o closes the connection behind the reply; the client may still send. */
static void
keep_reply_readable(BwHttpServer *server, h2o_req_t *req)
{
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

    if (server->connections.account != NULL && req->version < HTTP2_VERSION &&
        sock != NULL)
        BwLingers_Add(&server->lingers, h2o_socket_get_fd(sock),
                      LINGER_BODIES * server->config.max_request_entity_size);
}

/* Replaces the body of h2o's reply to a body that is too large. */
static void
on_setup_reply(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
    BwHttpServer *server = ((Filter *)self)->server;
    const char *body = server->too_large_body;
    ssize_t type =
        h2o_find_header(&req->res.headers, H2O_TOKEN_CONTENT_TYPE, SIZE_MAX);

    /* The server's owner never replies with 413 in plain text. */
    if (req->res.status == STATUS_TOO_LARGE && body != NULL && type >= 0 &&
        strncmp(req->res.headers.entries[type].value.base, PLAIN_TEXT,
                strlen(PLAIN_TEXT)) == 0) {
        TooLargeStream *stream =
            (TooLargeStream *)h2o_add_ostream(req, sizeof(*stream), slot);

        keep_reply_readable(server, req);
        stream->super.do_send = send_too_large;
        stream->body = h2o_iovec_init(body, strlen(body));
        slot = &stream->super.next;
        req->res.content_length = stream->body.len;
        h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                       H2O_STRLIT("application/json"), 1);
    }
    h2o_setup_next_ostream(req, slot);
}

static void
on_accepted(void *ctx, h2o_socket_t *sock)
{
    BwHttpServer *server = ctx;

    BwHttpConnections_Accept(&server->connections, sock, &server->accept);
}

bool
BwHttpServer_Init(BwHttpServer *server, h2o_loop_t *loop, const char *host,
                  uint16_t port, size_t body_bytes_max,
                  const BwHttpEvents *events, void *ctx)
{
    h2o_hostconf_t *hostconf;
    h2o_pathconf_t *pathconf;
    Handler *handler;
    Filter *filter;

    memset(server, 0, sizeof(*server));
    server->events = events;
    server->ctx = ctx;
    server->port = port;
    h2o_config_init(&server->config);
    server->config.http1.req_timeout = IDLE_TIMEOUT_MS;
    server->config.server_name = h2o_iovec_init(H2O_STRLIT("brasswing"));
    server->config.max_request_entity_size = body_bytes_max;
    hostconf = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    pathconf = h2o_config_register_path(hostconf, "/", 0);
    handler = (Handler *)h2o_create_handler(pathconf, sizeof(Handler));
    handler->super.on_req = on_req;
    handler->server = server;
    /* H2o refuses a body before it has found the path. */
    filter =
        (Filter *)h2o_create_filter(&hostconf->fallback_path, sizeof(Filter));
    filter->super.on_setup_ostream = on_setup_reply;
    filter->server = server;
    h2o_context_init(&server->context, loop, &server->config);
    server->accept.ctx = &server->context;
    server->accept.hosts = server->config.hosts;
    server->watch_fd = epoll_create1(EPOLL_CLOEXEC);
    if (server->watch_fd < 0)
        return false;
    server->watch = h2o_evloop_socket_create(loop, server->watch_fd,
                                             H2O_SOCKET_FLAG_DONT_READ);
    server->watch->data = server;
    h2o_socket_read_start(server->watch, on_watch);
    return BwAcceptor_Init(&server->acceptor, loop, host, &server->port,
                           on_accepted, server);
}

void
BwHttpServer_SetAccount(BwHttpServer *server, BwAccount *account,
                        BwShareKind kind)
{
    BwAcceptor_SetAccount(&server->acceptor, account, kind);
    BwHttpConnections_Init(&server->connections, &server->context,
                           server->config.max_request_entity_size, account,
                           kind, drop_request);
    BwLingers_Init(&server->lingers, server->context.loop, account, kind);
}

void
BwHttpServer_Tick(BwHttpServer *server)
{
    BwAcceptor_Tick(&server->acceptor);
    BwHttpConnections_Settle(&server->connections);
    BwLingers_Tick(&server->lingers, BwClock_Now());
}

void
BwHttpServer_Hold(BwHttpServer *server)
{
    BwAcceptor_Hold(&server->acceptor);
}

void
BwHttpServer_Accept(BwHttpServer *server)
{
    BwAcceptor_Resume(&server->acceptor);
}

void
BwHttpServer_Close(BwHttpServer *server)
{
    BwAcceptor_Close(&server->acceptor);
}

bool
BwHttpServer_Reopen(BwHttpServer *server, const char *host)
{
    return server->acceptor.listener != NULL ||
           BwAcceptor_Init(&server->acceptor, server->context.loop, host,
                           &server->port, on_accepted, server);
}

void
BwHttpServer_Shutdown(BwHttpServer *server)
{
    if (server->acceptor.listener == NULL)
        return;
    BwHttpServer_Close(server);
    h2o_context_request_shutdown(&server->context);
}

void
BwExchange_Break(BwExchange *exchange)
{
    h2o_conn_t *conn = exchange->req->conn;
    h2o_socket_t *sock = conn->callbacks->get_socket(conn);

    if (sock != NULL)
        shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

BwSpan
BwExchange_Header(const BwExchange *exchange, const char *name)
{
    BwSpan none = {"", 0};
    ssize_t index = h2o_find_header_by_str(&exchange->req->headers, name,
                                           strlen(name), SIZE_MAX);

    if (index < 0)
        return none;
    return to_span(exchange->req->headers.entries[index].value);
}

void
BwExchange_Reply(BwExchange *exchange, int status, const char *content_type,
                 BwSpan body, uint32_t retry_after_s)
{
    static h2o_generator_t generator = {NULL, NULL};
    h2o_req_t *req = exchange->req;
    h2o_iovec_t content = h2o_strdup(&req->pool, body.base, body.size_bytes);
    h2o_iovec_t type = h2o_strdup(&req->pool, content_type, SIZE_MAX);
    bool closes_connection = exchange->server->is_closing;

    unwatch(exchange);
    end_exchange(exchange, content.len);
    free(exchange);
    if (closes_connection)
        req->http1_is_persistent = 0;
    req->res.status = status;
    req->res.reason = find_reason(status);
    req->res.content_length = content.len;
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   type.base, type.len);
    if (retry_after_s > 0) {
        char *text = h2o_mem_alloc_pool(&req->pool, 16);
        int length = snprintf(text, 16, "%u", retry_after_s);

        h2o_add_header_by_str(&req->pool, &req->res.headers,
                              H2O_STRLIT("retry-after"), 0, NULL, text,
                              (size_t)length);
    }
    h2o_start_response(req, &generator);
    h2o_send(req, &content, 1, H2O_SEND_STATE_FINAL);
}
