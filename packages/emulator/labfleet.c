/* labfleet.c -- starts and controls the processes of a fleet on loopback */

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "brasswing.h"
#include "clock.h"
#include "labfleet.h"

#define START_TIMEOUT_US 20000000
#define CONTROL_TIMEOUT_US 5000000
#define PORT_FIRST 10000 /* the range is below the ephemeral ports */
#define PORT_SPAN 20000
#define PORT_BLOCK 256 /* more than the largest fleet needs */
#define ARGUMENTS_MAX (8 + 2 * BW_FLEET_DISPATCHERS_MAX)
#define NUMBER_BYTES 24

static const char *const domains[] = {"charguia-a", "charguia-b", "ariana-c"};

#define DOMAIN_COUNT (sizeof(domains) / sizeof(domains[0]))

/* --------------------------------------------------------------- ports */

/* Returns a socket that is bound to the port, or -1 if it is in use. */
static int
bind_port(uint32_t port, int reuses)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuses, sizeof(reuses));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
        return fd;
    close(fd);
    return -1;
}

/* Claims a block of ports by holding its first one for the life of the fleet:
   a port that is free when it is looked for could be taken by a fleet beside
   this one before its process has started. */
static void
claim_ports(BwFleet *fleet)
{
    const uint32_t blocks = PORT_SPAN / PORT_BLOCK;

    fleet->claim_fd = -1;
    for (uint32_t i = 0; i < blocks && fleet->claim_fd < 0; i++) {
        uint32_t block = ((uint32_t)getpid() + i) % blocks;

        fleet->next_port = PORT_FIRST + block * PORT_BLOCK;
        fleet->claim_fd = bind_port(fleet->next_port, 0);
    }
    fleet->last_port = fleet->next_port + PORT_BLOCK - 1;
}

/* Returns a free port of the block, or 0. */
static uint32_t
allocate_port(BwFleet *fleet)
{
    if (fleet->next_port == 0)
        claim_ports(fleet);
    while (fleet->next_port < fleet->last_port) {
        int fd = bind_port(++fleet->next_port, 1);

        if (fd < 0)
            continue;
        close(fd);
        return fleet->next_port;
    }
    return 0;
}

static void
allocate_ports(BwFleet *fleet)
{
    for (uint32_t i = 0; i < 1 + fleet->plan.dispatchers; i++)
        fleet->door_ports[i] = allocate_port(fleet);
    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        fleet->http_ports[i] = allocate_port(fleet);
        fleet->ready_ports[i] = allocate_port(fleet);
        fleet->peer_ports[i] = allocate_port(fleet);
    }
    for (uint32_t i = 0; i < fleet->plan.workers; i++) {
        fleet->supervisor_ports[i] = allocate_port(fleet);
        fleet->worker_ports[i] = allocate_port(fleet);
    }
    fleet->ingress_port = allocate_port(fleet);
    fleet->ingress_control_port = allocate_port(fleet);
}

/* ----------------------------------------------------------- processes */

static bool
fail(BwFleet *fleet, const char *what, const char *name)
{
    snprintf(fleet->fault, sizeof(fleet->fault), "%s: %s; see %s", name, what,
             fleet->dir);
    return false;
}

/* Settings may name only some of the dispatchers, so after the first reload
   one of them is missing, each time another. */
static bool
is_left_out(const BwFleet *fleet, uint32_t dispatcher)
{
    return fleet->reloads > 0 && fleet->plan.dispatchers > 1 &&
           fleet->reloads % fleet->plan.dispatchers == dispatcher;
}

/* A production build may lack the newer settings and refuse them. */
static bool
write_settings(const BwFleet *fleet, const char *path, const char *role,
               const char *name, uint32_t i, uint32_t door,
               const char *addresses, bool is_old)
{
    const char *limits = strcmp(role, "dispatcher") == 0
                             ? fleet->plan.dispatcher_limits
                             : fleet->plan.supervisor_limits;
    char fresh[520];
    FILE *file;

    /* A process may read the file at any time. */
    snprintf(fresh, sizeof(fresh), "%s.new", path);
    file = fopen(fresh, "w");
    if (file == NULL)
        return false;
    fprintf(file,
            "role: %s\nname: %s\nregion: tunis-nord\ndomain: %s\n"
            "log: {address: '127.0.0.1:%u'}\n%s"
            "limits: {%s%sstop_ms: %llu, session_ms: %llu, "
            "worker_lease_ms: %llu}\npeers:\n",
            role, name, domains[i % DOMAIN_COUNT], fleet->door_ports[door],
            addresses, is_old ? "" : "startup_hold_permille: 500, ",
            is_old || limits == NULL ? "" : limits,
            (unsigned long long)fleet->plan.stop_ms,
            (unsigned long long)fleet->plan.session_ms,
            (unsigned long long)fleet->plan.worker_lease_ms);
    for (uint32_t j = 0; j < fleet->plan.dispatchers; j++) {
        if (!is_left_out(fleet, j))
            fprintf(file, "  - {address: '127.0.0.1:%u'}\n",
                    fleet->peer_ports[j]);
    }
    return fclose(file) == 0 && rename(fresh, path) == 0;
}

/* Writes the settings of a daemon, and starts it or, if `is_reload`, sends it
   SIGHUP. */
static bool
set_up_daemon(BwFleet *fleet, BwProcess *process, const char *role, uint32_t i,
              uint32_t door, const char *addresses, bool is_reload,
              bool is_old)
{
    char name[64], path[512];
    const char *program = is_old ? fleet->plan.production : fleet->plan.daemon;
    char *argv[] = {(char *)program, "--settings", path, NULL};

    snprintf(name, sizeof(name), "%s-%u", role, i);
    snprintf(path, sizeof(path), "%s/%s.yaml", fleet->dir, name);
    fleet->reloads += is_reload;
    if (!write_settings(fleet, path, role, name, i, door, addresses, is_old))
        return fail(fleet, strerror(errno), name);
    if (is_reload)
        BwProcess_Signal(process, SIGHUP);
    else if (!BwProcess_Start(process, fleet->dir, name, argv))
        return fail(fleet, strerror(errno), name);
    return true;
}

static bool
set_up_dispatcher(BwFleet *fleet, uint32_t i, bool is_reload)
{
    char addresses[256];

    snprintf(addresses, sizeof(addresses),
             "http: {address: '127.0.0.1:%u'}\n"
             "ready: {address: '127.0.0.1:%u'}\n"
             "peer: {address: '127.0.0.1:%u'}\n",
             fleet->http_ports[i], fleet->ready_ports[i],
             fleet->peer_ports[i]);
    return set_up_daemon(fleet, &fleet->dispatchers[i], "dispatcher", i, 1 + i,
                         addresses, is_reload, fleet->is_old_dispatcher[i]);
}

static bool
set_up_supervisor(BwFleet *fleet, uint32_t i, bool is_reload)
{
    char addresses[256];

    snprintf(addresses, sizeof(addresses),
             "http: {address: '127.0.0.1:%u'}\n"
             "worker: {address: '127.0.0.1:%u'}\n",
             fleet->supervisor_ports[i], fleet->worker_ports[i]);
    return set_up_daemon(fleet, &fleet->supervisors[i], "supervisor", i, 0,
                         addresses, is_reload, fleet->is_old_supervisor[i]);
}

bool
BwFleet_StartDispatcher(BwFleet *fleet, uint32_t i)
{
    return set_up_dispatcher(fleet, i, false);
}

bool
BwFleet_StartSupervisor(BwFleet *fleet, uint32_t i)
{
    return set_up_supervisor(fleet, i, false);
}

bool
BwFleet_ReloadDispatcher(BwFleet *fleet, uint32_t i)
{
    return set_up_dispatcher(fleet, i, true);
}

bool
BwFleet_ReloadSupervisor(BwFleet *fleet, uint32_t i)
{
    return set_up_supervisor(fleet, i, true);
}

bool
BwFleet_WaitStarted(BwFleet *fleet, const BwProcess *process)
{
    return BwProcess_WaitOutput(process, " started ", START_TIMEOUT_US) ||
           fail(fleet, "it did not start within 20 s", process->name);
}

/* Starts the emulated process `brasswing lab KIND OPERANDS...` and waits until
   it has started. */
static bool
start_emulated(BwFleet *fleet, BwProcess *process, const char *name,
               const char *kind, const char *const *operands, uint32_t count)
{
    char *argv[ARGUMENTS_MAX + 4] = {(char *)fleet->plan.lab, "lab",
                                     (char *)kind};

    for (uint32_t i = 0; i < count && i < ARGUMENTS_MAX; i++)
        argv[3 + i] = (char *)operands[i];
    if (!BwProcess_Start(process, fleet->dir, name, argv))
        return fail(fleet, strerror(errno), name);
    if (!BwProcess_WaitStarted(process, START_TIMEOUT_US))
        return fail(fleet, "it did not start within 20 s", name);
    return true;
}

static const char *
format_number(char out[NUMBER_BYTES], uint64_t number)
{
    snprintf(out, NUMBER_BYTES, "%llu", (unsigned long long)number);
    return out;
}

static bool
start_store(BwFleet *fleet)
{
    char numbers[1 + BW_FLEET_DOORS_MAX][NUMBER_BYTES];
    const char *operands[1 + BW_FLEET_DOORS_MAX];
    uint32_t count = 0;

    operands[count] = format_number(numbers[count], fleet->plan.seed);
    count++;
    for (uint32_t i = 0; i < 1 + fleet->plan.dispatchers; i++, count++)
        operands[count] = format_number(numbers[count], fleet->door_ports[i]);
    return start_emulated(fleet, &fleet->store, "store", "store", operands,
                          count);
}

static bool
start_ingress(BwFleet *fleet)
{
    char numbers[2 + 2 * BW_FLEET_DISPATCHERS_MAX][NUMBER_BYTES];
    const char *operands[2 + 2 * BW_FLEET_DISPATCHERS_MAX];
    uint32_t count = 0;

    operands[count] = format_number(numbers[count], fleet->ingress_port);
    count++;
    operands[count] =
        format_number(numbers[count], fleet->ingress_control_port);
    count++;
    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        operands[count] = format_number(numbers[count], fleet->http_ports[i]);
        count++;
        operands[count] = format_number(numbers[count], fleet->ready_ports[i]);
        count++;
    }
    return start_emulated(fleet, &fleet->ingress, "ingress", "ingress",
                          operands, count);
}

/* Workers with even numbers get a clock with the plan's rate, so that the
   fleet has clocks of different rates. */
static bool
start_worker(BwFleet *fleet, uint32_t i)
{
    char name[32], rack[32], numbers[6][NUMBER_BYTES];
    const char *operands[] = {
        format_number(numbers[0], fleet->worker_ports[i]),
        format_number(numbers[1], fleet->supervisor_ports[i]),
        name,
        fleet->plan.service,
        format_number(numbers[2], fleet->plan.cpu),
        format_number(numbers[3], fleet->plan.mem),
        rack,
        format_number(numbers[4],
                      i % 2 == 0 ? fleet->plan.clock_permille : 1000),
        format_number(numbers[5], fleet->plan.seed + i),
        domains[i % DOMAIN_COUNT],
    };

    snprintf(name, sizeof(name), "worker-%u", i);
    snprintf(rack, sizeof(rack), "r1-%u", i / 2);
    return start_emulated(fleet, &fleet->workers[i], name, "worker", operands,
                          sizeof(operands) / sizeof(operands[0]));
}

bool
BwFleet_Init(BwFleet *fleet, const BwFleetPlan *plan, char *dir)
{
    bool is_started;

    memset(fleet, 0, sizeof(*fleet));
    fleet->plan = *plan;
    fleet->dir = dir;
    if (plan->dispatchers > BW_FLEET_DISPATCHERS_MAX ||
        plan->workers > BW_FLEET_WORKERS_MAX)
        return fail(fleet, "more than 8 dispatchers or 64 workers", "fleet");
    for (uint32_t i = 0; plan->production[0] != '\0' && i < plan->dispatchers;
         i++)
        fleet->is_old_dispatcher[i] = true;
    for (uint32_t i = 0; plan->production[0] != '\0' && i < plan->workers; i++)
        fleet->is_old_supervisor[i] = true;
    allocate_ports(fleet);
    is_started = start_store(fleet);
    if (is_started && plan->store[0] != '\0' &&
        !BwFleet_Control(fleet->door_ports[0], plan->store))
        is_started = fail(fleet, "it refused its control text", "store");
    for (uint32_t i = 0; is_started && i < plan->dispatchers; i++)
        is_started = BwFleet_StartDispatcher(fleet, i);
    for (uint32_t i = 0; is_started && i < plan->workers; i++)
        is_started = BwFleet_StartSupervisor(fleet, i);
    for (uint32_t i = 0; is_started && i < plan->dispatchers; i++)
        is_started = BwFleet_WaitStarted(fleet, &fleet->dispatchers[i]);
    for (uint32_t i = 0; is_started && i < plan->workers; i++)
        is_started = BwFleet_WaitStarted(fleet, &fleet->supervisors[i]) &&
                     start_worker(fleet, i);
    return is_started && (!plan->has_ingress || start_ingress(fleet));
}

void
BwFleet_Finish(BwFleet *fleet)
{
    for (uint32_t i = 0; i < BW_FLEET_DISPATCHERS_MAX; i++)
        BwProcess_Finish(&fleet->dispatchers[i]);
    for (uint32_t i = 0; i < BW_FLEET_WORKERS_MAX; i++) {
        BwProcess_Finish(&fleet->supervisors[i]);
        BwProcess_Finish(&fleet->workers[i]);
    }
    BwProcess_Finish(&fleet->ingress);
    BwProcess_Finish(&fleet->store);
    if (fleet->next_port != 0 && fleet->claim_fd >= 0)
        close(fleet->claim_fd);
}

/* ------------------------------------------------------------ requests */

uint32_t
BwFleet_Request(uint32_t port, const char *method, const char *path,
                const char *body, uint64_t timeout_us, BwBlockingReply *reply)
{
    BwBlockingClient client;

    memset(reply, 0, sizeof(*reply));
    if (!BwBlockingClient_Init(&client, "127.0.0.1", (uint16_t)port))
        return 0;
    BwBlockingClient_Request(&client, method, path, "",
                             BwSpan_FromString(body), timeout_us, reply);
    BwBlockingClient_Finish(&client);
    return reply->status;
}

bool
BwFleet_Control(uint32_t port, const char *text)
{
    BwBlockingReply reply;
    uint32_t status = BwFleet_Request(port, "POST", "/control", text,
                                      CONTROL_TIMEOUT_US, &reply);

    free(reply.body);
    return status == 200;
}

uint64_t
BwFleet_ReadMetric(uint32_t port, const char *name)
{
    char line[128];
    BwBlockingReply reply;
    const char *found = NULL;
    uint64_t value = 0;

    snprintf(line, sizeof(line), "\n%s ", name);
    if (BwFleet_Request(port, "GET", "/metrics", "", CONTROL_TIMEOUT_US,
                        &reply) == 200)
        found = strstr(reply.body, line);
    if (found != NULL)
        value = strtoull(found + strlen(line), NULL, 10);
    free(reply.body);
    return value;
}

static bool
have_metric_value(const BwFleet *fleet, const char *name, uint64_t value)
{
    for (uint32_t i = 0; i < fleet->plan.dispatchers; i++) {
        if (fleet->dispatchers[i].pid != 0 &&
            BwFleet_ReadMetric(fleet->ready_ports[i], name) != value)
            return false;
    }
    return true;
}

bool
BwFleet_HasWorkers(const BwFleet *fleet, uint32_t count)
{
    return have_metric_value(fleet, "brasswing_workers_usable", count);
}

bool
BwFleet_HasConfigRevision(const BwFleet *fleet, uint64_t revision)
{
    return have_metric_value(fleet, "brasswing_config_revision", revision);
}
