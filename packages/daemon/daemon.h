/* daemon.h -- what both roles of brasswingd share */

#ifndef BW_DAEMON_H
#define BW_DAEMON_H

#include "brasswing.h"
#include "clock.h"
#include "config.h"
#include "counters.h"
#include "decisions.h"
#include "directory.h"
#include "handon.h"
#include "httpserver.h"
#include "jobjson.h"
#include "keys.h"
#include "log.h"
#include "peers.h"
#include "settings.h"
#include "taskloop.h"

typedef struct BwDaemon BwDaemon;

/* What a role does with the events of the serving task. */
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
    uint32_t (*counters)(BwDaemon *daemon, BwCounter *counters, uint32_t room);
    json_t *(*status)(BwDaemon *daemon);
    BwLoad (*load)(BwDaemon *daemon);
} BwRoleOps;

extern const BwRoleOps BwEntry_Ops;
extern const BwRoleOps BwAgent_Ops;

struct BwDaemon {
    BwSettings settings;
    BwLogger logger;
    BwTaskLoop task;
    BwDirectory directory;
    BwPeers peers;
    BwHttpServer http;
    BwKeys keys;
    uint64_t incarnation;
    BwRing ring;
    uint64_t previous_incarnation; /* of this name; 0 for none */
    BwConfig config;
    uint64_t revision;
    BwConfigMail *config_mail; /* the newest, for newcomers */
    BwHandOn handon;
    BwDecisions *decisions;
    bool is_log_up;
    bool is_leaving; /* draining or stopping: takes no new job */
    bool is_stopping;
    bool is_ready; /* the log was read once */
    const BwRoleOps *ops;
    void *role;
};

/* Describes this process to its peers. */
BwHello
BwDaemon_Hello(const BwDaemon *daemon);

/* Begins to leave the fleet: takes no new work, finishes what runs. */
void
BwDaemon_Leave(BwDaemon *daemon, const char *reason);

/* Answers GET /metrics and GET /v1/status.  Returns false for other paths. */
bool
BwDaemon_ServeCommon(BwDaemon *daemon, BwExchange *exchange);

/* Splits PREFIX MEMBER/KEY, where the prefix ends in a slash. */
bool
BwDaemon_SplitPath(BwSpan path, const char *prefix, BwSpan *member,
                   BwSpan *key);

/* Replies with an error in the callers' JSON. */
void
BwDaemon_ReplyError(BwExchange *exchange, BwErrorKind error,
                    const char *detail);

/* The same, with when to come again in whole seconds, rounded up. */
void
BwDaemon_ReplyLater(BwExchange *exchange, BwErrorKind error,
                    const char *detail, uint32_t retry_after_ms);

/* Replies with the counters as text. */
void
BwDaemon_ReplyCounters(BwExchange *exchange, const BwCounter *counters,
                       uint32_t count);

/* Refuses a request whose body is over the limit. */
void
BwDaemon_RefuseTooLarge(void *ctx, BwExchange *exchange);

/* Writes the log line of a decision, and keeps it for GET /v1/decisions. */
void
BwDaemon_LogDecision(const BwDaemon *daemon, const BwDecision *decision);

#endif
