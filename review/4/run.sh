#!/bin/bash
# Plays the case; exit 1: the rule was broken, 0: it held, 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 review/4/case.py
