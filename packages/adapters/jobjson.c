/* jobjson.c -- reads jobs from JSON and writes results and errors as JSON

   JSON strings hold only Unicode text.  An answer's body is written as the
   string "body" when it is valid UTF-8, and in base64 as "body_base64" when it
   is not.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

#include "jobjson.h"
#include "jsonbound.h"

#define DEFAULT_PATH "/"

typedef struct TextField {
    const char *key;
    size_t offset;
    size_t bytes_max;
    bool is_required;
} TextField;

static const TextField text_fields[] = {
    {"member", offsetof(BwSubmit, member), BW_NAME_BYTES_MAX - 1, true},
    {"team", offsetof(BwSubmit, team), BW_NAME_BYTES_MAX - 1, false},
    {"key", offsetof(BwSubmit, key), BW_KEY_BYTES_MAX, true},
    {"service", offsetof(BwSubmit, service), BW_NAME_BYTES_MAX - 1, true},
    {"class", offsetof(BwSubmit, job_class), BW_NAME_BYTES_MAX - 1, false},
    {"path", offsetof(BwSubmit, path), 1024, false},
};

static const char *const other_keys[] = {"deadline_us", "submitted_us",
                                         "idempotent", "tasks", NULL};
static const char *const task_keys[] = {"body", "runtime_us", "size_bytes",
                                        NULL};

static BwErrorKind
fail(BwJobRequest *request, const char *key, const char *what)
{
    snprintf(request->fault, sizeof(request->fault), "%s: %s", key, what);
    return BW_ERR_BAD_REQUEST;
}

static BwErrorKind
read_text(BwJobRequest *request, const TextField *field)
{
    json_t *value = json_object_get(request->root, field->key);
    BwSpan *span = (BwSpan *)((char *)&request->submit + field->offset);

    span->base = "";
    if (value == NULL && !field->is_required)
        return BW_OK;
    if (!json_is_string(value))
        return fail(request, field->key, "give a text");
    span->base = json_string_value(value);
    span->size_bytes = (uint32_t)json_string_length(value);
    if (json_string_length(value) > field->bytes_max ||
        (field->is_required && span->size_bytes == 0))
        return fail(request, field->key, "is empty or too long");
    return BW_OK;
}

static bool
is_known(const char *key, const char *const *known)
{
    for (; *known != NULL; known++) {
        if (strcmp(key, *known) == 0)
            return true;
    }
    return false;
}

static BwErrorKind
check_keys(BwJobRequest *request)
{
    const char *key;
    json_t *value;

    json_object_foreach(request->root, key, value)
    {
        bool is_text = false;

        for (size_t i = 0; i < sizeof(text_fields) / sizeof(text_fields[0]);
             i++)
            is_text |= strcmp(key, text_fields[i].key) == 0;
        if (!is_text && !is_known(key, other_keys))
            return fail(request, key, "is not a key of a job");
    }
    return BW_OK;
}

static BwErrorKind
read_count(BwJobRequest *request, json_t *object, const char *key,
           uint64_t *out)
{
    json_t *value = json_object_get(object, key);

    if (value == NULL)
        return BW_OK;
    if (!json_is_integer(value) || json_integer_value(value) < 0)
        return fail(request, key, "give a whole number, 0 or more");
    *out = (uint64_t)json_integer_value(value);
    return BW_OK;
}

static BwErrorKind
read_task(BwJobRequest *request, json_t *item, BwTask *task)
{
    json_t *body = json_object_get(item, "body");
    BwErrorKind error;
    const char *key;
    json_t *value;

    if (!json_is_object(item))
        return fail(request, "tasks", "each task is an object");
    json_object_foreach(item, key, value)
    {
        if (!is_known(key, task_keys))
            return fail(request, key, "is not a key of a task");
    }
    task->body.base = "";
    if (body != NULL && !json_is_string(body))
        return fail(request, "body", "give a text");
    if (body != NULL) {
        task->body.base = json_string_value(body);
        task->body.size_bytes = (uint32_t)json_string_length(body);
    }
    error = read_count(request, item, "runtime_us", &task->declared_us);
    if (error != BW_OK)
        return error;
    return read_count(request, item, "size_bytes", &task->size_bytes);
}

static BwErrorKind
read_tasks(BwJobRequest *request)
{
    json_t *tasks = json_object_get(request->root, "tasks");
    BwSubmit *submit = &request->submit;

    if (!json_is_array(tasks) || json_array_size(tasks) == 0)
        return fail(request, "tasks", "give a list of at least one task");
    if (json_array_size(tasks) > BW_JOB_TASKS_MAX) {
        fail(request, "tasks", "a job has at most 1700");
        return BW_ERR_TOO_LARGE;
    }
    submit->task_count = (uint32_t)json_array_size(tasks);
    submit->tasks = calloc(submit->task_count, sizeof(BwTask));
    if (submit->tasks == NULL)
        return BW_ERR_NO_MEMORY;
    for (uint32_t i = 0; i < submit->task_count; i++) {
        BwErrorKind error =
            read_task(request, json_array_get(tasks, i), &submit->tasks[i]);

        if (error != BW_OK)
            return error;
        submit->tasks[i].index = i;
    }
    return BW_OK;
}

BwErrorKind
BwJobRequest_Read(BwJobRequest *request, BwSpan body)
{
    json_error_t where;
    json_t *idempotent;
    BwErrorKind error;

    memset(request, 0, sizeof(*request));
    if (!BwJsonBound_Check(body)) {
        snprintf(request->fault, sizeof(request->fault), "%s",
                 BW_JSON_BOUND_FAULT);
        return BW_ERR_BAD_REQUEST;
    }
    request->root =
        json_loadb(body.base, body.size_bytes, JSON_REJECT_DUPLICATES, &where);
    if (request->root == NULL) {
        snprintf(request->fault, sizeof(request->fault), "line %d: %s",
                 where.line, where.text);
        return BW_ERR_BAD_REQUEST;
    }
    if (!json_is_object(request->root))
        return fail(request, "body", "a job is an object");
    error = check_keys(request);
    for (size_t i = 0;
         error == BW_OK && i < sizeof(text_fields) / sizeof(text_fields[0]);
         i++)
        error = read_text(request, &text_fields[i]);
    if (error != BW_OK)
        return error;
    if (request->submit.path.size_bytes == 0)
        request->submit.path = BwSpan_FromString(DEFAULT_PATH);
    if (request->submit.path.base[0] != '/')
        return fail(request, "path", "begins with a slash");
    if (strpbrk(request->submit.path.base, " \r\n") != NULL)
        return fail(request, "path", "holds a space or line end");
    if (json_object_get(request->root, "deadline_us") == NULL)
        return fail(request, "deadline_us",
                    "give the deadline in microseconds of the Unix epoch");
    error = read_count(request, request->root, "deadline_us",
                       &request->submit.deadline_wall_us);
    if (error == BW_OK)
        error = read_count(request, request->root, "submitted_us",
                           &request->submit.submitted_wall_us);
    if (error != BW_OK)
        return error;
    idempotent = json_object_get(request->root, "idempotent");
    if (idempotent != NULL && !json_is_boolean(idempotent))
        return fail(request, "idempotent", "give true or false");
    if (json_is_true(idempotent))
        request->submit.flags |= BW_SUBMIT_IDEMPOTENT;
    return read_tasks(request);
}

void
BwJobRequest_Finish(BwJobRequest *request)
{
    free(request->submit.tasks);
    json_decref(request->root);
    memset(request, 0, sizeof(*request));
}

static json_t *
make_answer(const BwAnswer *answer)
{
    json_t *object = json_object();
    json_t *text = json_stringn(answer->body.base, answer->body.size_bytes);
    char *encoded;

    json_object_set_new(object, "status", json_integer(answer->status));
    if (text != NULL) {
        json_object_set_new(object, "body", text);
        return object;
    }
    encoded = malloc((size_t)answer->body.size_bytes / 3 * 4 + 8);
    if (encoded != NULL) {
        EVP_EncodeBlock((unsigned char *)encoded,
                        (const unsigned char *)answer->body.base,
                        (int)answer->body.size_bytes);
        json_object_set_new(object, "body_base64", json_string(encoded));
        free(encoded);
    }
    return object;
}

static void
add_error(json_t *object, BwErrorKind error, const char *detail)
{
    const BwErrorInfo *info = BwError_Describe(error);

    json_object_set_new(object, "state", json_string("failed"));
    json_object_set_new(object, "error", json_string(info->name));
    json_object_set_new(object, "ran",
                        json_string(info->certainty == BW_NOT_RUN
                                        ? "not_run"
                                        : "may_have_run"));
    json_object_set_new(object, "detail", json_string(detail));
    json_object_set_new(object, "remedy", json_string(info->remedy));
}

static char *
dump(json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);

    json_decref(object);
    return text;
}

char *
BwJobJson_Result(BwSpan member, BwSpan key, const BwResult *result)
{
    json_t *object = json_object();
    json_t *answers;
    char detail[256];

    json_object_set_new(object, "member",
                        json_stringn(member.base, member.size_bytes));
    json_object_set_new(object, "key", json_stringn(key.base, key.size_bytes));
    if (result->error != BW_OK) {
        BwSpan_ToString(result->detail, detail, sizeof(detail));
        add_error(object, result->error, detail);
        return dump(object);
    }
    if (result->is_running) {
        json_object_set_new(object, "state", json_string("running"));
        return dump(object);
    }
    answers = json_array();
    for (uint32_t i = 0; i < result->answer_count; i++)
        json_array_append_new(answers, make_answer(&result->answers[i]));
    json_object_set_new(object, "state", json_string("complete"));
    json_object_set_new(object, "answers", answers);
    return dump(object);
}

char *
BwJobJson_Error(BwErrorKind error, const char *detail)
{
    json_t *object = json_object();

    add_error(object, error, detail);
    return dump(object);
}
