#!/bin/sh
# random_faults.sh -- plays faults at random moments against real processes
#
#   usage: random_faults.sh BUILD SEED COUNT [STORY...]
#
# Plays COUNT experiments of each story, each with EVENTS faults at random
# moments and of random length, on emulated workers and store.  The same SEED
# gives the same experiments.  Every rule of `brasswing lab list` is checked,
# and that jobs are served again.  Prints the outcomes that were violated, and
# for each story a line with the number of faults and of violated outcomes; the
# experiments of a run that failed stay in BUILD/random-faults.
#
# Stories:
#   silent   hosts that are paused or silent, and report late
#   handover processes that are stopped or killed, and their successors
#   paused   pauses longer than sessions and leases
#   lost     orders carried out late, and a store that loses its answers
#   returned workers that leave, crash and come back while supervisors restart
set -eu

build=$(realpath "$1")
seed=$2
count=$3
shift 3
[ $# -gt 0 ] || set -- silent handover paused lost returned
EVENTS=5
dir=$build/random-faults
mkdir -p "$dir"

# make_experiment STORY NUMBER: prints the experiment.
make_experiment() {
    awk -v story="$1" -v number="$2" -v seed="$seed" -v events="$EVENTS" '
    # Numbers that are the same with every awk.
    function random(below) {
        state = (state * 16807) % 2147483647
        return int(state / 2147483647 * below)
    }
    function put(at, target, action, text) {
        printf "  - {at_ms: %d, target: %s, do: %s", at, target, action
        if (text != "")
            printf ", text: \047%s\047", text
        print "}"
    }
    function pause(target, at, span) {
        put(at, target, "freeze", "")
        put(at + span, target, "thaw", "")
    }
    function replace(target, at, how) {
        put(at, target, how, "")
        put(at + (how == "stop" ? 2500 : random(300)), target, "start", "")
    }
    function tell(target, at, span, on, off) {
        put(at, target, "tell", on)
        put(at + span, target, "tell", off)
    }
    function inject(at, i,    host, kind) {
        host = i % 4
        kind = random(3)
        if (story == "silent" && kind == 0)
            pause("supervisor-" host, at, 100 + random(900))
        else if (story == "silent" && kind == 1)
            tell("worker-" host, at, 100 + random(1500), "{\"silent\": true}",
                 "{\"silent\": false}")
        else if (story == "silent")
            tell("worker-" host, at, 300 + random(1000),
                 "{\"answer_ms\": " 50 + random(300) "}",
                 "{\"answer_ms\": 0}")
        else if (story == "handover" && kind == 0)
            replace("supervisor-" host, at, "kill")
        else if (story == "handover" && kind == 1)
            replace("supervisor-" host, at, "stop")
        else if (story == "handover")
            replace("dispatcher-" i % 2, at, i < 2 ? "kill" : "stop")
        else if (story == "paused")
            pause(kind == 0 ? "dispatcher-" i % 2 : "supervisor-" host, at,
                  200 + random(2500))
        else if (story == "lost" && kind == 0)
            tell("store", at, 200 + random(1000),
                 "{\"mode\": \"lost\", \"permille\": 500}",
                 "{\"mode\": \"ok\"}")
        else if (story == "lost")
            tell("worker-" host, at, 50 + random(400),
                 "{\"late_starts\": true}",
                 "{\"late_starts\": false, \"carry_out\": true}")
        else if (kind == 0)
            replace("supervisor-" host, at, "kill")
        else if (kind == 1)
            tell("worker-" host, at, 300 + random(1000), "{\"crash\": true}",
                 "{\"revive\": true}")
        else {
            put(at, "worker-" host, "tell", "{\"draining\": true}")
            replace("supervisor-" host, at + random(400), "kill")
        }
    }
    BEGIN {
        state = seed * 7919 + number * 104729 + length(story) * 1299709 + 1
        for (i = 0; i < 5; i++)
            random(1)
        print "name: " story "-" number
        print "about: faults at random moments"
        print "seed: " number + 1
        print "duration_ms: 4500"
        print "settle_ms: 3500"
        print "fleet: {dispatchers: 2, workers: 5}"
        print "classes:"
        print "  - {name: short, rate_per_s: 12, tasks: 4, run_ms: 60," \
            " cpu: 200, mem: 100}"
        print "  - {name: long, priority: 2, rate_per_s: 4, tasks: 3," \
            " run_ms: 900, cpu: 150, mem: 100}"
        print "faults:"
        for (i = 0; i < events; i++)
            inject(400 + i * 700 + random(600), i)
        print "outcomes:"
        print "  - {expect: completed_permille, at_least: 300}"
        print "  - {expect: usable_workers, at_least: 1}"
    }'
}

# play STORY: prints its line; returns 1 when an outcome was violated.
play() {
    rm -f "$dir/$1"[-.]*
    number=0
    while [ "$number" -lt "$count" ]; do
        make_experiment "$1" "$number" >"$dir/$1-$number.yaml"
        number=$((number + 1))
    done
    "$build/packages/cli/brasswing" lab run "$dir/$1"-*.yaml \
        >"$dir/$1.out" 2>&1 || true
    grep -E '^VIOLATED|^error' "$dir/$1.out" || true
    violated=$(grep -c '^VIOLATED' "$dir/$1.out" || true)
    played=$(grep -c '^[a-z]*-[0-9]*' "$dir/$1.out" || true)
    echo "$1: $((count * EVENTS)) faults in $count experiments," \
        "$violated outcomes violated"
    [ "$violated" -eq 0 ] && [ "$played" -ge "$count" ]
}

failed=0
for story in "$@"; do
    play "$story" || failed=1
done
exit $failed
