/* acceptor.h -- takes connections from a listening socket while there is room

   With an account, connections are accepted only while their kind has
   descriptors left or idle connections that can be closed for them; otherwise
   they wait in the system's queue, and the socket is not polled until the next
   tick.  A process without descriptors would otherwise be woken without end by
   a socket that it cannot serve.
*/

#ifndef BW_ACCEPTOR_H
#define BW_ACCEPTOR_H

#include "account.h"
#include "net.h"

typedef struct BwAcceptor {
    h2o_socket_t *listener; /* NULL: closed */
    BwAccount *account;     /* NULL: accepts what the system has */
    BwShareKind kind;
    bool is_held;   /* by the owner */
    bool is_paused; /* for want of descriptors */
    /* Takes ownership of the connection. */
    void (*accepted)(void *ctx, h2o_socket_t *sock);
    void *ctx;
} BwAcceptor;

/* Listens on host and port; port 0 takes a free one, returned in *port.
   Returns false, with errno set, on failure. */
bool
BwAcceptor_Init(BwAcceptor *acceptor, h2o_loop_t *loop, const char *host,
                uint16_t *port,
                void (*accepted)(void *ctx, h2o_socket_t *sock), void *ctx);

/* Accounts for the connections that are accepted from now on; the owner makes
   each a holder of `kind`. */
void
BwAcceptor_SetAccount(BwAcceptor *acceptor, BwAccount *account,
                      BwShareKind kind);

/* Leaves new connections in the system's queue until BwAcceptor_Resume. */
void
BwAcceptor_Hold(BwAcceptor *acceptor);

void
BwAcceptor_Resume(BwAcceptor *acceptor);

/* Accepts again if there is room. */
void
BwAcceptor_Tick(BwAcceptor *acceptor);

bool
BwAcceptor_IsOpen(const BwAcceptor *acceptor);

void
BwAcceptor_Close(BwAcceptor *acceptor);

#endif
