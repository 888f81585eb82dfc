#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
# They are plain Python and need nothing but the standard library, so that
# building them is to compile them; the result is not kept.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build line of deploy/system.toml first' >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 python3 - review/harness review/6 review/7 review/8 review/9 review/10 <<'P'
import pathlib
import sys

for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
P
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:target/deps python3 -c 'import jackdawfield.platform.__main__, review.harness.deployment, review.harness.memory'
