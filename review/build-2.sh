#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Runs after the build of the deploy file; needs only
# the Rust compiler and its standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand-ins-2/cases.rs
