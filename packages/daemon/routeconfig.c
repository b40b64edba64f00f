/* routeconfig.c -- the configuration that a dispatcher has in force

   Method and callers are described in routeconfig.h.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "net.h"
#include "routeconfig.h"

/* ------------------------------------------------- to other dispatchers */

static BwMessage
make_announcement(const BwRouteConfig *config)
{
    BwMessage message = {.kind = BW_MSG_CONFIG_STATE};

    message.u.config_state.revision = config->routes.revision;
    message.u.config_state.publish_id = BwSpan_FromString("");
    message.u.config_state.text = BwSpan_FromString("");
    return message;
}

static void
send_text(BwRouteConfig *config, uint32_t link, uint64_t known)
{
    BwMessage message = make_announcement(config);

    if (config->routes.revision <= known)
        return;
    message.u.config_state.text.base = config->text;
    message.u.config_state.text.size_bytes = config->text_bytes;
    BwMesh_Send(&config->node->mesh, link, &message);
}

void
BwRouteConfig_Announce(BwRouteConfig *config, uint32_t link)
{
    BwMessage message = make_announcement(config);

    if (config->routes.revision > 0)
        BwMesh_Send(&config->node->mesh, link, &message);
}

/* ---------------------------------------------- from other dispatchers */

static void
request_text(BwRouteConfig *config, uint64_t now_us)
{
    BwMessage message = {.kind = BW_MSG_CONFIG_REQUEST};
    uint32_t link =
        BwConfigSource_Next(&config->source, now_us, config->routes.revision,
                            BwHttpClient_IsReceiving(&config->store.http));

    if (link == 0)
        return;
    message.u.config_request.revision = config->routes.revision;
    if (!BwMesh_Send(&config->node->mesh, link, &message))
        config->source.ask_us = now_us; /* the next announcer at once */
}

/* --------------------------------------------------------------- force */

/* Puts a configuration into force if its revision is newer.  `from` names its
   source for the log. */
static void
apply_text(BwRouteConfig *config, BwSpan text, const char *from)
{
    const BwLogger *logger = &config->node->logger;
    const BwDriver *driver = config->node->driver;
    const char *fault = "";
    BwRouteRows rows;
    BwRoutes routes;
    BwMessage message;
    char *copy;

    if (!driver->read_routes(text, &rows, &fault)) {
        BW_LOG(logger, BW_LOG_ERROR, "config_refused",
               BW_LOG_TEXT("fault", fault), BW_LOG_TEXT("from", from));
        driver->release(rows.memory);
        return;
    }
    if (rows.revision < config->routes.revision)
        BW_LOG(logger, BW_LOG_DEBUG, "config_older",
               BW_LOG_NUMBER("revision", rows.revision),
               BW_LOG_NUMBER("in_force", config->routes.revision),
               BW_LOG_TEXT("from", from));
    copy = malloc(text.size_bytes + 1);
    if (rows.revision <= config->routes.revision || copy == NULL ||
        !BwRoutes_Init(&routes, &rows)) {
        driver->release(rows.memory);
        free(copy);
        return;
    }
    driver->release(rows.memory);
    memcpy(copy, text.base, text.size_bytes);
    free(config->text);
    config->text = copy;
    config->text_bytes = text.size_bytes;
    BwRoutes_Finish(&config->routes);
    config->routes = routes;
    config->in_force_us = BwClock_Now();
    config->on_change(config->ctx, &config->routes);
    BW_LOG(logger, BW_LOG_INFO, "config_in_force",
           BW_LOG_NUMBER("revision", routes.revision),
           BW_LOG_TEXT("from", from));
    message = make_announcement(config);
    BwMesh_BroadcastToDispatchers(&config->node->mesh, &message);
}

bool
BwRouteConfig_OnMessage(BwRouteConfig *config, uint32_t link,
                        const BwMessage *message)
{
    const BwConfigState *state = &message->u.config_state;

    if (message->kind == BW_MSG_CONFIG_REQUEST) {
        send_text(config, link, message->u.config_request.revision);
        return true;
    }
    if (message->kind != BW_MSG_CONFIG_STATE)
        return false;
    if (state->text.size_bytes == 0)
        BwConfigSource_OnAnnounced(&config->source, BwClock_Now(), link,
                                   state->revision, config->routes.revision);
    else if (state->revision > config->routes.revision)
        apply_text(config, state->text, "dispatcher");
    return true;
}

/* --------------------------------------------------------------- store */

static void
on_store_config(void *ctx, BwSpan text)
{
    apply_text(ctx, text, "store");
}

static void
add_dispatcher(void *ctx, BwSpan name, BwSpan address)
{
    BwRouteConfig *config = ctx;

    BwMesh_AddAddress(&config->node->mesh, BwClock_Now(), name, address);
}

static void
on_store_evacuations(void *ctx, const BwEvacuations *evacuations)
{
    BwRouteConfig *config = ctx;

    BwEvacuationSync_OnList(config->evacuations, evacuations);
}

static void
on_store_evacuation(void *ctx, uint64_t version, BwSpan domain,
                    bool is_evacuated)
{
    BwRouteConfig *config = ctx;

    BwEvacuationSync_OnRecord(config->evacuations, version, domain,
                              is_evacuated);
}

static const BwStoreReaderEvents store_events = {
    on_store_config, on_store_evacuations, on_store_evacuation,
    add_dispatcher};

/* -------------------------------------------------- counters and status */

static uint64_t
age_ms(uint64_t event_us, uint64_t now_us)
{
    return now_us > event_us ? (now_us - event_us) / 1000 : 0;
}

uint32_t
BwRouteConfig_Counters(const BwRouteConfig *config, uint64_t now_us,
                       BwCounter *list, uint32_t count, uint32_t capacity)
{
    uint64_t in_force_us =
        config->in_force_us != 0 ? config->in_force_us : now_us;

#define ADD(name, help, kind, value)                                          \
    count = BwCounters_Add(list, count, capacity, name, help, kind, value)
    ADD("brasswing_store_reads_total", "Reads of the platform's store",
        BW_COUNTER, config->store.reads);
    ADD("brasswing_store_reads_failed_total",
        "Reads of the store that were refused or not answered", BW_COUNTER,
        config->store.reads_failed);
    ADD("brasswing_store_silent_ms",
        "Time since the store last answered a read", BW_GAUGE,
        age_ms(config->store.answered_us, now_us));
    ADD("brasswing_config_in_force_ms",
        "Time for which the configuration has been in force", BW_GAUGE,
        age_ms(in_force_us, now_us));
    ADD("brasswing_config_revision", "Configuration in force", BW_GAUGE,
        config->routes.revision);
#undef ADD
    return count;
}

void
BwRouteConfig_AddStatus(const BwRouteConfig *config, uint64_t now_us,
                        json_t *status)
{
    json_object_set_new(status, "revision",
                        json_integer((json_int_t)config->routes.revision));
    json_object_set_new(status, "store_up", json_boolean(config->store.is_up));
    json_object_set_new(
        status, "store_silent_ms",
        json_integer((json_int_t)age_ms(config->store.answered_us, now_us)));
}

void
BwRouteConfig_Tick(BwRouteConfig *config, uint64_t now_us)
{
    BwStoreReader_Tick(&config->store, now_us);
    request_text(config, now_us);
}

bool
BwRouteConfig_Init(BwRouteConfig *config, BwNode *node,
                   BwEvacuationSync *evacuations,
                   void (*on_change)(void *ctx, const BwRoutes *routes),
                   void *ctx)
{
    memset(config, 0, sizeof(*config));
    BwConfigSource_Init(&config->source,
                        node->settings.limits.config_apply_ms * 1000);
    config->node = node;
    config->evacuations = evacuations;
    config->on_change = on_change;
    config->ctx = ctx;
    return BwStoreReader_Init(&config->store, node->event_loop.loop,
                              &node->settings, &node->logger, node->driver,
                              &store_events, config);
}

void
BwRouteConfig_Finish(BwRouteConfig *config)
{
    BwStoreReader_Finish(&config->store);
    BwRoutes_Finish(&config->routes);
    free(config->text);
}
