/* test_lives.c -- a worker that starts again under the name that it had

   Its numbers of heartbeats and ends, its clock and its fence start anew, and
   a heartbeat of the life before may arrive late.  Guards against a supervisor
   that takes the new life for the one it knows: tasks that are gone would
   count as running until their lease ends, ends of the new life would be
   skipped since their numbers are lower, and heartbeats ignored as old.
*/

#include <glib.h>

#include "supervisor_world.h"

#define BORN_MS 1700000000000ull
#define LONG_RUN_US 20000000
#define POLLS_INTERVAL_US 20000 /* least time between polls that fail */

/* A worker that tells its start, known and ready. */
static uint32_t
open_world(World *w)
{
    uint32_t peer = World_Open(w);

    World_RestartWorker(w);
    w->worker.born_ms = BORN_MS;
    World_Run(w, 3 * HEARTBEAT_US);
    g_assert_cmpuint(w->supervisor.born_ms, ==, BORN_MS);
    g_assert_cmpint(w->supervisor.phase, ==, BW_WORKER_READY);
    return peer;
}

static void
run_one(World *w, uint32_t peer, const char *job)
{
    uint32_t task =
        World_Place(w, peer, &(PlaceRequest){.job = job, .run_us = 50000});

    World_Run(w, 300000);
    World_AssertKind(w, task, BW_OUTCOME_DONE);
}

/* The poll shows the other life before its heartbeat does. */
static void
test_tasks_are_lost_at_once(void)
{
    World w;
    uint32_t peer = open_world(&w), task;

    for (uint32_t i = 0; i < 5; i++)
        run_one(&w, peer, "before");
    task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 100000);
    World_RebornWorker(&w);
    World_Run(&w, POLL_US + ANSWER_TIMEOUT_US);
    World_AssertKind(&w, task, BW_OUTCOME_CRASHED);
    World_Run(&w, 3 * HEARTBEAT_US);
    g_assert_cmpuint(w.supervisor.born_ms, ==, BORN_MS + 1);
    g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_READY);
    for (uint32_t i = 0; i < 3; i++)
        run_one(&w, peer, "after");
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* The poll breaks with the process, and starts go to the name, so the new life
   carries them out before its start is known.  They were reported as lost with
   the old one while they ran. */
static void
test_started_on_new_life(void)
{
    World w;
    uint32_t peer = open_world(&w), before, after;

    before = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 100000);
    w.sends_heartbeats = false;
    World_RebornWorker(&w);
    after = World_Place(&w, peer, &(PlaceRequest){.job = "b", .first = 7});
    World_Run(&w, 2 * STEP_US);
    g_assert_cmpuint(w.worker.running->len, ==, 1);
    World_Run(&w, 200000);
    g_assert_cmpuint(w.worker.running->len, ==, 0);
    World_AssertKind(&w, before, BW_OUTCOME_CRASHED);
    World_AssertKind(&w, after, BW_OUTCOME_LOST);
    g_assert_cmpuint(w.crash_reports, ==, 1);
    g_assert_cmpuint(w.reported_tasks, ==, 1);
    World_AssertEmpty(&w);
    w.sends_heartbeats = true;
    World_Run(&w, 3 * HEARTBEAT_US);
    run_one(&w, peer, "after");
    World_Finish(&w);
}

/* A worker that breaks every connection was polled again at once each time. */
static void
test_broken_connections(void)
{
    World w;
    uint32_t peer = open_world(&w);
    uint64_t before;

    World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    World_Run(&w, 100000);
    w.worker.breaks_connections = true;
    before = w.supervisor.counters.polls;
    World_Run(&w, 1000000);
    g_assert_cmpuint(w.supervisor.counters.polls - before, <=,
                     1000000 / POLLS_INTERVAL_US + 3);
    World_Finish(&w);
}

/* Between two tasks only the heartbeat tells. */
static void
test_idle_worker(void)
{
    World w;
    uint32_t peer = open_world(&w);
    Heartbeat before;

    for (uint32_t i = 0; i < 5; i++)
        run_one(&w, peer, "before");
    before = World_MakeHeartbeat(&w);
    World_RebornWorker(&w);
    World_Run(&w, 3 * HEARTBEAT_US);
    g_assert_cmpuint(w.supervisor.born_ms, ==, BORN_MS + 1);
    /* Late ones of the life before, and of a writer that tells no start. */
    World_DeliverHeartbeat(&w, &before);
    g_assert_cmpuint(w.supervisor.born_ms, ==, BORN_MS + 1);
    before.born_ms = 0;
    World_DeliverHeartbeat(&w, &before);
    g_assert_cmpuint(w.supervisor.born_ms, ==, BORN_MS + 1);
    before.is_gone = true;
    World_DeliverHeartbeat(&w, &before);
    g_assert_false(w.supervisor.is_worker_leaving);
    run_one(&w, peer, "after");
    World_Finish(&w);
}

/* The fence of the new life is above that of the one before, although its
   clock is behind: a late order of that one is refused. */
static void
test_fence_rises(void)
{
    World w;
    uint32_t peer = open_world(&w);
    uint64_t before;

    World_Run(&w, LONG_RUN_US);
    before = w.supervisor.fence;
    World_RebornWorker(&w);
    w.worker.clock_base_ms = 1;
    World_Run(&w, 3 * HEARTBEAT_US);
    g_assert_cmpuint(w.supervisor.fence, >, before);
    run_one(&w, peer, "after");
    g_assert_cmpuint(w.worker.fence, >, before);
    World_Finish(&w);
}

/* The worker has had the fence of an earlier supervisor, which is far above
   the clock of its new life.  The next supervisor raised its own by one with
   each call and used the worker only minutes later. */
static void
test_fence_of_earlier_supervisor(void)
{
    World w;
    uint32_t peer = open_world(&w);

    World_Run(&w, LONG_RUN_US);
    World_RebornWorker(&w);
    w.worker.clock_base_ms = 1;
    World_Run(&w, 3 * HEARTBEAT_US);
    run_one(&w, peer, "before");
    World_RestartSupervisor(&w);
    peer = World_OpenPeer(&w);
    World_Run(&w, 5 * HEARTBEAT_US);
    g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_READY);
    run_one(&w, peer, "after");
    World_Finish(&w);
}

/* A second crash under the same name is reported too. */
static void
test_crashes_are_reported(void)
{
    World w;
    uint32_t peer = open_world(&w);

    for (uint32_t i = 1; i <= 3; i++) {
        World_Place(&w, peer, &(PlaceRequest){.job = "a"});
        World_Run(&w, 100000);
        World_CrashWorker(&w);
        World_Run(&w, 200000);
        g_assert_cmpuint(w.crash_reports, ==, i);
        World_RebornWorker(&w);
        World_Run(&w, 3 * HEARTBEAT_US + LEASE_US);
        g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_READY);
    }
    World_Finish(&w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/lives/tasks-are-lost-at-once",
                    test_tasks_are_lost_at_once);
    g_test_add_func("/lives/started-on-new-life", test_started_on_new_life);
    g_test_add_func("/lives/broken-connections", test_broken_connections);
    g_test_add_func("/lives/idle-worker", test_idle_worker);
    g_test_add_func("/lives/fence-rises", test_fence_rises);
    g_test_add_func("/lives/fence-of-earlier-supervisor",
                    test_fence_of_earlier_supervisor);
    g_test_add_func("/lives/crashes-are-reported", test_crashes_are_reported);
    return g_test_run();
}
