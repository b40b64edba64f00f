/* nodeprocess.h -- starts and ends dispatchers and supervisors as real
   processes */

#ifndef BW_NODE_PROCESS_H
#define BW_NODE_PROCESS_H

#include <gio/gio.h>
#include <stdint.h>

typedef struct Node {
    GSubprocess *process;
    char *settings_path;
    uint32_t http_port;
    uint32_t ready_port;
    uint32_t peer_port;
    uint32_t metrics_port;
} Node;

/* Starts brasswingd with `settings`, which it writes to a file DIR/NAME.yaml,
   and reads the ports from the log line of the event "started"; a port that
   the role does not use is 0.  Aborts the test on failure.  Node_Finish frees
   what *node owns. */
void
Node_Start(Node *node, const char *dir, const char *name,
           const char *settings);

/* Kills the process with SIGKILL, waits for its end, removes the settings file
   and frees what *node owns. */
void
Node_Finish(Node *node);

#endif
