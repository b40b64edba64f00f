/* losses.h -- when and why bound jobs were served badly, from log lines

   Jobs are counted by the window in which they arrived and by route: answered
   in time, answered late, refused, failed, timed out or withdrawn.  Each loss
   is also counted by its reason, with how much of the service's capacity was
   free and how old the load reports were when it was decided.  Events that
   explain a bad window, such as starts of processes, are listed with it.

   losses.c reads the lines; the command `brasswing losses` prints them.
*/

#ifndef BW_LOSSES_H
#define BW_LOSSES_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct BwLosses {
    uint64_t window_us;
    json_t *windows; /* object: start of the window to its object */
} BwLosses;

void
BwLosses_Init(BwLosses *losses, uint64_t window_us);

void
BwLosses_Finish(BwLosses *losses);

/* Counts one log line; lines of other events are ignored. */
void
BwLosses_AddLine(BwLosses *losses, const char *line);

/* Counts the lines of a file.  Returns false with errno set when it cannot be
   opened. */
bool
BwLosses_AddFile(BwLosses *losses, const char *path);

/* Returns the windows sorted by time, as an array; json_decref it.  A window
   has "from", "routes" (counts of each route), "reasons" and "events". */
json_t *
BwLosses_Windows(const BwLosses *losses);

#endif
