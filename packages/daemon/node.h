/* node.h -- what dispatchers and supervisors share

   One task with one loop: on a host of a fraction of a core, a second thread
   costs more than it gains.
*/

#ifndef BW_NODE_H
#define BW_NODE_H

#include <jansson.h>

#include "clock.h"
#include "counters.h"
#include "driver.h"
#include "filestate.h"
#include "httpclient.h"
#include "httpserver.h"
#include "log.h"
#include "mesh.h"
#include "settings.h"
#include "taskloop.h"

typedef struct BwNode BwNode;

typedef struct BwNodeOps {
    const char *name;
    bool (*init)(BwNode *node);
    void (*tick)(BwNode *node, uint64_t now_us);
    /* Begins a graceful stop. */
    void (*stop)(BwNode *node, uint64_t now_us);
    /* True once nothing is in flight any more. */
    bool (*is_stopped)(BwNode *node, uint64_t now_us);
    void (*finish)(BwNode *node);
    uint32_t (*counters)(BwNode *node, BwCounter *counters, uint32_t room);
    /* The role's part of GET /v1/status: members of one object. */
    json_t *(*status)(BwNode *node, uint64_t now_us);
} BwNodeOps;

extern const BwNodeOps BwDispatcherRole_Ops;
extern const BwNodeOps BwSupervisorRole_Ops;

struct BwNode {
    BwSettings settings;
    BwLogger logger;
    BwTaskLoop task;
    const BwDriver *driver;
    const BwNodeOps *ops;
    BwMesh mesh;
    uint64_t incarnation;
    uint32_t http_port;
    uint32_t ready_port; /* of dispatchers */
    bool is_stopping;
    uint64_t stopping_us; /* since */
    void *role;
};

/* Set by signal handlers. */
typedef struct BwSignals {
    volatile int stop_asked;
    volatile int reload_asked;
} BwSignals;

/* Runs a dispatcher or supervisor until it is asked to stop.  Takes over the
   settings, which were read from `path` after a look at it that found `file`.
   Seeds, limits.stop_ms and log_level are read again when the file changes and
   when asked.  Returns the exit code. */
int
BwNode_Serve(BwSettings *settings, const char *path, const BwFileState *file,
             BwSignals *signals);

/* Makes a call; frees its body. */
void
BwNode_Call(BwHttpClient *client, BwCallText *call, uint64_t deadline_us,
            BwHttpCallback callback, void *data);

/* Answers GET /metrics and /v1/status.  Returns false for other paths. */
bool
BwNode_ServeCommon(BwNode *node, BwExchange *exchange);

#endif
