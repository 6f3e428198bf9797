#!/bin/sh
# Runs the short set of experiments on loopback beside the last committed
# results. Usage: bench.sh BIN [OUTPUT]. BIN holds the binaries, OUTPUT is a
# directory for results and reports.
set -eu
bin=$1
here=$(cd "$(dirname "$0")" && pwd)
experiments=$here/../experiments
out=${2:-$here/../build/bench}
run=$(mktemp -d)
pids=""
mkdir -p "$out"

export CHICORYBRIDGE_FLEET_KEY=bench-fleet-key
export CHICORYBRIDGE_OPERATOR_TOKEN=bench-operator-token
export CHICORYBRIDGE_CONTROL=127.0.0.1:22201

stop_all() {
    for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    [ -n "${BENCH_LOGS:-}" ] && cp -r "$run" "$BENCH_LOGS"
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

start platform "$bin/chicorybridge-standin" platform --listen 127.0.0.1:22001
for number in 1 2 3 4; do
    start "target-$number" "$bin/chicorybridge-standin" target \
        --listen "127.0.0.1:2210$number" --name "quotes-$number"
done
start relay "$bin/python" -m chicorybridge.tools.relays relay \
    --listen 127.0.0.1:22401 \
    --target 127.0.0.1:22101 --target 127.0.0.1:22102 \
    --target 127.0.0.1:22103 --target 127.0.0.1:22104
relay=$!

number=1
for place in "groningen noord" "eindhoven zuid"; do
    cat >"$run/host-$number.ini" <<INI
[control]
host = host-$number
zone = ${place% *}
region = ${place#* }
listen = 127.0.0.1:2220$number
platform = 127.0.0.1:22001
fleet_key_variable = CHICORYBRIDGE_FLEET_KEY
operator_token_variable = CHICORYBRIDGE_OPERATOR_TOKEN

[entry]
host = host-$number
zone = ${place% *}
region = ${place#* }
listen = 127.0.0.1:2230$number
control = 127.0.0.1:2220$number
fleet_key_variable = CHICORYBRIDGE_FLEET_KEY
INI
    start "control-$number" "$bin/chicorybridge-control" --settings "$run/host-$number.ini"
    [ "$number" = 1 ] && control=$!
    start "entry-$number" "$bin/chicorybridge-entry" --settings "$run/host-$number.ini"
    [ "$number" = 1 ] && entry=$!
    number=$((number + 1))
done

check_started
"$bin/python" -m chicorybridge.tools.demos wait --control "$CHICORYBRIDGE_CONTROL" --hosts 2
"$bin/chicorybridge" apply "$here/bench" --wait-ms 30000

status=0
for name in added-latency mixed; do
    against=""
    [ -f "$experiments/results/$name.json" ] && against="--against $experiments/results/$name.json"
    # shellcheck disable=SC2086
    "$bin/chicorybridge-load" run "$experiments/$name.ini" $against \
        --process "relay=$relay" --process "entry=$entry" --process "control=$control" \
        --output "$out/$name.json" --report "$out/$name.html" || status=$?
done
echo "results and reports: $out"
exit $status
