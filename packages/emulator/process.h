/* process.h -- starts, signals and awaits child processes

   Each child is known by its process id, and its output goes to a file, which
   is also read to learn its port and its progress.  A child is killed when the
   thread that started it ends (PR_SET_PDEATHSIG).  Used by labfleet.c,
   labrunner.c and experiment.c, and by the tests.
*/

#ifndef BW_PROCESS_H
#define BW_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct BwProcess {
    pid_t pid;          /* 0: it isn't running */
    uint32_t http_port; /* as it printed it; 0: not yet */
    char *name;
    char *output; /* path of the file */
} BwProcess;

/* Starts a program with its output in DIR/NAME.out; a file of that name is
   renamed to DIR/NAME.out.old.  argv[0] is the path of the program.  Returns
   false with errno set if there is no memory or fork() fails; a program that
   can't be executed exits with 127. */
bool
BwProcess_Start(BwProcess *process, const char *dir, const char *name,
                char *const *argv);

/* Waits until the child has printed a line with http_port=PORT.  Returns
   whether it did so in time. */
bool
BwProcess_WaitStarted(BwProcess *process, uint64_t timeout_us);

/* Waits until the child's output contains the text.  Returns whether it did so
   in time. */
bool
BwProcess_WaitOutput(const BwProcess *process, const char *text,
                     uint64_t timeout_us);

/* Sends a signal to the child, if it is running.  After SIGKILL it waits for
   the child's end, after SIGSTOP until the child has stopped. */
void
BwProcess_Signal(BwProcess *process, int signal_number);

/* Waits for the child's end; with a time-out of 0 it only checks.  Returns
   whether the child has ended, with *exit_code set, to -1 if a signal ended
   it. */
bool
BwProcess_WaitEnd(BwProcess *process, uint64_t timeout_us, int *exit_code);

/* Kills the child if it is running, and frees what the record owns. */
void
BwProcess_Finish(BwProcess *process);

/* Returns the content of a file up to its first zero byte, to be freed with
   free(), or NULL if it can't be opened. */
char *
BwProcess_ReadFile(const char *path);

#endif
