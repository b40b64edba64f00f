/* experiment.h -- reads an experiment: fleet, traffic, faults, outcomes

   An experiment is a YAML file.  Only `name` and `classes` are required:

     name: dispatcher-killed
     about: one line
     seed: 1
     duration_ms: 3000      how long jobs arrive
     settle_ms: 1500        time without new jobs after that; faults may
                            still be injected
     configured: true       false: the fleet starts without a configuration,
                            and a fault with do: configure publishes it
     store: '{"mode": "ok"}'  control text sent to the store before any
                            other process starts
     fleet: {dispatchers: 2, workers: 4, cpu: 4000, mem: 8000,
             clock_permille: 980, routes: 0, production: PROGRAM}
     classes:
       - {name: urgent, priority: 0, target_ms: 2000, rate_per_s: 10,
          burst_jobs: 0, burst_every_ms: 0, tasks: 4, run_ms: 50, cpu: 1000,
          mem: 500, spread: 0, clients: 8, deadline_ms: 10000,
          give_up_permille: 0, give_up_ms: 100, from_ms: 0, until_ms: 0,
          resend_ms: 0, crash_permille: 0}
     faults:
       - {at_ms: 1000, target: dispatcher-0, do: kill}
       - {at_ms: 1000, target: worker-1, do: tell, text: '{"fail": true}'}
     outcomes:
       - {expect: completed, class: urgent, at_least: 10}

   A target is KIND-N, or KIND for all processes of this kind; a kind is
   dispatcher, supervisor, worker, store or ingress.  The target of `forbid` is
   the name of a class.  `reload` leaves another of the dispatchers out of the
   process's settings and sends it SIGHUP.  `fleet.routes` adds routes that no
   job uses.  With `fleet.production` the dispatchers and supervisors start as
   that program, an earlier build of brasswingd; `upgrade` stops a process of
   it gracefully and starts the present build in its place, and `downgrade`
   does the reverse.  Later faults wait until the previous process has ended.
   Each rule of labcounters.h is checked in every experiment without being
   listed in `outcomes`.  `at_most` is 0 by default, or without limit if
   `at_least` is given.  lab.c loads the experiments of its command line.
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
    uint32_t crash_permille;    /* share of jobs whose first task crashes */
    uint32_t from_ms, until_ms; /* when jobs arrive; until_ms 0: duration_ms */
    /* A caller that finds no dispatcher, or whose connection breaks, sends its
       job again after this time, with what is left of its deadline; 0: it
       does not. */
    uint32_t resend_ms;
} BwLabClass;

typedef enum BwLabAction {
    BW_LAB_KILL,
    BW_LAB_FREEZE,
    BW_LAB_THAW,
    BW_LAB_STOP,  /* planned stop, with SIGTERM */
    BW_LAB_START, /* starts it again, once the previous process has ended */
    BW_LAB_TELL,  /* sends `text` to an emulated process */
    BW_LAB_CONFIGURE,
    BW_LAB_FORBID,    /* removes the route of a class from the configuration */
    BW_LAB_RELOAD,    /* rewrites the settings with other peers, then SIGHUP */
    BW_LAB_UPGRADE,   /* planned stop, then a start of the present build */
    BW_LAB_DOWNGRADE, /* the same, back to the production build */
} BwLabAction;

/* Returns the name of an action in the files. */
const char *
BwLabAction_Name(BwLabAction action);

/* Returns whether the action stops a process gracefully. */
bool
BwLabAction_IsPlannedStop(BwLabAction action);

typedef struct BwLabFault {
    uint32_t at_ms;
    char target[BW_LAB_NAME_BYTES];
    uint32_t action; /* BwLabAction */
    char text[256];
} BwLabFault;

typedef struct BwLabOutcome {
    char expect[BW_LAB_NAME_BYTES];
    char job_class[BW_LAB_NAME_BYTES]; /* empty: all classes */
    uint32_t worker; /* index of the worker, for `worker_starts` */
    uint32_t at_least, at_most;
} BwLabOutcome;

typedef struct BwLabFleet {
    uint32_t dispatchers, workers;
    uint32_t cpu, mem;
    uint32_t clock_permille;
    uint32_t routes;
    char production[256]; /* path of an earlier brasswingd; empty: none */
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

/* Reads and validates a file and fills in defaults.  Returns true when no
   fault was added to `faults`.  The caller must call BwExperiment_Finish in
   either case. */
bool
BwExperiment_Load(BwExperiment *experiment, const char *path,
                  BwYamlFaults *faults);

void
BwExperiment_Finish(BwExperiment *experiment);

/* Returns whether a target names process `number` of `kind`. */
bool
BwLabTarget_Matches(const char *target, const char *kind, uint32_t number);

#endif
