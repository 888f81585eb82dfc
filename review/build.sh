#!/usr/bin/env bash
# Build the stand-ins of the cases: plain Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins [1-5]
