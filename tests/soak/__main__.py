"""`python -m tests.soak`: runs soaks under many seeds and prints the seeds that violate a rule."""

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from .run import run


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seconds", type=float, default=70.0, help="duration of the disruptions in each run")
    parser.add_argument("--senders", type=int, default=3)
    parser.add_argument("--conversations", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=1, help="tiers that run at the same time")
    arguments = parser.parse_args()
    began_s, failed, totals = time.monotonic(), [], {}
    run_one = partial(
        run, duration_s=arguments.seconds, senders=arguments.senders, conversations=arguments.conversations
    )
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(run_one, range(arguments.first, arguments.first + arguments.seeds)):
            for name, value in result.observations.items():
                totals[name] = totals.get(name, 0) + value
            for abandonment in result.abandonments:
                print(f"seed {result.seed}: abandoned {abandonment}", flush=True)
            if result.violations:
                failed.append(result.seed)
                print(f"seed {result.seed}: " + "\n    ".join(result.violations[:6]), flush=True)
    summary = " ".join(f"{name}={value}" for name, value in sorted(totals.items()))
    print(f"{arguments.seeds} seeds, {len(failed)} failed {failed}; {time.monotonic() - began_s:.0f} s; {summary}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
