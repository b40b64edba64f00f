/* test_loopwatch.c -- gaps between ticks and steps of the wall clock */

#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "loopwatch.h"

#define MS 1000ull
#define TICK_US (10 * MS)
#define START_US (3600000 * MS)
#define WALL_US (1700000000000 * MS)
#define STALL_US (5000 * MS)

typedef struct World {
    BwLogger logger;
    BwLoopWatch watch;
    uint64_t now_us, wall_us;
    int output[2]; /* pipe that the logger writes to */
} World;

static void
init(World *world)
{
    *world = (World){.now_us = START_US, .wall_us = WALL_US};
    g_assert_cmpint(pipe(world->output), ==, 0);
    world->logger =
        (BwLogger){.fd = world->output[1], .level = BW_LOG_INFO, .name = "d"};
}

/* Passes `gap_us`, while the wall clock steps by `step_us`, and ticks. */
static void
tick(World *world, uint64_t gap_us, int64_t step_us)
{
    world->now_us += gap_us;
    world->wall_us += gap_us + (uint64_t)step_us;
    BwLoopWatch_Tick(&world->watch, &world->logger, world->now_us,
                     world->wall_us);
}

/* Returns what was logged, without a final newline. */
static char *
finish(World *world)
{
    char text[4096];
    ssize_t length;

    close(world->output[1]);
    length = read(world->output[0], text, sizeof(text));
    close(world->output[0]);
    g_assert_cmpint(length, >=, 0);
    return g_strchomp(g_strndup(text, (size_t)length));
}

static void
test_calm(void)
{
    World world;
    char *log;

    init(&world);
    for (int i = 0; i < 1000; i++)
        tick(&world, TICK_US, i % 2 == 0 ? 200 : -200);
    g_assert_cmpuint(world.watch.stalls, ==, 0);
    g_assert_cmpuint(world.watch.clock_steps, ==, 0);
    g_assert_cmpuint(world.watch.longest_gap_us, ==, TICK_US);
    log = finish(&world);
    g_assert_cmpstr(log, ==, "");
    g_free(log);
}

/* A loop that stood still while the clock went back logs both, once. */
static void
test_step_back(void)
{
    World world;
    BwCounter counters[8];
    char *log;

    init(&world);
    tick(&world, TICK_US, 0);
    tick(&world, STALL_US, -(int64_t)STALL_US);
    tick(&world, TICK_US, 0);
    g_assert_cmpuint(BwLoopWatch_Counters(&world.watch, counters, 0, 8), ==,
                     3);
    g_assert_cmpuint(counters[0].value, ==, 1);
    g_assert_cmpuint(counters[1].value, ==, STALL_US / 1000);
    g_assert_cmpuint(counters[2].value, ==, 1);
    log = finish(&world);
    g_assert_nonnull(strstr(log, " loop_stalled gap_ms=5000"));
    g_assert_nonnull(strstr(log, " clock_stepped back_ms=5000"));
    g_assert_null(strchr(strchr(log, '\n') + 1, '\n'));
    g_free(log);
}

/* A host that was suspended for hours: no step of the clock. */
static void
test_suspended(void)
{
    World world;
    char *log;

    init(&world);
    tick(&world, TICK_US, 0);
    tick(&world, 7200000 * MS, 0);
    g_assert_cmpuint(world.watch.stalls, ==, 1);
    g_assert_cmpuint(world.watch.clock_steps, ==, 0);
    log = finish(&world);
    g_assert_nonnull(strstr(log, " loop_stalled gap_ms=7200000"));
    g_assert_null(strstr(log, "clock_stepped"));
    g_free(log);
}

static void
test_step_ahead(void)
{
    World world;
    char *log;

    init(&world);
    tick(&world, TICK_US, 0);
    tick(&world, TICK_US, (int64_t)STALL_US);
    g_assert_cmpuint(world.watch.stalls, ==, 0);
    g_assert_cmpuint(world.watch.clock_steps, ==, 1);
    log = finish(&world);
    g_assert_nonnull(strstr(log, " clock_stepped ahead_ms=5000"));
    g_free(log);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/loopwatch/calm", test_calm);
    g_test_add_func("/loopwatch/step-back", test_step_back);
    g_test_add_func("/loopwatch/suspended", test_suspended);
    g_test_add_func("/loopwatch/step-ahead", test_step_ahead);
    return g_test_run();
}
