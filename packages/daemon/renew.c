/* renew.c -- appends records again before the log's retention drops them

   The log does not say how long it keeps a record.  The settings state a least
   time (log_retention_s); a record is renewed after a quarter of it.  A log
   that drops records sooner shows this by its oldest offset, see
   BwRenewal_IsDue.  The configuration is also renewed every BW_RENEWAL_RECORDS
   records, because a reader that starts applies the texts since the newest
   renewal, and so never more than about that many.
*/

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "renew.h"

#define RETRY_INTERVAL_US 1000000
#define MEMBER_CHECK_INTERVAL_US 200000
#define APPENDS_PER_CHECK_MAX 16
#define RANK_MAX 30

static uint64_t
renewal_interval_us(const BwDirectory *directory)
{
    return directory->settings->log_retention_s * 1000000 / 4;
}

void
BwRenew_Init(BwDirectory *directory)
{
    BwRenewer *renewer = &directory->renewer;

    memset(renewer, 0, sizeof(*renewer));
    renewer->config.renewal.renew_at_us =
        BwClock_Now() + renewal_interval_us(directory);
}

void
BwRenew_Finish(BwDirectory *directory)
{
    BwJoinRecord *join, *next;

    HASH_ITER(hh, directory->renewer.joins, join, next)
    {
        HASH_DEL(directory->renewer.joins, join);
        free(join);
    }
}

static BwJoinRecord *
find_join(BwRenewer *renewer, const char *name)
{
    BwJoinRecord *join;

    HASH_FIND_STR(renewer->joins, name, join);
    return join;
}

static BwJoinRecord *
add_join(BwRenewer *renewer, const char *name)
{
    BwJoinRecord *join = calloc(1, sizeof(BwJoinRecord));

    if (join == NULL)
        return NULL;
    strcpy(join->name, name);
    HASH_ADD_STR(renewer->joins, name, join);
    return join;
}

bool
BwRenew_OnJoin(BwDirectory *directory, const BwAgent *agent, uint64_t offset,
               uint64_t version)
{
    BwRenewer *renewer = &directory->renewer;
    BwJoinRecord *join = find_join(renewer, agent->name);

    if (join == NULL)
        join = add_join(renewer, agent->name);
    if (join == NULL)
        return true;
    if (version != 0 && version < join->ring_version &&
        agent->incarnation != join->incarnation)
        return false;
    if (version == 0)
        join->ring_version = offset + 1;
    else if (version > join->ring_version)
        join->ring_version = version;
    join->incarnation = agent->incarnation;
    memset(&join->state, 0, sizeof(join->state));
    join->state.renewal.offset = offset;
    join->state.renewal.renew_at_us =
        BwClock_Now() + renewal_interval_us(directory);
    return true;
}

void
BwRenew_OnLeave(BwDirectory *directory, BwSpan name, uint64_t offset)
{
    char text[BW_NAME_BYTES_MAX];
    BwJoinRecord *join;

    BwSpan_ToString(name, text, sizeof(text));
    join = find_join(&directory->renewer, text);
    if (join == NULL)
        return;
    join->ring_version = offset + 1;
    join->incarnation = 0;
}

void
BwRenew_OnConfigRenewal(BwDirectory *directory, const json_t *record)
{
    BwRenewalState *state = &directory->renewer.config;
    uint64_t interval_us = renewal_interval_us(directory);
    uint64_t at_wall_us = BwRecord_Number(record, "at_wall_us");
    uint64_t now_wall_us = BwClock_WallNow();
    uint64_t age_us = now_wall_us > at_wall_us ? now_wall_us - at_wall_us : 0;

    state->renewal.offset = directory->config.revision.newest_as_of;
    state->renewal.renew_at_us =
        BwClock_Now() + (age_us < interval_us ? interval_us - age_us : 0);
    state->due_us = 0;
}

/* The answer is ignored: whether the append succeeded is seen by reading the
   log. */
static void
on_appended(void *data, const BwHttpReply *reply)
{
    (void)data;
    (void)reply;
}

static void
append(BwDirectory *directory, json_t *record, uint64_t now_us)
{
    if (record != NULL)
        BwLogClient_Append(&directory->log, now_us, record, on_appended, NULL);
    json_decref(record);
}

/* Returns whether this process is to append the record now.  It waits
   BW_RENEW_RANK_DELAY_US for each of the `rank` processes before it. */
static bool
is_turn(BwRenewalState *state, bool is_due, uint64_t rank, uint64_t now_us)
{
    if (!is_due) {
        state->due_us = 0;
        return false;
    }
    if (state->due_us == 0)
        state->due_us = now_us;
    if (now_us < state->retry_us ||
        now_us < state->due_us + rank * BW_RENEW_RANK_DELAY_US)
        return false;
    state->retry_us = now_us + RETRY_INTERVAL_US;
    return true;
}

/* Returns the number of agents of the ring before this one, up to RANK_MAX. */
static uint64_t
own_rank(const BwDirectory *directory)
{
    int32_t index = BwRing_IndexOf(
        &directory->ring, BwSpan_FromString(directory->settings->name));

    return index < 0 || index > RANK_MAX ? RANK_MAX : (uint64_t)index;
}

static void
append_join(BwDirectory *directory, const BwAgent *agent, uint64_t now_us)
{
    json_t *record = BwDirectory_MakeMembershipRecord(directory, agent, true);

    json_object_set_new(record, "version",
                        json_integer((json_int_t)directory->ring.version));
    append(directory, record, now_us);
    BW_LOG(directory->logger, BW_LOG_INFO, "renew_join",
           BW_LOG_TEXT("agent", agent->name),
           BW_LOG_NUMBER("first", directory->log_first));
}

static void
renew_joins(BwDirectory *directory, uint64_t now_us)
{
    uint64_t rank = own_rank(directory) + 1;
    uint32_t appended = 0;

    for (uint32_t i = 0; i < directory->ring.agent_count; i++) {
        const BwAgent *agent = &directory->ring.agents[i];
        BwJoinRecord *join = find_join(&directory->renewer, agent->name);
        bool is_self = strcmp(agent->name, directory->settings->name) == 0;
        bool is_due;

        if (join == NULL || appended == APPENDS_PER_CHECK_MAX)
            continue;
        is_due = BwRenewal_IsDue(&join->state.renewal, now_us,
                                 directory->log_first, directory->log_next);
        if (!is_turn(&join->state, is_due, is_self ? 0 : rank, now_us))
            continue;
        append_join(directory, agent, now_us);
        appended++;
    }
}

static void
renew_config(BwDirectory *directory, uint64_t now_us)
{
    BwRenewalState *state = &directory->renewer.config;
    const BwRevision *revision = &directory->config.revision;
    bool is_due =
        revision->is_synced &&
        (directory->log_next - state->renewal.offset >= BW_RENEWAL_RECORDS ||
         BwRenewal_IsDue(&state->renewal, now_us, directory->log_first,
                         directory->log_next));

    if (!is_turn(state, is_due, own_rank(directory), now_us))
        return;
    append(directory,
           BwConfigLog_MakeRenewal(&directory->config, BwClock_WallNow()),
           now_us);
    BW_LOG(directory->logger, BW_LOG_INFO, "renew_config",
           BW_LOG_NUMBER("revision", revision->number),
           BW_LOG_NUMBER("as_of", revision->next_offset),
           BW_LOG_NUMBER("first", directory->log_first));
}

void
BwRenew_Tick(BwDirectory *directory, uint64_t now_us)
{
    if (directory->settings->role != BW_SETTINGS_AGENT ||
        !directory->is_caught_up || !directory->is_up)
        return;
    renew_config(directory, now_us);
    if (now_us < directory->renewer.next_check_us)
        return;
    directory->renewer.next_check_us = now_us + MEMBER_CHECK_INTERVAL_US;
    renew_joins(directory, now_us);
}
