#!/usr/bin/env bash
# Runs clang-tidy on every source with the compile commands of FOLDER: lint.sh FOLDER [PATTERN]
# FOLDER/lint/passed holds digests of preprocessed sources that passed; sources with the same
# digest and settings are skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - "${1:-build}" "${2:-.*}" "${CROCUSMILL_LINT_JOBS:-6}" <<'END'
import concurrent.futures, hashlib, json, os, re, shlex, subprocess, sys

build, pattern, jobs = sys.argv[1], sys.argv[2], int(sys.argv[3])
selected = re.compile(re.escape(os.getcwd()) + "/(src|test|bench|platform)/" + pattern)
with open(os.path.join(build, "compile_commands.json")) as file:
    commands = json.load(file)
linted = []
for command in commands:
    if ".capnp." in command["file"] or "cmake_pch" in command["file"]:
        continue
    # clang cannot read the precompiled headers of g++.
    command["command"] = re.sub(
        r"-Winvalid-pch|-fpch-preprocess|-include \S*cmake_pch\.hxx", "", command["command"])
    linted.append(command)
passed = os.path.join(build, "lint", "passed")
os.makedirs(passed, exist_ok=True)
with open(os.path.join(build, "lint", "compile_commands.json"), "w") as file:
    json.dump(linted, file)
settings = open(".clang-tidy", "rb").read() + subprocess.run(
    ["clang-tidy", "--version"], capture_output=True, check=True).stdout


def digest(command):
    words = [word for word in shlex.split(command["command"]) if not word.endswith("ccache")]
    for option, values in (("-o", 1), ("-MF", 1), ("-MT", 1), ("-MD", 0)):
        if option in words:
            index = words.index(option)
            del words[index:index + 1 + values]
    # Comments are part of the digest (-C), since a comment may disable a check.
    text = subprocess.run(words + ["-E", "-C"], cwd=command["directory"], capture_output=True)
    if text.returncode != 0:
        return None
    return hashlib.sha256(settings + command["command"].encode() + text.stdout).hexdigest()


def lint(command):
    key = digest(command)
    if key is not None and os.path.exists(os.path.join(passed, key)):
        return True
    run = subprocess.run(
        ["clang-tidy", "-quiet", "-p", os.path.join(build, "lint"), command["file"]],
        capture_output=True, text=True)
    if run.returncode == 0 and not run.stdout.strip():
        if key is not None:
            open(os.path.join(passed, key), "w").close()
        return True
    print(run.stdout + run.stderr, end="", flush=True)
    return run.returncode == 0


files = [command for command in linted if selected.match(command["file"])]
with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
    clean = list(pool.map(lint, files))
sys.exit(0 if all(clean) else 1)
END
