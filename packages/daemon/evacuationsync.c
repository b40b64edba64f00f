/* evacuationsync.c -- keeps a dispatcher's evacuations up to date

   Method and callers are described in evacuationsync.h.
*/

#include <string.h>

#include "evacuationsync.h"

typedef struct StateMessage {
    BwMessage message;
    BwName domains[BW_EVACUATED_DOMAINS_MAX];
} StateMessage;

static void
make_message(const BwEvacuationSync *sync, StateMessage *out)
{
    const BwEvacuations *state = &sync->state;
    BwEvacuationList *list = &out->message.u.evacuations;

    memset(out, 0, sizeof(*out));
    out->message.kind = BW_MSG_EVACUATIONS;
    list->version = state->version;
    list->domains = out->domains;
    list->domain_count = state->domain_count;
    for (uint32_t i = 0; i < state->domain_count; i++)
        out->domains[i].name = BwSpan_FromString(state->domains[i]);
}

static void
send_state(BwEvacuationSync *sync, uint32_t link)
{
    StateMessage out;

    make_message(sync, &out);
    BwMesh_Send(&sync->node->mesh, link, &out.message);
}

/* Logs the domains that are in `left` and not in `right`. */
static void
log_difference(const BwEvacuationSync *sync, const char *event,
               const BwEvacuations *left, const BwEvacuations *right,
               const char *from)
{
    for (uint32_t i = 0; i < left->domain_count; i++) {
        if (BwEvacuations_Contains(right, BwSpan_FromString(left->domains[i])))
            continue;
        BW_LOG(&sync->node->logger, BW_LOG_INFO, event,
               BW_LOG_TEXT("domain", left->domains[i]),
               BW_LOG_NUMBER("version", sync->state.version),
               BW_LOG_TEXT("from", from));
    }
}

/* `before` is the state that was replaced; `from` names the source of the new
   one. */
static void
apply_change(BwEvacuationSync *sync, const BwEvacuations *before,
             const char *from)
{
    StateMessage out;

    if (!BwEvacuations_Equal(before, &sync->state)) {
        sync->changes++;
        sync->changed_us = BwClock_Now();
        sync->is_unconfirmed = true;
        log_difference(sync, "evacuation_asked", &sync->state, before, from);
        log_difference(sync, "evacuation_taken_back", before, &sync->state,
                       from);
        make_message(sync, &out);
        BwMesh_BroadcastToDispatchers(&sync->node->mesh, &out.message);
    }
    sync->on_change(sync->ctx, &sync->state);
}

void
BwEvacuationSync_OnList(BwEvacuationSync *sync,
                        const BwEvacuations *evacuations)
{
    BwEvacuations before = sync->state;

    if (BwEvacuations_Replace(&sync->state, evacuations))
        apply_change(sync, &before, "store");
}

void
BwEvacuationSync_OnRecord(BwEvacuationSync *sync, uint64_t version,
                          BwSpan domain, bool is_evacuated)
{
    BwEvacuations before = sync->state;

    if (BwEvacuations_Set(&sync->state, version, domain, is_evacuated))
        apply_change(sync, &before, "store");
}

void
BwEvacuationSync_Announce(BwEvacuationSync *sync, uint32_t link)
{
    if (sync->state.domain_count > 0)
        send_state(sync, link);
}

bool
BwEvacuationSync_OnMessage(BwEvacuationSync *sync, uint32_t link,
                           const BwMessage *message)
{
    const BwEvacuationList *list = &message->u.evacuations;
    BwEvacuations before = sync->state;
    BwEvacuations received = {.version = list->version};

    if (message->kind != BW_MSG_EVACUATIONS)
        return false;
    for (uint32_t i = 0; i < list->domain_count; i++)
        BwEvacuations_List(&received, list->domains[i].name);
    if (BwEvacuations_Replace(&sync->state, &received))
        apply_change(sync, &before, "dispatcher");
    else if (received.version < sync->state.version &&
             !BwEvacuations_Equal(&received, &sync->state))
        send_state(sync, link);
    return true;
}

void
BwEvacuationSync_Tick(BwEvacuationSync *sync, uint64_t now_us,
                      uint32_t unconfirmed)
{
    if (unconfirmed > 0)
        return;
    sync->is_unconfirmed = false;
    BW_LOG(&sync->node->logger, BW_LOG_INFO, "evacuation_in_force",
           BW_LOG_NUMBER("domains", sync->state.domain_count),
           BW_LOG_NUMBER("version", sync->state.version),
           BW_LOG_NUMBER("after_ms", (now_us - sync->changed_us) / 1000));
}

void
BwEvacuationSync_AddStatus(const BwEvacuationSync *sync, json_t *status)
{
    json_t *domains = json_array();

    for (uint32_t i = 0; i < sync->state.domain_count; i++)
        json_array_append_new(domains, json_string(sync->state.domains[i]));
    json_object_set_new(status, "evacuated_domains", domains);
}

void
BwEvacuationSync_Init(BwEvacuationSync *sync, BwNode *node,
                      void (*on_change)(void *ctx,
                                        const BwEvacuations *evacuations),
                      void *ctx)
{
    memset(sync, 0, sizeof(*sync));
    sync->node = node;
    sync->on_change = on_change;
    sync->ctx = ctx;
}
