#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, 2 without a result. With TROUBLE=0
# the disruption is left out.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
