/* clientrequests.c -- HTTP requests of emulated callers, many at once */

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clientrequests.h"
#include "clock.h"

#define FIRST_HOST_NUMBER 2 /* 127.0.0.2 */
#define CLIENT_ADDRESSES 250

/* ------------------------------------------------------------- answers */

/* Returns the number in a header of the head, which ends at `body`, or
   `missing` if there is no such header. */
static size_t
read_header(const char *text, const char *body, const char *name,
            size_t missing)
{
    const char *found = strcasestr(text, name);

    if (found == NULL || found > body)
        return missing;
    return strtoul(found + strlen(name), NULL, 10);
}

void
BwClientAnswer_Parse(BwClientAnswer *parsed, const char *text,
                     size_t size_bytes)
{
    const char *end = strstr(text, "\r\n\r\n");
    size_t length;

    memset(parsed, 0, sizeof(*parsed));
    if (end == NULL || strncasecmp(text, "http/1.1 ", 9) != 0)
        return;
    parsed->body = end + 4;
    parsed->status = (uint32_t)strtoul(text + 9, NULL, 10);
    parsed->retry_after_s =
        (uint32_t)read_header(text, end, "\r\nretry-after:", 0);
    length = read_header(text, end, "\r\ncontent-length:", SIZE_MAX);
    parsed->is_complete = length == size_bytes - (size_t)(parsed->body - text);
}

char *
BwClientRequests_MakeText(const char *method, const char *path,
                          const char *headers, const char *body)
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

/* ------------------------------------------------------------ requests */

void
BwClientRequests_Init(BwClientRequests *requests, BwClientRequestEnd on_end,
                      void *ctx)
{
    memset(requests, 0, sizeof(*requests));
    requests->on_end = on_end;
    requests->ctx = ctx;
}

static void
free_request(BwClientRequest *request)
{
    close(request->fd);
    free(request->request_text);
    free(request);
}

void
BwClientRequests_Finish(BwClientRequests *requests)
{
    for (uint32_t i = 0; i < requests->count; i++)
        free_request(requests->requests[i]);
    free(requests->requests);
    memset(requests, 0, sizeof(*requests));
}

static int
connect_client(uint32_t port, uint32_t client)
{
    struct sockaddr_in local = {.sin_family = AF_INET};
    struct sockaddr_in remote = {.sin_family = AF_INET,
                                 .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;

    if (fd < 0)
        return -1;
    local.sin_addr.s_addr =
        htonl((INADDR_LOOPBACK & ~0xffu) + FIRST_HOST_NUMBER +
              client % CLIENT_ADDRESSES);
    remote.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&local, sizeof(local)) == 0 &&
        (connect(fd, (struct sockaddr *)&remote, sizeof(remote)) == 0 ||
         errno == EINPROGRESS))
        return fd;
    close(fd);
    return -1;
}

bool
BwClientRequests_Start(BwClientRequests *requests, uint32_t port,
                       uint32_t client, const char *method, const char *path,
                       const char *headers, const char *body,
                       uint64_t give_up_us, void *data)
{
    BwClientRequest *request = calloc(1, sizeof(*request));

    if (request == NULL)
        return false;
    request->fd = connect_client(port, client);
    request->request_text =
        BwClientRequests_MakeText(method, path, headers, body);
    if (request->fd < 0 || request->request_text == NULL)
        goto failed;
    request->request_bytes = strlen(request->request_text);
    request->give_up_us = give_up_us;
    request->data = data;
    if (requests->count == requests->capacity) {
        uint32_t capacity = requests->capacity * 2 + 16;
        BwClientRequest **grown =
            realloc(requests->requests, capacity * sizeof(*grown));

        if (grown == NULL)
            goto failed;
        requests->requests = grown;
        requests->capacity = capacity;
    }
    requests->requests[requests->count++] = request;
    return true;
failed:
    if (request->fd >= 0)
        close(request->fd);
    free(request->request_text);
    free(request);
    return false;
}

/* This and the next two return whether the request has ended. */
static bool
send_available(BwClientRequest *request)
{
    ssize_t sent =
        send(request->fd, request->request_text + request->sent_bytes,
             request->request_bytes - request->sent_bytes, MSG_NOSIGNAL);

    if (sent < 0)
        return errno != EAGAIN && errno != EINTR;
    request->is_connected = true;
    request->sent_bytes += (size_t)sent;
    return false;
}

static bool
receive_available(BwClientRequest *request)
{
    size_t capacity = sizeof(request->answer) - 1 - request->answer_bytes;
    ssize_t received = recv(
        request->fd, request->answer + request->answer_bytes, capacity, 0);

    if (received < 0)
        return errno != EAGAIN && errno != EINTR;
    request->answer_bytes += (size_t)received;
    return received == 0;
}

static bool
handle_events(BwClientRequest *request, short events, uint64_t now_us)
{
    if ((events & POLLOUT) != 0 && send_available(request))
        return true;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 &&
        receive_available(request))
        return true;
    request->has_given_up = now_us >= request->give_up_us;
    return request->has_given_up;
}

void
BwClientRequests_Poll(BwClientRequests *requests, int timeout_ms)
{
    uint32_t count = requests->count;
    struct pollfd *fds = calloc(count + 1, sizeof(*fds));
    uint64_t now_us;
    uint32_t open_count = 0;

    if (fds == NULL)
        return;
    for (uint32_t i = 0; i < count; i++) {
        const BwClientRequest *request = requests->requests[i];

        fds[i].fd = request->fd;
        fds[i].events = POLLIN;
        if (request->sent_bytes < request->request_bytes)
            fds[i].events |= POLLOUT;
    }
    poll(fds, count, timeout_ms);
    now_us = BwClock_Now();
    for (uint32_t i = 0; i < count; i++) {
        BwClientRequest *request = requests->requests[i];

        if (!handle_events(request, fds[i].revents, now_us)) {
            requests->requests[open_count++] = request;
            continue;
        }
        requests->on_end(requests->ctx, request);
        free_request(request);
    }
    requests->count = open_count;
    free(fds);
}
