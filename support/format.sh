#!/usr/bin/env bash
# Formats all C++ sources, or with --check reports unformatted ones.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = --check ]; then mode=(--dry-run -Werror); fi
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '\.capnp\.' \
    | xargs clang-format "${mode[@]}"
