/* revision.c -- which configuration text is in force

   Every reader applies the records of the log in the order of their offsets
   and by the same rule, so all readers arrive at the same revision.  A record
   is accepted when its text is valid and it is based on the revision in force;
   otherwise it is refused.  The revision number never decreases.

   A reader that starts after the log's retention has dropped records cannot
   tell the record that set the revision in force from one that was refused
   because another author was faster.  It waits for a renewal, which is a copy
   of the text in force that a synced reader has appended, together with the
   offset up to which that reader had read, as_of.  The renewal gives the state
   at as_of, and the records from as_of on are still in the log, so the reader
   goes back to as_of and applies them.  A renewal whose as_of lies before the
   first record that the reader has seen cannot be used: records that were
   accepted after as_of may be lost to the reader, so it waits for the next
   renewal.

   The configuration log of the agents and of the command-line tools calls
   this module for each record.
*/

#include <string.h>

#include "brasswing.h"

void
BwRevision_Init(BwRevision *revision)
{
    memset(revision, 0, sizeof(*revision));
    revision->is_synced = true;
}

void
BwRevision_InitUnsynced(BwRevision *revision, uint64_t first)
{
    memset(revision, 0, sizeof(*revision));
    revision->start_offset = first;
    revision->next_offset = first;
}

void
BwRevision_OnTruncated(BwRevision *revision, uint64_t first)
{
    if (first <= revision->next_offset)
        return;
    revision->is_synced = false;
    revision->start_offset = first;
    revision->next_offset = first;
}

static void
set_revision(BwRevision *revision, uint64_t number, uint64_t offset,
             BwSpan publish_id)
{
    revision->number = number;
    revision->offset = offset;
    BwSpan_ToString(publish_id, revision->publish_id,
                    sizeof(revision->publish_id));
}

/* Takes over the state that a synced reader had at state->as_of. */
static BwRevisionVerdict
restore_state(BwRevision *revision, const BwRevisionRecord *state)
{
    uint64_t number_before = revision->number;

    if (state->number < number_before)
        return BW_REVISION_UNDECIDED;
    revision->is_synced = true;
    revision->next_offset = state->as_of;
    if (state->number == number_before)
        return BW_REVISION_REPEATED;
    set_revision(revision, state->number, state->set_at, state->publish_id);
    return BW_REVISION_ACCEPTED;
}

static BwRevisionVerdict
apply_renewal(BwRevision *revision, const BwRevisionRecord *record)
{
    BwRevisionVerdict verdict = BW_REVISION_REPEATED;

    if (record->as_of > record->offset)
        return BW_REVISION_UNDECIDED;
    if (!revision->is_synced) {
        if (record->as_of < revision->start_offset)
            return BW_REVISION_UNDECIDED;
        verdict = restore_state(revision, record);
    }
    else {
        revision->next_offset = record->offset + 1;
    }
    if (record->as_of > revision->newest_as_of)
        revision->newest_as_of = record->as_of;
    return verdict;
}

BwRevisionVerdict
BwRevision_Apply(BwRevision *revision, const BwRevisionRecord *record)
{
    if (record->offset < revision->next_offset)
        return BW_REVISION_REPEATED;
    if (record->is_renewal)
        return apply_renewal(revision, record);
    if (!revision->is_synced)
        return BW_REVISION_UNDECIDED;
    revision->next_offset = record->offset + 1;
    if (!record->is_valid)
        return BW_REVISION_INVALID;
    if (record->base != revision->number)
        return BW_REVISION_CONFLICT;
    set_revision(revision, revision->number + 1, record->offset,
                 record->publish_id);
    return BW_REVISION_ACCEPTED;
}

void
BwRevision_Skip(BwRevision *revision, uint64_t offset)
{
    if (revision->is_synced && revision->next_offset <= offset)
        revision->next_offset = offset + 1;
}

bool
BwRevision_Adopt(BwRevision *revision, const BwRevisionRecord *state)
{
    if (revision->is_synced && state->as_of <= revision->next_offset)
        return false;
    return restore_state(revision, state) == BW_REVISION_ACCEPTED;
}
