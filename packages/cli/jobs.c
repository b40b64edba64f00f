/* jobs.c -- the commands submit and cancel */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

static BwExit
print_reply(const BwCliOptions *options, BwBlockingReply *reply)
{
    json_t *root = json_loadb(reply->body, reply->body_bytes, 0, NULL);
    const char *state = json_string_value(json_object_get(root, "state"));
    json_t *answers = json_object_get(root, "answers");
    BwExit code = reply->status < 300 ? BW_EXIT_OK : BW_EXIT_FAILED;

    if (strcmp(options->output, "json") == 0 || state == NULL)
        printf("%s\n", reply->body);
    else if (code == BW_EXIT_OK && answers != NULL)
        printf("job complete: %zu/%zu tasks\n", json_array_size(answers),
               json_array_size(answers));
    else if (code == BW_EXIT_OK)
        printf("job %s\n", state);
    else
        printf("job failed: %s (%s): %s; %s\n",
               json_string_value(json_object_get(root, "error")),
               json_string_value(json_object_get(root, "ran")),
               json_string_value(json_object_get(root, "detail")),
               json_string_value(json_object_get(root, "remedy")));
    json_decref(root);
    free(reply->body);
    return code;
}

BwExit
BwCli_Submit(const BwCliOptions *options)
{
    BwBlockingReply reply;
    BwSpan body = {NULL, 0};
    char *text = BwCli_ReadFile(options->argv[0], &body.size_bytes);
    uint32_t status;

    if (text == NULL)
        return BW_EXIT_USAGE;
    body.base = text;
    status = BwCli_CallDaemon(options, options->entry, "POST", "/v1/jobs",
                              body, &reply);
    free(text);
    if (status == 0)
        return BW_EXIT_NO_ANSWER;
    return print_reply(options, &reply);
}

BwExit
BwCli_Cancel(const BwCliOptions *options)
{
    BwBlockingReply reply;
    BwSpan none = {"", 0};
    char path[512];

    snprintf(path, sizeof(path), "/v1/jobs/%s/%s",
             options->member != NULL ? options->member : "-",
             options->argv[0]);
    if (BwCli_CallDaemon(options, options->entry, "DELETE", path, none,
                         &reply) == 0)
        return BW_EXIT_NO_ANSWER;
    return print_reply(options, &reply);
}
