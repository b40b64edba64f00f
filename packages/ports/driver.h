/* driver.h -- the interface to the platform: its names, formats and calls

   A driver converts the platform's texts to the structs below and back.  It
   keeps no state, reads no clock and makes no decisions; the daemon opens the
   connections, sets the deadlines and repeats calls.

   Readers fill structs whose spans point into `memory`, which the caller frees
   with driver->release, also when they return false.  That is when the text is
   malformed; *fault names the part.

   The roles of the daemon call the driver.
*/

#ifndef BW_DRIVER_H
#define BW_DRIVER_H

#include <stdbool.h>

#include "messages.h"

#define BW_LABELS_MAX 16
#define BW_STEPS_MAX 32
#define BW_HTTP_PATH_BYTES 320
#define BW_HTTP_HEADERS_BYTES 160

/* ------------------------------------------------------------- Callers */

typedef struct BwBoundStep {
    uint32_t task_count;
    BwResources resources;
    uint64_t declared_us;
    BwSpan requirement; /* a label that the worker must have, or empty */
    BwSpan affinity;    /* a label of the workers near the data, or empty */
    uint32_t spread_max;
    uint32_t after; /* bit i: step i, an earlier one, must be done first */
} BwBoundStep;

typedef struct BwBoundRequest {
    void *memory;
    BwSpan spec;
    /* The job ends when the connection of its caller does. */
    bool ends_with_connection;
    bool is_unsupported; /* it asks for a feature that is not implemented */
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

/* A route, as configured: a queue of callers' jobs.  Times are in
   microseconds. */
typedef struct BwRouteRow {
    BwSpan name;
    BwSpan host;
    BwSpan prefix;
    BwSpan service;
    uint32_t priority;
    uint32_t attempts_max;
    /* The latency objective is this share of the run time plus target_us. */
    uint32_t stretch_permille;
    uint64_t target_us;
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

/* A heartbeat of a worker, or its message that it ends. */
typedef struct BwWorkerHeartbeat {
    void *memory;
    BwSpan instance;
    BwSpan service;
    BwSpan domain;
    BwSpan labels[BW_LABELS_MAX];
    uint32_t label_count;
    BwResources capacity;
    uint64_t clock_ms; /* of the worker */
    uint64_t sequence;
    /* When the instance started; it tells apart two lives under one name.  0:
       the platform does not say, and each life has a name of its own. */
    uint64_t born_ms;
    bool is_leaving;
    bool is_gone;      /* it ends now; only `instance` is set then */
    bool has_capacity; /* else `capacity` is not given */
    /* It was received by an earlier supervisor and read back: the worker may
       have changed since. */
    bool is_recalled;
} BwWorkerHeartbeat;

/* An HTTP request to send.  The caller frees `body` with free(). */
typedef struct BwHttpRequest {
    const char *method;
    char path[BW_HTTP_PATH_BYTES];
    char headers[BW_HTTP_HEADERS_BYTES];
    char *body;
    uint32_t body_bytes;
} BwHttpRequest;

/* A lease that was requested counts as over only after this share of its
   length, since the worker's clock may be slow.  The supervisor that renews it
   and a dispatcher that waits for its end must use the same value. */
#define BW_LEASE_DRIFT_PERMILLE 1030

typedef struct BwTaskOrder {
    BwSpan instance; /* the worker must be this one */
    BwSpan job;
    BwSpan spec;
    uint32_t step;
    uint32_t index;
    /* Run number: increases with each attempt to start the task. */
    uint32_t run;
    uint64_t fence;
    /* End of the renewed lease, on the worker's clock; 0: not renewed. */
    uint64_t lease_ms;
} BwTaskOrder;

/* A poll: renews the lease, waits for an end and returns the tasks there. */
typedef struct BwPollOrder {
    BwSpan instance;
    uint64_t fence;
    uint64_t last_end; /* number of the last end that is known */
    uint64_t lease_ms;
    uint32_t wait_ms; /* how long the poll may wait for a later end */
} BwPollOrder;

typedef enum BwWorkerVerdict {
    BW_WORKER_OK,
    BW_WORKER_NO_ANSWER, /* the order may have been carried out */
    /* Its address refuses connections; the order was not carried out. */
    BW_WORKER_UNREACHABLE,
    BW_WORKER_FENCED,  /* another supervisor has a higher fence */
    BW_WORKER_OLD_RUN, /* the task had a run with this or a higher number */
    BW_WORKER_LATE,    /* the lease had ended when the order arrived */
    BW_WORKER_NO_ROOM,
    BW_WORKER_BAD_ORDER,      /* refused for good: not to be repeated */
    BW_WORKER_UNHEALTHY,      /* the order was not carried out */
    BW_WORKER_WRONG_INSTANCE, /* another instance is at the address */
} BwWorkerVerdict;

typedef enum BwEndKind {
    BW_END_DONE,
    BW_END_FAILED,
    BW_END_STOPPED,
    BW_END_LAPSED, /* ended by the worker when the lease had ended */
} BwEndKind;

/* A task that the worker lists as running or ended. */
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
    uint64_t clock_ms; /* 0: not given */
    uint64_t born_ms;  /* as in a heartbeat; 0: not given */
    BwListedTask *running;
    uint32_t running_count;
    BwListedTask *ended;
    uint32_t ended_count;
    /* A list is missing or could not be read whole, so that what is not listed
       may still be there. */
    bool is_incomplete;
} BwWorkerAnswer;

/* --------------------------------------------------------------- Store */

typedef struct BwStoreRecord {
    BwSpan key;
    BwSpan value; /* empty: the key was deleted */
    uint64_t offset;
} BwStoreRecord;

typedef struct BwStorePage {
    void *memory;
    uint64_t end;   /* offset after the newest record */
    uint64_t first; /* of a read: offset of the oldest retained record */
    bool has_more;
    /* Those of a read include malformed ones, which have an empty key. */
    BwStoreRecord *records;
    uint32_t record_count;
} BwStorePage;

typedef enum BwStoreTopic {
    /* What operators write: the configuration, and evacuations of failure
       domains. */
    BW_TOPIC_CONFIG,
    BW_TOPIC_DISPATCHERS, /* addresses of the dispatchers, a record for each */
    BW_TOPIC_WORKERS,     /* last heartbeats, by the supervisors' names */
    BW_TOPIC_ROUTES,      /* what was learnt of routes, by the dispatchers' */
} BwStoreTopic;

/* -------------------------------------------------------------- Driver */

typedef struct BwDriver {
    void (*release)(void *memory);

    bool (*read_request)(BwSpan body, BwBoundRequest *request,
                         const char **fault);
    /* Write an answer to a caller into `out`, which has `out_bytes` bytes;
       they return its length as snprintf does. */
    uint32_t (*write_state)(BwBoundState state, char *out, uint32_t out_bytes);
    uint32_t (*write_waiting)(uint32_t job_count, char *out,
                              uint32_t out_bytes);
    const char *deadline_header; /* in lower case; milliseconds */
    const char *ready_path;

    bool (*read_routes)(BwSpan text, BwRouteRows *rows, const char **fault);

    /* Whether a request is a heartbeat of a worker, or says that it ends. */
    bool (*is_heartbeat)(BwSpan method, BwSpan path);
    bool (*read_heartbeat)(BwSpan path, BwSpan body,
                           BwWorkerHeartbeat *heartbeat, const char **fault);
    /* Make a request.  They return false when it can't be written or memory is
       short; no body is left then. */
    bool (*make_start)(const BwTaskOrder *order, BwHttpRequest *call);
    bool (*make_stop)(const BwTaskOrder *order, BwHttpRequest *call);
    bool (*make_poll)(const BwPollOrder *order, BwHttpRequest *call);
    /* `status` is that of HTTP, 0 when there was no answer.  Short of memory
       the answer is incomplete. */
    void (*read_answer)(uint32_t status, BwSpan body, BwWorkerAnswer *answer);

    /* Requests to the store: the newest record of each key, from the key after
       `after` on; the records from an offset on, waiting up to `wait_ms` for
       one; and an append. */
    bool (*make_newest)(BwStoreTopic topic, BwSpan after, BwHttpRequest *call);
    bool (*make_read)(BwStoreTopic topic, uint64_t from, uint32_t wait_ms,
                      BwHttpRequest *call);
    /* The store refuses an append with a lower epoch than it has seen for the
       key; 0: it is not ordered. */
    bool (*make_append)(BwStoreTopic topic, BwSpan key, BwSpan value,
                        uint64_t epoch, BwHttpRequest *call);
    bool (*read_newest)(BwSpan body, BwStorePage *page);
    bool (*read_page)(uint64_t from, BwSpan body, BwStorePage *page);
    BwSpan (*config_key)(void);
    /* Whether a key of the operators' topic asks for the evacuation of a
       failure domain, which `domain` is set to.  While its record has a value
       the domain is evacuated. */
    bool (*read_evacuation_key)(BwSpan key, BwSpan *domain);
} BwDriver;

extern const BwDriver BwPlatform_Driver;

#endif
