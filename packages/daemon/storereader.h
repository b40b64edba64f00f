/* storereader.h -- reads the operators' configuration, their evacuations of
   failure domains and the dispatchers' addresses from the platform's store

   The reader fetches the newest records of the operators and the addresses of
   all dispatchers once, registers the address of its own dispatcher, and then
   waits for further records of the operators with a long poll: a change
   arrives at once, at the price of one open request.  It fetches the newest
   records again when the store no longer has the next one.  readpace.h decides
   how long a read may wait and when to try again after a failure. It runs on
   the event loop of the dispatcher; routeconfig.c uses it.
*/

#ifndef BW_STOREREADER_H
#define BW_STOREREADER_H

#include "appendepoch.h"
#include "driver.h"
#include "evacuations.h"
#include "httpclient.h"
#include "log.h"
#include "readpace.h"
#include "settings.h"

typedef struct BwStoreReaderEvents {
    /* A value of the operators' configuration; the text is valid during the
       call.  Of several in one answer the one that was written last comes
       first. */
    void (*on_config)(void *ctx, BwSpan text);
    /* The failure domains that are evacuated, from the newest records; with a
       version. */
    void (*on_evacuations)(void *ctx, const BwEvacuations *evacuations);
    /* A record that asks for the evacuation of a domain, or takes it back. */
    void (*on_evacuation)(void *ctx, uint64_t version, BwSpan domain,
                          bool is_evacuated);
    /* The record of a dispatcher.  `address` is HOST:PORT. */
    void (*on_dispatcher)(void *ctx, BwSpan name, BwSpan address);
} BwStoreReaderEvents;

#define BW_KEY_BYTES_MAX 256 /* of a record of the store */

typedef struct BwStoreReader {
    BwHttpClient http;
    const BwLogger *logger;
    const BwDriver *driver;
    const BwStoreReaderEvents *events;
    void *ctx;
    BwReadPace pace;
    bool is_reading;
    /* The newest configuration was read, so `next_offset` is valid. */
    bool has_config;
    bool has_dispatchers; /* addresses of dispatchers were read once */
    bool is_announced;    /* the store has this dispatcher's address */
    BwAppendEpoch epoch;  /* of its announcements */
    bool is_announcing;
    uint64_t announce_us; /* earliest time of the next announcement */
    uint64_t next_offset; /* where the next read of the configuration starts */
    /* While the newest records arrive in several pages: the key after which
       the next page starts, the end of the log by the first one, and the
       evacuations that the pages listed. */
    char newest_after[BW_KEY_BYTES_MAX];
    uint32_t newest_after_bytes;
    uint64_t newest_end;
    BwEvacuations newest_evacuations;
    bool is_up;     /* the last read was answered */
    uint64_t reads; /* that have ended */
    uint64_t reads_failed;
    uint64_t answered_us; /* the last answered read; before one: the start */
    char name[BW_NAME_BYTES_MAX];
    char address[BW_ADDRESS_BYTES_MAX]; /* announced by this dispatcher */
} BwStoreReader;

/* Reads nothing yet.  `logger`, `driver` and `events` must outlive the reader.
   Returns false when the store's address is wrong. */
bool
BwStoreReader_Init(BwStoreReader *reader, h2o_loop_t *loop,
                   const BwSettings *settings, const BwLogger *logger,
                   const BwDriver *driver, const BwStoreReaderEvents *events,
                   void *ctx);

void
BwStoreReader_Finish(BwStoreReader *reader);

/* Checks timeouts and starts the request that is due. */
void
BwStoreReader_Tick(BwStoreReader *reader, uint64_t now_us);

#endif
