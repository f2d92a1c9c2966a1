#!/usr/bin/env bash
# Writes record.txt in this folder. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
# run. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/12/case.py
