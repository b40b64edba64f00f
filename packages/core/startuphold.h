/* startuphold.h -- requests that arrive while no configuration is in force

   After the loss of all processes the store may answer seconds after the
   dispatchers have started.  Until then nothing is known of a request but how
   long its caller waits.  To refuse it costs the caller the request although
   it could still be served; to hold it to the end costs the time to go
   elsewhere.  So it is held for a share of its time and then refused, as not
   run.

   The load that this answers: every caller sends again after a restart, so
   those held come to the workers at once.  The most urgent go first, and of
   these the one that has waited longest; a request whose remaining time does
   not suffice is refused by the usual admission.

   Pure: no I/O, no clock.  The role in dispatchrole.c keeps the requests.
*/

#ifndef BW_STARTUPHOLD_H
#define BW_STARTUPHOLD_H

#include <stdint.h>

/* Returns until when a request is held that arrived at `arrived_us` from a
   caller that waits for `allowed_us`, 0 if it does not say.  `hold_permille`
   is the share of this time; 0: requests are not held. */
uint64_t
BwStartupHold_UntilUs(uint64_t arrived_us, uint64_t allowed_us,
                      uint32_t hold_permille);

/* What is known of a held request once there is a configuration. */
typedef struct BwHeldRequest {
    uint32_t priority; /* of its route; UINT32_MAX: it has none */
    uint64_t arrived_us;
} BwHeldRequest;

/* Returns below, at or above 0 as `left` is to be served before, with or after
   `right`. */
int
BwStartupHold_Compare(const BwHeldRequest *left, const BwHeldRequest *right);

#endif
