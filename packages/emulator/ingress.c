/* ingress.c -- the emulated ingress, between callers and dispatchers

   usage: brasswing lab ingress PORT CONTROL_PORT {FRONT_PORT READY_PORT}...

   Asks each dispatcher whether it is ready, and gives a caller, by the hash of
   its address, one of those that are.  Bytes pass through as they come; a
   caller that closes is closed towards the dispatcher.  A request whose
   connection breaks before any of the answer came is sent again, to another
   dispatcher, after the resend time.  A dispatcher that refuses the connection
   is passed over at once; one whose readiness is not answered is given up,
   with its connections.

     POST /control {"resend_ms": N}  0: a broken request is not sent again
                   {"silent": N}     connections to dispatcher N that are open
                                     now carry nothing any more; new ones work
     GET /ledger   every connection to a dispatcher, in the order of the start

   One request goes over a connection, as the emulated callers do.
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

#define ASK_US 100000
#define ASK_TIMEOUT_US 300000
#define SILENT_ASKS 3
#define RESEND_US 1300000
#define NEVER UINT64_MAX
#define NO_ROW UINT32_MAX

typedef struct Backend {
    BwHttpClient readiness;
    uint32_t front_port;
    uint64_t ask_at_us;
    bool is_asked, is_ready;
    uint32_t unanswered;
} Backend;

/* One connection to a dispatcher. */
typedef struct Row {
    char job[64];
    uint32_t dispatcher;
    uint64_t started_us;
    uint64_t ended_us; /* 0: it is open */
    const char *how;
} Row;

/* One caller's connection, with the bytes that it has sent. */
typedef struct Flow {
    h2o_socket_t *client;
    h2o_socket_t *upstream;
    uint64_t hash;
    char *request;
    size_t request_bytes, passed_bytes;
    bool is_writing, is_connected, is_answered, is_silent, is_over;
    uint32_t refusals;
    uint32_t dispatcher;
    uint32_t row;
    uint64_t send_at_us; /* to a dispatcher; NEVER: it is there */
    struct Flow *prev, *next;
} Flow;

static struct {
    BwTaskLoop task;
    BwHttpServer control;
    h2o_socket_t *listener;
    Backend backends[BW_FLEET_DISPATCHERS_MAX];
    uint32_t backend_count;
    Flow *flows;
    Row *rows;
    uint32_t row_count;
    uint64_t resend_us;
} me;

/* -------------------------------------------------------------- ledger */

static void
open_row(Flow *flow)
{
    const char *path = strchr(flow->request, ' ');
    const char *end = path != NULL ? strchr(path + 1, ' ') : NULL;
    Row *row;

    me.rows = realloc(me.rows, (me.row_count + 1) * sizeof(*me.rows));
    flow->row = me.row_count++;
    row = &me.rows[flow->row];
    memset(row, 0, sizeof(*row));
    row->dispatcher = flow->dispatcher;
    row->started_us = BwClock_Now();
    while (end != NULL && end > path && end[-1] != '/')
        end--;
    if (end != NULL)
        snprintf(row->job, sizeof(row->job), "%.*s", (int)strcspn(end, " "),
                 end);
}

static void
close_row(const Flow *flow, const char *how)
{
    Row *row = &me.rows[flow->row];

    if (flow->upstream == NULL || row->ended_us != 0)
        return;
    row->ended_us = BwClock_Now();
    row->how = how;
}

/* --------------------------------------------------------------- flows */

/* The ready dispatcher with the greatest hash, without those refused. */
static int
choose(const Flow *flow)
{
    uint64_t best = 0;
    int chosen = -1;

    for (uint32_t i = 0; i < me.backend_count; i++) {
        uint64_t hash = XXH64(&i, sizeof(i), flow->hash);

        if (!me.backends[i].is_ready || (flow->refusals & 1u << i) != 0 ||
            (chosen >= 0 && hash <= best))
            continue;
        best = hash;
        chosen = (int)i;
    }
    return chosen;
}

static void
end_flow(Flow *flow, const char *how)
{
    if (flow->is_over)
        return;
    flow->is_over = true;
    if (!flow->is_silent)
        close_row(flow, how);
    if (flow->client != NULL)
        h2o_socket_close(flow->client);
    flow->client = NULL;
    if (flow->upstream != NULL && !flow->is_silent)
        h2o_socket_close(flow->upstream);
}

static void
on_refusal_written(h2o_socket_t *sock, const char *err)
{
    (void)err;
    end_flow(sock->data, "refused");
}

static void
refuse(Flow *flow)
{
    static char text[] = "HTTP/1.1 503 no dispatcher\r\nRetry-After: 1\r\n"
                         "Connection: close\r\nContent-Length: 25\r\n\r\n"
                         "{\"error\":\"no_dispatcher\"}";
    h2o_iovec_t part = h2o_iovec_init(text, sizeof(text) - 1);

    flow->send_at_us = NEVER;
    flow->is_answered = true;
    h2o_socket_write(flow->client, &part, 1, on_refusal_written);
}

static void
on_broken(Flow *flow, const char *how)
{
    if (flow->upstream == NULL || flow->is_silent)
        return;
    close_row(flow, how);
    h2o_socket_close(flow->upstream);
    flow->upstream = NULL;
    flow->is_connected = flow->is_writing = false;
    flow->passed_bytes = 0;
    if (flow->is_answered || me.resend_us == 0) {
        end_flow(flow, how);
        return;
    }
    flow->refusals = 1u << flow->dispatcher;
    flow->send_at_us = BwClock_Now() + me.resend_us;
}

static void
pass_request(Flow *flow);
static void
take_bytes(Flow *flow);

static void
on_passed(h2o_socket_t *sock, const char *err)
{
    Flow *flow = sock->data;

    flow->is_writing = false;
    if (flow->is_over || sock != flow->upstream)
        return;
    if (err != NULL)
        on_broken(flow, "broken");
    else
        take_bytes(flow);
}

static void
pass_request(Flow *flow)
{
    h2o_iovec_t part;

    if (!flow->is_connected || flow->is_writing || flow->is_silent ||
        flow->passed_bytes == flow->request_bytes)
        return;
    part = h2o_iovec_init(flow->request + flow->passed_bytes,
                          flow->request_bytes - flow->passed_bytes);
    flow->passed_bytes = flow->request_bytes;
    flow->is_writing = true;
    h2o_socket_write(flow->upstream, &part, 1, on_passed);
}

static void
on_answer(h2o_socket_t *sock, const char *err);

static void
on_answer_written(h2o_socket_t *sock, const char *err)
{
    Flow *flow = sock->data;

    if (flow->is_over)
        return;
    if (err != NULL || flow->upstream == NULL) {
        end_flow(flow, "gone");
        return;
    }
    h2o_buffer_consume(&flow->upstream->input, flow->upstream->input->size);
    h2o_socket_read_start(flow->upstream, on_answer);
}

static void
on_answer(h2o_socket_t *sock, const char *err)
{
    Flow *flow = sock->data;
    h2o_iovec_t part;

    if (flow->is_over || flow->is_silent || sock != flow->upstream)
        return;
    if (err != NULL) {
        if (flow->is_answered)
            end_flow(flow, "answered");
        else
            on_broken(flow, "broken");
        return;
    }
    if (sock->input->size == 0)
        return;
    flow->is_answered = true;
    h2o_socket_read_stop(sock);
    part = h2o_iovec_init(sock->input->bytes, sock->input->size);
    h2o_socket_write(flow->client, &part, 1, on_answer_written);
}

static void
on_connected(h2o_socket_t *sock, const char *err)
{
    Flow *flow = sock->data;

    if (flow->is_over || sock != flow->upstream)
        return;
    if (err != NULL) {
        close_row(flow, "refused");
        h2o_socket_close(sock);
        flow->upstream = NULL;
        flow->refusals |= 1u << flow->dispatcher;
        flow->send_at_us = 0;
        return;
    }
    flow->is_connected = true;
    h2o_socket_read_start(sock, on_answer);
    pass_request(flow);
}

/* Connects to a dispatcher, once the head of the request is there. */
static void
send_flow(Flow *flow)
{
    int chosen = choose(flow);
    struct sockaddr_in address = {.sin_family = AF_INET};

    if (chosen < 0) {
        refuse(flow);
        return;
    }
    flow->dispatcher = (uint32_t)chosen;
    flow->send_at_us = NEVER;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)me.backends[chosen].front_port);
    flow->upstream =
        h2o_socket_connect(me.task.loop, (struct sockaddr *)&address,
                           sizeof(address), on_connected);
    if (flow->upstream == NULL) {
        flow->send_at_us = 0;
        flow->refusals |= 1u << chosen;
        return;
    }
    flow->upstream->data = flow;
    open_row(flow);
}

/* What is being written must not move, so bytes wait for that. */
static void
take_bytes(Flow *flow)
{
    h2o_buffer_t **input = &flow->client->input;

    if (flow->is_writing)
        return;
    if ((*input)->size == 0) {
        pass_request(flow);
        return;
    }
    flow->request =
        realloc(flow->request, flow->request_bytes + (*input)->size + 1);
    memcpy(flow->request + flow->request_bytes, (*input)->bytes,
           (*input)->size);
    flow->request_bytes += (*input)->size;
    flow->request[flow->request_bytes] = '\0';
    h2o_buffer_consume(input, (*input)->size);
    if (flow->upstream != NULL)
        pass_request(flow);
    else if (strstr(flow->request, "\r\n\r\n") != NULL && flow->row == NO_ROW)
        flow->send_at_us = 0;
}

static void
on_request_bytes(h2o_socket_t *sock, const char *err)
{
    Flow *flow = sock->data;

    if (flow->is_over)
        return;
    if (err != NULL)
        end_flow(flow, "gone");
    else
        take_bytes(flow);
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    h2o_socket_t *sock;

    if (err != NULL)
        return;
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        Flow *flow = calloc(1, sizeof(*flow));
        struct sockaddr_in address = {0};

        h2o_socket_getpeername(sock, (struct sockaddr *)&address);
        flow->hash = address.sin_addr.s_addr;
        flow->client = sock;
        flow->send_at_us = NEVER;
        flow->row = NO_ROW;
        sock->data = flow;
        DL_APPEND(me.flows, flow);
        h2o_socket_read_start(sock, on_request_bytes);
    }
}

static void
tick_flows(uint64_t now_us)
{
    Flow *flow, *next;

    DL_FOREACH_SAFE(me.flows, flow, next)
    {
        if (flow->is_over && !flow->is_silent && !flow->is_writing) {
            DL_DELETE(me.flows, flow);
            free(flow->request);
            free(flow);
        }
        else if (!flow->is_over && now_us >= flow->send_at_us)
            send_flow(flow);
    }
}

/* ----------------------------------------------------------- readiness */

static void
on_readiness(void *data, const BwHttpReply *reply)
{
    Backend *backend = data;
    Flow *flow;

    backend->is_asked = false;
    backend->is_ready =
        reply->outcome == BW_HTTP_ANSWERED && reply->status == 200;
    if (reply->outcome == BW_HTTP_ANSWERED) {
        backend->unanswered = 0;
        return;
    }
    if (++backend->unanswered != SILENT_ASKS)
        return;
    DL_FOREACH(me.flows, flow)
    {
        if (!flow->is_over && flow->upstream != NULL &&
            &me.backends[flow->dispatcher] == backend)
            on_broken(flow, "given_up");
    }
}

static void
ask(Backend *backend, uint64_t now_us)
{
    BwHttpClient_Tick(&backend->readiness, now_us);
    if (backend->is_asked || now_us < backend->ask_at_us)
        return;
    backend->is_asked = true;
    backend->ask_at_us = now_us + ASK_US;
    BwHttpClient_Send(&backend->readiness, "GET",
                      BwSpan_FromString(BW_WORDING_READY_PATH), "",
                      BwSpan_FromString(""), now_us + ASK_TIMEOUT_US,
                      on_readiness, backend);
}

static void
on_tick(void *ctx)
{
    uint64_t now_us = BwClock_Now();

    (void)ctx;
    for (uint32_t i = 0; i < me.backend_count; i++)
        ask(&me.backends[i], now_us);
    tick_flows(now_us);
    if (BwEmulator_IsStopping())
        BwTaskLoop_Stop(&me.task);
}

/* ------------------------------------------------------------- control */

static void
set_silent(uint32_t dispatcher)
{
    Flow *flow;

    DL_FOREACH(me.flows, flow)
    {
        if (flow->upstream == NULL || flow->is_over ||
            flow->dispatcher != dispatcher)
            continue;
        flow->is_silent = true;
        h2o_socket_read_stop(flow->upstream);
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
        me.resend_us = (uint64_t)json_integer_value(resend) * 1000;
    if (silent != NULL)
        set_silent((uint32_t)json_integer_value(silent));
    BwEmulator_ReplyJson(exchange, root != NULL ? 200 : 400, json_object());
    json_decref(root);
}

static void
serve_ledger(BwExchange *exchange)
{
    json_t *rows = json_array();

    for (uint32_t i = 0; i < me.row_count; i++) {
        const Row *row = &me.rows[i];

        json_array_append_new(
            rows, json_pack("{s:s, s:i, s:I, s:I, s:s}", "job", row->job,
                            "dispatcher", (int)row->dispatcher, "started_us",
                            (json_int_t)row->started_us, "ended_us",
                            (json_int_t)row->ended_us, "how",
                            row->how != NULL ? row->how : ""));
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
    static const BwTaskEvents task_events = {BwEmulator_DropMail, on_tick};
    uint16_t port = argc > 0 ? read_port(argv[0]) : 0;

    if (argc < 4) {
        fprintf(stderr, "usage: brasswing lab ingress PORT CONTROL_PORT "
                        "{FRONT_PORT READY_PORT}...\n");
        return 2;
    }
    me.resend_us = RESEND_US;
    BwTaskLoop_Init(&me.task, &task_events, NULL);
    me.listener =
        BwNet_Listen(me.task.loop, "127.0.0.1", &port, on_accept, NULL);
    if (me.listener == NULL ||
        !BwHttpServer_Init(&me.control, me.task.loop, "127.0.0.1",
                           read_port(argv[1]), 65536, &http_events, NULL)) {
        perror("ingress");
        return 1;
    }
    for (int i = 2;
         i + 1 < argc && me.backend_count < BW_FLEET_DISPATCHERS_MAX; i += 2) {
        Backend *backend = &me.backends[me.backend_count++];

        backend->front_port = read_port(argv[i]);
        BwHttpClient_Init(&backend->readiness, me.task.loop, "127.0.0.1",
                          read_port(argv[i + 1]), 1, 65536);
    }
    BwEmulator_Ready("ingress", port);
    BwTaskLoop_Run(&me.task);
    return 0;
}
