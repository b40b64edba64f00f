/* caller.h -- HTTP requests that are waited for

   A caller has connections of its own and shares the loop of its thread: one
   is made, used and finished by the same thread.
*/

#ifndef BW_CALLER_H
#define BW_CALLER_H

#include <stdbool.h>

#include "httpclient.h"

/* An answer over HTTP.  `body` is allocated and ended by a zero byte. */
typedef struct BwCallReply {
    uint32_t status; /* 0: no answer */
    bool is_sent;    /* false: the request surely had no effect */
    char *body;
    uint32_t body_bytes;
} BwCallReply;

typedef struct BwCaller {
    h2o_loop_t *loop;
    BwHttpClient client;
} BwCaller;

/* Returns false when `host` is not an IP number. */
bool
BwCaller_Init(BwCaller *caller, const char *host, uint16_t port);

void
BwCaller_Finish(BwCaller *caller);

/* Sends a request with a JSON body and waits up to `timeout_us`.  `headers` is
   empty or whole lines, each ended by CR LF.  Returns the status, 0 without an
   answer.  free() reply->body. */
uint32_t
BwCaller_Call(BwCaller *caller, const char *method, const char *path,
              const char *headers, BwSpan body, uint64_t timeout_us,
              BwCallReply *reply);

#endif
