/* link.h -- one TCP connection between two processes of the system

   A link carries the frames of wire.h, over TLS or plain TCP.  Messages sent
   while a write is in progress are buffered and leave together in the next
   write.  The owner of a link allocates and frees the BwLink; BwLink_Close
   releases the connection and the buffers and may be called from the link's
   own callbacks.
*/

#ifndef BW_LINK_H
#define BW_LINK_H

#include <msgpack.h>
#include <stdbool.h>

#include <h2o.h>

#include "account.h"
#include "counters.h"
#include "messages.h"

/* Send buffer beyond which BwLink_Send refuses further messages. */
#define BW_LINK_PENDING_BYTES_MAX (16u * 1024 * 1024)
/* Input that an accepted link may send before it is trusted. */
#define BW_LINK_UNTRUSTED_BYTES_MAX 8192

typedef struct BwLink BwLink;

typedef enum BwLinkEnd {
    BW_LINK_REFUSED, /* no process listens at the address */
    BW_LINK_LOST,    /* an open connection ended or a frame was malformed */
    BW_LINK_FAILED,  /* not opened for another reason; a process may listen */
} BwLinkEnd;

typedef struct BwLinkEvents {
    void (*opened)(BwLink *link);
    /* The message and its data are valid until the callback returns. */
    void (*received)(BwLink *link, const BwMessage *message);
    /* The connection has ended and the link is closed already.  Not called
       after BwLink_Close. */
    void (*ended)(BwLink *link, BwLinkEnd end);
} BwLinkEvents;

/* TLS contexts for accepted (server) and outgoing (client) connections; NULL
   means plain TCP. */
typedef struct BwLinkTls {
    SSL_CTX *server;
    SSL_CTX *client;
    const char *name; /* expected in the server's certificate */
} BwLinkTls;

typedef struct BwLinkCounters {
    uint64_t messages_sent;
    uint64_t messages_received;
    uint64_t bytes_sent;
    uint64_t bytes_received;
    uint64_t messages_skipped;  /* of an unknown kind, among those received */
    uint64_t messages_withheld; /* that the version of the peer lacks */
    uint64_t peers_refused;     /* for their wire version */
} BwLinkCounters;

/* Appends the counters to a list as BwCounters_Add does.  Returns the new
   count. */
uint32_t
BwLinkCounters_List(const BwLinkCounters *links, BwCounter *counters,
                    uint32_t count, uint32_t capacity);

struct BwLink {
    h2o_socket_t *sock;
    const BwLinkEvents *events;
    void *data; /* for the owner's use */
    BwLinkCounters *counters;
    msgpack_sbuffer pending; /* messages for the next write */
    msgpack_sbuffer writing; /* bytes of the write in progress */
    const BwLinkTls *tls;
    /* In which messages are written and read; the owner sets it when the
       HELLO of the other side has settled it. */
    uint32_t wire_version;
    BwHolder holder; /* of an accepted link with an account */
    bool is_trusted; /* the other side has sent a HELLO that was accepted */
    bool is_open;    /* connected, and the TLS handshake is done */
    bool is_closed;
};

/* Starts to connect to `address`.  `events`, `counters` and `tls` must live as
   long as the link.  Returns false, with *end set, when the attempt failed at
   once; the link is then closed and no callback follows. */
bool
BwLink_Dial(BwLink *link, h2o_loop_t *loop, struct sockaddr *address,
            socklen_t length, const BwLinkEvents *events, void *data,
            BwLinkCounters *counters, const BwLinkTls *tls, BwLinkEnd *end);

/* Takes ownership of an accepted connection.  A failed TLS handshake ends it
   with BW_LINK_FAILED. */
void
BwLink_Accept(BwLink *link, h2o_socket_t *sock, const BwLinkEvents *events,
              void *data, BwLinkCounters *counters, const BwLinkTls *tls);

/* Charges an accepted link to the peers' share of the account, which may close
   it as if the connection had ended.  Until BwLink_Trust it may send no more
   than a HELLO, and is closed first when descriptors are used up. */
void
BwLink_SetAccount(BwLink *link, BwAccount *account);

/* The other side has introduced itself. */
void
BwLink_Trust(BwLink *link);

/* Queues a message, which is copied; one that the link's wire version lacks is
   dropped.  Returns false when the link is closed,
   memory is short, a receiver would refuse the message as too large, or more
   than BW_LINK_PENDING_BYTES_MAX bytes wait for the next write. */
bool
BwLink_Send(BwLink *link, const BwMessage *message);

/* Ends the connection without a callback.  Does nothing on a closed link. */
void
BwLink_Close(BwLink *link);

#endif
