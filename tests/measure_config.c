/* measure_config.c -- measures the time and cost of a configuration change

   usage: measure_config [PUBLICATIONS [FILE]]

   Starts a fleet of the demo's size on loopback and publishes FILE, or else
   the example, PUBLICATIONS times.  Prints percentiles of the time that the
   command line reports for a publication, from its start until the
   configuration is in force on the last node, and what a publication costs
   each node beyond what the node spends idle.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "fleet.h"

#define AGENTS 6
#define ENTRIES 2
#define NODES (AGENTS + ENTRIES)
#define IDLE_US 10000000
#define PUBLICATIONS_PER_DAY 18000.0
#define SECONDS_PER_DAY 86400.0

static Fleet fleet;

typedef struct Cost {
    uint64_t cpu_us;
    uint64_t sent_bytes;
} Cost;

static const FleetProcess *
node(uint32_t i)
{
    return i < AGENTS ? &fleet.agents[i] : &fleet.entries[i - AGENTS];
}

static void
read_costs(Cost *costs)
{
    for (uint32_t i = 0; i < NODES; i++) {
        costs[i].cpu_us = Fleet_ReadMetric(node(i)->http_port,
                                           "brasswing_cpu_microseconds_total");
        costs[i].sent_bytes =
            Fleet_ReadMetric(node(i)->http_port, "brasswing_bytes_sent_total");
    }
}

static int
compare(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;

    return a < b ? -1 : a > b;
}

/* Returns the index of a percentile among `count` sorted values. */
static uint32_t
nearest_rank(uint32_t count, uint32_t percent)
{
    return (count * percent + 99) / 100 - 1;
}

static uint64_t
publish(const char *file)
{
    char *arguments = g_strdup_printf("--output json publish %s", file);
    FleetCommandResult run;
    const char *field;
    uint64_t took_us = 0;

    Fleet_RunCommand(&fleet, &run, arguments);
    g_free(arguments);
    field = strstr(run.out, "\"took_us\":");
    if (run.code != 0 || field == NULL)
        g_error("brasswing publish exited with %d: %s", run.code, run.err);
    took_us = g_ascii_strtoull(field + strlen("\"took_us\":"), NULL, 10);
    FleetCommandResult_Clear(&run);
    return took_us;
}

static void
print_costs(const Cost *before, const Cost *after, const double *idle_cpu,
            const double *idle_bytes, double seconds, uint32_t count)
{
    for (uint32_t i = 0; i < NODES; i++) {
        double cpu_us = (double)(after[i].cpu_us - before[i].cpu_us) -
                        idle_cpu[i] * seconds;
        double bytes = (double)(after[i].sent_bytes - before[i].sent_bytes) -
                       idle_bytes[i] * seconds;

        printf(
            "%s idle_cpu_us_per_s=%.0f cpu_us_per_publication=%.0f "
            "sent_bytes_per_publication=%.0f share_of_core_at_rate=%.5f%%\n",
            node(i)->name, idle_cpu[i], cpu_us / count, bytes / count,
            cpu_us / count * (PUBLICATIONS_PER_DAY / SECONDS_PER_DAY) / 1e4);
    }
}

int
main(int argc, char **argv)
{
    static const FleetPlan plan = {.agents = AGENTS,
                                   .entries = ENTRIES,
                                   .slots = 8,
                                   .run_us = 1000,
                                   .services = "tarif-engine renewd"};
    uint32_t count = argc > 1 ? (uint32_t)atoi(argv[1]) : 100;
    const char *file = argc > 2 ? argv[2] : BW_EXAMPLE_PATH;
    uint64_t *times_us = calloc(count, sizeof(uint64_t));
    Cost before[NODES], after[NODES];
    double idle_cpu[NODES], idle_bytes[NODES];
    uint64_t start_us;

    Fleet_Init(&fleet, &plan);
    read_costs(before);
    g_usleep(IDLE_US);
    read_costs(after);
    for (uint32_t i = 0; i < NODES; i++) {
        idle_cpu[i] =
            (double)(after[i].cpu_us - before[i].cpu_us) / (IDLE_US / 1e6);
        idle_bytes[i] = (double)(after[i].sent_bytes - before[i].sent_bytes) /
                        (IDLE_US / 1e6);
    }
    read_costs(before);
    start_us = BwClock_Now();
    for (uint32_t i = 0; i < count; i++)
        times_us[i] = publish(file);
    read_costs(after);
    qsort(times_us, count, sizeof(uint64_t), compare);
    printf("publications=%u p50_us=%llu p99_us=%llu most_us=%llu\n", count,
           (unsigned long long)times_us[nearest_rank(count, 50)],
           (unsigned long long)times_us[nearest_rank(count, 99)],
           (unsigned long long)times_us[count - 1]);
    print_costs(before, after, idle_cpu, idle_bytes,
                (double)(BwClock_Now() - start_us) / 1e6, count);
    Fleet_Finish(&fleet);
    free(times_us);
    return 0;
}
