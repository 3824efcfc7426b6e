#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. See claim.txt.
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" || exit 2
exec python3 case.py
