/* health.c -- ejects and probes workers that fail, and detects slow ones

   The process that runs a worker's tasks keeps a moving average of their
   failures and of their pace (run time over expected run time) and sends both
   with its messages, so that each home or dispatcher learns from the tasks of
   all others.  It ejects a worker that fails most of its tasks while its peers
   do not.  The comparison tells a bad worker from a bad release or from bad
   jobs, which fail everywhere.  A limit on the share of ejected workers keeps
   capacity when many fail at once.

   After a back-off, which doubles with each failed probe up to the rule's
   limit, an ejected worker is probed with one task at a time.  A probe may
   cost a caller a failed job, so the first back-off is seconds long, and a
   failed probe by another home or dispatcher counts as well.  One success ends
   the probing, although the average of failures falls only later.

   A slow worker is not ejected.  It moves to the second tier of placement, and
   gets work when the others have no free slot.

   home.c and views.c evaluate workers; executor.c and workertasks.c record
   outcomes.
*/

#include "brasswing.h"

/* The averages are exponential: the last task counts for 1 / window. */
#define FAILURE_WINDOW 4
#define PACE_WINDOW 8
#define FAILED_EJECT_PERMILLE 500
/* The average of failures after two in a row, from 0 on. */
#define FAILED_TWICE_PERMILLE 437
/* With fewer ended tasks a worker is not compared with its peers. */
#define ENDED_MIN_FAILING 3
#define ENDED_MIN_SLOW 8
#define SLOW_PERMILLE 3000
#define SLOW_TIMES_PEERS 3
/* A worker whose pace falls below this no longer counts as slow. */
#define SLOW_CLEARED_PERMILLE 2000
#define PACE_PERMILLE_MAX 1000000

void
BwOutcomes_Record(BwOutcomes *outcomes, bool is_failure, uint64_t ran_us,
                  uint64_t expected_us)
{
    uint32_t failed = is_failure ? 1000 : 0;
    uint64_t pace;

    outcomes->ended++;
    outcomes->failed_permille =
        (outcomes->failed_permille * (FAILURE_WINDOW - 1) + failed) /
        FAILURE_WINDOW;
    if (is_failure || expected_us == 0)
        return;
    pace = ran_us * 1000 / expected_us;
    if (pace > PACE_PERMILLE_MAX)
        pace = PACE_PERMILLE_MAX;
    if (outcomes->pace_permille == 0)
        outcomes->pace_permille = 1000;
    outcomes->pace_permille =
        (outcomes->pace_permille * (PACE_WINDOW - 1) + (uint32_t)pace) /
        PACE_WINDOW;
}

bool
BwOutcomes_IsSuspect(const BwOutcomes *outcomes)
{
    return outcomes->failed_permille >= FAILED_EJECT_PERMILLE ||
           outcomes->pace_permille >= SLOW_PERMILLE;
}

bool
BwOutcomes_HasFailedRepeatedly(const BwOutcomes *outcomes)
{
    return outcomes->failed_permille >= FAILED_TWICE_PERMILLE;
}

void
BwHealth_Update(BwHealth *health, const BwOutcomes *outcomes)
{
    if (outcomes->ended <= health->outcomes.ended)
        return;
    health->is_worsening =
        outcomes->failed_permille >= health->outcomes.failed_permille;
    health->outcomes = *outcomes;
}

bool
BwHealth_NeedsEvaluation(const BwHealth *health)
{
    return health->is_ejected || health->is_probing || health->is_slow ||
           BwOutcomes_IsSuspect(&health->outcomes);
}

void
BwHealthPeers_Add(BwHealthPeers *peers, const BwHealth *other)
{
    peers->count++;
    peers->ejected += other->is_ejected;
    if (other->is_ejected)
        return;
    peers->failed_permille += other->outcomes.failed_permille;
    peers->with_pace += other->outcomes.pace_permille > 0;
    peers->pace_permille += other->outcomes.pace_permille;
}

static bool
is_failing(const BwHealth *health, const BwHealthPeers *peers,
           const BwEjectionRule *rule)
{
    const BwOutcomes *own = &health->outcomes;
    uint32_t healthy = peers->count - peers->ejected;
    uint64_t peers_failed = healthy > 0 ? peers->failed_permille / healthy : 0;

    return own->ended >= ENDED_MIN_FAILING &&
           own->failed_permille >= FAILED_EJECT_PERMILLE &&
           own->failed_permille >= rule->failures_times_peers * peers_failed;
}

static bool
is_slow(const BwHealth *health, const BwHealthPeers *peers)
{
    const BwOutcomes *own = &health->outcomes;
    uint32_t bound = health->is_slow ? SLOW_CLEARED_PERMILLE : SLOW_PERMILLE;
    uint64_t peers_pace =
        peers->with_pace > 0 ? peers->pace_permille / peers->with_pace : 0;

    return peers->count > 0 && own->ended >= ENDED_MIN_SLOW &&
           own->pace_permille >= bound &&
           (health->is_slow ||
            own->pace_permille >= SLOW_TIMES_PEERS * peers_pace);
}

static bool
may_eject(const BwHealthPeers *peers, const BwEjectionRule *rule)
{
    uint32_t all = peers->count + 1;

    return peers->count > 0 &&
           (peers->ejected == 0 ||
            (peers->ejected + 1) * 100 <= all * rule->ejected_share_percent);
}

static void
eject(BwHealth *health, const BwEjectionRule *rule, BwRandom *random,
      uint64_t now_us)
{
    uint64_t backoff_us = health->backoff_us * 2;

    if (backoff_us < rule->backoff_first_us)
        backoff_us = rule->backoff_first_us;
    if (backoff_us > rule->backoff_last_us)
        backoff_us = rule->backoff_last_us;
    health->backoff_us = backoff_us;
    health->probe_at_us = now_us + backoff_us;
    if (random != NULL)
        health->probe_at_us += BwRandom_Below(random, (uint32_t)backoff_us);
    health->is_ejected = true;
    health->is_probing = false;
}

/* Lets an ejected worker back in when its failures fell below the limit, or be
   probed when its back-off is over.  New outcomes that still fail, such as
   those of another process's probe, begin the back-off anew.  Returns whether
   something changed. */
static bool
evaluate_ejected(BwHealth *health, bool is_new, uint64_t now_us)
{
    if (is_new && health->outcomes.failed_permille < FAILED_EJECT_PERMILLE) {
        health->is_ejected = false;
        health->backoff_us = 0;
        return true;
    }
    if (is_new && health->probe_at_us < now_us + health->backoff_us)
        health->probe_at_us = now_us + health->backoff_us;
    if (now_us < health->probe_at_us)
        return false;
    health->is_ejected = false;
    health->is_probing = true;
    return true;
}

static bool
evaluate_failures(BwHealth *health, const BwHealthPeers *peers,
                  const BwEjectionRule *rule, BwRandom *random,
                  uint64_t now_us)
{
    bool is_new = health->outcomes.ended > health->evaluated_ended;

    health->evaluated_ended = health->outcomes.ended;
    if (health->is_ejected)
        return evaluate_ejected(health, is_new, now_us);
    if (!is_new)
        return false;
    if (health->is_probing &&
        (!health->is_worsening || !is_failing(health, peers, rule))) {
        health->is_probing = false;
        health->backoff_us = 0;
        return true;
    }
    if (!health->is_worsening || !is_failing(health, peers, rule) ||
        !may_eject(peers, rule))
        return false;
    eject(health, rule, random, now_us);
    return true;
}

bool
BwHealth_Evaluate(BwHealth *health, const BwHealthPeers *peers,
                  const BwEjectionRule *rule, BwRandom *random,
                  uint64_t now_us)
{
    bool was_slow = health->is_slow;
    bool is_changed = evaluate_failures(health, peers, rule, random, now_us);

    health->is_slow = is_slow(health, peers);
    return is_changed || health->is_slow != was_slow;
}
