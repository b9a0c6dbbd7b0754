"""`python -m tests.simulation`: runs scenarios under many seeds and prints the seeds that violate a rule."""

import argparse
import gc
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

HASH_SEED = "0"
GC_THRESHOLDS = 50_000, 20, 100
"""Thresholds of a worker: a run creates few reference cycles, and each run ends with a full collection."""


def reexec_with_fixed_hash_seed(module):
    """Re-execute with a fixed hash seed: the iteration order of sets of strings is part of what a seed determines."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        os.execv(sys.executable, [sys.executable, "-m", module, *sys.argv[1:]])


def main():
    from . import run

    parser = argparse.ArgumentParser(prog="python -m tests.simulation", description=__doc__)
    parser.add_argument("--scenario", action="append", choices=run.names(), help="default: all")
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--trace", action="store_true", help="print the events of each run and its digest")
    arguments = parser.parse_args()
    failed = 0
    with ProcessPoolExecutor(arguments.jobs, initializer=_prepare_worker) as pool:
        for scenario in arguments.scenario or run.names():
            failed += _run_seeds(
                pool, run.run, scenario, range(arguments.first, arguments.first + arguments.seeds), arguments.trace
            )
    return 1 if failed else 0


def _prepare_worker():
    """Exclude imported objects from garbage collection and avoid most collections during a run."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _run_seeds(pool, run, scenario, seeds, trace):
    began_s, simulated_s, failed, statistics = time.monotonic(), 0.0, [], {}
    for result in pool.map(partial(run, scenario), seeds):
        simulated_s += result.simulated_s
        for name, value in result.statistics.items():
            previous = statistics.get(name, 0)
            statistics[name] = max(previous, value) if name.endswith("_s") else previous + value
        if trace:
            print("\n".join(result.log))
            print(f"digest {result.digest}")
        if result.violations:
            failed.append(result.seed)
            print(f"{scenario} seed {result.seed}: " + "\n    ".join(result.violations[:6]), flush=True)
    took_s = time.monotonic() - began_s
    summary = " ".join(f"{name}={value:.4g}" for name, value in sorted(statistics.items()))
    print(f"{scenario}: {len(seeds)} seeds, {len(failed)} failed {failed[:40]}; {took_s:.1f} s,", end=" ")
    print(f"{60 * len(seeds) / took_s:.0f} seeds a minute, {simulated_s:.0f} simulated s; {summary}", flush=True)
    return len(failed)


if __name__ == "__main__":
    reexec_with_fixed_hash_seed("tests.simulation")
    sys.exit(main())
