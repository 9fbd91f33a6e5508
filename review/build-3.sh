#!/bin/sh
# The stand-ins of the cases 11 to 15 are written in Python and need no build: checks that they can run here.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 2; }
exec python3 -B - platform3.py 1[1-5]/case.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
PY
