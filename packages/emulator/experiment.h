/* experiment.h -- an experiment: fleet, traffic, faults, stated outcomes

   A YAML file.  Only `name` and `classes` are required:

     name: dispatcher-killed
     about: one line
     seed: 1
     duration_ms: 3000      jobs arrive for so long
     settle_ms: 1500        then nothing new comes; faults may still
     configured: true       false: a fault does it
     store: '{"mode": "ok"}'  the store, before anything else starts
     fleet: {dispatchers: 2, workers: 4, cpu: 4000, mem: 8000,
             clock_permille: 980, routes: 0}
     classes:
       - {name: urgent, priority: 0, target_ms: 2000, rate_per_s: 10,
          burst_jobs: 0, burst_every_ms: 0, tasks: 4, run_ms: 50, cpu: 1000,
          mem: 500, spread: 0, clients: 8, deadline_ms: 10000,
          give_up_permille: 0, give_up_ms: 100, from_ms: 0, until_ms: 0}
     faults:
       - {at_ms: 1000, target: dispatcher-0, do: kill}
       - {at_ms: 1000, target: worker-1, do: tell, text: '{"fail": true}'}
     outcomes:
       - {expect: completed, class: urgent, at_least: 10}

   A target is KIND-N, or KIND for all of them: dispatcher, supervisor, worker,
   store, ingress, class.  `fleet.routes` adds routes that nobody uses.  Each
   rule of rules.h is an outcome of every experiment without being stated.
*/

#ifndef BW_EXPERIMENT_H
#define BW_EXPERIMENT_H

#include "yamldoc.h"

#define BW_LAB_NAME_BYTES 48

typedef struct BwLabClass {
    char name[BW_LAB_NAME_BYTES];
    uint32_t priority;
    uint32_t target_ms;
    uint32_t rate_per_s;
    uint32_t burst_jobs, burst_every_ms;
    uint32_t tasks, run_ms, cpu, mem, spread;
    uint32_t clients;
    uint32_t deadline_ms;
    uint32_t give_up_permille, give_up_ms;
    uint32_t from_ms, until_ms; /* 0: to the end */
} BwLabClass;

typedef enum BwLabDeed {
    BW_LAB_KILL,
    BW_LAB_FREEZE,
    BW_LAB_THAW,
    BW_LAB_STOP,  /* a planned stop */
    BW_LAB_START, /* after an end */
    BW_LAB_TELL,  /* `text` to a part of the emulator */
    BW_LAB_CONFIGURE,
    BW_LAB_FORBID, /* takes the route of a class out of the configuration */
} BwLabDeed;

typedef struct BwLabFault {
    uint32_t at_ms;
    char target[BW_LAB_NAME_BYTES];
    uint32_t deed; /* BwLabDeed */
    char text[256];
} BwLabFault;

typedef struct BwLabOutcome {
    char expect[BW_LAB_NAME_BYTES];
    char job_class[BW_LAB_NAME_BYTES]; /* empty: all */
    uint32_t worker;                   /* of outcomes of one worker */
    uint32_t at_least, at_most;
} BwLabOutcome;

typedef struct BwLabFleet {
    uint32_t dispatchers, workers;
    uint32_t cpu, mem;
    uint32_t clock_permille;
    uint32_t routes;
} BwLabFleet;

typedef struct BwExperiment {
    char name[BW_LAB_NAME_BYTES];
    char about[200];
    uint32_t seed;
    uint32_t duration_ms, settle_ms;
    bool is_configured;
    char store[128];
    BwLabFleet fleet;
    BwLabClass *classes;
    uint32_t class_count;
    BwLabFault *faults;
    uint32_t fault_count;
    BwLabOutcome *outcomes;
    uint32_t outcome_count;
} BwExperiment;

/* Reads and checks a file.  Returns true when there was no fault.  Finish the
   experiment in either case. */
bool
BwExperiment_Load(BwExperiment *experiment, const char *path,
                  BwYamlFaults *faults);

void
BwExperiment_Finish(BwExperiment *experiment);

/* Whether a target names this one of its kind. */
bool
BwLabTarget_Matches(const char *target, const char *kind, uint32_t number);

#endif
