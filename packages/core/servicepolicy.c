/* servicepolicy.c -- the policies of services and teams

   Holds what the operators' configuration chose for each service, class and
   team, and the defaults for those it does not name.  Lookups are linear.

   The reader of the configuration (policyconfig.c) adds the policies; job.c,
   home.c, submission.c and jobplacement.c look them up.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"

static const BwServicePolicy defaults = {
    .placement = &BwPlacement_Prompt,
    .surplus_percent = 25,
    .waste_permille = 500,
    .order = &BwOrder_Fair,
    .tasks_max = BW_JOB_TASKS_MAX,
    .queued_tasks_max = 100000,
    .backlog_us_max = 60000000,
    .retry_permille = 100,
};

static const BwTeamPolicy default_team = {.weight = 1};

void
BwPolicy_Init(BwPolicy *policy)
{
    memset(policy, 0, sizeof(*policy));
}

void
BwPolicy_Finish(BwPolicy *policy)
{
    for (uint32_t i = 0; i < policy->service_count; i++)
        free(policy->services[i].classes);
    free(policy->services);
    free(policy->teams);
    memset(policy, 0, sizeof(*policy));
}

BwServicePolicy *
BwPolicy_Add(BwPolicy *policy, BwSpan service)
{
    BwServicePolicy *grown =
        realloc(policy->services,
                (policy->service_count + 1) * sizeof(BwServicePolicy));

    if (grown == NULL)
        return NULL;
    policy->services = grown;
    grown += policy->service_count++;
    *grown = defaults;
    BwSpan_ToString(service, grown->service, sizeof(grown->service));
    return grown;
}

const BwServicePolicy *
BwPolicy_Find(const BwPolicy *policy, BwSpan service)
{
    for (uint32_t i = 0; i < policy->service_count; i++) {
        if (BwSpan_Equal(BwSpan_FromString(policy->services[i].service),
                         service))
            return &policy->services[i];
    }
    return &defaults;
}

bool
BwServicePolicy_AddClass(BwServicePolicy *service, BwSpan name,
                         uint32_t priority)
{
    BwClassPolicy *grown = realloc(
        service->classes, (service->class_count + 1) * sizeof(BwClassPolicy));

    if (grown == NULL)
        return false;
    service->classes = grown;
    grown += service->class_count++;
    BwSpan_ToString(name, grown->name, sizeof(grown->name));
    grown->priority = priority;
    return true;
}

bool
BwPolicy_AddTeam(BwPolicy *policy, BwSpan member, BwSpan team, uint32_t weight,
                 uint32_t tasks_max)
{
    BwTeamPolicy *grown = realloc(policy->teams, (policy->team_count + 1) *
                                                     sizeof(BwTeamPolicy));

    if (grown == NULL)
        return false;
    policy->teams = grown;
    grown += policy->team_count++;
    BwSpan_ToString(member, grown->member, sizeof(grown->member));
    BwSpan_ToString(team, grown->team, sizeof(grown->team));
    grown->weight = weight > 0 ? weight : 1;
    grown->tasks_max = tasks_max;
    return true;
}

uint32_t
BwServicePolicy_Priority(const BwServicePolicy *service, BwSpan name)
{
    for (uint32_t i = 0; i < service->class_count; i++) {
        if (BwSpan_Equal(BwSpan_FromString(service->classes[i].name), name))
            return service->classes[i].priority;
    }
    return BW_PRIORITY_DEFAULT;
}

const BwTeamPolicy *
BwPolicy_Team(const BwPolicy *policy, BwSpan member, BwSpan team)
{
    for (uint32_t i = 0; i < policy->team_count; i++) {
        const BwTeamPolicy *known = &policy->teams[i];

        if (BwSpan_Equal(BwSpan_FromString(known->member), member) &&
            BwSpan_Equal(BwSpan_FromString(known->team), team))
            return known;
    }
    return &default_team;
}
