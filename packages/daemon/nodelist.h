/* nodelist.h -- the list of entries and agents that one process knows

   Called by main.c for GET /v1/nodes.  Each process replies from its own
   peers, so that no process has to collect all of them; two processes may
   differ for as long as a change takes to reach both.
*/

#ifndef BW_NODELIST_H
#define BW_NODELIST_H

#include "daemon.h"

/* Replies with {"nodes": [...]}: this process first, then the agents of the
   ring, and on an agent the entries that are connected to it. */
void
BwNodeList_Serve(BwDaemon *daemon, BwExchange *exchange);

#endif
