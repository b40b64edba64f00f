/* keptrecord.h -- a record on the platform's store for the next process

   What a process has learnt is lost with it, and no host has a disk.  A few
   things are worth keeping for the process that follows: they are written as
   one record of a topic, under the name of this process, and read back at a
   start.  A record is a hint and never needed: while the store does not answer
   the process works without it.

   Only the newest text is written; one that is replaced before it was written
   is dropped.  The store refuses a write that arrives after a newer one
   (appendepoch.h), since the process that follows must not find what no longer
   holds, such as a worker that has left.  workerrecord.c and routerecord.c use
   this on the event loop of their role.
*/

#ifndef BW_KEPTRECORD_H
#define BW_KEPTRECORD_H

#include "appendepoch.h"
#include "driver.h"
#include "httpclient.h"
#include "settings.h"

typedef struct BwKeptRecord {
    BwHttpClient http;
    const BwDriver *driver;
    BwStoreTopic topic;
    /* Passes the records that were read back, which are valid during the
       call. */
    void (*on_read)(void *ctx, const BwStorePage *page);
    void *ctx;
    char name[BW_NAME_BYTES_MAX];  /* the key that is written */
    char after[BW_NAME_BYTES_MAX]; /* keys after it are read */
    bool is_read;                  /* or no longer of use */
    uint64_t read_until_us;
    bool is_calling;
    uint64_t retry_us;
    char *text; /* to be written; NULL: nothing is */
    uint32_t text_bytes;
    BwAppendEpoch epoch;
    bool is_replaced; /* `text` is newer than what is being written */
} BwKeptRecord;

/* Reads the records whose keys come after `after`, from the first call of
   BwKeptRecord_Tick on.  Returns false when the store's address is wrong.
   `driver` must outlive the record. */
bool
BwKeptRecord_Init(BwKeptRecord *record, h2o_loop_t *loop,
                  const BwSettings *settings, const BwDriver *driver,
                  BwStoreTopic topic, const char *after,
                  void (*on_read)(void *ctx, const BwStorePage *page),
                  void *ctx);

void
BwKeptRecord_Finish(BwKeptRecord *record);

/* Reads no more: what the records tell is known by now. */
void
BwKeptRecord_StopReading(BwKeptRecord *record);

/* Copies the text, to be written in place of earlier ones; an empty one
   deletes the record. */
void
BwKeptRecord_Write(BwKeptRecord *record, BwSpan text);

/* Checks timeouts, and reads or writes what is due. */
void
BwKeptRecord_Tick(BwKeptRecord *record, uint64_t now_us);

#endif
