#!/usr/bin/env bash
# Checks the model of the shared reads of the store exhaustively, and that each variant with one rule removed has a
# counterexample. Usage: check-storereads.sh [FAULTS]
set -euo pipefail
model="$(cd "$(dirname "$0")" && pwd)/storereads.pml"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
check() {
    spin -a "$@" "$model" >/dev/null
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=900 -o pan pan.c
    ./pan -m1000000 >result.txt
    grep -E 'errors:|states, stored' result.txt
}
echo "storereads:"
check "-DFAULTS=${1:-2}"
grep -q 'errors: 0' result.txt
if grep -qE 'Search not completed|max search depth too small' result.txt; then
    cat result.txt
    echo "storereads: NOT proved, the search is incomplete"
    exit 1
fi
for variant in TAKES_OLDER RESTARTS_AGE NEVER_READS; do
    echo "storereads with -D$variant (must fail):"
    check "-D$variant"
    grep -q 'assertion violated' result.txt
done
echo "storereads: as expected"
