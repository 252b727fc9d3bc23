#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/cases review/kit-2/main.rs
