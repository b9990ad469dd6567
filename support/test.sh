#!/usr/bin/env bash
# Installs packages, builds and runs all tests except those in KNOWN-RED.txt, which it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
support/setup.sh
support/build.sh "$build" >/dev/null

# A line "test: NAME" in KNOWN-RED.txt names one ctest test. The file also lists faults that only
# the benchmarks show.
red=""
if [ -f KNOWN-RED.txt ]; then
    red=$(sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
    echo "known red, not part of this verdict:"
    cat KNOWN-RED.txt
fi
exclude=()
if [ -n "$red" ]; then
    exclude=(-E "^($red)\$")
fi
ctest --test-dir "$build" --output-on-failure --timeout 300 "${exclude[@]}"
