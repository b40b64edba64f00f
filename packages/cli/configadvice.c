/* configadvice.c -- what a valid configuration would do that nobody wants, see
   configadvice.h

   Entries are found by name, pairwise: a configuration has some hundred names,
   and it is examined once before it is sent.
*/

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "configadvice.h"

#define KEY_BYTES_MAX 255 /* of the host and of the prefix of a route */

/* ------------------------------------------------------------ findings */

void
BwFindings_Finish(BwFindings *findings)
{
    free(findings->items);
    memset(findings, 0, sizeof(*findings));
}

const char *
BwFinding_KindName(BwFindingKind kind)
{
    static const char *const names[] = {"never matches", "contradiction",
                                        "difference"};

    return names[kind];
}

__attribute__((format(printf, 4, 5))) static void
add(BwFindings *findings, BwFindingKind kind, uint32_t line,
    const char *format, ...)
{
    va_list arguments;
    BwFinding *finding;

    if (findings->count == findings->capacity) {
        uint32_t capacity = findings->capacity ? findings->capacity * 2 : 16;
        BwFinding *grown = realloc(findings->items, capacity * sizeof(*grown));

        if (grown == NULL) {
            findings->is_incomplete = true;
            return;
        }
        findings->items = grown;
        findings->capacity = capacity;
    }
    finding = &findings->items[findings->count++];
    finding->kind = kind;
    finding->line = line;
    va_start(arguments, format);
    vsnprintf(finding->text, sizeof(finding->text), format, arguments);
    va_end(arguments);
}

/* A number of the entry that changed, and what callers will see. */
static void
compare_number(BwFindings *findings, uint32_t line, const char *entry,
               const char *key, uint64_t before, uint64_t after,
               const char *effect)
{
    if (before != after)
        add(findings, BW_FINDING_DIFFERENCE, line, "%s: %s %llu, was %llu: %s",
            entry, key, (unsigned long long)after, (unsigned long long)before,
            effect);
}

/* -------------------------------------------------------- configuration */

static bool
has_kind_of(const BwConfigService *service, const char *job_class)
{
    for (uint32_t i = 0; i < service->kind_count; i++) {
        if (strcmp(service->kinds[i].job_class, job_class) == 0)
            return true;
    }
    return false;
}

/* Without kinds a service does not state its jobs, and callers may name any
   class. */
static void
examine_classes(BwFindings *findings, const BwConfigService *service)
{
    for (uint32_t i = 0; i < service->class_count && service->kind_count > 0;
         i++) {
        const BwConfigClass *job_class = &service->classes[i];

        if (!has_kind_of(service, job_class->name))
            add(findings, BW_FINDING_NEVER_MATCHES, job_class->line,
                "class '%s' of service '%s': no kind uses it; name it in a "
                "kind or remove it",
                job_class->name, service->name);
    }
}

static bool
has_service(const BwConfig *config, const BwConfigMember *member)
{
    for (uint32_t i = 0; i < config->service_count; i++) {
        if (strcmp(config->services[i].member, member->name) == 0)
            return true;
    }
    return false;
}

/* A team can have no job admitted that is larger than its limit. */
static void
examine_team(BwFindings *findings, const BwConfig *config,
             const BwConfigMember *member, const BwConfigTeam *team)
{
    for (uint32_t i = 0; i < config->service_count; i++) {
        const BwConfigService *service = &config->services[i];

        if (strcmp(service->member, member->name) != 0)
            continue;
        for (uint32_t j = 0; j < service->kind_count; j++) {
            const BwConfigKind *kind = &service->kinds[j];

            if (team->tasks_max > 0 && kind->job_tasks > team->tasks_max)
                add(findings, BW_FINDING_CONTRADICTION, team->line,
                    "team '%s' of member '%s': tasks_max %u refuses every job "
                    "of %u tasks of kind '%s'; raise it or make the job "
                    "smaller",
                    team->name, member->name, team->tasks_max, kind->job_tasks,
                    kind->name);
        }
    }
    if (team->tasks_max > 0 && team->quota_slots > team->tasks_max)
        add(findings, BW_FINDING_CONTRADICTION, team->line,
            "team '%s' of member '%s': with tasks_max %u it never uses its "
            "quota of %u slots; raise tasks_max or lower the quota",
            team->name, member->name, team->tasks_max, team->quota_slots);
}

static void
examine_service(BwFindings *findings, const BwConfigService *service)
{
    for (uint32_t i = 0; i < service->kind_count; i++) {
        const BwConfigKind *kind = &service->kinds[i];

        if (service->policy.backlog_ms_max > 0 &&
            kind->runtime_ms > service->policy.backlog_ms_max)
            add(findings, BW_FINDING_CONTRADICTION, kind->line,
                "kind '%s' of service '%s': one task takes %llu ms, over the "
                "policy's backlog_ms_max of %llu; raise the limit",
                kind->name, service->name,
                (unsigned long long)kind->runtime_ms,
                (unsigned long long)service->policy.backlog_ms_max);
        if (service->policy.task_bytes_max > 0 &&
            kind->task_bytes > service->policy.task_bytes_max)
            add(findings, BW_FINDING_CONTRADICTION, kind->line,
                "kind '%s' of service '%s': a task of %u bytes is over the "
                "policy's task_bytes_max of %llu; raise the limit",
                kind->name, service->name, kind->task_bytes,
                (unsigned long long)service->policy.task_bytes_max);
        if (service->policy.queued_tasks_max > 0 &&
            kind->job_tasks > service->policy.queued_tasks_max)
            add(findings, BW_FINDING_CONTRADICTION, kind->line,
                "kind '%s' of service '%s': a job of %u tasks is over the "
                "policy's queued_tasks_max of %llu; raise the limit",
                kind->name, service->name, kind->job_tasks,
                (unsigned long long)service->policy.queued_tasks_max);
    }
}

void
BwAdvice_Examine(BwFindings *findings, const BwConfig *config)
{
    for (uint32_t i = 0; i < config->member_count; i++) {
        const BwConfigMember *member = &config->members[i];

        if (!has_service(config, member) && member->token_count == 0)
            add(findings, BW_FINDING_NEVER_MATCHES, member->line,
                "member '%s' has no service and no token; name it in a "
                "service or remove it",
                member->name);
        for (uint32_t j = 0; j < member->team_count; j++)
            examine_team(findings, config, member, &member->teams[j]);
    }
    for (uint32_t i = 0; i < config->service_count; i++) {
        examine_classes(findings, &config->services[i]);
        examine_service(findings, &config->services[i]);
    }
}

/* --------------------------------------------------------- differences */

/* The element of that name in a list whose elements start with their name. */
static const void *
find_named(const void *list, uint32_t count, size_t size_bytes,
           const char *name)
{
    const char *base = list;

    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(base + i * size_bytes, name) == 0)
            return base + i * size_bytes;
    }
    return NULL;
}

static void
compare_classes(BwFindings *findings, const BwConfigService *before,
                const BwConfigService *after)
{
    char entry[2 * BW_NAME_BYTES_MAX + 32];

    for (uint32_t i = 0; i < after->class_count; i++) {
        const BwConfigClass *own = &after->classes[i];
        const BwConfigClass *old = find_named(
            before->classes, before->class_count, sizeof(*old), own->name);

        snprintf(entry, sizeof(entry), "class '%s' of service '%s'", own->name,
                 after->name);
        if (old == NULL)
            add(findings, BW_FINDING_DIFFERENCE, own->line,
                "%s: added with priority %u", entry, own->priority);
        else
            compare_number(findings, own->line, entry, "priority",
                           old->priority, own->priority,
                           own->priority < old->priority
                               ? "its jobs are served before more of the "
                                 "others"
                               : "its jobs wait for more of the others");
    }
    for (uint32_t i = 0; i < before->class_count; i++) {
        const BwConfigClass *old = &before->classes[i];

        if (find_named(after->classes, after->class_count, sizeof(*old),
                       old->name) == NULL)
            add(findings, BW_FINDING_DIFFERENCE, after->line,
                "class '%s' of service '%s': removed; jobs that name it are "
                "refused",
                old->name, after->name);
    }
}

/* 0 stands for the default of the product. */
static void
compare_policy(BwFindings *findings, uint32_t line, const char *entry,
               const BwConfigPolicy *before, const BwConfigPolicy *after)
{
    const struct {
        const char *key;
        uint64_t before, after;
        const char *effect;
    } rows[] = {
        {"policy.surplus_percent", before->surplus_percent,
         after->surplus_percent, "reservations beside those needed"},
        {"policy.waste_permille", before->waste_permille,
         after->waste_permille, "messages that may be wasted"},
        {"policy.task_bytes_max", before->task_bytes_max,
         after->task_bytes_max, "larger tasks are refused"},
        {"policy.queued_tasks_max", before->queued_tasks_max,
         after->queued_tasks_max, "further tasks are refused"},
        {"policy.backlog_ms_max", before->backlog_ms_max,
         after->backlog_ms_max, "a longer backlog refuses further jobs"},
        {"policy.retry_percent", before->retry_percent, after->retry_percent,
         "retries of idempotent requests"},
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        compare_number(findings, line, entry, rows[i].key, rows[i].before,
                       rows[i].after, rows[i].effect);
    if (before->placement != after->placement)
        add(findings, BW_FINDING_DIFFERENCE, line,
            "%s: another placement: other workers get its tasks", entry);
    if (before->order != after->order)
        add(findings, BW_FINDING_DIFFERENCE, line,
            "%s: another order: its jobs wait in another order", entry);
}

static void
compare_service(BwFindings *findings, const BwConfigService *before,
                const BwConfigService *after)
{
    char entry[BW_NAME_BYTES_MAX + 16];

    snprintf(entry, sizeof(entry), "service '%s'", after->name);
    if (strcmp(before->member, after->member) != 0)
        add(findings, BW_FINDING_DIFFERENCE, after->line,
            "%s: member '%s', was '%s'", entry, after->member, before->member);
    compare_number(findings, after->line, entry, "tasks_max",
                   before->tasks_max, after->tasks_max,
                   "larger jobs are refused");
    compare_number(findings, after->line, entry, "body_bytes_max",
                   before->body_bytes_max, after->body_bytes_max,
                   "jobs with larger bodies are refused (0: no limit)");
    compare_number(findings, after->line, entry, "job_lifetime_ms",
                   before->job_lifetime_ms, after->job_lifetime_ms,
                   "later deadlines are refused (0: not set)");
    compare_policy(findings, after->line, entry, &before->policy,
                   &after->policy);
    compare_classes(findings, before, after);
}

static void
compare_member(BwFindings *findings, const BwConfigMember *before,
               const BwConfigMember *after)
{
    char entry[2 * BW_NAME_BYTES_MAX + 32];

    for (uint32_t i = 0; i < after->team_count; i++) {
        const BwConfigTeam *own = &after->teams[i];
        const BwConfigTeam *old = find_named(before->teams, before->team_count,
                                             sizeof(*old), own->name);

        snprintf(entry, sizeof(entry), "team '%s' of member '%s'", own->name,
                 after->name);
        if (old == NULL) {
            add(findings, BW_FINDING_DIFFERENCE, own->line,
                "%s: added with a quota of %u slots", entry, own->quota_slots);
            continue;
        }
        compare_number(findings, own->line, entry, "quota_slots",
                       old->quota_slots, own->quota_slots,
                       "its share while others compete");
        compare_number(findings, own->line, entry, "tasks_max", old->tasks_max,
                       own->tasks_max,
                       "further jobs are refused (0: no limit)");
    }
    for (uint32_t i = 0; i < before->team_count; i++) {
        const BwConfigTeam *old = &before->teams[i];

        if (find_named(after->teams, after->team_count, sizeof(*old),
                       old->name) == NULL)
            add(findings, BW_FINDING_DIFFERENCE, after->line,
                "team '%s' of member '%s': removed; it loses its quota of %u "
                "slots",
                old->name, after->name, old->quota_slots);
    }
    if ((before->token_count == 0) != (after->token_count == 0))
        add(findings, BW_FINDING_DIFFERENCE, after->line, "member '%s': %s",
            after->name,
            after->token_count == 0 ? "open to every caller, without a token"
                                    : "callers need a token");
}

void
BwAdvice_Compare(BwFindings *findings, const BwConfig *before,
                 const BwConfig *after)
{
    for (uint32_t i = 0; i < after->service_count; i++) {
        const BwConfigService *own = &after->services[i];
        const BwConfigService *old = find_named(
            before->services, before->service_count, sizeof(*old), own->name);

        if (old != NULL)
            compare_service(findings, old, own);
        else
            add(findings, BW_FINDING_DIFFERENCE, own->line,
                "service '%s': added", own->name);
    }
    for (uint32_t i = 0; i < before->service_count; i++) {
        const BwConfigService *old = &before->services[i];

        if (find_named(after->services, after->service_count, sizeof(*old),
                       old->name) == NULL)
            add(findings, BW_FINDING_DIFFERENCE, 0,
                "service '%s': removed; its callers get unknown_service",
                old->name);
    }
    for (uint32_t i = 0; i < after->member_count; i++) {
        const BwConfigMember *own = &after->members[i];
        const BwConfigMember *old = find_named(
            before->members, before->member_count, sizeof(*old), own->name);

        if (old != NULL)
            compare_member(findings, old, own);
        else
            add(findings, BW_FINDING_DIFFERENCE, own->line,
                "member '%s': added", own->name);
    }
    for (uint32_t i = 0; i < before->member_count; i++) {
        const BwConfigMember *old = &before->members[i];

        if (find_named(after->members, after->member_count, sizeof(*old),
                       old->name) == NULL)
            add(findings, BW_FINDING_DIFFERENCE, 0,
                "member '%s': removed; its teams lose their quotas",
                old->name);
    }
}

/* -------------------------------------------------------------- routes */

#define SPAN_ARGS(span) (int)(span).size_bytes, (span).base

static bool
has_same_key(const BwRouteRow *left, const BwRouteRow *right)
{
    return BwSpan_Equal(left->host, right->host) &&
           BwSpan_Equal(left->prefix, right->prefix);
}

/* The longest prefix wins, and of two routes with the same host and prefix the
   later one: only that covers another route. */
static void
examine_route(BwFindings *findings, const BwRouteRows *routes, uint32_t index)
{
    const BwRouteRow *row = &routes->rows[index];

    for (uint32_t i = index + 1; i < routes->row_count; i++) {
        if (has_same_key(&routes->rows[i], row)) {
            add(findings, BW_FINDING_NEVER_MATCHES, 0,
                "route '%.*s': '%.*s' follows with the same host and prefix; "
                "remove one",
                SPAN_ARGS(row->name), SPAN_ARGS(routes->rows[i].name));
            break;
        }
    }
    if (row->host.size_bytes > KEY_BYTES_MAX ||
        row->prefix.size_bytes > KEY_BYTES_MAX)
        add(findings, BW_FINDING_NEVER_MATCHES, 0,
            "route '%.*s': a host or prefix over %d bytes is left out; "
            "shorten it",
            SPAN_ARGS(row->name), KEY_BYTES_MAX);
    if (row->prefix.size_bytes == 0 || row->prefix.base[0] != '/')
        add(findings, BW_FINDING_NEVER_MATCHES, 0,
            "route '%.*s': no path begins with '%.*s'; begin the prefix with "
            "'/'",
            SPAN_ARGS(row->name), SPAN_ARGS(row->prefix));
    if (row->host.size_bytes == 0)
        add(findings, BW_FINDING_NEVER_MATCHES, 0,
            "route '%.*s': it has no host, and callers name one",
            SPAN_ARGS(row->name));
    if (row->service.size_bytes == 0)
        add(findings, BW_FINDING_NEVER_MATCHES, 0,
            "route '%.*s': it names no service, so no worker runs its jobs",
            SPAN_ARGS(row->name));
    if (row->stretch_permille > 0 && row->stretch_permille < 1000)
        add(findings, BW_FINDING_CONTRADICTION, 0,
            "route '%.*s': a stretch of %u permille is shorter than the run "
            "itself; give 1000 or more",
            SPAN_ARGS(row->name), row->stretch_permille);
    if (row->timeout_us > 0 && row->timeout_us <= row->target_us)
        add(findings, BW_FINDING_CONTRADICTION, 0,
            "route '%.*s': its timeout of %llu ms ends before the target of "
            "%llu ms; raise the timeout",
            SPAN_ARGS(row->name), (unsigned long long)row->timeout_us / 1000,
            (unsigned long long)row->target_us / 1000);
    if (row->attempts_max == 0)
        add(findings, BW_FINDING_CONTRADICTION, 0,
            "route '%.*s': no attempt is allowed; one is made all the same",
            SPAN_ARGS(row->name));
}

void
BwAdvice_ExamineRoutes(BwFindings *findings, const BwRouteRows *routes)
{
    for (uint32_t i = 0; i < routes->row_count; i++)
        examine_route(findings, routes, i);
}

static const BwRouteRow *
find_route(const BwRouteRows *routes, const BwRouteRow *key)
{
    for (uint32_t i = 0; i < routes->row_count; i++) {
        if (has_same_key(&routes->rows[i], key))
            return &routes->rows[i];
    }
    return NULL;
}

static void
compare_route(BwFindings *findings, const BwRouteRow *before,
              const BwRouteRow *after)
{
    char entry[BW_NAME_BYTES_MAX + 16];

    snprintf(entry, sizeof(entry), "route '%.*s'",
             after->name.size_bytes < BW_NAME_BYTES_MAX
                 ? (int)after->name.size_bytes
                 : BW_NAME_BYTES_MAX,
             after->name.base);
    if (!BwSpan_Equal(before->service, after->service))
        add(findings, BW_FINDING_DIFFERENCE, 0,
            "%s: service '%.*s', was '%.*s': other workers run its jobs",
            entry, SPAN_ARGS(after->service), SPAN_ARGS(before->service));
    compare_number(findings, 0, entry, "priority", before->priority,
                   after->priority,
                   after->priority < before->priority
                       ? "its jobs are served before more of the others"
                       : "its jobs wait for more of the others");
    compare_number(findings, 0, entry, "attempts", before->attempts_max,
                   after->attempts_max, "runs of a task that fails");
    compare_number(findings, 0, entry, "stretch permille",
                   before->stretch_permille, after->stretch_permille,
                   "the latency objective of its jobs");
    compare_number(findings, 0, entry, "target ms", before->target_us / 1000,
                   after->target_us / 1000,
                   "the latency objective of its jobs");
    compare_number(findings, 0, entry, "timeout ms", before->timeout_us / 1000,
                   after->timeout_us / 1000,
                   "how long its callers are served");
}

void
BwAdvice_CompareRoutes(BwFindings *findings, const BwRouteRows *before,
                       const BwRouteRows *after)
{
    if (after->revision <= before->revision)
        add(findings, BW_FINDING_CONTRADICTION, 0,
            "version %llu is not above the one in force, %llu, so it changes "
            "nothing; raise it",
            (unsigned long long)after->revision,
            (unsigned long long)before->revision);
    for (uint32_t i = 0; i < after->row_count; i++) {
        const BwRouteRow *own = &after->rows[i];
        const BwRouteRow *old = find_route(before, own);

        if (old != NULL)
            compare_route(findings, old, own);
        else
            add(findings, BW_FINDING_DIFFERENCE, 0,
                "route '%.*s': added at '%.*s%.*s'", SPAN_ARGS(own->name),
                SPAN_ARGS(own->host), SPAN_ARGS(own->prefix));
    }
    for (uint32_t i = 0; i < before->row_count; i++) {
        const BwRouteRow *old = &before->rows[i];

        if (find_route(after, old) == NULL)
            add(findings, BW_FINDING_DIFFERENCE, 0,
                "route '%.*s': removed; its callers get 404",
                SPAN_ARGS(old->name));
    }
}
