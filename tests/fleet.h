/* fleet.h -- real processes on loopback, for tests and measurements

   A fleet is a log stand-in, agents with a backend stand-in each, and
   entries, all on free ports.  Every process is started by its own id and
   ended by Fleet_Finish.
*/

#ifndef BW_FLEET_H
#define BW_FLEET_H

#include <glib.h>

#include "blockingclient.h"
#include "process.h"

#define FLEET_AGENTS_MAX 64
#define FLEET_ENTRIES_MAX 8

typedef BwProcess FleetProcess;

/* Starts a program, with its output in a file of `dir`. */
void
FleetProcess_Start(FleetProcess *process, const char *dir, const char *name,
                   char **argv);

/* Waits until it has printed its port; aborts the test when it does not. */
void
FleetProcess_WaitStarted(FleetProcess *process);

/* Ends it if it runs, and forgets it. */
void
FleetProcess_Finish(FleetProcess *process);

/* Removes the files of a test, unless BW_KEEP is set, and frees `dir`. */
void
Fleet_RemoveFiles(char *dir);

typedef struct FleetPlan {
    uint32_t agents;
    uint32_t entries;
    uint32_t slots;       /* of each backend stand-in */
    uint32_t run_us;      /* of a task that does not say */
    const char *services; /* of the agents, in turn, separated by spaces */
    const char *settings; /* YAML lines added to each process's settings */
    const char *entry_settings; /* and to each entry's */
    const char *authority;      /* PEM file, when entries speak TLS */
    const char *text;           /* operators' text; NULL takes the example */
} FleetPlan;

typedef struct Fleet {
    FleetPlan plan;
    char *dir;
    FleetProcess log;
    FleetProcess agents[FLEET_AGENTS_MAX];
    FleetProcess backends[FLEET_AGENTS_MAX];
    FleetProcess entries[FLEET_ENTRIES_MAX];
    FleetProcess retired[FLEET_AGENTS_MAX]; /* backends of former agents */
    uint32_t retired_count;
} Fleet;

/* What became of a job. */
typedef struct FleetAnswer {
    uint32_t status; /* of HTTP; 0: no answer */
    char *state;
    char *error; /* NULL for a complete job */
    char *ran;
    uint32_t answers;
    uint32_t wrong; /* answers that differ from the task's body */
    uint64_t took_us;
} FleetAnswer;

/* Starts everything, publishes the text and waits until every entry knows
   every agent and has the text in force.  Aborts the test on failure. */
void
Fleet_Init(Fleet *fleet, const FleetPlan *plan);

/* Ends what still runs and removes the files, unless BW_KEEP is set. */
void
Fleet_Finish(Fleet *fleet);

/* Starts agent i again after its end, with a new backend stand-in.  The former
   stand-in runs and counts on. */
void
Fleet_RestartAgent(Fleet *fleet, uint32_t i);

/* Starts entry i again after its end. */
void
Fleet_RestartEntry(Fleet *fleet, uint32_t i);

/* Sends a signal; with SIGKILL also waits for the end. */
void
Fleet_Signal(FleetProcess *process, int number);

/* Waits up to `timeout_us` for the process to end.  Returns whether it did,
   with *exit_code set. */
bool
Fleet_WaitEnd(FleetProcess *process, uint64_t timeout_us, int *exit_code);

/* Waits until entries see `agents` agents on the ring. */
void
Fleet_WaitRing(Fleet *fleet, uint32_t agents);

/* Writes a job; free it.  Each body is "task=I run_us=N EXTRA". */
char *
Fleet_JobText(const char *member, const char *service, const char *key,
              uint32_t tasks, uint64_t run_us, uint64_t deadline_wall_us,
              const char *extra);

/* Submits a job through an entry and waits.  Clear the answer afterwards. */
void
Fleet_Submit(BwBlockingClient *caller, const char *job, FleetAnswer *answer);

/* Goes away without an answer after `timeout_us`. */
void
Fleet_SubmitWithin(BwBlockingClient *caller, const char *job,
                   uint64_t timeout_us, FleetAnswer *answer);

void
FleetAnswer_Clear(FleetAnswer *answer);

/* Calls an HTTP port once. */
uint32_t
Fleet_Call(uint32_t port, const char *method, const char *path,
           const char *body, BwBlockingReply *reply);

/* Reads a counter of a process; 0 when it has none of that name. */
uint64_t
Fleet_Counter(uint32_t port, const char *name);

/* Adds a backend's starts, as "JOB TASK" and a count. */
void
Fleet_AddStarts(const FleetProcess *backend, GHashTable *counts);

/* Returns the starts of all backend stand-ins that run; destroy it. */
GHashTable *
Fleet_StartCounts(Fleet *fleet);

/* Sums the starts that the backend stand-ins that still run have counted.
 *repeated counts (job, task) pairs started more than once. */
void
Fleet_Starts(Fleet *fleet, uint64_t *total, uint64_t *repeated);

/* What became of a command. */
typedef struct FleetRun {
    int code;
    char *out;
    char *err;
} FleetRun;

/* Runs the command line, with --log and --entry given, and with arguments
   separated by spaces.  Clear the run afterwards. */
void
Fleet_Run(const Fleet *fleet, FleetRun *run, const char *arguments);

void
FleetRun_Clear(FleetRun *run);

/* Publishes a text; returns the exit code of the command line. */
int
Fleet_Publish(Fleet *fleet, const char *text, const char *base);

#endif
