/* store.c -- the emulated store

   usage: brasswing lab store SEED PORT...

   Keeps topics of keyed records in memory: append, read with waiting, and the
   newest record of each key.  Every port is a door of its own to the same
   records, so that a test gives each caller a door and disturbs one of them:

     POST /control {"door": N, "mode": "ok|down|refuse|silent|lost",
                    "delay_ms": N,
                    "permille": N}        without "door": all doors
                   {"config": {...}}      the operators write it
                   {"forget": true}       all but the newest records expire
     GET /stats    {"calls": [N, ...]}    calls taken at each door

   "down" answers 503 and "refuse" 429; "silent" never answers and does
   nothing; "lost" does what is asked and never answers.  A mode holds for so
   many of the calls, drawn with the seed.  Control works on the first door in
   every mode.
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
#define CONFIG_TOPIC "keyed.op"
#define CONFIG_KEY "config"

typedef enum Mode {
    MODE_OK,
    MODE_DOWN,
    MODE_REFUSE,
    MODE_SILENT,
    MODE_LOST
} Mode;

static const char *const mode_names[] = {"ok", "down", "refuse", "silent",
                                         "lost"};

typedef struct Record {
    char *bytes; /* as appended, without the length in front */
    uint32_t size_bytes;
} Record;

typedef struct Topic {
    char name[64];
    Record *records;
    uint64_t first, end;
} Topic;

typedef struct Door {
    BwHttpServer http;
    Mode mode;
    uint32_t permille; /* of the calls that it holds for */
    uint64_t delay_us;
    uint64_t calls;
} Door;

typedef struct Waiting {
    BwExchange *exchange;
    Door *door;
    uint32_t draw; /* whether the mode holds for it */
    Topic *topic;  /* of a read that waits; NULL: the reply stands */
    uint64_t from;
    uint64_t give_up_us;
    uint64_t reply_at_us;
    int status;
    char *reply;
    uint32_t reply_bytes;
    struct Waiting *prev, *next;
} Waiting;

static struct {
    BwTaskLoop task;
    Door doors[DOORS_MAX];
    uint32_t door_count;
    Topic topics[TOPICS_MAX];
    uint32_t topic_count;
    Waiting *waiting;
    uint64_t seed;
} me;

/* ------------------------------------------------------------- records */

static Topic *
find_topic(const char *name)
{
    Topic *topic;

    for (uint32_t i = 0; i < me.topic_count; i++) {
        if (strcmp(me.topics[i].name, name) == 0)
            return &me.topics[i];
    }
    if (me.topic_count == TOPICS_MAX)
        return NULL;
    topic = &me.topics[me.topic_count++];
    snprintf(topic->name, sizeof(topic->name), "%s", name);
    return topic;
}

static void
append_record(Topic *topic, const char *bytes, uint32_t size_bytes)
{
    Record *record;

    topic->records =
        realloc(topic->records, (topic->end + 1) * sizeof(*topic->records));
    record = &topic->records[topic->end++];
    record->bytes = malloc(size_bytes + 1);
    record->size_bytes = size_bytes;
    memcpy(record->bytes, bytes, size_bytes);
}

static uint32_t
read_length(const char *bytes)
{
    const unsigned char *b = (const unsigned char *)bytes;

    return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 | (uint32_t)b[2] << 8 |
           b[3];
}

static void
write_number(char *out, uint64_t number, int size)
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
    for (uint64_t i = offset + 1; i < topic->end; i++) {
        if (is_same_key(&topic->records[i], &topic->records[offset]))
            return false;
    }
    return true;
}

static json_t *
make_item(const Record *record, uint64_t offset)
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
set_json(Waiting *waiting, int status, json_t *document)
{
    waiting->status = status;
    waiting->reply = json_dumps(document, JSON_COMPACT);
    waiting->reply_bytes = (uint32_t)strlen(waiting->reply);
    json_decref(document);
}

/* Every newest record; a test has few keys, so there is one page. */
static void
set_newest(Waiting *waiting, const Topic *topic)
{
    json_t *items = json_array();

    for (uint64_t i = 0; i < topic->end; i++) {
        const Record *record = &topic->records[i];

        if (record->size_bytes > 1 + key_length(record) &&
            is_newest(topic, i) && json_array_size(items) < PAGE_RECORDS_MAX)
            json_array_append_new(items, make_item(record, i));
    }
    set_json(waiting, 200,
             json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0, "end",
                       (json_int_t)topic->end));
}

static void
set_page(Waiting *waiting, const Topic *topic, uint64_t from)
{
    size_t size = 16;
    char *at;

    for (uint64_t i = from; i < topic->end; i++)
        size += 4 + topic->records[i].size_bytes;
    waiting->status = 200;
    waiting->reply = malloc(size);
    waiting->reply_bytes = (uint32_t)size;
    write_number(waiting->reply, topic->end, 8);
    write_number(waiting->reply + 8, topic->first, 8);
    at = waiting->reply + 16;
    for (uint64_t i = from; i < topic->end; i++) {
        const Record *record = &topic->records[i];

        write_number(at, record->size_bytes, 4);
        memcpy(at + 4, record->bytes, record->size_bytes);
        at += 4 + record->size_bytes;
    }
}

static void
end_waiting(Waiting *waiting)
{
    BwSpan body = {waiting->reply, waiting->reply_bytes};

    DL_DELETE(me.waiting, waiting);
    waiting->exchange->data = NULL;
    BwExchange_Reply(waiting->exchange, waiting->status, "application/json",
                     body, 0);
    free(waiting->reply);
    free(waiting);
}

static Mode
mode_of(const Waiting *waiting)
{
    const Door *door = waiting->door;

    return waiting->draw < door->permille ? door->mode : MODE_OK;
}

static void
tick_waiting(Waiting *waiting, uint64_t now_us)
{
    Topic *topic = waiting->topic;
    Mode mode = mode_of(waiting);

    if (mode == MODE_SILENT || mode == MODE_LOST ||
        now_us < waiting->reply_at_us)
        return;
    if (mode != MODE_OK && waiting->reply == NULL)
        set_json(waiting, mode == MODE_DOWN ? 503 : 429, json_object());
    if (waiting->reply == NULL && topic != NULL) {
        if (waiting->from >= topic->end && now_us < waiting->give_up_us)
            return;
        if (waiting->from < topic->first)
            set_json(waiting, 410,
                     json_pack("{s:I}", "first", (json_int_t)topic->first));
        else
            set_page(waiting, topic, waiting->from);
    }
    end_waiting(waiting);
}

static void
on_tick(void *ctx)
{
    Waiting *waiting, *next;

    (void)ctx;
    DL_FOREACH_SAFE(me.waiting, waiting, next)
    {
        tick_waiting(waiting, BwClock_Now());
    }
    if (BwEmulator_IsStopping())
        BwTaskLoop_Stop(&me.task);
}

/* ------------------------------------------------------------- serving */

static void
query_text(const BwExchange *exchange, const char *name, char *out,
           size_t room)
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
    snprintf(out, room, "%.*s", (int)length, at);
}

static uint64_t
query_number(const BwExchange *exchange, const char *name)
{
    char text[32];

    query_text(exchange, name, text, sizeof(text));
    return strtoull(text, NULL, 10);
}

static void
serve_append(Waiting *waiting, Topic *topic, BwSpan body)
{
    uint64_t first = topic->end;
    uint32_t at = 0;

    while (at + 4 <= body.size_bytes) {
        uint32_t length = read_length(body.base + at);

        if (length > body.size_bytes - at - 4)
            break;
        append_record(topic, body.base + at + 4, length);
        at += 4 + length;
    }
    set_json(waiting, 200,
             json_pack("{s:I, s:I}", "offset", (json_int_t)first, "end",
                       (json_int_t)topic->end));
}

static bool
has_path(const BwExchange *exchange, const char *path)
{
    return BwSpan_Equal(exchange->path, BwSpan_FromString(path));
}

static void
serve_call(Door *door, BwExchange *exchange)
{
    Waiting *waiting = calloc(1, sizeof(*waiting));
    uint64_t now_us = BwClock_Now();
    Mode mode;
    char name[64];
    Topic *topic;

    door->calls++;
    waiting->exchange = exchange;
    waiting->door = door;
    waiting->reply_at_us = now_us + door->delay_us;
    waiting->draw = BwEmulator_Draw(&me.seed, 1000);
    mode = mode_of(waiting);
    exchange->data = waiting;
    DL_APPEND(me.waiting, waiting);
    query_text(exchange, "topic=", name, sizeof(name));
    topic = find_topic(name);
    if (mode != MODE_OK && mode != MODE_LOST)
        topic = NULL;
    else if (topic == NULL)
        set_json(waiting, 400, json_object());
    else if (has_path(exchange, "/api/log-append"))
        serve_append(waiting, topic, exchange->body);
    else if (has_path(exchange, "/api/log-newest"))
        set_newest(waiting, topic);
    else if (has_path(exchange, "/api/log-read")) {
        waiting->topic = topic;
        waiting->from = query_number(exchange, "from=");
        waiting->give_up_us =
            now_us + query_number(exchange, "waitMs=") * 1000;
    }
    else
        set_json(waiting, 404, json_object());
    on_tick(NULL);
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
            door->mode = (Mode)i;
    }
    if (mode != NULL)
        door->permille =
            permille != NULL ? (uint32_t)json_integer_value(permille) : 1000;
    if (delay != NULL)
        door->delay_us = (uint64_t)json_integer_value(delay) * 1000;
}

static void
write_config(const json_t *config)
{
    char *text = json_dumps(config, JSON_COMPACT);
    size_t room = sizeof(CONFIG_KEY) + strlen(text) + 1;
    char *bytes = malloc(room);

    bytes[0] = (char)strlen(CONFIG_KEY);
    snprintf(bytes + 1, room - 1, "%s%s", CONFIG_KEY, text);
    append_record(find_topic(CONFIG_TOPIC), bytes,
                  1 + (uint32_t)strlen(bytes + 1));
    free(bytes);
    free(text);
}

static void
serve_control(BwExchange *exchange)
{
    json_t *root =
        json_loadb(exchange->body.base, exchange->body.size_bytes, 0, NULL);
    const json_t *door = json_object_get(root, "door");
    const json_t *config = json_object_get(root, "config");

    for (uint32_t i = 0; i < me.door_count; i++) {
        if (door == NULL || (uint32_t)json_integer_value(door) == i)
            set_mode(&me.doors[i], root);
    }
    if (config != NULL)
        write_config(config);
    if (json_is_true(json_object_get(root, "forget"))) {
        for (uint32_t i = 0; i < me.topic_count; i++)
            me.topics[i].first = me.topics[i].end;
    }
    BwExchange_Reply(exchange, root != NULL ? 200 : 400, "application/json",
                     BwSpan_FromString("{}"), 0);
    json_decref(root);
    on_tick(NULL);
}

static void
serve_stats(BwExchange *exchange)
{
    json_t *calls = json_array();
    json_t *root;
    char *text;

    for (uint32_t i = 0; i < me.door_count; i++)
        json_array_append_new(calls,
                              json_integer((json_int_t)me.doors[i].calls));
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
        serve_call(door, exchange);
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    Waiting *waiting = exchange->data;

    (void)ctx;
    if (waiting == NULL)
        return;
    DL_DELETE(me.waiting, waiting);
    free(waiting->reply);
    free(waiting);
}

int
BwEmulator_RunStore(int argc, char **argv)
{
    static const BwHttpEvents http_events = {on_request, on_abort, on_request};
    static const BwTaskEvents task_events = {BwEmulator_DropMail, on_tick};

    if (argc < 2) {
        fprintf(stderr, "usage: brasswing lab store SEED PORT...\n");
        return 2;
    }
    me.seed = strtoull(argv[0], NULL, 10);
    BwTaskLoop_Init(&me.task, &task_events, NULL);
    for (int i = 1; i < argc && me.door_count < DOORS_MAX; i++) {
        Door *door = &me.doors[me.door_count++];

        if (!BwHttpServer_Init(&door->http, me.task.loop, "127.0.0.1",
                               (uint16_t)strtoul(argv[i], NULL, 10), 1u << 22,
                               &http_events, door)) {
            perror("store");
            return 1;
        }
    }
    BwEmulator_Ready("store", me.doors[0].http.port);
    BwTaskLoop_Run(&me.task);
    return 0;
}
