/* measure_capacity.c -- measures the cost per process, task and agent of a
   ring, for docs/CAPACITY.md

   usage: measure_capacity [SECONDS]

   Starts idle fleets of several sizes, one after the other, for SECONDS each,
   and prints what an agent and an entry spend on control: messages, bytes and
   processor time per second, and resident memory.  Then it runs jobs on the
   smallest fleet and prints what a task costs in messages and processor time,
   and in memory while its job and ledger entry are retained.  At last it
   prints the time to build rings of several sizes, and their memory.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "clock.h"
#include "fleet.h"

#define SETTLE_US 6000000
#define DEFAULT_SECONDS 10
#define JOBS 400
#define JOB_TASKS 100
#define RING_BUILDS 10

static const char *const counter_names[] = {
    "brasswing_messages_sent_total", "brasswing_bytes_sent_total",
    "brasswing_bytes_received_total", "brasswing_cpu_microseconds_total",
    "brasswing_resident_bytes"};

#define COUNTERS G_N_ELEMENTS(counter_names)
#define RESIDENT_COUNTER (COUNTERS - 1)

typedef struct Sample {
    double values[COUNTERS];
} Sample;

/* Returns the mean of each counter over `count` processes. */
static Sample
read_means(const FleetProcess *processes, uint32_t count)
{
    Sample sample = {{0}};

    for (uint32_t i = 0; i < count; i++) {
        for (size_t j = 0; j < COUNTERS; j++)
            sample.values[j] += (double)Fleet_ReadMetric(
                                    processes[i].http_port, counter_names[j]) /
                                count;
    }
    return sample;
}

static void
print_rates(const char *role, uint32_t agents, const Sample *before,
            const Sample *after, double seconds)
{
    printf("%-6s %6u", role, agents);
    for (size_t j = 0; j < RESIDENT_COUNTER; j++)
        printf(" %10.1f", (after->values[j] - before->values[j]) / seconds);
    printf(" %10.0f\n", after->values[RESIDENT_COUNTER] / 1024);
    fflush(stdout);
}

static void
start_fleet(Fleet *fleet, uint32_t agents)
{
    FleetPlan plan = {.agents = agents,
                      .entries = 1,
                      .slots = 8,
                      .run_us = 1000,
                      .services = "tarif-engine"};

    Fleet_Init(fleet, &plan);
}

static void
measure_idle(uint32_t agents, uint32_t seconds)
{
    Fleet fleet;
    Sample agent, entry, later;

    start_fleet(&fleet, agents);
    g_usleep(SETTLE_US);
    agent = read_means(fleet.agents, agents);
    entry = read_means(fleet.entries, 1);
    g_usleep((gulong)seconds * 1000000);
    later = read_means(fleet.agents, agents);
    print_rates("agent", agents, &agent, &later, seconds);
    later = read_means(fleet.entries, 1);
    print_rates("entry", agents, &entry, &later, seconds);
    Fleet_Finish(&fleet);
}

/* Builds a ring of one region and prints the build time and the memory. */
static void
measure_ring(uint32_t agents)
{
    BwRing ring;
    uint64_t start_us;

    BwRing_Init(&ring);
    for (uint32_t i = 0; i < agents; i++) {
        BwAgent agent = {.port = 1, .incarnation = i + 1};

        g_snprintf(agent.name, sizeof(agent.name), "agent-%u", i);
        g_snprintf(agent.domain, sizeof(agent.domain), "domain-%u", i % 4);
        BwRing_Put(&ring, &agent, i + 1);
    }
    start_us = BwClock_Now();
    for (uint32_t i = 0; i < RING_BUILDS; i++)
        BwRing_Build(&ring);
    printf("ring of %u agents: build %.2f ms, %zu bytes\n", agents,
           (double)(BwClock_Now() - start_us) / RING_BUILDS / 1000,
           agents * (sizeof(BwAgent) + sizeof(uint32_t) +
                     BW_RING_POINTS_PER_AGENT * sizeof(BwRingPoint)));
    BwRing_Finish(&ring);
}

static void
run_jobs(Fleet *fleet)
{
    BwBlockingClient caller;

    BwBlockingClient_Init(&caller, "127.0.0.1",
                          (uint16_t)fleet->entries[0].http_port);
    for (uint32_t i = 0; i < JOBS; i++) {
        char *key = g_strdup_printf("capacity-%u", i);
        char *job =
            Fleet_JobText("power-purchase-agency", "tarif-engine", key,
                          JOB_TASKS, 1000, BwClock_WallNow() + 50000000, "");
        FleetAnswer answer;

        Fleet_Submit(&caller, job, &answer);
        if (g_strcmp0(answer.state, "complete") != 0)
            g_error("job %u did not complete: %s", i, answer.error);
        FleetAnswer_Clear(&answer);
        g_free(job);
        g_free(key);
    }
    BwBlockingClient_Finish(&caller);
}

static void
measure_jobs(uint32_t agents)
{
    Fleet fleet;
    Sample before, after;
    double tasks_per_agent = (double)JOBS * JOB_TASKS / agents;

    start_fleet(&fleet, agents);
    before = read_means(fleet.agents, agents);
    run_jobs(&fleet);
    after = read_means(fleet.agents, agents);
    printf(
        "\n%u jobs of %u tasks on %u agents, each agent's share %.0f tasks:\n",
        JOBS, JOB_TASKS, agents, tasks_per_agent);
    printf("  kept job and ledger: %.0f bytes of resident memory a task\n",
           (after.values[RESIDENT_COUNTER] - before.values[RESIDENT_COUNTER]) /
               tasks_per_agent);
    printf("  messages sent: %.2f a task, bytes sent: %.0f a task\n",
           (after.values[0] - before.values[0]) / tasks_per_agent,
           (after.values[1] - before.values[1]) / tasks_per_agent);
    printf("  processor time: %.1f us a task\n",
           (after.values[3] - before.values[3]) / tasks_per_agent);
    Fleet_Finish(&fleet);
}

int
main(int argc, char **argv)
{
    static const uint32_t sizes[] = {6, 12, 24, 48};
    uint32_t seconds = argc > 1 ? (uint32_t)atoi(argv[1]) : DEFAULT_SECONDS;

    printf("idle, per process and second\n%-6s %6s %10s %10s %10s %10s %10s\n",
           "role", "agents", "messages", "sent B", "received B", "cpu us",
           "memory KB");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
        measure_idle(sizes[i], seconds);
    measure_jobs(sizes[0]);
    measure_ring(11);
    measure_ring(345);
    measure_ring(1150);
    return 0;
}
