#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. Needs rustc alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
