#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/src/app/dragonflywinch && test -x target/review-2/case-10 || exit 2
REVIEW_FOLDER=review/10 timeout -k 1 118 target/review-2/case-10
status=$?
test $status -le 2 || exit 2
exit $status
