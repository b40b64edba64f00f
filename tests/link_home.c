/* link_home.c -- checks that a home links without custody.c and recovery.c

   The build links this program with the sources of the home alone; a home
   without custody must own every job.
*/

#include <string.h>

#include "brasswing.h"

int
main(void)
{
    static const BwHomePort port = {0};
    BwHomeLimits limits = {.jobs_max = 1, .bytes_max = 1};
    BwJobId job = BwJobId_Make(BwSpan_FromString("metro-fareworks"),
                               BwSpan_FromString("1"));
    BwHome home;
    bool is_owned;

    BwHome_Init(&home, &limits, &port, NULL, 1);
    is_owned = BwHome_Owns(&home, 1, job);
    BwHome_Tick(&home, 1);
    BwHome_Finish(&home);
    return is_owned ? 0 : 1;
}
