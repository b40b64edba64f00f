/* harness.h -- a small deployment on loopback for the cases of the review

   Starts dispatchers and supervisors with the command of the deploy file and
   settings as its templates give them for the bounds of the site
   ancae-brasswing.  The store and the workers are the project's own stand-ins,
   each a process.  Clients are threads of the case with a connection for each
   call.  Everything that is sent, answered and run is written to record.txt in
   the folder of the case.  All times are of the host's monotonic clock.
*/

#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "process.h"

#define DISPATCHERS_MAX 4
#define WORKERS_MAX 8
#define CASE_HELD 0
#define CASE_BROKEN 1
#define CASE_NOT_RUN 2

/* Bounds of the site, in milliseconds. */
#define CANCEL_MS 3000
#define STOP_MS 50
#define RESEND_MS 1300

typedef struct Deployment {
    char dir[64];
    FILE *record;
    uint64_t began_us;
    bool has_trouble; /* TROUBLE is not 0 */
    uint32_t dispatcher_count;
    uint32_t worker_count;
    uint32_t door_ports[1 + DISPATCHERS_MAX];
    uint32_t http_ports[DISPATCHERS_MAX];
    uint32_t ready_ports[DISPATCHERS_MAX];
    uint32_t peer_ports[DISPATCHERS_MAX];
    uint32_t control_ports[WORKERS_MAX];
    uint32_t worker_ports[WORKERS_MAX];
    BwProcess store;
    BwProcess dispatchers[DISPATCHERS_MAX];
    BwProcess supervisors[WORKERS_MAX];
    BwProcess workers[WORKERS_MAX];
} Deployment;

/* Starts a deployment and waits until its dispatchers have a configuration and
   may use all workers.  Ends the process with CASE_NOT_RUN on failure.
   `folder` is that of the case. */
void
Deployment_Start(Deployment *deployment, const char *folder,
                 uint32_t dispatchers, uint32_t workers);

/* Ends all processes and the case itself, with that result. */
void
Deployment_End(Deployment *deployment, int result);

/* Writes a line with the time to the record. */
void
Deployment_Note(Deployment *deployment, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

void
Deployment_StartDispatcher(Deployment *deployment, uint32_t i);

/* Waits until each dispatcher that runs has a configuration and may use all
   workers.  Returns whether that is so within 20 s. */
bool
Deployment_WaitReady(Deployment *deployment);

/* The same for one dispatcher. */
bool
Deployment_WaitReadyOf(Deployment *deployment, uint32_t i);

uint64_t
Now_Us(void);

void
Sleep_Until(uint64_t then_us);

/* Returns a port of 127.0.0.1 that was free just now. */
uint32_t
Port_Find(void);

/* Returns a job that ends with its connection, of steps that each wait for the
   one before, with so many tasks each.  The text is never freed. */
const char *
Job_Text(uint32_t steps, uint32_t tasks, uint32_t run_ms);

/* One request of a client, on a connection of its own. */
typedef struct Call {
    Deployment *deployment;
    uint32_t port;
    char method[8];
    char path[64];
    char body[6000];
    uint64_t wait_ms; /* how long the client waits, as it says */
    uint32_t status;  /* 0: no answer */
    char answer[4096];
    uint64_t sent_us;
    uint64_t answered_us; /* or when the connection ended */
    pthread_t thread;
} Call;

/* Sends the request without waiting for the answer; Call_Join waits. */
void
Call_Start(Call *call, Deployment *deployment, uint32_t port,
           const char *method, const char *path, const char *body,
           uint64_t wait_ms);

void
Call_Join(Call *call);

/* Sends the request and waits for the answer.  Returns the status. */
uint32_t
Call_Do(Call *call, Deployment *deployment, uint32_t port, const char *method,
        const char *path, const char *body, uint64_t wait_ms);

/* Listens on a free port and forwards one connection to `port`.  The first
   bytes that come back are dropped, and both sides of the connection are
   reset.  Returns the port, or 0. */
uint32_t
Proxy_StartReset(Deployment *deployment, uint32_t port);

/* A run of a task as its worker has seen it. */
typedef struct Run {
    char task[96];
    uint32_t worker;
    uint32_t run;
    uint64_t started_us;
    uint64_t ended_us; /* 0: it runs */
    char how[16];
} Run;

/* Reads the runs of all tasks whose name begins with the prefix, in the order
   of the workers, and writes them to the record.  Returns their number. */
uint32_t
Deployment_ReadRuns(Deployment *deployment, const char *prefix, Run *runs,
                    uint32_t capacity);

/* Whether a task of the job was started later than CANCEL_MS after its
   cancelling was acknowledged.  Writes the runs and the result to the
   record. */
bool
Deployment_IsUnasked(Deployment *deployment, const char *job,
                     uint64_t acked_us);

#endif
