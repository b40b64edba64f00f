/* httpclient.h -- HTTP/1.1 client for one address

   Built on h2o's client, with a pool of persistent connections.  It is used
   for requests to backend servers, workers and the platform's log and store,
   and by the command line.
*/

#ifndef BW_HTTPCLIENT_H
#define BW_HTTPCLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>
#include <h2o/http1client.h>

#include "messages.h"

typedef enum BwHttpOutcome {
    BW_HTTP_ANSWERED,  /* the reply is complete, whatever its status */
    BW_HTTP_NOT_SENT,  /* no byte of the request left this process */
    BW_HTTP_BROKEN,    /* sent; the reply broke off or is too large */
    BW_HTTP_TIMED_OUT, /* sent; no complete reply by the deadline */
} BwHttpOutcome;

typedef struct BwHttpReply {
    BwHttpOutcome outcome;
    /* With BW_HTTP_NOT_SENT: the connection failed before the deadline.
       Nobody listens at the address, or it cannot be reached. */
    bool is_refused;
    uint32_t status;
    BwSpan body; /* valid until the callback returns */
} BwHttpReply;

typedef void (*BwHttpCallback)(void *data, const BwHttpReply *reply);

typedef struct BwHttpClient {
    h2o_http1client_ctx_t context;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
    h2o_timeout_t io_timeout;
    h2o_socketpool_t pool;
    char authority[80]; /* host and port, for the Host header */
    uint32_t reply_bytes_max;
    uint32_t active_count;
    uint64_t progress_us;     /* see BwHttpClient_AllowProgress */
    struct BwHttpCall *calls; /* calls in progress */
} BwHttpClient;

/* Sets up a client that opens at most `connections_max` connections and
   accepts replies of at most `reply_bytes_max` bytes.  Returns false when
   `host` is not a numeric IP address. */
bool
BwHttpClient_Init(BwHttpClient *client, h2o_loop_t *loop, const char *host,
                  uint16_t port, uint32_t connections_max,
                  uint32_t reply_bytes_max);

/* Uses TLS for all connections.  The server's certificate must carry `name`,
   which is copied; `context` must live as long as the client. */
void
BwHttpClient_UseTls(BwHttpClient *client, SSL_CTX *context, const char *name);

/* Lets an answer that is arriving take longer than its call's deadline: after
   each part, up to `progress_us` until the next one.  So a deadline can be
   short enough to notice a silent server, and a large answer still arrives
   whole.  0 is the default: the deadline holds for the whole answer. */
void
BwHttpClient_AllowProgress(BwHttpClient *client, uint64_t progress_us);

/* Cancels the calls in progress without their callbacks and closes the
   connections. */
void
BwHttpClient_Finish(BwHttpClient *client);

/* Sends a request.  Texts are copied.  `headers` is empty or complete lines,
   each ended by CR LF.  BwHttpClient_Tick checks `deadline_us`, which is on
   the same clock as its `now_us`.  The callback is called exactly once, unless
   BwHttpClient_Finish comes first; it may be called before this function
   returns. */
void
BwHttpClient_Send(BwHttpClient *client, const char *method, BwSpan path,
                  const char *headers, BwSpan body, uint64_t deadline_us,
                  BwHttpCallback callback, void *data);

/* Returns whether an answer has begun to arrive and is not complete. */
bool
BwHttpClient_IsReceiving(const BwHttpClient *client);

/* Ends the calls whose deadline has passed. */
void
BwHttpClient_Tick(BwHttpClient *client, uint64_t now_us);

#endif
