/* pace.h -- how fast workers are against each other

   Declared run times are far off, but the tasks of one step are alike, so the
   tasks of a job that ran on several workers compare these.  A pace is the run
   time of a task against that on a worker of mean speed, in thousandths.
*/

#ifndef BW_PACE_H
#define BW_PACE_H

#include <stdint.h>

#define BW_PACE_MEAN_PERMILLE 1000u

typedef struct BwPaceSample {
    uint32_t *pace_permille; /* of the worker that ran the task */
    uint64_t ran_us;
} BwPaceSample;

/* Moves the paces of the workers that ran the tasks of one step.  Each task
   is held against the mean of the others. */
void
BwPace_Compare(const BwPaceSample *samples, uint32_t count);

/* Moves all paces together so that their mean is BW_PACE_MEAN_PERMILLE:
   comparisons do not say where that lies. */
void
BwPace_Normalize(uint32_t *const *paces, uint32_t count);

#endif
