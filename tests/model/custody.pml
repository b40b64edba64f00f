/* custody.pml -- custody of one key, its start grant, and its recovery

   Home, guardian and executor may each start the one task of the key.  The
   guardian becomes custodian when the home's process is proved gone or when
   the lease that it granted to the home has lapsed.  Each link holds one
   message of each kind: it arrives at any later time or never, and a newer one
   replaces it.  A crash loses the process's state and the messages sent to it;
   a new process follows, except at the home.  A process may pause between any
   two steps.

   The key may be submitted once `is_born` is set, at its deadline less the
   longest lifetime.  If the key may be older than a process, the process does
   not vouch that the task did not run there.  If the key may be older than a
   custodian's epoch, the custodian asks the other processes before it grants.
*/

#ifndef MUTATION
#define MUTATION 0 /* each of 1 to 3 must start the task twice */
#endif
#define NO_LEASE (MUTATION == 1)    /* grants without a lease */
#define NO_QUESTION (MUTATION == 2) /* a new custodian asks no executor */
#define NO_VOUCH (MUTATION == 3)    /* a new process vouches for older keys */

#define HOME 0
#define GUARD 1
#define EXEC 2
#define LEASE 2   /* ticks; all times count down together */
#define EPOCHS 2  /* limit of the epochs that the guardian grants */
#define CRASHES 2 /* limit for the guardian and for the executor */
#define LINK(c, x) ((c)*3 + (x))
#define HOLDS(c) (custodian[c] && (c == GUARD || lease > 0 || NO_LEASE))
#define NOT_AFTER(c) (c == GUARD || NO_LEASE -> LEASE : lease)
#define MUST_ASK(c) (is_old[c] && !NO_QUESTION)
#define VOUCHES(x) (!is_young[x] || NO_VOUCH)

mtype = { IDLE, ASKING, READY, DECIDED };
bool is_born, is_home_gone;
byte starts, crashes[3];
bool did[3], is_young[3];     /* in the ledger; process younger than the key */
byte fence[3];                /* the newest epoch that the process has seen */
byte lease = LEASE;           /* the home's, from before its request */
byte guard = LEASE;           /* the guardian's view, from the receipt */
byte wait;                    /* till leases of the previous process lapse */
byte known;                   /* the newest epoch that the guardian granted */
bool custodian[2], is_old[2]; /* is_old: the key may predate the epoch */
byte epoch[2], heard[2];
mtype job[2] = IDLE;
bool noted, note_kept;        /* local run: acknowledged; at the guardian */
byte leased, leased_epoch;    /* grant in flight: time left, 0 for none */
byte grant[6], grant_epoch[6], answer[6]; /* grant: time left; answer: epoch + 1 */
bool note_taken, has_run[6];  /* ack in flight; answer: it ran, or may have */
#define LESS(t) t = (t > 0 -> t - 1 : 0)
#define DROP(i) grant[i] = 0; grant_epoch[i] = 0
#define AGE(i) LESS(grant[i]); grant_epoch[i] = (grant[i] > 0 -> grant_epoch[i] : 0)
#define NO_ANSWER(i) answer[i] = 0; has_run[i] = false
#define CLEAR(c) heard[c] = 0; NO_ANSWER(LINK(c, EXEC)); NO_ANSWER(LINK(c, GUARD))
#define FORGET(c) custodian[c] = false; epoch[c] = 0; is_old[c] = false; \
    job[c] = IDLE; CLEAR(c)
/* A grant that a live process has not sent yet may reach the new process, so
   it is dropped only when its sender is gone. */
#define CRASH(x) crashes[x]++; \
    if :: is_home_gone -> DROP(LINK(HOME, x)) :: else fi; \
    if :: wait > 0 -> DROP(LINK(GUARD, x)) :: else fi; \
    did[x] = false; fence[x] = 0; is_young[x] = is_born

proctype Executor(byte x; byte c) {
    do :: d_step { grant[LINK(c, x)] > 0 -> /* not late */
        if
        :: grant_epoch[LINK(c, x)] >= fence[x] && !did[x] ->
            fence[x] = grant_epoch[LINK(c, x)]; did[x] = true;
            starts++; assert(starts <= 1)
        :: else fi; DROP(LINK(c, x)) }
    od
}

/* The guardian's record of the local run says whether the home ran the task;
   the other processes are asked. */
proctype Custodian(byte c) {
    byte x;
    do
    :: d_step { job[c] == IDLE && HOLDS(c) && is_born ->
        if /* the job is recovered, or failed because it may have run */
        :: did[c] || !VOUCHES(c) || (c == GUARD && note_kept) -> job[c] = DECIDED
        :: else -> job[c] = (MUST_ASK(c) -> ASKING : READY);
            heard[c] = (MUST_ASK(c) -> (c == HOME -> 1 : 3) : 0)
        fi }
    :: atomic { job[c] == ASKING && HOLDS(c) ->
        if :: x = EXEC :: c == HOME -> x = GUARD fi;
        if
        :: epoch[c] >= fence[x] -> fence[x] = epoch[c];
            answer[LINK(c, x)] = epoch[c] + 1;
            has_run[LINK(c, x)] = did[x] || !VOUCHES(x)
        :: else fi; x = 0 }
    :: atomic { job[c] == ASKING ->
        if
        :: answer[LINK(c, EXEC)] == epoch[c] + 1 -> x = EXEC
        :: answer[LINK(c, GUARD)] == epoch[c] + 1 -> x = GUARD
        fi; heard[c] = heard[c] | (1 << x);
        job[c] = (has_run[LINK(c, x)] -> DECIDED : (heard[c] == 7 -> READY : ASKING));
        NO_ANSWER(LINK(c, x)); x = 0;
        if :: job[c] != ASKING -> CLEAR(c) :: else fi }
    :: atomic { job[c] == READY && HOLDS(c) ->
        if :: x = EXEC :: x = GUARD :: c == HOME && noted -> x = HOME fi;
        job[c] = DECIDED; grant_epoch[LINK(c, x)] = epoch[c];
        grant[LINK(c, x)] = NOT_AFTER(c); x = 0 }
    od
}

/* The home's request and the guardian's grant are one step; the lease that
   arrives is shorter by the time that the request took, which is chosen freely.
   The guardian numbers the epochs and begins a new one after each lapse. */
proctype Lease() {
    do
    :: atomic { !is_home_gone && !custodian[GUARD] && wait == 0 &&
            (guard > 0 || known < EPOCHS) ->
        known = (known < epoch[HOME] -> epoch[HOME] : known) + (guard == 0);
        guard = LEASE; leased_epoch = known; select(leased : 1 .. LEASE) }
    :: d_step { leased > lease ->
        if
        :: leased_epoch != epoch[HOME] -> epoch[HOME] = leased_epoch;
            fence[HOME] = leased_epoch; is_old[HOME] = is_born; CLEAR(HOME);
            job[HOME] = (job[HOME] == DECIDED -> DECIDED : IDLE)
        :: else fi; lease = leased; leased = 0; leased_epoch = 0 }
    :: d_step { job[HOME] == READY && !custodian[GUARD] && !note_kept ->
        note_kept = true; note_taken = true }
    :: d_step { note_taken -> note_taken = false; noted = true }
    :: atomic { !custodian[GUARD] && wait == 0 && (is_home_gone || guard == 0) ->
        if
        :: fence[EXEC] > known -> epoch[GUARD] = fence[EXEC] + 1
        :: epoch[GUARD] = known + 1
        fi; custodian[GUARD] = true; is_old[GUARD] = is_born; guard = 0;
        fence[GUARD] = epoch[GUARD]; job[GUARD] = IDLE; known = 0 }
    od
}

init { /* passes time and makes processes crash */
    atomic {
        custodian[HOME] = true; run Custodian(HOME); run Custodian(GUARD);
        run Executor(HOME, HOME); run Executor(GUARD, HOME); run Lease();
        run Executor(EXEC, HOME); run Executor(GUARD, GUARD); run Executor(EXEC, GUARD)
    }
    do
    :: d_step { LESS(lease); LESS(guard); LESS(wait); LESS(leased);
        leased_epoch = (leased > 0 -> leased_epoch : 0);
        AGE(0); AGE(1); AGE(2); AGE(4); AGE(5) }
    :: d_step { !is_born -> is_born = true }
    :: d_step { !is_home_gone -> is_home_gone = true; CRASH(HOME); lease = 0;
        leased = 0; leased_epoch = 0; note_taken = false; noted = false;
        is_young[HOME] = false; DROP(0); FORGET(HOME) }
    :: d_step { crashes[GUARD] < CRASHES -> CRASH(GUARD); guard = 0; known = 0;
        DROP(LINK(GUARD, GUARD)); note_kept = false; wait = LEASE + 1;
        FORGET(GUARD) }
    :: d_step { crashes[EXEC] < CRASHES -> CRASH(EXEC) }
    od
}
