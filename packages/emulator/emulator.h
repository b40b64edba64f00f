/* emulator.h -- functions that the emulated processes share

   The emulator stands in for the systems around dispatchers and supervisors:
   the store, the workers, and the ingress.  Each is a process on loopback that
   runs in real time, started as `brasswing lab store|worker|ingress ...`.
   Their sources know the names of the platform; the rest of the product must
   not include any of the emulator's headers but lab.h, and only the command
   line includes that.  Used by store.c, worker.c, ingress.c and labrunner.c,
   and by the stand-ins of the tests.
*/

#ifndef BW_EMULATOR_H
#define BW_EMULATOR_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "brasswing.h"
#include "eventloop.h"
#include "httpserver.h"

/* Run an emulated process until SIGTERM or SIGINT, with the operands after its
   name.  Each returns an exit code. */
int
BwEmulator_RunStore(int argc, char **argv);
int
BwEmulator_RunWorker(int argc, char **argv);
int
BwEmulator_RunIngress(int argc, char **argv);

/* Handles SIGTERM and SIGINT, ignores SIGPIPE, and prints
   "NAME started http_port=PORT", which the process that started this one waits
   for. */
void
BwEmulator_ReportStarted(const char *name, uint32_t port);

/* Returns whether SIGTERM or SIGINT has been received. */
bool
BwEmulator_IsStopping(void);

/* Frees a message from another thread; emulated processes get none. */
void
BwEmulator_IgnoreThreadMessage(void *ctx, BwThreadMessage *mail);

/* Answers with the document and drops the caller's reference to it. */
void
BwEmulator_ReplyJson(BwExchange *exchange, int status, json_t *document);

/* Returns the next number below `limit` of a seeded pseudo-random sequence. */
uint32_t
BwEmulator_Random(uint64_t *seed, uint32_t limit);

#endif
