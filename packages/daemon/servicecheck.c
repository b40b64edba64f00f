/* servicecheck.c -- checks a new job against the operators' configuration

   Described in servicecheck.h.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "servicecheck.h"

/* A depth-first search of the dependencies of a service. */
typedef struct Search {
    const BwConfig *config;
    BwHasBackend has_backend;
    void *ctx;
    bool *is_visited; /* indexed like the services */
} Search;

/* Returns the first dependency, direct or not, that has no backend server, or
   NULL. */
static const BwConfigService *
find_missing(Search *search, const BwConfigService *service)
{
    for (uint32_t i = 0; i < service->depends_on_count; i++) {
        const BwConfigService *next = BwConfig_FindService(
            search->config, BwSpan_FromString(service->depends_on[i].name));
        const BwConfigService *missing;

        if (next == NULL ||
            search->is_visited[next - search->config->services])
            continue;
        search->is_visited[next - search->config->services] = true;
        if (!search->has_backend(search->ctx, BwSpan_FromString(next->name)))
            return next;
        missing = find_missing(search, next);
        if (missing != NULL)
            return missing;
    }
    return NULL;
}

static BwErrorKind
check_dependencies(const BwConfig *config, const BwConfigService *service,
                   BwHasBackend has_backend, void *ctx,
                   char detail[BW_REFUSAL_BYTES])
{
    Search search = {config, has_backend, ctx, NULL};
    const BwConfigService *missing;

    if (service->depends_on_count == 0)
        return BW_OK;
    search.is_visited = calloc(config->service_count, sizeof(bool));
    if (search.is_visited == NULL)
        return BW_ERR_NO_MEMORY;
    missing = find_missing(&search, service);
    free(search.is_visited);
    if (missing == NULL)
        return BW_OK;
    snprintf(detail, BW_REFUSAL_BYTES,
             "'%s' depends on '%s', which has no backend server",
             service->name, missing->name);
    return BW_ERR_NO_BACKEND;
}

static uint64_t
body_bytes(const BwSubmit *submit)
{
    uint64_t bytes = 0;

    for (uint32_t i = 0; i < submit->task_count; i++)
        bytes += submit->tasks[i].body.size_bytes;
    return bytes;
}

static BwErrorKind
check_limits(const BwConfigService *service, const BwSubmit *submit,
             uint64_t now_wall_us, char detail[BW_REFUSAL_BYTES])
{
    uint64_t remaining_us = 0;

    if (submit->deadline_wall_us > now_wall_us)
        remaining_us = submit->deadline_wall_us - now_wall_us;
    if (submit->task_count > service->tasks_max) {
        snprintf(detail, BW_REFUSAL_BYTES,
                 "a job of '%s' has at most %u tasks (tasks_max)",
                 service->name, service->tasks_max);
        return BW_ERR_TOO_LARGE;
    }
    if (service->body_bytes_max != 0 &&
        body_bytes(submit) > service->body_bytes_max) {
        snprintf(detail, BW_REFUSAL_BYTES,
                 "a job of '%s' has at most %u bytes of bodies "
                 "(body_bytes_max)",
                 service->name, service->body_bytes_max);
        return BW_ERR_TOO_LARGE;
    }
    if (service->job_lifetime_ms != 0 &&
        remaining_us > service->job_lifetime_ms * 1000) {
        snprintf(detail, BW_REFUSAL_BYTES,
                 "the deadline of a job of '%s' is at most %llu ms "
                 "ahead (job_lifetime_ms)",
                 service->name, (unsigned long long)service->job_lifetime_ms);
        return BW_ERR_CANNOT_RUN;
    }
    return BW_OK;
}

BwErrorKind
BwServiceCheck_Submission(const BwConfig *config, uint64_t revision,
                          const BwSubmit *submit, uint64_t now_wall_us,
                          BwHasBackend has_backend, void *ctx,
                          char detail[BW_REFUSAL_BYTES])
{
    const BwConfigService *service =
        BwConfig_FindService(config, submit->service);
    BwErrorKind error;

    detail[0] = '\0';
    if (revision == 0) {
        strcpy(detail, "no configuration is in force yet");
        return BW_ERR_NO_BACKEND;
    }
    if (service == NULL) {
        strcpy(detail, "the operators' configuration has no such service");
        return BW_ERR_UNKNOWN_SERVICE;
    }
    error = check_limits(service, submit, now_wall_us, detail);
    if (error != BW_OK)
        return error;
    return check_dependencies(config, service, has_backend, ctx, detail);
}
