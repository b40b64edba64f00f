/* bench_policy.c -- processor time and memory of placement decisions

   Runs the home with fake ports, at the present and the planned numbers of
   executors.  It prints one line for each placement policy and size, then for
   each policy the growth of time and memory per executor.  Times are processor
   time of this process.  This is a benchmark and checks nothing.
*/

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "brasswing.h"

#define SERVICE "renewd"
#define SLOTS 8
#define JOB_TASKS 20
#define JOBS 4000
#define ROUNDS 5
#define NOW_US UINT64_C(1000000000)
#define GRANTED_MAX 4096

typedef struct Granted {
    uint32_t peer;
    uint32_t index;
} Granted;

typedef struct Bench {
    BwHome home;
    BwRandom random;
    Granted granted[GRANTED_MAX];
    uint32_t granted_count;
    Granted reserved[GRANTED_MAX]; /* index: number of slots */
    uint32_t reserved_count;
    uint64_t grants;
} Bench;

typedef struct Figures {
    double task_ns;
    double load_ns;
    double bytes;
} Figures;

static void
record_grant(void *ctx, uint32_t peer, const BwGrant *grant)
{
    Bench *bench = ctx;

    bench->grants++;
    for (uint32_t i = 0; i < grant->task_count; i++) {
        Granted *granted = &bench->granted[bench->granted_count++];

        granted->peer = peer;
        granted->index = grant->tasks[i].index;
    }
    if (grant->reserve > 0) {
        bench->reserved[bench->reserved_count].peer = peer;
        bench->reserved[bench->reserved_count++].index = grant->reserve;
    }
}

static void
ignore_release(void *ctx, uint32_t peer, const BwRelease *release)
{
    (void)ctx;
    (void)peer;
    (void)release;
}

static void
ignore_result(void *ctx, BwWaiter waiter, const BwResult *result)
{
    (void)ctx;
    (void)waiter;
    (void)result;
}

static void
ignore_decision(void *ctx, const BwDecision *decision)
{
    (void)ctx;
    (void)decision;
}

static const BwHomePort port = {.grant = record_grant,
                                .release = ignore_release,
                                .result = ignore_result,
                                .log_decision = ignore_decision};

static uint64_t
cpu_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

/* Reports the load of a worker as at 80% use: most workers have one or two
   free slots, some have none. */
static void
send_load(Bench *bench, uint32_t peer)
{
    static const uint32_t free_slots[] = {0, 1, 1, 2, 4};
    BwLoad load = {.service = BwSpan_FromString(SERVICE),
                   .slots = SLOTS,
                   .free_slots = free_slots[BwRandom_Below(&bench->random, 5)],
                   .clock_us = NOW_US};
    char name[BW_NAME_BYTES_MAX];

    snprintf(name, sizeof(name), "worker-%05u", peer);
    BwHome_OnLoad(&bench->home, NOW_US, peer, BwSpan_FromString(name),
                  peer == 0, &load);
}

static void
end_tasks(Bench *bench, BwJobId job)
{
    BwDoneTask task = {.ran_us = 300000};
    BwDone done = {.job = job, .tasks = &task, .task_count = 1};

    for (uint32_t i = 0; i < bench->granted_count; i++) {
        uint32_t peer = bench->granted[i].peer;
        const BwWorkerView *worker =
            BwWorkers_Find(&bench->home.workers, peer);

        task.index = bench->granted[i].index;
        done.free_slots = worker->free_slots + 1;
        BwHome_OnDone(&bench->home, NOW_US, peer, &done);
    }
}

static void
run_job(Bench *bench, uint32_t number)
{
    BwTask tasks[JOB_TASKS] = {{0}};
    char key[32];
    BwSubmit job = {.member = BwSpan_FromString("lonestar-fareworks"),
                    .service = BwSpan_FromString(SERVICE),
                    .path = BwSpan_FromString("/"),
                    .deadline_wall_us = NOW_US + 60000000,
                    .tasks = tasks,
                    .task_count = JOB_TASKS};
    BwWaiter waiter = {1, number};
    BwPull pull;

    snprintf(key, sizeof(key), "job-%u", number);
    job.key = BwSpan_FromString(key);
    pull.job = BwJobId_Make(job.member, job.key);
    bench->granted_count = 0;
    bench->reserved_count = 0;
    BwHome_Submit(&bench->home, NOW_US, NOW_US, waiter, &job);
    for (uint32_t i = 0; i < bench->reserved_count; i++) {
        pull.slots = bench->reserved[i].index;
        BwHome_OnPull(&bench->home, NOW_US, bench->reserved[i].peer, &pull);
    }
    end_tasks(bench, pull.job);
    BwHome_Flush(&bench->home, NOW_US);
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static Figures
measure(const BwPlacement *placement, uint32_t workers)
{
    static const BwHomeLimits limits = {.jobs_max = 1000000,
                                        .bytes_max = 1u << 30,
                                        .lifetime_us = 600000000,
                                        .keep_us = 0,
                                        .grant_valid_us = 1000000};
    Bench *bench = calloc(1, sizeof(Bench));
    double task_ns[ROUNDS];
    double load_ns[ROUNDS];
    Figures figures = {0};
    BwServicePolicy *service;
    BwPolicy policy;
    size_t before;

    if (bench == NULL)
        exit(1);
    BwRandom_Init(&bench->random, 5);
    BwHome_Init(&bench->home, &limits, &port, bench, 5);
    BwPolicy_Init(&policy);
    service = BwPolicy_Add(&policy, BwSpan_FromString(SERVICE));
    service->placement = placement;
    service->surplus_percent = placement->surplus_percent;
    service->waste_permille = placement->waste_permille;
    BwHome_SetPolicy(&bench->home, &policy);
    before = mallinfo2().uordblks;
    for (uint32_t i = 0; i < workers; i++)
        send_load(bench, i);
    figures.bytes = (double)(mallinfo2().uordblks - before);
    for (uint32_t round = 0; round < ROUNDS; round++) {
        uint64_t start_ns = cpu_ns();

        for (uint32_t i = 0; i < JOBS; i++)
            run_job(bench, round * JOBS + i);
        task_ns[round] = (double)(cpu_ns() - start_ns) / JOBS / JOB_TASKS;
        BwHome_Tick(&bench->home, NOW_US + 120000000);
        start_ns = cpu_ns();
        for (uint32_t i = 0; i < JOBS; i++)
            send_load(bench, i % workers);
        load_ns[round] = (double)(cpu_ns() - start_ns) / JOBS;
    }
    qsort(task_ns, ROUNDS, sizeof(double), compare_doubles);
    qsort(load_ns, ROUNDS, sizeof(double), compare_doubles);
    figures.task_ns = task_ns[ROUNDS / 2];
    figures.load_ns = load_ns[ROUNDS / 2];
    printf("%-15s %6u %9.0f %7.0f..%-7.0f %9.0f %11.0f\n", placement->name,
           workers, figures.task_ns, task_ns[0], task_ns[ROUNDS - 1],
           figures.load_ns, figures.bytes);
    BwHome_Finish(&bench->home);
    free(bench);
    return figures;
}

int
main(void)
{
    static const uint32_t sizes[] = {11, 345, 6900};

    printf("%-15s %6s %9s %16s %9s %11s\n", "placement", "size", "ns/task",
           "(spread)", "ns/load", "bytes");
    for (uint32_t i = 0; i < BW_PLACEMENT_COUNT; i++) {
        Figures figures[3];

        for (uint32_t j = 0; j < 3; j++)
            figures[j] = measure(BwPlacement_Table[i], sizes[j]);
        printf("%-15s slopes for each executor: %.3f ns/task, %.3f ns/load, "
               "%.0f bytes\n",
               BwPlacement_Table[i]->name,
               (figures[2].task_ns - figures[0].task_ns) / (6900 - 11),
               (figures[2].load_ns - figures[0].load_ns) / (6900 - 11),
               (figures[2].bytes - figures[0].bytes) / (6900 - 11));
    }
    return 0;
}
