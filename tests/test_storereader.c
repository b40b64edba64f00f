/* test_storereader.c -- a configuration that takes long to arrive, or arrives
   beside an older one

   Over a thin link the answer with a large configuration takes longer than a
   read of a silent store may.  Guards against giving it up while it arrives:
   the next read gets no further, and its bytes keep the link busy.

   An append without an answer may be carried out late, after a newer one.
   Guards against a change that is passed over since an older text follows it
   in the same answer.

   The store of the driver has one record.  The reader is given simulated time;
   only messages are waited for.
*/

#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "brasswing.h"
#include "clock.h"
#include "node.h"
#include "partserver.h"
#include "storereader.h"

#define PARTS 4

typedef struct World {
    BwStoreReader reader;
    PartServer server;
    uint32_t text_bytes;
    uint32_t configs; /* delivered by the reader */
    char revision;    /* in force */
    uint32_t changes; /* of it */
    BwEvacuations evacuations;
} World;

/* ------------------------------------------------------------- driver */

static bool
make_newest(BwStoreTopic topic, BwSpan after, BwHttpRequest *call)
{
    (void)topic;
    (void)after;
    memset(call, 0, sizeof(*call));
    call->method = "GET";
    strcpy(call->path, "/newest");
    return true;
}

/* A page "more" or "last" has one record, of an evacuation; the log has grown
   between the two. */
static bool
read_newest(BwSpan body, BwStorePage *page)
{
    static BwStoreRecord record;
    bool has_more = BwSpan_Equal(body, BwSpan_FromString("more"));
    bool is_last = BwSpan_Equal(body, BwSpan_FromString("last"));

    memset(page, 0, sizeof(*page));
    record.value = body;
    if (has_more || is_last) {
        record.key = BwSpan_FromString(has_more ? "evacuate/a" : "evacuate/b");
        page->records = &record;
        page->record_count = 1;
        page->has_more = has_more;
        page->end = has_more ? 5 : 7;
        return true;
    }
    record.key = BwSpan_FromString("config");
    page->records = &record;
    page->record_count = 1;
    page->end = 1;
    return true;
}

static bool
make_read(BwStoreTopic topic, uint64_t from, uint32_t wait_ms,
          BwHttpRequest *call)
{
    (void)from;
    (void)wait_ms;
    return make_newest(topic, BwSpan_FromString(""), call);
}

/* One record for each byte of the body: 'e' asks for an evacuation and 'w'
   takes it back, all else is a configuration. */
static bool
read_page(uint64_t from, BwSpan body, BwStorePage *page)
{
    static BwStoreRecord records[PARTS];

    memset(page, 0, sizeof(*page));
    page->records = records;
    for (uint32_t i = 0; i < body.size_bytes && i < PARTS; i++) {
        BwStoreRecord *record = &records[page->record_count++];

        bool is_end = body.base[i] == 'w';

        record->key = is_end || body.base[i] == 'e'
                          ? BwSpan_FromString("evacuate/a")
                          : BwSpan_FromString("config");
        record->value = (BwSpan){body.base + i, is_end ? 0 : 1};
        record->offset = from + i;
    }
    page->end = from + page->record_count;
    return true;
}

static BwSpan
config_key(void)
{
    return BwSpan_FromString("config");
}

static bool
read_evacuation_key(BwSpan key, BwSpan *domain)
{
    if (BwSpan_Equal(key, BwSpan_FromString("config")))
        return false;
    domain->base = key.base + strlen("evacuate/");
    domain->size_bytes = key.size_bytes - (uint32_t)strlen("evacuate/");
    return true;
}

static void
release(void *memory)
{
    (void)memory;
}

static const BwDriver driver = {.make_newest = make_newest,
                                .read_newest = read_newest,
                                .make_read = make_read,
                                .read_page = read_page,
                                .config_key = config_key,
                                .read_evacuation_key = read_evacuation_key,
                                .release = release};

/* That of node.c, which is not linked. */
void
BwNode_SendRequest(BwHttpClient *client, BwHttpRequest *request,
                   uint64_t deadline_us, BwHttpCallback callback, void *data)
{
    BwHttpClient_Send(client, request->method,
                      BwSpan_FromString(request->path), request->headers,
                      BwSpan_FromString(""), deadline_us, callback, data);
}

/* ------------------------------------------------------------- reader */

/* The revision of a text is its first byte. */
static void
on_config(void *ctx, BwSpan text)
{
    World *world = ctx;

    g_assert_cmpuint(text.size_bytes, ==, world->text_bytes);
    world->configs++;
    if (text.base[0] <= world->revision)
        return;
    world->revision = text.base[0];
    world->changes++;
}

static void
on_evacuations(void *ctx, const BwEvacuations *evacuations)
{
    World *world = ctx;

    BwEvacuations_Replace(&world->evacuations, evacuations);
}

static void
on_evacuation(void *ctx, uint64_t version, BwSpan domain, bool is_evacuated)
{
    World *world = ctx;

    g_assert_true(
        BwEvacuations_Set(&world->evacuations, version, domain, is_evacuated));
}

static void
on_dispatcher(void *ctx, BwSpan name, BwSpan address)
{
    (void)ctx;
    (void)name;
    (void)address;
}

static const BwStoreReaderEvents events = {on_config, on_evacuations,
                                           on_evacuation, on_dispatcher};

static void
init(World *world, uint32_t text_bytes)
{
    static BwSettings settings;
    static BwLogger logger = {
        .fd = STDERR_FILENO, .level = BW_LOG_ERROR, .name = "d"};
    h2o_loop_t *loop = h2o_evloop_create();

    memset(world, 0, sizeof(*world));
    world->text_bytes = text_bytes;
    PartServer_Init(&world->server, loop);
    strcpy(settings.log.host, "127.0.0.1");
    settings.log.port = world->server.port;
    settings.limits.config_apply_ms = 2000;
    g_assert_true(BwStoreReader_Init(&world->reader, loop, &settings, &logger,
                                     &driver, &events, world));
}

static void
finish(World *world)
{
    BwStoreReader_Finish(&world->reader);
    PartServer_Finish(&world->server);
}

static void
test_answer_in_parts(void)
{
    World world;
    uint64_t now_us = BwClock_Now();
    uint64_t step_us;

    init(&world, PARTS);
    BwStoreReader_Tick(&world.reader, now_us);
    PartServer_ReceiveRequest(&world.server);
    PartServer_Send(&world.server,
                    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n");
    /* All parts together take longer than a first read may without an answer,
       and no part later than the timeout after the one before. */
    step_us = world.reader.pace.timeout_us / (PARTS + 1);
    for (int i = 0; i < PARTS; i++) {
        now_us += step_us;
        BwStoreReader_Tick(&world.reader, now_us);
        g_assert_cmpuint(world.reader.pace.failures, ==, 0);
        PartServer_Send(&world.server, "x");
    }
    g_assert_cmpuint(world.configs, ==, 1);
    g_assert_true(world.reader.has_config);
    finish(&world);
}

/* Reads a page of the records, one byte each, while revision 2 is in force. */
static void
read_records(World *world, const char *records)
{
    char head[64];

    init(world, 1);
    world->revision = '2';
    world->reader.has_config = true;
    world->reader.has_dispatchers = true;
    world->reader.is_announced = true;
    BwStoreReader_Tick(&world->reader, BwClock_Now());
    PartServer_ReceiveRequest(&world->server);
    g_snprintf(head, sizeof(head),
               "HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n",
               strlen(records));
    PartServer_Send(&world->server, head);
    PartServer_Send(&world->server, records);
}

static void
test_older_after_newer(void)
{
    static const char *const pages[] = {"31", "321", "43", "3412", "3421"};
    static const char newest[] = {'3', '3', '4', '4', '4'};

    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        World world;

        read_records(&world, pages[i]);
        g_assert_cmpint(world.revision, ==, newest[i]);
        finish(&world);
    }
}

/* The usual order: the revisions in between are never in force. */
static void
test_burst(void)
{
    World world;

    read_records(&world, "3456");
    g_assert_cmpint(world.revision, ==, '6');
    g_assert_cmpuint(world.changes, ==, 1);
    finish(&world);
}

static void
test_evacuation_records(void)
{
    static const char *const pages[] = {"e", "ew", "3ew", "ewe", "w4e"};
    static const bool is_evacuated[] = {true, false, false, true, true};

    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        World world;

        read_records(&world, pages[i]);
        g_assert_true(BwEvacuations_Contains(&world.evacuations,
                                             BwSpan_FromString("a")) ==
                      is_evacuated[i]);
        g_assert_cmpuint(world.evacuations.version, ==, strlen(pages[i]));
        finish(&world);
    }
}

static void
answer(World *world, const char *body)
{
    char head[64];

    BwStoreReader_Tick(&world->reader, BwClock_Now());
    PartServer_ReceiveRequest(&world->server);
    g_snprintf(head, sizeof(head),
               "HTTP/1.1 200 OK\r\nconnection: close\r\n"
               "content-length: %zu\r\n\r\n",
               strlen(body));
    PartServer_Send(&world->server, head);
    PartServer_Send(&world->server, body);
}

/* What the second page lacks is not taken back, and reads go on from the end
   of the log as the first page told it. */
static void
test_newest_in_pages(void)
{
    World world;

    init(&world, PARTS);
    answer(&world, "more");
    g_assert_false(world.reader.has_config);
    g_assert_cmpuint(world.evacuations.version, ==, 0);
    answer(&world, "last");
    g_assert_true(world.reader.has_config);
    g_assert_cmpuint(world.evacuations.version, ==, 5);
    g_assert_cmpuint(world.reader.next_offset, ==, 5);
    g_assert_true(
        BwEvacuations_Contains(&world.evacuations, BwSpan_FromString("a")));
    g_assert_true(
        BwEvacuations_Contains(&world.evacuations, BwSpan_FromString("b")));
    finish(&world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/storereader/answer-in-parts", test_answer_in_parts);
    g_test_add_func("/storereader/older-after-newer", test_older_after_newer);
    g_test_add_func("/storereader/burst", test_burst);
    g_test_add_func("/storereader/evacuations", test_evacuation_records);
    g_test_add_func("/storereader/newest-in-pages", test_newest_in_pages);
    return g_test_run();
}
