/* wording.c -- requests and configurations in the platform's wording */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wording.h"

#define DEFAULT_PRIORITY 1

static char *__attribute__((format(printf, 1, 2)))
format_text(const char *format, ...)
{
    va_list arguments;
    char *text = NULL;

    va_start(arguments, format);
    if (vasprintf(&text, format, arguments) < 0)
        text = NULL;
    va_end(arguments);
    return text;
}

char *
BwWording_StrangerHeartbeat(void)
{
    return format_text(
        "{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
        "\"state\":\"ready\",\"sequence\":%u,\"clockMs\":%u,"
        "\"capacity\":{\"cpu\":1,\"memMb\":1},\"labels\":[]}",
        1000000u, 1000000u);
}

char *
BwWording_InvalidHeartbeat(uint32_t numbers)
{
    static const char begin[] = "{\"service\":\"s\",\"odd\":[0";
    size_t size = sizeof(begin) + 2 * (size_t)numbers + 2;
    char *text = malloc(size);
    char *at = text;

    if (text == NULL)
        return NULL;
    at += sprintf(at, "%s", begin);
    for (uint32_t i = 0; i < numbers; i++) {
        *at++ = ',';
        *at++ = '1';
    }
    strcpy(at, "]}");
    return text;
}

const char *const *
BwWording_InvalidJobs(void)
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

char *
BwWording_JobText(uint32_t tasks, uint32_t run_ms, uint32_t cpu, uint32_t mem,
                  uint32_t spread, bool crashes)
{
    return format_text(
        "{\"spec\":\"run_ms=%u cpu=%u mem=%u%s\",\"bestEffort\":true,"
        "\"steps\":[{\"count\":%u,\"cpu\":%u,\"memMb\":%u,"
        "\"estimateMs\":%u,\"antiAffinity\":%u}]}",
        run_ms, cpu, mem, crashes ? " crash=1" : "", tasks, cpu, mem, run_ms,
        spread);
}

char *
BwWording_TwoStepJobText(uint32_t run_ms, uint32_t cpu)
{
    return format_text(
        "{\"spec\":\"run_ms=%u cpu=%u\",\"bestEffort\":true,"
        "\"steps\":[{\"count\":1,\"cpu\":%u,\"estimateMs\":%u},"
        "{\"count\":1,\"cpu\":%u,\"estimateMs\":%u,\"after\":[0]}]}",
        run_ms, cpu, cpu, run_ms, cpu, run_ms);
}

char *
BwWording_PriorityRouteText(const char *name, const char *host,
                            const char *service, uint32_t priority,
                            uint32_t target_ms)
{
    return format_text(
        "{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"/%s/\","
        "\"service\":\"%s\",\"priority\":%u,\"maxAttempts\":3,"
        "\"stretch\":%u,\"targetLatencyMs\":%u}",
        name, host, name, service, priority, BW_WORDING_STRETCH, target_ms);
}

char *
BwWording_RouteText(const char *name, const char *host, const char *service,
                    uint32_t target_ms)
{
    return BwWording_PriorityRouteText(name, host, service, DEFAULT_PRIORITY,
                                       target_ms);
}

char *
BwWording_ConfigText(uint32_t version, const char *routes)
{
    return format_text("{\"version\":%u,\"routes\":[%s],\"services\":[],"
                       "\"limits\":{\"maxBodyBytes\":524288}}",
                       version, routes);
}
