/* configadvice.h -- what a valid configuration would do that nobody wants

   A configuration can be valid and still have entries that can never match and
   limits that contradict each other, and before it is sent operators want to
   know what it changes for callers.  Each finding names the entry and the
   remedy, or what callers will see.

   It knows the operators' configuration (config.h) and the routes of bound
   jobs (driver.h).  Pure: no I/O.  `brasswing check` prints what it finds.
*/

#ifndef BW_CONFIGADVICE_H
#define BW_CONFIGADVICE_H

#include "config.h"
#include "driver.h"

#define BW_FINDING_BYTES 320

typedef enum BwFindingKind {
    BW_FINDING_NEVER_MATCHES, /* an entry without effect */
    BW_FINDING_CONTRADICTION, /* limits that cannot both be met */
    BW_FINDING_DIFFERENCE,    /* from the version that it is compared with */
} BwFindingKind;

typedef struct BwFinding {
    BwFindingKind kind;
    uint32_t line; /* of the new text; 0: it has none */
    char text[BW_FINDING_BYTES];
} BwFinding;

typedef struct BwFindings {
    BwFinding *items;
    uint32_t count;
    uint32_t capacity;
    bool is_incomplete; /* memory was short */
} BwFindings;

void
BwFindings_Finish(BwFindings *findings);

/* Returns the name of the kind, as commands print it. */
const char *
BwFinding_KindName(BwFindingKind kind);

/* Adds what is suspicious in a configuration or in routes. */
void
BwAdvice_Examine(BwFindings *findings, const BwConfig *config);
void
BwAdvice_ExamineRoutes(BwFindings *findings, const BwRouteRows *routes);

/* Adds what differs, key by key, and what callers will see of it. */
void
BwAdvice_Compare(BwFindings *findings, const BwConfig *before,
                 const BwConfig *after);
void
BwAdvice_CompareRoutes(BwFindings *findings, const BwRouteRows *before,
                       const BwRouteRows *after);

#endif
