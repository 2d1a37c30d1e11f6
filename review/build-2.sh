#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/lib-2/main.rs
