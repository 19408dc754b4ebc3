#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to 10 start. It needs no network: the rig uses
# the standard library alone, and is a module of its own, out of the project's tests and linters.
set -e
cd "$(dirname "$0")/rig2"
GOTOOLCHAIN=local GOWORK=off go build -o ../../target/review-rig2 .
