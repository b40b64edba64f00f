/* crowd.c -- many connections that misbehave, see crowd.h */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "clock.h"
#include "crowd.h"
#include "tls.h"

#define SEND_BYTES_MAX 65536
#define POLL_MS 20
#define RUN_MAX_MS 60000 /* guards against a crowd that never settles */

static int
dial(uint32_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    g_assert_cmpint(fd, >=, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
connect_member(const Crowd *crowd, CrowdMember *member)
{
    member->fd = dial(crowd->plan.port);
    member->sent_bytes = 0;
    member->is_refused = member->fd < 0;
    if (crowd->plan.tls == NULL || member->is_refused)
        return;
    member->ssl = SSL_new(crowd->plan.tls);
    SSL_set_fd(member->ssl, member->fd);
    SSL_set_connect_state(member->ssl);
    SSL_set_mode(member->ssl, SSL_MODE_ENABLE_PARTIAL_WRITE |
                                  SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
}

static void
close_member(CrowdMember *member)
{
    SSL_free(member->ssl);
    member->ssl = NULL;
    if (member->fd >= 0)
        close(member->fd);
    member->fd = -1;
}

void
Crowd_Init(Crowd *crowd, const CrowdPlan *plan)
{
    memset(crowd, 0, sizeof(*crowd));
    crowd->plan = *plan;
    crowd->list = g_new0(CrowdMember, plan->members);
    for (uint32_t i = 0; i < plan->members; i++) {
        CrowdMember *member = &crowd->list[i];

        connect_member(crowd, member);
        member->head = plan->make_head != NULL ? plan->make_head(i) : NULL;
        member->head_bytes = member->head != NULL ? strlen(member->head) : 0;
    }
}

static size_t
total_bytes(const Crowd *crowd, const CrowdMember *member)
{
    return member->head_bytes + crowd->plan.body_bytes;
}

static void
on_closed(Crowd *crowd, CrowdMember *member)
{
    close_member(member);
    crowd->closed++;
    if (member->returns >= crowd->plan.returns)
        return;
    member->returns++;
    connect_member(crowd, member);
}

/* Returns how much was sent, 0 if nothing can be sent now, or -1. */
static ssize_t
send_some(CrowdMember *member, const char *from, size_t bytes)
{
    ssize_t sent;
    int code;

    if (member->ssl == NULL) {
        sent = send(member->fd, from, bytes, MSG_NOSIGNAL);
        return sent < 0 && (errno == EAGAIN || errno == EINTR) ? 0 : sent;
    }
    sent = SSL_write(member->ssl, from, (int)bytes);
    code = SSL_get_error(member->ssl, (int)sent);
    if (sent <= 0 &&
        (code == SSL_ERROR_WANT_READ || code == SSL_ERROR_WANT_WRITE))
        return 0;
    return sent;
}

static void
send_part(Crowd *crowd, CrowdMember *member)
{
    const char *from =
        member->sent_bytes < member->head_bytes
            ? member->head + member->sent_bytes
            : crowd->plan.body + (member->sent_bytes - member->head_bytes);
    size_t left = (member->sent_bytes < member->head_bytes
                       ? member->head_bytes
                       : total_bytes(crowd, member)) -
                  member->sent_bytes;
    ssize_t sent = send_some(member, from, MIN(left, SEND_BYTES_MAX));

    if (sent >= 0)
        member->sent_bytes += (size_t)sent;
    else
        on_closed(crowd, member);
}

/* Returns whether the connection was ended by the process. */
static bool
is_ended(const CrowdMember *member, short events)
{
    char part[4096];
    ssize_t got;

    if ((events & (POLLERR | POLLHUP)) != 0)
        return true;
    if ((events & POLLIN) == 0 || member->ssl != NULL)
        return false;
    do
        got = recv(member->fd, part, sizeof(part), 0);
    while (got > 0);
    return got == 0 || (errno != EAGAIN && errno != EINTR);
}

/* Returns whether anything was sent or closed. */
static bool
poll_once(Crowd *crowd)
{
    struct pollfd *fds = g_new0(struct pollfd, crowd->plan.members);
    bool has_moved = false;

    for (uint32_t i = 0; i < crowd->plan.members; i++) {
        CrowdMember *member = &crowd->list[i];

        if (member->is_refused)
            connect_member(crowd, member);
        fds[i].fd = member->fd;
        fds[i].events = POLLIN;
        if (member->sent_bytes < total_bytes(crowd, member))
            fds[i].events |= POLLOUT;
    }
    poll(fds, crowd->plan.members, POLL_MS);
    for (uint32_t i = 0; i < crowd->plan.members; i++) {
        CrowdMember *member = &crowd->list[i];
        size_t sent_bytes = member->sent_bytes;
        uint32_t closed = crowd->closed;

        if (member->fd < 0 || fds[i].revents == 0)
            continue;
        if (is_ended(member, fds[i].revents))
            on_closed(crowd, member);
        else if ((fds[i].revents & POLLOUT) != 0)
            send_part(crowd, member);
        has_moved |=
            member->sent_bytes != sent_bytes || crowd->closed != closed;
    }
    g_free(fds);
    return has_moved;
}

void
Crowd_Run(Crowd *crowd)
{
    uint64_t began_us = BwClock_Now();
    uint64_t moved_us = began_us;

    while (BwClock_Now() - moved_us < CROWD_SETTLED_MS * 1000 &&
           BwClock_Now() - began_us < RUN_MAX_MS * 1000ull) {
        if (poll_once(crowd))
            moved_us = BwClock_Now();
    }
}

void
Crowd_RunFor(Crowd *crowd, uint32_t time_ms)
{
    uint64_t end_us = BwClock_Now() + time_ms * 1000ull;

    while (BwClock_Now() < end_us)
        poll_once(crowd);
}

void
Crowd_Finish(Crowd *crowd)
{
    for (uint32_t i = 0; i < crowd->plan.members; i++) {
        close_member(&crowd->list[i]);
        g_free(crowd->list[i].head);
    }
    g_free(crowd->list);
}

/* ----------------------------------------------------------- processes */

uint64_t
Crowd_PeakBytes(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/status", (int)pid);
    char *text = NULL;
    const char *line;
    uint64_t kb;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    line = strstr(text, "VmHWM:");
    g_assert_nonnull(line);
    kb = g_ascii_strtoull(line + strlen("VmHWM:"), NULL, 10);
    g_free(text);
    g_free(path);
    return kb * 1024;
}

uint64_t
Crowd_UnreadBytes(uint32_t port)
{
    char *text = NULL;
    uint64_t total = 0;

    g_assert_true(g_file_get_contents("/proc/net/tcp", &text, NULL, NULL));
    for (const char *line = strchr(text, '\n'); line != NULL;
         line = strchr(line + 1, '\n')) {
        unsigned local_port, unread;

        if (sscanf(line + 1, " %*u: %*x:%x %*x:%*x %*x %*x:%x", &local_port,
                   &unread) == 2 &&
            local_port == port)
            total += unread;
    }
    g_free(text);
    return total;
}

bool
Crowd_IsAsleep(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
    char *text = NULL;
    const char *state;
    bool is_asleep;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    state = strrchr(text, ')');
    g_assert_nonnull(state);
    is_asleep = state[2] == 'S';
    g_free(text);
    g_free(path);
    return is_asleep;
}

uint32_t
Crowd_CountDescriptors(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
    GDir *dir = g_dir_open(path, 0, NULL);
    uint32_t count = 0;

    g_assert_nonnull(dir);
    while (g_dir_read_name(dir) != NULL)
        count++;
    g_dir_close(dir);
    g_free(path);
    return count;
}

/* ----------------------------------------------------------------- TLS */

#define EC_KEY                                                                \
    "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 "     \
    "-nodes -days 2 "

static void
run_openssl(char *command)
{
    int status = 1;

    g_assert_true(
        g_spawn_command_line_sync(command, NULL, NULL, &status, NULL));
    g_assert_cmpint(status, ==, 0);
    g_free(command);
}

void
CrowdTls_Init(CrowdTls *tls)
{
    char *dir = g_dir_make_tmp("brasswing-XXXXXX", NULL);

    tls->dir = dir;
    tls->authority = g_strdup_printf("%s/ca.pem", dir);
    tls->certificate = g_strdup_printf("%s/entry.pem", dir);
    tls->key = g_strdup_printf("%s/entry.key", dir);
    run_openssl(g_strdup_printf(EC_KEY "-subj /CN=callers -keyout %s/ca.key "
                                       "-out %s",
                                dir, tls->authority));
    run_openssl(g_strdup_printf(
        EC_KEY "-subj /CN=entry -addext subjectAltName=DNS:localhost "
               "-CA %s -CAkey %s/ca.key -keyout %s -out %s",
        tls->authority, dir, tls->key, tls->certificate));
    tls->context = BwTls_MakeClientContext(tls->authority);
    g_assert_nonnull(tls->context);
}

void
CrowdTls_Finish(CrowdTls *tls)
{
    char *ca_key = g_strdup_printf("%s/ca.key", tls->dir);

    SSL_CTX_free(tls->context);
    g_unlink(ca_key);
    g_unlink(tls->authority);
    g_unlink(tls->certificate);
    g_unlink(tls->key);
    g_rmdir(tls->dir);
    g_free(ca_key);
    g_free(tls->authority);
    g_free(tls->certificate);
    g_free(tls->key);
    g_free(tls->dir);
}
