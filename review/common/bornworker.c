/* bornworker.c -- the emulated worker, as one that keeps its id over a restart

   usage: bornworker lab store|worker ...

   It is the project's emulated worker with three differences.  Heartbeats and
   lists of runs have the field `born`, the Unix time in milliseconds of the
   start of the process.  The id depends on the operands only, so a process
   that is started again has the id of the one before; its clock, counts and
   fence begin anew.  Each start and end of a run is appended to the file that
   the variable RUNS_FILE names, so that it outlives the process.
*/

#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "emulator.h"
#include "log.h"

#define LINE_BYTES 256

#define FIRST_HEARTBEAT_US 500000

static uint64_t born_ms;

int
BornWorker_Run(int argc, char **argv);

static void
begin_heartbeats(const char *name, uint32_t port);

/* Sets a field; lists of runs get the field `born` besides. */
static int
set_field(json_t *object, const char *key, json_t *value)
{
    if (strcmp(key, "running") == 0)
        json_object_set_new(object, "born", json_integer((json_int_t)born_ms));
    return json_object_set_new(object, key, value);
}

/* Writes a heartbeat as text. */
static char *
dump_heartbeat(json_t *root, size_t flags)
{
    json_object_set_new(root, "born", json_integer((json_int_t)born_ms));
    return json_dumps(root, flags);
}

static void
append_run(const char *name, const char *event, const char *task,
           uint32_t run_number, const char *reason)
{
    static int fd = -1;
    char line[LINE_BYTES];
    int length;

    if (fd < 0)
        fd = open(getenv("RUNS_FILE"), O_WRONLY | O_APPEND | O_CREAT, 0644);
    length =
        snprintf(line, sizeof(line), "%llu %s %d %s %s %u %s\n",
                 (unsigned long long)BwClock_Now(), name, (int)getpid(), event,
                 task, run_number, strcmp(event, "ended") == 0 ? reason : "-");
    if (fd >= 0 && write(fd, line, (size_t)length) != length)
        perror("runs file");
}

#define json_object_set_new set_field
#define json_dumps dump_heartbeat
#undef BW_LOG
#define BW_LOG(logger, level, event_, ...)                                    \
    append_run((logger)->name, event_, run->task, run->run_number, reason)
#define BwEmulator_ReportStarted begin_heartbeats
#define BwEmulator_RunWorker BornWorker_Run
/* NOLINTNEXTLINE(bugprone-suspicious-include) */
#include "../../packages/emulator/worker.c"

#undef BwEmulator_ReportStarted

/* The first heartbeat comes when a part of its interval is over. */
static void
begin_heartbeats(const char *name, uint32_t port)
{
    worker.next_heartbeat_us = BwClock_Now() + FIRST_HEARTBEAT_US;
    BwEmulator_ReportStarted(name, port);
}

int
main(int argc, char **argv)
{
    born_ms = BwClock_WallNow() / 1000;
    if (argc > 3 && strcmp(argv[2], "store") == 0)
        return BwEmulator_RunStore(argc - 3, argv + 3);
    return argc > 3 ? BornWorker_Run(argc - 3, argv + 3) : 2;
}
