#!/bin/sh
# mutations.sh -- checks that the experiments detect each removed lease
#
#   usage: mutations.sh BUILD [NAME...]
#
# Each patch of tests/mutations removes one lease, or one check that bounds the
# life of a task, from a copy of the product.  The experiments that the patch
# names are run with the changed brasswingd, and at least one outcome must be
# violated; or the named tests of test_crowds are, and one must fail.  A patch that no longer applies is a failure too.  Prints a line
# for each mutation and a count at the end; the product itself is not changed.
# A patch with a line "production: COMMIT" is played beside that build.
set -eu

build=$(realpath "$1")
shift
root=$(realpath "$(dirname "$0")/..")
lab=$build/packages/cli/brasswing
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
missed=0
count=0

if [ $# -eq 0 ]; then
    for patch in "$root"/tests/mutations/*.patch; do
        set -- "$@" "$(basename "$patch" .patch)"
    done
fi

mkdir "$scratch/tree"
(cd "$root" && cp -r CMakeLists.txt packages platform "$scratch/tree")
cmake -S "$scratch/tree" -B "$scratch/build" -G Ninja -DBW_TESTS=OFF >/dev/null
cd "$root" # the experiments name the production build from here

# run_experiments: runs the experiments of $patch and prints the outcomes that
# were violated, with the experiment.
run_experiments() {
    production=$(sed -n 's/^production: //p' "$patch")
    [ -z "$production" ] || sh "$root/tests/production.sh" "$production"
    for experiment in $(sed -n 's/^experiments: //p' "$patch"); do
        "$lab" lab run --daemon "$scratch/build/packages/daemon/brasswingd" \
            "$root/tests/experiments/$experiment.yaml" >"$scratch/out" 2>&1 ||
            true
        awk -v where="$experiment" '$1 == "VIOLATED" {
            printf "%s %s (%s)", separator where, $2, \
                substr($0, match($0, /seen [0-9]+/), RLENGTH)
            where = ""; separator = ","
        }
        END { if (separator) print "" }' "$scratch/out"
    done
    for crowd in $(sed -n 's/^crowds: //p' "$patch"); do
        BW_DAEMON=$scratch/build/packages/daemon/brasswingd \
            "$build/tests/test_crowds" -p "/crowds/$crowd" \
            >"$scratch/out" 2>&1 || echo "/crowds/$crowd"
    done
}

for name in "$@"; do
    patch=$root/tests/mutations/$name.patch
    count=$((count + 1))
    (cd "$scratch/tree" && git apply "$patch") || {
        echo "$name: the patch does not fit"
        exit 1
    }
    cmake --build "$scratch/build" -j 2 --target brasswingd >"$scratch/make" ||
        {
            cat "$scratch/make"
            exit 1
        }
    found=$(run_experiments)
    printf '%-13s %s\n' "$name" "${found:-NOT FOUND}"
    [ -n "$found" ] || missed=$((missed + 1))
    (cd "$scratch/tree" && git apply -R "$patch")
done
echo "mutations: $count, $missed not found"
[ "$missed" = 0 ]
