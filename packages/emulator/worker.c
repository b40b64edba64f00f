/* worker.c -- an emulated worker

   usage: brasswing lab worker PORT SUPERVISOR_PORT NAME SERVICE CPU MEM RACK
                               [CLOCK_PERMILLE [SEED]]

   Sends heartbeats to its supervisor and runs tasks while its lease lasts.
   The lease is measured by the worker's own clock, which runs at
   CLOCK_PERMILLE of the real speed.  A task uses no CPU: it only ends when its
   run time is over.  The worker starts every task that it is ordered to start,
   also beyond CPU and MEM, so that an experiment detects orders that exceed
   the worker's capacity.  A task's spec may hold run_ms=N, cpu=N, mem=N,
   fail=1 and crash=1: the first task of each step then crashes the worker when
   half of its run time is over.  Run by lab.c.

     POST /control {"still": BOOL}       pauses all tasks: none ends, though
                                         their progress grows for ten seconds
                   {"fail": BOOL}        every task ends as failed
                   {"slow_permille": N}  run time of the tasks started from now
                                         on, in permille of run_ms
                   {"fail_permille": N}  share of them that fails
                   {"stuck_permille": N} share of them that runs until stopped
                   {"answer_ms": N}      delays the answers to orders by N ms
                   {"late_starts": BOOL} start orders are kept, without an
                                         answer and without effect
                   {"late_stops": BOOL}  stop orders are, too
                   {"carry_out": true}   executes the orders that were kept
                   {"silent": BOOL}      orders are neither executed nor
                                         answered; heartbeats are still sent
                   {"draining": BOOL}    heartbeats say that it is draining
                   {"heartbeat_ms": N}   interval of the heartbeats (200)
                   {"cpu": N, "mem": N}  changes the capacity; heartbeats say
   so
                   {"down_ms": N}        how long the worker is away after a
                                         task has crashed it (1000): its
   address refuses connections, then it starts again as a new instance
                   {"crash": true}       ends all tasks; no answers and no
                                         heartbeats until it is revived
                   {"revive": true}      starts again as a new instance
                   {"restart": true}     ends all tasks and starts again at
                                         once under its name; from then on it
                                         tells when it started
     GET /ledger   every run of every instance in the order of the starts, and
                   by how much CPU and memory in use after a start exceeded the
                   capacity at most; of a run that started while the worker was
                   draining, also for how long it had been draining

   Times in the ledger are of the host's monotonic clock, so that those of
   several workers can be compared.
*/

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "emulator.h"
#include "httpclient.h"
#include "httpserver.h"
#include "log.h"

#define HEARTBEAT_INTERVAL_US 200000
#define HEARTBEAT_TIMEOUT_US 1000000
#define STOP_DELAY_US 30000
#define LEASE_MS_MAX 1000
#define DOWN_US 1000000
/* A start counts against the larger capacity for this time after a change. */
#define CAPACITY_GRACE_US 600000
#define CLOCK_START_MS 100000
/* The progress that a paused task reports: it grows fast at first and then
   slowly, so that the task does not count as stuck for ten seconds. */
#define PAUSED_FAST_PERCENT_US 50000
#define PAUSED_FAST_PERCENTS 50
#define PAUSED_SLOW_PERCENT_US 150000
#define TASK_NAME_BYTES 128
#define NEVER UINT64_MAX
#define STUCK_RUN_US 3600000000u

typedef struct Run {
    char task[TASK_NAME_BYTES];
    uint32_t run_number;
    uint32_t instance_number;
    uint64_t cpu, mem; /* thousandths of a core, MB */
    bool fails;
    bool crashes;            /* the worker, at its end */
    uint64_t run_time_us;    /* run time at this worker's speed */
    uint64_t remaining_us;   /* remaining run time, while paused */
    uint64_t drained_for_us; /* time from the worker's drain to the start */
    uint64_t due_end_us; /* when the run time is over; NEVER while paused */
    uint64_t stop_at_us; /* when a stop takes effect; NEVER: no stop */
    uint64_t started_us;
    uint64_t ended_us;      /* 0: it runs */
    const char *end_reason; /* written as "how" */
    uint64_t end_number;    /* number of this end in this instance, from 1 */
    struct Run *prev, *next;
} Run;

/* The highest run of a task that was stopped or has ended in this instance.  A
   start order for it or a lower one is out of date and refused. */
typedef struct HighestRun {
    char task[TASK_NAME_BYTES];
    uint32_t run_number;
    UT_hash_handle hh;
} HighestRun;

/* A call that is answered later: a poll, at the next end of a task or at the
   end of its wait, or any call, after the delay of the answers. */
typedef struct PendingReply {
    BwExchange *exchange;
    uint64_t reply_at_us;
    json_t *reply; /* NULL: a poll, answered with the tasks of that time */
    int status;
    struct PendingReply *prev, *next;
} PendingReply;

/* An order that is kept until "carry_out" executes it. */
typedef struct DelayedOrder {
    char path[64];
    char expected[64]; /* the instance that must execute it; empty: any */
    char *body;
    uint32_t body_bytes;
    struct DelayedOrder *prev, *next;
} DelayedOrder;

static struct {
    BwEventLoop event_loop;
    BwHttpServer http;
    BwHttpClient supervisor;
    const char *name;
    const char *service;
    const char *rack;
    const char *domain;
    uint64_t cpu, mem;
    uint64_t clock_permille;
    uint64_t clock_start_us;
    uint32_t instance_number; /* of this life */
    uint32_t name_number;     /* in its name; a life may take over the last */
    uint64_t born_ms;         /* wall-clock time of its start; 0: not told */
    uint64_t fence;        /* highest fence received; lower ones are refused */
    uint64_t lease_end_ms; /* on the worker's clock; 0: no lease yet */
    uint64_t end_count;
    uint64_t acked_end; /* number of the last end that the supervisor knows */
    Run *runs;
    HighestRun *highest_runs;
    PendingReply *pending_replies;
    DelayedOrder *delayed_orders;
    uint64_t heartbeat_sequence;
    uint64_t next_heartbeat_us;
    uint64_t heartbeat_interval_us;
    uint64_t slow_permille, fail_permille, stuck_permille;
    uint64_t reply_delay_us;
    uint64_t draining_since_us; /* 0: it isn't draining */
    uint64_t seed;
    uint64_t excess_cpu, excess_mem; /* most in use above the capacity */
    uint64_t former_cpu, former_mem; /* capacity until changed_us */
    uint64_t changed_us;
    uint64_t down_us;
    uint64_t up_at_us; /* when it listens again; 0: it does */
    uint64_t task_crashes;
    uint64_t delayed_count;
    bool is_paused, is_failing, is_silent, is_draining, is_crashed;
    bool delays_starts, delays_stops;
} worker;

static uint64_t
clock_ms(void)
{
    return CLOCK_START_MS + (BwClock_Now() - worker.clock_start_us) / 1000 *
                                worker.clock_permille / 1000;
}

static void
write_instance(char *out, size_t capacity)
{
    snprintf(out, capacity, "i-%s-%u", worker.name, worker.name_number);
}

/* ---------------------------------------------------------------- runs */

static bool
is_running(const Run *run)
{
    return run->ended_us == 0;
}

static uint64_t
read_option(const char *text, const char *name, uint64_t fallback)
{
    const char *found = strstr(text, name);

    return found != NULL ? strtoull(found + strlen(name), NULL, 10) : fallback;
}

static void
raise_highest_run(const char *task, uint32_t run_number)
{
    HighestRun *highest;

    HASH_FIND_STR(worker.highest_runs, task, highest);
    if (highest == NULL) {
        highest = calloc(1, sizeof(*highest));
        snprintf(highest->task, sizeof(highest->task), "%s", task);
        HASH_ADD_STR(worker.highest_runs, task, highest);
    }
    if (run_number > highest->run_number)
        highest->run_number = run_number;
}

static uint32_t
find_highest_run(const char *task)
{
    HighestRun *highest;

    HASH_FIND_STR(worker.highest_runs, task, highest);
    return highest != NULL ? highest->run_number : 0;
}

static Run *
find_run(const char *task, uint32_t run_number)
{
    Run *run;

    DL_FOREACH(worker.runs, run)
    {
        if (is_running(run) && run->run_number == run_number &&
            strcmp(run->task, task) == 0)
            return run;
    }
    return NULL;
}

/* Logs the job's id, step, index and run under the names that dispatchers and
   supervisors use.  Nothing is logged of a task whose name is malformed. */
static void
log_run(const char *event, const Run *run, const char *reason)
{
    BwLogger logger = {STDERR_FILENO, BW_LOG_INFO, BW_LOG_KEY_VALUE,
                       worker.name};
    char job[TASK_NAME_BYTES];
    char *dots[3] = {NULL, NULL, NULL}; /* ID.K.STEP.INDEX */

    snprintf(job, sizeof(job), "%s", run->task);
    for (int i = 2; i >= 0; i--) {
        dots[i] = strrchr(job, '.');
        if (dots[i] == NULL)
            return;
        *dots[i] = '\0';
    }
    BW_LOG(&logger, BW_LOG_INFO, event, BW_LOG_TEXT("job", job),
           BW_LOG_TEXT("step", dots[1] + 1), BW_LOG_TEXT("index", dots[2] + 1),
           BW_LOG_NUMBER("run", run->run_number),
           BW_LOG_TEXT("reason", reason));
}

static void
end_run(Run *run, uint64_t now_us, const char *end_reason)
{
    run->ended_us = now_us;
    run->end_reason = end_reason;
    run->end_number = ++worker.end_count;
    raise_highest_run(run->task, run->run_number);
    log_run("ended", run, end_reason);
}

static uint64_t
excess(uint64_t used, uint64_t capacity, uint64_t former, uint64_t last)
{
    if (BwClock_Now() - worker.changed_us < CAPACITY_GRACE_US &&
        former > capacity)
        capacity = former;
    return used > capacity && used - capacity > last ? used - capacity : last;
}

/* Records by how much the tasks that run after a start exceed the capacity. */
static void
record_excess(void)
{
    uint64_t cpu = 0, mem = 0;
    const Run *run;

    DL_FOREACH(worker.runs, run)
    {
        cpu += is_running(run) ? run->cpu : 0;
        mem += is_running(run) ? run->mem : 0;
    }
    worker.excess_cpu =
        excess(cpu, worker.cpu, worker.former_cpu, worker.excess_cpu);
    worker.excess_mem =
        excess(mem, worker.mem, worker.former_mem, worker.excess_mem);
}

/* Returns true with a probability of `permille` thousandths. */
static bool
is_random_hit(uint64_t permille)
{
    return permille > 0 && BwEmulator_Random(&worker.seed, 1000) < permille;
}

static void
begin_run(const char *task, uint32_t run_number, const char *spec)
{
    Run *run = calloc(1, sizeof(*run));

    snprintf(run->task, sizeof(run->task), "%s", task);
    run->run_number = run_number;
    run->instance_number = worker.instance_number;
    run->cpu = read_option(spec, "cpu=", 0);
    run->mem = read_option(spec, "mem=", 0);
    run->fails = read_option(spec, "fail=", 0) != 0 ||
                 is_random_hit(worker.fail_permille);
    run->run_time_us = read_option(spec, "run_ms=", 20) * worker.slow_permille;
    if (is_random_hit(worker.stuck_permille))
        run->run_time_us = STUCK_RUN_US;
    run->crashes = read_option(spec, "crash=", 0) != 0 &&
                   strcmp(strrchr(task, '.'), ".0") == 0;
    if (run->crashes)
        run->run_time_us /= 2;
    run->remaining_us = run->run_time_us;
    run->started_us = BwClock_Now();
    if (worker.draining_since_us != 0)
        run->drained_for_us = run->started_us - worker.draining_since_us;
    run->due_end_us =
        worker.is_paused ? NEVER : run->started_us + run->remaining_us;
    run->stop_at_us = NEVER;
    DL_APPEND(worker.runs, run);
    record_excess();
    log_run("running", run, "told to start");
}

static void
set_paused(bool is_paused)
{
    uint64_t now_us = BwClock_Now();
    Run *run;

    if (is_paused == worker.is_paused)
        return;
    worker.is_paused = is_paused;
    DL_FOREACH(worker.runs, run)
    {
        if (!is_running(run))
            continue;
        if (is_paused)
            run->remaining_us =
                run->due_end_us > now_us ? run->due_end_us - now_us : 0;
        run->due_end_us = is_paused ? NEVER : now_us + run->remaining_us;
    }
}

/* Returns when the lease ends or has ended, by the host's monotonic clock, or
   NEVER without a lease. */
static uint64_t
find_lease_end(void)
{
    if (worker.lease_end_ms == 0)
        return NEVER;
    if (worker.lease_end_ms < CLOCK_START_MS)
        return worker.clock_start_us;
    return worker.clock_start_us + (worker.lease_end_ms - CLOCK_START_MS) *
                                       1000 * 1000 / worker.clock_permille;
}

static void
crash(void);

/* The process ends, as far as its peers can see, for worker.down_us. */
static void
crash_by_task(uint64_t now_us)
{
    PendingReply *pending;

    crash();
    worker.task_crashes++;
    worker.up_at_us = now_us + worker.down_us;
    BwHttpServer_Close(&worker.http);
    DL_FOREACH(worker.pending_replies, pending)
    BwExchange_Break(pending->exchange);
}

/* A run's end has the time at which it was due, even if this process gets to
   it later: a shortage of CPU on the host of an emulated worker must not
   appear as a fault of the dispatcher or the supervisor. */
static void
tick_runs(uint64_t now_us)
{
    uint64_t lease_end_us = find_lease_end();
    Run *run;

    DL_FOREACH(worker.runs, run)
    {
        uint64_t end_us = run->stop_at_us < run->due_end_us ? run->stop_at_us
                                                            : run->due_end_us;

        if (!is_running(run))
            continue;
        if (lease_end_us <= now_us && lease_end_us < end_us)
            end_run(run, lease_end_us, "lapsed");
        else if (end_us <= now_us && end_us == run->due_end_us &&
                 run->crashes) {
            end_run(run, end_us, "crashed_worker");
            crash_by_task(now_us);
            return;
        }
        else if (end_us <= now_us && end_us == run->due_end_us)
            end_run(run, end_us,
                    run->fails || worker.is_failing ? "failed" : "done");
        else if (end_us <= now_us)
            end_run(run, end_us, "stopped");
    }
}

/* -------------------------------------------------------------- orders */

static int
refuse(json_t *reply, const char *reason)
{
    json_object_set_new(reply, "reason", json_string(reason));
    return 409;
}

/* Adopts the order's fence.  Returns false if it is lower than the last. */
static bool
accept_fence(const json_t *order)
{
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(order, "fenceToken"));

    if (fence < worker.fence)
        return false;
    worker.fence = fence;
    return true;
}

static void
extend_lease(const json_t *order)
{
    uint64_t end_ms =
        (uint64_t)json_integer_value(json_object_get(order, "deadlineMs"));
    uint64_t last_ms = clock_ms() + LEASE_MS_MAX;

    if (end_ms > last_ms)
        end_ms = last_ms;
    if (end_ms > worker.lease_end_ms)
        worker.lease_end_ms = end_ms;
}

static const char *
read_task(const json_t *order, uint32_t *run_number)
{
    *run_number = (uint32_t)json_integer_value(json_object_get(order, "run"));
    return json_string_value(json_object_get(order, "task"));
}

static int
execute_start(const json_t *order, json_t *reply)
{
    uint32_t run_number;
    const char *task = read_task(order, &run_number);
    const char *spec = json_string_value(json_object_get(order, "spec"));
    uint64_t end_ms =
        (uint64_t)json_integer_value(json_object_get(order, "deadlineMs"));

    if (task == NULL || spec == NULL || run_number == 0)
        return 400;
    if (!accept_fence(order))
        return refuse(reply, "fence");
    if (end_ms <= clock_ms())
        return refuse(reply, "late");
    extend_lease(order);
    if (find_run(task, run_number) != NULL)
        return 200;
    if (run_number <= find_highest_run(task))
        return refuse(reply, "old");
    begin_run(task, run_number, spec);
    return 200;
}

static int
execute_stop(const json_t *order, json_t *reply)
{
    uint32_t run_number;
    const char *task = read_task(order, &run_number);
    Run *run;

    if (task == NULL)
        return 400;
    if (!accept_fence(order))
        return refuse(reply, "fence");
    raise_highest_run(task, run_number);
    run = find_run(task, run_number);
    if (run != NULL && run->stop_at_us == NEVER)
        run->stop_at_us = BwClock_Now() + STOP_DELAY_US;
    return 200;
}

/* Returns the progress that a paused task reports, at most 99 percent. */
static int
paused_percent(uint64_t ran_us)
{
    uint64_t percent = ran_us / PAUSED_FAST_PERCENT_US;

    if (percent > PAUSED_FAST_PERCENTS)
        percent = PAUSED_FAST_PERCENTS +
                  (ran_us - PAUSED_FAST_PERCENTS * PAUSED_FAST_PERCENT_US) /
                      PAUSED_SLOW_PERCENT_US;
    return percent < 99 ? (int)percent : 99;
}

static int
progress_percent(const Run *run)
{
    uint64_t remaining_us = run->remaining_us;
    uint64_t now_us = BwClock_Now();

    if (worker.is_paused)
        return paused_percent(now_us - run->started_us);
    if (run->due_end_us != NEVER)
        remaining_us = run->due_end_us > now_us ? run->due_end_us - now_us : 0;
    return run->run_time_us > 0 ? (int)((run->run_time_us - remaining_us) *
                                        100 / run->run_time_us)
                                : 0;
}

static void
add_runs(json_t *reply)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    const Run *run;

    DL_FOREACH(worker.runs, run)
    {
        if (run->instance_number != worker.instance_number)
            continue;
        if (is_running(run))
            json_array_append_new(running, json_pack("[s,i,s,i]", run->task,
                                                     run->run_number, "",
                                                     progress_percent(run)));
        else if (run->end_number > worker.acked_end)
            json_array_append_new(ended, json_pack("[I,s,i,s,s]",
                                                   (json_int_t)run->end_number,
                                                   run->task, run->run_number,
                                                   run->end_reason, ""));
    }
    json_object_set_new(reply, "running", running);
    json_object_set_new(reply, "ended", ended);
    if (worker.born_ms != 0)
        json_object_set_new(reply, "born",
                            json_integer((json_int_t)worker.born_ms));
}

static json_t *
make_reply(void)
{
    return json_pack("{s:I}", "clockMs", (json_int_t)clock_ms());
}

/* Replies at once, or after the delay that /control has set. */
static void
send_reply(BwExchange *exchange, int status, json_t *reply)
{
    PendingReply *pending;

    if (worker.reply_delay_us == 0) {
        BwEmulator_ReplyJson(exchange, status, reply);
        return;
    }
    pending = calloc(1, sizeof(*pending));
    pending->exchange = exchange;
    pending->reply_at_us = BwClock_Now() + worker.reply_delay_us;
    pending->status = status;
    pending->reply = reply;
    exchange->data = pending;
    DL_APPEND(worker.pending_replies, pending);
}

static bool
has_new_end(void)
{
    return worker.end_count > worker.acked_end;
}

static void
serve_poll(BwExchange *exchange, const json_t *order)
{
    uint64_t acked_end =
        (uint64_t)json_integer_value(json_object_get(order, "lastSeen"));
    uint64_t wait_ms =
        (uint64_t)json_integer_value(json_object_get(order, "waitMs"));
    json_t *reply = make_reply();
    PendingReply *pending;

    if (!accept_fence(order)) {
        send_reply(exchange, refuse(reply, "fence"), reply);
        return;
    }
    extend_lease(order);
    /* A higher number is meant for the worker's life before. */
    if (acked_end > worker.acked_end && acked_end <= worker.end_count)
        worker.acked_end = acked_end;
    if (wait_ms == 0 || has_new_end()) {
        add_runs(reply);
        send_reply(exchange, 200, reply);
        return;
    }
    json_decref(reply);
    pending = calloc(1, sizeof(*pending));
    pending->exchange = exchange;
    pending->reply_at_us = BwClock_Now() + wait_ms * 1000;
    exchange->data = pending;
    DL_APPEND(worker.pending_replies, pending);
}

static void
tick_pending_replies(uint64_t now_us)
{
    PendingReply *pending, *next;

    if (worker.is_silent || worker.is_crashed)
        return;
    DL_FOREACH_SAFE(worker.pending_replies, pending, next)
    {
        json_t *reply;

        if (now_us < pending->reply_at_us &&
            (pending->reply != NULL || !has_new_end()))
            continue;
        reply = pending->reply;
        if (reply == NULL) {
            reply = make_reply();
            add_runs(reply);
            pending->status = 200;
        }
        DL_DELETE(worker.pending_replies, pending);
        pending->exchange->data = NULL;
        BwEmulator_ReplyJson(pending->exchange, pending->status, reply);
        free(pending);
    }
}

static bool
is_for_this_instance(const char *expected)
{
    char instance[64];

    write_instance(instance, sizeof(instance));
    return expected[0] == '\0' || strcmp(expected, instance) == 0;
}

static int
execute_order(const char *path, const char *expected, const json_t *order,
              json_t *reply)
{
    if (!is_for_this_instance(expected))
        return 421;
    if (strcmp(path, "/api/run-start") == 0)
        return execute_start(order, reply);
    if (strcmp(path, "/api/run-stop") == 0)
        return execute_stop(order, reply);
    return 404;
}

static void
delay_order(const char *path, const char *expected, BwSpan body)
{
    DelayedOrder *delayed = calloc(1, sizeof(*delayed));

    snprintf(delayed->path, sizeof(delayed->path), "%s", path);
    snprintf(delayed->expected, sizeof(delayed->expected), "%s", expected);
    delayed->body = malloc(body.size_bytes + 1);
    memcpy(delayed->body, body.base, body.size_bytes);
    delayed->body_bytes = body.size_bytes;
    DL_APPEND(worker.delayed_orders, delayed);
    worker.delayed_count++;
}

static void
execute_delayed_orders(void)
{
    DelayedOrder *delayed, *next;

    DL_FOREACH_SAFE(worker.delayed_orders, delayed, next)
    {
        json_t *order =
            json_loadb(delayed->body, delayed->body_bytes, 0, NULL);
        json_t *reply = make_reply();

        execute_order(delayed->path, delayed->expected, order, reply);
        json_decref(order);
        json_decref(reply);
        DL_DELETE(worker.delayed_orders, delayed);
        free(delayed->body);
        free(delayed);
    }
}

static void
serve_order(BwExchange *exchange)
{
    char path[64], expected[64];
    json_t *order, *reply;
    int status;

    BwSpan_ToString(exchange->path, path, sizeof(path));
    BwSpan_ToString(BwExchange_Header(exchange, "x-expect-instance"), expected,
                    sizeof(expected));
    if (worker.up_at_us != 0)
        BwExchange_Break(exchange);
    if (worker.is_silent || worker.is_crashed)
        return;
    if ((worker.delays_starts && strcmp(path, "/api/run-start") == 0) ||
        (worker.delays_stops && strcmp(path, "/api/run-stop") == 0)) {
        delay_order(path, expected, exchange->body);
        return;
    }
    tick_runs(BwClock_Now());
    if (worker.is_crashed) {
        BwExchange_Break(exchange);
        return;
    }
    order =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    if (strcmp(path, "/api/hold") == 0 && is_for_this_instance(expected)) {
        serve_poll(exchange, order);
    }
    else {
        reply = make_reply();
        status = execute_order(path, expected, order, reply);
        send_reply(exchange, status, reply);
    }
    json_decref(order);
}

/* ------------------------------------------------------------- control */

static void
crash(void)
{
    HighestRun *highest, *next;
    Run *run;

    DL_FOREACH(worker.runs, run)
    {
        if (is_running(run))
            end_run(run, BwClock_Now(), "crashed");
    }
    HASH_ITER(hh, worker.highest_runs, highest, next)
    {
        HASH_DEL(worker.highest_runs, highest);
        free(highest);
    }
    worker.is_crashed = true;
}

static void
begin_life(void)
{
    worker.is_draining = false;
    worker.draining_since_us = 0;
    worker.instance_number++;
    worker.fence = 0;
    worker.lease_end_ms = 0;
    worker.end_count = 0;
    worker.acked_end = 0;
    worker.heartbeat_sequence = 0;
    worker.next_heartbeat_us = 0;
}

static void
revive(void)
{
    PendingReply *pending, *next;

    if (!worker.is_crashed)
        return;
    DL_FOREACH_SAFE(worker.pending_replies, pending, next)
    {
        pending->exchange->data = NULL;
        json_decref(pending->reply);
        free(pending);
    }
    worker.pending_replies = NULL;
    worker.is_crashed = false;
    begin_life();
    worker.name_number = worker.instance_number;
}

/* Starts again under the name that it has.  Its connections break, and orders
   that it has put off are gone. */
static void
restart(void)
{
    uint64_t now_ms = BwClock_WallNow() / 1000;
    PendingReply *pending, *next_pending;
    DelayedOrder *delayed, *next;

    if (worker.is_crashed)
        return;
    crash();
    worker.is_crashed = false;
    DL_FOREACH_SAFE(worker.pending_replies, pending, next_pending)
    {
        pending->exchange->data = NULL;
        BwExchange_Break(pending->exchange);
        json_decref(pending->reply);
        free(pending);
    }
    worker.pending_replies = NULL;
    DL_FOREACH_SAFE(worker.delayed_orders, delayed, next)
    {
        free(delayed->body);
        free(delayed);
    }
    worker.delayed_orders = NULL;
    worker.born_ms = now_ms > worker.born_ms ? now_ms : worker.born_ms + 1;
    worker.clock_start_us = BwClock_Now();
    begin_life();
    worker.next_heartbeat_us = BwClock_Now() + worker.heartbeat_interval_us;
}

static void
read_flag(const json_t *root, const char *name, bool *flag)
{
    const json_t *value = json_object_get(root, name);

    if (value != NULL)
        *flag = json_is_true(value);
}

static void
read_number(const json_t *root, const char *name, uint64_t *number,
            uint64_t unit)
{
    const json_t *value = json_object_get(root, name);

    if (value != NULL)
        *number = (uint64_t)json_integer_value(value) * unit;
}

static void
serve_control(BwExchange *exchange)
{
    json_t *root =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    bool is_paused = worker.is_paused;

    read_flag(root, "still", &is_paused);
    set_paused(is_paused);
    read_flag(root, "fail", &worker.is_failing);
    read_flag(root, "late_starts", &worker.delays_starts);
    read_flag(root, "late_stops", &worker.delays_stops);
    read_flag(root, "silent", &worker.is_silent);
    read_flag(root, "draining", &worker.is_draining);
    if (!worker.is_draining)
        worker.draining_since_us = 0;
    else if (worker.draining_since_us == 0)
        worker.draining_since_us = BwClock_Now();
    worker.next_heartbeat_us = 0;
    if (json_object_get(root, "cpu") != NULL ||
        json_object_get(root, "mem") != NULL) {
        worker.former_cpu = worker.cpu;
        worker.former_mem = worker.mem;
        worker.changed_us = BwClock_Now();
    }
    read_number(root, "cpu", &worker.cpu, 1);
    read_number(root, "mem", &worker.mem, 1);
    read_number(root, "down_ms", &worker.down_us, 1000);
    read_number(root, "slow_permille", &worker.slow_permille, 1);
    read_number(root, "fail_permille", &worker.fail_permille, 1);
    read_number(root, "stuck_permille", &worker.stuck_permille, 1);
    read_number(root, "answer_ms", &worker.reply_delay_us, 1000);
    read_number(root, "heartbeat_ms", &worker.heartbeat_interval_us, 1000);
    if (json_is_true(json_object_get(root, "carry_out")))
        execute_delayed_orders();
    if (json_is_true(json_object_get(root, "crash")))
        crash();
    if (json_is_true(json_object_get(root, "revive")))
        revive();
    if (json_is_true(json_object_get(root, "restart")))
        restart();
    BwExchange_Reply(exchange, root != NULL ? 200 : 400, "application/json",
                     BwSpan_FromString("{}"), 0);
    json_decref(root);
}

static void
serve_ledger(BwExchange *exchange)
{
    json_t *rows = json_array();
    const Run *run;
    int running = 0;

    DL_FOREACH(worker.runs, run)
    {
        running += is_running(run);
        json_array_append_new(
            rows, json_pack("{s:s, s:i, s:I, s:I, s:I, s:s}", "task",
                            run->task, "run", run->run_number, "started_us",
                            (json_int_t)run->started_us, "ended_us",
                            (json_int_t)run->ended_us, "drained_us",
                            (json_int_t)run->drained_for_us, "how",
                            is_running(run) ? "" : run->end_reason));
    }
    BwEmulator_ReplyJson(
        exchange, 200,
        json_pack("{s:i, s:I, s:I, s:I, s:I, s:o}", "running", running,
                  "excess_cpu", (json_int_t)worker.excess_cpu, "excess_mem",
                  (json_int_t)worker.excess_mem, "late",
                  (json_int_t)worker.delayed_count, "crashes_by_task",
                  (json_int_t)worker.task_crashes, "rows", rows));
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString("/control")))
        serve_control(exchange);
    else if (BwSpan_Equal(exchange->path, BwSpan_FromString("/ledger")))
        serve_ledger(exchange);
    else
        serve_order(exchange);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    PendingReply *pending = exchange->data;

    (void)ctx;
    if (pending == NULL)
        return;
    DL_DELETE(worker.pending_replies, pending);
    json_decref(pending->reply);
    free(pending);
}

static void
on_heartbeat_reply(void *data, const BwHttpReply *reply)
{
    (void)data;
    (void)reply;
}

static void
send_heartbeat(uint64_t now_us)
{
    char instance[64], path[128], address[32];
    json_t *root;
    char *text;

    write_instance(instance, sizeof(instance));
    snprintf(path, sizeof(path), "/api/Instances.Heartbeat/%s", instance);
    snprintf(address, sizeof(address), "127.0.0.1:%u", worker.http.port);
    root = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:{s:I, s:I, s:i}, s:[s,s], s:I, s:I}",
        "service", worker.service, "address", address, "zone", worker.domain,
        "version", "v1", "state", worker.is_draining ? "draining" : "ready",
        "capacity", "cpu", (json_int_t)worker.cpu, "memMb",
        (json_int_t)worker.mem, "gpu", 0, "labels", "a", worker.rack,
        "clockMs", (json_int_t)clock_ms(), "sequence",
        (json_int_t)++worker.heartbeat_sequence);
    if (worker.is_draining)
        json_object_set_new(root, "remainingMs", json_integer(2000));
    if (worker.born_ms != 0)
        json_object_set_new(root, "born",
                            json_integer((json_int_t)worker.born_ms));
    text = json_dumps(root, JSON_COMPACT);
    BwHttpClient_Send(&worker.supervisor, "POST", BwSpan_FromString(path),
                      "content-type: application/json\r\n",
                      BwSpan_FromString(text), now_us + HEARTBEAT_TIMEOUT_US,
                      on_heartbeat_reply, NULL);
    free(text);
    json_decref(root);
    worker.next_heartbeat_us = now_us + worker.heartbeat_interval_us;
}

static void
on_tick(void *ctx)
{
    uint64_t now_us = BwClock_Now();

    (void)ctx;
    BwHttpClient_Tick(&worker.supervisor, now_us);
    tick_runs(now_us);
    tick_pending_replies(now_us);
    if (worker.up_at_us != 0 && now_us >= worker.up_at_us &&
        BwHttpServer_Reopen(&worker.http, "127.0.0.1")) {
        worker.up_at_us = 0;
        revive();
    }
    if (!worker.is_crashed && now_us >= worker.next_heartbeat_us)
        send_heartbeat(now_us);
    if (BwEmulator_IsStopping())
        BwEventLoop_Stop(&worker.event_loop);
}

int
BwEmulator_RunWorker(int argc, char **argv)
{
    static const BwHttpEvents http_events = {on_request, on_abort, on_request};
    static const BwLoopEvents loop_events = {BwEmulator_IgnoreThreadMessage,
                                             on_tick};

    if (argc < 7) {
        fprintf(stderr, "usage: brasswing lab worker PORT SUPERVISOR_PORT "
                        "NAME SERVICE CPU MEM RACK [CLOCK_PERMILLE "
                        "[SEED [DOMAIN]]]\n");
        return 2;
    }
    worker.name = argv[2];
    worker.service = argv[3];
    worker.cpu = strtoull(argv[4], NULL, 10);
    worker.mem = strtoull(argv[5], NULL, 10);
    worker.rack = argv[6];
    worker.clock_permille = argc > 7 ? strtoull(argv[7], NULL, 10) : 1000;
    worker.seed = argc > 8 ? strtoull(argv[8], NULL, 10) : 1;
    worker.domain = argc > 9 ? argv[9] : "charguia-a";
    worker.slow_permille = 1000;
    worker.heartbeat_interval_us = HEARTBEAT_INTERVAL_US;
    worker.down_us = DOWN_US;
    worker.clock_start_us = BwClock_Now();
    worker.instance_number = 1;
    worker.name_number = 1;
    BwEventLoop_Init(&worker.event_loop, &loop_events, NULL);
    if (!BwHttpServer_Init(&worker.http, worker.event_loop.loop, "127.0.0.1",
                           (uint16_t)strtoul(argv[0], NULL, 10), 1u << 22,
                           &http_events, NULL) ||
        !BwHttpClient_Init(&worker.supervisor, worker.event_loop.loop,
                           "127.0.0.1", (uint16_t)strtoul(argv[1], NULL, 10),
                           2, 65536)) {
        perror("worker");
        return 1;
    }
    BwEmulator_ReportStarted("worker", worker.http.port);
    BwEventLoop_Run(&worker.event_loop);
    return 0;
}
