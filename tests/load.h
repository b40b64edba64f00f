/* load.h -- submits jobs to a fleet from many threads and checks the results

   Each thread submits one job after the other.  Three jobs of four are
   submitted again through the next entry as long as there is no answer, or the
   answer is `not_run` or `home_lost`; for half of these the caller disconnects
   early, after at most 0.4 s, from its first request, as a rule while the job
   runs.  The other jobs end with their first answer.  faults.c and
   measure_faults.c use it.
*/

#ifndef BW_LOAD_H
#define BW_LOAD_H

#include "brasswing.h"
#include "fleet.h"

#define LOAD_MEMBER "power-purchase-agency"
#define LOAD_SERVICE "tarif-engine"
#define LOAD_ANY_HOME UINT32_MAX

typedef struct LoadPlan {
    const char *name; /* prefix of each key */
    uint32_t threads;
    uint32_t seed;
    uint32_t home; /* only keys of this agent's arcs; LOAD_ANY_HOME: all */
    bool excludes_home; /* only keys of the other agents' arcs */
    uint32_t tasks_max;
    uint32_t run_us_max;
} LoadPlan;

typedef struct LoadJob {
    char *key;
    uint32_t tasks;
    uint64_t submitted_us;
    uint64_t took_us;
    bool is_complete;
    bool is_not_run; /* the last answer is `not_run` */
    /* An attempt got no answer, or one that did not exclude a run. */
    bool may_have_run;
    bool is_partial; /* an answer was wrong or incomplete */
    uint32_t attempts;
    char *error; /* of the last answer; NULL: none */
} LoadJob;

typedef struct Load {
    Fleet *fleet;
    LoadPlan plan;
    BwRing ring;
    GThread **threads;
    gint is_stopping;
    gint next_thread;
    GMutex lock;
    GPtrArray *jobs; /* of LoadJob */
} Load;

typedef struct LoadCounts {
    uint32_t jobs;
    uint32_t complete;
    uint32_t failed;
    uint32_t not_run;
    uint32_t resubmitted;
    uint32_t served; /* completed, and submitted at or after a given time */
    uint32_t second_starts;
    uint32_t partial;
    uint32_t wrong_not_run;
} LoadCounts;

void
Load_Start(Load *load, Fleet *fleet, const LoadPlan *plan);

/* Waits until each thread has finished its current job, and 0.3 s more. */
void
Load_Stop(Load *load);

void
Load_Finish(Load *load);

/* Compares the answers with the starts that the backend stand-ins counted.
   `served` counts the jobs that were submitted at or after `since_us`, on the
   clock of BwClock_Now. */
LoadCounts
Load_Count(Load *load, uint64_t since_us);

/* Returns how many tasks of the job are in `starts`, a table from
   Fleet_AddStarts. */
uint32_t
Load_CountStartedTasks(const LoadJob *job, GHashTable *starts);

/* Makes a random key that the plan allows; free it with g_free. */
char *
Load_MakeKey(Load *load, GRand *rand);

#endif
