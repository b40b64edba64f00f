/* clientrequests.h -- HTTP requests of emulated callers, many at once

   Each request has a connection of its own: the caller sends it, and waits
   until the server closes the connection.  A caller gives up by closing the
   connection itself.  One thread serves all requests with poll(), so nothing
   is sent or received between two calls of BwClientRequests_Poll().  Callers
   with different numbers have different addresses in 127.0.0.0/24, since the
   ingress chooses the dispatcher by the address; after 250 numbers the
   addresses repeat.  Used by labrunner.c; tests use the text functions.
*/

#ifndef BW_CLIENTREQUESTS_H
#define BW_CLIENTREQUESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BW_CLIENT_ANSWER_BYTES_MAX 2048

/* The parts of an answer that a caller needs; `body` points into its text. */
typedef struct BwClientAnswer {
    uint32_t status;        /* 0: the head is incomplete or isn't HTTP/1.1 */
    uint32_t retry_after_s; /* 0: there is no such header */
    bool is_complete;       /* the body is as long as Content-Length says */
    const char *body;       /* NULL if `status` is 0 */
} BwClientAnswer;

/* Parses an answer of `size_bytes` bytes, after which `text` has a zero byte.
   `text` must outlive `parsed`. */
void
BwClientAnswer_Parse(BwClientAnswer *parsed, const char *text,
                     size_t size_bytes);

typedef struct BwClientRequest {
    int fd;
    char *request_text;
    size_t request_bytes, sent_bytes;
    char answer[BW_CLIENT_ANSWER_BYTES_MAX]; /* one byte is left for a zero */
    size_t answer_bytes;
    uint64_t give_up_us;
    bool is_connected; /* a part of the request has been sent */
    bool has_given_up;
    void *data; /* given to BwClientRequests_Start; not freed */
} BwClientRequest;

typedef void (*BwClientRequestEnd)(void *ctx, BwClientRequest *request);

typedef struct BwClientRequests {
    BwClientRequest **requests;
    uint32_t count, capacity;
    BwClientRequestEnd on_end; /* called just before a request is freed */
    void *ctx;
} BwClientRequests;

void
BwClientRequests_Init(BwClientRequests *requests, BwClientRequestEnd on_end,
                      void *ctx);

/* Closes all connections and frees all requests without calling on_end. */
void
BwClientRequests_Finish(BwClientRequests *requests);

/* Connects caller `client` to `port` of loopback, and sends the request in
   later calls of BwClientRequests_Poll().  `headers` is empty or complete
   lines, each with its CR LF.  All texts are copied.  The caller gives up at
   `give_up_us` of the monotonic clock.  Returns false if there is no memory or
   no socket; then on_end isn't called. */
bool
BwClientRequests_Start(BwClientRequests *requests, uint32_t port,
                       uint32_t client, const char *method, const char *path,
                       const char *headers, const char *body,
                       uint64_t give_up_us, void *data);

/* Waits for at most `timeout_ms` until a connection is ready, sends and
   receives what is possible, and ends the requests whose connection has closed
   or has failed, whose answer has filled its buffer, or whose caller gives
   up. */
void
BwClientRequests_Poll(BwClientRequests *requests, int timeout_ms);

/* Returns the text of a request that closes its connection, or NULL without
   memory.  The caller of this function frees it with free(). */
char *
BwClientRequests_MakeText(const char *method, const char *path,
                          const char *headers, const char *body);

#endif
