#!/bin/sh
# Restarts the hosts of a fleet in turn with another build under load, and back
# again; no request may fail. Operators' commands of both builds run in between.
# Usage: mixed-builds.sh OLD_BIN NEW_BIN [OUTPUT]. Each BIN holds the binaries.
set -eu
old=$1
new=$2
bin=$old
here=$(cd "$(dirname "$0")" && pwd)
out=${3:-$here/../build/mixed-builds}
mkdir -p "$out"
base=24
. "$here/processes.sh"

start_platform
for number in 1 2 3 4; do
    start "target-$number" "$bin/chicorybridge-standin" target \
        --listen "127.0.0.1:2410$number" --name "quotes-$number"
done
for number in 1 2 3; do
    start_host "$number" groningen noord
    eval "host_$number='$entry $control'"
done
wait_for_hosts 3
sed 's/127\.0\.0\.1:221/127.0.0.1:241/' "$here"/bench/*.ini >"$run/declaration.ini"
"$old/chicorybridge" apply "$run/declaration.ini" --wait-ms 30000

sed 's/127\.0\.0\.1:23/127.0.0.1:24/' "$here/../experiments/rolling-restart.ini" \
    >"$run/experiment.ini"
start load "$new/chicorybridge-load" run "$run/experiment.ini" \
    --output "$out/mixed-builds.json"
load=$started
sleep 4
percent=60
for bin in "$new" "$old"; do
    for number in 1 2 3; do
        eval "stopping=\$host_$number"
        echo "restarting host $number with $bin"
        # shellcheck disable=SC2086
        kill -TERM $stopping
        # shellcheck disable=SC2086
        wait $stopping || true
        start_host "$number" groningen noord
        eval "host_$number='$entry $control'"
        sleep 6
        percent=$((percent + 1))
        sed "s/^floor = .*/floor = 0.$percent/" "$run/declaration.ini" >"$run/next.ini"
        for operator in "$old" "$new"; do
            "$operator/chicorybridge" status
            "$operator/chicorybridge" plan "$run/next.ini"
            "$operator/chicorybridge" metrics >/dev/null
        done
        "$bin/chicorybridge" apply "$run/next.ini" --wait-ms 30000 | tail -n 2
    done
done
status=0
wait "$load" || status=$?
cat "$run/load.out"
if grep -il 'malformed\|undecodable\|not registered\|traceback' "$run"/*.err; then
    status=1
fi
exit $status
