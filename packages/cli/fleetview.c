/* fleetview.c -- the commands status and drain, and the list of all nodes

   An entry knows the agents of its ring but no other entry.  Agents know the
   entries, so they are taken from the list of one agent.  Then each entry is
   queried for its own row, which has its current revision.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"
#include "clock.h"
#include "configlog.h"

#define POLL_US 100000
#define NODE_TIMEOUT_US 500000 /* when many nodes are queried */

bool
BwCli_IsJson(const BwCliOptions *options)
{
    return strcmp(options->output, "json") == 0;
}

void
BwCli_PrintJson(json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);

    printf("%s\n", text != NULL ? text : "{}");
    free(text);
    json_decref(value);
}

bool
BwCli_NodeAddress(const json_t *node, char *out, size_t size_bytes)
{
    const char *host = json_string_value(json_object_get(node, "http_host"));
    uint64_t port = BwRecord_Number(node, "http_port");

    if (host == NULL || host[0] == '\0' || port == 0)
        return false;
    snprintf(out, size_bytes, "%s:%llu", host, (unsigned long long)port);
    return true;
}

/* Sends GET and returns the parsed JSON answer, or NULL without one. */
static json_t *
get_json(const BwCliOptions *options, const char *address, const char *path,
         uint64_t deadline_us)
{
    BwBlockingReply reply;
    BwSpan none = {"", 0};
    uint64_t now_us = BwClock_Now();
    json_t *root = NULL;

    if (now_us >= deadline_us)
        return NULL;
    if (BwCli_CallDaemonQuietly(options, address, "GET", path, none,
                                deadline_us - now_us, &reply) == 200)
        root = json_loadb(reply.body, reply.body_bytes, 0, NULL);
    free(reply.body);
    return root;
}

/* Limits the wait for one node: a paused node must not delay the others. */
static uint64_t
limit_node_deadline(uint64_t deadline_us)
{
    uint64_t node_deadline_us = BwClock_Now() + NODE_TIMEOUT_US;

    return node_deadline_us < deadline_us ? node_deadline_us : deadline_us;
}

static json_t *
get_nodes(const BwCliOptions *options, const char *address,
          uint64_t deadline_us)
{
    json_t *root = get_json(options, address, "/v1/nodes", deadline_us);
    json_t *nodes = json_incref(json_object_get(root, "nodes"));

    json_decref(root);
    return nodes;
}

static bool
has_node(const json_t *nodes, const json_t *wanted)
{
    json_t *node;
    size_t index;

    json_array_foreach(nodes, index, node)
    {
        if (json_equal(json_object_get(node, "name"),
                       json_object_get(wanted, "name")) &&
            json_equal(json_object_get(node, "role"),
                       json_object_get(wanted, "role")))
            return true;
    }
    return false;
}

/* Returns the row that a node reports about itself, or a copy of `node` that
   is marked second_hand, when it does not answer. */
static json_t *
fetch_own_row(const BwCliOptions *options, const json_t *node,
              uint64_t deadline_us)
{
    char address[96];
    json_t *seen = NULL;
    json_t *own;

    if (BwCli_NodeAddress(node, address, sizeof(address)))
        seen = get_nodes(options, address, limit_node_deadline(deadline_us));
    own = json_incref(json_array_get(seen, 0));
    json_decref(seen);
    if (own == NULL) {
        own = json_deep_copy(node);
        json_object_set_new(own, "second_hand", json_true());
    }
    return own;
}

static bool
is_role(const json_t *node, const char *role)
{
    return BwSpan_Equal(BwRecord_Text(node, "role"), BwSpan_FromString(role));
}

static bool
has_agent(const json_t *nodes)
{
    json_t *node;
    size_t index;

    json_array_foreach(nodes, index, node)
    {
        if (is_role(node, "agent"))
            return true;
    }
    return false;
}

static uint64_t
newest_revision(const json_t *nodes)
{
    json_t *node;
    size_t index;
    uint64_t newest = 0;

    json_array_foreach(nodes, index, node)
    {
        if (BwRecord_Number(node, "revision") > newest)
            newest = BwRecord_Number(node, "revision");
    }
    return newest;
}

/* Returns the list of one agent, or NULL.  Agents that have the newest
   revision are tried first, because one that lags may be paused. */
static json_t *
fetch_agent_list(const BwCliOptions *options, const json_t *nodes,
                 uint64_t deadline_us)
{
    uint64_t newest = newest_revision(nodes);
    size_t count = json_array_size(nodes);
    char address[96];

    for (size_t i = 0; i < 2 * count; i++) {
        const json_t *node = json_array_get(nodes, i % count);
        bool is_newest = BwRecord_Number(node, "revision") == newest;
        json_t *seen;

        if (is_newest != (i < count) || !is_role(node, "agent") ||
            !json_is_true(json_object_get(node, "up")) ||
            !BwCli_NodeAddress(node, address, sizeof(address)))
            continue;
        seen = get_nodes(options, address, limit_node_deadline(deadline_us));
        if (seen != NULL)
            return seen;
    }
    return NULL;
}

json_t *
BwCli_ListNodes(const BwCliOptions *options, uint64_t deadline_us,
                bool *is_complete)
{
    json_t *nodes = get_nodes(options, options->entry, deadline_us);
    json_t *seen = fetch_agent_list(options, nodes, deadline_us);
    json_t *node;
    size_t index;

    json_array_foreach(seen, index, node)
    {
        if (is_role(node, "entry") && !has_node(nodes, node))
            json_array_append_new(nodes,
                                  fetch_own_row(options, node, deadline_us));
    }
    if (is_complete != NULL)
        *is_complete = seen != NULL || !has_agent(nodes);
    json_decref(seen);
    return nodes;
}

/* ------------------------------------------------------------- status */

static void
print_node(const json_t *node)
{
    const char *state = "up";

    if (!json_is_true(json_object_get(node, "up")))
        state = "down";
    else if (json_is_true(json_object_get(node, "leaving")))
        state = "leaving";
    printf("%-16s %-6s %-14s %-16s %5llu %5llu %6llu %9llu  %s\n",
           json_string_value(json_object_get(node, "name")),
           json_string_value(json_object_get(node, "role")),
           json_string_value(json_object_get(node, "domain")),
           json_string_value(json_object_get(node, "service")),
           (unsigned long long)BwRecord_Number(node, "slots"),
           (unsigned long long)BwRecord_Number(node, "free"),
           (unsigned long long)BwRecord_Number(node, "queued"),
           (unsigned long long)BwRecord_Number(node, "revision"), state);
}

static void
print_status(json_t *status, const json_t *nodes)
{
    json_t *node;
    size_t index;

    printf("region %s, revision %llu, ring of %llu agents at version %llu, "
           "log %s\n\n",
           json_string_value(json_object_get(status, "region")),
           (unsigned long long)BwRecord_Number(status, "revision"),
           (unsigned long long)BwRecord_Number(status, "ring_agents"),
           (unsigned long long)BwRecord_Number(status, "ring_version"),
           json_is_true(json_object_get(status, "log_up")) ? "up" : "down");
    printf("%-16s %-6s %-14s %-16s %5s %5s %6s %9s  %s\n", "NAME", "ROLE",
           "DOMAIN", "SERVICE", "SLOTS", "FREE", "QUEUED", "REVISION",
           "STATE");
    json_array_foreach(nodes, index, node) print_node(node);
}

/* Dispatchers and supervisors serve no list of nodes. */
static bool
is_single_node_role(const json_t *status)
{
    return is_role(status, "dispatcher") || is_role(status, "supervisor");
}

BwExit
BwCli_Status(const BwCliOptions *options)
{
    uint64_t deadline_us = BwClock_Now() + options->timeout_us;
    json_t *status =
        get_json(options, options->entry, "/v1/status", deadline_us);
    json_t *nodes = is_single_node_role(status)
                        ? json_array()
                        : BwCli_ListNodes(options, deadline_us, NULL);

    if (status == NULL || nodes == NULL) {
        fprintf(stderr,
                "brasswing: no answer from '%s'; give --entry HOST:PORT of a "
                "running process\n",
                options->entry != NULL ? options->entry : "");
        json_decref(status);
        json_decref(nodes);
        return BW_EXIT_NO_ANSWER;
    }
    if (BwCli_IsJson(options)) {
        if (!is_single_node_role(status))
            json_object_set(status, "nodes", nodes);
        BwCli_PrintJson(status);
    }
    else {
        if (!BwCli_PrintNode(status))
            print_status(status, nodes);
        json_decref(status);
    }
    json_decref(nodes);
    return BW_EXIT_OK;
}

/* -------------------------------------------------------------- drain */

static bool
find_agent(const BwCliOptions *options, uint64_t deadline_us, char *out,
           size_t size_bytes)
{
    const char *name = options->argv[0];
    json_t *nodes;
    json_t *node;
    size_t index;
    bool is_found = false;

    if (strchr(name, ':') != NULL) {
        snprintf(out, size_bytes, "%s", name);
        return true;
    }
    nodes = BwCli_ListNodes(options, deadline_us, NULL);
    json_array_foreach(nodes, index, node)
    {
        if (is_role(node, "agent") &&
            BwSpan_Equal(BwRecord_Text(node, "name"), BwSpan_FromString(name)))
            is_found = BwCli_NodeAddress(node, out, size_bytes);
    }
    json_decref(nodes);
    return is_found;
}

static bool
is_idle(const json_t *detail)
{
    json_t *busy = json_object_get(detail, "busy");
    json_t *unfinished = json_object_get(detail, "unfinished");

    return json_is_integer(busy) && json_integer_value(busy) == 0 &&
           json_is_integer(unfinished) && json_integer_value(unfinished) == 0;
}

/* Waits until the agent has no running task and no unfinished job. */
static BwExit
wait_drained(const BwCliOptions *options, const char *address,
             uint64_t deadline_us)
{
    while (BwClock_Now() < deadline_us) {
        json_t *status = get_json(options, address, "/v1/status", deadline_us);
        bool is_drained = is_idle(json_object_get(status, "detail"));

        json_decref(status);
        if (is_drained) {
            printf("drained: %s\n", address);
            return BW_EXIT_OK;
        }
        usleep(POLL_US);
    }
    fprintf(stderr,
            "brasswing: %s accepts no new work, but tasks still run "
            "there; repeat the command to wait longer\n",
            address);
    return BW_EXIT_LAGGING;
}

BwExit
BwCli_Drain(const BwCliOptions *options)
{
    uint64_t deadline_us = BwClock_Now() + options->timeout_us;
    char address[96];
    BwBlockingReply reply;
    BwSpan none = {"", 0};
    uint32_t status;

    if (!find_agent(options, deadline_us, address, sizeof(address))) {
        fprintf(stderr,
                "brasswing: no agent '%s' is known; see `brasswing status`, "
                "or give its HOST:PORT\n",
                options->argv[0]);
        return BW_EXIT_FAILED;
    }
    status =
        BwCli_CallDaemon(options, address, "POST", "/v1/drain", none, &reply);
    free(reply.body);
    if (status == 0)
        return BW_EXIT_NO_ANSWER;
    if (status != 202) {
        fprintf(stderr, "brasswing: %s is not an agent; drain an agent\n",
                address);
        return BW_EXIT_FAILED;
    }
    return wait_drained(options, address, deadline_us);
}
