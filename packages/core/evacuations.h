/* evacuations.h -- the failure domains that operators want emptied

   While a failure domain is evacuated, no task starts on its workers; those
   that run end by themselves.  Operators ask for it, and take it back, by
   records of the store's log.  A state of the log is named by a version: the
   offset up to which the log was read for it.  The state with the higher
   version is the newer one, wherever it comes from, so dispatchers can pass
   states on to each other while the store does not answer all of them.

   A dispatcher keeps one of these (evacuationsync.h) and tells supervisors
   whether their own domain is evacuated (views.c).  Pure: no I/O, no clock.
*/

#ifndef BW_EVACUATIONS_H
#define BW_EVACUATIONS_H

#include "brasswing.h"

/* Failure domains that can be evacuated at a time; further ones are ignored.
   The design size is 20 failure domains. */
#define BW_EVACUATED_DOMAINS_MAX 64

typedef struct BwEvacuations {
    uint64_t version; /* 0: nothing is known yet */
    char domains[BW_EVACUATED_DOMAINS_MAX][BW_NAME_BYTES_MAX];
    uint32_t domain_count;
} BwEvacuations;

bool
BwEvacuations_Contains(const BwEvacuations *evacuations, BwSpan domain);

/* Whether both name the same domains, in any order. */
bool
BwEvacuations_Equal(const BwEvacuations *left, const BwEvacuations *right);

/* Adds or removes one domain, of which the record before `version` tells.
   Returns false, with nothing changed, when the state is at least as new, the
   name is empty or too long, or no further domain can be kept. */
bool
BwEvacuations_Set(BwEvacuations *evacuations, uint64_t version, BwSpan domain,
                  bool is_evacuated);

/* Adds a domain to a list that is being read; it stays without a version. */
void
BwEvacuations_List(BwEvacuations *evacuations, BwSpan domain);

/* Replaces the state by a newer one.  Returns false, with nothing changed,
   when `newer` is not. */
bool
BwEvacuations_Replace(BwEvacuations *evacuations, const BwEvacuations *newer);

#endif
