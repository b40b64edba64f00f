/* test_evacuations.c -- evacuations of failure domains: the order of what is
   known, and what a supervisor does

   Operators ask for evacuations and take them back by records of a log, which
   dispatchers read at different times, some only by way of others.  Guards
   against an older state that replaces a newer one: tasks would start in a
   domain that is being emptied, or a domain would stay empty for good.

   The load at a supervisor that is told to take no more is a full worker with
   a queue: its queued tasks wait for room that nobody may give them.
*/

#include <string.h>

#include <glib.h>

#include "evacuations.h"
#include "supervisor_world.h"

#define NODES 6
#define RECORDS 40
#define DOMAINS 4
#define EXCHANGES 400
#define SEEDS 2000

static const char *const domain_names[DOMAINS] = {"a", "b", "c", "d"};

typedef struct Record {
    uint32_t domain;
    bool is_evacuated;
} Record;

static BwSpan
span(const char *text)
{
    return BwSpan_FromString(text);
}

static void
test_order(void)
{
    BwEvacuations state = {0}, newer = {.version = 9};

    g_assert_true(BwEvacuations_Set(&state, 4, span("a"), true));
    g_assert_true(BwEvacuations_Set(&state, 5, span("b"), true));
    g_assert_false(BwEvacuations_Set(&state, 5, span("a"), false));
    g_assert_true(BwEvacuations_Contains(&state, span("a")));
    g_assert_true(BwEvacuations_Set(&state, 6, span("a"), false));
    g_assert_false(BwEvacuations_Contains(&state, span("a")));
    g_assert_true(BwEvacuations_Contains(&state, span("b")));
    g_assert_true(BwEvacuations_Set(&state, 7, span("a"), true));
    BwEvacuations_List(&newer, span("c"));
    g_assert_true(BwEvacuations_Replace(&state, &newer));
    g_assert_false(BwEvacuations_Contains(&state, span("a")));
    g_assert_true(BwEvacuations_Contains(&state, span("c")));
    newer.version = 8;
    g_assert_false(BwEvacuations_Replace(&state, &newer));
}

/* A name that cannot be kept changes nothing, so a later record of the same
   log still counts. */
static void
test_names(void)
{
    BwEvacuations state = {0};
    char longest[BW_NAME_BYTES_MAX + 1];

    memset(longest, 'x', sizeof(longest));
    longest[BW_NAME_BYTES_MAX] = '\0';
    g_assert_false(BwEvacuations_Set(&state, 1, span(""), true));
    g_assert_false(BwEvacuations_Set(&state, 1, span(longest), true));
    longest[BW_NAME_BYTES_MAX - 1] = '\0';
    g_assert_true(BwEvacuations_Set(&state, 1, span(longest), true));
    for (uint32_t i = 0; i < BW_EVACUATED_DOMAINS_MAX + 2; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "d%u", i);
        BwEvacuations_List(&state, span(name));
        BwEvacuations_List(&state, span(name));
    }
    g_assert_cmpuint(state.domain_count, ==, BW_EVACUATED_DOMAINS_MAX);
    g_assert_true(BwEvacuations_Contains(&state, span(longest)));
    g_assert_false(BwEvacuations_Set(&state, 2, span("one-more"), true));
    g_assert_cmpuint(state.version, ==, 1);
}

/* The state after the first `count` records of the log. */
static BwEvacuations
state_at(const Record *log, uint32_t count)
{
    BwEvacuations state = {0};

    for (uint32_t i = 0; i < DOMAINS; i++) {
        bool is_evacuated = false;

        for (uint32_t j = 0; j < count; j++) {
            if (log[j].domain == i)
                is_evacuated = log[j].is_evacuated;
        }
        if (is_evacuated)
            BwEvacuations_List(&state, span(domain_names[i]));
    }
    state.version = count;
    return state;
}

/* Nodes read the log on from where they are, read its newest state, start
   again with nothing, or get the state of another node.  Whatever they know is
   the log's state at their version, and one reader is enough for all. */
static void
test_exchanges(void)
{
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        GRand *rand = g_rand_new_with_seed(seed);
        BwEvacuations nodes[NODES] = {0};
        Record log[RECORDS] = {0};
        uint32_t written = 0;

        for (uint32_t i = 0; i < EXCHANGES; i++) {
            uint32_t at = (uint32_t)g_rand_int_range(rand, 0, NODES);
            uint32_t from = (uint32_t)g_rand_int_range(rand, 0, NODES);
            BwEvacuations *node = &nodes[at];
            BwEvacuations expected;

            switch (g_rand_int_range(rand, 0, 12)) {
            case 0:
                if (written < RECORDS) {
                    log[written].domain =
                        (uint32_t)g_rand_int_range(rand, 0, DOMAINS);
                    log[written++].is_evacuated = g_rand_boolean(rand);
                }
                break;
            case 1:
                expected = state_at(log, written);
                BwEvacuations_Replace(node, &expected);
                break;
            case 2:
                memset(node, 0, sizeof(*node));
                break;
            case 3:
            case 4:
                if (node->version > 0 && node->version < written) {
                    const Record *next = &log[node->version];

                    g_assert_true(BwEvacuations_Set(
                        node, node->version + 1,
                        span(domain_names[next->domain]), next->is_evacuated));
                }
                break;
            default:
                BwEvacuations_Replace(node, &nodes[from]);
                break;
            }
            expected = state_at(log, (uint32_t)node->version);
            g_assert_true(BwEvacuations_Equal(node, &expected));
        }
        nodes[0] = state_at(log, written);
        for (uint32_t i = 1; i < NODES; i++) {
            BwEvacuations_Replace(&nodes[i], &nodes[i - 1]);
            g_assert_true(BwEvacuations_Equal(&nodes[i], &nodes[0]));
        }
        g_rand_free(rand);
    }
}

static void
tell(World *w, uint32_t peer, uint64_t version, bool is_evacuated)
{
    BwMessage message = {.kind = BW_MSG_EVACUATE};

    message.u.evacuate.version = version;
    message.u.evacuate.is_evacuated = is_evacuated;
    BwSupervisor_OnMessage(&w->supervisor, w->now_us, peer, &message);
}

/* What runs ends by itself and is reported; what is queued goes back at once,
   and what comes later too, until it is taken back. */
static void
test_full_worker(void)
{
    World w;
    uint32_t peer = World_Open(&w), first, later, again;

    first = World_Place(
        &w, peer, &(PlaceRequest){.job = "a", .count = 6, .run_us = 500000});
    World_Run(&w, 100000);
    tell(&w, peer, 8, true);
    g_assert_true(World_FindPeer(&w, peer)->is_leaving);
    World_AssertDeclined(&w, first + 4, BW_DECLINE_EVACUATED);
    World_AssertDeclined(&w, first + 5, BW_DECLINE_EVACUATED);
    later = World_Place(&w, peer, &(PlaceRequest){.job = "b"});
    World_AssertDeclined(&w, later, BW_DECLINE_EVACUATED);
    World_Run(&w, 900000);
    for (uint32_t i = 0; i < 4; i++)
        World_AssertKind(&w, first + i, BW_OUTCOME_DONE);
    World_AssertEmpty(&w);
    g_assert_cmpuint(w.starts, ==, 4);
    tell(&w, peer, 9, false);
    g_assert_false(World_FindPeer(&w, peer)->is_leaving);
    again = World_Place(&w, peer, &(PlaceRequest){.job = "c", .run_us = 1000});
    World_Run(&w, 100000);
    World_AssertKind(&w, again, BW_OUTCOME_DONE);
    World_Finish(&w);
}

/* A dispatcher that was cut off repeats what has been taken back since, and
   one that has just started knows nothing. */
static void
test_older_dispatcher(void)
{
    World w;
    uint32_t peer = World_Open(&w), other = World_OpenPeer(&w), task;

    tell(&w, peer, 8, true);
    tell(&w, other, 7, false);
    g_assert_true(w.supervisor.is_evacuated);
    tell(&w, other, 8, false);
    g_assert_true(w.supervisor.is_evacuated);
    task = World_Place(&w, other, &(PlaceRequest){.job = "a"});
    World_AssertDeclined(&w, task, BW_DECLINE_EVACUATED);
    World_ClosePeer(&w, other);
    other = World_OpenPeer(&w);
    g_assert_true(World_FindPeer(&w, other)->is_leaving);
    tell(&w, peer, 9, false);
    tell(&w, other, 8, true);
    g_assert_false(w.supervisor.is_evacuated);
    World_Finish(&w);
}

/* A start that the worker refused is not repeated once the domain is
   evacuated. */
static void
test_refused_start(void)
{
    World w;
    uint32_t peer = World_Open(&w), task;

    w.worker.fence = w.supervisor.fence + 1000000;
    task = World_Place(&w, peer, &(PlaceRequest){.job = "a"});
    tell(&w, peer, 8, true);
    World_Run(&w, 300000);
    g_assert_cmpuint(w.starts, ==, 0);
    World_AssertKind(&w, task, BW_OUTCOME_NOT_RUN);
    World_AssertEmpty(&w);
    World_Finish(&w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evacuations/order", test_order);
    g_test_add_func("/evacuations/names", test_names);
    g_test_add_func("/evacuations/exchanges", test_exchanges);
    g_test_add_func("/evacuations/full-worker", test_full_worker);
    g_test_add_func("/evacuations/older-dispatcher", test_older_dispatcher);
    g_test_add_func("/evacuations/refused-start", test_refused_start);
    return g_test_run();
}
