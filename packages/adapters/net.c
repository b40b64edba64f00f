/* net.c -- socket addresses and listening sockets on an h2o loop */

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define LISTEN_BACKLOG 1024
/* Accepted sockets inherit it.  Linux reserves twice as much. */
#define RECEIVE_BUFFER_BYTES 65536

socklen_t
BwNet_Parse(const char *host, uint16_t port, struct sockaddr_storage *address)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)address;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;

    memset(address, 0, sizeof(*address));
    if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
        address->ss_family = AF_INET;
        v4->sin_port = htons(port);
        return sizeof(*v4);
    }
    if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
        address->ss_family = AF_INET6;
        v6->sin6_port = htons(port);
        return sizeof(*v6);
    }
    return 0;
}

bool
BwNet_SplitAddress(const char *address, char *host, size_t host_bytes,
                   uint16_t *port)
{
    const char *colon = strrchr(address, ':');
    size_t length = colon != NULL ? (size_t)(colon - address) : 0;
    unsigned long number;
    char *end;

    if (length == 0 || length >= host_bytes)
        return false;
    number = strtoul(colon + 1, &end, 10);
    if (end == colon + 1 || *end != '\0' || number > UINT16_MAX)
        return false;
    memcpy(host, address, length);
    host[length] = '\0';
    *port = (uint16_t)number;
    return true;
}

static uint16_t
local_port(int fd)
{
    struct sockaddr_storage address = {0};
    socklen_t length = sizeof(address);
    struct sockaddr *generic = (struct sockaddr *)&address;

    if (getsockname(fd, generic, &length) != 0)
        return 0;
    return (uint16_t)h2o_socket_getport(generic);
}

h2o_socket_t *
BwNet_Listen(h2o_loop_t *loop, const char *host, uint16_t *port,
             h2o_socket_cb cb, void *data)
{
    struct sockaddr_storage address = {0};
    socklen_t length = BwNet_Parse(host, *port, &address);
    h2o_socket_t *sock;
    int receive_bytes = RECEIVE_BUFFER_BYTES;
    int on = 1;
    int fd;

    if (length == 0) {
        errno = EINVAL;
        return NULL;
    }
    fd = socket(address.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return NULL;
    if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd, (struct sockaddr *)&address, length) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        int error = errno;

        close(fd);
        errno = error;
        return NULL;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    *port = local_port(fd);
    sock = h2o_evloop_socket_create(loop, fd, H2O_SOCKET_FLAG_DONT_READ);
    sock->data = data;
    h2o_socket_read_start(sock, cb);
    return sock;
}
