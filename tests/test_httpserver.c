/* test_httpserver.c -- requests whose callers have gone before they are read

   A process that was suspended finds such requests in the buffers of its
   sockets when it goes on.
*/

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "httpserver.h"

#define TURNS 20
#define TURN_MS 5
#define BODY_BYTES_MAX 4096

typedef struct World {
    h2o_loop_t *loop;
    BwHttpServer server;
    uint32_t requests;
    uint32_t aborts;
} World;

/* A server lasts as long as its process.  It stays referenced here, so that
   the leak check reports only what is lost. */
static World served, gone;

static void
on_request(void *ctx, BwExchange *exchange)
{
    World *world = ctx;

    world->requests++;
    BwExchange_Reply(exchange, 200, "text/plain", exchange->body, 0);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    World *world = ctx;

    (void)exchange;
    world->aborts++;
}

static const BwHttpEvents events = {on_request, on_abort, on_request};

static int
send_request(const World *world)
{
    static const char text[] = "POST /job HTTP/1.1\r\nhost: h\r\n"
                               "content-length: 4\r\n\r\nbody";
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(world->server.port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_assert_cmpint(write(fd, text, sizeof(text) - 1), ==, sizeof(text) - 1);
    return fd;
}

static void
run(World *world)
{
    for (uint32_t i = 0; i < TURNS; i++)
        h2o_evloop_run(world->loop, TURN_MS);
}

static void
open_world(World *world)
{
    memset(world, 0, sizeof(*world));
    world->loop = h2o_evloop_create();
    g_assert_true(BwHttpServer_Init(&world->server, world->loop, "127.0.0.1",
                                    0, BODY_BYTES_MAX, &events, world));
}

static void
test_served(void)
{
    char reply[256] = {0};
    int fd;

    open_world(&served);
    fd = send_request(&served);
    run(&served);
    g_assert_cmpuint(served.requests, ==, 1);
    g_assert_cmpint(read(fd, reply, sizeof(reply) - 1), >, 0);
    g_assert_nonnull(strstr(reply, "200 OK"));
    close(fd);
    run(&served);
    g_assert_cmpuint(served.aborts, ==, 0);
}

/* A dispatcher that was suspended for 2 s started the tasks of a job whose
   caller had closed its connection and sent the job to another one. */
static void
test_caller_gone_before(void)
{
    open_world(&gone);
    close(send_request(&gone));
    run(&gone);
    g_assert_cmpuint(gone.requests, ==, 0);
    g_assert_cmpuint(gone.aborts, ==, 0);
    g_assert_cmpuint(gone.server.open_exchanges, ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/httpserver/served", test_served);
    g_test_add_func("/httpserver/caller_gone_before", test_caller_gone_before);
    return g_test_run();
}
