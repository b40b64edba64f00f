/* bound_load.h -- a fleet of dispatchers and supervisors under a stated load

   All modules are real; workers, network and callers are simulated in virtual
   time.  A worker starts what its supervisor tells it to and fails the test
   when that is more than its capacity.  Messages pass through the wire format
   and arrive after a fixed delay.  Callers send jobs of several classes at
   random times, with a fixed seed, and compare each answer with the objective
   that follows from the actual run times of the job's tasks.

   test_overload.c replays loads on it, and measure_load.c prints figures.
*/

#ifndef BOUND_LOAD_H
#define BOUND_LOAD_H

#include <stdint.h>

#define LOAD_CLASSES_MAX 3
#define LOAD_BURSTS_MAX 4

/* The jobs of one route.  Widths, run times and errors of declared run times
   are drawn around these means. */
typedef struct LoadClass {
    uint32_t priority;
    uint32_t tasks;
    uint64_t run_us;
    uint64_t cpu_milli;
    double jobs_per_s; /* of the whole fleet */
    double worth;      /* of a job in time; a fifth when it is late */
} LoadClass;

typedef struct LoadBurst {
    uint64_t from_us;
    uint64_t until_us;
    int32_t class_index; /* -1: all */
    double factor;
} LoadBurst;

typedef struct LoadPlan {
    uint32_t seed;
    uint32_t dispatchers;
    uint32_t workers;
    uint64_t worker_cpu_milli;
    /* Every third worker is so much larger and slower. */
    uint32_t third_size_permille;
    uint32_t third_pace_permille;
    uint64_t delay_us; /* of a message between processes */
    uint64_t length_us;
    uint64_t deadline_us; /* that callers allow, besides 3 x the run time */
    uint64_t target_us;
    uint32_t stretch_permille;
    LoadClass classes[LOAD_CLASSES_MAX];
    uint32_t class_count;
    LoadBurst bursts[LOAD_BURSTS_MAX];
    uint32_t burst_count;
    /* All dispatchers and supervisors are replaced by new processes, and all
       callers that were cut off send again; 0: never. */
    uint64_t restart_us;
    uint64_t down_us;
} LoadPlan;

typedef struct LoadCounts {
    uint64_t jobs;
    uint64_t in_time;
    uint64_t late;
    uint64_t refused;
    uint64_t expired;
    double owed;
    double earned;
} LoadCounts;

typedef struct LoadResult {
    LoadCounts classes[LOAD_CLASSES_MAX];
    LoadCounts all;
    uint64_t placed;     /* tasks sent to supervisors */
    uint64_t bounced;    /* of these, declined */
    double worst_window; /* share earned in the worst 2 s */
    double last_window;  /* the same of the last 2 s */
} LoadResult;

/* Plays the plan to the end of its last job. */
void
BoundLoad_Play(const LoadPlan *plan, LoadResult *result);

#endif
