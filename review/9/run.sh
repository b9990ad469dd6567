#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
set -euo pipefail
cd "$(dirname "$0")"
exec timeout --preserve-status -k 2 118 python3 -B scenario.py
