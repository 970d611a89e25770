#!/bin/sh
# Runs the fabric, entry hosts and backend servers as separate processes on loopback, and plays a
# recorded trace through them.
set -u
bin=${1:?usage: demo.sh BIN_DIRECTORY}
cd "$(dirname "$0")/.." || exit 1
work=$(mktemp -d)
pids=""
finish() {
    status=$?
    trap - EXIT INT TERM
    # shellcheck disable=SC2086
    kill $pids 2>/dev/null
    wait 2>/dev/null
    if [ "$status" -ne 0 ]; then
        echo "demo failed; the last log lines of the hosts:" >&2
        tail -n 5 "$work"/*.log >&2
    fi
    rm -rf "$work"
    exit "$status"
}
trap finish EXIT INT TERM

start() {
    name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids="$pids $!"
}

services=examples/kingston.jsonc
entries="--entry 127.0.0.11:4000 --entry 127.0.0.12:4000 --entry 127.0.0.13:4000"
platform=127.0.0.3:2379
export GODWITWAY_API=127.0.0.11:4003

start platform "$bin/godwitway-standin" platform $platform
# shellcheck disable=SC2086
start fabric "$bin/godwitway-standin" fabric 127.0.0.2:4100 $services $entries --platform $platform --seed 7
for zone in kingston-a kingston-b; do
    # shellcheck disable=SC2086
    start "servers-$zone" "$bin/godwitway-standin" servers $services $zone $entries --platform $platform --seed 11
done
start entry-1 "$bin/godwitwayd" run examples/entry-1.jsonc
start entry-2 "$bin/godwitwayd" run examples/entry-2.jsonc
start entry-3 "$bin/godwitwayd" run examples/entry-3.jsonc
entry2=${pids##* }
# entry-2 is the last but one process.
entry2=$(echo "$pids" | awk '{print $(NF-1)}')

tries=0
until "$bin/godwitctl" status >/dev/null 2>&1; do
    tries=$((tries + 1))
    [ "$tries" -lt 40 ] || { echo "the API of entry-1 does not answer" >&2; exit 1; }
    sleep 0.25
done
"$bin/godwitctl" apply $services || exit 1
revision=$("$bin/godwitctl" apply $services --output json | sed -n 's/.*"revision": *\([0-9]*\).*/\1/p' | tail -n 1)
"$bin/godwitctl" wait-in-force "$revision" || exit 1
# Hosts that have just started cannot determine whether a bid was already sent, so bids wait this long.
sleep 5
"$bin/godwitctl" status

"$bin/godwitway-standin" play traces/demo.jsonl $services --listen 127.0.0.4:4200 --fabric 127.0.0.2:4100 \
    --skip 127.0.1.2:9000 &
player=$!
sleep 7
echo "stopping entry-2 with SIGTERM"
kill -TERM "$entry2"
"$bin/godwitway-standin" host 127.0.0.12 leaving --platform $platform
sleep 2
echo "draining target 127.0.1.2:9000"
"$bin/godwitctl" drain live-auction 127.0.1.2:9000 || exit 1
wait "$player" || exit 1
echo "the users' platform: six hosts, no faults"
"$bin/godwitway-standin" soak --seed 1 --seconds 4 --calm --folder "$work/platform"
