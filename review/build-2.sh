#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are plain modules of Node.js, so that there
# is nothing to compile; this checks that each can be parsed.
set -e
cd "$(dirname "$0")"
for module in lib-2/site.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs 10/case.mjs; do
  node --check "$module"
done
