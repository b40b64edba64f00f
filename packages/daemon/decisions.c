/* decisions.c -- circular buffer of the last decisions of this process

   Described in decisions.h.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "decisions.h"

BwDecisions *
BwDecisions_New(void)
{
    return calloc(1, sizeof(BwDecisions));
}

static void
copy(char *out, size_t size_bytes, const char *text)
{
    snprintf(out, size_bytes, "%s", text != NULL ? text : "");
}

void
BwDecisions_Add(BwDecisions *decisions, uint64_t now_wall_us,
                const BwDecision *decision)
{
    BwDecisionRecord *record =
        &decisions->records[decisions->added++ % BW_DECISIONS_MAX];

    record->at_wall_us = now_wall_us;
    record->job = decision->job;
    record->count = decision->count;
    record->alternatives = decision->alternatives;
    copy(record->what, sizeof(record->what), decision->what);
    copy(record->choice, sizeof(record->choice), decision->choice);
    copy(record->reason, sizeof(record->reason), decision->reason);
}

char *
BwDecisions_Write(const BwDecisions *decisions, const char *node, BwJobId job)
{
    json_t *list = json_array();
    json_t *root;
    char *text;
    uint64_t first = 0;

    if (decisions->added > BW_DECISIONS_MAX)
        first = decisions->added - BW_DECISIONS_MAX;
    for (uint64_t i = first; i < decisions->added; i++) {
        const BwDecisionRecord *record =
            &decisions->records[i % BW_DECISIONS_MAX];

        if (!BwJobId_Equal(record->job, job))
            continue;
        json_array_append_new(
            list,
            json_pack("{s:I, s:s, s:s, s:I, s:s, s:I, s:s}", "at_wall_us",
                      (json_int_t)record->at_wall_us, "node", node, "what",
                      record->what, "count", (json_int_t)record->count,
                      "choice", record->choice, "alternatives",
                      (json_int_t)record->alternatives, "reason",
                      record->reason));
    }
    root = json_pack("{s:o}", "decisions", list);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}
