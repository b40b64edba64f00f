/* joblog.c -- finds the log lines about a bound job */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "configlog.h"
#include "joblog.h"

static const char *const header_fields[] = {"at", "level", "name", "event"};

#define HEADER_FIELD_COUNT (sizeof(header_fields) / sizeof(header_fields[0]))

/* Reads a quoted value and undoes the escapes of the logger: a backslash
   before a quote or a backslash, and \xNN.  Returns the end of the value. */
static const char *
read_quoted(const char *at, char *out)
{
    for (; *at != '"' && *at != '\0'; at++) {
        unsigned code;

        if (*at == '\\' && sscanf(at, "\\x%2x", &code) == 1) {
            *out++ = (char)code;
            at += 3;
        }
        else {
            if (*at == '\\' && at[1] != '\0')
                at++;
            *out++ = *at;
        }
    }
    *out = '\0';
    return *at == '"' ? at + 1 : at;
}

/* Reads KEY=VALUE pairs.  `buffer` must hold the line and a zero byte. */
static void
read_fields(json_t *object, const char *at, char *buffer)
{
    while (*at != '\0') {
        size_t length = strcspn(at, "= ");
        char *value = buffer + length + 1;

        if (at[length] != '=') {
            at += length + (at[length] == ' ');
            continue;
        }
        memcpy(buffer, at, length);
        buffer[length] = '\0';
        at += length + 1;
        if (*at == '"') {
            at = read_quoted(at + 1, value);
        }
        else {
            length = strcspn(at, " ");
            memcpy(value, at, length);
            value[length] = '\0';
            at += length;
        }
        json_object_set_new(object, buffer, json_string(value));
        at += *at == ' ';
    }
}

static json_t *
read_text(const char *line)
{
    size_t size = strlen(line) + 2;
    char *buffer = malloc(size);
    json_t *object = json_object();
    const char *at = line;

    for (size_t i = 0; buffer != NULL && i < HEADER_FIELD_COUNT; i++) {
        size_t length = strcspn(at, " \n");

        if (length == 0)
            break;
        json_object_set_new(object, header_fields[i],
                            json_stringn(at, length));
        at += length + (at[length] == ' ');
    }
    if (buffer != NULL)
        read_fields(object, at, buffer);
    free(buffer);
    return object;
}

json_t *
BwJobLog_ParseLine(const char *line)
{
    json_t *object =
        line[0] == '{' ? json_loads(line, 0, NULL) : read_text(line);

    for (size_t i = 0; i < HEADER_FIELD_COUNT; i++) {
        if (json_is_string(json_object_get(object, header_fields[i])))
            continue;
        json_decref(object);
        return NULL;
    }
    return object;
}

bool
BwJobLog_AddFile(json_t *lines, const char *path, const char *job)
{
    FILE *file = fopen(path, "r");
    char *line = NULL;
    size_t capacity = 0;
    ssize_t length;

    if (file == NULL)
        return false;
    while ((length = getline(&line, &capacity, file)) > 0) {
        json_t *object;
        const char *line_job;

        if (line[length - 1] == '\n')
            line[length - 1] = '\0';
        if (strstr(line, job) == NULL)
            continue;
        object = BwJobLog_ParseLine(line);
        line_job = json_string_value(json_object_get(object, "job"));
        if (line_job != NULL && strcmp(line_job, job) == 0)
            json_array_append(lines, object);
        json_decref(object);
    }
    free(line);
    fclose(file);
    return true;
}

static int
compare_times(const void *left, const void *right)
{
    return strcmp(
        json_string_value(json_object_get(*(json_t *const *)left, "at")),
        json_string_value(json_object_get(*(json_t *const *)right, "at")));
}

json_t *
BwJobLog_Sort(const json_t *lines)
{
    return BwRecord_Sort(lines, compare_times);
}
