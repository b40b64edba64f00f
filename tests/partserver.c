/* partserver.c -- an HTTP server in the test's process that answers in parts,
   see partserver.h */

#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <glib.h>

#include "partserver.h"

#define LOOP_WAIT_MS 100
#define LOOP_RUNS 3 /* to read a part that has arrived */

void
PartServer_Init(PartServer *server, h2o_loop_t *loop)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);

    server->loop = loop;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(server->listener, >=, 0);
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, length), ==, 0);
    g_assert_cmpint(listen(server->listener, 1), ==, 0);
    g_assert_cmpint(
        getsockname(server->listener, (struct sockaddr *)&address, &length),
        ==, 0);
    server->port = ntohs(address.sin_port);
}

void
PartServer_Finish(PartServer *server)
{
    close(server->connection);
    close(server->listener);
}

void
PartServer_ReceiveRequest(PartServer *server)
{
    char request[512];
    ssize_t size = -1;

    server->connection = accept(server->listener, NULL, NULL);
    g_assert_cmpint(server->connection, >=, 0);
    while (size < 0) {
        h2o_evloop_run(server->loop, LOOP_WAIT_MS);
        size =
            recv(server->connection, request, sizeof(request), MSG_DONTWAIT);
    }
    g_assert_cmpint(size, >, 0);
}

void
PartServer_Send(PartServer *server, const char *part)
{
    g_assert_cmpint(send(server->connection, part, strlen(part), MSG_NOSIGNAL),
                    ==, (ssize_t)strlen(part));
    for (int i = 0; i < LOOP_RUNS; i++)
        h2o_evloop_run(server->loop, LOOP_WAIT_MS);
}
