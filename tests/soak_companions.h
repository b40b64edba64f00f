/* soak_companions.h -- cancels, late requests and odd heartbeats in the soak

   One thread hands in jobs at one dispatcher and cancels them at another, and
   sends their requests again seconds later; another one sends heartbeats of
   other writers to the supervisors.  soak_bound.c starts both beside its
   callers.
*/

#ifndef SOAK_COMPANIONS_H
#define SOAK_COMPANIONS_H

#include <glib.h>

#include "labrunner.h"
#include "soak.h"

typedef struct SoakCompanions {
    const BwLabRunner *runner;
    uint32_t seed;
    uint64_t end_us; /* no new job from then on */
    const gint *is_over;
    GArray *jobs; /* those that were cancelled */
} SoakCompanions;

/* `is_over` is not 0 once the ledgers are being read. */
void
SoakCompanions_Init(SoakCompanions *companions, const BwLabRunner *runner,
                    uint32_t seed, uint64_t end_us, const gint *is_over);

void
SoakCompanions_Finish(SoakCompanions *companions);

/* Thread functions; `data` is the SoakCompanions. */
gpointer
SoakCompanions_Cancel(gpointer data);

gpointer
SoakCompanions_SendHeartbeats(gpointer data);

/* Reports tasks that were started although their job's cancelling had been
   acknowledged CANCEL_US before. */
void
SoakCompanions_Check(const SoakCompanions *companions, SoakReport *report);

#endif
