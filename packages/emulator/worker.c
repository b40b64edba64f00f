/* worker.c -- an emulated worker

   usage: brasswing lab worker PORT SUPERVISOR_PORT NAME SERVICE CPU MEM RACK
                               [CLOCK_PERMILLE [SEED]]

   Announces itself to its supervisor and runs tasks under a lease on its own
   clock, which runs at CLOCK_PERMILLE of the real one.  It starts whatever it
   is told to.  A task's spec may hold run_ms=N, cpu=N, mem=N and fail=1.

     POST /control {"still": BOOL}       no task ends, though each lists
                                         progress for ten seconds
                   {"fail": BOOL}        every task ends as failed
                   {"slow_permille": N}  of the run time of tasks that start
                   {"fail_permille": N}  so many of the tasks that start fail
                   {"stuck_permille": N} or run on until they are stopped
                   {"answer_ms": N}      answers to orders come so much later
                   {"late_starts": BOOL} starts are kept without an answer
                   {"late_stops": BOOL}  stops too
                   {"carry_out": true}   does what was kept
                   {"silent": BOOL}      no call is answered or done
                   {"draining": BOOL}    says that it leaves
                   {"crash": true}       everything there ends; it is silent
                   {"revive": true}      and comes back as another instance
     GET /ledger   every run in the order of the starts, over all its lives,
                   the greatest room that was ever in use, and for a run that
                   started while the worker was leaving, how long it had been

   Times of the ledger are of the host's monotonic clock, so those of several
   workers can be put in one order.
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

#define BEAT_US 200000
#define BEAT_TIMEOUT_US 1000000
#define STOP_US 30000
#define LEASE_MAX_MS 1000
#define CLOCK_START_MS 100000
#define CREEP_FIRST_US 50000 /* for a percent, and after so many of them */
#define CREEP_FIRST_PERCENT 50
#define CREEP_NEXT_US 150000
#define TASK_BYTES 128
#define NEVER UINT64_MAX
#define STUCK_US 3600000000u

typedef struct Run {
    char task[TASK_BYTES];
    uint32_t run;
    uint32_t life;
    uint64_t cpu, mem;
    bool fails;
    uint64_t work_us;    /* it takes, by this worker's speed */
    uint64_t left_us;    /* of its work, while it stands still */
    uint64_t drained_us; /* the worker had been leaving so long */
    uint64_t due_us;     /* of its end */
    uint64_t stopped_us; /* a stop takes effect then; NEVER */
    uint64_t started_us;
    uint64_t ended_us; /* 0: it runs */
    const char *how;
    uint64_t number; /* of the end */
    struct Run *prev, *next;
} Run;

/* The highest run of a task that was stopped or has ended in this life. */
typedef struct Mark {
    char task[TASK_BYTES];
    uint32_t run;
    UT_hash_handle hh;
} Mark;

/* A call whose answer waits: for an end, or only for its time. */
typedef struct Hold {
    BwExchange *exchange;
    uint64_t give_up_us;
    json_t *reply; /* that stands; NULL: what runs then */
    int status;
    struct Hold *prev, *next;
} Hold;

/* A call that is carried out later. */
typedef struct Late {
    char path[64];
    char expected[64];
    char *body;
    uint32_t body_bytes;
    struct Late *prev, *next;
} Late;

static struct {
    BwTaskLoop task;
    BwHttpServer http;
    BwHttpClient supervisor;
    const char *name;
    const char *service;
    const char *rack;
    uint64_t cpu, mem;
    uint64_t clock_permille;
    uint64_t born_us;
    uint32_t life;
    uint64_t fence;
    uint64_t lease_ms; /* end, on this clock; 0: none */
    uint64_t next_end;
    uint64_t seen;
    Run *runs;
    Mark *marks;
    Hold *holds;
    Late *late;
    uint64_t beat_sequence;
    uint64_t beat_at_us;
    uint64_t slow_permille, fail_permille, stuck_permille;
    uint64_t answer_us;
    uint64_t drain_us; /* since when it leaves; 0: it does not */
    uint64_t seed;
    uint64_t peak_cpu, peak_mem;
    uint64_t late_count;
    bool is_still, is_failing, is_silent, is_draining, is_crashed;
    bool keeps_starts, keeps_stops;
} me;

static uint64_t
clock_ms(void)
{
    return CLOCK_START_MS +
           (BwClock_Now() - me.born_us) / 1000 * me.clock_permille / 1000;
}

static void
write_instance(char *out, size_t room)
{
    snprintf(out, room, "i-%s-%u", me.name, me.life);
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
    const char *place = strstr(text, name);

    return place != NULL ? strtoull(place + strlen(name), NULL, 10) : fallback;
}

static void
set_mark(const char *task, uint32_t run)
{
    Mark *mark;

    HASH_FIND_STR(me.marks, task, mark);
    if (mark == NULL) {
        mark = calloc(1, sizeof(*mark));
        snprintf(mark->task, sizeof(mark->task), "%s", task);
        HASH_ADD_STR(me.marks, task, mark);
    }
    if (run > mark->run)
        mark->run = run;
}

static uint32_t
find_mark(const char *task)
{
    Mark *mark;

    HASH_FIND_STR(me.marks, task, mark);
    return mark != NULL ? mark->run : 0;
}

static Run *
find_run(const char *task, uint32_t number)
{
    Run *run;

    DL_FOREACH(me.runs, run)
    {
        if (is_running(run) && run->run == number &&
            strcmp(run->task, task) == 0)
            return run;
    }
    return NULL;
}

/* A line with the job's id, as dispatchers and supervisors write them. */
static void
log_run(const char *event, const Run *run, const char *how)
{
    BwLogger logger = {STDERR_FILENO, BW_LOG_INFO, BW_LOG_KEY_VALUE, me.name};
    char job[TASK_BYTES];
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
           BW_LOG_NUMBER("run", run->run), BW_LOG_TEXT("reason", how));
}

static void
end_run(Run *run, uint64_t now_us, const char *how)
{
    run->ended_us = now_us;
    run->how = how;
    run->number = ++me.next_end;
    set_mark(run->task, run->run);
    log_run("ended", run, how);
}

static void
note_peak(void)
{
    uint64_t cpu = 0, mem = 0;
    const Run *run;

    DL_FOREACH(me.runs, run)
    {
        cpu += is_running(run) ? run->cpu : 0;
        mem += is_running(run) ? run->mem : 0;
    }
    me.peak_cpu = cpu > me.peak_cpu ? cpu : me.peak_cpu;
    me.peak_mem = mem > me.peak_mem ? mem : me.peak_mem;
}

static bool
is_drawn(uint64_t permille)
{
    return permille > 0 && BwEmulator_Draw(&me.seed, 1000) < permille;
}

static void
begin_run(const char *task, uint32_t number, const char *spec)
{
    Run *run = calloc(1, sizeof(*run));

    snprintf(run->task, sizeof(run->task), "%s", task);
    run->run = number;
    run->life = me.life;
    run->cpu = read_option(spec, "cpu=", 0);
    run->mem = read_option(spec, "mem=", 0);
    run->fails =
        read_option(spec, "fail=", 0) != 0 || is_drawn(me.fail_permille);
    run->work_us = read_option(spec, "run_ms=", 20) * me.slow_permille;
    if (is_drawn(me.stuck_permille))
        run->work_us = STUCK_US;
    run->left_us = run->work_us;
    run->started_us = BwClock_Now();
    if (me.drain_us != 0)
        run->drained_us = run->started_us - me.drain_us;
    run->due_us = me.is_still ? NEVER : run->started_us + run->left_us;
    run->stopped_us = NEVER;
    DL_APPEND(me.runs, run);
    note_peak();
    log_run("running", run, "told to start");
}

static void
set_still(bool is_still)
{
    uint64_t now_us = BwClock_Now();
    Run *run;

    if (is_still == me.is_still)
        return;
    me.is_still = is_still;
    DL_FOREACH(me.runs, run)
    {
        if (!is_running(run))
            continue;
        if (is_still)
            run->left_us = run->due_us > now_us ? run->due_us - now_us : 0;
        run->due_us = is_still ? NEVER : now_us + run->left_us;
    }
}

/* When the lease ends, or did; NEVER without one. */
static uint64_t
lapse_us(void)
{
    if (me.lease_ms == 0)
        return NEVER;
    if (me.lease_ms < CLOCK_START_MS)
        return me.born_us;
    return me.born_us +
           (me.lease_ms - CLOCK_START_MS) * 1000 * 1000 / me.clock_permille;
}

/* A run ends when it was due to, however late this process gets to it: what
   the host of an emulated worker lacks must not pass for a fault. */
static void
tick_runs(uint64_t now_us)
{
    uint64_t lapsed_us = lapse_us();
    Run *run;

    DL_FOREACH(me.runs, run)
    {
        uint64_t end_us =
            run->stopped_us < run->due_us ? run->stopped_us : run->due_us;

        if (!is_running(run))
            continue;
        if (lapsed_us <= now_us && lapsed_us < end_us)
            end_run(run, lapsed_us, "lapsed");
        else if (end_us <= now_us && end_us == run->due_us)
            end_run(run, end_us,
                    run->fails || me.is_failing ? "failed" : "done");
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

/* Takes fence and lease.  Returns false for a lower fence. */
static bool
take_fence(const json_t *order)
{
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(order, "fenceToken"));

    if (fence < me.fence)
        return false;
    me.fence = fence;
    return true;
}

static void
take_lease(const json_t *order)
{
    uint64_t end_ms =
        (uint64_t)json_integer_value(json_object_get(order, "deadlineMs"));
    uint64_t last_ms = clock_ms() + LEASE_MAX_MS;

    if (end_ms > last_ms)
        end_ms = last_ms;
    if (end_ms > me.lease_ms)
        me.lease_ms = end_ms;
}

static const char *
task_of(const json_t *order, uint32_t *run)
{
    *run = (uint32_t)json_integer_value(json_object_get(order, "run"));
    return json_string_value(json_object_get(order, "task"));
}

static int
carry_out_start(const json_t *order, json_t *reply)
{
    uint32_t number;
    const char *task = task_of(order, &number);
    const char *spec = json_string_value(json_object_get(order, "spec"));
    uint64_t end_ms =
        (uint64_t)json_integer_value(json_object_get(order, "deadlineMs"));

    if (task == NULL || spec == NULL || number == 0)
        return 400;
    if (!take_fence(order))
        return refuse(reply, "fence");
    if (end_ms <= clock_ms())
        return refuse(reply, "late");
    take_lease(order);
    if (find_run(task, number) != NULL)
        return 200;
    if (number <= find_mark(task))
        return refuse(reply, "old");
    begin_run(task, number, spec);
    return 200;
}

static int
carry_out_stop(const json_t *order, json_t *reply)
{
    uint32_t number;
    const char *task = task_of(order, &number);
    Run *run;

    if (task == NULL)
        return 400;
    if (!take_fence(order))
        return refuse(reply, "fence");
    set_mark(task, number);
    run = find_run(task, number);
    if (run != NULL && run->stopped_us == NEVER)
        run->stopped_us = BwClock_Now() + STOP_US;
    return 200;
}

/* Of a task that is kept from ending: fast enough not to count as stuck. */
static int
creep_percent(uint64_t ran_us)
{
    uint64_t percent = ran_us / CREEP_FIRST_US;

    if (percent > CREEP_FIRST_PERCENT)
        percent =
            CREEP_FIRST_PERCENT +
            (ran_us - CREEP_FIRST_PERCENT * CREEP_FIRST_US) / CREEP_NEXT_US;
    return percent < 99 ? (int)percent : 99;
}

static int
percent_of(const Run *run)
{
    uint64_t left_us = run->left_us;
    uint64_t now_us = BwClock_Now();

    if (me.is_still)
        return creep_percent(now_us - run->started_us);
    if (run->due_us != NEVER)
        left_us = run->due_us > now_us ? run->due_us - now_us : 0;
    return run->work_us > 0
               ? (int)((run->work_us - left_us) * 100 / run->work_us)
               : 0;
}

static void
list_runs(json_t *reply)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    const Run *run;

    DL_FOREACH(me.runs, run)
    {
        if (run->life != me.life)
            continue;
        if (is_running(run))
            json_array_append_new(running,
                                  json_pack("[s,i,s,i]", run->task, run->run,
                                            "", percent_of(run)));
        else if (run->number > me.seen)
            json_array_append_new(
                ended, json_pack("[I,s,i,s,s]", (json_int_t)run->number,
                                 run->task, run->run, run->how, ""));
    }
    json_object_set_new(reply, "running", running);
    json_object_set_new(reply, "ended", ended);
}

static json_t *
make_reply(void)
{
    return json_pack("{s:I}", "clockMs", (json_int_t)clock_ms());
}

/* Answers at once, or as late as this worker does. */
static void
answer(BwExchange *exchange, int status, json_t *reply)
{
    Hold *hold;

    if (me.answer_us == 0) {
        BwEmulator_ReplyJson(exchange, status, reply);
        return;
    }
    hold = calloc(1, sizeof(*hold));
    hold->exchange = exchange;
    hold->give_up_us = BwClock_Now() + me.answer_us;
    hold->status = status;
    hold->reply = reply;
    exchange->data = hold;
    DL_APPEND(me.holds, hold);
}

static bool
has_end(void)
{
    return me.next_end > me.seen;
}

static void
serve_hold(BwExchange *exchange, const json_t *order)
{
    uint64_t seen =
        (uint64_t)json_integer_value(json_object_get(order, "lastSeen"));
    uint64_t wait_ms =
        (uint64_t)json_integer_value(json_object_get(order, "waitMs"));
    json_t *reply = make_reply();
    Hold *hold;

    if (!take_fence(order)) {
        answer(exchange, refuse(reply, "fence"), reply);
        return;
    }
    take_lease(order);
    if (seen > me.seen)
        me.seen = seen;
    if (wait_ms == 0 || has_end()) {
        list_runs(reply);
        answer(exchange, 200, reply);
        return;
    }
    json_decref(reply);
    hold = calloc(1, sizeof(*hold));
    hold->exchange = exchange;
    hold->give_up_us = BwClock_Now() + wait_ms * 1000;
    exchange->data = hold;
    DL_APPEND(me.holds, hold);
}

static void
tick_holds(uint64_t now_us)
{
    Hold *hold, *next;

    if (me.is_silent || me.is_crashed)
        return;
    DL_FOREACH_SAFE(me.holds, hold, next)
    {
        json_t *reply;

        if (now_us < hold->give_up_us && (hold->reply != NULL || !has_end()))
            continue;
        reply = hold->reply;
        if (reply == NULL) {
            reply = make_reply();
            list_runs(reply);
            hold->status = 200;
        }
        DL_DELETE(me.holds, hold);
        hold->exchange->data = NULL;
        BwEmulator_ReplyJson(hold->exchange, hold->status, reply);
        free(hold);
    }
}

static bool
is_meant(const char *expected)
{
    char instance[64];

    write_instance(instance, sizeof(instance));
    return expected[0] == '\0' || strcmp(expected, instance) == 0;
}

static int
carry_out(const char *path, const char *expected, const json_t *order,
          json_t *reply)
{
    if (!is_meant(expected))
        return 421;
    if (strcmp(path, "/api/run-start") == 0)
        return carry_out_start(order, reply);
    if (strcmp(path, "/api/run-stop") == 0)
        return carry_out_stop(order, reply);
    return 404;
}

static void
keep(const char *path, const char *expected, BwSpan body)
{
    Late *late = calloc(1, sizeof(*late));

    snprintf(late->path, sizeof(late->path), "%s", path);
    snprintf(late->expected, sizeof(late->expected), "%s", expected);
    late->body = malloc(body.size_bytes + 1);
    memcpy(late->body, body.base, body.size_bytes);
    late->body_bytes = body.size_bytes;
    DL_APPEND(me.late, late);
    me.late_count++;
}

static void
carry_out_late(void)
{
    Late *late, *next;

    DL_FOREACH_SAFE(me.late, late, next)
    {
        json_t *order = json_loadb(late->body, late->body_bytes, 0, NULL);
        json_t *reply = make_reply();

        carry_out(late->path, late->expected, order, reply);
        json_decref(order);
        json_decref(reply);
        DL_DELETE(me.late, late);
        free(late->body);
        free(late);
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
    if (me.is_silent || me.is_crashed)
        return;
    if ((me.keeps_starts && strcmp(path, "/api/run-start") == 0) ||
        (me.keeps_stops && strcmp(path, "/api/run-stop") == 0)) {
        keep(path, expected, exchange->body);
        return;
    }
    tick_runs(BwClock_Now());
    order =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    if (strcmp(path, "/api/hold") == 0 && is_meant(expected)) {
        serve_hold(exchange, order);
    }
    else {
        reply = make_reply();
        status = carry_out(path, expected, order, reply);
        answer(exchange, status, reply);
    }
    json_decref(order);
}

/* ---------------------------------------------------------------- test */

static void
crash(void)
{
    Mark *mark, *next;
    Run *run;

    DL_FOREACH(me.runs, run)
    {
        if (is_running(run))
            end_run(run, BwClock_Now(), "crashed");
    }
    HASH_ITER(hh, me.marks, mark, next)
    {
        HASH_DEL(me.marks, mark);
        free(mark);
    }
    me.is_crashed = true;
}

static void
revive(void)
{
    Hold *hold, *next;

    if (!me.is_crashed)
        return;
    DL_FOREACH_SAFE(me.holds, hold, next)
    {
        hold->exchange->data = NULL;
        json_decref(hold->reply);
        free(hold);
    }
    me.holds = NULL;
    me.is_crashed = false;
    me.is_draining = false;
    me.drain_us = 0;
    me.life++;
    me.fence = 0;
    me.lease_ms = 0;
    me.next_end = 0;
    me.seen = 0;
    me.beat_sequence = 0;
    me.beat_at_us = 0;
}

static void
take_flag(const json_t *root, const char *name, bool *flag)
{
    const json_t *value = json_object_get(root, name);

    if (value != NULL)
        *flag = json_is_true(value);
}

static void
take_number(const json_t *root, const char *name, uint64_t *number,
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
    bool is_still = me.is_still;

    take_flag(root, "still", &is_still);
    set_still(is_still);
    take_flag(root, "fail", &me.is_failing);
    take_flag(root, "late_starts", &me.keeps_starts);
    take_flag(root, "late_stops", &me.keeps_stops);
    take_flag(root, "silent", &me.is_silent);
    take_flag(root, "draining", &me.is_draining);
    if (!me.is_draining)
        me.drain_us = 0;
    else if (me.drain_us == 0)
        me.drain_us = BwClock_Now();
    me.beat_at_us = 0;
    take_number(root, "slow_permille", &me.slow_permille, 1);
    take_number(root, "fail_permille", &me.fail_permille, 1);
    take_number(root, "stuck_permille", &me.stuck_permille, 1);
    take_number(root, "answer_ms", &me.answer_us, 1000);
    if (json_is_true(json_object_get(root, "carry_out")))
        carry_out_late();
    if (json_is_true(json_object_get(root, "crash")))
        crash();
    if (json_is_true(json_object_get(root, "revive")))
        revive();
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

    DL_FOREACH(me.runs, run)
    {
        running += is_running(run);
        json_array_append_new(
            rows, json_pack("{s:s, s:i, s:I, s:I, s:I, s:s}", "task",
                            run->task, "run", run->run, "started_us",
                            (json_int_t)run->started_us, "ended_us",
                            (json_int_t)run->ended_us, "drained_us",
                            (json_int_t)run->drained_us, "how",
                            is_running(run) ? "" : run->how));
    }
    BwEmulator_ReplyJson(
        exchange, 200,
        json_pack("{s:i, s:I, s:I, s:I, s:I, s:I, s:o}", "running", running,
                  "cpu", (json_int_t)me.cpu, "mem", (json_int_t)me.mem,
                  "peak_cpu", (json_int_t)me.peak_cpu, "peak_mem",
                  (json_int_t)me.peak_mem, "late", (json_int_t)me.late_count,
                  "rows", rows));
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
    Hold *hold = exchange->data;

    (void)ctx;
    if (hold == NULL)
        return;
    DL_DELETE(me.holds, hold);
    json_decref(hold->reply);
    free(hold);
}

static void
on_beaten(void *data, const BwHttpReply *reply)
{
    (void)data;
    (void)reply;
}

static void
beat(uint64_t now_us)
{
    char instance[64], path[128], address[32];
    json_t *root;
    char *text;

    write_instance(instance, sizeof(instance));
    snprintf(path, sizeof(path), "/api/Instances.Heartbeat/%s", instance);
    snprintf(address, sizeof(address), "127.0.0.1:%u", me.http.port);
    root = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:{s:I, s:I, s:i}, s:[s,s], s:I, s:I}",
        "service", me.service, "address", address, "zone", "charguia-a",
        "version", "v1", "state", me.is_draining ? "draining" : "ready",
        "capacity", "cpu", (json_int_t)me.cpu, "memMb", (json_int_t)me.mem,
        "gpu", 0, "labels", "a", me.rack, "clockMs", (json_int_t)clock_ms(),
        "sequence", (json_int_t)++me.beat_sequence);
    if (me.is_draining)
        json_object_set_new(root, "remainingMs", json_integer(2000));
    text = json_dumps(root, JSON_COMPACT);
    BwHttpClient_Send(&me.supervisor, "POST", BwSpan_FromString(path),
                      "content-type: application/json\r\n",
                      BwSpan_FromString(text), now_us + BEAT_TIMEOUT_US,
                      on_beaten, NULL);
    free(text);
    json_decref(root);
    me.beat_at_us = now_us + BEAT_US;
}

static void
on_tick(void *ctx)
{
    uint64_t now_us = BwClock_Now();

    (void)ctx;
    BwHttpClient_Tick(&me.supervisor, now_us);
    tick_runs(now_us);
    tick_holds(now_us);
    if (!me.is_crashed && now_us >= me.beat_at_us)
        beat(now_us);
    if (BwEmulator_IsStopping())
        BwTaskLoop_Stop(&me.task);
}

int
BwEmulator_RunWorker(int argc, char **argv)
{
    static const BwHttpEvents http_events = {on_request, on_abort, on_request};
    static const BwTaskEvents task_events = {BwEmulator_DropMail, on_tick};

    if (argc < 7) {
        fprintf(stderr, "usage: brasswing lab worker PORT SUPERVISOR_PORT "
                        "NAME SERVICE CPU MEM RACK [CLOCK_PERMILLE "
                        "[SEED]]\n");
        return 2;
    }
    me.name = argv[2];
    me.service = argv[3];
    me.cpu = strtoull(argv[4], NULL, 10);
    me.mem = strtoull(argv[5], NULL, 10);
    me.rack = argv[6];
    me.clock_permille = argc > 7 ? strtoull(argv[7], NULL, 10) : 1000;
    me.seed = argc > 8 ? strtoull(argv[8], NULL, 10) : 1;
    me.slow_permille = 1000;
    me.born_us = BwClock_Now();
    me.life = 1;
    BwTaskLoop_Init(&me.task, &task_events, NULL);
    if (!BwHttpServer_Init(&me.http, me.task.loop, "127.0.0.1",
                           (uint16_t)strtoul(argv[0], NULL, 10), 1u << 22,
                           &http_events, NULL) ||
        !BwHttpClient_Init(&me.supervisor, me.task.loop, "127.0.0.1",
                           (uint16_t)strtoul(argv[1], NULL, 10), 2, 65536)) {
        perror("worker");
        return 1;
    }
    BwEmulator_Ready("worker", me.http.port);
    BwTaskLoop_Run(&me.task);
    return 0;
}
