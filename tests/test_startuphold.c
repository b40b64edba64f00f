/* test_startuphold.c -- requests that arrive while no configuration is in
   force

   The load: all callers send again within a second of a restart, while the
   store is silent for a time that nobody knows.
*/

#include <stdlib.h>

#include <glib.h>

#include "startuphold.h"

#define MS 1000ull
#define CALLERS 400

static void
test_time(void)
{
    g_assert_cmpuint(BwStartupHold_UntilUs(7 * MS, 2000 * MS, 0), ==, 7 * MS);
    g_assert_cmpuint(BwStartupHold_UntilUs(7 * MS, 0, 0), ==, 7 * MS);
    g_assert_cmpuint(BwStartupHold_UntilUs(7 * MS, 2000 * MS, 500), ==,
                     1007 * MS);
    g_assert_cmpuint(BwStartupHold_UntilUs(7 * MS, 0, 500), >, 7 * MS);
}

typedef struct Caller {
    BwHeldRequest request;
    uint64_t until_us;
} Caller;

static int
compare(const void *left, const void *right)
{
    const Caller *a = left, *b = right;

    return BwStartupHold_Compare(&a->request, &b->request);
}

/* Callers that wait 1.9 to 3.5 s send within the first 800 ms of a silence.
   None is held for more than half of its time; where the silence is shorter
   than half of the shortest, none is refused; the rest is served by priority,
   and within one by arrival. */
static void
test_restart(void)
{
    for (uint32_t seed = 1; seed <= 50; seed++) {
        GRand *rand = g_rand_new_with_seed(seed);
        uint64_t silent_us = (uint64_t)g_rand_int_range(rand, 0, 2500) * MS;
        Caller callers[CALLERS];
        uint32_t refused = 0, count = 0;

        for (uint32_t i = 0; i < CALLERS; i++) {
            Caller caller = {0};
            uint64_t allowed_us =
                (uint64_t)g_rand_int_range(rand, 1900, 3500) * MS;

            caller.request.arrived_us =
                (uint64_t)g_rand_int_range(rand, 0, 800) * MS;
            caller.request.priority = (uint32_t)g_rand_int_range(rand, 0, 3);
            caller.until_us = BwStartupHold_UntilUs(caller.request.arrived_us,
                                                    allowed_us, 500);
            g_assert_cmpuint(caller.until_us - caller.request.arrived_us, <=,
                             allowed_us / 2);
            if (caller.until_us <= silent_us)
                refused++;
            else
                callers[count++] = caller;
        }
        if (silent_us < 950 * MS)
            g_assert_cmpuint(refused, ==, 0);
        qsort(callers, count, sizeof(callers[0]), compare);
        for (uint32_t i = 1; i < count; i++) {
            const BwHeldRequest *before = &callers[i - 1].request;
            const BwHeldRequest *own = &callers[i].request;

            g_assert_true(before->priority < own->priority ||
                          (before->priority == own->priority &&
                           before->arrived_us <= own->arrived_us));
        }
        g_rand_free(rand);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/startuphold/time", test_time);
    g_test_add_func("/startuphold/restart", test_restart);
    return g_test_run();
}
