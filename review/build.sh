#!/bin/bash
# Builds the stand-ins that the scripts start. They are Python and use the packages of
# the deploy file's build, so that there is nothing to install: this checks that all of
# them can be imported.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PROGRAM'
import standins.fault_proxy
import standins.platform_backends
import standins.platform_fleet
import standins.platform_store
import review.support

print("stand-ins are ready")
PROGRAM
