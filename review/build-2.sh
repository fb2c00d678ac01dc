#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; they use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-2 review/stand-2/main.rs
