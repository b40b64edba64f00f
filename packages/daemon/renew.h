/* renew.h -- appends records again before the log's retention drops them

   A process that starts must find in the log all that the others know: the
   configuration in force, and a join of each agent of the ring, also of one
   that is down.  An agent renews its own join.  All other records are renewed
   by the agent whose name comes first in the ring.  Each next agent waits
   BW_RENEW_RANK_DELAY_US longer, so that renewal goes on when the ones before
   it are down; usually one agent appends and the others read its renewal in
   time.  A second renewal is harmless.

   A renewal of a join states the version of the ring that its author had read.
   A reader that has read a newer join, or a leave, of that name ignores it.

   directory.c calls these functions on the directory's thread.
*/

#ifndef BW_RENEW_H
#define BW_RENEW_H

#include "directory.h"

#define BW_RENEW_RANK_DELAY_US 1000000

void
BwRenew_Init(BwDirectory *directory);

void
BwRenew_Finish(BwDirectory *directory);

/* A join was read at `offset`; `version` is 0 unless it is a renewal.  Returns
   false when the renewal is out of date and must be ignored. */
bool
BwRenew_OnJoin(BwDirectory *directory, const BwAgent *agent, uint64_t offset,
               uint64_t version);

void
BwRenew_OnLeave(BwDirectory *directory, BwSpan name, uint64_t offset);

/* The renewal `record` of the configuration was read and is the newest. */
void
BwRenew_OnConfigRenewal(BwDirectory *directory, const json_t *record);

/* Appends the renewals that are due, if this process is an agent. */
void
BwRenew_Tick(BwDirectory *directory, uint64_t now_us);

#endif
