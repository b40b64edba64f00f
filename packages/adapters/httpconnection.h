/* httpconnection.h -- connections of an HTTP server in the account

   Charges to the account what h2o holds for a connection: its input buffer,
   the bodies of its HTTP/2 streams, requests that await their reply, replies,
   and what the system has received behind a request.  httpserver.c is its
   user.
*/

#ifndef BW_HTTPCONNECTION_H
#define BW_HTTPCONNECTION_H

#include <h2o.h>

#include "account.h"

typedef struct BwHttpConnection BwHttpConnection;
typedef struct BwHttpConnections BwHttpConnections;

/* The connections of one server. */
struct BwHttpConnections {
    BwAccount *account; /* NULL: nothing is charged */
    BwShareKind kind;
    h2o_context_t *context;
    size_t body_bytes_max;
    BwHttpConnection *changed; /* examined at the end of the turn */
    uint32_t round;            /* of counting the streams */
    uint64_t unexamined_bytes; /* HTTP/2 input since the last examination */
    h2o_timeout_t turn;
    h2o_timeout_entry_t turn_entry;
    /* Ends a request that awaits its reply, with its connection. */
    void (*drop)(void *request);
};

/* Begins to charge the connections of `context` to the account. */
void
BwHttpConnections_Init(BwHttpConnections *connections, h2o_context_t *context,
                       size_t body_bytes_max, BwAccount *account,
                       BwShareKind kind, void (*drop)(void *request));

/* Examines the connections that have changed.  A tick calls it as well, since
   h2o's timer is late when the wall clock was set back. */
void
BwHttpConnections_Settle(BwHttpConnections *connections);

/* Gives an accepted connection to h2o and charges for it. */
void
BwHttpConnections_Accept(BwHttpConnections *connections, h2o_socket_t *sock,
                         h2o_accept_ctx_t *accept);

/* Returns the connection of a request, or NULL if it is not charged for. */
BwHttpConnection *
BwHttpConnection_Of(const BwHttpConnections *connections, h2o_req_t *req);

/* A whole request was read; `request` is passed to drop().  Stores in
   *kept_bytes what it is charged.  Returns false when it has to be refused.
   BwHttpConnection_End must follow in either case. */
bool
BwHttpConnection_Begin(BwHttpConnection *connection, h2o_req_t *req,
                       void *request, uint64_t *kept_bytes);

/* The request is replied to, with `bytes`. */
void
BwHttpConnection_Reply(BwHttpConnection *connection, uint64_t bytes,
                       uint64_t *kept_bytes);

/* H2o has freed the request. */
void
BwHttpConnection_End(BwHttpConnection *connection, uint64_t kept_bytes);

/* More input has arrived behind the request that awaits its reply.  May end
   it. */
void
BwHttpConnection_OnUnread(BwHttpConnection *connection);

#endif
