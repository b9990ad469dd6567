#!/usr/bin/env bash
# Runs the linter over every source with the compile commands of FOLDER: lint.sh FOLDER [PATTERN]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
pattern=${2:-.*}
jobs=${CROCUSMILL_LINT_JOBS:-6}
# g++'s precompiled headers mean nothing to clang.
python3 - "$build" <<'END'
import json, os, re, sys
build = sys.argv[1]
with open(os.path.join(build, "compile_commands.json")) as file:
    commands = json.load(file)
kept = []
for command in commands:
    if ".capnp." in command["file"] or "cmake_pch" in command["file"]:
        continue
    command["command"] = re.sub(r"-Winvalid-pch|-include \S*cmake_pch\.hxx", "", command["command"])
    kept.append(command)
os.makedirs(os.path.join(build, "lint"), exist_ok=True)
with open(os.path.join(build, "lint", "compile_commands.json"), "w") as file:
    json.dump(kept, file)
END
run-clang-tidy -quiet -p "$build/lint" -j "$jobs" "$PWD/(src|test|bench|platform)/$pattern" 2>&1 \
    | grep -vE '^[0-9]+ warnings|^Suppressed|^Use -header-filter|^Use -system-headers|^clang-tidy' \
    || test "${PIPESTATUS[0]}" -eq 0
