#!/bin/sh
# regression.sh -- plays the deployments of docs/regression.list
#
#   usage: regression.sh PLAYER DIR [JOBS]
#
# PLAYER is the program that plays deployments, DIR the directory of their site
# files.  Of each site the standard days are scored, and as many days as the
# list says are drawn and played.  Prints a line for each; the outputs go to
# build/regression.  The exit status is 0 when every gate was passed and no
# rule was broken.
set -eu

cd "$(dirname "$0")/.."
player=$(realpath "$1")
sites=$(realpath "$2")
jobs=${3:-4}
out=build/regression
mkdir -p "$out"
failed=0

sed 's/#.*//' docs/regression.list | while read -r site days; do
    [ -n "$site" ] || continue
    name=$(basename "$site" .toml)
    "$player" score "$sites/$site" --jobs "$jobs" --why regression \
        >"$out/$name.score" 2>&1 || true
    "$player" hunt "$sites/$site" --jobs "$jobs" --days "$days" \
        --why regression >"$out/$name.hunt" 2>&1 || true
    score=$(sed -n 's/^score on the standard days.*: //p' "$out/$name.score")
    gate=$(sed -n 's/^GATE //p' "$out/$name.score")
    broken=$(sed -n 's/^[0-9]* days on [^,]*, //p' "$out/$name.hunt")
    echo "$name: score ${score:-none}, gate ${gate:-none}," \
        "$days days: ${broken:-not played}"
    case "$gate/$broken" in
    passed/0\ *) ;;
    *) touch "$out/failed" ;;
    esac
done
[ ! -e "$out/failed" ] || failed=1
rm -f "$out/failed"
exit $failed
