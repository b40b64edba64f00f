/* labfleet.h -- dispatchers, supervisors, workers, a store and an ingress

   All are processes on loopback.  Every dispatcher has a door of its own at
   the store: door 0 is the operators' and the supervisors', door 1 + i that of
   dispatcher i.  Ports are chosen once, so that a process that is started
   again is found where it was.
*/

#ifndef BW_LABFLEET_H
#define BW_LABFLEET_H

#include "caller.h"
#include "process.h"

#define BW_FLEET_DISPATCHERS_MAX 8
#define BW_FLEET_WORKERS_MAX 64
#define BW_FLEET_DOORS_MAX (1 + BW_FLEET_DISPATCHERS_MAX)

typedef struct BwFleetPlan {
    uint32_t dispatchers;
    uint32_t workers;
    uint64_t cpu; /* of each worker */
    uint64_t mem;
    const char *service;
    const char *daemon; /* path of brasswingd */
    const char *lab;    /* path of brasswing */
    uint64_t seed;
    uint64_t session_ms;
    uint64_t worker_lease_ms;
    uint64_t stop_ms;
    uint32_t clock_permille; /* of every second worker */
    bool has_ingress;
    const char *store; /* told to the store at its start, or "" */
} BwFleetPlan;

typedef struct BwFleet {
    BwFleetPlan plan;
    char *dir; /* allocated; of the caller */
    uint32_t next_port;
    BwProcess store;
    BwProcess ingress;
    BwProcess dispatchers[BW_FLEET_DISPATCHERS_MAX];
    BwProcess supervisors[BW_FLEET_WORKERS_MAX];
    BwProcess workers[BW_FLEET_WORKERS_MAX];
    uint32_t door_ports[BW_FLEET_DOORS_MAX];
    uint32_t front_ports[BW_FLEET_DISPATCHERS_MAX];
    uint32_t ready_ports[BW_FLEET_DISPATCHERS_MAX];
    uint32_t peer_ports[BW_FLEET_DISPATCHERS_MAX];
    uint32_t control_ports[BW_FLEET_WORKERS_MAX];
    uint32_t worker_ports[BW_FLEET_WORKERS_MAX];
    uint32_t ingress_port;
    uint32_t ingress_control_port;
    char fault[256];
} BwFleet;

/* Starts everything without a configuration and waits until each process has
   said its port.  Returns false with fleet->fault set.  Finish the fleet in
   either case. */
bool
BwFleet_Init(BwFleet *fleet, const BwFleetPlan *plan, char *dir);

/* Kills what still runs. */
void
BwFleet_Finish(BwFleet *fleet);

/* Starts one again after its end; WaitUp waits until it says so. */
bool
BwFleet_StartDispatcher(BwFleet *fleet, uint32_t i);
bool
BwFleet_StartSupervisor(BwFleet *fleet, uint32_t i);
bool
BwFleet_WaitUp(BwFleet *fleet, const BwProcess *process);

/* Returns whether each dispatcher that runs may use `count` workers. */
bool
BwFleet_HasWorkers(const BwFleet *fleet, uint32_t count);

/* Returns whether each dispatcher that runs has the configuration. */
bool
BwFleet_HasVersion(const BwFleet *fleet, uint64_t version);

/* One call to a port of loopback, within `timeout_us`.  Returns the status, 0
   without an answer.  free() reply->body. */
uint32_t
BwFleet_Call(uint32_t port, const char *method, const char *path,
             const char *body, uint64_t timeout_us, BwCallReply *reply);

/* Tells a part of the emulator.  Returns whether it took it. */
bool
BwFleet_Control(uint32_t port, const char *text);

/* Reads a counter of a process; 0 when it has none of that name. */
uint64_t
BwFleet_Counter(uint32_t port, const char *name);

#endif
