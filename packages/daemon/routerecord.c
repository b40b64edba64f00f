/* routerecord.c -- what dispatchers have learnt of the routes' jobs and
   callers

   Method and callers are described in routerecord.h.  The text of a record is
   a JSON object with [ratio_permille, usual_ms] for each route.
*/

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "brasswing.h"
#include "routerecord.h"

#define CHECK_INTERVAL_US 2000000
#define MS_MAX 600000 /* of a caller's usual time */

/* ------------------------------------------------------------- reading */

static void
adopt_route(BwDispatcher *dispatcher, const char *route, const json_t *values)
{
    json_int_t ratio = json_integer_value(json_array_get(values, 0));
    json_int_t usual_ms = json_integer_value(json_array_get(values, 1));
    BwRouteKnowledge knowledge = {0};

    if (ratio < 0 || ratio > UINT32_MAX || usual_ms < 0 || usual_ms > MS_MAX)
        return;
    knowledge.ratio_permille = (uint32_t)ratio;
    knowledge.usual_us = (uint64_t)usual_ms * 1000;
    BwRouteStats_Adopt(&dispatcher->route_stats, route, &knowledge);
}

static int
compare_offsets(const void *left, const void *right)
{
    const BwStoreRecord *a = left, *b = right;

    return a->offset < b->offset ? 1 : a->offset > b->offset ? -1 : 0;
}

/* Adopts the newest records first: what is known already is kept. */
static void
on_read(void *ctx, const BwStorePage *page)
{
    BwRouteRecord *record = ctx;

    qsort(page->records, page->record_count, sizeof(*page->records),
          compare_offsets);
    for (uint32_t i = 0; i < page->record_count; i++) {
        BwSpan text = page->records[i].value;
        json_t *routes = json_loadb(text.base, text.size_bytes, 0, NULL);
        const char *route;
        json_t *values;

        json_object_foreach(routes, route, values)
            adopt_route(record->dispatcher, route, values);
        json_decref(routes);
    }
}

/* ------------------------------------------------------------- writing */

static char *
make_text(const BwDispatcher *dispatcher)
{
    json_t *routes = json_object();
    char *text;

    for (const BwRouteStats *stats = dispatcher->route_stats; stats != NULL;
         stats = stats->hh.next) {
        BwRouteKnowledge knowledge = BwRouteStats_Export(stats);

        if (knowledge.ratio_permille == 0 && knowledge.usual_us == 0)
            continue;
        json_object_set_new(
            routes, stats->route,
            json_pack("[I, I]", (json_int_t)knowledge.ratio_permille,
                      (json_int_t)(knowledge.usual_us / 1000)));
    }
    text = json_dumps(routes, JSON_COMPACT);
    json_decref(routes);
    return text;
}

void
BwRouteRecord_Tick(BwRouteRecord *record, uint64_t now_us)
{
    if (now_us >= record->check_us) {
        char *text = NULL;

        record->check_us = now_us + CHECK_INTERVAL_US;
        if (BwRouteStats_HasChanged(record->dispatcher->route_stats))
            text = make_text(record->dispatcher);
        if (text != NULL)
            BwKeptRecord_Write(&record->kept, BwSpan_FromString(text));
        free(text);
    }
    BwKeptRecord_Tick(&record->kept, now_us);
}

bool
BwRouteRecord_Init(BwRouteRecord *record, h2o_loop_t *loop,
                   const BwSettings *settings, const BwDriver *driver,
                   BwDispatcher *dispatcher)
{
    memset(record, 0, sizeof(*record));
    record->dispatcher = dispatcher;
    return BwKeptRecord_Init(&record->kept, loop, settings, driver,
                             BW_TOPIC_ROUTES, "", on_read, record);
}

void
BwRouteRecord_Finish(BwRouteRecord *record)
{
    BwKeptRecord_Finish(&record->kept);
}
