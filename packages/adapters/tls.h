/* tls.h -- TLS contexts for callers and between brasswingd processes

   To callers a process presents a certificate.  Between processes, TLS is
   mutual: both sides present a certificate signed by the authority that all
   of them trust, and a connection without one is refused.

   The files are read again when they change, without a restart.  Open
   connections keep the certificate and key that they started with; new
   connections use the new ones.

   The main thread of brasswingd owns the contexts and polls for changes; the
   command line makes a client context only.
*/

#ifndef BW_TLS_H
#define BW_TLS_H

#include <stdbool.h>
#include <stdint.h>

#include <openssl/ssl.h>

#include "filestate.h"
#include "settings.h"

/* The name that a certificate between brasswingd processes must carry. */
#define BW_PEER_CERTIFICATE_NAME "brasswing.internal"

#define BW_TLS_FILES_MAX 5
#define BW_RETIRED_TLS_MAX 8

/* Contexts that were replaced.  New connections no longer use them. */
typedef struct BwRetiredTls {
    SSL_CTX *callers;
    SSL_CTX *peer_server;
    SSL_CTX *peer_client;
    uint64_t free_at_us; /* 0: the record is unused */
} BwRetiredTls;

typedef struct BwTls {
    const BwSettings *settings;
    SSL_CTX *callers;     /* NULL: plain HTTP */
    SSL_CTX *peer_server; /* NULL: plain TCP between processes */
    SSL_CTX *peer_client;
    BwRetiredTls retired[BW_RETIRED_TLS_MAX];
    uint64_t next_poll_us;
    BwFileState files[BW_TLS_FILES_MAX];
    /* The last load failed: the files differ from what is in use. */
    bool is_stale;
    char fault[320]; /* fault of the last load; empty: none */
} BwTls;

/* Loads the files that the settings name; `settings` must outlive `tls`.
   Returns false with tls->fault saying which file is wrong and what to do. */
bool
BwTls_Init(BwTls *tls, const BwSettings *settings);

void
BwTls_Finish(BwTls *tls);

/* Makes a context for a client that trusts the authority in a PEM file.  The
   caller releases it with SSL_CTX_free.  Returns NULL when the file cannot be
   read. */
SSL_CTX *
BwTls_MakeClientContext(const char *authority);

/* Polls the files at most once a second and loads them again if one of them
   changed or the last load failed.  Returns true when new contexts are in use.
   Returns false otherwise; after a failed load tls->fault is set and the
   previous contexts stay in use. */
bool
BwTls_Tick(BwTls *tls, uint64_t now_us);

#endif
