/* workerlife.h -- which worker is at the address, and how its lives follow

   Functions of workerlife.c for workerlink.c.
*/

#ifndef BW_WORKERLIFE_H
#define BW_WORKERLIFE_H

#include "supervisor.h"

/* Whether another instance answered, or another life under the same name. */
bool
BwWorkerLife_IsOther(const BwSupervisor *supervisor,
                     const BwWorkerAnswer *answer);

/* The known worker answered a poll that was sent at `sent_us`: a heartbeat of
   another life that came before is not of the worker at the address. */
void
BwWorkerLife_OnKnown(BwSupervisor *supervisor, uint64_t sent_us);

/* Another worker than the known one has answered, or another life of it. */
void
BwWorkerLife_OnOther(BwSupervisor *supervisor, uint64_t now_us,
                     const BwWorkerAnswer *answer);

/* Stops what is listed and skips all ends, until both lists are empty.  A
   worker that has not described itself yet is used from its heartbeat on. */
void
BwWorkerLife_Clear(BwSupervisor *supervisor, uint64_t now_us, uint64_t sent_us,
                   const BwWorkerAnswer *answer);

/* Records that the worker's process can be reached again. */
void
BwWorkerLife_RecordUp(BwSupervisor *supervisor, const char *reason);

#endif
