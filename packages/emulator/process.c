/* process.c -- starts, signals and awaits child processes */

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "process.h"

#define POLL_US 10000
#define EXEC_FAILED 127

char *
BwProcess_ReadFile(const char *path)
{
    FILE *file = fopen(path, "r");
    char *text = NULL;
    size_t size = 0;

    if (file == NULL)
        return NULL;
    if (getdelim(&text, &size, '\0', file) < 0) {
        free(text);
        text = strdup("");
    }
    fclose(file);
    return text;
}

static void
run_child(const char *output, char *const *argv, pid_t parent)
{
    int fd = open(output, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (fd >= 0 && getppid() == parent && dup2(fd, STDOUT_FILENO) >= 0 &&
        dup2(fd, STDERR_FILENO) >= 0) {
        close_range(STDERR_FILENO + 1, ~0u, 0);
        execv(argv[0], argv);
    }
    _exit(EXEC_FAILED);
}

bool
BwProcess_Start(BwProcess *process, const char *dir, const char *name,
                char *const *argv)
{
    size_t path_bytes = strlen(dir) + strlen(name) + sizeof("/.out.old");
    char *previous_output = malloc(path_bytes);
    pid_t parent = getpid();

    free(process->name);
    free(process->output);
    process->name = strdup(name);
    process->output = malloc(path_bytes);
    if (process->name == NULL || process->output == NULL ||
        previous_output == NULL) {
        free(previous_output);
        return false;
    }
    snprintf(process->output, path_bytes, "%s/%s.out", dir, name);
    snprintf(previous_output, path_bytes, "%s.old", process->output);
    rename(process->output, previous_output);
    free(previous_output);
    process->pid = fork();
    if (process->pid == 0)
        run_child(process->output, argv, parent);
    if (process->pid > 0)
        return true;
    process->pid = 0;
    return false;
}

static uint32_t
read_port(const BwProcess *process)
{
    static const char field[] = "http_port=";
    char *text = BwProcess_ReadFile(process->output);
    const char *found = text != NULL ? strstr(text, field) : NULL;
    uint32_t port = 0;

    if (found != NULL && strchr(found, '\n') != NULL)
        port = (uint32_t)strtoul(found + strlen(field), NULL, 10);
    free(text);
    return port;
}

bool
BwProcess_WaitStarted(BwProcess *process, uint64_t timeout_us)
{
    uint64_t give_up_us = BwClock_Now() + timeout_us;

    while ((process->http_port = read_port(process)) == 0) {
        if (BwClock_Now() > give_up_us)
            return false;
        usleep(POLL_US);
    }
    return true;
}

bool
BwProcess_WaitOutput(const BwProcess *process, const char *text,
                     uint64_t timeout_us)
{
    uint64_t give_up_us = BwClock_Now() + timeout_us;
    bool is_found = false;

    while (!is_found) {
        char *output = BwProcess_ReadFile(process->output);

        is_found = output != NULL && strstr(output, text) != NULL;
        free(output);
        if (!is_found && BwClock_Now() > give_up_us)
            return false;
        if (!is_found)
            usleep(POLL_US);
    }
    return true;
}

void
BwProcess_Signal(BwProcess *process, int signal_number)
{
    if (process->pid == 0)
        return;
    kill(process->pid, signal_number);
    /* The child may run on for a while after kill() has returned. */
    if (signal_number == SIGSTOP)
        waitpid(process->pid, NULL, WUNTRACED);
    if (signal_number == SIGKILL) {
        waitpid(process->pid, NULL, 0);
        process->pid = 0;
    }
}

bool
BwProcess_WaitEnd(BwProcess *process, uint64_t timeout_us, int *exit_code)
{
    uint64_t give_up_us = BwClock_Now() + timeout_us;
    int status;

    while (waitpid(process->pid, &status, WNOHANG) == 0) {
        if (timeout_us == 0 || BwClock_Now() > give_up_us)
            return false;
        usleep(POLL_US);
    }
    process->pid = 0;
    *exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return true;
}

void
BwProcess_Finish(BwProcess *process)
{
    BwProcess_Signal(process, SIGKILL);
    free(process->name);
    free(process->output);
    process->name = NULL;
    process->output = NULL;
}
