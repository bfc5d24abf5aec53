#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/kit/Cargo.toml --target-dir target/review
