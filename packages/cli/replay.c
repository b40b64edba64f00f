/* replay.c -- sends the jobs of a trace when they are due, and reads the
   answers

   The response time of a job is the time from its first submission to its
   final answer, resubmissions included.  Sending does not wait for answers, so
   a slow fleet gets the same load as a fast one.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "net.h"
#include "replay.h"
#include "tls.h"

#define CONNECTIONS_MAX 4096
#define REPLY_BYTES_MAX (64u * 1024 * 1024)
#define RESEND_US 100000
#define ANSWER_MARGIN_US 2000000
#define SETTLE_US 300000
#define PROGRESS_US 1000000
#define LOOP_WAIT_MS_MAX 10

/* ---------------------------------------------------------- answers */

static bool
is_own_answer(json_t *answer, size_t index)
{
    const char *body = json_string_value(json_object_get(answer, "body"));
    char wanted[32];

    snprintf(wanted, sizeof(wanted), "task=%zu ", index);
    return body != NULL && strncmp(body, wanted, strlen(wanted)) == 0;
}

static BwReplayEnd
check_answers(const BwReplayJob *job, json_t *answers)
{
    json_t *answer;
    size_t i;

    if (json_array_size(answers) != job->trace->task_count)
        return BW_REPLAY_PARTIAL;
    json_array_foreach(answers, i, answer)
    {
        if (!is_own_answer(answer, i))
            return BW_REPLAY_PARTIAL;
    }
    return BW_REPLAY_COMPLETE;
}

static BwReplayEnd
classify_reply(BwReplayJob *job, const BwHttpReply *reply)
{
    json_t *root = json_loadb(reply->body.base, reply->body.size_bytes, 0, 0);
    const char *state = json_string_value(json_object_get(root, "state"));
    const char *ran = json_string_value(json_object_get(root, "ran"));
    const char *error = json_string_value(json_object_get(root, "error"));
    json_t *answers = json_object_get(root, "answers");
    BwReplayEnd end = BW_REPLAY_NOT_ANSWERED;

    if (state != NULL && strcmp(state, "complete") == 0)
        end = check_answers(job, answers);
    else if (answers != NULL)
        end = BW_REPLAY_PARTIAL;
    else if (ran != NULL)
        end = strcmp(ran, "not_run") == 0 ? BW_REPLAY_NOT_RUN
                                          : BW_REPLAY_MAY_HAVE_RUN;
    snprintf(job->error, sizeof(job->error), "%s", error != NULL ? error : "");
    json_decref(root);
    return end;
}

static void
on_answer(void *data, const BwHttpReply *reply)
{
    BwReplayJob *job = data;
    uint64_t now_us = BwClock_Now();

    if (reply->outcome != BW_HTTP_ANSWERED) {
        if (now_us + RESEND_US < job->deadline_us) {
            job->resend_at_us = now_us + RESEND_US;
            job->entry = (job->entry + 1) % job->replay->entry_count;
            return;
        }
        job->end = BW_REPLAY_NOT_ANSWERED;
    }
    else {
        job->status = reply->status;
        job->end = classify_reply(job, reply);
    }
    job->took_us = now_us - job->first_sent_us;
    job->is_finished = true;
    job->replay->finished_count++;
}

/* ---------------------------------------------------------- sending */

static void
write_submission(BwReplayJob *job)
{
    const BwTraceJob *trace = job->trace;
    uint64_t submitted_wall_us = job->replay->start_wall_us + trace->at_us;
    uint64_t deadline_wall_us = submitted_wall_us + trace->lifetime_us;
    FILE *out = open_memstream(&job->text, &job->text_bytes);

    fprintf(out,
            "{\"member\":\"%s\",\"team\":\"%s\",\"key\":\"%s\","
            "\"service\":\"%s\",\"class\":\"%s\",\"deadline_us\":%llu,"
            "\"submitted_us\":%llu,\"tasks\":[",
            trace->member, trace->team, job->key, trace->service,
            trace->job_class, (unsigned long long)deadline_wall_us,
            (unsigned long long)submitted_wall_us);
    for (uint32_t i = 0; i < trace->task_count; i++)
        fprintf(
            out, "%s{\"body\":\"task=%u run_us=%llu\",\"runtime_us\":%llu}",
            i > 0 ? "," : "", i, (unsigned long long)trace->tasks[i].run_us,
            (unsigned long long)trace->tasks[i].declared_us);
    fprintf(out, "]}");
    fclose(out);
}

static void
send_job(BwReplayJob *job, uint64_t now_us)
{
    BwReplay *replay = job->replay;
    BwSpan body = {job->text, (uint32_t)job->text_bytes};

    job->resend_at_us = 0;
    if (job->first_sent_us == 0)
        job->first_sent_us = now_us;
    BwHttpClient_Send(&replay->entries[job->entry], "POST",
                      BwSpan_FromString("/v1/jobs"), replay->headers, body,
                      job->deadline_us + ANSWER_MARGIN_US, on_answer, job);
}

static void
on_cancelled(void *data, const BwHttpReply *reply)
{
    (void)reply;
    ((BwReplay *)data)->pending_requests--;
}

static void
send_cancel(BwReplay *replay, json_t *cancel, uint64_t now_us)
{
    char path[512];

    snprintf(path, sizeof(path), "/v1/jobs/%s/%s-%llx",
             json_string_value(json_object_get(cancel, "member")),
             json_string_value(json_object_get(cancel, "key")),
             (unsigned long long)replay->run_id);
    replay->pending_requests++;
    BwHttpClient_Send(&replay->entries[0], "DELETE", BwSpan_FromString(path),
                      replay->headers, (BwSpan){"", 0},
                      now_us + ANSWER_MARGIN_US, on_cancelled, replay);
}

static void
start_event(BwReplay *replay, const BwTraceEvent *event, uint64_t now_us)
{
    switch (event->kind) {
    case BW_TRACE_JOB:
        send_job(&replay->jobs[event->job], now_us);
        break;
    case BW_TRACE_CANCEL:
        send_cancel(replay, event->value, now_us);
        break;
    case BW_TRACE_FAULT:
        BwReplay_InjectFault(replay, event->value);
        break;
    case BW_TRACE_MARK:
        BwReplay_TakeMark(replay, json_string_value(event->value));
        break;
    }
}

/* ------------------------------------------------------------- loop */

static void
show_progress(BwReplay *replay, uint64_t now_us, bool is_last)
{
    if (!is_last && now_us < replay->next_progress_us)
        return;
    replay->next_progress_us = now_us + PROGRESS_US;
    fprintf(stderr, "%sreplay %s: %.1f s, %u of %u jobs answered%s",
            isatty(STDERR_FILENO) ? "\r" : "", replay->trace->name,
            (double)(now_us - replay->start_us) / 1e6, replay->finished_count,
            replay->trace->job_count,
            is_last || !isatty(STDERR_FILENO) ? "\n" : "");
}

static void
run_loop(BwReplay *replay, uint64_t until_us)
{
    uint64_t now_us = BwClock_Now();
    int32_t wait_ms = LOOP_WAIT_MS_MAX;

    if (until_us <= now_us)
        wait_ms = 0;
    else if (until_us - now_us < LOOP_WAIT_MS_MAX * 1000)
        wait_ms = (int32_t)((until_us - now_us + 999) / 1000);
    h2o_evloop_run(replay->loop, wait_ms);
    now_us = BwClock_Now();
    for (uint32_t i = 0; i < replay->entry_count; i++)
        BwHttpClient_Tick(&replay->entries[i], now_us);
    for (uint32_t i = 0; i < replay->process_count; i++)
        BwHttpClient_Tick(&replay->processes[i].client, now_us);
    for (uint32_t i = 0; i < replay->trace->job_count; i++) {
        BwReplayJob *job = &replay->jobs[i];

        if (job->resend_at_us != 0 && now_us >= job->resend_at_us)
            send_job(job, now_us);
    }
    show_progress(replay, now_us, false);
}

static void
wait_for_requests(BwReplay *replay)
{
    while (replay->pending_requests > 0)
        run_loop(replay, UINT64_MAX);
}

static void
prepare_jobs(BwReplay *replay)
{
    replay->start_us = BwClock_Now();
    replay->start_wall_us = BwClock_WallNow();
    for (uint32_t i = 0; i < replay->trace->job_count; i++) {
        BwReplayJob *job = &replay->jobs[i];
        const BwTraceJob *trace = &replay->trace->jobs[i];

        job->replay = replay;
        job->trace = trace;
        job->entry = i % replay->entry_count;
        job->deadline_us =
            replay->start_us + trace->at_us + trace->lifetime_us;
        snprintf(job->key, sizeof(job->key), "%s-%llx", trace->key,
                 (unsigned long long)replay->run_id);
        job->id = BwJobId_Make(BwSpan_FromString(trace->member),
                               BwSpan_FromString(job->key));
        job->task_starts = calloc(trace->task_count, sizeof(uint32_t));
        write_submission(job);
    }
}

void
BwReplay_Run(BwReplay *replay)
{
    const BwTrace *trace = replay->trace;
    uint64_t settle_end_us;
    uint32_t next = 0;

    replay->run_id = BwClock_WallNow();
    prepare_jobs(replay);
    BwReplay_TakeMark(replay, "start");
    wait_for_requests(replay);
    while (next < trace->event_count ||
           replay->finished_count < trace->job_count) {
        uint64_t now_us = BwClock_Now();
        uint64_t due_us = UINT64_MAX;

        if (next < trace->event_count)
            due_us = replay->start_us + trace->events[next].at_us;
        if (now_us >= due_us)
            start_event(replay, &trace->events[next++], now_us);
        else
            run_loop(replay, due_us);
    }
    settle_end_us = BwClock_Now() + SETTLE_US;
    while (BwClock_Now() < settle_end_us)
        run_loop(replay, settle_end_us);
    wait_for_requests(replay);
    BwReplay_TakeMark(replay, "end");
    BwReplay_ReadStarts(replay);
    wait_for_requests(replay);
    show_progress(replay, BwClock_Now(), true);
}

/* ------------------------------------------------------------- setup */

static bool
add_entry(BwReplay *replay, const char *address)
{
    char host[64];
    uint16_t port;

    if (!BwNet_SplitAddress(address, host, sizeof(host), &port) ||
        !BwHttpClient_Init(&replay->entries[replay->entry_count], replay->loop,
                           host, port, CONNECTIONS_MAX, REPLY_BYTES_MAX)) {
        snprintf(replay->error_message, sizeof(replay->error_message),
                 "'%s' is not HOST:PORT; give an IP address and a port",
                 address);
        return false;
    }
    replay->entry_count++;
    return true;
}

static bool
add_process(BwReplay *replay, json_t *item)
{
    BwReplayProcess *process = &replay->processes[replay->process_count];
    json_int_t port = json_integer_value(json_object_get(item, "port"));

    process->replay = replay;
    process->name = json_string_value(json_object_get(item, "name"));
    process->role = json_string_value(json_object_get(item, "role"));
    process->pid = json_integer_value(json_object_get(item, "pid"));
    if (process->name == NULL || process->role == NULL || port < 1 ||
        port > 65535 ||
        !BwHttpClient_Init(&process->client, replay->loop, "127.0.0.1",
                           (uint16_t)port, 2, REPLY_BYTES_MAX)) {
        snprintf(replay->error_message, sizeof(replay->error_message),
                 "process %u of the fleet needs name, role and port",
                 replay->process_count);
        return false;
    }
    replay->process_count++;
    return true;
}

bool
BwReplay_Init(BwReplay *replay, const BwTrace *trace,
              const char *const *entries, uint32_t entry_count, json_t *fleet)
{
    json_t *list = json_object_get(fleet, "processes");
    json_t *item;
    size_t i;

    memset(replay, 0, sizeof(*replay));
    replay->trace = trace;
    replay->fleet = fleet;
    snprintf(replay->headers, sizeof(replay->headers),
             "content-type: application/json\r\n");
    replay->loop = h2o_evloop_create();
    replay->jobs = calloc(trace->job_count + 1, sizeof(BwReplayJob));
    replay->marks = calloc(BW_REPLAY_MARKS_MAX, sizeof(BwReplayMark));
    replay->processes =
        calloc(BW_REPLAY_PROCESSES_MAX, sizeof(BwReplayProcess));
    if (replay->jobs == NULL || replay->marks == NULL ||
        replay->processes == NULL ||
        json_array_size(list) > BW_REPLAY_PROCESSES_MAX) {
        snprintf(replay->error_message, sizeof(replay->error_message),
                 "the fleet has more than %d processes, or memory is short",
                 BW_REPLAY_PROCESSES_MAX);
        return false;
    }
    for (uint32_t e = 0; e < entry_count && e < BW_REPLAY_ENTRIES_MAX; e++) {
        if (!add_entry(replay, entries[e]))
            return false;
    }
    json_array_foreach(list, i, item)
    {
        if (!add_process(replay, item))
            return false;
    }
    return true;
}

bool
BwReplay_UseKeys(BwReplay *replay, const char *authority, const char *tls_name,
                 const char *token)
{
    if (token != NULL)
        snprintf(replay->headers, sizeof(replay->headers),
                 "content-type: application/json\r\n"
                 "authorization: Bearer %s\r\n",
                 token);
    if (authority == NULL)
        return true;
    replay->tls = BwTls_MakeClientContext(authority);
    if (replay->tls == NULL) {
        snprintf(replay->error_message, sizeof(replay->error_message),
                 "%s is not a PEM certificate", authority);
        return false;
    }
    for (uint32_t i = 0; i < replay->entry_count; i++)
        BwHttpClient_UseTls(&replay->entries[i], replay->tls, tls_name);
    return true;
}

void
BwReplay_Finish(BwReplay *replay)
{
    for (uint32_t i = 0; i < replay->entry_count; i++)
        BwHttpClient_Finish(&replay->entries[i]);
    for (uint32_t i = 0; i < replay->process_count; i++)
        BwHttpClient_Finish(&replay->processes[i].client);
    for (uint32_t i = 0; i < replay->trace->job_count; i++) {
        free(replay->jobs[i].text);
        free(replay->jobs[i].task_starts);
    }
    free(replay->jobs);
    free(replay->marks);
    free(replay->processes);
    json_decref(replay->fleet);
    SSL_CTX_free(replay->tls);
    memset(replay, 0, sizeof(*replay));
}
