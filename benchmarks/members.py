"""Members alone on a clock of its own: detection, false suspicions and bytes, by the number of senders.

    .venv/bin/python benchmarks/members.py [--sizes 10,100,300] [--seed 1]

Prints for each size: periods from a death until the first and until all others call it lost; how many living members
anyone called lost in a quiet minute, and in one with loss or with slow processes; bytes a second that one sender sends.
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

PERIOD, LOOK = 1000.0, 50.0


class World:
    """Members at addresses ("", number); messages take 0.5 to 2 ms, or what `link` says of a pair (None: lost)."""

    def __init__(self, size: int, seed: int = 1, measured: bool = False) -> None:
        self.dice, self.order, self.now = random.Random(seed), count(), 0.0
        self.due: list[tuple[float, int, int, tuple[str, Address, MembershipMessage] | None]] = []
        self.members: dict[int, Membership] = {}
        self.away: dict[int, float] = {}  # stopped until
        self.link: Callable[[int, int], float | None] = lambda a, b: self.dice.uniform(0.5, 2.0)
        self.measured, self.bytes = measured, 0
        self.lost: list[tuple[float, str, str]] = []  # (when, who says so, who is meant)
        for number in range(size):
            self.start(number)

    def start(self, number: int, incarnation: int = 1) -> None:
        seeds = [("", 0), ("", 1)] if number else [("", 1)]
        self.members[number] = Membership(f"m{number}", ("", number), incarnation, seeds, self.now, PERIOD)
        heappush(self.due, (self.now + self.dice.uniform(0.0, LOOK), next(self.order), number, None))

    def send(self, number: int, out: list[MembershipEnvelope]) -> None:
        for _, (_, to), message in out:
            if self.measured:
                self.bytes += len(encode_datagram(f"m{number}", message)) + 28
            after = self.link(number, to)
            if after is not None:
                heappush(self.due, (self.now + after, next(self.order), to, (f"m{number}", ("", number), message)))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.due and self.due[0][0] <= end:
            self.now, _, number, message = heappop(self.due)
            one = self.members.get(number)
            if one is None:
                continue
            if self.away.get(number, 0.0) > self.now:  # it reads all that when it goes on
                heappush(self.due, (self.away[number] + self.dice.uniform(0.0, 5.0), next(self.order), number, message))
                continue
            if message is None:
                self.send(number, one.tick(self.now))
                heappush(self.due, (self.now + LOOK, next(self.order), number, None))
            else:
                self.send(number, one.receive(*message, self.now))
            self.lost += [(self.now, one.name, name) for name, state in one.take_changes() if state == MemberState.LOST]
        self.now = end

    def agreed(self) -> bool:
        there = sorted(one.name for one in self.members.values())
        return all(one.active_members() == there for one in self.members.values())

    def until(self, fact: Callable[[], bool], ms: float) -> float | None:
        """Ms until it holds; None: never within so long."""
        began = self.now
        while self.now < began + ms:
            if fact():
                return self.now - began
            self.run(LOOK)
        return None


def measure(size: int, seed: int) -> str:
    world = World(size, seed)
    joined = world.until(world.agreed, 600.0 * PERIOD)
    world.lost.clear()
    world.measured, world.bytes = True, 0
    world.run(60.0 * PERIOD)
    rate, quiet = world.bytes / 60.0 / size, len(world.lost)
    world.measured = False
    dead, death = f"m{size // 2}", world.now
    del world.members[size // 2]
    world.until(world.agreed, 600.0 * PERIOD)
    detected = [when for when, _, name in world.lost if name == dead]
    first, all_of = (min(detected) - death) / PERIOD, (max(detected) - death) / PERIOD
    world.lost.clear()
    world.link = lambda a, b: None if world.dice.random() < 0.1 else world.dice.uniform(0.5, 2.0)
    world.run(60.0 * PERIOD)
    lossy = len({name for _, _, name in world.lost})
    world.link = lambda a, b: world.dice.uniform(0.5, 2.0)
    world.until(world.agreed, 120.0 * PERIOD)
    world.lost.clear()
    slow = world.dice.sample(sorted(world.members), max(1, size // 10))
    for _ in range(12):  # a tenth of them stand still for 2.5 s of every 5 s, each by itself
        for number in slow:
            world.away[number] = world.now + world.dice.uniform(0.0, 2500.0) + 2500.0
        world.run(5.0 * PERIOD)
    stopped = {f"m{number}" for number in slow}
    healthy = len({name for _, _, name in world.lost} - stopped)
    return (
        f"{size:5}  joined after {(joined or 0) / PERIOD:5.1f}  lost: first {first:5.1f}, all {all_of:5.1f}  "
        f"false: quiet {quiet}, a tenth of messages lost {lossy}, a tenth stalling {healthy} (of the others)  "
        f"{rate:6.0f} bytes a second each"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="10,100,300")
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    for size in told.sizes.split(","):
        print(measure(int(size), told.seed), flush=True)
