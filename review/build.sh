#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts. It needs no network: they use the
# standard library only.
set -eu
cd "$(dirname "$0")/rig"
GOTOOLCHAIN=local GOWORK=off go build -o ../../target/review-rig .
