/* partserver.h -- an HTTP server in the test's process that answers in parts

   It takes one connection and one request, and sends what it is told.  The
   event loop is that of the client under test.
*/

#ifndef PARTSERVER_H
#define PARTSERVER_H

#include <stdint.h>

#include <h2o.h>

typedef struct PartServer {
    h2o_loop_t *loop;
    int listener;
    int connection;
    uint16_t port;
} PartServer;

/* Listens on a free port of the loopback interface.  Aborts the test on
   failure, as the other functions do. */
void
PartServer_Init(PartServer *server, h2o_loop_t *loop);

void
PartServer_Finish(PartServer *server);

/* Waits until the server has the client's request. */
void
PartServer_ReceiveRequest(PartServer *server);

/* Sends a part of the answer and lets the client read it. */
void
PartServer_Send(PartServer *server, const char *part);

#endif
