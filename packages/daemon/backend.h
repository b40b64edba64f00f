/* backend.h -- client of the backend server that runs beside this agent

   The backend server announces itself to the agent over HTTP and repeats the
   announcement as a heartbeat:

     PUT /v1/backend {"service": "...", "host": "...", "port": N,
                      "slots": N, "connections": N}
     DELETE /v1/backend     the backend server is leaving

   When no announcement arrives for BW_BACKEND_LEASE_US, the backend server
   counts as gone.  agent.c serves these requests and passes them here.
*/

#ifndef BW_BACKEND_H
#define BW_BACKEND_H

#include "brasswing.h"
#include "httpclient.h"

#define BW_BACKEND_LEASE_US 3000000

typedef struct BwAnnouncement {
    char service[BW_NAME_BYTES_MAX];
    char host[BW_NAME_BYTES_MAX];
    uint32_t port;
    uint32_t slots;
    uint32_t connections;
} BwAnnouncement;

/* Called once for each started task, never from inside BwBackend_Start.
   `body` lives until the callback returns. */
typedef void (*BwBackendEnded)(void *ctx, BwJobId job, uint32_t index,
                               BwErrorKind error, uint32_t status,
                               BwSpan body);

/* Called when the check that a broken connection caused has ended.  `is_there`
   tells whether the backend server accepted a further connection. */
typedef void (*BwBackendChecked)(void *ctx, bool is_there);

typedef struct BwBackendCall BwBackendCall;

typedef struct BwBackend {
    h2o_loop_t *loop;
    BwHttpClient client;
    bool has_client;
    bool is_starting; /* BwBackend_Start is on the call stack */
    /* Failed in BwBackend_Start; they end at the next tick. */
    BwBackendCall *failed_calls;
    BwAnnouncement announced;
    /* When the last announcement expires; 0: no backend server. */
    uint64_t expires_us;
    /* The connection of the check in progress; NULL: none. */
    h2o_socket_t *check;
    BwBackendEnded ended;
    BwBackendChecked checked;
    void *ctx;
} BwBackend;

void
BwBackend_Init(BwBackend *backend, h2o_loop_t *loop, BwBackendEnded ended,
               BwBackendChecked checked, void *ctx);

void
BwBackend_Finish(BwBackend *backend);

/* Parses an announcement.  Returns false and sets *fault to a static string
   when it is invalid. */
bool
BwAnnouncement_Read(BwAnnouncement *announcement, BwSpan body,
                    const char **fault);

/* Applies an announcement.  Returns false when another address or number of
   connections is announced while tasks run at the previous address; the
   backend server is to repeat the announcement later.  Also returns false when
   the HTTP client cannot be made for the address. */
bool
BwBackend_Announce(BwBackend *backend, uint64_t now_us,
                   const BwAnnouncement *announcement);

/* Whether a connection broke and it is not known yet whether the backend
   server has ended.  No task should be sent to it meanwhile. */
bool
BwBackend_IsInDoubt(const BwBackend *backend);

/* Sends a task to the backend server, which must have announced itself. */
void
BwBackend_Start(BwBackend *backend, const BwStart *start);

/* Ends calls that have failed or timed out.  Returns true once when the
   announcement of the backend server has expired. */
bool
BwBackend_Tick(BwBackend *backend, uint64_t now_us);

#endif
