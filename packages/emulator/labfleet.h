/* labfleet.h -- starts and controls the processes of a fleet on loopback

   A fleet has dispatchers, supervisors, workers, a store and an ingress; each
   is a process.  Every dispatcher has its own door at the store, so that the
   store can fail for one of them alone: door 0 serves the operators and the
   supervisors, door 1 + i serves dispatcher i.  Ports are chosen once, so that
   a restarted process has the same addresses.  The runner runs experiments on
   a fleet, and tests use one directly.
*/

#ifndef BW_LABFLEET_H
#define BW_LABFLEET_H

#include "blockingclient.h"
#include "process.h"

#define BW_FLEET_DISPATCHERS_MAX 8
#define BW_FLEET_WORKERS_MAX 64
#define BW_FLEET_DOORS_MAX (1 + BW_FLEET_DISPATCHERS_MAX)

typedef struct BwFleetPlan {
    uint32_t dispatchers;
    uint32_t workers;
    uint64_t cpu, mem; /* capacity of each worker */
    const char *service;
    const char *daemon; /* path of brasswingd */
    /* Path of an earlier brasswingd that the processes start as, or "". */
    const char *production;
    const char *lab; /* path of brasswing */
    uint64_t seed;
    uint64_t session_ms;
    uint64_t worker_lease_ms;
    uint64_t stop_ms;
    uint32_t clock_permille; /* clock rate of every second worker */
    bool has_ingress;
    const char *store; /* control text sent to the store at start, or "" */
    /* Further limits in the settings of a role, each with a comma after it;
       NULL: none. */
    const char *dispatcher_limits;
    const char *supervisor_limits;
} BwFleetPlan;

typedef struct BwFleet {
    BwFleetPlan plan;
    char *dir;                     /* owned by the caller */
    uint32_t next_port, last_port; /* of the block that it has claimed */
    int claim_fd;                  /* holds the block */
    uint32_t reloads; /* of settings; chooses the peer that is left out */
    /* Which processes start as the production build. */
    bool is_old_dispatcher[BW_FLEET_DISPATCHERS_MAX];
    bool is_old_supervisor[BW_FLEET_WORKERS_MAX];
    BwProcess store;
    BwProcess ingress;
    BwProcess dispatchers[BW_FLEET_DISPATCHERS_MAX];
    BwProcess supervisors[BW_FLEET_WORKERS_MAX];
    BwProcess workers[BW_FLEET_WORKERS_MAX];
    uint32_t door_ports[BW_FLEET_DOORS_MAX];
    uint32_t http_ports[BW_FLEET_DISPATCHERS_MAX];
    uint32_t ready_ports[BW_FLEET_DISPATCHERS_MAX];
    uint32_t peer_ports[BW_FLEET_DISPATCHERS_MAX];
    uint32_t supervisor_ports[BW_FLEET_WORKERS_MAX];
    uint32_t worker_ports[BW_FLEET_WORKERS_MAX];
    uint32_t ingress_port;
    uint32_t ingress_control_port;
    char fault[256]; /* error message of the last failure */
} BwFleet;

/* Starts all processes without a configuration, with their settings and output
   in `dir`, and waits until each has logged that it started.  Returns false
   with fleet->fault set on failure.  The caller must call BwFleet_Finish in
   either case. */
bool
BwFleet_Init(BwFleet *fleet, const BwFleetPlan *plan, char *dir);

/* Kills the processes that still run. */
void
BwFleet_Finish(BwFleet *fleet);

/* Start a process, also again after its end, without waiting until it is up.
   Return false with fleet->fault set on failure. */
bool
BwFleet_StartDispatcher(BwFleet *fleet, uint32_t i);
bool
BwFleet_StartSupervisor(BwFleet *fleet, uint32_t i);

/* Rewrite the settings of a process with another of the dispatchers left out
   of its peers, and send it SIGHUP.  Return false with fleet->fault set on
   failure. */
bool
BwFleet_ReloadDispatcher(BwFleet *fleet, uint32_t i);
bool
BwFleet_ReloadSupervisor(BwFleet *fleet, uint32_t i);

/* Waits up to 20 s until the process has logged that it started.  Returns
   false with fleet->fault set if it has not. */
bool
BwFleet_WaitStarted(BwFleet *fleet, const BwProcess *process);

/* Returns whether each running dispatcher has exactly `count` usable workers.
   A dispatcher without a process is left out. */
bool
BwFleet_HasWorkers(const BwFleet *fleet, uint32_t count);

/* Returns whether each dispatcher that runs uses this revision of the
   configuration. */
bool
BwFleet_HasConfigRevision(const BwFleet *fleet, uint64_t revision);

/* Sends one request to a port of loopback and waits up to `timeout_us` for the
   answer.  Returns its status, or 0 without an answer.  The caller must free()
   reply->body. */
uint32_t
BwFleet_Request(uint32_t port, const char *method, const char *path,
                const char *body, uint64_t timeout_us, BwBlockingReply *reply);

/* Posts control text to an emulated process.  Returns whether the answer has
   status 200. */
bool
BwFleet_Control(uint32_t port, const char *text);

/* Reads a metric of a process from /metrics.  Returns 0 when it has none of
   this name or does not answer. */
uint64_t
BwFleet_ReadMetric(uint32_t port, const char *name);

#endif
