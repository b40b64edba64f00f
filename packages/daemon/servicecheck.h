/* servicecheck.h -- checks a new job against the operators' configuration

   Only the home of a job, in agent.c, calls this, and only after it has
   searched for a job with the same key: a job that runs already stays
   reachable when the limits or dependencies of its service change meanwhile.
*/

#ifndef BW_SERVICECHECK_H
#define BW_SERVICECHECK_H

#include "brasswing.h"
#include "config.h"

#define BW_REFUSAL_BYTES 256

/* Returns whether the service has a backend server now. */
typedef bool (*BwHasBackend)(void *ctx, BwSpan service);

/* Checks a submission against the limits of its service, and that every
   service it depends on, directly or not, has a backend server.  `revision` is
   that of the configuration, 0 when none is in force.  Returns BW_OK, or the
   error with its cause in `detail`; BW_ERR_NO_MEMORY sets no detail. */
BwErrorKind
BwServiceCheck_Submission(const BwConfig *config, uint64_t revision,
                          const BwSubmit *submit, uint64_t now_wall_us,
                          BwHasBackend has_backend, void *ctx,
                          char detail[BW_REFUSAL_BYTES]);

#endif
