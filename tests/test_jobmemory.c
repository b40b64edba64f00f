/* test_jobmemory.c -- the memory of jobs that have ended

   Guards against a late request that starts its job anew, one that is answered
   with the end of another queue's job, and a memory that grows with the jobs.
*/

#include <glib.h>

#include "brasswing.h"
#include "jobmemory.h"

#define SECOND_US 1000000ull

static void
add(BwJobMemory *memory, uint64_t now_us, uint32_t number)
{
    char name[16];

    g_snprintf(name, sizeof(name), "%u", number);
    BwJobMemory_Add(memory, now_us, BwSpan_FromString("q"),
                    BwSpan_FromString(name), BW_STATE_CANCELLED);
}

static bool
is_known(const BwJobMemory *memory, uint64_t now_us, const char *queue,
         uint32_t number)
{
    char name[16];

    g_snprintf(name, sizeof(name), "%u", number);
    return BwJobMemory_Find(memory, now_us, BwSpan_FromString(queue),
                            BwSpan_FromString(name)) != NULL;
}

static void
test_until(void)
{
    BwJobMemory memory = {0};

    g_assert_false(is_known(&memory, SECOND_US, "q", 1));
    add(&memory, SECOND_US, 1);
    g_assert_true(is_known(&memory, SECOND_US + BW_JOB_MEMORY_US - 1, "q", 1));
    g_assert_false(is_known(&memory, SECOND_US + BW_JOB_MEMORY_US, "q", 1));
    g_assert_false(is_known(&memory, SECOND_US, "p", 1));
    g_assert_false(is_known(&memory, SECOND_US, "q", 2));
    BwJobMemory_Finish(&memory);
}

/* The last end of a job counts. */
static void
test_again(void)
{
    BwJobMemory memory = {0};
    BwSpan queue = BwSpan_FromString("q"), name = BwSpan_FromString("1");

    add(&memory, SECOND_US, 1);
    BwJobMemory_Add(&memory, 2 * SECOND_US, queue, name, BW_STATE_COMPLETED);
    g_assert_cmpint(
        BwJobMemory_Find(&memory, 2 * SECOND_US, queue, name)->state, ==,
        BW_STATE_COMPLETED);
    g_assert_true(is_known(&memory, SECOND_US + BW_JOB_MEMORY_US, "q", 1));
    g_assert_cmpuint(memory.next, ==, 1);
    BwJobMemory_Finish(&memory);
}

static void
test_full(void)
{
    BwJobMemory memory = {0};

    for (uint32_t i = 0; i < BW_JOB_MEMORY_MAX + 10; i++)
        add(&memory, SECOND_US + i, i);
    g_assert_cmpuint(memory.forgotten, ==, 10);
    g_assert_cmpuint(HASH_COUNT(memory.by_key), ==, BW_JOB_MEMORY_MAX);
    g_assert_false(is_known(&memory, 2 * SECOND_US, "q", 9));
    g_assert_true(is_known(&memory, 2 * SECOND_US, "q", 10));
    g_assert_true(
        is_known(&memory, 2 * SECOND_US, "q", BW_JOB_MEMORY_MAX + 9));
    /* Those whose time is over make room without being counted. */
    for (uint32_t i = 0; i < BW_JOB_MEMORY_MAX; i++)
        add(&memory, 2 * SECOND_US + BW_JOB_MEMORY_US, i + 100000);
    g_assert_cmpuint(memory.forgotten, ==, 10);
    BwJobMemory_Finish(&memory);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/jobmemory/until", test_until);
    g_test_add_func("/jobmemory/again", test_again);
    g_test_add_func("/jobmemory/full", test_full);
    return g_test_run();
}
