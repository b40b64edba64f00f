#!/bin/sh
# run.sh -- runs this case; exits with 1 if the rule was broken, with 0 if it
# held and with 2 if the case could not run.  TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")" || exit 2
review=$(dirname "$PWD")
daemon=$(dirname "$review")/target/packages/daemon/brasswingd
case=$review/out/case-$(basename "$PWD")
[ -x "$case" ] && [ -x "$daemon" ] || exit 2
exec "$case" "$daemon" "$review/out/bornworker" \
    "$PWD/record.txt"
