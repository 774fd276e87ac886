#!/usr/bin/env bash
# Starts stand-ins for 24 workers and 24 targets and 7 daemons in 3 failure domains as separate
# processes, submits 1,000 jobs and 10,000 requests, and prints the outcomes and the resource usage
# of each daemon. Needs `make install`; takes about three minutes. The environment variables JOBS
# and REQUESTS change the counts.
set -eu
cd "$(dirname "$0")/../.."
bin=.venv/bin
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

"$bin/fireflywharf-standin" --topology examples/seven-vms-topology.toml \
    --effects "$work/effects.jsonl" >"$work/addresses.json" 2>"$work/standin.log" &
pids+=($!)
for _ in $(seq 100); do [ -s "$work/addresses.json" ] && break; sleep 0.1; done

for number in 1 2 3 4 5 6 7; do
    "$bin/python" examples/seven-vms/point_settings.py "examples/seven-vms/entry-$number.toml" \
        "$work/addresses.json" >"$work/entry-$number.toml"
    "$bin/fireflywharfd" "$work/entry-$number.toml" 2>"$work/entry-$number.log" &
    pids+=($!)
done

"$bin/python" examples/seven-vms/load.py --effects "$work/effects.jsonl" \
    --jobs "${JOBS:-1000}" --requests "${REQUESTS:-10000}" --pids "${pids[@]:1}"
