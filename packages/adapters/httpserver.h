/* httpserver.h -- HTTP/1.1 and HTTP/2 towards callers and operators, by h2o

   The owner gets one call for each whole request and replies at once or
   later.  An exchange lives until it is replied to; when the caller goes away
   first, on_abort tells the owner, who must not use the exchange again.  A
   caller that closes its side of an HTTP/1.1 connection has gone away.
*/

#ifndef BW_HTTPSERVER_H
#define BW_HTTPSERVER_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "messages.h"

typedef struct BwHttpServer BwHttpServer;

typedef struct BwExchange {
    BwHttpServer *server;
    h2o_req_t *req;
    BwSpan method;
    BwSpan path;  /* without the query */
    BwSpan query; /* without the question mark */
    BwSpan host;  /* that the caller names, with its port if it gave one */
    BwSpan body;
    void *data; /* the owner's */
    struct BwExchange **anchor;
    int watched_fd; /* of the connection; -1: h2o sees its end */
} BwExchange;

typedef struct BwHttpEvents {
    void (*on_request)(void *ctx, BwExchange *exchange);
    void (*on_abort)(void *ctx, BwExchange *exchange);
    /* A body over the limit; the owner replies with the refusal. */
    void (*on_too_large)(void *ctx, BwExchange *exchange);
} BwHttpEvents;

struct BwHttpServer {
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    h2o_socket_t *listener;
    int watch_fd; /* epoll over connections whose request waits */
    h2o_socket_t *watch;
    uint16_t port;
    const BwHttpEvents *events;
    void *ctx;
    uint32_t open_exchanges;
    bool is_closing; /* connections end with their next answer */
    size_t body_bytes_max;
};

/* Listens on host and port; port 0 takes a free one, found in server->port.
   A body over `body_bytes_max` goes to on_too_large; one over twice that is
   refused with status 413 before it is read.  Returns false with errno set. */
bool
BwHttpServer_Init(BwHttpServer *server, h2o_loop_t *loop, const char *host,
                  uint16_t port, size_t body_bytes_max,
                  const BwHttpEvents *events, void *ctx);

/* Accepts no further connection and asks open ones to end. */
void
BwHttpServer_Shutdown(BwHttpServer *server);

/* Finds a header by its lower-case name.  Returns an empty span if absent. */
BwSpan
BwExchange_Header(const BwExchange *exchange, const char *name);

/* Sends the whole reply and ends the exchange.  `body` is copied.
   `retry_after_s` 0 sends no Retry-After header. */
void
BwExchange_Reply(BwExchange *exchange, int status, const char *content_type,
                 BwSpan body, uint32_t retry_after_s);

#endif
