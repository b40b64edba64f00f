/* directory.h -- the thread that reads the platform's log

   The directory owns the connection to the log.  From the records it derives
   the ring of the local region and the configuration in force.  It posts each
   change to the main thread as a complete new state, so that the threads share
   nothing; a change costs a copy of the ring or the configuration.  The main
   thread posts requests to append records of ring membership, and the state
   that another process has sent.  main.c starts the thread.
*/

#ifndef BW_DIRECTORY_H
#define BW_DIRECTORY_H

#include <uthash.h>

#include "brasswing.h"
#include "config.h"
#include "configlog.h"
#include "eventloop.h"
#include "log.h"
#include "logclient.h"
#include "settings.h"

typedef enum BwDirectoryMessageKind {
    BW_THREAD_MSG_RING = 1,    /* to the main thread: BwRingUpdate */
    BW_THREAD_MSG_CONFIG,      /* to the main thread: BwConfigUpdate */
    BW_THREAD_MSG_LOG_STATE,   /* to the main thread: BwLogStateUpdate */
    BW_THREAD_MSG_MEMBERSHIP,  /* to the directory: BwMembershipRequest */
    BW_THREAD_MSG_PEER_CONFIG, /* to the directory: BwPeerConfig */
} BwDirectoryMessageKind;

typedef struct BwRingUpdate {
    BwThreadMessage header;
    BwRing ring; /* owned by the receiver, which calls BwRing_Finish */
    /* Incarnations of the newest join of this process's name and of the one
       before; 0: none. */
    uint64_t newest_join_incarnation;
    uint64_t previous_join_incarnation;
} BwRingUpdate;

typedef struct BwConfigUpdate {
    BwThreadMessage header;
    BwRevision revision;
    char *text; /* the receiver frees it */
    uint32_t text_bytes;
    BwConfig config; /* the receiver calls BwConfig_Finish */
} BwConfigUpdate;

/* The configuration in force that a peer has sent, as the state of another
   reader of the log; see BwRevision_Adopt. */
typedef struct BwPeerConfig {
    BwThreadMessage header;
    BwRevisionRecord state; /* the receiver sets its publish_id */
    char publish_id[BW_NAME_BYTES_MAX];
    uint32_t text_bytes;
    char text[];
} BwPeerConfig;

/* Reports whether the log answers. */
typedef struct BwLogStateUpdate {
    BwThreadMessage header;
    bool is_up;
} BwLogStateUpdate;

/* Requests a record that adds an agent to the ring or removes it.  The
   directory appends the record again until its own view of the ring shows the
   change. */
typedef struct BwMembershipRequest {
    BwThreadMessage header;
    bool is_join;
    BwAgent agent;
} BwMembershipRequest;

/* When this process is to renew a record. */
typedef struct BwRenewalState {
    BwRenewal renewal;
    uint64_t retry_us; /* no append before */
    uint64_t due_us;   /* when the renewal fell due; 0: it is not due */
} BwRenewalState;

/* The newest join of a name.  `stamp` is the version of the ring that contains
   it: a renewal that states a lower version and another incarnation is out of
   date. */
typedef struct BwJoinRecord {
    char name[BW_NAME_BYTES_MAX];
    uint64_t ring_version;
    uint64_t incarnation; /* 0: the name has left the ring */
    BwRenewalState state;
    UT_hash_handle hh;
} BwJoinRecord;

/* Appends records again before the log's retention drops them. */
typedef struct BwRenewer {
    BwJoinRecord *joins; /* hash by name */
    BwRenewalState config;
    uint64_t next_check_us; /* next check of the joins */
} BwRenewer;

/* A join or leave that the ring does not show yet. */
typedef struct BwPendingMembership {
    struct BwPendingMembership *next;
    bool is_join;
    bool is_in_flight;
    uint64_t retry_at_us;
    BwAgent agent;
} BwPendingMembership;

typedef struct BwDirectory {
    BwEventLoop event_loop;
    BwEventLoop *main_loop;
    const BwSettings *settings;
    const BwLogger *logger;
    BwLogClient log;
    BwRing ring;
    BwConfigLog config;
    BwPendingMembership *pending;
    uint64_t newest_join_incarnation;
    uint64_t previous_join_incarnation;
    bool is_ring_changed;
    bool is_config_changed;
    bool is_up;         /* the log answers */
    bool is_caught_up;  /* the ring is read up to the newest record */
    uint64_t log_first; /* oldest offset that the log retains */
    uint64_t log_next;  /* offset after the newest record */
    BwRenewer renewer;
} BwDirectory;

/* Prepares the thread and its log client; its messages go to `owner`.  Returns
   false when the settings' log address is wrong. */
bool
BwDirectory_Init(BwDirectory *directory, BwEventLoop *main_loop,
                 const BwSettings *settings, const BwLogger *logger);

/* Returns a join or leave record of the agent; the caller releases it with
   json_decref. */
json_t *
BwDirectory_MakeMembershipRecord(const BwDirectory *directory,
                                 const BwAgent *agent, bool is_join);

/* Call it after the thread was stopped and joined. */
void
BwDirectory_Finish(BwDirectory *directory);

#endif
