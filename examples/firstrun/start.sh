#!/usr/bin/env bash
# Starts stand-ins and two daemons on loopback and publishes a configuration.
# Usage: start.sh BIN_DIRECTORY. Ends everything it started on exit.
set -eu
bin=$1
here=$(cd "$(dirname "$0")" && pwd)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT
"$bin/mangostand" platform -listen 127.0.0.1:7900 & pids+=($!)
"$bin/mangostand" engine -listen 127.0.0.1:8001 -id p1 & pids+=($!)
"$bin/mangostand" engine -listen 127.0.0.1:8002 -id d1 & pids+=($!)
"$bin/mangostand" engine -listen 127.0.0.1:8003 -id d2 & pids+=($!)
"$bin/mangostand" service -listen 127.0.0.1:8101 & pids+=($!)
"$bin/mangolaned" -settings "$here/daemon-a1.json" & pids+=($!)
"$bin/mangolaned" -settings "$here/daemon-a2.json" & pids+=($!)
sleep 2
export MANGOLANECTL_KEY=operator
"$bin/mangolanectl" -admin 127.0.0.1:7101 command publish "$here"/0*.json
echo "Ready. Press Ctrl-C to end."
wait
