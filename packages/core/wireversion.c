/* wireversion.c -- which wire version two processes of different builds speak

   Method and callers are described in wireversion.h.
*/

#include <stdbool.h>

#include "wireversion.h"

static bool
is_spoken(uint32_t version)
{
    return version >= BW_WIRE_VERSION_MIN && version <= BW_WIRE_VERSION;
}

uint32_t
BwWireVersion_Answer(const BwHello *offer)
{
    uint32_t highest = offer->wire_version > offer->wire_version_max
                           ? offer->wire_version
                           : offer->wire_version_max;

    if (highest > BW_WIRE_VERSION)
        highest = BW_WIRE_VERSION;
    return is_spoken(highest) ? highest : 0;
}

uint32_t
BwWireVersion_Settle(const BwHello *answer)
{
    return is_spoken(answer->wire_version) ? answer->wire_version : 0;
}

uint32_t
BwWireVersion_NextOffer(uint32_t offered)
{
    return offered > BW_WIRE_VERSION_MIN && offered <= BW_WIRE_VERSION
               ? offered - 1
               : BW_WIRE_VERSION;
}
