#!/usr/bin/env bash
# Runs one daemon with examples/settings-single.toml and stand-ins for the platform until SIGTERM or
# Ctrl-C stops it. Needs `make install`. The daemon listens for callers on 127.0.0.1:7001.
set -eu
cd "$(dirname "$0")/.."
bin=.venv/bin
work=$(mktemp -d)

"$bin/fireflywharf-standin" --topology examples/single-topology.toml >"$work/addresses.json" &
standin=$!
trap 'kill -TERM "$standin" 2>/dev/null || true; wait "$standin" || true; rm -rf "$work"' EXIT
for _ in $(seq 100); do [ -s "$work/addresses.json" ] && break; sleep 0.1; done
"$bin/python" examples/seven-vms/point_settings.py examples/settings-single.toml \
    "$work/addresses.json" >"$work/settings.toml"

"$bin/fireflywharfd" "$work/settings.toml" &
daemon=$!
trap 'kill -TERM "$daemon"' TERM INT
wait "$daemon" || true
wait "$daemon" || true
