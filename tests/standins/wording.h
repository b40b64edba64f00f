/* wording.h -- what callers and operators of the platform say, for tests */

#ifndef BW_STANDIN_WORDING_H
#define BW_STANDIN_WORDING_H

#include <glib.h>

#define STANDIN_READY_PATH "/api/readiness"
#define STANDIN_DEADLINE_HEADER "X-Deadline-Ms"
#define STANDIN_COMPLETED "completed"
#define STANDIN_CANCELLED "canceled"

/* A job that would outlive its connection. */
#define STANDIN_KEPT_JOB "{\"spec\":\"\",\"steps\":[{\"count\":1}]}"

/* Bodies that are no job; the last is NULL. */
static inline const char *const *
Standin_BadBodies(void)
{
    static const char *const bodies[] = {
        "",
        "{",
        "[]",
        "{}",
        "{\"bestEffort\":true,\"steps\":[]}",
        "{\"bestEffort\":true,\"steps\":[{\"count\":0}]}",
        "{\"bestEffort\":true,\"steps\":[{\"count\":1701}]}",
        "{\"bestEffort\":true,\"steps\":[{\"count\":1,\"after\":[0]}]}",
        "{\"bestEffort\":true,\"steps\":[7]}",
        NULL,
    };

    return bodies;
}

/* A job of one step, which ends with its connection.  At most `spread` of its
   tasks may run on one worker; 0 sets no bound.  Free it. */
static inline char *
Standin_JobText(uint32_t tasks, uint32_t run_ms, uint32_t cpu, uint32_t mem,
                uint32_t spread)
{
    return g_strdup_printf(
        "{\"spec\":\"run_ms=%u cpu=%u mem=%u\",\"bestEffort\":true,"
        "\"steps\":[{\"count\":%u,\"cpu\":%u,\"memMb\":%u,"
        "\"estimateMs\":%u,\"antiAffinity\":%u}]}",
        run_ms, cpu, mem, tasks, cpu, mem, run_ms, spread);
}

/* A job of two steps of one task each, the second after the first. */
static inline char *
Standin_ChainText(uint32_t run_ms, uint32_t cpu)
{
    return g_strdup_printf(
        "{\"spec\":\"run_ms=%u cpu=%u\",\"bestEffort\":true,"
        "\"steps\":[{\"count\":1,\"cpu\":%u,\"estimateMs\":%u},"
        "{\"count\":1,\"cpu\":%u,\"estimateMs\":%u,\"after\":[0]}]}",
        run_ms, cpu, cpu, run_ms, cpu, run_ms);
}

/* A route of a configuration; free it. */
static inline char *
Standin_RouteText(const char *name, const char *host, const char *service,
                  uint32_t target_ms)
{
    return g_strdup_printf(
        "{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"/%s/\","
        "\"service\":\"%s\",\"priority\":1,\"maxAttempts\":3,"
        "\"stretch\":2,\"targetLatencyMs\":%u}",
        name, host, name, service, target_ms);
}

/* A configuration with the routes, which are joined by commas. */
static inline char *
Standin_ConfigText(uint32_t version, const char *routes)
{
    return g_strdup_printf("{\"version\":%u,\"routes\":[%s],\"services\":[],"
                           "\"limits\":{\"maxBodyBytes\":524288}}",
                           version, routes);
}

#endif
