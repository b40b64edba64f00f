/* tls.c -- TLS contexts for callers and between brasswingd processes

   The files' states are polled once a second.  New contexts replace the
   previous ones only when every file was read, so a half-written certificate
   changes nothing.  After a failed load the files are loaded again at every
   poll, since a file that is still being written may end with the modification
   time that it had when the change was first detected.

   A connection holds no reference count of its context until its handshake has
   begun, so a replaced context is kept for longer than a connection may wait
   for its handshake.

   The protocol is TLS 1.2 without session resumption.  H2o 2.2 does not
   deliver bytes that arrive together with the message that ends a handshake.
   With TLS 1.3 or resumption, the client's first request arrives so, and it
   would wait until the client sends more.
*/

#include <stdio.h>
#include <string.h>

#include <h2o.h>
#include <openssl/err.h>

#include "tls.h"

#define POLL_US 1000000
#define RETIRED_KEPT_US 60000000 /* above any handshake's timeout */

static SSL_CTX *
fail(BwTls *tls, SSL_CTX *context, const char *path, const char *remedy)
{
    unsigned long code = ERR_get_error();
    const char *cause = ERR_reason_error_string(code);

    snprintf(tls->fault, sizeof(tls->fault), "%.160s: %.60s; %s", path,
             cause != NULL ? cause : "cannot be read", remedy);
    ERR_clear_error();
    SSL_CTX_free(context);
    return NULL;
}

static SSL_CTX *
make_context(BwTls *tls, const SSL_METHOD *method, const char *certificate,
             const char *key)
{
    SSL_CTX *context = SSL_CTX_new(method);

    if (context == NULL)
        return fail(tls, NULL, certificate, "free some memory");
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    SSL_CTX_set_max_proto_version(context, TLS1_2_VERSION);
    SSL_CTX_set_options(context, SSL_OP_NO_TICKET);
    SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
    if (SSL_CTX_use_certificate_chain_file(context, certificate) != 1)
        return fail(tls, context, certificate,
                    "give a PEM file with the certificate chain");
    if (SSL_CTX_use_PrivateKey_file(context, key, SSL_FILETYPE_PEM) != 1)
        return fail(tls, context, key, "give the PEM key of the certificate");
    return context;
}

static SSL_CTX *
make_peer_context(BwTls *tls, const SSL_METHOD *method)
{
    const BwTlsFiles *files = &tls->settings->peer_tls;
    SSL_CTX *context =
        make_context(tls, method, files->certificate, files->key);

    if (context == NULL)
        return NULL;
    if (SSL_CTX_load_verify_locations(context, files->authority, NULL) != 1)
        return fail(tls, context, files->authority,
                    "give the PEM certificate of the authority");
    SSL_CTX_set_verify(
        context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, NULL);
    return context;
}

static void
free_retired(BwRetiredTls *retired)
{
    SSL_CTX_free(retired->callers);
    SSL_CTX_free(retired->peer_server);
    SSL_CTX_free(retired->peer_client);
    memset(retired, 0, sizeof(*retired));
}

/* Frees the contexts whose time is over.  Returns an unused record for the
   contexts that are about to be replaced, or NULL when all are in use. */
static BwRetiredTls *
find_unused_record(BwTls *tls, uint64_t now_us)
{
    BwRetiredTls *unused = NULL;

    for (int i = 0; i < BW_RETIRED_TLS_MAX; i++) {
        BwRetiredTls *retired = &tls->retired[i];

        if (retired->free_at_us != 0 && now_us >= retired->free_at_us)
            free_retired(retired);
        if (retired->free_at_us == 0)
            unused = retired;
    }
    return unused;
}

static bool
load(BwTls *tls, BwRetiredTls *unused, uint64_t now_us)
{
    const BwSettings *settings = tls->settings;
    SSL_CTX *callers = NULL;
    SSL_CTX *server = NULL;
    SSL_CTX *client = NULL;

    if (settings->tls.certificate[0] != '\0') {
        callers = make_context(tls, TLS_server_method(),
                               settings->tls.certificate, settings->tls.key);
        if (callers == NULL)
            goto fail;
        h2o_ssl_register_alpn_protocols(callers, h2o_alpn_protocols);
    }
    if (settings->peer_tls.certificate[0] != '\0') {
        server = make_peer_context(tls, TLS_server_method());
        client = make_peer_context(tls, TLS_client_method());
        if (server == NULL || client == NULL)
            goto fail;
    }
    unused->callers = tls->callers;
    unused->peer_server = tls->peer_server;
    unused->peer_client = tls->peer_client;
    unused->free_at_us = now_us + RETIRED_KEPT_US;
    tls->callers = callers;
    tls->peer_server = server;
    tls->peer_client = client;
    return true;

fail:
    SSL_CTX_free(callers);
    SSL_CTX_free(server);
    SSL_CTX_free(client);
    return false;
}

/* Returns whether a file differs from the last poll.  A missing file counts as
   one that is being replaced. */
static bool
poll_files(BwTls *tls)
{
    const BwSettings *settings = tls->settings;
    const char *const paths[BW_TLS_FILES_MAX] = {
        settings->tls.certificate, settings->tls.key,
        settings->peer_tls.certificate, settings->peer_tls.key,
        settings->peer_tls.authority};
    bool is_changed = false;

    for (int i = 0; i < BW_TLS_FILES_MAX; i++) {
        if (paths[i][0] != '\0')
            is_changed |= BwFileState_Update(&tls->files[i], paths[i]);
    }
    return is_changed;
}

bool
BwTls_Init(BwTls *tls, const BwSettings *settings)
{
    memset(tls, 0, sizeof(*tls));
    tls->settings = settings;
    poll_files(tls);
    return load(tls, &tls->retired[0], 0);
}

void
BwTls_Finish(BwTls *tls)
{
    for (int i = 0; i < BW_RETIRED_TLS_MAX; i++)
        free_retired(&tls->retired[i]);
    SSL_CTX_free(tls->callers);
    SSL_CTX_free(tls->peer_server);
    SSL_CTX_free(tls->peer_client);
    memset(tls, 0, sizeof(*tls));
}

SSL_CTX *
BwTls_MakeClientContext(const char *authority)
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
BwTls_Tick(BwTls *tls, uint64_t now_us)
{
    BwRetiredTls *unused;

    if (now_us < tls->next_poll_us)
        return false;
    tls->next_poll_us = now_us + POLL_US;
    unused = find_unused_record(tls, now_us);
    if (unused == NULL || (!poll_files(tls) && !tls->is_stale))
        return false;
    tls->fault[0] = '\0';
    tls->is_stale = !load(tls, unused, now_us);
    return !tls->is_stale;
}
