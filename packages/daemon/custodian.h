/* custodian.h -- connects custody and recovery of an agent to its peers

   Custody of an arc is the right to grant starts for its jobs.  The state
   machines of the core (custody.c, recovery.c, fence.c) decide; this module
   sends and receives their messages, calls their timers, and reports to them
   which agents are proved gone.  At a planned stop it hands custody and then
   the ledger to the guardian.  agent.c calls it.
*/

#ifndef BW_CUSTODIAN_H
#define BW_CUSTODIAN_H

#include "custody.h"
#include "daemon.h"

typedef struct BwCustodian {
    BwDaemon *daemon;
    BwHome *home;
    BwExecutor *executor;
    BwCustody custody;
    uint64_t next_broadcast_us;
    uint64_t next_tick_us;
    bool is_hand_over_sent;  /* at a planned stop: the ledger was sent */
    bool is_hand_over_acked; /* the guardian has stored all of that ledger */
    uint64_t retention_us;   /* longest life of a job, with its answer */
    /* The peer that is handing over its ledger to this agent, and how many of
       its entries were stored. */
    uint32_t hand_over_peer;
    uint32_t hand_over_received;
} BwCustodian;

/* `home` and `executor` are initialized already and must outlive the
   custodian. */
void
BwCustodian_Init(BwCustodian *custodian, BwDaemon *daemon, BwHome *home,
                 BwExecutor *executor);

void
BwCustodian_Finish(BwCustodian *custodian);

/* Passes the changed ring of the daemon to custody, home and executor. */
void
BwCustodian_OnRing(BwCustodian *custodian);

/* Handles a message of custody, recovery or hand-over.  Returns false for any
   other message. */
bool
BwCustodian_OnMessage(BwCustodian *custodian, uint32_t peer,
                      const BwMessage *message);

void
BwCustodian_OnPeerUp(BwCustodian *custodian, BwPeer *peer);

void
BwCustodian_OnPeerDown(BwCustodian *custodian, BwPeer *peer, bool is_gone);

/* Sends the guardian a notice that a job, which expires after `expires_in_us`,
   is about to run on the local host.  The guardian's acknowledgement goes to
   the home. */
void
BwCustodian_SendLocalRunNotice(BwCustodian *custodian, BwJobId job,
                               uint64_t expires_in_us);

void
BwCustodian_Tick(BwCustodian *custodian, uint64_t now_us);

/* Begins to hand custody to the guardian.  BwCustodian_IsStopped then hands
   over the ledger. */
void
BwCustodian_Stop(BwCustodian *custodian);

/* Returns whether nothing is left to hand over.  Call it repeatedly after
   BwCustodian_Stop: once custody is released and no task runs here, it sends
   the ledger, and then waits for the acknowledgement. */
bool
BwCustodian_IsStopped(BwCustodian *custodian);

/* Returns the agent that holds the arc of the job, as far as is known; the
   span is empty without a ring. */
BwSpan
BwCustodian_OwnerOf(const BwCustodian *custodian, BwJobId job);

#endif
