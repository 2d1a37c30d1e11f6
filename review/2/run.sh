#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays the
# same without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout -k 2 118 python3 case.py
code=$?
[ $code -le 1 ] || code=2
exit $code
