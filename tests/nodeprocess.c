/* nodeprocess.c -- starts and ends dispatchers and supervisors as real
   processes */

#include <signal.h>
#include <string.h>

#include <glib/gstdio.h>

#include "nodeprocess.h"

static uint32_t
read_port(const char *line, const char *field)
{
    const char *value = strstr(line, field);

    g_assert_nonnull(value);
    return (uint32_t)g_ascii_strtoull(value + strlen(field), NULL, 10);
}

void
Node_Start(Node *node, const char *dir, const char *name, const char *settings)
{
    GError *error = NULL;
    GDataInputStream *lines;
    char *line;

    node->settings_path = g_strdup_printf("%s/%s.yaml", dir, name);
    g_assert_true(
        g_file_set_contents(node->settings_path, settings, -1, NULL));
    node->process = g_subprocess_new(G_SUBPROCESS_FLAGS_STDERR_PIPE, &error,
                                     BW_DAEMON_PATH, "--settings",
                                     node->settings_path, NULL);
    g_assert_no_error(error);
    lines =
        g_data_input_stream_new(g_subprocess_get_stderr_pipe(node->process));
    g_filter_input_stream_set_close_base_stream(G_FILTER_INPUT_STREAM(lines),
                                                FALSE);
    do {
        line = g_data_input_stream_read_line(lines, NULL, NULL, &error);
        g_assert_no_error(error);
        g_assert_nonnull(line);
        if (strstr(line, " started ") != NULL)
            break;
        g_free(line);
    } while (TRUE);
    node->http_port = read_port(line, "http_port=");
    node->ready_port = read_port(line, "ready_port=");
    node->peer_port = read_port(line, "peer_port=");
    node->metrics_port = read_port(line, "metrics_port=");
    g_free(line);
    g_object_unref(lines);
}

void
Node_Finish(Node *node)
{
    g_subprocess_send_signal(node->process, SIGKILL);
    g_subprocess_wait(node->process, NULL, NULL);
    g_object_unref(node->process);
    g_remove(node->settings_path);
    g_free(node->settings_path);
}
