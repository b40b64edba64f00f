/* owners.h -- routing table of an entry: which agent holds which arc

   By default an arc is held by the agent that it is named after.  The table
   has only the arcs that another agent has taken over.  A stale row costs one
   message: the agent answers with the owner that it knows, and the job is sent
   there.  entry.c uses the table.
*/

#ifndef BW_OWNERS_H
#define BW_OWNERS_H

#include <uthash.h>

#include "peers.h"

/* An arc that is held by an agent other than the one it is named after. */
typedef struct BwArcOwner {
    char arc[BW_NAME_BYTES_MAX];
    char owner[BW_NAME_BYTES_MAX];
    UT_hash_handle hh;
} BwArcOwner;

typedef struct BwOwners {
    BwArcOwner *table; /* hash by arc; at most one row for each agent */
} BwOwners;

void
BwOwners_Finish(BwOwners *owners);

/* Returns the name of the arc that the job's key lies on; it is empty without
   a ring. */
BwSpan
BwOwners_ArcOf(const BwRing *ring, BwJobId job);

/* Records that `owner` holds the arc.  An empty `owner`, or the agent that the
   arc is named after, removes the row.  An arc that is not in the ring is
   ignored. */
void
BwOwners_Set(BwOwners *owners, const BwRing *ring, BwSpan arc, BwSpan owner);

/* Finds the agent to send the job to.  That is the known owner of its arc, or
   else the agent that the arc is named after; if both are proved gone, the
   same holds for the arc of that agent's guardian, and so on.  Sets *reason to
   a static string for the log line.  Returns NULL when there is none. */
BwPeer *
BwOwners_FindAgent(const BwOwners *owners, const BwRing *ring, BwPeers *peers,
                   BwJobId job, const char **reason);

#endif
