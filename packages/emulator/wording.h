/* wording.h -- requests and configurations in the platform's wording

   Holds the platform's names that callers and operators use, so that the other
   sources of the emulator and the tests needn't contain them.  Every function
   that returns a char * returns allocated text, to be freed with free(), or
   NULL without memory.  Used by labrunner.c, ingress.c and tests.
*/

#ifndef BW_WORDING_H
#define BW_WORDING_H

#include <stdbool.h>
#include <stdint.h>

#define BW_WORDING_READY_PATH "/api/readiness"
#define BW_WORDING_DEADLINE_HEADER "X-Deadline-Ms"
/* Error of the ingress when it finds no dispatcher. */
#define BW_WORDING_NO_DISPATCHER "no_dispatcher"
/* "stretch" of every route. */
#define BW_WORDING_STRETCH 2
#define BW_WORDING_COMPLETED "completed"
#define BW_WORDING_CANCELLED "canceled"

/* A job that isn't bound: it would outlive its connection. */
#define BW_WORDING_UNBOUND_JOB "{\"spec\":\"\",\"steps\":[{\"count\":1}]}"

/* The path of a heartbeat of a worker that is not there. */
#define BW_WORDING_STRANGER_PATH "/api/Instances.Heartbeat/stranger"

/* Returns a valid heartbeat for that path. */
char *
BwWording_StrangerHeartbeat(void);

/* Returns a heartbeat that lacks a field and has `numbers` numbers besides. */
char *
BwWording_InvalidHeartbeat(uint32_t numbers);

/* Returns bodies that are not a valid job, ended by NULL. */
const char *const *
BwWording_InvalidJobs(void);

/* Returns a job of one step with `tasks` tasks, which ends with its
   connection.  At most `spread` of its tasks may run on one worker; 0 sets no
   limit.  `cpu` is in thousandths of a core, `mem` in MB.  With `crashes` its
   first task crashes the worker. */
char *
BwWording_JobText(uint32_t tasks, uint32_t run_ms, uint32_t cpu, uint32_t mem,
                  uint32_t spread, bool crashes);

/* Returns a job of two steps of one task each, the second after the first. */
char *
BwWording_TwoStepJobText(uint32_t run_ms, uint32_t cpu);

/* Returns a route of a configuration, with priority 1.  `name` is also the
   path prefix. */
char *
BwWording_RouteText(const char *name, const char *host, const char *service,
                    uint32_t target_ms);

/* Returns the same with another priority; 0 is the highest. */
char *
BwWording_PriorityRouteText(const char *name, const char *host,
                            const char *service, uint32_t priority,
                            uint32_t target_ms);

/* Returns a configuration with `routes`, which are separated by commas. */
char *
BwWording_ConfigText(uint32_t version, const char *routes);

#endif
