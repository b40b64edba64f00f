/* log.c -- structured logger */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "log.h"

#define LINE_BYTES_MAX 2048
#define TIMESTAMP_BYTES 96

typedef struct Line {
    char text[LINE_BYTES_MAX];
    size_t used;
} Line;

static const char *const level_names[] = {"error", "warning", "info", "debug"};

static void __attribute__((format(printf, 2, 3)))
append(Line *line, const char *format, ...)
{
    va_list arguments;
    int written;
    size_t remaining = LINE_BYTES_MAX - 1 - line->used;

    va_start(arguments, format);
    written = vsnprintf(line->text + line->used, remaining, format, arguments);
    va_end(arguments);
    if (written > 0)
        line->used +=
            (size_t)written < remaining ? (size_t)written : remaining - 1;
}

static void
append_value(Line *line, const char *text)
{
    if (text[0] != '\0' && strpbrk(text, " \"\\\t\r\n=") == NULL) {
        append(line, "%s", text);
        return;
    }
    append(line, "\"");
    for (; *text != '\0'; text++) {
        if (*text == '"' || *text == '\\')
            append(line, "\\%c", *text);
        else if ((unsigned char)*text < ' ')
            append(line, "\\x%02x", (unsigned char)*text);
        else
            append(line, "%c", *text);
    }
    append(line, "\"");
}

static void
write_text(const BwLogger *logger, BwLogLevel level, const char *timestamp,
           const char *event, const BwLogField *fields, uint32_t count)
{
    Line line = {.used = 0};
    ssize_t ignored;

    append(&line, "%s %s %s %s", timestamp, level_names[level], logger->name,
           event);
    for (uint32_t i = 0; i < count; i++) {
        append(&line, " %s=", fields[i].key);
        if (fields[i].text != NULL)
            append_value(&line, fields[i].text);
        else
            append(&line, "%llu", (unsigned long long)fields[i].number);
    }
    line.text[line.used++] = '\n';
    ignored = write(logger->fd, line.text, line.used);
    (void)ignored;
}

/* Makes a JSON string.  Jansson refuses text that is not valid UTF-8; its
   bytes above 127 are then replaced by question marks. */
static json_t *
make_string(const char *text)
{
    json_t *string = json_string(text);
    char *ascii;

    if (string != NULL || (ascii = strdup(text)) == NULL)
        return string;
    for (char *at = ascii; *at != '\0'; at++) {
        if ((unsigned char)*at >= 0x80)
            *at = '?';
    }
    string = json_string(ascii);
    free(ascii);
    return string;
}

static void
write_json(const BwLogger *logger, BwLogLevel level, const char *timestamp,
           const char *event, const BwLogField *fields, uint32_t count)
{
    json_t *object = json_pack("{s:s, s:s, s:o, s:s}", "at", timestamp,
                               "level", level_names[level], "name",
                               make_string(logger->name), "event", event);
    char *text;
    size_t length;
    ssize_t ignored;

    for (uint32_t i = 0; i < count; i++)
        json_object_set_new(object, fields[i].key,
                            fields[i].text != NULL
                                ? make_string(fields[i].text)
                                : json_integer((json_int_t)fields[i].number));
    text = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    if (text == NULL)
        return;
    length = strlen(text);
    text[length++] = '\n'; /* overwrites the terminating NUL */
    ignored = write(logger->fd, text, length);
    (void)ignored;
    free(text);
}

void
BwLog_Write(const BwLogger *logger, BwLogLevel level, const char *event,
            const BwLogField *fields, uint32_t count)
{
    char timestamp[TIMESTAMP_BYTES];
    struct timespec now;
    struct tm parts;

    if (level > logger->level)
        return;
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &parts);
    snprintf(timestamp, sizeof(timestamp),
             "%04d-%02d-%02dT%02d:%02d:%02d.%06ldZ", parts.tm_year + 1900,
             parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min,
             parts.tm_sec, now.tv_nsec / 1000);
    if (logger->format == BW_LOG_JSON)
        write_json(logger, level, timestamp, event, fields, count);
    else
        write_text(logger, level, timestamp, event, fields, count);
}
