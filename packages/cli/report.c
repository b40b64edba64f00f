/* report.c -- the report of a replay

   The ratio of a complete job is its response time divided by its time alone
   on idle slots.  Jobs without a complete answer are counted but have no
   ratio.  The bound of a job is the same ratio on one central queue that knows
   the whole state without delay (ideal.h).
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ideal.h"
#include "replay.h"

typedef struct JobRatios {
    double *ratio; /* indexed by job; 0: no ratio */
    double *bound;
    double *sorted; /* scratch copy for sorting */
} JobRatios;

static const struct {
    const char *name;
    uint32_t from;
    uint32_t to;
} job_sizes[] = {
    {"1 task", 1, 1},
    {"2-10 tasks", 2, 10},
    {"11-100 tasks", 11, 100},
    {"101-1700 tasks", 101, 1700},
};

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return left < right ? -1 : left > right;
}

/* Adds p50, p95 and p99 of the values of the jobs that match `where`, which
   may also limit the number of tasks by tasks_from and tasks_to. */
static void
add_quantiles(json_t *group, const char *name, const BwReplay *replay,
              json_t *where, const double *values, double *sorted)
{
    uint32_t from =
        (uint32_t)json_integer_value(json_object_get(where, "tasks_from"));
    uint32_t to =
        (uint32_t)json_integer_value(json_object_get(where, "tasks_to"));
    uint32_t n = 0;

    for (uint32_t i = 0; i < replay->trace->job_count; i++) {
        const BwTraceJob *job = &replay->trace->jobs[i];

        if (values[i] > 0 && BwTraceJob_Matches(job, where) &&
            job->task_count >= from && (to == 0 || job->task_count <= to))
            sorted[n++] = values[i];
    }
    if (n == 0)
        return;
    qsort(sorted, n, sizeof(double), compare_doubles);
    json_object_set_new(group, name,
                        json_pack("{s:i, s:f, s:f, s:f}", "jobs", (int)n,
                                  "p50", sorted[(n - 1) / 2], "p95",
                                  sorted[(n - 1) * 95 / 100], "p99",
                                  sorted[(n - 1) * 99 / 100]));
}

static void
add_group(json_t *groups, const BwReplay *replay, const JobRatios *ratios,
          const char *name, json_t *where)
{
    json_t *group = json_pack("{s:s}", "group", name);

    add_quantiles(group, "ratio", replay, where, ratios->ratio,
                  ratios->sorted);
    add_quantiles(group, "bound", replay, where, ratios->bound,
                  ratios->sorted);
    if (json_object_get(group, "ratio") != NULL)
        json_array_append(groups, group);
    json_decref(group);
    json_decref(where);
}

static bool
is_listed(json_t *groups, const char *name)
{
    json_t *group;
    size_t i;

    json_array_foreach(groups, i, group)
    {
        if (strcmp(json_string_value(json_object_get(group, "group")), name) ==
            0)
            return true;
    }
    return false;
}

static json_t *
make_groups(const BwReplay *replay, const JobRatios *ratios)
{
    json_t *groups = json_array();
    const BwTrace *trace = replay->trace;

    add_group(groups, replay, ratios, "all", json_object());
    for (uint32_t i = 0; i < trace->job_count; i++) {
        const char *member = trace->jobs[i].member;
        const char *job_class = trace->jobs[i].job_class;

        if (!is_listed(groups, member))
            add_group(groups, replay, ratios, member,
                      json_pack("{s:s}", "member", member));
        if (job_class[0] != '\0' && !is_listed(groups, job_class))
            add_group(groups, replay, ratios, job_class,
                      json_pack("{s:s}", "class", job_class));
    }
    for (size_t i = 0; i < sizeof(job_sizes) / sizeof(job_sizes[0]); i++)
        add_group(groups, replay, ratios, job_sizes[i].name,
                  json_pack("{s:i, s:i}", "tasks_from", (int)job_sizes[i].from,
                            "tasks_to", (int)job_sizes[i].to));
    return groups;
}

static void
compute_ratios(const BwReplay *replay, JobRatios *ratios)
{
    const BwTrace *trace = replay->trace;
    uint64_t *took_us = calloc(trace->job_count + 1, sizeof(uint64_t));
    const char *service;
    json_t *slots;

    json_object_foreach(trace->services, service, slots)
    {
        BwIdeal_CentralQueue(trace, service,
                             (uint32_t)json_integer_value(slots), took_us);
    }
    for (uint32_t i = 0; i < trace->job_count; i++) {
        const BwReplayJob *job = &replay->jobs[i];
        double ideal_us = (double)BwIdeal_JobUs(
            job->trace, BwTrace_Slots(trace, job->trace->service));

        if (ideal_us <= 0)
            continue;
        ratios->bound[i] = (double)took_us[i] / ideal_us;
        if (job->end == BW_REPLAY_COMPLETE)
            ratios->ratio[i] = (double)job->took_us / ideal_us;
    }
    free(took_us);
}

static json_t *
count_ends(const BwReplay *replay)
{
    static const char *const names[] = {
        [BW_REPLAY_NOT_ANSWERED] = "not_answered",
        [BW_REPLAY_COMPLETE] = "complete",
        [BW_REPLAY_PARTIAL] = "partial",
        [BW_REPLAY_NOT_RUN] = "not_run",
        [BW_REPLAY_MAY_HAVE_RUN] = "may_have_run",
    };
    json_int_t counts[BW_REPLAY_MAY_HAVE_RUN + 1] = {0};
    json_t *ends = json_object();

    for (uint32_t i = 0; i < replay->trace->job_count; i++)
        counts[replay->jobs[i].end]++;
    for (int i = 0; i <= BW_REPLAY_MAY_HAVE_RUN; i++)
        json_object_set_new(ends, names[i], json_integer(counts[i]));
    return ends;
}

/* Returns the longest time from the first send of a refused job to its
   refusal. */
static uint64_t
slowest_refusal_us(const BwReplay *replay)
{
    uint64_t slowest_us = 0;

    for (uint32_t i = 0; i < replay->trace->job_count; i++) {
        const BwReplayJob *job = &replay->jobs[i];

        if (job->end == BW_REPLAY_NOT_RUN && job->took_us > slowest_us)
            slowest_us = job->took_us;
    }
    return slowest_us;
}

static uint64_t
count_tasks(const BwReplay *replay)
{
    uint64_t tasks = 0;

    for (uint32_t i = 0; i < replay->trace->job_count; i++)
        tasks += replay->trace->jobs[i].task_count;
    return tasks;
}

/* Returns the run time of all tasks of complete jobs, in slot microseconds. */
static uint64_t
sum_useful_us(const BwReplay *replay)
{
    uint64_t sum_us = 0;

    for (uint32_t i = 0; i < replay->trace->job_count; i++) {
        const BwReplayJob *job = &replay->jobs[i];

        for (uint32_t t = 0; t < job->trace->task_count; t++)
            sum_us += job->end == BW_REPLAY_COMPLETE
                          ? job->trace->tasks[t].run_us
                          : 0;
    }
    return sum_us;
}

static uint64_t
increase(uint64_t before, uint64_t after)
{
    return after > before ? after - before : 0;
}

/* Sums the increase of the counters between two marks over the processes of
   one role that answered at both. */
static json_t *
sum_counters(const BwReplay *replay, const BwReplayMark *before,
             const BwReplayMark *after, const char *role)
{
    BwReplayCounters sum = {0};

    for (uint32_t i = 0; i < replay->process_count; i++) {
        const BwReplayCounters *a = &before->counters[i];
        const BwReplayCounters *b = &after->counters[i];

        if (strcmp(replay->processes[i].role, role) != 0 || !a->is_known ||
            !b->is_known)
            continue;
        sum.messages += increase(a->messages, b->messages);
        sum.wasted += increase(a->wasted, b->wasted);
        sum.cpu_us += increase(a->cpu_us, b->cpu_us);
        sum.starts += increase(a->starts, b->starts);
        if (b->resident_bytes > sum.resident_bytes)
            sum.resident_bytes = b->resident_bytes;
    }
    return json_pack("{s:I, s:I, s:I, s:I, s:I}", "messages",
                     (json_int_t)sum.messages, "wasted",
                     (json_int_t)sum.wasted, "cpu_us", (json_int_t)sum.cpu_us,
                     "starts", (json_int_t)sum.starts, "resident_bytes_max",
                     (json_int_t)sum.resident_bytes);
}

/* Returns the starts of each agent during the replay, by agent name. */
static json_t *
count_starts(const BwReplay *replay)
{
    const BwReplayMark *first = &replay->marks[0];
    const BwReplayMark *last = &replay->marks[replay->mark_count - 1];
    json_t *starts = json_object();

    for (uint32_t i = 0; i < replay->process_count; i++) {
        const BwReplayProcess *process = &replay->processes[i];

        if (strcmp(process->role, "agent") == 0)
            json_object_set_new(
                starts, process->name,
                json_integer((json_int_t)increase(first->counters[i].starts,
                                                  last->counters[i].starts)));
    }
    return starts;
}

static json_t *
make_intervals(const BwReplay *replay)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i + 1 < replay->mark_count; i++) {
        const BwReplayMark *a = &replay->marks[i];
        const BwReplayMark *b = &replay->marks[i + 1];

        json_array_append_new(
            list, json_pack("{s:s, s:s, s:I, s:o, s:o}", "from", a->name, "to",
                            b->name, "us", (json_int_t)(b->at_us - a->at_us),
                            "entries", sum_counters(replay, a, b, "entry"),
                            "agents", sum_counters(replay, a, b, "agent")));
    }
    return list;
}

static json_int_t
sum_roles(json_t *report, const char *name)
{
    static const char *const roles[] = {"entries", "agents"};
    json_int_t sum = 0;

    for (size_t i = 0; i < 2; i++)
        sum += json_integer_value(
            json_object_get(json_object_get(report, roles[i]), name));
    return sum;
}

/* Returns whether any process counts wasted messages.  If none does, their
   number is unknown. */
static bool
is_waste_counted(const BwReplay *replay)
{
    const BwReplayMark *last = &replay->marks[replay->mark_count - 1];

    for (uint32_t i = 0; i < replay->process_count; i++) {
        if (last->counters[i].counts_wasted)
            return true;
    }
    return false;
}

json_t *
BwReplay_Report(BwReplay *replay)
{
    uint32_t capacity = replay->trace->job_count + 1;
    JobRatios ratios = {calloc(capacity, sizeof(double)),
                        calloc(capacity, sizeof(double)),
                        calloc(capacity, sizeof(double))};
    const BwReplayMark *first = &replay->marks[0];
    const BwReplayMark *last = &replay->marks[replay->mark_count - 1];
    double tasks = (double)count_tasks(replay);
    json_t *report;

    compute_ratios(replay, &ratios);
    report = json_pack(
        "{s:s, s:i, s:I, s:I, s:o, s:I, s:I, s:o, s:o, s:o, s:o, s:o}",
        "trace", replay->trace->name, "jobs", (int)replay->trace->job_count,
        "tasks", (json_int_t)tasks, "took_us",
        (json_int_t)(last->at_us - first->at_us), "ends", count_ends(replay),
        "useful_slot_us", (json_int_t)sum_useful_us(replay),
        "slowest_refusal_us", (json_int_t)slowest_refusal_us(replay),
        "entries", sum_counters(replay, first, last, "entry"), "agents",
        sum_counters(replay, first, last, "agent"), "intervals",
        make_intervals(replay), "groups", make_groups(replay, &ratios),
        "outcomes", BwReplay_CheckOutcomes(replay));
    json_object_set_new(report, "starts", count_starts(replay));
    json_object_set_new(
        report, "messages_per_task",
        json_real((double)sum_roles(report, "messages") / tasks));
    if (is_waste_counted(replay))
        json_object_set_new(
            report, "wasted_per_task",
            json_real((double)sum_roles(report, "wasted") / tasks));
    free(ratios.ratio);
    free(ratios.bound);
    free(ratios.sorted);
    return report;
}
