/* harness.c -- a small deployment on loopback, see harness.h */

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "harness.h"
#include "labfleet.h"
#include "wording.h"

#define START_TIMEOUT_US 20000000
#define POLL_US 20000
#define NUMBER_BYTES 16
#define REVISION 3
#define TARGET_MS 60
#define CPU 6200 /* thousandths of a core, for a task */
#define MEM 64   /* MB */
#define PORT_MIN 20000
#define PORT_MAX 32000
#define RUNS_MAX 128

/* ---------------------------------------------------------------- time */

uint64_t
Now_Us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

void
Sleep_Until(uint64_t then_us)
{
    uint64_t now_us = Now_Us();

    if (then_us > now_us)
        usleep((useconds_t)(then_us - now_us));
}

void
Deployment_Note(Deployment *d, const char *format, ...)
{
    va_list arguments;

    flockfile(d->record);
    fprintf(d->record, "%8.3f ", (double)(Now_Us() - d->began_us) / 1e6);
    va_start(arguments, format);
    vfprintf(d->record, format, arguments);
    va_end(arguments);
    fputc('\n', d->record);
    fflush(d->record);
    funlockfile(d->record);
}

static void
give_up(Deployment *d, const char *cause)
{
    Deployment_Note(d, "the case could not run: %s", cause);
    Deployment_End(d, CASE_NOT_RUN);
}

/* --------------------------------------------------------------- start */

/* Ports below those that the system gives to clients, so that a process that
   is started again finds its port free. */
uint32_t
Port_Find(void)
{
    static uint32_t next;

    if (next == 0)
        next = PORT_MIN + (uint32_t)getpid() * 61 % (PORT_MAX - PORT_MIN);
    for (uint32_t i = PORT_MIN; i < PORT_MAX; i++) {
        struct sockaddr_in address = {
            .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bool is_free;

        next = next + 1 < PORT_MAX ? next + 1 : PORT_MIN;
        address.sin_port = htons((uint16_t)next);
        is_free = fd >= 0 &&
                  bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
        if (fd >= 0)
            close(fd);
        if (is_free)
            return next;
    }
    return 0;
}

static void
write_settings(Deployment *d, const char *path, const char *role, uint32_t i,
               uint32_t door, const char *addresses, const char *limits)
{
    static const char *const domains[] = {"charguia-a", "charguia-b",
                                          "ariana-c"};
    FILE *file = fopen(path, "w");

    if (file == NULL)
        give_up(d, strerror(errno));
    fprintf(file,
            "role: %s\nname: %s-%u\nregion: tunis-nord\ndomain: %s\n%s"
            "log: {address: \"127.0.0.1:%u\" }\npeers: [ ",
            role, role, i, domains[i % 3], addresses, door);
    for (uint32_t j = 0; j < d->dispatcher_count && j < 3; j++)
        fprintf(file, "%s{address: \"127.0.0.1:%u\" }", j > 0 ? "," : "",
                d->peer_ports[j]);
    fprintf(file,
            " ]\nlimits:\n%s  resend_ms: 1300\n  worker_lease_max_ms: 1000\n"
            "  worker_stop_ms: 50\n  grace_s: 6\n  contact_ms: 3000\n",
            limits);
    fclose(file);
}

static void
start_daemon(Deployment *d, BwProcess *process, const char *role, uint32_t i,
             uint32_t door, const char *addresses, const char *limits)
{
    char name[64], path[160];
    char *argv[] = {REVIEW_DAEMON, "--settings", path, NULL};

    snprintf(name, sizeof(name), "%s-%u", role, i);
    snprintf(path, sizeof(path), "%s/%s.yaml", d->dir, name);
    write_settings(d, path, role, i, door, addresses, limits);
    if (!BwProcess_Start(process, d->dir, name, argv) ||
        !BwProcess_WaitOutput(process, " started ", START_TIMEOUT_US))
        give_up(d, name);
}

void
Deployment_StartDispatcher(Deployment *d, uint32_t i)
{
    char addresses[256];

    snprintf(addresses, sizeof(addresses),
             "http: {address: \"127.0.0.1:%u\" }\n"
             "ready: {address: \"127.0.0.1:%u\" }\n"
             "peer: {address: \"127.0.0.1:%u\" }\n",
             d->http_ports[i], d->ready_ports[i], d->peer_ports[i]);
    start_daemon(d, &d->dispatchers[i], "dispatcher", i, d->door_ports[1 + i],
                 addresses,
                 "  body_bytes: 524288\n  startup_hold_permille: 500\n"
                 "  config_apply_ms: 2000\n");
}

static void
start_supervisor(Deployment *d, uint32_t i)
{
    char addresses[256];

    snprintf(addresses, sizeof(addresses),
             "http: {address: \"127.0.0.1:%u\" }\n"
             "worker: {address: \"127.0.0.1:%u\" }\n",
             d->control_ports[i], d->worker_ports[i]);
    start_daemon(d, &d->supervisors[i], "supervisor", i, d->door_ports[0],
                 addresses, "  body_bytes: 4194304\n");
}

static void
start_lab(Deployment *d, BwProcess *process, const char *name, char **argv)
{
    if (!BwProcess_Start(process, d->dir, name, argv) ||
        !BwProcess_WaitStarted(process, START_TIMEOUT_US))
        give_up(d, name);
}

/* Writes the configuration, with the queue of all cases, as operators do. */
static void
configure(Deployment *d)
{
    char *route = BwWording_RouteText("recon", "recon.example", "tarif-engine",
                                      TARGET_MS);
    char *config = BwWording_ConfigText(REVISION, route);
    char *control;

    if (asprintf(&control, "{\"config\":%s}", config) < 0 ||
        !BwFleet_Control(d->door_ports[0], control))
        give_up(d, "the store refused the configuration");
    free(control);
    free(config);
    free(route);
}

static void
start_store(Deployment *d)
{
    char ports[1 + DISPATCHERS_MAX][NUMBER_BYTES];
    char *argv[4 + 1 + DISPATCHERS_MAX + 1] = {REVIEW_LAB, "lab", "store",
                                               "1"};

    for (uint32_t i = 0; i < 1 + d->dispatcher_count; i++) {
        snprintf(ports[i], NUMBER_BYTES, "%u", d->door_ports[i]);
        argv[4 + i] = ports[i];
    }
    start_lab(d, &d->store, "store", argv);
    configure(d);
}

static void
start_worker(Deployment *d, uint32_t i)
{
    char port[NUMBER_BYTES], control[NUMBER_BYTES], name[32], rack[16];
    char *argv[] = {REVIEW_LAB,     "lab",   "worker", port, control, name,
                    "tarif-engine", "64000", "131072", rack, "1000",  "1",
                    "charguia-a",   NULL};

    snprintf(port, sizeof(port), "%u", d->worker_ports[i]);
    snprintf(control, sizeof(control), "%u", d->control_ports[i]);
    snprintf(name, sizeof(name), "worker-%u", i);
    snprintf(rack, sizeof(rack), "r1-%u", i / 3);
    start_lab(d, &d->workers[i], name, argv);
}

bool
Deployment_WaitReadyOf(Deployment *d, uint32_t i)
{
    uint64_t until_us = Now_Us() + START_TIMEOUT_US;

    while (BwFleet_ReadMetric(d->ready_ports[i], "brasswing_workers_usable") !=
               d->worker_count ||
           BwFleet_ReadMetric(d->ready_ports[i],
                              "brasswing_config_revision") == 0) {
        if (Now_Us() > until_us)
            return false;
        usleep(POLL_US);
    }
    return true;
}

bool
Deployment_WaitReady(Deployment *d)
{
    for (uint32_t i = 0; i < d->dispatcher_count; i++) {
        if (d->dispatchers[i].pid != 0 && !Deployment_WaitReadyOf(d, i))
            return false;
    }
    return true;
}

void
Deployment_Start(Deployment *d, const char *folder, uint32_t dispatchers,
                 uint32_t workers)
{
    const char *trouble = getenv("TROUBLE");
    char path[512];

    memset(d, 0, sizeof(*d));
    d->began_us = Now_Us();
    d->has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    d->record = fopen(path, "w");
    if (d->record == NULL)
        exit(CASE_NOT_RUN);
    snprintf(d->dir, sizeof(d->dir), "/tmp/review-XXXXXX");
    if (mkdtemp(d->dir) == NULL)
        give_up(d, "no temporary folder");
    d->dispatcher_count = dispatchers;
    d->worker_count = workers;
    for (uint32_t i = 0; i < 1 + dispatchers; i++)
        d->door_ports[i] = Port_Find();
    for (uint32_t i = 0; i < dispatchers; i++) {
        d->http_ports[i] = Port_Find();
        d->ready_ports[i] = Port_Find();
        d->peer_ports[i] = Port_Find();
    }
    for (uint32_t i = 0; i < workers; i++) {
        d->control_ports[i] = Port_Find();
        d->worker_ports[i] = Port_Find();
    }
    start_store(d);
    for (uint32_t i = 0; i < dispatchers; i++)
        Deployment_StartDispatcher(d, i);
    for (uint32_t i = 0; i < workers; i++) {
        start_supervisor(d, i);
        start_worker(d, i);
    }
    if (!Deployment_WaitReady(d))
        give_up(d, "the fleet did not become ready");
    Deployment_Note(d, "%u dispatchers and %u workers are up%s", dispatchers,
                    workers, d->has_trouble ? "" : ", TROUBLE=0");
}

void
Deployment_End(Deployment *d, int result)
{
    char command[96];

    for (uint32_t i = 0; i < DISPATCHERS_MAX; i++)
        BwProcess_Finish(&d->dispatchers[i]);
    for (uint32_t i = 0; i < WORKERS_MAX; i++) {
        BwProcess_Finish(&d->supervisors[i]);
        BwProcess_Finish(&d->workers[i]);
    }
    BwProcess_Finish(&d->store);
    Deployment_Note(d, "result %d: %s", result,
                    result == CASE_BROKEN ? "the rule was broken"
                    : result == CASE_HELD ? "the rule held"
                                          : "the case could not run");
    fclose(d->record);
    if (d->dir[0] != '\0' && getenv("KEEP") == NULL) {
        snprintf(command, sizeof(command), "rm -rf '%s'", d->dir);
        if (system(command) != 0)
            result = CASE_NOT_RUN;
    }
    exit(result);
}

/* ---------------------------------------------------------------- jobs */

const char *
Job_Text(uint32_t steps, uint32_t tasks, uint32_t run_ms)
{
    char *one = BwWording_JobText(tasks, run_ms, CPU, MEM, 0, false);
    json_t *document = one != NULL ? json_loads(one, 0, NULL) : NULL;
    json_t *list = json_object_get(document, "steps");
    char *text;

    for (uint32_t i = 1; i < steps; i++) {
        json_t *step = json_deep_copy(json_array_get(list, 0));

        json_object_set_new(step, "after", json_pack("[i]", (int)(i - 1)));
        json_array_append_new(list, step);
    }
    text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    free(one);
    return text != NULL ? text : "";
}

/* --------------------------------------------------------------- calls */

static int
dial(uint32_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd >= 0 &&
        connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Returns whether the whole answer is there, by its Content-Length. */
static bool
is_complete(const char *text, size_t size)
{
    const char *end = strstr(text, "\r\n\r\n");
    const char *field = strcasestr(text, "\r\ncontent-length:");

    if (end == NULL)
        return false;
    if (field == NULL || field > end)
        return true;
    return size >=
           (size_t)(end + 4 - text) +
               strtoul(field + strlen("\r\ncontent-length:"), NULL, 10);
}

static void
receive(Call *call, int fd)
{
    uint64_t until_us = call->sent_us + call->wait_ms * 1000;
    size_t size = 0;

    while (size < sizeof(call->answer) - 1 &&
           !is_complete(call->answer, size)) {
        struct pollfd readable = {.fd = fd, .events = POLLIN};
        uint64_t now_us = Now_Us();
        ssize_t got;

        if (now_us >= until_us ||
            poll(&readable, 1, (int)((until_us - now_us) / 1000 + 1)) != 1)
            return;
        got =
            recv(fd, call->answer + size, sizeof(call->answer) - 1 - size, 0);
        if (got <= 0)
            return;
        size += (size_t)got;
        call->answer[size] = '\0';
    }
    sscanf(call->answer, "HTTP/1.1 %u", &call->status);
}

static void *
run_call(void *data)
{
    Call *call = data;
    char *text;
    int fd = dial(call->port);
    int length = asprintf(
        &text,
        "%s %s HTTP/1.1\r\nHost: recon.example\r\n"
        "Content-Type: application/json\r\n" BW_WORDING_DEADLINE_HEADER
        ": %llu\r\n"
        "Content-Length: %zu\r\n\r\n%s",
        call->method, call->path, (unsigned long long)call->wait_ms,
        strlen(call->body), call->body);
    const char *body;

    call->sent_us = Now_Us();
    Deployment_Note(call->deployment, "client > port %u: %s %s", call->port,
                    call->method, call->path);
    if (length > 0 && fd >= 0 &&
        send(fd, text, (size_t)length, MSG_NOSIGNAL) == length)
        receive(call, fd);
    call->answered_us = Now_Us();
    if (fd >= 0)
        close(fd);
    free(text);
    body = strstr(call->answer, "\r\n\r\n");
    Deployment_Note(call->deployment, "client < port %u: %s %s: %u %s",
                    call->port, call->method, call->path, call->status,
                    call->status != 0 && body != NULL ? body + 4
                                                      : "no answer");
    return NULL;
}

void
Call_Start(Call *call, Deployment *d, uint32_t port, const char *method,
           const char *path, const char *body, uint64_t wait_ms)
{
    memset(call, 0, sizeof(*call));
    call->deployment = d;
    call->port = port;
    snprintf(call->method, sizeof(call->method), "%s", method);
    snprintf(call->path, sizeof(call->path), "%s", path);
    snprintf(call->body, sizeof(call->body), "%s", body);
    call->wait_ms = wait_ms;
    if (pthread_create(&call->thread, NULL, run_call, call) != 0)
        give_up(d, "no thread");
}

void
Call_Join(Call *call)
{
    pthread_join(call->thread, NULL);
}

uint32_t
Call_Do(Call *call, Deployment *d, uint32_t port, const char *method,
        const char *path, const char *body, uint64_t wait_ms)
{
    Call_Start(call, d, port, method, path, body, wait_ms);
    Call_Join(call);
    return call->status;
}

/* --------------------------------------------------------------- proxy */

typedef struct Proxy {
    Deployment *deployment;
    int listener;
    uint32_t port;
} Proxy;

static void
reset(int fd)
{
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(fd);
}

static void *
run_proxy(void *data)
{
    Proxy *proxy = data;
    int client = accept(proxy->listener, NULL, NULL);
    int server = dial(proxy->port);
    char bytes[8192];

    close(proxy->listener);
    while (client >= 0 && server >= 0) {
        struct pollfd ends[] = {{.fd = client, .events = POLLIN},
                                {.fd = server, .events = POLLIN}};
        ssize_t got;

        if (poll(ends, 2, -1) < 1 || ends[1].revents != 0)
            break;
        got = recv(client, bytes, sizeof(bytes), 0);
        if (got <= 0 || send(server, bytes, (size_t)got, MSG_NOSIGNAL) != got)
            break;
    }
    Deployment_Note(proxy->deployment,
                    "the connection to port %u is reset as its answer is on "
                    "the way",
                    proxy->port);
    reset(client);
    reset(server);
    free(proxy);
    return NULL;
}

uint32_t
Proxy_StartReset(Deployment *d, uint32_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    Proxy *proxy = calloc(1, sizeof(*proxy));
    pthread_t thread;

    if (proxy == NULL)
        return 0;
    proxy->deployment = d;
    proxy->port = port;
    proxy->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(proxy->listener, (struct sockaddr *)&address, length) != 0 ||
        listen(proxy->listener, 1) != 0 ||
        getsockname(proxy->listener, (struct sockaddr *)&address, &length) !=
            0 ||
        pthread_create(&thread, NULL, run_proxy, proxy) != 0)
        give_up(d, "no proxy");
    pthread_detach(thread);
    return ntohs(address.sin_port);
}

/* ---------------------------------------------------------------- runs */

static uint32_t
read_ledger(Deployment *d, uint32_t worker, const char *prefix, Run *runs,
            uint32_t count, uint32_t capacity)
{
    BwBlockingReply reply;
    json_t *document = NULL;
    json_t *row;
    size_t i;

    if (BwFleet_Request(d->worker_ports[worker], "GET", "/ledger", "", 2000000,
                        &reply) == 200)
        document = json_loads(reply.body, 0, NULL);
    free(reply.body);
    if (document == NULL)
        give_up(d, "a worker's ledger cannot be read");
    json_array_foreach(json_object_get(document, "rows"), i, row)
    {
        const char *task = json_string_value(json_object_get(row, "task"));
        Run *run = &runs[count];

        if (count == capacity || strncmp(task, prefix, strlen(prefix)) != 0)
            continue;
        memset(run, 0, sizeof(*run));
        snprintf(run->task, sizeof(run->task), "%s", task);
        snprintf(run->how, sizeof(run->how), "%s",
                 json_string_value(json_object_get(row, "how")));
        run->worker = worker;
        run->run = (uint32_t)json_integer_value(json_object_get(row, "run"));
        run->started_us =
            (uint64_t)json_integer_value(json_object_get(row, "started_us"));
        run->ended_us =
            (uint64_t)json_integer_value(json_object_get(row, "ended_us"));
        Deployment_Note(
            d, "worker %u ran %s, run %u, from %.3f to %.3f: %s", worker,
            run->task, run->run, (double)(run->started_us - d->began_us) / 1e6,
            run->ended_us != 0 ? (double)(run->ended_us - d->began_us) / 1e6
                               : 0.0,
            run->how);
        count++;
    }
    json_decref(document);
    return count;
}

uint32_t
Deployment_ReadRuns(Deployment *d, const char *prefix, Run *runs,
                    uint32_t capacity)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < d->worker_count; i++)
        count = read_ledger(d, i, prefix, runs, count, capacity);
    return count;
}

bool
Deployment_IsUnasked(Deployment *d, const char *job, uint64_t acked_us)
{
    Run runs[RUNS_MAX];
    uint32_t count = Deployment_ReadRuns(d, job, runs, RUNS_MAX);
    bool is_broken = false;

    for (uint32_t i = 0; i < count; i++) {
        if (runs[i].started_us <= acked_us + CANCEL_MS * 1000ull)
            continue;
        is_broken = true;
        Deployment_Note(d,
                        "UNASKED: %s started %.3f s after the cancelling was "
                        "acknowledged",
                        runs[i].task,
                        (double)(runs[i].started_us - acked_us) / 1e6);
    }
    return is_broken;
}
