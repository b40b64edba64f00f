/* test_revision.c -- tests that all readers of the log agree on the
   configuration of each revision

   Simulates a log in memory that drops its oldest records, with concurrent
   writers, and with readers that start late, miss records that were dropped,
   or write renewals from an outdated state.  The reference reader applies
   every record as soon as it is appended.  No reader may ever have a
   configuration that differs from the one that the reference reader had at the
   same revision.
*/

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
    uint64_t text_offset; /* offset of the configuration in force */
    uint64_t highest_revision;
} Reader;

typedef struct Simulation {
    GRand *random;
    BwRevisionRecord records[RECORDS];
    uint64_t text_offsets[RECORDS]; /* of each record: offset of the config
                                       record with its text */
    uint64_t first, next, retention;
    Reader reference;
    Reader readers[READERS];
    uint64_t text_by_revision[MAX_REVISIONS]; /* of the reference
                                                 reader */
} Simulation;

static void
apply(Reader *reader, const Simulation *simulation, uint64_t offset)
{
    const BwRevisionRecord *record = &simulation->records[offset];
    BwRevisionVerdict verdict = BwRevision_Apply(&reader->revision, record);

    if (verdict == BW_REVISION_ACCEPTED)
        reader->text_offset = simulation->text_offsets[offset];
    reader->next = offset + 1;
    if (reader->revision.is_synced && reader->revision.next_offset <= offset)
        reader->next = reader->revision.next_offset;
}

/* Applies up to `count` records and checks the reader's state. */
static void
read_some(Reader *reader, const Simulation *simulation, uint32_t count)
{
    BwRevision_OnTruncated(&reader->revision, simulation->first);
    if (reader->next < simulation->first)
        reader->next = simulation->first;
    while (count-- > 0 && reader->next < simulation->next)
        apply(reader, simulation, reader->next);
    g_assert_cmpuint(reader->revision.number, >=, reader->highest_revision);
    reader->highest_revision = reader->revision.number;
    if (reader->highest_revision > 0)
        g_assert_cmpuint(
            reader->text_offset, ==,
            simulation->text_by_revision[reader->highest_revision]);
}

static void
append(Simulation *simulation, const BwRevisionRecord *record,
       uint64_t text_offset)
{
    uint64_t offset = simulation->next++;

    simulation->records[offset] = *record;
    simulation->records[offset].offset = offset;
    simulation->text_offsets[offset] =
        record->is_renewal ? text_offset : offset;
    apply(&simulation->reference, simulation, offset);
    simulation->text_by_revision[simulation->reference.revision.number] =
        simulation->reference.text_offset;
    if (simulation->next - simulation->first > simulation->retention)
        simulation->first = simulation->next - simulation->retention;
}

/* Publishes with the writer's revision as base, which may be outdated. */
static void
publish(Simulation *simulation, const Reader *writer)
{
    BwRevisionRecord record = {
        .base = writer->revision.number,
        .is_valid = g_rand_int_range(simulation->random, 0, 8) > 0,
        .publish_id = {"", 0}};

    append(simulation, &record, 0);
}

static void
renew(Simulation *simulation, const Reader *writer)
{
    BwRevisionRecord record = {.number = writer->revision.number,
                               .as_of = writer->revision.next_offset,
                               .set_at = writer->revision.offset,
                               .is_renewal = true,
                               .publish_id = {"", 0}};

    if (writer->revision.is_synced)
        append(simulation, &record, writer->text_offset);
}

static void
start_reader(Reader *reader)
{
    BwRevision_Init(&reader->revision);
    reader->next = 0;
    reader->text_offset = 0;
    reader->highest_revision = 0;
}

static void
random_step(Simulation *simulation)
{
    Reader *reader =
        &simulation->readers[g_rand_int_range(simulation->random, 0, READERS)];

    switch (g_rand_int_range(simulation->random, 0, 8)) {
    case 0:
        renew(simulation, reader); /* possibly from an outdated state */
        break;
    case 1:
        renew(simulation, &simulation->reference);
        break;
    case 2:
        start_reader(reader);
        break;
    case 3:
    case 4:
        publish(simulation, reader);
        break;
    default:
        read_some(reader, simulation,
                  (uint32_t)g_rand_int_range(simulation->random, 1, 40));
        break;
    }
}

static void
test_same_text(void)
{
    uint32_t synced_late = 0;

    for (uint32_t seed = 1; seed <= ROUNDS; seed++) {
        Simulation *simulation = g_new0(Simulation, 1);

        simulation->random = g_rand_new_with_seed(seed);
        simulation->retention =
            (uint64_t)g_rand_int_range(simulation->random, 8, 60);
        start_reader(&simulation->reference);
        for (uint32_t i = 0; i < READERS; i++)
            start_reader(&simulation->readers[i]);
        while (simulation->next < RECORDS - 4)
            random_step(simulation);
        /* After one more renewal, all readers reach the same revision. */
        renew(simulation, &simulation->reference);
        for (uint32_t i = 0; i < READERS; i++) {
            Reader *reader = &simulation->readers[i];

            read_some(reader, simulation, RECORDS * 2);
            g_assert_true(reader->revision.is_synced);
            g_assert_cmpuint(reader->revision.number, ==,
                             simulation->reference.revision.number);
            synced_late += reader->revision.start_offset > 0;
        }
        g_rand_free(simulation->random);
        g_free(simulation);
    }
    /* Enough readers started from a renewal, not from the first record. */
    g_assert_cmpuint(synced_late, >, ROUNDS);
}

/* Without the first records, a reader cannot tell the accepted publication
   from one that conflicts with it.  It waits for a renewal that it can use. */
static void
test_late_reader_waits(void)
{
    BwRevision revision;
    BwRevisionRecord conflicting = {.offset = 7, .base = 0, .is_valid = true};
    BwRevisionRecord stale = {
        .offset = 8, .number = 1, .as_of = 3, .is_renewal = true};
    BwRevisionRecord renewal = {
        .offset = 9, .number = 2, .as_of = 6, .is_renewal = true};

    BwRevision_Init(&revision);
    BwRevision_OnTruncated(&revision, 5);
    g_assert_cmpint(BwRevision_Apply(&revision, &conflicting), ==,
                    BW_REVISION_UNDECIDED);
    g_assert_cmpint(BwRevision_Apply(&revision, &stale), ==,
                    BW_REVISION_UNDECIDED);
    g_assert_cmpint(BwRevision_Apply(&revision, &renewal), ==,
                    BW_REVISION_ACCEPTED);
    g_assert_cmpuint(revision.next_offset, ==, 6);
    g_assert_cmpint(BwRevision_Apply(&revision, &conflicting), ==,
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
