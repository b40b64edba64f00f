/* test_eventloop.c -- an event loop whose host's wall clock is set

   H2o takes the time of its timers from the wall clock.  Guards against work
   that waits for such a timer: set back by an hour, the clock keeps it waiting
   for an hour, while messages are still handled.
*/

#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "brasswing.h"
#include "clock.h"
#include "eventloop.h"
#include "httpclient.h"
#include "httpserver.h"
#include "wallclock.h"

/* Beyond the time for which h2o keeps an idle connection. */
#define STEP_S 3500
#define TICKS 20
/* Far more than any of these tests takes where the loop goes on. */
#define GIVE_UP_US 20000000

/* Whether h2o's loop runs, as opposed to the code that calls it. */
static _Thread_local bool is_in_loop;

int
__real_h2o_evloop_run(h2o_evloop_t *loop, int32_t max_wait);
int
__wrap_h2o_evloop_run(h2o_evloop_t *loop, int32_t max_wait);

/* The linker replaces the calls of eventloop.c by this. */
int
__wrap_h2o_evloop_run(h2o_evloop_t *loop, int32_t max_wait)
{
    int result;

    is_in_loop = true;
    result = __real_h2o_evloop_run(loop, max_wait);
    is_in_loop = false;
    return result;
}

typedef struct World {
    BwEventLoop event_loop;
    BwHttpServer server;
    BwHttpClient client;
    atomic_uint ticks;
    atomic_uint replies;
    atomic_uint failures;   /* requests without a reply */
    bool is_asking;         /* a request has no reply yet */
    atomic_bool is_holding; /* requests wait for their reply */
    uint32_t busy_us;       /* what each request takes of the loop's time */
    BwExchange *held;
    bool has_http;
} World;

static void
on_thread_message(void *ctx, BwThreadMessage *message)
{
    (void)ctx;
    free(message);
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    World *world = ctx;

    usleep(world->busy_us);
    if (atomic_load(&world->is_holding)) {
        world->held = exchange;
        return;
    }
    BwExchange_Reply(exchange, 200, "text/plain", BwSpan_FromString("x"), 0);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    (void)ctx;
    (void)exchange;
}

static void
on_reply(void *data, const BwHttpReply *reply)
{
    World *world = data;

    world->is_asking = false;
    if (reply->outcome == BW_HTTP_ANSWERED && reply->status == 200)
        atomic_fetch_add(&world->replies, 1);
    else
        atomic_fetch_add(&world->failures, 1);
}

static void
on_tick(void *ctx)
{
    World *world = ctx;

    g_assert_true(is_in_loop);
    atomic_fetch_add(&world->ticks, 1);
    if (!world->has_http)
        return;
    if (world->held != NULL && !atomic_load(&world->is_holding)) {
        BwExchange_Reply(world->held, 200, "text/plain",
                         BwSpan_FromString("x"), 0);
        world->held = NULL;
    }
    BwHttpClient_Tick(&world->client, BwClock_Now());
    if (world->is_asking)
        return;
    world->is_asking = true;
    BwHttpClient_Send(&world->client, "GET", BwSpan_FromString("/"), "",
                      BwSpan_FromString(""), BwClock_Now() + GIVE_UP_US,
                      on_reply, world);
}

static const BwLoopEvents loop_events = {on_thread_message, on_tick};

/* Returns whether the count grows by TICKS. */
static bool
grows(atomic_uint *count)
{
    unsigned int start = atomic_load(count);
    uint64_t end_us = BwClock_Now() + GIVE_UP_US;

    while (BwClock_Now() < end_us) {
        if (atomic_load(count) - start >= TICKS)
            return true;
        usleep(1000);
    }
    return false;
}

static World *
start(bool has_http)
{
    static const BwHttpEvents http_events = {on_request, on_abort, on_request};
    World *world = g_new0(World, 1);

    WallClock_Set(0);
    BwEventLoop_Init(&world->event_loop, &loop_events, world);
    world->has_http = has_http;
    if (has_http) {
        g_assert_true(BwHttpServer_Init(&world->server, world->event_loop.loop,
                                        "127.0.0.1", 0, 1024, &http_events,
                                        world));
        g_assert_true(BwHttpClient_Init(&world->client, world->event_loop.loop,
                                        "127.0.0.1", world->server.port, 4,
                                        1024));
    }
    g_assert_true(BwEventLoop_Start(&world->event_loop));
    return world;
}

/* The loop's thread may be stuck in a failing test, so it is not joined. */
static void
check_count(const char *what, bool is_growing)
{
    if (!is_growing)
        g_error("%s stopped when the clock was set", what);
}

static void
stop(World *world)
{
    BwEventLoop_Stop(&world->event_loop);
    BwEventLoop_Join(&world->event_loop);
    g_free(world);
}

static void
test_ticks_after_step(gconstpointer step)
{
    World *world = start(false);

    check_count("ticks", grows(&world->ticks));
    WallClock_Set(GPOINTER_TO_INT(step));
    check_count("ticks", grows(&world->ticks));
    WallClock_Set(0);
    check_count("ticks", grows(&world->ticks));
    stop(world);
}

static void
test_requests_after_step(gconstpointer step)
{
    World *world = start(true);

    check_count("requests", grows(&world->replies));
    WallClock_Set(GPOINTER_TO_INT(step));
    check_count("requests", grows(&world->replies));
    WallClock_Set(0);
    check_count("requests", grows(&world->replies));
    stop(world);
}

/* A caller that waits for its reply meanwhile receives it. */
static void
test_held_reply(gconstpointer step)
{
    World *world = start(true);

    atomic_store(&world->is_holding, true);
    check_count("ticks", grows(&world->ticks));
    WallClock_Set(GPOINTER_TO_INT(step));
    check_count("ticks", grows(&world->ticks));
    g_assert_cmpuint(atomic_load(&world->failures), ==, 0);
    atomic_store(&world->is_holding, false);
    check_count("requests", grows(&world->replies));
    g_assert_cmpuint(atomic_load(&world->failures), ==, 0);
    stop(world);
}

/* H2o frees a socket that is closed before it has run what is pending there,
   so a tick outside its loop that writes and closes makes it use freed
   memory. */
static void
test_late_tick(void)
{
    World *world = start(true);

    world->busy_us = 3 * BW_EVENT_LOOP_TICK_MS * 1000;
    check_count("requests", grows(&world->replies));
    stop(world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/eventloop/ticks-after-clock-back",
                         GINT_TO_POINTER(-STEP_S), test_ticks_after_step);
    g_test_add_data_func("/eventloop/ticks-after-clock-ahead",
                         GINT_TO_POINTER(STEP_S), test_ticks_after_step);
    g_test_add_data_func("/eventloop/requests-after-clock-back",
                         GINT_TO_POINTER(-STEP_S), test_requests_after_step);
    g_test_add_data_func("/eventloop/requests-after-clock-ahead",
                         GINT_TO_POINTER(STEP_S), test_requests_after_step);
    g_test_add_data_func("/eventloop/held-reply-and-clock-back",
                         GINT_TO_POINTER(-STEP_S), test_held_reply);
    g_test_add_data_func("/eventloop/held-reply-and-clock-ahead",
                         GINT_TO_POINTER(STEP_S), test_held_reply);
    g_test_add_func("/eventloop/late-tick", test_late_tick);
    return g_test_run();
}
