/* crashreports.h -- what ran on a worker when it crashed

   A supervisor reports a crash of its worker to every dispatcher as soon as it
   shows, which is long before the tasks are known to have ended.  It keeps the
   last reports and sends them to a dispatcher that connects later, so that a
   dispatcher that starts does not try again what the others know.  A report is
   withdrawn when the worker answers as the same instance after all.

   A report also says how many tasks of each route the worker usually has, so
   that all dispatchers compare by the same figures and decide alike.

   supervisor.c, workerlink.c and workerlife.c call these functions.
*/

#ifndef BW_CRASHREPORTS_H
#define BW_CRASHREPORTS_H

#include <stdbool.h>

#include "messages.h"

/* Reports that a supervisor keeps, and for how long. */
#define BW_CRASH_REPORTS_MAX 4
#define BW_CRASH_REPORT_US 30000000ull

struct BwSupervisor;

/* A report that is kept, with its texts behind the tasks. */
typedef struct BwCrashReport {
    uint64_t at_us; /* 0: none */
    char instance[BW_NAME_BYTES_MAX];
    char service[BW_NAME_BYTES_MAX];
    bool is_exclusive;
    uint32_t unlisted;
    uint32_t task_count;
    BwCrashedTask *tasks;
    char *texts; /* storage of the tasks' spans */
    uint32_t usual_count;
    struct BwRouteUse *usual;
} BwCrashReport;

/* Moving average of the number of tasks of a route on the worker. */
typedef struct BwRouteUse {
    char route[BW_NAME_BYTES_MAX];
    uint64_t tasks_milli;
} BwRouteUse;

typedef struct BwCrashReports {
    BwRouteUse uses[BW_USUAL_ROUTES_MAX];
    uint32_t use_count;
    uint64_t measured_us;
    uint32_t samples;
    BwCrashReport reports[BW_CRASH_REPORTS_MAX]; /* a ring */
    uint32_t count;                              /* of all there were */
} BwCrashReports;

/* Measures how many tasks of each route are on the worker.  To be called
   regularly. */
void
BwCrashReports_Tick(struct BwSupervisor *supervisor, uint64_t now_us);

/* Reports that the worker has crashed with the tasks that are on it now,
   unless there is none, or this instance was reported before. */
void
BwCrashReports_Report(struct BwSupervisor *supervisor, uint64_t now_us);

/* Withdraws the report of this instance, if there is one. */
void
BwCrashReports_Withdraw(struct BwSupervisor *supervisor, uint64_t now_us);

/* Sends the reports to a dispatcher that has connected. */
void
BwCrashReports_Repeat(struct BwSupervisor *supervisor, uint64_t now_us,
                      uint32_t peer);

void
BwCrashReports_Finish(BwCrashReports *reports);

#endif
