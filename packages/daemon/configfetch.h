/* configfetch.h -- fetches the configuration in force from peers at start

   While the log does not answer, a process that starts sends a request for the
   configuration to each agent that its settings name (peers, the first
   BW_CONFIGFETCH_PEERS_MAX), every second until each has answered with one.
   The configuration is passed to the directory, which adopts it only if it is
   newer, and reads on from there when the log answers again.  So a process can
   start during an outage of the log, with a configuration that is as new as
   the newest of these peers.  main.c ticks it; agent.c answers the requests.
*/

#ifndef BW_CONFIGFETCH_H
#define BW_CONFIGFETCH_H

#include "link.h"
#include "messages.h"

#define BW_CONFIGFETCH_PEERS_MAX 8

typedef struct BwDaemon BwDaemon;

typedef struct BwConfigFetchPeer {
    BwLink link;
    BwDaemon *daemon;
    bool is_linked;   /* the link is open or being dialled */
    bool is_answered; /* a configuration is known, so no request is due */
    bool is_heard;    /* a message has arrived on the link */
    uint32_t offered_version; /* wire version of the next HELLO */
    uint64_t request_at_us;
} BwConfigFetchPeer;

typedef struct BwConfigFetch {
    BwConfigFetchPeer peers[BW_CONFIGFETCH_PEERS_MAX];
    BwLinkCounters counters;
} BwConfigFetch;

void
BwConfigFetch_Init(BwConfigFetch *config_fetch, uint64_t now_us);

void
BwConfigFetch_Tick(BwConfigFetch *config_fetch, BwDaemon *daemon,
                   uint64_t now_us);

void
BwConfigFetch_Finish(BwConfigFetch *config_fetch);

/* Answers the request of a configuration client with the configuration in
   force, if it is newer than the client's, and the ring, if requested. */
void
BwConfigFetch_Answer(BwDaemon *daemon, uint32_t peer,
                     const BwConfigRequest *request);

#endif
