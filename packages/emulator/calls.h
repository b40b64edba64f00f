/* calls.h -- HTTP requests of emulated callers, many at once

   Each request has a connection of its own: the caller sends it, and waits
   until the server closes the connection.  A caller gives up by closing the
   connection itself.  One thread serves all requests with poll(), so nothing
   is sent or received between two calls of BwCalls_Run().  Callers with
   different numbers have different addresses in 127.0.0.0/24, since the
   ingress chooses the dispatcher by the address; after 250 numbers the
   addresses repeat.  Used by player.c; tests use the text functions.
*/

#ifndef BW_CALLS_H
#define BW_CALLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BW_CALL_ANSWER_BYTES 2048

/* The parts of an answer that a caller needs; `body` points into its text. */
typedef struct BwAnswerHead {
    uint32_t status;        /* 0: the head is incomplete or isn't HTTP/1.1 */
    uint32_t retry_after_s; /* 0: there is no such header */
    bool is_complete;       /* the body is as long as Content-Length says */
    const char *body;       /* NULL if `status` is 0 */
} BwAnswerHead;

/* Parses an answer of `size_bytes` bytes, after which `text` has a zero byte.
   `text` must outlive `parsed`. */
void
BwAnswerHead_Read(BwAnswerHead *parsed, const char *text, size_t size_bytes);

typedef struct BwCall {
    int fd;
    char *request_text;
    size_t request_bytes, sent_bytes;
    char answer[BW_CALL_ANSWER_BYTES]; /* one byte is left for a zero */
    size_t answer_bytes;
    uint64_t give_up_us;
    bool is_connected; /* a part of the request has been sent */
    bool has_given_up;
    void *data; /* given to BwCalls_Start; not freed */
} BwCall;

typedef void (*BwCallEnd)(void *ctx, BwCall *request);

typedef struct BwCalls {
    BwCall **requests;
    uint32_t count, capacity;
    BwCallEnd on_end; /* called just before a request is freed */
    void *ctx;
} BwCalls;

void
BwCalls_Init(BwCalls *requests, BwCallEnd on_end, void *ctx);

/* Closes all connections and frees all requests without calling on_end. */
void
BwCalls_Finish(BwCalls *requests);

/* Connects caller `client` to `port` of loopback, and sends the request in
   later calls of BwCalls_Run().  `headers` is empty or complete lines, each
   with its CR LF.  All texts are copied.  The caller gives up at `give_up_us`
   of the monotonic clock.  Returns false if there is no memory or no socket;
   then on_end isn't called. */
bool
BwCalls_Start(BwCalls *requests, uint32_t port, uint32_t client,
              const char *method, const char *path, const char *headers,
              const char *body, uint64_t give_up_us, void *data);

/* Waits for at most `timeout_ms` until a connection is ready, sends and
   receives what is possible, and ends the requests whose connection has closed
   or has failed, whose answer has filled its buffer, or whose caller gives
   up. */
void
BwCalls_Run(BwCalls *requests, int timeout_ms);

/* Returns the text of a request that closes its connection, or NULL without
   memory.  The caller of this function frees it with free(). */
char *
BwCalls_RequestText(const char *method, const char *path, const char *headers,
                    const char *body);

#endif
