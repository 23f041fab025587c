#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
for program in target/platform review/bin/review; do
  if [ ! -x "$program" ]; then
    echo "$program is missing; build it with the command of deploy/system.toml and review/build.sh" >&2
    exit 2
  fi
done
exec review/bin/review drain review/4
