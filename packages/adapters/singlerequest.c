/* singlerequest.c -- one request to a service, as a job of one task */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "singlerequest.h"

typedef struct HeaderField {
    const char *name;
    size_t offset;
    uint32_t bytes_max;
    bool is_required;
} HeaderField;

static const HeaderField header_fields[] = {
    {"brasswing-member", offsetof(BwSubmit, member), BW_NAME_BYTES_MAX - 1,
     true},
    {"brasswing-team", offsetof(BwSubmit, team), BW_NAME_BYTES_MAX - 1, false},
    {"brasswing-class", offsetof(BwSubmit, job_class), BW_NAME_BYTES_MAX - 1,
     false},
    {"idempotency-key", offsetof(BwSubmit, key), BW_KEY_BYTES_MAX, false},
};

bool
BwSingleRequest_IsPath(BwSpan path)
{
    size_t length = strlen(BW_REQUESTS_PATH);

    return path.size_bytes > length &&
           memcmp(path.base, BW_REQUESTS_PATH, length) == 0;
}

static BwErrorKind
fail(BwJobRequest *request, const char *name, const char *what)
{
    snprintf(request->fault, sizeof(request->fault), "%s: %s", name, what);
    return BW_ERR_BAD_REQUEST;
}

static BwErrorKind
read_headers(BwJobRequest *request, const BwExchange *exchange)
{
    size_t count = sizeof(header_fields) / sizeof(header_fields[0]);

    for (size_t i = 0; i < count; i++) {
        const HeaderField *field = &header_fields[i];
        BwSpan value = BwExchange_Header(exchange, field->name);

        if (value.size_bytes > field->bytes_max)
            return fail(request, field->name, "is too long");
        if (field->is_required && value.size_bytes == 0)
            return fail(request, field->name, "this header is required");
        *(BwSpan *)((char *)&request->submit + field->offset) = value;
    }
    return BW_OK;
}

/* Reads a header whose value is in microseconds of the Unix epoch. */
static BwErrorKind
read_time(BwJobRequest *request, const BwExchange *exchange, const char *name,
          uint64_t *out)
{
    BwSpan value = BwExchange_Header(exchange, name);
    char text[24];
    char *end;

    if (value.size_bytes == 0 || value.size_bytes >= sizeof(text) ||
        value.base[0] < '0' || value.base[0] > '9')
        return fail(request, name, "give microseconds of the Unix epoch");
    BwSpan_ToString(value, text, sizeof(text));
    errno = 0;
    *out = strtoull(text, &end, 10);
    if (*end != '\0' || errno != 0)
        return fail(request, name, "give microseconds of the Unix epoch");
    return BW_OK;
}

static BwErrorKind
read_times(BwJobRequest *request, const BwExchange *exchange)
{
    BwSpan submitted = BwExchange_Header(exchange, "brasswing-submitted-us");
    BwErrorKind error = read_time(request, exchange, "brasswing-deadline-us",
                                  &request->submit.deadline_wall_us);

    if (error != BW_OK || submitted.size_bytes == 0)
        return error;
    return read_time(request, exchange, "brasswing-submitted-us",
                     &request->submit.submitted_wall_us);
}

static BwErrorKind
read_idempotent(BwJobRequest *request, const BwExchange *exchange)
{
    BwSpan value = BwExchange_Header(exchange, "brasswing-idempotent");

    if (BwSpan_Equal(value, BwSpan_FromString("true")))
        request->submit.flags |= BW_SUBMIT_IDEMPOTENT;
    else if (value.size_bytes != 0 &&
             !BwSpan_Equal(value, BwSpan_FromString("false")))
        return fail(request, "brasswing-idempotent", "give true or false");
    return BW_OK;
}

/* Splits the SERVICE[/PATH] that follows BW_REQUESTS_PATH.  The path that the
   backend server is sent is "/" when none is given. */
static BwErrorKind
read_path(BwJobRequest *request, const BwExchange *exchange)
{
    uint32_t prefix = (uint32_t)strlen(BW_REQUESTS_PATH);
    BwSpan rest = {exchange->path.base + prefix,
                   exchange->path.size_bytes - prefix};
    const char *slash = memchr(rest.base, '/', rest.size_bytes);

    request->submit.service = rest;
    request->submit.path = BwSpan_FromString("/");
    if (slash != NULL) {
        request->submit.service.size_bytes = (uint32_t)(slash - rest.base);
        request->submit.path.base = slash;
        request->submit.path.size_bytes =
            rest.size_bytes - request->submit.service.size_bytes;
    }
    if (request->submit.service.size_bytes == 0 ||
        request->submit.service.size_bytes >= BW_NAME_BYTES_MAX)
        return fail(request, "path", "the service name is empty or too long");
    return BW_OK;
}

BwErrorKind
BwSingleRequest_Read(BwJobRequest *request, const BwExchange *exchange,
                     const char *random_key)
{
    BwErrorKind error;

    memset(request, 0, sizeof(*request));
    request->submit.tasks = calloc(1, sizeof(BwTask));
    if (request->submit.tasks == NULL)
        return BW_ERR_NO_MEMORY;
    request->submit.task_count = 1;
    request->submit.tasks[0].body = exchange->body;
    error = read_path(request, exchange);
    if (error == BW_OK)
        error = read_headers(request, exchange);
    if (error == BW_OK)
        error = read_times(request, exchange);
    if (error == BW_OK)
        error = read_idempotent(request, exchange);
    if (request->submit.key.size_bytes == 0)
        request->submit.key = BwSpan_FromString(random_key);
    return error;
}
