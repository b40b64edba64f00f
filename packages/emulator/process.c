/* process.c -- child processes by their own id, with their output in a file */

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
    size_t room = strlen(dir) + strlen(name) + sizeof("/.out.old");
    char *former = malloc(room);
    pid_t parent = getpid();

    free(process->name);
    free(process->output);
    process->name = strdup(name);
    process->output = malloc(room);
    if (process->name == NULL || process->output == NULL || former == NULL) {
        free(former);
        return false;
    }
    snprintf(process->output, room, "%s/%s.out", dir, name);
    snprintf(former, room, "%s.old", process->output);
    rename(process->output, former);
    free(former);
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
    const char *place = text != NULL ? strstr(text, field) : NULL;
    uint32_t port = 0;

    if (place != NULL && strchr(place, '\n') != NULL)
        port = (uint32_t)strtoul(place + strlen(field), NULL, 10);
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
    bool is_there = false;

    while (!is_there) {
        char *output = BwProcess_ReadFile(process->output);

        is_there = output != NULL && strstr(output, text) != NULL;
        free(output);
        if (!is_there && BwClock_Now() > give_up_us)
            return false;
        if (!is_there)
            usleep(POLL_US);
    }
    return true;
}

void
BwProcess_Signal(BwProcess *process, int number)
{
    if (process->pid == 0)
        return;
    kill(process->pid, number);
    /* It may run on for a while after the call. */
    if (number == SIGSTOP)
        waitpid(process->pid, NULL, WUNTRACED);
    if (number == SIGKILL) {
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
