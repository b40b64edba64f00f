/* httpclient.c -- HTTP/1.1 client for one address */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "httpclient.h"
#include "net.h"

#define IO_TIMEOUT_MS (3600u * 1000)
#define IDLE_CONNECTION_MS 10000

typedef struct BwHttpCall {
    BwHttpClient *client;
    h2o_http1client_t *connection;
    struct BwHttpCall *prev, *next;
    BwHttpCallback callback;
    void *data;
    uint64_t deadline_us;
    uint32_t status;
    bool is_sent; /* passed to h2o on an open connection */
    bool is_head; /* the method is HEAD: the reply has no body */
    bool is_refused;
    h2o_iovec_t request;
    h2o_buffer_t *reply_body;
} BwHttpCall;

static void
end_call(BwHttpCall *call, BwHttpOutcome outcome)
{
    BwHttpReply reply = {0};

    reply.outcome = outcome;
    reply.is_refused = call->is_refused;
    reply.status = call->status;
    reply.body.base = call->reply_body->bytes;
    reply.body.size_bytes = (uint32_t)call->reply_body->size;
    DL_DELETE(call->client->calls, call);
    call->client->active_count--;
    call->callback(call->data, &reply);
    h2o_buffer_dispose(&call->reply_body);
    free(call->request.base);
    free(call);
}

static void
extend_deadline(BwHttpCall *call)
{
    uint64_t until_us = BwClock_Now() + call->client->progress_us;

    if (call->client->progress_us > 0 && until_us > call->deadline_us)
        call->deadline_us = until_us;
}

/* Moves the input to the reply.  Returns false when it gets too large. */
static bool
append_input(BwHttpCall *call, h2o_socket_t *sock)
{
    size_t size = sock->input->size;
    h2o_iovec_t space;

    if (call->reply_body->size + size > call->client->reply_bytes_max)
        return false;
    if (size == 0)
        return true;
    extend_deadline(call);
    space = h2o_buffer_reserve(&call->reply_body, size);
    memcpy(space.base, sock->input->bytes, size);
    call->reply_body->size += size;
    h2o_buffer_consume(&sock->input, size);
    return true;
}

static int
on_body(h2o_http1client_t *connection, const char *err)
{
    BwHttpCall *call = connection->data;

    if (err != NULL && err != h2o_http1client_error_is_eos) {
        end_call(call, BW_HTTP_BROKEN);
        return -1;
    }
    if (!append_input(call, connection->sock)) {
        end_call(call, BW_HTTP_BROKEN);
        return -1;
    }
    if (err == h2o_http1client_error_is_eos)
        end_call(call, BW_HTTP_ANSWERED);
    return 0;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *connection, const char *err, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t *headers,
        size_t header_count, int rlen)
{
    BwHttpCall *call = connection->data;

    (void)minor_version;
    (void)message;
    (void)headers;
    (void)header_count;
    (void)rlen;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        end_call(call, BW_HTTP_BROKEN);
        return NULL;
    }
    call->status = (uint32_t)status;
    extend_deadline(call);
    if (err == h2o_http1client_error_is_eos) {
        end_call(call, BW_HTTP_ANSWERED);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *connection, const char *err,
           h2o_iovec_t **buffers, size_t *buffer_count, int *is_head)
{
    BwHttpCall *call = connection->data;

    if (err != NULL) {
        call->connection = NULL;
        call->is_refused = true;
        end_call(call, BW_HTTP_NOT_SENT);
        return NULL;
    }
    call->is_sent = true;
    *buffers = &call->request;
    *buffer_count = 1;
    *is_head = call->is_head;
    return on_head;
}

bool
BwHttpClient_Init(BwHttpClient *client, h2o_loop_t *loop, const char *host,
                  uint16_t port, uint32_t connections_max,
                  uint32_t reply_bytes_max)
{
    struct sockaddr_storage address;
    socklen_t length = BwNet_Parse(host, port, &address);

    memset(client, 0, sizeof(*client));
    if (length == 0)
        return false;
    client->reply_bytes_max = reply_bytes_max;
    snprintf(client->authority, sizeof(client->authority),
             strchr(host, ':') != NULL ? "[%s]:%u" : "%s:%u", host, port);
    client->queue = h2o_multithread_create_queue(loop);
    h2o_multithread_register_receiver(client->queue, &client->receiver,
                                      h2o_hostinfo_getaddr_receiver);
    h2o_timeout_init(loop, &client->io_timeout, IO_TIMEOUT_MS);
    client->context.loop = loop;
    client->context.getaddr_receiver = &client->receiver;
    client->context.io_timeout = &client->io_timeout;
    h2o_socketpool_init_by_address(&client->pool, (struct sockaddr *)&address,
                                   length, 0, connections_max);
    h2o_socketpool_set_timeout(&client->pool, loop, IDLE_CONNECTION_MS);
    return true;
}

void
BwHttpClient_UseTls(BwHttpClient *client, SSL_CTX *context, const char *name)
{
    client->context.ssl_ctx = context;
    client->pool.is_ssl = 1;
    free(client->pool.peer.host.base);
    client->pool.peer.host = h2o_strdup(NULL, name, SIZE_MAX);
}

void
BwHttpClient_AllowProgress(BwHttpClient *client, uint64_t progress_us)
{
    client->progress_us = progress_us;
}

void
BwHttpClient_Finish(BwHttpClient *client)
{
    while (client->calls != NULL) {
        BwHttpCall *call = client->calls;

        DL_DELETE(client->calls, call);
        if (call->connection != NULL)
            h2o_http1client_cancel(call->connection);
        h2o_buffer_dispose(&call->reply_body);
        free(call->request.base);
        free(call);
    }
    h2o_socketpool_dispose(&client->pool);
    h2o_timeout_dispose(client->context.loop, &client->io_timeout);
    h2o_multithread_unregister_receiver(client->queue, &client->receiver);
    h2o_multithread_destroy_queue(client->queue);
}

static h2o_iovec_t
make_request(const BwHttpClient *client, const char *method, BwSpan path,
             const char *headers, BwSpan body)
{
    size_t capacity = strlen(method) + path.size_bytes + strlen(headers) +
                      strlen(client->authority) + body.size_bytes + 96;
    char *text = h2o_mem_alloc(capacity);
    int length =
        snprintf(text, capacity,
                 "%s %.*s HTTP/1.1\r\nhost: %s\r\ncontent-length: %u\r\n"
                 "%s\r\n",
                 method, (int)path.size_bytes, path.base, client->authority,
                 body.size_bytes, headers);

    if (body.size_bytes > 0)
        memcpy(text + length, body.base, body.size_bytes);
    return h2o_iovec_init(text, (size_t)length + body.size_bytes);
}

void
BwHttpClient_Send(BwHttpClient *client, const char *method, BwSpan path,
                  const char *headers, BwSpan body, uint64_t deadline_us,
                  BwHttpCallback callback, void *data)
{
    BwHttpCall *call = h2o_mem_alloc(sizeof(*call));

    memset(call, 0, sizeof(*call));
    call->client = client;
    call->callback = callback;
    call->data = data;
    call->deadline_us = deadline_us;
    call->is_head = strcmp(method, "HEAD") == 0;
    call->request = make_request(client, method, path, headers, body);
    h2o_buffer_init(&call->reply_body, &h2o_socket_buffer_prototype);
    DL_APPEND(client->calls, call);
    client->active_count++;
    h2o_http1client_connect_with_pool(
        &call->connection, call, &client->context, &client->pool, on_connect);
}

bool
BwHttpClient_IsReceiving(const BwHttpClient *client)
{
    for (const BwHttpCall *call = client->calls; call != NULL;
         call = call->next) {
        if (call->status != 0)
            return true;
    }
    return false;
}

void
BwHttpClient_Tick(BwHttpClient *client, uint64_t now_us)
{
    BwHttpCall *call, *next;

    DL_FOREACH_SAFE(client->calls, call, next)
    {
        if (now_us < call->deadline_us)
            continue;
        if (call->connection != NULL)
            h2o_http1client_cancel(call->connection);
        end_call(call, call->is_sent ? BW_HTTP_TIMED_OUT : BW_HTTP_NOT_SENT);
    }
}
