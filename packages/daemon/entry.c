/* entry.c -- the role of an entry: the HTTP interface for callers

   Entries stand behind the operators' load balancer.  An entry has no state
   that must survive it.  It parses a job, finds its home on the ring and sends
   the job there; the caller's request waits here for the result.  The entry
   keeps the job until then.  When the home answers that another agent holds
   the key, or is lost, the entry sends the job again under the same key, and
   the home of that key attaches the request to the job if it already runs.
   main.c calls this role through BwEntry_Ops.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <uthash.h>

#include "daemon.h"
#include "owners.h"
#include "singlerequest.h"
#include "tokens.h"

#define RESEND_DELAY_US 50000
/* The beginning of the year 2020.  A smaller deadline cannot be in
   microseconds of the Unix epoch. */
#define EARLIEST_DEADLINE_US UINT64_C(1577836800000000)
/* How long a request for a job past its deadline waits for its home. */
#define LATE_JOB_TIMEOUT_US 1000000
#define JOBS_PATH "/v1/jobs"

typedef struct PendingRequest {
    uint64_t request_id;
    UT_hash_handle hh;
    BwExchange *exchange;
    BwJobRequest job; /* member and key are set for every kind of request */
    bool is_cancel;
    bool is_single; /* answered with the status and body of its only task */
    bool is_sent;
    /* The job was sent at once to the owner that an agent named.  It is sent
       to a further one only after RESEND_DELAY_US. */
    bool has_followed_owner;
    uint32_t home; /* peer that the job was last sent to */
    uint64_t expires_us;
    uint64_t resend_at_us; /* 0: waits for a result; 1: at the next tick */
    char member[BW_NAME_BYTES_MAX];
    char key[BW_KEY_BYTES_MAX + 1];
} PendingRequest;

typedef struct EntryCounters {
    uint64_t requests;
    uint64_t tasks;
    uint64_t complete;
    uint64_t failed;
    uint64_t resent;
    uint64_t aborted;
} EntryCounters;

typedef struct Entry {
    BwDaemon *daemon;
    PendingRequest *pending; /* hash by request_id */
    uint64_t next_request_id;
    BwOwners owners;
    BwQueueCount waiting; /* number in the last load report */
    EntryCounters counters;
} Entry;

static void
free_pending(Entry *entry, PendingRequest *pending)
{
    HASH_DEL(entry->pending, pending);
    BwJobRequest_Finish(&pending->job);
    free(pending);
}

/* Passes the answer of the backend server to a single request as it is. */
static void
reply_single(Entry *entry, PendingRequest *pending, const BwResult *result)
{
    const BwAnswer *answer = &result->answers[0];

    entry->counters.complete++;
    BwExchange_Reply(pending->exchange, (int)answer->status,
                     "application/octet-stream", answer->body, 0);
    free_pending(entry, pending);
}

static void
reply_result(Entry *entry, PendingRequest *pending, const BwResult *result)
{
    const BwErrorInfo *info = BwError_Describe(result->error);
    char *text = BwJobJson_Result(BwSpan_FromString(pending->member),
                                  BwSpan_FromString(pending->key), result);
    BwSpan body = BwSpan_FromString(text != NULL ? text : "{}");
    int status = result->is_running ? 202 : info->http_status;

    if (result->error == BW_OK)
        entry->counters.complete++;
    else
        entry->counters.failed++;
    BwExchange_Reply(pending->exchange, status, "application/json", body,
                     (result->retry_after_ms + 999) / 1000);
    free(text);
    free_pending(entry, pending);
}

static void
reply_error(Entry *entry, PendingRequest *pending, BwErrorKind error,
            const char *detail)
{
    BwResult result = {0};

    result.error = error;
    result.detail = BwSpan_FromString(detail);
    reply_result(entry, pending, &result);
}

/* ---------------------------------------------------------- routing */

static void
log_route(const Entry *entry, const PendingRequest *pending, BwJobId id,
          const char *choice, const char *reason)
{
    BwDecision decision = {"route", id,     BwSpan_FromString(pending->key),
                           1,       choice, entry->daemon->ring.agent_count,
                           reason};

    BwDaemon_LogDecision(entry->daemon, &decision);
}

static BwJobId
job_id_of(const PendingRequest *pending)
{
    return BwJobId_Make(BwSpan_FromString(pending->member),
                        BwSpan_FromString(pending->key));
}

static BwPeer *
find_home(Entry *entry, const PendingRequest *pending)
{
    BwDaemon *daemon = entry->daemon;
    BwJobId id = job_id_of(pending);
    const char *reason;
    BwPeer *home = BwOwners_FindAgent(&entry->owners, &daemon->ring,
                                      &daemon->peers, id, &reason);

    if (home != NULL)
        log_route(entry, pending, id, home->name, reason);
    return home;
}

static void
send_pending(Entry *entry, PendingRequest *pending, uint64_t now_us)
{
    BwPeer *home = find_home(entry, pending);
    BwMessage message;

    memset(&message, 0, sizeof(message));
    if (pending->is_cancel) {
        message.kind = BW_MSG_CANCEL;
        message.u.cancel.request_id = pending->request_id;
        message.u.cancel.member = BwSpan_FromString(pending->member);
        message.u.cancel.key = BwSpan_FromString(pending->key);
    }
    else {
        message.kind = BW_MSG_SUBMIT;
        message.u.submit = pending->job.submit;
    }
    pending->resend_at_us = now_us + RESEND_DELAY_US;
    if (home == NULL || !home->is_up)
        return;
    pending->home = home->id;
    if (BwPeers_Send(&entry->daemon->peers, home->id, &message)) {
        pending->has_followed_owner =
            pending->has_followed_owner && pending->is_sent;
        pending->is_sent = true;
        pending->resend_at_us = 0;
    }
}

static PendingRequest *
add_pending(Entry *entry, BwExchange *exchange, uint64_t expires_us)
{
    PendingRequest *pending;

    if (HASH_COUNT(entry->pending) >=
        entry->daemon->settings.limits.waiting_requests) {
        BwDaemon_ReplyError(exchange, BW_ERR_OVERLOADED,
                            "this entry has reached its limit of waiting "
                            "requests (waiting_requests)");
        return NULL;
    }
    pending = calloc(1, sizeof(PendingRequest));
    if (pending == NULL) {
        BwDaemon_ReplyError(exchange, BW_ERR_NO_MEMORY, "");
        return NULL;
    }
    pending->request_id = entry->next_request_id++;
    pending->exchange = exchange;
    pending->expires_us = expires_us;
    exchange->data = pending;
    HASH_ADD(hh, entry->pending, request_id, sizeof(pending->request_id),
             pending);
    entry->counters.requests++;
    return pending;
}

/* --------------------------------------------------------- requests */

/* Checks what can be checked without the home.  All else is left to the home,
   because only the home knows whether the job already runs under its key: such
   a job is attached to, also when a new one would be refused.  A deadline is
   therefore refused here only when no job can ever have had it. */
static BwErrorKind
check_without_home(const BwDaemon *daemon, const BwSubmit *submit,
                   const char **detail)
{
    if (daemon->revision == 0 && daemon->ring.agent_count == 0) {
        *detail = "no configuration is in force yet";
        return BW_ERR_NO_BACKEND;
    }
    if (submit->deadline_wall_us >= EARLIEST_DEADLINE_US)
        return BW_OK;
    if (BwConfig_FindService(&daemon->config, submit->service) == NULL) {
        *detail = "the operators' configuration has no such service";
        return BW_ERR_UNKNOWN_SERVICE;
    }
    *detail = "deadline_us: give microseconds of the Unix epoch";
    return BW_ERR_DEADLINE_PASSED;
}

static uint64_t
monotonic_deadline(uint64_t wall_us)
{
    uint64_t now_wall_us = BwClock_WallNow();

    return BwClock_Now() + (wall_us > now_wall_us ? wall_us - now_wall_us
                                                  : LATE_JOB_TIMEOUT_US);
}

static bool
is_json(const BwExchange *exchange)
{
    BwSpan type = BwExchange_Header(exchange, "content-type");

    return type.size_bytes >= 16 &&
           memcmp(type.base, "application/json", 16) == 0;
}

static BwErrorKind
check_token(const Entry *entry, const BwExchange *exchange, BwSpan member,
            const char **detail)
{
    *detail = "the member's jobs need one of its bearer tokens";
    return BwTokens_Check(&entry->daemon->config, member,
                          BwExchange_Header(exchange, "authorization"));
}

/* Takes ownership of the job.  Sends it to its home, or refuses it. */
static void
submit_job(Entry *entry, BwExchange *exchange, BwJobRequest *job,
           BwErrorKind error, bool is_single)
{
    const char *detail = job->fault;
    PendingRequest *pending = NULL;

    if (error == BW_OK)
        error = check_token(entry, exchange, job->submit.member, &detail);
    if (error == BW_OK)
        error = check_without_home(entry->daemon, &job->submit, &detail);
    if (error != BW_OK)
        BwDaemon_ReplyError(exchange, error, detail);
    else
        pending = add_pending(
            entry, exchange, monotonic_deadline(job->submit.deadline_wall_us));
    if (pending == NULL) {
        BwJobRequest_Finish(job);
        return;
    }
    pending->job = *job;
    pending->is_single = is_single;
    pending->job.submit.request_id = pending->request_id;
    pending->job.submit.ring_version = entry->daemon->ring.version;
    if (!is_single && BwSpan_Equal(BwExchange_Header(exchange, "prefer"),
                                   BwSpan_FromString("respond-async")))
        pending->job.submit.flags |= BW_SUBMIT_NO_WAIT;
    BwSpan_ToString(job->submit.member, pending->member,
                    sizeof(pending->member));
    BwSpan_ToString(job->submit.key, pending->key, sizeof(pending->key));
    pending->job.submit.key = BwSpan_FromString(pending->key);
    entry->counters.tasks += job->submit.task_count;
    send_pending(entry, pending, BwClock_Now());
}

static void
serve_submit(Entry *entry, BwExchange *exchange)
{
    BwJobRequest job;
    BwErrorKind error;

    if (!is_json(exchange)) {
        BwDaemon_ReplyError(exchange, BW_ERR_UNSUPPORTED_TYPE,
                            "content-type: send application/json");
        return;
    }
    error = BwJobRequest_Read(&job, exchange->body);
    submit_job(entry, exchange, &job, error, false);
}

static void
serve_single(Entry *entry, BwExchange *exchange)
{
    BwJobRequest job;
    BwErrorKind error;
    uint64_t number[2];
    char key[48];

    if (getrandom(number, sizeof(number), 0) != sizeof(number)) {
        BwDaemon_ReplyError(exchange, BW_ERR_NO_MEMORY, "");
        return;
    }
    snprintf(key, sizeof(key), "request-%016llx%016llx",
             (unsigned long long)number[0], (unsigned long long)number[1]);
    error = BwSingleRequest_Read(&job, exchange, key);
    submit_job(entry, exchange, &job, error, true);
}

static void
serve_job(Entry *entry, BwExchange *exchange, BwSpan member, BwSpan key,
          bool is_cancel)
{
    uint64_t lifetime_us =
        entry->daemon->settings.limits.job_lifetime_ms * 1000;
    const char *detail;
    BwErrorKind error = check_token(entry, exchange, member, &detail);
    PendingRequest *pending;

    if (error != BW_OK) {
        BwDaemon_ReplyError(exchange, error, detail);
        return;
    }
    pending = add_pending(entry, exchange, BwClock_Now() + lifetime_us);
    if (pending == NULL)
        return;
    pending->is_cancel = is_cancel;
    BwSpan_ToString(member, pending->member, sizeof(pending->member));
    BwSpan_ToString(key, pending->key, sizeof(pending->key));
    pending->job.submit.request_id = pending->request_id;
    pending->job.submit.member = BwSpan_FromString(pending->member);
    pending->job.submit.key = BwSpan_FromString(pending->key);
    pending->job.submit.flags = BW_SUBMIT_ATTACH;
    if (!BwSpan_Equal(exchange->query, BwSpan_FromString("wait=true")))
        pending->job.submit.flags |= BW_SUBMIT_NO_WAIT;
    send_pending(entry, pending, BwClock_Now());
}

static void
on_request(void *ctx, BwExchange *exchange)
{
    BwDaemon *daemon = ctx;
    Entry *entry = daemon->role;
    BwSpan member, key;

    if (BwDaemon_ServeCommon(daemon, exchange))
        return;
    if (BwSpan_Equal(exchange->path, BwSpan_FromString(JOBS_PATH)) &&
        BwSpan_Equal(exchange->method, BwSpan_FromString("POST"))) {
        serve_submit(entry, exchange);
        return;
    }
    if (BwSingleRequest_IsPath(exchange->path) &&
        BwSpan_Equal(exchange->method, BwSpan_FromString("POST"))) {
        serve_single(entry, exchange);
        return;
    }
    if (BwDaemon_SplitPath(exchange->path, JOBS_PATH "/", &member, &key)) {
        if (BwSpan_Equal(exchange->method, BwSpan_FromString("GET"))) {
            serve_job(entry, exchange, member, key, false);
            return;
        }
        if (BwSpan_Equal(exchange->method, BwSpan_FromString("DELETE"))) {
            serve_job(entry, exchange, member, key, true);
            return;
        }
    }
    BwDaemon_ReplyError(exchange, BW_ERR_NO_SUCH_PATH, "");
}

static void
on_abort(void *ctx, BwExchange *exchange)
{
    BwDaemon *daemon = ctx;
    Entry *entry = daemon->role;
    PendingRequest *pending = exchange->data;
    BwMessage message;

    if (pending == NULL)
        return;
    memset(&message, 0, sizeof(message));
    message.kind = BW_MSG_WITHDRAW;
    message.u.withdraw.request_id = pending->request_id;
    if (pending->is_sent)
        BwPeers_Send(&daemon->peers, pending->home, &message);
    entry->counters.aborted++;
    free_pending(entry, pending);
}

static const BwHttpEvents http_events = {on_request, on_abort,
                                         BwDaemon_RefuseNoRoom};

/* ------------------------------------------------------ from agents */

static bool
is_resendable(BwErrorKind error)
{
    return error == BW_ERR_NOT_OWNER || error == BW_ERR_LEAVING;
}

/* Sends the waiting jobs of an arc to its new owner at the next tick. */
static void
on_custody_notice(Entry *entry, BwSpan arc, BwSpan owner)
{
    const BwRing *ring = &entry->daemon->ring;
    BwPeer *peer = BwPeers_FindAgent(&entry->daemon->peers, owner);

    BwOwners_Set(&entry->owners, ring, arc, owner);
    if (peer == NULL)
        return;
    for (PendingRequest *p = entry->pending; p != NULL; p = p->hh.next) {
        if (p->home == peer->id ||
            !BwSpan_Equal(BwOwners_ArcOf(ring, job_id_of(p)), arc))
            continue;
        p->resend_at_us = 1;
        entry->counters.resent++;
    }
}

/* The agent has not accepted the job.  The job is sent again at the next tick
   if this is the first time that an agent names another owner, and otherwise
   after RESEND_DELAY_US. */
static void
schedule_resend(Entry *entry, PendingRequest *pending, const BwResult *result)
{
    const BwRing *ring = &entry->daemon->ring;
    BwPeer *peer = BwPeers_FindAgent(&entry->daemon->peers, result->owner);

    pending->resend_at_us = BwClock_Now() + RESEND_DELAY_US;
    if (result->error == BW_ERR_NOT_OWNER && result->owner.size_bytes > 0)
        BwOwners_Set(&entry->owners, ring,
                     BwOwners_ArcOf(ring, job_id_of(pending)), result->owner);
    if (peer != NULL && peer->id != pending->home &&
        !pending->has_followed_owner) {
        pending->has_followed_owner = true;
        pending->resend_at_us = 1;
    }
    entry->counters.resent++;
}

static void
on_result(Entry *entry, uint32_t peer, const BwResult *result)
{
    PendingRequest *pending;

    HASH_FIND(hh, entry->pending, &result->request_id,
              sizeof(result->request_id), pending);
    if (pending == NULL || pending->home != peer)
        return;
    if (is_resendable(result->error)) {
        if (BwClock_Now() < pending->expires_us)
            schedule_resend(entry, pending, result);
        else
            reply_error(entry, pending, BW_ERR_HOME_LOST,
                        "no home accepted the job before its deadline");
        return;
    }
    if (pending->is_single && result->error == BW_OK &&
        result->answer_count == 1)
        reply_single(entry, pending, result);
    else
        reply_result(entry, pending, result);
}

static void
on_message(void *ctx, uint32_t peer, const BwMessage *message)
{
    BwDaemon *daemon = ctx;
    Entry *entry = daemon->role;

    if (message->kind == BW_MSG_LOAD)
        BwPeers_UpdateReport(&daemon->peers, peer, &message->u.load);
    else if (message->kind == BW_MSG_RESULT)
        on_result(entry, peer, &message->u.result);
    else if (message->kind == BW_MSG_CUSTODY)
        on_custody_notice(entry, message->u.custody.arc,
                          message->u.custody.owner);
}

static void
on_peer_up(void *ctx, BwPeer *peer)
{
    BwDaemon *daemon = ctx;
    Entry *entry = daemon->role;

    (void)peer;
    for (PendingRequest *p = entry->pending; p != NULL; p = p->hh.next) {
        if (p->resend_at_us != 0)
            p->resend_at_us = 1;
    }
}

static void
on_peer_down(void *ctx, BwPeer *peer, bool is_gone)
{
    BwDaemon *daemon = ctx;
    Entry *entry = daemon->role;

    (void)is_gone;
    for (PendingRequest *p = entry->pending; p != NULL; p = p->hh.next) {
        if (p->home != peer->id || p->resend_at_us != 0)
            continue;
        p->resend_at_us = BwClock_Now() + RESEND_DELAY_US;
        entry->counters.resent++;
    }
}

static const BwPeerEvents peer_events = {on_message, on_peer_up, on_peer_down};

/* ------------------------------------------------------------- role */

static bool
entry_init(BwDaemon *daemon)
{
    Entry *entry = calloc(1, sizeof(Entry));
    BwHello hello = BwDaemon_Hello(daemon);

    if (entry == NULL)
        return false;
    entry->daemon = daemon;
    entry->next_request_id = 1;
    daemon->role = entry;
    BwPeers_Init(&daemon->peers, daemon->event_loop.loop, &daemon->logger,
                 &hello, &peer_events, daemon);
    return BwHttpServer_Init(
        &daemon->http, daemon->event_loop.loop, daemon->settings.http.host,
        (uint16_t)daemon->settings.http.port,
        daemon->settings.limits.body_bytes, &http_events, daemon);
}

static void
entry_tick(BwDaemon *daemon, uint64_t now_us)
{
    Entry *entry = daemon->role;
    PendingRequest *pending, *next;

    BwPeers_Tick(&daemon->peers, now_us);
    HASH_ITER(hh, entry->pending, pending, next)
    {
        if (pending->resend_at_us == 0 || now_us < pending->resend_at_us)
            continue;
        if (now_us < pending->expires_us)
            send_pending(entry, pending, now_us);
        else
            reply_error(entry, pending,
                        pending->is_sent ? BW_ERR_HOME_LOST
                                         : BW_ERR_TIMED_OUT_RUNNING,
                        "no home accepted the job before its deadline");
    }
}

static void
entry_on_ring(BwDaemon *daemon)
{
    BwPeers_SetRing(&daemon->peers, &daemon->ring);
}

static void
entry_on_config(BwDaemon *daemon)
{
    (void)daemon;
}

static void
entry_stop(BwDaemon *daemon)
{
    (void)daemon;
}

static bool
entry_is_stopped(BwDaemon *daemon)
{
    Entry *entry = daemon->role;

    return entry->pending == NULL && daemon->http.open_exchanges == 0;
}

static void
entry_finish(BwDaemon *daemon)
{
    Entry *entry = daemon->role;

    BwOwners_Finish(&entry->owners);
    free(entry);
}

static uint32_t
entry_counters(BwDaemon *daemon, BwCounter *counters, uint32_t capacity)
{
    Entry *entry = daemon->role;
    const EntryCounters *c = &entry->counters;
    uint32_t n = 0;

    n = BwCounters_Add(counters, n, capacity, "brasswing_requests_total",
                       "Callers' requests", BW_COUNTER, c->requests);
    n = BwCounters_Add(counters, n, capacity, "brasswing_tasks_total",
                       "Tasks in submitted jobs", BW_COUNTER, c->tasks);
    n = BwCounters_Add(counters, n, capacity, "brasswing_answered_total",
                       "Requests answered whole", BW_COUNTER, c->complete);
    n = BwCounters_Add(counters, n, capacity, "brasswing_failed_total",
                       "Requests answered with an error", BW_COUNTER,
                       c->failed);
    n = BwCounters_Add(counters, n, capacity, "brasswing_resent_total",
                       "Requests sent to another home", BW_COUNTER, c->resent);
    n = BwCounters_Add(counters, n, capacity, "brasswing_aborted_total",
                       "Callers that went away", BW_COUNTER, c->aborted);
    return BwCounters_Add(counters, n, capacity, "brasswing_waiting",
                          "Requests without an answer yet", BW_GAUGE,
                          HASH_COUNT(entry->pending));
}

static json_t *
entry_status(BwDaemon *daemon)
{
    Entry *entry = daemon->role;

    return json_pack("{s:i}", "waiting", (int)HASH_COUNT(entry->pending));
}

static BwLoad
entry_load(BwDaemon *daemon)
{
    Entry *entry = daemon->role;
    BwLoad load = {0};

    load.revision = daemon->revision;
    load.leaving = daemon->is_leaving;
    entry->waiting.slots = HASH_COUNT(entry->pending);
    load.queued = &entry->waiting;
    load.queued_count = 1;
    return load;
}

const BwRoleOps BwEntry_Ops = {
    .name = "entry",
    .init = entry_init,
    .on_tick = entry_tick,
    .on_ring = entry_on_ring,
    .on_config = entry_on_config,
    .stop = entry_stop,
    .is_stopped = entry_is_stopped,
    .finish = entry_finish,
    .counters = entry_counters,
    .status = entry_status,
    .load = entry_load,
};
