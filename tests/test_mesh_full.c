/* test_mesh_full.c -- a connection that has no room for a message

   Two meshes of one process on one loop, over loopback.
*/

#include <glib.h>
#include <string.h>

#include "clock.h"
#include "mesh.h"

#define WAIT_US 30000000
#define TEXT_BYTES (4u * 1024 * 1024)

typedef struct Side {
    BwSettings settings;
    BwMesh mesh;
    uint32_t link; /* 0: none is up */
    uint32_t downs;
} Side;

static void
on_up(void *ctx, BwMeshLink *link)
{
    Side *side = ctx;

    side->link = link->id;
}

static void
on_down(void *ctx, BwMeshLink *link)
{
    Side *side = ctx;

    side->link = side->link == link->id ? 0 : side->link;
    side->downs++;
}

static void
on_received(void *ctx, BwMeshLink *link, const BwMessage *message)
{
    (void)ctx;
    (void)link;
    (void)message;
}

static const BwMeshEvents events = {on_up, on_down, on_received};

static void
run(h2o_loop_t *loop, Side *sides)
{
    for (uint32_t i = 0; i < 2; i++)
        BwMesh_Tick(&sides[i].mesh, BwClock_Now());
    for (uint32_t i = 0; i < 20; i++)
        h2o_evloop_run(loop, 1);
}

static void
wait_up(h2o_loop_t *loop, Side *sides)
{
    uint64_t give_up_us = BwClock_Now() + WAIT_US;

    while (sides[0].link == 0 || sides[1].link == 0) {
        g_assert_cmpuint(BwClock_Now(), <, give_up_us);
        run(loop, sides);
    }
}

/* What was told after a message that was dropped would be misunderstood, so
   the connection ends, once, and another one takes its place. */
static void
test_full(void)
{
    h2o_loop_t *loop = h2o_evloop_create();
    BwLogger logger = {.fd = 2, .level = BW_LOG_ERROR, .name = "test"};
    Side sides[2] = {0};
    BwEndpoint seed = {.host = "127.0.0.1"};
    char *text = g_malloc0(TEXT_BYTES);
    BwMessage large = {.kind = BW_MSG_CONFIG_STATE};
    BwMessage small = {.kind = BW_MSG_STOP};
    uint32_t sent = 0, link;

    large.u.config_state.text = (BwSpan){text, TEXT_BYTES};
    for (uint32_t i = 0; i < 2; i++) {
        BwSettings *settings = &sides[i].settings;

        settings->role =
            i == 0 ? BW_SETTINGS_DISPATCHER : BW_SETTINGS_SUPERVISOR;
        strcpy(settings->name, i == 0 ? "dispatcher" : "supervisor");
        strcpy(settings->peer.host, "127.0.0.1");
        settings->limits.session_ms = 60000;
        settings->peers = &seed;
        settings->peer_count = i;
        g_assert_true(BwMesh_Init(&sides[i].mesh, loop, settings, &logger,
                                  i + 1, &events, &sides[i]));
        seed.port = sides[0].mesh.hello.http_port;
    }
    wait_up(loop, sides);
    link = sides[1].link;
    while (BwMesh_Send(&sides[1].mesh, link, &large))
        g_assert_cmpuint(++sent, <, 100);
    g_assert_cmpuint(sent, >, 1);
    g_assert_cmpuint(sides[1].downs, ==, 0);
    g_assert_false(BwMesh_Send(&sides[1].mesh, link, &small));
    BwMesh_Tick(&sides[1].mesh, BwClock_Now());
    g_assert_cmpuint(sides[1].downs, ==, 1);
    wait_up(loop, sides);
    g_assert_cmpuint(sides[1].link, !=, link);
    g_assert_true(BwMesh_Send(&sides[1].mesh, sides[1].link, &small));
    for (uint32_t i = 0; i < 2; i++)
        BwMesh_Finish(&sides[i].mesh);
    h2o_evloop_run(loop, 0);
    g_free(text);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mesh/full", test_full);
    return g_test_run();
}
