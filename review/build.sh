#!/usr/bin/env bash
# Builds the stand-ins and judges of the review's cases with the Rust compiler alone: no package, no network.
# The planner itself is built by the deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for case in [0-9]; do
    rustc --edition 2021 -O -o "target/case-$case" "$case/main.rs"
done
