/* net.h -- socket addresses and listening sockets on an h2o loop

   Hosts are given as numeric IP addresses; names are not resolved.
*/

#ifndef BW_NET_H
#define BW_NET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

/* Parses a numeric IPv4 or IPv6 address.  Returns the length of *address, or 0
   when `host` is not a numeric address. */
socklen_t
BwNet_Parse(const char *host, uint16_t port, struct sockaddr_storage *address);

/* Splits "HOST:PORT" at its last colon.  Returns false when `address` has not
   this form, the port is over 65535, or the host and its terminating NUL need
   more than `host_bytes` bytes. */
bool
BwNet_SplitAddress(const char *address, char *host, size_t host_bytes,
                   uint16_t *port);

/* Opens a listening socket.  `cb` is called whenever connections can be
   accepted with h2o_evloop_socket_accept; `data` becomes the socket's data.
   Port 0 takes a free one; the port in use is returned in *port.  What the
   system receives for a connection before it is read is limited to 64 KB.
   Returns NULL, with errno set, on failure. */
h2o_socket_t *
BwNet_Listen(h2o_loop_t *loop, const char *host, uint16_t *port,
             h2o_socket_cb cb, void *data);

#endif
