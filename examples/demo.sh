#!/bin/sh
# Starts the stand-ins and three hosts on loopback, then runs the checks.
# Usage: demo.sh BIN [KEEP]. BIN holds the binaries; KEEP=1 stays up.
set -eu
bin=$1
keep=${2:-}
here=$(cd "$(dirname "$0")" && pwd)
base=20
. "$here/processes.sh"

start platform "$bin/chicorybridge-standin" platform \
    --listen 127.0.0.1:20001 ${keep:+--file "${TMPDIR:-/tmp}/chicorybridge-demo.sqlite"}

sed -n 's/^\[target \(.*\)\]$/\1/p; s/^pool = .*-\(.*\)$/\1/p; s/^zone = //p; s/^address = //p' \
    "$here/bureau/targets.ini" | paste - - - - >"$run/targets"
while read -r name age zone address; do
    speed=1.0
    [ "$age" = old ] && speed=0.5
    start "target-$name" "$bin/chicorybridge-standin" target \
        --listen "$address" --name "$name" --zone "$zone" --speed "$speed"
done <"$run/targets"

number=1
for zone in groningen leeuwarden eindhoven; do
    region=noord
    [ "$zone" = eindhoven ] && region=zuid
    start_host "$number" "$zone" "$region"
    number=$((number + 1))
done

wait_for_hosts 3
"$bin/chicorybridge" check "$here/bureau"
"$bin/chicorybridge" plan "$here/bureau" | head -n 3
"$bin/chicorybridge" apply "$here/bureau" --wait-ms 30000
"$bin/chicorybridge" status
"$bin/python" -m chicorybridge.tools.measurements.demos show --entry 127.0.0.1:20301 \
    --declaration "$here/bureau"
"$bin/chicorybridge" timeline | tail -n 5
"$bin/chicorybridge" metrics

if [ "$keep" = 1 ]; then
    echo "up; entry at 127.0.0.1:20301, control at $CHICORYBRIDGE_CONTROL; interrupt to stop"
    while :; do sleep 1; done
fi
echo "stopping all gracefully"
