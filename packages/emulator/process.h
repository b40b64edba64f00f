/* process.h -- child processes by their own id, with their output in a file

   A child is killed when its parent ends.
*/

#ifndef BW_PROCESS_H
#define BW_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct BwProcess {
    pid_t pid;          /* 0: it does not run */
    uint32_t http_port; /* that it printed */
    char *name;
    char *output; /* path */
} BwProcess;

/* Starts a program with its output in DIR/NAME.out; that of a former one goes
   to DIR/NAME.out.old.  Returns false with errno set. */
bool
BwProcess_Start(BwProcess *process, const char *dir, const char *name,
                char *const *argv);

/* Waits until it has printed its port.  Returns whether it did in time. */
bool
BwProcess_WaitStarted(BwProcess *process, uint64_t timeout_us);

/* Waits until its output holds the text.  Returns whether it did in time. */
bool
BwProcess_WaitOutput(const BwProcess *process, const char *text,
                     uint64_t timeout_us);

/* Sends a signal; with SIGKILL also waits for the end. */
void
BwProcess_Signal(BwProcess *process, int number);

/* Waits for the end, or with 0 only looks.  Returns whether it came in time,
   with *exit_code set, -1 after a signal. */
bool
BwProcess_WaitEnd(BwProcess *process, uint64_t timeout_us, int *exit_code);

/* Kills it if it runs, and forgets it. */
void
BwProcess_Finish(BwProcess *process);

/* Reads a whole file; free() it.  Returns NULL when there is none. */
char *
BwProcess_ReadFile(const char *path);

#endif
