/* supervisor.h -- the account of one worker's room, and what runs there

   A supervisor is the only caller of its worker.  The worker starts whatever
   it is told to, so this account decides: a start reserves room, and room is
   free again only when the worker has listed the task's end, or when the
   worker's lease must have run out.

   The worker's lease: everything there ends unless the supervisor renews the
   time.  Sessions: tasks of a dispatcher run while its session lasts; the
   supervisor renews it and counts from before it asked.  A dispatcher without
   tasks here is asked rarely, which lets its session lapse; its PLACE renews
   it, counted from what the dispatcher knows of this clock.

   An order without an answer may be carried out later.  A start is followed
   by a stop of the same run, which the worker remembers; only then is the
   task reported as not run.

   All times are microseconds of the caller's monotonic clock.
*/

#ifndef BW_SUPERVISOR_H
#define BW_SUPERVISOR_H

#include <uthash.h>

#include "control.h"
#include "driver.h"

#define BW_SUPERVISOR_TASKS_MAX 4096
#define BW_SUPERVISOR_JOB_BYTES 64

typedef enum BwSeatState {
    BW_SEAT_QUEUED,
    BW_SEAT_STARTING, /* the start is under way */
    BW_SEAT_RUNNING,
    BW_SEAT_STOPPING, /* asked for, or unknown: its room is not free */
} BwSeatState;

/* Text shared by the tasks of one PLACE. */
typedef struct BwSeatText {
    uint32_t references;
    uint32_t spec_bytes;
    char spec[];
} BwSeatText;

/* Names a task on the worker. */
typedef struct BwSeatKey {
    char job[BW_SUPERVISOR_JOB_BYTES];
    uint32_t step;
    uint32_t index;
} BwSeatKey;

/* A task that is queued or on the worker. */
typedef struct BwSeat {
    BwSeatKey key;
    BwSeatState state;
    uint32_t peer; /* the dispatcher's connection; 0: it is gone */
    uint64_t ref;
    BwSeatText *text;
    BwRoom room;
    uint32_t priority;
    uint32_t run;
    uint32_t percent;
    uint64_t moved_us; /* when it was last seen to go on; 0: not yet */
    uint32_t tries;
    uint64_t number; /* of this seat, never used again */
    uint64_t expected_us;
    uint64_t due_us;
    uint64_t patience_us; /* it is declined when it has no room by then */
    uint64_t deadline_us;
    uint64_t started_us;
    uint64_t doubted_us; /* since when its start is unanswered; 0: it is not */
    uint64_t stopped_us; /* when the worker acknowledged the stop; 0 */
    uint64_t listed_us;  /* when the last look that listed it was sent */
    uint64_t start_ms;   /* a start that comes later, on the worker's clock, is
                            refused there */
    uint32_t outcome;    /* BwOutcomeKind to report at the end; 0: none */
    uint32_t reason;
    bool is_confirmed; /* the worker has listed it or said yes */
    bool is_stop_in_flight;
    struct BwSeat *prev, *next; /* in the queue */
    UT_hash_handle hh;          /* by key */
    UT_hash_handle by_number;
} BwSeat;

/* One dispatcher's connection. */
typedef struct BwSupervisorPeer {
    uint32_t peer;
    uint64_t valid_until_us;
    uint64_t asked_us;
    uint64_t ask_us;    /* when it was told to expect the next ask */
    uint64_t placed_us; /* the last PLACE */
    uint64_t place_seen;
    uint32_t seat_count;
    uint32_t told_level; /* of use, in the last account */
    bool was_clear;      /* as last told */
    UT_hash_handle hh;
} BwSupervisorPeer;

typedef struct BwSupervisorPort {
    void (*send)(void *ctx, uint32_t peer, const BwMessage *message);
    /* Calls to the worker; the answers come to the functions below, never from
       inside.  One that returns false was not made and gets no answer. */
    bool (*start)(void *ctx, uint64_t number, const BwTaskOrder *order);
    bool (*stop)(void *ctx, uint64_t number, const BwTaskOrder *order);
    bool (*hold)(void *ctx, uint64_t number, const BwHoldOrder *order);
    /* `count` tasks from that of the seat on. */
    void (*log)(void *ctx, const char *event, const BwSeat *seat,
                uint32_t count, const char *reason);
} BwSupervisorPort;

typedef struct BwSupervisorLimits {
    uint64_t session_us;
    uint64_t lease_us;  /* of the worker */
    uint64_t hold_us;   /* a waiting call lasts so long at most */
    uint64_t answer_us; /* an order without an answer by then is unknown */
} BwSupervisorLimits;

typedef struct BwSupervisorCounters {
    uint64_t started;
    uint64_t done;
    uint64_t failed;
    uint64_t lost;
    uint64_t stopped;
    uint64_t declined;
    uint64_t unanswered;
    uint64_t stalled;
    uint64_t holds;
} BwSupervisorCounters;

typedef enum BwWorkerPhase {
    BW_WORKER_NONE,     /* none has announced itself, or it is gone */
    BW_WORKER_CLEARING, /* what it ran before is being stopped */
    BW_WORKER_READY,
} BwWorkerPhase;

typedef struct BwSupervisor {
    const BwSupervisorPort *port;
    void *ctx;
    BwSupervisorLimits limits;
    BwSupervisorCounters counters;

    BwWorkerPhase phase;
    char instance[BW_NAME_BYTES_MAX];
    char former[BW_NAME_BYTES_MAX]; /* instance before this one */
    char service[BW_NAME_BYTES_MAX];
    char domain[BW_NAME_BYTES_MAX];
    char labels[BW_LABELS_MAX][BW_NAME_BYTES_MAX];
    uint32_t label_count;
    BwRoom capacity;
    BwRoom used;
    bool is_worker_leaving;
    bool is_leaving;
    uint64_t beat_us;
    uint64_t beat_sequence;

    uint64_t clock_ms; /* of the worker, when it was read */
    uint64_t clock_read_us;
    uint64_t lease_end_us; /* nothing runs past it without a renewal */
    uint64_t fence;
    uint64_t seen; /* ends up to this one are known */
    uint64_t hold_number;
    uint64_t hold_sent_us;
    uint32_t holds_in_flight;
    uint64_t first_hold;   /* number of the first one to this instance */
    uint64_t first_number; /* of the first other order to it */
    uint64_t due_us;       /* an answer is overdue from then on; 0: none is */
    uint64_t last_due_us;  /* of the looks under way, the one due last */
    uint64_t lossy_until_us; /* answers were lost lately */

    uint64_t next_number;
    BwSeat *seats;   /* hash by key */
    BwSeat *numbers; /* hash by number */
    BwSeat *queue;   /* list by priority and due time */
    BwSupervisorPeer *peers;
    uint32_t queued_count;
    uint32_t queued_urgent; /* of priority 0 */
    BwOutcomes outcomes;    /* of this instance */
    uint64_t progress_us;   /* a task was last seen to go on or to be done */
    uint64_t suspect_us;    /* pause after all stood still; 0: it is sound */
    uint64_t suspect_until_us;
    uint32_t orphan_count; /* seats whose dispatcher is gone */
    bool was_usable;       /* as last told */
} BwSupervisor;

void
BwSupervisor_Init(BwSupervisor *supervisor, const BwSupervisorLimits *limits,
                  const BwSupervisorPort *port, void *ctx);

void
BwSupervisor_Finish(BwSupervisor *supervisor);

/* Takes an announcement of the worker. */
void
BwSupervisor_OnBeat(BwSupervisor *supervisor, uint64_t now_us,
                    const BwWorkerBeat *beat);

/* A dispatcher's connection opened or ended. */
void
BwSupervisor_PeerUp(BwSupervisor *supervisor, uint64_t now_us, uint32_t peer);

void
BwSupervisor_PeerDown(BwSupervisor *supervisor, uint64_t now_us,
                      uint32_t peer);

/* PLACE, STOP or SESSION. */
void
BwSupervisor_OnMessage(BwSupervisor *supervisor, uint64_t now_us,
                       uint32_t peer, const BwMessage *message);

/* Answers of the worker to the call with that number. */
void
BwSupervisor_OnStarted(BwSupervisor *supervisor, uint64_t now_us,
                       uint64_t number, const BwWorkerAnswer *answer);

void
BwSupervisor_OnStopped(BwSupervisor *supervisor, uint64_t now_us,
                       uint64_t number, const BwWorkerAnswer *answer);

void
BwSupervisor_OnHeld(BwSupervisor *supervisor, uint64_t now_us, uint64_t number,
                    uint64_t sent_us, const BwWorkerAnswer *answer);

/* Renews sessions and the lease, and ends what is overdue. */
void
BwSupervisor_Tick(BwSupervisor *supervisor, uint64_t now_us);

/* Takes no further task; those that run go on. */
void
BwSupervisor_Leave(BwSupervisor *supervisor, uint64_t now_us);

bool
BwSupervisor_IsIdle(const BwSupervisor *supervisor);

#endif
