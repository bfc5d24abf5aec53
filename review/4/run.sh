#!/usr/bin/env bash
# One part of a prompt crashes each worker that begins to write an answer on it; the answers are no streams.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sardinepin ] && [ -x target/review/release/review-kit ] || { echo "build first" >&2; exit 2; }
# With TROUBLE=0 the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec target/review/release/review-kit plain-crash review/4
