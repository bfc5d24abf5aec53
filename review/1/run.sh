#!/usr/bin/env bash
# Clients on kept channels read their answers slowly.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sardinepin ] && [ -x target/review/release/review-kit ] || { echo "build first" >&2; exit 2; }
# With TROUBLE=0 the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec target/review/release/review-kit slow-reader review/1
