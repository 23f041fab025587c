#!/usr/bin/env bash
# Generates the Go types of the packages in core from the JSON schemas in core/schema.
set -euo pipefail
cd "$(dirname "$0")/../core"

generate() {
  go-jsonschema --only-models --capitalization ID --capitalization URL --tags json,yaml \
    --package "$1" --output "$1/$2.gen.go" "schema/$2.json"
}

generate wire messages
generate record records
generate conf settings
generate admin admin
