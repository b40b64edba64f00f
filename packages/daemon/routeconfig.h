/* routeconfig.h -- the configuration that a dispatcher has in force

   The configuration comes from the platform's store and from other
   dispatchers, whichever is newer; a revision never goes back.  Dispatchers
   announce to each other which revision they have, and configsource.h decides
   which of them is asked for its text.  Both ways go on beside each other, so
   that neither a lost message nor a store that does not answer one dispatcher
   keeps it behind.

   The role in dispatchrole.c passes in the messages and asks for the routes.
*/

#ifndef BW_ROUTECONFIG_H
#define BW_ROUTECONFIG_H

#include "configsource.h"
#include "evacuationsync.h"
#include "node.h"
#include "routes.h"
#include "storereader.h"

typedef struct BwRouteConfig {
    BwNode *node;
    BwStoreReader store;
    BwEvacuationSync *evacuations; /* also read from the store */
    BwRoutes routes;               /* revision 0: none in force yet */
    char *text;
    uint32_t text_bytes;
    uint64_t in_force_us; /* since when; 0: none yet */
    BwConfigSource source;
    /* The routes have changed. */
    void (*on_change)(void *ctx, const BwRoutes *routes);
    void *ctx;
} BwRouteConfig;

/* Reads nothing yet.  `node` and `evacuations` must outlive the
   configuration.  Returns false
   when the store's address in the settings is wrong. */
bool
BwRouteConfig_Init(BwRouteConfig *config, BwNode *node,
                   BwEvacuationSync *evacuations,
                   void (*on_change)(void *ctx, const BwRoutes *routes),
                   void *ctx);

void
BwRouteConfig_Finish(BwRouteConfig *config);

/* Reads the store and requests announced revisions when they are due. */
void
BwRouteConfig_Tick(BwRouteConfig *config, uint64_t now_us);

/* Announces the revision in force to a dispatcher that has connected. */
void
BwRouteConfig_Announce(BwRouteConfig *config, uint32_t link);

/* Handles a message of another dispatcher.  Returns false for one that is not
   about the configuration. */
bool
BwRouteConfig_OnMessage(BwRouteConfig *config, uint32_t link,
                        const BwMessage *message);

/* Writes up to `capacity` counters after the first `count`; returns how many
   there are. */
uint32_t
BwRouteConfig_Counters(const BwRouteConfig *config, uint64_t now_us,
                       BwCounter *list, uint32_t count, uint32_t capacity);

/* Adds the fields of GET /v1/status to `status`. */
void
BwRouteConfig_AddStatus(const BwRouteConfig *config, uint64_t now_us,
                        json_t *status);

#endif
