/* driver.h -- what the product asks of a platform: names, formats and calls

   A driver turns the platform's texts into the structs below and back.  It
   keeps no state, reads no clock and decides nothing; the product opens the
   connections, sets the deadlines and repeats calls.

   Readers fill structs whose spans point into `memory`; release it with
   driver->release.  They return false when the text is not what it should be,
   with *fault naming the part.
*/

#ifndef BW_DRIVER_H
#define BW_DRIVER_H

#include <stdbool.h>

#include "messages.h"

#define BW_LABELS_MAX 16
#define BW_STEPS_MAX 32
#define BW_CALL_PATH_BYTES 320
#define BW_CALL_HEADER_BYTES 160

/* ------------------------------------------------------------- Callers */

typedef struct BwBoundStep {
    uint32_t task_count;
    BwRoom room;
    uint64_t declared_us;
    BwSpan requirement; /* a label that the worker must have, or empty */
    BwSpan affinity;    /* a label of the workers near the data, or empty */
    uint32_t spread_max;
    uint32_t after; /* bits of earlier steps that must be done first */
} BwBoundStep;

typedef struct BwBoundRequest {
    void *memory;
    BwSpan spec;
    bool is_bound;       /* nothing of it outlives the connection */
    bool is_unsupported; /* asks for something that is not built */
    BwBoundStep steps[BW_STEPS_MAX];
    uint32_t step_count;
} BwBoundRequest;

typedef enum BwBoundState {
    BW_STATE_QUEUED,
    BW_STATE_RUNNING,
    BW_STATE_COMPLETED,
    BW_STATE_FAILED,
    BW_STATE_CANCELLED,
} BwBoundState;

/* -------------------------------------------------------------- Routes */

/* A queue of callers' jobs.  Times are as configured, in microseconds. */
typedef struct BwRouteRow {
    BwSpan name;
    BwSpan host;
    BwSpan prefix;
    BwSpan service;
    uint32_t priority;
    uint32_t attempts_max;
    uint32_t stretch_permille; /* of the run time, as objective */
    uint64_t target_us;        /* added to it */
    uint64_t timeout_us;
} BwRouteRow;

typedef struct BwRouteRows {
    void *memory;
    uint64_t revision;
    uint32_t body_bytes_max;
    BwRouteRow *rows;
    uint32_t row_count;
} BwRouteRows;

/* ------------------------------------------------------------- Workers */

typedef struct BwWorkerBeat {
    void *memory;
    BwSpan instance;
    BwSpan service;
    BwSpan domain;
    BwSpan labels[BW_LABELS_MAX];
    uint32_t label_count;
    BwRoom capacity;
    uint64_t clock_ms; /* of the worker */
    uint64_t sequence;
    bool is_leaving;
    bool is_gone; /* it says that it ends now */
    bool has_capacity;
} BwWorkerBeat;

/* A call to make.  `body` is allocated; free() it. */
typedef struct BwCallText {
    const char *method;
    char path[BW_CALL_PATH_BYTES];
    char headers[BW_CALL_HEADER_BYTES];
    char *body;
    uint32_t body_bytes;
} BwCallText;

/* A lease that was asked for counts as over after so much of its time: the
   worker's clock may be slow.  Who gives a lease and who waits for its end
   reckon alike. */
#define BW_LEASE_DRIFT_PERMILLE 1030

typedef struct BwTaskOrder {
    BwSpan instance; /* the worker that is meant */
    BwSpan job;
    BwSpan spec;
    uint32_t step;
    uint32_t index;
    uint32_t run;
    uint64_t fence;
    uint64_t lease_ms; /* end of the lease, on the worker's clock; 0: none */
} BwTaskOrder;

typedef struct BwHoldOrder {
    BwSpan instance;
    uint64_t fence;
    uint64_t seen; /* ends up to this one are known */
    uint64_t lease_ms;
    uint32_t wait_ms; /* for an end */
} BwHoldOrder;

typedef enum BwWorkerVerdict {
    BW_WORKER_OK,
    BW_WORKER_NO_ANSWER, /* it may have been done */
    BW_WORKER_FENCED,    /* another supervisor has a higher fence */
    BW_WORKER_OLD_RUN,   /* a run of that number or a higher one was there */
    BW_WORKER_LATE,      /* the lease was over when it came */
    BW_WORKER_NO_ROOM,
    BW_WORKER_BAD,       /* never to be repeated */
    BW_WORKER_UNHEALTHY, /* nothing was done */
    BW_WORKER_OTHER,     /* another incarnation answers there */
} BwWorkerVerdict;

typedef enum BwEndKind {
    BW_END_DONE,
    BW_END_FAILED,
    BW_END_STOPPED,
    BW_END_LAPSED, /* the lease ran out */
} BwEndKind;

/* A task that the worker lists. */
typedef struct BwListedTask {
    BwSpan job;
    uint32_t step;
    uint32_t index;
    uint32_t run;
    uint32_t percent;
    uint64_t number; /* of an end */
    BwEndKind end;
} BwListedTask;

typedef struct BwWorkerAnswer {
    void *memory;
    BwWorkerVerdict verdict;
    uint64_t clock_ms; /* 0: not said */
    BwListedTask *running;
    uint32_t running_count;
    BwListedTask *ended;
    uint32_t ended_count;
} BwWorkerAnswer;

/* --------------------------------------------------------------- Store */

typedef struct BwStoreRecord {
    BwSpan key;
    BwSpan value; /* empty: the key was dropped */
    uint64_t offset;
} BwStoreRecord;

typedef struct BwStorePage {
    void *memory;
    uint64_t end;   /* offset after the newest record */
    uint64_t first; /* oldest retained, in a read */
    bool has_more;
    /* Of a read, also those that make no sense, with an empty key. */
    BwStoreRecord *records;
    uint32_t record_count;
} BwStorePage;

typedef enum BwStoreTopic {
    BW_TOPIC_CONFIG,  /* the operators' */
    BW_TOPIC_MEMBERS, /* the dispatchers', one record for each */
} BwStoreTopic;

/* -------------------------------------------------------------- Driver */

typedef struct BwDriver {
    void (*release)(void *memory);

    bool (*read_request)(BwSpan body, BwBoundRequest *request,
                         const char **fault);
    /* Writes the text of a state into `out`; returns its length. */
    uint32_t (*write_state)(BwBoundState state, char *out, uint32_t room);
    uint32_t (*write_waiting)(uint32_t job_count, char *out, uint32_t room);
    const char *deadline_header; /* lower case; milliseconds */
    const char *ready_path;

    bool (*read_routes)(BwSpan text, BwRouteRows *rows, const char **fault);

    /* Whether the path is one of a worker's announcements. */
    bool (*is_beat)(BwSpan method, BwSpan path);
    bool (*read_beat)(BwSpan path, BwSpan body, BwWorkerBeat *beat,
                      const char **fault);
    bool (*make_start)(const BwTaskOrder *order, BwCallText *call);
    bool (*make_stop)(const BwTaskOrder *order, BwCallText *call);
    bool (*make_hold)(const BwHoldOrder *order, BwCallText *call);
    /* `status` 0 means that there was no answer. */
    void (*read_answer)(uint32_t status, BwSpan body, BwWorkerAnswer *answer);

    bool (*make_newest)(BwStoreTopic topic, BwSpan after, BwCallText *call);
    bool (*make_read)(BwStoreTopic topic, uint64_t from, uint32_t wait_ms,
                      BwCallText *call);
    bool (*make_append)(BwStoreTopic topic, BwSpan key, BwSpan value,
                        BwCallText *call);
    bool (*read_newest)(BwSpan body, BwStorePage *page);
    bool (*read_page)(uint64_t from, BwSpan body, BwStorePage *page);
    BwSpan (*config_key)(void);
} BwDriver;

extern const BwDriver BwPlatform_Driver;

#endif
