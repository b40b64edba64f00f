/* test_keys.c -- tests authentication: tokens of members, TLS certificates and
   their reload */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <gio/gio.h>
#include <glib/gstdio.h>

#include "brasswing.h"
#include "clock.h"
#include "fleet.h"
#include "tls.h"

#define MEMBER "power-purchase-agency"
#define SERVICE "tarif-engine"

/* The format's arguments are the SHA-256 of "agency-token" and of
   "lonestar-token". */
static const char operators_config_format[] =
    "members:\n"
    "  - name: power-purchase-agency\n"
    "    tokens: [{sha256: "
    "%s}]\n"
    "  - name: lonestar-fareworks\n"
    "    tokens: [{sha256: "
    "%s}]\n"
    "services:\n"
    "  - {name: tarif-engine, member: power-purchase-agency}\n";

static Fleet fleet;
static char *dir;

static void
run_openssl(const char *format, ...)
{
    va_list arguments;
    char *command;
    char *errors = NULL;
    int status = -1;

    va_start(arguments, format);
    command = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_spawn_command_line_sync(command, NULL, &errors, &status, NULL);
    if (status != 0)
        g_error("%s: %s", command, errors);
    g_free(errors);
    g_free(command);
}

/* Creates a certificate authority; make_certificate() signs with it. */
static void
make_authority(const char *name)
{
    run_openssl("openssl req -x509 -newkey ec -pkeyopt "
                "ec_paramgen_curve:prime256v1 -nodes -days 2 -subj /CN=%s "
                "-keyout %s/%s-ca.key -out %s/%s-ca.pem",
                name, dir, name, dir, name);
}

static void
make_certificate(const char *authority, const char *name)
{
    run_openssl("openssl req -x509 -newkey ec -pkeyopt "
                "ec_paramgen_curve:prime256v1 -nodes -days 2 -subj /CN=%s "
                "-addext subjectAltName=DNS:brasswing.internal,DNS:localhost "
                "-CA %s/%s-ca.pem -CAkey %s/%s-ca.key "
                "-keyout %s/%s.key -out %s/%s.pem",
                name, dir, authority, dir, authority, dir, name, dir, name);
}

static char *
peer_tls_lines(const char *authority, const char *name)
{
    return g_strdup_printf("peer_tls: {certificate: %s/%s.pem, "
                           "key: %s/%s.key, authority: %s/%s-ca.pem}\n",
                           dir, name, dir, name, dir, authority);
}

static uint32_t
request(uint32_t port, const char *authority, const char *token,
        const char *method, const char *path, const char *body,
        BwBlockingReply *reply)
{
    char *file = g_strdup_printf("%s/%s-ca.pem", dir, authority);
    SSL_CTX *context = BwTls_MakeClientContext(file);
    char *headers =
        token != NULL ? g_strdup_printf("authorization: Bearer %s\r\n", token)
                      : g_strdup("");
    BwBlockingClient blocking_client;
    uint32_t status;

    g_assert_nonnull(context);
    g_assert_true(
        BwBlockingClient_Init(&blocking_client, "127.0.0.1", (uint16_t)port));
    BwHttpClient_UseTls(&blocking_client.client, context, "localhost");
    status =
        BwBlockingClient_Request(&blocking_client, method, path, headers,
                                 BwSpan_FromString(body), 30000000, reply);
    BwBlockingClient_Finish(&blocking_client);
    SSL_CTX_free(context);
    g_free(headers);
    g_free(file);
    return status;
}

static uint32_t
submit(const char *token, const char *key, const char *expected)
{
    char *job = Fleet_JobText(MEMBER, SERVICE, key, 2, 1000,
                              BwClock_WallNow() + 30000000, "");
    BwBlockingReply reply;
    uint32_t status = request(fleet.entries[0].http_port, "callers", token,
                              "POST", "/v1/jobs", job, &reply);

    if (reply.body != NULL)
        g_assert_nonnull(strstr(reply.body, expected));
    free(reply.body);
    g_free(job);
    return status;
}

static void
test_tokens(void)
{
    uint32_t port = fleet.entries[0].http_port;
    const char *path = "/v1/jobs/" MEMBER "/own";
    uint64_t total, repeated;
    BwBlockingReply reply;

    g_assert_cmpuint(submit(NULL, "none", "\"not_run\""), ==, 401);
    g_assert_cmpuint(submit("guess", "none", "\"unauthenticated\""), ==, 401);
    g_assert_cmpuint(submit("lonestar-token", "none", "\"forbidden\""), ==,
                     403);
    Fleet_CountStarts(&fleet, &total, &repeated);
    g_assert_cmpuint(total, ==, 0);
    g_assert_cmpuint(submit("agency-token", "own", "\"complete\""), ==, 200);
    g_assert_cmpuint(
        request(port, "callers", "lonestar-token", "GET", path, "", &reply),
        ==, 403);
    free(reply.body);
    g_assert_cmpuint(
        request(port, "callers", "lonestar-token", "DELETE", path, "", &reply),
        ==, 403);
    free(reply.body);
    g_assert_cmpuint(
        request(port, "callers", "agency-token", "GET", path, "", &reply), ==,
        200);
    free(reply.body);
}

/* A caller that trusts another authority refuses the entry's certificate, and
   a connection without TLS gets no answer. */
static void
test_wrong_authority(void)
{
    uint32_t port = fleet.entries[0].http_port;
    BwBlockingReply reply;

    g_assert_cmpuint(
        request(port, "stranger", NULL, "GET", "/v1/status", "", &reply), ==,
        0);
    free(reply.body);
    g_assert_cmpuint(Fleet_Request(port, "GET", "/v1/status", "", &reply), ==,
                     0);
    free(reply.body);
}

/* An entry with a certificate of another authority cannot exchange messages
   with the agents, so nothing is run.  It cannot know whether another entry
   has accepted the key, so it does not report that the job was not run. */
static void
test_stranger_process(void)
{
    char *lines = peer_tls_lines("stranger", "stranger");
    char *job = Fleet_JobText(MEMBER, SERVICE, "stranger", 2, 1000,
                              BwClock_WallNow() + 2000000, "");
    Fleet untrusted = fleet;
    uint64_t before, after, repeated;
    BwBlockingReply reply;

    Fleet_CountStarts(&fleet, &before, &repeated);
    untrusted.plan.settings = lines;
    memset(&untrusted.entries[1], 0, sizeof(untrusted.entries[1]));
    Fleet_RestartEntry(&untrusted, 1);
    while (request(untrusted.entries[1].http_port, "callers", NULL, "GET",
                   "/v1/status", "", &reply) == 200 &&
           strstr(reply.body, "\"ready\":true") == NULL) {
        free(reply.body);
        g_usleep(10000);
    }
    free(reply.body);
    g_assert_cmpuint(request(untrusted.entries[1].http_port, "callers",
                             "agency-token", "POST", "/v1/jobs", job, &reply),
                     ==, 504);
    g_assert_nonnull(strstr(reply.body, "\"timed_out_running\""));
    free(reply.body);
    Fleet_CountStarts(&fleet, &after, &repeated);
    g_assert_cmpuint(after, ==, before);
    Fleet_Signal(&untrusted.entries[1], SIGKILL);
    g_free(lines);
    g_free(job);
}

/* Opens a connection on which nothing is sent yet. */
static GSocketConnection *
open_idle(uint32_t port)
{
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *connection = g_socket_client_connect_to_host(
        client, "127.0.0.1", (guint16)port, NULL, NULL);

    g_assert_nonnull(connection);
    g_object_unref(client);
    return connection;
}

/* New certificate files are loaded without a restart.  A connection that was
   opened before the reload and sends its first bytes after it must not disturb
   the entry. */
static void
test_reload(void)
{
    uint32_t port = fleet.entries[0].http_port;
    BwBlockingReply reply;
    uint32_t status = 0;
    GSocketConnection *idle = open_idle(port);

    make_authority("callers");
    make_certificate("callers", "entry");
    for (int attempt = 0; attempt < 1000 && status != 200; attempt++) {
        status =
            request(port, "callers", NULL, "GET", "/v1/status", "", &reply);
        free(reply.body);
        g_usleep(10000);
    }
    g_assert_cmpuint(status, ==, 200);
    g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(idle)),
                              "\x16\x03\x01", 3, NULL, NULL, NULL);
    g_object_unref(idle);
    g_assert_cmpuint(submit("agency-token", "reloaded", "\"complete\""), ==,
                     200);
}

static char *
hash_token(const char *token)
{
    return g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
}

static void
start_fleet(void)
{
    char *peer_lines = peer_tls_lines("peers", "peer");
    char *agency = hash_token("agency-token");
    char *lonestar = hash_token("lonestar-token");
    char *text = g_strdup_printf(operators_config_format, agency, lonestar);
    char *entry_lines = g_strdup_printf(
        "tls: {certificate: %s/entry.pem, key: %s/entry.key}\n", dir, dir);
    FleetPlan plan = {.agents = 3,
                      .entries = 1,
                      .slots = 4,
                      .run_us = 1000,
                      .services = SERVICE,
                      .settings = peer_lines,
                      .entry_settings = entry_lines,
                      .text = text};

    plan.authority = g_strdup_printf("%s/callers-ca.pem", dir);
    Fleet_Init(&fleet, &plan);
    g_free(agency);
    g_free(lonestar);
}

int
main(int argc, char **argv)
{
    char *remove_argv[] = {"/bin/rm", "-rf", NULL, NULL};
    int code;

    g_test_init(&argc, &argv, NULL);
    dir = g_dir_make_tmp("brasswing-keys-XXXXXX", NULL);
    make_authority("callers");
    make_authority("peers");
    make_authority("stranger");
    make_certificate("callers", "entry");
    make_certificate("peers", "peer");
    make_certificate("stranger", "stranger");
    start_fleet();
    g_test_add_func("/keys/tokens", test_tokens);
    g_test_add_func("/keys/wrong-authority", test_wrong_authority);
    g_test_add_func("/keys/stranger-process", test_stranger_process);
    g_test_add_func("/keys/reload", test_reload);
    code = g_test_run();
    Fleet_Finish(&fleet);
    remove_argv[2] = dir;
    g_spawn_sync(NULL, remove_argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL,
                 NULL, NULL, NULL);
    return code;
}
