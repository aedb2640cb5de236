#!/usr/bin/env bash
# Plays the case, and writes record.txt beside it; TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec node "$(dirname "$0")/case.mjs"
