/* reviewcase.h -- a small deployment on loopback, for the scripts of the
   review

   Starts dispatchers and supervisors of the deploy file's build, with the
   emulated store and workers of the project, sends jobs as a client does, and
   writes what was sent, answered and run to a record.  Every function that
   returns false has written the cause to the record; the case could not run
   then.  All times are of the host's clock that the emulated workers use.
*/

#ifndef REVIEWCASE_H
#define REVIEWCASE_H

#include <stdio.h>

#include <jansson.h>

#include "clientrequests.h"
#include "labfleet.h"

#define REVIEW_JOBS_MAX 16384
#define REVIEW_SERVICE "tarif-engine"

/* Exit codes of a script. */
#define REVIEW_HELD 0
#define REVIEW_BROKEN 1
#define REVIEW_NOT_RUN 2

typedef struct ReviewJob {
    char name[40];
    uint32_t dispatcher;
    uint64_t sent_us;
    uint64_t answered_us; /* 0: not yet */
    uint32_t status;      /* 0: no answer */
    char body[128];
} ReviewJob;

typedef struct ReviewRun {
    char task[128];
    uint32_t worker;
    int process;
    uint32_t run;
    uint64_t started_us;
    uint64_t ended_us; /* 0: it runs */
    char how[24];
} ReviewRun;

typedef struct ReviewCase {
    BwFleet fleet;
    BwClientRequests requests;
    FILE *record;
    uint64_t began_us;
    bool has_trouble; /* the variable TROUBLE is not 0 */
    uint32_t revision;
    uint32_t job_count;
    ReviewJob jobs[REVIEW_JOBS_MAX];
    ReviewRun *runs; /* as last read */
    uint32_t run_count;
} ReviewCase;

/* `argv` holds the paths of brasswingd, brasswing and the record. */
bool
ReviewCase_Init(ReviewCase *review, int argc, char **argv,
                uint32_t dispatchers, uint32_t workers, uint64_t cpu,
                uint64_t mem);

/* Ends all processes, and the record with the outcome.  Returns `code`. */
int
ReviewCase_Finish(ReviewCase *review, int code);

void
ReviewCase_Note(ReviewCase *review, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Writes a configuration with two queues, "q" and "p", and waits until all
   dispatchers have it and all workers. */
bool
ReviewCase_Configure(ReviewCase *review, const char *service);

/* Sends a job of queue "q" to the dispatcher without waiting for the answer.
 */
ReviewJob *
ReviewCase_Post(ReviewCase *review, uint32_t dispatcher, const char *name,
                const char *body, uint32_t deadline_ms);

/* Sends GET or DELETE of a job of that queue to the dispatcher and returns the
   status, 0 without an answer. */
uint32_t
ReviewCase_Call(ReviewCase *review, uint32_t dispatcher, const char *method,
                const char *queue, const char *name);

/* Lets the clients go on for that time. */
void
ReviewCase_Wait(ReviewCase *review, uint32_t ms);

/* The same until the job is answered; returns whether it is. */
bool
ReviewCase_WaitAnswer(ReviewCase *review, const ReviewJob *job, uint32_t ms);

/* Reads the runs of all workers, in the order of their starts, and writes them
   to the record. */
bool
ReviewCase_ReadRuns(ReviewCase *review);

/* Milliseconds from the begin of the case until then, or until now. */
long
ReviewCase_Ms(const ReviewCase *review, uint64_t at_us);
long
ReviewCase_NowMs(const ReviewCase *review);

#endif
