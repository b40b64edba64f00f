/* test_supervisor.c -- a worker's resource accounting, and what runs on it

   Directed cases, then random schedules of failures with fixed seeds;
   supervisor_world.h lists what is checked after each step. */

#include "supervisor_world.h"
#include "workertasks.h"

/* ----------------------------------------------------------- directed */

static void
test_resources(void)
{
    World w;
    uint32_t peer = World_Open(&w);
    uint32_t first =
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 6});

    World_Run(&w, 100000);
    g_assert_cmpuint(w.worker.running->len, ==, 4);
    g_assert_cmpuint(w.supervisor.used.cpu_milli, ==, 4000);
    World_StopJob(&w, peer, World_FindPlacement(&w, first)->ref);
    g_assert_cmpuint(w.supervisor.used.cpu_milli, ==, 4000);
    World_Run(&w, 10000);
    g_assert_cmpuint(w.worker.running->len, ==, 4);
    g_assert_cmpuint(w.supervisor.used.cpu_milli, ==, 4000);
    World_Run(&w, 300000);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

static void
test_done(void)
{
    World w;
    uint32_t peer = World_Open(&w);
    uint32_t done = World_Place(
        &w, peer, &(PlaceRequest){.job = "a", .count = 5, .run_us = 200000});
    uint32_t failed = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "b", .run_us = 50000, .end = BW_END_FAILED});

    World_Run(&w, 800000);
    for (uint32_t i = 0; i < 5; i++)
        World_AssertKind(&w, done + i, BW_OUTCOME_DONE);
    World_AssertKind(&w, failed, BW_OUTCOME_FAILED);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* A start without an answer is stopped before its task counts as lost, and its
   resources stay reserved until then.  If the start arrives seconds later, the
   worker has the stop of that run already and refuses the start. */
static void
test_start_unanswered(void)
{
    const Delivery deliveries[] = {DELIVERY_ORDER_LOST, DELIVERY_LATE};

    for (uint32_t i = 0; i < G_N_ELEMENTS(deliveries); i++) {
        World w;
        uint32_t peer = World_Open(&w), task, next;

        w.next_delivery[CALL_START] = deliveries[i];
        w.next_delivery[CALL_STOP] = DELIVERY_ORDER_LOST;
        task = World_Place(&w, peer, &(PlaceRequest){.job = "a", .cpu = 4000});
        next = World_Place(&w, peer, &(PlaceRequest){.job = "b", .cpu = 4000});
        World_Run(&w, 100000);
        World_AssertKind(&w, task, 0);
        g_assert_cmpuint(w.supervisor.used.cpu_milli, ==, 4000);
        World_Run(&w, 800000);
        World_AssertKind(&w, task, BW_OUTCOME_LOST);
        g_assert_cmpuint(w.worker.running->len, ==, 1);
        World_Run(&w, 3000000);
        World_AssertKind(&w, next, 0);
        World_Finish(&w);
    }
}

/* If only the answer of a start is lost, a poll confirms the start and the
   task runs on. */
static void
test_start_answer_lost(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;

    World_Run(&w, 100000);
    w.next_delivery[CALL_START] = DELIVERY_ANSWER_LOST;
    task = World_Place(
        &w, peer, &(PlaceRequest){.job = "a", .cpu = 4000, .run_us = 1000000});
    World_Run(&w, 2 * ANSWER_TIMEOUT_US);
    World_AssertKind(&w, task, 0);
    g_assert_cmpuint(w.supervisor.counters.unanswered, ==, 1);
    g_assert_cmpuint(w.supervisor.counters.stopped, ==, 0);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_Run(&w, 3000000);
    World_AssertKind(&w, task, BW_OUTCOME_DONE);
    World_Finish(&w);
}

/* While answers are being lost, the end of a task is known soon, whichever
   poll loses its answer. */
static void
test_poll_answer_lost(void)
{
    for (uint64_t lost_us = 0; lost_us < 200000; lost_us += 10000) {
        World w;
        uint32_t peer = World_Open(&w), task;

        World_Run(&w, 100000);
        w.next_delivery[CALL_START] = DELIVERY_ANSWER_LOST;
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 2000000});
        World_Run(&w, 4 * ANSWER_TIMEOUT_US);
        task = World_Place(&w, peer,
                           &(PlaceRequest){.job = "b", .run_us = 250000});
        World_Run(&w, lost_us);
        w.next_delivery[CALL_POLL] = DELIVERY_ANSWER_LOST;
        World_Run(&w, 285000 - lost_us);
        World_AssertKind(&w, task, BW_OUTCOME_DONE);
        World_Finish(&w);
    }
}

/* A task without progress is reported as lost.  Other tasks run on, also slow
   ones, and their progress keeps the worker out of quarantine. */
static void
test_stalled(void)
{
    World w;
    uint32_t peer = World_Open(&w), task, slow;

    slow =
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 3000000});
    w.supervisor.tasks_by_key->expected_us = 100000;
    World_Run(&w, 5000);
    w.worker.is_stuck = true;
    task =
        World_Place(&w, peer, &(PlaceRequest){.job = "b", .run_us = 200000});
    World_Run(&w, 50000);
    World_AssertKind(&w, task, 0);
    World_Run(&w, 500000);
    World_AssertKind(&w, task, BW_OUTCOME_LOST);
    g_assert_cmpuint(w.supervisor.quarantine_us, ==, 0);
    World_Run(&w, 3000000);
    World_AssertKind(&w, slow, BW_OUTCOME_DONE);
    World_Finish(&w);
}

/* A worker where no task makes progress is quarantined, at least twice as long
   each time, and then gets one task at a time until one is done. */
static void
test_quarantine(void)
{
    World w;
    uint32_t peer = World_Open(&w), task, quarantine_us = 0;

    w.worker.is_stuck = true;
    for (uint32_t i = 0; i < 3; i++) {
        task = World_Place(
            &w, peer,
            &(PlaceRequest){.job = "a", .step = i, .run_us = 200000});
        World_Run(&w, 400000);
        World_AssertKind(&w, task, BW_OUTCOME_LOST);
        g_assert_cmpuint(w.supervisor.quarantine_us, >=, 2 * quarantine_us);
        quarantine_us = (uint32_t)w.supervisor.quarantine_us;
        task = World_Place(
            &w, peer,
            &(PlaceRequest){.job = "b", .step = i, .must_not_wait = true});
        World_AssertDeclined(&w, task, BW_DECLINE_BUSY);
        World_Run(&w, quarantine_us);
    }
    w.worker.is_stuck = false;
    task =
        World_Place(&w, peer, &(PlaceRequest){.job = "c", .run_us = 100000});
    World_Place(&w, peer, &(PlaceRequest){.job = "d", .run_us = 100000});
    World_Run(&w, 50000);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_Run(&w, 400000);
    World_AssertKind(&w, task, BW_OUTCOME_DONE);
    g_assert_cmpuint(w.supervisor.quarantine_us, ==, 0);
    World_Run(&w, 400000);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* Calls that cannot be sent count as unanswered. */
static void
test_unsendable_calls(void)
{
    World w;
    uint32_t peer = World_Open(&w), lost, next;

    w.unsendable[CALL_START] = 1;
    w.unsendable[CALL_STOP] = 2;
    lost = World_Place(&w, peer, &(PlaceRequest){.job = "a", .cpu = 4000});
    World_AssertKind(&w, lost, 0);
    World_Run(&w, 500000);
    World_AssertKind(&w, lost, BW_OUTCOME_LOST);
    World_AssertEmpty(&w);
    g_assert_cmpuint(w.unsendable[CALL_STOP], ==, 0);
    w.unsendable[CALL_POLL] = 3;
    next = World_Place(
        &w, peer, &(PlaceRequest){.job = "b", .cpu = 4000, .run_us = 100000});
    World_Run(&w, 1500000);
    g_assert_cmpuint(w.unsendable[CALL_POLL], ==, 0);
    World_AssertKind(&w, next, BW_OUTCOME_DONE);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* Once the worker has acknowledged the stop of an unanswered start, one poll
   shows that the task is not there; the supervisor does not wait for the stop
   to take effect. */
static void
test_stop_settles(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;
    uint64_t poll_count;

    World_Run(&w, 100000);
    w.next_delivery[CALL_START] = DELIVERY_ORDER_LOST;
    task = World_Place(&w, peer, &(PlaceRequest){.job = "a", .cpu = 4000});
    World_Run(&w, ANSWER_TIMEOUT_US - STEP_US);
    World_AssertKind(&w, task, 0);
    poll_count = w.supervisor.counters.polls;
    World_Run(&w, 2 * STOP_MAX_US);
    World_AssertKind(&w, task, BW_OUTCOME_LOST);
    g_assert_cmpuint(w.supervisor.counters.polls, >, poll_count);
    g_assert_cmpuint(w.supervisor.used.cpu_milli, ==, 0);
    World_Finish(&w);
}

static void
test_peer_down(void)
{
    World w;
    uint32_t peer = World_Open(&w), other = World_OpenPeer(&w);
    uint32_t kept;

    World_Run(&w, 100000);
    World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 6});
    kept = World_Place(&w, other, &(PlaceRequest){.job = "b"});
    World_Run(&w, 100000);
    World_ClosePeer(&w, peer);
    World_Run(&w, 5000);
    g_assert_cmpuint(w.supervisor.tasks_without_peer, ==, 4);
    g_assert_cmpuint(w.stops_logged, ==, 4);
    World_Run(&w, 200000);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_AssertKind(&w, kept, 0);
    g_assert_cmpuint(w.supervisor.tasks_without_peer, ==, 0);
    World_Finish(&w);
}

static void
test_clear_again(void)
{
    World w;
    uint32_t peer = World_Open(&w), again;

    World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 2});
    World_Run(&w, 100000);
    World_ClosePeer(&w, peer);
    again = World_OpenPeer(&w);
    g_assert_false(World_FindPeer(&w, again)->is_clear);
    World_Run(&w, 300000);
    g_assert_true(World_FindPeer(&w, again)->is_clear);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

static void
test_session_lapses(void)
{
    World w;
    uint32_t peer = World_Open(&w), first;

    first = World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 6});
    World_Run(&w, 100000);
    World_FindPeer(&w, peer)->ignores_renewals = true;
    World_Run(&w, SESSION_US + 200000);
    World_AssertEmpty(&w);
    for (uint32_t i = 0; i < 6; i++)
        World_AssertKind(&w, first + i, BW_OUTCOME_LOST);
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "b"}),
                         BW_DECLINE_NO_SESSION);
    World_FindPeer(&w, peer)->ignores_renewals = false;
    World_Run(&w, SESSION_US);
    World_AssertKind(&w, World_Place(&w, peer, &(PlaceRequest){.job = "b"}),
                     0);
    World_Finish(&w);
}

static void
test_no_session(void)
{
    World w;
    uint32_t peer;

    World_Open(&w);
    peer = World_OpenPeer(&w);
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "a"}),
                         BW_DECLINE_NO_SESSION);
    World_Finish(&w);
}

/* Without tasks the session is renewed rarely and lapses.  A PLACE renews it
   and its task starts at once, unless the PLACE took too long to arrive. */
static void
test_idle_session(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;

    World_Run(&w, 5000000);
    World_FindPeer(&w, peer)->renewal_requests = 0;
    World_Run(&w, 10000000);
    g_assert_cmpuint(World_FindPeer(&w, peer)->renewal_requests, <=, 10);
    g_assert_cmpuint(World_FindPeer(&w, peer)->renewal_requests, >=, 9);
    for (uint32_t i = 0; w.now_us < w.supervisor.peers->valid_until_us; i++) {
        g_assert_cmpuint(i, <, SESSION_US / STEP_US);
        World_Run(&w, STEP_US);
    }
    task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, STEP_US);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_FindPeer(&w, peer)->renewal_requests = 0;
    World_Run(&w, 10000000);
    g_assert_cmpuint(World_FindPeer(&w, peer)->renewal_requests, >=, 55);
    World_AssertKind(&w, task, 0);
    World_StopJob(&w, peer, World_FindPlacement(&w, task)->ref);
    World_Run(&w, 5000000);
    World_FindPeer(&w, peer)->clock_us -= 2 * SESSION_US;
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "b"}),
                         BW_DECLINE_NO_SESSION);
    World_Finish(&w);
}

/* The more dispatchers there are, the sooner after its last task a dispatcher
   counts as idle and gets fewer renewal requests. */
static void
test_idle_after_last_task(void)
{
    const uint32_t counts[] = {16, 64};
    const uint32_t least[] = {10, 2};
    const uint32_t most[] = {13, 5};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        World w;
        uint32_t peer = World_Open(&w);

        while (w.peers->len < counts[i])
            World_OpenPeer(&w);
        World_Run(&w, 10000000);
        World_FindPeer(&w, peer)->renewal_requests = 0;
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 100000});
        World_Run(&w, 2000000);
        g_assert_cmpuint(World_FindPeer(&w, peer)->renewal_requests, >=,
                         least[i]);
        g_assert_cmpuint(World_FindPeer(&w, peer)->renewal_requests, <=,
                         most[i]);
        World_Finish(&w);
    }
}

/* The more idle dispatchers there are, the fewer renewal requests each of them
   gets, down to a limit.  Dispatchers that connect later do not delay a
   request that was announced to others; supervisor_world.c checks this. */
static void
test_many_idle(void)
{
    const uint32_t counts[] = {16, 48, 200};
    const uint32_t most[] = {16 * 10, 17 * 10, 51 * 10};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        World w;
        uint32_t renewal_requests = 0;

        World_Open(&w);
        while (w.peers->len < counts[i])
            World_OpenPeer(&w);
        World_Run(&w, 10000000);
        for (uint32_t j = 1; j <= counts[i]; j++)
            World_FindPeer(&w, j)->renewal_requests = 0;
        World_Run(&w, 10000000);
        for (uint32_t j = 1; j <= counts[i]; j++)
            renewal_requests += World_FindPeer(&w, j)->renewal_requests;
        g_assert_cmpuint(renewal_requests, <=, most[i]);
        g_assert_cmpuint(renewal_requests, >=, 2 * counts[i]);
        while (w.peers->len < 400)
            World_OpenPeer(&w);
        World_Run(&w, 10000000);
        World_Finish(&w);
    }
}

/* A dispatcher without tasks gets the worker's load report soon after others
   have filled the worker. */
static void
test_idle_load_report(void)
{
    World w;
    uint32_t busy = World_Open(&w), idle = World_OpenPeer(&w);

    World_Run(&w, 5000000);
    World_FindPeer(&w, idle)->renewal_requests = 0;
    World_Place(&w, busy, &(PlaceRequest){.job = "a", .count = 4});
    World_Run(&w, SESSION_US / 3 + 2 * STEP_US);
    g_assert_cmpuint(World_FindPeer(&w, idle)->renewal_requests, ==, 1);
    World_Finish(&w);
}

/* The worker stops answering: its tasks are reported as lost only after its
   lease has ended. */
static void
test_lease_lapses(void)
{
    World w;
    uint32_t peer = World_Open(&w), first, again;

    first = World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 4});
    World_Run(&w, 300000);
    w.worker.clock_slow_permille = 20;
    World_Run(&w, 300000);
    w.worker.is_silent = true;
    for (uint32_t i = 0; w.worker.running->len > 0; i++) {
        g_assert_cmpuint(i, <, 2 * LEASE_US / STEP_US);
        World_AssertKind(&w, first, 0);
        World_Run(&w, STEP_US);
    }
    g_assert_true(World_FindPeer(&w, peer)->is_leaving);
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "b"}),
                         BW_DECLINE_LEAVING);
    World_Run(&w, LEASE_US);
    for (uint32_t i = 0; i < 4; i++)
        World_AssertKind(&w, first + i, BW_OUTCOME_LOST);
    g_assert_cmpuint(w.supervisor.used.cpu_milli, ==, 0);
    w.worker.is_silent = false;
    World_Run(&w, 2000000);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    again = World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 4});
    World_Run(&w, 300000);
    g_assert_cmpuint(w.worker.running->len, ==, 4);
    World_AssertKind(&w, again, 0);
    World_Finish(&w);
}

/* The supervisor's estimate of when the lease ends allows for a slow worker
   clock that was read long ago. */
static void
test_slow_clock(void)
{
    World w;
    uint32_t peer = World_Open(&w);
    uint64_t clock_us;

    w.worker.clock_base_ms = World_Clock(&w);
    w.worker.started_us = w.now_us;
    w.worker.clock_slow_permille = 20;
    /* Waits for an answer, so that the next poll has just begun: its wait
       brings no newer clock reading. */
    do {
        clock_us = w.supervisor.clock_read_us;
        World_Run(&w, STEP_US);
    } while (w.supervisor.clock_read_us == clock_us);
    World_Run(&w, 1000000);
    g_assert_cmpuint(w.now_us - w.supervisor.clock_read_us, >=, 990000);
    w.next_delivery[CALL_START] = DELIVERY_ANSWER_LOST;
    World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 10000);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    w.worker.is_silent = true;
    World_Run(&w, 2 * LEASE_US);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

static void
test_restart(void)
{
    World w;
    Heartbeat heartbeat;
    uint32_t peer = World_Open(&w), task;

    World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 3});
    World_Run(&w, 100000);
    w.next_delivery[CALL_START] = DELIVERY_LATE;
    w.late_order_delay_us = 250000;
    World_Place(&w, peer, &(PlaceRequest){.job = "a", .first = 3});
    World_Run(&w, 10000);
    World_RestartSupervisor(&w);
    peer = World_OpenPeer(&w);
    g_assert_false(World_FindPeer(&w, peer)->is_clear);
    heartbeat = World_MakeHeartbeat(&w);
    World_DeliverHeartbeat(&w, &heartbeat);
    g_assert_cmpuint(w.worker.running->len, ==, 3);
    while (!World_FindPeer(&w, peer)->is_clear) {
        g_assert_cmpuint(w.supervisor.counters.started, ==, 0);
        World_Run(&w, STEP_US);
    }
    g_assert_cmpuint(w.worker.running->len, ==, 0);
    World_Run(&w, 500000);
    g_assert_cmpuint(w.starts, ==, 3);
    task = World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 4});
    World_Run(&w, 4000000);
    World_AssertKind(&w, task, 0);
    g_assert_cmpuint(w.worker.running->len, ==, 4);
    World_Finish(&w);
}

/* A supervisor that starts again uses what its predecessor knew of the worker,
   once the worker has confirmed that it is the same instance. */
static void
test_recalled(void)
{
    World w;
    Heartbeat heartbeat;
    uint32_t peer = World_Open(&w), task;

    World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 3});
    World_Run(&w, 100000);
    heartbeat = World_MakeHeartbeat(&w);
    heartbeat.is_recalled = true;
    w.sends_heartbeats = false;
    g_array_set_size(w.heartbeats, 0);
    World_Run(&w, 200000);
    World_RestartSupervisor(&w);
    peer = World_OpenPeer(&w);
    World_DeliverHeartbeat(&w, &heartbeat);
    World_Run(&w, 700000);
    g_assert_true(World_FindPeer(&w, peer)->is_clear);
    g_assert_cmpuint(w.worker.running->len, ==, 0);
    g_assert_cmpuint(w.supervisor.fence, >, heartbeat.clock_ms);
    task =
        World_Place(&w, peer, &(PlaceRequest){.job = "b", .run_us = 100000});
    World_Run(&w, 500000);
    World_AssertKind(&w, task, BW_OUTCOME_DONE);
    World_Finish(&w);
}

/* What is recalled of a worker that has been replaced meanwhile is dropped,
   and the new one is used after its heartbeat. */
static void
test_recalled_replaced(void)
{
    World w;
    Heartbeat heartbeat;
    uint32_t peer, task;

    World_Open(&w);
    heartbeat = World_MakeHeartbeat(&w);
    heartbeat.is_recalled = true;
    w.sends_heartbeats = false;
    g_array_set_size(w.heartbeats, 0);
    w.worker.capacity_cpu = 2000;
    World_RestartWorker(&w);
    World_RestartSupervisor(&w);
    peer = World_OpenPeer(&w);
    World_DeliverHeartbeat(&w, &heartbeat);
    World_Run(&w, 500000);
    g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_NONE);
    task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 10000);
    World_AssertDeclined(&w, task, BW_DECLINE_LEAVING);
    w.sends_heartbeats = true;
    World_Run(&w, 500000);
    g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_READY);
    g_assert_cmpuint(w.supervisor.capacity.cpu_milli, ==, 2000);
    World_Finish(&w);
}

/* A record that arrives after a heartbeat changes nothing. */
static void
test_recalled_late(void)
{
    World w;
    Heartbeat heartbeat;

    World_Open(&w);
    heartbeat = World_MakeHeartbeat(&w);
    heartbeat.instance += 5;
    heartbeat.capacity_cpu = 1;
    heartbeat.is_recalled = true;
    World_DeliverHeartbeat(&w, &heartbeat);
    World_Run(&w, 100000);
    g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_READY);
    g_assert_cmpuint(w.supervisor.capacity.cpu_milli, ==, CAPACITY_CPU);
    World_Finish(&w);
}

static void
test_new_instance(void)
{
    World w;
    uint32_t peer = World_Open(&w), first;

    first = World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 5});
    World_Run(&w, 100000);
    w.worker.capacity_cpu = 2000;
    World_RestartWorker(&w);
    World_Run(&w, 1000000);
    for (uint32_t i = 0; i < 4; i++)
        World_AssertKind(&w, first + i, BW_OUTCOME_CRASHED);
    World_AssertKind(&w, first + 4, BW_OUTCOME_NOT_RUN);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 3});
    World_Run(&w, 100000);
    g_assert_cmpuint(w.worker.running->len, ==, 2);
    World_Finish(&w);
}

/* Dispatchers went on placing by the former capacity, and a task that no
   longer fitted waited for its whole time. */
static void
test_capacity_shrinks(void)
{
    World w;
    uint32_t peer = World_Open(&w), first, large, small;

    first = World_Place(
        &w, peer, &(PlaceRequest){.job = "a", .count = 4, .run_us = 500000});
    large = World_Place(&w, peer, &(PlaceRequest){.job = "b", .cpu = 3000});
    small = World_Place(
        &w, peer, &(PlaceRequest){.job = "c", .cpu = 2000, .run_us = 100000});
    World_Run(&w, 100000);
    World_SetCapacity(&w, 2000);
    World_Run(&w, 205000);
    g_assert_cmpuint(World_FindPeer(&w, peer)->capacity_cpu, ==, 2000);
    World_AssertDeclined(&w, large, BW_DECLINE_UNSUITED);
    for (uint32_t i = 0; i < 4; i++)
        World_AssertKind(&w, first + i, 0);
    World_Run(&w, 400000);
    for (uint32_t i = 0; i < 4; i++)
        World_AssertKind(&w, first + i, BW_OUTCOME_DONE);
    World_AssertKind(&w, small, BW_OUTCOME_DONE);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* What returns is used at once: by what waits there, and by the dispatchers.
 */
static void
test_capacity_grows(void)
{
    World w;
    uint32_t peer = World_Open(&w), waiting;

    World_SetCapacity(&w, 1000);
    World_Run(&w, 400000);
    g_assert_cmpuint(World_FindPeer(&w, peer)->capacity_cpu, ==, 1000);
    waiting = World_Place(
        &w, peer, &(PlaceRequest){.job = "a", .count = 3, .run_us = 1000000});
    World_Run(&w, 50000);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_SetCapacity(&w, 4000);
    World_Run(&w, 210000);
    g_assert_cmpuint(World_FindPeer(&w, peer)->capacity_cpu, ==, 4000);
    g_assert_cmpuint(w.worker.running->len, ==, 3);
    World_AssertKind(&w, waiting, 0);
    World_Finish(&w);
}

static void
test_drain(void)
{
    World w;
    uint32_t peer = World_Open(&w), first;

    first = World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 5});
    World_Run(&w, 100000);
    w.worker.is_leaving = true;
    World_Run(&w, 300000);
    g_assert_true(World_FindPeer(&w, peer)->is_leaving);
    World_AssertDeclined(&w, first + 4, BW_DECLINE_LEAVING);
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "b"}),
                         BW_DECLINE_LEAVING);
    g_assert_cmpuint(w.worker.running->len, ==, 4);
    World_AssertKind(&w, first, 0);
    World_Finish(&w);
}

static void
test_leave(void)
{
    World w;
    uint32_t peer = World_Open(&w), first;

    first = World_Place(
        &w, peer, &(PlaceRequest){.job = "a", .count = 5, .run_us = 500000});
    World_Run(&w, 100000);
    BwSupervisor_Leave(&w.supervisor, w.now_us);
    World_AssertDeclined(&w, first + 4, BW_DECLINE_LEAVING);
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "b"}),
                         BW_DECLINE_LEAVING);
    g_assert_false(BwSupervisor_IsIdle(&w.supervisor));
    World_Run(&w, 700000);
    World_AssertKind(&w, first, BW_OUTCOME_DONE);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

static void
test_fence(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;

    w.worker.fence = World_Clock(&w);
    g_assert_cmpuint(w.worker.fence, >, w.supervisor.fence);
    task =
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 100000});
    World_Run(&w, 500000);
    World_AssertKind(&w, task, BW_OUTCOME_DONE);
    g_assert_cmpuint(w.worker.fence, ==, w.supervisor.fence);
    World_Finish(&w);
}

static void
test_old_run(void)
{
    World w;
    uint32_t peer = World_Open(&w);

    for (uint32_t i = 0; i < 8; i++) {
        uint32_t task = World_Place(
            &w, peer, &(PlaceRequest){.job = "a", .run_us = 100000});

        World_Run(&w, 300000);
        World_AssertKind(&w, task, BW_OUTCOME_DONE);
    }
    g_assert_cmpuint(w.starts, ==, 8);
    World_Finish(&w);
}

static void
test_duplicate(void)
{
    World w;
    uint32_t peer = World_Open(&w), other = World_OpenPeer(&w), task;

    World_Run(&w, 100000);
    task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_AssertDeclined(&w,
                         World_Place(&w, other, &(PlaceRequest){.job = "a"}),
                         BW_DECLINE_DUPLICATE);
    World_Run(&w, 100000);
    World_StopJob(&w, peer, World_FindPlacement(&w, task)->ref);
    World_AssertDeclined(&w,
                         World_Place(&w, other, &(PlaceRequest){.job = "a"}),
                         BW_DECLINE_DUPLICATE);
    World_Run(&w, 200000);
    task = World_Place(&w, other, &(PlaceRequest){.job = "a"});
    World_Run(&w, 100000);
    World_AssertKind(&w, task, 0);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_Finish(&w);
}

static void
test_requirements(void)
{
    World w;
    uint32_t peer = World_Open(&w), first;

    World_AssertDeclined(
        &w, World_Place(&w, peer, &(PlaceRequest){.job = "a", .label = "gpu"}),
        BW_DECLINE_UNSUITED);
    World_AssertKind(
        &w,
        World_Place(&w, peer, &(PlaceRequest){.job = "b", .label = "rack"}),
        0);
    World_AssertDeclined(
        &w, World_Place(&w, peer, &(PlaceRequest){.job = "c", .cpu = 4001}),
        BW_DECLINE_UNSUITED);
    first = World_Place(
        &w, peer, &(PlaceRequest){.job = "d", .count = 3, .spread_max = 2});
    World_AssertKind(&w, first + 1, 0);
    World_AssertDeclined(&w, first + 2, BW_DECLINE_UNSUITED);
    first = World_Place(
        &w, peer, &(PlaceRequest){.job = "d", .step = 1, .spread_max = 2});
    World_AssertKind(&w, first, 0);
    World_Finish(&w);
}

static void
test_priority(void)
{
    World w;
    uint32_t peer = World_Open(&w);
    uint32_t late, soon, first;

    World_Place(&w, peer,
                &(PlaceRequest){.job = "a", .cpu = 4000, .run_us = 200000});
    World_Run(&w, 50000);
    late = World_Place(&w, peer,
                       &(PlaceRequest){.job = "b",
                                       .cpu = 4000,
                                       .run_us = 50000,
                                       .priority = 2,
                                       .due_us = 900000});
    soon = World_Place(&w, peer,
                       &(PlaceRequest){.job = "c",
                                       .cpu = 4000,
                                       .run_us = 50000,
                                       .priority = 2,
                                       .due_us = 800000});
    first = World_Place(&w, peer,
                        &(PlaceRequest){.job = "d",
                                        .cpu = 4000,
                                        .run_us = 50000,
                                        .priority = 1,
                                        .due_us = 990000});
    World_Run(&w, 1000000);
    g_assert_cmpuint(w.start_order->len, ==, 4);
    g_assert_cmpuint(g_array_index(w.start_order, uint32_t, 1), ==, first);
    g_assert_cmpuint(g_array_index(w.start_order, uint32_t, 2), ==, soon);
    g_assert_cmpuint(g_array_index(w.start_order, uint32_t, 3), ==, late);
    World_Finish(&w);
}

/* Small tasks of a less urgent class must not take what becomes free bit by
   bit before a large urgent one. */
static void
test_no_overtaking(void)
{
    World w;
    uint32_t peer = World_Open(&w), urgent;

    World_Place(&w, peer,
                &(PlaceRequest){
                    .job = "a", .count = 3, .cpu = 1000, .run_us = 300000});
    World_Run(&w, 50000);
    urgent = World_Place(
        &w, peer, &(PlaceRequest){.job = "b", .cpu = 2000, .run_us = 50000});
    World_Place(&w, peer,
                &(PlaceRequest){.job = "c",
                                .count = 4,
                                .cpu = 1000,
                                .run_us = 2000000,
                                .priority = 1});
    World_Run(&w, 1000000);
    g_assert_cmpuint(World_FindPlacement(&w, urgent)->kind, ==,
                     BW_OUTCOME_DONE);
    g_assert_cmpuint(g_array_index(w.start_order, uint32_t, 3), ==, urgent);
    World_Run(&w, 5000000);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* A smaller task of the same priority fills what is left. */
static void
test_filling(void)
{
    World w;
    uint32_t peer = World_Open(&w), small;

    World_Place(&w, peer,
                &(PlaceRequest){.job = "a", .cpu = 3000, .run_us = 500000});
    World_Run(&w, 50000);
    World_Place(&w, peer, &(PlaceRequest){.job = "b", .cpu = 2000});
    small = World_Place(&w, peer, &(PlaceRequest){.job = "c", .cpu = 1000});
    World_Run(&w, 100000);
    g_assert_cmpuint(w.start_order->len, ==, 2);
    g_assert_cmpuint(g_array_index(w.start_order, uint32_t, 1), ==, small);
    World_Finish(&w);
}

static void
test_deadline(void)
{
    World w;
    uint32_t peer = World_Open(&w), first, second;

    first = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "a", .cpu = 4000, .deadline_us = 300000});
    second = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "b", .cpu = 4000, .deadline_us = 200000});
    World_Run(&w, 205000);
    World_AssertDeclined(&w, second, BW_DECLINE_LATE);
    World_AssertKind(&w, first, 0);
    World_Run(&w, 400000);
    World_AssertKind(&w, first, BW_OUTCOME_LOST);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* A task is declined if its resources are not free at once, or not within its
   wait limit. */
static void
test_wait_limit(void)
{
    World w;
    uint32_t peer = World_Open(&w), fits, now, soon;

    fits = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "a", .cpu = 3000, .must_not_wait = true});
    now = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "b", .cpu = 3000, .must_not_wait = true});
    soon = World_Place(
        &w, peer, &(PlaceRequest){.job = "c", .cpu = 3000, .wait_us = 100000});
    World_AssertKind(&w, fits, 0);
    World_AssertDeclined(&w, now, BW_DECLINE_BUSY);
    World_Run(&w, 95000);
    World_AssertKind(&w, soon, 0);
    World_Run(&w, 5000);
    World_AssertDeclined(&w, soon, BW_DECLINE_BUSY);
    World_AssertKind(&w, fits, 0);
    World_Finish(&w);
}

/* A PLACE whose tasks may not wait declines only its own tasks; an earlier
   PLACE of the job whose wait limit has passed is left to the tick. */
static void
test_decline_new(void)
{
    World w;
    uint32_t peer = World_Open(&w), first, last;

    World_Place(&w, peer, &(PlaceRequest){.job = "a", .cpu = 4000});
    first = World_Place(
        &w, peer, &(PlaceRequest){.job = "b", .count = 8, .wait_us = 1000});
    w.now_us += 2000;
    w.next_ref--;
    last = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "b", .first = 8, .must_not_wait = true});
    World_AssertDeclined(&w, last, BW_DECLINE_BUSY);
    for (uint32_t i = 0; i < 8; i++)
        World_AssertKind(&w, first + i, 0);
    World_Run(&w, 5000);
    for (uint32_t i = 0; i < 8; i++)
        World_AssertDeclined(&w, first + i, BW_DECLINE_BUSY);
    g_assert_cmpuint(w.declines_logged, ==, 9);
    World_Finish(&w);
}

/* An unhealthy worker refuses all calls and gets no tasks until it is healthy
   again. */
static void
test_unhealthy(void)
{
    World w;
    uint32_t peer = World_Open(&w), first;

    first = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 300000);
    w.worker.is_unhealthy = true;
    World_Run(&w, 10000);
    World_AssertKind(&w, first, 0);
    World_Run(&w, 1500000);
    g_assert_true(World_FindPeer(&w, peer)->is_leaving);
    World_AssertKind(&w, first, BW_OUTCOME_LOST);
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "b"}),
                         BW_DECLINE_LEAVING);
    w.worker.is_unhealthy = false;
    World_Run(&w, 300000);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    first =
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 100000});
    World_Run(&w, 500000);
    World_AssertKind(&w, first, BW_OUTCOME_DONE);
    World_Finish(&w);
}

/* Tasks that are queued for a lost worker are reported as not run. */
static void
test_queue_of_lost_worker(void)
{
    World w;
    uint32_t peer = World_Open(&w), first;

    first = World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 6});
    World_Run(&w, 300000);
    w.worker.is_silent = true;
    World_Run(&w, 2 * LEASE_US + 200000);
    World_AssertKind(&w, first + 3, BW_OUTCOME_LOST);
    World_AssertKind(&w, first + 4, BW_OUTCOME_NOT_RUN);
    World_AssertKind(&w, first + 5, BW_OUTCOME_NOT_RUN);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* Answers of the previous instance that arrive after the new one is known have
   no effect. */
static void
test_late_answer(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;
    BwWorkerAnswer answer = {.verdict = BW_WORKER_OK, .clock_ms = 900000000};

    task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 50000);
    World_RestartWorker(&w);
    World_Run(&w, 1000000);
    World_AssertKind(&w, task, BW_OUTCOME_CRASHED);
    g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_READY);
    BwSupervisor_OnStarted(&w.supervisor, w.now_us, 1, &answer);
    g_assert_cmpuint(w.supervisor.clock_ms, <, 900000000);
    answer.verdict = BW_WORKER_WRONG_INSTANCE;
    BwSupervisor_OnStarted(&w.supervisor, w.now_us, 1, &answer);
    BwSupervisor_OnStopped(&w.supervisor, w.now_us, 1, &answer);
    BwSupervisor_OnPolled(&w.supervisor, w.now_us, 1, START_US, &answer);
    g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_READY);
    World_Finish(&w);
}

/* A heartbeat that was delayed while the worker was replaced twice has no
   effect. */
static void
test_stale_heartbeat(void)
{
    World w;
    uint32_t peer;
    Heartbeat stale;
    uint32_t task;

    World_Init(&w, NULL);
    stale = World_MakeHeartbeat(&w);
    stale.capacity_cpu = 9000;
    World_RestartWorker(&w);
    peer = World_OpenPeer(&w);
    World_Run(&w, 500000);
    World_RestartWorker(&w);
    World_Run(&w, 1000000);
    task =
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 1000000});
    World_Run(&w, 100000);
    World_DeliverHeartbeat(&w, &stale);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    World_Run(&w, 500000);
    World_AssertKind(&w, task, 0);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    g_assert_cmpuint(w.supervisor.capacity.cpu_milli, ==, CAPACITY_CPU);
    World_Run(&w, 500000);
    World_AssertKind(&w, task, BW_OUTCOME_DONE);
    World_DeliverHeartbeat(&w, &stale);
    World_Run(&w, 500000);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    g_assert_cmpuint(w.supervisor.capacity.cpu_milli, ==, CAPACITY_CPU);
    World_Finish(&w);
}

/* A delayed message that an instance before the previous one has ended has no
   effect on the current one. */
static void
test_stale_end(void)
{
    World w;
    uint32_t peer;
    Heartbeat gone;

    World_Init(&w, NULL);
    gone = World_MakeHeartbeat(&w);
    gone.sequence = 1000;
    gone.is_gone = true;
    World_RestartWorker(&w);
    peer = World_OpenPeer(&w);
    World_Run(&w, 500000);
    World_RestartWorker(&w);
    World_Run(&w, 1000000);
    World_DeliverHeartbeat(&w, &gone);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    w.worker.is_leaving = true;
    World_Run(&w, 500000);
    g_assert_true(World_FindPeer(&w, peer)->is_leaving);
    World_Finish(&w);
}

/* An answer to a poll that lists nothing, since its lists are missing, does
   not end the tasks that run. */
static void
test_incomplete_answer(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;
    BwWorkerAnswer answer = {.verdict = BW_WORKER_OK, .is_incomplete = true};

    task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 500000);
    for (uint32_t i = 0; i < 5; i++) {
        answer.clock_ms = World_Clock(&w);
        BwSupervisor_OnPolled(&w.supervisor, w.now_us,
                              w.supervisor.poll_number, w.now_us, &answer);
        World_Run(&w, 100000);
    }
    g_assert_cmpuint(World_FindPlacement(&w, task)->kind, ==, 0);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    g_assert_cmpuint(w.starts, ==, 1);
    World_StopJob(&w, peer, World_FindPlacement(&w, task)->ref);
    World_Run(&w, 1000000);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* A heartbeat that was sent before the worker reported its end does not make
   it usable again. */
static void
test_gone(void)
{
    World w;
    uint32_t peer = World_Open(&w);
    Heartbeat heartbeat = World_MakeHeartbeat(&w);
    Heartbeat gone = {.instance = heartbeat.instance, .is_gone = true};

    w.sends_heartbeats = false;
    World_DeliverHeartbeat(&w, &gone);
    g_assert_true(World_FindPeer(&w, peer)->is_leaving);
    World_DeliverHeartbeat(&w, &heartbeat);
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "a"}),
                         BW_DECLINE_LEAVING);
    World_Finish(&w);
}

/* More tasks end at once than one answer lists. */
static void
test_many(void)
{
    World w;
    uint32_t peer = World_Open(&w);
    uint32_t first = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "a", .count = 700, .cpu = 5, .run_us = 300000});

    World_Run(&w, 100000);
    g_assert_cmpuint(w.worker.running->len, ==, 700);
    World_Run(&w, 500000);
    for (uint32_t i = 0; i < 700; i++)
        World_AssertKind(&w, first + i, BW_OUTCOME_DONE);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

static void
test_busy(void)
{
    World w;
    uint32_t peer = World_Open(&w);
    uint32_t first = World_Place(
        &w, peer,
        &(PlaceRequest){
            .job = "a", .count = BW_SUPERVISOR_TASKS_MAX + 1, .cpu = 4000});

    World_AssertKind(&w, first + BW_SUPERVISOR_TASKS_MAX - 1, 0);
    World_AssertDeclined(&w, first + BW_SUPERVISOR_TASKS_MAX, BW_DECLINE_BUSY);
    World_Finish(&w);
}

/* Two answers list the same end, and the task was placed again in between: the
   second one does not end the new run. */
static void
test_end_again(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;
    BwListedTask end = {.job = BwSpan_FromString("a"),
                        .run = 1,
                        .number = 1,
                        .end = BW_END_FAILED};
    BwWorkerAnswer answer = {.verdict = BW_WORKER_OK,
                             .clock_ms = 1000,
                             .ended = &end,
                             .ended_count = 1};

    task = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "a", .run_us = 50000, .end = BW_END_FAILED});
    while (World_FindPlacement(&w, task)->kind == 0)
        World_Run(&w, STEP_US);
    g_assert_cmpuint(w.supervisor.last_end, ==, 1);
    task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    answer.clock_ms = World_Clock(&w);
    BwSupervisor_OnPolled(&w.supervisor, w.now_us, w.supervisor.poll_number,
                          w.now_us, &answer);
    World_AssertKind(&w, task, 0);
    World_Run(&w, 200000);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_Finish(&w);
}

/* A listed run that is not the one that the supervisor ordered is stopped. */
static void
test_other_run(void)
{
    World w;
    uint32_t peer = World_Open(&w);
    BwListedTask other = {.job = BwSpan_FromString("a"), .run = 7};
    BwWorkerAnswer answer = {
        .verdict = BW_WORKER_OK, .running = &other, .running_count = 1};
    const Call *call;

    w.next_delivery[CALL_START] = DELIVERY_ORDER_LOST;
    World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    BwSupervisor_OnPolled(&w.supervisor, w.now_us, w.supervisor.poll_number,
                          w.now_us, &answer);
    call = g_ptr_array_index(w.calls, w.calls->len - 1);
    if (call->kind == CALL_POLL)
        call = g_ptr_array_index(w.calls, w.calls->len - 2);
    g_assert_cmpint(call->kind, ==, CALL_STOP);
    g_assert_cmpuint(call->task.run, ==, 7);
    g_assert_cmpint(w.supervisor.tasks_by_key->state, ==,
                    BW_WORKER_TASK_STARTING);
    World_Finish(&w);
}

/* Outcome and decline reason for each verdict by which the worker did not
   start a task. */
static void
test_refused(void)
{
    static const struct {
        BwWorkerVerdict verdict;
        uint32_t kind;
        uint32_t reason;
    } cases[] = {
        {BW_WORKER_LATE, BW_OUTCOME_NOT_RUN, BW_DECLINE_LATE},
        {BW_WORKER_NO_ROOM, BW_OUTCOME_NOT_RUN, BW_DECLINE_REFUSED},
        {BW_WORKER_UNHEALTHY, BW_OUTCOME_NOT_RUN, BW_DECLINE_REFUSED},
        {BW_WORKER_BAD_ORDER, BW_OUTCOME_NOT_RUN, BW_DECLINE_REFUSED},
    };

    for (uint32_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        World w;
        BwWorkerAnswer answer = {.verdict = cases[i].verdict};
        uint32_t peer = World_Open(&w), task;

        w.next_delivery[CALL_START] = DELIVERY_ORDER_LOST;
        task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
        g_assert_cmpuint(w.supervisor.used.cpu_milli, ==, 1000);
        BwSupervisor_OnStarted(&w.supervisor, w.now_us,
                               w.supervisor.tasks_by_number->number, &answer);
        World_AssertKind(&w, task, cases[i].kind);
        g_assert_cmpuint(World_FindPlacement(&w, task)->reason, ==,
                         cases[i].reason);
        World_AssertEmpty(&w);
        World_Finish(&w);
    }
}

/* ------------------------------------------------------------- random */

#define SEEDS 200
#define RANDOM_STEPS 3000
#define PEERS 3

static bool
happens(World *w, gint of_10000)
{
    return g_rand_int_range(w->rand, 0, 10000) < of_10000;
}

static uint64_t
between(World *w, uint64_t low, uint64_t high)
{
    return low +
           (uint64_t)g_rand_double_range(w->rand, 0, (double)(high - low));
}

static uint32_t
random_peer(World *w)
{
    uint32_t id;

    do {
        id = (uint32_t)between(w, 0, w->peers->len) + 1;
    } while (!World_FindPeer(w, id)->is_up);
    return id;
}

static void
place_random(World *w, uint32_t peer)
{
    static const char *const jobs[] = {"a", "b", "c", "d", "e", "f",
                                       "g", "h", "i", "j", "k", "l"};
    PlaceRequest request = {0};

    request.job = jobs[between(w, 0, G_N_ELEMENTS(jobs))];
    request.step = (uint32_t)between(w, 0, 2);
    request.first = (uint32_t)between(w, 0, 4);
    request.count = (uint32_t)between(w, 1, 4);
    request.cpu = (uint32_t)between(w, 200, 2500);
    request.run_us = between(w, 10000, 250000);
    if (happens(w, 1000))
        request.run_us = between(w, 1000000, 5000000);
    if (happens(w, 1000))
        request.end = BW_END_FAILED;
    request.priority = (uint32_t)between(w, 0, 3);
    if (happens(w, 2000))
        request.spread_max = (uint32_t)between(w, 1, 4);
    request.due_us = between(w, 0, 1000000);
    request.deadline_us = between(w, 50000, 3000000);
    request.must_not_wait = happens(w, 2000);
    if (happens(w, 3000))
        request.wait_us = between(w, 1000, 500000);
    World_Place(w, peer, &request);
}

static void
replace_worker(World *w)
{
    Heartbeat heartbeat = World_MakeHeartbeat(w);

    if (w->worker.is_leaving) {
        heartbeat.is_gone = true;
        heartbeat.due_us += between(w, 0, 3000000);
        g_array_append_val(w->heartbeats, heartbeat);
    }
    if (w->worker.born_ms != 0 && happens(w, 8000))
        World_RebornWorker(w);
    else
        World_RestartWorker(w);
    w->next_heartbeat_us = w->now_us + between(w, 0, 500000);
}

static void
inject_faults(World *w)
{
    Worker *worker = &w->worker;

    if (happens(w, worker->is_silent ? 100 : 10))
        worker->is_silent = !worker->is_silent;
    if (happens(w, worker->is_unhealthy ? 100 : 5))
        worker->is_unhealthy = !worker->is_unhealthy;
    if (happens(w, worker->is_leaving ? 50 : 3)) {
        if (worker->is_leaving)
            replace_worker(w);
        else
            worker->is_leaving = true;
    }
    if (happens(w, 5))
        replace_worker(w);
    if (happens(w, 20) && w->loss_permille == 0)
        World_SetCapacity(w, between(w, 1, 6) * 1000);
    if (happens(w, worker->is_down ? 100 : 10)) {
        if (worker->is_down)
            replace_worker(w);
        else
            World_CrashWorker(w);
    }
    if (happens(w, 5)) {
        Heartbeat heartbeat = World_MakeHeartbeat(w);

        heartbeat.is_recalled = true;
        World_RestartSupervisor(w);
        if (g_rand_boolean(w->rand))
            World_DeliverHeartbeat(w, &heartbeat);
        for (uint32_t i = 0; i < PEERS; i++)
            World_OpenPeer(w);
    }
}

static void
act_randomly(World *w)
{
    uint32_t peer = random_peer(w);

    if (happens(w, 800))
        place_random(w, peer);
    if (happens(w, 100) && w->next_ref > 0)
        World_StopJob(w, peer,
                      w->next_ref - between(w, 0, MIN(w->next_ref, 5)));
    if (happens(w, World_FindPeer(w, peer)->ignores_renewals ? 200 : 20))
        World_FindPeer(w, peer)->ignores_renewals =
            !World_FindPeer(w, peer)->ignores_renewals;
    if (happens(w, 20)) {
        World_ClosePeer(w, peer);
        World_OpenPeer(w);
    }
}

/* No task runs longer than session, lease and stop allow after its
   dispatcher's session or connection has ended. */
static void
check_sessions(World *w)
{
    for (guint i = 0; i < w->worker.running->len; i++) {
        const Task *task = &g_array_index(w->worker.running, Task, i);
        const Peer *peer =
            World_FindPeer(w, World_FindPlacement(w, task->placement)->peer);
        uint64_t until_us = peer->valid_until_us;
        /* An order that meets a new life names a time on another clock. */
        uint64_t lease_us = w->worker.born_ms != 0 ? w->limits.lease_max_us
                                                   : w->limits.lease_us;

        if (!peer->is_up)
            until_us = MIN(until_us, peer->disconnected_us);
        g_assert_cmpuint(w->now_us, <=,
                         until_us + SESSION_US + lease_us + STOP_MAX_US);
    }
}

/* Without faults every task ends: each placement that was not stopped has one
   outcome, no resources stay reserved, and a new task runs. */
static void
assert_recovers(World *w)
{
    uint32_t peer, task;

    w->loss_permille = 0;
    w->worker.is_silent = false;
    w->worker.is_unhealthy = false;
    if (w->worker.is_leaving || w->worker.is_down)
        replace_worker(w);
    for (guint i = 0; i < w->peers->len; i++)
        g_array_index(w->peers, Peer, i).ignores_renewals = false;
    World_Run(w, LATE_ORDER_MAX_US + 1000000);
    World_AssertEmpty(w);
    for (guint i = 0; i < w->placements->len; i++) {
        const Placement *placement = World_FindPlacement(w, i);

        if (World_FindPeer(w, placement->peer)->is_up &&
            !placement->is_stopped)
            g_assert_cmpuint(placement->outcomes, ==, 1);
    }
    peer = w->peers->len;
    g_assert_true(World_FindPeer(w, peer)->is_clear);
    task =
        World_Place(w, peer, &(PlaceRequest){.job = "last", .run_us = 100000});
    World_Run(w, 1000000);
    World_AssertKind(w, task, BW_OUTCOME_DONE);
}

/* With `tells_start` most restarts of the worker leave it its name, and some
   follow each other at once. */
static void
run_random(uint32_t seed, bool tells_start)
{
    World w;
    gint fault_one_in;
    uint32_t kinds[BW_OUTCOME_CRASHED + 1] = {0};

    World_Init(&w, g_rand_new_with_seed(seed));
    if (seed % 2 == 0)
        w.limits.lease_us = w.limits.lease_max_us = LONG_LEASE_US;
    w.supervisor.limits = w.limits;
    if (seed % 3 == 0)
        w.latency_us = 2000;
    if (tells_start)
        w.worker.born_ms = 1;
    fault_one_in = g_rand_int_range(w.rand, 1, 5);
    w.loss_permille = (uint32_t)g_rand_int_range(w.rand, 0, 30);
    for (uint32_t i = 0; i < PEERS; i++)
        World_OpenPeer(&w);
    for (uint32_t i = 0; i < RANDOM_STEPS; i++) {
        World_Run(&w, STEP_US);
        check_sessions(&w);
        act_randomly(&w);
        if (g_rand_int_range(w.rand, 0, fault_one_in) == 0)
            inject_faults(&w);
        if (tells_start && !w.worker.is_down && happens(&w, 50))
            replace_worker(&w);
    }
    assert_recovers(&w);
    for (guint i = 0; i < w.placements->len; i++)
        kinds[World_FindPlacement(&w, i)->kind]++;
    g_test_message("seed %u: %u starts, %u done, %u failed, %u lost, "
                   "%u crashed, %u not run, %u not reported",
                   seed, w.starts, kinds[BW_OUTCOME_DONE],
                   kinds[BW_OUTCOME_FAILED], kinds[BW_OUTCOME_LOST],
                   kinds[BW_OUTCOME_CRASHED], kinds[BW_OUTCOME_NOT_RUN],
                   kinds[0]);
    g_assert_cmpuint(kinds[BW_OUTCOME_DONE], >, 1);
    g_rand_free(w.rand);
    World_Finish(&w);
}

/* A crash was known half a second later, as a lapsed lease, and meanwhile
   further tasks were sent to the worker. */
static void
test_crash_is_reported_at_once(void)
{
    World w;
    uint32_t peer = World_Open(&w), late, first, queued;

    first = World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 4});
    queued = World_Place(&w, peer, &(PlaceRequest){.job = "b"});
    World_Run(&w, 100000);
    World_CrashWorker(&w);
    World_Run(&w, 20000);
    g_assert_cmpuint(w.crash_reports, ==, 1);
    g_assert_cmpuint(w.reported_tasks, ==, 4);
    g_assert_true(World_FindPeer(&w, peer)->is_leaving);
    World_AssertKind(&w, queued, BW_OUTCOME_NOT_RUN);
    World_AssertKind(&w, first, 0);
    World_AssertDeclined(&w,
                         World_Place(&w, peer, &(PlaceRequest){.job = "c"}),
                         BW_DECLINE_LEAVING);
    World_Run(&w, 2 * LEASE_US);
    for (uint32_t i = 0; i < 4; i++)
        World_AssertKind(&w, first + i, BW_OUTCOME_CRASHED);
    g_assert_cmpuint(w.crash_reports, ==, 1);
    World_RestartWorker(&w);
    World_Run(&w, 500000);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    late = World_Place(&w, peer, &(PlaceRequest){.job = "d", .run_us = 50000});
    World_Run(&w, 300000);
    World_AssertKind(&w, late, BW_OUTCOME_DONE);
    World_Finish(&w);
}

/* A dispatcher that starts would try again what crashed the workers. */
static void
test_crash_is_repeated(void)
{
    World w;
    uint32_t peer = World_Open(&w);

    World_Place(&w, peer, &(PlaceRequest){.job = "a", .count = 2});
    World_Run(&w, 100000);
    World_CrashWorker(&w);
    World_Run(&w, 1000000);
    World_RestartWorker(&w);
    World_Run(&w, 500000);
    g_assert_cmpuint(w.crash_reports, ==, 1);
    World_OpenPeer(&w);
    g_assert_cmpuint(w.crash_reports, ==, 2);
    g_assert_cmpuint(w.reported_tasks, ==, 2);
    World_Run(&w, BW_CRASH_REPORT_US);
    World_OpenPeer(&w);
    g_assert_cmpuint(w.crash_reports, ==, 2);
    World_Finish(&w);
}

/* A worker whose address refuses connections for a moment has not crashed. */
static void
test_crash_is_withdrawn(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;

    task =
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 300000});
    World_Run(&w, 100000);
    World_Place(&w, peer, &(PlaceRequest){.job = "b", .run_us = 10000});
    w.worker.is_down = true;
    World_Run(&w, 50000);
    g_assert_cmpuint(w.crash_reports, ==, 1);
    w.worker.is_down = false;
    World_Run(&w, 150000);
    g_assert_cmpuint(w.crash_withdrawals, ==, 1);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    World_Run(&w, 300000);
    World_AssertKind(&w, task, BW_OUTCOME_DONE);
    World_OpenPeer(&w);
    g_assert_cmpuint(w.crash_reports, ==, 1);
    World_Finish(&w);
}

/* A worker that ends as announced, or without a task, has not crashed. */
static void
test_end_is_no_crash(void)
{
    World w;
    uint32_t peer = World_Open(&w);

    World_Run(&w, 100000);
    World_CrashWorker(&w);
    World_Run(&w, 300000);
    World_RestartWorker(&w);
    World_Run(&w, 500000);
    World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 100000);
    w.worker.is_leaving = true;
    World_Run(&w, 400000);
    World_CrashWorker(&w);
    World_Run(&w, 1000000);
    g_assert_cmpuint(w.crash_reports, ==, 0);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* A task whose start found no connection did not run on the crashed worker. */
static void
test_unsent_start_is_no_suspect(void)
{
    World w;
    uint32_t peer = World_Open(&w), ran, unsent;

    ran = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 100000);
    w.worker.is_down = true;
    unsent = World_Place(&w, peer, &(PlaceRequest){.job = "b", .first = 7});
    World_Run(&w, 20000);
    g_assert_cmpuint(w.crash_reports, ==, 1);
    g_assert_cmpuint(w.reported_tasks, ==, 1);
    World_AssertKind(&w, unsent, BW_OUTCOME_NOT_RUN);
    World_AssertKind(&w, ran, 0);
    World_Finish(&w);
}

/* An exclusive job ran beside others, which were lost with its worker. */
static void
test_exclusive(void)
{
    World w;
    uint32_t peer = World_Open(&w), before, first, after;

    before =
        World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 100000});
    first = World_Place(
        &w, peer,
        &(PlaceRequest){
            .job = "b", .count = 2, .run_us = 100000, .is_exclusive = true});
    after = World_Place(
        &w, peer,
        &(PlaceRequest){.job = "c", .run_us = 100000, .due_us = 500000});
    World_Run(&w, 50000);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_Run(&w, 100000);
    World_AssertKind(&w, before, BW_OUTCOME_DONE);
    g_assert_cmpuint(w.worker.running->len, ==, 2);
    World_AssertKind(&w, first, 0);
    World_Run(&w, 100000);
    World_AssertKind(&w, first, BW_OUTCOME_DONE);
    World_AssertKind(&w, first + 1, BW_OUTCOME_DONE);
    World_AssertKind(&w, after, 0);
    World_Run(&w, 150000);
    World_AssertKind(&w, after, BW_OUTCOME_DONE);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* The dispatcher of a cancelled job may be out of the others' reach: the
   supervisor ends its tasks and starts no more of it. */
static void
test_job_cancelled(void)
{
    World w;
    uint32_t own = World_Open(&w), other = World_OpenPeer(&w), running, queued,
             kept, later;
    BwMessage message = {.kind = BW_MSG_JOB_CANCEL};

    running = World_Place(&w, own, &(PlaceRequest){.job = "a", .cpu = 3000});
    queued = World_Place(&w, own,
                         &(PlaceRequest){.job = "a", .first = 1, .cpu = 3000});
    kept = World_Place(&w, own, &(PlaceRequest){.job = "b", .first = 2});
    World_Run(&w, 100000);
    g_assert_cmpuint(w.worker.running->len, ==, 2);
    message.u.job_cancel.queue = BwSpan_FromString("another");
    message.u.job_cancel.name = BwSpan_FromString("a");
    BwSupervisor_OnMessage(&w.supervisor, w.now_us, other, &message);
    World_Run(&w, 100000);
    World_AssertKind(&w, running, 0);
    message.u.job_cancel.queue = BwSpan_FromString("route");
    BwSupervisor_OnMessage(&w.supervisor, w.now_us, other, &message);
    World_AssertDeclined(&w, queued, BW_DECLINE_CANCELLED);
    World_Run(&w, 200000);
    World_AssertKind(&w, running, BW_OUTCOME_LOST);
    World_AssertKind(&w, kept, 0);
    later =
        World_Place(&w, own, &(PlaceRequest){.job = "a", .run_us = 100000});
    World_AssertDeclined(&w, later, BW_DECLINE_CANCELLED);
    World_Run(&w, BW_JOB_MEMORY_US);
    later =
        World_Place(&w, own, &(PlaceRequest){.job = "a", .run_us = 100000});
    World_Run(&w, 200000);
    World_AssertKind(&w, later, BW_OUTCOME_DONE);
    World_Finish(&w);
}

static void
test_random(void)
{
    for (uint32_t seed = 1; seed <= SEEDS; seed++)
        run_random(seed, false);
}

/* Tasks that a worker had started after a restart under its name were reported
   as lost while they ran. */
static void
test_random_lives(void)
{
    for (uint32_t seed = 1; seed <= SEEDS; seed++)
        run_random(seed, true);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/supervisor/room", test_resources);
    g_test_add_func("/supervisor/done", test_done);
    g_test_add_func("/supervisor/start_unanswered", test_start_unanswered);
    g_test_add_func("/supervisor/start_unsaid", test_start_answer_lost);
    g_test_add_func("/supervisor/end_unsaid", test_poll_answer_lost);
    g_test_add_func("/supervisor/stalled", test_stalled);
    g_test_add_func("/supervisor/suspect", test_quarantine);
    g_test_add_func("/supervisor/unmade", test_unsendable_calls);
    g_test_add_func("/supervisor/stop_settles", test_stop_settles);
    g_test_add_func("/supervisor/peer_down", test_peer_down);
    g_test_add_func("/supervisor/clear_again", test_clear_again);
    g_test_add_func("/supervisor/session_lapses", test_session_lapses);
    g_test_add_func("/supervisor/no_session", test_no_session);
    g_test_add_func("/supervisor/idle_session", test_idle_session);
    g_test_add_func("/supervisor/idle_account", test_idle_load_report);
    g_test_add_func("/supervisor/many_idle", test_many_idle);
    g_test_add_func("/supervisor/soon_quiet", test_idle_after_last_task);
    g_test_add_func("/supervisor/lease_lapses", test_lease_lapses);
    g_test_add_func("/supervisor/slow_clock", test_slow_clock);
    g_test_add_func("/supervisor/restart", test_restart);
    g_test_add_func("/supervisor/recalled", test_recalled);
    g_test_add_func("/supervisor/recalled-replaced", test_recalled_replaced);
    g_test_add_func("/supervisor/recalled-late", test_recalled_late);
    g_test_add_func("/supervisor/new_instance", test_new_instance);
    g_test_add_func("/supervisor/capacity_shrinks", test_capacity_shrinks);
    g_test_add_func("/supervisor/capacity_grows", test_capacity_grows);
    g_test_add_func("/supervisor/drain", test_drain);
    g_test_add_func("/supervisor/leave", test_leave);
    g_test_add_func("/supervisor/fence", test_fence);
    g_test_add_func("/supervisor/old_run", test_old_run);
    g_test_add_func("/supervisor/duplicate", test_duplicate);
    g_test_add_func("/supervisor/suits", test_requirements);
    g_test_add_func("/supervisor/priority", test_priority);
    g_test_add_func("/supervisor/no_overtaking", test_no_overtaking);
    g_test_add_func("/supervisor/filling", test_filling);
    g_test_add_func("/supervisor/deadline", test_deadline);
    g_test_add_func("/supervisor/unhealthy", test_unhealthy);
    g_test_add_func("/supervisor/silent_queue", test_queue_of_lost_worker);
    g_test_add_func("/supervisor/late_answer", test_late_answer);
    g_test_add_func("/supervisor/stale_beat", test_stale_heartbeat);
    g_test_add_func("/supervisor/stale_end", test_stale_end);
    g_test_add_func("/supervisor/incomplete_answer", test_incomplete_answer);
    g_test_add_func("/supervisor/gone", test_gone);
    g_test_add_func("/supervisor/many", test_many);
    g_test_add_func("/supervisor/busy", test_busy);
    g_test_add_func("/supervisor/refused", test_refused);
    g_test_add_func("/supervisor/end_again", test_end_again);
    g_test_add_func("/supervisor/other_run", test_other_run);
    g_test_add_func("/supervisor/patience", test_wait_limit);
    g_test_add_func("/supervisor/take_back", test_decline_new);
    g_test_add_func("/supervisor/crash", test_crash_is_reported_at_once);
    g_test_add_func("/supervisor/crash_repeated", test_crash_is_repeated);
    g_test_add_func("/supervisor/crash_withdrawn", test_crash_is_withdrawn);
    g_test_add_func("/supervisor/end_is_no_crash", test_end_is_no_crash);
    g_test_add_func("/supervisor/unsent_start",
                    test_unsent_start_is_no_suspect);
    g_test_add_func("/supervisor/exclusive", test_exclusive);
    g_test_add_func("/supervisor/job-cancelled", test_job_cancelled);
    g_test_add_func("/supervisor/random", test_random);
    g_test_add_func("/supervisor/random-lives", test_random_lives);
    return g_test_run();
}
