/* crashreports.c -- what ran on a worker when it crashed, see crashreports.h
 */

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "crashreports.h"
#include "workertasks.h"

#define USE_INTERVAL_US 100000
/* A sample's weight in the moving average is 1/64, so that it reaches back
   over a series of crashes. */
#define USE_SHIFT 6
/* The weight of the first samples, when there is no average yet. */
#define USE_SHIFT_FIRST 2

/* ---------------------------------------------------------------- uses */

static BwRouteUse *
find_use(BwCrashReports *reports, const char *route)
{
    for (uint32_t i = 0; i < reports->use_count; i++) {
        if (strcmp(reports->uses[i].route, route) == 0)
            return &reports->uses[i];
    }
    return NULL;
}

/* Returns the route's entry.  When all are in use, that of the route with the
   fewest tasks is taken over, unless it has more than none. */
static BwRouteUse *
find_or_add_use(BwCrashReports *reports, const char *route)
{
    BwRouteUse *use = find_use(reports, route);

    if (use != NULL)
        return use;
    if (reports->use_count < BW_USUAL_ROUTES_MAX) {
        use = &reports->uses[reports->use_count++];
    }
    else {
        use = &reports->uses[0];
        for (uint32_t i = 1; i < reports->use_count; i++) {
            if (reports->uses[i].tasks_milli < use->tasks_milli)
                use = &reports->uses[i];
        }
        if (use->tasks_milli >= 1000)
            return NULL;
    }
    strcpy(use->route, route);
    use->tasks_milli = 0;
    return use;
}

void
BwCrashReports_Tick(BwSupervisor *s, uint64_t now_us)
{
    BwCrashReports *reports = &s->crash_reports;
    uint32_t counts[BW_USUAL_ROUTES_MAX] = {0};
    uint32_t shift;

    if (now_us - reports->measured_us < USE_INTERVAL_US ||
        s->phase != BW_WORKER_READY || s->down_since_us != 0)
        return;
    reports->measured_us = now_us;
    reports->samples++;
    shift = USE_SHIFT_FIRST;
    while (shift < USE_SHIFT && reports->samples >> shift != 0)
        shift++;
    for (const BwWorkerTask *task = s->tasks_by_key; task != NULL;
         task = task->hh.next) {
        BwRouteUse *use;

        if (!BwWorkerTasks_IsOnWorker(task))
            continue;
        use = find_or_add_use(reports, task->text->route);
        if (use != NULL)
            counts[use - reports->uses]++;
    }
    for (uint32_t i = 0; i < reports->use_count; i++) {
        BwRouteUse *use = &reports->uses[i];

        use->tasks_milli += ((uint64_t)counts[i] * 1000 >> shift) -
                            (use->tasks_milli >> shift);
    }
}

/* ------------------------------------------------------------- reports */

static void
clear_report(BwCrashReport *report)
{
    free(report->tasks);
    free(report->texts);
    free(report->usual);
    memset(report, 0, sizeof(*report));
}

static BwCrashReport *
find_report(BwSupervisor *s)
{
    for (uint32_t i = 0; i < BW_CRASH_REPORTS_MAX; i++) {
        BwCrashReport *report = &s->crash_reports.reports[i];

        if (report->at_us != 0 && strcmp(report->instance, s->life) == 0)
            return report;
    }
    return NULL;
}

static char *
copy_text(char *at, BwSpan *span, const char *text)
{
    *span = BwSpan_FromString(text);
    memcpy(at, text, span->size_bytes);
    span->base = at;
    return at + span->size_bytes;
}

/* Whether the task may have run on the life of the worker that has ended. */
static bool
is_suspect(const BwWorkerTask *task)
{
    return BwWorkerTasks_IsOnWorker(task) && !task->is_on_next_life;
}

/* Fills the report with the tasks on the worker.  Returns false without
   memory. */
static bool
list_tasks(const BwSupervisor *s, BwCrashReport *report, uint32_t count)
{
    uint32_t listed =
        count < BW_CRASHED_TASKS_MAX ? count : BW_CRASHED_TASKS_MAX;
    char *at;

    report->tasks = calloc(listed, sizeof(*report->tasks));
    report->texts = malloc((size_t)listed * 2 * BW_NAME_BYTES_MAX);
    report->usual = malloc(sizeof(s->crash_reports.uses));
    if (report->tasks == NULL || report->texts == NULL ||
        report->usual == NULL)
        return false;
    memcpy(report->usual, s->crash_reports.uses,
           sizeof(s->crash_reports.uses));
    report->usual_count = s->crash_reports.use_count;
    at = report->texts;
    report->is_exclusive = true;
    for (const BwWorkerTask *task = s->tasks_by_key; task != NULL;
         task = task->hh.next) {
        BwCrashedTask *crashed = &report->tasks[report->task_count];

        if (!is_suspect(task) || report->task_count == listed)
            continue;
        at = copy_text(at, &crashed->job, task->key.job);
        at = copy_text(at, &crashed->route, task->text->route);
        crashed->step = task->key.step;
        crashed->index = task->key.index;
        report->is_exclusive = report->is_exclusive && task->is_exclusive;
        report->task_count++;
    }
    report->unlisted = count - report->task_count;
    return true;
}

static void
send_report(BwSupervisor *s, uint64_t now_us, const BwCrashReport *report,
            uint32_t peer, bool is_withdrawn)
{
    BwMessage message = {.kind = BW_MSG_CRASH};
    BwCrash *crash = &message.u.crash;
    BwUsualRoute usual[BW_USUAL_ROUTES_MAX];

    for (uint32_t i = 0; i < report->usual_count; i++) {
        usual[i].route = BwSpan_FromString(report->usual[i].route);
        usual[i].tasks_milli = report->usual[i].tasks_milli;
    }

    crash->instance = BwSpan_FromString(report->instance);
    crash->service = BwSpan_FromString(report->service);
    crash->age_us = now_us - report->at_us;
    crash->is_withdrawn = is_withdrawn;
    crash->is_exclusive = report->is_exclusive;
    crash->unlisted = report->unlisted;
    crash->tasks = report->tasks;
    crash->task_count = report->task_count;
    crash->usual = usual;
    crash->usual_count = report->usual_count;
    s->port->send(s->ctx, peer, &message);
}

static void
send_to_all(BwSupervisor *s, uint64_t now_us, const BwCrashReport *report,
            bool is_withdrawn)
{
    for (const BwSupervisorPeer *peer = s->peers; peer != NULL;
         peer = peer->hh.next)
        send_report(s, now_us, report, peer->peer, is_withdrawn);
}

void
BwCrashReports_Report(BwSupervisor *s, uint64_t now_us)
{
    BwCrashReports *reports = &s->crash_reports;
    uint32_t count = 0;
    BwCrashReport *report;

    for (const BwWorkerTask *task = s->tasks_by_key; task != NULL;
         task = task->hh.next)
        count += is_suspect(task);
    if (count == 0 || find_report(s) != NULL)
        return;
    report = &reports->reports[reports->count++ % BW_CRASH_REPORTS_MAX];
    clear_report(report);
    if (!list_tasks(s, report, count)) {
        clear_report(report);
        return;
    }
    report->at_us = now_us;
    strcpy(report->instance, s->life);
    strcpy(report->service, s->service);
    s->counters.crashes++;
    s->port->log_worker(s->ctx, "worker_crashed", count,
                        "its process has ended while tasks ran there");
    send_to_all(s, now_us, report, false);
}

void
BwCrashReports_Withdraw(BwSupervisor *s, uint64_t now_us)
{
    BwCrashReport *report = find_report(s);

    if (report == NULL)
        return;
    send_to_all(s, now_us, report, true);
    clear_report(report);
}

void
BwCrashReports_Repeat(BwSupervisor *s, uint64_t now_us, uint32_t peer)
{
    BwCrashReports *reports = &s->crash_reports;

    for (uint32_t i = 0; i < BW_CRASH_REPORTS_MAX; i++) {
        const BwCrashReport *report =
            &reports->reports[(reports->count + i) % BW_CRASH_REPORTS_MAX];

        if (report->at_us != 0 && now_us - report->at_us < BW_CRASH_REPORT_US)
            send_report(s, now_us, report, peer, false);
    }
}

void
BwCrashReports_Finish(BwCrashReports *reports)
{
    for (uint32_t i = 0; i < BW_CRASH_REPORTS_MAX; i++)
        clear_report(&reports->reports[i]);
}
