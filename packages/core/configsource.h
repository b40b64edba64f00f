/* configsource.h -- whom to ask for a configuration that others announced

   Dispatchers read the configuration from the store, and announce to each
   other which revision they have.  One that lacks an announced revision asks
   for its text, so that a store which does not answer it, or a lost poll, does
   not keep it behind.  The text may be large and links thin: each copy that is
   not needed delays the one that is, and the tasks' messages.  So nobody is
   asked while the store's answer arrives, for most of the bound at most, and
   then one announcer at a time, in the order of their announcements.  The
   trade-off is that an announcer that has just been lost costs one timeout.

   Delay and timeout are shares of the time in which a configuration has to be
   in force everywhere.  Times are microseconds of the monotonic clock of the
   caller; routeconfig.c sends the requests.
*/

#ifndef BW_CONFIGSOURCE_H
#define BW_CONFIGSOURCE_H

#include <stdbool.h>
#include <stdint.h>

/* Announcers that are remembered; with each a request may be lost. */
#define BW_CONFIG_SOURCES_MAX 4

typedef struct BwConfigSource {
    uint64_t delay_us;     /* left to the store after an announcement */
    uint64_t arrival_us;   /* the same while its answer arrives */
    uint64_t timeout_us;   /* left to an announcer that was asked */
    uint64_t revision;     /* newest that was announced; 0: none is lacking */
    uint64_t announced_us; /* the first announcement of that revision */
    uint64_t ask_us;       /* the next request is due */
    uint32_t links[BW_CONFIG_SOURCES_MAX]; /* of its announcers */
    uint32_t link_count;
    uint32_t asked_count; /* of the first links */
} BwConfigSource;

/* `in_force_us` is the time in which a configuration has to be in force. */
void
BwConfigSource_Init(BwConfigSource *source, uint64_t in_force_us);

/* Records that the dispatcher at `link` has a revision, while `own` is in
   force here. */
void
BwConfigSource_OnAnnounced(BwConfigSource *source, uint64_t now_us,
                           uint32_t link, uint64_t revision, uint64_t own);

/* Returns the link to ask now, or 0.  `is_arriving`: an answer of the store is
   arriving.  The revision is forgotten once all announcers were asked in vain;
   a later announcement of it counts again. */
uint32_t
BwConfigSource_Next(BwConfigSource *source, uint64_t now_us, uint64_t own,
                    bool is_arriving);

#endif
