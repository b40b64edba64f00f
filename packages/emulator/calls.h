/* calls.h -- emulated callers: many requests at once, each with its own
   connection

   A caller sends one request and waits for the end of its connection.  It
   gives up by closing it.  Callers with different numbers have different
   addresses of loopback.
*/

#ifndef BW_CALLS_H
#define BW_CALLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BW_CALL_ANSWER_BYTES 2048

/* What a whole answer says; `body` points into the text. */
typedef struct BwAnswerHead {
    uint32_t status; /* 0: there is none */
    uint32_t retry_after_s;
    bool is_complete;
    const char *body; /* NULL: there is none */
} BwAnswerHead;

/* Reads an answer of `size_bytes` bytes, ended by a zero byte. */
void
BwAnswerHead_Read(BwAnswerHead *head, const char *text, size_t size_bytes);

typedef struct BwCall {
    int fd; /* -1: over */
    char *request;
    size_t request_bytes, sent_bytes;
    char answer[BW_CALL_ANSWER_BYTES];
    size_t answer_bytes;
    uint64_t give_up_us;
    bool is_connected; /* ever */
    bool has_given_up;
    void *data; /* the owner's */
} BwCall;

typedef void (*BwCallEnd)(void *ctx, BwCall *call);

typedef struct BwCalls {
    BwCall **calls;
    uint32_t count, room;
    BwCallEnd on_end; /* just before the call is freed */
    void *ctx;
} BwCalls;

void
BwCalls_Init(BwCalls *calls, BwCallEnd on_end, void *ctx);

/* Ends all without a word. */
void
BwCalls_Finish(BwCalls *calls);

/* Sends `method` to `path`; `headers` is empty or whole lines.  All texts are
   copied.  Returns false when there is no socket; on_end does not come then.
 */
bool
BwCalls_Start(BwCalls *calls, uint32_t port, uint32_t client,
              const char *method, const char *path, const char *headers,
              const char *body, uint64_t give_up_us, void *data);

/* Sends and takes what there is, for at most `timeout_ms`. */
void
BwCalls_Run(BwCalls *calls, int timeout_ms);

/* The text of a request on a connection of its own; free() it. */
char *
BwCalls_RequestText(const char *method, const char *path, const char *headers,
                    const char *body);

#endif
