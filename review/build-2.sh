#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-2 .
