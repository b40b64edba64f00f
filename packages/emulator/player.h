/* player.h -- plays an experiment and keeps what happened */

#ifndef BW_PLAYER_H
#define BW_PLAYER_H

#include <stdio.h>

#include <jansson.h>

#include "calls.h"
#include "experiment.h"
#include "labfleet.h"

typedef enum BwLabEnd {
    BW_LAB_OPEN,
    BW_LAB_COMPLETED,  /* 200 and said so */
    BW_LAB_REFUSED,    /* 429 or 503: nothing of it ran */
    BW_LAB_FAILED,     /* another status */
    BW_LAB_TIMED_OUT,  /* 504 */
    BW_LAB_NOT_FOUND,  /* 404 */
    BW_LAB_UNANSWERED, /* the connection broke, or the caller's end came */
    BW_LAB_GAVE_UP,    /* as the experiment wants it */
    BW_LAB_END_COUNT
} BwLabEnd;

/* One job. */
typedef struct BwLabJob {
    char name[20];
    uint32_t job_class;
    bool will_give_up;
    uint64_t sent_us;
    uint64_t ended_us;
    uint32_t status;
    BwLabEnd end;
    char *reason; /* of a refusal, allocated */
} BwLabJob;

/* A fault as it was done. */
typedef struct BwLabDone {
    const BwLabFault *fault;
    uint64_t at_us;
} BwLabDone;

typedef struct BwPlayer {
    const BwExperiment *experiment;
    BwFleet fleet;
    BwCalls calls;
    BwLabJob **jobs;
    uint32_t job_count, job_room;
    BwLabDone *done;
    uint32_t done_count;
    uint64_t *next_us;       /* arrival of each class */
    uint64_t *next_burst_us; /* and its burst */
    bool *is_forbidden;      /* each class */
    uint32_t version;
    uint64_t seed;
    uint64_t start_us, end_us; /* of the arrivals; of everything */
    json_t *workers;           /* ledger of each worker */
    json_t *ingress;           /* rows of connections */
    uint32_t usable_workers;   /* in the end, as dispatchers see them */
    uint32_t held_up_ms;       /* the longest turn of the player */
    uint32_t crashes;          /* ends that no fault did, or with a code */
    char fault[320];
} BwPlayer;

/* Plays the whole experiment.  `daemon` and `lab` are paths of brasswingd and
   brasswing; `dir` takes the processes' files; a progress line goes to
   `progress` unless NULL.  Returns false with player->fault set when the fleet
   did not come up.  Finish the player in either case. */
bool
BwPlayer_Run(BwPlayer *player, const BwExperiment *experiment,
             const char *daemon, const char *lab, char *dir, FILE *progress);

void
BwPlayer_Finish(BwPlayer *player);

#endif
