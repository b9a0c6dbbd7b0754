"""Explores the models and prints what was visited: `python -m tests.model [--deep] [--most STATES] [WORD ...]`.

Without words all models are explored, else those whose name has one of the words. Ends with 1 if a property is broken.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))  # the worlds of the tests

from tests.model.catalogue import DEEP, MOST_STATES, QUICK  # noqa: E402
from tests.model.explorer import explore  # noqa: E402


def main() -> int:
    """Explores what the command line names."""
    parser = argparse.ArgumentParser(prog="python -m tests.model", description=__doc__)
    parser.add_argument("--deep", action="store_true", help="the deep models as well")
    parser.add_argument("--most", type=int, default=MOST_STATES, help="states after which a search is cut off")
    parser.add_argument("words", nargs="*")
    given = parser.parse_args()
    models = {**QUICK, **DEEP} if given.deep else QUICK
    faults = 0
    for name, make in models.items():
        if given.words and not any(word in name for word in given.words):
            continue
        began_s = time.monotonic()
        report = explore(make(), given.most)
        print(f"{name}: {report.text()}, {time.monotonic() - began_s:.0f} s", flush=True)
        faults += report.fault is not None
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
