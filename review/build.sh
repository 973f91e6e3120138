#!/bin/sh
# Builds the stand-ins of the review's scripts, which need only the compiler's own library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand_in review/stand_in/main.rs
