/* control.h -- control of overload and faults

   Sections:
     Estimate    expected run times, from observed and declared ones
     Health      ejection of workers that fail, and detection of slow ones
     Retry       a budget for retries
     Admission   which jobs are refused at once

   The home uses all of them; executor, dispatcher and supervisor only Health.
*/

#ifndef BW_CONTROL_H
#define BW_CONTROL_H

#include "policy.h"

/* -------------------------------------------------------------- Estimate */

#define BW_ESTIMATE_SIZE_CLASSES 32

/* Run times of one kind of task.  The ratio and the errors are base-2
   logarithms in units of 1/256; the errors are scaled by a further 256. */
typedef struct BwEstimate {
    uint64_t count;
    uint64_t mean_us;
    int32_t ratio;           /* of observed to declared run time */
    uint32_t error_mean;     /* of the mean as an estimate */
    uint32_t error_declared; /* of the declaration with the ratio applied */
    uint8_t runs_by_size[BW_ESTIMATE_SIZE_CLASSES]; /* by declared time */
} BwEstimate;

/* Records a run; `declared_us` is 0 when no run time was declared. */
void
BwEstimate_Record(BwEstimate *estimate, uint64_t ran_us, uint64_t declared_us);

/* Returns the expected run time; 0 when no run was recorded and none is
   declared.  The declaration, corrected by the usual ratio, is used where it
   has been a better estimate than the mean.  The result is never below the
   declaration when few declarations of its size class were observed. */
uint64_t
BwEstimate_Expect(const BwEstimate *estimate, uint64_t declared_us);

/* ---------------------------------------------------------------- Health */

/* Records how a task ended.  A failure does not change the pace. */
void
BwOutcomes_Record(BwOutcomes *outcomes, bool is_failure, uint64_t ran_us,
                  uint64_t expected_us);

/* Whether the worker's own figures are bad enough to compare it with its
   peers. */
bool
BwOutcomes_IsSuspect(const BwOutcomes *outcomes);

/* Whether there were other recent failures before the last recorded one. */
bool
BwOutcomes_HasFailedRepeatedly(const BwOutcomes *outcomes);

/* Sums over the other workers of the same service that are up. */
typedef struct BwHealthPeers {
    uint32_t count;
    uint32_t ejected;
    uint32_t with_pace;       /* not ejected, and of known pace */
    uint64_t failed_permille; /* of those that are not ejected */
    uint64_t pace_permille;
} BwHealthPeers;

/* When a worker is ejected, and for how long. */
typedef struct BwEjectionRule {
    /* A worker is ejected at this multiple of its peers' average failure
       rate. */
    uint32_t failures_times_peers;
    uint32_t ejected_share_percent; /* limit, of all workers of a service */
    uint64_t backoff_first_us; /* first ejection; doubled for each further */
    uint64_t backoff_last_us;  /* limit */
} BwEjectionRule;

/* Updates a worker's outcomes, unless newer ones are known already. */
void
BwHealth_Update(BwHealth *health, const BwOutcomes *outcomes);

/* Whether a call of BwHealth_Evaluate could change the worker's state. */
bool
BwHealth_NeedsEvaluation(const BwHealth *health);

/* Adds one worker to the sums. */
void
BwHealthPeers_Add(BwHealthPeers *peers, const BwHealth *other);

/* Returns the sums over all workers but `worker` that offer its service. */
BwHealthPeers
BwWorkers_SumPeers(const BwWorkers *workers, const BwWorkerView *worker);

/* Compares a worker with its peers: sets is_ejected and is_slow, and after the
   back-off sets an ejected worker to probing.  `random` jitters the back-off,
   so that several agents do not probe at once; NULL for no jitter.  Returns
   whether the state has changed. */
bool
BwHealth_Evaluate(BwHealth *health, const BwHealthPeers *peers,
                  const BwEjectionRule *rule, BwRandom *random,
                  uint64_t now_us);

/* ----------------------------------------------------------------- Retry */

#define BW_RETRY_ATTEMPTS_MAX 3
/* A task under which this many workers or backend servers have crashed is not
   started again. */
#define BW_CRASHES_MAX 2

/* A token bucket; one retry costs 1000 millitokens. */
typedef struct BwRetryBudget {
    uint64_t millitokens;
} BwRetryBudget;

void
BwRetryBudget_Init(BwRetryBudget *budget);

/* Adds `permille` millitokens, the share of one new request. */
void
BwRetryBudget_Earn(BwRetryBudget *budget, uint32_t permille);

/* Takes a token and returns the time of the next attempt, after a jittered
   back-off.  Returns 0 and takes nothing when the budget or the attempts are
   used up, or when the attempt would not end by the deadline. */
uint64_t
BwRetryBudget_Spend(BwRetryBudget *budget, BwRandom *random, uint32_t attempt,
                    uint64_t now_us, uint64_t expected_us,
                    uint64_t deadline_us);

/* ------------------------------------------------------------- Admission */

/* Work admitted recently, by priority, as sums that decay exponentially. */
typedef struct BwAdmittedWork {
    uint64_t work_us[BW_PRIORITIES]; /* expected run time of all tasks */
    uint64_t halved_at_us;
    /* Time over which the sums were collected up to halved_at_us; it decays
       like the sums. */
    uint64_t window_us;
} BwAdmittedWork;

/* Adds the expected run time of an admitted job. */
void
BwAdmittedWork_Add(BwAdmittedWork *admitted, uint64_t now_us,
                   uint32_t priority, uint64_t work_us);

/* Returns how many slots work of priorities higher than `priority` will keep
   busy if it continues to arrive at its recent rate.  Only this home's rate is
   known; each of the `homes` homes is assumed to have the same. */
uint64_t
BwAdmittedWork_HigherPrioritySlots(BwAdmittedWork *admitted, uint64_t now_us,
                                   uint32_t priority, uint32_t homes);

/* What is known of the load of one service. */
typedef struct BwServiceLoad {
    uint64_t slots;
    /* Slots that higher priorities keep busy. */
    uint64_t higher_priority_slots;
    uint64_t mean_us;                /* run time of a task */
    uint64_t waiting[BW_PRIORITIES]; /* tasks at all homes */
    uint64_t kept;                   /* waiting tasks at this home */
    uint64_t team_tasks; /* unfinished tasks of the job's team at this home */
} BwServiceLoad;

/* What a job demands of its service. */
typedef struct BwJobDemand {
    uint32_t tasks;
    uint32_t priority;
    uint64_t largest_bytes;  /* largest declared size of a task */
    uint64_t longest_us;     /* longest expected run time of a task */
    uint64_t total_us;       /* expected run time of all tasks */
    uint64_t time_left_us;   /* until the deadline */
    uint32_t team_tasks_max; /* 0: no limit */
} BwJobDemand;

typedef struct BwAdmission {
    uint32_t error; /* BwErrorKind */
    const char *detail;
    uint32_t retry_after_ms;
    uint64_t wait_us; /* expected, until the first start */
    uint64_t run_us;  /* upper estimate, from the first start to the end */
} BwAdmission;

/* Admits the job (error BW_OK) or refuses it.  A refusal for overload says
   when to submit again; `detail` is a constant string. */
BwAdmission
BwAdmission_Decide(const BwServicePolicy *policy, const BwServiceLoad *load,
                   const BwJobDemand *demand);

#endif
