/* nodelist.c -- the list of entries and agents that one process knows */

#include <stdlib.h>
#include <string.h>

#include "nodelist.h"

static json_t *
make_node(const BwDaemon *daemon, const char *name, bool is_agent,
          const BwPeerReport *report, bool is_up)
{
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:s, s:I, s:I, s:I, s:b, s:b}",
        "name", name, "role", is_agent ? "agent" : "entry", "region",
        daemon->settings.region, "domain", report->domain, "http_host",
        report->http_host, "http_port", (json_int_t)report->http_port,
        "revision", (json_int_t)report->revision, "service", report->service,
        "slots", (json_int_t)report->slots, "free",
        (json_int_t)report->free_slots, "queued", (json_int_t)report->queued,
        "leaving", (int)report->is_leaving, "up", (int)is_up);
}

static json_t *
make_self(BwDaemon *daemon)
{
    BwLoad load = daemon->ops->load(daemon);
    BwPeerReport report = {0};

    strcpy(report.domain, daemon->settings.domain);
    strcpy(report.http_host, daemon->settings.http.host);
    report.http_port = daemon->http.port;
    BwSpan_ToString(load.service, report.service, sizeof(report.service));
    report.slots = load.slots;
    report.free_slots = load.free_slots;
    report.queued = BwLoad_CountQueued(&load);
    report.is_leaving = load.leaving != 0;
    report.revision = load.revision;
    return make_node(daemon, daemon->settings.name,
                     daemon->settings.role == BW_SETTINGS_AGENT, &report,
                     true);
}

void
BwNodeList_Serve(BwDaemon *daemon, BwExchange *exchange)
{
    json_t *nodes = json_array();
    json_t *root;
    char *text;

    json_array_append_new(nodes, make_self(daemon));
    for (BwPeer *peer = daemon->peers.table; peer != NULL;
         peer = peer->hh.next) {
        bool is_agent = peer->role == BW_ROLE_AGENT;

        if (peer->role == BW_ROLE_CONFIG_CLIENT ||
            (is_agent && !peer->is_in_ring && !peer->is_up))
            continue;
        json_array_append_new(nodes, make_node(daemon, peer->name, is_agent,
                                               &peer->report,
                                               peer->is_up || !is_agent));
    }
    root = json_pack("{s:o}", "nodes", nodes);
    text = json_dumps(root, JSON_COMPACT);
    BwExchange_Reply(exchange, 200, "application/json",
                     BwSpan_FromString(text != NULL ? text : "{}"), 0);
    free(text);
    json_decref(root);
}
