#!/usr/bin/env bash
# Formats every source, or with --check reports what is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = --check ]; then mode=(--dry-run -Werror); fi
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '\.capnp\.' \
    | xargs clang-format "${mode[@]}"
