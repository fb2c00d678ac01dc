#!/usr/bin/env bash
# Builds the stand-ins of the scripts; they use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
