#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the compiler alone: standard library only, no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]/case.rs; do
  number="$(basename "$(dirname "$source")")"
  rustc --edition 2021 -C opt-level=2 -o "review/bin/case-$number" "$source"
done
