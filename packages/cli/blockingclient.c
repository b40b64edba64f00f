/* blockingclient.c -- a blocking HTTP client for one address

   h2o never closes the file descriptors of an event loop.  A program may
   create many clients a second for hours, so each thread creates one loop,
   keeps it, and shares it between its clients.
*/

#include <stdlib.h>
#include <string.h>

#include "blockingclient.h"
#include "clock.h"

#define REPLY_BYTES_MAX (64u * 1024 * 1024)
#define CONNECTIONS_MAX 1
#define LOOP_WAIT_MS 10

static _Thread_local h2o_loop_t *thread_loop;

typedef struct PendingRequest {
    BwBlockingReply *reply;
    bool is_finished;
} PendingRequest;

static void
on_reply(void *data, const BwHttpReply *reply)
{
    PendingRequest *request = data;

    request->is_finished = true;
    request->reply->is_sent = reply->outcome != BW_HTTP_NOT_SENT;
    if (reply->outcome != BW_HTTP_ANSWERED)
        return;
    request->reply->status = reply->status;
    request->reply->body = malloc(reply->body.size_bytes + 1);
    if (request->reply->body == NULL)
        return;
    if (reply->body.size_bytes > 0)
        memcpy(request->reply->body, reply->body.base, reply->body.size_bytes);
    request->reply->body[reply->body.size_bytes] = '\0';
    request->reply->body_bytes = reply->body.size_bytes;
}

bool
BwBlockingClient_Init(BwBlockingClient *http, const char *host, uint16_t port)
{
    if (thread_loop == NULL)
        thread_loop = h2o_evloop_create();
    http->loop = thread_loop;
    return BwHttpClient_Init(&http->client, http->loop, host, port,
                             CONNECTIONS_MAX, REPLY_BYTES_MAX);
}

void
BwBlockingClient_Finish(BwBlockingClient *http)
{
    BwHttpClient_Finish(&http->client);
}

uint32_t
BwBlockingClient_Request(BwBlockingClient *http, const char *method,
                         const char *path, const char *headers, BwSpan body,
                         uint64_t timeout_us, BwBlockingReply *reply)
{
    PendingRequest request = {reply, false};
    BwSpan target = {path, (uint32_t)strlen(path)};
    char headers_sent[512];

    memset(reply, 0, sizeof(*reply));
    snprintf(headers_sent, sizeof(headers_sent),
             "content-type: application/json\r\n%s", headers);
    BwHttpClient_Send(&http->client, method, target, headers_sent, body,
                      BwClock_Now() + timeout_us, on_reply, &request);
    while (!request.is_finished) {
        h2o_evloop_run(http->loop, LOOP_WAIT_MS);
        BwHttpClient_Tick(&http->client, BwClock_Now());
    }
    return reply->status;
}
