/* ideal.h -- response times of a trace without any cost of coordination

   A replay's report (report.c) compares the measured response times with these
   two schedules.
*/

#ifndef BW_IDEAL_H
#define BW_IDEAL_H

#include "trace.h"

/* Returns the time in microseconds that a job takes alone on `slots` idle
   slots, when its tasks start in order, each on the slot that is free first.
   Returns 0 when memory is short. */
uint64_t
BwIdeal_JobUs(const BwTraceJob *job, uint32_t slots);

/* Simulates the trace's jobs of `service` on one central queue over `slots`
   slots, ordered by priority, then arrival, without any delay of messages.
   Sets took_us[i] for each job i of the service to the time from its arrival
   to the end of its last task.  took_us has an item for each job of the trace,
   0 at first.  Returns false when memory is short. */
bool
BwIdeal_CentralQueue(const BwTrace *trace, const char *service, uint32_t slots,
                     uint64_t *took_us);

#endif
