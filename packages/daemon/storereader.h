/* storereader.h -- the operators' configuration and the list of dispatchers,
   from the platform's store

   The reader takes the newest record of each key once, and then waits for
   further ones with one call that is answered when a record comes.  Where the
   store does not answer it tries again, with a pause that grows.
*/

#ifndef BW_STOREREADER_H
#define BW_STOREREADER_H

#include "driver.h"
#include "httpclient.h"
#include "settings.h"

typedef struct BwStoreReaderEvents {
    /* The newest value of the operators' configuration. */
    void (*on_config)(void *ctx, BwSpan text);
    /* A record of a dispatcher; the value is HOST:PORT. */
    void (*on_member)(void *ctx, BwSpan name, BwSpan address);
} BwStoreReaderEvents;

typedef struct BwStoreReader {
    BwHttpClient http;
    const BwDriver *driver;
    const BwStoreReaderEvents *events;
    void *ctx;
    bool is_reading;
    bool has_config;  /* the newest was read; `next` is valid */
    bool has_members; /* were read once */
    bool is_announced;
    bool is_announcing;
    uint64_t next; /* offset to read from */
    uint64_t retry_us;
    uint32_t failures;
    bool is_up;
    char name[BW_NAME_BYTES_MAX];
    char address[BW_ADDRESS_BYTES_MAX]; /* of this dispatcher */
} BwStoreReader;

/* Returns false when the store's address is wrong. */
bool
BwStoreReader_Init(BwStoreReader *reader, h2o_loop_t *loop,
                   const BwSettings *settings, const BwDriver *driver,
                   const BwStoreReaderEvents *events, void *ctx);

void
BwStoreReader_Finish(BwStoreReader *reader);

void
BwStoreReader_Tick(BwStoreReader *reader, uint64_t now_us);

#endif
