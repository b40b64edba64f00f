/* test_schedules.c -- random schedules of a dispatcher and its supervisors

   Simulated supervisors decline, fail and lose tasks, lose their connections
   and crash, with fixed seeds.  Each lists the tasks that its worker runs.  A
   task is over when it ended, when its stop took effect, or when first the
   supervisor's session and then the worker's lease have lapsed; the dispatcher
   must not place it elsewhere before.
*/

#include <string.h>

#include <glib.h>

#include "brasswing.h"
#include "dispatcher.h"
#include "portstubs.h"

#define MS 1000ull
#define SEEDS 150
#define SUPERVISORS 5
#define JOBS 60
#define STEPS 3
#define TASKS 6
#define RUNNING_MAX 512
#define STEP_US (5 * MS)
#define SESSION_US (1500 * MS)
#define RENEWAL_US (400 * MS)
#define IDLE_RENEWAL_US (3000 * MS) /* while the worker runs no task */
#define STOP_US 120000
#define LEASE_US (2500 * MS)
#define DISRUPTION_END_US (9000 * MS) /* no disruption or new job after it */
#define END_US (40000 * MS)
#define CORES_MILLI 4000

/* The fields of a message in flight that the test needs. */
typedef struct Packet {
    uint64_t at_us;
    uint32_t peer;
    BwMessageKind kind;
    uint64_t ref;
    uint32_t step;
    uint64_t number;
    uint64_t requested_us;
    uint32_t spread_max;
    uint64_t run_us;
    uint64_t cpu_milli;
    uint32_t index[STEPS * TASKS];
    uint32_t count;
    uint32_t outcome;
    bool is_clear;
    uint64_t place_seen;
    uint64_t free_milli;
} Packet;

/* A task on a worker. */
typedef struct RunningTask {
    uint64_t ref;
    uint32_t step;
    uint32_t index;
    uint32_t peer;
    uint64_t cpu_milli;
    uint64_t end_us;
    uint32_t outcome; /* to report at its end; 0: not reported */
} RunningTask;

typedef struct Supervisor {
    char name[16];
    const char *label;
    /* Its connection, as each end knows it; 0: none. */
    uint32_t peer;
    uint32_t dispatcher_peer;
    /* When each end will see that the connection has ended; 0: not due. */
    uint64_t dispatcher_notice_us;
    uint64_t supervisor_notice_us;
    uint64_t connect_us;
    uint64_t session_end_us;
    uint64_t next_renewal_us;
    uint64_t place_seen;
    uint64_t last_to_supervisor_us, last_to_dispatcher_us; /* arrivals */
    bool was_sent_clear;
    bool fails_all; /* tasks that it starts */
    GQueue *to_supervisor, *to_dispatcher;
    RunningTask running[RUNNING_MAX];
    uint32_t running_count;
} Supervisor;

typedef struct Job {
    uint64_t ref;
    bool is_withdrawn;
    bool has_started; /* a task of it */
    bool is_checked;
    uint64_t deadline_us;
    uint32_t answers;
    BwBoundEnd end;
    uint32_t after[STEPS];
    uint32_t counts[STEPS];
    const char *label[STEPS];
    uint32_t step_count;
    bool is_done[STEPS][TASKS];
    /* For each supervisor's present connection at the dispatcher: tasks that
       were placed and not reported as ended, and whether a stop was sent. */
    uint32_t placed_count[SUPERVISORS];
    bool is_stopped[SUPERVISORS];
} Job;

typedef struct World {
    BwDispatcher d;
    GRand *random;
    uint64_t now_us;
    uint32_t next_peer;
    bool is_fault_free;
    Supervisor supervisors[SUPERVISORS];
    Job jobs[JOBS];
    uint32_t job_count;
} World;

static bool
chance(World *w, uint32_t permille)
{
    return (uint32_t)g_rand_int_range(w->random, 0, 1000) < permille;
}

static uint64_t
between(World *w, uint64_t low, uint64_t high)
{
    return low + (uint64_t)(g_rand_double(w->random) * (double)(high - low));
}

static Job *
find_job(World *w, BwSpan name)
{
    guint64 number = 0;
    char text[16] = {0};

    g_assert_cmpuint(name.size_bytes, <, sizeof(text));
    memcpy(text, name.base, name.size_bytes);
    g_assert_true(
        g_ascii_string_to_unsigned(text, 10, 0, JOBS - 1, &number, NULL));
    return &w->jobs[number];
}

static Job *
find_ref(World *w, uint64_t ref)
{
    for (uint32_t i = 0; i < w->job_count; i++) {
        if (w->jobs[i].ref == ref)
            return &w->jobs[i];
    }
    return NULL;
}

static Supervisor *
find_by_dispatcher_peer(World *w, uint32_t peer)
{
    for (uint32_t i = 0; i < SUPERVISORS; i++) {
        if (w->supervisors[i].dispatcher_peer == peer)
            return &w->supervisors[i];
    }
    return NULL;
}

/* ------------------------------------------------- from the dispatcher */

/* No worker may run the task and no placement of it may be in flight. */
static void
assert_not_placed(World *w, uint64_t ref, uint32_t step, uint32_t index)
{
    for (uint32_t i = 0; i < SUPERVISORS; i++) {
        const Supervisor *s = &w->supervisors[i];

        for (uint32_t j = 0; j < s->running_count; j++) {
            const RunningTask *r = &s->running[j];

            g_assert_false(r->ref == ref && r->step == step &&
                           r->index == index);
        }
        for (const GList *at = s->to_supervisor->head; at != NULL;
             at = at->next) {
            const Packet *packet = at->data;

            for (uint32_t j = 0;
                 packet->kind == BW_MSG_PLACE && packet->ref == ref &&
                 packet->step == step && j < packet->count;
                 j++)
                g_assert_cmpuint(packet->index[j], !=, index);
        }
    }
}

static bool
is_step_done(const Job *job, uint32_t step)
{
    for (uint32_t i = 0; i < job->counts[step]; i++) {
        if (!job->is_done[step][i])
            return false;
    }
    return true;
}

static void
check_place(World *w, const Supervisor *s, const BwPlace *place)
{
    Job *job = find_job(w, place->job);
    uint32_t step = place->step;

    g_assert_cmpuint(job->answers, ==, 0);
    g_assert_false(job->is_withdrawn);
    g_assert_cmpuint(place->task_count, >, 0);
    g_assert_cmpuint(place->task_count, <=, TASKS);
    g_assert_cmpuint(step, <, job->step_count);
    job->ref = place->ref;
    for (uint32_t i = 0; i < step; i++)
        g_assert_true((job->after[step] >> i & 1) == 0 ||
                      is_step_done(job, i));
    for (uint32_t i = 0; i < place->task_count; i++) {
        g_assert_false(job->is_done[step][place->tasks[i].index]);
        assert_not_placed(w, place->ref, step, place->tasks[i].index);
    }
    if (job->label[step][0] != '\0')
        g_assert_cmpstr(job->label[step], ==, s->label);
    job->placed_count[s - w->supervisors] += place->task_count;
}

static void
on_send(void *ctx, uint32_t peer, const BwMessage *message)
{
    World *w = ctx;
    Supervisor *s = find_by_dispatcher_peer(w, peer);
    Packet *packet;

    g_assert_nonnull(s);
    packet = g_new0(Packet, 1);
    packet->peer = peer;
    packet->kind = message->kind;
    if (message->kind == BW_MSG_PLACE) {
        const BwPlace *place = &message->u.place;

        check_place(w, s, place);
        packet->ref = place->ref;
        packet->step = place->step;
        packet->number = place->number;
        packet->spread_max = place->spread_max;
        packet->requested_us = place->requested_us;
        g_assert_cmpuint(packet->requested_us, <=, w->now_us);
        packet->run_us = place->expected_us;
        packet->cpu_milli = place->resources.cpu_milli;
        packet->count = place->task_count;
        for (uint32_t i = 0; i < place->task_count; i++)
            packet->index[i] = place->tasks[i].index;
    }
    else if (message->kind == BW_MSG_STOP) {
        Job *job = find_ref(w, message->u.stop.ref);

        packet->ref = message->u.stop.ref;
        g_assert_nonnull(job);
        job->is_stopped[s - w->supervisors] = true;
    }
    else {
        g_assert_cmpint(message->kind, ==, BW_MSG_SESSION);
        packet->requested_us = message->u.session.requested_us;
    }
    if (peer != s->peer) {
        g_free(packet); /* the dispatcher has not seen the connection end */
        return;
    }
    s->last_to_supervisor_us =
        MAX(s->last_to_supervisor_us, w->now_us + between(w, MS, 20 * MS));
    packet->at_us = s->last_to_supervisor_us;
    g_queue_push_tail(s->to_supervisor, packet);
}

/* Nothing of the job has started, and nothing that was placed can still start:
   every task was declined. */
static void
assert_not_run(const Job *job)
{
    g_assert_false(job->has_started);
    for (uint32_t i = 0; i < SUPERVISORS; i++)
        g_assert_cmpuint(job->placed_count[i], ==, 0);
}

static void
on_answer(void *ctx, void *data, BwBoundEnd end, uint32_t retry_after_ms)
{
    Job *job = data;

    (void)ctx;
    (void)retry_after_ms;
    g_assert_false(job->is_withdrawn);
    job->answers++;
    job->end = end;
    g_assert_cmpuint(job->answers, ==, 1);
    if (end == BW_BOUND_REFUSED)
        assert_not_run(job);
    if (end == BW_BOUND_COMPLETED) {
        for (uint32_t i = 0; i < job->step_count; i++)
            g_assert_true(is_step_done(job, i));
    }
}

static const BwDispatcherPort port = {
    on_send, on_answer, PortStub_DropDecision, PortStub_DropJobEnd,
    PortStub_DropRouteEvent};

/* When a job has ended, each supervisor that still has tasks of it must have
   been sent a stop. */
static void
check_stops(World *w)
{
    for (uint32_t i = 0; i < w->job_count; i++) {
        Job *job = &w->jobs[i];

        if (job->answers == 0 && !job->is_withdrawn)
            g_assert_cmpuint(w->now_us, <, job->deadline_us + 2 * STEP_US);
        if (job->is_checked || (job->answers == 0 && !job->is_withdrawn))
            continue;
        for (uint32_t j = 0; j < SUPERVISORS; j++)
            g_assert_true(job->placed_count[j] == 0 || job->is_stopped[j]);
        job->is_checked = true;
    }
}

/* --------------------------------------------------------- supervisors */

static uint64_t
free_milli(const Supervisor *s)
{
    uint64_t used = 0;

    for (uint32_t i = 0; i < s->running_count; i++)
        used += s->running[i].cpu_milli;
    return used < CORES_MILLI ? CORES_MILLI - used : 0;
}

static void
send_to_dispatcher(World *w, Supervisor *s, Packet packet)
{
    if (s->peer == 0)
        return;
    packet.peer = s->peer;
    packet.place_seen = s->place_seen;
    packet.free_milli = free_milli(s);
    s->last_to_dispatcher_us =
        MAX(s->last_to_dispatcher_us, w->now_us + between(w, MS, 20 * MS));
    packet.at_us = s->last_to_dispatcher_us;
    g_queue_push_tail(s->to_dispatcher, g_memdup2(&packet, sizeof(packet)));
}

static bool
is_clear(const Supervisor *s)
{
    for (uint32_t i = 0; i < s->running_count; i++) {
        if (s->running[i].peer != s->peer)
            return false;
    }
    return true;
}

static void
send_state(World *w, Supervisor *s)
{
    Packet packet = {.kind = BW_MSG_WORKER};

    s->was_sent_clear = is_clear(s);
    packet.is_clear = s->was_sent_clear;
    send_to_dispatcher(w, s, packet);
}

static void
send_outcome(World *w, Supervisor *s, const RunningTask *r, uint32_t outcome)
{
    Packet packet = {.kind = BW_MSG_OUTCOME};

    if (outcome == 0 || r->peer != s->peer)
        return;
    packet.ref = r->ref;
    packet.step = r->step;
    packet.index[0] = r->index;
    packet.outcome = outcome;
    send_to_dispatcher(w, s, packet);
}

static void
start_task(World *w, Supervisor *s, const Packet *packet, uint32_t index)
{
    RunningTask task = {packet->ref,    packet->step,      index,
                        s->peer,        packet->cpu_milli, 0,
                        BW_OUTCOME_DONE};
    Job *job = find_ref(w, packet->ref);
    uint32_t spread = 0;

    for (uint32_t i = 0; i < s->running_count; i++)
        spread += s->running[i].ref == packet->ref &&
                  s->running[i].step == packet->step;
    if (packet->spread_max > 0)
        g_assert_cmpuint(spread, <, packet->spread_max);
    if (w->now_us >= s->session_end_us ||
        (!w->is_fault_free && chance(w, 60))) {
        send_outcome(w, s, &task, BW_OUTCOME_NOT_RUN);
        return;
    }
    job->has_started = true;
    g_assert_false(job->answers > 0 && job->end == BW_BOUND_REFUSED);
    task.end_us =
        w->now_us + between(w, packet->run_us / 2, packet->run_us * 2);
    if (s->fails_all || (!w->is_fault_free && chance(w, 50)))
        task.outcome = BW_OUTCOME_FAILED;
    else if (!w->is_fault_free && chance(w, 30))
        task.outcome = BW_OUTCOME_LOST;
    g_assert_cmpuint(s->running_count, <, RUNNING_MAX);
    s->running[s->running_count++] = task;
}

/* Makes the connection's tasks, of one job or with ref 0 of all, end
   unreported at a random time until `by_us`. */
static void
end_tasks(World *w, Supervisor *s, uint32_t peer, uint64_t ref, uint64_t by_us)
{
    for (uint32_t i = 0; i < s->running_count; i++) {
        RunningTask *r = &s->running[i];

        if (r->peer != peer || (ref != 0 && r->ref != ref))
            continue;
        r->end_us = MIN(r->end_us, between(w, w->now_us, by_us));
        r->outcome = 0;
    }
}

/* The supervisor has seen its connection end, or its session has lapsed. */
static void
close_supervisor_end(World *w, Supervisor *s)
{
    uint32_t peer = s->peer;

    s->supervisor_notice_us = 0;
    s->peer = 0;
    g_queue_clear_full(s->to_supervisor, g_free);
    end_tasks(w, s, peer, 0, w->now_us + LEASE_US);
    s->connect_us =
        w->now_us + between(w, STEP_US, chance(w, 500) ? 100 * MS : 6000 * MS);
    if (s->dispatcher_peer != 0 && s->dispatcher_notice_us == 0)
        s->dispatcher_notice_us = w->now_us + between(w, 0, SESSION_US);
}

static void
close_dispatcher_end(World *w, Supervisor *s)
{
    uint32_t peer = s->dispatcher_peer;

    s->dispatcher_notice_us = 0;
    s->dispatcher_peer = 0;
    g_queue_clear_full(s->to_dispatcher, g_free);
    for (uint32_t i = 0; i < w->job_count; i++) {
        w->jobs[i].placed_count[s - w->supervisors] = 0;
        w->jobs[i].is_stopped[s - w->supervisors] = false;
    }
    BwDispatcher_PeerDown(&w->d, w->now_us, peer);
}

/* The supervisor's process ends; its worker runs on until its lease lapses. */
static void
crash(World *w, Supervisor *s)
{
    close_supervisor_end(w, s);
    for (uint32_t i = 0; i < s->running_count; i++)
        s->running[i].outcome = 0;
}

static void
connect_supervisor(World *w, Supervisor *s)
{
    if (s->dispatcher_peer != 0) {
        /* The new connection replaces one whose end the dispatcher has not
           seen. */
        g_queue_clear_full(s->to_dispatcher, g_free);
        for (uint32_t i = 0; i < w->job_count; i++) {
            w->jobs[i].placed_count[s - w->supervisors] = 0;
            w->jobs[i].is_stopped[s - w->supervisors] = false;
        }
    }
    s->peer = ++w->next_peer;
    s->dispatcher_peer = s->peer;
    s->dispatcher_notice_us = 0;
    s->place_seen = 0;
    s->session_end_us = 0;
    s->next_renewal_us = 0;
    s->last_to_supervisor_us = s->last_to_dispatcher_us = w->now_us;
    BwDispatcher_PeerUp(&w->d, w->now_us, s->peer, BwSpan_FromString(s->name));
    send_state(w, s);
}

static void
handle_packet(World *w, Supervisor *s, const Packet *packet)
{
    if (packet->kind == BW_MSG_SESSION) {
        s->session_end_us =
            MAX(s->session_end_us, packet->requested_us + SESSION_US);
    }
    else if (packet->kind == BW_MSG_STOP) {
        end_tasks(w, s, s->peer, packet->ref, w->now_us + LEASE_US / 4);
    }
    else {
        g_assert_cmpuint(packet->number, ==, s->place_seen + 1);
        s->place_seen = packet->number;
        s->session_end_us =
            MAX(s->session_end_us, packet->requested_us + SESSION_US);
        s->next_renewal_us = MIN(s->next_renewal_us, w->now_us);
        for (uint32_t i = 0; i < packet->count; i++)
            start_task(w, s, packet, packet->index[i]);
    }
}

static void
run_supervisor(World *w, Supervisor *s)
{
    Packet session = {.kind = BW_MSG_SESSION, .requested_us = w->now_us};
    Packet *packet;

    while ((packet = g_queue_peek_head(s->to_supervisor)) != NULL &&
           packet->at_us <= w->now_us) {
        g_queue_pop_head(s->to_supervisor);
        handle_packet(w, s, packet);
        g_free(packet);
    }
    for (uint32_t i = 0; i < s->running_count;) {
        RunningTask r = s->running[i];

        if (r.end_us > w->now_us) {
            i++;
            continue;
        }
        s->running[i] = s->running[--s->running_count];
        send_outcome(w, s, &r, r.outcome);
    }
    if (s->peer != 0 && w->now_us >= s->next_renewal_us) {
        s->next_renewal_us =
            w->now_us + (s->running_count > 0 ? RENEWAL_US : IDLE_RENEWAL_US);
        send_to_dispatcher(w, s, session);
    }
    if (s->peer != 0 && !s->was_sent_clear && is_clear(s))
        send_state(w, s);
    if ((s->supervisor_notice_us != 0 &&
         w->now_us >= s->supervisor_notice_us) ||
        (s->peer != 0 && s->session_end_us != 0 &&
         w->now_us >= s->session_end_us && s->running_count > 0))
        close_supervisor_end(w, s);
    else if (s->peer == 0 && w->now_us >= s->connect_us)
        connect_supervisor(w, s);
}

static void
deliver(World *w, Supervisor *s, const Packet *packet)
{
    BwMessage message = {.kind = packet->kind};
    BwTaskOutcome outcome = {packet->index[0], packet->outcome, 0, 50 * MS};
    BwWorkerLoad load = {.place_seen = packet->place_seen,
                         .slow_permille = 1000};
    BwName label = {BwSpan_FromString(s->label)};
    Job *job;

    load.free.cpu_milli = packet->free_milli;
    load.free.mem_mb = CORES_MILLI;
    load.release_in_us = 100 * MS;
    if (packet->kind == BW_MSG_WORKER) {
        BwWorkerState *state = &message.u.worker;

        state->instance = BwSpan_FromString("instance");
        state->service = BwSpan_FromString("service");
        state->domain = BwSpan_FromString("domain");
        state->capacity.cpu_milli = CORES_MILLI;
        state->capacity.mem_mb = CORES_MILLI;
        state->is_clear = packet->is_clear;
        state->labels = &label;
        state->label_count = 1;
        state->load = &load;
        state->load_count = 1;
    }
    else if (packet->kind == BW_MSG_SESSION) {
        message.u.session.requested_us = packet->requested_us;
        message.u.session.load = &load;
        message.u.session.load_count = 1;
    }
    else {
        message.u.outcome.ref = packet->ref;
        message.u.outcome.step = packet->step;
        message.u.outcome.tasks = &outcome;
        message.u.outcome.task_count = 1;
        message.u.outcome.load = &load;
        message.u.outcome.load_count = 1;
        job = find_ref(w, packet->ref);
        g_assert_nonnull(job);
        job->placed_count[s - w->supervisors]--;
        if (packet->outcome == BW_OUTCOME_DONE)
            job->is_done[packet->step][packet->index[0]] = true;
    }
    BwDispatcher_OnMessage(&w->d, w->now_us, packet->peer, &message);
}

static void
run_dispatcher_end(World *w, Supervisor *s)
{
    Packet *packet;

    if (s->dispatcher_notice_us != 0 && w->now_us >= s->dispatcher_notice_us)
        close_dispatcher_end(w, s);
    while ((packet = g_queue_peek_head(s->to_dispatcher)) != NULL &&
           packet->at_us <= w->now_us) {
        g_queue_pop_head(s->to_dispatcher);
        if (packet->peer == s->dispatcher_peer)
            deliver(w, s, packet);
        g_free(packet);
        check_stops(w);
    }
}

/* --------------------------------------------------------------- jobs */

static void
submit(World *w)
{
    static const char *const labels[] = {"", "", "", "odd", "even"};
    BwBoundRequest request = {.ends_with_connection = true};
    BwRoute route = {
        .attempts_max = 3, .stretch_permille = 4000, .target_us = 20000 * MS};
    uint32_t number = w->job_count++;
    Job *job = &w->jobs[number];
    char name[16];
    uint64_t ref;

    strcpy(route.name, "route");
    strcpy(route.service, "service");
    g_snprintf(name, sizeof(name), "%u", number);
    request.spec = BwSpan_FromString("spec");
    request.step_count = (uint32_t)between(w, 1, STEPS + 1);
    job->step_count = request.step_count;
    for (uint32_t i = 0; i < request.step_count; i++) {
        BwBoundStep *step = &request.steps[i];

        step->task_count = (uint32_t)between(w, 1, TASKS + 1);
        step->resources.cpu_milli = between(w, 100, 1500);
        step->resources.mem_mb = 10;
        step->declared_us = between(w, 20 * MS, 600 * MS);
        if (chance(w, 300))
            step->declared_us = between(w, 600 * MS, 4000 * MS);
        step->spread_max = chance(w, 200) ? 2 : 0;
        step->after = (uint32_t)between(w, 0, 1u << i);
        job->label[i] = labels[g_rand_int_range(w->random, 0, 5)];
        step->requirement = BwSpan_FromString(job->label[i]);
        step->affinity =
            BwSpan_FromString(labels[g_rand_int_range(w->random, 0, 5)]);
        job->after[i] = step->after;
        job->counts[i] = step->task_count;
    }
    job->deadline_us = w->now_us + between(w, 300 * MS, 20000 * MS);
    ref = BwDispatcher_Submit(&w->d, w->now_us, BwSpan_FromString(name),
                              &request, &route, job->deadline_us, 0, job);
    g_assert_true(ref != 0 || job->answers == 1);
    g_assert_true(ref == 0 || job->ref == 0 || job->ref == ref);
    if (ref != 0)
        job->ref = ref;
    check_stops(w);
}

static void
withdraw(World *w)
{
    Job *job;

    if (w->job_count == 0)
        return;
    job = &w->jobs[g_rand_int_range(w->random, 0, (gint32)w->job_count)];
    if (job->answers != 0 || job->is_withdrawn)
        return;
    job->is_withdrawn = true;
    BwDispatcher_Withdraw(&w->d, w->now_us, job->ref);
    check_stops(w);
}

static void
disrupt(World *w)
{
    Supervisor *s =
        &w->supervisors[g_rand_int_range(w->random, 0, SUPERVISORS)];

    if (s->peer == 0)
        return;
    switch (g_rand_int_range(w->random, 0, 4)) {
    case 0:
        crash(w, s);
        break;
    case 1: /* both ends see the connection's end at once */
        close_supervisor_end(w, s);
        if (s->dispatcher_peer != 0)
            close_dispatcher_end(w, s);
        break;
    case 2: /* the dispatcher sees it first, the supervisor later or never */
        if (s->dispatcher_peer == s->peer) {
            close_dispatcher_end(w, s);
            s->supervisor_notice_us =
                w->now_us + between(w, 0, 2 * SESSION_US);
        }
        break;
    default: /* the supervisor sees it first */
        close_supervisor_end(w, s);
        break;
    }
}

static void
set_up(World *w, uint32_t seed)
{
    BwDispatcherLimits limits = {SESSION_US, LEASE_US, STOP_US, JOBS, 0, seed};

    memset(w, 0, sizeof(*w));
    w->random = g_rand_new_with_seed(seed);
    w->now_us = 1000 * MS;
    w->is_fault_free = seed % 10 == 0;
    BwDispatcher_Init(&w->d, &limits, &port, w);
    for (uint32_t i = 0; i < SUPERVISORS; i++) {
        Supervisor *s = &w->supervisors[i];

        g_snprintf(s->name, sizeof(s->name), "supervisor%u", i);
        s->label = i % 2 == 0 ? "even" : "odd";
        s->fails_all = i == 0 && seed % 5 == 1;
        s->to_supervisor = g_queue_new();
        s->to_dispatcher = g_queue_new();
    }
}

static void
finish(World *w)
{
    for (uint32_t i = 0; i < SUPERVISORS; i++) {
        g_queue_free_full(w->supervisors[i].to_supervisor, g_free);
        g_queue_free_full(w->supervisors[i].to_dispatcher, g_free);
    }
    BwDispatcher_Finish(&w->d);
    g_rand_free(w->random);
}

static void
run(World *w)
{
    for (; w->now_us < END_US; w->now_us += STEP_US) {
        bool is_disruption_time = w->now_us < DISRUPTION_END_US;

        for (uint32_t i = 0; i < SUPERVISORS; i++) {
            run_supervisor(w, &w->supervisors[i]);
            run_dispatcher_end(w, &w->supervisors[i]);
        }
        BwDispatcher_Tick(&w->d, w->now_us);
        check_stops(w);
        if (is_disruption_time && w->now_us > 1500 * MS &&
            w->job_count < JOBS && chance(w, 60))
            submit(w);
        if (is_disruption_time && !w->is_fault_free && chance(w, 4))
            withdraw(w);
        if (is_disruption_time && !w->is_fault_free && chance(w, 6))
            disrupt(w);
        check_stops(w);
    }
}

static void
check_end(World *w, uint32_t *ends)
{
    g_assert_cmpuint(HASH_COUNT(w->d.jobs), ==, 0);
    g_assert_cmpuint(w->job_count, ==, JOBS);
    for (uint32_t i = 0; i < w->job_count; i++) {
        const Job *job = &w->jobs[i];

        g_assert_cmpuint(job->answers, ==, job->is_withdrawn ? 0 : 1);
        if (w->is_fault_free)
            g_assert_true(job->end == BW_BOUND_COMPLETED ||
                          job->end == BW_BOUND_REFUSED ||
                          job->end == BW_BOUND_EXPIRED);
        ends[job->is_withdrawn ? BW_BOUND_EXPIRED + 1 : job->end]++;
    }
    for (uint32_t i = 0; i < SUPERVISORS; i++)
        g_assert_cmpuint(w->supervisors[i].running_count, ==, 0);
    g_assert_cmpuint(HASH_COUNT(w->d.views), ==, SUPERVISORS);
    for (const BwSupervisorView *view = w->d.views; view != NULL;
         view = view->hh.next) {
        for (uint32_t i = 0; i < view->in_flight_count; i++) {
            g_assert_cmpuint(view->in_flight[i].resources.cpu_milli, ==, 0);
            g_assert_cmpuint(view->in_flight[i].resources.mem_mb, ==, 0);
            g_assert_cmpuint(view->in_flight[i].task_count, ==, 0);
        }
        g_assert_cmpuint(view->free.cpu_milli, ==, CORES_MILLI);
    }
}

static void
test_seeds(void)
{
    World *w = g_new(World, 1);
    uint32_t ends[BW_BOUND_EXPIRED + 2] = {0};
    uint64_t lost = 0, bounced = 0;

    for (uint32_t seed = 0; seed < SEEDS; seed++) {
        g_test_message("seed %u", seed);
        set_up(w, seed);
        run(w);
        check_end(w, ends);
        lost += w->d.counters.lost;
        bounced += w->d.counters.bounced;
        finish(w);
    }
    g_test_message("completed %u, failed %u, refused %u, expired %u, "
                   "withdrawn %u, lost %" G_GUINT64_FORMAT
                   ", bounced %" G_GUINT64_FORMAT,
                   ends[0], ends[1], ends[2], ends[3], ends[4], lost, bounced);
    /* The seeds together reach every end of a job. */
    for (uint32_t i = 0; i < G_N_ELEMENTS(ends); i++)
        g_assert_cmpuint(ends[i], >, 0);
    g_assert_cmpuint(lost, >, 0);
    g_assert_cmpuint(bounced, >, 0);
    g_free(w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/schedules/seeds", test_seeds);
    return g_test_run();
}
