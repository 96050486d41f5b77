#!/usr/bin/env bash
# Checks the model of the permits exhaustively, and that each variant with one guard removed has a counterexample.
set -euo pipefail
model="$(cd "$(dirname "$0")" && pwd)/quotas.pml"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
search() {
    spin -a "$@" "$model" >/dev/null
    gcc -O1 -w -DSAFETY -DCOLLAPSE -DMEMLIM=1500 -o pan pan.c
    ./pan -m2000000 >result.txt
    grep -E 'errors:|states, stored|assertion' result.txt
}
expect_proof() {
    echo "quotas, $*:"
    search "$@"
    grep -q 'errors: 0' result.txt
    if grep -qE 'Search not completed|max search depth too small' result.txt; then exit 1; fi
}
expect_proof -DVMS=2
expect_proof -DVMS=3 -DFAULTS=1
expect_proof -DVMS=2 -DFAULTS=1 -DNEW_LIMIT
for variant in SENDER_KEEPS ARRIVES_TWICE SENDER_TAKES_BACK FULL_AT_START MINTS_FOR_PAUSE KEEPS_OLD_STOCK; do
    echo "quotas with -D$variant (must fail):"
    search -DVMS=2 -DFAULTS=1 -DNEW_LIMIT "-D$variant"
    grep -q 'assertion violated' result.txt
done
echo "quotas: as expected"
