/* seats.h -- the account of a supervisor, shared by supervisor.c, seats.c and
   workerlink.c */

#ifndef BW_SEATS_H
#define BW_SEATS_H

#include "supervisor.h"

#define BW_CLOCK_STALE_US 1500000 /* of the worker */

/* Whether the worker may have the task: it is not queued. */
bool
BwSeats_IsOnWorker(const BwSeat *seat);

/* Whether the worker has answered lately enough to be given work. */
bool
BwSeats_IsResponsive(const BwSupervisor *supervisor, uint64_t now_us);

/* Whether tasks may be queued and started. */
bool
BwSeats_IsUsable(const BwSupervisor *supervisor, uint64_t now_us);

/* Returns the account as the dispatcher is told it. */
BwWorkerLoad
BwSeats_MakeLoad(const BwSupervisor *supervisor, const BwSupervisorPeer *peer,
                 uint64_t now_us);

/* Sends outcomes of tasks of one step to their dispatcher, if it is there. */
void
BwSeats_Report(BwSupervisor *supervisor, uint64_t now_us, uint32_t peer_id,
               uint64_t ref, uint32_t step, BwTaskOutcome *tasks,
               uint32_t task_count);

/* Takes the seat out of all tables and gives its room back. */
void
BwSeats_Unlink(BwSupervisor *supervisor, BwSeat *seat);

/* Frees a seat that is in no table any more. */
void
BwSeats_Free(BwSeat *seat);

/* The task is no longer here; `kind` 0 tells nobody. */
void
BwSeats_Remove(BwSupervisor *supervisor, uint64_t now_us, BwSeat *seat,
               uint32_t kind, uint32_t reason);

/* Ends a task; `kind` is reported once it is certainly not there.  `why` goes
   into the log. */
void
BwSeats_End(BwSupervisor *supervisor, uint64_t now_us, BwSeat *seat,
            uint32_t kind, uint32_t reason, const char *why);

/* Writes a line for the tasks that a PLACE did not get started. */
void
BwSeats_LogDeclined(const BwSupervisor *supervisor, const BwPlace *place,
                    const BwTaskOutcome *declined, uint32_t count);

/* Returns the worker's clock, as far as it is known. */
uint64_t
BwSeats_WorkerClock(const BwSupervisor *supervisor, uint64_t now_us);

/* An order that renews the worker's lease is being sent. */
void
BwSeats_ExtendLease(BwSupervisor *supervisor, uint64_t now_us);

void
BwSeats_SendStart(BwSupervisor *supervisor, uint64_t now_us, BwSeat *seat);

void
BwSeats_SendStop(BwSupervisor *supervisor, BwSeat *seat);

/* Queues a task of the PLACE.  Returns 0, or why it was not queued. */
uint32_t
BwSeats_Queue(BwSupervisor *supervisor, uint64_t now_us,
              BwSupervisorPeer *peer, const BwPlace *place, uint32_t index,
              BwSeatText *text);

/* Takes back the tasks from seat number `first` on that found no room.
   Returns how many. */
uint32_t
BwSeats_TakeBack(BwSupervisor *supervisor, uint64_t first,
                 BwTaskOutcome *declined);

/* Whether the task's session and its deadline are still to end. */
bool
BwSeats_IsInTime(const BwSupervisor *supervisor, uint64_t now_us,
                 const BwSeat *seat);

/* Starts what fits, in the order of the queue; a smaller task may pass a
   larger one. */
void
BwSeats_StartQueued(BwSupervisor *supervisor, uint64_t now_us);

/* Everything on the worker is gone. */
void
BwSeats_LoseAll(BwSupervisor *supervisor, uint64_t now_us, const char *reason);

/* Declines all that is queued. */
void
BwSeats_DeclineQueue(BwSupervisor *supervisor, uint64_t now_us,
                     uint32_t reason);

/* The function below is workerlink.c's. */

/* Looks at the worker when the last look has ended or is overdue. */
void
BwWorkerLink_Tick(BwSupervisor *supervisor, uint64_t now_us);

/* The function below is supervisor.c's. */

/* Tells every dispatcher the state of the worker. */
void
BwSupervisor_TellAll(BwSupervisor *supervisor, uint64_t now_us);

#endif
