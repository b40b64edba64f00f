/* home_of.c -- a short example of the core library

   usage: home_of MEMBER KEY AGENT@DOMAIN...

   Prints the home of a submission key on a ring of the agents given, and the
   guardian that takes over should the home be lost.
*/

#include <stdio.h>
#include <string.h>

#include "brasswing.h"

/* Adds an agent written as NAME@DOMAIN.  Returns false when it is not. */
static bool
add_agent(BwRing *ring, const char *text, uint64_t version)
{
    BwAgent agent = {0};
    const char *at = strchr(text, '@');
    BwSpan name;

    if (at == NULL || at == text)
        return false;
    name.base = text;
    name.size_bytes = (uint32_t)(at - text);
    BwSpan_ToString(name, agent.name, sizeof(agent.name));
    BwSpan_ToString(BwSpan_FromString(at + 1), agent.domain,
                    sizeof(agent.domain));
    return BwRing_Put(ring, &agent, version) == BW_OK;
}

int
main(int argc, char **argv)
{
    BwRing ring;
    int code = 1;
    int32_t home;
    uint32_t guardian;

    if (argc < 4) {
        fprintf(stderr, "usage: home_of MEMBER KEY AGENT@DOMAIN...\n");
        return 2;
    }
    BwRing_Init(&ring);
    for (int i = 3; i < argc; i++) {
        if (!add_agent(&ring, argv[i], (uint64_t)i)) {
            fprintf(stderr, "home_of: '%s' is not AGENT@DOMAIN\n", argv[i]);
            goto cleanup;
        }
    }
    if (BwRing_Build(&ring) != BW_OK)
        goto cleanup;
    home = BwRing_Find(&ring, BwJobId_Make(BwSpan_FromString(argv[1]),
                                           BwSpan_FromString(argv[2])));
    guardian = BwRing_Guardian(&ring, (uint32_t)home);
    printf("home %s, guardian %s\n", ring.agents[home].name,
           ring.agents[guardian].name);
    code = 0;
cleanup:
    BwRing_Finish(&ring);
    return code;
}
