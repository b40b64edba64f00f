#!/usr/bin/env bash
# demo.sh -- starts a fleet on loopback, publishes a configuration, runs a job
#
# Starts stand-ins for the platform's log and the backend servers, two entries
# and six agents in three failure domains, publishes a configuration with
# tarif-engine and renewd, submits a job of 200 tasks, and stops all of them.
set -euo pipefail

# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/fleet.sh"
start_fleet

"$bin/cli/brasswing" --log "$log_address" publish \
    docs/examples/operators.yaml

wait_fleet

{
    printf '{"member": "power-purchase-agency", "team": "settlement",\n'
    printf '"key": "demo-1", "service": "tarif-engine",\n'
    printf '"class": "settlement", "deadline_us": %d,\n"tasks": [\n' \
        $((($(date +%s) + 30) * 1000000))
    for i in $(seq 200); do
        printf '{"body": "task=%d run_us=50000", "runtime_us": 50000}%s\n' \
            "$i" "$([ "$i" = 200 ] || echo ,)"
    done
    printf ']}\n'
} >"$work/job.json"
"$bin/cli/brasswing" --entry "$entry" submit "$work/job.json"
