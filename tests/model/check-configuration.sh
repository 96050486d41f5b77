#!/usr/bin/env bash
# Checks the model of the configuration's distribution exhaustively, and that the variant -DFIRST_ANSWER has a
# counterexample.
set -euo pipefail
model="$(cd "$(dirname "$0")" && pwd)/configuration.pml"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
check() {
    spin -a "$@" "$model" >/dev/null
    gcc -w -DSAFETY -o pan pan.c
    ./pan -m1000000 >result.txt
    grep -E 'errors:|states, stored' result.txt
}
echo "configuration:"
check
grep -q 'errors: 0' result.txt
if grep -qE 'Search not completed|max search depth too small' result.txt; then
    cat result.txt
    echo "configuration: NOT proved, the search is incomplete"
    exit 1
fi
echo "configuration with -DFIRST_ANSWER (must fail):"
check -DFIRST_ANSWER
grep -q 'assertion violated' result.txt
echo "configuration: as expected"
