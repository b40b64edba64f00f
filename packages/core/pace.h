/* pace.h -- the speed of workers relative to each other

   A worker's pace is the run time of a task on it relative to a worker of mean
   speed, in thousandths: more than 1000 is slower.  Declared run times are too
   inaccurate to derive it from.  But the tasks of one step are alike, so a job
   whose tasks ran on several workers shows how these compare.  Comparisons
   give only ratios, so the paces are normalized to their mean now and then.

   views.c calls this for the workers of a dispatcher.
*/

#ifndef BW_PACE_H
#define BW_PACE_H

#include <stdint.h>

#define BW_PACE_MEAN_PERMILLE 1000u

typedef struct BwPaceSample {
    uint32_t *pace_permille; /* of the worker that ran the task */
    uint64_t ran_us;
} BwPaceSample;

/* Updates the paces of the workers that ran the tasks of one step.  Each task
   is compared with the mean of the others; one task alone changes nothing. */
void
BwPace_Compare(const BwPaceSample *samples, uint32_t count);

/* Scales all paces so that their mean is BW_PACE_MEAN_PERMILLE, which
   comparisons of workers cannot determine. */
void
BwPace_Normalize(uint32_t *const *paces, uint32_t count);

#endif
