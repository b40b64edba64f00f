/* jobmemory.c -- jobs that have ended, by queue and name

   Method and callers are described in jobmemory.h.
*/

#include <stdlib.h>

#include <xxhash.h>

#include "jobmemory.h"

static uint64_t
make_key(BwSpan queue, BwSpan name)
{
    return XXH64(name.base, name.size_bytes,
                 XXH64(queue.base, queue.size_bytes, queue.size_bytes));
}

static BwEndedJob *
find(const BwJobMemory *memory, uint64_t key)
{
    BwEndedJob *job;

    HASH_FIND(hh, memory->by_key, &key, sizeof(key), job);
    return job;
}

void
BwJobMemory_Add(BwJobMemory *memory, uint64_t now_us, BwSpan queue,
                BwSpan name, BwBoundState state)
{
    uint64_t key = make_key(queue, name);
    BwEndedJob *job = find(memory, key);

    if (memory->ring == NULL)
        memory->ring = calloc(BW_JOB_MEMORY_MAX, sizeof(*memory->ring));
    if (memory->ring == NULL)
        return;
    if (job == NULL) {
        job = &memory->ring[memory->next++ % BW_JOB_MEMORY_MAX];
        if (job->until_us != 0) {
            memory->forgotten += now_us < job->until_us;
            HASH_DELETE(hh, memory->by_key, job);
        }
        job->key = key;
        HASH_ADD(hh, memory->by_key, key, sizeof(job->key), job);
    }
    job->until_us = now_us + BW_JOB_MEMORY_US;
    job->state = state;
}

const BwEndedJob *
BwJobMemory_Find(const BwJobMemory *memory, uint64_t now_us, BwSpan queue,
                 BwSpan name)
{
    const BwEndedJob *job =
        memory->by_key != NULL ? find(memory, make_key(queue, name)) : NULL;

    return job != NULL && now_us < job->until_us ? job : NULL;
}

void
BwJobMemory_Finish(BwJobMemory *memory)
{
    HASH_CLEAR(hh, memory->by_key);
    free(memory->ring);
    memory->ring = NULL;
}
