/* scenario.h -- a small fleet on loopback, its callers, and a record

   A scenario starts the processes of a deployment by the emulator's fleet
   (packages/emulator/labfleet.h), sends requests as callers do, and reads what
   the workers ran from their ledgers.  All is written to a record.  Times are
   of the host's monotonic clock and are recorded in milliseconds since the
   scenario began.  Used by the cases of the third review.
*/

#ifndef SCENARIO_H
#define SCENARIO_H

#include "clientrequests.h"
#include "labfleet.h"

#include <stdio.h>

#define SCENARIO_HELD 0
#define SCENARIO_BROKEN 1
#define SCENARIO_CANNOT_RUN 2

#define SCENARIO_SERVICE "tarif-engine"
/* The queues; each is a route with its own path prefix. */
#define SCENARIO_QUEUE "checks"
#define SCENARIO_OTHER_QUEUE "claims"
/* A queue whose jobs are the most urgent ones. */
#define SCENARIO_URGENT_QUEUE "gate"

/* The platform's bounds of the deployments, in milliseconds. */
#define SCENARIO_CONTACT_MS 3000
#define SCENARIO_CANCEL_MS 3000
#define SCENARIO_STOP_MS 50

typedef struct Scenario {
    BwFleet fleet;
    BwClientRequests requests;
    FILE *record;
    uint64_t began_us;
    uint32_t callers; /* number of the last caller */
    bool has_trouble; /* false: the same without the disruption */
} Scenario;

/* One request of a caller.  It must live until it has ended. */
typedef struct ScenarioCall {
    Scenario *scenario;
    char what[160];
    uint64_t ended_us; /* 0: not yet */
    uint32_t status;   /* 0: no complete answer */
    char body[256];
} ScenarioCall;

/* One run of a task, from a worker's ledger. */
typedef struct ScenarioRun {
    char task[128];
    uint32_t worker;
    uint32_t number;
    uint64_t started_us;
    uint64_t ended_us; /* 0: it runs */
    char how[32];      /* it ended */
} ScenarioRun;

typedef struct ScenarioRuns {
    ScenarioRun *runs;
    uint32_t count;
} ScenarioRuns;

typedef struct ScenarioPlan {
    uint32_t dispatchers;
    uint32_t workers;
    uint64_t cpu; /* thousandths of a core of each worker */
    uint64_t mem; /* MB */
    /* Returns one of the codes above. */
    int (*play)(Scenario *scenario);
} ScenarioPlan;

/* Plays a scenario as a program: argv[1] is the case's folder, where it writes
   record.txt.  Returns the exit code. */
int
Scenario_Main(const ScenarioPlan *plan, int argc, char **argv);

/* Writes a line to the record. */
void
Scenario_Note(Scenario *scenario, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Publishes a configuration with these queues, and waits until it is in force
   and all workers are usable.  Returns whether they were. */
bool
Scenario_Configure(Scenario *scenario);

/* Returns the time in microseconds at `ms` after the beginning. */
uint64_t
Scenario_At(const Scenario *scenario, uint64_t ms);

/* Serves the open requests until that time. */
void
Scenario_WaitUntil(Scenario *scenario, uint64_t until_us);

/* Serves the open requests until the call has ended, at most until that time.
   Returns whether it has. */
bool
Scenario_WaitCall(Scenario *scenario, const ScenarioCall *call,
                  uint64_t until_us);

/* Submits a job of `tasks` tasks to a queue at a dispatcher, with that name
   and the time that its caller waits. */
void
Scenario_Submit(Scenario *scenario, ScenarioCall *call, uint32_t dispatcher,
                const char *queue, const char *name, uint32_t tasks,
                uint32_t run_ms, uint64_t deadline_ms);

/* The same of a job of two steps of one task each, the second after the
   first. */
void
Scenario_SubmitSteps(Scenario *scenario, ScenarioCall *call,
                     uint32_t dispatcher, const char *queue, const char *name,
                     uint32_t run_ms, uint64_t deadline_ms);

/* Cancels a job at a dispatcher. */
void
Scenario_Cancel(Scenario *scenario, ScenarioCall *call, uint32_t dispatcher,
                const char *queue, const char *name);

/* Sends a signal to a process and records it. */
void
Scenario_Signal(Scenario *scenario, BwProcess *process, int signal_number);

/* Starts a dispatcher again and waits until it has started.  Returns whether
   it has. */
bool
Scenario_StartDispatcher(Scenario *scenario, uint32_t dispatcher);

/* Returns the number of starts later than the platform allows after a cancel
   was acknowledged, and not before `from_us`. */
uint32_t
Scenario_CountLate(Scenario *scenario, const ScenarioRuns *runs,
                   const ScenarioCall *cancel, uint64_t from_us);

/* Reads the runs of the tasks of a job from all ledgers, in the order of their
   starts.  Returns false when a ledger cannot be read.  The caller frees
   runs->runs. */
bool
Scenario_ReadRuns(Scenario *scenario, const char *name, ScenarioRuns *runs);

/* Writes the runs to the record. */
void
Scenario_NoteRuns(Scenario *scenario, const ScenarioRuns *runs);

#endif
