/* test_keptrecord.c -- a record on the store that is written more than once

   A write without an answer may be carried out after a newer one.  Guards
   against an old text that replaces a newer one this way: the next process
   would find a worker ready that had left.

   The store here is that of the platform in a few lines: it keeps one record
   and the highest epoch of its producer.
*/

#include <string.h>

#include <glib.h>

#include "brasswing.h"
#include "clock.h"
#include "keptrecord.h"
#include "node.h"

#define SECOND_US 1000000
#define HOUR_MS 3600000
#define WRITES_MAX 64

typedef struct Write {
    char text[32];
    uint64_t epoch;
    BwHttpCallback callback;
    void *data;
} Write;

static struct {
    Write writes[WRITES_MAX];
    uint32_t write_count;
    char text[32]; /* of the record */
    uint64_t epoch;
} store;

/* ------------------------------------------------------------- driver */

static bool
make_append(BwStoreTopic topic, BwSpan key, BwSpan value, uint64_t epoch,
            BwHttpRequest *call)
{
    Write *write = &store.writes[store.write_count];

    (void)topic;
    (void)key;
    g_assert_cmpuint(store.write_count, <, WRITES_MAX);
    memset(call, 0, sizeof(*call));
    BwSpan_ToString(value, write->text, sizeof(write->text));
    write->epoch = epoch;
    return true;
}

static const BwDriver driver = {.make_append = make_append};

/* That of node.c, which is not linked. */
void
BwNode_SendRequest(BwHttpClient *client, BwHttpRequest *request,
                   uint64_t deadline_us, BwHttpCallback callback, void *data)
{
    Write *write = &store.writes[store.write_count++];

    (void)client;
    (void)request;
    (void)deadline_us;
    write->callback = callback;
    write->data = data;
}

/* -------------------------------------------------------------- store */

static void
answer(const Write *write, uint32_t status)
{
    BwHttpReply reply = {.outcome = status != 0 ? BW_HTTP_ANSWERED
                                                : BW_HTTP_TIMED_OUT,
                         .status = (int)status};

    write->callback(write->data, &reply);
}

/* Carries the write out, and returns the status of the answer. */
static uint32_t
carry_out(const Write *write)
{
    if (write->epoch < store.epoch)
        return 409;
    store.epoch = write->epoch;
    strcpy(store.text, write->text);
    return 200;
}

static const Write *
last_write(void)
{
    g_assert_cmpuint(store.write_count, >, 0);
    return &store.writes[store.write_count - 1];
}

static void
on_read(void *ctx, const BwStorePage *page)
{
    (void)ctx;
    (void)page;
}

static void
open_record(BwKeptRecord *record)
{
    static BwSettings settings;

    strcpy(settings.log.host, "127.0.0.1");
    settings.log.port = 9;
    strcpy(settings.name, "name");
    g_assert_true(BwKeptRecord_Init(record, h2o_evloop_create(), &settings,
                                    &driver, BW_TOPIC_WORKERS, "", on_read,
                                    NULL));
    BwKeptRecord_StopReading(record);
}

static void
reset_store(void)
{
    memset(&store, 0, sizeof(store));
}

/* -------------------------------------------------------------- tests */

static void
test_late_write(void)
{
    BwKeptRecord record;
    uint64_t now_us = BwClock_Now();
    Write late;

    reset_store();
    open_record(&record);
    BwKeptRecord_Write(&record, BwSpan_FromString("ready"));
    BwKeptRecord_Tick(&record, now_us);
    late = *last_write();
    answer(&late, 0);
    BwKeptRecord_Write(&record, BwSpan_FromString("left"));
    BwKeptRecord_Tick(&record, now_us);
    answer(last_write(), carry_out(last_write()));
    g_assert_cmpstr(store.text, ==, "left");
    g_assert_cmpuint(carry_out(&late), ==, 409);
    g_assert_cmpstr(store.text, ==, "left");
    BwKeptRecord_Finish(&record);
}

/* The process that follows writes, and only then a write of the one before is
   carried out. */
static void
test_late_write_of_former(void)
{
    BwKeptRecord former, record;
    uint64_t now_us = BwClock_Now();
    Write late;

    reset_store();
    open_record(&former);
    BwKeptRecord_Write(&former, BwSpan_FromString("ready"));
    BwKeptRecord_Tick(&former, now_us);
    late = *last_write();
    g_usleep(2000); /* the epochs are milliseconds of the wall clock */
    open_record(&record);
    BwKeptRecord_Write(&record, BwSpan_FromString("left"));
    BwKeptRecord_Tick(&record, now_us);
    answer(last_write(), carry_out(last_write()));
    g_assert_cmpuint(carry_out(&late), ==, 409);
    g_assert_cmpstr(store.text, ==, "left");
    BwKeptRecord_Finish(&former);
    BwKeptRecord_Finish(&record);
}

/* The wall clock was set back by an hour since the last write. */
static void
test_clock_set_back(void)
{
    BwKeptRecord record;
    uint64_t now_us = BwClock_Now();

    reset_store();
    store.epoch = BwClock_WallNow() / 1000 + HOUR_MS;
    open_record(&record);
    BwKeptRecord_Write(&record, BwSpan_FromString("ready"));
    for (uint32_t i = 0; i < 20 && store.text[0] == '\0'; i++) {
        now_us += SECOND_US;
        BwKeptRecord_Tick(&record, now_us);
        answer(last_write(), carry_out(last_write()));
    }
    g_assert_cmpstr(store.text, ==, "ready");
    BwKeptRecord_Finish(&record);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/keptrecord/late_write", test_late_write);
    g_test_add_func("/keptrecord/late_write_of_former",
                    test_late_write_of_former);
    g_test_add_func("/keptrecord/clock_set_back", test_clock_set_back);
    return g_test_run();
}
