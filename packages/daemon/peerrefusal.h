/* peerrefusal.h -- tells operators of processes whose build is not spoken

   Two builds that have no wire version in common close their connection, and
   the process that dialled it tries again for as long as it runs.  Each is
   counted and one line in ten seconds names a peer, both versions and the
   remedy, so that an upgrade that stands still is seen and cannot flood the
   log.  mesh.c and peers.c call it.
*/

#ifndef BW_PEERREFUSAL_H
#define BW_PEERREFUSAL_H

#include "link.h"
#include "log.h"

typedef struct BwPeerRefusals {
    uint64_t logged_us; /* 0: not yet */
    uint32_t unlogged;  /* refusals since then */
} BwPeerRefusals;

/* Counts the refusal of the process that sent `hello`, and logs it unless a
   line was written a short time ago. */
void
BwPeerRefusals_Add(BwPeerRefusals *refusals, uint64_t now_us,
                   const BwHello *hello, BwLinkCounters *counters,
                   const BwLogger *logger);

#endif
