#!/bin/sh
# check.sh -- checks the model of custody and that each mutation breaks it
#
#   usage: check.sh [FOLDER]
#
# Works in a temporary folder inside FOLDER, by default the current one.
set -eu

model=$(cd "$(dirname "$0")" && pwd)/custody.pml
work=$(mktemp -d "${1:-.}/model-XXXXXX")
trap 'rm -rf "$work"' EXIT
cd "$work"

# Prints the states stored and errors found with mutation $1.
verify() {
    spin -a -DMUTATION="$1" "$model"
    gcc -w -O2 -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c
    ./pan -E -m1000000 -w22 >out
    grep -q 'max search depth too small\|reached -DMEMLIM' out && exit 1
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' out
}

failed=0
expect() {
    errors=$(verify "$1")
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' out)
    echo "$2: $errors errors in $states states, expected $3"
    [ "$errors" = "$3" ] || failed=1
}

expect 0 "custody as designed" 0
expect 1 "without the lease check" 1
expect 2 "without the recovery question" 1
expect 3 "restarted processes vouch for older keys" 1
exit $failed
