/* emulator.c -- functions that the emulated processes share */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "emulator.h"

static volatile sig_atomic_t is_stopping;

static void
on_signal(int number)
{
    (void)number;
    is_stopping = 1;
}

void
BwEmulator_ReportStarted(const char *name, uint32_t port)
{
    struct sigaction action = {.sa_handler = on_signal};

    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
    printf("%s started http_port=%u\n", name, port);
    fflush(stdout);
}

bool
BwEmulator_IsStopping(void)
{
    return is_stopping != 0;
}

void
BwEmulator_IgnoreThreadMessage(void *ctx, BwThreadMessage *mail)
{
    (void)ctx;
    free(mail);
}

void
BwEmulator_ReplyJson(BwExchange *exchange, int status, json_t *document)
{
    char *text = json_dumps(document, JSON_COMPACT);

    BwExchange_Reply(exchange, status, "application/json",
                     BwSpan_FromString(text), 0);
    free(text);
    json_decref(document);
}

uint32_t
BwEmulator_Random(uint64_t *seed, uint32_t limit)
{
    unsigned short state[3] = {(unsigned short)*seed,
                               (unsigned short)(*seed >> 16),
                               (unsigned short)(*seed >> 32)};
    double fraction = erand48(state);

    *seed = state[0] | (uint64_t)state[1] << 16 | (uint64_t)state[2] << 32;
    return (uint32_t)(fraction * limit);
}
