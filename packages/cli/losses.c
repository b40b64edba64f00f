/* losses.c -- when and why bound jobs were served badly, see losses.h

   A window is a JSON object that grows with each line, so that the counts can
   be printed as they are.  Every line is parsed once and dropped; the memory
   follows the number of windows, routes and reasons.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "configlog.h"
#include "joblog.h"
#include "losses.h"

/* Events that explain a window, besides the ends of jobs. */
static const char *const marks[] = {
    "started",      "stopping",      "store_lost",      "store_regained",
    "link_down",    "eject",         "config_in_force", "reload_refused",
    "loop_stalled", "clock_stepped", "worker_crashed",  "confine",
    "release"};

#define MARK_COUNT (sizeof(marks) / sizeof(marks[0]))

/* How a job ended, as the keys of the counts. */
static const char *const end_names[] = {"in_time", "failed", "refused",
                                        "timed_out"};

void
BwLosses_Init(BwLosses *losses, uint64_t window_us)
{
    losses->window_us = window_us > 0 ? window_us : 1;
    losses->windows = json_object();
}

void
BwLosses_Finish(BwLosses *losses)
{
    json_decref(losses->windows);
}

/* ------------------------------------------------------------- counting */

static json_t *
get_or_add(json_t *object, const char *key, json_t *empty)
{
    json_t *value = json_object_get(object, key);

    if (value == NULL) {
        json_object_set(object, key, empty);
        value = empty;
    }
    json_decref(empty);
    return value;
}

static void
add_number(json_t *object, const char *key, uint64_t amount)
{
    uint64_t sum = BwRecord_Number(object, key) + amount;

    json_object_set_new(object, key, json_integer((json_int_t)sum));
}

/* Numbers of a text line were parsed as strings. */
static uint64_t
field_number(const json_t *line, const char *key)
{
    const json_t *value = json_object_get(line, key);

    if (json_is_string(value))
        return strtoull(json_string_value(value), NULL, 10);
    return json_is_integer(value) ? (uint64_t)json_integer_value(value) : 0;
}

static const char *
field_text(const json_t *line, const char *key)
{
    const char *text = json_string_value(json_object_get(line, key));

    return text != NULL ? text : "";
}

/* Reads the time of a line, as microseconds since 1970; 0: malformed. */
static uint64_t
read_time_us(const char *text)
{
    struct tm parts = {0};
    unsigned micros = 0;

    if (sscanf(text, "%d-%d-%dT%d:%d:%d.%6uZ", &parts.tm_year, &parts.tm_mon,
               &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec,
               &micros) != 7)
        return 0;
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    return (uint64_t)timegm(&parts) * 1000000 + micros;
}

static json_t *
window_at(BwLosses *losses, uint64_t time_us)
{
    uint64_t from_us = time_us - time_us % losses->window_us;
    time_t seconds = (time_t)(from_us / 1000000);
    struct tm parts;
    char key[48], text[40];

    gmtime_r(&seconds, &parts);
    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    snprintf(key, sizeof(key), "%s.%03uZ", text,
             (unsigned)(from_us % 1000000 / 1000));
    return get_or_add(losses->windows, key,
                      json_pack("{s:s, s:{}, s:{}, s:[]}", "from", key,
                                "routes", "reasons", "events"));
}

static void
add_reason(json_t *window, const json_t *line, const char *how, uint64_t count)
{
    char key[512];
    json_t *reason;

    snprintf(key, sizeof(key), "%s/%s/%s", field_text(line, "route"), how,
             field_text(line, "reason"));
    reason = get_or_add(json_object_get(window, "reasons"), key,
                        json_pack("{s:s, s:s, s:s}", "route",
                                  field_text(line, "route"), "how", how,
                                  "reason", field_text(line, "reason")));
    add_number(reason, "count", count);
    if (json_object_get(line, "free_permille") == NULL)
        return;
    add_number(reason, "measured", count);
    add_number(reason, "free_permille_sum",
               field_number(line, "free_permille"));
    add_number(reason, "report_ms_sum", field_number(line, "report_ms"));
}

static const char *
end_name(const json_t *line)
{
    uint64_t end = field_number(line, "count");

    if (strcmp(field_text(line, "event"), "withdraw") == 0)
        return "withdrawn";
    if (end == 0 &&
        field_number(line, "took_ms") + field_number(line, "waited_ms") >
            field_number(line, "objective_ms"))
        return "late";
    return end < sizeof(end_names) / sizeof(end_names[0]) ? end_names[end]
                                                          : "failed";
}

static void
add_end(BwLosses *losses, const json_t *line, uint64_t at_us)
{
    uint64_t took_us = field_number(line, "took_ms") * 1000;
    json_t *window =
        window_at(losses, at_us > took_us ? at_us - took_us : at_us);
    const char *how = end_name(line);
    json_t *route = get_or_add(json_object_get(window, "routes"),
                               field_text(line, "route"), json_object());

    add_number(route, "jobs", 1);
    add_number(route, how, 1);
    if (strcmp(how, "in_time") != 0)
        add_reason(window, line, how, 1);
}

/* Requests that were refused before they became jobs have no route. */
static void
add_refusals(BwLosses *losses, const json_t *line, uint64_t at_us)
{
    json_t *window = window_at(losses, at_us);
    json_t *route =
        get_or_add(json_object_get(window, "routes"), "", json_object());
    uint64_t count = field_number(line, "count");

    add_number(route, "jobs", count);
    add_number(route, "refused", count);
    add_reason(window, line, "refused", count);
}

static void
add_mark(BwLosses *losses, const json_t *line, uint64_t at_us)
{
    json_t *events = json_object_get(window_at(losses, at_us), "events");
    char text[256];

    snprintf(text, sizeof(text), "%s %s %s%s%s", field_text(line, "at"),
             field_text(line, "name"), field_text(line, "event"),
             json_object_get(line, "choice") != NULL ||
                     json_object_get(line, "peer") != NULL
                 ? " "
                 : "",
             json_object_get(line, "choice") != NULL
                 ? field_text(line, "choice")
                 : field_text(line, "peer"));
    json_array_append_new(events, json_string(text));
}

static bool
is_mark(const char *event)
{
    for (size_t i = 0; i < MARK_COUNT; i++) {
        if (strcmp(event, marks[i]) == 0)
            return true;
    }
    return false;
}

void
BwLosses_AddLine(BwLosses *losses, const char *text)
{
    json_t *line = BwJobLog_ParseLine(text);
    const char *event = field_text(line, "event");
    uint64_t at_us = line != NULL ? read_time_us(field_text(line, "at")) : 0;

    if (at_us == 0) {
        json_decref(line);
        return;
    }
    if (strcmp(event, "refuse") == 0)
        add_refusals(losses, line, at_us);
    else if (json_object_get(line, "objective_ms") != NULL)
        add_end(losses, line, at_us);
    else if (is_mark(event))
        add_mark(losses, line, at_us);
    json_decref(line);
}

bool
BwLosses_AddFile(BwLosses *losses, const char *path)
{
    FILE *file = fopen(path, "r");
    char *line = NULL;
    size_t capacity = 0;
    ssize_t length;

    if (file == NULL)
        return false;
    while ((length = getline(&line, &capacity, file)) > 0) {
        if (line[length - 1] == '\n')
            line[length - 1] = '\0';
        BwLosses_AddLine(losses, line);
    }
    free(line);
    fclose(file);
    return true;
}

/* -------------------------------------------------------------- results */

static int
compare_windows(const void *left, const void *right)
{
    return strcmp(field_text(*(json_t *const *)left, "from"),
                  field_text(*(json_t *const *)right, "from"));
}

/* Replaces the sums of a reason by means. */
static json_t *
make_reason(const json_t *reason)
{
    uint64_t measured = BwRecord_Number(reason, "measured");
    json_t *copy = json_deep_copy(reason);

    json_object_del(copy, "measured");
    json_object_del(copy, "free_permille_sum");
    json_object_del(copy, "report_ms_sum");
    if (measured == 0)
        return copy;
    json_object_set_new(
        copy, "free_permille",
        json_integer(
            (json_int_t)(BwRecord_Number(reason, "free_permille_sum") /
                         measured)));
    json_object_set_new(
        copy, "report_ms",
        json_integer((json_int_t)(BwRecord_Number(reason, "report_ms_sum") /
                                  measured)));
    return copy;
}

static int
compare_reasons(const void *left, const void *right)
{
    uint64_t a = BwRecord_Number(*(json_t *const *)left, "count");
    uint64_t b = BwRecord_Number(*(json_t *const *)right, "count");

    return a < b ? 1 : a > b ? -1 : 0;
}

static json_t *
make_window(const json_t *window)
{
    json_t *reasons = json_array();
    json_t *copy = json_deep_copy(window);
    json_t *sorted;
    const char *key;
    json_t *reason;

    json_object_foreach(json_object_get(copy, "reasons"), key, reason)
        json_array_append_new(reasons, make_reason(reason));
    sorted = BwRecord_Sort(reasons, compare_reasons);
    json_object_set_new(copy, "reasons", sorted);
    json_decref(reasons);
    return copy;
}

json_t *
BwLosses_Windows(const BwLosses *losses)
{
    json_t *windows = json_array();
    json_t *sorted;
    const char *key;
    json_t *window;

    json_object_foreach(losses->windows, key, window)
        json_array_append_new(windows, make_window(window));
    sorted = BwRecord_Sort(windows, compare_windows);
    json_decref(windows);
    return sorted;
}
