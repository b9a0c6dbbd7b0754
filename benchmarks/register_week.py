"""Measures files and memory of a control process over a week of configuration changes, on a real database.

    python -m benchmarks.register_week [--days 7] [--changes-a-day 850] [--body 300000]

Prints a JSON object for each day: changes so far, bytes of the database and of its write-ahead log, rows of the change
history (`orders`), resident memory, and mean milliseconds of a change on that day (depends on the disk).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import tempfile
import time
from pathlib import Path

from dewpin.cluster.rpc import RpcClient
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import initial_state, put_configuration
from dewpin.controlplane.storage import DATABASE_NAME, Storage

MEMBER = "a"
PROPOSAL_TIMEOUT_S = 30.0


def resident_kilobytes() -> int:
    """Return the resident memory of this process in kB; 0 if it is unknown."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def run_days(storage: Storage, folder: Path, count: int, changes_per_day: int, body_bytes: int) -> None:
    """Make the changes; print a row for each of `count` days."""
    register = SystemRegister(MEMBER, "127.0.0.1:1", storage, RpcClient(), random.Random(0))
    await register.load()
    await register.bootstrap(initial_state({MEMBER: "127.0.0.1:1"}, {}))
    generation = 0
    for day in range(1, count + 1):
        start_s = time.monotonic()
        for _ in range(changes_per_day):
            generation += 1
            body = json.dumps({"generation": generation, "filling": "x" * body_bytes}).encode()
            await register.propose(put_configuration(body, generation, generation - 1), PROPOSAL_TIMEOUT_S)
        duration_s = time.monotonic() - start_s
        rows = await storage.query("SELECT count(*) FROM orders")
        row = {
            "day": day,
            "changes": generation,
            "database": (folder / DATABASE_NAME).stat().st_size,
            "log": (folder / f"{DATABASE_NAME}-wal").stat().st_size,
            "orders": rows[0][0],
            "resident_kb": resident_kilobytes(),
            "ms_a_change": round(1000 * duration_s / changes_per_day, 2),
        }
        print(json.dumps(row), flush=True)


def main() -> None:
    """Run all days on a database in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=7)
    parser.add_argument("--changes-a-day", type=int, default=850)
    parser.add_argument("--body", type=int, default=300_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        storage = Storage(name)
        asyncio.run(run_days(storage, Path(name), options.days, options.changes_a_day, options.body))
        storage.close()


if __name__ == "__main__":
    main()
