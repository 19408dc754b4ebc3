#!/usr/bin/env bash
# Plays the case 2 and writes review/2/record.txt; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
echo "the case has not started" >"$record" || exit 2
target/review-rig orphan "$record"
