#!/usr/bin/env bash
# Builds the stand-ins of the cases with the compiler alone; they use no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -A dead_code -o target/review/harness review/harness/main.rs
