#!/usr/bin/env bash
# Checks the stand-ins and the cases; they run as they are and need no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do node --check "$file"; done
if [ ! -f target/mangobank.cjs ]; then
  echo "target/mangobank.cjs is missing: run the build of deploy/system.toml" >&2
  exit 1
fi
