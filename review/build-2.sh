#!/usr/bin/env bash
# Prepares the stand-ins of the second review, which are Python programs that
# need nothing but the standard library. Fails if Python cannot run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for source in lib2/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
