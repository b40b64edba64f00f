/* nodestatus.h -- the state of a dispatcher or supervisor as JSON, for
   operators

   Writes the role's part of GET /v1/status from the structs of dispatcher.h
   and supervisor.h.  Resources are {cpu_milli, mem_mb, gpu}.  Ages and
   remaining times are in milliseconds; an age is -1 when the event has never
   happened.  The roles in dispatchrole.c and superviserole.c call it.
*/

#ifndef BW_NODESTATUS_H
#define BW_NODESTATUS_H

#include <jansson.h>

#include "dispatcher.h"
#include "supervisor.h"

/* Returns the numbers of waiting and running jobs, and the dispatcher's view
   of each supervisor with its worker.  json_decref the result. */
json_t *
BwNodeStatus_Dispatcher(const BwDispatcher *dispatcher, uint64_t now_us);

/* Returns the worker, its resource accounting, the number of tasks in each
   state, and the session of each dispatcher by the number of its connection.
   json_decref the result. */
json_t *
BwNodeStatus_Supervisor(const BwSupervisor *supervisor, uint64_t now_us);

#endif
