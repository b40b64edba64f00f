/* keys.h -- TLS towards callers and between the system's processes

   Towards callers a process shows a certificate; between processes both
   sides show one, signed by the authority that all of them trust, and a
   process without one is not talked to.  The files are read again when they
   change, without a restart: connections that are open keep their keys, new
   ones use the new.
*/

#ifndef BW_KEYS_H
#define BW_KEYS_H

#include <stdbool.h>
#include <stdint.h>

#include <openssl/ssl.h>

#include "filestate.h"
#include "settings.h"

/* The name that certificates of the system's processes carry. */
#define BW_PEER_CERTIFICATE_NAME "brasswing.internal"

#define BW_KEY_FILES_MAX 5
#define BW_RETIRED_KEYS_MAX 8

/* Contexts that new connections no longer use. */
typedef struct BwRetiredKeys {
    SSL_CTX *callers;
    SSL_CTX *peer_server;
    SSL_CTX *peer_client;
    uint64_t free_at_us; /* 0: the place is empty */
} BwRetiredKeys;

typedef struct BwKeys {
    const BwSettings *settings;
    SSL_CTX *callers;     /* NULL: plain HTTP */
    SSL_CTX *peer_server; /* NULL: plain TCP between processes */
    SSL_CTX *peer_client;
    BwRetiredKeys retired[BW_RETIRED_KEYS_MAX];
    uint64_t check_at_us;
    BwFileState files[BW_KEY_FILES_MAX];
    bool is_stale; /* the files differ from the keys in force */
    char fault[320];
} BwKeys;

/* Reads the files that the settings name.  Returns false with keys->fault
   saying which file is wrong and what to do. */
bool
BwKeys_Init(BwKeys *keys, const BwSettings *settings);

void
BwKeys_Finish(BwKeys *keys);

/* Makes a context for a client that trusts the authority in a PEM file.
   Returns NULL when the file cannot be read; SSL_CTX_free it. */
SSL_CTX *
BwKeys_ClientContext(const char *authority);

/* Reads the files again if one of them changed.  Returns true when new keys
   are in force; with keys->fault set, the former ones stay. */
bool
BwKeys_Tick(BwKeys *keys, uint64_t now_us);

#endif
