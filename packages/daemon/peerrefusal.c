/* peerrefusal.c -- tells operators of processes whose build is not spoken

   Described in peerrefusal.h.
*/

#include "peerrefusal.h"
#include "brasswing.h"

#define LOG_INTERVAL_US 10000000

void
BwPeerRefusals_Add(BwPeerRefusals *refusals, uint64_t now_us,
                   const BwHello *hello, BwLinkCounters *counters,
                   const BwLogger *logger)
{
    char name[BW_NAME_BYTES_MAX], build[BW_NAME_BYTES_MAX];

    counters->peers_refused++;
    refusals->unlogged++;
    if (refusals->logged_us != 0 &&
        now_us < refusals->logged_us + LOG_INTERVAL_US)
        return;
    BwSpan_ToString(hello->name, name, sizeof(name));
    BwSpan_ToString(hello->build, build, sizeof(build));
    BW_LOG(logger, BW_LOG_ERROR, "peer_refused", BW_LOG_TEXT("peer", name),
           BW_LOG_TEXT("build", build),
           BW_LOG_NUMBER("version", hello->wire_version),
           BW_LOG_NUMBER("version_min", BW_WIRE_VERSION_MIN),
           BW_LOG_NUMBER("version_max", BW_WIRE_VERSION),
           BW_LOG_NUMBER("count", refusals->unlogged),
           BW_LOG_TEXT("remedy", "upgrade the process with the lower version, "
                                 "one landed build at a time"));
    refusals->logged_us = now_us;
    refusals->unlogged = 0;
}
