#!/bin/sh
# Runs the short set of experiments on loopback beside the last committed
# results. Usage: bench.sh BIN [OUTPUT]. BIN holds the binaries, OUTPUT is a
# directory for results and reports.
set -eu
bin=$1
base=22
here=$(cd "$(dirname "$0")" && pwd)
experiments=$here/../experiments
out=${2:-$here/../build/bench}
mkdir -p "$out"
. "$here/processes.sh"

start_platform
for number in 1 2 3 4; do
    start "target-$number" "$bin/chicorybridge-standin" target \
        --listen "127.0.0.1:${base}10$number" --name "quotes-$number"
done
start relay "$bin/python" -m chicorybridge.tools.models.relays relay \
    --listen "127.0.0.1:${base}401" \
    --target "127.0.0.1:${base}101" --target "127.0.0.1:${base}102" \
    --target "127.0.0.1:${base}103" --target "127.0.0.1:${base}104"
relay=$started
start_host 2 eindhoven zuid
start_host 1 groningen noord
wait_for_hosts 2
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
