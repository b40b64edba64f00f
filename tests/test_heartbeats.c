/* test_heartbeats.c -- heartbeats that other writers send to a supervisor

   They name lives that are not at the worker's address.  Guards against a
   supervisor that takes such a life for its worker: it would refuse tasks
   until the next heartbeat of the true one, and the process after it would
   recall the wrong one.
*/

#include <glib.h>

#include "supervisor_world.h"

#define SEEDS 100
#define BORN_MS 1700000000000ull
#define STRANGER_INTERVAL_US 300000
#define STRANGE_INSTANCE 900
#define STEPS 2000
/* After a restart of the worker: a heartbeat of the new life has come, though
   single ones are late, and a poll has been answered. */
#define SETTLED_US (8 * HEARTBEAT_US + POLL_US + ANSWER_TIMEOUT_US)

/* A worker that tells its start, known and ready. */
static uint32_t
open_world(World *w)
{
    uint32_t peer = World_Open(w);

    World_RestartWorker(w);
    w->worker.born_ms = BORN_MS;
    World_Run(w, 3 * HEARTBEAT_US);
    return peer;
}

static void
assert_known(const World *w)
{
    const BwSupervisor *s = &w->supervisor;
    char instance[16];

    g_snprintf(instance, sizeof(instance), "i-%u", w->worker.instance);
    g_assert_cmpstr(s->instance, ==, instance);
    g_assert_cmpuint(s->born_ms, ==, w->worker.born_ms);
    g_assert_cmpint(s->phase, ==, BW_WORKER_READY);
    g_assert_false(s->is_worker_leaving);
    g_assert_cmpuint(s->capacity.cpu_milli, ==, w->worker.capacity_cpu);
}

static Heartbeat
make_strange(World *w)
{
    Heartbeat strange = World_MakeHeartbeat(w);

    w->worker.sequence--;
    strange.instance = STRANGE_INSTANCE;
    strange.sequence = 1000000;
    strange.clock_ms = 1ull << 52;
    strange.capacity_cpu = 1ull << 40;
    return strange;
}

/* The idle worker was replaced by the stranger's, and tasks were declined
   until its own next heartbeat. */
static void
test_stranger_is_ignored(void)
{
    World w;
    uint32_t peer = open_world(&w);
    Heartbeat strange;

    for (uint32_t i = 0; i < 10; i++) {
        uint32_t task;

        strange = make_strange(&w);
        strange.is_leaving = i % 2 == 0;
        World_DeliverHeartbeat(&w, &strange);
        assert_known(&w);
        task = World_Place(&w, peer,
                           &(PlaceRequest){.job = "a", .run_us = 50000});
        World_Run(&w, STRANGER_INTERVAL_US);
        World_AssertKind(&w, task, BW_OUTCOME_DONE);
        assert_known(&w);
    }
    g_assert_cmpuint(w.supervisor.counters.heartbeats_ignored, ==, 10);
    World_Finish(&w);
}

/* A later start under the worker's name would have been believed. */
static void
test_strange_start_is_ignored(void)
{
    World w;
    uint32_t peer = open_world(&w);
    Heartbeat strange = make_strange(&w);

    strange.instance = w.worker.instance;
    strange.born_ms = BORN_MS + 1;
    World_DeliverHeartbeat(&w, &strange);
    World_Run(&w, STRANGER_INTERVAL_US);
    assert_known(&w);
    g_assert_cmpuint(w.supervisor.counters.heartbeats_ignored, ==, 1);
    World_RebornWorker(&w);
    World_Run(&w, SETTLED_US);
    assert_known(&w);
    World_Place(&w, peer, &(PlaceRequest){.job = "a", .run_us = 50000});
    World_Run(&w, STRANGER_INTERVAL_US);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

/* The first heartbeat that a supervisor gets is a stranger's: the worker is
   used from its own next one on. */
static void
test_stranger_comes_first(void)
{
    World w;
    Heartbeat strange;

    World_Init(&w, NULL);
    World_OpenPeer(&w);
    w.sends_heartbeats = false;
    strange = make_strange(&w);
    World_DeliverHeartbeat(&w, &strange);
    World_Run(&w, STRANGER_INTERVAL_US);
    g_assert_cmpint(w.supervisor.phase, ==, BW_WORKER_NONE);
    w.sends_heartbeats = true;
    World_Run(&w, 2 * HEARTBEAT_US);
    assert_known(&w);
    World_Finish(&w);
}

/* A record on the store was another writer's, or of a life whose numbers were
   higher: the worker's own heartbeats were ignored as older, also that it
   leaves. */
static void
test_recalled_sequence(void)
{
    World w;
    Heartbeat recalled, own;

    open_world(&w);
    World_RestartSupervisor(&w);
    World_OpenPeer(&w);
    recalled = World_MakeHeartbeat(&w);
    recalled.is_recalled = true;
    recalled.sequence = 1ull << 52;
    World_DeliverHeartbeat(&w, &recalled);
    w.worker.is_leaving = true;
    own = World_MakeHeartbeat(&w);
    World_DeliverHeartbeat(&w, &own);
    g_assert_true(w.supervisor.is_worker_leaving);
    World_Finish(&w);
}

/* A heartbeat of another instance, or of another life of the known one. */
static Heartbeat
make_random_strange(World *w)
{
    Heartbeat strange = make_strange(w);

    strange.sequence = g_rand_int(w->rand);
    strange.clock_ms = g_rand_int(w->rand);
    strange.capacity_cpu = g_rand_int(w->rand);
    strange.is_leaving = g_rand_boolean(w->rand);
    if (g_rand_boolean(w->rand))
        strange.instance += (uint32_t)g_rand_int_range(w->rand, 0, 3);
    else
        strange.instance = w->worker.instance;
    strange.born_ms = 0;
    if (g_rand_boolean(w->rand))
        strange.born_ms =
            BORN_MS + 1000 + (uint64_t)g_rand_int_range(w->rand, 0, 1000);
    return strange;
}

/* Returns when the worker was restarted, or 0 if it was not. */
static uint64_t
restart_randomly(World *w)
{
    if (g_rand_int_range(w->rand, 0, 600) != 0)
        return 0;
    if (g_rand_boolean(w->rand))
        World_RebornWorker(w);
    else
        World_RestartWorker(w);
    w->next_heartbeat_us = w->now_us;
    return w->now_us;
}

/* Whatever strangers send, the supervisor knows its worker as its own
   heartbeats alone describe it, but for the time after a restart. */
static void
test_random_strangers(void)
{
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        World w;
        uint64_t restarted_us = 0;
        uint32_t peer;

        World_Init(&w, g_rand_new_with_seed(seed));
        w.latency_us = 2000;
        w.worker.born_ms = BORN_MS;
        peer = World_OpenPeer(&w);
        for (uint32_t i = 0; i < STEPS; i++) {
            uint64_t at_us = restart_randomly(&w);

            restarted_us = at_us != 0 ? at_us : restarted_us;
            if (g_rand_int_range(w.rand, 0, 60) == 0) {
                Heartbeat strange = make_random_strange(&w);

                World_DeliverHeartbeat(&w, &strange);
            }
            if (g_rand_int_range(w.rand, 0, 10) == 0)
                World_Place(&w, peer,
                            &(PlaceRequest){.job = "a",
                                            .step = i,
                                            .run_us = 50000,
                                            .must_not_wait = true});
            World_Run(&w, STEP_US);
            if (w.now_us > restarted_us + SETTLED_US)
                assert_known(&w);
        }
        g_rand_free(w.rand);
        World_Finish(&w);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/heartbeats/stranger", test_stranger_is_ignored);
    g_test_add_func("/heartbeats/strange-start",
                    test_strange_start_is_ignored);
    g_test_add_func("/heartbeats/stranger-first", test_stranger_comes_first);
    g_test_add_func("/heartbeats/recalled-sequence", test_recalled_sequence);
    g_test_add_func("/heartbeats/random-strangers", test_random_strangers);
    return g_test_run();
}
