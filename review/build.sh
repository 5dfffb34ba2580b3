#!/bin/sh
# Builds the stand-ins of the cases, with nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
