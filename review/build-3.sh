#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/11 and review/13 into target/review-3/. It needs no network.
set -eu
cd "$(dirname "$0")/rig-3"
mkdir -p ../../target/review-3
GOWORK=off go build -buildvcs=false -o ../../target/review-3/rig3 .
