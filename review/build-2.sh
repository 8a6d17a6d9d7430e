#!/bin/sh
# Builds the stand-ins of the second review. Needs the Rust compiler and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -C opt-level=2 --crate-name review_2 -o target/review-2/review-2 review/standin-2/main.rs
