/* owners.c -- routing table of an entry: which agent holds which arc

   Described in owners.h.
*/

#include <stdlib.h>
#include <string.h>

#include "owners.h"

void
BwOwners_Finish(BwOwners *owners)
{
    BwArcOwner *row, *next;

    HASH_ITER(hh, owners->table, row, next)
    {
        HASH_DEL(owners->table, row);
        free(row);
    }
}

BwSpan
BwOwners_ArcOf(const BwRing *ring, BwJobId job)
{
    int32_t index = BwRing_Find(ring, job);

    return BwSpan_FromString(index >= 0 ? ring->agents[index].name : "");
}

static BwArcOwner *
find_row(const BwOwners *owners, const char *arc)
{
    BwArcOwner *row;

    HASH_FIND_STR(owners->table, arc, row);
    return row;
}

void
BwOwners_Set(BwOwners *owners, const BwRing *ring, BwSpan arc, BwSpan owner)
{
    char name[BW_NAME_BYTES_MAX];
    BwArcOwner *row;

    BwSpan_ToString(arc, name, sizeof(name));
    row = find_row(owners, name);
    if (BwSpan_Equal(arc, owner) || owner.size_bytes == 0) {
        if (row != NULL)
            HASH_DEL(owners->table, row);
        free(row);
        return;
    }
    if (row == NULL) {
        if (BwRing_IndexOf(ring, arc) < 0)
            return;
        row = calloc(1, sizeof(BwArcOwner));
        if (row == NULL)
            return;
        memcpy(row->arc, name, sizeof(name));
        HASH_ADD_STR(owners->table, arc, row);
    }
    BwSpan_ToString(owner, row->owner, sizeof(row->owner));
}

BwPeer *
BwOwners_FindAgent(const BwOwners *owners, const BwRing *ring, BwPeers *peers,
                   BwJobId job, const char **reason)
{
    int32_t first = BwRing_Find(ring, job);
    uint32_t candidate;

    *reason = "the key is on its arc";
    if (first < 0)
        return NULL;
    candidate = (uint32_t)first;
    for (uint32_t i = 0; i < ring->agent_count; i++) {
        const char *arc = ring->agents[candidate].name;
        const BwArcOwner *row = find_row(owners, arc);
        BwPeer *peer = NULL;

        if (row != NULL)
            peer = BwPeers_FindAgent(peers, BwSpan_FromString(row->owner));
        if (peer != NULL && !peer->is_proved_gone) {
            *reason = "it holds the key's arc for another agent";
            return peer;
        }
        peer = BwPeers_FindAgent(peers, BwSpan_FromString(arc));
        if (peer != NULL && !peer->is_proved_gone)
            return peer;
        *reason = "the agents before it are gone";
        candidate = BwRing_Guardian(ring, candidate);
    }
    return NULL;
}
