#!/usr/bin/env bash
# Runs the demo with stand-ins and three daemons, each in a separate process.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
started=()
stop() {
  for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait || true
  rm -rf "$folder"
}
trap stop EXIT
.venv/bin/laurelwind-standins standins "$folder" &
started+=($!)
until [ -s "$folder/standins.json" ]; do sleep 0.05; done
for name in a0 b1 c2; do
  .venv/bin/laurelwindd "$folder/$name.toml" --ready-file "$folder/$name.ready.json" 2>"$folder/$name.log" &
  started+=($!)
done
.venv/bin/laurelwind demo --folder "$folder" --names a0,b1,c2
