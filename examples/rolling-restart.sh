#!/bin/sh
# Restarts all hosts of a fleet in turn under load; no request may fail.
# Usage: rolling-restart.sh BIN [OUTPUT]. BIN holds the binaries.
set -eu
bin=$1
here=$(cd "$(dirname "$0")" && pwd)
out=${2:-$here/../build/rolling-restart}
mkdir -p "$out"
base=23
. "$here/processes.sh"


start_platform
for number in 1 2 3 4; do
    start "target-$number" "$bin/chicorybridge-standin" target \
        --listen "127.0.0.1:2310$number" --name "quotes-$number"
done
for number in 1 2 3; do
    start_host "$number" groningen noord
    eval "host_$number='$entry $control'"
done

wait_for_hosts 3
sed 's/127\.0\.0\.1:221/127.0.0.1:231/' "$here"/bench/*.ini >"$run/declaration.ini"
"$bin/chicorybridge" apply "$run/declaration.ini" --wait-ms 30000

"$bin/chicorybridge-load" run "$here/../experiments/rolling-restart.ini" \
    --output "$out/rolling-restart.json" >"$out/rolling-restart.txt" &
load=$!
sleep 5
for number in 1 2 3; do
    eval "stopping=\$host_$number"
    echo "restarting host $number"
    # shellcheck disable=SC2086
    kill -TERM $stopping
    # shellcheck disable=SC2086
    wait $stopping || true
    start_host "$number" groningen noord
    sleep 6
done
status=0
wait "$load" || status=$?
cat "$out/rolling-restart.txt"
exit $status
