#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They are plain modules of Node.js, so that there
# is nothing to compile; this checks that each can be parsed.
set -e
cd "$(dirname "$0")"
for module in lib-3/site.mjs 11/case.mjs 12/case.mjs 13/case.mjs 14/case.mjs 15/case.mjs; do
  node --check "$module"
done
