#!/bin/sh
# Builds the stand-ins and clients of the second review's scripts, without a network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/kit-2/Cargo.toml --target-dir target/review-2
