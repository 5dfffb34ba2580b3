#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. Needs no network and no crates; run after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
