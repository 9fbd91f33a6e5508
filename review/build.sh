#!/bin/sh
# The stand-ins of the cases are Python programs that use its standard library only, so nothing is compiled.
# Checks that the interpreter can load them.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "
import ast, glob
for name in glob.glob('*.py') + glob.glob('*/*.py'):
    ast.parse(open(name, encoding='utf-8').read(), name)
"
