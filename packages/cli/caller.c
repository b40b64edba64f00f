/* caller.c -- HTTP requests that are waited for

   H2o gives back no descriptor of a loop, so the callers of a thread share
   one that is kept: a program may call many times a second for hours.
*/

#include <stdlib.h>
#include <string.h>

#include "caller.h"
#include "clock.h"

#define REPLY_BYTES_MAX (64u * 1024 * 1024)
#define CONNECTIONS_MAX 1
#define TURN_MS 10

static _Thread_local h2o_loop_t *thread_loop;

typedef struct Wait {
    BwCallReply *reply;
    bool is_over;
} Wait;

static void
on_reply(void *data, const BwHttpReply *reply)
{
    Wait *wait = data;

    wait->is_over = true;
    wait->reply->is_sent = reply->outcome != BW_HTTP_NOT_SENT;
    if (reply->outcome != BW_HTTP_ANSWERED)
        return;
    wait->reply->status = reply->status;
    wait->reply->body = malloc(reply->body.size_bytes + 1);
    if (wait->reply->body == NULL)
        return;
    if (reply->body.size_bytes > 0)
        memcpy(wait->reply->body, reply->body.base, reply->body.size_bytes);
    wait->reply->body[reply->body.size_bytes] = '\0';
    wait->reply->body_bytes = reply->body.size_bytes;
}

bool
BwCaller_Init(BwCaller *caller, const char *host, uint16_t port)
{
    if (thread_loop == NULL)
        thread_loop = h2o_evloop_create();
    caller->loop = thread_loop;
    return BwHttpClient_Init(&caller->client, caller->loop, host, port,
                             CONNECTIONS_MAX, REPLY_BYTES_MAX);
}

void
BwCaller_Finish(BwCaller *caller)
{
    BwHttpClient_Finish(&caller->client);
}

uint32_t
BwCaller_Call(BwCaller *caller, const char *method, const char *path,
              const char *headers, BwSpan body, uint64_t timeout_us,
              BwCallReply *reply)
{
    Wait wait = {reply, false};
    BwSpan target = {path, (uint32_t)strlen(path)};
    char lines[512];

    memset(reply, 0, sizeof(*reply));
    snprintf(lines, sizeof(lines), "content-type: application/json\r\n%s",
             headers);
    BwHttpClient_Send(&caller->client, method, target, lines, body,
                      BwClock_Now() + timeout_us, on_reply, &wait);
    while (!wait.is_over) {
        h2o_evloop_run(caller->loop, TURN_MS);
        BwHttpClient_Tick(&caller->client, BwClock_Now());
    }
    return reply->status;
}
