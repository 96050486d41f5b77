#!/usr/bin/env bash
# Checks booking.pml exhaustively, and that each variant with one guard removed has a counterexample.
# Usage: check.sh KEYS [claims]   "claims" also checks the temporal formulas, which the assertions already cover.
set -euo pipefail
model=$(cd "$(dirname "$0")" && pwd)/booking.pml
keys=$1
memory_mb=900
# With few keys, compilation takes longer than the search, so it is done without optimization.
optimization=$((keys > 2 ? 2 : 0))
variants="START_BEFORE_ACKNOWLEDGEMENT EPOCH_KEPT_WITH_ANOTHER_BACKUP NO_TOMBSTONE NO_SEAL NO_FLOOR
    RESTARTED_BACKUP_ANSWERS_AS_THE_OLD_ONE RESTARTED_HOME_TAKES_OLD_KEYS LATE_ACKNOWLEDGEMENT_STARTS
    WITNESS_ANSWER_AFTER_SEAL WITNESS_NOT_RUN_WITH_INTENT"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"

# Usage: search MACROS [CLAIM]. Prints the output of pan.
search() {
    # shellcheck disable=SC2086
    spin -a $1 "$model" >/dev/null
    if [ -n "${2:-}" ]; then
        gcc "-O$optimization" -w -DMEMLIM=$memory_mb -DCOLLAPSE -o pan pan.c
        ./pan -a -m1000000 -N "$2"
    else
        gcc "-O$optimization" -w -DSAFETY -DNOCLAIM -DMEMLIM=$memory_mb -DCOLLAPSE -o pan pan.c
        ./pan -m1000000
    fi
}

expect_proof() {
    local output
    output=$(search "-DKEYS=$keys" "${1:-}")
    if ! grep -q 'errors: 0' <<<"$output" || grep -qE 'Search not completed|max search depth too small' <<<"$output"; then
        echo "$output"
        echo "booking.pml, $keys keys${1:+, $1}: NOT proved"
        exit 1
    fi
    echo "booking.pml, $keys keys${1:+, $1}: holds, $(grep -oE '[0-9]+ states, stored' <<<"$output" | head -1)"
}

expect_proof
if [ "${2:-}" = claims ]; then
    for claim in runsAtMostOnce notRunIsTrueAndFinal sealedEpochStartsNothing; do expect_proof "$claim"; done
fi
optimization=0
for variant in $variants; do
    output=$(search "-DKEYS=2 -D$variant")
    grep -q 'assertion violated' <<<"$output" || { echo "$output"; echo "$variant: no counterexample"; exit 1; }
    echo "$variant: counterexample, $(grep -oE 'depth [0-9]+' <<<"$output" | head -1)"
done
