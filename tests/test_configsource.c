/* test_configsource.c -- which dispatchers are asked for a configuration

   Guards against a large configuration that is sent several times to a
   dispatcher over a thin link while it arrives from the store.
*/

#include <glib.h>

#include "configsource.h"

#define BOUND_US 2000000ull
#define STEP_US 10000ull

static BwConfigSource source;

/* Counts the requests from `from_us` until `until_us`, while `own` is in
   force. */
static uint32_t
count_requests(uint64_t from_us, uint64_t until_us, uint64_t own,
               bool is_arriving)
{
    uint32_t count = 0;

    for (uint64_t now_us = from_us; now_us < until_us; now_us += STEP_US)
        count += BwConfigSource_Next(&source, now_us, own, is_arriving) != 0;
    return count;
}

static void
announce(uint64_t now_us, uint32_t first_link, uint32_t count,
         uint64_t revision, uint64_t own)
{
    for (uint32_t i = 0; i < count; i++)
        BwConfigSource_OnAnnounced(&source, now_us, first_link + i, revision,
                                   own);
}

/* Ten dispatchers have a revision that arrives here from the store for a
   second: none of them sends it as well. */
static void
test_arriving(void)
{
    BwConfigSource_Init(&source, BOUND_US);
    announce(0, 1, 10, 7, 6);
    g_assert_cmpuint(count_requests(0, BOUND_US / 2, 6, true), ==, 0);
    g_assert_cmpuint(count_requests(BOUND_US / 2, BOUND_US, 7, false), ==, 0);
}

/* The store does not answer this dispatcher: an announcer is asked soon, the
   next one when the first is lost, and both within the bound. */
static void
test_lost_announcer(void)
{
    BwConfigSource_Init(&source, BOUND_US);
    announce(0, 1, 2, 7, 6);
    g_assert_cmpuint(BwConfigSource_Next(&source, BOUND_US / 10, 6, false), ==,
                     1);
    g_assert_cmpuint(BwConfigSource_Next(&source, BOUND_US / 10 + 1, 6, false),
                     ==, 0);
    g_assert_cmpuint(BwConfigSource_Next(&source, BOUND_US / 2, 6, false), ==,
                     2);
}

/* The store's answer breaks off: the announcers are asked then. */
static void
test_answer_breaks_off(void)
{
    BwConfigSource_Init(&source, BOUND_US);
    announce(0, 1, 1, 7, 6);
    g_assert_cmpuint(count_requests(0, BOUND_US / 4, 6, true), ==, 0);
    g_assert_cmpuint(BwConfigSource_Next(&source, BOUND_US / 4, 6, false), ==,
                     1);
}

/* The store's answer arrives too slowly: an announcer is asked before the
   bound. */
static void
test_slow_answer(void)
{
    BwConfigSource_Init(&source, BOUND_US);
    announce(0, 1, 1, 7, 6);
    g_assert_cmpuint(count_requests(0, BOUND_US * 3 / 4, 6, true), ==, 1);
}

/* At most one request is under way, and a dispatcher without luck ends. */
static void
test_one_at_a_time(void)
{
    BwConfigSource_Init(&source, BOUND_US);
    announce(0, 1, 10, 7, 6);
    g_assert_cmpuint(count_requests(0, source.timeout_us, 6, false), ==, 1);
    g_assert_cmpuint(
        count_requests(source.timeout_us, 10 * BOUND_US, 6, false), ==,
        BW_CONFIG_SOURCES_MAX - 1);
    announce(10 * BOUND_US, 11, 1, 7, 6);
    g_assert_cmpuint(count_requests(10 * BOUND_US, 11 * BOUND_US, 6, false),
                     ==, 1);
}

/* A newer revision takes the place of an older one; what is in force already,
   or older, is not asked for. */
static void
test_revisions(void)
{
    BwConfigSource_Init(&source, BOUND_US);
    announce(0, 1, 3, 6, 6);
    g_assert_cmpuint(count_requests(0, BOUND_US, 6, false), ==, 0);
    announce(0, 1, 1, 8, 6);
    announce(0, 2, 1, 7, 6);
    announce(0, 3, 1, 9, 6);
    g_assert_cmpuint(BwConfigSource_Next(&source, BOUND_US, 6, false), ==, 3);
    g_assert_cmpuint(count_requests(BOUND_US, 3 * BOUND_US, 9, false), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/configsource/arriving", test_arriving);
    g_test_add_func("/configsource/lost-announcer", test_lost_announcer);
    g_test_add_func("/configsource/answer-breaks-off", test_answer_breaks_off);
    g_test_add_func("/configsource/slow-answer", test_slow_answer);
    g_test_add_func("/configsource/one-at-a-time", test_one_at_a_time);
    g_test_add_func("/configsource/revisions", test_revisions);
    return g_test_run();
}
