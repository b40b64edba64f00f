/* test_policy.c -- placement, queue order, health, retries and admission

   The home and the executor run with ports that count what is sent; the tests
   send the messages of the other side. */

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "brasswing.h"
#include "config.h"

#define SERVICE "renewd"
#define WORKERS_MAX 64
#define NOW_US UINT64_C(1000000000)
#define SECOND_US UINT64_C(1000000)

/* A home, and what it has sent. */
typedef struct Fake {
    BwHome home;
    uint32_t grants;
    uint32_t releases;
    uint32_t released_jobs;
    uint32_t results;
    uint32_t last_error;
    uint32_t started[WORKERS_MAX];
    uint32_t reserved[WORKERS_MAX];
    uint32_t next_index[WORKERS_MAX]; /* of the last grant */
} Fake;

static void
record_grant(void *ctx, uint32_t peer, const BwGrant *grant)
{
    Fake *fake = ctx;

    fake->grants++;
    fake->started[peer] += grant->task_count;
    fake->reserved[peer] += grant->reserve;
    if (grant->task_count > 0)
        fake->next_index[peer] = grant->tasks[0].index;
}

static void
record_release(void *ctx, uint32_t peer, const BwRelease *release)
{
    Fake *fake = ctx;

    (void)peer;
    fake->releases++;
    fake->released_jobs += release->job_count;
}

static void
record_result(void *ctx, BwWaiter waiter, const BwResult *result)
{
    Fake *fake = ctx;

    (void)waiter;
    fake->results++;
    fake->last_error = result->error;
}

static void
ignore_decision(void *ctx, const BwDecision *decision)
{
    (void)ctx;
    (void)decision;
}

static const BwHomePort port = {.grant = record_grant,
                                .release = record_release,
                                .result = record_result,
                                .log_decision = ignore_decision};

static void
set_load(Fake *fake, uint32_t peer, uint32_t slots, uint32_t free_slots)
{
    BwLoad load = {.service = BwSpan_FromString(SERVICE),
                   .slots = slots,
                   .free_slots = free_slots,
                   .clock_us = NOW_US};
    char name[BW_NAME_BYTES_MAX];

    snprintf(name, sizeof(name), "w%02u", peer);
    BwHome_OnLoad(&fake->home, NOW_US, peer, BwSpan_FromString(name),
                  peer == 0, &load);
}

static BwServicePolicy *
add_policy(BwPolicy *policy, const BwPlacement *placement)
{
    BwServicePolicy *service;

    BwPolicy_Init(policy);
    service = BwPolicy_Add(policy, BwSpan_FromString(SERVICE));
    service->placement = placement;
    service->surplus_percent = placement->surplus_percent;
    service->waste_permille = placement->waste_permille;
    return service;
}

static Fake *
make_fake(const BwPlacement *placement, uint32_t workers, uint32_t free_slots)
{
    static const BwHomeLimits limits = {.jobs_max = 100000,
                                        .bytes_max = 1u << 30,
                                        .lifetime_us = 600 * SECOND_US,
                                        .keep_us = SECOND_US,
                                        .grant_valid_us = SECOND_US};
    Fake *fake = g_new0(Fake, 1);
    BwPolicy policy;

    BwHome_Init(&fake->home, &limits, &port, fake, 7);
    add_policy(&policy, placement);
    BwHome_SetPolicy(&fake->home, &policy);
    for (uint32_t i = 0; i < workers; i++)
        set_load(fake, i, 8, free_slots);
    return fake;
}

static void
free_fake(Fake *fake)
{
    BwHome_Finish(&fake->home);
    g_free(fake);
}

static void
submit_flagged(Fake *fake, const char *key, uint32_t tasks,
               uint64_t deadline_us, uint32_t flags)
{
    BwSubmit job = {.member = BwSpan_FromString("lonestar-fareworks"),
                    .key = BwSpan_FromString(key),
                    .service = BwSpan_FromString(SERVICE),
                    .path = BwSpan_FromString("/"),
                    .deadline_wall_us = NOW_US + deadline_us,
                    .flags = flags,
                    .task_count = tasks};
    BwWaiter waiter = {1, 1};

    job.tasks = g_new0(BwTask, tasks);
    BwHome_Submit(&fake->home, NOW_US, NOW_US, waiter, &job);
    g_free(job.tasks);
}

static void
submit(Fake *fake, const char *key, uint32_t tasks, uint64_t deadline_us)
{
    submit_flagged(fake, key, tasks, deadline_us, 0);
}

static uint32_t
sum(const uint32_t *values)
{
    uint32_t total = 0;

    for (uint32_t i = 0; i < WORKERS_MAX; i++)
        total += values[i];
    return total;
}

static BwJobId
make_job_id(const char *key)
{
    return BwJobId_Make(BwSpan_FromString("lonestar-fareworks"),
                        BwSpan_FromString(key));
}

static void
end_task(Fake *fake, const char *key, uint32_t peer, uint32_t attempt,
         BwErrorKind error, BwOutcomes outcomes)
{
    BwDoneTask task = {.attempt = attempt, .error = error, .ran_us = 1000};
    BwDone done = {.job = make_job_id(key),
                   .free_slots = 8,
                   .ended = outcomes.ended,
                   .failed_permille = outcomes.failed_permille,
                   .tasks = &task,
                   .task_count = 1};

    BwHome_OnDone(&fake->home, NOW_US, peer, &done);
}

/* ------------------------------------------------------- placement */

static void
test_frugal_takes_one_message(void)
{
    Fake *fake = make_fake(&BwPlacement_Frugal, 11, 8);

    submit(fake, "a", 8, SECOND_US);
    g_assert_cmpuint(fake->grants, ==, 1);
    submit(fake, "b", 20, SECOND_US);
    g_assert_cmpuint(fake->grants, ==, 4);
    g_assert_cmpuint(sum(fake->started), ==, 28);
    g_assert_cmpuint(fake->started[0], ==, 0); /* local host is last */
    free_fake(fake);
}

static void
test_prompt_spreads(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 11, 8);

    submit(fake, "a", 10, SECOND_US);
    for (uint32_t i = 1; i <= 10; i++)
        g_assert_cmpuint(fake->started[i], ==, 1);
    submit(fake, "b", 78, SECOND_US);
    g_assert_cmpuint(sum(fake->started), ==, 88);
    g_assert_cmpuint(fake->started[0], ==, 8);
    free_fake(fake);
}

/* Every task has a start or a reservation, and there are no more reservations
   than the surplus allows. */
static void
test_reservations_cover(void)
{
    static const uint32_t expected[BW_PLACEMENT_COUNT] = {24, 24, 24,
                                                          48, 24, 24};

    for (uint32_t i = 0; i < BW_PLACEMENT_COUNT; i++) {
        Fake *fake = make_fake(BwPlacement_Table[i], 11, 0);

        submit(fake, "a", 24, SECOND_US);
        g_assert_cmpuint(sum(fake->started), ==, 0);
        g_assert_cmpuint(sum(fake->reserved), ==, expected[i]);
        set_load(fake, 3, 8, 0); /* reports the load that is known */
        g_assert_cmpuint(sum(fake->reserved), ==, expected[i]);
        free_fake(fake);
    }
}

/* Starts earn a budget for surplus reservations; wasted messages spend it. */
static void
test_surplus_has_budget(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 11, 8);
    BwPull pull = {make_job_id("b"), 8};

    submit(fake, "a", 88, SECOND_US);
    submit(fake, "b", 40, SECOND_US);
    g_assert_cmpuint(sum(fake->reserved), ==, 50);
    for (uint32_t i = 1; i < 11; i++)
        BwHome_OnPull(&fake->home, NOW_US, i, &pull);
    g_assert_cmpuint(sum(fake->started), ==, 128);
    g_assert_cmpuint(fake->home.counters.pulls_empty, ==, 5);
    g_assert_cmpuint(fake->home.counters.messages_wasted, >=, 10);
    g_assert_cmpuint(fake->home.counters.messages_wasted, <=, 64);
    free_fake(fake);
}

/* The known length of a queue may be out of date, so no worker gets most of
   the reservations of a job. */
static void
test_reservations_spread(void)
{
    Fake *fake = make_fake(&BwPlacement_Frugal, 11, 0);
    BwQueueCount queued[1] = {{50}};
    BwLoad load = {.service = BwSpan_FromString(SERVICE),
                   .slots = 8,
                   .clock_us = NOW_US,
                   .queued = queued,
                   .queued_count = 1};

    for (uint32_t i = 0; i < 11; i++) {
        if (i != 5)
            BwHome_OnLoad(&fake->home, NOW_US, i, BwSpan_FromString("w"),
                          i == 0, &load);
    }
    submit(fake, "a", 22, SECOND_US);
    g_assert_cmpuint(sum(fake->reserved), ==, 22);
    g_assert_cmpuint(fake->reserved[5], >=, 2);
    g_assert_cmpuint(fake->reserved[5], <=, 5);
    free_fake(fake);
}

/* One long queue must not hold up a job: tasks that still wait after a quarter
   of the job's time are hedged with one more reservation each. */
static void
test_hedges_waiting_tasks(void)
{
    Fake *fake = make_fake(&BwPlacement_Frugal, 4, 0);
    BwPull pull = {make_job_id("a"), 1};

    submit(fake, "a", 6, SECOND_US);
    BwHome_OnPull(&fake->home, NOW_US, 1, &pull);
    BwHome_Tick(&fake->home, NOW_US + 200000);
    g_assert_cmpuint(sum(fake->reserved), ==, 6);
    BwHome_Tick(&fake->home, NOW_US + 300000);
    g_assert_cmpuint(sum(fake->reserved), ==, 11);
    BwHome_Tick(&fake->home, NOW_US + 400000);
    g_assert_cmpuint(sum(fake->reserved), ==, 11);
    free_fake(fake);
}

static void
test_service_policies_differ(void)
{
    Fake *fake = make_fake(&BwPlacement_Frugal, 11, 8);
    BwPolicy policy;

    g_assert_true(BwPolicy_Find(&fake->home.policy, BwSpan_FromString("other"))
                      ->placement == &BwPlacement_Prompt);
    submit(fake, "a", 8, SECOND_US);
    add_policy(&policy, &BwPlacement_Prompt);
    BwHome_SetPolicy(&fake->home, &policy);
    submit(fake, "b", 8, SECOND_US);
    g_assert_cmpuint(fake->grants, ==, 1 + 8);
    free_fake(fake);
}

/* ----------------------------------------------------------- order */

static BwQueueItem
make_item(uint64_t flow, uint32_t priority, uint32_t weight,
          uint64_t expected_us)
{
    BwQueueItem item = {.flow_key = flow,
                        .priority = priority,
                        .weight = weight,
                        .expected_us = expected_us,
                        .since_us = NOW_US};

    return item;
}

/* Hands out `takes` slots and adds to `counts` how many each item got. */
static void
take_slots(BwQueue *queue, uint64_t now_us, uint32_t takes,
           const BwQueueItem *items, uint32_t *counts)
{
    for (uint32_t i = 0; i < takes; i++) {
        BwQueueItem *next = BwQueue_Next(queue, now_us);

        g_assert_true(next == BwQueue_Next(queue, now_us));
        counts[next - items]++;
        BwQueue_Take(queue, next);
    }
}

static void
test_fifo(void)
{
    BwQueueItem items[2] = {make_item(1, 7, 1, 0), make_item(2, 0, 9, 0)};
    uint32_t counts[2] = {0};
    BwQueue queue;

    BwQueue_Init(&queue, &BwOrder_Fifo);
    BwQueue_Add(&queue, &items[0], 5);
    BwQueue_Add(&queue, &items[1], 5);
    take_slots(&queue, NOW_US, 6, items, counts);
    g_assert_cmpuint(counts[0], ==, 5);
    BwQueue_Remove(&queue, &items[1]);
    g_assert_null(BwQueue_Next(&queue, NOW_US));
}

/* Flows share the run time, not the slots: the weights are 16 to 4 and the
   second flow's tasks run 4 times as long, so the slots are shared 16 to 1. */
static void
test_fair_shares(void)
{
    BwQueueItem items[3] = {make_item(1, 2, 16, 100000),
                            make_item(2, 2, 4, 400000),
                            make_item(3, 0, 1, 100000)};
    uint32_t counts[3] = {0};
    BwQueue queue;

    BwQueue_Init(&queue, &BwOrder_Fair);
    for (uint32_t i = 0; i < 3; i++)
        BwQueue_Add(&queue, &items[i], i < 2 ? 2000 : 10);
    take_slots(&queue, NOW_US, 10, items, counts);
    g_assert_cmpuint(counts[2], ==, 10); /* highest priority */
    take_slots(&queue, NOW_US, 1700, items, counts);
    g_assert_cmpfloat((double)counts[0] / (double)counts[1], >, 16 * 0.95);
    g_assert_cmpfloat((double)counts[0] / (double)counts[1], <, 16 * 1.05);
    BwQueue_Remove(&queue, &items[0]); /* the others get its slots */
    g_assert_true(BwQueue_Next(&queue, NOW_US) == &items[1]);
    BwQueue_Remove(&queue, &items[1]);
    g_assert_cmpuint(queue.slots, ==, 0);
}

static void
test_low_priority_ages(void)
{
    BwQueueItem items[2] = {make_item(1, 0, 1, 0), make_item(2, 4, 1, 0)};
    uint32_t counts[2] = {0};
    BwQueue queue;

    BwQueue_Init(&queue, &BwOrder_Fair);
    BwQueue_Add(&queue, &items[0], 2000);
    BwQueue_Add(&queue, &items[1], 2000);
    take_slots(&queue, NOW_US, 500, items, counts);
    g_assert_cmpuint(counts[1], ==, 0);
    take_slots(&queue, NOW_US + 10 * SECOND_US, 1000, items, counts);
    g_assert_cmpuint(counts[1], >, 0);
    g_assert_cmpuint(counts[1], <=, 1000 / 20);
    BwQueue_Remove(&queue, &items[0]);
    BwQueue_Remove(&queue, &items[1]);
}

/* ----------------------------------------------------- reservations */

static void
ignore_start(void *ctx, const BwStart *start)
{
    (void)ctx;
    (void)start;
}

static void
count_decline(void *ctx, uint32_t peer, const BwDecline *decline)
{
    (void)peer;
    *(uint32_t *)ctx += decline->reserved;
}

static void
ignore_pull(void *ctx, uint32_t peer, const BwPull *pull)
{
    (void)ctx;
    (void)peer;
    (void)pull;
}

/* A release names a number of slots.  If it crosses with a grant, it must not
   remove the slots that the declined tasks of the grant keep as reserved. */
static void
test_release_is_a_count(void)
{
    static const BwExecutorPort executor_port = {.start = ignore_start,
                                                 .decline = count_decline,
                                                 .pull = ignore_pull,
                                                 .log_decision =
                                                     ignore_decision};
    BwGrantedTask tasks[3] = {{.index = 0}, {.index = 1}, {.index = 2}};
    BwGrant grant = {.job = make_job_id("a"),
                     .not_after_us = NOW_US,
                     .deadline_us = NOW_US + SECOND_US,
                     .service = BwSpan_FromString(SERVICE),
                     .tasks = tasks,
                     .task_count = 1};
    BwReleasedJob released = {grant.job, 1};
    BwRelease release = {&released, 1};
    BwExecutor executor;
    uint32_t kept = 0;

    BwExecutor_Init(&executor, SECOND_US, &executor_port, &kept);
    BwExecutor_Announce(&executor, grant.service, 1);
    BwExecutor_OnGrant(&executor, NOW_US, 1, &grant);
    grant.task_count = 0;
    grant.reserve = 1;
    BwExecutor_OnGrant(&executor, NOW_US, 1, &grant);
    grant.reserve = 0;
    grant.tasks = tasks + 1;
    grant.task_count = 2;
    BwExecutor_OnGrant(&executor, NOW_US, 1, &grant);
    BwExecutor_OnRelease(&executor, NOW_US, 1, &release);
    g_assert_cmpuint(kept, ==, 2);
    g_assert_cmpuint(executor.queue.slots, ==, kept);
    BwExecutor_Finish(&executor);
}

static void
record_free_slots(void *ctx, uint32_t peer, const BwDone *done)
{
    (void)peer;
    *(uint32_t *)ctx = done->free_slots;
}

/* A slot for which tasks are queued is not reported as free: a home that used
   it would be declined and would lose its position in the queue. */
static void
test_awaited_slot_is_not_free(void)
{
    static const BwExecutorPort executor_port = {.start = ignore_start,
                                                 .done = record_free_slots,
                                                 .pull = ignore_pull,
                                                 .log_decision =
                                                     ignore_decision};
    BwGrantedTask tasks[2] = {{.index = 0}, {.index = 1}};
    BwGrant grant = {.job = make_job_id("a"),
                     .not_after_us = NOW_US,
                     .deadline_us = NOW_US + SECOND_US,
                     .service = BwSpan_FromString(SERVICE),
                     .tasks = tasks,
                     .task_count = 2};
    BwGrant other = {.job = make_job_id("b"),
                     .not_after_us = NOW_US,
                     .deadline_us = NOW_US + SECOND_US,
                     .service = BwSpan_FromString(SERVICE),
                     .reserve = 1};
    BwSpan none = {"", 0};
    BwExecutor executor;
    uint32_t free_slots = 9;

    BwExecutor_Init(&executor, SECOND_US, &executor_port, &free_slots);
    BwExecutor_Announce(&executor, grant.service, 2);
    BwExecutor_OnGrant(&executor, NOW_US, 1, &grant);
    BwExecutor_OnGrant(&executor, NOW_US, 2, &other);
    BwExecutor_TaskEnded(&executor, NOW_US, grant.job, 0, BW_OK, 200, none);
    g_assert_cmpuint(free_slots, ==, 0);
    BwExecutor_TaskEnded(&executor, NOW_US, grant.job, 1, BW_OK, 200, none);
    g_assert_cmpuint(free_slots, ==, 1);
    BwExecutor_Finish(&executor);
}

/* A grant that meets an executor in doubt about its backend server comes back
   as not started, and its reservation is pulled for after the pause. */
static void
test_paused_executor_starts_nothing(void)
{
    static const BwExecutorPort executor_port = {.start = ignore_start,
                                                 .decline = count_decline,
                                                 .pull = ignore_pull,
                                                 .log_decision =
                                                     ignore_decision};
    BwGrantedTask task = {.index = 0};
    BwGrant grant = {.job = make_job_id("a"),
                     .not_after_us = NOW_US,
                     .deadline_us = NOW_US + SECOND_US,
                     .service = BwSpan_FromString(SERVICE),
                     .tasks = &task,
                     .task_count = 1};
    BwExecutor executor;
    uint32_t kept = 0;

    BwExecutor_Init(&executor, SECOND_US, &executor_port, &kept);
    BwExecutor_Announce(&executor, grant.service, 1);
    BwExecutor_Pause(&executor);
    BwExecutor_OnGrant(&executor, NOW_US, 1, &grant);
    BwExecutor_Tick(&executor, NOW_US);
    g_assert_cmpuint(executor.counters.starts, ==, 0);
    g_assert_cmpuint(executor.counters.pulls, ==, 0);
    g_assert_cmpuint(kept, ==, 1);
    BwExecutor_Resume(&executor, NOW_US);
    g_assert_cmpuint(executor.counters.pulls, ==, 1);
    BwExecutor_Finish(&executor);
}

/* ------------------------------------------------------- estimates */

static void
test_estimate(void)
{
    BwEstimate steady = {0};
    BwEstimate scaled = {0};
    BwEstimate accurate = {0};
    BwRandom random;

    BwRandom_Init(&random, 11);
    g_assert_cmpuint(BwEstimate_Expect(&steady, 777), ==, 777);
    for (uint32_t i = 0; i < 500; i++) {
        uint64_t ran_us = 50000 + BwRandom_Below(&random, 1000000);
        uint64_t declared_us = i % 2 ? 10000000 : 10000;

        BwEstimate_Record(&steady, 100000, declared_us);
        BwEstimate_Record(&scaled, ran_us, ran_us * 10);
    }
    /* a declaration far above all earlier ones is used as it stands, and an
       accurate one too */
    g_assert_cmpuint(BwEstimate_Expect(&scaled, 100000000), ==, 100000000);
    BwEstimate_Record(&accurate, 100000, 100000);
    g_assert_cmpuint(BwEstimate_Expect(&accurate, 5000000), ==, 5000000);
    for (uint32_t i = 0; i < 500; i++)
        BwEstimate_Record(&accurate, 50000 + i % 2 * 100000, 100000);
    g_assert_cmpuint(BwEstimate_Expect(&accurate, 5000000), ==, 5000000);
    g_assert_cmpuint(BwEstimate_Expect(&accurate, 100000), <, 150000);
    /* declarations unrelated to the run time are ignored, a constant ratio of
       observed to declared time is learnt */
    g_assert_cmpuint(BwEstimate_Expect(&steady, 10000000), ==, 100000);
    g_assert_cmpuint(BwEstimate_Expect(&scaled, 2000000), >, 150000);
    g_assert_cmpuint(BwEstimate_Expect(&scaled, 2000000), <, 250000);
    g_assert_cmpuint(sizeof(BwEstimate), <=, 192);
}

/* ---------------------------------------------------------- health */

static const BwOutcomes failing = {20, 1000, 0};
static const BwOutcomes healthy = {20, 0, 1000};

static void
test_failing_is_ejected(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 11, 8);
    BwWorkerView *worker = BwWorkers_Find(&fake->home.workers, 3);

    submit(fake, "a", 88, SECOND_US);
    end_task(fake, "a", 3, 0, BW_ERR_TASK_FAILED, failing);
    g_assert_true(worker->health.is_ejected);
    for (uint32_t i = 0; i < 11; i++)
        set_load(fake, i, 8, 8);
    fake->started[3] = 0;
    submit(fake, "b", 80, SECOND_US);
    submit(fake, "c", 80, SECOND_US);
    g_assert_cmpuint(fake->started[3] + fake->reserved[3], ==, 0);
    /* after the backoff, one task at a time */
    BwHome_Tick(&fake->home, NOW_US + 20 * SECOND_US);
    g_assert_true(worker->health.is_probing);
    submit(fake, "d", 80, SECOND_US);
    g_assert_cmpuint(fake->started[3], <=, 1);
    g_assert_cmpuint(fake->home.counters.ejections, ==, 1);
    /* its success ends the probing, a further failure ejects again */
    end_task(fake, "d", 3, 0, BW_OK, (BwOutcomes){21, 750, 0});
    g_assert_false(worker->health.is_probing || worker->health.is_ejected);
    end_task(fake, "d", 3, 0, BW_OK, (BwOutcomes){22, 562, 0});
    g_assert_false(worker->health.is_ejected);
    end_task(fake, "d", 3, 0, BW_OK, (BwOutcomes){23, 671, 0});
    g_assert_true(worker->health.is_ejected);
    free_fake(fake);
}

/* A faulty release of the software fails on every worker: then no worker is
   worse than its peers, and of the first that fail no more than the limit are
   ejected. */
static void
test_ejection_limit(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 11, 8);
    uint32_t ejected = 0;

    submit(fake, "a", 88, SECOND_US);
    for (uint32_t i = 0; i < 11; i++)
        end_task(fake, "a", i, 0, BW_ERR_TASK_FAILED, failing);
    for (uint32_t i = 0; i < 11; i++)
        ejected += BwWorkers_Find(&fake->home.workers, i)->health.is_ejected;
    g_assert_cmpuint(ejected, >, 0);
    g_assert_cmpuint(ejected * 100, <=, 30 * 11);
    free_fake(fake);
}

static void
test_slow_worker_is_last(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 11, 8);
    BwOutcomes slow = {20, 0, 10000};
    BwWorkerView *worker = BwWorkers_Find(&fake->home.workers, 4);

    for (uint32_t i = 0; i < 11; i++)
        BwWorkers_Find(&fake->home.workers, i)->health.outcomes = healthy;
    worker->health.outcomes = slow;
    BwHome_Tick(&fake->home, NOW_US);
    submit(fake, "a", 72, SECOND_US);
    g_assert_cmpuint(fake->started[4], ==, 0);
    submit(fake, "b", 16, SECOND_US);
    g_assert_cmpuint(fake->started[4], ==, 8);
    free_fake(fake);
}

/* --------------------------------------------------------- retries */

static uint32_t
take_only_start(Fake *fake)
{
    for (uint32_t i = 0; i < WORKERS_MAX; i++) {
        if (fake->started[i] > 0) {
            fake->started[i] = 0;
            return i;
        }
    }
    return WORKERS_MAX;
}

static void
test_idempotent_is_retried(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 2, 8);
    BwOutcomes none = {0};
    uint32_t first, second;

    submit_flagged(fake, "a", 1, 10 * SECOND_US, BW_SUBMIT_IDEMPOTENT);
    first = take_only_start(fake);
    end_task(fake, "a", first, 0, BW_ERR_TASK_FAILED, none);
    g_assert_cmpuint(fake->results, ==, 0);
    BwHome_Flush(&fake->home, NOW_US + 1);
    g_assert_cmpuint(sum(fake->started), ==, 0); /* during the backoff */
    BwHome_Flush(&fake->home, NOW_US + SECOND_US);
    second = take_only_start(fake);
    g_assert_cmpuint(second, !=, first);
    end_task(fake, "a", second, 0, BW_OK, none); /* of the first attempt */
    g_assert_cmpuint(fake->results, ==, 0);
    end_task(fake, "a", second, 1, BW_OK, none);
    g_assert_cmpuint(fake->results, ==, 1);
    g_assert_cmpuint(fake->last_error, ==, BW_OK);
    free_fake(fake);
}

/* A request that ends each backend server that gets it was sent to as many as
   the retry budget allowed. */
static void
test_crash_is_retried_once(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 4, 8);
    BwOutcomes none = {0};

    submit_flagged(fake, "a", 1, 10 * SECOND_US, BW_SUBMIT_IDEMPOTENT);
    end_task(fake, "a", take_only_start(fake), 0, BW_ERR_BACKEND_LOST, none);
    g_assert_cmpuint(fake->results, ==, 0);
    BwHome_Flush(&fake->home, NOW_US + SECOND_US);
    end_task(fake, "a", take_only_start(fake), 1, BW_ERR_BACKEND_LOST, none);
    BwHome_Flush(&fake->home, NOW_US + 2 * SECOND_US);
    g_assert_cmpuint(sum(fake->started), ==, 0);
    g_assert_cmpuint(fake->results, ==, 1);
    g_assert_cmpuint(fake->last_error, ==, BW_ERR_BACKEND_LOST);
    free_fake(fake);
}

/* The answer was that of the last attempt, so a caller whose request may have
   run was told only that it failed. */
static void
test_loss_is_kept_over_attempts(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 4, 8);
    BwOutcomes none = {0};

    submit_flagged(fake, "a", 1, 10 * SECOND_US, BW_SUBMIT_IDEMPOTENT);
    end_task(fake, "a", take_only_start(fake), 0, BW_ERR_BACKEND_LOST, none);
    for (uint32_t attempt = 1; fake->results == 0; attempt++) {
        BwHome_Flush(&fake->home, NOW_US + attempt * SECOND_US);
        end_task(fake, "a", take_only_start(fake), attempt, BW_ERR_TASK_FAILED,
                 none);
    }
    g_assert_cmpuint(fake->home.counters.retries, >=, 2);
    g_assert_cmpuint(fake->last_error, ==, BW_ERR_BACKEND_LOST);
    free_fake(fake);
}

static void
test_not_retried(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 2, 8);
    BwOutcomes none = {0};

    submit_flagged(fake, "a", 1, SECOND_US, 0);
    end_task(fake, "a", take_only_start(fake), 0, BW_ERR_TASK_FAILED, none);
    g_assert_cmpuint(fake->last_error, ==, BW_ERR_TASK_FAILED);
    /* the backoff would end after the deadline */
    submit_flagged(fake, "b", 1, 5000, BW_SUBMIT_IDEMPOTENT);
    end_task(fake, "b", take_only_start(fake), 0, BW_ERR_TASK_FAILED, none);
    g_assert_cmpuint(fake->results, ==, 2);
    g_assert_cmpuint(fake->home.counters.retries, ==, 0);
    free_fake(fake);
}

static void
test_retry_budget(void)
{
    BwRetryBudget budget;
    BwRandom random;
    uint32_t retries = 0;

    BwRandom_Init(&random, 3);
    BwRetryBudget_Init(&budget);
    for (uint32_t i = 0; i < 10000; i++) {
        BwRetryBudget_Earn(&budget, 100);
        retries += BwRetryBudget_Spend(&budget, &random, 0, NOW_US, 1000,
                                       NOW_US + SECOND_US) > NOW_US;
    }
    g_assert_cmpuint(retries, >=, 1000);
    g_assert_cmpuint(retries, <=, 1000 + 20);
}

/* ------------------------------------------------------- admission */

typedef struct AdmissionCase {
    BwJobDemand demand;
    uint64_t waiting; /* tasks of priority 2 */
    uint64_t team_tasks;
    BwErrorKind expected;
} AdmissionCase;

/* The service has 80 slots, and a task takes 100 ms. */
static void
test_admission(void)
{
    static const AdmissionCase cases[] = {
        {{.tasks = 8, .longest_us = 100000, .time_left_us = 200000},
         0,
         0,
         BW_OK},
        {{.tasks = 1001, .time_left_us = SECOND_US}, 0, 0, BW_ERR_TOO_LARGE},
        {{.tasks = 1, .largest_bytes = 4097, .time_left_us = SECOND_US},
         0,
         0,
         BW_ERR_CANNOT_RUN},
        {{.tasks = 1, .longest_us = 300000, .time_left_us = 200000},
         0,
         0,
         BW_ERR_CANNOT_RUN},
        {{.tasks = 1000, .total_us = 100000000, .time_left_us = SECOND_US},
         0,
         0,
         BW_ERR_CANNOT_RUN},
        /* a backlog of 8 s is no obstacle at a lower priority, and is one at
           the same priority */
        {{.tasks = 1, .priority = 1, .time_left_us = SECOND_US},
         6400,
         0,
         BW_OK},
        {{.tasks = 1, .priority = 2, .time_left_us = SECOND_US},
         6400,
         0,
         BW_ERR_OVERLOADED},
        {{.tasks = 1, .priority = 2, .time_left_us = 60 * SECOND_US},
         6400,
         0,
         BW_OK},
        /* the backlog limit of 16 s falls to 2 s for the lowest priority */
        {{.tasks = 1, .priority = 7, .time_left_us = 60 * SECOND_US},
         6400,
         0,
         BW_ERR_OVERLOADED},
        {{.tasks = 8, .team_tasks_max = 20, .time_left_us = SECOND_US},
         0,
         13,
         BW_ERR_OVERLOADED},
        {{.tasks = 8, .team_tasks_max = 20, .time_left_us = SECOND_US},
         0,
         12,
         BW_OK},
        {{.tasks = 1000, .time_left_us = 60 * SECOND_US},
         9500,
         0,
         BW_ERR_OVERLOADED},
    };
    static const BwServicePolicy policy = {.tasks_max = 1000,
                                           .task_bytes_max = 4096,
                                           .queued_tasks_max = 10000,
                                           .backlog_us_max = 16000000};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        BwServiceLoad load = {.slots = 80, .mean_us = 100000};
        BwAdmission admission;

        load.waiting[2] = cases[i].waiting;
        load.kept = cases[i].waiting;
        load.team_tasks = cases[i].team_tasks;
        admission = BwAdmission_Decide(&policy, &load, &cases[i].demand);
        g_test_message("case %zu", i);
        g_assert_cmpuint(admission.error, ==, cases[i].expected);
        g_assert_true((admission.retry_after_ms > 0) ==
                      (cases[i].expected == BW_ERR_OVERLOADED));
    }
}

/* At twice the load that the slots can take, no more jobs are admitted than
   can end by their deadlines, and enough to keep the slots busy. */
static void
test_refuses_late_jobs(void)
{
    Fake *fake = make_fake(&BwPlacement_Frugal, 2, 0);
    BwDoneTask task = {.ran_us = 100000};
    BwDone done = {
        .job = make_job_id("first"), .tasks = &task, .task_count = 1};
    BwPull pull = {make_job_id("first"), 1};
    char key[16];

    submit(fake, "first", 1, SECOND_US);
    BwHome_OnPull(&fake->home, NOW_US, 1, &pull);
    BwHome_OnDone(&fake->home, NOW_US, 1, &done);
    g_assert_cmpuint(fake->last_error, ==, BW_OK);
    for (uint32_t i = 0; i < 200; i++) {
        snprintf(key, sizeof(key), "k%u", i);
        submit(fake, key, 2, SECOND_US);
    }
    /* 16 slots do 160 such tasks a second */
    g_assert_cmpuint(fake->home.counters.jobs_submitted * 2, <=, 160);
    g_assert_cmpuint(fake->home.counters.jobs_submitted * 2, >=, 100);
    g_assert_cmpuint(fake->last_error, ==, BW_ERR_OVERLOADED);
    free_fake(fake);
}

/* A job that can no longer end in time is given up at once: none of its tasks
   start, or no more of them. */
static void
test_gives_up_late_jobs(void)
{
    Fake *fake = make_fake(&BwPlacement_Frugal, 2, 0);
    BwDoneTask task = {.ran_us = 100000};
    BwDone done = {
        .job = make_job_id("first"), .tasks = &task, .task_count = 1};
    BwPull pull = {make_job_id("first"), 1};

    submit(fake, "first", 1, SECOND_US);
    BwHome_OnPull(&fake->home, NOW_US, 1, &pull);
    BwHome_OnDone(&fake->home, NOW_US, 1, &done);
    submit(fake, "unstarted", 2, SECOND_US);
    submit(fake, "begun", 2, SECOND_US);
    pull.job = make_job_id("begun");
    BwHome_OnPull(&fake->home, NOW_US + 800000, 1, &pull);
    g_assert_cmpuint(fake->started[1], ==, 2);
    pull.job = make_job_id("unstarted");
    BwHome_OnPull(&fake->home, NOW_US + 890000, 1, &pull);
    g_assert_cmpuint(fake->started[1], ==, 2);
    BwHome_Tick(&fake->home, NOW_US + 890000);
    g_assert_cmpuint(fake->results, ==, 2);
    g_assert_cmpuint(fake->last_error, ==, BW_ERR_TIMED_OUT);
    pull.job = make_job_id("begun");
    BwHome_OnPull(&fake->home, NOW_US + 910000, 1, &pull);
    g_assert_cmpuint(fake->started[1], ==, 2);
    BwHome_Tick(&fake->home, NOW_US + 910000);
    g_assert_cmpuint(fake->results, ==, 3);
    g_assert_cmpuint(fake->last_error, ==, BW_ERR_TIMED_OUT_RUNNING);
    free_fake(fake);
}

/* ------------------------------------------ operators' configuration */

static void
test_config_selects_policy(void)
{
    static const char text[] =
        "members:\n"
        "  - name: m\n"
        "    teams: [{name: t, quota_slots: 12, tasks_max: 40}]\n"
        "services:\n"
        "  - {name: a, member: m, tasks_max: 9, policy: {placement: frugal,\n"
        "     order: fifo, backlog_ms_max: 5000, retry_percent: 20}}\n"
        "  - {name: b, member: m, classes: [{name: c, priority: 6}],\n"
        "     policy: {surplus_percent: 10}}\n";
    BwYamlFaults faults = {0};
    BwConfig config;
    BwPolicy policy;
    const BwServicePolicy *a, *b;

    g_assert_true(
        BwConfig_Read(&config, "text", BwSpan_FromString(text), &faults));
    g_assert_true(BwConfigPolicy_Build(&config, &policy));
    a = BwPolicy_Find(&policy, BwSpan_FromString("a"));
    b = BwPolicy_Find(&policy, BwSpan_FromString("b"));
    g_assert_true(a->placement == &BwPlacement_Frugal);
    g_assert_true(a->order == &BwOrder_Fifo);
    g_assert_cmpuint(a->surplus_percent, ==, 0);
    g_assert_cmpuint(a->tasks_max, ==, 9);
    g_assert_cmpuint(a->backlog_us_max, ==, 5000000);
    g_assert_cmpuint(a->retry_permille, ==, 200);
    g_assert_true(b->placement == &BwPlacement_Prompt);
    g_assert_cmpuint(b->surplus_percent, ==, 10);
    g_assert_cmpuint(BwServicePolicy_Priority(b, BwSpan_FromString("c")), ==,
                     6);
    g_assert_cmpuint(
        BwPolicy_Team(&policy, BwSpan_FromString("m"), BwSpan_FromString("t"))
            ->tasks_max,
        ==, 40);
    BwPolicy_Finish(&policy);
    BwConfig_Finish(&config);
    g_assert_false(BwConfig_Read(
        &config, "text",
        BwSpan_FromString("services: [{name: a, member: m, policy: "
                          "{placement: best}}]\n"),
        &faults));
    BwConfig_Finish(&config);
}

/* While custody blocks the workers, a job waits and is not refused. */
static void
test_blocked_workers_count(void)
{
    Fake *fake = make_fake(&BwPlacement_Prompt, 11, 8);

    submit(fake, "a", 1, SECOND_US);
    for (uint32_t i = 0; i < 11; i++) {
        BwWorkerView *worker = BwWorkers_Find(&fake->home.workers, i);

        worker->is_blocked = true;
        BwWorkers_Refresh(&fake->home.workers, worker);
    }
    submit(fake, "b", 80, SECOND_US);
    g_assert_cmpuint(fake->results, ==, 0);
    g_assert_cmpuint(sum(fake->started), ==, 1);
    for (uint32_t i = 0; i < 11; i++)
        set_load(fake, i, 8, 8);
    /* wherever the first task was placed, the other workers do not idle */
    for (uint32_t i = 1; i < 11; i++)
        g_assert_cmpuint(fake->started[i] + fake->reserved[i], >=, 7);
    free_fake(fake);
}

/* ----------------------------------------------------- cancellation */

/* Cancelling 100 jobs of 100 tasks sends each worker at most one release. */
static void
test_cancel_burst(void)
{
    Fake *fake = make_fake(&BwPlacement_Frugal, 11, 0);
    BwWaiter waiter = {1, 2};
    char key[16];

    for (uint32_t i = 0; i < 100; i++) {
        snprintf(key, sizeof(key), "k%u", i);
        submit(fake, key, 100, SECOND_US);
    }
    for (uint32_t i = 0; i < 100; i++) {
        BwCancel cancel = {.member = BwSpan_FromString("lonestar-fareworks")};

        snprintf(key, sizeof(key), "k%u", i);
        cancel.key = BwSpan_FromString(key);
        BwHome_Cancel(&fake->home, NOW_US, waiter, &cancel);
    }
    g_assert_cmpuint(fake->last_error, ==, BW_ERR_CANCELLED);
    BwHome_Flush(&fake->home, NOW_US);
    g_assert_cmpuint(fake->releases, >, 0);
    g_assert_cmpuint(fake->releases + 2 * 100, <, 10000 / 10);
    g_assert_cmpuint(fake->releases, <=, 11);
    BwHome_Flush(&fake->home, NOW_US);
    g_assert_cmpuint(fake->releases, <=, 11);
    free_fake(fake);
}

/* Work that is admitted steadily at higher priorities is forecast to go on,
   and the forecast decays when it ends. */
static void
test_admitted_work_forecast(void)
{
    BwAdmittedWork admitted = {0};
    uint64_t now_us = 10000000;
    static const BwServicePolicy policy = {.tasks_max = 1000,
                                           .queued_tasks_max = 10000,
                                           .backlog_us_max = 60000000};
    BwServiceLoad load = {.slots = 80, .mean_us = 100000};
    BwJobDemand demand = {.tasks = 10,
                          .priority = 4,
                          .longest_us = 100000,
                          .total_us = 1000000,
                          .time_left_us = 500000};

    for (uint32_t i = 0; i < 100; i++) {
        BwAdmittedWork_Add(&admitted, now_us, 0, 500000);
        now_us += 100000;
        if (i >= 10) {
            uint64_t slots =
                BwAdmittedWork_HigherPrioritySlots(&admitted, now_us, 4, 12);

            g_assert_cmpuint(slots, >=, 54);
            g_assert_cmpuint(slots, <=, 66);
        }
    }
    g_assert_cmpuint(
        BwAdmittedWork_HigherPrioritySlots(&admitted, now_us, 0, 12), ==, 0);
    load.waiting[4] = 200;
    g_assert_cmpuint(BwAdmission_Decide(&policy, &load, &demand).error, ==,
                     BW_OK);
    load.higher_priority_slots =
        BwAdmittedWork_HigherPrioritySlots(&admitted, now_us, 4, 12);
    g_assert_cmpuint(BwAdmission_Decide(&policy, &load, &demand).error, ==,
                     BW_ERR_OVERLOADED);
    /* a forecast is uncertain: a job with little time is refused although
       nothing waits */
    load.waiting[4] = 0;
    g_assert_cmpuint(BwAdmission_Decide(&policy, &load, &demand).error, ==,
                     BW_OK);
    demand.time_left_us = 250000;
    g_assert_cmpuint(BwAdmission_Decide(&policy, &load, &demand).error, ==,
                     BW_ERR_OVERLOADED);
    now_us += 60000000;
    g_assert_cmpuint(
        BwAdmittedWork_HigherPrioritySlots(&admitted, now_us, 4, 12), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/foreseen", test_admitted_work_forecast);
    g_test_add_func("/placement/frugal", test_frugal_takes_one_message);
    g_test_add_func("/placement/prompt", test_prompt_spreads);
    g_test_add_func("/placement/cover", test_reservations_cover);
    g_test_add_func("/placement/budget", test_surplus_has_budget);
    g_test_add_func("/placement/spread", test_reservations_spread);
    g_test_add_func("/placement/hedge", test_hedges_waiting_tasks);
    g_test_add_func("/placement/services", test_service_policies_differ);
    g_test_add_func("/order/fifo", test_fifo);
    g_test_add_func("/order/shares", test_fair_shares);
    g_test_add_func("/order/ageing", test_low_priority_ages);
    g_test_add_func("/reservation/release", test_release_is_a_count);
    g_test_add_func("/reservation/awaited", test_awaited_slot_is_not_free);
    g_test_add_func("/executor/paused", test_paused_executor_starts_nothing);
    g_test_add_func("/estimate", test_estimate);
    g_test_add_func("/health/ejected", test_failing_is_ejected);
    g_test_add_func("/health/ceiling", test_ejection_limit);
    g_test_add_func("/health/slow", test_slow_worker_is_last);
    g_test_add_func("/retry/idempotent", test_idempotent_is_retried);
    g_test_add_func("/retry/crash", test_crash_is_retried_once);
    g_test_add_func("/retry/loss-kept", test_loss_is_kept_over_attempts);
    g_test_add_func("/retry/others", test_not_retried);
    g_test_add_func("/retry/budget", test_retry_budget);
    g_test_add_func("/admission/cases", test_admission);
    g_test_add_func("/admission/late", test_refuses_late_jobs);
    g_test_add_func("/admission/given-up", test_gives_up_late_jobs);
    g_test_add_func("/admission/barred", test_blocked_workers_count);
    g_test_add_func("/text", test_config_selects_policy);
    g_test_add_func("/cancel/wave", test_cancel_burst);
    return g_test_run();
}
