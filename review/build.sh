#!/usr/bin/env bash
# Builds the program that plays the scripted cases, with all stand-ins, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
export GOWORK=off
mkdir -p bin
go build -o bin/review .
