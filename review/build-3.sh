#!/bin/sh
# Builds the stand-ins that the scripts of the third review (review/11 to review/15) start.
# They have no dependencies, so that no network is needed.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline \
    --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
