#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/11, review/13 and review/14 into target/review-3/. It needs no network.
set -eu
cd "$(dirname "$0")/rig-3"
mkdir -p ../../target/review-3
GOWORK=off go build -buildvcs=false -o ../../target/review-3/rig3 .
