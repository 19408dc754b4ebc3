#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to 10 start. It needs no network: the rig uses
# the standard library alone.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
