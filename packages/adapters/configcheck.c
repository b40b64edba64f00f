/* configcheck.c -- consistency checks of the operators' configuration

   Cycles of dependencies are found by depth-first search.  A service that is
   reached again while it is on the current path closes a cycle, which is
   reported once, at the line of that service.

   Names are compared pairwise, in quadratic time: a configuration has a few
   hundred names at most, and it is checked once for each publication.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "configcheck.h"
#include "tokens.h"

#define CYCLE_TEXT_BYTES 200

typedef struct Checker {
    const BwConfig *config;
    const char *file;
    BwYamlFaults *faults;
} Checker;

/* ----------------------------------------------------------- duplicates */

/* Reports each element whose name occurs earlier in the list.  An element
   starts with its name; its line is at `line_offset`. */
static void
check_duplicates(const Checker *checker, const char *what, const void *list,
                 uint32_t count, size_t size_bytes, size_t line_offset)
{
    const char *base = list;

    for (uint32_t i = 0; i < count; i++) {
        const char *name = base + i * size_bytes;

        for (uint32_t j = 0; j < i && name[0] != '\0'; j++) {
            const char *earlier = base + j * size_bytes;

            if (strcmp(name, earlier) != 0)
                continue;
            BwYaml_AddFault(checker->faults, checker->file,
                            *(const uint32_t *)(name + line_offset),
                            "%s '%s' stands twice, first in line %u; remove "
                            "or rename one",
                            what, name,
                            *(const uint32_t *)(earlier + line_offset));
            break;
        }
    }
}

#define CHECK_DUPLICATES(checker, what, type, list, count)                    \
    check_duplicates(checker, what, list, count, sizeof(type),                \
                     offsetof(type, line))

static void
check_all_duplicates(const Checker *checker)
{
    const BwConfig *config = checker->config;

    CHECK_DUPLICATES(checker, "member", BwConfigMember, config->members,
                     config->member_count);
    CHECK_DUPLICATES(checker, "service", BwConfigService, config->services,
                     config->service_count);
    for (uint32_t i = 0; i < config->member_count; i++)
        CHECK_DUPLICATES(checker, "team", BwConfigTeam,
                         config->members[i].teams,
                         config->members[i].team_count);
    for (uint32_t i = 0; i < config->service_count; i++) {
        const BwConfigService *service = &config->services[i];

        CHECK_DUPLICATES(checker, "class", BwConfigClass, service->classes,
                         service->class_count);
        CHECK_DUPLICATES(checker, "kind", BwConfigKind, service->kinds,
                         service->kind_count);
        CHECK_DUPLICATES(checker, "dependency", BwConfigName,
                         service->depends_on, service->depends_on_count);
    }
}

/* -------------------------------------------------------- unknown names */

static bool
has_class(const BwConfigService *service, const char *name)
{
    for (uint32_t i = 0; i < service->class_count; i++) {
        if (strcmp(service->classes[i].name, name) == 0)
            return true;
    }
    return false;
}

static void
check_names(const Checker *checker, const BwConfigService *service)
{
    if (service->member[0] != '\0' &&
        BwConfig_FindMember(checker->config,
                            BwSpan_FromString(service->member)) == NULL)
        BwYaml_AddFault(checker->faults, checker->file, service->line,
                        "service '%s': member '%s' is not in members; add it "
                        "or correct the name",
                        service->name, service->member);
    for (uint32_t i = 0; i < service->depends_on_count; i++) {
        const BwConfigName *name = &service->depends_on[i];

        if (BwConfig_FindService(checker->config,
                                 BwSpan_FromString(name->name)) == NULL)
            BwYaml_AddFault(checker->faults, checker->file, name->line,
                            "service '%s': depends on '%s', which is not in "
                            "services; add it or correct the name",
                            service->name, name->name);
    }
    for (uint32_t i = 0; i < service->kind_count; i++) {
        const BwConfigKind *kind = &service->kinds[i];

        if (kind->job_class[0] != '\0' && !has_class(service, kind->job_class))
            BwYaml_AddFault(checker->faults, checker->file, kind->line,
                            "kind '%s': class '%s' is not in the classes of "
                            "service '%s'; add it or correct the name",
                            kind->name, kind->job_class, service->name);
    }
}

/* --------------------------------------------------------------- limits */

static void
check_limit(const Checker *checker, const BwConfigKind *kind, const char *key,
            uint64_t limit, const char *what, uint64_t size)
{
    if (limit == 0 || size <= limit)
        return;
    BwYaml_AddFault(checker->faults, checker->file, kind->line,
                    "kind '%s': a job of %llu %s is over the service's %s of "
                    "%llu; raise the limit or make the job smaller",
                    kind->name, (unsigned long long)size, what, key,
                    (unsigned long long)limit);
}

static void
check_sizes(const Checker *checker, const BwConfigService *service)
{
    for (uint32_t i = 0; i < service->kind_count; i++) {
        const BwConfigKind *kind = &service->kinds[i];
        uint32_t tasks = kind->job_tasks > 0 ? kind->job_tasks : 1;

        check_limit(checker, kind, "tasks_max", service->tasks_max, "tasks",
                    tasks);
        check_limit(checker, kind, "body_bytes_max", service->body_bytes_max,
                    "bytes", (uint64_t)tasks * kind->task_bytes);
        check_limit(checker, kind, "job_lifetime_ms", service->job_lifetime_ms,
                    "ms", kind->runtime_ms);
    }
}

static void
check_tokens(const Checker *checker, const BwConfigMember *member)
{
    for (uint32_t i = 0; i < member->token_count; i++) {
        const BwConfigToken *token = &member->tokens[i];

        if (!BwTokens_IsHash(token->sha256))
            BwYaml_AddFault(checker->faults, checker->file, token->line,
                            "member '%s': '%s' is not a SHA-256; write 64 "
                            "lower-case hexadecimal digits",
                            member->name, token->sha256);
    }
}

static void
check_quotas(const Checker *checker, const BwConfigMember *member)
{
    uint64_t sum = 0;

    for (uint32_t i = 0; i < member->team_count; i++)
        sum += member->teams[i].quota_slots;
    if (member->capacity_slots != 0 && sum > member->capacity_slots)
        BwYaml_AddFault(checker->faults, checker->file, member->line,
                        "member '%s': the quotas of its teams are %llu slots "
                        "together, over its capacity_slots of %u; lower them "
                        "by %llu or raise capacity_slots",
                        member->name, (unsigned long long)sum,
                        member->capacity_slots,
                        (unsigned long long)(sum - member->capacity_slots));
}

/* --------------------------------------------------------------- cycles */

typedef enum Visit {
    VISIT_NONE,
    VISIT_ON_PATH,
    VISIT_DONE,
} Visit;

typedef struct Walk {
    const Checker *checker;
    uint8_t *visits;
    uint32_t *path;
    uint32_t depth;
} Walk;

static void
report_cycle(const Walk *walk, uint32_t service)
{
    const BwConfigService *services = walk->checker->config->services;
    char text[CYCLE_TEXT_BYTES] = "";
    size_t used = 0;
    uint32_t first = 0;

    while (walk->path[first] != service)
        first++;
    for (uint32_t i = first; i < walk->depth && used < sizeof(text); i++)
        used += (size_t)snprintf(text + used, sizeof(text) - used, "%s -> ",
                                 services[walk->path[i]].name);
    BwYaml_AddFault(walk->checker->faults, walk->checker->file,
                    services[service].line,
                    "dependencies form a cycle: %s%s; remove one of them",
                    text, services[service].name);
}

static void
visit(Walk *walk, uint32_t index)
{
    const BwConfig *config = walk->checker->config;
    const BwConfigService *service = &config->services[index];

    walk->visits[index] = VISIT_ON_PATH;
    walk->path[walk->depth++] = index;
    for (uint32_t i = 0; i < service->depends_on_count; i++) {
        const BwConfigService *next = BwConfig_FindService(
            config, BwSpan_FromString(service->depends_on[i].name));
        uint32_t next_index;

        if (next == NULL)
            continue;
        next_index = (uint32_t)(next - config->services);
        if (walk->visits[next_index] == VISIT_ON_PATH)
            report_cycle(walk, next_index);
        else if (walk->visits[next_index] == VISIT_NONE)
            visit(walk, next_index);
    }
    walk->depth--;
    walk->visits[index] = VISIT_DONE;
}

static void
check_cycles(const Checker *checker)
{
    uint32_t count = checker->config->service_count;
    Walk walk = {checker, calloc(count + 1, sizeof(uint8_t)),
                 calloc(count + 1, sizeof(uint32_t)), 0};

    if (walk.visits == NULL || walk.path == NULL)
        BwYaml_AddFault(checker->faults, checker->file, 0,
                        "no memory to check the dependencies");
    else
        for (uint32_t i = 0; i < count; i++) {
            if (walk.visits[i] == VISIT_NONE)
                visit(&walk, i);
        }
    free(walk.visits);
    free(walk.path);
}

void
BwConfig_CheckConsistency(const BwConfig *config, const char *file,
                          BwYamlFaults *faults)
{
    Checker checker = {config, file, faults};

    check_all_duplicates(&checker);
    for (uint32_t i = 0; i < config->member_count; i++) {
        check_quotas(&checker, &config->members[i]);
        check_tokens(&checker, &config->members[i]);
    }
    for (uint32_t i = 0; i < config->service_count; i++) {
        check_names(&checker, &config->services[i]);
        check_sizes(&checker, &config->services[i]);
    }
    check_cycles(&checker);
}
