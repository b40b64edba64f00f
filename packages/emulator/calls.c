/* calls.c -- emulated callers: many requests at once */

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "calls.h"
#include "clock.h"

#define CLIENT_FIRST 2 /* 127.0.0.2 */
#define CLIENTS 250

/* ------------------------------------------------------------- answers */

/* The number of a header, or `missing`. */
static size_t
read_header(const char *text, const char *body, const char *name,
            size_t missing)
{
    const char *place = strcasestr(text, name);

    if (place == NULL || place > body)
        return missing;
    return strtoul(place + strlen(name), NULL, 10);
}

void
BwAnswerHead_Read(BwAnswerHead *head, const char *text, size_t size_bytes)
{
    const char *end = strstr(text, "\r\n\r\n");
    size_t length;

    memset(head, 0, sizeof(*head));
    if (end == NULL || strncasecmp(text, "http/1.1 ", 9) != 0)
        return;
    head->body = end + 4;
    head->status = (uint32_t)strtoul(text + 9, NULL, 10);
    head->retry_after_s =
        (uint32_t)read_header(text, end, "\r\nretry-after:", 0);
    length = read_header(text, end, "\r\ncontent-length:", SIZE_MAX);
    head->is_complete = length == size_bytes - (size_t)(head->body - text);
}

char *
BwCalls_RequestText(const char *method, const char *path, const char *headers,
                    const char *body)
{
    char *text = NULL;

    if (asprintf(&text,
                 "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                 "Connection: close\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n%s\r\n%s",
                 method, path, strlen(body), headers, body) < 0)
        return NULL;
    return text;
}

/* --------------------------------------------------------------- calls */

void
BwCalls_Init(BwCalls *calls, BwCallEnd on_end, void *ctx)
{
    memset(calls, 0, sizeof(*calls));
    calls->on_end = on_end;
    calls->ctx = ctx;
}

static void
free_call(BwCall *call)
{
    close(call->fd);
    free(call->request);
    free(call);
}

void
BwCalls_Finish(BwCalls *calls)
{
    for (uint32_t i = 0; i < calls->count; i++)
        free_call(calls->calls[i]);
    free(calls->calls);
    memset(calls, 0, sizeof(*calls));
}

static int
dial(uint32_t port, uint32_t client)
{
    struct sockaddr_in own = {.sin_family = AF_INET};
    struct sockaddr_in other = {.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;

    if (fd < 0)
        return -1;
    own.sin_addr.s_addr =
        htonl((INADDR_LOOPBACK & ~0xffu) + CLIENT_FIRST + client % CLIENTS);
    other.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&own, sizeof(own)) == 0 &&
        (connect(fd, (struct sockaddr *)&other, sizeof(other)) == 0 ||
         errno == EINPROGRESS))
        return fd;
    close(fd);
    return -1;
}

bool
BwCalls_Start(BwCalls *calls, uint32_t port, uint32_t client,
              const char *method, const char *path, const char *headers,
              const char *body, uint64_t give_up_us, void *data)
{
    BwCall *call = calloc(1, sizeof(*call));

    if (call == NULL)
        return false;
    call->fd = dial(port, client);
    call->request = BwCalls_RequestText(method, path, headers, body);
    if (call->fd < 0 || call->request == NULL)
        goto failed;
    call->request_bytes = strlen(call->request);
    call->give_up_us = give_up_us;
    call->data = data;
    if (calls->count == calls->room) {
        uint32_t room = calls->room * 2 + 16;
        BwCall **grown = realloc(calls->calls, room * sizeof(*grown));

        if (grown == NULL)
            goto failed;
        calls->calls = grown;
        calls->room = room;
    }
    calls->calls[calls->count++] = call;
    return true;
failed:
    if (call->fd >= 0)
        close(call->fd);
    free(call->request);
    free(call);
    return false;
}

/* Returns whether the connection is over. */
static bool
send_part(BwCall *call)
{
    ssize_t sent = send(call->fd, call->request + call->sent_bytes,
                        call->request_bytes - call->sent_bytes, MSG_NOSIGNAL);

    if (sent < 0)
        return errno != EAGAIN && errno != EINTR;
    call->is_connected = true;
    call->sent_bytes += (size_t)sent;
    return false;
}

static bool
take_part(BwCall *call)
{
    size_t room = sizeof(call->answer) - 1 - call->answer_bytes;
    ssize_t taken = recv(call->fd, call->answer + call->answer_bytes, room, 0);

    if (taken < 0)
        return errno != EAGAIN && errno != EINTR;
    call->answer_bytes += (size_t)taken;
    return taken == 0;
}

static bool
serve(BwCall *call, short events, uint64_t now_us)
{
    if ((events & POLLOUT) != 0 && send_part(call))
        return true;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && take_part(call))
        return true;
    call->has_given_up = now_us >= call->give_up_us;
    return call->has_given_up;
}

void
BwCalls_Run(BwCalls *calls, int timeout_ms)
{
    uint32_t count = calls->count;
    struct pollfd *fds = calloc(count + 1, sizeof(*fds));
    uint64_t now_us;
    uint32_t kept = 0;

    if (fds == NULL)
        return;
    for (uint32_t i = 0; i < count; i++) {
        const BwCall *call = calls->calls[i];

        fds[i].fd = call->fd;
        fds[i].events = POLLIN;
        if (call->sent_bytes < call->request_bytes)
            fds[i].events |= POLLOUT;
    }
    poll(fds, count, timeout_ms);
    now_us = BwClock_Now();
    for (uint32_t i = 0; i < count; i++) {
        BwCall *call = calls->calls[i];

        if (!serve(call, fds[i].revents, now_us)) {
            calls->calls[kept++] = call;
            continue;
        }
        calls->on_end(calls->ctx, call);
        free_call(call);
    }
    calls->count = kept;
    free(fds);
}
