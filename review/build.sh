#!/usr/bin/env bash
# Checks that the stand-ins compile; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PYTHON
