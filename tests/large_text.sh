#!/bin/sh
# large_text.sh -- prints an operators' configuration with 16 members of 4
# teams each and 48 services, for measure_config
set -eu

echo "members:"
for m in $(seq 0 15); do
    printf '  - name: member-%d\n    capacity_slots: 400\n    teams:\n' "$m"
    for t in 0 1 2 3; do
        printf '      - {name: team-%d, quota_slots: 100}\n' "$t"
    done
done
echo "services:"
for s in $(seq 0 47); do
    cat <<YAML
  - name: service-$s
    member: member-$((s % 16))
    tasks_max: 1700
    classes:
      - {name: urgent, priority: 0}
      - {name: bulk, priority: 4}
    kinds:
      - {name: claim, class: urgent, job_tasks: 88, task_bytes: 4096, runtime_ms: 1000}
      - {name: report, class: bulk, job_tasks: 1700, task_bytes: 1024, runtime_ms: 5000}
YAML
done
