/* keys.c -- TLS towards callers and between the system's processes

   A change is seen by the files' states, looked at once a second.
   New contexts replace the former ones only when every file was read, so a
   half-written certificate changes nothing.  After a failed reading the files
   are read at every look, since a file that is still being written may end
   with the time it had when it was first seen.

   A connection refers to its context without a count until its handshake has
   begun, so a replaced context is kept for longer than a connection may wait.

   The protocol is TLS 1.2 without resumption.  H2o 2.2 does not deliver bytes
   that arrive together with the message that ends a handshake, and with
   TLS 1.3 or resumption the client's first request does: it would wait until
   the client sends more.
*/

#include <stdio.h>
#include <string.h>

#include <h2o.h>
#include <openssl/err.h>

#include "keys.h"

#define CHECK_US 1000000
#define RETIRED_US 60000000 /* above any handshake's timeout */

static SSL_CTX *
fail(BwKeys *keys, SSL_CTX *context, const char *path, const char *remedy)
{
    unsigned long code = ERR_get_error();
    const char *cause = ERR_reason_error_string(code);

    snprintf(keys->fault, sizeof(keys->fault), "%.160s: %.60s; %s", path,
             cause != NULL ? cause : "cannot be read", remedy);
    ERR_clear_error();
    SSL_CTX_free(context);
    return NULL;
}

static SSL_CTX *
make_context(BwKeys *keys, const SSL_METHOD *method, const char *certificate,
             const char *key)
{
    SSL_CTX *context = SSL_CTX_new(method);

    if (context == NULL)
        return fail(keys, NULL, certificate, "free some memory");
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    SSL_CTX_set_max_proto_version(context, TLS1_2_VERSION);
    SSL_CTX_set_options(context, SSL_OP_NO_TICKET);
    SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
    if (SSL_CTX_use_certificate_chain_file(context, certificate) != 1)
        return fail(keys, context, certificate,
                    "give a PEM file with the certificate chain");
    if (SSL_CTX_use_PrivateKey_file(context, key, SSL_FILETYPE_PEM) != 1)
        return fail(keys, context, key, "give the PEM key of the certificate");
    return context;
}

static SSL_CTX *
make_peer_context(BwKeys *keys, const SSL_METHOD *method)
{
    const BwTlsFiles *files = &keys->settings->peer_tls;
    SSL_CTX *context =
        make_context(keys, method, files->certificate, files->key);

    if (context == NULL)
        return NULL;
    if (SSL_CTX_load_verify_locations(context, files->authority, NULL) != 1)
        return fail(keys, context, files->authority,
                    "give the PEM certificate of the authority");
    SSL_CTX_set_verify(
        context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, NULL);
    return context;
}

static void
free_retired(BwRetiredKeys *retired)
{
    SSL_CTX_free(retired->callers);
    SSL_CTX_free(retired->peer_server);
    SSL_CTX_free(retired->peer_client);
    memset(retired, 0, sizeof(*retired));
}

/* Returns a place for contexts to be replaced, NULL when all are taken. */
static BwRetiredKeys *
find_place(BwKeys *keys, uint64_t now_us)
{
    BwRetiredKeys *place = NULL;

    for (int i = 0; i < BW_RETIRED_KEYS_MAX; i++) {
        BwRetiredKeys *retired = &keys->retired[i];

        if (retired->free_at_us != 0 && now_us >= retired->free_at_us)
            free_retired(retired);
        if (retired->free_at_us == 0)
            place = retired;
    }
    return place;
}

static bool
load(BwKeys *keys, BwRetiredKeys *place, uint64_t now_us)
{
    const BwSettings *settings = keys->settings;
    SSL_CTX *callers = NULL;
    SSL_CTX *server = NULL;
    SSL_CTX *client = NULL;

    if (settings->tls.certificate[0] != '\0') {
        callers = make_context(keys, TLS_server_method(),
                               settings->tls.certificate, settings->tls.key);
        if (callers == NULL)
            goto fail;
        h2o_ssl_register_alpn_protocols(callers, h2o_alpn_protocols);
    }
    if (settings->peer_tls.certificate[0] != '\0') {
        server = make_peer_context(keys, TLS_server_method());
        client = make_peer_context(keys, TLS_client_method());
        if (server == NULL || client == NULL)
            goto fail;
    }
    place->callers = keys->callers;
    place->peer_server = keys->peer_server;
    place->peer_client = keys->peer_client;
    place->free_at_us = now_us + RETIRED_US;
    keys->callers = callers;
    keys->peer_server = server;
    keys->peer_client = client;
    return true;

fail:
    SSL_CTX_free(callers);
    SSL_CTX_free(server);
    SSL_CTX_free(client);
    return false;
}

/* Looks at the files.  Returns whether one differs from before; one that is
   missing is being replaced. */
static bool
look_at_files(BwKeys *keys)
{
    const BwSettings *settings = keys->settings;
    const char *const paths[BW_KEY_FILES_MAX] = {
        settings->tls.certificate, settings->tls.key,
        settings->peer_tls.certificate, settings->peer_tls.key,
        settings->peer_tls.authority};
    bool is_changed = false;

    for (int i = 0; i < BW_KEY_FILES_MAX; i++) {
        if (paths[i][0] != '\0')
            is_changed |= BwFileState_Look(&keys->files[i], paths[i]);
    }
    return is_changed;
}

bool
BwKeys_Init(BwKeys *keys, const BwSettings *settings)
{
    memset(keys, 0, sizeof(*keys));
    keys->settings = settings;
    look_at_files(keys);
    return load(keys, &keys->retired[0], 0);
}

void
BwKeys_Finish(BwKeys *keys)
{
    for (int i = 0; i < BW_RETIRED_KEYS_MAX; i++)
        free_retired(&keys->retired[i]);
    SSL_CTX_free(keys->callers);
    SSL_CTX_free(keys->peer_server);
    SSL_CTX_free(keys->peer_client);
    memset(keys, 0, sizeof(*keys));
}

SSL_CTX *
BwKeys_ClientContext(const char *authority)
{
    SSL_CTX *context = SSL_CTX_new(TLS_client_method());

    if (context == NULL)
        return NULL;
    if (SSL_CTX_load_verify_locations(context, authority, NULL) != 1) {
        SSL_CTX_free(context);
        return NULL;
    }
    SSL_CTX_set_verify(context, SSL_VERIFY_PEER, NULL);
    return context;
}

bool
BwKeys_Tick(BwKeys *keys, uint64_t now_us)
{
    BwRetiredKeys *place;

    if (now_us < keys->check_at_us)
        return false;
    keys->check_at_us = now_us + CHECK_US;
    place = find_place(keys, now_us);
    if (place == NULL || (!look_at_files(keys) && !keys->is_stale))
        return false;
    keys->fault[0] = '\0';
    keys->is_stale = !load(keys, place, now_us);
    return !keys->is_stale;
}
