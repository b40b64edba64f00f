/* trace.c -- parses a recorded trace: jobs, cancellations, faults, outcomes

   All parsed lines are kept, so strings need no copies.  The whole trace is
   checked before a replay sends its first job.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "messages.h"
#include "trace.h"

static bool
fail(BwTrace *trace, size_t line, const char *message)
{
    snprintf(trace->error_message, sizeof(trace->error_message),
             "line %zu: %s", line, message);
    return false;
}

static bool
read_lines(BwTrace *trace, const char *text, uint32_t size_bytes)
{
    const char *end = text + size_bytes;
    size_t number = 0;

    trace->lines = json_array();
    while (text < end) {
        const char *stop = memchr(text, '\n', (size_t)(end - text));
        size_t length = (size_t)((stop != NULL ? stop : end) - text);
        json_error_t where;
        json_t *line = json_loadb(text, length, 0, &where);

        number++;
        if (!json_is_object(line)) {
            json_decref(line);
            return fail(trace, number, "is not a JSON object");
        }
        json_array_append_new(trace->lines, line);
        text += length + 1;
    }
    return number > 0 || fail(trace, 0, "the trace is empty");
}

static bool
read_header(BwTrace *trace)
{
    json_t *header = json_array_get(trace->lines, 0);

    trace->name = json_string_value(json_object_get(header, "trace"));
    trace->services = json_object_get(header, "services");
    trace->priorities = json_object_get(header, "priorities");
    if (trace->name == NULL || !json_is_object(trace->services))
        return fail(trace, 1, "the header needs trace and services");
    return true;
}

static const char *
text_of(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "";
}

static uint32_t
count_tasks(json_t *task_groups)
{
    json_t *group;
    size_t i;
    uint64_t count = 0;

    json_array_foreach(task_groups, i, group)
    {
        count += (uint64_t)json_integer_value(json_array_get(group, 2));
    }
    return count <= BW_JOB_TASKS_MAX ? (uint32_t)count : 0;
}

static bool
read_tasks(BwTraceJob *job, json_t *task_groups)
{
    json_t *group;
    size_t i;
    uint32_t filled = 0;

    job->task_count = count_tasks(task_groups);
    if (job->task_count == 0)
        return false;
    job->tasks = calloc(job->task_count, sizeof(BwTraceTask));
    if (job->tasks == NULL)
        return false;
    json_array_foreach(task_groups, i, group)
    {
        json_int_t count = json_integer_value(json_array_get(group, 2));

        for (json_int_t k = 0; k < count; k++, filled++) {
            job->tasks[filled].declared_us =
                (uint64_t)json_integer_value(json_array_get(group, 0));
            job->tasks[filled].run_us =
                (uint64_t)json_integer_value(json_array_get(group, 1));
        }
    }
    return true;
}

static bool
read_job(BwTrace *trace, size_t line, BwTraceEvent *event)
{
    BwTraceJob *job = &trace->jobs[trace->job_count];
    json_t *value = event->value;

    event->job = trace->job_count++;
    job->at_us = event->at_us;
    job->member = text_of(value, "member");
    job->team = text_of(value, "team");
    job->service = text_of(value, "service");
    job->job_class = text_of(value, "class");
    job->key = text_of(value, "key");
    job->lifetime_us =
        (uint64_t)json_integer_value(json_object_get(value, "lifetime_us"));
    if (job->member[0] == '\0' || job->key[0] == '\0' ||
        BwTrace_Slots(trace, job->service) == 0 || job->lifetime_us == 0)
        return fail(trace, line,
                    "a job needs member, key, lifetime_us and a service of "
                    "the header");
    if (!read_tasks(job, json_object_get(value, "tasks")))
        return fail(trace, line, "a job has 1 to 1700 tasks");
    return true;
}

static bool
read_event(BwTrace *trace, size_t number, json_t *line)
{
    static const char *const kinds[] = {
        [BW_TRACE_JOB] = "job",
        [BW_TRACE_CANCEL] = "cancel",
        [BW_TRACE_FAULT] = "fault",
        [BW_TRACE_MARK] = "mark",
    };
    BwTraceEvent *event = &trace->events[trace->event_count];
    json_t *at = json_object_get(line, "at_us");

    if (!json_is_integer(at) || json_integer_value(at) < 0)
        return fail(trace, number, "an event needs at_us, its time");
    event->at_us = (uint64_t)json_integer_value(at);
    for (int kind = 0; kind <= BW_TRACE_MARK; kind++) {
        event->value = json_object_get(line, kinds[kind]);
        if (event->value == NULL)
            continue;
        event->kind = (BwTraceEventKind)kind;
        trace->event_count++;
        return kind != BW_TRACE_JOB || read_job(trace, number, event);
    }
    return fail(trace, number, "has no job, cancel, fault, mark or outcome");
}

static int
compare_events(const void *a, const void *b)
{
    const BwTraceEvent *left = a;
    const BwTraceEvent *right = b;

    if (left->at_us != right->at_us)
        return left->at_us < right->at_us ? -1 : 1;
    return left->job < right->job ? -1 : left->job > right->job;
}

bool
BwTrace_Read(BwTrace *trace, const char *text, uint32_t size_bytes)
{
    size_t count;
    json_t *line;
    size_t i;

    memset(trace, 0, sizeof(*trace));
    if (!read_lines(trace, text, size_bytes) || !read_header(trace))
        return false;
    count = json_array_size(trace->lines);
    trace->jobs = calloc(count, sizeof(BwTraceJob));
    trace->events = calloc(count, sizeof(BwTraceEvent));
    trace->outcomes = calloc(count, sizeof(json_t *));
    if (trace->jobs == NULL || trace->events == NULL ||
        trace->outcomes == NULL)
        return fail(trace, 0, "no memory");
    json_array_foreach(trace->lines, i, line)
    {
        if (i == 0)
            continue;
        if (json_object_get(line, "outcome") != NULL)
            trace->outcomes[trace->outcome_count++] = line;
        else if (!read_event(trace, i + 1, line))
            return false;
    }
    qsort(trace->events, trace->event_count, sizeof(BwTraceEvent),
          compare_events);
    return true;
}

void
BwTrace_Finish(BwTrace *trace)
{
    for (uint32_t i = 0; i < trace->job_count; i++)
        free(trace->jobs[i].tasks);
    free(trace->jobs);
    free(trace->events);
    free(trace->outcomes);
    json_decref(trace->lines);
    memset(trace, 0, sizeof(*trace));
}

uint32_t
BwTrace_Slots(const BwTrace *trace, const char *service)
{
    return (uint32_t)json_integer_value(
        json_object_get(trace->services, service));
}

uint32_t
BwTrace_Priority(const BwTrace *trace, const char *job_class)
{
    return (uint32_t)json_integer_value(
        json_object_get(trace->priorities, job_class));
}

bool
BwTraceJob_Matches(const BwTraceJob *job, json_t *where)
{
    const struct {
        const char *key;
        const char *value;
    } fields[] = {
        {"member", job->member},
        {"team", job->team},
        {"service", job->service},
        {"class", job->job_class},
    };
    const char *prefix = text_of(where, "key");

    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        const char *wanted = text_of(where, fields[i].key);

        if (wanted[0] != '\0' && strcmp(wanted, fields[i].value) != 0)
            return false;
    }
    return strncmp(job->key, prefix, strlen(prefix)) == 0;
}
