/* admission.c -- admission control: which jobs are refused at once

   A job that cannot end by its deadline only takes slots from jobs that can,
   so it is refused before any of its tasks runs.  The expected wait is the
   work that waits at the job's priority and above, divided by the slots that
   higher priorities leave free; a margin is added.  The future load of higher
   priorities is not known; it is assumed to continue at its recent rate.  The
   forecast is rough, but its error limits itself in both directions: when it
   is too high, the backlog shrinks until jobs are admitted again; when it is
   too low, a few jobs time out.

   Load is shed by priority: the limit on the expected wait falls with
   priority, so the lowest priority is refused while the highest is still
   admitted.

   Called by submission.c for each new job.
*/

#include "brasswing.h"

/* The margin of a forecast: its time is scaled by MARGIN_PERCENT, and up to
   FLUCTUATION_PERCENT of it, at most FLUCTUATION_US_MAX, is added for
   fluctuations of the load of higher priorities. */
#define MARGIN_PERCENT 125
#define FLUCTUATION_PERCENT 400
#define FLUCTUATION_US_MAX 2000000
/* Sums of admitted work are halved at this interval. */
#define HALF_LIFE_US 2000000
#define WINDOW_US_MIN 100000
/* A priority is always assumed to have at least this share of the slots. */
#define REMAINING_SLOTS_MIN_PERCENT 5
#define RETRY_AFTER_MS_MIN 50
#define RETRY_AFTER_MS_MAX 60000

static BwAdmission
refuse(BwErrorKind error, const char *detail, uint64_t retry_after_us)
{
    BwAdmission refused = {.error = error, .detail = detail};
    uint64_t after_ms = retry_after_us / 1000;

    if (error != BW_ERR_OVERLOADED)
        return refused;
    if (after_ms < RETRY_AFTER_MS_MIN)
        after_ms = RETRY_AFTER_MS_MIN;
    if (after_ms > RETRY_AFTER_MS_MAX)
        after_ms = RETRY_AFTER_MS_MAX;
    refused.retry_after_ms = (uint32_t)after_ms;
    return refused;
}

/* Halves the sums and the time over which they were collected.  Their quotient
   is thus a mean rate in which recent work has more weight. */
static void
decay(BwAdmittedWork *admitted, uint64_t now_us)
{
    while (now_us - admitted->halved_at_us >= HALF_LIFE_US) {
        uint64_t sum_us = 0;

        for (uint32_t i = 0; i < BW_PRIORITIES; i++) {
            admitted->work_us[i] /= 2;
            sum_us += admitted->work_us[i];
        }
        admitted->window_us = (admitted->window_us + HALF_LIFE_US) / 2;
        admitted->halved_at_us += HALF_LIFE_US;
        if (sum_us == 0) {
            admitted->halved_at_us = now_us;
            admitted->window_us = 0;
        }
    }
}

void
BwAdmittedWork_Add(BwAdmittedWork *admitted, uint64_t now_us,
                   uint32_t priority, uint64_t work_us)
{
    decay(admitted, now_us);
    admitted->work_us[priority] += work_us;
}

uint64_t
BwAdmittedWork_HigherPrioritySlots(BwAdmittedWork *admitted, uint64_t now_us,
                                   uint32_t priority, uint32_t homes)
{
    uint64_t sum_us = 0;
    uint64_t window_us;

    decay(admitted, now_us);
    for (uint32_t i = 0; i < priority; i++)
        sum_us += admitted->work_us[i];
    window_us = admitted->window_us + now_us - admitted->halved_at_us;
    if (window_us < WINDOW_US_MIN)
        window_us = WINDOW_US_MIN;
    return sum_us * homes / window_us;
}

/* Returns the slots that higher priorities leave to the job's priority. */
static uint64_t
remaining_slots(const BwServiceLoad *load)
{
    uint64_t least = load->slots * REMAINING_SLOTS_MIN_PERCENT / 100 + 1;

    if (load->slots < load->higher_priority_slots + least)
        return least;
    return load->slots - load->higher_priority_slots;
}

/* Returns the expected wait behind the waiting tasks of `priority` and all
   higher ones. */
static uint64_t
expected_wait(const BwServiceLoad *load, uint32_t priority)
{
    uint64_t tasks = 0;

    for (uint32_t i = 0; i <= priority; i++)
        tasks += load->waiting[i];
    return tasks * load->mean_us / remaining_slots(load);
}

/* Adds the margin.  Fluctuations of the load of higher priorities matter more
   the more slots these take; they average out over a longer time, hence the
   maximum. */
static uint64_t
with_margin(const BwServiceLoad *load, uint64_t time_us)
{
    uint64_t higher_slots = load->higher_priority_slots < load->slots
                                ? load->higher_priority_slots
                                : load->slots;
    uint64_t fluctuation_us = time_us * FLUCTUATION_PERCENT / 100;

    if (fluctuation_us > FLUCTUATION_US_MAX)
        fluctuation_us = FLUCTUATION_US_MAX;
    if (higher_slots > 0)
        fluctuation_us = fluctuation_us * higher_slots / load->slots;
    else
        fluctuation_us = 0;
    return time_us * MARGIN_PERCENT / 100 + fluctuation_us;
}

BwAdmission
BwAdmission_Decide(const BwServicePolicy *policy, const BwServiceLoad *load,
                   const BwJobDemand *demand)
{
    BwAdmission admitted = {0};
    uint64_t slots = load->slots > 0 ? load->slots : 1;
    uint64_t spread_us = demand->total_us / slots;
    uint64_t ideal_us =
        spread_us > demand->longest_us ? spread_us : demand->longest_us;
    uint64_t left_us = demand->total_us / remaining_slots(load);
    uint64_t run_us =
        left_us > demand->longest_us ? left_us : demand->longest_us;
    uint64_t wait_us = expected_wait(load, demand->priority);
    uint64_t forecast_us = with_margin(load, wait_us + run_us);
    uint64_t backlog_us = expected_wait(load, BW_PRIORITIES - 1);
    uint64_t bound_us = policy->backlog_us_max / BW_PRIORITIES *
                        (BW_PRIORITIES - demand->priority);

    if (demand->tasks > policy->tasks_max)
        return refuse(BW_ERR_TOO_LARGE,
                      "the job has more tasks than the service allows", 0);
    if (policy->task_bytes_max > 0 &&
        demand->largest_bytes > policy->task_bytes_max)
        return refuse(BW_ERR_CANNOT_RUN,
                      "a task declares more bytes than the service allows", 0);
    if (ideal_us > demand->time_left_us)
        return refuse(BW_ERR_CANNOT_RUN,
                      "the job runs longer than its deadline allows", 0);
    if (demand->team_tasks_max > 0 &&
        load->team_tasks + demand->tasks > demand->team_tasks_max)
        return refuse(BW_ERR_OVERLOADED,
                      "the team is at its limit of unfinished tasks",
                      load->mean_us);
    if (load->kept + demand->tasks > policy->queued_tasks_max)
        return refuse(BW_ERR_OVERLOADED, "the queue of this home is full",
                      backlog_us);
    if ((wait_us > 0 || load->higher_priority_slots > 0) &&
        forecast_us > demand->time_left_us)
        return refuse(BW_ERR_OVERLOADED,
                      "the job would miss its deadline behind others",
                      forecast_us - demand->time_left_us);
    if (backlog_us > bound_us)
        return refuse(BW_ERR_OVERLOADED,
                      "the expected wait is over the limit of this priority",
                      backlog_us - bound_us);
    admitted.wait_us = wait_us;
    admitted.run_us = with_margin(load, run_us);
    if (admitted.run_us > demand->time_left_us)
        admitted.run_us = ideal_us;
    return admitted;
}
