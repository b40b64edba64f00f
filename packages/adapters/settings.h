/* settings.h -- the settings of one brasswingd process

   The settings are a YAML file that brasswingd reads at its start; a
   dispatcher or supervisor also reads it again when it changes.  Keys and
   values are checked against a schema, and settings.c adds checks of
   addresses and leases.
*/

#ifndef BW_SETTINGS_H
#define BW_SETTINGS_H

#include "brasswing.h"
#include "leasetimes.h"
#include "yamldoc.h"

#define BW_HOST_BYTES_MAX 64
#define BW_PATH_BYTES_MAX 256
#define BW_SETTINGS_BYTES_MAX 65536

#define BW_ADDRESS_BYTES_MAX 80

/* The file gives host and port, or the address as "HOST:PORT", which is split
   into the two. */
typedef struct BwEndpoint {
    char host[BW_HOST_BYTES_MAX];
    uint32_t port;
    char address[BW_ADDRESS_BYTES_MAX];
} BwEndpoint;

typedef struct BwLimits {
    uint32_t jobs;
    uint64_t job_bytes;  /* bodies and answers kept by a home */
    uint32_t body_bytes; /* body of one HTTP request */
    /* Of the machine, for this process; from body_bytes where the file has
       none. */
    uint32_t memory_mb;
    uint32_t descriptors; /* the same */
    uint32_t waiting_requests;
    uint64_t job_lifetime_ms;
    uint64_t answer_kept_ms;
    uint64_t lease_ms;      /* how long a custodian acts without renewal */
    uint64_t clock_skew_ms; /* largest difference of two hosts' clocks */
    uint64_t silence_ms;    /* wait limit for an executor that is silent */
    /* Session of a dispatcher at a supervisor, and lease of the tasks that run
       on a worker; derived from the bounds below where the file has none. */
    uint64_t session_ms;
    uint64_t worker_lease_ms;
    uint64_t resend_ms;           /* callers resend a bound job no sooner */
    uint64_t worker_lease_max_ms; /* workers accept no longer lease */
    uint64_t worker_stop_ms;      /* workers end a stopped task within */
    uint64_t contact_ms; /* silence after which contact counts as lost */
    uint64_t grace_ms;   /* from SIGTERM to SIGKILL; 0: not stated */
    /* Share of a caller's time for which a dispatcher without a configuration
       holds its request; 0: it refuses it. */
    uint32_t startup_hold_permille;
    /* A configuration is in force within; by role where the file has none. */
    uint64_t config_apply_ms;
    /* Longest duration of a planned stop; derived from grace_ms where the file
       has none. */
    uint64_t stop_ms;
} BwLimits;

/* Returns the bounds that the lengths of session and lease follow from. */
BwLeaseBounds
BwLimits_LeaseBounds(const BwLimits *limits);

/* PEM files; an empty certificate turns TLS off. */
typedef struct BwTlsFiles {
    char certificate[BW_PATH_BYTES_MAX];
    char key[BW_PATH_BYTES_MAX];
    char authority[BW_PATH_BYTES_MAX]; /* CA; between processes only */
} BwTlsFiles;

typedef struct BwSettings {
    uint32_t role; /* BW_SETTINGS_ENTRY and so on */
    char name[BW_NAME_BYTES_MAX];
    char region[BW_NAME_BYTES_MAX];
    char domain[BW_NAME_BYTES_MAX];
    BwEndpoint http;
    BwEndpoint peer;  /* agents, dispatchers: where other processes connect */
    BwEndpoint ready; /* dispatchers: where readiness is served */
    BwEndpoint metrics; /* dispatchers, supervisors: a port for monitoring */
    BwEndpoint worker;  /* supervisors: where the worker takes orders */
    BwEndpoint log;
    char log_stream[BW_NAME_BYTES_MAX];
    uint32_t log_level;       /* BwLogLevel */
    uint32_t log_format;      /* BwLogFormat */
    uint32_t backfill;        /* BwBackfillPolicy; supervisors */
    uint64_t log_retention_s; /* the log keeps a record at least this long */
    /* Processes from which an agent or entry requests the configuration while
       the log is down; the seeds of dispatchers and supervisors. */
    BwEndpoint *peers;
    uint32_t peer_count;
    BwLimits limits;
    BwTlsFiles tls;      /* for callers and operators */
    BwTlsFiles peer_tls; /* between brasswingd processes */
} BwSettings;

#define BW_SETTINGS_ENTRY 0
#define BW_SETTINGS_AGENT 1
#define BW_SETTINGS_DISPATCHER 2
#define BW_SETTINGS_SUPERVISOR 3

/* Sets the defaults, then reads and checks the file.  Adds every fault that it
   finds to `faults`.  Returns true when the settings can be used: there is no
   fault, or none but keys that this build does not know, which a later one may
   have.  Call BwSettings_Finish in either case. */
bool
BwSettings_Load(BwSettings *settings, const char *path, BwYamlFaults *faults);

void
BwSettings_Finish(BwSettings *settings);

#endif
