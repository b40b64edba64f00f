/* trace.h -- parses a recorded trace: jobs, cancellations, faults, outcomes

   A trace is a file of JSON lines.  The first line is the header:

     {"trace": NAME, "services": {SERVICE: SLOTS}, "priorities": {CLASS: N}}

   Every other line is an outcome, or an event with the key "at_us", the time
   since the start of the replay:

     {"at_us": N, "job": {"member", "team", "service", "class", "key",
                          "lifetime_us": N, "tasks": [[D, R, COUNT], ...]}}
     {"at_us": N, "cancel": {"member", "key"}}
     {"at_us": N, "fault": {"target": PROCESS, "control": {...}}}
     {"at_us": N, "fault": {"target": PROCESS, "signal": "kill"}}
     {"at_us": N, "mark": NAME}
     {"outcome": KIND, "where": {"class": ...}, ...}

   D is the declared run time of COUNT tasks and R their real run time, both in
   microseconds.  `control` is posted to the target's /control; a signal is
   kill, stop, cont or term.  At a mark the counters of all processes are read.
   In `where`, `key` is a prefix of the job's key; other values must be equal.

   replay.h sends the jobs of a trace to a fleet.
*/

#ifndef BW_TRACE_H
#define BW_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct BwTraceTask {
    uint64_t declared_us;
    uint64_t run_us;
} BwTraceTask;

/* Strings belong to BwTrace.lines. */
typedef struct BwTraceJob {
    uint64_t at_us;
    const char *member;
    const char *team;
    const char *service;
    const char *job_class;
    const char *key;
    uint64_t lifetime_us; /* from arrival to deadline */
    BwTraceTask *tasks;
    uint32_t task_count;
} BwTraceJob;

typedef enum BwTraceEventKind {
    BW_TRACE_JOB,
    BW_TRACE_CANCEL,
    BW_TRACE_FAULT,
    BW_TRACE_MARK,
} BwTraceEventKind;

typedef struct BwTraceEvent {
    uint64_t at_us;
    BwTraceEventKind kind;
    uint32_t job;  /* index in `jobs`, for BW_TRACE_JOB */
    json_t *value; /* value of the key that names the kind */
} BwTraceEvent;

typedef struct BwTrace {
    const char *name;
    json_t *lines; /* array of the parsed lines; the header is first */
    json_t *services;
    json_t *priorities;
    BwTraceJob *jobs;
    uint32_t job_count;
    BwTraceEvent *events; /* sorted by time */
    uint32_t event_count;
    json_t **outcomes;
    uint32_t outcome_count;
    char error_message[256];
} BwTrace;

/* Parses a trace of `size_bytes` bytes.  Returns false when it is invalid,
   with a message of the line and the cause in `trace`.  Call BwTrace_Finish in
   either case. */
bool
BwTrace_Read(BwTrace *trace, const char *text, uint32_t size_bytes);

void
BwTrace_Finish(BwTrace *trace);

/* Returns the slots of a service; 0 when the header has no such service. */
uint32_t
BwTrace_Slots(const BwTrace *trace, const char *service);

/* Returns the priority of a class; 0, also that of a class that the header
   does not list, is the highest. */
uint32_t
BwTrace_Priority(const BwTrace *trace, const char *job_class);

/* Returns whether a job matches `where`, an object with any of the keys
   member, team, service, class, and key, a prefix.  NULL matches every job. */
bool
BwTraceJob_Matches(const BwTraceJob *job, json_t *where);

#endif
