/* directory.c -- the thread that reads the platform's log

   Records are JSON objects with a "type":

     join     region, name, domain, host, port, incarnation; a renewal also has
              version
     leave    region, name, incarnation
     config, renewal   see configlog.h

   A join that repeats what the ring contains changes nothing, except that its
   version may raise the ring's.  A reader that starts after the log's
   retention dropped records learns the ring's version from the renewals; see
   renew.c.

   A record of another type or form is skipped, so that newer versions may add
   types.  The answer to an append is not relied on, because it may be lost: a
   join or leave is appended again only when the ring, read up to the newest
   record, does not show it.
*/

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "directory.h"
#include "renew.h"

#define APPEND_RETRY_INTERVAL_US 500000

typedef void (*RecordHandler)(BwDirectory *directory, uint64_t offset,
                              json_t *record);

typedef struct RecordType {
    const char *name;
    RecordHandler apply;
} RecordType;

static bool
is_own_region(const BwDirectory *directory, json_t *record)
{
    return BwSpan_Equal(BwRecord_Text(record, "region"),
                        BwSpan_FromString(directory->settings->region));
}

static bool
is_in_ring(const BwRing *ring, const BwAgent *agent)
{
    int32_t index = BwRing_IndexOf(ring, BwSpan_FromString(agent->name));
    const BwAgent *known = index >= 0 ? &ring->agents[index] : NULL;

    return known != NULL && known->incarnation == agent->incarnation &&
           known->port == agent->port && strcmp(known->host, agent->host) == 0;
}

/* Returns the ring's version after a join.  That is the record's offset + 1.
   For a renewal it is the version that the record states, because the other
   agents have known the renewed agent since that version, but at least the
   version that the ring already has. */
static uint64_t
join_version(const BwDirectory *directory, json_t *record, uint64_t offset)
{
    uint64_t stated = BwRecord_Number(record, "version");

    if (stated == 0)
        return offset + 1;
    return stated > directory->ring.version ? stated : directory->ring.version;
}

static void
apply_join(BwDirectory *directory, uint64_t offset, json_t *record)
{
    BwAgent agent = {0};
    uint64_t version;
    bool is_known;

    if (!is_own_region(directory, record))
        return;
    BwSpan_ToString(BwRecord_Text(record, "name"), agent.name,
                    sizeof(agent.name));
    BwSpan_ToString(BwRecord_Text(record, "domain"), agent.domain,
                    sizeof(agent.domain));
    BwSpan_ToString(BwRecord_Text(record, "host"), agent.host,
                    sizeof(agent.host));
    agent.port = (uint16_t)BwRecord_Number(record, "port");
    agent.incarnation = BwRecord_Number(record, "incarnation");
    if (agent.name[0] == '\0' || agent.host[0] == '\0' || agent.port == 0)
        return;
    if (!BwRenew_OnJoin(directory, &agent, offset,
                        BwRecord_Number(record, "version")))
        return;
    if (strcmp(agent.name, directory->settings->name) == 0 &&
        agent.incarnation != directory->newest_join_incarnation) {
        directory->previous_join_incarnation =
            directory->newest_join_incarnation;
        directory->newest_join_incarnation = agent.incarnation;
    }
    is_known = is_in_ring(&directory->ring, &agent);
    version = join_version(directory, record, offset);
    if (is_known) {
        if (version <= directory->ring.version)
            return;
        directory->ring.version = version;
    }
    else {
        BwRing_Put(&directory->ring, &agent, version);
    }
    directory->is_ring_changed = true;
}

static void
apply_leave(BwDirectory *directory, uint64_t offset, json_t *record)
{
    BwSpan name = BwRecord_Text(record, "name");
    int32_t index = BwRing_IndexOf(&directory->ring, name);

    if (!is_own_region(directory, record))
        return;
    if (index < 0) {
        /* The log may have dropped the join before this reader started; the
           leave has raised the version for the other readers. */
        if (!directory->is_caught_up && directory->ring.version <= offset)
            directory->ring.version = offset + 1;
        return;
    }
    if (directory->ring.agents[index].incarnation !=
        BwRecord_Number(record, "incarnation"))
        return;
    BwRing_Remove(&directory->ring, name, offset + 1);
    BwRenew_OnLeave(directory, name, offset);
    directory->is_ring_changed = true;
}

static void
apply_config(BwDirectory *directory, uint64_t offset, json_t *record)
{
    static const char *const verdict_names[] = {
        "accepted", "repeated", "invalid", "conflict", "undecided", "none"};
    uint64_t anchor_before = directory->config.revision.newest_as_of;
    BwRevisionVerdict verdict =
        BwConfigLog_Apply(&directory->config, offset, record);
    char publish_id[BW_NAME_BYTES_MAX];

    if (directory->config.revision.newest_as_of != anchor_before)
        BwRenew_OnConfigRenewal(directory, record);
    if (verdict == BW_REVISION_ACCEPTED)
        directory->is_config_changed = true;
    if (verdict == BW_REVISION_NONE || verdict == BW_REVISION_REPEATED)
        return;
    BwSpan_ToString(BwRecord_Text(record, "publish_id"), publish_id,
                    sizeof(publish_id));
    BW_LOG(directory->logger, BW_LOG_INFO, "config",
           BW_LOG_TEXT("verdict", verdict_names[verdict]),
           BW_LOG_NUMBER("revision", directory->config.revision.number),
           BW_LOG_NUMBER("offset", offset),
           BW_LOG_TEXT("publish_id", publish_id));
}

static const RecordType record_types[] = {
    {"join", apply_join},
    {"leave", apply_leave},
};

static void
on_record(void *ctx, uint64_t offset, json_t *record)
{
    BwDirectory *directory = ctx;
    BwSpan type = BwRecord_Text(record, "type");

    for (size_t i = 0; i < sizeof(record_types) / sizeof(record_types[0]);
         i++) {
        if (BwSpan_Equal(BwSpan_FromString(record_types[i].name), type))
            record_types[i].apply(directory, offset, record);
    }
    apply_config(directory, offset, record);
    if (BwConfigLog_IsBehind(&directory->config, offset))
        BwLogClient_Seek(&directory->log,
                         directory->config.revision.next_offset);
}

/* The log has dropped records that this reader had not read.  The ring is read
   again from the retained records, which hold a join of each agent. */
static void
restart_ring(BwDirectory *directory)
{
    BwRing empty;

    BW_LOG(directory->logger, BW_LOG_WARNING, "log_gap",
           BW_LOG_TEXT("remedy",
                       "none needed; the ring is read again from renewals"));
    BwRing_Init(&empty);
    empty.version = directory->ring.version;
    BwRing_Finish(&directory->ring);
    directory->ring = empty;
    directory->is_caught_up = false;
}

static void
on_page(void *ctx, uint64_t first)
{
    BwDirectory *directory = ctx;

    if (directory->log.next_offset > 0 && first > directory->log.next_offset)
        restart_ring(directory);
    BwRevision_OnTruncated(&directory->config.revision, first);
}

/* ------------------------------------------------ to the main thread */

static void
post_ring(BwDirectory *directory)
{
    BwRingUpdate *update = calloc(1, sizeof(BwRingUpdate));

    if (update == NULL)
        return;
    update->header.kind = BW_THREAD_MSG_RING;
    BwRing_Init(&update->ring);
    for (uint32_t i = 0; i < directory->ring.agent_count; i++)
        BwRing_Put(&update->ring, &directory->ring.agents[i],
                   directory->ring.version);
    update->ring.version = directory->ring.version;
    update->ring.removed_version = directory->ring.removed_version;
    update->ring.removed_joined_version =
        directory->ring.removed_joined_version;
    update->newest_join_incarnation = directory->newest_join_incarnation;
    update->previous_join_incarnation = directory->previous_join_incarnation;
    BwRing_Build(&update->ring);
    directory->is_ring_changed = false;
    BwEventLoop_Post(directory->main_loop, &update->header);
}

static void
post_config(BwDirectory *directory)
{
    BwConfigUpdate *update = calloc(1, sizeof(BwConfigUpdate));
    BwYamlFaults *faults = calloc(1, sizeof(BwYamlFaults));
    const BwConfigLog *config = &directory->config;
    BwSpan text = {config->text, config->text_bytes};

    if (update == NULL || faults == NULL)
        goto fail;
    update->header.kind = BW_THREAD_MSG_CONFIG;
    update->revision = config->revision;
    update->text = malloc(config->text_bytes + 1);
    if (update->text == NULL)
        goto fail;
    memcpy(update->text, config->text, config->text_bytes + 1);
    update->text_bytes = config->text_bytes;
    BwConfig_Read(&update->config, "text", text, faults);
    free(faults);
    directory->is_config_changed = false;
    BwEventLoop_Post(directory->main_loop, &update->header);
    return;

fail:
    free(update);
    free(faults);
}

static void
post_log_state(BwDirectory *directory, bool is_up)
{
    BwLogStateUpdate *update;

    if (directory->is_up == is_up)
        return;
    update = calloc(1, sizeof(BwLogStateUpdate));
    if (update == NULL)
        return;
    directory->is_up = is_up;
    BW_LOG(directory->logger, BW_LOG_WARNING, "log",
           BW_LOG_TEXT("state", is_up ? "up" : "down"));
    update->header.kind = BW_THREAD_MSG_LOG_STATE;
    update->is_up = is_up;
    BwEventLoop_Post(directory->main_loop, &update->header);
}

/* Ends the scan for the newest renewal, if one is in progress.  Returns
   whether records are to be read again before the state is complete. */
static bool
end_scan(BwDirectory *directory)
{
    const BwRevision *revision = &directory->config.revision;
    json_t *newest;

    if (!directory->config.is_scanning)
        return false;
    newest = json_incref(directory->config.newest_renewal);
    BwConfigLog_EndScan(&directory->config);
    if (newest != NULL) {
        BwRenew_OnConfigRenewal(directory, newest);
        directory->is_config_changed = directory->config.text != NULL;
    }
    json_decref(newest);
    if (!revision->is_synced ||
        revision->next_offset >= directory->log.next_offset)
        return false;
    BwLogClient_Seek(&directory->log, revision->next_offset);
    return true;
}

static void
on_caught_up(void *ctx, uint64_t first, uint64_t next)
{
    BwDirectory *directory = ctx;

    directory->log_first = first;
    directory->log_next = next;
    if (end_scan(directory))
        return;
    if (directory->is_ring_changed || !directory->is_caught_up)
        post_ring(directory);
    if (directory->is_config_changed)
        post_config(directory);
    directory->is_caught_up = true;
    post_log_state(directory, true);
}

static void
on_failure(void *ctx)
{
    post_log_state(ctx, false);
}

static const BwLogEvents log_events = {on_page, on_record, on_caught_up,
                                       on_failure};

/* --------------------------------------------------- ring membership */

static bool
is_in_effect(const BwDirectory *directory, const BwPendingMembership *pending)
{
    int32_t index = BwRing_IndexOf(&directory->ring,
                                   BwSpan_FromString(pending->agent.name));
    bool is_there = index >= 0 && directory->ring.agents[index].incarnation ==
                                      pending->agent.incarnation;

    return is_there == pending->is_join;
}

static void
on_appended(void *data, const BwHttpReply *reply)
{
    BwPendingMembership *pending = data;

    (void)reply;
    pending->is_in_flight = false;
    pending->retry_at_us = BwClock_Now() + APPEND_RETRY_INTERVAL_US;
}

json_t *
BwDirectory_MakeMembershipRecord(const BwDirectory *directory,
                                 const BwAgent *agent, bool is_join)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "type",
                     is_join ? "join" : "leave", "region",
                     directory->settings->region, "name", agent->name,
                     "domain", agent->domain, "host", agent->host, "port",
                     (json_int_t)agent->port, "incarnation",
                     (json_int_t)agent->incarnation);
}

static void
append_membership(BwDirectory *directory, BwPendingMembership *pending,
                  uint64_t now_us)
{
    json_t *record = BwDirectory_MakeMembershipRecord(
        directory, &pending->agent, pending->is_join);

    pending->is_in_flight = true;
    BwLogClient_Append(&directory->log, now_us, record, on_appended, pending);
    json_decref(record);
}

static void
retry_memberships(BwDirectory *directory, uint64_t now_us)
{
    BwPendingMembership **next_link = &directory->pending;

    while (*next_link != NULL) {
        BwPendingMembership *pending = *next_link;

        if (!pending->is_in_flight && is_in_effect(directory, pending)) {
            *next_link = pending->next;
            free(pending);
            continue;
        }
        if (!pending->is_in_flight && directory->is_caught_up &&
            now_us >= pending->retry_at_us)
            append_membership(directory, pending, now_us);
        next_link = &pending->next;
    }
}

static void
add_membership(BwDirectory *directory, const BwMembershipRequest *request)
{
    BwPendingMembership *pending = calloc(1, sizeof(BwPendingMembership));

    if (pending == NULL)
        return;
    pending->is_join = request->is_join;
    pending->agent = request->agent;
    pending->next = directory->pending;
    directory->pending = pending;
    retry_memberships(directory, BwClock_Now());
}

static void
adopt_config_state(BwDirectory *directory, BwPeerConfig *peer_config)
{
    BwRevision *revision = &directory->config.revision;
    BwSpan text = {peer_config->text, peer_config->text_bytes};

    peer_config->state.publish_id = BwSpan_FromString(peer_config->publish_id);
    if (BwConfigLog_Adopt(&directory->config, &peer_config->state, text))
        post_config(directory);
    if (revision->is_synced &&
        revision->next_offset < directory->log.next_offset)
        BwLogClient_Seek(&directory->log, revision->next_offset);
}

static void
on_thread_message(void *ctx, BwThreadMessage *message)
{
    if (message->kind == BW_THREAD_MSG_MEMBERSHIP)
        add_membership(ctx, (BwMembershipRequest *)message);
    else if (message->kind == BW_THREAD_MSG_PEER_CONFIG)
        adopt_config_state(ctx, (BwPeerConfig *)message);
    free(message);
}

static void
on_tick(void *ctx)
{
    BwDirectory *directory = ctx;
    uint64_t now_us = BwClock_Now();

    BwLogClient_Tick(&directory->log, now_us);
    retry_memberships(directory, now_us);
    BwRenew_Tick(directory, now_us);
}

static const BwLoopEvents loop_events = {on_thread_message, on_tick};

bool
BwDirectory_Init(BwDirectory *directory, BwEventLoop *main_loop,
                 const BwSettings *settings, const BwLogger *logger)
{
    memset(directory, 0, sizeof(*directory));
    directory->main_loop = main_loop;
    directory->settings = settings;
    directory->logger = logger;
    BwRing_Init(&directory->ring);
    BwConfigLog_Init(&directory->config);
    BwRenew_Init(directory);
    BwEventLoop_Init(&directory->event_loop, &loop_events, directory);
    return BwLogClient_Init(
        &directory->log, directory->event_loop.loop, settings->log.host,
        (uint16_t)settings->log.port, settings->log_stream,
        settings->limits.config_apply_ms * 1000, &log_events, directory);
}

void
BwDirectory_Finish(BwDirectory *directory)
{
    BwLogClient_Finish(&directory->log);
    while (directory->pending != NULL) {
        BwPendingMembership *next = directory->pending->next;

        free(directory->pending);
        directory->pending = next;
    }
    BwConfigLog_Finish(&directory->config);
    BwRenew_Finish(directory);
    BwRing_Finish(&directory->ring);
}
