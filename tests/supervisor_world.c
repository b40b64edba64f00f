/* supervisor_world.c -- a supervisor with a simulated worker and dispatchers

   Time advances in steps of 5 ms.  The worker executes a call when it arrives,
   even if the supervisor has counted it as unanswered by then. */

#include <string.h>

#include "supervisor_world.h"

/* ------------------------------------------------------------- worker */

uint64_t
World_Clock(const World *w)
{
    return w->worker.clock_base_ms +
           (w->now_us - w->worker.started_us) *
               (1000 - w->worker.clock_slow_permille) / 1000000;
}

static bool
is_same_task(const Task *left, const Task *right)
{
    return strcmp(left->job, right->job) == 0 && left->step == right->step &&
           left->index == right->index;
}

static char *
task_name(const Task *task)
{
    return g_strdup_printf("%s.%u.%u", task->job, task->step, task->index);
}

static uint32_t
highest_ended_run(const World *w, const Task *task)
{
    char *name = task_name(task);
    gpointer run = g_hash_table_lookup(w->worker.ended_runs, name);

    g_free(name);
    return GPOINTER_TO_UINT(run);
}

static void
record_ended_run(World *w, const Task *task)
{
    if (task->run > highest_ended_run(w, task))
        g_hash_table_replace(w->worker.ended_runs, task_name(task),
                             GUINT_TO_POINTER(task->run));
}

static void
check_worker(const World *w)
{
    const GArray *running = w->worker.running;
    uint64_t cpu = 0;

    for (guint i = 0; i < running->len; i++) {
        const Task *task = &g_array_index(running, Task, i);
        const Placement *placement =
            &g_array_index(w->placements, Placement, task->placement);

        cpu += task->cpu;
        g_assert_cmpuint(placement->kind, ==, 0);
        g_assert_false(placement->is_cleared);
        for (guint j = 0; j < i; j++)
            g_assert_false(
                is_same_task(task, &g_array_index(running, Task, j)));
    }
    g_assert_cmpuint(cpu, <=,
                     MAX(w->worker.capacity_cpu, w->worker.former_cpu));
}

/* A start may not bring the worker over its capacity. */
static void
check_start(const World *w)
{
    const Worker *worker = &w->worker;
    uint64_t cpu = 0;

    for (guint i = 0; i < worker->running->len; i++)
        cpu += g_array_index(worker->running, Task, i).cpu;
    if (w->now_us > worker->shrunk_us + SHRINK_KNOWN_US)
        g_assert_cmpuint(cpu, <=, worker->capacity_cpu);
}

void
World_SetCapacity(World *w, uint64_t cpu)
{
    Worker *worker = &w->worker;

    if (cpu < worker->capacity_cpu) {
        worker->former_cpu = MAX(worker->former_cpu, worker->capacity_cpu);
        worker->shrunk_us = w->now_us;
    }
    worker->capacity_cpu = cpu;
}

static void
end_task(World *w, guint index, BwEndKind end)
{
    Task task = g_array_index(w->worker.running, Task, index);

    g_array_remove_index(w->worker.running, index);
    task.end = end;
    task.number = ++w->worker.end_count;
    record_ended_run(w, &task);
    g_array_append_val(w->worker.ended, task);
}

static void
run_worker(World *w)
{
    GArray *running = w->worker.running;
    bool has_lease_ended = World_Clock(w) >= w->worker.lease_end_ms;

    for (guint i = running->len; i-- > 0;) {
        const Task *task = &g_array_index(running, Task, i);

        if (w->now_us >= task->ends_us)
            end_task(w, i, task->end);
        else if (has_lease_ended)
            end_task(w, i, BW_END_LAPSED);
    }
}

/* With the worker's process the connections of waiting polls break, and orders
   that it has put off are gone. */
static void
break_calls(World *w)
{
    for (guint i = 0; i < w->calls->len; i++) {
        Call *call = g_ptr_array_index(w->calls, i);

        if (call->state == CALL_WAITING) {
            call->state = CALL_ANSWERED;
            call->is_answer_lost = true;
            call->timeout_us = w->now_us;
        }
        else if (call->is_put_off) {
            call->arrives_us = UINT64_MAX;
        }
    }
}

void
World_RestartWorker(World *w)
{
    Worker *worker = &w->worker;

    break_calls(w);
    g_array_set_size(worker->running, 0);
    g_array_set_size(worker->ended, 0);
    g_hash_table_remove_all(worker->ended_runs);
    worker->instance++;
    worker->started_us = w->now_us;
    worker->clock_base_ms =
        w->rand != NULL ? (uint64_t)g_rand_int_range(w->rand, 1, 1000000)
                        : 50000;
    worker->clock_slow_permille =
        w->rand != NULL ? (uint64_t)g_rand_int_range(w->rand, 0, 21) : 0;
    worker->fence = 0;
    worker->lease_end_ms = 0;
    worker->end_count = 0;
    worker->sequence = 0;
    worker->is_leaving = false;
    worker->is_unhealthy = false;
    worker->is_down = false;
    worker->former_cpu = 0;
    if (w->rand != NULL)
        worker->capacity_cpu =
            (uint64_t)g_rand_int_range(w->rand, 2, 6) * 1000;
}

/* Orders that are on their way may have been sent by the capacity of the lives
   before. */
void
World_RebornWorker(World *w)
{
    uint64_t before_cpu = MAX(w->worker.capacity_cpu, w->worker.former_cpu);

    w->worker.instance--;
    World_RestartWorker(w);
    w->worker.born_ms++;
    if (w->worker.capacity_cpu < before_cpu) {
        w->worker.former_cpu = before_cpu;
        w->worker.shrunk_us = w->now_us;
    }
}

void
World_CrashWorker(World *w)
{
    Worker *worker = &w->worker;

    g_array_set_size(w->crashed, 0);
    for (guint i = 0; i < worker->running->len; i++)
        g_array_append_val(w->crashed,
                           g_array_index(worker->running, Task, i).placement);
    g_array_set_size(worker->running, 0);
    g_array_set_size(worker->ended, 0);
    g_hash_table_remove_all(worker->ended_runs);
    worker->is_down = true;
}

static void
extend_lease(World *w, uint64_t lease_ms)
{
    uint64_t longest_ms = World_Clock(w) + w->limits.lease_max_us / 1000;

    lease_ms = MIN(lease_ms, longest_ms);
    if (lease_ms > w->worker.lease_end_ms)
        w->worker.lease_end_ms = lease_ms;
}

static BwWorkerVerdict
carry_out_start(World *w, const Call *call)
{
    Task task = call->task;

    if (call->lease_ms <= World_Clock(w))
        return BW_WORKER_LATE;
    extend_lease(w, call->lease_ms);
    for (guint i = 0; i < w->worker.running->len; i++) {
        const Task *other = &g_array_index(w->worker.running, Task, i);

        if (is_same_task(&task, other) && task.run == other->run)
            return BW_WORKER_OK;
        if (is_same_task(&task, other) && task.run < other->run)
            return BW_WORKER_OLD_RUN;
    }
    if (task.run <= highest_ended_run(w, &task))
        return BW_WORKER_OLD_RUN;
    task.placement = call->spec.placement;
    task.cpu = call->spec.cpu;
    task.starts_us = w->now_us;
    task.ends_us = w->now_us + call->spec.run_us;
    task.is_stuck = w->worker.is_stuck;
    if (task.is_stuck)
        task.ends_us = UINT64_MAX;
    task.end = call->spec.end;
    g_array_append_val(w->worker.running, task);
    g_array_append_val(w->start_order, task.placement);
    w->starts++;
    check_start(w);
    check_worker(w);
    return BW_WORKER_OK;
}

static BwWorkerVerdict
carry_out_stop(World *w, const Call *call)
{
    uint64_t delay_us =
        w->rand != NULL ? (uint64_t)g_rand_int_range(w->rand, 0, STOP_MAX_US)
                        : STOP_MAX_US / 2;

    record_ended_run(w, &call->task);
    for (guint i = 0; i < w->worker.running->len; i++) {
        Task *task = &g_array_index(w->worker.running, Task, i);

        if (!is_same_task(&call->task, task) || call->task.run != task->run)
            continue;
        if (w->now_us + delay_us < task->ends_us) {
            task->ends_us = w->now_us + delay_us;
            task->end = BW_END_STOPPED;
        }
    }
    return BW_WORKER_OK;
}

static void
carry_out_poll(World *w, const Call *call)
{
    GArray *ended = w->worker.ended;

    extend_lease(w, call->lease_ms);
    while (ended->len > 0 &&
           g_array_index(ended, Task, 0).number <= call->poll.last_end)
        g_array_remove_index(ended, 0);
}

static void
answer_call(World *w, Call *call, BwWorkerVerdict verdict)
{
    uint64_t delay_us = 1000;

    if (w->rand != NULL)
        delay_us =
            (uint64_t)g_rand_int_range(w->rand, 1000, (gint32)w->latency_us);
    call->state = CALL_ANSWERED;
    call->answer_due_us = w->now_us + delay_us;
    call->answer.verdict = verdict;
    if (verdict != BW_WORKER_UNHEALTHY &&
        verdict != BW_WORKER_WRONG_INSTANCE &&
        verdict != BW_WORKER_UNREACHABLE)
        call->answer.clock_ms = World_Clock(w);
    call->answer.born_ms = call->kind == CALL_POLL ? w->worker.born_ms : 0;
    if (call->kind != CALL_POLL || verdict != BW_WORKER_OK)
        return;
    call->running = g_array_new(FALSE, TRUE, sizeof(Task));
    call->ended = g_array_new(FALSE, TRUE, sizeof(Task));
    g_array_append_vals(call->running, w->worker.running->data,
                        w->worker.running->len);
    g_array_append_vals(call->ended, w->worker.ended->data,
                        MIN(w->worker.ended->len, ENDS_MAX));
}

static void
arrive(World *w, Call *call)
{
    char instance[16];

    g_snprintf(instance, sizeof(instance), "i-%u", w->worker.instance);
    if (w->worker.is_down) {
        answer_call(w, call, BW_WORKER_UNREACHABLE);
    }
    else if (w->worker.is_silent || w->worker.breaks_connections) {
        call->state = CALL_ANSWERED;
        call->is_answer_lost = true;
        if (w->worker.breaks_connections)
            call->timeout_us = w->now_us;
    }
    else if (strcmp(call->instance, instance) != 0) {
        answer_call(w, call, BW_WORKER_WRONG_INSTANCE);
    }
    else if (w->worker.is_unhealthy) {
        answer_call(w, call, BW_WORKER_UNHEALTHY);
    }
    else if (call->fence < w->worker.fence) {
        answer_call(w, call, BW_WORKER_FENCED);
    }
    else {
        w->worker.fence = call->fence;
        if (call->kind == CALL_START) {
            answer_call(w, call, carry_out_start(w, call));
        }
        else if (call->kind == CALL_STOP) {
            answer_call(w, call, carry_out_stop(w, call));
        }
        else {
            carry_out_poll(w, call);
            call->state = CALL_WAITING;
            call->answer_due_us =
                w->now_us + (uint64_t)call->poll.wait_ms * 1000;
        }
    }
}

Peer *
World_FindPeer(World *w, uint32_t id)
{
    return &g_array_index(w->peers, Peer, id - 1);
}

Placement *
World_FindPlacement(World *w, uint32_t number)
{
    return &g_array_index(w->placements, Placement, number);
}

/* -------------------------------------------------------------- calls */

static Call *
make_call(World *w, CallKind kind, uint64_t number, BwSpan instance)
{
    Call *call = g_new0(Call, 1);
    Delivery delivery = w->next_delivery[kind];
    uint32_t dice = 1000;

    w->next_delivery[kind] = DELIVERY_ANSWERED;
    if (w->rand != NULL)
        dice = (uint32_t)g_rand_int_range(w->rand, 0, 1000);
    if (dice < w->loss_permille * 3)
        delivery = (Delivery)(DELIVERY_ORDER_LOST + dice / w->loss_permille);
    call->kind = kind;
    call->supervisor_generation = w->supervisor_generation;
    call->number = number;
    memcpy(call->instance, instance.base, instance.size_bytes);
    call->sent_us = w->now_us;
    call->arrives_us = w->now_us + 1000;
    call->timeout_us = w->now_us + ANSWER_TIMEOUT_US;
    if (w->rand != NULL)
        call->arrives_us +=
            (uint64_t)g_rand_int_range(w->rand, 0, (gint32)w->latency_us);
    call->is_answer_lost =
        delivery == DELIVERY_ANSWER_LOST || delivery == DELIVERY_LATE;
    call->is_put_off = delivery == DELIVERY_LATE;
    if (delivery == DELIVERY_ORDER_LOST)
        call->arrives_us = UINT64_MAX;
    else if (delivery == DELIVERY_LATE)
        call->arrives_us =
            w->now_us +
            (w->rand != NULL
                 ? (uint64_t)g_rand_int_range(w->rand, LATE_ORDER_MIN_US,
                                              LATE_ORDER_MAX_US)
                 : w->late_order_delay_us);
    g_ptr_array_add(w->calls, call);
    return call;
}

static void
fill_task(Call *call, const BwTaskOrder *order)
{
    memcpy(call->task.job, order->job.base, order->job.size_bytes);
    call->task.step = order->step;
    call->task.index = order->index;
    call->task.run = order->run;
    call->fence = order->fence;
    call->lease_ms = order->lease_ms;
}

/* Returns whether sending the next call of the kind fails, and counts it. */
static bool
is_next_unsendable(World *w, CallKind kind)
{
    bool result = w->unsendable[kind] > 0;

    w->unsendable[kind] -= result;
    return result;
}

static bool
on_start(void *ctx, uint64_t number, const BwTaskOrder *order)
{
    World *w = ctx;
    const Placement *placement;
    Call *call;

    if (is_next_unsendable(w, CALL_START))
        return false;
    call = make_call(w, CALL_START, number, order->instance);
    fill_task(call, order);
    g_assert_cmpuint(order->spec.size_bytes, ==, sizeof(call->spec));
    memcpy(&call->spec, order->spec.base, sizeof(call->spec));
    placement = World_FindPlacement(w, call->spec.placement);
    g_assert_cmpint(w->supervisor.phase, ==, BW_WORKER_READY);
    g_assert_false(w->supervisor.is_worker_leaving);
    g_assert_false(w->supervisor.is_leaving);
    g_assert_cmpuint(w->now_us, <,
                     World_FindPeer(w, placement->peer)->valid_until_us);
    g_assert_cmpuint(w->now_us, <, placement->deadline_us);
    return true;
}

static bool
on_stop(void *ctx, uint64_t number, const BwTaskOrder *order)
{
    if (is_next_unsendable(ctx, CALL_STOP))
        return false;
    fill_task(make_call(ctx, CALL_STOP, number, order->instance), order);
    return true;
}

static bool
on_poll(void *ctx, uint64_t number, const BwPollOrder *order)
{
    Call *call;

    if (is_next_unsendable(ctx, CALL_POLL))
        return false;
    call = make_call(ctx, CALL_POLL, number, order->instance);
    call->poll = *order;
    call->fence = order->fence;
    call->lease_ms = order->lease_ms;
    call->timeout_us += (uint64_t)order->wait_ms * 1000;
    return true;
}

static BwListedTask *
list_tasks(const GArray *tasks, uint64_t now_us)
{
    BwListedTask *list;

    if (tasks == NULL)
        return NULL;
    list = g_new0(BwListedTask, tasks->len + 1);
    for (guint i = 0; i < tasks->len; i++) {
        const Task *task = &g_array_index(tasks, Task, i);

        list[i].job = BwSpan_FromString(task->job);
        list[i].step = task->step;
        list[i].index = task->index;
        list[i].run = task->run;
        list[i].number = task->number;
        list[i].end = task->end;
        if (!task->is_stuck && task->ends_us > task->starts_us)
            list[i].percent = (uint32_t)((now_us - task->starts_us) * 100 /
                                         (task->ends_us - task->starts_us));
    }
    return list;
}

static void
deliver_answer(World *w, Call *call, BwWorkerAnswer *answer)
{
    if (call->supervisor_generation != w->supervisor_generation)
        return;
    answer->running = list_tasks(call->running, w->now_us);
    answer->ended = list_tasks(call->ended, w->now_us);
    if (answer->running != NULL) {
        answer->running_count = call->running->len;
        answer->ended_count = call->ended->len;
    }
    if (call->kind == CALL_START)
        BwSupervisor_OnStarted(&w->supervisor, w->now_us, call->number,
                               answer);
    else if (call->kind == CALL_STOP)
        BwSupervisor_OnStopped(&w->supervisor, w->now_us, call->number,
                               answer);
    else
        BwSupervisor_OnPolled(&w->supervisor, w->now_us, call->number,
                              call->sent_us, answer);
    g_free(answer->running);
    g_free(answer->ended);
}

static void
free_call(gpointer data)
{
    Call *call = data;

    if (call->running != NULL) {
        g_array_free(call->running, TRUE);
        g_array_free(call->ended, TRUE);
    }
    g_free(call);
}

/* Returns whether the call can be freed. */
static bool
run_call(World *w, Call *call)
{
    BwWorkerAnswer none = {.verdict = BW_WORKER_NO_ANSWER};

    if (call->state == CALL_ARRIVING && w->now_us >= call->arrives_us)
        arrive(w, call);
    if (call->state == CALL_WAITING && w->worker.is_silent)
        call->is_answer_lost = true;
    if (call->state == CALL_WAITING && w->worker.is_down) {
        call->state = CALL_ANSWERED;
        call->is_settled = true;
        deliver_answer(w, call, &none);
        return true;
    }
    if (call->state == CALL_WAITING &&
        (w->now_us >= call->answer_due_us || w->worker.ended->len > 0))
        answer_call(w, call, BW_WORKER_OK);
    if (!call->is_settled && w->now_us >= call->timeout_us) {
        call->is_settled = true;
        deliver_answer(w, call, &none);
    }
    if (call->state == CALL_ANSWERED && !call->is_settled &&
        !call->is_answer_lost && w->now_us >= call->answer_due_us) {
        call->is_settled = true;
        deliver_answer(w, call, &call->answer);
    }
    return call->is_settled &&
           (call->state == CALL_ANSWERED || call->arrives_us == UINT64_MAX);
}

static void
run_calls(World *w)
{
    for (guint i = 0; i < w->calls->len;) {
        Call *call = g_ptr_array_index(w->calls, i);

        if (run_call(w, call))
            g_ptr_array_remove_index(w->calls, i);
        else
            i++;
    }
}

/* -------------------------------------------------------- dispatchers */

static void
record_outcome(World *w, uint32_t peer, uint64_t ref,
               const BwTaskOutcome *task)
{
    for (guint i = 0; i < w->placements->len; i++) {
        Placement *placement = World_FindPlacement(w, i);

        if (placement->peer != peer || placement->ref != ref ||
            placement->index != task->index)
            continue;
        g_assert_cmpuint(placement->outcomes, ==, 0);
        placement->outcomes++;
        placement->kind = task->kind;
        placement->reason = task->reason;
        check_worker(w);
        return;
    }
    g_assert_not_reached();
}

static void
on_outcome(World *w, uint32_t peer, const BwOutcome *outcome)
{
    for (uint32_t i = 0; i < outcome->task_count; i++)
        record_outcome(w, peer, outcome->ref, &outcome->tasks[i]);
}

/* The supervisor reported that no task of a closed connection is running or
   may still start. */
static void
on_clear(World *w)
{
    for (guint i = 0; i < w->placements->len; i++) {
        Placement *placement = World_FindPlacement(w, i);

        if (!World_FindPeer(w, placement->peer)->is_up)
            placement->is_cleared = true;
    }
    check_worker(w);
}

static bool
is_reported(const BwCrash *crash, const Placement *placement)
{
    for (uint32_t i = 0; i < crash->task_count; i++) {
        if (crash->tasks[i].index == placement->index)
            return true;
    }
    return false;
}

/* Whether the report is on the present life of the worker. */
static bool
is_of_this_life(const World *w, const BwCrash *crash)
{
    char life[48];

    if (w->worker.born_ms == 0)
        g_snprintf(life, sizeof(life), "i-%u", w->worker.instance);
    else
        g_snprintf(life, sizeof(life), "i-%u@%" G_GUINT64_FORMAT,
                   w->worker.instance, w->worker.born_ms);
    return BwSpan_Equal(crash->instance, BwSpan_FromString(life));
}

/* A report lists everything that ran on the worker at its crash. */
static void
on_crash(World *w, const BwCrash *crash)
{
    if (crash->is_withdrawn != 0) {
        w->crash_withdrawals++;
        return;
    }
    w->crash_reports++;
    w->reported_tasks = crash->task_count;
    g_assert_cmpuint(crash->task_count, >, 0);
    g_assert_cmpuint(crash->task_count, <=, BW_CRASHED_TASKS_MAX);
    for (guint i = 0;
         w->worker.is_down && i < w->crashed->len && crash->unlisted == 0 &&
         crash->age_us == 0 && is_of_this_life(w, crash);
         i++)
        g_assert_true(is_reported(
            crash,
            World_FindPlacement(w, g_array_index(w->crashed, uint32_t, i))));
}

static void
on_send(void *ctx, uint32_t id, const BwMessage *message)
{
    World *w = ctx;
    Peer *peer = World_FindPeer(w, id);
    SessionReply reply = {w->now_us, id, 0, w->now_us};

    g_assert_true(peer->is_up);
    switch (message->kind) {
    case BW_MSG_OUTCOME:
        on_outcome(w, id, &message->u.outcome);
        break;
    case BW_MSG_WORKER:
        peer->is_clear = message->u.worker.is_clear != 0;
        peer->is_leaving = message->u.worker.is_leaving != 0;
        peer->capacity_cpu = message->u.worker.capacity.cpu_milli;
        if (peer->is_clear)
            on_clear(w);
        break;
    case BW_MSG_CRASH:
        on_crash(w, &message->u.crash);
        break;
    case BW_MSG_SESSION:
        if (peer->next_renewal_us != 0)
            g_assert_cmpuint(w->now_us, <=, peer->next_renewal_us + STEP_US);
        peer->next_renewal_us = w->now_us + message->u.session.next_us;
        peer->renewal_requests++;
        if (peer->ignores_renewals)
            break;
        reply.requested_us = message->u.session.requested_us;
        if (w->rand != NULL)
            reply.read_us += (uint64_t)g_rand_int_range(w->rand, 0, 50000);
        reply.due_us = reply.read_us;
        if (w->rand != NULL)
            reply.due_us += (uint64_t)g_rand_int_range(w->rand, 0, 50000);
        g_array_append_val(w->replies, reply);
        break;
    default:
        g_assert_not_reached();
    }
}

static void
run_replies(World *w)
{
    for (guint i = 0; i < w->replies->len;) {
        SessionReply reply = g_array_index(w->replies, SessionReply, i);
        BwMessage message = {.kind = BW_MSG_SESSION};
        Peer *peer = World_FindPeer(w, reply.peer);

        if (w->now_us < reply.due_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(w->replies, i);
        if (!peer->is_up)
            continue;
        message.u.session.requested_us = reply.requested_us;
        peer->clock_us = reply.requested_us;
        peer->read_us = reply.read_us;
        peer->valid_until_us =
            MAX(peer->valid_until_us, reply.requested_us + SESSION_US);
        BwSupervisor_OnMessage(&w->supervisor, w->now_us, reply.peer,
                               &message);
    }
}

uint32_t
World_OpenPeer(World *w)
{
    Peer peer = {.id = w->peers->len + 1, .is_up = true};

    g_array_append_val(w->peers, peer);
    BwSupervisor_PeerUp(&w->supervisor, w->now_us, peer.id);
    return peer.id;
}

void
World_ClosePeer(World *w, uint32_t id)
{
    Peer *peer = World_FindPeer(w, id);

    peer->is_up = false;
    peer->disconnected_us = w->now_us;
    BwSupervisor_PeerDown(&w->supervisor, w->now_us, id);
}

/* Returns the supervisor's clock as a PLACE of the dispatcher states it, or 0
   if the PLACE does not renew the session. */
static uint64_t
renewal_clock_us(World *w, Peer *peer)
{
    uint64_t clock_us = peer->clock_us + w->now_us - peer->read_us;
    uint64_t age_us = 0;

    if (peer->ignores_renewals || peer->clock_us == 0)
        return 0;
    if (w->loss_permille > 0 && g_rand_int_range(w->rand, 0, 8) == 0)
        age_us = (uint64_t)g_rand_int_range(w->rand, 0, 2 * SESSION_US);
    if (age_us >= clock_us)
        return 0;
    peer->valid_until_us =
        MAX(peer->valid_until_us, clock_us - age_us + SESSION_US);
    return clock_us - age_us;
}

uint32_t
World_Place(World *w, uint32_t id, const PlaceRequest *request)
{
    Peer *peer = World_FindPeer(w, id);
    BwMessage message = {.kind = BW_MSG_PLACE};
    BwPlace *out = &message.u.place;
    uint32_t first = w->placements->len;
    uint64_t ref = ++w->next_ref;

    for (uint32_t i = 0; i < MAX(request->count, 1); i++) {
        BwTaskIndex task = {.index = request->first + i};
        Placement placement = {
            .peer = id, .ref = ref, .index = request->first + i};
        Spec spec = {
            w->placements->len, request->cpu != 0 ? request->cpu : 1000,
            request->run_us != 0 ? request->run_us : FOREVER_US, request->end};

        if (request->deadline_us != 0)
            placement.deadline_us = w->now_us + request->deadline_us;
        else
            placement.deadline_us = w->now_us + FOREVER_US;
        g_array_append_val(w->placements, placement);
        out->number = ++peer->place_number;
        out->ref = ref;
        out->job = BwSpan_FromString(request->job);
        out->spec = (BwSpan){(const char *)&spec, sizeof(spec)};
        out->service = BwSpan_FromString("svc");
        out->requirement =
            BwSpan_FromString(request->label != NULL ? request->label : "");
        out->resources.cpu_milli = spec.cpu;
        out->step = request->step;
        out->priority = request->priority;
        out->spread_max = request->spread_max;
        out->is_exclusive = request->is_exclusive;
        out->route = BwSpan_FromString("route");
        out->requested_us = renewal_clock_us(w, peer);
        out->expected_us = spec.run_us;
        if (request->declared_permille != 0)
            out->expected_us = spec.run_us * request->declared_permille / 1000;
        out->due_in_us = request->due_us;
        out->wait_us = request->wait_us != 0 ? request->wait_us : FOREVER_US;
        if (request->must_not_wait)
            out->wait_us = 0;
        out->deadline_in_us = placement.deadline_us - w->now_us;
        out->tasks = &task;
        out->task_count = 1;
        BwSupervisor_OnMessage(&w->supervisor, w->now_us, id, &message);
    }
    return first;
}

void
World_StopJob(World *w, uint32_t id, uint64_t ref)
{
    BwMessage message = {.kind = BW_MSG_STOP};

    message.u.stop.ref = ref;
    for (guint i = 0; i < w->placements->len; i++) {
        Placement *placement = World_FindPlacement(w, i);

        if (placement->peer == id && placement->ref == ref)
            placement->is_stopped = true;
    }
    BwSupervisor_OnMessage(&w->supervisor, w->now_us, id, &message);
}

/* --------------------------------------------------------- heartbeats */

void
World_DeliverHeartbeat(World *w, const Heartbeat *from)
{
    char instance[16];
    BwWorkerHeartbeat heartbeat = {0};

    g_snprintf(instance, sizeof(instance), "i-%u", from->instance);
    heartbeat.instance = BwSpan_FromString(instance);
    heartbeat.service = BwSpan_FromString("svc");
    heartbeat.domain = BwSpan_FromString("zone");
    heartbeat.labels[0] = BwSpan_FromString("rack");
    heartbeat.label_count = 1;
    heartbeat.capacity.cpu_milli = from->capacity_cpu;
    heartbeat.has_capacity = !from->is_gone;
    heartbeat.clock_ms = from->is_gone ? 0 : from->clock_ms;
    heartbeat.sequence = from->sequence;
    heartbeat.born_ms = from->is_gone ? 0 : from->born_ms;
    heartbeat.is_leaving = from->is_leaving;
    heartbeat.is_gone = from->is_gone;
    heartbeat.is_recalled = from->is_recalled;
    BwSupervisor_OnHeartbeat(&w->supervisor, w->now_us, &heartbeat);
}

Heartbeat
World_MakeHeartbeat(World *w)
{
    return (Heartbeat){.due_us = w->now_us,
                       .instance = w->worker.instance,
                       .born_ms = w->worker.born_ms,
                       .sequence = ++w->worker.sequence,
                       .clock_ms = World_Clock(w),
                       .capacity_cpu = w->worker.capacity_cpu,
                       .is_leaving = w->worker.is_leaving};
}

static void
run_heartbeats(World *w)
{
    if (w->sends_heartbeats && !w->worker.is_down &&
        w->now_us >= w->next_heartbeat_us) {
        Heartbeat heartbeat = World_MakeHeartbeat(w);

        w->next_heartbeat_us = w->now_us + HEARTBEAT_US;
        if (w->rand != NULL && g_rand_int_range(w->rand, 0, 10) == 0)
            heartbeat.due_us +=
                (uint64_t)g_rand_int_range(w->rand, 0, 4000000);
        g_array_append_val(w->heartbeats, heartbeat);
    }
    for (guint i = 0; i < w->heartbeats->len;) {
        Heartbeat heartbeat = g_array_index(w->heartbeats, Heartbeat, i);

        if (w->now_us < heartbeat.due_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(w->heartbeats, i);
        World_DeliverHeartbeat(w, &heartbeat);
    }
}

/* -------------------------------------------------------------- world */

static void
on_log(void *ctx, const char *event, const BwWorkerTask *task, uint32_t count,
       const char *reason)
{
    World *w = ctx;

    g_assert_nonnull(task);
    g_assert_nonnull(reason);
    w->declines_logged += strcmp(event, "decline") == 0 ? count : 0;
    w->stops_logged += strcmp(event, "stop") == 0 ? count : 0;
}

static void
on_log_worker(void *ctx, const char *event, uint32_t count, const char *reason)
{
    (void)ctx;
    (void)count;
    g_assert_nonnull(event);
    g_assert_nonnull(reason);
}

static const BwSupervisorPort port = {on_send, on_start, on_stop,
                                      on_poll, on_log,   on_log_worker};

void
World_Run(World *w, uint64_t span_us)
{
    uint64_t until_us = w->now_us + span_us;

    while (w->now_us < until_us) {
        w->now_us += STEP_US;
        run_worker(w);
        run_calls(w);
        run_replies(w);
        run_heartbeats(w);
        BwSupervisor_Tick(&w->supervisor, w->now_us);
        check_worker(w);
    }
}

void
World_RestartSupervisor(World *w)
{
    for (guint i = 0; i < w->peers->len; i++) {
        Peer *peer = &g_array_index(w->peers, Peer, i);

        if (peer->is_up)
            peer->disconnected_us = w->now_us;
        peer->is_up = false;
    }
    BwSupervisor_Finish(&w->supervisor);
    BwSupervisor_Init(&w->supervisor, &w->limits, &port, w);
    w->supervisor_generation++;
}

void
World_Init(World *w, GRand *rand)
{
    memset(w, 0, sizeof(*w));
    w->rand = rand;
    w->now_us = START_US;
    w->latency_us = 50000;
    w->late_order_delay_us = LATE_ORDER_MIN_US;
    w->limits = (BwSupervisorLimits){.session_us = SESSION_US,
                                     .lease_us = LEASE_US,
                                     .lease_max_us = LEASE_MAX_US,
                                     .stop_us = STOP_US,
                                     .poll_wait_us = POLL_US,
                                     .answer_us = ANSWER_TIMEOUT_US};
    w->calls = g_ptr_array_new_with_free_func(free_call);
    w->heartbeats = g_array_new(FALSE, TRUE, sizeof(Heartbeat));
    w->replies = g_array_new(FALSE, TRUE, sizeof(SessionReply));
    w->placements = g_array_new(FALSE, TRUE, sizeof(Placement));
    w->peers = g_array_new(FALSE, TRUE, sizeof(Peer));
    w->start_order = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    w->crashed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    w->worker.running = g_array_new(FALSE, TRUE, sizeof(Task));
    w->worker.ended = g_array_new(FALSE, TRUE, sizeof(Task));
    w->worker.ended_runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w->worker.capacity_cpu = CAPACITY_CPU;
    w->sends_heartbeats = true;
    World_RestartWorker(w);
    BwSupervisor_Init(&w->supervisor, &w->limits, &port, w);
}

void
World_Finish(World *w)
{
    BwSupervisor_Finish(&w->supervisor);
    g_ptr_array_free(w->calls, TRUE);
    g_array_free(w->heartbeats, TRUE);
    g_array_free(w->replies, TRUE);
    g_array_free(w->placements, TRUE);
    g_array_free(w->peers, TRUE);
    g_array_free(w->start_order, TRUE);
    g_array_free(w->crashed, TRUE);
    g_array_free(w->worker.running, TRUE);
    g_array_free(w->worker.ended, TRUE);
    g_hash_table_destroy(w->worker.ended_runs);
}

uint32_t
World_Open(World *w)
{
    uint32_t peer;

    World_Init(w, NULL);
    peer = World_OpenPeer(w);
    World_Run(w, 200000);
    g_assert_cmpint(w->supervisor.phase, ==, BW_WORKER_READY);
    g_assert_true(World_FindPeer(w, peer)->is_clear);
    return peer;
}

void
World_AssertEmpty(const World *w)
{
    const BwSupervisor *s = &w->supervisor;

    g_assert_true(BwSupervisor_IsIdle(s));
    g_assert_cmpuint(s->used.cpu_milli, ==, 0);
    g_assert_cmpuint(s->queued_count, ==, 0);
    g_assert_cmpuint(s->queued_urgent, ==, 0);
    g_assert_null(s->queue);
    g_assert_cmpuint(s->tasks_without_peer, ==, 0);
    g_assert_cmpuint(w->worker.running->len, ==, 0);
}

void
World_AssertKind(World *w, uint32_t placement, uint32_t kind)
{
    g_assert_cmpuint(World_FindPlacement(w, placement)->kind, ==, kind);
}

void
World_AssertDeclined(World *w, uint32_t placement, uint32_t reason)
{
    World_AssertKind(w, placement, BW_OUTCOME_NOT_RUN);
    g_assert_cmpuint(World_FindPlacement(w, placement)->reason, ==, reason);
}
