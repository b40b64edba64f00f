/* workerlink.h -- polls of the worker

   Functions of workerlink.c for workerlife.c and supervisor.c.
*/

#ifndef BW_WORKERLINK_H
#define BW_WORKERLINK_H

#include "supervisor.h"

/* Most polls that are in flight at once. */
#define BW_WORKER_POLLS_MAX 3

/* Sends a poll that waits for an end for up to `wait_us`.  It renews the lease
   only when there are tasks to keep and the worker answers in time. */
void
BwWorkerLink_Poll(BwSupervisor *supervisor, uint64_t now_us, uint64_t wait_us);

/* Returns the record of a task that the worker lists, or NULL. */
BwWorkerTask *
BwWorkerLink_FindListed(BwSupervisor *supervisor, const BwListedTask *listed);

/* Stops a task that the worker lists and that has no record here. */
void
BwWorkerLink_StopListed(BwSupervisor *supervisor, const BwListedTask *listed);

/* Polls the worker when no poll is in flight, or when the last one is
   overdue. */
void
BwWorkerLink_Tick(BwSupervisor *supervisor, uint64_t now_us);

#endif
