/* outcomes.c -- checks the outcomes that a trace expects, after its replay

   Most kinds of outcome are a check of each job that matches the outcome's
   `where`; the others check the whole run.  A kind that is not in the table
   counts as violated, so a misspelt outcome never passes.
*/

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "replay.h"

#define DETAIL_BYTES 256

typedef struct Verdict {
    uint32_t checked;
    uint32_t violated;
    char detail[DETAIL_BYTES]; /* the first violation, or a result */
} Verdict;

/* Returns false when a job violates the outcome. */
typedef bool (*JobCheck)(const BwReplayJob *job);

static bool
is_complete(const BwReplayJob *job)
{
    return job->end == BW_REPLAY_COMPLETE;
}

static bool
is_not_run(const BwReplayJob *job)
{
    return job->end == BW_REPLAY_NOT_RUN;
}

static bool
is_complete_or_refused(const BwReplayJob *job)
{
    return is_complete(job) || is_not_run(job);
}

static bool
is_answered(const BwReplayJob *job)
{
    return job->end != BW_REPLAY_NOT_ANSWERED;
}

static bool
is_not_partial(const BwReplayJob *job)
{
    return job->end != BW_REPLAY_PARTIAL;
}

/* When the answer says that nothing was run, no backend server may have
   counted a start. */
static bool
has_no_hidden_start(const BwReplayJob *job)
{
    return !is_not_run(job) || job->starts == 0;
}

static bool
is_started_once(const BwReplayJob *job)
{
    for (uint32_t i = 0; i < job->trace->task_count; i++) {
        if (job->task_starts[i] > 1)
            return false;
    }
    return true;
}

static bool
is_failed_or_not_run(const BwReplayJob *job)
{
    return job->end == BW_REPLAY_MAY_HAVE_RUN || is_not_run(job);
}

static bool
is_not_shed(const BwReplayJob *job)
{
    return strcmp(job->error, "overloaded") != 0;
}

static const char *const end_names[] = {
    [BW_REPLAY_NOT_ANSWERED] = "not answered",
    [BW_REPLAY_COMPLETE] = "complete",
    [BW_REPLAY_PARTIAL] = "partial",
    [BW_REPLAY_NOT_RUN] = "not run",
    [BW_REPLAY_MAY_HAVE_RUN] = "may have run",
};

static void
check_jobs(const BwReplay *replay, json_t *outcome, JobCheck check,
           Verdict *verdict)
{
    json_t *where = json_object_get(outcome, "where");

    for (uint32_t i = 0; i < replay->trace->job_count; i++) {
        const BwReplayJob *job = &replay->jobs[i];

        if (!BwTraceJob_Matches(job->trace, where))
            continue;
        verdict->checked++;
        if (check(job))
            continue;
        if (verdict->violated++ == 0)
            snprintf(verdict->detail, DETAIL_BYTES, "%s: %s %s, %u starts",
                     job->trace->key, end_names[job->end], job->error,
                     job->starts);
    }
}

/* No class in the list may have a larger share of its jobs refused than the
   next class, and each must have jobs. */
static void
check_shed_order(const BwReplay *replay, json_t *outcome, Verdict *verdict)
{
    json_t *classes = json_object_get(outcome, "classes");
    json_t *name;
    size_t i;
    double last = 0;

    json_array_foreach(classes, i, name)
    {
        uint32_t jobs = 0;
        uint32_t refused = 0;

        for (uint32_t k = 0; k < replay->trace->job_count; k++) {
            const BwReplayJob *job = &replay->jobs[k];

            if (strcmp(job->trace->job_class, json_string_value(name)) != 0)
                continue;
            jobs++;
            refused += is_not_run(job);
        }
        verdict->checked += jobs;
        if (jobs == 0 || (double)refused / jobs < last) {
            verdict->violated++;
            snprintf(verdict->detail, DETAIL_BYTES,
                     "%s: %u of %u refused, a smaller share than of the "
                     "class before it",
                     json_string_value(name), refused, jobs);
        }
        last = jobs > 0 ? (double)refused / jobs : 0;
    }
}

static uint64_t
count_starts(const BwReplay *replay, const char *name)
{
    const BwReplayMark *first = &replay->marks[0];
    const BwReplayMark *last = &replay->marks[replay->mark_count - 1];
    uint64_t starts = 0;

    for (uint32_t i = 0; i < replay->process_count; i++) {
        const BwReplayCounters *before = &first->counters[i];
        const BwReplayCounters *after = &last->counters[i];

        if (strcmp(replay->processes[i].role, "agent") != 0 ||
            (name != NULL && strcmp(replay->processes[i].name, name) != 0))
            continue;
        if (after->starts > before->starts)
            starts += after->starts - before->starts;
    }
    return starts;
}

/* The starts of an agent, less the first `after`, must be under `percent` of
   the starts of all agents.  Without an agent, all starts are checked. */
static void
check_start_share(const BwReplay *replay, json_t *outcome, Verdict *verdict)
{
    const char *agent = json_string_value(json_object_get(outcome, "agent"));
    uint64_t after =
        (uint64_t)json_integer_value(json_object_get(outcome, "after"));
    uint64_t percent =
        (uint64_t)json_integer_value(json_object_get(outcome, "percent"));
    uint64_t all_starts = count_starts(replay, NULL);
    uint64_t agent_starts =
        agent != NULL ? count_starts(replay, agent) : all_starts;
    uint64_t excess = agent_starts > after ? agent_starts - after : 0;

    verdict->checked = (uint32_t)all_starts;
    verdict->violated =
        all_starts == 0 || excess * 100 >= percent * all_starts;
    snprintf(verdict->detail, DETAIL_BYTES, "%llu of %llu starts",
             (unsigned long long)agent_starts, (unsigned long long)all_starts);
}

static const struct {
    const char *name;
    JobCheck check; /* NULL: check_run checks the whole run */
    void (*check_run)(const BwReplay *replay, json_t *outcome,
                      Verdict *verdict);
} kinds[] = {
    {"complete", is_complete, NULL},
    {"refused", is_not_run, NULL},
    {"complete_or_refused", is_complete_or_refused, NULL},
    {"failed_or_refused", is_failed_or_not_run, NULL},
    {"answered", is_answered, NULL},
    {"no_partial", is_not_partial, NULL},
    {"no_second_start", is_started_once, NULL},
    {"refused_not_run", has_no_hidden_start, NULL},
    {"not_shed", is_not_shed, NULL},
    {"shed_order", NULL, check_shed_order},
    {"start_share", NULL, check_start_share},
};

static json_t *
evaluate_outcome(const BwReplay *replay, json_t *outcome)
{
    const char *name = json_string_value(json_object_get(outcome, "outcome"));
    Verdict verdict = {0};

    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (name == NULL || strcmp(kinds[i].name, name) != 0)
            continue;
        if (kinds[i].check != NULL)
            check_jobs(replay, outcome, kinds[i].check, &verdict);
        else
            kinds[i].check_run(replay, outcome, &verdict);
    }
    if (verdict.checked == 0) {
        verdict.violated++;
        snprintf(verdict.detail, DETAIL_BYTES, "nothing to check");
    }
    return json_pack("{s:O, s:b, s:i, s:i, s:s}", "outcome", outcome, "ok",
                     verdict.violated == 0, "checked", (int)verdict.checked,
                     "violated", (int)verdict.violated, "detail",
                     verdict.detail);
}

json_t *
BwReplay_CheckOutcomes(const BwReplay *replay)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < replay->trace->outcome_count; i++)
        json_array_append_new(
            list, evaluate_outcome(replay, replay->trace->outcomes[i]));
    return list;
}
