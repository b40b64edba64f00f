/* workerrecord.h -- what a supervisor last knew of its worker

   A supervisor that starts knows nothing of its worker until the next
   heartbeat, which may be seconds away; when every process starts again at
   once, the fleet is without capacity for that long.  So the last heartbeat
   that told something new is kept on the platform's store, by the name of the
   supervisor.  The supervisor uses it after the worker has answered that it is
   still the same instance.

   One record is written for each life of a worker and when it begins to leave,
   never for a task.  superviserole.c uses this on its event loop.
*/

#ifndef BW_WORKERRECORD_H
#define BW_WORKERRECORD_H

#include "keptrecord.h"

typedef struct BwWorkerRecord {
    BwKeptRecord kept;
    /* Passes the heartbeat that was read back, which is valid during the
       call. */
    void (*on_recalled)(void *ctx, const BwWorkerHeartbeat *heartbeat);
    void *ctx;
    uint64_t digest; /* of the heartbeat that is or will be on the store */
} BwWorkerRecord;

/* Returns false when the store's address is wrong.  `driver` must outlive the
   record. */
bool
BwWorkerRecord_Init(BwWorkerRecord *record, h2o_loop_t *loop,
                    const BwSettings *settings, const BwDriver *driver,
                    void (*on_recalled)(void *ctx,
                                        const BwWorkerHeartbeat *heartbeat),
                    void *ctx);

void
BwWorkerRecord_Finish(BwWorkerRecord *record);

/* Notes a heartbeat of the worker.  It is written if it says something else
   than the last one; the record of a worker that leaves is deleted. */
void
BwWorkerRecord_OnHeartbeat(BwWorkerRecord *record, BwSpan path, BwSpan body,
                           const BwWorkerHeartbeat *heartbeat);

void
BwWorkerRecord_Tick(BwWorkerRecord *record, uint64_t now_us);

#endif
