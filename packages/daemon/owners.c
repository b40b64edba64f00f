/* owners.c -- routing table of an entry: which agent holds which arc

   Described in owners.h.
*/

#include <stdlib.h>
#include <string.h>

#include "owners.h"

void
BwOwners_Finish(BwOwners *owners)
{
    BwArcOwner *entry, *next;

    HASH_ITER(hh, owners->table, entry, next)
    {
        HASH_DEL(owners->table, entry);
        free(entry);
    }
}

BwSpan
BwOwners_ArcOf(const BwRing *ring, BwJobId job)
{
    int32_t index = BwRing_Find(ring, job);

    return BwSpan_FromString(index >= 0 ? ring->agents[index].name : "");
}

static BwArcOwner *
find_entry(const BwOwners *owners, const char *arc)
{
    BwArcOwner *entry;

    HASH_FIND_STR(owners->table, arc, entry);
    return entry;
}

void
BwOwners_Set(BwOwners *owners, const BwRing *ring, BwSpan arc, BwSpan owner)
{
    char name[BW_NAME_BYTES_MAX];
    BwArcOwner *entry;

    BwSpan_ToString(arc, name, sizeof(name));
    entry = find_entry(owners, name);
    if (BwSpan_Equal(arc, owner) || owner.size_bytes == 0) {
        if (entry != NULL)
            HASH_DEL(owners->table, entry);
        free(entry);
        return;
    }
    if (entry == NULL) {
        if (BwRing_IndexOf(ring, arc) < 0)
            return;
        entry = calloc(1, sizeof(BwArcOwner));
        if (entry == NULL)
            return;
        memcpy(entry->arc, name, sizeof(name));
        HASH_ADD_STR(owners->table, arc, entry);
    }
    BwSpan_ToString(owner, entry->owner, sizeof(entry->owner));
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
        const BwArcOwner *entry = find_entry(owners, arc);
        BwPeer *peer = NULL;

        if (entry != NULL)
            peer = BwPeers_FindAgent(peers, BwSpan_FromString(entry->owner));
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
