/* call.c -- blocking HTTP requests and reading of files, for the commands

   Each request opens its own connection.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "net.h"
#include "tls.h"

#define HEADER_BYTES_MAX 384
#define FILE_BYTES_MAX (64u * 1024 * 1024)

/* Uses TLS and the token of `options`, or neither when it is NULL. */
static uint32_t
call(const BwCliOptions *options, const char *address, const char *method,
     const char *path, BwSpan body, uint64_t timeout_us,
     BwBlockingReply *reply)
{
    BwBlockingClient http;
    SSL_CTX *context = NULL;
    char host[64];
    char headers[HEADER_BYTES_MAX] = "";
    uint16_t port;

    memset(reply, 0, sizeof(*reply));
    if (address == NULL ||
        !BwNet_SplitAddress(address, host, sizeof(host), &port) || port == 0 ||
        !BwBlockingClient_Init(&http, host, port))
        return 0;
    if (options != NULL && options->authority != NULL) {
        context = BwTls_MakeClientContext(options->authority);
        if (context == NULL) {
            fprintf(stderr, "brasswing: %s is not a PEM certificate\n",
                    options->authority);
            BwBlockingClient_Finish(&http);
            return 0;
        }
        BwHttpClient_UseTls(&http.client, context, options->tls_name);
    }
    if (options != NULL && options->token != NULL)
        snprintf(headers, sizeof(headers), "authorization: Bearer %s\r\n",
                 options->token);
    BwBlockingClient_Request(&http, method, path, headers, body, timeout_us,
                             reply);
    BwBlockingClient_Finish(&http);
    SSL_CTX_free(context);
    return reply->status;
}

static uint32_t
print_no_answer(uint32_t status, const char *address)
{
    if (status == 0)
        fprintf(stderr,
                "brasswing: no answer from '%s'; check that it is HOST:PORT "
                "with an IP address, and that the process runs\n",
                address != NULL ? address : "");
    return status;
}

uint32_t
BwCli_CallQuietly(const char *address, const char *method, const char *path,
                  BwSpan body, uint64_t timeout_us, BwBlockingReply *reply)
{
    return call(NULL, address, method, path, body, timeout_us, reply);
}

uint32_t
BwCli_CallDaemonQuietly(const BwCliOptions *options, const char *address,
                        const char *method, const char *path, BwSpan body,
                        uint64_t timeout_us, BwBlockingReply *reply)
{
    return call(options, address, method, path, body, timeout_us, reply);
}

uint32_t
BwCli_Call(const char *address, const char *method, const char *path,
           BwSpan body, uint64_t timeout_us, BwBlockingReply *reply)
{
    return print_no_answer(
        call(NULL, address, method, path, body, timeout_us, reply), address);
}

uint32_t
BwCli_CallDaemon(const BwCliOptions *options, const char *address,
                 const char *method, const char *path, BwSpan body,
                 BwBlockingReply *reply)
{
    return print_no_answer(
        call(options, address, method, path, body, options->timeout_us, reply),
        address);
}

char *
BwCli_ReadFile(const char *path, uint32_t *size_bytes)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "rb");
    char *text = NULL;
    size_t used = 0;
    size_t capacity = 0;

    if (file == NULL) {
        fprintf(stderr, "brasswing: %s cannot be read; check the path\n",
                path);
        return NULL;
    }
    do {
        char *new_text;

        capacity = capacity ? capacity * 2 : 65536;
        new_text = realloc(text, capacity);
        if (new_text == NULL || capacity > FILE_BYTES_MAX) {
            fprintf(stderr, "brasswing: %s is too large\n", path);
            free(new_text != NULL ? new_text : text);
            text = NULL;
            break;
        }
        text = new_text;
        used += fread(text + used, 1, capacity - 1 - used, file);
    } while (used == capacity - 1);
    if (file != stdin)
        fclose(file);
    if (text != NULL)
        text[used] = '\0';
    *size_bytes = (uint32_t)used;
    return text;
}
