/* cli.h -- the commands of brasswing */

#ifndef BW_CLI_H
#define BW_CLI_H

#include <stdint.h>

#include <jansson.h>

#include "caller.h"

/* Exit codes, for scripts. */
typedef enum BwExit {
    BW_EXIT_OK = 0,
    BW_EXIT_FAILED = 1,    /* the request was answered with an error */
    BW_EXIT_USAGE = 2,     /* the command line is wrong */
    BW_EXIT_INVALID = 3,   /* a text or trace has faults */
    BW_EXIT_NO_ANSWER = 4, /* nobody answered */
    BW_EXIT_LOST = 5,      /* another publication won */
    BW_EXIT_LAGGING = 6,   /* accepted, but not yet in force everywhere */
    BW_EXIT_UNSETTLED = 7  /* whether it took effect is not known yet */
} BwExit;

#define BW_CLI_ENTRIES_MAX 16
#define BW_CLI_LOGS_MAX 256

/* What the options say; strings are those of the command line. */
typedef struct BwCliOptions {
    const char *entry;                       /* HOST:PORT of any brasswingd */
    const char *entries[BW_CLI_ENTRIES_MAX]; /* each --entry given */
    uint32_t entry_count;
    const char *fleet;                 /* path of a fleet file */
    const char *logs[BW_CLI_LOGS_MAX]; /* log files of processes */
    uint32_t log_count;
    const char *log; /* HOST:PORT of the platform's log */
    const char *stream;
    const char *member;
    const char *base;
    const char *publish_id;
    const char *author;
    const char *output;    /* "text" or "json" */
    const char *authority; /* PEM file; NULL: plain HTTP */
    const char *tls_name;  /* that the entry's certificate carries */
    const char *token;     /* bearer token, or NULL */
    uint64_t timeout_us;
    int argc; /* operands */
    char **argv;
} BwCliOptions;

typedef struct BwCommand {
    const char *name;
    const char *operands;
    const char *help;
    int operand_count;
    BwExit (*run)(const BwCliOptions *options);
} BwCommand;

/* Sends one request to HOST:PORT and waits.  Returns the status, 0 without an
   answer, with the cause on standard error.  free() reply->body.  BwCli_Call
   is for the log; BwCli_CallDaemon, for a brasswingd, uses the options' TLS
   and token. */
uint32_t
BwCli_Call(const char *address, const char *method, const char *path,
           BwSpan body, uint64_t timeout_us, BwCallReply *reply);
uint32_t
BwCli_CallDaemon(const BwCliOptions *options, const char *address,
                 const char *method, const char *path, BwSpan body,
                 BwCallReply *reply);

/* The same without a word on standard error, within `timeout_us`. */
uint32_t
BwCli_CallQuietly(const char *address, const char *method, const char *path,
                  BwSpan body, uint64_t timeout_us, BwCallReply *reply);
uint32_t
BwCli_CallDaemonQuietly(const BwCliOptions *options, const char *address,
                        const char *method, const char *path, BwSpan body,
                        uint64_t timeout_us, BwCallReply *reply);

bool
BwCli_IsJson(const BwCliOptions *options);

/* Prints a JSON value on one line and drops it. */
void
BwCli_PrintJson(json_t *value);

/* Checks an operators' text, with its faults on standard error. */
bool
BwCli_IsValidText(const char *file, BwSpan text);

/* Publishes a valid text in place of revision `base`, or with a `base` of
   UINT64_MAX of the one in force. */
BwExit
BwCli_PublishText(const BwCliOptions *options, const char *text,
                  uint64_t base);

/* Lists every process that the one at options->entry knows, as objects of
   GET /v1/nodes.  `is_complete`, which may be NULL, is false when no agent
   told of other entries.  Returns NULL without an answer; json_decref it. */
json_t *
BwCli_ListNodes(const BwCliOptions *options, uint64_t deadline_us,
                bool *is_complete);

/* Prints the status of a dispatcher or supervisor.  Returns false, with
   nothing printed, for another role. */
bool
BwCli_PrintNode(const json_t *status);

/* Writes the HTTP address of a node; false when it is not known. */
bool
BwCli_NodeAddress(const json_t *node, char *out, size_t size_bytes);

/* Reads a whole file; "-" is standard input.  Returns an allocated text, or
   NULL with the cause on standard error. */
char *
BwCli_ReadFile(const char *path, uint32_t *size_bytes);

BwExit
BwCli_Check(const BwCliOptions *options);
BwExit
BwCli_Publish(const BwCliOptions *options);
BwExit
BwCli_Show(const BwCliOptions *options);
BwExit
BwCli_History(const BwCliOptions *options);
BwExit
BwCli_Diff(const BwCliOptions *options);
BwExit
BwCli_Rollback(const BwCliOptions *options);
BwExit
BwCli_Explain(const BwCliOptions *options);
BwExit
BwCli_Drain(const BwCliOptions *options);
BwExit
BwCli_Status(const BwCliOptions *options);
BwExit
BwCli_Submit(const BwCliOptions *options);
BwExit
BwCli_Cancel(const BwCliOptions *options);
BwExit
BwCli_Replay(const BwCliOptions *options);

#endif
