/* test_peers.c -- messages of a process to itself when the wall clock is set

   The home and the executor of one process exchange grants and answers by a
   timer of h2o without a delay, which must not wait until a clock that was set
   back has caught up.
*/

#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "brasswing.h"
#include "clock.h"
#include "eventloop.h"
#include "peers.h"
#include "wallclock.h"

#define STEP_S 3600
#define MESSAGES 20
/* Far more than the test takes where messages are delivered. */
#define GIVE_UP_US 20000000

typedef struct World {
    BwEventLoop event_loop;
    BwPeers peers;
    BwLogger logger;
    atomic_uint received;
} World;

static void
send_to_self(World *world)
{
    BwMessage message = {.kind = BW_MSG_LOAD};

    g_assert_true(BwPeers_Send(&world->peers, BW_PEER_SELF, &message));
}

static void
on_received(void *ctx, uint32_t peer, const BwMessage *message)
{
    World *world = ctx;

    (void)message;
    if (peer == BW_PEER_SELF)
        atomic_fetch_add(&world->received, 1);
}

static void
ignore_up(void *ctx, BwPeer *peer)
{
    (void)ctx;
    (void)peer;
}

static void
ignore_down(void *ctx, BwPeer *peer, bool is_gone)
{
    (void)ctx;
    (void)peer;
    (void)is_gone;
}

static const BwPeerEvents peer_events = {on_received, ignore_up, ignore_down};

static void
on_thread_message(void *ctx, BwThreadMessage *message)
{
    (void)ctx;
    free(message);
}

static void
on_tick(void *ctx)
{
    World *world = ctx;

    BwPeers_Tick(&world->peers, BwClock_Now());
    send_to_self(world);
}

static const BwLoopEvents loop_events = {on_thread_message, on_tick};

static bool
is_receiving(World *world)
{
    unsigned int start = atomic_load(&world->received);
    uint64_t end_us = BwClock_Now() + GIVE_UP_US;

    while (BwClock_Now() < end_us) {
        if (atomic_load(&world->received) - start >= MESSAGES)
            return true;
        usleep(1000);
    }
    return false;
}

static void
test_to_self(gconstpointer step)
{
    World *world = g_new0(World, 1);
    BwHello hello = {0};

    world->logger = (BwLogger){
        .fd = STDERR_FILENO, .level = BW_LOG_ERROR, .name = "agent-1"};
    WallClock_Set(0);
    BwEventLoop_Init(&world->event_loop, &loop_events, world);
    BwPeers_Init(&world->peers, world->event_loop.loop, &world->logger, &hello,
                 &peer_events, world);
    g_assert_true(BwEventLoop_Start(&world->event_loop));
    g_assert_true(is_receiving(world));
    WallClock_Set(GPOINTER_TO_INT(step));
    g_assert_true(is_receiving(world));
    WallClock_Set(0);
    g_assert_true(is_receiving(world));
    BwEventLoop_Stop(&world->event_loop);
    BwEventLoop_Join(&world->event_loop);
    BwPeers_Finish(&world->peers);
    g_free(world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/peers/to-self-after-clock-back",
                         GINT_TO_POINTER(-STEP_S), test_to_self);
    g_test_add_data_func("/peers/to-self-after-clock-ahead",
                         GINT_TO_POINTER(STEP_S), test_to_self);
    return g_test_run();
}
