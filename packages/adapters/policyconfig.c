/* policyconfig.c -- the `policy` mapping of a service in the configuration */

#include "policyconfig.h"
#include "config.h"

static const char *const placements[] = {
    "default",        "random", "round_robin", "least_loaded",
    "batch_sampling", "frugal", "prompt",      NULL};
static const char *const orders[] = {"default", "fifo", "fair", NULL};

#define LARGE(k, f, how)                                                      \
    {                                                                         \
        .key = k, .type = BW_YAML_U64, .offset = offsetof(BwConfigPolicy, f), \
        .minimum = 1, .maximum = UINT64_C(1) << 40, .remedy = how             \
    }
#define NUMBER(k, f, low, high, how)                                          \
    {                                                                         \
        .key = k, .type = BW_YAML_U32, .offset = offsetof(BwConfigPolicy, f), \
        .minimum = low, .maximum = high, .remedy = how                        \
    }

static const BwYamlField policy_fields[] = {
    {.key = "placement",
     .type = BW_YAML_CHOICE,
     .offset = offsetof(BwConfigPolicy, placement),
     .choices = placements,
     .remedy = "name one of the placements of docs/POLICY.md"},
    {.key = "order",
     .type = BW_YAML_CHOICE,
     .offset = offsetof(BwConfigPolicy, order),
     .choices = orders,
     .remedy = "name one of the orders of docs/POLICY.md"},
    NUMBER("surplus_percent", surplus_percent, 1, 400,
           "give further reservations for each 100 tasks without a slot"),
    NUMBER("waste_permille", waste_permille, 1, 1000000,
           "give the wasted messages allowed for 1000 tasks"),
    LARGE("task_bytes_max", task_bytes_max,
          "give the largest size that a task may declare"),
    LARGE("queued_tasks_max", queued_tasks_max,
          "give the most tasks that wait at one home"),
    LARGE("backlog_ms_max", backlog_ms_max,
          "give the longest expected wait of the highest priority"),
    NUMBER("retry_percent", retry_percent, 1, 100,
           "give the retries allowed for each 100 jobs"),
};
const BwYamlSchema BwConfigPolicy_Schema = {
    "a policy", sizeof(BwConfigPolicy),
    sizeof(policy_fields) / sizeof(policy_fields[0]), policy_fields, 0};

static void
fill_limits(const BwConfigPolicy *from, BwServicePolicy *to)
{
    if (from->task_bytes_max > 0)
        to->task_bytes_max = from->task_bytes_max;
    if (from->queued_tasks_max > 0)
        to->queued_tasks_max = from->queued_tasks_max;
    if (from->backlog_ms_max > 0)
        to->backlog_us_max = from->backlog_ms_max * 1000;
    if (from->retry_percent > 0)
        to->retry_permille = from->retry_percent * 10;
}

static void
fill_service(const BwConfigPolicy *from, BwServicePolicy *to)
{
    if (from->placement > 0)
        to->placement = BwPlacement_Table[from->placement - 1];
    if (from->order > 0)
        to->order = BwOrder_Table[from->order - 1];
    to->surplus_percent = from->surplus_percent > 0
                              ? from->surplus_percent
                              : to->placement->surplus_percent;
    to->waste_permille = from->waste_permille > 0
                             ? from->waste_permille
                             : to->placement->waste_permille;
}

static bool
add_service(const BwConfigService *service, BwPolicy *policy)
{
    BwServicePolicy *added =
        BwPolicy_Add(policy, BwSpan_FromString(service->name));

    if (added == NULL)
        return false;
    added->tasks_max = service->tasks_max;
    fill_service(&service->policy, added);
    fill_limits(&service->policy, added);
    for (uint32_t i = 0; i < service->class_count; i++) {
        const BwConfigClass *class_ = &service->classes[i];

        if (!BwServicePolicy_AddClass(added, BwSpan_FromString(class_->name),
                                      class_->priority))
            return false;
    }
    return true;
}

static bool
add_teams(const BwConfigMember *member, BwPolicy *policy)
{
    for (uint32_t i = 0; i < member->team_count; i++) {
        const BwConfigTeam *team = &member->teams[i];

        if (!BwPolicy_AddTeam(policy, BwSpan_FromString(member->name),
                              BwSpan_FromString(team->name), team->quota_slots,
                              team->tasks_max))
            return false;
    }
    return true;
}

bool
BwConfigPolicy_Build(const BwConfig *config, BwPolicy *policy)
{
    BwPolicy_Init(policy);
    for (uint32_t i = 0; i < config->service_count; i++) {
        if (!add_service(&config->services[i], policy))
            goto fail;
    }
    for (uint32_t i = 0; i < config->member_count; i++) {
        if (!add_teams(&config->members[i], policy))
            goto fail;
    }
    return true;

fail:
    BwPolicy_Finish(policy);
    return false;
}
