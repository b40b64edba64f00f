/* readpace.c -- when the store is read, see readpace.h */

#include <string.h>

#include "readpace.h"

/* Shares of the time in which a configuration has to be in force.  A swallowed
   poll, a pause and a read together take READ_PERMILLE; the rest is for
   spreading and applying the configuration.  A poll waits for as long as the
   other steps leave, since its renewals are what an idle store is asked. After
   a swallowed read of the long timeout 50 more are used, if the next read
   takes all of its timeout. */
#define READ_PERMILLE 900
#define TIMEOUT_PERMILLE 250
#define LONG_TIMEOUT_PERMILLE 600
#define PAUSE_MAX_PERMILLE 100
/* Longer times save nothing that counts. */
#define WAIT_MAX_US 10000000
#define TIMEOUT_MAX_US 1500000
#define LONG_TIMEOUT_MAX_US 3000000
#define PAUSE_MIN_US 100000
#define PAUSE_MAX_US 1600000
#define PAUSE_SHIFT_MAX 4
#define READS_PER_LONG_TIMEOUT 4

static uint64_t
share(uint64_t whole_us, uint64_t permille, uint64_t max_us)
{
    uint64_t part_us = whole_us * permille / 1000;

    return part_us < max_us ? part_us : max_us;
}

void
BwReadPace_Init(BwReadPace *pace, uint64_t in_force_us)
{
    memset(pace, 0, sizeof(*pace));
    pace->timeout_us = share(in_force_us, TIMEOUT_PERMILLE, TIMEOUT_MAX_US);
    pace->long_timeout_us =
        share(in_force_us, LONG_TIMEOUT_PERMILLE, LONG_TIMEOUT_MAX_US);
    pace->pause_max_us = share(in_force_us, PAUSE_MAX_PERMILLE, PAUSE_MAX_US);
    pace->wait_us = share(in_force_us, READ_PERMILLE, UINT64_MAX) -
                    2 * pace->timeout_us - pace->pause_max_us;
    if (pace->wait_us > WAIT_MAX_US)
        pace->wait_us = WAIT_MAX_US;
    pace->pause_min_us =
        pace->pause_max_us < PAUSE_MIN_US ? pace->pause_max_us : PAUSE_MIN_US;
}

uint64_t
BwReadPace_WaitUs(const BwReadPace *pace)
{
    return pace->failures > 0 ? 0 : pace->wait_us;
}

uint64_t
BwReadPace_TimeoutUs(const BwReadPace *pace)
{
    return pace->failures % READS_PER_LONG_TIMEOUT ==
                   READS_PER_LONG_TIMEOUT - 1
               ? pace->long_timeout_us
               : pace->timeout_us;
}

bool
BwReadPace_OnFailure(BwReadPace *pace, uint64_t now_us, bool may_back_off)
{
    uint32_t shift =
        pace->failures < PAUSE_SHIFT_MAX ? pace->failures : PAUSE_SHIFT_MAX;
    uint64_t pause_us = pace->pause_min_us << (may_back_off ? shift : 0);
    bool is_first = pace->failures++ == 0;

    if (is_first)
        pace->lost_us = now_us;
    pace->retry_us =
        now_us +
        (pause_us < pace->pause_max_us ? pause_us : pace->pause_max_us);
    return is_first;
}

uint64_t
BwReadPace_OnSuccess(BwReadPace *pace, uint64_t now_us)
{
    uint64_t lost_for_us = pace->failures > 0 ? now_us - pace->lost_us : 0;

    pace->failures = 0;
    pace->lost_us = 0;
    pace->retry_us = 0;
    return lost_for_us;
}
