"""Simulates the membership protocol: failure detection time, false positives and traffic, by the number of members.

    .venv/bin/python benchmarks/members.py [--sizes 10,100,300] [--seed 1]

Prints for each size: periods until all members have joined; periods from a member's failure until the first other
member and until all others have declared it lost; how many running members any member declared lost in a minute without
faults, in one with message loss and in one with stalled processes; bytes per second that one member sends.
"""

import argparse
import random
import sys
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from dewpin.peers.membership import Membership
from dewpin.peers.membership_messages import Address, MembershipEnvelope, MembershipMessage, MemberState
from dewpin.peers.wire import encode_datagram

PERIOD_MS, TICK_MS = 1000.0, 50.0


class MembershipSimulation:
    """Members at addresses ("", number), in simulated time.

    `link`: returns the delay in ms of a message between a pair of members, None to drop it; 0.5 to 2 ms by default.
    `stopped_until_ms`: when a stopped process continues, by member. `declared_lost`: time in ms, declaring member and
    lost member of each declaration. `bytes_sent`: of all members, with UDP and IP headers, while `counts_bytes` is set.
    """

    def __init__(self, size: int, seed: int = 1, counts_bytes: bool = False) -> None:
        self.rng, self.sequence, self.now_ms = random.Random(seed), count(), 0.0
        self.events: list[tuple[float, int, int, tuple[str, Address, MembershipMessage] | None]] = []
        self.members: dict[int, Membership] = {}
        self.stopped_until_ms: dict[int, float] = {}
        self.link: Callable[[int, int], float | None] = lambda a, b: self.rng.uniform(0.5, 2.0)
        self.counts_bytes, self.bytes_sent = counts_bytes, 0
        self.declared_lost: list[tuple[float, str, str]] = []
        for number in range(size):
            self.start(number)

    def start(self, number: int, incarnation: int = 1) -> None:
        seeds = [("", 0), ("", 1)] if number else [("", 1)]
        self.members[number] = Membership(f"m{number}", ("", number), incarnation, seeds, self.now_ms, PERIOD_MS)
        heappush(self.events, (self.now_ms + self.rng.uniform(0.0, TICK_MS), next(self.sequence), number, None))

    def send(self, number: int, envelopes: list[MembershipEnvelope]) -> None:
        for _, (_, target), message in envelopes:
            if self.counts_bytes:
                self.bytes_sent += len(encode_datagram(f"m{number}", message)) + 28
            delay_ms = self.link(number, target)
            if delay_ms is not None:
                heappush(
                    self.events,
                    (self.now_ms + delay_ms, next(self.sequence), target, (f"m{number}", ("", number), message)),
                )

    def run(self, ms: float) -> None:
        end_ms = self.now_ms + ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, number, message = heappop(self.events)
            member = self.members.get(number)
            if member is None:
                continue
            if self.stopped_until_ms.get(number, 0.0) > self.now_ms:  # a stopped process reads its messages later
                heappush(
                    self.events,
                    (self.stopped_until_ms[number] + self.rng.uniform(0.0, 5.0), next(self.sequence), number, message),
                )
                continue
            if message is None:
                self.send(number, member.tick(self.now_ms))
                heappush(self.events, (self.now_ms + TICK_MS, next(self.sequence), number, None))
            else:
                self.send(number, member.receive(*message, self.now_ms))
            self.declared_lost += [
                (self.now_ms, member.name, name) for name, state in member.take_changes() if state == MemberState.LOST
            ]
        self.now_ms = end_ms

    def has_converged(self) -> bool:
        names = sorted(member.name for member in self.members.values())
        return all(member.active_members() == names for member in self.members.values())

    def run_until(self, condition: Callable[[], bool], ms: float) -> float | None:
        """Run until the condition holds; return the ms that passed, None if it does not hold within `ms`."""
        start_ms = self.now_ms
        while self.now_ms < start_ms + ms:
            if condition():
                return self.now_ms - start_ms
            self.run(TICK_MS)
        return None


def measure(size: int, seed: int) -> str:
    simulation = MembershipSimulation(size, seed)
    joined_ms = simulation.run_until(simulation.has_converged, 600.0 * PERIOD_MS)
    simulation.declared_lost.clear()
    simulation.counts_bytes, simulation.bytes_sent = True, 0
    simulation.run(60.0 * PERIOD_MS)
    bytes_per_s, idle = simulation.bytes_sent / 60.0 / size, len(simulation.declared_lost)
    simulation.counts_bytes = False
    failed, failed_at_ms = f"m{size // 2}", simulation.now_ms
    del simulation.members[size // 2]
    simulation.run_until(simulation.has_converged, 600.0 * PERIOD_MS)
    detected_at_ms = [when for when, _, name in simulation.declared_lost if name == failed]
    first, all_others = (
        (min(detected_at_ms) - failed_at_ms) / PERIOD_MS,
        (max(detected_at_ms) - failed_at_ms) / PERIOD_MS,
    )
    simulation.declared_lost.clear()
    simulation.link = lambda a, b: None if simulation.rng.random() < 0.1 else simulation.rng.uniform(0.5, 2.0)
    simulation.run(60.0 * PERIOD_MS)
    lossy = len({name for _, _, name in simulation.declared_lost})
    simulation.link = lambda a, b: simulation.rng.uniform(0.5, 2.0)
    simulation.run_until(simulation.has_converged, 120.0 * PERIOD_MS)
    simulation.declared_lost.clear()
    stalled = simulation.rng.sample(sorted(simulation.members), max(1, size // 10))
    for _ in range(12):  # a tenth of the members stall for 2.5 s of every 5 s, at independent times
        for number in stalled:
            simulation.stopped_until_ms[number] = simulation.now_ms + simulation.rng.uniform(0.0, 2500.0) + 2500.0
        simulation.run(5.0 * PERIOD_MS)
    stalled_names = {f"m{number}" for number in stalled}
    false_while_stalling = len({name for _, _, name in simulation.declared_lost} - stalled_names)
    return (
        f"{size:5}  joined after {(joined_ms or 0) / PERIOD_MS:5.1f}  detected: first {first:5.1f}, "
        f"all {all_others:5.1f}  false positives: no faults {idle}, 10% message loss {lossy}, "
        f"10% stalled {false_while_stalling} (of the others)  {bytes_per_s:6.0f} bytes/s each"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="10,100,300")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for size in options.sizes.split(","):
        print(measure(int(size), options.seed), flush=True)
