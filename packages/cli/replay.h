/* replay.h -- replays a trace against a running fleet

   One event loop sends every job when it is due, without waiting for the jobs
   before it.  A job that gets no answer is submitted again under the same key
   to the next entry, as a client would do.  Every key gets a suffix that is
   unique to the run, so that a trace can be replayed again on the same fleet.

   The fleet file lists the processes whose counters and starts are read and to
   which faults are sent:

     {"processes": [{"name": "agent-0", "role": "agent", "port": N, "pid": N}]}

   Roles are log, agent, entry and backend.  All ports are on 127.0.0.1.

   The command replay (replaycmd.c) uses this.
*/

#ifndef BW_REPLAY_H
#define BW_REPLAY_H

#include "brasswing.h"
#include "httpclient.h"
#include "trace.h"

#define BW_REPLAY_ENTRIES_MAX 16
#define BW_REPLAY_PROCESSES_MAX 256
#define BW_REPLAY_MARKS_MAX 16

typedef enum BwReplayEnd {
    BW_REPLAY_NOT_ANSWERED, /* no valid answer by the deadline */
    BW_REPLAY_COMPLETE,     /* an answer for every task, in order */
    BW_REPLAY_PARTIAL,      /* answers are missing or of another task */
    BW_REPLAY_NOT_RUN,      /* error: no task was run */
    BW_REPLAY_MAY_HAVE_RUN, /* error: tasks may have run */
} BwReplayEnd;

typedef struct BwReplay BwReplay;

typedef struct BwReplayJob {
    BwReplay *replay;
    const BwTraceJob *trace;
    BwJobId id;
    char key[300];
    char *text; /* body of the submission */
    size_t text_bytes;
    uint32_t entry;
    uint64_t deadline_us;
    uint64_t first_sent_us;
    uint64_t resend_at_us; /* 0: not due again */
    uint64_t took_us;
    bool is_finished;
    BwReplayEnd end;
    uint32_t status;
    char error[48];
    uint32_t starts;       /* counted by the backend servers */
    uint32_t *task_starts; /* the same, by task */
} BwReplayJob;

/* Counters of one process at a mark. */
typedef struct BwReplayCounters {
    bool is_known;
    bool counts_wasted; /* false: the process does not count them */
    uint64_t messages;
    uint64_t wasted;
    uint64_t cpu_us;
    uint64_t resident_bytes;
    uint64_t starts; /* tasks started by an agent */
} BwReplayCounters;

typedef struct BwReplayProcess {
    BwReplay *replay;
    const char *name;
    const char *role;
    int64_t pid;
    BwHttpClient client;
} BwReplayProcess;

/* The counters of all processes at one time. */
typedef struct BwReplayMark {
    BwReplay *replay;
    const char *name;
    uint64_t at_us;
    BwReplayCounters counters[BW_REPLAY_PROCESSES_MAX];
} BwReplayMark;

struct BwReplay {
    const BwTrace *trace;
    h2o_loop_t *loop;
    BwHttpClient entries[BW_REPLAY_ENTRIES_MAX];
    uint32_t entry_count;
    SSL_CTX *tls;      /* towards the entries; NULL: plain HTTP */
    char headers[512]; /* headers of every request to an entry */
    json_t *fleet;
    BwReplayProcess *processes;
    uint32_t process_count;
    BwReplayMark *marks; /* the first and last bound the run */
    uint32_t mark_count;
    BwReplayJob *jobs;
    uint32_t finished_count;
    uint32_t pending_requests; /* submissions are not counted */
    uint64_t start_us;
    uint64_t start_wall_us;
    uint64_t next_progress_us;
    uint64_t run_id; /* suffix of the keys of this run */
    char error_message[256];
};

/* Prepares a replay through `entry_count` entries, each HOST:PORT.  `fleet` is
   an object as in the fleet file, or NULL; the replay takes ownership of it.
   Returns false with an error message in `replay`.  Call BwReplay_Finish in
   either case. */
bool
BwReplay_Init(BwReplay *replay, const BwTrace *trace,
              const char *const *entries, uint32_t entry_count, json_t *fleet);

/* Uses TLS towards the entries when `authority`, a PEM file, is not NULL, and
   sends `token` when that is not NULL.  Returns false with an error message in
   `replay`. */
bool
BwReplay_UseKeys(BwReplay *replay, const char *authority, const char *tls_name,
                 const char *token);

void
BwReplay_Finish(BwReplay *replay);

/* Replays the trace to its end and shows the progress on standard error. */
void
BwReplay_Run(BwReplay *replay);

/* Returns the process of that name, or NULL. */
BwReplayProcess *
BwReplay_FindProcess(BwReplay *replay, const char *name);

/* Adds a mark and requests the counters of all agents and entries.  They are
   stored in the mark as the processes answer.  Marks over the maximum are
   ignored. */
void
BwReplay_TakeMark(BwReplay *replay, const char *name);

/* Sends the signal and posts the control message of a fault event. */
void
BwReplay_InjectFault(BwReplay *replay, json_t *event);

/* Requests the starts that the backend servers have counted. */
void
BwReplay_ReadStarts(BwReplay *replay);

/* Returns the report, with the checked outcomes, as a JSON object; json_decref
   it. */
json_t *
BwReplay_Report(BwReplay *replay);

/* Checks the outcomes that the trace expects.  Returns an array of objects
   with the keys outcome, ok, checked, violated and detail; json_decref it. */
json_t *
BwReplay_CheckOutcomes(const BwReplay *replay);

#endif
