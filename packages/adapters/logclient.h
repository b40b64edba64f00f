/* logclient.h -- client of the platform's append-only log

   It follows one stream of the log from offset 0 by long polling, and appends
   records.  readpace.h decides how long a poll waits, when it is given up and
   when it is sent again, so that a log that was silent is read in time after
   its return.  The directory calls it.  The protocol, over HTTP:

     POST /v1/streams/STREAM/records                 body: the record
       200 {"offset": N}
     GET  /v1/streams/STREAM/records?from=N&wait_ms=M
       200 {"first": F, "next": N, "records": [{"offset": N, "body": "..."}]}

   `first` is the offset of the oldest record still retained, `next` the one
   after the newest record.  A read waits up to wait_ms milliseconds for a
   record at or after `from`.  An append that is not answered may have taken
   effect.
*/

#ifndef BW_LOGCLIENT_H
#define BW_LOGCLIENT_H

#include <jansson.h>

#include "httpclient.h"
#include "readpace.h"

typedef struct BwLogClient BwLogClient;

typedef struct BwLogEvents {
    /* A page was read, before on_record is called for its records.  The log no
       longer retains the records before `first`. */
    void (*on_page)(void *ctx, uint64_t first);
    /* Called for each record, in the order of offsets.  `body` is NULL when
       the record is not a JSON object or array; it is released after the
       callback. */
    void (*on_record)(void *ctx, uint64_t offset, json_t *body);
    /* Every record that the log had at the time of the read was delivered.
       `first` and `next` are as in the protocol. */
    void (*on_caught_up)(void *ctx, uint64_t first, uint64_t next);
    /* A read failed or its reply was invalid; the client will retry. */
    void (*on_failure)(void *ctx);
} BwLogEvents;

struct BwLogClient {
    BwHttpClient http;
    char path[160];
    uint64_t next_offset;
    BwReadPace pace;
    bool is_reading;
    bool was_seek_called; /* while a page was being delivered */
    const BwLogEvents *events;
    void *ctx;
};

/* Sets up a client that reads from offset 0.  `in_force_us` is the time in
   which a record has to be read and applied everywhere.  `events` must live as
   long as the client.  Returns false when `host` is not a numeric IP
   address. */
bool
BwLogClient_Init(BwLogClient *client, h2o_loop_t *loop, const char *host,
                 uint16_t port, const char *stream, uint64_t in_force_us,
                 const BwLogEvents *events, void *ctx);

void
BwLogClient_Finish(BwLogClient *client);

/* Starts the next read and ends calls whose deadline has passed.  `now_us` is
   BwClock_Now.  To be called every few milliseconds. */
void
BwLogClient_Tick(BwLogClient *client, uint64_t now_us);

/* Continues to read at `offset`.  After a call from on_record the rest of the
   page is not delivered. */
void
BwLogClient_Seek(BwLogClient *client, uint64_t offset);

/* Appends a record, which the caller keeps.  The callback's reply says
   BW_HTTP_NOT_SENT when the record was certainly not appended.  After any
   other failure it may have been, and only reading the log can tell. */
void
BwLogClient_Append(BwLogClient *client, uint64_t now_us, json_t *record,
                   BwHttpCallback callback, void *data);

#endif
