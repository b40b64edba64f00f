/* config.c -- the operators' configuration: members, teams and services

   The schema tables below check each value alone; configcheck.c checks that
   the values are consistent with each other.  Both go on after a fault, so
   that one run reports all of them.
*/

#include <string.h>

#include "config.h"
#include "configcheck.h"

#define COUNT(f) (sizeof(f) / sizeof(f[0]))

#define NAME(s)                                                               \
    {                                                                         \
        .key = "name", .type = BW_YAML_TEXT, .is_required = true,             \
        .offset = offsetof(s, name), .size_bytes = BW_NAME_BYTES_MAX,         \
        .minimum = 1, .remedy = "give a name of 1 to 63 bytes"                \
    }
#define LIST_OF(s, k, f, n, e)                                                \
    {                                                                         \
        .key = k, .type = BW_YAML_LIST, .offset = offsetof(s, f),             \
        .count_offset = offsetof(s, n), .element = &(e)                       \
    }
#define NUMBER(s, k, f, low, high, how)                                       \
    {                                                                         \
        .key = k,                                                             \
        .type = sizeof(((s *)0)->f) == sizeof(uint32_t) ? BW_YAML_U32         \
                                                        : BW_YAML_U64,        \
        .offset = offsetof(s, f), .minimum = low, .maximum = high,            \
        .remedy = how                                                         \
    }

static const BwYamlField plain_name_fields[] = {
    {.key = "",
     .type = BW_YAML_TEXT,
     .size_bytes = BW_NAME_BYTES_MAX,
     .minimum = 1},
};
static const BwYamlSchema plain_name_schema = {"a name", sizeof(BwConfigName),
                                               1, plain_name_fields,
                                               offsetof(BwConfigName, line)};

static const BwYamlField team_fields[] = {
    NAME(BwConfigTeam),
    NUMBER(BwConfigTeam, "quota_slots", quota_slots, 0, 1000000,
           "give the slots that the team is guaranteed"),
    NUMBER(BwConfigTeam, "tasks_max", tasks_max, 0, 100000000,
           "give the most unfinished tasks of the team at one home"),
};
static const BwYamlSchema team_schema = {"a team", sizeof(BwConfigTeam),
                                         COUNT(team_fields), team_fields,
                                         offsetof(BwConfigTeam, line)};

static const BwYamlField token_fields[] = {
    {.key = "sha256",
     .type = BW_YAML_TEXT,
     .is_required = true,
     .offset = offsetof(BwConfigToken, sha256),
     .size_bytes = BW_TOKEN_HASH_DIGITS + 1,
     .minimum = 1,
     .remedy = "give the SHA-256 of the token in hexadecimal digits"},
};
static const BwYamlSchema token_schema = {"a token", sizeof(BwConfigToken),
                                          COUNT(token_fields), token_fields,
                                          offsetof(BwConfigToken, line)};

static const BwYamlField member_fields[] = {
    NAME(BwConfigMember),
    NUMBER(BwConfigMember, "capacity_slots", capacity_slots, 1, 10000000,
           "give the slots of all backend servers of the member's services"),
    LIST_OF(BwConfigMember, "tokens", tokens, token_count, token_schema),
    LIST_OF(BwConfigMember, "teams", teams, team_count, team_schema),
};
static const BwYamlSchema member_schema = {"a member", sizeof(BwConfigMember),
                                           COUNT(member_fields), member_fields,
                                           offsetof(BwConfigMember, line)};

static const BwYamlField class_fields[] = {
    NAME(BwConfigClass),
    NUMBER(BwConfigClass, "priority", priority, 0, 7,
           "give 0 for the highest priority, up to 7 for the lowest"),
};
static const BwYamlSchema class_schema = {"a class", sizeof(BwConfigClass),
                                          COUNT(class_fields), class_fields,
                                          offsetof(BwConfigClass, line)};

static const BwYamlField kind_fields[] = {
    NAME(BwConfigKind),
    {.key = "class",
     .type = BW_YAML_TEXT,
     .offset = offsetof(BwConfigKind, job_class),
     .size_bytes = BW_NAME_BYTES_MAX,
     .minimum = 1,
     .remedy = "name a class of the service"},
    NUMBER(BwConfigKind, "job_tasks", job_tasks, 1, BW_JOB_TASKS_MAX,
           "give the tasks of the largest job of this kind"),
    NUMBER(BwConfigKind, "task_bytes", task_bytes, 0, 1u << 25,
           "give the bytes of the body of one task"),
    NUMBER(BwConfigKind, "runtime_ms", runtime_ms, 1, 3600000,
           "give the milliseconds that one task runs"),
};
static const BwYamlSchema kind_schema = {"a kind", sizeof(BwConfigKind),
                                         COUNT(kind_fields), kind_fields,
                                         offsetof(BwConfigKind, line)};

static const BwYamlField service_fields[] = {
    NAME(BwConfigService),
    {.key = "member",
     .type = BW_YAML_TEXT,
     .is_required = true,
     .offset = offsetof(BwConfigService, member),
     .size_bytes = BW_NAME_BYTES_MAX,
     .minimum = 1,
     .remedy = "name the member that owns the service"},
    LIST_OF(BwConfigService, "depends_on", depends_on, depends_on_count,
            plain_name_schema),
    LIST_OF(BwConfigService, "classes", classes, class_count, class_schema),
    LIST_OF(BwConfigService, "kinds", kinds, kind_count, kind_schema),
    NUMBER(BwConfigService, "tasks_max", tasks_max, 1, BW_JOB_TASKS_MAX,
           "give the most tasks of one job"),
    NUMBER(BwConfigService, "body_bytes_max", body_bytes_max, 1024, 1u << 25,
           "give the most bytes of the task bodies of one job"),
    NUMBER(BwConfigService, "job_lifetime_ms", job_lifetime_ms, 1000, 3600000,
           "give the longest time from submission to deadline"),
    {.key = "policy",
     .type = BW_YAML_STRUCT,
     .offset = offsetof(BwConfigService, policy),
     .element = &BwConfigPolicy_Schema},
};
static const BwYamlSchema service_schema = {
    "a service", sizeof(BwConfigService), COUNT(service_fields),
    service_fields, offsetof(BwConfigService, line)};

static const BwYamlField config_fields[] = {
    LIST_OF(BwConfig, "members", members, member_count, member_schema),
    LIST_OF(BwConfig, "services", services, service_count, service_schema),
};
static const BwYamlSchema config_schema = {
    "the operators' configuration", sizeof(BwConfig), COUNT(config_fields),
    config_fields, 0};

const BwConfigService *
BwConfig_FindService(const BwConfig *config, BwSpan name)
{
    for (uint32_t i = 0; i < config->service_count; i++) {
        if (BwSpan_Equal(BwSpan_FromString(config->services[i].name), name))
            return &config->services[i];
    }
    return NULL;
}

const BwConfigMember *
BwConfig_FindMember(const BwConfig *config, BwSpan name)
{
    for (uint32_t i = 0; i < config->member_count; i++) {
        if (BwSpan_Equal(BwSpan_FromString(config->members[i].name), name))
            return &config->members[i];
    }
    return NULL;
}

bool
BwConfig_Read(BwConfig *config, const char *file, BwSpan text,
              BwYamlFaults *faults)
{
    uint32_t before = faults->count;

    memset(config, 0, sizeof(*config));
    BwYaml_Read(file, text, &config_schema, config, faults);
    for (uint32_t i = 0; i < config->service_count; i++) {
        if (config->services[i].tasks_max == 0)
            config->services[i].tasks_max = BW_JOB_TASKS_MAX;
    }
    BwConfig_CheckConsistency(config, file, faults);
    return faults->count == before;
}

void
BwConfig_Finish(BwConfig *config)
{
    BwYaml_Free(&config_schema, config);
}
