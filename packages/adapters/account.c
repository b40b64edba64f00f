/* account.c -- what clients make a process hold, see account.h

   A share is settled by a walk over its holders for each connection that is
   closed.  The alternative, an order by excess and time, would have to be kept
   at every read; a walk is only needed while a share is full, and is bounded
   by the descriptors of the share.
*/

#include <malloc.h>
#include <string.h>
#include <sys/resource.h>

#include <utlist.h>

#include "account.h"

/* The clients' part of the memory; the state of the process has the rest. */
#define CLIENTS_PERMILLE 625
/* Parts of a share that admitted requests may take: in general, and by
   requests of at most an equal part. */
#define KEPT_PERMILLE 750
#define KEPT_SMALL_PERMILLE 875
/* Descriptors for files: at most FILES, of a small limit a part. */
#define FILES 200
#define FILES_PERMILLE 200
/* Weight of the connections that the process opens itself. */
#define OWN_WEIGHT 3
#define UNUSED_US 1000000
#define LEAVING_MAX                                                           \
    32 /* evicted and open; no more are accepted until then                   \
        */
/* Connections closed for others in a tick: a part of the share, at most. */
#define REPLACED_DIVISOR 4
#define REPLACED_MAX 64
#define LOG_INTERVAL_US 1000000
/* Fixed, because the C library raises it with each large block that is freed
   and keeps freed blocks of that size resident. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

typedef struct Weights {
    const char *name;
    uint32_t bytes;
    uint32_t descriptors;
} Weights;

static const Weights weights[BW_SHARE_COUNT] = {
    [BW_SHARE_CALLERS] = {"callers", 4, 6},
    [BW_SHARE_OPERATORS] = {"operators", 1, 1},
    [BW_SHARE_WORKERS] = {"workers", 4, 6},
    [BW_SHARE_PEERS] = {"peers", 2, 5},
};

static const char *const rejection_names[BW_REJECTION_COUNT] = {
    [BW_CLOSED_FOR_BYTES] = "closed_for_bytes",
    [BW_CLOSED_FOR_DESCRIPTORS] = "closed_for_descriptors",
    [BW_REQUEST_NOT_ADMITTED] = "request_not_admitted",
    [BW_ACCEPT_PAUSED] = "accept_paused",
};

static bool
has_share(const BwAccount *account, int kind)
{
    return (account->kinds & (1u << kind)) != 0;
}

/* Divides the descriptors, of which the system may by now allow fewer. */
static void
divide_descriptors(BwAccount *account)
{
    uint32_t total = OWN_WEIGHT;
    struct rlimit limit;
    uint32_t files;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
        limit.rlim_cur < account->descriptors)
        account->descriptors = (uint32_t)limit.rlim_cur;
    files = (uint32_t)((uint64_t)account->descriptors * FILES_PERMILLE / 1000);
    account->descriptors_max =
        account->descriptors - (files < FILES ? files : FILES);
    for (int i = 0; i < BW_SHARE_COUNT; i++)
        total += has_share(account, i) ? weights[i].descriptors : 0;
    for (int i = 0; i < BW_SHARE_COUNT; i++)
        account->shares[i].descriptors_max =
            account->descriptors_max / total * weights[i].descriptors;
}

void
BwAccount_Init(BwAccount *account, uint64_t memory_bytes, uint32_t descriptors,
               uint32_t kinds)
{
    uint32_t total = 0;

    memset(account, 0, sizeof(*account));
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    account->kinds = kinds;
    account->bytes_max = memory_bytes / 1000 * CLIENTS_PERMILLE;
    for (int i = 0; i < BW_SHARE_COUNT; i++)
        total += has_share(account, i) ? weights[i].bytes : 0;
    for (int i = 0; i < BW_SHARE_COUNT && total > 0; i++)
        account->shares[i].bytes_max =
            account->bytes_max / total * weights[i].bytes;
    account->descriptors = descriptors;
    divide_descriptors(account);
}

/* ------------------------------------------------------------- rejections */

static void
evict(BwShare *share, BwHolder *holder, BwRejection reason)
{
    holder->account->has_rejected = true;
    share->rejections[reason]++;
    share->loose_bytes -= holder->loose_bytes;
    share->leaving++;
    holder->loose_bytes = 0;
    holder->is_evicted = true;
    holder->evict(holder);
}

/* Returns the connection with the largest excess over an equal part of the
   room for loose bytes, multiplied by its age, or NULL. */
static BwHolder *
find_largest(const BwShare *share, uint64_t now_us)
{
    uint64_t room_bytes = share->bytes_max > share->kept_bytes
                              ? share->bytes_max - share->kept_bytes
                              : 0;
    uint64_t part_bytes;
    uint64_t highest = 0;
    BwHolder *largest = NULL;
    BwHolder *holder;
    uint32_t count = 0;

    DL_FOREACH(share->holders, holder)
    {
        count += holder->loose_bytes > 0 ? 1 : 0;
    }
    part_bytes = count > 0 ? room_bytes / count : 0;
    DL_FOREACH(share->holders, holder)
    {
        uint64_t excess, age_ms;

        if (holder->is_evicted || holder->loose_bytes <= part_bytes)
            continue;
        excess = holder->loose_bytes - part_bytes;
        age_ms = now_us > holder->since_us
                     ? (now_us - holder->since_us) / 1000 + 1
                     : 1;
        if (excess * age_ms > highest) {
            highest = excess * age_ms;
            largest = holder;
        }
    }
    return largest;
}

void
BwAccount_Settle(BwAccount *account, BwShareKind kind, uint64_t now_us)
{
    BwShare *share = &account->shares[kind];

    while (share->kept_bytes + share->loose_bytes > share->bytes_max) {
        BwHolder *largest = find_largest(share, now_us);

        if (largest == NULL)
            return;
        evict(share, largest, BW_CLOSED_FOR_BYTES);
    }
}

/* A client that has just connected has had no time to send its request. */
static bool
is_unused(const BwHolder *holder, uint64_t now_us)
{
    return !holder->was_served && now_us > holder->since_us + UNUSED_US;
}

/* Returns the connection without a request that is closed first, or NULL. */
static BwHolder *
find_idlest(const BwShare *share, uint64_t now_us)
{
    BwHolder *idlest = NULL;
    BwHolder *holder;

    DL_FOREACH(share->holders, holder)
    {
        if (holder->is_evicted || holder->is_busy)
            continue;
        if (idlest == NULL ||
            (is_unused(holder, now_us) && !is_unused(idlest, now_us)) ||
            (is_unused(holder, now_us) == is_unused(idlest, now_us) &&
             holder->since_us < idlest->since_us))
            idlest = holder;
    }
    return idlest;
}

static void
settle_descriptors(BwShare *share, uint64_t now_us)
{
    while (share->descriptors - share->leaving > share->descriptors_max) {
        BwHolder *idlest = find_idlest(share, now_us);

        if (idlest == NULL)
            return;
        share->replaced++;
        evict(share, idlest, BW_CLOSED_FOR_DESCRIPTORS);
    }
}

void
BwAccount_Join(BwAccount *account, BwHolder *holder, BwShareKind kind,
               uint64_t now_us)
{
    BwShare *share = &account->shares[kind];

    holder->account = account;
    holder->kind = kind;
    holder->since_us = now_us;
    DL_APPEND(share->holders, holder);
    share->descriptors++;
    settle_descriptors(share, now_us);
}

bool
BwAccount_HasRoom(const BwAccount *account, BwShareKind kind)
{
    const BwShare *share = &account->shares[kind];
    uint32_t replaced_max = share->descriptors_max / REPLACED_DIVISOR + 1;

    if (share->descriptors < share->descriptors_max)
        return true;
    return share->replaced < replaced_max && share->replaced < REPLACED_MAX &&
           share->leaving < LEAVING_MAX && find_idlest(share, 0) != NULL;
}

void
BwAccount_OnPaused(BwAccount *account, BwShareKind kind)
{
    account->shares[kind].rejections[BW_ACCEPT_PAUSED]++;
    account->has_rejected = true;
}

void
BwAccount_OnExhausted(BwAccount *account, uint64_t now_us)
{
    divide_descriptors(account);
    for (int i = 0; i < BW_SHARE_COUNT; i++)
        settle_descriptors(&account->shares[i], now_us);
}

/* -------------------------------------------------------------- holders */

void
BwHolder_SetLoose(BwHolder *holder, uint64_t bytes)
{
    BwShare *share;

    if (holder->account == NULL || holder->is_evicted)
        return;
    share = &holder->account->shares[holder->kind];
    share->loose_bytes += bytes;
    share->loose_bytes -= holder->loose_bytes;
    holder->loose_bytes = bytes;
}

void
BwHolder_Keep(BwHolder *holder, uint64_t bytes)
{
    BwShare *share;

    if (holder->account == NULL)
        return;
    share = &holder->account->shares[holder->kind];
    share->kept_count += holder->kept_bytes == 0 ? 1 : 0;
    share->kept_bytes += bytes;
    holder->kept_bytes += bytes;
}

bool
BwHolder_Admit(BwHolder *holder, uint64_t bytes)
{
    BwShare *share;
    uint64_t kept_max_bytes, sum_bytes;
    bool is_small;

    if (holder->account == NULL)
        return true;
    share = &holder->account->shares[holder->kind];
    kept_max_bytes = share->bytes_max / 1000 * KEPT_PERMILLE;
    sum_bytes = share->kept_bytes + bytes;
    is_small = bytes <= kept_max_bytes / (share->kept_count + 1) &&
               sum_bytes <= share->bytes_max / 1000 * KEPT_SMALL_PERMILLE;
    if (share->kept_count > 0 && sum_bytes > kept_max_bytes && !is_small) {
        share->rejections[BW_REQUEST_NOT_ADMITTED]++;
        holder->account->has_rejected = true;
        return false;
    }
    BwHolder_Keep(holder, bytes);
    return true;
}

void
BwHolder_Release(BwHolder *holder, uint64_t bytes)
{
    BwShare *share;

    if (holder->account == NULL)
        return;
    share = &holder->account->shares[holder->kind];
    share->kept_bytes -= bytes;
    holder->kept_bytes -= bytes;
    share->kept_count -= bytes > 0 && holder->kept_bytes == 0 ? 1 : 0;
}

void
BwHolder_Leave(BwHolder *holder)
{
    BwShare *share;

    if (holder->account == NULL)
        return;
    share = &holder->account->shares[holder->kind];
    BwHolder_Release(holder, holder->kept_bytes);
    share->loose_bytes -= holder->loose_bytes;
    share->leaving -= holder->is_evicted ? 1 : 0;
    share->descriptors--;
    DL_DELETE(share->holders, holder);
    holder->account = NULL;
}

/* ----------------------------------------------------------------- tick */

static void
log_rejections(BwAccount *account, const BwLogger *logger)
{
    for (int i = 0; i < BW_SHARE_COUNT; i++) {
        BwShare *share = &account->shares[i];

        for (int reason = 0; reason < BW_REJECTION_COUNT; reason++) {
            uint64_t count = share->rejections[reason] - share->logged[reason];

            if (count > 0)
                BW_LOG(
                    logger, BW_LOG_WARNING, "clients_rejected",
                    BW_LOG_TEXT("share", weights[i].name),
                    BW_LOG_TEXT("reason", rejection_names[reason]),
                    BW_LOG_NUMBER("count", count),
                    BW_LOG_NUMBER("bytes",
                                  share->kept_bytes + share->loose_bytes),
                    BW_LOG_NUMBER("bytes_max", share->bytes_max),
                    BW_LOG_NUMBER("descriptors", share->descriptors),
                    BW_LOG_NUMBER("descriptors_max", share->descriptors_max));
            share->logged[reason] = share->rejections[reason];
        }
    }
}

void
BwAccount_Tick(BwAccount *account, uint64_t now_us, const BwLogger *logger)
{
    for (int i = 0; i < BW_SHARE_COUNT; i++) {
        account->shares[i].replaced = 0;
        BwAccount_Settle(account, (BwShareKind)i, now_us);
    }
    if (!account->has_rejected ||
        now_us - account->logged_us < LOG_INTERVAL_US)
        return;
    account->logged_us = now_us;
    account->has_rejected = false;
    log_rejections(account, logger);
    malloc_trim(0);
}

uint32_t
BwAccount_Counters(const BwAccount *account, BwCounter *counters,
                   uint32_t count, uint32_t capacity)
{
    uint64_t bytes = 0;
    uint64_t descriptors = 0;
    uint64_t rejections[BW_REJECTION_COUNT] = {0};

    for (int i = 0; i < BW_SHARE_COUNT; i++) {
        const BwShare *share = &account->shares[i];

        bytes += share->kept_bytes + share->loose_bytes;
        descriptors += share->descriptors;
        for (int reason = 0; reason < BW_REJECTION_COUNT; reason++)
            rejections[reason] += share->rejections[reason];
    }
#define ADD(name, help, kind, value)                                          \
    count = BwCounters_Add(counters, count, capacity, name, help, kind, value)
    ADD("brasswing_client_bytes", "Bytes held for clients", BW_GAUGE, bytes);
    ADD("brasswing_client_bytes_max", "Most bytes held for clients", BW_GAUGE,
        account->bytes_max);
    ADD("brasswing_client_connections", "Connections of clients", BW_GAUGE,
        descriptors);
    ADD("brasswing_client_connections_max", "Most sockets of the process",
        BW_GAUGE, account->descriptors_max);
    ADD("brasswing_clients_closed_bytes_total",
        "Connections closed since their clients held too many bytes",
        BW_COUNTER, rejections[BW_CLOSED_FOR_BYTES]);
    ADD("brasswing_clients_closed_descriptors_total",
        "Connections closed to make room for others", BW_COUNTER,
        rejections[BW_CLOSED_FOR_DESCRIPTORS]);
    ADD("brasswing_requests_not_admitted_total",
        "Requests refused since those under way hold too many bytes",
        BW_COUNTER, rejections[BW_REQUEST_NOT_ADMITTED]);
    ADD("brasswing_accept_paused_total",
        "Times that new connections had to wait for room", BW_COUNTER,
        rejections[BW_ACCEPT_PAUSED]);
#undef ADD
    return count;
}
