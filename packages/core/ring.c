/* ring.c -- which agent is the home of a job, and who guards which agent

   Jobs are assigned by consistent hashing.  Each agent has
   BW_RING_POINTS_PER_AGENT points on a circle of 64-bit positions, and a job
   belongs to the agent of the first point at or after the job's hash.  When an
   agent joins or leaves, only the keys next to its points move; a lookup is a
   binary search.  More points per agent make the arcs more even and cost 16
   bytes each.

   The guardian order is a second, separate circular list of the agents.  It
   spreads the agents of each failure domain evenly, starting with the largest
   domain, so that an agent and its guardian are in different failure domains
   as long as no domain holds more than half of the agents.

   An agent builds the ring from the membership records of the log.  The home,
   the executor, custody and the entry look up keys and guardians in it.
*/

#include <stdlib.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "brasswing.h"

BwJobId
BwJobId_Make(BwSpan member, BwSpan key)
{
    XXH3_state_t state;
    XXH128_hash_t hash;
    BwJobId id;

    XXH3_INITSTATE(&state);
    XXH3_128bits_reset(&state);
    XXH3_128bits_update(&state, &member.size_bytes, sizeof(uint32_t));
    XXH3_128bits_update(&state, member.base, member.size_bytes);
    XXH3_128bits_update(&state, key.base, key.size_bytes);
    hash = XXH3_128bits_digest(&state);
    id.high = hash.high64;
    id.low = hash.low64;
    return id;
}

bool
BwJobId_Equal(BwJobId a, BwJobId b)
{
    return a.high == b.high && a.low == b.low;
}

void
BwRing_Init(BwRing *ring)
{
    memset(ring, 0, sizeof(*ring));
}

void
BwRing_Finish(BwRing *ring)
{
    free(ring->agents);
    free(ring->points);
    free(ring->guardian_order);
    memset(ring, 0, sizeof(*ring));
}

/* Returns the index of `name` in the sorted agents, or the index at which to
   insert it. */
static uint32_t
find_index(const BwRing *ring, BwSpan name, bool *is_found)
{
    uint32_t low = 0;
    uint32_t high = ring->agent_count;
    char text[BW_NAME_BYTES_MAX];

    BwSpan_ToString(name, text, sizeof(text));
    *is_found = false;
    while (low < high) {
        uint32_t middle = (low + high) / 2;
        int order = strcmp(ring->agents[middle].name, text);

        if (order == 0) {
            *is_found = true;
            return middle;
        }
        if (order < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

BwErrorKind
BwRing_Put(BwRing *ring, const BwAgent *agent, uint64_t version)
{
    bool is_found;
    uint32_t index;

    index = find_index(ring, BwSpan_FromString(agent->name), &is_found);
    if (!is_found) {
        if (ring->agent_count == ring->agent_capacity) {
            uint32_t capacity =
                ring->agent_capacity ? ring->agent_capacity * 2 : 16;
            BwAgent *agents =
                realloc(ring->agents, capacity * sizeof(BwAgent));

            if (agents == NULL)
                return BW_ERR_NO_MEMORY;
            ring->agents = agents;
            ring->agent_capacity = capacity;
        }
        memmove(ring->agents + index + 1, ring->agents + index,
                (ring->agent_count - index) * sizeof(BwAgent));
        ring->agent_count++;
    }
    ring->agents[index] = *agent;
    if (ring->agents[index].joined_version == 0)
        ring->agents[index].joined_version = version;
    ring->version = version;
    return BW_OK;
}

void
BwRing_Remove(BwRing *ring, BwSpan name, uint64_t version)
{
    bool is_found;
    uint32_t index = find_index(ring, name, &is_found);

    if (is_found) {
        ring->removed_version = version;
        if (ring->agents[index].joined_version > ring->removed_joined_version)
            ring->removed_joined_version = ring->agents[index].joined_version;
        ring->agent_count--;
        memmove(ring->agents + index, ring->agents + index + 1,
                (ring->agent_count - index) * sizeof(BwAgent));
    }
    ring->version = version;
}

static int
compare_points(const void *left, const void *right)
{
    const BwRingPoint *a = left;
    const BwRingPoint *b = right;

    if (a->position != b->position)
        return a->position < b->position ? -1 : 1;
    return a->agent < b->agent ? -1 : a->agent > b->agent;
}

typedef struct OrderEntry {
    const char *domain;
    uint32_t agent;
    uint32_t rank;        /* position of the agent within its domain */
    uint32_t domain_size; /* number of agents in the domain */
} OrderEntry;

static int
compare_domains(const void *left, const void *right)
{
    const OrderEntry *a = left;
    const OrderEntry *b = right;
    int order = strcmp(a->domain, b->domain);

    if (order != 0)
        return order;
    return a->agent < b->agent ? -1 : a->agent > b->agent;
}

/* Spreads each domain evenly over the circle: the agent of rank r in a domain
   of n agents comes at position (r + 1/2) / n of it.  The comparison avoids
   fractions by multiplying both positions by 2 and both domain sizes. */
static int
compare_ranks(const void *left, const void *right)
{
    const OrderEntry *a = left;
    const OrderEntry *b = right;
    uint64_t x = (uint64_t)(2 * a->rank + 1) * b->domain_size;
    uint64_t y = (uint64_t)(2 * b->rank + 1) * a->domain_size;

    if (x != y)
        return x < y ? -1 : 1;
    return compare_domains(left, right);
}

static BwErrorKind
build_guardian_order(BwRing *ring)
{
    uint32_t count = ring->agent_count;
    OrderEntry *entries = calloc(count + 1, sizeof(OrderEntry));
    uint32_t first = 0;

    if (entries == NULL)
        return BW_ERR_NO_MEMORY;
    for (uint32_t i = 0; i < count; i++) {
        entries[i].domain = ring->agents[i].domain;
        entries[i].agent = i;
    }
    qsort(entries, count, sizeof(OrderEntry), compare_domains);
    for (uint32_t i = 1; i <= count; i++) {
        if (i < count && strcmp(entries[i].domain, entries[first].domain) == 0)
            continue;
        for (uint32_t j = first; j < i; j++) {
            entries[j].rank = j - first;
            entries[j].domain_size = i - first;
        }
        first = i;
    }
    qsort(entries, count, sizeof(OrderEntry), compare_ranks);
    for (uint32_t i = 0; i < count; i++)
        ring->guardian_order[i] = entries[i].agent;
    free(entries);
    return BW_OK;
}

BwErrorKind
BwRing_Build(BwRing *ring)
{
    uint32_t count = ring->agent_count * BW_RING_POINTS_PER_AGENT;
    BwRingPoint *points = calloc(count + 1, sizeof(BwRingPoint));
    uint32_t *guardian_order = calloc(ring->agent_count + 1, sizeof(uint32_t));

    if (points == NULL || guardian_order == NULL) {
        free(points);
        free(guardian_order);
        return BW_ERR_NO_MEMORY;
    }
    for (uint32_t i = 0; i < count; i++) {
        const BwAgent *agent = &ring->agents[i / BW_RING_POINTS_PER_AGENT];

        points[i].agent = i / BW_RING_POINTS_PER_AGENT;
        points[i].position = XXH3_64bits_withSeed(
            agent->name, strlen(agent->name), i % BW_RING_POINTS_PER_AGENT);
    }
    qsort(points, count, sizeof(BwRingPoint), compare_points);
    free(ring->points);
    free(ring->guardian_order);
    ring->points = points;
    ring->guardian_order = guardian_order;
    return build_guardian_order(ring);
}

int32_t
BwRing_Find(const BwRing *ring, BwJobId job)
{
    uint32_t low = 0;
    uint32_t high = ring->agent_count * BW_RING_POINTS_PER_AGENT;
    uint32_t count = high;

    if (count == 0)
        return -1;
    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (ring->points[middle].position < job.high)
            low = middle + 1;
        else
            high = middle;
    }
    return (int32_t)ring->points[low % count].agent;
}

uint32_t
BwRing_Guardian(const BwRing *ring, uint32_t agent)
{
    for (uint32_t i = 0; i < ring->agent_count; i++) {
        if (ring->guardian_order[i] == agent)
            return ring->guardian_order[(i + 1) % ring->agent_count];
    }
    return agent;
}

int32_t
BwRing_IndexOf(const BwRing *ring, BwSpan name)
{
    bool is_found;
    uint32_t index = find_index(ring, name, &is_found);

    return is_found ? (int32_t)index : -1;
}
