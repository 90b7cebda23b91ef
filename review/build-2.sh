#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in stale foreign weights slow; do
    rustc --edition 2024 -O -o "target/review-2/$case" "review/harness-2/$case.rs"
done
