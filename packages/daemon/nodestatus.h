/* nodestatus.h -- what dispatchers and supervisors tell operators of
   themselves

   Rooms are {cpu_milli, mem_mb, gpu}; ages and what is left of a time are in
   milliseconds from now.
*/

#ifndef BW_NODESTATUS_H
#define BW_NODESTATUS_H

#include <jansson.h>

#include "dispatcher.h"
#include "supervisor.h"

/* Jobs that wait and run, and the view of each worker. */
json_t *
BwNodeStatus_Dispatcher(const BwDispatcher *dispatcher, uint64_t now_us);

/* The worker, the account of its room, tasks by state, and the session of
   each dispatcher, by the number of its connection. */
json_t *
BwNodeStatus_Supervisor(const BwSupervisor *supervisor, uint64_t now_us);

#endif
