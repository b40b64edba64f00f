/* caller.h -- a blocking HTTP client for one address

   Every client has its own connection, and the clients of a thread share that
   thread's event loop.  So a client must be initialised, used and finished by
   the same thread.  The command line uses it, and so do the tests and the
   experiments of packages/emulator.
*/

#ifndef BW_CALLER_H
#define BW_CALLER_H

#include <stdbool.h>

#include "httpclient.h"

/* `body` is allocated and ends with a zero byte that is not counted. */
typedef struct BwCallReply {
    uint32_t status; /* 0 without an answer */
    bool is_sent;    /* false: the request had no effect for sure */
    char *body;
    uint32_t body_bytes;
} BwCallReply;

typedef struct BwCaller {
    h2o_loop_t *loop;
    BwHttpClient client;
} BwCaller;

/* Returns false when `host` is not an IP address. */
bool
BwCaller_Init(BwCaller *caller, const char *host, uint16_t port);

void
BwCaller_Finish(BwCaller *caller);

/* Sends a request with a JSON body and waits up to `timeout_us` for the
   answer. `headers` holds further header lines, each ended by CR LF, or is
   empty. Returns the status, 0 without an answer.  free() reply->body. */
uint32_t
BwCaller_Call(BwCaller *caller, const char *method, const char *path,
              const char *headers, BwSpan body, uint64_t timeout_us,
              BwCallReply *reply);

#endif
