#!/bin/sh
# test_boundaries.sh -- checks which part may name and include which
#
# usage: test_boundaries.sh ROOT
#
# First it runs the checks on small trees that each break one rule, so that a
# check that detects nothing fails.  Then it checks the tree at ROOT.
set -eu

root=$1
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# Paths, fields and headers that only the platform has, in any case.
names='/api/
Instances\.Heartbeat
Instances\.Deregister
run-start
run-stop
log-newest
log-append
keyed\.(op|members|servers|status)
x-expect-instance
x-deadline-ms
x-duty-holder
x-fencing-token
allowDuplicates
antiAffinity
bestEffort
checkpointing
clockMs
coldLeftMs
deadlineMs
enforcesCapacity
estimateMs
farFactor
fenceToken
hasMore
heartbeatAddr
intervalMs
lastSeen
longRunning
maxAttempts
maxBodyBytes
mayMiss
memMb
pathPrefix
remainingMs
repeatCount
sameRack
startTimeMs
targetLatencyMs
waitMs'

printf '%s\n' "$names" >"$scratch/names"

# Files outside platform/, deploy/ and journal/ that may know these names: the
# driver's page, its test, and the platform's emulator.
known='^(docs/PLATFORM\.md|tests/test_boundaries\.sh|tests/test_driver\.c'
known="$known|packages/emulator/(store|worker|ingress|wording)\.[ch])\$"

# Prints the platform's names in files of a tree that must not contain them.
find_names() {
    (cd "$1" && find . -type f ! -path './.git' ! -path './.git/*' \
        ! -path './build*' ! -path './target/*' ! -path './.cache/*' \
        ! -path './platform/*' ! -path './deploy/*' ! -path './journal/*') |
        sed 's|^\./||' |
        grep -Ev "$known" | (cd "$1" && xargs grep -EioHI -f "$scratch/names") |
        sort -u | sed 's/^/names the platform: /'
}

# find_includes ROOT FROM TO...: includes in FROM of headers found in a TO.
# As with the compiler, a header in the file's own directory comes first.
find_includes() {
    tree=$1
    from=$2
    shift 2
    (cd "$tree" && {
        find . -name '*.h' | sed 's/^/header /'
        find "./$from" -name '*.[ch]' -exec grep -EH \
            '^[[:space:]]*#[[:space:]]*include[[:space:]]*["<]' '{}' +
    }) | awk -v to="$*" '
        BEGIN { count = split(to, parts, " ") }
        $1 == "header" { exists[substr($2, 3)] = 1; next }
        {
            file = substr($0, 3, index($0, ":") - 3)
            header = $0
            sub(/^[^"<]*["<]/, "", header)
            sub(/[">].*/, "", header)
            base = header
            sub(/.*\//, "", base)
            beside = file
            sub(/[^\/]*$/, "", beside)
            if (base == header && (beside header) in exists)
                next
            for (i = 1; i <= count; i++)
                if ((parts[i] "/" base) in exists)
                    print "includes " parts[i] ": " file ": " header
        }'
}

check_tree() {
    find_names "$1"
    find_includes "$1" packages platform
    find_includes "$1" packages/ports \
        packages/core packages/adapters packages/daemon packages/cli
    find_includes "$1" packages/core \
        packages/adapters packages/daemon packages/cli
    find_includes "$1" packages/adapters packages/daemon packages/cli
    for part in ports core adapters daemon; do
        find_includes "$1" "packages/$part" packages/emulator
    done
    find_includes "$1" platform packages/emulator
    find_includes "$1" packages/cli packages/emulator |
        grep -v ': lab\.h$' || true
}

# breaks WANTED FILE TEXT: the checks must report a tree with this file.
breaks() {
    tree=$scratch/tree
    rm -rf "$tree"
    for part in ports core adapters daemon cli emulator; do
        mkdir -p "$tree/packages/$part"
        echo '/* nothing */' >"$tree/packages/$part/$part.h"
    done
    mkdir -p "$tree/platform" "$tree/docs" "$tree/tests/standins"
    echo 'fenceToken' >"$tree/platform/platform.h"
    echo 'fenceToken' >"$tree/packages/emulator/worker.c"
    echo '/* nothing */' >"$tree/packages/emulator/lab.h"
    echo '#include "lab.h"' >"$tree/packages/cli/main.c"
    echo 'lastSeen' >"$tree/docs/PLATFORM.md"
    echo 'bestEffort' >"$tree/tests/test_driver.c"
    if [ -n "$(check_tree "$tree")" ]; then
        echo "a sound tree is found at fault:"
        check_tree "$tree"
        exit 1
    fi
    printf '%s\n' "$3" >"$tree/$2"
    if ! check_tree "$tree" | grep -qF "$1: $2"; then
        echo "not found: $3 in $2"
        exit 1
    fi
}

breaks 'names the platform' packages/core/a.c 'x = "fenceToken";'
breaks 'names the platform' packages/adapters/a.h '/* FENCETOKEN */'
breaks 'names the platform' docs/USE.md 'POST /api/run-start'
breaks 'names the platform' tests/test_x.c '"X-Deadline-Ms: 5"'
breaks 'names the platform' README.md 'topic keyed.op'
breaks 'includes platform' packages/daemon/a.c '#include "platform.h"'
breaks 'includes platform' packages/cli/a.c \
    '  #  include "../../platform/platform.h"'
breaks 'includes packages/adapters' packages/core/a.c '#include "adapters.h"'
breaks 'includes packages/daemon' packages/core/a.c '#include <daemon.h>'
breaks 'includes packages/core' packages/ports/a.h '#include "core.h"'
breaks 'includes packages/daemon' packages/adapters/a.c \
    '#include "../daemon/daemon.h"'
breaks 'names the platform' packages/emulator/labrunner.c '"fenceToken"'
for part in ports core adapters daemon cli; do
    breaks 'includes packages/emulator' "packages/$part/a.c" \
        '#include "emulator.h"'
done
breaks 'includes packages/emulator' packages/daemon/a.c '#include "lab.h"'
breaks 'includes packages/emulator' platform/a.c '#include "emulator.h"'

check_tree "$root" >"$scratch/found"
if [ -s "$scratch/found" ]; then
    cat "$scratch/found"
    exit 1
fi
echo "boundaries: nothing found"
