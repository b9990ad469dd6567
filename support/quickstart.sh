#!/usr/bin/env bash
# Builds, starts three daemons and two simulated upstreams on loopback, promotes a document, sends a
# quote, prints the response and its trace, and stops the started processes.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${CROCUSMILL_BUILD:-build}
support/setup.sh
CROCUSMILL_JOBS=${CROCUSMILL_JOBS:-3} support/build.sh "$build" crocusmilld crocusmillctl standin >/dev/null
folder=$(mktemp -d)
pids=()

stop_processes() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap stop_processes EXIT

base=${CROCUSMILL_PORT:-18000}
support/write_settings.sh "$folder" 3 "$base"
for vm in 1 2 3; do
    "$build/crocusmilld" --settings "$folder/vm-$vm.json" 2>"$folder/vm-$vm.log" &
    pids+=($!)
done
"$build/bench/standin" --entry "127.0.0.1:$((base + 11))" --entry "127.0.0.1:$((base + 12))" \
    --entry "127.0.0.1:$((base + 13))" --count 2 >/dev/null &
pids+=($!)

ctl() {
    "$build/crocusmillctl" --server "127.0.0.1:$((base + 21))" --token-file "$folder/token" "$@"
}

echo "waiting for the daemons to form a cell"
for _ in $(seq 100); do
    if ctl status >/dev/null 2>&1; then break; fi
    sleep 0.2
done
ctl environment trial support/rocola.json
ctl environment promote rocola --version 1 --wait
ctl status

echo "sending a quote"
quote() {
    curl -sS -D "$folder/headers" -H 'Host: rocola.test' -H 'Content-Type: application/json' \
        -d '{"disc":"La Flor de la Canela"}' "http://127.0.0.1:$((base + 12))/quotes"
}
for _ in $(seq 50); do
    answer=$(quote)
    if grep -q '^HTTP/1.1 200' "$folder/headers"; then break; fi
    sleep 0.2
done
cat "$folder/headers"
echo "$answer"
trace=$(sed -n 's/^traceparent: 00-\([0-9a-f]*\)-.*/\1/p' "$folder/headers")
echo "its trace"
"$build/crocusmillctl" --server "127.0.0.1:$((base + 22))" --token-file "$folder/token" \
    trace show "$trace"
grep -q '^HTTP/1.1 200' "$folder/headers"
