/* policyconfig.h -- the `policy` mapping of a service in the configuration

     services:
       - name: renewd
         policy: {placement: prompt, surplus_percent: 25}

   The mapping is read as a part of config.h, then turned into the tables of
   policy.h, with which an agent places and queues tasks.  An absent key
   leaves 0, which stands for the default of policy.h.
*/

#ifndef BW_POLICYCONFIG_H
#define BW_POLICYCONFIG_H

#include "policy.h"
#include "yamldoc.h"

struct BwConfig;

typedef struct BwConfigPolicy {
    uint32_t placement; /* 0: the default; else 1 + index in the table */
    uint32_t order;     /* as `placement` */
    uint32_t surplus_percent;
    uint32_t waste_permille;
    uint64_t task_bytes_max;
    uint64_t queued_tasks_max;
    uint64_t backlog_ms_max;
    uint32_t retry_percent;
} BwConfigPolicy;

extern const BwYamlSchema BwConfigPolicy_Schema;

/* Builds the policy of all services and teams of a configuration.  Finish it
   with BwPolicy_Finish.  Returns false, with nothing to finish, when memory is
   short. */
bool
BwConfigPolicy_Build(const struct BwConfig *config, BwPolicy *policy);

#endif
