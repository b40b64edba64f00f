/* resources.c -- resources and labels, see resources.h */

#include "resources.h"
#include "brasswing.h"

static uint64_t
saturating_sub(uint64_t from, uint64_t amount)
{
    return from > amount ? from - amount : 0;
}

void
BwResources_Add(BwResources *sum, const BwResources *part)
{
    sum->cpu_milli += part->cpu_milli;
    sum->mem_mb += part->mem_mb;
    sum->gpu += part->gpu;
}

void
BwResources_Subtract(BwResources *sum, const BwResources *part)
{
    sum->cpu_milli = saturating_sub(sum->cpu_milli, part->cpu_milli);
    sum->mem_mb = saturating_sub(sum->mem_mb, part->mem_mb);
    sum->gpu = saturating_sub(sum->gpu, part->gpu);
}

bool
BwResources_Fits(const BwResources *need, const BwResources *free)
{
    return need->cpu_milli <= free->cpu_milli &&
           need->mem_mb <= free->mem_mb && need->gpu <= free->gpu;
}

bool
BwLabel_IsMet(BwSpan label, const char (*labels)[BW_NAME_BYTES_MAX],
              uint32_t label_count)
{
    if (label.size_bytes == 0)
        return true;
    for (uint32_t i = 0; i < label_count; i++) {
        if (BwSpan_Equal(label, BwSpan_FromString(labels[i])))
            return true;
    }
    return false;
}
