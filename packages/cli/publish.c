/* publish.c -- publishes an operators' configuration

   A publication is a record on the platform's log that names the revision that
   it replaces and carries a publish id.  The answer to an append is not relied
   on: the log is read until the record is found, and the rule that every node
   applies then says whether it was accepted.  An append is repeated only after
   the log was read to its end without the record.  If a slow first copy
   arrives after all, the second one names a base that is no longer in force
   and changes nothing.

   A list of the nodes may be incomplete, for example when the deadline cuts it
   short.  So a node that was listed once is counted from then on, and the
   configuration is reported as in force everywhere only if at least one list
   was complete.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "clock.h"
#include "confighistory.h"

#define APPEND_TIMEOUT_US 5000000
#define RETRY_US 100000
#define POLL_US 20000
#define OUTDATED_NODES_SHOWN 20
/* The value of `base` without --base. */
#define NO_BASE UINT64_MAX

typedef struct Publication {
    const BwCliOptions *options;
    const char *text;
    char id[BW_NAME_BYTES_MAX];
    uint64_t base;
    uint64_t deadline_us;
    BwConfigHistory history;
} Publication;

static uint64_t
time_left(const Publication *publication)
{
    uint64_t now_us = BwClock_Now();

    return publication->deadline_us > now_us
               ? publication->deadline_us - now_us
               : 0;
}

static void
append_once(const Publication *publication)
{
    const BwCliOptions *options = publication->options;
    json_t *record = BwConfigLog_MakeConfig(publication->id, publication->base,
                                            options->author, BwClock_WallNow(),
                                            publication->text);
    char *body = json_dumps(record, JSON_COMPACT);
    uint64_t timeout_us = time_left(publication);
    char path[128];
    BwBlockingReply reply;

    json_decref(record);
    if (body == NULL)
        return;
    if (timeout_us > APPEND_TIMEOUT_US)
        timeout_us = APPEND_TIMEOUT_US;
    snprintf(path, sizeof(path), "/v1/streams/%s/records", options->stream);
    BwCli_CallQuietly(options->log, "POST", path, BwSpan_FromString(body),
                      timeout_us, &reply);
    free(body);
    free(reply.body);
}

static void
print_outcome_unknown(const Publication *publication)
{
    fprintf(stderr,
            "brasswing: the log did not answer in time, and the configuration "
            "may still come into force; repeat the command with --base %llu "
            "--publish-id %s to find out\n",
            (unsigned long long)publication->base, publication->id);
}

/* Reads the log until it holds the record of this publication, and appends the
   record while it does not.  Returns NULL at the deadline. */
static const BwHistoryRecord *
append_until_found(Publication *publication)
{
    const BwHistoryRecord *found = NULL;
    bool is_appended = false;

    while (time_left(publication) > 0) {
        if (BwConfigHistory_ReadToEnd(&publication->history,
                                      publication->options,
                                      publication->deadline_us)) {
            found = BwConfigHistory_FindPublication(&publication->history,
                                                    publication->id);
            if (found != NULL)
                return found;
            if (is_appended)
                usleep(RETRY_US);
            append_once(publication);
            is_appended = true;
            continue;
        }
        usleep(RETRY_US);
    }
    return NULL;
}

/* Prints the revisions that were accepted since the base, and the remedy. */
static BwExit
report_conflict(const Publication *publication)
{
    const BwRevision *revision = &publication->history.config.revision;

    fprintf(stderr,
            "brasswing: refused: the configuration was based on revision "
            "%llu, but revision %llu is in force\n",
            (unsigned long long)publication->base,
            (unsigned long long)revision->number);
    for (uint64_t n = publication->base + 1; n <= revision->number; n++) {
        const BwHistoryRecord *record =
            BwConfigHistory_FindRevision(&publication->history, n);

        if (record != NULL)
            fprintf(stderr, "  revision %llu by %s, publish id %s\n",
                    (unsigned long long)n,
                    record->author[0] != '\0' ? record->author : "-",
                    record->publish_id);
    }
    fprintf(stderr,
            "see what changed with `brasswing diff %llu %llu`, carry your "
            "change over to `brasswing show` and publish with --base %llu\n",
            (unsigned long long)publication->base,
            (unsigned long long)revision->number,
            (unsigned long long)revision->number);
    return BW_EXIT_CONFLICT;
}

/* ----------------------------------------------------------- in force */

/* Adds listed nodes to `known_nodes`, an object by role and name; a newer row
   replaces the older one, unless it is second-hand: the deadline may cut off
   the request to a node whose revision is known already. */
static void
add_nodes(json_t *known_nodes, const json_t *nodes)
{
    json_t *node;
    size_t index;
    char name[BW_NAME_BYTES_MAX + 16];

    json_array_foreach(nodes, index, node)
    {
        snprintf(name, sizeof(name), "%s %s",
                 json_string_value(json_object_get(node, "role")),
                 json_string_value(json_object_get(node, "name")));
        if (!json_is_true(json_object_get(node, "second_hand")) ||
            json_object_get(known_nodes, name) == NULL)
            json_object_set(known_nodes, name, node);
    }
}

/* Returns how many nodes have the revision in force, and lists the others. */
static size_t
list_outdated_nodes(json_t *known_nodes, uint64_t number,
                    json_t *outdated_nodes)
{
    json_t *node;
    const char *name;
    size_t ready = 0;

    json_array_clear(outdated_nodes);
    json_object_foreach(known_nodes, name, node)
    {
        if (json_is_true(json_object_get(node, "up")) &&
            BwRecord_Number(node, "revision") >= number)
            ready++;
        else
            json_array_append(outdated_nodes, node);
    }
    return ready;
}

static void
print_outdated_nodes(const json_t *outdated_nodes)
{
    json_t *node;
    size_t index;

    json_array_foreach(outdated_nodes, index, node)
    {
        bool is_up = json_is_true(json_object_get(node, "up"));

        if (index == OUTDATED_NODES_SHOWN) {
            fprintf(stderr, "  and %zu more\n",
                    json_array_size(outdated_nodes) - index);
            break;
        }
        fprintf(stderr, "  %s %s: revision %llu%s\n",
                json_string_value(json_object_get(node, "role")),
                json_string_value(json_object_get(node, "name")),
                (unsigned long long)BwRecord_Number(node, "revision"),
                is_up ? "" : ", not connected");
    }
}

static BwExit
report_rollout(const BwCliOptions *options, uint64_t number, size_t ready,
               const json_t *outdated_nodes, bool is_complete,
               uint64_t took_us)
{
    size_t count = ready + json_array_size(outdated_nodes);

    if (BwCli_IsJson(options))
        BwCli_PrintJson(json_pack(
            "{s:I, s:I, s:I, s:I, s:O}", "revision", (json_int_t)number,
            "nodes", (json_int_t)count, "in_force", (json_int_t)ready,
            "took_us", (json_int_t)took_us, "lagging", outdated_nodes));
    else
        printf("published: revision %llu, in force on %zu of %zu nodes\n",
               (unsigned long long)number, ready, count);
    if (is_complete && json_array_size(outdated_nodes) == 0)
        return BW_EXIT_OK;
    if (!is_complete)
        fprintf(stderr, "brasswing: no agent answered in time, so entries "
                        "other than --entry are not known\n");
    fprintf(stderr, "brasswing: the revision was accepted and will not be "
                    "reverted; these nodes do not have it yet:\n");
    print_outdated_nodes(outdated_nodes);
    fprintf(stderr, "they will read it from the log; check that they reach "
                    "the log, see `brasswing status`\n");
    return BW_EXIT_LAGGING;
}

static BwExit
wait_in_force(Publication *publication, uint64_t number, uint64_t started_us)
{
    const BwCliOptions *options = publication->options;
    json_t *known_nodes = json_object();
    json_t *outdated_nodes = json_array();
    size_t ready = 0;
    bool is_seen = false, is_complete = false;
    BwExit code;

    do {
        bool is_list_complete;
        json_t *nodes = BwCli_ListNodes(options, publication->deadline_us,
                                        &is_list_complete);

        if (nodes != NULL) {
            is_seen = true;
            is_complete |= is_list_complete;
            add_nodes(known_nodes, nodes);
            json_decref(nodes);
            ready = list_outdated_nodes(known_nodes, number, outdated_nodes);
            if (is_complete && json_array_size(outdated_nodes) == 0)
                break;
        }
        usleep(POLL_US);
    } while (time_left(publication) > 0);
    if (is_seen) {
        code = report_rollout(options, number, ready, outdated_nodes,
                              is_complete, BwClock_Now() - started_us);
    }
    else {
        fprintf(stderr,
                "brasswing: revision %llu is accepted, but '%s' did not "
                "answer; check --entry\n",
                (unsigned long long)number, options->entry);
        code = BW_EXIT_LAGGING;
    }
    json_decref(known_nodes);
    json_decref(outdated_nodes);
    return code;
}

static BwExit
report_accepted(Publication *publication, uint64_t number, uint64_t started_us)
{
    if (publication->options->entry != NULL)
        return wait_in_force(publication, number, started_us);
    if (BwCli_IsJson(publication->options))
        BwCli_PrintJson(json_pack("{s:I}", "revision", (json_int_t)number));
    else
        printf("published: revision %llu; give --entry to wait until it is in "
               "force\n",
               (unsigned long long)number);
    return BW_EXIT_OK;
}

static BwExit
publish(Publication *publication, bool has_given_id, uint64_t started_us)
{
    const BwRevision *revision = &publication->history.config.revision;
    const BwHistoryRecord *found;

    if (!BwConfigHistory_Load(&publication->history, publication->options,
                              has_given_id ? BW_HISTORY_ALL
                                           : BW_HISTORY_RECENT,
                              publication->deadline_us))
        return BW_EXIT_NO_ANSWER;
    found = BwConfigHistory_FindPublication(&publication->history,
                                            publication->id);
    if (found == NULL && has_given_id &&
        strcmp(revision->publish_id, publication->id) == 0)
        return report_accepted(publication, revision->number, started_us);
    if (publication->base == NO_BASE)
        publication->base = revision->number;
    if (found == NULL && publication->base != revision->number)
        return report_conflict(publication);
    if (found == NULL)
        found = append_until_found(publication);
    if (found == NULL) {
        print_outcome_unknown(publication);
        return BW_EXIT_OUTCOME_UNKNOWN;
    }
    if (found->verdict == BW_REVISION_ACCEPTED)
        return report_accepted(publication, found->number, started_us);
    publication->base = found->base;
    return report_conflict(publication);
}

BwExit
BwCli_PublishConfig(const BwCliOptions *options, const char *text,
                    uint64_t base)
{
    Publication publication;
    uint64_t started_us = BwClock_Now();
    uint64_t random_id[2];
    BwExit code = BW_EXIT_NO_ANSWER;

    memset(&publication, 0, sizeof(publication));
    publication.options = options;
    publication.text = text;
    publication.base = base;
    publication.deadline_us = started_us + options->timeout_us;
    BwConfigHistory_Init(&publication.history);
    if (options->publish_id != NULL)
        snprintf(publication.id, sizeof(publication.id), "%s",
                 options->publish_id);
    else if (getrandom(random_id, sizeof(random_id), 0) == sizeof(random_id))
        snprintf(publication.id, sizeof(publication.id), "%016llx%016llx",
                 (unsigned long long)random_id[0],
                 (unsigned long long)random_id[1]);
    if (publication.id[0] != '\0')
        code = publish(&publication, options->publish_id != NULL, started_us);
    BwConfigHistory_Finish(&publication.history);
    return code;
}

BwExit
BwCli_Publish(const BwCliOptions *options)
{
    BwSpan text = {NULL, 0};
    char *content = BwCli_ReadFile(options->argv[0], &text.size_bytes);
    uint64_t base = NO_BASE;
    char *end = NULL;
    BwExit code = BW_EXIT_INVALID;

    if (content == NULL)
        return BW_EXIT_USAGE;
    if (options->base != NULL) {
        base = strtoull(options->base, &end, 10);
        if (*end != '\0' || end == options->base) {
            fprintf(stderr, "brasswing: --base is a revision number\n");
            free(content);
            return BW_EXIT_USAGE;
        }
    }
    text.base = content;
    if (BwCli_IsValidConfig(options->argv[0], text))
        code = BwCli_PublishConfig(options, content, base);
    free(content);
    return code;
}
