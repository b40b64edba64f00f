/* case.c -- workers crash and start again at once under the id that they had

   Clients hand in small jobs all the time.  Every 4.5 s the process of one
   worker is killed and started again at once.  The new process has the id of
   the old one, another start time, and knows nothing of before.  Without the
   disruption no worker is killed.
*/

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "reviewcase.h"
#include "wording.h"

#define WORKERS 8
#define CPU 64000
#define TASK_CPU 1000
#define MEM 131072
#define ROUNDS 12
#define ROUND_MS 4500
#define JOBS_PER_ROUND 450
#define RUNS_MAX 200000
#define LIVES_MAX 1024

typedef struct Life {
    int pid;
    uint64_t killed_us; /* 0: it was not */
} Life;

static Life lives[LIVES_MAX];
static uint32_t life_count;

/* Starts the process of a worker again, with the operands of the first. */
static bool
start_again(ReviewCase *review, uint32_t i)
{
    BwFleet *fleet = &review->fleet;
    char name[16], port[16], control[16], cpu[16], mem[16], seed[16];
    char *argv[] = {(char *)fleet->plan.lab,
                    "lab",
                    "worker",
                    port,
                    control,
                    name,
                    REVIEW_SERVICE,
                    cpu,
                    mem,
                    "r1-0",
                    "1000",
                    seed,
                    "charguia-a",
                    NULL};

    snprintf(name, sizeof(name), "worker-%u", i);
    snprintf(port, sizeof(port), "%u", fleet->worker_ports[i]);
    snprintf(control, sizeof(control), "%u", fleet->supervisor_ports[i]);
    snprintf(cpu, sizeof(cpu), "%d", CPU);
    snprintf(mem, sizeof(mem), "%d", MEM);
    snprintf(seed, sizeof(seed), "%u", i + 1);
    return BwProcess_Start(&fleet->workers[i], fleet->dir, name, argv);
}

static bool
crash(ReviewCase *review, uint32_t i)
{
    Life *life = &lives[life_count++];

    life->pid = review->fleet.workers[i].pid;
    life->killed_us = BwClock_Now();
    BwProcess_Signal(&review->fleet.workers[i], SIGKILL);
    ReviewCase_Note(review, "worker-%u killed (process %d) and started again",
                    i, life->pid);
    return start_again(review, i);
}

static uint64_t
killed_us(int pid)
{
    for (uint32_t i = 0; i < life_count; i++) {
        if (lives[i].pid == pid)
            return lives[i].killed_us;
    }
    return 0;
}

/* Reads the file in which the workers note their runs.  A run that has no end
   there ended when its process was killed. */
static bool
read_runs(ReviewCase *review, const char *path)
{
    FILE *file = fopen(path, "r");
    char line[256], worker[32], event[32], task[128], how[24];
    unsigned long long at_us;
    unsigned number;
    int pid;

    if (file == NULL)
        return false;
    review->runs = calloc(RUNS_MAX, sizeof(*review->runs));
    while (fgets(line, sizeof(line), file) != NULL) {
        ReviewRun *run;

        if (sscanf(line, "%llu %31s %d %31s %127s %u %23s", &at_us, worker,
                   &pid, event, task, &number, how) != 7)
            continue;
        if (strcmp(event, "running") == 0 && review->run_count < RUNS_MAX) {
            run = &review->runs[review->run_count++];
            snprintf(run->task, sizeof(run->task), "%s", task);
            run->worker = (uint32_t)strtoul(worker + 7, NULL, 10);
            run->process = pid;
            run->run = number;
            run->started_us = at_us;
            run->ended_us = killed_us(pid);
            snprintf(run->how, sizeof(run->how), "killed");
            continue;
        }
        for (uint32_t i = review->run_count; i-- > 0;) {
            run = &review->runs[i];
            if (run->process != pid || run->run != number ||
                strcmp(run->task, task) != 0)
                continue;
            run->ended_us = at_us;
            snprintf(run->how, sizeof(run->how), "%s", how);
            break;
        }
    }
    fclose(file);
    return review->run_count > 0;
}

static void
note_run(ReviewCase *review, const ReviewRun *run)
{
    ReviewCase_Note(review, "  worker-%u process %d run %u: %ld to %ld ms, %s",
                    run->worker, run->process, run->run,
                    ReviewCase_Ms(review, run->started_us),
                    ReviewCase_Ms(review, run->ended_us), run->how);
}

/* Counts pairs of runs of one task that overlap.  Runs are in the order of
   their starts. */
static uint32_t
count_overlaps(ReviewCase *review)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < review->run_count; i++) {
        const ReviewRun *a = &review->runs[i];

        for (uint32_t j = i + 1; j < review->run_count; j++) {
            const ReviewRun *b = &review->runs[j];

            if (b->started_us >= a->ended_us)
                break;
            if (strcmp(a->task, b->task) != 0)
                continue;
            count++;
            ReviewCase_Note(review,
                            "%s has two runs at the same time:", a->task);
            note_run(review, a);
            note_run(review, b);
        }
    }
    return count;
}

static int
run_case(ReviewCase *review, const char *path)
{
    uint32_t overlaps;
    uint64_t seed = 1;
    char *text = BwWording_JobText(6, 250, TASK_CPU, 64, 0, false);

    if (!ReviewCase_Configure(review, REVIEW_SERVICE))
        return REVIEW_NOT_RUN;
    for (uint32_t round = 0; round < ROUNDS; round++) {
        for (uint32_t i = 0; i < JOBS_PER_ROUND; i++) {
            char name[40];

            seed = seed * 6364136223846793005u + 1442695040888963407u;
            snprintf(name, sizeof(name), "%016llx", (unsigned long long)seed);
            if (ReviewCase_Post(review, i % 2, name, text, 3000) == NULL)
                return REVIEW_NOT_RUN;
            if (review->has_trouble && i == JOBS_PER_ROUND / 2 &&
                !crash(review, round % WORKERS))
                return REVIEW_NOT_RUN;
            ReviewCase_Wait(review, ROUND_MS / JOBS_PER_ROUND);
        }
    }
    free(text);
    ReviewCase_Wait(review, 2500);
    if (!read_runs(review, path))
        return REVIEW_NOT_RUN;
    overlaps = count_overlaps(review);
    ReviewCase_Note(review, "%u jobs, %u runs, %u pairs of runs overlap",
                    review->job_count, review->run_count, overlaps);
    return overlaps > 0 ? REVIEW_BROKEN : REVIEW_HELD;
}

int
main(int argc, char **argv)
{
    static ReviewCase review;
    int code = REVIEW_NOT_RUN;
    char path[] = "/tmp/brasswing-runs-XXXXXX";
    int fd = mkstemp(path);

    if (fd < 0)
        return REVIEW_NOT_RUN;
    close(fd);
    setenv("RUNS_FILE", path, 1);
    if (ReviewCase_Init(&review, argc, argv, 2, WORKERS, CPU, MEM))
        code = run_case(&review, path);
    unlink(path);
    return ReviewCase_Finish(&review, code);
}
