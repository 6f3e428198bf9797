#!/bin/sh
# Runs three hosts with a declaration of the full size and prints what their
# processes use. Usage: capacity.sh BIN. BIN holds the binaries.
set -eu
bin=$1
run=$(mktemp -d)
pids=""

export CHICORYBRIDGE_FLEET_KEY=capacity-fleet-key
export CHICORYBRIDGE_OPERATOR_TOKEN=capacity-operator-token
export CHICORYBRIDGE_CONTROL=127.0.0.1:23201

stop_all() {
    for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    [ -n "${CAPACITY_LOGS:-}" ] && cp -r "$run" "$CAPACITY_LOGS"
    rm -rf "$run"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start() {
    log=$1
    shift
    "$@" >"$run/$log.out" 2>"$run/$log.err" &
    pids="$pids $!"
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

# Prints ticks of 10 ms of processor time and kilobytes of memory.
show() {
    echo "$1: $(awk '{print $14 + $15}' "/proc/$2/stat") ticks," \
        "$(grep -E 'VmRSS|VmHWM' "/proc/$2/status" | tr -s '\n\t ' ' ')"
}
show_all() {
    echo "-- $1"
    show control-1 "$control"
    show entry-1 "$entry"
}

mkdir "$run/first" "$run/second"
"$bin/python" -m chicorybridge.tools.capacities declare "$run/first/full.ini"
sed 's/^\[service service-0\]$/&\nfloor = 0.6/' "$run/first/full.ini" >"$run/second/full.ini"

start platform "$bin/chicorybridge-standin" platform --listen 127.0.0.1:23001
for number in 1 2 3; do
    cat >"$run/host-$number.ini" <<INI
[control]
host = host-$number
zone = zone-$number
region = region-$((number % 3))
listen = 127.0.0.1:2320$number
platform = 127.0.0.1:23001
fleet_key_variable = CHICORYBRIDGE_FLEET_KEY
operator_token_variable = CHICORYBRIDGE_OPERATOR_TOKEN

[entry]
host = host-$number
zone = zone-$number
region = region-$((number % 3))
listen = 127.0.0.1:2330$number
control = 127.0.0.1:2320$number
fleet_key_variable = CHICORYBRIDGE_FLEET_KEY
INI
    start "control-$number" "$bin/chicorybridge-control" --settings "$run/host-$number.ini"
    [ "$number" = 1 ] && control=$!
    start "entry-$number" "$bin/chicorybridge-entry" --settings "$run/host-$number.ini"
    [ "$number" = 1 ] && entry=$!
done
check_started
"$bin/python" -m chicorybridge.tools.demos wait --control "$CHICORYBRIDGE_CONTROL" --hosts 3

show_all "no configuration"
sleep 10
show_all "10 s later"
date +%T
"$bin/chicorybridge" apply "$run/first" --wait-ms 60000 | tail -n 6
date +%T
sleep 10
show_all "the full size, 10 s after it was accepted"
sleep 30
show_all "30 s later"
date +%T
"$bin/chicorybridge" apply "$run/second" --wait-ms 60000 | tail -n 6
date +%T
sleep 10
show_all "one change, 10 s after it was accepted"
sleep 30
show_all "30 s later"
