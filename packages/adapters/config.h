/* config.h -- the operators' configuration: members, teams and services

   The configuration is a YAML text that is published on the platform's log.
   A process holds the configuration in force as one BwConfig, which is
   replaced as a whole when another one comes into force.
   docs/CONFIGURATION.md documents the format.

   brasswingd reads the texts of the log with it, and `brasswing` checks a text
   before it is published.
*/

#ifndef BW_CONFIG_H
#define BW_CONFIG_H

#include "brasswing.h"
#include "policyconfig.h"
#include "yamldoc.h"

#define BW_TOKEN_HASH_DIGITS 64

typedef struct BwConfigName {
    char name[BW_NAME_BYTES_MAX];
    uint32_t line;
} BwConfigName;

typedef struct BwConfigTeam {
    char name[BW_NAME_BYTES_MAX];
    uint32_t quota_slots; /* guaranteed share, in slots of the region */
    uint32_t tasks_max;   /* unfinished at one home; 0: no limit */
    uint32_t line;
} BwConfigTeam;

/* A bearer token that a member's callers may use, stored as its hash. */
typedef struct BwConfigToken {
    char sha256[BW_TOKEN_HASH_DIGITS + 1];
    uint32_t line;
} BwConfigToken;

typedef struct BwConfigMember {
    char name[BW_NAME_BYTES_MAX];
    uint32_t capacity_slots; /* limit for the sum of quotas; 0: not stated */
    BwConfigToken *tokens;   /* none: open to every caller */
    uint32_t token_count;
    BwConfigTeam *teams;
    uint32_t team_count;
    uint32_t line;
} BwConfigMember;

typedef struct BwConfigClass {
    char name[BW_NAME_BYTES_MAX];
    uint32_t priority; /* 0 is the highest */
    uint32_t line;
} BwConfigClass;

/* A kind of task and the size of the largest job that may be submitted with
   it.  The limits of the service must admit such a job. */
typedef struct BwConfigKind {
    char name[BW_NAME_BYTES_MAX];
    char job_class[BW_NAME_BYTES_MAX];
    uint32_t job_tasks;
    uint32_t task_bytes; /* body of one task */
    uint64_t runtime_ms; /* of one task */
    uint32_t line;
} BwConfigKind;

typedef struct BwConfigService {
    char name[BW_NAME_BYTES_MAX];
    char member[BW_NAME_BYTES_MAX];
    BwConfigName *depends_on;
    uint32_t depends_on_count;
    BwConfigClass *classes;
    uint32_t class_count;
    BwConfigKind *kinds;
    uint32_t kind_count;
    uint32_t tasks_max;       /* of one job */
    uint32_t body_bytes_max;  /* sum over a job's task bodies; 0: no limit */
    uint64_t job_lifetime_ms; /* longest time to the deadline; 0: not set */
    BwConfigPolicy policy;
    uint32_t line;
} BwConfigService;

typedef struct BwConfig {
    BwConfigMember *members;
    uint32_t member_count;
    BwConfigService *services;
    uint32_t service_count;
} BwConfig;

/* Reads and checks a text.  Adds every fault that it finds to `faults`, with
   `file` and the line.  Returns true when there was none.  Call
   BwConfig_Finish in either case. */
bool
BwConfig_Read(BwConfig *config, const char *file, BwSpan text,
              BwYamlFaults *faults);

void
BwConfig_Finish(BwConfig *config);

/* Returns NULL when there is no such service. */
const BwConfigService *
BwConfig_FindService(const BwConfig *config, BwSpan name);

/* Returns NULL when there is no such member. */
const BwConfigMember *
BwConfig_FindMember(const BwConfig *config, BwSpan name);

#endif
