/* net.h -- listening and dialling by IP number on an h2o loop */

#ifndef BW_NET_H
#define BW_NET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

/* Parses an IPv4 or IPv6 number.  Returns the length of the address, or 0
   when `host` is not a number. */
socklen_t
BwNet_Parse(const char *host, uint16_t port, struct sockaddr_storage *address);

/* Splits "HOST:PORT".  Returns false when it is none, or the host has no room
   in `host_bytes` bytes. */
bool
BwNet_SplitAddress(const char *address, char *host, size_t host_bytes,
                   uint16_t *port);

/* Opens a listening socket and calls `cb` for each connection that can be
   accepted with h2o_evloop_socket_accept.  Port 0 takes a free one; the port
   is returned in *port.  Returns NULL with errno set. */
h2o_socket_t *
BwNet_Listen(h2o_loop_t *loop, const char *host, uint16_t *port,
             h2o_socket_cb cb, void *data);

#endif
