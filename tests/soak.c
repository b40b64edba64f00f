/* soak.c -- plays random faults, in series and overlapping, for minutes

   usage: soak [--seed N] [--count N] [--reduce] [--daemon PATH] [PART...]

   Each seed is one play of each part:

     bound   dispatchers and supervisors, on the emulated workers, store and
             ingress of the lab; callers beside it keep their connections to
             the dispatchers open and use them until the process is gone.
             Workers also crash under tasks and change their capacity, and the
             wall clock of half of the processes is set meanwhile (not with
             sanitizers, which cannot be preloaded)
     keyed   entries and agents, on the stand-ins of the log and of backend
             servers

     crowd   clients that misbehave: they send heads, bodies, frames and values
             without end, or nothing, and stay until the process is gone

   The schedule follows from the seed; the processes run in real time, so their
   interleaving differs from play to play, and every check has to hold for all
   of them.  Without --seed the first seed is taken from the clock.  A play
   with a violation prints the seed, the schedule, the violations and where the
   processes' files are; --reduce then drops the disturbances of the part
   `bound` one at a time for as long as it still fails.

   The last line is `soak: N plays, V violated`.
*/

#include <getopt.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "fleet.h"
#include "soak.h"

/* Every so many seeds the fleet of the part `bound` is as large as the
   emulator allows. */
#define WIDE_INTERVAL 10

typedef struct Options {
    uint32_t seed;
    uint32_t count;
    bool is_reducing;
    const char *daemon;
    char **parts;
} Options;

/* ------------------------------------------------------------- reports */

void
SoakReport_Init(SoakReport *report)
{
    memset(report, 0, sizeof(*report));
    g_mutex_init(&report->lock);
    report->lines = g_ptr_array_new_with_free_func(g_free);
}

void
SoakReport_Finish(SoakReport *report)
{
    g_ptr_array_free(report->lines, TRUE);
    g_mutex_clear(&report->lock);
    g_free(report->dir);
}

void
SoakReport_Add(SoakReport *report, const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    g_mutex_lock(&report->lock);
    g_ptr_array_add(report->lines, g_strdup_vprintf(format, arguments));
    g_mutex_unlock(&report->lock);
    va_end(arguments);
}

static void
print_report(const SoakReport *report)
{
    for (guint i = 0; i < report->lines->len; i++)
        printf("  VIOLATED %s\n", (const char *)report->lines->pdata[i]);
    if (report->dir != NULL)
        printf("  files: %s\n", report->dir);
}

/* --------------------------------------------------------------- plays */

static void
print_fault(const BwLabFault *fault)
{
    printf("    %6u ms  %s %s %s\n", fault->at_ms,
           BwLabAction_Name((BwLabAction)fault->action), fault->target,
           fault->text);
}

static void
print_schedule(const SoakPlan *plan)
{
    if (plan->crash_permille > 0)
        printf("    %u of 1000 urgent jobs crash their worker\n",
               plan->crash_permille);
    for (uint32_t i = 0; i < plan->clock_step_count; i++)
        printf("    %6u ms  wall clock of half %u by %d s for %u ms\n",
               plan->clock_steps[i].at_ms, plan->clock_steps[i].half,
               plan->clock_steps[i].ahead_s, plan->clock_steps[i].for_ms);
    for (uint32_t i = 0; i < plan->disturbance_count; i++) {
        print_fault(&plan->disturbances[i].begin);
        if (plan->disturbances[i].end.at_ms > 0)
            print_fault(&plan->disturbances[i].end);
    }
}

static bool
has_part(const Options *options, const char *name)
{
    return options->parts[0] == NULL ||
           g_strv_contains((const char *const *)options->parts, name);
}

/* Returns whether the plan is played without a violation. */
static bool
play_bound(const SoakPlan *plan, const Options *options, bool is_quiet)
{
    SoakReport report;
    bool is_met;

    SoakReport_Init(&report);
    SoakBound_Play(plan, options->daemon, BW_CLI_PATH, &report);
    is_met = report.lines->len == 0;
    if (!is_quiet) {
        printf("seed %u bound%s: %u disturbances, %s\n", plan->seed,
               plan->is_wide ? " wide" : "", plan->disturbance_count,
               is_met ? "ok" : "VIOLATED");
        print_report(&report);
        if (!is_met)
            print_schedule(plan);
    }
    fflush(stdout);
    SoakReport_Finish(&report);
    return is_met;
}

/* Drops each disturbance without which the plan still fails. */
static void
reduce(SoakPlan *plan, const Options *options)
{
    for (uint32_t i = plan->disturbance_count; i > 0; i--) {
        SoakPlan fewer = *plan;

        fewer.disturbance_count--;
        memmove(&fewer.disturbances[i - 1], &fewer.disturbances[i],
                (plan->disturbance_count - i) * sizeof(SoakDisturbance));
        if (!play_bound(&fewer, options, true))
            *plan = fewer;
    }
    printf("  fails with these alone:\n");
    print_schedule(plan);
}

/* Prints and frees the report of a part that has no plan. */
static bool
finish_part(uint32_t seed, const char *part, SoakReport *report)
{
    bool is_met = report->lines->len == 0;

    printf("seed %u %s: %s\n", seed, part, is_met ? "ok" : "VIOLATED");
    print_report(report);
    fflush(stdout);
    SoakReport_Finish(report);
    return is_met;
}

static bool
play_keyed(uint32_t seed)
{
    SoakReport report;

    SoakReport_Init(&report);
    SoakKeyed_Play(seed, &report);
    return finish_part(seed, "keyed", &report);
}

static bool
play_crowd(uint32_t seed, const Options *options)
{
    SoakReport report;
    bool is_wide = seed % WIDE_INTERVAL == 0;

    SoakReport_Init(&report);
    SoakCrowd_Play(seed, is_wide, options->daemon, BW_CLI_PATH, &report);
    return finish_part(seed, is_wide ? "crowd wide" : "crowd", &report);
}

/* Returns how many parts of the seed were violated. */
static uint32_t
play_seed(uint32_t seed, const Options *options)
{
    SoakPlan plan = {.seed = seed, .is_wide = seed % WIDE_INTERVAL == 0};
    uint32_t violated = 0;

    if (has_part(options, "bound")) {
        SoakBound_Draw(&plan);
        if (!play_bound(&plan, options, false)) {
            violated++;
            if (options->is_reducing)
                reduce(&plan, options);
        }
    }
    if (has_part(options, "keyed"))
        violated += !play_keyed(seed);
    if (has_part(options, "crowd"))
        violated += !play_crowd(seed, options);
    return violated;
}

int
main(int argc, char **argv)
{
    static const struct option names[] = {
        {"seed", required_argument, NULL, 's'},
        {"count", required_argument, NULL, 'c'},
        {"reduce", no_argument, NULL, 'r'},
        {"daemon", required_argument, NULL, 'd'},
        {NULL, 0, NULL, 0}};
    Options options = {.seed = (uint32_t)(BwClock_WallNow() % 1000000),
                       .count = 1,
                       .daemon = BW_DAEMON_PATH};
    uint32_t violated = 0;
    int option;

    while ((option = getopt_long(argc, argv, "", names, NULL)) != -1) {
        switch (option) {
        case 's':
            options.seed = (uint32_t)strtoul(optarg, NULL, 10);
            break;
        case 'c':
            options.count = (uint32_t)strtoul(optarg, NULL, 10);
            break;
        case 'r':
            options.is_reducing = true;
            break;
        case 'd':
            options.daemon = optarg;
            break;
        default:
            return 2;
        }
    }
    options.parts = argv + optind;
    for (uint32_t i = 0; i < options.count; i++)
        violated += play_seed(options.seed + i, &options);
    printf("soak: %u plays, %u violated\n", options.count, violated);
    return violated > 0 ? 1 : 0;
}
