/* node.h -- the process of a dispatcher or supervisor

   Runs the event loop and the mesh, reloads the settings, and calls the
   functions of the role (BwNodeOps) in dispatchrole.c or superviserole.c.  The
   process has one thread: on a host with a fraction of a core, a second thread
   costs more than it gains.  main.c runs it.
*/

#ifndef BW_NODE_H
#define BW_NODE_H

#include <jansson.h>

#include "account.h"
#include "clock.h"
#include "counters.h"
#include "driver.h"
#include "eventloop.h"
#include "filestate.h"
#include "httpclient.h"
#include "httpserver.h"
#include "log.h"
#include "loopwatch.h"
#include "mesh.h"
#include "settings.h"

typedef struct BwNode BwNode;

/* The functions of a role. */
typedef struct BwNodeOps {
    const char *name;
    /* Opens the role's sockets.  Returns false with errno set. */
    bool (*init)(BwNode *node);
    void (*tick)(BwNode *node, uint64_t now_us);
    /* Begins a graceful stop. */
    void (*stop)(BwNode *node, uint64_t now_us);
    /* True once nothing is in flight any more. */
    bool (*is_stopped)(BwNode *node, uint64_t now_us);
    void (*finish)(BwNode *node);
    /* Writes up to `capacity` counters; returns how many. */
    uint32_t (*counters)(BwNode *node, BwCounter *counters, uint32_t capacity);
    /* Returns the role's part of GET /v1/status, an object whose fields are
       merged into the reply.  The caller owns it. */
    json_t *(*status)(BwNode *node, uint64_t now_us);
} BwNodeOps;

extern const BwNodeOps BwDispatcherRole_Ops;
extern const BwNodeOps BwSupervisorRole_Ops;

struct BwNode {
    BwSettings settings;
    BwLogger logger;
    BwEventLoop event_loop;
    BwLoopWatch loop_watch;
    BwAccount account;
    const BwDriver *driver;
    const BwNodeOps *ops;
    BwMesh mesh;
    uint64_t incarnation;
    uint32_t http_port;
    uint32_t ready_port; /* dispatchers only */
    bool is_stopping;
    uint64_t stop_began_us;
    void *role;
};

/* Set by signal handlers. */
typedef struct BwSignals {
    volatile int stop_requested;
    volatile int reload_requested;
} BwSignals;

/* Runs a dispatcher or supervisor until a stop is requested.  Takes ownership
   of the settings, which were read from `path`; `file` is the state of that
   file before they were read.  Seeds, limits.stop_ms and log_level are
   reloaded when the file changes or a reload is requested; other settings take
   effect at a restart.  Returns the exit code. */
int
BwNode_Run(BwSettings *settings, const char *path, const BwFileState *file,
           BwSignals *signals);

/* Sends an HTTP request and frees its body.  `callback` is called exactly
   once, with the reply or the failure. */
void
BwNode_SendRequest(BwHttpClient *client, BwHttpRequest *request,
                   uint64_t deadline_us, BwHttpCallback callback, void *data);

/* Answers GET /metrics and GET /v1/status.  Returns false for other paths. */
bool
BwNode_ServeCommon(BwNode *node, BwExchange *exchange);

#endif
