/* nodeview.c -- prints the status of one dispatcher or supervisor as text

   A dispatcher reports its supervisors and their workers, a supervisor its
   worker and its dispatchers.  No process knows the whole fleet.
*/

#include <stdio.h>
#include <string.h>

#include "cli.h"

#define SHARE_BYTES 48

static const char *
text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL && text[0] != '\0' ? text : "-";
}

static long long
number_of(const json_t *object, const char *key)
{
    return (long long)json_integer_value(json_object_get(object, key));
}

static bool
is_true(const json_t *object, const char *key)
{
    return json_is_true(json_object_get(object, key));
}

/* Writes "PART/TOTAL" of one kind of resource. */
static const char *
format_share(char out[SHARE_BYTES], const json_t *part, const json_t *total,
             const char *kind)
{
    snprintf(out, SHARE_BYTES, "%lld/%lld", number_of(part, kind),
             number_of(total, kind));
    return out;
}

static const char *
supervisor_state(const json_t *supervisor)
{
    if (!is_true(supervisor, "connected"))
        return "down";
    if (is_true(supervisor, "ejected"))
        return "ejected";
    return is_true(supervisor, "usable") ? "up" : "closed";
}

static void
print_supervisor_row(const json_t *supervisor)
{
    const json_t *total = json_object_get(supervisor, "capacity");
    const json_t *free_resources = json_object_get(supervisor, "free");
    char cpu[SHARE_BYTES], memory[SHARE_BYTES], gpu[SHARE_BYTES];

    printf("%-16s %-16s %-14s %13s %15s %7s %8lld %5lld %6lld  %s\n",
           text_of(supervisor, "supervisor"), text_of(supervisor, "service"),
           text_of(supervisor, "domain"),
           format_share(cpu, free_resources, total, "cpu_milli"),
           format_share(memory, free_resources, total, "mem_mb"),
           format_share(gpu, free_resources, total, "gpu"),
           number_of(supervisor, "queued"),
           number_of(supervisor, "pace_permille"),
           number_of(supervisor, "failed_permille"),
           supervisor_state(supervisor));
}

static void
print_dispatcher(const json_t *status)
{
    const json_t *supervisor;
    size_t i;

    printf("revision %lld, store %s, %s; jobs: %lld waiting, %lld running\n\n",
           number_of(status, "revision"),
           is_true(status, "store_up") ? "up" : "down",
           is_true(status, "ready") ? "ready" : "not ready",
           number_of(status, "jobs_waiting"),
           number_of(status, "jobs_running"));
    printf("%-16s %-16s %-14s %13s %15s %7s %8s %5s %6s  %s\n", "SUPERVISOR",
           "SERVICE", "DOMAIN", "FREE MCPU", "FREE MB", "GPU", "CORE-MS",
           "PACE", "FAILED", "STATE");
    json_array_foreach(json_object_get(status, "workers"), i, supervisor)
        print_supervisor_row(supervisor);
}

static void
print_supervisor(const json_t *status)
{
    const json_t *worker = json_object_get(status, "worker");
    const json_t *load_report = json_object_get(status, "account");
    const json_t *total = json_object_get(load_report, "capacity");
    const json_t *used = json_object_get(load_report, "used");
    const json_t *tasks = json_object_get(status, "tasks");
    char cpu[SHARE_BYTES], memory[SHARE_BYTES], gpu[SHARE_BYTES];
    const json_t *peer;
    size_t i;

    printf("worker %s of %s: %s, %s, lease %lld ms\n",
           text_of(worker, "instance"), text_of(worker, "service"),
           text_of(worker, "phase"),
           is_true(worker, "usable") ? "usable" : "closed",
           number_of(worker, "lease_left_ms"));
    printf("used: mcpu %s, MB %s, gpu %s; pace %lld, failed %lld\n",
           format_share(cpu, used, total, "cpu_milli"),
           format_share(memory, used, total, "mem_mb"),
           format_share(gpu, used, total, "gpu"),
           number_of(load_report, "pace_permille"),
           number_of(load_report, "failed_permille"));
    printf(
        "tasks: %lld queued, %lld starting, %lld running, %lld stopping\n\n",
        number_of(tasks, "queued"), number_of(tasks, "starting"),
        number_of(tasks, "running"), number_of(tasks, "stopping"));
    printf("%-16s %10s %6s\n", "DISPATCHER", "SESSION-MS", "TASKS");
    json_array_foreach(json_object_get(status, "peers"), i, peer)
        printf("%-16s %10lld %6lld\n", text_of(peer, "name"),
               number_of(peer, "session_left_ms"), number_of(peer, "tasks"));
}

bool
BwCli_PrintNode(const json_t *status)
{
    static const struct {
        const char *role;
        void (*print)(const json_t *status);
    } roles[] = {
        {"dispatcher", print_dispatcher},
        {"supervisor", print_supervisor},
    };

    for (size_t i = 0; i < sizeof(roles) / sizeof(roles[0]); i++) {
        if (strcmp(text_of(status, "role"), roles[i].role) != 0)
            continue;
        printf("%s %s, region %s, domain %s%s\n", roles[i].role,
               text_of(status, "name"), text_of(status, "region"),
               text_of(status, "domain"),
               is_true(status, "stopping") ? ", stopping" : "");
        roles[i].print(status);
        return true;
    }
    return false;
}
