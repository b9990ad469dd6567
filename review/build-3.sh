#!/usr/bin/env bash
# The stand-ins of the scripts 13 to 15 are Python programs and need no build; checks that Python can
# read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import ast, sys
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)' standins-3/deployment.py 1[1-5]/*.py
