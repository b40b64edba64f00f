/* test_httpclient.c -- when an answer that arrives in parts is given up

   The client is given simulated time; only messages are waited for.
*/

#include <string.h>

#include <glib.h>

#include "brasswing.h"
#include "clock.h"
#include "httpclient.h"
#include "partserver.h"

#define SECOND_US 1000000ull
#define TIMEOUT_US (SECOND_US / 10)
#define REPLY_BYTES_MAX 4096

typedef struct World {
    BwHttpClient client;
    PartServer server;
    uint64_t sent_us;
    bool is_ended;
    BwHttpOutcome outcome;
    char body[16];
} World;

static void
on_reply(void *data, const BwHttpReply *reply)
{
    World *world = data;

    world->is_ended = true;
    world->outcome = reply->outcome;
    BwSpan_ToString(reply->body, world->body, sizeof(world->body));
}

/* Sends a request and waits until the server has it. */
static void
start(World *world, h2o_loop_t *loop, uint64_t progress_us)
{
    memset(world, 0, sizeof(*world));
    PartServer_Init(&world->server, loop);
    g_assert_true(BwHttpClient_Init(&world->client, loop, "127.0.0.1",
                                    world->server.port, 1, REPLY_BYTES_MAX));
    BwHttpClient_AllowProgress(&world->client, progress_us);
    world->sent_us = BwClock_Now();
    BwHttpClient_Send(&world->client, "GET", BwSpan_FromString("/"), "",
                      BwSpan_FromString(""), world->sent_us + TIMEOUT_US,
                      on_reply, world);
    PartServer_ReceiveRequest(&world->server);
}

static void
finish(World *world)
{
    BwHttpClient_Finish(&world->client);
    PartServer_Finish(&world->server);
}

static const char head[] = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n";

/* An answer that is arriving is not given up at the deadline, but when no part
   has come for the time that is allowed. */
static void
test_progress(void)
{
    h2o_loop_t *loop = h2o_evloop_create();
    World world;

    start(&world, loop, 10 * SECOND_US);
    PartServer_Send(&world.server, head);
    PartServer_Send(&world.server, "four");
    BwHttpClient_Tick(&world.client, world.sent_us + 5 * SECOND_US);
    g_assert_false(world.is_ended);
    PartServer_Send(&world.server, "more");
    g_assert_true(world.is_ended);
    g_assert_cmpint(world.outcome, ==, BW_HTTP_ANSWERED);
    g_assert_cmpstr(world.body, ==, "fourmore");
    finish(&world);

    start(&world, loop, 10 * SECOND_US);
    PartServer_Send(&world.server, head);
    BwHttpClient_Tick(&world.client, BwClock_Now() + 11 * SECOND_US);
    g_assert_true(world.is_ended);
    g_assert_cmpint(world.outcome, ==, BW_HTTP_TIMED_OUT);
    finish(&world);
}

/* A server that sends nothing is given up at the deadline. */
static void
test_silence(void)
{
    h2o_loop_t *loop = h2o_evloop_create();
    World world;

    start(&world, loop, 10 * SECOND_US);
    BwHttpClient_Tick(&world.client, world.sent_us + TIMEOUT_US - 1);
    g_assert_false(world.is_ended);
    BwHttpClient_Tick(&world.client, world.sent_us + TIMEOUT_US);
    g_assert_true(world.is_ended);
    g_assert_cmpint(world.outcome, ==, BW_HTTP_TIMED_OUT);
    finish(&world);
}

/* By default the deadline holds for the whole answer. */
static void
test_deadline(void)
{
    h2o_loop_t *loop = h2o_evloop_create();
    World world;

    start(&world, loop, 0);
    PartServer_Send(&world.server, head);
    PartServer_Send(&world.server, "four");
    BwHttpClient_Tick(&world.client, world.sent_us + TIMEOUT_US);
    g_assert_true(world.is_ended);
    g_assert_cmpint(world.outcome, ==, BW_HTTP_TIMED_OUT);
    finish(&world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/httpclient/progress", test_progress);
    g_test_add_func("/httpclient/silence", test_silence);
    g_test_add_func("/httpclient/deadline", test_deadline);
    return g_test_run();
}
