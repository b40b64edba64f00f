/* test_revision.c -- every reader of the log comes to the same text

   A log in memory with retention, writers that race, and readers that start
   late, are paused past retention, or write renewals from an old state.  The
   reference reader has read every record; no reader may ever hold a text that
   differs from the one the reference held under the same revision. */

#include <glib.h>
#include <stdlib.h>

#include "brasswing.h"

#define RECORDS 400
#define READERS 6
#define ROUNDS 300
#define MAX_REVISIONS (RECORDS + 1)

typedef struct Reader {
    BwRevision revision;
    uint64_t next;
    uint64_t text; /* offset of the record whose text is in force */
    uint64_t highest;
} Reader;

typedef struct World {
    GRand *rand;
    BwRevisionRecord records[RECORDS];
    uint64_t texts[RECORDS]; /* of the record: offset of the original */
    uint64_t first, next, retain;
    Reader reference;
    Reader readers[READERS];
    uint64_t by_revision[MAX_REVISIONS]; /* text of each, by the reference */
} World;

static void
apply(Reader *reader, const World *world, uint64_t offset)
{
    const BwRevisionRecord *record = &world->records[offset];
    BwRevisionVerdict verdict = BwRevision_Apply(&reader->revision, record);

    if (verdict == BW_REVISION_ACCEPTED)
        reader->text = world->texts[offset];
    reader->next = offset + 1;
    if (reader->revision.is_synced && reader->revision.next_offset <= offset)
        reader->next = reader->revision.next_offset;
}

/* Reads up to `count` records. */
static void
read_some(Reader *reader, const World *world, uint32_t count)
{
    BwRevision_OnTruncated(&reader->revision, world->first);
    if (reader->next < world->first)
        reader->next = world->first;
    while (count-- > 0 && reader->next < world->next)
        apply(reader, world, reader->next);
    g_assert_cmpuint(reader->revision.number, >=, reader->highest);
    reader->highest = reader->revision.number;
    if (reader->highest > 0)
        g_assert_cmpuint(reader->text, ==,
                         world->by_revision[reader->highest]);
}

static void
append(World *world, const BwRevisionRecord *record, uint64_t text)
{
    uint64_t offset = world->next++;

    world->records[offset] = *record;
    world->records[offset].offset = offset;
    world->texts[offset] = record->is_renewal ? text : offset;
    apply(&world->reference, world, offset);
    world->by_revision[world->reference.revision.number] =
        world->reference.text;
    if (world->next - world->first > world->retain)
        world->first = world->next - world->retain;
}

/* A writer publishes on a base that it read some time ago. */
static void
publish(World *world, const Reader *writer)
{
    BwRevisionRecord record = {.base = writer->revision.number,
                               .is_valid =
                                   g_rand_int_range(world->rand, 0, 8) > 0,
                               .publish_id = {"", 0}};

    append(world, &record, 0);
}

static void
renew(World *world, const Reader *writer)
{
    BwRevisionRecord record = {.number = writer->revision.number,
                               .as_of = writer->revision.next_offset,
                               .set_at = writer->revision.offset,
                               .is_renewal = true,
                               .publish_id = {"", 0}};

    if (writer->revision.is_synced)
        append(world, &record, writer->text);
}

static void
start_reader(Reader *reader)
{
    BwRevision_Init(&reader->revision);
    reader->next = 0;
    reader->text = 0;
    reader->highest = 0;
}

static void
step(World *world)
{
    Reader *reader =
        &world->readers[g_rand_int_range(world->rand, 0, READERS)];

    switch (g_rand_int_range(world->rand, 0, 8)) {
    case 0:
        renew(world, reader); /* possibly from an old state */
        break;
    case 1:
        renew(world, &world->reference);
        break;
    case 2:
        start_reader(reader);
        break;
    case 3:
    case 4:
        publish(world, reader);
        break;
    default:
        read_some(reader, world,
                  (uint32_t)g_rand_int_range(world->rand, 1, 40));
        break;
    }
}

static void
test_same_text(void)
{
    uint32_t anchored_late = 0;

    for (uint32_t seed = 1; seed <= ROUNDS; seed++) {
        World *world = g_new0(World, 1);

        world->rand = g_rand_new_with_seed(seed);
        world->retain = (uint64_t)g_rand_int_range(world->rand, 8, 60);
        start_reader(&world->reference);
        for (uint32_t i = 0; i < READERS; i++)
            start_reader(&world->readers[i]);
        while (world->next < RECORDS - 4)
            step(world);
        /* One renewal more, and every reader has the same revision. */
        renew(world, &world->reference);
        for (uint32_t i = 0; i < READERS; i++) {
            Reader *reader = &world->readers[i];

            read_some(reader, world, RECORDS * 2);
            g_assert_true(reader->revision.is_synced);
            g_assert_cmpuint(reader->revision.number, ==,
                             world->reference.revision.number);
            anchored_late += reader->revision.start_offset > 0;
        }
        g_rand_free(world->rand);
        g_free(world);
    }
    g_assert_cmpuint(anchored_late, >, ROUNDS);
}

/* Without the first records, the winner and the loser of a race look alike. */
static void
test_late_reader_waits(void)
{
    BwRevision revision;
    BwRevisionRecord loser = {.offset = 7, .base = 0, .is_valid = true};
    BwRevisionRecord stale = {
        .offset = 8, .number = 1, .as_of = 3, .is_renewal = true};
    BwRevisionRecord renewal = {
        .offset = 9, .number = 2, .as_of = 6, .is_renewal = true};

    BwRevision_Init(&revision);
    BwRevision_OnTruncated(&revision, 5);
    g_assert_cmpint(BwRevision_Apply(&revision, &loser), ==,
                    BW_REVISION_UNDECIDED);
    g_assert_cmpint(BwRevision_Apply(&revision, &stale), ==,
                    BW_REVISION_UNDECIDED);
    g_assert_cmpint(BwRevision_Apply(&revision, &renewal), ==,
                    BW_REVISION_ACCEPTED);
    g_assert_cmpuint(revision.next_offset, ==, 6);
    g_assert_cmpint(BwRevision_Apply(&revision, &loser), ==,
                    BW_REVISION_CONFLICT);
}

static void
test_renewal_due(void)
{
    BwRenewal renewal = {.offset = 100, .renew_at_us = 5000};

    g_assert_false(BwRenewal_IsDue(&renewal, 4999, 0, 1000));
    g_assert_true(BwRenewal_IsDue(&renewal, 5000, 0, 101));
    g_assert_false(BwRenewal_IsDue(&renewal, 0, 50, 150));
    g_assert_true(BwRenewal_IsDue(&renewal, 0, 51, 151));
    g_assert_true(BwRenewal_IsDue(&renewal, 0, 101, 102));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/revision/same-text", test_same_text);
    g_test_add_func("/revision/late-reader-waits", test_late_reader_waits);
    g_test_add_func("/revision/renewal-due", test_renewal_due);
    return g_test_run();
}
