/* crowd.h -- many connections that misbehave, and what a process holds

   Each connection of a crowd sends a text and stays open.  One thread serves
   them all with poll().  A crowd has settled when no connection has sent or
   been closed for CROWD_SETTLED_MS.  The functions for processes read /proc.
*/

#ifndef BW_CROWD_H
#define BW_CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <openssl/ssl.h>

#define CROWD_SETTLED_MS 700

typedef struct CrowdMember {
    int fd;
    SSL *ssl;   /* NULL: plain TCP */
    char *head; /* sent before the plan's body */
    size_t head_bytes;
    size_t sent_bytes;
    uint32_t returns;
    bool is_refused; /* no process listens; it tries again */
} CrowdMember;

typedef struct CrowdPlan {
    uint32_t port;
    uint32_t members;
    /* Returns the head of a member, which the crowd frees with g_free(). */
    char *(*make_head)(uint32_t member);
    const char *body; /* may contain zero bytes; the same for all */
    size_t body_bytes;
    /* How often a member whose connection was closed connects again at once
       and sends all from the start. */
    uint32_t returns;
    SSL_CTX *tls; /* the members speak TLS; NULL: plain TCP */
} CrowdPlan;

typedef struct Crowd {
    CrowdPlan plan;
    CrowdMember *list;
    uint32_t closed; /* connections that the process closed */
} Crowd;

/* Connects all members.  Crowd_Finish closes what is still open. */
void
Crowd_Init(Crowd *crowd, const CrowdPlan *plan);

/* Sends until the crowd has settled. */
void
Crowd_Run(Crowd *crowd);

/* Sends and receives what is possible for a time. */
void
Crowd_RunFor(Crowd *crowd, uint32_t time_ms);

void
Crowd_Finish(Crowd *crowd);

/* A certificate for "localhost" and its authority, made with openssl in a
   folder of its own. */
typedef struct CrowdTls {
    char *dir;
    char *authority; /* PEM files */
    char *certificate;
    char *key;
    SSL_CTX *context; /* of the clients */
} CrowdTls;

void
CrowdTls_Init(CrowdTls *tls);

void
CrowdTls_Finish(CrowdTls *tls);

/* The most memory that a process has had resident, in bytes. */
uint64_t
Crowd_PeakBytes(pid_t pid);

/* Bytes that the system has received for connections to the port and that no
   process has read. */
uint64_t
Crowd_UnreadBytes(uint32_t port);

/* Whether a process waits for an event right now. */
bool
Crowd_IsAsleep(pid_t pid);

/* Open descriptors of a process. */
uint32_t
Crowd_CountDescriptors(pid_t pid);

#endif
