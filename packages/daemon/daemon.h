/* daemon.h -- the process of an entry or agent

   The state that both roles share, and replies that dispatchers and
   supervisors (node.h) use too.  The functions are in main.c, the roles in
   agent.c and entry.c.
*/

#ifndef BW_DAEMON_H
#define BW_DAEMON_H

#include "account.h"
#include "brasswing.h"
#include "clock.h"
#include "config.h"
#include "configfetch.h"
#include "counters.h"
#include "decisions.h"
#include "directory.h"
#include "eventloop.h"
#include "httpserver.h"
#include "jobjson.h"
#include "log.h"
#include "loopwatch.h"
#include "peers.h"
#include "settings.h"
#include "tls.h"

typedef struct BwDaemon BwDaemon;

/* The functions of a role, called on the main thread. */
typedef struct BwRoleOps {
    const char *name;
    bool (*init)(BwDaemon *daemon);
    void (*on_tick)(BwDaemon *daemon, uint64_t now_us);
    void (*on_ring)(BwDaemon *daemon);
    void (*on_config)(BwDaemon *daemon);
    /* Begins a graceful stop. */
    void (*stop)(BwDaemon *daemon);
    /* True once nothing is in flight any more. */
    bool (*is_stopped)(BwDaemon *daemon);
    void (*finish)(BwDaemon *daemon);
    uint32_t (*counters)(BwDaemon *daemon, BwCounter *counters,
                         uint32_t capacity);
    json_t *(*status)(BwDaemon *daemon);
    BwLoad (*load)(BwDaemon *daemon);
} BwRoleOps;

extern const BwRoleOps BwEntry_Ops;
extern const BwRoleOps BwAgent_Ops;

struct BwDaemon {
    BwSettings settings;
    BwLogger logger;
    BwEventLoop event_loop; /* event loop of the main thread */
    BwLoopWatch loop_watch;
    BwAccount account;
    BwDirectory directory;
    BwPeers peers;
    BwHttpServer http;
    BwTls tls_contexts;
    uint64_t incarnation;
    BwRing ring;
    /* Incarnation of the previous process of this name; 0: none. */
    uint64_t previous_incarnation;
    BwConfig config;
    uint64_t revision;
    /* Owns `config`, and its text for other processes that request it. */
    BwConfigUpdate *config_update;
    BwConfigFetch config_fetch;
    BwDecisions *decisions;
    bool is_log_up;
    bool is_leaving; /* draining or stopping: accepts no new job */
    bool is_stopping;
    bool is_ready; /* the log has been read to its end once */
    const BwRoleOps *ops;
    void *role;
};

/* Describes this process to its peers. */
BwHello
BwDaemon_Hello(const BwDaemon *daemon);

/* Begins to leave the fleet: the role accepts no new work and finishes what
   runs.  A second call does nothing.  `reason` is logged. */
void
BwDaemon_Leave(BwDaemon *daemon, const char *reason);

/* Answers GET of /metrics, /v1/status, /v1/nodes and /v1/decisions/MEMBER/KEY.
   Returns false for other requests. */
bool
BwDaemon_ServeCommon(BwDaemon *daemon, BwExchange *exchange);

/* Splits a path that is the prefix followed by MEMBER/KEY.  The prefix ends in
   a slash.  Returns false when the path has another form or a part is too
   long. */
bool
BwDaemon_SplitPath(BwSpan path, const char *prefix, BwSpan *member,
                   BwSpan *key);

/* Replies with the error's HTTP status and a JSON body with `detail`.  Replies
   with status 429 or 503 carry Retry-After: 1. */
void
BwDaemon_ReplyError(BwExchange *exchange, BwErrorKind error,
                    const char *detail);

/* Replies like BwDaemon_ReplyError, with a Retry-After header in whole
   seconds, rounded up; 0 sends none. */
void
BwDaemon_ReplyRetryAfter(BwExchange *exchange, BwErrorKind error,
                         const char *detail, uint32_t retry_after_ms);

/* Replies with the counters in the Prometheus text format. */
void
BwDaemon_ReplyCounters(BwExchange *exchange, const BwCounter *counters,
                       uint32_t count);

/* Refuses a request because the process holds too much for others. */
void
BwDaemon_RefuseNoRoom(void *ctx, BwExchange *exchange);

/* Returns false after it has refused a request whose body has too many values
   to be parsed. */
bool
BwDaemon_CheckValues(BwExchange *exchange);

/* Charges a server to a share of the account, and gives it the error for
   bodies over limits.body_bytes. */
void
BwDaemon_GuardServer(BwHttpServer *server, BwAccount *account,
                     BwShareKind kind);

/* Logs a decision and stores it for GET /v1/decisions. */
void
BwDaemon_LogDecision(const BwDaemon *daemon, const BwDecision *decision);

#endif
