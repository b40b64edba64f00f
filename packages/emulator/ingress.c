/* ingress.c -- the emulated ingress, between callers and dispatchers

   usage: brasswing lab ingress PORT CONTROL_PORT {HTTP_PORT READY_PORT}...

   Checks the readiness of each dispatcher, and connects each caller to one of
   the ready ones, which the hash of the caller's address chooses.  Bytes are
   forwarded as they come.  When a caller closes its connection, the one to the
   dispatcher is closed too.  A request whose connection breaks before any byte
   of the answer has come is sent again, to another dispatcher, after a delay.
   When a dispatcher refuses a connection, another is tried at once.  When a
   dispatcher leaves UNANSWERED_CHECKS_MAX checks in a row unanswered, its
   connections are closed.  Run by lab.c.

     POST /control {"resend_ms": N}  the delay; 0: no request is sent again
                   {"silent": N}     connections to dispatcher N that are open
                                     now carry no more bytes; new ones do
     GET /ledger   every connection to a dispatcher, in the order in which they
                   were started

   A connection carries one request, as the emulated callers send no more.
*/

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <utlist.h>
#include <xxhash.h>

#include "clock.h"
#include "emulator.h"
#include "httpclient.h"
#include "labfleet.h"
#include "net.h"
#include "wording.h"

#define READINESS_INTERVAL_US 100000
#define READINESS_TIMEOUT_US 300000
#define UNANSWERED_CHECKS_MAX 3
#define RESEND_DELAY_US 1300000
#define NEVER UINT64_MAX
#define NO_ROW UINT32_MAX

typedef struct Dispatcher {
    BwHttpClient readiness;
    uint32_t http_port;
    uint64_t check_at_us;
    bool is_check_pending, is_ready;
    uint32_t unanswered_checks;
} Dispatcher;

/* One connection to a dispatcher, as /ledger lists it. */
typedef struct LedgerRow {
    char job[64];
    uint32_t dispatcher_index;
    uint64_t started_us;
    uint64_t ended_us;      /* 0: it is open */
    const char *end_reason; /* written as "how" */
} LedgerRow;

/* One caller's connection, the one to a dispatcher that serves it, and the
   bytes that the caller has sent, which a new dispatcher may need. */
typedef struct Connection {
    h2o_socket_t *client;
    h2o_socket_t *upstream;
    uint64_t hash; /* the caller's IPv4 address, which seeds the hash */
    char *request;
    size_t request_bytes, forwarded_bytes;
    bool is_forwarding, is_connected, has_answer, is_silent, is_closed;
    uint32_t excluded_dispatchers; /* bit i: dispatcher i isn't chosen */
    uint32_t dispatcher_index;
    uint32_t row_index; /* NO_ROW: none was ever connected */
    /* When to connect to a dispatcher; NEVER while there is a connection,
       before the request's head has come, and after an error answer. */
    uint64_t connect_at_us;
    struct Connection *prev, *next;
} Connection;

static struct {
    BwEventLoop event_loop;
    BwHttpServer control;
    h2o_socket_t *listener;
    Dispatcher dispatchers[BW_FLEET_DISPATCHERS_MAX];
    uint32_t dispatcher_count;
    Connection *connections;
    LedgerRow *rows;
    uint32_t row_count;
    uint64_t resend_delay_us;
} ingress;

/* -------------------------------------------------------------- ledger */

static void
add_ledger_row(Connection *conn)
{
    const char *path = strchr(conn->request, ' ');
    const char *end = path != NULL ? strchr(path + 1, ' ') : NULL;
    LedgerRow *row;

    ingress.rows =
        realloc(ingress.rows, (ingress.row_count + 1) * sizeof(*ingress.rows));
    conn->row_index = ingress.row_count++;
    row = &ingress.rows[conn->row_index];
    memset(row, 0, sizeof(*row));
    row->dispatcher_index = conn->dispatcher_index;
    row->started_us = BwClock_Now();
    while (end != NULL && end > path && end[-1] != '/')
        end--;
    if (end != NULL)
        snprintf(row->job, sizeof(row->job), "%.*s", (int)strcspn(end, " "),
                 end);
}

static void
end_ledger_row(const Connection *conn, const char *end_reason)
{
    LedgerRow *row = &ingress.rows[conn->row_index];

    if (conn->upstream == NULL || row->ended_us != 0)
        return;
    row->ended_us = BwClock_Now();
    row->end_reason = end_reason;
}

/* --------------------------------------------------------- connections */

/* Returns the ready dispatcher with the greatest hash that is not excluded, or
   -1 if there is none. */
static int
choose_dispatcher(const Connection *conn)
{
    uint64_t best = 0;
    int chosen = -1;

    for (uint32_t i = 0; i < ingress.dispatcher_count; i++) {
        uint64_t hash = XXH64(&i, sizeof(i), conn->hash);

        if (!ingress.dispatchers[i].is_ready ||
            (conn->excluded_dispatchers & 1u << i) != 0 ||
            (chosen >= 0 && hash <= best))
            continue;
        best = hash;
        chosen = (int)i;
    }
    return chosen;
}

static void
close_connection(Connection *conn, const char *end_reason)
{
    if (conn->is_closed)
        return;
    conn->is_closed = true;
    if (!conn->is_silent)
        end_ledger_row(conn, end_reason);
    if (conn->client != NULL)
        h2o_socket_close(conn->client);
    conn->client = NULL;
    /* The dispatcher of a silent connection must not see it close. */
    if (conn->upstream != NULL && !conn->is_silent)
        h2o_socket_close(conn->upstream);
}

static void
on_unavailable_written(h2o_socket_t *sock, const char *err)
{
    (void)err;
    close_connection(sock->data, "refused");
}

static void
answer_unavailable(Connection *conn)
{
    static char text[] = "HTTP/1.1 503 no dispatcher\r\nRetry-After: 1\r\n"
                         "Connection: close\r\nContent-Length: 25\r\n\r\n"
                         "{\"error\":\"no_dispatcher\"}";
    h2o_iovec_t part = h2o_iovec_init(text, sizeof(text) - 1);

    conn->connect_at_us = NEVER;
    conn->has_answer = true;
    h2o_socket_write(conn->client, &part, 1, on_unavailable_written);
}

/* Sends the request again later, unless a part of the answer has come. */
static void
on_upstream_lost(Connection *conn, const char *end_reason)
{
    if (conn->upstream == NULL || conn->is_silent)
        return;
    end_ledger_row(conn, end_reason);
    h2o_socket_close(conn->upstream);
    conn->upstream = NULL;
    conn->is_connected = conn->is_forwarding = false;
    conn->forwarded_bytes = 0;
    if (conn->has_answer || ingress.resend_delay_us == 0) {
        close_connection(conn, end_reason);
        return;
    }
    conn->excluded_dispatchers = 1u << conn->dispatcher_index;
    conn->connect_at_us = BwClock_Now() + ingress.resend_delay_us;
}

static void
forward_request(Connection *conn);
static void
buffer_request(Connection *conn);

static void
on_forwarded(h2o_socket_t *sock, const char *err)
{
    Connection *conn = sock->data;

    conn->is_forwarding = false;
    if (conn->is_closed || sock != conn->upstream)
        return;
    if (err != NULL)
        on_upstream_lost(conn, "broken");
    else
        buffer_request(conn);
}

static void
forward_request(Connection *conn)
{
    h2o_iovec_t part;

    if (!conn->is_connected || conn->is_forwarding || conn->is_silent ||
        conn->forwarded_bytes == conn->request_bytes)
        return;
    part = h2o_iovec_init(conn->request + conn->forwarded_bytes,
                          conn->request_bytes - conn->forwarded_bytes);
    conn->forwarded_bytes = conn->request_bytes;
    conn->is_forwarding = true;
    h2o_socket_write(conn->upstream, &part, 1, on_forwarded);
}

static void
on_answer(h2o_socket_t *sock, const char *err);

static void
on_answer_written(h2o_socket_t *sock, const char *err)
{
    Connection *conn = sock->data;

    if (conn->is_closed)
        return;
    if (err != NULL || conn->upstream == NULL) {
        close_connection(conn, "gone");
        return;
    }
    h2o_buffer_consume(&conn->upstream->input, conn->upstream->input->size);
    h2o_socket_read_start(conn->upstream, on_answer);
}

static void
on_answer(h2o_socket_t *sock, const char *err)
{
    Connection *conn = sock->data;
    h2o_iovec_t part;

    if (conn->is_closed || conn->is_silent || sock != conn->upstream)
        return;
    if (err != NULL) {
        if (conn->has_answer)
            close_connection(conn, "answered");
        else
            on_upstream_lost(conn, "broken");
        return;
    }
    if (sock->input->size == 0)
        return;
    conn->has_answer = true;
    h2o_socket_read_stop(sock);
    part = h2o_iovec_init(sock->input->bytes, sock->input->size);
    h2o_socket_write(conn->client, &part, 1, on_answer_written);
}

static void
on_connected(h2o_socket_t *sock, const char *err)
{
    Connection *conn = sock->data;

    if (conn->is_closed || sock != conn->upstream)
        return;
    if (err != NULL) {
        end_ledger_row(conn, "refused");
        h2o_socket_close(sock);
        conn->upstream = NULL;
        conn->excluded_dispatchers |= 1u << conn->dispatcher_index;
        conn->connect_at_us = 0;
        return;
    }
    conn->is_connected = true;
    h2o_socket_read_start(sock, on_answer);
    forward_request(conn);
}

/* Connects to a dispatcher.  The head of the request has come, so the ledger
   can name its job. */
static void
connect_upstream(Connection *conn)
{
    int chosen = choose_dispatcher(conn);
    struct sockaddr_in address = {.sin_family = AF_INET};

    if (chosen < 0) {
        answer_unavailable(conn);
        return;
    }
    conn->dispatcher_index = (uint32_t)chosen;
    conn->connect_at_us = NEVER;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)ingress.dispatchers[chosen].http_port);
    conn->upstream = h2o_socket_connect(ingress.event_loop.loop,
                                        (struct sockaddr *)&address,
                                        sizeof(address), on_connected);
    if (conn->upstream == NULL) {
        conn->connect_at_us = 0;
        conn->excluded_dispatchers |= 1u << chosen;
        return;
    }
    conn->upstream->data = conn;
    add_ledger_row(conn);
}

/* Appends what the caller has sent to the request, and forwards it.  A write
   in progress reads from the request, which realloc() may move, so new bytes
   are left in the socket until it ends. */
static void
buffer_request(Connection *conn)
{
    h2o_buffer_t **input = &conn->client->input;

    if (conn->is_forwarding)
        return;
    if ((*input)->size == 0) {
        forward_request(conn);
        return;
    }
    conn->request =
        realloc(conn->request, conn->request_bytes + (*input)->size + 1);
    memcpy(conn->request + conn->request_bytes, (*input)->bytes,
           (*input)->size);
    conn->request_bytes += (*input)->size;
    conn->request[conn->request_bytes] = '\0';
    h2o_buffer_consume(input, (*input)->size);
    if (conn->upstream != NULL)
        forward_request(conn);
    else if (strstr(conn->request, "\r\n\r\n") != NULL &&
             conn->row_index == NO_ROW)
        conn->connect_at_us = 0;
}

static void
on_request_bytes(h2o_socket_t *sock, const char *err)
{
    Connection *conn = sock->data;

    if (conn->is_closed)
        return;
    if (err != NULL)
        close_connection(conn, "gone");
    else
        buffer_request(conn);
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    h2o_socket_t *sock;

    if (err != NULL)
        return;
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        Connection *conn = calloc(1, sizeof(*conn));
        struct sockaddr_in address = {0};

        h2o_socket_getpeername(sock, (struct sockaddr *)&address);
        conn->hash = address.sin_addr.s_addr;
        conn->client = sock;
        conn->connect_at_us = NEVER;
        conn->row_index = NO_ROW;
        sock->data = conn;
        DL_APPEND(ingress.connections, conn);
        h2o_socket_read_start(sock, on_request_bytes);
    }
}

static void
tick_connections(uint64_t now_us)
{
    Connection *conn, *next;

    DL_FOREACH_SAFE(ingress.connections, conn, next)
    {
        if (conn->is_closed && !conn->is_silent && !conn->is_forwarding) {
            DL_DELETE(ingress.connections, conn);
            free(conn->request);
            free(conn);
        }
        else if (!conn->is_closed && now_us >= conn->connect_at_us)
            connect_upstream(conn);
    }
}

/* ----------------------------------------------------------- readiness */

static void
on_readiness(void *data, const BwHttpReply *reply)
{
    Dispatcher *dispatcher = data;
    Connection *conn;

    dispatcher->is_check_pending = false;
    dispatcher->is_ready =
        reply->outcome == BW_HTTP_ANSWERED && reply->status == 200;
    if (reply->outcome == BW_HTTP_ANSWERED) {
        dispatcher->unanswered_checks = 0;
        return;
    }
    if (++dispatcher->unanswered_checks != UNANSWERED_CHECKS_MAX)
        return;
    DL_FOREACH(ingress.connections, conn)
    {
        if (!conn->is_closed && conn->upstream != NULL &&
            &ingress.dispatchers[conn->dispatcher_index] == dispatcher)
            on_upstream_lost(conn, "given_up");
    }
}

static void
check_readiness(Dispatcher *dispatcher, uint64_t now_us)
{
    BwHttpClient_Tick(&dispatcher->readiness, now_us);
    if (dispatcher->is_check_pending || now_us < dispatcher->check_at_us)
        return;
    dispatcher->is_check_pending = true;
    dispatcher->check_at_us = now_us + READINESS_INTERVAL_US;
    BwHttpClient_Send(&dispatcher->readiness, "GET",
                      BwSpan_FromString(BW_WORDING_READY_PATH), "",
                      BwSpan_FromString(""), now_us + READINESS_TIMEOUT_US,
                      on_readiness, dispatcher);
}

static void
on_tick(void *ctx)
{
    uint64_t now_us = BwClock_Now();

    (void)ctx;
    for (uint32_t i = 0; i < ingress.dispatcher_count; i++)
        check_readiness(&ingress.dispatchers[i], now_us);
    tick_connections(now_us);
    if (BwEmulator_IsStopping())
        BwEventLoop_Stop(&ingress.event_loop);
}

/* ------------------------------------------------------------- control */

static void
set_silent(uint32_t dispatcher_index)
{
    Connection *conn;

    DL_FOREACH(ingress.connections, conn)
    {
        if (conn->upstream == NULL || conn->is_closed ||
            conn->dispatcher_index != dispatcher_index)
            continue;
        conn->is_silent = true;
        h2o_socket_read_stop(conn->upstream);
    }
}

static void
serve_control(BwExchange *exchange)
{
    json_t *root =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    const json_t *resend = json_object_get(root, "resend_ms");
    const json_t *silent = json_object_get(root, "silent");

    if (resend != NULL)
        ingress.resend_delay_us = (uint64_t)json_integer_value(resend) * 1000;
    if (silent != NULL)
        set_silent((uint32_t)json_integer_value(silent));
    BwEmulator_ReplyJson(exchange, root != NULL ? 200 : 400, json_object());
    json_decref(root);
}

static void
serve_ledger(BwExchange *exchange)
{
    json_t *rows = json_array();

    for (uint32_t i = 0; i < ingress.row_count; i++) {
        const LedgerRow *row = &ingress.rows[i];

        json_array_append_new(
            rows, json_pack("{s:s, s:i, s:I, s:I, s:s}", "job", row->job,
                            "dispatcher", (int)row->dispatcher_index,
                            "started_us", (json_int_t)row->started_us,
                            "ended_us", (json_int_t)row->ended_us, "how",
                            row->end_reason != NULL ? row->end_reason : ""));
    }
    BwEmulator_ReplyJson(exchange, 200, json_pack("{s:o}", "rows", rows));
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/control")))
        serve_control(exchange);
    else if (BwSpan_Equal(exchange->path, BwSpan_FromString("/ledger")))
        serve_ledger(exchange);
    else
        BwEmulator_ReplyJson(exchange, 404, json_object());
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    (void)exchange;
}

static uint16_t
read_port(const char *text)
{
    return (uint16_t)strtoul(text, NULL, 10);
}

int
BwEmulator_RunIngress(int argc, char **argv)
{
    static const BwHttpEvents http_events = {on_request, on_abort, on_request};
    static const BwLoopEvents loop_events = {BwEmulator_IgnoreThreadMessage,
                                             on_tick};
    uint16_t port = argc > 0 ? read_port(argv[0]) : 0;

    if (argc < 4) {
        fprintf(stderr, "usage: brasswing lab ingress PORT CONTROL_PORT "
                        "{HTTP_PORT READY_PORT}...\n");
        return 2;
    }
    ingress.resend_delay_us = RESEND_DELAY_US;
    BwEventLoop_Init(&ingress.event_loop, &loop_events, NULL);
    ingress.listener = BwNet_Listen(ingress.event_loop.loop, "127.0.0.1",
                                    &port, on_accept, NULL);
    if (ingress.listener == NULL ||
        !BwHttpServer_Init(&ingress.control, ingress.event_loop.loop,
                           "127.0.0.1", read_port(argv[1]), 65536,
                           &http_events, NULL)) {
        perror("ingress");
        return 1;
    }
    for (int i = 2;
         i + 1 < argc && ingress.dispatcher_count < BW_FLEET_DISPATCHERS_MAX;
         i += 2) {
        Dispatcher *dispatcher =
            &ingress.dispatchers[ingress.dispatcher_count++];

        dispatcher->http_port = read_port(argv[i]);
        BwHttpClient_Init(&dispatcher->readiness, ingress.event_loop.loop,
                          "127.0.0.1", read_port(argv[i + 1]), 1, 65536);
    }
    BwEmulator_ReportStarted("ingress", port);
    BwEventLoop_Run(&ingress.event_loop);
    return 0;
}
