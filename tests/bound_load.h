/* bound_load.h -- a fleet of dispatchers and supervisors under a stated load

   All modules are real; workers, network and callers are simulated in virtual
   time.  A worker starts what its supervisor tells it to and fails the test
   when that is more than its capacity.  Messages pass through the wire format
   and arrive after a fixed delay.  Callers send jobs of several classes at
   random times, with a fixed seed, and compare each answer with the objective
   that follows from the actual run times of the job's tasks.

   Some jobs have a task that crashes each worker that starts it, and workers
   may crash for other causes.  A crashed worker refuses connections and is
   back later as a new instance.  It fails the test when a task starts while it
   runs already.

   test_overload.c replays loads on it, and measure_load.c prints figures.
*/

#ifndef BOUND_LOAD_H
#define BOUND_LOAD_H

#include <stdbool.h>
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
    /* Share of the jobs sent while plan.crashing_from_us to crashing_until_us
       with a task that crashes its worker when half of its run time is over.
     */
    uint32_t crash_permille;
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
    uint64_t crashing_from_us;
    uint64_t crashing_until_us;
    uint64_t outage_us; /* how long a crashed worker is away */
    /* Intervals at which a worker crashes for another cause, and at which a
       dispatcher is replaced by a new process; 0: never. */
    uint64_t crash_every_us;
    uint64_t kill_every_us;
    /* When several workers crash at the same moment; 0: never. */
    uint64_t rack_crash_us;
    uint32_t rack_workers;
    bool resends; /* callers that are told that a job may have run, or whose
                     dispatcher is killed, send it again */
} LoadPlan;

typedef struct LoadCounts {
    uint64_t jobs;
    uint64_t in_time;
    uint64_t late;
    uint64_t refused;
    uint64_t expired;
    uint64_t failed;
    uint64_t crashing; /* jobs with a task that crashes its worker */
    double owed;
    double earned;
} LoadCounts;

typedef struct LoadResult {
    LoadCounts classes[LOAD_CLASSES_MAX];
    LoadCounts all;
    uint64_t placed;           /* tasks sent to supervisors */
    uint64_t bounced;          /* of these, declined */
    double worst_window;       /* share earned in the worst 2 s */
    double last_window;        /* the same of the last 2 s */
    uint64_t crashes;          /* of workers by a task */
    uint32_t crashes_by_task;  /* by the task that crashed most */
    uint64_t other_crashes;    /* one at a time and for another cause */
    uint64_t failed_innocents; /* failed jobs without such a task */
    /* Most workers that were down at once after a crash by a task, from 2 s
       after the first such crash on. */
    uint32_t down_most;
} LoadResult;

/* Plays the plan to the end of its last job. */
void
BoundLoad_Play(const LoadPlan *plan, LoadResult *result);

#endif
