#!/bin/sh
# Builds the stand-ins that the cases start. They are Python programs of this repository: compiling them is all there is
# to build. Run it after the build command of deploy/system.toml; it needs no network.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q dewpin review
