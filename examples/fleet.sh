# Functions for scripts that run a fleet on loopback; source it with $bin set.
run=$(mktemp -d)
pids=""

stop_all() {
    for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    [ -n "${FLEET_LOGS:-}" ] && cp -r "$run" "$FLEET_LOGS"
    rm -rf "$run"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start LOG COMMAND...: run in the background; $started is its process id.
start() {
    log=$1
    shift
    "$@" >>"$run/$log.out" 2>>"$run/$log.err" &
    started=$!
    pids="$pids $started"
}

# write_host NUMBER ZONE REGION CONTROL-PORT ENTRY-PORT PLATFORM-ADDRESS
write_host() {
    cat >"$run/host-$1.ini" <<INI
[control]
host = host-$1
zone = $2
region = $3
listen = 127.0.0.1:$4
platform = $6
fleet_key_variable = CHICORYBRIDGE_FLEET_KEY
operator_token_variable = CHICORYBRIDGE_OPERATOR_TOKEN

[entry]
host = host-$1
zone = $2
region = $3
listen = 127.0.0.1:$5
control = 127.0.0.1:$4
fleet_key_variable = CHICORYBRIDGE_FLEET_KEY
INI
}

# start_host NUMBER: start both processes; sets $control and $entry.
start_host() {
    start "control-$1" "$bin/chicorybridge-control" --settings "$run/host-$1.ini"
    control=$started
    start "entry-$1" "$bin/chicorybridge-entry" --settings "$run/host-$1.ini"
    entry=$started
}
