"""`python -m tests.simulation`: runs scenarios under many seeds, and prints those that break something."""

import argparse
import gc
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

HASH_SEED = "0"
GC_THRESHOLDS = 50_000, 20, 100
"""Of a worker: a run makes few cycles, and each run ends with a whole collection."""


def with_fixed_hashes(module):
    """Begin anew with fixed hashes of strings: the order of a set of them is part of what a seed decides."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        os.execv(sys.executable, [sys.executable, "-m", module, *sys.argv[1:]])


def main():
    from . import run

    parser = argparse.ArgumentParser(prog="python -m tests.simulation", description=__doc__)
    parser.add_argument("--scenario", action="append", choices=run.names(), help="default: all")
    parser.add_argument("--seeds", type=int, default=20, help="how many")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--trace", action="store_true", help="print what happened in each run, and its digest")
    given = parser.parse_args()
    failed = 0
    with ProcessPoolExecutor(given.jobs, initializer=_prepare_worker) as pool:
        for scenario in given.scenario or run.names():
            failed += _play(pool, run.run, scenario, range(given.first, given.first + given.seeds), given.trace)
    return 1 if failed else 0


def _prepare_worker():
    """Spare a worker the collections of what was imported, and most of those within a run."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _play(pool, run, scenario, seeds, trace):
    began_s, simulated_s, failed, figures = time.monotonic(), 0.0, [], {}
    for result in pool.map(partial(run, scenario), seeds):
        simulated_s += result.simulated_s
        for name, value in result.figures.items():
            known = figures.get(name, 0)
            figures[name] = max(known, value) if name.endswith("_s") else known + value
        if trace:
            print("\n".join(result.log))
            print(f"digest {result.digest}")
        if result.broken:
            failed.append(result.seed)
            print(f"{scenario} seed {result.seed}: " + "\n    ".join(result.broken[:6]), flush=True)
    took_s = time.monotonic() - began_s
    told = " ".join(f"{name}={value:.4g}" for name, value in sorted(figures.items()))
    print(f"{scenario}: {len(seeds)} seeds, {len(failed)} failed {failed[:40]}; {took_s:.1f} s,", end=" ")
    print(f"{60 * len(seeds) / took_s:.0f} seeds a minute, {simulated_s:.0f} simulated s; {told}", flush=True)
    return len(failed)


if __name__ == "__main__":
    with_fixed_hashes("tests.simulation")
    sys.exit(main())
