#!/bin/sh
# Runs three hosts with a declaration of the full size and prints what their
# processes use. Usage: capacity.sh BIN. BIN holds the binaries.
set -eu
bin=$1
base=23
here=$(cd "$(dirname "$0")" && pwd)
. "$here/processes.sh"

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
apply() {
    date +%T
    "$bin/chicorybridge" apply "$1" --wait-ms 60000 | tail -n 6
    date +%T
    sleep 10
}

mkdir "$run/first" "$run/second"
"$bin/python" -m chicorybridge.tools.measurements.capacities declare "$run/first/full.ini"
sed 's/^\[service service-0\]$/&\nfloor = 0.6/' "$run/first/full.ini" >"$run/second/full.ini"

start_platform
start_host 3 zone-3 region-0
start_host 2 zone-2 region-2
start_host 1 zone-1 region-1
wait_for_hosts 3

show_all "no configuration"
sleep 10
show_all "10 s later"
apply "$run/first"
show_all "the full size, 10 s after it was accepted"
sleep 30
show_all "30 s later"
apply "$run/second"
show_all "one change, 10 s after it was accepted"
sleep 30
show_all "30 s later"
