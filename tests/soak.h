/* soak.h -- the parts of the fault soak, see soak.c */

#ifndef SOAK_H
#define SOAK_H

#include <stdio.h>

#include <glib.h>

#include "experiment.h"

#define SOAK_DISTURBANCES_MAX 64
#define SOAK_CLOCK_STEPS_MAX 3

/* A fault and, unless it is over at once, what ends it. */
typedef struct SoakDisturbance {
    BwLabFault begin;
    BwLabFault end; /* at_ms 0: none */
} SoakDisturbance;

/* A step of the wall clock of half of the processes, and back. */
typedef struct SoakClockStep {
    uint32_t at_ms;
    uint32_t for_ms;
    uint32_t half; /* 0 or 1 */
    int32_t ahead_s;
} SoakClockStep;

typedef struct SoakPlan {
    uint32_t seed;
    bool is_wide; /* as many processes as the fleet allows */
    /* Share of the urgent jobs with a task that crashes its worker. */
    uint32_t crash_permille;
    SoakClockStep clock_steps[SOAK_CLOCK_STEPS_MAX];
    uint32_t clock_step_count;
    SoakDisturbance disturbances[SOAK_DISTURBANCES_MAX];
    uint32_t disturbance_count;
} SoakPlan;

/* Violations of one run, one line each. */
typedef struct SoakReport {
    GPtrArray *lines; /* of char * */
    GMutex lock;      /* callers report from their threads */
    char *dir;        /* the processes' files, kept after a violation */
} SoakReport;

void
SoakReport_Init(SoakReport *report);

void
SoakReport_Finish(SoakReport *report);

/* Adds a violation.  May be called from any thread. */
void
SoakReport_Add(SoakReport *report, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* Draws the disturbances of dispatchers, supervisors, workers and store. */
void
SoakBound_Draw(SoakPlan *plan);

/* Plays them against real dispatchers and supervisors.  `daemon` and `lab` are
   the paths of brasswingd and brasswing. */
void
SoakBound_Play(const SoakPlan *plan, const char *daemon, const char *lab,
               SoakReport *report);

/* Plays clients that misbehave and keep their connections until the process is
   gone, beside signals, restarts and changes of the configuration. */
void
SoakCrowd_Play(uint32_t seed, bool is_wide, const char *daemon,
               const char *lab, SoakReport *report);

/* Plays faults that are drawn from the seed against real entries and
   agents. */
void
SoakKeyed_Play(uint32_t seed, SoakReport *report);

#endif
