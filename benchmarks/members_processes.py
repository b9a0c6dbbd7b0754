"""Measures joining and failure detection of the membership protocol, with each member in a process of its own.

    .venv/bin/python benchmarks/members_processes.py [--size 200] [--period 1000]

The processes run on loopback; at most as many are starting at a time as there are cores. Then kills one in twenty at
the same moment, and stops one in twenty for ten periods and continues them. Prints from the members' reports: seconds
until all agree, and how many of the running members were reported lost.
"""

import argparse
import asyncio
import json
import math
import os
import signal
import subprocess
import sys
import time
from typing import Any

STEP_S = 0.1
STOPPED_PERIODS = 10.0


class ReportReceiver(asyncio.DatagramProtocol):
    """Receives the members' reports.

    `latest`: the latest report of each member, by its name. `losses`: time in seconds, reporting member and lost member
    of each report of a loss.
    """

    def __init__(self) -> None:
        self.latest: dict[str, dict[str, Any]] = {}
        self.losses: list[tuple[float, str, str]] = []

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Store a report."""
        report = json.loads(data)
        self.latest[report["name"]] = report
        self.losses += [(time.monotonic(), report["name"], name) for name in report["lost"]]

    def lost_names(self) -> set[str]:
        """Return the names of the members that were reported lost."""
        return {name for _, _, name in self.losses}

    async def wait_for_agreement(self, names: set[str], timeout_s: float) -> float:
        """Return the seconds until each of these members reports all of them alive; NaN after the timeout."""
        start_s, expected = time.monotonic(), sorted(names)
        while time.monotonic() < start_s + timeout_s:
            if all(self.latest.get(name, {}).get("alive") == expected for name in names):
                return time.monotonic() - start_s
            await asyncio.sleep(STEP_S)
        return math.nan


class MemberProcesses:
    """The processes of all members."""

    def __init__(self, reports: ReportReceiver, report_address: tuple[str, int], period_ms: float) -> None:
        self._reports = reports
        self._report_address = report_address
        self._period_ms = period_ms
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self, names: list[str]) -> None:
        """Start the members one by one, with at most as many still starting as there are cores."""
        max_starting = os.cpu_count() or 1
        seeds: list[str] = []
        for name in names:
            settings = {
                "name": name,
                "peers": {},
                "seeds": seeds,
                "period": self._period_ms,
                "timeout": 0.3 * self._period_ms,
                "taker": self._report_address,
            }
            command = [sys.executable, "-m", "dewpin.lab.fleet.member_process", json.dumps(settings)]
            self._processes[name] = subprocess.Popen(command)
            while len(self._processes) - len(self._reports.latest) >= max_starting or not self._reports.latest:
                await asyncio.sleep(0.01)
            seeds = seeds or [self._reports.latest[name]["at"]]

    def send_signal(self, names: set[str], signal_number: signal.Signals) -> None:
        """Send a signal to the processes of these members."""
        for name in names:
            self._processes[name].send_signal(signal_number)

    def kill_all(self) -> None:
        """Kill all processes and wait for them to exit."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()


async def measure_start(members: MemberProcesses, reports: ReportReceiver, names: list[str]) -> None:
    """Start all members and print the time until they agree."""
    start_s = time.monotonic()
    await members.start(names)
    started_s = time.monotonic() - start_s
    agreed_s = await reports.wait_for_agreement(set(names), 120.0)
    print(
        f"{len(names)} started in {started_s:.1f} s; agree after {agreed_s:.1f} s more; "
        f"{len(reports.losses)} false loss reports meanwhile",
        flush=True,
    )
    reports.losses.clear()


async def measure_kill(
    members: MemberProcesses, reports: ReportReceiver, killed: set[str], remaining: set[str]
) -> None:
    """Kill some members and print the time until the others have detected it."""
    killed_at_s = time.monotonic()
    members.send_signal(killed, signal.SIGKILL)
    agreed_s = await reports.wait_for_agreement(remaining, 180.0)
    detected_s = [detected_at_s - killed_at_s for detected_at_s, _, name in reports.losses if name in killed]
    print(
        f"{len(killed)} killed: first detected after {min(detected_s):.1f} s, all agree after {agreed_s:.1f} s; "
        f"running members reported lost: {len(reports.lost_names() - killed)}",
        flush=True,
    )
    reports.losses.clear()


async def measure_stop(
    members: MemberProcesses,
    reports: ReportReceiver,
    stopped: set[str],
    killed: set[str],
    remaining: set[str],
    seconds: float,
) -> None:
    """Stop some members for `seconds` and print the time until all agree again."""
    members.send_signal(stopped, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    members.send_signal(stopped, signal.SIGCONT)
    agreed_s = await reports.wait_for_agreement(remaining, 120.0)
    print(
        f"{len(stopped)} stopped for ten periods: all agree {agreed_s:.1f} s later; reported lost: "
        f"{len(reports.lost_names() & stopped)} of them, "
        f"{len(reports.lost_names() - killed - stopped)} of the others",
        flush=True,
    )


async def main(size: int, period_ms: float) -> None:
    """Measure start, kill and stop."""
    reports = ReportReceiver()
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: reports, ("127.0.0.1", 0))
    members = MemberProcesses(reports, transport.get_extra_info("sockname"), period_ms)
    names = [f"m{number}" for number in range(size)]
    killed, stopped = set(names[10::20]), set(names[5::20])
    remaining = set(names) - killed
    try:
        await measure_start(members, reports, names)
        await measure_kill(members, reports, killed, remaining)
        await measure_stop(members, reports, stopped, killed, remaining, STOPPED_PERIODS * period_ms / 1000.0)
    finally:
        members.kill_all()
        transport.close()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--size", type=int, default=200)
    parser.add_argument("--period", type=float, default=1000.0)
    options = parser.parse_args()
    asyncio.run(main(options.size, options.period))
