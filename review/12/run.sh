#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build before: the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/agatehold target/review-3/release/turned_away; do
    [ -x "$program" ] || { echo "cannot run: $program is not built"; exit 2; }
done
RECORD=review/12/record.txt exec target/review-3/release/turned_away drain
