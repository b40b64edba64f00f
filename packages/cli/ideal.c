/* ideal.c -- response times of a trace without any cost of coordination

   Both schedules keep the time at which each slot becomes free.  There are few
   slots, so a linear scan finds the one that is free first.
*/

#include <stdlib.h>
#include <string.h>

#include "ideal.h"

static uint32_t
earliest_free_slot(const uint64_t *free_at_us, uint32_t slots)
{
    uint32_t best = 0;

    for (uint32_t i = 1; i < slots; i++) {
        if (free_at_us[i] < free_at_us[best])
            best = i;
    }
    return best;
}

uint64_t
BwIdeal_JobUs(const BwTraceJob *job, uint32_t slots)
{
    uint64_t *free_at_us = calloc(slots, sizeof(uint64_t));
    uint64_t end_us = 0;

    if (free_at_us == NULL)
        return 0;
    for (uint32_t i = 0; i < job->task_count; i++) {
        uint32_t slot = earliest_free_slot(free_at_us, slots);

        free_at_us[slot] += job->tasks[i].run_us;
        if (free_at_us[slot] > end_us)
            end_us = free_at_us[slot];
    }
    free(free_at_us);
    return end_us;
}

/* Returns the index of the waiting job whose task starts next at `now_us`: one
   of the highest priority, the earliest of these.  -1 without a job. */
static int64_t
choose_job(const BwTrace *trace, const char *service, const uint32_t *started,
           uint64_t now_us)
{
    int64_t best = -1;
    uint32_t best_priority = UINT32_MAX;

    for (uint32_t e = 0; e < trace->event_count; e++) {
        const BwTraceEvent *event = &trace->events[e];
        const BwTraceJob *job = &trace->jobs[event->job];
        uint32_t priority;

        if (event->at_us > now_us)
            break;
        if (event->kind != BW_TRACE_JOB ||
            started[event->job] == job->task_count ||
            strcmp(job->service, service) != 0)
            continue;
        priority = BwTrace_Priority(trace, job->job_class);
        if (priority >= best_priority)
            continue;
        best_priority = priority;
        best = event->job;
    }
    return best;
}

/* Returns when the next job of any service arrives, or UINT64_MAX. */
static uint64_t
next_arrival(const BwTrace *trace, uint64_t now_us)
{
    for (uint32_t e = 0; e < trace->event_count; e++) {
        if (trace->events[e].kind == BW_TRACE_JOB &&
            trace->events[e].at_us > now_us)
            return trace->events[e].at_us;
    }
    return UINT64_MAX;
}

bool
BwIdeal_CentralQueue(const BwTrace *trace, const char *service, uint32_t slots,
                     uint64_t *took_us)
{
    uint64_t *free_at_us = calloc(slots, sizeof(uint64_t));
    uint32_t *started = calloc(trace->job_count, sizeof(uint32_t));
    uint64_t now_us = 0;
    bool has_memory = free_at_us != NULL && started != NULL;

    while (has_memory && now_us != UINT64_MAX) {
        uint32_t slot = earliest_free_slot(free_at_us, slots);
        const BwTraceJob *job;
        int64_t index;
        uint64_t end_us;

        if (free_at_us[slot] > now_us)
            now_us = free_at_us[slot];
        index = choose_job(trace, service, started, now_us);
        if (index < 0) {
            now_us = next_arrival(trace, now_us);
            continue;
        }
        job = &trace->jobs[index];
        end_us = now_us + job->tasks[started[index]++].run_us;
        free_at_us[slot] = end_us;
        if (end_us - job->at_us > took_us[index])
            took_us[index] = end_us - job->at_us;
    }
    free(free_at_us);
    free(started);
    return has_memory;
}
