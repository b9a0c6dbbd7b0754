#!/bin/sh
# Runs the case in the folder given as argument: its case.py writes record.txt beside itself and exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption. A watchdog ends a run that
# takes 118 s; the processes that a case starts end with it.
set -eu
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/../.."
PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review/common"
PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
exec python3 "$folder/case.py"
