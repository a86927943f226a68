#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs no network: they use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --locked --offline --release
