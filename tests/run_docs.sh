#!/usr/bin/env bash
# run_docs.sh -- runs the commands of documentation pages against a fleet
#
#   usage: run_docs.sh BUILD PAGE...
#
# The ```sh blocks are run as printed, in order, each by its own shell, with
# $ENTRY and $LOG set, a configuration in operators.yaml, and brasswing on the
# path.  A block must succeed; one that follows the comment <!-- exit N -->
# must exit with N.
set -euo pipefail

build=$(realpath "$1")
shift
pages=("$@")
root=$(realpath "$(dirname "$0")/..")
set -- "$build"
# shellcheck source=scripts/fleet.sh
. "$root/scripts/fleet.sh"

# extract PAGE: writes each block to block-NNN and its expected exit code to
# block-NNN.exit.
extract() {
    awk -v dir="$work/blocks" '
        /^<!-- exit [0-9]+ -->$/ { code = $3 }
        /^```sh$/ { n++; file = sprintf("%s/block-%03d", dir, n); next }
        /^```$/ && file { print code + 0 > (file ".exit"); close(file)
                          file = ""; code = 0; next }
        file { print > file }' "$1"
}

start_fleet
export ENTRY=$entry LOG=$log_address PATH=$bin/cli:$PATH
cp "$root/docs/examples/operators.yaml" "$work/"
"$bin/cli/brasswing" --log "$LOG" publish "$work/operators.yaml" >/dev/null
wait_fleet
count=0
for page in "${pages[@]}"; do
    rm -rf "$work/blocks"
    mkdir "$work/blocks"
    extract "$page"
    for block in "$work"/blocks/block-???; do
        wanted=$(cat "$block.exit")
        code=0
        (cd "$work" && timeout 60 bash -eu "$block") >"$work/out" 2>&1 ||
            code=$?
        if [ "$code" != "$wanted" ]; then
            cat "$block" "$work/out" >&2
            fail "$page: the block above ended with $code, not $wanted"
        fi
        count=$((count + 1))
    done
done
[ "$count" -gt 0 ] || fail "no block was found"
echo "run_docs: $count blocks ran as printed"
