/* evacuationsync.h -- keeps a dispatcher's evacuations up to date

   The state comes from the store's log (storereader.h) and from other
   dispatchers, whichever is newer: so a dispatcher that the store turns away,
   or that starts while the store is down, learns of an evacuation from any
   dispatcher that knows.  A state is passed on when it changes, to a
   dispatcher that connects while a failure domain is evacuated, and in answer
   to an older one.

   The role in dispatchrole.c owns it and passes the state to the dispatcher.
*/

#ifndef BW_EVACUATIONSYNC_H
#define BW_EVACUATIONSYNC_H

#include "evacuations.h"
#include "node.h"

typedef struct BwEvacuationSync {
    BwNode *node;
    BwEvacuations state;
    uint64_t changed_us; /* when the domains last changed; 0: never */
    bool is_unconfirmed; /* a supervisor has not confirmed the change yet */
    uint64_t changes;
    /* The domains have changed, or are known by a newer version. */
    void (*on_change)(void *ctx, const BwEvacuations *evacuations);
    void *ctx;
} BwEvacuationSync;

/* `node` must outlive it. */
void
BwEvacuationSync_Init(BwEvacuationSync *sync, BwNode *node,
                      void (*on_change)(void *ctx,
                                        const BwEvacuations *evacuations),
                      void *ctx);

/* Takes the whole state, or one domain's, as read from the store. */
void
BwEvacuationSync_OnList(BwEvacuationSync *sync,
                        const BwEvacuations *evacuations);

void
BwEvacuationSync_OnRecord(BwEvacuationSync *sync, uint64_t version,
                          BwSpan domain, bool is_evacuated);

/* Tells a dispatcher that has connected of the evacuations in force. */
void
BwEvacuationSync_Announce(BwEvacuationSync *sync, uint32_t link);

/* Handles a message of another dispatcher.  Returns false for one that is not
   about evacuations. */
bool
BwEvacuationSync_OnMessage(BwEvacuationSync *sync, uint32_t link,
                           const BwMessage *message);

/* To be called while is_unconfirmed: logs that the last supervisor has
   confirmed the change.  `unconfirmed` counts those that have not. */
void
BwEvacuationSync_Tick(BwEvacuationSync *sync, uint64_t now_us,
                      uint32_t unconfirmed);

/* Adds the field of GET /v1/status. */
void
BwEvacuationSync_AddStatus(const BwEvacuationSync *sync, json_t *status);

#endif
