/* test_storereader.c -- a configuration that takes long to arrive

   Over a thin link the answer with a large configuration takes longer than a
   read of a silent store may.  Guards against giving it up while it arrives:
   the next read gets no further, and its bytes keep the link busy.

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
    uint32_t configs; /* delivered by the reader */
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

static bool
read_newest(BwSpan body, BwStorePage *page)
{
    static BwStoreRecord record;

    memset(page, 0, sizeof(*page));
    record.key = BwSpan_FromString("config");
    record.value = body;
    page->records = &record;
    page->record_count = 1;
    page->end = 1;
    return true;
}

static BwSpan
config_key(void)
{
    return BwSpan_FromString("config");
}

static void
release(void *memory)
{
    (void)memory;
}

static const BwDriver driver = {.make_newest = make_newest,
                                .read_newest = read_newest,
                                .config_key = config_key,
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

static void
on_config(void *ctx, BwSpan text)
{
    World *world = ctx;

    g_assert_cmpuint(text.size_bytes, ==, PARTS);
    world->configs++;
}

static void
on_dispatcher(void *ctx, BwSpan name, BwSpan address)
{
    (void)ctx;
    (void)name;
    (void)address;
}

static const BwStoreReaderEvents events = {on_config, on_dispatcher};

static void
test_answer_in_parts(void)
{
    static BwSettings settings;
    static BwLogger logger = {
        .fd = STDERR_FILENO, .level = BW_LOG_ERROR, .name = "d"};
    World world = {0};
    h2o_loop_t *loop = h2o_evloop_create();
    uint64_t now_us = BwClock_Now();
    uint64_t step_us;

    PartServer_Init(&world.server, loop);
    strcpy(settings.log.host, "127.0.0.1");
    settings.log.port = world.server.port;
    settings.limits.config_apply_ms = 2000;
    g_assert_true(BwStoreReader_Init(&world.reader, loop, &settings, &logger,
                                     &driver, &events, &world));
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
    BwStoreReader_Finish(&world.reader);
    PartServer_Finish(&world.server);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/storereader/answer-in-parts", test_answer_in_parts);
    return g_test_run();
}
