#!/bin/sh
# Builds the stand-ins that the scripts of this review start. Needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/stand-3/main.rs
