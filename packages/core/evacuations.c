/* evacuations.c -- the failure domains that operators want emptied, see
   evacuations.h

   Sets are small, so they are arrays that are searched from the start. */

#include <string.h>

#include "evacuations.h"

static int
find_domain(const BwEvacuations *evacuations, BwSpan domain)
{
    for (uint32_t i = 0; i < evacuations->domain_count; i++) {
        if (BwSpan_Equal(domain, BwSpan_FromString(evacuations->domains[i])))
            return (int)i;
    }
    return -1;
}

bool
BwEvacuations_Contains(const BwEvacuations *evacuations, BwSpan domain)
{
    return find_domain(evacuations, domain) >= 0;
}

bool
BwEvacuations_Equal(const BwEvacuations *left, const BwEvacuations *right)
{
    if (left->domain_count != right->domain_count)
        return false;
    for (uint32_t i = 0; i < left->domain_count; i++) {
        if (find_domain(right, BwSpan_FromString(left->domains[i])) < 0)
            return false;
    }
    return true;
}

void
BwEvacuations_List(BwEvacuations *evacuations, BwSpan domain)
{
    if (domain.size_bytes == 0 || domain.size_bytes >= BW_NAME_BYTES_MAX ||
        evacuations->domain_count == BW_EVACUATED_DOMAINS_MAX ||
        BwEvacuations_Contains(evacuations, domain))
        return;
    BwSpan_ToString(domain, evacuations->domains[evacuations->domain_count++],
                    BW_NAME_BYTES_MAX);
}

bool
BwEvacuations_Set(BwEvacuations *evacuations, uint64_t version, BwSpan domain,
                  bool is_evacuated)
{
    int index = find_domain(evacuations, domain);

    if (version <= evacuations->version)
        return false;
    if (is_evacuated) {
        BwEvacuations_List(evacuations, domain);
        if (!BwEvacuations_Contains(evacuations, domain))
            return false;
    }
    else if (index >= 0) {
        memmove(evacuations->domains[index],
                evacuations->domains[--evacuations->domain_count],
                BW_NAME_BYTES_MAX);
    }
    evacuations->version = version;
    return true;
}

bool
BwEvacuations_Replace(BwEvacuations *evacuations, const BwEvacuations *newer)
{
    if (newer->version <= evacuations->version)
        return false;
    *evacuations = *newer;
    return true;
}
