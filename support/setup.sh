#!/usr/bin/env bash
# Installs the missing packages of support/packages.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    if ! dpkg -s "$package" >/dev/null 2>&1; then missing+=("$package"); fi
done < <(grep -v '^#' support/packages.txt)
if [ "${#missing[@]}" -eq 0 ]; then exit 0; fi
sudo=""
if [ "$(id -u)" -ne 0 ]; then sudo=sudo; fi
$sudo apt-get update -qq
$sudo apt-get install -y -qq "${missing[@]}" >/dev/null
