/* acceptor.c -- takes connections from a listening socket, see acceptor.h */

#include <errno.h>
#include <string.h>

#include "acceptor.h"
#include "clock.h"

/* Connections per turn of the event loop; their requests are read before more
   are accepted, so that a burst does not push them out again. */
#define ACCEPTS_MAX 32

static void
pause_listener(BwAcceptor *acceptor)
{
    acceptor->is_paused = true;
    h2o_socket_read_stop(acceptor->listener);
    BwAccount_OnPaused(acceptor->account, acceptor->kind);
}

static bool
is_exhausted(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS ||
           error == ENOMEM;
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    BwAcceptor *acceptor = listener->data;
    BwAccount *account = acceptor->account;

    if (err != NULL)
        return;
    for (uint32_t i = 0; i < ACCEPTS_MAX; i++) {
        h2o_socket_t *sock;

        if (account != NULL && !BwAccount_HasRoom(account, acceptor->kind)) {
            pause_listener(acceptor);
            return;
        }
        errno = 0;
        sock = h2o_evloop_socket_accept(listener);
        if (sock == NULL) {
            if (account != NULL && is_exhausted(errno)) {
                pause_listener(acceptor);
                BwAccount_OnExhausted(account, BwClock_Now());
            }
            return;
        }
        acceptor->accepted(acceptor->ctx, sock);
        if (acceptor->listener == NULL)
            return;
    }
}

bool
BwAcceptor_Init(BwAcceptor *acceptor, h2o_loop_t *loop, const char *host,
                uint16_t *port,
                void (*accepted)(void *ctx, h2o_socket_t *sock), void *ctx)
{
    acceptor->accepted = accepted;
    acceptor->ctx = ctx;
    acceptor->is_held = false;
    acceptor->is_paused = false;
    acceptor->listener = BwNet_Listen(loop, host, port, on_accept, acceptor);
    return acceptor->listener != NULL;
}

void
BwAcceptor_SetAccount(BwAcceptor *acceptor, BwAccount *account,
                      BwShareKind kind)
{
    acceptor->account = account;
    acceptor->kind = kind;
}

static void
update_listener(BwAcceptor *acceptor)
{
    bool is_reading;

    if (acceptor->listener == NULL)
        return;
    is_reading = h2o_socket_is_reading(acceptor->listener);
    if (acceptor->is_held && is_reading)
        h2o_socket_read_stop(acceptor->listener);
    else if (!acceptor->is_held && !acceptor->is_paused && !is_reading)
        h2o_socket_read_start(acceptor->listener, on_accept);
}

void
BwAcceptor_Hold(BwAcceptor *acceptor)
{
    acceptor->is_held = true;
    update_listener(acceptor);
}

void
BwAcceptor_Resume(BwAcceptor *acceptor)
{
    acceptor->is_held = false;
    update_listener(acceptor);
}

void
BwAcceptor_Tick(BwAcceptor *acceptor)
{
    if (!acceptor->is_paused)
        return;
    acceptor->is_paused =
        !BwAccount_HasRoom(acceptor->account, acceptor->kind);
    update_listener(acceptor);
}

bool
BwAcceptor_IsOpen(const BwAcceptor *acceptor)
{
    return acceptor->listener != NULL;
}

void
BwAcceptor_Close(BwAcceptor *acceptor)
{
    if (acceptor->listener != NULL)
        h2o_socket_close(acceptor->listener);
    acceptor->listener = NULL;
}
