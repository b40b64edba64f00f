/* boundadmission.c -- which bound jobs are accepted, see boundadmission.h */

#include "boundadmission.h"
#include "boundjob.h"

/* Share of a job's slack that it may be expected to wait. */
#define URGENT_WAIT_PERMILLE 1000
#define WAIT_PERMILLE 300

uint64_t
BwBoundAdmission_LimitUs(const BwBoundJob *job)
{
    uint64_t first_sent_us = job->arrived_us - job->waited_us;
    uint64_t ideal_end_us = first_sent_us + job->expected_us;
    uint64_t slack_us = BwBoundJob_TimeLeft(job->due_us, ideal_end_us);
    uint64_t share_permille =
        (job->priority == 0 ? URGENT_WAIT_PERMILLE : WAIT_PERMILLE) *
        job->wait_permille / 1000;
    uint64_t limit_us = ideal_end_us + slack_us * share_permille / 1000;

    return limit_us < job->deadline_us ? limit_us : job->deadline_us;
}
