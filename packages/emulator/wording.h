/* wording.h -- what callers and operators of the platform say */

#ifndef BW_WORDING_H
#define BW_WORDING_H

#include <stdint.h>

#define BW_WORDING_READY_PATH "/api/readiness"
#define BW_WORDING_DEADLINE_HEADER "X-Deadline-Ms"
#define BW_WORDING_COMPLETED "completed"
#define BW_WORDING_CANCELLED "canceled"

/* A job that would outlive its connection. */
#define BW_WORDING_KEPT_JOB "{\"spec\":\"\",\"steps\":[{\"count\":1}]}"

/* Bodies that are no job; the last is NULL. */
const char *const *
BwWording_BadBodies(void);

/* A job of one step, which ends with its connection.  At most `spread` of its
   tasks may run on one worker; 0 sets no bound.  This and the other texts are
   allocated. */
char *
BwWording_JobText(uint32_t tasks, uint32_t run_ms, uint32_t cpu, uint32_t mem,
                  uint32_t spread);

/* A job of two steps of one task each, the second after the first. */
char *
BwWording_ChainText(uint32_t run_ms, uint32_t cpu);

/* A route of a configuration. */
char *
BwWording_RouteText(const char *name, const char *host, const char *service,
                    uint32_t target_ms);

/* The same with a priority, 0 going first. */
char *
BwWording_PriorityRouteText(const char *name, const char *host,
                            const char *service, uint32_t priority,
                            uint32_t target_ms);

/* A configuration with the routes, which are joined by commas. */
char *
BwWording_ConfigText(uint32_t version, const char *routes);

#endif
