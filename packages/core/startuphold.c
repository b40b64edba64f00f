/* startuphold.c -- requests that arrive while no configuration is in force,
   see startuphold.h */

#include "startuphold.h"

/* Most of a caller that does not say how long it waits. */
#define HOLD_DEFAULT_US 500000

uint64_t
BwStartupHold_UntilUs(uint64_t arrived_us, uint64_t allowed_us,
                      uint32_t hold_permille)
{
    if (hold_permille == 0)
        return arrived_us;
    if (allowed_us == 0)
        return arrived_us + HOLD_DEFAULT_US;
    return arrived_us + allowed_us / 1000 * hold_permille;
}

int
BwStartupHold_Compare(const BwHeldRequest *left, const BwHeldRequest *right)
{
    if (left->priority != right->priority)
        return left->priority < right->priority ? -1 : 1;
    if (left->arrived_us != right->arrived_us)
        return left->arrived_us < right->arrived_us ? -1 : 1;
    return 0;
}
