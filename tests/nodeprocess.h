/* nodeprocess.h -- dispatchers and supervisors as real processes, one at a
 * time */

#ifndef BW_NODE_PROCESS_H
#define BW_NODE_PROCESS_H

#include <gio/gio.h>
#include <stdint.h>

typedef struct Node {
    GSubprocess *process;
    char *settings_path; /* of the settings */
    uint32_t http_port;
    uint32_t ready_port;
    uint32_t peer_port;
} Node;

/* Starts brasswingd with the settings `text`, kept in `dir`, and reads its
   ports from the line that tells of them.  Aborts the test on failure. */
void
Node_Start(Node *node, const char *dir, const char *name,
           const char *settings);

/* Kills the process and removes its settings. */
void
Node_Finish(Node *node);

#endif
