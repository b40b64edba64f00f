/* cli.h -- commands of the brasswing program and the functions they share

   main.c parses the command line into BwCliOptions and runs one command.  Each
   command prints its result on standard output and its errors on standard
   error, and returns the exit code.
*/

#ifndef BW_CLI_H
#define BW_CLI_H

#include <stdint.h>

#include <jansson.h>

#include "blockingclient.h"

/* Exit codes, for scripts. */
typedef enum BwExit {
    BW_EXIT_OK = 0,
    BW_EXIT_FAILED = 1,         /* the request was answered with an error */
    BW_EXIT_USAGE = 2,          /* the command line is wrong */
    BW_EXIT_INVALID = 3,        /* a configuration or trace is invalid */
    BW_EXIT_NO_ANSWER = 4,      /* no process answered */
    BW_EXIT_CONFLICT = 5,       /* another publication was accepted first */
    BW_EXIT_LAGGING = 6,        /* accepted, not yet in force on every node */
    BW_EXIT_OUTCOME_UNKNOWN = 7 /* it is unknown whether it took effect */
} BwExit;

#define BW_CLI_ENTRIES_MAX 16
#define BW_CLI_LOGS_MAX 256

/* Parsed options.  Strings belong to the command line. */
typedef struct BwCliOptions {
    const char *entry;                       /* HOST:PORT of any brasswingd */
    const char *entries[BW_CLI_ENTRIES_MAX]; /* values of --entry */
    uint32_t entry_count;
    const char *fleet;                 /* path of a fleet file; see replay.h */
    const char *logs[BW_CLI_LOGS_MAX]; /* paths of log files */
    uint32_t log_count;
    const char *log;        /* HOST:PORT of the platform's log */
    const char *stream;     /* stream of that log */
    const char *member;     /* member that owns the job */
    const char *base;       /* revision that a publication replaces */
    const char *publish_id; /* of an earlier publication, or NULL */
    const char *author;
    const char *against;   /* what `check` compares with, or NULL */
    bool is_strict;        /* warnings of `check` are failures */
    const char *output;    /* "text" or "json" */
    const char *authority; /* PEM file; NULL for plain HTTP */
    const char *tls_name;  /* name in the entry's certificate */
    const char *token;     /* bearer token, or NULL */
    uint64_t timeout_us;
    uint64_t window_us; /* length of the windows of `losses` */
    int argc;           /* operands */
    char **argv;
} BwCliOptions;

typedef struct BwCommand {
    const char *name;
    const char *operands;
    const char *help;
    int operand_count;
    BwExit (*run)(const BwCliOptions *options);
} BwCommand;

/* Sends one HTTP request to HOST:PORT and waits for the answer.  Returns the
   status, or 0 with a message on standard error when there is no answer.
   free() reply->body.  BwCli_Call is for the platform's log; BwCli_CallDaemon,
   for a brasswingd process, uses the TLS options and the token. */
uint32_t
BwCli_Call(const char *address, const char *method, const char *path,
           BwSpan body, uint64_t timeout_us, BwBlockingReply *reply);
uint32_t
BwCli_CallDaemon(const BwCliOptions *options, const char *address,
                 const char *method, const char *path, BwSpan body,
                 BwBlockingReply *reply);

/* The same, within `timeout_us` and without a message on standard error. */
uint32_t
BwCli_CallQuietly(const char *address, const char *method, const char *path,
                  BwSpan body, uint64_t timeout_us, BwBlockingReply *reply);
uint32_t
BwCli_CallDaemonQuietly(const BwCliOptions *options, const char *address,
                        const char *method, const char *path, BwSpan body,
                        uint64_t timeout_us, BwBlockingReply *reply);

bool
BwCli_IsJson(const BwCliOptions *options);

/* Prints a JSON value on one line and releases the reference to it. */
void
BwCli_PrintJson(json_t *value);

struct BwConfig;

/* Reads an operators' configuration.  Prints its faults, with `file` as its
   name, on standard error, and returns false if there are any.  Call
   BwConfig_Finish in either case. */
bool
BwCli_ReadConfig(const char *file, BwSpan text, struct BwConfig *config);

/* Returns whether an operators' configuration is valid, and prints its faults
   in the same way. */
bool
BwCli_IsValidConfig(const char *file, BwSpan text);

/* Publishes a valid configuration as the successor of revision `base`, or,
   with a `base` of UINT64_MAX, of the revision in force.  With --entry, waits
   until it is in force on every node. */
BwExit
BwCli_PublishConfig(const BwCliOptions *options, const char *text,
                    uint64_t base);

/* Lists the nodes that the one at options->entry knows, as objects of GET
   /v1/nodes, and the other entries that an agent knows; json_decref the list.
   An entry that did not answer itself has "second_hand" set: its revision is
   not known. Sets *is_complete, unless NULL, to false when other entries may
   be missing because no agent answered.  Returns NULL when options->entry does
   not answer. */
json_t *
BwCli_ListNodes(const BwCliOptions *options, uint64_t deadline_us,
                bool *is_complete);

/* Prints the status of a dispatcher or supervisor as text.  Prints nothing and
   returns false for another role. */
bool
BwCli_PrintNode(const json_t *status);

/* Writes the HTTP address of a node, an object of GET /v1/nodes, as HOST:PORT.
   Returns false when it is not known. */
bool
BwCli_NodeAddress(const json_t *node, char *out, size_t size_bytes);

/* Reads a whole file; "-" is standard input.  Returns its content with a zero
   byte added, to be freed by the caller, or NULL with a message on standard
   error. */
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
BwCli_Losses(const BwCliOptions *options);
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
