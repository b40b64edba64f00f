/* labrunner.h -- runs an experiment and records what happened

   One loop sends the jobs of the emulated callers and injects the faults, in
   real time against real processes.  The records are the callers' outcomes
   and the ledgers of the workers and of the ingress; the counters of
   labcounters.h are computed from them.  lab.c runs each experiment with it.
*/

#ifndef BW_LABRUNNER_H
#define BW_LABRUNNER_H

#include <stdio.h>

#include <jansson.h>

#include "clientrequests.h"
#include "experiment.h"
#include "labfleet.h"

typedef enum BwLabEnd {
    BW_LAB_OPEN,       /* the request is in progress */
    BW_LAB_COMPLETED,  /* 200, and the body says completed */
    BW_LAB_REFUSED,    /* 429 or 503: no task of the job ran */
    BW_LAB_FAILED,     /* 200 without completion, or another status */
    BW_LAB_TIMED_OUT,  /* 504 */
    BW_LAB_NOT_FOUND,  /* 404 */
    BW_LAB_UNANSWERED, /* the connection broke, or the caller timed out */
    BW_LAB_GAVE_UP,    /* the caller disconnected on purpose (give_up_ms) */
    BW_LAB_END_COUNT
} BwLabEnd;

typedef struct BwLabJob {
    char name[20];
    uint32_t job_class;
    bool will_give_up;
    bool crashes;       /* its first task crashes the worker */
    uint64_t sent_us;   /* first */
    uint64_t resend_us; /* when it is sent again; 0: it is not */
    uint64_t ended_us;
    uint32_t status;
    BwLabEnd end;
    char *reason; /* from the error reply, allocated; NULL: none */
} BwLabJob;

/* A fault with the time when it was injected. */
typedef struct BwLabInjectedFault {
    const BwLabFault *fault;
    uint64_t at_us;
} BwLabInjectedFault;

typedef struct BwLabRunner {
    const BwExperiment *experiment;
    BwFleet fleet;
    BwClientRequests requests;
    BwLabJob **jobs;
    uint32_t job_count, job_capacity;
    uint32_t resend_count;        /* jobs that wait to be sent again */
    BwLabInjectedFault *injected; /* the faults injected so far, in order */
    uint32_t injected_count;
    uint64_t *next_arrival_us; /* next arrival, per class */
    uint64_t *next_burst_us;   /* next burst, per class */
    bool *is_forbidden;        /* the class has no route, per class */
    uint32_t config_revision;  /* published last */
    uint64_t seed;
    uint64_t start_us, end_us; /* when the runner's loop started and ended */
    json_t *workers;           /* array: the ledger of each worker */
    json_t *ingress;           /* ledger: one row per connection */
    uint32_t usable_workers;   /* at the end, at the dispatcher with fewest */
    uint32_t held_up_ms;       /* longest iteration of the loop */
    /* Exits with a non-zero code, or by a signal other than the runner's
       SIGKILL. */
    uint32_t crashes;
    /* The last fault, while the processes that it replaces are stopping. */
    const BwLabFault *replacement;
    char fault[320]; /* error message of a failed run */
} BwLabRunner;

/* Runs the whole experiment.  `daemon` and `lab` are the paths of brasswingd
   and brasswing; the processes' settings and output are written to the
   directory `dir`, which the caller owns.  A progress line goes to `progress`
   unless it is NULL.  Returns false with runner->fault set when memory ran
   out, the fleet did not start, or a ledger could not be read.  The caller
   must call BwLabRunner_Finish in either case. */
bool
BwLabRunner_Run(BwLabRunner *runner, const BwExperiment *experiment,
                const char *daemon, const char *lab, char *dir,
                FILE *progress);

/* Ends the fleet's processes and frees all records. */
void
BwLabRunner_Finish(BwLabRunner *runner);

#endif
