"""Explores the models and prints the size of each search: `python -m tests.model [--deep] [--most STATES] [WORD ...]`.

Without words all models are explored, else those whose name contains one of the words. The exit status is 1 if a
property is violated.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))  # for the tests' shared helpers

from tests.model.catalogue import DEEP, MAX_STATES, QUICK  # noqa: E402
from tests.model.explorer import explore  # noqa: E402


def main() -> int:
    """Explores the models that the command line selects."""
    parser = argparse.ArgumentParser(prog="python -m tests.model", description=__doc__)
    parser.add_argument("--deep", action="store_true", help="include the deep models")
    parser.add_argument("--most", type=int, default=MAX_STATES, help="maximum number of states per search")
    parser.add_argument("words", nargs="*")
    arguments = parser.parse_args()
    models = {**QUICK, **DEEP} if arguments.deep else QUICK
    faults = 0
    for name, make in models.items():
        if arguments.words and not any(word in name for word in arguments.words):
            continue
        began_s = time.monotonic()
        report = explore(make(), arguments.most)
        print(f"{name}: {report.text()}, {time.monotonic() - began_s:.0f} s", flush=True)
        faults += report.fault is not None
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
