#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14: Python sources of the standard
# library alone, so they are only compiled, which finds what can't be read.
# Runs after the build line of deploy/system.toml, and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'P'
import pathlib

folders = ['common-3', 'also-3', *map(str, range(11, 15))]
for folder in folders:
    for path in sorted(pathlib.Path('review', folder).glob('*.py')):
        compile(path.read_text(encoding='utf-8'), str(path), 'exec')
        print('compiled', path)
P
