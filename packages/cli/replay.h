/* replay.h -- a trace played against a running fleet

   One loop sends every job when it is due, whatever became of the jobs before
   it.  A job whose entry gives no answer is submitted again under the same key
   by the next entry, as a client would.  Keys get a suffix of the run, so that
   a trace can be played again on the same fleet.

   The fleet file names the processes, for faults, counters and starts:

     {"processes": [{"name": "agent-0", "role": "agent", "port": N, "pid": N}]}

   Roles are log, agent, entry and backend.
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
    BW_REPLAY_SILENT,   /* nobody answered */
    BW_REPLAY_COMPLETE, /* every answer, each to its own task */
    BW_REPLAY_PARTIAL,  /* said to be complete, but answers lack or differ */
    BW_REPLAY_NOT_RUN,  /* an error that says that nothing was run */
    BW_REPLAY_FAILED,   /* an error that says that tasks may have run */
} BwReplayEnd;

typedef struct BwReplay BwReplay;

typedef struct BwReplayJob {
    BwReplay *replay;
    const BwTraceJob *trace;
    BwJobId id;
    char key[300];
    char *text; /* of the submission */
    size_t text_bytes;
    uint32_t entry;
    uint64_t deadline_us;
    uint64_t first_sent_us;
    uint64_t resend_at_us; /* 0: none */
    uint64_t took_us;
    bool is_over;
    BwReplayEnd end;
    uint32_t status;
    char error[48];
    uint32_t starts;       /* seen by the backend servers */
    uint32_t *task_starts; /* of each task */
} BwReplayJob;

/* Counters of one process. */
typedef struct BwReplayCounters {
    bool is_known;
    bool has_wasted; /* the process counts wasted messages */
    uint64_t messages;
    uint64_t wasted;
    uint64_t cpu_us;
    uint64_t resident_bytes;
    uint64_t starts; /* of an agent */
} BwReplayCounters;

typedef struct BwReplayProcess {
    BwReplay *replay;
    const char *name;
    const char *role;
    int64_t pid;
    BwHttpClient client;
} BwReplayProcess;

/* A reading of the counters of all processes. */
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
    char headers[512]; /* of every request to an entry */
    json_t *fleet;
    BwReplayProcess *processes;
    uint32_t process_count;
    BwReplayMark *marks; /* the first and last are of the whole run */
    uint32_t mark_count;
    BwReplayJob *jobs;
    uint32_t over_count;
    uint32_t calls; /* to processes, under way */
    uint64_t start_us;
    uint64_t start_wall_us;
    uint64_t progress_at_us;
    uint64_t run; /* makes the keys of this run its own */
    char fault[256];
};

/* Connects to the entries and the fleet of `fleet`, an object as above or
   NULL, which the replay takes over.  Returns false with replay->fault set.
   Finish the replay in either case. */
bool
BwReplay_Init(BwReplay *replay, const BwTrace *trace,
              const char *const *entries, uint32_t entry_count, json_t *fleet);

/* Speaks TLS to the entries when `authority`, a PEM file, is not NULL, and
   sends `token` when that is not NULL.  Returns false with replay->fault set.
 */
bool
BwReplay_UseKeys(BwReplay *replay, const char *authority, const char *tls_name,
                 const char *token);

void
BwReplay_Finish(BwReplay *replay);

/* Plays the trace to its end, with a progress line on standard error. */
void
BwReplay_Run(BwReplay *replay);

/* Returns the process of that name, or NULL. */
BwReplayProcess *
BwReplay_FindProcess(BwReplay *replay, const char *name);

/* Reads the counters of all processes; the mark fills as they answer. */
void
BwReplay_TakeMark(BwReplay *replay, const char *name);

/* Carries out a fault event's value. */
void
BwReplay_Fault(BwReplay *replay, json_t *event);

/* Reads the starts that the backend servers counted. */
void
BwReplay_ReadStarts(BwReplay *replay);

/* Returns the report as a JSON object, with the outcomes' verdicts. */
json_t *
BwReplay_Report(BwReplay *replay);

/* Returns the verdicts of the stated outcomes as an array of objects with the
   keys outcome, ok and detail. */
json_t *
BwReplay_Outcomes(const BwReplay *replay);

#endif
