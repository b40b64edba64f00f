# fleet.sh -- functions to start a fleet on loopback; sourced by demo.sh and
# tests/run_docs.sh
#
# Stand-ins for the platform's log and the backend servers, two entries and
# six agents in three failure domains.  Sets $entry, $log_address and $work, a
# directory for files.  All processes end, and $work is removed, with the
# shell.  With BW_PRODUCTION, the path of an earlier brasswingd, the entries and
# agents with odd numbers run that program.

build=${1:-build}
bin=$build/packages
work=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

fail() {
    echo "$(basename "$0"): $1" >&2
    exit 1
}

# start NAME COMMAND...: runs COMMAND with its output in $work/NAME.out.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>&1 &
    pids+=($!)
}

# field NAME FIELD: waits for FIELD=VALUE in the output of NAME and prints
# VALUE.
field() {
    for _ in $(seq 200); do
        if value=$(grep -om1 "$2=[0-9]*" "$work/$1.out"); then
            echo "${value#*=}"
            return
        fi
        sleep 0.05
    done
    fail "$1 did not start: $(tail -n 3 "$work/$1.out")"
}

settings() {
    cat >"$work/$1.yaml" <<YAML
role: $2
name: $1
region: demo
domain: $3
http: {host: 127.0.0.1, port: 0}
log: {host: 127.0.0.1, port: $log_port}
YAML
    [ "$2" = entry ] ||
        echo "peer: {host: 127.0.0.1, port: 0}" >>"$work/$1.yaml"
}

# daemon NUMBER: prints the program that runs as agent or entry NUMBER.
daemon() {
    if [ -n "${BW_PRODUCTION:-}" ] && [ $(($1 % 2)) = 1 ]; then
        echo "$BW_PRODUCTION"
    else
        echo "$bin/daemon/brasswingd"
    fi
}

start_fleet() {
    local services=(tarif-engine tarif-engine tarif-engine
        renewd renewd renewd)
    local domains=(charguia-a charguia-b ariana-c
        charguia-a charguia-b ariana-c)
    local i

    start log "$build/tests/log_standin"
    log_port=$(field log http_port)
    log_address=127.0.0.1:$log_port
    for i in 0 1 2 3 4 5; do
        settings "agent-$i" agent "${domains[$i]}"
        start "agent-$i" "$(daemon "$i")" \
            --settings "$work/agent-$i.yaml"
        start "backend-$i" "$build/tests/backend_standin" \
            "$(field "agent-$i" http_port)" "${services[$i]}" 8
    done
    for i in 0 1; do
        settings "entry-$i" entry "${domains[$i]}"
        start "entry-$i" "$(daemon "$i")" \
            --settings "$work/entry-$i.yaml"
    done
    entry=127.0.0.1:$(field entry-0 http_port)
}

# Waits until the entry has a configuration and the slots of every backend
# server.
wait_fleet() {
    for _ in $(seq 200); do
        status=$("$bin/cli/brasswing" --entry "$entry" --output json status)
        case $status in
        *'"ring_agents":6,'*'"ready":true'*)
            [ "$(grep -o '"slots":8' <<<"$status" | wc -l)" = 6 ] && {
                sleep 1
                return
            }
            ;;
        esac
        sleep 0.05
    done
    fail "the fleet did not come up: $status"
}
