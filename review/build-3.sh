#!/usr/bin/env bash
# Prepares the stand-ins of the cases of REPORT-3.md. They are Python scripts
# that need nothing but its standard library, so that nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib3/site_of_case.py 1[1-5]/*.py
rm -rf lib3/__pycache__ 1[1-5]/__pycache__
