#!/bin/sh
# Plays the case once and writes record.txt. Exit status: 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-rig2 ] || [ ! -x target/crocus-gate ]; then
	echo "build first: the deploy file's build line, then review/build-2.sh"
	exit 2
fi
exec target/review-rig2 cancel-beside-a-silence review/10/record.txt
