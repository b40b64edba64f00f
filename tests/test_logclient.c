/* test_logclient.c -- how soon a record is read from a log that was silent

   A server in this process swallows every read until the log's return, and
   answers the later ones.  Guards against a long poll that is still waited for
   when a record that was appended after the return has to be known everywhere.
   The client is given simulated time; only messages are waited for.
*/

#include <glib.h>

#include "brasswing.h"
#include "clock.h"
#include "httpserver.h"
#include "logclient.h"

#define SECOND_US 1000000ull
#define STEP_US 50000ull
#define LOOP_WAIT_MS 10
#define BODY_BYTES_MAX 65536
/* Time in which a configuration has to be in force at all hosts, and the share
   of it that passing it on and applying it may take. */
#define IN_FORCE_US (12 * SECOND_US)
#define SPREAD_PERMILLE 100

typedef struct World {
    h2o_loop_t *loop;
    BwHttpServer server;
    BwLogClient client;
    bool is_silent;
    bool is_swallowed;  /* the newest request will not be answered */
    uint32_t requests;  /* that the server has received */
    uint32_t reads;     /* of the client, that have ended */
    uint32_t published; /* records of the log */
    uint32_t records;   /* that the client has read */
} World;

static void
on_request(void *ctx, BwExchange *exchange)
{
    World *world = ctx;
    unsigned long long from = 0;
    char query[64];
    char record[64] = "";
    char text[128];
    bool has_record;

    world->requests++;
    BwSpan_ToString(exchange->query, query, sizeof(query));
    g_assert_cmpint(sscanf(query, "from=%llu", &from), ==, 1);
    has_record = from < world->published;
    /* A poll of a log that has no new record waits as well. */
    world->is_swallowed = world->is_silent || (from > 0 && !has_record);
    if (world->is_swallowed)
        return;
    if (has_record)
        g_snprintf(record, sizeof(record), "{\"offset\":%llu,\"body\":\"{}\"}",
                   from);
    g_snprintf(text, sizeof(text),
               "{\"first\":0,\"next\":%u,\"records\":[%s]}", world->published,
               record);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString(text), 0);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    (void)exchange;
}

static const BwHttpEvents http_events = {on_request, on_abort, on_request};

static void
on_page(void *ctx, uint64_t first)
{
    World *world = ctx;

    (void)first;
    world->reads++;
}

static void
on_record(void *ctx, uint64_t offset, json_t *body)
{
    World *world = ctx;

    (void)offset;
    g_assert_nonnull(body);
    world->records++;
}

static void
on_caught_up(void *ctx, uint64_t first, uint64_t next)
{
    (void)ctx;
    (void)first;
    (void)next;
}

static void
on_failure(void *ctx)
{
    World *world = ctx;

    world->reads++;
}

static const BwLogEvents log_events = {on_page, on_record, on_caught_up,
                                       on_failure};

/* Calls the client at a time and waits until the server has received its
   request, or the client the answer. */
static void
step(World *world, uint64_t now_us)
{
    BwLogClient_Tick(&world->client, now_us);
    while (world->requests < world->reads + world->client.is_reading ||
           (world->client.is_reading && !world->is_swallowed))
        h2o_evloop_run(world->loop, LOOP_WAIT_MS);
}

static void
start_server(World *world)
{
    memset(world, 0, sizeof(*world));
    world->loop = h2o_evloop_create();
    g_assert_true(BwHttpServer_Init(&world->server, world->loop, "127.0.0.1",
                                    0, BODY_BYTES_MAX, &http_events, world));
}

static void
start_client(World *world)
{
    world->is_silent = false;
    world->requests = world->reads = world->records = 0;
    g_assert_true(BwLogClient_Init(&world->client, world->loop, "127.0.0.1",
                                   world->server.port, "s", IN_FORCE_US,
                                   &log_events, world));
}

/* Returns how long after the log's return a record that is appended then is
   read, when the log is silent for `silent_us` from a read on. */
static uint64_t
read_delay_us(World *world, uint64_t silent_us)
{
    uint64_t now_us = BwClock_Now();
    uint64_t return_us = now_us + silent_us;

    start_client(world);
    /* The log holds one record, so that the next read waits for another. */
    world->published = 1;
    step(world, now_us);
    g_assert_cmpuint(world->client.next_offset, ==, 1);
    world->is_silent = true;
    for (; world->client.next_offset < 2; now_us += STEP_US) {
        if (now_us >= return_us && world->is_silent) {
            world->is_silent = false;
            world->published = 2;
        }
        step(world, now_us);
        g_assert_cmpuint(now_us, <, return_us + 60 * SECOND_US);
    }
    g_assert_cmpuint(world->records, ==, 2);
    BwLogClient_Finish(&world->client);
    return now_us - STEP_US - return_us;
}

static void
test_record_after_silence(void)
{
    uint64_t limit_us = IN_FORCE_US * (1000 - SPREAD_PERMILLE) / 1000;
    World world;

    start_server(&world);
    for (uint64_t silent_us = STEP_US; silent_us < 20 * SECOND_US;
         silent_us += 7 * STEP_US)
        g_assert_cmpuint(read_delay_us(&world, silent_us), <=, limit_us);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/logclient/record-after-silence",
                    test_record_after_silence);
    return g_test_run();
}
