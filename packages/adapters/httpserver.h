/* httpserver.h -- HTTP/1.1 and HTTP/2 server for callers and operators

   Built on h2o.  The owner of the server gets one callback for each complete
   request and replies to it at once or later.  An exchange is valid until it
   is replied to; when the caller disconnects first, on_abort is called, after
   which the owner must not use the exchange.  A caller that closes its side of
   an HTTP/1.1 connection counts as disconnected.
*/

#ifndef BW_HTTPSERVER_H
#define BW_HTTPSERVER_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "acceptor.h"
#include "httpconnection.h"
#include "linger.h"
#include "messages.h"

typedef struct BwHttpServer BwHttpServer;

/* What is known of a request as long as h2o has its memory, in that memory. */
typedef struct BwRequestState {
    struct BwExchange *exchange;  /* NULL once it has ended */
    BwHttpConnection *connection; /* NULL: not charged for */
    uint64_t kept_bytes;          /* charged for the request */
} BwRequestState;

typedef struct BwExchange {
    BwHttpServer *server;
    h2o_req_t *req;
    BwSpan method;
    BwSpan path;  /* without the query */
    BwSpan query; /* without the question mark */
    BwSpan host;  /* as the caller names it, with the port if given */
    BwSpan body;
    void *data; /* for the owner's use */
    BwRequestState *state;
    int watched_fd; /* descriptor of the connection; -1: not watched */
} BwExchange;

typedef struct BwHttpEvents {
    void (*on_request)(void *ctx, BwExchange *exchange);
    /* The caller disconnected; the exchange is freed after the callback. */
    void (*on_abort)(void *ctx, BwExchange *exchange);
    /* The process holds too much for other clients to serve the request; the
       owner replies with an error.  Needed with an account only. */
    void (*on_no_room)(void *ctx, BwExchange *exchange);
} BwHttpEvents;

struct BwHttpServer {
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    BwAcceptor acceptor;
    BwHttpConnections connections;
    BwLingers lingers;
    int watch_fd; /* epoll set of connections whose request awaits a reply */
    h2o_socket_t *watch; /* watch_fd as a socket of the event loop */
    uint16_t port;
    const BwHttpEvents *events;
    void *ctx;
    uint32_t open_exchanges;    /* requests without a reply yet */
    bool is_closing;            /* a connection ends with its next reply */
    const char *too_large_body; /* of a reply with status 413, JSON */
};

/* Listens on host and port; port 0 takes a free one, found in server->port.
   A request with a body over `body_bytes_max` is refused with status 413, as
   soon as its head announces that or so much of it was read.  Returns false,
   with errno set, on failure.  `events` must live as long as the server. */
bool
BwHttpServer_Init(BwHttpServer *server, h2o_loop_t *loop, const char *host,
                  uint16_t port, size_t body_bytes_max,
                  const BwHttpEvents *events, void *ctx);

/* Charges the connections that are accepted from now on to a share of the
   account. */
void
BwHttpServer_SetAccount(BwHttpServer *server, BwAccount *account,
                        BwShareKind kind);

/* Accepts again if there is room; called in each tick when there is an
   account. */
void
BwHttpServer_Tick(BwHttpServer *server);

/* Leaves new connections in the system's queue until BwHttpServer_Accept: to
   their callers they are open, and their requests wait. */
void
BwHttpServer_Hold(BwHttpServer *server);

void
BwHttpServer_Accept(BwHttpServer *server);

/* Stops accepting connections and starts a graceful end of the open ones. */
void
BwHttpServer_Shutdown(BwHttpServer *server);

/* Stops listening, so that connections are refused; open ones stay.  The
   emulated processes end so, as far as their peers can see. */
void
BwHttpServer_Close(BwHttpServer *server);

/* Listens again on the port that BwHttpServer_Close left.  Returns false, with
   errno set, when that is in use. */
bool
BwHttpServer_Reopen(BwHttpServer *server, const char *host);

/* Breaks the connection of the exchange without a reply.  The exchange ends
   with on_abort, later. */
void
BwExchange_Break(BwExchange *exchange);

/* Finds a header by its lower-case name.  Returns an empty span if it is
   absent.  The value is valid as long as the exchange. */
BwSpan
BwExchange_Header(const BwExchange *exchange, const char *name);

/* Sends the complete reply and frees the exchange.  `content_type` and `body`
   are copied.  With `retry_after_s` 0 no Retry-After header is sent. */
void
BwExchange_Reply(BwExchange *exchange, int status, const char *content_type,
                 BwSpan body, uint32_t retry_after_s);

#endif
