#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec python3 -B case.py
