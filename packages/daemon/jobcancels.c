/* jobcancels.c -- cancels of jobs that run at other dispatchers

   Method and callers are described in jobcancels.h.  Answers of one dispatcher
   come over the connection on which it was asked, each once, so a count of
   those that are missing is enough.
*/

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "brasswing.h"
#include "daemon.h"
#include "jobcancels.h"
#include "wire.h"

/* A supervisor ends the tasks of a silent dispatcher after about as long. */
#define ANSWER_WAIT_US 500000
/* A dispatcher whose connection has ended may be cut off from here alone, and
   its jobs last as long as their callers wait. */
#define LOST_RECENTLY_US 30000000ull
/* Messages for jobs that are unknown here, a second and at once. */
#define BUDGET_PER_S 2000

/* Whether the message can be sent on the link, and whom it leads to. */
static bool
leads_to(const BwMeshLink *link, BwRole role)
{
    return link->is_up && !link->is_closed && link->role == role &&
           (role != BW_ROLE_DISPATCHER || link->target != NULL) &&
           BwWire_HasKind(link->link.wire_version, BW_MSG_JOB_CANCEL);
}

static uint32_t
count_links(const BwJobCancels *cancels, BwRole role)
{
    uint32_t count = 0;

    for (const BwMeshLink *link = cancels->node->mesh.links; link != NULL;
         link = link->hh.next)
        count += leads_to(link, role);
    return count;
}

static BwMessage
make_message(uint64_t number, BwSpan queue, BwSpan name)
{
    BwMessage message = {.kind = BW_MSG_JOB_CANCEL};

    message.u.job_cancel.number = number;
    message.u.job_cancel.queue = queue;
    message.u.job_cancel.name = name;
    return message;
}

/* Returns how many were sent. */
static uint32_t
send_to_all(BwJobCancels *cancels, BwRole role, const BwMessage *message)
{
    uint32_t sent = 0;

    for (BwMeshLink *link = cancels->node->mesh.links; link != NULL;
         link = link->hh.next)
        sent += leads_to(link, role) &&
                BwMesh_Send(&cancels->node->mesh, link->id, message);
    return sent;
}

/* Returns whether so many messages may be sent, and takes them off the
   budget. */
static bool
take_budget(BwJobCancels *cancels, uint64_t now_us, uint64_t messages)
{
    cancels->budget += (now_us - cancels->budget_us) * BUDGET_PER_S / 1000000;
    if (cancels->budget > BUDGET_PER_S)
        cancels->budget = BUDGET_PER_S;
    cancels->budget_us = now_us;
    if (messages > cancels->budget)
        return false;
    cancels->budget -= messages;
    return true;
}

static void
end_ask(BwJobCancels *cancels, BwCancelAsk *ask, BwCancelResult result)
{
    void *data = ask->data;

    DL_DELETE(cancels->asks, ask);
    free(ask);
    cancels->events->answer(cancels->ctx, data, result);
}

/* Ends the job's tasks wherever they run, and keeps others from starting: its
   dispatcher cannot be asked. */
static void
escalate(BwJobCancels *cancels, const BwCancelAsk *ask)
{
    BwMessage message = make_message(0, BwSpan_FromString(ask->queue),
                                     BwSpan_FromString(ask->name));
    uint32_t sent = send_to_all(cancels, BW_ROLE_SUPERVISOR, &message);

    cancels->escalated++;
    BW_LOG(&cancels->node->logger, BW_LOG_INFO, "cancel_unanswered",
           BW_LOG_TEXT("job", ask->name), BW_LOG_NUMBER("count", sent),
           BW_LOG_TEXT("reason", "a dispatcher did not answer; supervisors "
                                 "end its tasks"));
}

bool
BwJobCancels_Ask(BwJobCancels *cancels, uint64_t now_us, BwSpan queue,
                 BwSpan name, void *data)
{
    uint32_t others = count_links(cancels, BW_ROLE_DISPATCHER);
    bool is_one_lost =
        cancels->lost_us != 0 && now_us - cancels->lost_us < LOST_RECENTLY_US;
    uint64_t messages = others;
    BwCancelAsk *ask;
    BwMessage message;

    if (is_one_lost)
        messages += count_links(cancels, BW_ROLE_SUPERVISOR);
    ask = take_budget(cancels, now_us, messages) ? calloc(1, sizeof(*ask))
                                                 : NULL;
    if (ask == NULL) {
        cancels->refused++;
        return false;
    }
    cancels->asked++;
    ask->number = ++cancels->last_number;
    ask->until_us = now_us + ANSWER_WAIT_US;
    BwSpan_ToString(queue, ask->queue, sizeof(ask->queue));
    BwSpan_ToString(name, ask->name, sizeof(ask->name));
    ask->data = data;
    message = make_message(ask->number, queue, name);
    ask->waiting = send_to_all(cancels, BW_ROLE_DISPATCHER, &message);
    DL_APPEND(cancels->asks, ask);
    if (is_one_lost)
        escalate(cancels, ask);
    if (ask->waiting == 0)
        end_ask(cancels, ask, BW_CANCEL_UNKNOWN);
    return true;
}

void
BwJobCancels_Drop(BwJobCancels *cancels, const void *data)
{
    BwCancelAsk *ask;

    DL_SEARCH_SCALAR(cancels->asks, ask, data, data);
    if (ask == NULL)
        return;
    DL_DELETE(cancels->asks, ask);
    free(ask);
}

void
BwJobCancels_Announce(BwJobCancels *cancels, BwSpan queue, BwSpan name)
{
    BwMessage message = make_message(0, queue, name);

    send_to_all(cancels, BW_ROLE_DISPATCHER, &message);
}

void
BwJobCancels_OnDown(BwJobCancels *cancels, uint64_t now_us)
{
    BwCancelAsk *ask;

    cancels->lost_us = now_us;
    DL_FOREACH(cancels->asks, ask)
    {
        ask->is_link_lost = true;
    }
}

static void
on_cancel(BwJobCancels *cancels, uint32_t link, const BwJobCancel *cancel)
{
    BwMessage answer = {.kind = BW_MSG_JOB_CANCEL_ANSWER};

    if (cancel->number == 0) {
        cancels->events->remember(cancels->ctx, cancel->queue, cancel->name);
        return;
    }
    answer.u.job_cancel_answer.number = cancel->number;
    answer.u.job_cancel_answer.is_cancelled =
        cancels->events->cancel(cancels->ctx, cancel->queue, cancel->name);
    BwMesh_Send(&cancels->node->mesh, link, &answer);
}

static void
on_cancel_answer(BwJobCancels *cancels, const BwJobCancelAnswer *answer)
{
    BwCancelAsk *ask;

    DL_SEARCH_SCALAR(cancels->asks, ask, number, answer->number);
    if (ask == NULL)
        return;
    ask->waiting -= ask->waiting > 0;
    if (answer->is_cancelled != 0)
        end_ask(cancels, ask, BW_CANCEL_DONE);
    else if (ask->waiting == 0)
        end_ask(cancels, ask, BW_CANCEL_UNKNOWN);
}

bool
BwJobCancels_OnMessage(BwJobCancels *cancels, uint64_t now_us, uint32_t link,
                       const BwMessage *message)
{
    (void)now_us;
    if (message->kind == BW_MSG_JOB_CANCEL)
        on_cancel(cancels, link, &message->u.job_cancel);
    else if (message->kind == BW_MSG_JOB_CANCEL_ANSWER)
        on_cancel_answer(cancels, &message->u.job_cancel_answer);
    else
        return false;
    return true;
}

void
BwJobCancels_Tick(BwJobCancels *cancels, uint64_t now_us)
{
    BwCancelAsk *ask, *next;

    DL_FOREACH_SAFE(cancels->asks, ask, next)
    {
        if (!ask->is_link_lost && now_us < ask->until_us)
            continue;
        take_budget(cancels, now_us, count_links(cancels, BW_ROLE_SUPERVISOR));
        escalate(cancels, ask);
        end_ask(cancels, ask, BW_CANCEL_UNKNOWN);
    }
}

void
BwJobCancels_Init(BwJobCancels *cancels, BwNode *node,
                  const BwJobCancelEvents *events, void *ctx)
{
    memset(cancels, 0, sizeof(*cancels));
    cancels->node = node;
    cancels->events = events;
    cancels->ctx = ctx;
    cancels->budget = BUDGET_PER_S;
    cancels->budget_us = BwClock_Now();
}

void
BwJobCancels_Finish(BwJobCancels *cancels)
{
    while (cancels->asks != NULL) {
        BwCancelAsk *ask = cancels->asks;

        DL_DELETE(cancels->asks, ask);
        free(ask);
    }
}
