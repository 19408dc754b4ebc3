#!/usr/bin/env bash
# Plays the case 3 and writes review/3/record.txt; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
record=review/3/record.txt
echo "the case has not started" >"$record" || exit 2
target/review-rig failed "$record"
