#!/bin/sh
# Builds the stand-ins and runners of the cases; the build of the deploy file comes before it.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
