/* emulator.h -- what the emulated systems share

   The emulator stands in for the systems around dispatchers and supervisors:
   the store, workers, and the ingress.  Each is a process of its own on
   loopback, in real time, started as `brasswing lab PART ...`.  The parts know
   the names of the platform; the rest of the product must not include any of
   these headers but lab.h, and that only in the command line.
*/

#ifndef BW_EMULATOR_H
#define BW_EMULATOR_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "brasswing.h"
#include "httpserver.h"
#include "taskloop.h"

/* The parts, with the operands after their name.  Each returns an exit code
   after SIGTERM. */
int
BwEmulator_RunStore(int argc, char **argv);
int
BwEmulator_RunWorker(int argc, char **argv);
int
BwEmulator_RunIngress(int argc, char **argv);

/* Sets the signals and prints "NAME started http_port=PORT", which the starter
   reads. */
void
BwEmulator_Ready(const char *name, uint32_t port);

/* Whether SIGTERM came. */
bool
BwEmulator_IsStopping(void);

/* Ignores mail; parts get none. */
void
BwEmulator_DropMail(void *ctx, BwMail *mail);

/* Answers with the document and frees it. */
void
BwEmulator_ReplyJson(BwExchange *exchange, int status, json_t *document);

/* A number below `bound` from a seeded sequence. */
uint32_t
BwEmulator_Draw(uint64_t *seed, uint32_t bound);

#endif
