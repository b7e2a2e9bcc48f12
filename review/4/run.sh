#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
cd "$root" || exit 2
exec "${REVIEW_TARGET:-$root/target/review}/release/review-bed" unanswered "$root" "$here/record.txt"
