/* test_backfill.c -- large tasks among small ones on a full worker

   The load: small tasks at about four fifths of the room arrive all the time,
   with large ones among them, which need three of the worker's four cores.
   Where whatever fits is started, the large ones wait for a gap that the small
   ones take each time.  Guards against a reservation that delays the first
   task past what was promised, that leaves a gap empty although something
   fits, or that is given twice.
*/

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "backfill.h"
#include "resources.h"
#include "supervisor_world.h"

#define CASES 20000
#define ENDS_MAX_COUNT 12
#define MS 1000ull

/* ------------------------------------------------------------ decision */

static BwResources
room(uint64_t cpu_milli)
{
    BwResources resources = {cpu_milli, cpu_milli, 0};

    return resources;
}

static void
test_reservation(void)
{
    BwExpectedEnd ends[] = {{300 * MS, room(1000)},
                            {100 * MS, room(1000)},
                            {200 * MS, room(1500)}};
    BwResources left = room(500), need = room(2500), small = room(500);
    BwReservation reservation =
        BwBackfill_Reserve(&left, ends, G_N_ELEMENTS(ends), &need, 10 * MS);

    g_assert_cmpuint(reservation.start_us, ==, 200 * MS);
    g_assert_cmpuint(reservation.spare.cpu_milli, ==, 500);
    g_assert_true(BwBackfill_MayOvertake(&reservation, &small, 200 * MS));
    g_assert_cmpuint(reservation.spare.cpu_milli, ==, 500);
    g_assert_true(BwBackfill_MayOvertake(&reservation, &small, 900 * MS));
    g_assert_false(BwBackfill_MayOvertake(&reservation, &small, 900 * MS));
    g_assert_true(BwBackfill_MayOvertake(&reservation, &small, 150 * MS));
}

/* Returns whether `need` fits at `at_us` beside the tasks that have not ended
   by then. */
static bool
fits_at(uint64_t capacity, const BwExpectedEnd *ends, uint32_t count,
        uint64_t need, uint64_t at_us)
{
    uint64_t used = 0;

    for (uint32_t i = 0; i < count; i++)
        used += ends[i].end_us > at_us ? ends[i].resources.cpu_milli : 0;
    return used + need <= capacity;
}

/* Whatever overtakes, the first task fits at the time of its reservation, and
   not before that time without them; a task that ends by then, or needs no
   more than is left over, is let through. */
static void
test_promise(void)
{
    GRand *rand = g_rand_new_with_seed(5);

    for (uint32_t i = 0; i < CASES; i++) {
        BwExpectedEnd ends[2 * ENDS_MAX_COUNT];
        uint64_t capacity = (uint64_t)g_rand_int_range(rand, 4, 64) * 1000;
        uint64_t used = 0, need, now_us = 7 * MS;
        uint32_t count = 0, wanted = (uint32_t)g_rand_int_range(rand, 1, 13);
        BwResources left, needed;
        BwReservation reservation;

        while (count < wanted && count < ENDS_MAX_COUNT && used < capacity) {
            uint64_t cpu = (uint64_t)g_rand_int_range(
                rand, 1, (gint32)(capacity - used) + 1);

            ends[count].end_us =
                now_us + (uint64_t)g_rand_int_range(rand, 0, 1000) * MS;
            ends[count++].resources = room(cpu);
            used += cpu;
        }
        left = room(capacity - used);
        if (used == 0 || left.cpu_milli == capacity)
            continue;
        need = left.cpu_milli +
               (uint64_t)g_rand_int_range(rand, 1, (gint32)used + 1);
        needed = room(need);
        reservation = BwBackfill_Reserve(&left, ends, count, &needed, now_us);
        g_assert_true(
            fits_at(capacity, ends, count, need, reservation.start_us));
        g_assert_false(
            fits_at(capacity, ends, count, need, reservation.start_us - 1) &&
            reservation.start_us > now_us);
        for (uint32_t j = 0; j < 8 && count < 2 * ENDS_MAX_COUNT; j++) {
            uint64_t free_milli = left.cpu_milli;
            uint64_t spare_milli = reservation.spare.cpu_milli;
            uint64_t end_us =
                now_us + (uint64_t)g_rand_int_range(rand, 1, 1500) * MS;
            BwResources own;
            bool may;

            if (free_milli == 0)
                break;
            own = room(
                (uint64_t)g_rand_int_range(rand, 1, (gint32)free_milli + 1));
            may = BwBackfill_MayOvertake(&reservation, &own, end_us);
            g_assert_true(may == (end_us <= reservation.start_us ||
                                  own.cpu_milli <= spare_milli));
            if (!may)
                continue;
            ends[count].end_us = end_us;
            ends[count++].resources = own;
            BwResources_Subtract(&left, &own);
            g_assert_true(
                fits_at(capacity, ends, count, need, reservation.start_us));
        }
    }
    g_rand_free(rand);
}

/* --------------------------------------------------------------- load */

typedef struct Waits {
    uint64_t large_us; /* longest wait of a large task */
    uint64_t large_sum_us;
    uint64_t small_sum_us;
    uint32_t large;
    uint32_t small;
    uint64_t busy_milli_us; /* work done */
} Waits;

typedef struct Pending {
    uint32_t placement;
    uint64_t placed_us;
    bool is_large;
    uint64_t run_us;
    uint32_t cpu;
} Pending;

static uint32_t
declared(GRand *rand, uint32_t error_permille)
{
    if (error_permille == 0)
        return 1000;
    return (uint32_t)g_rand_int_range(rand, (gint32)(1000 - error_permille),
                                      (gint32)(1001 + error_permille));
}

/* Plays 20 s of small tasks (1 of 4 cores, 40 to 80 ms) at about four fifths
   of the room, and a large one (3 cores, 80 ms) each 700 ms.  Declared
   run times are off by up to `error_permille`, either way. */
static Waits
play(BwBackfillPolicy policy, uint32_t seed, uint32_t error_permille)
{
    World w;
    Waits waits = {0};
    GRand *rand = g_rand_new_with_seed(seed);
    GArray *pending = g_array_new(FALSE, FALSE, sizeof(Pending));
    uint32_t peer = World_Open(&w);
    uint64_t end_us = w.now_us + 20 * 1000 * MS, large_us = w.now_us;

    w.supervisor.limits.backfill = policy;
    w.latency_us = 1000;
    while (w.now_us < end_us) {
        uint32_t arrivals = (uint32_t)g_rand_int_range(rand, 0, 100) < 48;
        bool is_large = w.now_us >= large_us;

        if (is_large)
            large_us += 700 * MS;
        for (uint32_t i = 0; i < arrivals + is_large; i++) {
            bool is_this_large = is_large && i == 0;
            char job[32];
            Pending p = {
                .placed_us = w.now_us,
                .is_large = is_this_large,
                .run_us = is_this_large
                              ? 80 * MS
                              : (uint64_t)g_rand_int_range(rand, 40, 81) * MS,
                .cpu = is_this_large ? 3000 : 1000};

            g_snprintf(job, sizeof(job), "j%u", w.placements->len);
            p.placement =
                World_Place(&w, peer,
                            &(PlaceRequest){.job = job,
                                            .cpu = p.cpu,
                                            .run_us = p.run_us,
                                            .declared_permille = declared(
                                                rand, error_permille)});
            g_array_append_val(pending, p);
        }
        World_Run(&w, STEP_US * 2);
        for (guint i = 0; i < pending->len;) {
            const Pending *p = &g_array_index(pending, Pending, i);
            uint64_t wait_us;

            if (World_FindPlacement(&w, p->placement)->kind == 0) {
                i++;
                continue;
            }
            wait_us = w.now_us - p->placed_us - p->run_us;
            World_AssertKind(&w, p->placement, BW_OUTCOME_DONE);
            waits.busy_milli_us += p->run_us * p->cpu;
            if (p->is_large) {
                waits.large++;
                waits.large_sum_us += wait_us;
                if (wait_us > waits.large_us)
                    waits.large_us = wait_us;
            }
            else {
                waits.small++;
                waits.small_sum_us += wait_us;
            }
            g_array_remove_index_fast(pending, i);
        }
    }
    World_Finish(&w);
    g_array_free(pending, TRUE);
    g_rand_free(rand);
    return waits;
}

static uint64_t
mean_us(uint64_t sum_us, uint32_t count)
{
    return sum_us / MAX(count, 1);
}

static void
print_waits(const char *policy, uint32_t error_permille, uint32_t seed,
            const Waits *waits)
{
    g_test_message(
        "%s, estimates off by %u permille, seed %u: %u large ones wait "
        "%u us, at most %u us; small ones %u us; %u core-ms done",
        policy, error_permille, seed, waits->large,
        (unsigned)mean_us(waits->large_sum_us, waits->large),
        (unsigned)waits->large_us,
        (unsigned)mean_us(waits->small_sum_us, waits->small),
        (unsigned)(waits->busy_milli_us / 1000000));
}

static void
test_load(void)
{
    static const uint32_t errors[] = {0, 400};

    for (size_t e = 0; e < G_N_ELEMENTS(errors); e++) {
        for (uint32_t seed = 1; seed <= 5; seed++) {
            Waits greedy = play(BW_BACKFILL_GREEDY, seed, errors[e]);
            Waits easy = play(BW_BACKFILL_EASY, seed, errors[e]);

            g_assert_cmpuint(MIN(greedy.large, easy.large), >, 0);
            g_assert_cmpuint(MIN(greedy.small, easy.small), >, 0);
            print_waits("greedy", errors[e], seed, &greedy);
            print_waits("easy", errors[e], seed, &easy);
            g_assert_cmpuint(2 * mean_us(easy.large_sum_us, easy.large), <=,
                             mean_us(greedy.large_sum_us, greedy.large));
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backfill/reservation", test_reservation);
    g_test_add_func("/backfill/promise", test_promise);
    g_test_add_func("/backfill/load", test_load);
    return g_test_run();
}
