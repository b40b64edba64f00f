/* linger.h -- takes what a client still sends after it was refused

   A socket that is closed with unread input resets the connection, and the
   client loses a reply that it has not read yet.  A refusal at the head of a
   request therefore keeps a second descriptor of the connection, which reads
   and discards the rest for a while after h2o has closed its own.  These
   connections are in the account like others.
*/

#ifndef BW_LINGER_H
#define BW_LINGER_H

#include <h2o.h>

#include "account.h"

typedef struct BwLingers {
    h2o_loop_t *loop;
    BwAccount *account;
    BwShareKind kind;
    struct BwLinger *list;
} BwLingers;

void
BwLingers_Init(BwLingers *lingers, h2o_loop_t *loop, BwAccount *account,
               BwShareKind kind);

/* Keeps the connection of the descriptor open until the client closes it, has
   sent `bytes_max` or BW_LINGER_US have passed.  Does nothing when there is no
   descriptor left. */
void
BwLingers_Add(BwLingers *lingers, int fd, uint64_t bytes_max);

#define BW_LINGER_US 2000000

/* Closes the connections whose time has passed. */
void
BwLingers_Tick(BwLingers *lingers, uint64_t now_us);

#endif
