/* classadmission.c -- room for urgent jobs under a lasting overload, see
   classadmission.h */

#include <stdlib.h>
#include <string.h>

#include "classadmission.h"

#define INTERVAL_US 100000
/* What remains of a record after an interval; the records thus reach back
   about two seconds. */
#define RETAINED_PERMILLE 950
/* A class is served badly from this share on. */
#define BAD_PERMILLE 250
/* A class with fewer jobs in its record says nothing. */
#define MILLI_JOBS_MIN 4000
#define CUT_PERMILLE 950 /* waits that remain after an interval */
#define RECOVERY_STEP_PERMILLE 20
#define WAIT_MIN_PERMILLE 200
#define WHOLE_PERMILLE 1000
/* After so many intervals without a call everything is as at the start. */
#define INTERVALS_MAX 200

/* --------------------------------------------------------------- table */

BwClassAdmission *
BwClassAdmission_Of(BwClassAdmission **table, const char *service)
{
    BwClassAdmission *admission;

    HASH_FIND_STR(*table, service, admission);
    if (admission != NULL)
        return admission;
    admission = calloc(1, sizeof(*admission));
    if (admission == NULL)
        return NULL;
    strncpy(admission->service, service, sizeof(admission->service) - 1);
    HASH_ADD_STR(*table, service, admission);
    return admission;
}

void
BwClassAdmission_Keep(BwClassAdmission **table, const BwRoutes *routes)
{
    BwClassAdmission *admission, *next;

    for (const BwRoute *route = routes->table; route != NULL;
         route = route->hh.next) {
        HASH_FIND_STR(*table, route->service, admission);
        if (admission != NULL)
            admission->is_kept = true;
    }
    HASH_ITER(hh, *table, admission, next)
    {
        if (!admission->is_kept) {
            HASH_DEL(*table, admission);
            free(admission);
            continue;
        }
        admission->is_kept = false;
    }
}

void
BwClassAdmission_Finish(BwClassAdmission **table)
{
    BwClassAdmission *admission, *next;

    HASH_ITER(hh, *table, admission, next)
    {
        HASH_DEL(*table, admission);
        free(admission);
    }
}

/* ------------------------------------------------------------- classes */

static uint32_t
class_of(uint32_t priority)
{
    return priority < BW_JOB_CLASSES ? priority : BW_JOB_CLASSES - 1;
}

static bool
is_served_badly(const BwClassRecord *record)
{
    return record->milli_jobs >= MILLI_JOBS_MIN &&
           record->milli_bad * 1000 > record->milli_jobs * BAD_PERMILLE;
}

static void
adjust_wait(BwClassRecord *record, bool must_yield)
{
    if (must_yield) {
        record->wait_permille = record->wait_permille * CUT_PERMILLE / 1000;
        if (record->wait_permille < WAIT_MIN_PERMILLE)
            record->wait_permille = WAIT_MIN_PERMILLE;
    }
    else {
        record->wait_permille += RECOVERY_STEP_PERMILLE;
        if (record->wait_permille > WHOLE_PERMILLE)
            record->wait_permille = WHOLE_PERMILLE;
    }
}

static void
pass_interval(BwClassAdmission *admission)
{
    bool must_yield = false;

    for (uint32_t i = 0; i < BW_JOB_CLASSES; i++) {
        BwClassRecord *record = &admission->classes[i];

        adjust_wait(record, must_yield);
        must_yield = must_yield || is_served_badly(record);
        record->milli_jobs = record->milli_jobs * RETAINED_PERMILLE / 1000;
        record->milli_bad = record->milli_bad * RETAINED_PERMILLE / 1000;
    }
}

static void
reset(BwClassAdmission *admission, uint64_t now_us)
{
    for (uint32_t i = 0; i < BW_JOB_CLASSES; i++)
        admission->classes[i] = (BwClassRecord){0, 0, WHOLE_PERMILLE};
    admission->updated_us = now_us;
}

static void
update(BwClassAdmission *admission, uint64_t now_us)
{
    if (admission->updated_us == 0 ||
        now_us - admission->updated_us > INTERVALS_MAX * INTERVAL_US)
        reset(admission, now_us);
    while (now_us - admission->updated_us >= INTERVAL_US) {
        pass_interval(admission);
        admission->updated_us += INTERVAL_US;
    }
}

void
BwClassAdmission_Record(BwClassAdmission *admission, uint64_t now_us,
                        uint32_t priority, bool is_bad)
{
    BwClassRecord *record;

    if (admission == NULL)
        return;
    update(admission, now_us);
    record = &admission->classes[class_of(priority)];
    record->milli_jobs += 1000;
    record->milli_bad += is_bad ? 1000 : 0;
}

uint32_t
BwClassAdmission_WaitPermille(BwClassAdmission *admission, uint64_t now_us,
                              uint32_t priority)
{
    if (admission == NULL)
        return WHOLE_PERMILLE;
    update(admission, now_us);
    return admission->classes[class_of(priority)].wait_permille;
}
