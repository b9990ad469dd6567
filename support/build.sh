#!/usr/bin/env bash
# Configures and builds in FOLDER (default: build): build.sh [FOLDER] [TARGET ...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
launcher=()
if command -v ccache >/dev/null; then
    launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
    # Without these options ccache does not cache files that use a precompiled header.
    export CCACHE_SLOPPINESS=pch_defines,time_macros
    # Clones in the same parent folder share the cache.
    export CCACHE_BASEDIR=${CCACHE_BASEDIR:-$(dirname "$PWD")}
    export CCACHE_NOHASHDIR=true
fi
cmake -S . -B "$build" -G Ninja "${launcher[@]}"
ninja -C "$build" -j "${CROCUSMILL_JOBS:-3}" "$@"
