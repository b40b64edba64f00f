/* wire.c -- messages as msgpack arrays in length-prefixed frames

   One encoder and one decoder serve all messages: they follow a table of the
   fields of each struct.  This costs an indirection for each field and saves a
   pair of functions for each message.
*/

#include <stdlib.h>
#include <string.h>

#include "framecheck.h"
#include "wire.h"

typedef enum FieldType {
    FIELD_U32,
    FIELD_U64,
    FIELD_SPAN,
    FIELD_ID,
    FIELD_LIST
} FieldType;

typedef struct Layout Layout;

typedef struct Field {
    FieldType type;
    size_t offset;
    size_t count_offset;   /* for a list: offset of its uint32_t count */
    const Layout *element; /* for a list: layout of its elements */
    uint32_t since;        /* first wire version that has it; 0: all */
    bool is_optional;      /* a sender may end the array before it */
} Field;

struct Layout {
    const char *name;
    size_t size_bytes;
    uint32_t field_count;
    uint32_t since; /* first wire version that has the message; 0: all */
    const Field *fields;
};

#define U32(s, f)                                                             \
    {                                                                         \
        .type = FIELD_U32, .offset = offsetof(s, f)                           \
    }
#define U32_SINCE(v, s, f)                                                    \
    {                                                                         \
        .type = FIELD_U32, .offset = offsetof(s, f), .since = v               \
    }
#define U32_OPTIONAL(s, f)                                                    \
    {                                                                         \
        .type = FIELD_U32, .offset = offsetof(s, f), .is_optional = true      \
    }
#define U64(s, f)                                                             \
    {                                                                         \
        .type = FIELD_U64, .offset = offsetof(s, f)                           \
    }
#define U64_SINCE(v, s, f)                                                    \
    {                                                                         \
        .type = FIELD_U64, .offset = offsetof(s, f), .since = v               \
    }
#define SPAN(s, f)                                                            \
    {                                                                         \
        .type = FIELD_SPAN, .offset = offsetof(s, f)                          \
    }
#define SPAN_OPTIONAL(s, f)                                                   \
    {                                                                         \
        .type = FIELD_SPAN, .offset = offsetof(s, f), .is_optional = true     \
    }
#define ID(s, f)                                                              \
    {                                                                         \
        .type = FIELD_ID, .offset = offsetof(s, f)                            \
    }
#define LIST(s, f, n, l)                                                      \
    {                                                                         \
        .type = FIELD_LIST, .offset = offsetof(s, f),                         \
        .count_offset = offsetof(s, n), .element = &l                         \
    }
#define LAYOUT_SINCE(v, s, f)                                                 \
    {                                                                         \
        .name = #s, .size_bytes = sizeof(s),                                  \
        .field_count = sizeof(f) / sizeof(f[0]), .fields = f, .since = v      \
    }
#define LAYOUT(s, f) LAYOUT_SINCE(0, s, f)

static const Field hello_fields[] = {
    U32(BwHello, wire_version),
    U32(BwHello, role),
    SPAN(BwHello, name),
    U64(BwHello, incarnation),
    SPAN(BwHello, region),
    SPAN(BwHello, domain),
    U64(BwHello, clock_us),
    U64(BwHello, ring_version),
    SPAN(BwHello, http_host),
    U32(BwHello, http_port),
    U32_OPTIONAL(BwHello, wire_version_max),
    SPAN_OPTIONAL(BwHello, build),
};
static const Field task_fields[] = {
    U32(BwTask, index),
    U64(BwTask, declared_us),
    U64(BwTask, size_bytes),
    SPAN(BwTask, body),
};
static const Layout task_layout = LAYOUT(BwTask, task_fields);
static const Field submit_fields[] = {
    U64(BwSubmit, request_id),
    SPAN(BwSubmit, member),
    SPAN(BwSubmit, team),
    SPAN(BwSubmit, key),
    SPAN(BwSubmit, service),
    SPAN(BwSubmit, job_class),
    SPAN(BwSubmit, path),
    U64(BwSubmit, deadline_wall_us),
    U64(BwSubmit, submitted_wall_us),
    U64(BwSubmit, ring_version),
    U32(BwSubmit, flags),
    LIST(BwSubmit, tasks, task_count, task_layout),
};
static const Field answer_fields[] = {
    U32(BwAnswer, status),
    SPAN(BwAnswer, body),
};
static const Layout answer_layout = LAYOUT(BwAnswer, answer_fields);
static const Field result_fields[] = {
    U64(BwResult, request_id),
    U32(BwResult, error),
    U32(BwResult, is_running),
    SPAN(BwResult, detail),
    SPAN(BwResult, owner),
    U32(BwResult, retry_after_ms),
    LIST(BwResult, answers, answer_count, answer_layout),
};
static const Field withdraw_fields[] = {U64(BwWithdraw, request_id)};
static const Field cancel_fields[] = {
    U64(BwCancel, request_id),
    SPAN(BwCancel, member),
    SPAN(BwCancel, key),
};
static const Field granted_fields[] = {
    U32(BwGrantedTask, index),
    U32(BwGrantedTask, attempt),
    U64(BwGrantedTask, declared_us),
    SPAN(BwGrantedTask, body),
};
static const Layout granted_layout = LAYOUT(BwGrantedTask, granted_fields);
static const Field grant_fields[] = {
    ID(BwGrant, job),
    U64(BwGrant, fence_number),
    U64(BwGrant, holder),
    U64(BwGrant, not_after_us),
    U64(BwGrant, deadline_us),
    SPAN(BwGrant, member),
    SPAN(BwGrant, team),
    SPAN(BwGrant, service),
    SPAN(BwGrant, job_class),
    SPAN(BwGrant, path),
    U32(BwGrant, reserve),
    U32(BwGrant, pulled),
    U32(BwGrant, priority),
    U32(BwGrant, weight),
    U64(BwGrant, expected_us),
    LIST(BwGrant, tasks, task_count, granted_layout),
};
static const Field index_fields[] = {U32(BwTaskIndex, index)};
static const Layout index_layout = LAYOUT(BwTaskIndex, index_fields);
static const Field queue_fields[] = {U32(BwQueueCount, slots)};
static const Layout queue_layout = LAYOUT(BwQueueCount, queue_fields);
static const Field decline_fields[] = {
    ID(BwDecline, job),
    U64(BwDecline, fence_number),
    U32(BwDecline, reason),
    U32(BwDecline, reserved),
    U32(BwDecline, free_slots),
    LIST(BwDecline, tasks, task_count, index_layout),
    LIST(BwDecline, queued, queued_count, queue_layout),
};
static const Field pull_fields[] = {ID(BwPull, job), U32(BwPull, slots)};
static const Field done_task_fields[] = {
    U32(BwDoneTask, index),  U32(BwDoneTask, attempt), U32(BwDoneTask, error),
    U32(BwDoneTask, status), U64(BwDoneTask, ran_us),  SPAN(BwDoneTask, body),
};
static const Layout done_task_layout = LAYOUT(BwDoneTask, done_task_fields);
static const Field done_fields[] = {
    ID(BwDone, job),
    U64(BwDone, fence_number),
    U32(BwDone, pull),
    U32(BwDone, free_slots),
    U64(BwDone, ended),
    U32(BwDone, failed_permille),
    U32(BwDone, pace_permille),
    LIST(BwDone, tasks, task_count, done_task_layout),
    LIST(BwDone, queued, queued_count, queue_layout),
};
static const Field id_fields[] = {{.type = FIELD_ID}};
static const Layout id_layout = LAYOUT(BwJobId, id_fields);
static const Field released_fields[] = {
    ID(BwReleasedJob, job),
    U32(BwReleasedJob, slots),
};
static const Layout released_layout = LAYOUT(BwReleasedJob, released_fields);
static const Field release_fields[] = {
    LIST(BwRelease, jobs, job_count, released_layout)};
static const Field load_fields[] = {
    SPAN(BwLoad, service),
    U32(BwLoad, slots),
    U32(BwLoad, free_slots),
    U32(BwLoad, leaving),
    U64(BwLoad, clock_us),
    U64(BwLoad, ended),
    U32(BwLoad, failed_permille),
    U32(BwLoad, pace_permille),
    LIST(BwLoad, queued, queued_count, queue_layout),
    U32(BwLoad, is_first),
    U64(BwLoad, revision),
};

static const Field name_fields[] = {SPAN(BwName, name)};
static const Layout name_layout = LAYOUT(BwName, name_fields);
static const Field lease_request_fields[] = {
    U64(BwLeaseRequest, incarnation),
    U64(BwLeaseRequest, requested_us),
    U64(BwLeaseRequest, ring_version),
    U32(BwLeaseRequest, kind),
    U32(BwLeaseRequest, has_job_table),
    U64(BwLeaseRequest, term),
    U32(BwLeaseRequest, has_all_local_runs),
    LIST(BwLeaseRequest, arcs, arc_count, name_layout),
    LIST(BwLeaseRequest, past_arcs, past_arc_count, name_layout),
    LIST(BwLeaseRequest, local_runs, local_run_count, id_layout),
};
static const Field lease_grant_fields[] = {
    U64(BwLeaseGrant, requested_us),
    U32(BwLeaseGrant, kind),
    U64(BwLeaseGrant, lease_us),
    U64(BwLeaseGrant, ring_version),
    U64(BwLeaseGrant, term),
    U32(BwLeaseGrant, prior_custody),
    U32(BwLeaseGrant, are_runs_recorded),
    U32(BwLeaseGrant, has_all_local_runs),
    LIST(BwLeaseGrant, local_runs, local_run_count, id_layout),
};
static const Field fence_fields[] = {
    U64(BwFence, holder),
    U64(BwFence, number),
    U64(BwFence, ring_version),
    SPAN(BwFence, guardian),
    LIST(BwFence, arcs, arc_count, name_layout),
};
static const Field fenced_task_fields[] = {
    U32(BwFencedTask, index),
    U32(BwFencedTask, attempt),
    U32(BwFencedTask, is_ended),
};
static const Layout fenced_task_layout =
    LAYOUT(BwFencedTask, fenced_task_fields);
static const Field fenced_job_fields[] = {
    ID(BwFencedJob, job),
    U64(BwFencedJob, expires_in_us),
    LIST(BwFencedJob, tasks, task_count, fenced_task_layout),
};
static const Layout fenced_job_layout = LAYOUT(BwFencedJob, fenced_job_fields);
static const Field inherited_ledger_fields[] = {
    SPAN(BwInheritedLedger, name),
    U64(BwInheritedLedger, incarnation),
    U64(BwInheritedLedger, complete_for_us),
};
static const Layout inherited_ledger_layout =
    LAYOUT(BwInheritedLedger, inherited_ledger_fields);
static const Field fence_answer_fields[] = {
    U64(BwFenceAnswer, number),
    U32(BwFenceAnswer, refusal),
    U64(BwFenceAnswer, known_fence_number),
    U64(BwFenceAnswer, ring_version),
    U64(BwFenceAnswer, complete_for_us),
    U64(BwFenceAnswer, incarnation),
    U64(BwFenceAnswer, previous),
    LIST(BwFenceAnswer, inherited_ledgers, inherited_ledger_count,
         inherited_ledger_layout),
    LIST(BwFenceAnswer, jobs, job_count, fenced_job_layout),
};
static const Field recover_request_fields[] = {ID(BwRecoverRequest, job)};
static const Field custody_notice_fields[] = {
    SPAN(BwCustodyNotice, arc),
    SPAN(BwCustodyNotice, owner),
};
static const Field local_run_notice_fields[] = {
    ID(BwLocalRunNotice, job),
    U64(BwLocalRunNotice, expires_in_us),
    U32(BwLocalRunNotice, is_ack),
    U32(BwLocalRunNotice, is_refused),
};
static const Field handed_task_fields[] = {
    U32(BwHandedTask, index),
    U32(BwHandedTask, error),
    U32(BwHandedTask, status),
    SPAN(BwHandedTask, body),
};
static const Layout handed_task_layout =
    LAYOUT(BwHandedTask, handed_task_fields);
static const Field hand_over_fields[] = {
    ID(BwHandOver, job),
    U64(BwHandOver, expires_in_us),
    LIST(BwHandOver, tasks, task_count, handed_task_layout),
};
static const Field hand_over_end_fields[] = {
    U64(BwHandOverEnd, incarnation),
    U64(BwHandOverEnd, complete_for_us),
    U32(BwHandOverEnd, entry_count),
    U32(BwHandOverEnd, is_ack),
    LIST(BwHandOverEnd, inherited_ledgers, inherited_ledger_count,
         inherited_ledger_layout),
};
static const Field config_request_fields[] = {
    U64(BwConfigRequest, revision),
    U32(BwConfigRequest, wants_ring),
};
static const Field ring_agent_fields[] = {
    SPAN(BwRingAgent, name),       SPAN(BwRingAgent, domain),
    SPAN(BwRingAgent, host),       U32(BwRingAgent, port),
    U64(BwRingAgent, incarnation),
};
static const Layout ring_agent_layout = LAYOUT(BwRingAgent, ring_agent_fields);
static const Field ring_state_fields[] = {
    U64(BwRingState, version),
    LIST(BwRingState, agents, agent_count, ring_agent_layout),
};
static const Field config_state_fields[] = {
    U64(BwConfigState, revision), U64(BwConfigState, set_at),
    U64(BwConfigState, as_of),    SPAN(BwConfigState, publish_id),
    SPAN(BwConfigState, text),
};

static const Field worker_load_fields[] = {
    U64(BwWorkerLoad, place_seen),    U64(BwWorkerLoad, free.cpu_milli),
    U64(BwWorkerLoad, free.mem_mb),   U64(BwWorkerLoad, free.gpu),
    U32(BwWorkerLoad, queued),        U32(BwWorkerLoad, queued_urgent),
    U64(BwWorkerLoad, release_in_us), U32(BwWorkerLoad, slow_permille),
    U64(BwWorkerLoad, ended),         U32(BwWorkerLoad, failed_permille),
};
static const Layout worker_load_layout =
    LAYOUT(BwWorkerLoad, worker_load_fields);
static const Field worker_state_fields[] = {
    SPAN(BwWorkerState, instance),
    SPAN(BwWorkerState, service),
    SPAN(BwWorkerState, domain),
    U64(BwWorkerState, capacity.cpu_milli),
    U64(BwWorkerState, capacity.mem_mb),
    U64(BwWorkerState, capacity.gpu),
    U32(BwWorkerState, is_leaving),
    U32(BwWorkerState, is_clear),
    U32_SINCE(4, BwWorkerState, is_evacuated),
    U64_SINCE(4, BwWorkerState, evacuation_version),
    LIST(BwWorkerState, labels, label_count, name_layout),
    LIST(BwWorkerState, load, load_count, worker_load_layout),
};
static const Field place_fields[] = {
    U64(BwPlace, number),
    U64(BwPlace, ref),
    SPAN(BwPlace, job),
    SPAN(BwPlace, spec),
    SPAN(BwPlace, service),
    SPAN(BwPlace, route),
    SPAN(BwPlace, requirement),
    U64(BwPlace, resources.cpu_milli),
    U64(BwPlace, resources.mem_mb),
    U64(BwPlace, resources.gpu),
    U32(BwPlace, step),
    U32(BwPlace, priority),
    U32(BwPlace, spread_max),
    U32(BwPlace, is_exclusive),
    U64(BwPlace, requested_us),
    U64(BwPlace, wait_us),
    U64(BwPlace, expected_us),
    U64(BwPlace, due_in_us),
    U64(BwPlace, deadline_in_us),
    LIST(BwPlace, tasks, task_count, index_layout),
};
static const Field stop_fields[] = {U64(BwStop, ref)};
static const Field task_outcome_fields[] = {
    U32(BwTaskOutcome, index),
    U32(BwTaskOutcome, kind),
    U32(BwTaskOutcome, reason),
    U64(BwTaskOutcome, ran_us),
};
static const Layout task_outcome_layout =
    LAYOUT(BwTaskOutcome, task_outcome_fields);
static const Field outcome_fields[] = {
    U64(BwOutcome, ref),
    U32(BwOutcome, step),
    LIST(BwOutcome, tasks, task_count, task_outcome_layout),
    LIST(BwOutcome, load, load_count, worker_load_layout),
};
static const Field session_fields[] = {
    U64(BwSession, requested_us),
    U64(BwSession, next_us),
    LIST(BwSession, load, load_count, worker_load_layout),
};
static const Field crashed_task_fields[] = {
    SPAN(BwCrashedTask, job),
    SPAN(BwCrashedTask, route),
    U32(BwCrashedTask, step),
    U32(BwCrashedTask, index),
};
static const Layout crashed_task_layout =
    LAYOUT(BwCrashedTask, crashed_task_fields);
static const Field usual_route_fields[] = {
    SPAN(BwUsualRoute, route),
    U64(BwUsualRoute, tasks_milli),
};
static const Layout usual_route_layout =
    LAYOUT(BwUsualRoute, usual_route_fields);
static const Field crash_fields[] = {
    SPAN(BwCrash, instance),
    SPAN(BwCrash, service),
    U64(BwCrash, age_us),
    U32(BwCrash, is_withdrawn),
    U32(BwCrash, is_exclusive),
    U32(BwCrash, unlisted),
    LIST(BwCrash, tasks, task_count, crashed_task_layout),
    LIST(BwCrash, usual, usual_count, usual_route_layout),
};
static const Field dispatcher_address_fields[] = {
    SPAN(BwDispatcherAddress, name),
    SPAN(BwDispatcherAddress, host),
    U32(BwDispatcherAddress, port),
};
static const Layout dispatcher_address_layout =
    LAYOUT(BwDispatcherAddress, dispatcher_address_fields);
static const Field dispatcher_list_fields[] = {
    LIST(BwDispatcherList, dispatchers, dispatcher_count,
         dispatcher_address_layout),
};

static const Field evacuation_list_fields[] = {
    U64(BwEvacuationList, version),
    LIST(BwEvacuationList, domains, domain_count, name_layout),
};
static const Field evacuate_fields[] = {
    U64(BwEvacuate, version),
    U32(BwEvacuate, is_evacuated),
};

static const Field job_cancel_fields[] = {
    U64(BwJobCancel, number),
    SPAN(BwJobCancel, queue),
    SPAN(BwJobCancel, name),
};
static const Field job_cancel_answer_fields[] = {
    U64(BwJobCancelAnswer, number),
    U32(BwJobCancelAnswer, is_cancelled),
};

static const Layout layouts[BW_MSG_COUNT] = {
    [BW_MSG_HELLO] = LAYOUT(BwHello, hello_fields),
    [BW_MSG_SUBMIT] = LAYOUT(BwSubmit, submit_fields),
    [BW_MSG_RESULT] = LAYOUT(BwResult, result_fields),
    [BW_MSG_WITHDRAW] = LAYOUT(BwWithdraw, withdraw_fields),
    [BW_MSG_CANCEL] = LAYOUT(BwCancel, cancel_fields),
    [BW_MSG_GRANT] = LAYOUT(BwGrant, grant_fields),
    [BW_MSG_DECLINE] = LAYOUT(BwDecline, decline_fields),
    [BW_MSG_PULL] = LAYOUT(BwPull, pull_fields),
    [BW_MSG_DONE] = LAYOUT(BwDone, done_fields),
    [BW_MSG_RELEASE] = LAYOUT(BwRelease, release_fields),
    [BW_MSG_LOAD] = LAYOUT(BwLoad, load_fields),
    [BW_MSG_LEASE_REQUEST] = LAYOUT(BwLeaseRequest, lease_request_fields),
    [BW_MSG_LEASE_GRANT] = LAYOUT(BwLeaseGrant, lease_grant_fields),
    [BW_MSG_FENCE] = LAYOUT(BwFence, fence_fields),
    [BW_MSG_FENCE_ANSWER] = LAYOUT(BwFenceAnswer, fence_answer_fields),
    [BW_MSG_RECOVER_REQUEST] =
        LAYOUT(BwRecoverRequest, recover_request_fields),
    [BW_MSG_CUSTODY] = LAYOUT(BwCustodyNotice, custody_notice_fields),
    [BW_MSG_LOCAL_RUN_NOTICE] =
        LAYOUT(BwLocalRunNotice, local_run_notice_fields),
    [BW_MSG_HAND_OVER] = LAYOUT(BwHandOver, hand_over_fields),
    [BW_MSG_HAND_OVER_END] = LAYOUT(BwHandOverEnd, hand_over_end_fields),
    [BW_MSG_CONFIG_REQUEST] = LAYOUT(BwConfigRequest, config_request_fields),
    [BW_MSG_CONFIG_STATE] = LAYOUT(BwConfigState, config_state_fields),
    [BW_MSG_RING_STATE] = LAYOUT(BwRingState, ring_state_fields),
    [BW_MSG_WORKER] = LAYOUT(BwWorkerState, worker_state_fields),
    [BW_MSG_PLACE] = LAYOUT(BwPlace, place_fields),
    [BW_MSG_STOP] = LAYOUT(BwStop, stop_fields),
    [BW_MSG_OUTCOME] = LAYOUT(BwOutcome, outcome_fields),
    [BW_MSG_SESSION] = LAYOUT(BwSession, session_fields),
    [BW_MSG_CRASH] = LAYOUT(BwCrash, crash_fields),
    [BW_MSG_DISPATCHER_LIST] =
        LAYOUT(BwDispatcherList, dispatcher_list_fields),
    [BW_MSG_EVACUATIONS] =
        LAYOUT_SINCE(4, BwEvacuationList, evacuation_list_fields),
    [BW_MSG_EVACUATE] = LAYOUT_SINCE(4, BwEvacuate, evacuate_fields),
    [BW_MSG_JOB_CANCEL] = LAYOUT_SINCE(5, BwJobCancel, job_cancel_fields),
    [BW_MSG_JOB_CANCEL_ANSWER] =
        LAYOUT_SINCE(5, BwJobCancelAnswer, job_cancel_answer_fields),
};

bool
BwWire_HasKind(uint32_t version, BwMessageKind kind)
{
    return layouts[kind].since <= version;
}

/* Returns how many fields the layout has in that version. */
static uint32_t
count_fields(const Layout *layout, uint32_t version)
{
    uint32_t count = layout->field_count;

    if (version == BW_WIRE_VERSION)
        return count;
    for (uint32_t i = 0; i < layout->field_count; i++)
        count -= layout->fields[i].since > version;
    return count;
}

static void
pack_fields(msgpack_packer *packer, const Layout *layout, uint32_t version,
            const char *base)
{
    for (uint32_t i = 0; i < layout->field_count; i++) {
        const Field *field = &layout->fields[i];
        const char *value = base + field->offset;
        const BwSpan *span = (const BwSpan *)value;
        const BwJobId *id = (const BwJobId *)value;
        uint32_t count;

        if (field->since > version)
            continue;
        switch (field->type) {
        case FIELD_U32:
            msgpack_pack_uint32(packer, *(const uint32_t *)value);
            break;
        case FIELD_U64:
            msgpack_pack_uint64(packer, *(const uint64_t *)value);
            break;
        case FIELD_SPAN:
            msgpack_pack_bin(packer, span->size_bytes);
            msgpack_pack_bin_body(packer, span->base, span->size_bytes);
            break;
        case FIELD_ID:
            msgpack_pack_bin(packer, sizeof(BwJobId));
            msgpack_pack_bin_body(packer, id, sizeof(BwJobId));
            break;
        case FIELD_LIST:
            count = *(const uint32_t *)(base + field->count_offset);
            msgpack_pack_array(packer, count);
            for (uint32_t j = 0; j < count; j++) {
                const char *items = *(const char *const *)value;

                msgpack_pack_array(packer,
                                   count_fields(field->element, version));
                pack_fields(packer, field->element, version,
                            items + j * field->element->size_bytes);
            }
            break;
        }
    }
}

bool
BwWire_Encode(msgpack_sbuffer *out, uint32_t version, const BwMessage *message)
{
    const Layout *layout = &layouts[message->kind];
    size_t start = out->size;
    size_t length;
    msgpack_packer packer;
    static const char blank[BW_FRAME_HEADER_BYTES];

    if (msgpack_sbuffer_write(out, blank, sizeof(blank)) != 0)
        return false;
    msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, count_fields(layout, version) + 1);
    msgpack_pack_uint32(&packer, message->kind);
    pack_fields(&packer, layout, version, (const char *)&message->u);
    length = out->size - start - BW_FRAME_HEADER_BYTES;
    if (length > BW_FRAME_BYTES_MAX ||
        (length > BW_FRAME_VALUES_MAX &&
         !BwFrame_IsBounded(out->data + start + BW_FRAME_HEADER_BYTES,
                            length))) {
        out->size = start;
        return false;
    }
    for (int i = 0; i < BW_FRAME_HEADER_BYTES; i++)
        out->data[start + i] = (char)(length >> (8 * (3 - i)));
    return true;
}

static bool
unpack_fields(msgpack_zone *zone, const Layout *layout, uint32_t version,
              const msgpack_object *items, uint32_t count, char *base);

static bool
unpack_list(msgpack_zone *zone, const Field *field, uint32_t version,
            const msgpack_object *object, char *base)
{
    const Layout *element = field->element;
    uint32_t count;
    char *items;

    if (object->type != MSGPACK_OBJECT_ARRAY)
        return false;
    count = object->via.array.size;
    if (count > BW_LIST_ITEMS_MAX)
        return false;
    items = msgpack_zone_malloc(zone, (count + 1) * element->size_bytes);
    if (items == NULL)
        return false;
    memset(items, 0, (count + 1) * element->size_bytes);
    for (uint32_t i = 0; i < count; i++) {
        const msgpack_object *item = &object->via.array.ptr[i];

        if (item->type != MSGPACK_OBJECT_ARRAY)
            return false;
        if (!unpack_fields(zone, element, version, item->via.array.ptr,
                           item->via.array.size,
                           items + i * element->size_bytes))
            return false;
    }
    *(char **)(base + field->offset) = items;
    *(uint32_t *)(base + field->count_offset) = count;
    return true;
}

static bool
unpack_field(msgpack_zone *zone, const Field *field, uint32_t version,
             const msgpack_object *object, char *base)
{
    char *value = base + field->offset;
    BwSpan *span = (BwSpan *)value;

    switch (field->type) {
    case FIELD_U32:
        if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
            object->via.u64 > UINT32_MAX)
            return false;
        *(uint32_t *)value = (uint32_t)object->via.u64;
        return true;
    case FIELD_U64:
        if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
            return false;
        *(uint64_t *)value = object->via.u64;
        return true;
    case FIELD_SPAN:
        if (object->type != MSGPACK_OBJECT_BIN)
            return false;
        span->base = object->via.bin.ptr;
        span->size_bytes = object->via.bin.size;
        return true;
    case FIELD_ID:
        if (object->type != MSGPACK_OBJECT_BIN ||
            object->via.bin.size != sizeof(BwJobId))
            return false;
        memcpy(value, object->via.bin.ptr, sizeof(BwJobId));
        return true;
    case FIELD_LIST:
        return unpack_list(zone, field, version, object, base);
    }
    return false;
}

/* A field that the sender's version lacks keeps its zero, which has to be a
   safe value of every such field. */
static bool
unpack_fields(msgpack_zone *zone, const Layout *layout, uint32_t version,
              const msgpack_object *items, uint32_t count, char *base)
{
    uint32_t next = 0;

    for (uint32_t i = 0; i < layout->field_count; i++) {
        const Field *field = &layout->fields[i];

        if (field->since > version)
            continue;
        if (next == count && field->is_optional)
            continue;
        if (next == count ||
            !unpack_field(zone, field, version, &items[next++], base))
            return false;
    }
    return true;
}

static BwWireStatus
unpack_message(msgpack_zone *zone, uint32_t version,
               const msgpack_object *object, BwMessage *message)
{
    const msgpack_object *items;
    uint64_t kind;

    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 1)
        return BW_WIRE_BAD;
    items = object->via.array.ptr;
    if (items[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return BW_WIRE_BAD;
    kind = items[0].via.u64;
    if (kind == 0)
        return BW_WIRE_BAD;
    if (kind >= BW_MSG_COUNT)
        return BW_WIRE_UNKNOWN;
    memset(message, 0, sizeof(*message));
    message->kind = (BwMessageKind)kind;
    return unpack_fields(zone, &layouts[kind], version, items + 1,
                         object->via.array.size - 1, (char *)&message->u)
               ? BW_WIRE_OK
               : BW_WIRE_BAD;
}

BwWireStatus
BwWire_Decode(const char *data, size_t size_bytes, uint32_t version,
              size_t *used_bytes, msgpack_zone *zone, BwMessage *message)
{
    const unsigned char *bytes = (const unsigned char *)data;
    msgpack_object object;
    size_t length = 0;
    size_t offset = 0;

    if (size_bytes < BW_FRAME_HEADER_BYTES)
        return BW_WIRE_SHORT;
    for (int i = 0; i < BW_FRAME_HEADER_BYTES; i++)
        length = length << 8 | bytes[i];
    if (length > BW_FRAME_BYTES_MAX)
        return BW_WIRE_BAD;
    if (size_bytes - BW_FRAME_HEADER_BYTES < length)
        return BW_WIRE_SHORT;
    if (!BwFrame_IsBounded(data + BW_FRAME_HEADER_BYTES, length))
        return BW_WIRE_BAD;
    if (msgpack_unpack(data + BW_FRAME_HEADER_BYTES, length, &offset, zone,
                       &object) != MSGPACK_UNPACK_SUCCESS ||
        offset != length)
        return BW_WIRE_BAD;
    *used_bytes = BW_FRAME_HEADER_BYTES + length;
    return unpack_message(zone, version, &object, message);
}
