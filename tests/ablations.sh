#!/bin/sh
# ablations.sh -- what each mechanism of the bound jobs is worth
#
#   usage: ablations.sh check [NAME...]
#          ablations.sh play PLAYER JOBS DIR RUN... [-- NAME...]
#
# Each patch of tests/ablations switches one mechanism off in a copy of the
# product, and its first line says what is missing then.
#
# check: every patch applies to the product and builds.
#
# play: PLAYER is a program that is started in a copy of the repository with the
# words of a RUN, and prints a line with the name of the day, a count as N/N, a
# score and the worth.  A RUN is a label, a colon and these words, as in
# "g:run SITE DAY --seed 1".  JOBS players run at a time.  The copies and the
# outputs go to DIR and stay there.  Prints the mean worth of each label's runs
# with everything on, the difference to it without each mechanism, and how many
# runs failed or broke a rule; a mean with failed runs compares unlike days.
set -eu

root=$(realpath "$(dirname "$0")/..")
patches=$root/tests/ablations

all_names() {
    for patch in "$patches"/*.patch; do
        basename "$patch" .patch
    done
}

check() {
    scratch=$(mktemp -d)
    trap 'rm -rf "$scratch"' EXIT
    count=0
    [ $# -gt 0 ] || set -- $(all_names)
    mkdir "$scratch/tree"
    (cd "$root" && cp -r CMakeLists.txt packages platform "$scratch/tree")
    cmake -S "$scratch/tree" -B "$scratch/build" -G Ninja -DBW_TESTS=OFF \
        >/dev/null
    for name in "$@"; do
        (cd "$scratch/tree" && git apply "$patches/$name.patch") || {
            echo "$name: the patch does not apply; make it anew"
            exit 1
        }
        cmake --build "$scratch/build" -j 2 --target brasswingd \
            >"$scratch/make" || {
            cat "$scratch/make"
            echo "$name: the patch does not build; make it anew"
            exit 1
        }
        (cd "$scratch/tree" && git apply -R "$patches/$name.patch")
        count=$((count + 1))
    done
    echo "ablations: $count apply and build"
}

# make_tree NAME: a copy of the repository without the mechanism.
make_tree() {
    [ -d "$dir/$1" ] && return
    git clone --quiet "$root" "$dir/$1"
    [ "$1" = all_on ] || (cd "$dir/$1" && git apply "$patches/$1.patch")
}

# mean NAME LABEL: the mean worth of the label's runs.
mean() {
    cat "$dir/out/$1:$2:"* | awk '
        $2 ~ /^[0-9]+\/[0-9]+$/ { sum += $4; count++ }
        END { if (count) printf "%.4f", sum / count; else printf "nan" }'
}

play() {
    player=$(realpath "$1")
    jobs=$2
    dir=$3
    shift 3
    mkdir -p "$dir/out"
    dir=$(realpath "$dir")
    : >"$dir/runs"
    while [ $# -gt 0 ] && [ "$1" != -- ]; do
        echo "$1" >>"$dir/runs"
        shift
    done
    [ $# -eq 0 ] || shift
    [ $# -gt 0 ] || set -- $(all_names)
    labels=$(cut -d: -f1 "$dir/runs" | sort -u)
    for name in all_on "$@"; do
        make_tree "$name"
        number=0
        while read -r run; do
            number=$((number + 1))
            output=$dir/out/$name:${run%%:*}:$number
            [ -s "$output" ] ||
                printf '%s\0' "cd '$dir/$name' && '$player' ${run#*:} \
>'$output.part' 2>&1 && mv '$output.part' '$output'"
        done <"$dir/runs" | xargs -0 -r -P "$jobs" -I{} sh -c '{}' || true
        printf '%-18s' "$name"
        for label in $labels; do
            awk -v own="$(mean "$name" "$label")" \
                -v base="$(mean all_on "$label")" -v name="$name" \
                -v label="$label" 'BEGIN {
                    if (name == "all_on") printf " %s %.3f", label, own
                    else printf " %s %+.3f", label, own - base }'
        done
        broken=$(grep -l BROKEN "$dir/out/$name:"* | wc -l)
        [ "$broken" -eq 0 ] || printf '  rules broken on %d' "$broken"
        failed=$(($(wc -l <"$dir/runs") - $(find "$dir/out" -name "$name:*" \
            ! -name '*.part' | wc -l)))
        [ "$failed" -eq 0 ] || printf '  failed: %d' "$failed"
        echo
    done
}

action=${1:-}
[ $# -eq 0 ] || shift
case $action in
check | play) "$action" "$@" ;;
*)
    sed -n '3,4s/^# *//p' "$0" >&2
    exit 2
    ;;
esac
