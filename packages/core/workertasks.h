/* workertasks.h -- tasks of one worker: queue, resources, outcomes, orders

   Functions that supervisor.c, workertasks.c, workerlink.c and workerlife.c
   share.  All of
   them work on the state in BwSupervisor.
*/

#ifndef BW_WORKERTASKS_H
#define BW_WORKERTASKS_H

#include "supervisor.h"

/* No task is started and no lease renewed when the worker's clock was last
   read longer ago. */
#define BW_CLOCK_STALE_US 1500000

/* Whether the worker may have the task, which is then not queued. */
bool
BwWorkerTasks_IsOnWorker(const BwWorkerTask *task);

/* Whether no answer of the worker is overdue. */
bool
BwWorkerTasks_IsResponsive(const BwSupervisor *supervisor, uint64_t now_us);

/* Whether tasks may be queued and started. */
bool
BwWorkerTasks_IsUsable(const BwSupervisor *supervisor, uint64_t now_us);

/* Returns the load report for the dispatcher. */
BwWorkerLoad
BwWorkerTasks_MakeLoad(const BwSupervisor *supervisor,
                       const BwSupervisorPeer *peer, uint64_t now_us);

/* Sends outcomes of tasks of one step to their dispatcher, if it is
   connected. */
void
BwWorkerTasks_Report(BwSupervisor *supervisor, uint64_t now_us,
                     uint32_t peer_id, uint64_t ref, uint32_t step,
                     BwTaskOutcome *tasks, uint32_t task_count);

/* Removes the task from all tables and releases its resources. */
void
BwWorkerTasks_Unlink(BwSupervisor *supervisor, BwWorkerTask *task);

/* Frees a task that BwWorkerTasks_Unlink has removed. */
void
BwWorkerTasks_Free(BwWorkerTask *task);

/* Removes and frees a task that is certainly not on the worker.  Reports the
   outcome `kind` to its dispatcher unless `kind` is 0. */
void
BwWorkerTasks_Remove(BwSupervisor *supervisor, uint64_t now_us,
                     BwWorkerTask *task, uint32_t kind, uint32_t reason);

/* Ends a task: one that is queued is removed, and any other is stopped and
   `kind` is reported only when it is certainly not on the worker.  `why` is
   logged. */
void
BwWorkerTasks_End(BwSupervisor *supervisor, uint64_t now_us,
                  BwWorkerTask *task, uint32_t kind, uint32_t reason,
                  const char *why);

/* Logs the tasks of a PLACE that are declined, a line for each run of tasks
   with the same reason. */
void
BwWorkerTasks_LogDeclined(const BwSupervisor *supervisor, const BwPlace *place,
                          const BwTaskOutcome *declined, uint32_t count);

/* Returns the worker's clock in milliseconds, computed from its last
   reading. */
uint64_t
BwWorkerTasks_WorkerClock(const BwSupervisor *supervisor, uint64_t now_us);

/* Records that the worker's lease may last for `length_us` from now on, since
   an order renews it.  Its end allows for a slow clock of the worker. */
void
BwWorkerTasks_ExtendLease(BwSupervisor *supervisor, uint64_t now_us,
                          uint64_t length_us);

/* Sends the start of a task whose resources are reserved.  One that can't be
   sent counts as unanswered. */
void
BwWorkerTasks_SendStart(BwSupervisor *supervisor, uint64_t now_us,
                        BwWorkerTask *task);

void
BwWorkerTasks_SendStop(BwSupervisor *supervisor, BwWorkerTask *task);

/* Queues a task of the PLACE.  Returns 0, or the BwDeclineReason. */
uint32_t
BwWorkerTasks_Queue(BwSupervisor *supervisor, uint64_t now_us,
                    BwSupervisorPeer *peer, const BwPlace *place,
                    uint32_t index, BwSpecText *text);

/* Removes the tasks from number `first` on that are still queued, and appends
   them to `declined`.  Returns how many. */
uint32_t
BwWorkerTasks_DeclineNew(BwSupervisor *supervisor, uint64_t first,
                         BwTaskOutcome *declined);

/* Whether neither the session of the task's dispatcher nor its own deadline
   has ended. */
bool
BwWorkerTasks_IsInTime(const BwSupervisor *supervisor, uint64_t now_us,
                       const BwWorkerTask *task);

/* Starts the queued tasks that fit, in the order of the queue; a smaller task
   may overtake a larger one of the same priority. */
void
BwWorkerTasks_StartQueued(BwSupervisor *supervisor, uint64_t now_us);

/* Reports every task that may be on the worker as lost: all of them have
   ended.  `kind` is BW_OUTCOME_LOST or BW_OUTCOME_CRASHED. */
void
BwWorkerTasks_LoseAll(BwSupervisor *supervisor, uint64_t now_us, uint32_t kind,
                      const char *reason);

/* Reports the tasks as lost that ended with the worker's lease, which is over.
   Those that a later life of the worker may have started are reported when its
   longest lease must be over, by another call. */
void
BwWorkerTasks_EndLease(BwSupervisor *supervisor, uint64_t now_us,
                       uint32_t kind, const char *reason);

/* Declines the queued tasks that need more than the worker's capacity. */
void
BwWorkerTasks_DeclineUnsuited(BwSupervisor *supervisor, uint64_t now_us);

/* Declines all queued tasks. */
void
BwWorkerTasks_DeclineQueue(BwSupervisor *supervisor, uint64_t now_us,
                           uint32_t reason);

/* In supervisor.c: sends the state of the worker to all dispatchers. */
void
BwSupervisor_BroadcastState(BwSupervisor *supervisor, uint64_t now_us);

#endif
