/* fleet.h -- real processes on loopback, for tests and measurements

   A fleet is a stand-in for the platform's log, agents with a stand-in for a
   backend server each, and entries, all on free ports.  A function that cannot
   start a process or waits too long for it aborts the test.  Fleet_Finish ends
   all processes, each by its own process id.
*/

#ifndef BW_FLEET_H
#define BW_FLEET_H

#include <glib.h>

#include "blockingclient.h"
#include "process.h"

#define FLEET_AGENTS_MAX 64
#define FLEET_ENTRIES_MAX 8

typedef BwProcess FleetProcess;

/* Starts a program.  Its output goes to a file in `dir`. */
void
FleetProcess_Start(FleetProcess *process, const char *dir, const char *name,
                   char **argv);

/* Waits until the process has printed its port. */
void
FleetProcess_WaitStarted(FleetProcess *process);

/* Kills the process if it still runs and frees what the struct holds. */
void
FleetProcess_Finish(FleetProcess *process);

/* Removes the folder of a test, unless the environment variable BW_KEEP is
   set, and frees `dir`. */
void
Fleet_RemoveFiles(char *dir);

typedef struct FleetPlan {
    uint32_t agents;
    uint32_t entries;
    uint32_t slots;       /* of each backend stand-in */
    uint32_t run_us;      /* of a task whose body holds no run_us */
    const char *services; /* separated by spaces; agent i offers service i
                             modulo their count */
    const char *settings; /* YAML lines added to each process's settings */
    const char *entry_settings; /* and to each entry's */
    const char *authority;      /* PEM file of the CA, if entries use TLS */
    const char *text;           /* operators' configuration; NULL: example */
} FleetPlan;

typedef struct Fleet {
    FleetPlan plan;
    char *dir;
    FleetProcess log;
    FleetProcess agents[FLEET_AGENTS_MAX];
    FleetProcess backends[FLEET_AGENTS_MAX];
    FleetProcess entries[FLEET_ENTRIES_MAX];
    FleetProcess retired[FLEET_AGENTS_MAX]; /* backends of previous agents */
    uint32_t retired_count;
} Fleet;

/* The answer to a job. */
typedef struct FleetAnswer {
    uint32_t status; /* HTTP status; 0: no answer */
    char *state;
    char *error; /* NULL for a complete job */
    char *ran;
    uint32_t answers;
    uint32_t wrong; /* answers that differ from the task's body */
    uint64_t took_us;
} FleetAnswer;

/* Starts all processes, publishes the configuration, and waits until every
   entry sees every agent and has the configuration in force and every agent
   knows the slots of every other. */
void
Fleet_Init(Fleet *fleet, const FleetPlan *plan);

/* Ends the processes that still run and calls Fleet_RemoveFiles. */
void
Fleet_Finish(Fleet *fleet);

/* Starts agent i again after its end, with a new backend stand-in.  The
   previous stand-in keeps running and still counts for Fleet_CountStarts. */
void
Fleet_RestartAgent(Fleet *fleet, uint32_t i);

/* Starts entry i again after its end. */
void
Fleet_RestartEntry(Fleet *fleet, uint32_t i);

/* Sends a signal to the process.  With SIGKILL also waits for its end. */
void
Fleet_Signal(FleetProcess *process, int number);

/* Waits up to `timeout_us` for the process to end.  Returns whether it did,
   with *exit_code set. */
bool
Fleet_WaitEnd(FleetProcess *process, uint64_t timeout_us, int *exit_code);

/* Waits until entries see `agents` agents on the ring. */
void
Fleet_WaitRing(Fleet *fleet, uint32_t agents);

/* Returns the JSON text of a job with `tasks` tasks, which the caller must
   g_free().  The body of task I is "task=I run_us=N EXTRA". */
char *
Fleet_JobText(const char *member, const char *service, const char *key,
              uint32_t tasks, uint64_t run_us, uint64_t deadline_wall_us,
              const char *extra);

/* Submits a job through an entry and waits for the answer, which the caller
   must pass to FleetAnswer_Clear. */
void
Fleet_Submit(BwBlockingClient *caller, const char *job, FleetAnswer *answer);

/* Does the same, but disconnects without an answer after `timeout_us`. */
void
Fleet_SubmitWithin(BwBlockingClient *caller, const char *job,
                   uint64_t timeout_us, FleetAnswer *answer);

void
FleetAnswer_Clear(FleetAnswer *answer);

/* Sends one HTTP request to a port of loopback.  Returns the status, 0 without
   an answer.  The caller must free() reply->body. */
uint32_t
Fleet_Request(uint32_t port, const char *method, const char *path,
              const char *body, BwBlockingReply *reply);

/* Returns the value of a metric of a process, 0 if it has no such metric. */
uint64_t
Fleet_ReadMetric(uint32_t port, const char *name);

/* Adds the starts that a backend stand-in has counted to `counts`, which maps
   "JOB TASK" to a number.  Does nothing if the stand-in does not run. */
void
Fleet_AddStarts(const FleetProcess *backend, GHashTable *counts);

/* Returns the starts that all running backend stand-ins have counted, as
   "JOB TASK" and a number.  The caller must destroy the table. */
GHashTable *
Fleet_ListStarts(Fleet *fleet);

/* Sets *total to the sum of the starts that the running backend stand-ins have
   counted, and *repeated to the number of tasks that were started more than
   once. */
void
Fleet_CountStarts(Fleet *fleet, uint64_t *total, uint64_t *repeated);

/* The result of a command: exit code, or -1 after a signal, and output. */
typedef struct FleetCommandResult {
    int code;
    char *out;
    char *err;
} FleetCommandResult;

/* Runs brasswing with --log and --entry of the fleet and with arguments that
   are separated by spaces.  The caller must pass the result to
   FleetCommandResult_Clear. */
void
Fleet_RunCommand(const Fleet *fleet, FleetCommandResult *run,
                 const char *arguments);

void
FleetCommandResult_Clear(FleetCommandResult *run);

/* Publishes a configuration with brasswing and, unless `base` is NULL, with
   --base.  Returns the exit code. */
int
Fleet_Publish(Fleet *fleet, const char *text, const char *base);

#endif
