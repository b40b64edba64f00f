/* nodeview.c -- status of one dispatcher or supervisor, as text

   These processes tell of themselves and of their own workers or dispatchers;
   nobody knows the whole fleet.
*/

#include <stdio.h>
#include <string.h>

#include "cli.h"

#define ROOM_BYTES 48

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

/* Writes "PART/WHOLE" of one kind of room. */
static const char *
share(char out[ROOM_BYTES], const json_t *part, const json_t *whole,
      const char *kind)
{
    snprintf(out, ROOM_BYTES, "%lld/%lld", number_of(part, kind),
             number_of(whole, kind));
    return out;
}

static const char *
view_state(const json_t *view)
{
    if (!is_true(view, "connected"))
        return "down";
    if (is_true(view, "ejected"))
        return "ejected";
    return is_true(view, "usable") ? "up" : "closed";
}

static void
print_view(const json_t *view)
{
    const json_t *whole = json_object_get(view, "capacity");
    const json_t *unused = json_object_get(view, "free");
    char cpu[ROOM_BYTES], memory[ROOM_BYTES], gpu[ROOM_BYTES];

    printf("%-16s %-16s %-14s %13s %15s %7s %8lld %5lld %6lld  %s\n",
           text_of(view, "supervisor"), text_of(view, "service"),
           text_of(view, "domain"), share(cpu, unused, whole, "cpu_milli"),
           share(memory, unused, whole, "mem_mb"),
           share(gpu, unused, whole, "gpu"), number_of(view, "queued"),
           number_of(view, "pace_permille"),
           number_of(view, "failed_permille"), view_state(view));
}

static void
print_dispatcher(const json_t *status)
{
    const json_t *view;
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
    json_array_foreach(json_object_get(status, "workers"), i, view)
        print_view(view);
}

static void
print_supervisor(const json_t *status)
{
    const json_t *worker = json_object_get(status, "worker");
    const json_t *account = json_object_get(status, "account");
    const json_t *whole = json_object_get(account, "capacity");
    const json_t *used = json_object_get(account, "used");
    const json_t *tasks = json_object_get(status, "tasks");
    char cpu[ROOM_BYTES], memory[ROOM_BYTES], gpu[ROOM_BYTES];
    const json_t *peer;
    size_t i;

    printf("worker %s of %s: %s, %s, lease %lld ms\n",
           text_of(worker, "instance"), text_of(worker, "service"),
           text_of(worker, "phase"),
           is_true(worker, "usable") ? "usable" : "closed",
           number_of(worker, "lease_left_ms"));
    printf("used: mcpu %s, MB %s, gpu %s; pace %lld, failed %lld\n",
           share(cpu, used, whole, "cpu_milli"),
           share(memory, used, whole, "mem_mb"),
           share(gpu, used, whole, "gpu"), number_of(account, "pace_permille"),
           number_of(account, "failed_permille"));
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
