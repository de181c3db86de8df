#!/bin/sh
# Runs the case after `review/build.sh` and the build of the deploy file; writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/agatehold ] || exit 2
exec target/review/standin promised review/4
