#!/bin/sh
# Builds every stand-in that the scripts of review/4 to review/7 start. They are Python, in common-2/ and dewpin/standin/,
# and need only the packages that the build of the deploy file has put under target/deps; this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'END'
import sys
from pathlib import Path

for file in [*Path("review").glob("[4-7]/case.py"), *Path("review/common-2").glob("*.py"), *Path("dewpin/standin").glob("*.py")]:
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
sys.path[:0] = ["target/deps", "."]
import urllib3  # noqa: E402

print("stand-ins compile; urllib3", urllib3.__version__)
END
