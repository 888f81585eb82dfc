#!/usr/bin/env bash
# Plays budget, limit or hup, which REPORT-3.md tells of; they are no cases.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec python3 "review/also-3/${1:?budget, limit or hup}.py"
