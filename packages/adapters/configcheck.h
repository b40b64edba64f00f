/* configcheck.h -- consistency checks of the operators' configuration

   BwConfig_Read calls them after it has checked each value alone.
*/

#ifndef BW_CONFIGCHECK_H
#define BW_CONFIGCHECK_H

#include "config.h"

/* Adds a fault for each unknown or duplicate name, each cycle of dependencies,
   each member whose quotas exceed its capacity, each token that is not a
   SHA-256, and each limit of a service that is below the size of a job that
   its kinds declare. */
void
BwConfig_CheckConsistency(const BwConfig *config, const char *file,
                          BwYamlFaults *faults);

#endif
