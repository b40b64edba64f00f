/* test_httpclient.c -- when an answer that arrives in parts is given up

   The server is a socket of this process.  The client is given simulated time;
   only messages are waited for.
*/

#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <glib.h>

#include "brasswing.h"
#include "clock.h"
#include "httpclient.h"

#define SECOND_US 1000000ull
#define TIMEOUT_US (SECOND_US / 10)
#define LOOP_WAIT_MS 100
#define REPLY_BYTES_MAX 4096

typedef struct World {
    h2o_loop_t *loop;
    BwHttpClient client;
    int listener;
    int connection;
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

static uint16_t
listen_on_loopback(World *world)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    world->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(world->listener, >=, 0);
    g_assert_cmpint(bind(world->listener, (struct sockaddr *)&address, length),
                    ==, 0);
    g_assert_cmpint(listen(world->listener, 1), ==, 0);
    g_assert_cmpint(
        getsockname(world->listener, (struct sockaddr *)&address, &length), ==,
        0);
    return ntohs(address.sin_port);
}

/* Sends a request and waits until the server has it. */
static void
start(World *world, h2o_loop_t *loop, uint64_t progress_us)
{
    uint16_t port;
    char request[512];
    ssize_t size = -1;

    memset(world, 0, sizeof(*world));
    world->loop = loop;
    port = listen_on_loopback(world);
    g_assert_true(BwHttpClient_Init(&world->client, loop, "127.0.0.1", port, 1,
                                    REPLY_BYTES_MAX));
    BwHttpClient_AllowProgress(&world->client, progress_us);
    world->sent_us = BwClock_Now();
    BwHttpClient_Send(&world->client, "GET", BwSpan_FromString("/"), "",
                      BwSpan_FromString(""), world->sent_us + TIMEOUT_US,
                      on_reply, world);
    world->connection = accept(world->listener, NULL, NULL);
    g_assert_cmpint(world->connection, >=, 0);
    while (size < 0) {
        h2o_evloop_run(loop, LOOP_WAIT_MS);
        size = recv(world->connection, request, sizeof(request), MSG_DONTWAIT);
    }
}

/* Sends a part of the answer and lets the client read it. */
static void
send_part(World *world, const char *part)
{
    g_assert_cmpint(write(world->connection, part, strlen(part)), ==,
                    (ssize_t)strlen(part));
    for (int i = 0; i < 3; i++)
        h2o_evloop_run(world->loop, LOOP_WAIT_MS);
}

static void
finish(World *world)
{
    BwHttpClient_Finish(&world->client);
    close(world->connection);
    close(world->listener);
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
    send_part(&world, head);
    send_part(&world, "four");
    BwHttpClient_Tick(&world.client, world.sent_us + 5 * SECOND_US);
    g_assert_false(world.is_ended);
    send_part(&world, "more");
    g_assert_true(world.is_ended);
    g_assert_cmpint(world.outcome, ==, BW_HTTP_ANSWERED);
    g_assert_cmpstr(world.body, ==, "fourmore");
    finish(&world);

    start(&world, loop, 10 * SECOND_US);
    send_part(&world, head);
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
    send_part(&world, head);
    send_part(&world, "four");
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
