#!/usr/bin/env bash
# Runs the tests of the modules given as arguments. Skips the tests that KNOWN-RED.txt lists as
# known to fail, and prints that file.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=''
if [ -s KNOWN-RED.txt ]; then
  skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|')
fi
# A package that takes longer hangs; on a busy machine the proofs take several times as long as alone.
package_timeout=30m
for module in "$@"; do
  (cd "$module" && go test -timeout "$package_timeout" ${skip:+-skip "$skip"} ./...)
done
if [ -s KNOWN-RED.txt ]; then
  echo "known red; tests among these were passed over:"
  cat KNOWN-RED.txt
fi
