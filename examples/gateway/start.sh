#!/usr/bin/env bash
# Starts the platform's store, three engines and a plain service as stand-ins,
# and two daemons, all on loopback, and writes a configuration.
# Usage: start.sh BIN_DIRECTORY. Ends everything it started on exit.
set -eu
bin=$1
here=$(cd "$(dirname "$0")" && pwd)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT
"$bin/mangostand" tables & pids+=($!)
"$bin/mangostand" worker -id p-1 -service llm -stage prefill -zone a1 -listen 127.0.0.1:8201 & pids+=($!)
"$bin/mangostand" worker -id d-1 -service llm -stage decode -zone a1 -listen 127.0.0.1:8202 & pids+=($!)
"$bin/mangostand" worker -id d-2 -service llm -stage decode -zone a2 -listen 127.0.0.1:8203 & pids+=($!)
"$bin/mangostand" worker -id app-1 -service app -zone a1 -listen 127.0.0.1:8211 & pids+=($!)
sleep 1
"$bin/mangostand" put op config "$(cat "$here/config.json")"
"$bin/platform" -settings "$here/gate-1.json" & pids+=($!)
"$bin/platform" -settings "$here/gate-2.json" & pids+=($!)
sleep 2
echo "Ready. Press Ctrl-C to end."
wait
