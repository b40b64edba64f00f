/* account.h -- what clients make a process hold: bytes and descriptors

   A process has one account.  Every connection that it has accepted is a
   holder in it, with the bytes that it makes the process hold: input that was
   read, requests that await their reply, replies that were not taken, and what
   the system has received for it.  The account compares their sums with the
   limits of the machine and closes connections when a sum is over.

   Each kind of client has a share of both sums, so that one cannot use up what
   another needs.  The remainder is for the process itself: its state, its log
   and the connections that it opens.

   A holder's bytes are kept or loose.  Kept bytes are those of requests that
   were admitted; they stay until the request has ended, and a request that
   would take too many of them is not admitted.  All other bytes are loose.
   When a share is full, the connections that hold more loose bytes than an
   equal part of the room are closed, first the one with the largest excess
   over the longest time.  A client that has just arrived and holds little is
   thus never closed for the sake of those that hold much.  When the
   descriptors of a share are used up, a connection without a request under way
   is closed: first those that were not served within a second, then the
   others, the longest idle first.

   The account knows no sockets; httpconnection.h and link.h are its users.
*/

#ifndef BW_ACCOUNT_H
#define BW_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "counters.h"
#include "log.h"

/* The kinds of clients. */
typedef enum BwShareKind {
    BW_SHARE_CALLERS,
    BW_SHARE_OPERATORS, /* readiness and metrics */
    BW_SHARE_WORKERS,   /* heartbeats */
    BW_SHARE_PEERS,     /* other processes of the system */
    BW_SHARE_COUNT
} BwShareKind;

/* What was done to a client for want of room. */
typedef enum BwRejection {
    BW_CLOSED_FOR_BYTES,
    BW_CLOSED_FOR_DESCRIPTORS,
    BW_REQUEST_NOT_ADMITTED,
    BW_ACCEPT_PAUSED, /* until the next tick with room */
    BW_REJECTION_COUNT
} BwRejection;

typedef struct BwAccount BwAccount;
typedef struct BwHolder BwHolder;

/* One accepted connection; part of the owner's struct. */
struct BwHolder {
    BwAccount *account; /* NULL: not in an account */
    BwShareKind kind;
    uint64_t kept_bytes;
    uint64_t loose_bytes;
    uint64_t since_us; /* accepted, idle, or reading the message since then */
    bool is_busy;      /* not closed when descriptors are used up */
    bool was_served;
    bool is_evicted;
    /* Closes the connection, at once or in the next turn of the event loop.
       The holder leaves the account when the descriptor is closed. */
    void (*evict)(BwHolder *holder);
    BwHolder *prev, *next;
};

typedef struct BwShare {
    uint64_t bytes_max;
    uint32_t descriptors_max;
    uint64_t kept_bytes;
    uint64_t loose_bytes;
    uint32_t descriptors;
    uint32_t leaving;  /* of these, evicted and not closed yet */
    uint32_t replaced; /* closed for others since the last tick */
    uint32_t kept_count;
    BwHolder *holders;
    uint64_t rejections[BW_REJECTION_COUNT];
    uint64_t logged[BW_REJECTION_COUNT];
} BwShare;

struct BwAccount {
    BwShare shares[BW_SHARE_COUNT];
    uint64_t bytes_max;
    uint32_t descriptors;     /* of the process */
    uint32_t descriptors_max; /* of these, for sockets */
    uint32_t kinds;           /* bit set of the kinds that have a share */
    uint64_t logged_us;
    bool has_rejected; /* since the last line in the log */
};

/* Gives `memory_bytes` and `descriptors` of the machine to the kinds of the
   bit set `kinds`.  `descriptors` is lowered to RLIMIT_NOFILE. */
void
BwAccount_Init(BwAccount *account, uint64_t memory_bytes, uint32_t descriptors,
               uint32_t kinds);

/* Adds an accepted connection, and closes others of its kind while there are
   too many descriptors.  `evict` must be set. */
void
BwAccount_Join(BwAccount *account, BwHolder *holder, BwShareKind kind,
               uint64_t now_us);

/* Returns whether another connection of the kind can be accepted now.  Between
   two ticks only a part of the connections is closed for others, so that each
   lasts long enough to send a request, and clients that come back at once do
   not take the processor time. */
bool
BwAccount_HasRoom(const BwAccount *account, BwShareKind kind);

/* Connections of the kind wait to be accepted. */
void
BwAccount_OnPaused(BwAccount *account, BwShareKind kind);

/* The system refused a descriptor: the limit is read again, and connections
   are closed until the shares are kept. */
void
BwAccount_OnExhausted(BwAccount *account, uint64_t now_us);

/* Closes connections while a share is over its bytes.  May close the one that
   the caller is working on. */
void
BwAccount_Settle(BwAccount *account, BwShareKind kind, uint64_t now_us);

/* Settles all shares, returns freed memory to the system, and logs what was
   closed since the last line, at most once a second. */
void
BwAccount_Tick(BwAccount *account, uint64_t now_us, const BwLogger *logger);

/* Appends the metrics to a list as BwCounters_Add does.  Returns the new
   count. */
uint32_t
BwAccount_Counters(const BwAccount *account, BwCounter *counters,
                   uint32_t count, uint32_t capacity);

/* Sets the loose bytes; nothing is closed before the next BwAccount_Settle.
   These functions do nothing for a holder without an account. */
void
BwHolder_SetLoose(BwHolder *holder, uint64_t bytes);

/* Admits a request whose body and parsed form hold `bytes`.  Returns false
   when it has to be refused. */
bool
BwHolder_Admit(BwHolder *holder, uint64_t bytes);

/* Adds to the bytes of an admitted request, as for its reply. */
void
BwHolder_Keep(BwHolder *holder, uint64_t bytes);

/* Releases bytes that were admitted or kept. */
void
BwHolder_Release(BwHolder *holder, uint64_t bytes);

void
BwHolder_Leave(BwHolder *holder);

#endif
