/* linger.c -- takes what a client still sends after it was refused

   H2o removes a descriptor from its epoll set before it closes it, so that the
   second one gets the events of the connection alone.
*/

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utlist.h>

#include "clock.h"
#include "linger.h"

#define READ_BYTES 16384
#define READS_MAX 16 /* in one turn of the event loop */

typedef struct BwLinger {
    BwHolder holder;
    BwLingers *owner;
    h2o_socket_t *sock;
    uint64_t expires_us;
    uint64_t left_bytes;
    struct BwLinger *prev, *next;
} BwLinger;

static void
end(BwLinger *linger)
{
    BwHolder_Leave(&linger->holder);
    DL_DELETE(linger->owner->list, linger);
    h2o_socket_close(linger->sock);
    free(linger);
}

static void
evict(BwHolder *holder)
{
    end(H2O_STRUCT_FROM_MEMBER(BwLinger, holder, holder));
}

static void
on_readable(h2o_socket_t *sock, const char *err)
{
    BwLinger *linger = sock->data;
    char part[READ_BYTES];

    for (uint32_t i = 0; err == NULL && i < READS_MAX; i++) {
        ssize_t got =
            recv(h2o_socket_get_fd(sock), part, sizeof(part), MSG_DONTWAIT);

        if (got < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (got <= 0 || (uint64_t)got >= linger->left_bytes) {
            end(linger);
            return;
        }
        linger->left_bytes -= (uint64_t)got;
    }
    if (err != NULL)
        end(linger);
}

void
BwLingers_Init(BwLingers *lingers, h2o_loop_t *loop, BwAccount *account,
               BwShareKind kind)
{
    lingers->loop = loop;
    lingers->account = account;
    lingers->kind = kind;
    lingers->list = NULL;
}

void
BwLingers_Add(BwLingers *lingers, int fd, uint64_t bytes_max)
{
    int second_fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    uint64_t now_us = BwClock_Now();
    BwLinger *linger;

    if (second_fd < 0)
        return;
    linger = calloc(1, sizeof(*linger));
    if (linger == NULL) {
        close(second_fd);
        return;
    }
    linger->owner = lingers;
    linger->expires_us = now_us + BW_LINGER_US;
    linger->left_bytes = bytes_max;
    linger->sock = h2o_evloop_socket_create(lingers->loop, second_fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
    linger->sock->data = linger;
    h2o_socket_read_start(linger->sock, on_readable);
    DL_APPEND(lingers->list, linger);
    linger->holder.evict = evict;
    BwAccount_Join(lingers->account, &linger->holder, lingers->kind, now_us);
}

void
BwLingers_Tick(BwLingers *lingers, uint64_t now_us)
{
    BwLinger *linger, *next;

    DL_FOREACH_SAFE(lingers->list, linger, next)
    {
        if (now_us >= linger->expires_us)
            end(linger);
    }
}
