/* test_account.c -- whom the account closes and what it admits */

#include <string.h>

#include <glib.h>

#include "account.h"
#include "jsonbound.h"

#define MB 1000000u
#define MEMORY_BYTES (64 * MB)
#define DESCRIPTORS 256
#define SECOND_US 1000000u
#define CLIENTS 400

typedef struct Client {
    BwHolder holder;
    bool is_closed;
} Client;

static BwAccount account;
static Client clients[CLIENTS];

static void
on_evict(BwHolder *holder)
{
    Client *client = (Client *)holder;

    client->is_closed = true;
    BwHolder_Leave(holder);
}

static void
open_account(void)
{
    memset(clients, 0, sizeof(clients));
    BwAccount_Init(&account, MEMORY_BYTES, DESCRIPTORS,
                   1u << BW_SHARE_CALLERS | 1u << BW_SHARE_PEERS |
                       1u << BW_SHARE_OPERATORS);
}

static void
join(uint32_t i, BwShareKind kind, uint64_t now_us, uint64_t loose_bytes)
{
    clients[i].holder.evict = on_evict;
    BwAccount_Join(&account, &clients[i].holder, kind, now_us);
    BwHolder_SetLoose(&clients[i].holder, loose_bytes);
    BwAccount_Settle(&account, kind, now_us);
}

static uint32_t
count_closed(uint32_t first, uint32_t end)
{
    uint32_t count = 0;

    for (uint32_t i = first; i < end; i++)
        count += clients[i].is_closed ? 1 : 0;
    return count;
}

static uint64_t
held_bytes(BwShareKind kind)
{
    return account.shares[kind].kept_bytes + account.shares[kind].loose_bytes;
}

/* Clients that hold much are closed for each other, the others stay. */
static void
test_largest_first(void)
{
    open_account();
    join(100, BW_SHARE_CALLERS, SECOND_US, 8000);
    for (uint32_t i = 0; i < 100; i++)
        join(i, BW_SHARE_CALLERS, 2 * SECOND_US + i, MB / 2);
    join(101, BW_SHARE_CALLERS, 3 * SECOND_US, 8000);
    g_assert_cmpuint(count_closed(0, 100), >, 0);
    g_assert_cmpuint(count_closed(100, 102), ==, 0);
    g_assert_cmpuint(held_bytes(BW_SHARE_CALLERS), <=,
                     account.shares[BW_SHARE_CALLERS].bytes_max);
}

/* One that sends a byte now and then is as old as its message. */
static void
test_oldest_first(void)
{
    uint64_t bytes;

    open_account();
    bytes = account.shares[BW_SHARE_CALLERS].bytes_max / 3;
    join(0, BW_SHARE_CALLERS, 1 * SECOND_US, bytes);
    join(1, BW_SHARE_CALLERS, 9 * SECOND_US, bytes);
    join(2, BW_SHARE_CALLERS, 10 * SECOND_US, bytes);
    BwHolder_SetLoose(&clients[0].holder, bytes + 1);
    join(3, BW_SHARE_CALLERS, 11 * SECOND_US, bytes / 2);
    g_assert_true(clients[0].is_closed);
    g_assert_cmpuint(count_closed(1, 4), ==, 0);
}

static void
test_shares(void)
{
    open_account();
    join(300, BW_SHARE_PEERS, SECOND_US, MB);
    join(301, BW_SHARE_OPERATORS, SECOND_US, MB);
    for (uint32_t i = 0; i < 300; i++)
        join(i, BW_SHARE_CALLERS, 2 * SECOND_US, MB);
    g_assert_cmpuint(count_closed(300, 302), ==, 0);
    g_assert_cmpuint(account.shares[BW_SHARE_CALLERS].bytes_max +
                         account.shares[BW_SHARE_PEERS].bytes_max +
                         account.shares[BW_SHARE_OPERATORS].bytes_max,
                     <, MEMORY_BYTES);
    g_assert_cmpuint(account.shares[BW_SHARE_CALLERS].descriptors_max +
                         account.shares[BW_SHARE_PEERS].descriptors_max +
                         account.shares[BW_SHARE_OPERATORS].descriptors_max,
                     <, account.descriptors_max);
}

static void
test_admission(void)
{
    uint64_t max_bytes;
    uint32_t admitted = 0;

    open_account();
    max_bytes = account.shares[BW_SHARE_CALLERS].bytes_max;
    join(0, BW_SHARE_CALLERS, SECOND_US, 0);
    g_assert_true(BwHolder_Admit(&clients[0].holder, max_bytes));
    BwHolder_Release(&clients[0].holder, max_bytes);
    for (uint32_t i = 1; i < 80; i++) {
        join(i, BW_SHARE_CALLERS, SECOND_US, 0);
        admitted += BwHolder_Admit(&clients[i].holder, MB) ? 1 : 0;
    }
    g_assert_cmpuint(admitted, >, 8);
    g_assert_cmpuint(admitted, <, max_bytes / MB);
    g_assert_true(BwHolder_Admit(&clients[0].holder, 16000));
    g_assert_cmpuint(held_bytes(BW_SHARE_CALLERS), <=, max_bytes);
}

/* What is admitted counts for those that are still read. */
static void
test_kept_and_loose(void)
{
    uint64_t max_bytes;

    open_account();
    max_bytes = account.shares[BW_SHARE_CALLERS].bytes_max;
    join(0, BW_SHARE_CALLERS, SECOND_US, 0);
    g_assert_true(BwHolder_Admit(&clients[0].holder, max_bytes / 10 * 7));
    join(1, BW_SHARE_CALLERS, SECOND_US, max_bytes / 10 * 4);
    g_assert_true(clients[1].is_closed);
    g_assert_false(clients[0].is_closed);
}

static void
test_release(void)
{
    open_account();
    for (uint32_t i = 0; i < 20; i++) {
        join(i, BW_SHARE_CALLERS, SECOND_US, 50000);
        g_assert_true(BwHolder_Admit(&clients[i].holder, 100000));
        BwHolder_Keep(&clients[i].holder, 5000);
    }
    for (uint32_t i = 0; i < 20; i++) {
        if (i % 2 == 0)
            BwHolder_Release(&clients[i].holder, 105000);
        BwHolder_Leave(&clients[i].holder);
    }
    g_assert_cmpuint(held_bytes(BW_SHARE_CALLERS), ==, 0);
    g_assert_cmpuint(account.shares[BW_SHARE_CALLERS].kept_count, ==, 0);
    g_assert_cmpuint(account.shares[BW_SHARE_CALLERS].descriptors, ==, 0);
}

/* Connections without a request make room, those never served first; the ones
   with a request stay. */
static void
test_descriptors(void)
{
    BwShare *share = &account.shares[BW_SHARE_CALLERS];
    uint32_t max;

    open_account();
    max = share->descriptors_max;
    for (uint32_t i = 0; i < max; i++) {
        join(i, BW_SHARE_CALLERS, SECOND_US + i, 0);
        clients[i].holder.was_served = i < max / 2;
        clients[i].holder.is_busy = i < 4;
    }
    g_assert_true(BwAccount_HasRoom(&account, BW_SHARE_CALLERS));
    join(max, BW_SHARE_CALLERS, 9 * SECOND_US, 0);
    g_assert_true(clients[max / 2].is_closed);
    g_assert_cmpuint(count_closed(0, max + 1), ==, 1);
    for (uint32_t i = 0; i <= max; i++)
        clients[i].holder.is_busy = true;
    g_assert_false(BwAccount_HasRoom(&account, BW_SHARE_CALLERS));
    g_assert_true(BwAccount_HasRoom(&account, BW_SHARE_PEERS));
    clients[5].holder.is_busy = false;
    g_assert_true(BwAccount_HasRoom(&account, BW_SHARE_CALLERS));
}

/* Clients that come back at once replace each other only in part between two
   ticks. */
static void
test_replaced(void)
{
    BwShare *share = &account.shares[BW_SHARE_CALLERS];
    BwLogger logger = {.fd = -1, .level = BW_LOG_ERROR};
    uint32_t next = 0;

    open_account();
    while (share->descriptors < share->descriptors_max)
        join(next++, BW_SHARE_CALLERS, SECOND_US, 0);
    while (next < CLIENTS && BwAccount_HasRoom(&account, BW_SHARE_CALLERS))
        join(next++, BW_SHARE_CALLERS, SECOND_US, 0);
    g_assert_cmpuint(count_closed(0, next), >, 0);
    g_assert_cmpuint(count_closed(0, next), <, share->descriptors_max / 2);
    BwAccount_Tick(&account, SECOND_US, &logger);
    g_assert_true(BwAccount_HasRoom(&account, BW_SHARE_CALLERS));
}

static void
test_json_bound(void)
{
    GString *text = g_string_new("{\"a\":[");

    for (uint32_t i = 0; i < 16000; i++)
        g_string_append(text, "\"[,{\\\"\",");
    g_string_append(text, "1]}");
    g_assert_true(BwJsonBound_Check((BwSpan){text->str, text->len}));
    for (uint32_t i = 0; i < 400; i++)
        g_string_append(text, ",{}");
    g_assert_false(BwJsonBound_Check((BwSpan){text->str, text->len}));
    g_string_assign(text, "");
    for (uint32_t i = 0; i < 64; i++)
        g_string_append(text, "[");
    g_assert_true(BwJsonBound_Check((BwSpan){text->str, text->len}));
    g_string_append(text, "[");
    g_assert_false(BwJsonBound_Check((BwSpan){text->str, text->len}));
    g_string_free(text, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/account/largest_first", test_largest_first);
    g_test_add_func("/account/oldest_first", test_oldest_first);
    g_test_add_func("/account/shares", test_shares);
    g_test_add_func("/account/admission", test_admission);
    g_test_add_func("/account/kept_and_loose", test_kept_and_loose);
    g_test_add_func("/account/release", test_release);
    g_test_add_func("/account/descriptors", test_descriptors);
    g_test_add_func("/account/replaced", test_replaced);
    g_test_add_func("/account/json_bound", test_json_bound);
    return g_test_run();
}
