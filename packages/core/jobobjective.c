/* jobobjective.c -- by when a bound job should be answered, see
   jobobjective.h */

#include "jobobjective.h"
#include "pace.h"

/* Returns the length of the critical path when each step takes `steps_us`. */
static uint64_t
critical_path_us(const BwBoundJob *job, const uint64_t *steps_us)
{
    uint64_t ends_us[BW_STEPS_MAX] = {0};
    uint64_t longest_us = 0;

    for (uint32_t i = 0; i < job->step_count; i++) {
        uint64_t start_us = 0;

        for (uint32_t j = 0; j < i; j++) {
            if ((job->steps[i].after >> j & 1) != 0 && ends_us[j] > start_us)
                start_us = ends_us[j];
        }
        ends_us[i] = start_us + steps_us[i];
        if (ends_us[i] > longest_us)
            longest_us = ends_us[i];
    }
    return longest_us;
}

uint64_t
BwJobObjective_DeclaredUs(const BwBoundJob *job)
{
    uint64_t steps_us[BW_STEPS_MAX] = {0};

    for (uint32_t i = 0; i < job->step_count; i++)
        steps_us[i] = job->steps[i].declared_us;
    return critical_path_us(job, steps_us);
}

uint64_t
BwJobObjective_LatencyUs(const BwBoundJob *job, uint64_t path_us)
{
    return job->target_us + path_us * job->stretch_permille / 1000;
}

uint64_t
BwJobObjective_ActualUs(const BwBoundJob *job)
{
    uint64_t steps_us[BW_STEPS_MAX] = {0};

    for (uint32_t i = 0; i < job->task_count; i++) {
        const BwBoundTask *task = &job->tasks[i];
        uint64_t run_us =
            task->ran_us * BW_PACE_MEAN_PERMILLE / task->view->pace_permille;

        if (run_us > steps_us[task->step])
            steps_us[task->step] = run_us;
    }
    return BwJobObjective_LatencyUs(job, critical_path_us(job, steps_us));
}
