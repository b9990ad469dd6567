#!/usr/bin/env bash
# Verifies every model in spec/ with Spin and checks that its broken variants are rejected.
# A step whose guard is false ends its path, so invalid end states are not reported (-E).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# explore MODEL [-DVARIANT]: prints the output of the verifier
explore() {
    (cd "$folder" && spin ${2:+"$2"} -a "$OLDPWD/spec/$1.pml" >/dev/null \
        && gcc -O2 -DSAFETY -DMEMLIM=2048 -o pan pan.c 2>/dev/null && ./pan -E -m200000 -n 2>&1)
}

failed=0
check() {
    local model=$1 variant=$2 sound broken
    sound=$(explore "$model")
    broken=$(explore "$model" "-D$variant")
    local states depth
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$sound" | head -1)
    depth=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' <<<"$sound" | head -1)
    if ! grep -q 'errors: 0' <<<"$sound" || grep -q 'max search depth too small' <<<"$sound"; then
        echo "$model: REJECTED"
        failed=1
    elif grep -q 'errors: 0' <<<"$broken"; then
        echo "$model: the variant $variant is NOT rejected"
        failed=1
    else
        echo "$model: holds, $states states, depth $depth; the variant $variant is rejected"
    fi
}

check election SAME_IDENTITY
check lease ENTRY_GRANTS
check lease LATE_RECORD
check startonce SEND_FIRST
check startonce HELD_UP
check leaserun DEAF_GIVES_UP
check leaserun LEFT_IS_GONE
check leaserun REFUSED_IS_GONE
check leaserun DROP_SUCCESS
check promotion BLIND_WRITE
exit "$failed"
