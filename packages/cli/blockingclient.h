/* blockingclient.h -- a blocking HTTP client for one address

   Every client has its own connection, and the clients of a thread share that
   thread's event loop.  So a client must be initialised, used and finished by
   the same thread.  The command line uses it, and so do the tests and the
   experiments of packages/emulator.
*/

#ifndef BW_BLOCKINGCLIENT_H
#define BW_BLOCKINGCLIENT_H

#include <stdbool.h>

#include "httpclient.h"

/* `body` is allocated and ends with a zero byte that is not counted. */
typedef struct BwBlockingReply {
    uint32_t status; /* 0 without an answer */
    bool is_sent;    /* false: the request had no effect for sure */
    char *body;
    uint32_t body_bytes;
} BwBlockingReply;

typedef struct BwBlockingClient {
    h2o_loop_t *loop;
    BwHttpClient client;
} BwBlockingClient;

/* Returns false when `host` is not an IP address. */
bool
BwBlockingClient_Init(BwBlockingClient *http, const char *host, uint16_t port);

void
BwBlockingClient_Finish(BwBlockingClient *http);

/* Sends a request with a JSON body and waits up to `timeout_us` for the
   answer.  `headers` holds further header lines, each ended by CR LF, or is
   empty.  Returns the status, 0 without an answer.  free() reply->body. */
uint32_t
BwBlockingClient_Request(BwBlockingClient *http, const char *method,
                         const char *path, const char *headers, BwSpan body,
                         uint64_t timeout_us, BwBlockingReply *reply);

#endif
