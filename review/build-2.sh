#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and later start. It needs
# no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
