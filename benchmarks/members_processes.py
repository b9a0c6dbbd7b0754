"""Hundreds of members as processes of their own on loopback: how fast they meet, how fast a loss is known to all.

    .venv/bin/python benchmarks/members_processes.py [--size 200] [--period 1000]

Starts as many at once as there are cores. Then kills one in twenty at one moment, stops one in twenty for ten periods
and lets them go on. Prints what the members told: seconds until all agree, and who of the living was called lost.
"""

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import time


class Taker(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.told: dict[str, dict] = {}
        self.lost: list[tuple[float, str, str]] = []

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        told = json.loads(data)
        self.told[told["name"]] = told
        self.lost += [(time.monotonic(), told["name"], name) for name in told["lost"]]


async def agree(taker: Taker, names: set[str], seconds: float) -> float:
    """Seconds until all of these say that these are there, or not a number."""
    began, there = time.monotonic(), sorted(names)
    while time.monotonic() < began + seconds:
        if all(taker.told.get(name, {}).get("alive") == there for name in names):
            return time.monotonic() - began
        await asyncio.sleep(0.1)
    return float("nan")


async def main(size: int, period: float) -> None:
    taker, running = Taker(), {}
    seeds: list[str] = []
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: taker, ("127.0.0.1", 0))
    names = [f"m{number}" for number in range(size)]
    most, began = os.cpu_count() or 1, time.monotonic()
    try:
        for name in names:
            told = {
                "name": name,
                "peers": {},
                "seeds": seeds,
                "period": period,
                "timeout": 0.3 * period,
                "taker": transport.get_extra_info("sockname"),
            }
            running[name] = subprocess.Popen([sys.executable, "-m", "dewpin.lab.fleet.member", json.dumps(told)])
            while len(running) - len(taker.told) >= most or not taker.told:
                await asyncio.sleep(0.01)
            seeds = seeds or [taker.told[name]["at"]]
        started = time.monotonic() - began
        after = await agree(taker, set(names), 120.0)
        print(
            f"{size} started in {started:.1f} s; agree after {after:.1f} s more; "
            f"{len(taker.lost)} called lost meanwhile",
            flush=True,
        )
        taker.lost.clear()
        killed, stopped = set(names[10::20]), set(names[5::20])
        at = time.monotonic()
        for name in killed:
            running[name].kill()
        after = await agree(taker, set(names) - killed, 180.0)
        known = [when - at for when, _, name in taker.lost if name in killed]
        wrong = {name for _, _, name in taker.lost} - killed
        print(
            f"{len(killed)} killed: first known after {min(known):.1f} s, all agree after {after:.1f} s; "
            f"of the living called lost: {len(wrong)}",
            flush=True,
        )
        taker.lost.clear()
        for name in stopped:
            running[name].send_signal(signal.SIGSTOP)
        await asyncio.sleep(10.0 * period / 1000.0)
        for name in stopped:
            running[name].send_signal(signal.SIGCONT)
        after = await agree(taker, set(names) - killed, 120.0)
        print(
            f"{len(stopped)} stopped for ten periods: all agree {after:.1f} s later; called lost: "
            f"{len({name for _, _, name in taker.lost} & stopped)} of them, "
            f"{len({name for _, _, name in taker.lost} - killed - stopped)} of the others",
            flush=True,
        )
    finally:
        for one in running.values():
            one.kill()
        for one in running.values():
            one.wait()
        transport.close()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--size", type=int, default=200)
    parser.add_argument("--period", type=float, default=1000.0)
    given = parser.parse_args()
    asyncio.run(main(given.size, given.period))
