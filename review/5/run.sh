#!/usr/bin/env bash
# A part of a prompt that had been answered before begins to crash workers.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sardinepin ] && [ -x target/review/release/review-kit ] || { echo "build first" >&2; exit 2; }
# With TROUBLE=0 the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec target/review/release/review-kit popular-part review/5
