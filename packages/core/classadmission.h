/* classadmission.h -- room for urgent jobs under a lasting overload

   Workers start urgent tasks first, but a task that runs is not stopped for
   them.  When the load stays above the capacity, long tasks of less urgent
   jobs fill the workers, and short urgent jobs find no free resources in
   time.  A fixed share of the workers kept free for urgent jobs would be idle
   most of the time.

   So the time for which a job may wait for resources follows from how the jobs
   of more urgent classes fare.  The share of them that was served badly is
   measured over the last seconds, and while it is above a limit in one class,
   the waits of all less urgent classes are cut by a factor in each interval.
   A job that may not wait runs only where resources are free when it comes.
   Afterwards the waits grow again in equal steps.  They keep a least share, so
   that no class starves, and a burst of a second changes them little.

   Each dispatcher measures its own jobs, of each service by itself, since
   services have workers of their own; callers are spread over the dispatchers,
   so all of them see the same overload.  The load pattern is replayed by
   test_overload.c.

   dispatcher.c records how jobs end and asks for the share of each new one.
*/

#ifndef BW_CLASSADMISSION_H
#define BW_CLASSADMISSION_H

#include <uthash.h>

#include "routes.h"

/* Priorities from the last class on share that class. */
#define BW_JOB_CLASSES 8

typedef struct BwClassRecord {
    uint64_t milli_jobs; /* ended lately; older ones count less */
    uint64_t milli_bad;  /* of these, refused, timed out or late */
    uint32_t wait_permille;
} BwClassRecord;

/* The classes of one service. */
typedef struct BwClassAdmission {
    char service[BW_NAME_BYTES_MAX];
    BwClassRecord classes[BW_JOB_CLASSES];
    uint64_t updated_us; /* 0: never */
    bool is_kept;        /* scratch of BwClassAdmission_Keep */
    UT_hash_handle hh;
} BwClassAdmission;

/* Returns the classes of a service, added to the table if they are new; NULL
   when memory is short.  The functions below accept NULL. */
BwClassAdmission *
BwClassAdmission_Of(BwClassAdmission **table, const char *service);

/* Drops the classes of all services that no route names. */
void
BwClassAdmission_Keep(BwClassAdmission **table, const BwRoutes *routes);

void
BwClassAdmission_Finish(BwClassAdmission **table);

/* Records that a job has ended.  Jobs that could not have been served well at
   any load are not to be recorded. */
void
BwClassAdmission_Record(BwClassAdmission *admission, uint64_t now_us,
                        uint32_t priority, bool is_bad);

/* Returns the share of its usual wait that a job of this priority is granted,
   1000 unless more urgent jobs are served badly. */
uint32_t
BwClassAdmission_WaitPermille(BwClassAdmission *admission, uint64_t now_us,
                              uint32_t priority);

#endif
