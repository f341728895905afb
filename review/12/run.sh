#!/bin/sh
# With TROUBLE=0 the case does the same without the disruption; review/lib-3/site.mjs reads it.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec node "$(dirname "$0")/case.mjs"
