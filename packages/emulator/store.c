/* store.c -- the emulated store

   usage: brasswing lab store SEED PORT...

   Keeps topics of keyed records in memory and serves three calls: append,
   read with a wait for new records, and list the newest record of each key.
   Records are lost when the process ends.  Run by lab.c.

   A door is one listening port of the store.  All doors serve the same
   records.  Each door has its own fault mode, delay and call counter, so a
   test that gives every client its own door can disturb one client alone.

     POST /control
       {"door": N,            sets up door N, or all doors without "door"
        "mode": "ok|down|refuse|silent|lost|swallow", "delay_ms": N,
        "permille": N}
       {"config": {...}}      writes the operators' configuration
       {"evacuate": DOMAIN}   asks for the evacuation of a failure domain
       {"take_back": DOMAIN}  ends it
       {"forget": true}       expires all records: reads no longer return them,
                              but the list of the newest records still does
     GET /stats
       {"calls": [N, ...]}    calls received at each door

   In mode "down" a call is answered with 503, in "refuse" with 429.  In mode
   "silent" it is neither executed nor answered; in "lost" it is executed but
   not answered.  "swallow" is as "silent", but the calls that it met stay
   unanswered in later modes too.  A mode applies to `permille` of the calls,
   chosen at random with the seed, or to all calls without "permille".  A new
   mode also applies to calls that are not answered yet.  /control and /stats
   work at every door in every mode.
*/

#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <utlist.h>

#include "clock.h"
#include "emulator.h"
#include "httpserver.h"

#define DOORS_MAX 16
#define TOPICS_MAX 8
#define PAGE_RECORDS_MAX 500
/* The topic and key from which dispatchers read the configuration. */
#define CONFIG_TOPIC "keyed.op"
#define ODD_VALUE_BYTES 70000
#define CONFIG_KEY "config"
#define EVACUATION_PREFIX "evacuate/"

typedef enum FaultMode {
    MODE_OK,
    MODE_DOWN,
    MODE_REFUSE,
    MODE_SILENT,
    MODE_LOST,
    MODE_SWALLOW
} FaultMode;

static const char *const mode_names[] = {"ok",     "down", "refuse",
                                         "silent", "lost", "swallow"};

typedef struct Record {
    char *bytes; /* key length (1 byte), key, value */
    uint32_t size_bytes;
} Record;

/* The highest epoch that was seen of a producer. */
typedef struct Producer {
    char name[64];
    uint64_t epoch;
} Producer;

typedef struct Topic {
    char name[64];
    Producer *producers;
    uint32_t producer_count;
    Record *records; /* by offset up to end_offset, expired ones included */
    uint64_t first_offset, end_offset;
} Topic;

typedef struct Door {
    BwHttpServer http;
    FaultMode mode;
    uint32_t permille; /* share of the calls that the mode applies to */
    uint64_t delay_us;
    uint64_t calls;
} Door;

typedef struct PendingRequest {
    BwExchange *exchange;
    Door *door;
    /* The door's mode applies if this is below door->permille. */
    uint32_t random_permille;
    bool is_swallowed; /* never answered, whatever the mode */
    Topic *topic; /* topic of a read, which may wait; NULL for other calls */
    uint64_t from_offset;
    uint64_t wait_until_us;
    uint64_t reply_at_us; /* earliest time of the reply */
    int status;
    char *reply; /* NULL: not made yet */
    uint32_t reply_bytes;
    struct PendingRequest *prev, *next;
} PendingRequest;

static struct {
    BwEventLoop event_loop;
    Door doors[DOORS_MAX];
    uint32_t door_count;
    Topic topics[TOPICS_MAX];
    uint32_t topic_count;
    PendingRequest *requests;
    uint64_t seed;
} store;

/* ------------------------------------------------------------- records */

static Topic *
find_or_add_topic(const char *name)
{
    Topic *topic;

    for (uint32_t i = 0; i < store.topic_count; i++) {
        if (strcmp(store.topics[i].name, name) == 0)
            return &store.topics[i];
    }
    if (store.topic_count == TOPICS_MAX)
        return NULL;
    topic = &store.topics[store.topic_count++];
    snprintf(topic->name, sizeof(topic->name), "%s", name);
    return topic;
}

static void
append_record(Topic *topic, const char *bytes, uint32_t size_bytes)
{
    Record *record;

    topic->records = realloc(topic->records, (topic->end_offset + 1) *
                                                 sizeof(*topic->records));
    record = &topic->records[topic->end_offset++];
    record->bytes = malloc(size_bytes + 1);
    record->size_bytes = size_bytes;
    memcpy(record->bytes, bytes, size_bytes);
}

static uint32_t
read_big_endian_32(const char *bytes)
{
    const unsigned char *b = (const unsigned char *)bytes;

    return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 | (uint32_t)b[2] << 8 |
           b[3];
}

static void
write_big_endian(char *out, uint64_t number, int size)
{
    for (int i = 0; i < size; i++)
        out[i] = (char)(number >> (8 * (size - 1 - i)));
}

static uint32_t
key_length(const Record *record)
{
    return record->size_bytes > 0 ? (unsigned char)record->bytes[0] : 0;
}

static bool
is_same_key(const Record *a, const Record *b)
{
    return key_length(a) == key_length(b) &&
           memcmp(a->bytes, b->bytes, key_length(a) + 1) == 0;
}

static bool
is_newest(const Topic *topic, uint64_t offset)
{
    for (uint64_t i = offset + 1; i < topic->end_offset; i++) {
        if (is_same_key(&topic->records[i], &topic->records[offset]))
            return false;
    }
    return true;
}

static json_t *
make_newest_item(const Record *record, uint64_t offset)
{
    uint32_t key_bytes = key_length(record);
    uint32_t value_bytes = record->size_bytes - 1 - key_bytes;
    char *text = malloc(value_bytes * 4 / 3 + 8);
    json_t *item;

    EVP_EncodeBlock((unsigned char *)text,
                    (unsigned char *)record->bytes + 1 + key_bytes,
                    (int)value_bytes);
    item = json_pack("{s:s%, s:s, s:I}", "key", record->bytes + 1,
                     (size_t)key_bytes, "value", text, "offset",
                     (json_int_t)offset);
    free(text);
    return item;
}

/* ------------------------------------------------------------- replies */

static void
set_json_reply(PendingRequest *request, int status, json_t *document)
{
    request->status = status;
    request->reply = json_dumps(document, JSON_COMPACT);
    request->reply_bytes = (uint32_t)strlen(request->reply);
    json_decref(document);
}

/* Lists the newest record of each key, up to PAGE_RECORDS_MAX.  Further pages
   are not implemented, since an experiment has few keys. */
static void
set_newest_reply(PendingRequest *request, const Topic *topic)
{
    json_t *items = json_array();

    for (uint64_t i = 0; i < topic->end_offset; i++) {
        const Record *record = &topic->records[i];

        if (record->size_bytes > 1 + key_length(record) &&
            is_newest(topic, i) && json_array_size(items) < PAGE_RECORDS_MAX)
            json_array_append_new(items, make_newest_item(record, i));
    }
    set_json_reply(request, 200,
                   json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0,
                             "end", (json_int_t)topic->end_offset));
}

static void
set_read_reply(PendingRequest *request, const Topic *topic,
               uint64_t from_offset)
{
    size_t size = 16;
    char *at;

    for (uint64_t i = from_offset; i < topic->end_offset; i++)
        size += 4 + topic->records[i].size_bytes;
    request->status = 200;
    request->reply = malloc(size);
    request->reply_bytes = (uint32_t)size;
    write_big_endian(request->reply, topic->end_offset, 8);
    write_big_endian(request->reply + 8, topic->first_offset, 8);
    at = request->reply + 16;
    for (uint64_t i = from_offset; i < topic->end_offset; i++) {
        const Record *record = &topic->records[i];

        write_big_endian(at, record->size_bytes, 4);
        memcpy(at + 4, record->bytes, record->size_bytes);
        at += 4 + record->size_bytes;
    }
}

static void
send_reply(PendingRequest *request)
{
    BwSpan body = {request->reply, request->reply_bytes};

    DL_DELETE(store.requests, request);
    request->exchange->data = NULL;
    BwExchange_Reply(request->exchange, request->status, "application/json",
                     body, 0);
    free(request->reply);
    free(request);
}

static FaultMode
active_mode(const PendingRequest *request)
{
    const Door *door = request->door;

    return request->random_permille < door->permille ? door->mode : MODE_OK;
}

static void
tick_request(PendingRequest *request, uint64_t now_us)
{
    Topic *topic = request->topic;
    FaultMode mode = active_mode(request);

    request->is_swallowed |= mode == MODE_SWALLOW;
    if (request->is_swallowed || mode == MODE_SILENT || mode == MODE_LOST ||
        now_us < request->reply_at_us)
        return;
    if (mode != MODE_OK && request->reply == NULL)
        set_json_reply(request, mode == MODE_DOWN ? 503 : 429, json_object());
    if (request->reply == NULL && topic != NULL) {
        if (request->from_offset >= topic->end_offset &&
            now_us < request->wait_until_us)
            return;
        if (request->from_offset < topic->first_offset)
            set_json_reply(
                request, 410,
                json_pack("{s:I}", "first", (json_int_t)topic->first_offset));
        else
            set_read_reply(request, topic, request->from_offset);
    }
    send_reply(request);
}

static void
send_due_replies(void *ctx)
{
    PendingRequest *request, *next;

    (void)ctx;
    DL_FOREACH_SAFE(store.requests, request, next)
    {
        tick_request(request, BwClock_Now());
    }
    if (BwEmulator_IsStopping())
        BwEventLoop_Stop(&store.event_loop);
}

/* ------------------------------------------------------------- serving */

static void
read_query_text(const BwExchange *exchange, const char *name, char *out,
                size_t capacity)
{
    char query[256];
    const char *at;
    size_t length;

    BwSpan_ToString(exchange->query, query, sizeof(query));
    out[0] = '\0';
    at = strstr(query, name);
    if (at == NULL)
        return;
    at += strlen(name);
    length = strcspn(at, "&");
    snprintf(out, capacity, "%.*s", (int)length, at);
}

static uint64_t
read_query_number(const BwExchange *exchange, const char *name)
{
    char text[32];

    read_query_text(exchange, name, text, sizeof(text));
    return strtoull(text, NULL, 10);
}

static Producer *
find_or_add_producer(Topic *topic, const char *name)
{
    Producer *producer;

    for (uint32_t i = 0; i < topic->producer_count; i++) {
        if (strcmp(topic->producers[i].name, name) == 0)
            return &topic->producers[i];
    }
    topic->producers =
        realloc(topic->producers,
                (topic->producer_count + 1) * sizeof(*topic->producers));
    producer = &topic->producers[topic->producer_count++];
    snprintf(producer->name, sizeof(producer->name), "%s", name);
    producer->epoch = 0;
    return producer;
}

/* Returns whether the append names a producer and an epoch below one that was
   seen of it.  Sequence numbers are not checked. */
static bool
is_fenced(Topic *topic, const BwExchange *exchange)
{
    uint64_t epoch = read_query_number(exchange, "epoch=");
    Producer *producer;
    char name[64];

    read_query_text(exchange, "producer=", name, sizeof(name));
    if (name[0] == '\0')
        return false;
    producer = find_or_add_producer(topic, name);
    if (epoch < producer->epoch)
        return true;
    producer->epoch = epoch;
    return false;
}

static void
serve_append(PendingRequest *request, Topic *topic, BwSpan body)
{
    uint64_t first_offset = topic->end_offset;
    uint32_t at = 0;

    if (is_fenced(topic, request->exchange)) {
        set_json_reply(request, 409, json_pack("{s:s}", "reason", "fenced"));
        return;
    }
    while (at + 4 <= body.size_bytes) {
        uint32_t length = read_big_endian_32(body.base + at);

        if (length > body.size_bytes - at - 4)
            break;
        append_record(topic, body.base + at + 4, length);
        at += 4 + length;
    }
    set_json_reply(request, 200,
                   json_pack("{s:I, s:I}", "offset", (json_int_t)first_offset,
                             "end", (json_int_t)topic->end_offset));
}

static bool
has_path(const BwExchange *exchange, const char *path)
{
    return BwSpan_Equal(exchange->path, BwSpan_FromString(path));
}

static void
serve_api_request(Door *door, BwExchange *exchange)
{
    PendingRequest *request = calloc(1, sizeof(*request));
    uint64_t now_us = BwClock_Now();
    FaultMode mode;
    char name[64];
    Topic *topic;

    door->calls++;
    request->exchange = exchange;
    request->door = door;
    request->reply_at_us = now_us + door->delay_us;
    request->random_permille = BwEmulator_Random(&store.seed, 1000);
    mode = active_mode(request);
    exchange->data = request;
    DL_APPEND(store.requests, request);
    read_query_text(exchange, "topic=", name, sizeof(name));
    topic = find_or_add_topic(name);
    if (mode != MODE_OK && mode != MODE_LOST)
        topic = NULL;
    else if (topic == NULL)
        set_json_reply(request, 400, json_object());
    else if (has_path(exchange, "/api/log-append"))
        serve_append(request, topic, exchange->body);
    else if (has_path(exchange, "/api/log-newest"))
        set_newest_reply(request, topic);
    else if (has_path(exchange, "/api/log-read")) {
        request->topic = topic;
        request->from_offset = read_query_number(exchange, "from=");
        request->wait_until_us =
            now_us + read_query_number(exchange, "waitMs=") * 1000;
    }
    else
        set_json_reply(request, 404, json_object());
    send_due_replies(NULL);
}

static void
set_mode(Door *door, const json_t *root)
{
    const char *mode = json_string_value(json_object_get(root, "mode"));
    const json_t *delay = json_object_get(root, "delay_ms");
    const json_t *permille = json_object_get(root, "permille");

    for (size_t i = 0;
         mode != NULL && i < sizeof(mode_names) / sizeof(mode_names[0]); i++) {
        if (strcmp(mode, mode_names[i]) == 0)
            door->mode = (FaultMode)i;
    }
    if (mode != NULL)
        door->permille =
            permille != NULL ? (uint32_t)json_integer_value(permille) : 1000;
    if (delay != NULL)
        door->delay_us = (uint64_t)json_integer_value(delay) * 1000;
}

/* Appends a keyed record; an empty value deletes the key. */
static void
write_record(const char *topic, const char *key, const char *value)
{
    size_t capacity = strlen(key) + strlen(value) + 2;
    char *bytes = malloc(capacity);

    bytes[0] = (char)strlen(key);
    snprintf(bytes + 1, capacity - 1, "%s%s", key, value);
    append_record(find_or_add_topic(topic), bytes,
                  1 + (uint32_t)strlen(bytes + 1));
    free(bytes);
}

static void
write_config(const json_t *config)
{
    char *text = json_dumps(config, JSON_COMPACT);

    write_record(CONFIG_TOPIC, CONFIG_KEY, text);
    free(text);
}

static void
write_evacuation(const char *domain, bool is_asked)
{
    char key[256];

    snprintf(key, sizeof(key), "%s%.200s", EVACUATION_PREFIX, domain);
    write_record(CONFIG_TOPIC, key, is_asked ? "{}" : "");
}

/* Appends what another writer may leave under the key: texts that are nested
   deeply, numbers too large, ports out of range, long texts, bytes that are no
   record. */
static void
write_odd_records(const char *key)
{
    static const char *const topics[] = {"keyed.members", "keyed.workers",
                                         "keyed.routes"};
    static const char *const values[] = {
        "10.0.0.1:99999",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "{\"checks\":[1e999,18446744073709551616]}",
        "{\"checks\":[9223372036854775807,-1]}",
        "/api/Instances.Heartbeat/stranger\n{\"service\":\"s\",\"zone\":\"z\","
        "\"state\":\"ready\",\"sequence\":9223372036854775807,"
        "\"clockMs\":9223372036854775807,\"labels\":[],"
        "\"capacity\":{\"cpu\":1e308,\"memMb\":1}}",
        "/api/Instances.Heartbeat/stranger\n{\"service\":\"s\",\"zone\":\"z\","
        "\"state\":\"ready\",\"sequence\":9007199254740991,"
        "\"clockMs\":9007199254740991,\"labels\":[],"
        "\"capacity\":{\"cpu\":1,\"memMb\":1}}",
    };
    char *nested = malloc(ODD_VALUE_BYTES + 1);

    memset(nested, '[', ODD_VALUE_BYTES);
    nested[ODD_VALUE_BYTES] = '\0';
    for (size_t i = 0; i < sizeof(topics) / sizeof(topics[0]); i++) {
        append_record(find_or_add_topic(topics[i]), "", 0);
        append_record(find_or_add_topic(topics[i]), "\xff", 1);
        write_record(topics[i], key, nested);
        for (size_t j = 0; j < sizeof(values) / sizeof(values[0]); j++)
            write_record(topics[i], key, values[j]);
    }
    free(nested);
}

static void
serve_control(BwExchange *exchange)
{
    json_t *root =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    const json_t *door = json_object_get(root, "door");
    const json_t *config = json_object_get(root, "config");
    const char *evacuated =
        json_string_value(json_object_get(root, "evacuate"));
    const char *odd_key = json_string_value(json_object_get(root, "odd"));
    const char *taken_back =
        json_string_value(json_object_get(root, "take_back"));

    for (uint32_t i = 0; i < store.door_count; i++) {
        if (door == NULL || (uint32_t)json_integer_value(door) == i)
            set_mode(&store.doors[i], root);
    }
    if (config != NULL)
        write_config(config);
    if (evacuated != NULL)
        write_evacuation(evacuated, true);
    if (taken_back != NULL)
        write_evacuation(taken_back, false);
    if (odd_key != NULL)
        write_odd_records(odd_key);
    if (json_is_true(json_object_get(root, "forget"))) {
        for (uint32_t i = 0; i < store.topic_count; i++)
            store.topics[i].first_offset = store.topics[i].end_offset;
    }
    BwExchange_Reply(exchange, root != NULL ? 200 : 400, "application/json",
                     BwSpan_FromString("{}"), 0);
    json_decref(root);
    send_due_replies(NULL);
}

static void
serve_stats(BwExchange *exchange)
{
    json_t *calls = json_array();
    json_t *root;
    char *text;

    for (uint32_t i = 0; i < store.door_count; i++)
        json_array_append_new(calls,
                              json_integer((json_int_t)store.doors[i].calls));
    root = json_pack("{s:o}", "calls", calls);
    text = json_dumps(root, JSON_COMPACT);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString(text), 0);
    free(text);
    json_decref(root);
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    Door *door = ctx;

    if (has_path(exchange, "/control"))
        serve_control(exchange);
    else if (has_path(exchange, "/stats"))
        serve_stats(exchange);
    else
        serve_api_request(door, exchange);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    PendingRequest *request = exchange->data;

    (void)ctx;
    if (request == NULL)
        return;
    DL_DELETE(store.requests, request);
    free(request->reply);
    free(request);
}

int
BwEmulator_RunStore(int argc, char **argv)
{
    static const BwHttpEvents http_events = {on_request, on_abort, on_request};
    static const BwLoopEvents loop_events = {BwEmulator_IgnoreThreadMessage,
                                             send_due_replies};

    if (argc < 2) {
        fprintf(stderr, "usage: brasswing lab store SEED PORT...\n");
        return 2;
    }
    store.seed = strtoull(argv[0], NULL, 10);
    BwEventLoop_Init(&store.event_loop, &loop_events, NULL);
    for (int i = 1; i < argc && store.door_count < DOORS_MAX; i++) {
        Door *door = &store.doors[store.door_count++];

        if (!BwHttpServer_Init(&door->http, store.event_loop.loop, "127.0.0.1",
                               (uint16_t)strtoul(argv[i], NULL, 10), 1u << 22,
                               &http_events, door)) {
            perror("store");
            return 1;
        }
    }
    BwEmulator_ReportStarted("store", store.doors[0].http.port);
    BwEventLoop_Run(&store.event_loop);
    return 0;
}
