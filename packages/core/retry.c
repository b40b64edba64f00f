/* retry.c -- a retry budget

   Each retry takes a token from a bucket to which each new request adds a
   small share, so retries stay a fraction of the load even when every request
   fails.  The back-off doubles with each attempt.  Its upper half is random,
   which spreads the retries of requests that failed together.

   Called by submission.c for each new job and by home.c for each failed task.
*/

#include "control.h"

#define MILLITOKENS 1000
#define INITIAL_TOKENS 3
#define TOKENS_MAX 20
#define BACKOFF_US 20000

void
BwRetryBudget_Init(BwRetryBudget *budget)
{
    budget->millitokens = INITIAL_TOKENS * MILLITOKENS;
}

void
BwRetryBudget_Earn(BwRetryBudget *budget, uint32_t permille)
{
    budget->millitokens += permille;
    if (budget->millitokens > TOKENS_MAX * MILLITOKENS)
        budget->millitokens = TOKENS_MAX * MILLITOKENS;
}

uint64_t
BwRetryBudget_Spend(BwRetryBudget *budget, BwRandom *random, uint32_t attempt,
                    uint64_t now_us, uint64_t expected_us,
                    uint64_t deadline_us)
{
    uint32_t backoff_us = BACKOFF_US << attempt;
    uint64_t at_us =
        now_us + backoff_us / 2 + BwRandom_Below(random, backoff_us / 2);

    if (attempt >= BW_RETRY_ATTEMPTS_MAX ||
        budget->millitokens < MILLITOKENS ||
        at_us + expected_us >= deadline_us)
        return 0;
    budget->millitokens -= MILLITOKENS;
    return at_us;
}
