/* forecast.h -- how long a task waits and runs at a worker

   The wait for free resources comes from the worker's last load report and the
   tasks that were sent to it since.  In a burst that is too little: other
   dispatchers place tasks that this one has not seen, the more of them the
   larger the fleet, and jobs are accepted that end late.  So the wait is
   multiplied by how the waits of the route's tasks compared lately with those
   by load reports (routestats.h).  The ratio follows a burst within some tens
   of tasks.

   boundplace.c compares workers by these forecasts.
*/

#ifndef BW_FORECAST_H
#define BW_FORECAST_H

#include "dispatcher.h"

#define BW_NEVER_US UINT64_MAX

/* What is expected of the tasks of a step. */
typedef struct BwExpectation {
    uint64_t run_us;        /* on a worker of mean speed */
    uint64_t wait_permille; /* of waits against those by load reports */
} BwExpectation;

/* The expected course of a task at a worker. */
typedef struct BwForecast {
    uint64_t report_us; /* wait for free resources by the load report alone */
    uint64_t wait_us;   /* the same times the ratio learnt for the route */
    uint64_t end_us;    /* BW_NEVER_US when the worker is not eligible */
    uint64_t cost_us;   /* wait, run time and a penalty for load */
    bool is_far;        /* the worker lacks the step's affinity label */
} BwForecast;

/* Returns the expected run time of the step's tasks on a worker of mean
   speed. */
uint64_t
BwForecast_StepRunUs(BwRouteStats **stats, const BwBoundJob *job,
                     uint32_t step);

BwExpectation
BwForecast_ExpectStep(BwRouteStats **stats, const BwBoundJob *job,
                      uint32_t step);

/* Whether the first task of the job is eligible at the worker and would find
   free resources there, by the last load report. */
bool
BwForecast_HasRoom(const BwBoundJob *job, const BwSupervisorView *view);

/* Returns the forecast for a worker that is not eligible. */
BwForecast
BwForecast_None(void);

BwForecast
BwForecast_At(const BwBoundJob *job, const BwBoundTask *task,
              const BwSupervisorView *view, const BwExpectation *expected,
              uint64_t now_us);

#endif
