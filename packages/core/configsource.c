/* configsource.c -- whom to ask for a configuration, see configsource.h */

#include <string.h>

#include "configsource.h"

/* Shares of the time in which a configuration has to be in force.  The store
   usually delivers within the delay.  While its answer arrives it has most of
   the time, so that two announcers can still be asked one after the other. */
#define DELAY_PERMILLE 25
#define ARRIVAL_PERMILLE 600
#define TIMEOUT_PERMILLE 150

void
BwConfigSource_Init(BwConfigSource *source, uint64_t in_force_us)
{
    memset(source, 0, sizeof(*source));
    source->delay_us = in_force_us * DELAY_PERMILLE / 1000;
    source->arrival_us = in_force_us * ARRIVAL_PERMILLE / 1000;
    source->timeout_us = in_force_us * TIMEOUT_PERMILLE / 1000;
}

void
BwConfigSource_OnAnnounced(BwConfigSource *source, uint64_t now_us,
                           uint32_t link, uint64_t revision, uint64_t own)
{
    if (revision <= own || revision < source->revision)
        return;
    if (revision > source->revision) {
        source->revision = revision;
        source->announced_us = now_us;
        source->ask_us = now_us + source->delay_us;
        source->link_count = 0;
        source->asked_count = 0;
    }
    if (source->link_count < BW_CONFIG_SOURCES_MAX)
        source->links[source->link_count++] = link;
}

uint32_t
BwConfigSource_Next(BwConfigSource *source, uint64_t now_us, uint64_t own,
                    bool is_arriving)
{
    if (source->revision <= own)
        source->revision = 0;
    if (source->revision == 0 || now_us < source->ask_us)
        return 0;
    if (is_arriving && now_us < source->announced_us + source->arrival_us)
        return 0;
    if (source->asked_count == source->link_count) {
        source->revision = 0;
        return 0;
    }
    source->ask_us = now_us + source->timeout_us;
    return source->links[source->asked_count++];
}
