/* renewal.c -- when a record must be appended again

   The log keeps its records for a limited time or up to a limited number, and
   does not say which.  A limit on time is met by the deadline renew_at_us.  A
   limit on the number shows in `first`: once the log has dropped records, a
   copy in the older half of those that remain is renewed.  The agents call
   this for the configuration and for their own entry in the ring.
*/

#include "brasswing.h"

bool
BwRenewal_IsDue(const BwRenewal *renewal, uint64_t now_us, uint64_t first,
                uint64_t next)
{
    if (now_us >= renewal->renew_at_us)
        return true;
    return first > 0 && renewal->offset < first + (next - first) / 2;
}
