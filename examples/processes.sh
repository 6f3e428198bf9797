# Starts and stops the processes of a trial; read by the scripts beside it.
# They set bin, the directory of the binaries, and base, the first two digits
# of all ports.

run=$(mktemp -d)
pids=""

export CHICORYBRIDGE_FLEET_KEY=trial-fleet-key
export CHICORYBRIDGE_OPERATOR_TOKEN=trial-operator-token
export CHICORYBRIDGE_CONTROL="127.0.0.1:${base}201"

# Keeps the logs in TRIAL_LOGS, if that is set.
stop_all() {
    for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    [ -n "${TRIAL_LOGS:-}" ] && cp -r "$run" "$TRIAL_LOGS"
    rm -rf "$run"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start LOG COMMAND...: leaves the process id in $started.
start() {
    log=$1
    shift
    "$@" >"$run/$log.out" 2>"$run/$log.err" &
    started=$!
    pids="$pids $started"
}

start_platform() {
    start platform "$bin/chicorybridge-standin" platform \
        --listen "127.0.0.1:${base}001"
}

# start_host NUMBER ZONE REGION: leaves process ids in $control and $entry.
start_host() {
    cat >"$run/host-$1.ini" <<INI
[control]
host = host-$1
zone = $2
region = $3
listen = 127.0.0.1:${base}20$1
platform = 127.0.0.1:${base}001
fleet_key_variable = CHICORYBRIDGE_FLEET_KEY
operator_token_variable = CHICORYBRIDGE_OPERATOR_TOKEN

[entry]
host = host-$1
zone = $2
region = $3
listen = 127.0.0.1:${base}30$1
control = 127.0.0.1:${base}20$1
fleet_key_variable = CHICORYBRIDGE_FLEET_KEY
INI
    start "control-$1" "$bin/chicorybridge-control" --settings "$run/host-$1.ini"
    control=$started
    start "entry-$1" "$bin/chicorybridge-entry" --settings "$run/host-$1.ini"
    entry=$started
}

# Another run on the same ports would answer in place of this one.
check_started() {
    for log in "$run"/*.out; do
        for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
            grep -q '^listening' "$log" && break
            sleep 1
        done
        grep -q '^listening' "$log" && continue
        echo "$(basename "$log" .out) did not start:" >&2
        cat "${log%.out}.err" >&2
        exit 1
    done
}

# wait_for_hosts COUNT: until all processes run and the hosts know each other.
wait_for_hosts() {
    check_started
    "$bin/python" -m chicorybridge.tools.measurements.demos wait \
        --control "$CHICORYBRIDGE_CONTROL" --hosts "$1"
}
