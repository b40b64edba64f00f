/* order.c -- queueing disciplines: which reservation an executor pulls next

   `fifo` is one list.  `fair` has a class for each priority, and in each class
   a flow for each member and team.  Classes are served in strict priority.
   Within a class, deficit round robin gives each flow run time in proportion
   to its weight.  It counts expected run time and not tasks, so that long
   tasks get no larger share than short ones.  A flow that has nothing queued
   leaves its share to the others.

   Ageing keeps low classes from starving: while one of them has waited for
   longer than AGED_US, it gets one pull in about AGED_EVERY.  This fixed share
   limits what low classes can cost the first.  Raising their priority with
   time would let a long overload of reports displace renewals.

   executor.c queues its reservations here.
*/

#include <stdlib.h>
#include <string.h>

#include "brasswing.h"

#define AGED_EVERY 32
#define AGED_US 2000000
#define COST_US_MIN 1000
#define COST_US_MAX 10000000
#define COST_US_UNKNOWN 200000

/* The items of one member and team in a class.  A flow without items is
   freed. */
struct BwFlow {
    uint64_t key;
    uint32_t weight;
    int64_t deficit_us; /* run time that it may still take */
    BwQueueItem *first;
    BwQueueItem *last;
    BwFlow *next; /* in a circular list */
    BwFlow *previous;
};

void
BwQueue_Init(BwQueue *queue, const BwOrder *order)
{
    memset(queue, 0, sizeof(*queue));
    queue->order = order;
}

static void
link_item(BwQueueItem **first, BwQueueItem **last, BwQueueItem *item)
{
    item->next = NULL;
    item->previous = *last;
    *(*last != NULL ? &(*last)->next : first) = item;
    *last = item;
}

static void
unlink_item(BwQueueItem **first, BwQueueItem **last, BwQueueItem *item)
{
    *(item->previous != NULL ? &item->previous->next : first) = item->next;
    *(item->next != NULL ? &item->next->previous : last) = item->previous;
}

/* -------------------------------------------------------------- fifo */

static bool
fifo_add(BwQueue *queue, BwQueueItem *item)
{
    link_item(&queue->first, &queue->last, item);
    return true;
}

static void
fifo_remove(BwQueue *queue, BwQueueItem *item)
{
    unlink_item(&queue->first, &queue->last, item);
}

static BwQueueItem *
fifo_next(BwQueue *queue, uint64_t now_us)
{
    (void)now_us;
    return queue->first;
}

static void
fifo_on_take(BwQueue *queue, BwQueueItem *item)
{
    (void)queue;
    (void)item;
}

/* -------------------------------------------------------------- fair */

static BwFlow *
find_flow(BwFlow *head, uint64_t key)
{
    BwFlow *flow = head;

    if (head == NULL)
        return NULL;
    do {
        if (flow->key == key)
            return flow;
        flow = flow->next;
    } while (flow != head);
    return NULL;
}

static BwFlow *
add_flow(BwFlow **head, uint64_t key)
{
    BwFlow *flow = calloc(1, sizeof(BwFlow));

    if (flow == NULL)
        return NULL;
    flow->key = key;
    if (*head == NULL) {
        flow->next = flow;
        flow->previous = flow;
        *head = flow;
        return flow;
    }
    flow->next = *head;
    flow->previous = (*head)->previous;
    flow->previous->next = flow;
    (*head)->previous = flow;
    return flow;
}

static void
remove_flow(BwFlow **head, BwFlow *flow)
{
    if (flow->next == flow)
        *head = NULL;
    else if (*head == flow)
        *head = flow->next;
    flow->previous->next = flow->next;
    flow->next->previous = flow->previous;
    free(flow);
}

static bool
fair_add(BwQueue *queue, BwQueueItem *item)
{
    BwFlow **head;
    BwFlow *flow;

    head = &queue->flows[item->priority];
    flow = find_flow(*head, item->flow_key);
    if (flow == NULL)
        flow = add_flow(head, item->flow_key);
    if (flow == NULL)
        return false;
    flow->weight = item->weight > 0 ? item->weight : 1;
    item->flow = flow;
    link_item(&flow->first, &flow->last, item);
    return true;
}

static void
fair_remove(BwQueue *queue, BwQueueItem *item)
{
    BwFlow *flow = item->flow;

    unlink_item(&flow->first, &flow->last, item);
    if (flow->first == NULL)
        remove_flow(&queue->flows[item->priority], flow);
    item->flow = NULL;
}

static int64_t
cost_us(const BwQueueItem *item)
{
    uint64_t cost =
        item->expected_us > 0 ? item->expected_us : COST_US_UNKNOWN;

    if (cost < COST_US_MIN)
        return COST_US_MIN;
    return (int64_t)(cost < COST_US_MAX ? cost : COST_US_MAX);
}

/* Adds a quantum to each flow, in proportion to its weight.  The flow of the
   largest weight gets enough for its first item at once, so the rounds until
   some flow can take its item are limited by the ratio of the weights. */
static void
add_quantum(BwFlow *head)
{
    int64_t cost = 0;
    uint32_t weight = 1;
    BwFlow *flow = head;

    do {
        if (cost_us(flow->first) > cost)
            cost = cost_us(flow->first);
        if (flow->weight > weight)
            weight = flow->weight;
        flow = flow->next;
    } while (flow != head);
    do {
        flow->deficit_us += cost * flow->weight / weight + 1;
        flow = flow->next;
    } while (flow != head);
}

static BwQueueItem *
next_in_class(BwFlow **head)
{
    for (;;) {
        BwFlow *flow = *head;

        do {
            if (flow->deficit_us >= cost_us(flow->first)) {
                *head = flow;
                return flow->first;
            }
            flow = flow->next;
        } while (flow != *head);
        add_quantum(*head);
    }
}

/* Returns the class below `first` whose turn it is by age, which is the one
   that has waited longest, or BW_PRIORITIES for none. */
static uint32_t
aged_class(const BwQueue *queue, uint64_t now_us, uint32_t first)
{
    uint32_t aged = BW_PRIORITIES;
    uint64_t since_us = now_us;

    if (queue->takes_since_aged < AGED_EVERY)
        return BW_PRIORITIES;
    for (uint32_t i = first + 1; i < BW_PRIORITIES; i++) {
        const BwFlow *head = queue->flows[i];
        uint64_t head_us = head != NULL ? head->first->since_us : now_us;

        if (head_us + AGED_US <= now_us && head_us < since_us) {
            aged = i;
            since_us = head_us;
        }
    }
    return aged;
}

static BwQueueItem *
fair_next(BwQueue *queue, uint64_t now_us)
{
    uint32_t class_ = 0;
    uint32_t aged;

    while (class_ < BW_PRIORITIES && queue->flows[class_] == NULL)
        class_++;
    if (class_ == BW_PRIORITIES)
        return NULL;
    aged = aged_class(queue, now_us, class_);
    if (aged < BW_PRIORITIES)
        class_ = aged;
    return next_in_class(&queue->flows[class_]);
}

static void
fair_on_take(BwQueue *queue, BwQueueItem *item)
{
    bool is_aged = false;

    for (uint32_t i = 0; i < item->priority; i++)
        is_aged |= queue->flows[i] != NULL;
    queue->takes_since_aged = is_aged ? 0 : queue->takes_since_aged + 1;
    item->flow->deficit_us -= cost_us(item);
}

const BwOrder BwOrder_Fifo = {"fifo", fifo_add, fifo_remove, fifo_next,
                              fifo_on_take};
const BwOrder BwOrder_Fair = {"fair", fair_add, fair_remove, fair_next,
                              fair_on_take};
const BwOrder *const BwOrder_Table[BW_ORDER_COUNT] = {&BwOrder_Fifo,
                                                      &BwOrder_Fair};

/* ------------------------------------------------------------- queue */

bool
BwQueue_Add(BwQueue *queue, BwQueueItem *item, uint32_t slots)
{
    if (item->priority >= BW_PRIORITIES)
        item->priority = BW_PRIORITIES - 1;
    if (item->slots == 0 && !queue->order->add(queue, item))
        return false;
    item->slots += slots;
    queue->slots += slots;
    queue->counts[item->priority].slots += slots;
    return true;
}

BwQueueItem *
BwQueue_Next(BwQueue *queue, uint64_t now_us)
{
    return queue->slots > 0 ? queue->order->next(queue, now_us) : NULL;
}

void
BwQueue_Take(BwQueue *queue, BwQueueItem *item)
{
    queue->order->on_take(queue, item);
    queue->slots--;
    queue->counts[item->priority].slots--;
    item->slots--;
    if (item->slots == 0)
        queue->order->remove(queue, item);
}

void
BwQueue_Drop(BwQueue *queue, BwQueueItem *item, uint32_t slots)
{
    uint32_t dropped = slots < item->slots ? slots : item->slots;

    if (dropped == 0)
        return;
    queue->slots -= dropped;
    queue->counts[item->priority].slots -= dropped;
    item->slots -= dropped;
    if (item->slots == 0)
        queue->order->remove(queue, item);
}

void
BwQueue_Remove(BwQueue *queue, BwQueueItem *item)
{
    BwQueue_Drop(queue, item, item->slots);
}
