/* replayfleet.c -- faults, counters and starts of the processes of a fleet

   A replay sends fault events to single processes and reads their counters at
   each mark.  A process that was killed has no counters to read, so what it
   did until then is missing from the sums.
*/

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "replay.h"

#define CALL_TIMEOUT_US 2000000

typedef struct CounterRequest {
    BwReplayMark *mark;
    uint32_t process;
} CounterRequest;

BwReplayProcess *
BwReplay_FindProcess(BwReplay *replay, const char *name)
{
    for (uint32_t i = 0; i < replay->process_count; i++) {
        if (strcmp(replay->processes[i].name, name) == 0)
            return &replay->processes[i];
    }
    return NULL;
}

static void
send_request(BwReplayProcess *process, const char *method, const char *path,
             const char *body, BwHttpCallback callback, void *data)
{
    process->replay->pending_requests++;
    BwHttpClient_Send(&process->client, method, BwSpan_FromString(path),
                      "content-type: application/json\r\n",
                      BwSpan_FromString(body), BwClock_Now() + CALL_TIMEOUT_US,
                      callback, data);
}

/* ------------------------------------------------------------ faults */

static void
on_control_reply(void *data, const BwHttpReply *reply)
{
    BwReplayProcess *process = data;

    process->replay->pending_requests--;
    if (reply->outcome != BW_HTTP_ANSWERED || reply->status != 200)
        fprintf(stderr, "brasswing: %s did not accept the fault\n",
                process->name);
}

static void
send_signal(const BwReplayProcess *process, const char *name)
{
    static const struct {
        const char *name;
        int number;
    } signals[] = {
        {"kill", SIGKILL},
        {"stop", SIGSTOP},
        {"cont", SIGCONT},
        {"term", SIGTERM},
    };

    for (size_t i = 0; i < sizeof(signals) / sizeof(signals[0]); i++) {
        if (strcmp(signals[i].name, name) == 0 && process->pid > 1)
            kill((pid_t)process->pid, signals[i].number);
    }
}

void
BwReplay_InjectFault(BwReplay *replay, json_t *event)
{
    const char *target = json_string_value(json_object_get(event, "target"));
    const char *signal_name =
        json_string_value(json_object_get(event, "signal"));
    json_t *control = json_object_get(event, "control");
    BwReplayProcess *process =
        target != NULL ? BwReplay_FindProcess(replay, target) : NULL;
    char *body;

    if (process == NULL) {
        fprintf(stderr, "brasswing: the fleet has no process '%s'\n",
                target != NULL ? target : "");
        return;
    }
    if (signal_name != NULL)
        send_signal(process, signal_name);
    if (control == NULL)
        return;
    body = json_dumps(control, JSON_COMPACT);
    send_request(process, "POST", "/control", body, on_control_reply, process);
    free(body);
}

/* ---------------------------------------------------------- counters */

static bool
read_counter(const char *text, const char *name, uint64_t *value)
{
    char prefix[96];
    const char *found;

    snprintf(prefix, sizeof(prefix), "\n%s ", name);
    found = strstr(text, prefix);
    if (found != NULL)
        *value = strtoull(found + strlen(prefix), NULL, 10);
    return found != NULL;
}

static char *
copy_body(const BwHttpReply *reply)
{
    char *text = malloc(reply->body.size_bytes + 1);

    if (text != NULL)
        BwSpan_ToString(reply->body, text, reply->body.size_bytes + 1);
    return text;
}

static void
on_metrics(void *data, const BwHttpReply *reply)
{
    CounterRequest *request = data;
    BwReplayCounters *c = &request->mark->counters[request->process];
    char *text = copy_body(reply);

    request->mark->replay->pending_requests--;
    if (reply->outcome == BW_HTTP_ANSWERED && text != NULL) {
        c->is_known = true;
        read_counter(text, "brasswing_messages_sent_total", &c->messages);
        c->counts_wasted =
            read_counter(text, "brasswing_messages_wasted_total", &c->wasted);
        read_counter(text, "brasswing_cpu_microseconds_total", &c->cpu_us);
        read_counter(text, "brasswing_resident_bytes", &c->resident_bytes);
        read_counter(text, "brasswing_tasks_started_total", &c->starts);
    }
    free(text);
    free(request);
}

void
BwReplay_TakeMark(BwReplay *replay, const char *name)
{
    BwReplayMark *mark;

    if (replay->mark_count == BW_REPLAY_MARKS_MAX)
        return;
    mark = &replay->marks[replay->mark_count++];
    mark->replay = replay;
    mark->name = name != NULL ? name : "";
    mark->at_us = BwClock_Now();
    for (uint32_t i = 0; i < replay->process_count; i++) {
        BwReplayProcess *process = &replay->processes[i];
        CounterRequest *request;

        if (strcmp(process->role, "agent") != 0 &&
            strcmp(process->role, "entry") != 0)
            continue;
        request = malloc(sizeof(*request));
        if (request == NULL)
            return;
        request->mark = mark;
        request->process = i;
        send_request(process, "GET", "/metrics", "", on_metrics, request);
    }
}

/* ------------------------------------------------------------ starts */

static void
add_start(BwReplay *replay, const char *line)
{
    unsigned long long high, low;
    unsigned index, count;

    if (sscanf(line, "%16llx%16llx %u %u", &high, &low, &index, &count) != 4)
        return;
    for (uint32_t i = 0; i < replay->trace->job_count; i++) {
        BwReplayJob *job = &replay->jobs[i];

        if (job->id.high != high || job->id.low != low)
            continue;
        job->starts += count;
        if (index < job->trace->task_count)
            job->task_starts[index] += count;
        return;
    }
}

static void
on_starts(void *data, const BwHttpReply *reply)
{
    BwReplayProcess *process = data;
    char *text = copy_body(reply);
    char *rest = NULL;

    process->replay->pending_requests--;
    for (char *line = text != NULL ? strtok_r(text, "\n", &rest) : NULL;
         line != NULL; line = strtok_r(NULL, "\n", &rest))
        add_start(process->replay, line);
    free(text);
}

void
BwReplay_ReadStarts(BwReplay *replay)
{
    for (uint32_t i = 0; i < replay->process_count; i++) {
        BwReplayProcess *process = &replay->processes[i];

        if (strcmp(process->role, "backend") == 0)
            send_request(process, "GET", "/starts", "", on_starts, process);
    }
}
