#!/usr/bin/env bash
# Shows the case of claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec python3 case.py
