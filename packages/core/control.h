/* control.h -- what keeps load, faults and repeats within bounds

   Sections:
     Estimate    expected run times, from what was observed
     Health      executors that fail or are slow
     Retry       a budget for repeated requests
     Admission   which jobs are refused at once
*/

#ifndef BW_CONTROL_H
#define BW_CONTROL_H

#include "policy.h"

/* -------------------------------------------------------------- Estimate */

#define BW_ESTIMATE_SIZE_CLASSES 32

/* Run times of one kind of task.  Errors and the ratio are in 1/256 of a
   factor of two. */
typedef struct BwEstimate {
    uint64_t count;
    uint64_t mean_us;
    int32_t ratio;           /* of observed to declared */
    uint32_t error_mean;     /* of the mean as a forecast */
    uint32_t error_declared; /* of the corrected declaration */
    uint8_t
        runs_by_size[BW_ESTIMATE_SIZE_CLASSES]; /* runs by the time declared */
} BwEstimate;

/* Records a run; `declared_us` is 0 when nothing was declared. */
void
BwEstimate_Record(BwEstimate *estimate, uint64_t ran_us, uint64_t declared_us);

/* Returns the expected run time; 0 when nothing is known.  A declaration is
   used where, corrected by its usual ratio, it forecast better than the mean
   did.  What was learnt from declarations of another size never makes one
   shorter. */
uint64_t
BwEstimate_Expect(const BwEstimate *estimate, uint64_t declared_us);

/* ---------------------------------------------------------------- Health */

/* Records how a task ended.  Failures leave the pace as it is. */
void
BwOutcomes_Record(BwOutcomes *outcomes, bool is_failure, uint64_t ran_us,
                  uint64_t expected_us);

/* True when the worker's own figures call for a comparison with its peers. */
bool
BwOutcomes_IsSuspect(const BwOutcomes *outcomes);

/* True when the failure that was recorded last was not the only one lately. */
bool
BwOutcomes_HasFailedBefore(const BwOutcomes *outcomes);

/* The other workers of the same service that are up, taken together. */
typedef struct BwHealthPeers {
    uint32_t count;
    uint32_t ejected;
    uint32_t paced;           /* of known pace */
    uint64_t failed_permille; /* sums over those that are not ejected */
    uint64_t pace_permille;
} BwHealthPeers;

/* When a worker is ejected, and for how long. */
typedef struct BwHealthRule {
    uint32_t times_peers; /* as many failures as they have on average */
    uint32_t ejected_share_percent; /* of all workers, at most */
    uint64_t backoff_first_us;
    uint64_t backoff_last_us;
} BwHealthRule;

/* Takes the newest outcomes of a worker; older ones are left out. */
void
BwHealth_Take(BwHealth *health, const BwOutcomes *outcomes);

/* Whether BwHealth_Judge may change anything. */
bool
BwHealth_IsInQuestion(const BwHealth *health);

void
BwHealthPeers_Add(BwHealthPeers *peers, const BwHealth *other);

/* Sums up the workers beside `worker` that offer its service. */
BwHealthPeers
BwWorkers_SumPeers(const BwWorkers *workers, const BwWorkerView *worker);

/* Compares a worker with the others: sets is_ejected and is_slow, and lets an
   ejected worker probe when its time has come.  `random` spreads the probes of
   several judges; NULL for none.  Returns true when something changed. */
bool
BwHealth_Judge(BwHealth *health, const BwHealthPeers *peers,
               const BwHealthRule *rule, BwRandom *random, uint64_t now_us);

/* ----------------------------------------------------------------- Retry */

#define BW_RETRY_ATTEMPTS_MAX 3

/* A token bucket in 1/1000 of a retry. */
typedef struct BwRetryBudget {
    uint64_t millitokens;
} BwRetryBudget;

void
BwRetryBudget_Init(BwRetryBudget *budget);

/* Each request adds its share. */
void
BwRetryBudget_Earn(BwRetryBudget *budget, uint32_t permille);

/* Returns when the next attempt may start, after a jittered back-off, and
   takes a token; 0 when the budget, the attempts or the time are used up. */
uint64_t
BwRetryBudget_Spend(BwRetryBudget *budget, BwRandom *random, uint32_t attempt,
                    uint64_t now_us, uint64_t expected_us,
                    uint64_t deadline_us);

/* ------------------------------------------------------------- Admission */

/* What is known of the load of one service. */
/* Work admitted lately, by priority: sums that are halved every so often. */
typedef struct BwAdmitted {
    uint64_t work_us[BW_PRIORITIES]; /* expected run time of tasks */
    uint64_t halved_at_us;
    uint64_t window_us; /* time before halved_at_us, halved with the sums */
} BwAdmitted;

/* Counts a job that was admitted. */
void
BwAdmitted_Add(BwAdmitted *admitted, uint64_t now_us, uint32_t priority,
               uint64_t work_us);

/* Returns how many slots the work of the priorities before `priority` keeps
   busy, if it goes on coming in as it has lately at each of `homes` homes. */
uint64_t
BwAdmitted_SlotsBefore(BwAdmitted *admitted, uint64_t now_us,
                       uint32_t priority, uint32_t homes);

typedef struct BwServiceLoad {
    uint64_t slots;
    uint64_t busy_before; /* slots that earlier priorities keep busy */
    uint64_t mean_us;     /* of a task */
    uint64_t waiting[BW_PRIORITIES]; /* tasks, of all homes */
    uint64_t kept;                   /* tasks that wait at this home */
    uint64_t team_tasks; /* unfinished ones of the job's team, here */
} BwServiceLoad;

typedef struct BwJobAsk {
    uint32_t tasks;
    uint32_t priority;
    uint64_t largest_bytes; /* declared */
    uint64_t longest_us;    /* expected */
    uint64_t total_us;      /* expected */
    uint64_t time_left_us;
    uint32_t team_tasks_max; /* 0: no ceiling */
} BwJobAsk;

typedef struct BwAdmission {
    uint32_t error; /* BwErrorKind */
    const char *detail;
    uint32_t retry_after_ms;
    uint64_t wait_us; /* expected, before the first start */
    uint64_t run_us;  /* from the first start, at most */
} BwAdmission;

BwAdmission
BwAdmission_Decide(const BwServicePolicy *policy, const BwServiceLoad *load,
                   const BwJobAsk *ask);

#endif
