/* test_schedules.c -- random schedules of a dispatcher and its supervisors

   Supervisors in the test decline, fail, lose, fall silent, crash and come
   back, by fixed seeds.  Each keeps what its worker runs: a task there is gone
   when it ended, when its stop took effect, or when its session and then the
   worker's lease ran out, and the dispatcher may place it elsewhere no sooner.
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
#define RENEW_US (400 * MS)
#define IDLE_RENEW_US (3000 * MS) /* without tasks */
#define LEASE_US (2500 * MS)
#define BUSY_US (9000 * MS) /* disruptions until then */
#define END_US (40000 * MS)
#define CORES_MILLI 4000

/* A message on its way, as far as the test needs it. */
typedef struct Mail {
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
} Mail;

/* A task on a worker. */
typedef struct Running {
    uint64_t ref;
    uint32_t step;
    uint32_t index;
    uint32_t peer;
    uint64_t cpu_milli;
    uint64_t end_us;
    uint32_t outcome; /* to tell; 0: nobody is told */
} Running;

typedef struct Supervisor {
    char name[16];
    const char *label;
    uint32_t peer;      /* its connection; 0: none */
    uint32_t far_peer;  /* the dispatcher's; 0: none */
    uint64_t notice_us; /* when the dispatcher sees the end; 0: it has */
    uint64_t own_notice_us;
    uint64_t connect_us;
    uint64_t valid_us;
    uint64_t renew_us;
    uint64_t place_seen;
    uint64_t in_us, out_us; /* arrival of the last mail, each way */
    bool was_clear;
    bool is_bad; /* fails all */
    GQueue *in, *out;
    Running running[RUNNING_MAX];
    uint32_t running_count;
} Supervisor;

typedef struct Job {
    uint64_t ref;
    bool is_withdrawn;
    bool was_placed;
    bool is_checked;
    uint64_t deadline_us;
    uint32_t answers;
    BwBoundEnd end;
    uint32_t after[STEPS];
    uint32_t counts[STEPS];
    const char *label[STEPS];
    uint32_t step_count;
    bool is_done[STEPS][TASKS];
    /* Of the dispatcher's present connections: told to start and not ended. */
    uint32_t out[SUPERVISORS];
    bool is_stopped[SUPERVISORS];
} Job;

typedef struct World {
    BwDispatcher d;
    GRand *random;
    uint64_t now_us;
    uint32_t next_peer;
    bool is_calm;
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
find_far(World *w, uint32_t peer)
{
    for (uint32_t i = 0; i < SUPERVISORS; i++) {
        if (w->supervisors[i].far_peer == peer)
            return &w->supervisors[i];
    }
    return NULL;
}

/* ------------------------------------------------- from the dispatcher */

/* Every place of the task, whoever runs it, must be over. */
static void
assert_nowhere(World *w, uint64_t ref, uint32_t step, uint32_t index)
{
    for (uint32_t i = 0; i < SUPERVISORS; i++) {
        const Supervisor *s = &w->supervisors[i];

        for (uint32_t j = 0; j < s->running_count; j++) {
            const Running *r = &s->running[j];

            g_assert_false(r->ref == ref && r->step == step &&
                           r->index == index);
        }
        for (const GList *at = s->in->head; at != NULL; at = at->next) {
            const Mail *mail = at->data;

            for (uint32_t j = 0;
                 mail->kind == BW_MSG_PLACE && mail->ref == ref &&
                 mail->step == step && j < mail->count;
                 j++)
                g_assert_cmpuint(mail->index[j], !=, index);
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
    job->was_placed = true;
    job->ref = place->ref;
    for (uint32_t i = 0; i < step; i++)
        g_assert_true((job->after[step] >> i & 1) == 0 ||
                      is_step_done(job, i));
    for (uint32_t i = 0; i < place->task_count; i++) {
        g_assert_false(job->is_done[step][place->tasks[i].index]);
        assert_nowhere(w, place->ref, step, place->tasks[i].index);
    }
    if (job->label[step][0] != '\0')
        g_assert_cmpstr(job->label[step], ==, s->label);
    job->out[s - w->supervisors] += place->task_count;
}

static void
on_send(void *ctx, uint32_t peer, const BwMessage *message)
{
    World *w = ctx;
    Supervisor *s = find_far(w, peer);
    Mail *mail;

    g_assert_nonnull(s);
    mail = g_new0(Mail, 1);
    mail->peer = peer;
    mail->kind = message->kind;
    if (message->kind == BW_MSG_PLACE) {
        const BwPlace *place = &message->u.place;

        check_place(w, s, place);
        mail->ref = place->ref;
        mail->step = place->step;
        mail->number = place->number;
        mail->spread_max = place->spread_max;
        mail->requested_us = place->requested_us;
        g_assert_cmpuint(mail->requested_us, <=, w->now_us);
        mail->run_us = place->expected_us;
        mail->cpu_milli = place->room.cpu_milli;
        mail->count = place->task_count;
        for (uint32_t i = 0; i < place->task_count; i++)
            mail->index[i] = place->tasks[i].index;
    }
    else if (message->kind == BW_MSG_STOP) {
        Job *job = find_ref(w, message->u.stop.ref);

        mail->ref = message->u.stop.ref;
        g_assert_nonnull(job);
        job->is_stopped[s - w->supervisors] = true;
    }
    else {
        g_assert_cmpint(message->kind, ==, BW_MSG_SESSION);
        mail->requested_us = message->u.session.requested_us;
    }
    if (peer != s->peer) {
        g_free(mail); /* its end is not known here yet */
        return;
    }
    s->in_us = MAX(s->in_us, w->now_us + between(w, MS, 20 * MS));
    mail->at_us = s->in_us;
    g_queue_push_tail(s->in, mail);
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
        g_assert_false(job->was_placed);
    if (end == BW_BOUND_COMPLETED) {
        for (uint32_t i = 0; i < job->step_count; i++)
            g_assert_true(is_step_done(job, i));
    }
}

static const BwDispatcherPort port = {on_send, on_answer,
                                      PortStub_DropDecision};

/* Whoever still has tasks of a job that ended must have been told. */
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
            g_assert_true(job->out[j] == 0 || job->is_stopped[j]);
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
post(World *w, Supervisor *s, Mail mail)
{
    if (s->peer == 0)
        return;
    mail.peer = s->peer;
    mail.place_seen = s->place_seen;
    mail.free_milli = free_milli(s);
    s->out_us = MAX(s->out_us, w->now_us + between(w, MS, 20 * MS));
    mail.at_us = s->out_us;
    g_queue_push_tail(s->out, g_memdup2(&mail, sizeof(mail)));
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
tell_state(World *w, Supervisor *s)
{
    Mail mail = {.kind = BW_MSG_WORKER};

    s->was_clear = is_clear(s);
    mail.is_clear = s->was_clear;
    post(w, s, mail);
}

static void
tell_outcome(World *w, Supervisor *s, const Running *r, uint32_t outcome)
{
    Mail mail = {.kind = BW_MSG_OUTCOME};

    if (outcome == 0 || r->peer != s->peer)
        return;
    mail.ref = r->ref;
    mail.step = r->step;
    mail.index[0] = r->index;
    mail.outcome = outcome;
    post(w, s, mail);
}

static void
start_task(World *w, Supervisor *s, const Mail *mail, uint32_t index)
{
    Running task = {mail->ref,       mail->step, index,          s->peer,
                    mail->cpu_milli, 0,          BW_OUTCOME_DONE};
    uint32_t spread = 0;

    for (uint32_t i = 0; i < s->running_count; i++)
        spread +=
            s->running[i].ref == mail->ref && s->running[i].step == mail->step;
    if (mail->spread_max > 0)
        g_assert_cmpuint(spread, <, mail->spread_max);
    if (w->now_us >= s->valid_us || (!w->is_calm && chance(w, 60))) {
        tell_outcome(w, s, &task, BW_OUTCOME_NOT_RUN);
        return;
    }
    task.end_us = w->now_us + between(w, mail->run_us / 2, mail->run_us * 2);
    if (s->is_bad || (!w->is_calm && chance(w, 50)))
        task.outcome = BW_OUTCOME_FAILED;
    else if (!w->is_calm && chance(w, 30))
        task.outcome = BW_OUTCOME_LOST;
    g_assert_cmpuint(s->running_count, <, RUNNING_MAX);
    s->running[s->running_count++] = task;
}

/* Ends tasks of the connection at a time within the lease. */
static void
end_tasks(World *w, Supervisor *s, uint32_t peer, uint64_t ref, uint64_t by_us)
{
    for (uint32_t i = 0; i < s->running_count; i++) {
        Running *r = &s->running[i];

        if (r->peer != peer || (ref != 0 && r->ref != ref))
            continue;
        r->end_us = MIN(r->end_us, between(w, w->now_us, by_us));
        r->outcome = 0;
    }
}

/* The supervisor sees its connection's end, or its session has lapsed. */
static void
lose_own_side(World *w, Supervisor *s)
{
    uint32_t peer = s->peer;

    s->own_notice_us = 0;
    s->peer = 0;
    g_queue_clear_full(s->in, g_free);
    end_tasks(w, s, peer, 0, w->now_us + LEASE_US);
    s->connect_us =
        w->now_us + between(w, STEP_US, chance(w, 500) ? 100 * MS : 6000 * MS);
    if (s->far_peer != 0 && s->notice_us == 0)
        s->notice_us = w->now_us + between(w, 0, SESSION_US);
}

static void
lose_far_side(World *w, Supervisor *s)
{
    uint32_t peer = s->far_peer;

    s->notice_us = 0;
    s->far_peer = 0;
    g_queue_clear_full(s->out, g_free);
    for (uint32_t i = 0; i < w->job_count; i++) {
        w->jobs[i].out[s - w->supervisors] = 0;
        w->jobs[i].is_stopped[s - w->supervisors] = false;
    }
    BwDispatcher_PeerDown(&w->d, w->now_us, peer);
}

/* The process ends; its worker goes on until its lease is over. */
static void
crash(World *w, Supervisor *s)
{
    lose_own_side(w, s);
    for (uint32_t i = 0; i < s->running_count; i++)
        s->running[i].outcome = 0;
}

static void
connect_far_side(World *w, Supervisor *s)
{
    if (s->far_peer != 0) {
        /* It replaces a connection whose end is not known there. */
        g_queue_clear_full(s->out, g_free);
        for (uint32_t i = 0; i < w->job_count; i++) {
            w->jobs[i].out[s - w->supervisors] = 0;
            w->jobs[i].is_stopped[s - w->supervisors] = false;
        }
    }
    s->peer = ++w->next_peer;
    s->far_peer = s->peer;
    s->notice_us = 0;
    s->place_seen = 0;
    s->valid_us = 0;
    s->renew_us = 0;
    s->in_us = s->out_us = w->now_us;
    BwDispatcher_PeerUp(&w->d, w->now_us, s->peer, BwSpan_FromString(s->name));
    tell_state(w, s);
}

static void
take_mail(World *w, Supervisor *s, const Mail *mail)
{
    if (mail->kind == BW_MSG_SESSION) {
        s->valid_us = MAX(s->valid_us, mail->requested_us + SESSION_US);
    }
    else if (mail->kind == BW_MSG_STOP) {
        end_tasks(w, s, s->peer, mail->ref, w->now_us + LEASE_US / 4);
    }
    else {
        g_assert_cmpuint(mail->number, ==, s->place_seen + 1);
        s->place_seen = mail->number;
        s->valid_us = MAX(s->valid_us, mail->requested_us + SESSION_US);
        s->renew_us = MIN(s->renew_us, w->now_us);
        for (uint32_t i = 0; i < mail->count; i++)
            start_task(w, s, mail, mail->index[i]);
    }
}

static void
run_supervisor(World *w, Supervisor *s)
{
    Mail session = {.kind = BW_MSG_SESSION, .requested_us = w->now_us};
    Mail *mail;

    while ((mail = g_queue_peek_head(s->in)) != NULL &&
           mail->at_us <= w->now_us) {
        g_queue_pop_head(s->in);
        take_mail(w, s, mail);
        g_free(mail);
    }
    for (uint32_t i = 0; i < s->running_count;) {
        Running r = s->running[i];

        if (r.end_us > w->now_us) {
            i++;
            continue;
        }
        s->running[i] = s->running[--s->running_count];
        tell_outcome(w, s, &r, r.outcome);
    }
    if (s->peer != 0 && w->now_us >= s->renew_us) {
        s->renew_us =
            w->now_us + (s->running_count > 0 ? RENEW_US : IDLE_RENEW_US);
        post(w, s, session);
    }
    if (s->peer != 0 && !s->was_clear && is_clear(s))
        tell_state(w, s);
    if ((s->own_notice_us != 0 && w->now_us >= s->own_notice_us) ||
        (s->peer != 0 && s->valid_us != 0 && w->now_us >= s->valid_us &&
         s->running_count > 0))
        lose_own_side(w, s);
    else if (s->peer == 0 && w->now_us >= s->connect_us)
        connect_far_side(w, s);
}

static void
deliver(World *w, Supervisor *s, const Mail *mail)
{
    BwMessage message = {.kind = mail->kind};
    BwTaskOutcome outcome = {mail->index[0], mail->outcome, 0, 50 * MS};
    BwWorkerLoad load = {.place_seen = mail->place_seen,
                         .slow_permille = 1000};
    BwName label = {BwSpan_FromString(s->label)};
    Job *job;

    load.free.cpu_milli = mail->free_milli;
    load.free.mem_mb = CORES_MILLI;
    load.release_us = 100 * MS;
    if (mail->kind == BW_MSG_WORKER) {
        BwWorkerState *state = &message.u.worker;

        state->instance = BwSpan_FromString("instance");
        state->service = BwSpan_FromString("service");
        state->domain = BwSpan_FromString("domain");
        state->capacity.cpu_milli = CORES_MILLI;
        state->capacity.mem_mb = CORES_MILLI;
        state->is_clear = mail->is_clear;
        state->labels = &label;
        state->label_count = 1;
        state->load = &load;
        state->load_count = 1;
    }
    else if (mail->kind == BW_MSG_SESSION) {
        message.u.session.requested_us = mail->requested_us;
        message.u.session.load = &load;
        message.u.session.load_count = 1;
    }
    else {
        message.u.outcome.ref = mail->ref;
        message.u.outcome.step = mail->step;
        message.u.outcome.tasks = &outcome;
        message.u.outcome.task_count = 1;
        message.u.outcome.load = &load;
        message.u.outcome.load_count = 1;
        job = find_ref(w, mail->ref);
        g_assert_nonnull(job);
        job->out[s - w->supervisors]--;
        if (mail->outcome == BW_OUTCOME_DONE)
            job->is_done[mail->step][mail->index[0]] = true;
    }
    BwDispatcher_OnMessage(&w->d, w->now_us, mail->peer, &message);
}

static void
run_far_side(World *w, Supervisor *s)
{
    Mail *mail;

    if (s->notice_us != 0 && w->now_us >= s->notice_us)
        lose_far_side(w, s);
    while ((mail = g_queue_peek_head(s->out)) != NULL &&
           mail->at_us <= w->now_us) {
        g_queue_pop_head(s->out);
        if (mail->peer == s->far_peer)
            deliver(w, s, mail);
        g_free(mail);
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
        step->room.cpu_milli = between(w, 100, 1500);
        step->room.mem_mb = 10;
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
                              &request, &route, job->deadline_us, job);
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
    case 1: /* both see it at once */
        lose_own_side(w, s);
        if (s->far_peer != 0)
            lose_far_side(w, s);
        break;
    case 2: /* the dispatcher sees it first, if the supervisor ever does */
        if (s->far_peer == s->peer) {
            lose_far_side(w, s);
            s->own_notice_us = w->now_us + between(w, 0, 2 * SESSION_US);
        }
        break;
    default: /* the supervisor sees it first */
        lose_own_side(w, s);
        break;
    }
}

static void
set_up(World *w, uint32_t seed)
{
    BwDispatcherLimits limits = {SESSION_US, LEASE_US, JOBS};

    memset(w, 0, sizeof(*w));
    w->random = g_rand_new_with_seed(seed);
    w->now_us = 1000 * MS;
    w->is_calm = seed % 10 == 0;
    BwDispatcher_Init(&w->d, &limits, &port, w);
    for (uint32_t i = 0; i < SUPERVISORS; i++) {
        Supervisor *s = &w->supervisors[i];

        g_snprintf(s->name, sizeof(s->name), "supervisor%u", i);
        s->label = i % 2 == 0 ? "even" : "odd";
        s->is_bad = i == 0 && seed % 5 == 1;
        s->in = g_queue_new();
        s->out = g_queue_new();
    }
}

static void
finish(World *w)
{
    for (uint32_t i = 0; i < SUPERVISORS; i++) {
        g_queue_free_full(w->supervisors[i].in, g_free);
        g_queue_free_full(w->supervisors[i].out, g_free);
    }
    BwDispatcher_Finish(&w->d);
    g_rand_free(w->random);
}

static void
run(World *w)
{
    for (; w->now_us < END_US; w->now_us += STEP_US) {
        bool is_busy = w->now_us < BUSY_US;

        for (uint32_t i = 0; i < SUPERVISORS; i++) {
            run_supervisor(w, &w->supervisors[i]);
            run_far_side(w, &w->supervisors[i]);
        }
        BwDispatcher_Tick(&w->d, w->now_us);
        check_stops(w);
        if (is_busy && w->now_us > 1500 * MS && w->job_count < JOBS &&
            chance(w, 60))
            submit(w);
        if (is_busy && !w->is_calm && chance(w, 4))
            withdraw(w);
        if (is_busy && !w->is_calm && chance(w, 6))
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
        if (w->is_calm)
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
            g_assert_cmpuint(view->in_flight[i].room.cpu_milli, ==, 0);
            g_assert_cmpuint(view->in_flight[i].room.mem_mb, ==, 0);
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
    /* The schedules reach every end. */
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
