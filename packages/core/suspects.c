/* suspects.c -- tasks on whose worker they ran when it crashed, see
   suspects.h

   The table is in the order of the last crashes, so the oldest records are
   found at its head.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"
#include "suspects.h"

static void
remove_job(BwSuspectJob **table, BwSuspectJob *job)
{
    HASH_DEL(*table, job);
    free(job->tasks);
    free(job);
}

static BwSuspectJob *
find_job(BwSuspectJob *table, const char *name)
{
    BwSuspectJob *job;

    HASH_FIND_STR(table, name, job);
    return job;
}

static BwSuspectTask *
find_task(BwSuspectJob *job, uint32_t step, uint32_t index)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].step == step && job->tasks[i].index == index)
            return &job->tasks[i];
    }
    return NULL;
}

static BwSuspectTask *
add_task(BwSuspectJob *job, uint32_t step, uint32_t index)
{
    BwSuspectTask *tasks =
        realloc(job->tasks, (job->task_count + 1) * sizeof(*tasks));

    if (tasks == NULL)
        return NULL;
    job->tasks = tasks;
    tasks[job->task_count] = (BwSuspectTask){step, index, 0, false};
    return &tasks[job->task_count++];
}

/* Returns the job's record, moved to the end of the table, or a new one. */
static BwSuspectJob *
touch_job(BwSuspectJob **table, BwSpan name)
{
    char text[BW_NAME_BYTES_MAX];
    BwSuspectJob *job;

    BwSpan_ToString(name, text, sizeof(text));
    job = find_job(*table, text);
    if (job != NULL) {
        HASH_DEL(*table, job);
    }
    else {
        job = calloc(1, sizeof(*job));
        if (job == NULL)
            return NULL;
        strcpy(job->job, text);
        if (HASH_COUNT(*table) >= BW_SUSPECT_JOBS_MAX)
            remove_job(table, *table);
    }
    HASH_ADD_STR(*table, job, job);
    return job;
}

const BwSuspectTask *
BwSuspects_Record(BwSuspectJob **table, uint64_t now_us, BwSpan name,
                  uint32_t step, uint32_t index, bool is_conclusive)
{
    BwSuspectJob *job = touch_job(table, name);
    BwSuspectTask *task;

    if (job == NULL)
        return NULL;
    job->last_us = now_us;
    task = find_task(job, step, index);
    if (task == NULL)
        task = add_task(job, step, index);
    if (task == NULL)
        return NULL;
    task->crashes++;
    task->is_proven = is_conclusive && task->crashes >= BW_CRASHES_MAX;
    return task;
}

/* Removes the task's record, and that of a job without further tasks. */
static void
remove_task(BwSuspectJob **table, BwSuspectJob *job, BwSuspectTask *task)
{
    *task = job->tasks[--job->task_count];
    if (job->task_count == 0)
        remove_job(table, job);
}

void
BwSuspects_Withdraw(BwSuspectJob **table, BwSpan name, uint32_t step,
                    uint32_t index)
{
    char text[BW_NAME_BYTES_MAX];
    BwSuspectJob *job;
    BwSuspectTask *task;

    BwSpan_ToString(name, text, sizeof(text));
    job = find_job(*table, text);
    task = job != NULL ? find_task(job, step, index) : NULL;
    if (task == NULL)
        return;
    task->crashes--;
    task->is_proven = false;
    if (task->crashes == 0)
        remove_task(table, job, task);
}

void
BwSuspects_Clear(BwSuspectJob **table, const char *name, uint32_t step,
                 uint32_t index)
{
    BwSuspectJob *job = find_job(*table, name);
    BwSuspectTask *task = job != NULL ? find_task(job, step, index) : NULL;

    if (task != NULL)
        remove_task(table, job, task);
}

const BwSuspectTask *
BwSuspects_FindTask(BwSuspectJob *table, BwSpan name, uint32_t step,
                    uint32_t index)
{
    char text[BW_NAME_BYTES_MAX];
    BwSuspectJob *job;

    BwSpan_ToString(name, text, sizeof(text));
    job = find_job(table, text);
    return job != NULL ? find_task(job, step, index) : NULL;
}

const BwSuspectJob *
BwSuspects_Find(BwSuspectJob *table, const char *name)
{
    return find_job(table, name);
}

void
BwSuspects_Evict(BwSuspectJob **table, uint64_t now_us)
{
    while (*table != NULL && now_us - (*table)->last_us > BW_SUSPECT_US)
        remove_job(table, *table);
}

void
BwSuspects_Finish(BwSuspectJob **table)
{
    while (*table != NULL)
        remove_job(table, *table);
}
