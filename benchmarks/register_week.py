"""Files and memory of one control process over a week of changes of the configuration, on a real database.

    python -m benchmarks.register_week [--days 7] [--changes-a-day 850] [--body 300000]

Prints a row of JSON for each day: changes so far, bytes of the database and of its write-ahead log, rows of the
history of orders, resident memory, and milliseconds of one change, mean of the day (this machine's disk).
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
WAIT_S = 30.0


def resident_kilobytes() -> int:
    """This process's resident memory."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def days(storage: Storage, folder: Path, count: int, changes: int, size: int) -> None:
    """Makes the changes and prints a row for each day."""
    register = SystemRegister(MEMBER, "127.0.0.1:1", storage, RpcClient(), random.Random(0))
    await register.load()
    await register.bootstrap(initial_state({MEMBER: "127.0.0.1:1"}, {}))
    generation = 0
    for day in range(1, count + 1):
        began_s = time.monotonic()
        for _ in range(changes):
            generation += 1
            body = json.dumps({"generation": generation, "filling": "x" * size}).encode()
            await register.propose(put_configuration(body, generation, generation - 1), WAIT_S)
        took_s = time.monotonic() - began_s
        rows = await storage.query("SELECT count(*) FROM orders")
        row = {
            "day": day,
            "changes": generation,
            "database": (folder / DATABASE_NAME).stat().st_size,
            "log": (folder / f"{DATABASE_NAME}-wal").stat().st_size,
            "orders": rows[0][0],
            "resident_kb": resident_kilobytes(),
            "ms_a_change": round(1000 * took_s / changes, 2),
        }
        print(json.dumps(row), flush=True)


def main() -> None:
    """Plays the days in a folder of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=7)
    parser.add_argument("--changes-a-day", type=int, default=850)
    parser.add_argument("--body", type=int, default=300_000)
    told = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        storage = Storage(name)
        asyncio.run(days(storage, Path(name), told.days, told.changes_a_day, told.body))
        storage.close()


if __name__ == "__main__":
    main()
