#!/bin/sh
# Builds the stand-ins of the scripts. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
