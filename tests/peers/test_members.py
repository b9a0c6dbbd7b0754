"""Members: on a clock of the benchmark's, with links and processes that fail; then as real processes."""

import asyncio
import importlib.util
import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from dewpin.lab.fleet.relays import Ways
from dewpin.peers import members
from dewpin.peers.members import ALIVE, LEFT, LOST, Entry, Members, Page, Pull
from dewpin.peers.node import reachable
from dewpin.peers.wire import MOST, pack
from driver import until

ROOT = Path(__file__).resolve().parents[2]
spec = importlib.util.spec_from_file_location("members_world", ROOT / "benchmarks/members.py")
world_of = importlib.util.module_from_spec(spec)
spec.loader.exec_module(world_of)
World, PERIOD = world_of.World, world_of.PERIOD


def joined(size, seed=1):
    world = World(size, seed)
    assert world.until(world.agreed, 30.0 * PERIOD) is not None
    return world


@pytest.mark.parametrize("size", [2, 3, 40])
def test_all_meet_and_a_dead_one_is_lost_to_all_while_nobody_else_is(size):
    world = joined(size)
    world.run(20.0 * PERIOD)
    del world.members[size - 1]
    assert world.until(world.agreed, 60.0 * PERIOD) is not None
    assert {name for _, _, name in world.lost} <= {f"m{size - 1}"}


def test_nobody_is_lost_by_a_tenth_of_messages_lost_or_a_link_that_is_cut_one_way():
    world = joined(20, seed=3)
    world.link = lambda a, b: None if (a, b) == (4, 5) or world.dice.random() < 0.1 else world.dice.uniform(0.5, 200.0)
    world.run(120.0 * PERIOD)
    assert not world.lost


def test_one_that_stood_still_takes_nobody_for_lost_and_contradicts():
    world = joined(20, seed=4)
    world.away[7] = world.now + 40.0 * PERIOD
    world.run(60.0 * PERIOD)
    assert {name for _, _, name in world.lost} == {"m7"} and not [1 for _, by, _ in world.lost if by == "m7"]
    assert world.until(world.agreed, 30.0 * PERIOD) is not None


def test_halves_that_lost_each_other_meet_again():
    world, whole = joined(12, seed=5), World(0).link
    world.link = lambda a, b: None if (a < 6) != (b < 6) else 1.0
    world.run(45.0 * PERIOD)
    assert world.members[0].alive() == [f"m{number}" for number in range(6)]
    world.link = whole
    assert world.until(world.agreed, 120.0 * PERIOD) is not None


def test_a_leave_is_no_loss_and_a_restart_under_the_same_name_replaces_the_one_before():
    world = joined(8, seed=6)
    world.send(3, world.members[3].leave())
    del world.members[3]
    assert world.until(world.agreed, 20.0 * PERIOD) is not None and not world.lost
    before = world.members[2]
    world.start(2, life=2)
    assert world.until(world.agreed, 30.0 * PERIOD) is not None
    before.hear("m0", ("", 0), Page((world.members[2].me,), False), world.now)
    assert before.replaced and "m2" not in before.alive() and before.tick(world.now + 5000.0) == []


def test_the_checks_notice_a_part_that_is_missing(monkeypatch):
    """Who can't contradict is lost where messages are; without gossip and pulls a death is not heard of by all."""
    world = joined(20, seed=3)
    with monkeypatch.context() as broken:
        broken.setattr(Members, "_heard_of_me", lambda self, entry: None)
        world.link = lambda a, b: None if world.dice.random() < 0.2 else 1.0
        world.run(120.0 * PERIOD)
        assert world.lost
    world = joined(20, seed=3)
    monkeypatch.setattr(members, "PULLS", 1e9)
    monkeypatch.setattr(members, "TELLS", 0.0)
    del world.members[9]
    world.run(12.0 * PERIOD)
    assert not world.agreed()


def test_what_is_kept_is_bounded_and_bad_entries_are_counted(monkeypatch):
    monkeypatch.setattr(members, "MOST", 5)
    one = Members("a", ("", 0), 1, [], 0.0)
    one.hear("b", ("", 1), Page(tuple(Entry(f"n{at}", "h", 1, 1, 0, ALIVE) for at in range(9)), False), 0.0)
    one.hear("b", ("", 1), Page((Entry("x" * 100, "h", 1, 1, 0, ALIVE), Entry("y", "h", 1, 1, 0, 9)), False), 0.0)
    assert len(one.members) == 5 and one.refused == 6
    gone = tuple(Entry(f"n{at}", "h", 1, 1, 1, LEFT if at else LOST) for at in range(5))
    one.hear("b", ("", 1), Page(gone, False), 0.0)
    for at in range(200):
        one.tick(at * PERIOD)
    assert not one.members and one.alive() == ["a"]


def test_what_others_say_overflows_no_datagram_and_calls_no_resolver():
    one = Members("a", ("127.0.0.1", 1), 1, [], 0.0)
    for at in range(60):
        entry = Entry("\u00e4" * 60 + f"{at:03}", "127.0.0.1", 1, 1, 0, ALIVE)
        one.hear("b", ("127.0.0.1", 1), Page((entry,), False), 0.0)
    for _, _, message in one.hear("b", ("127.0.0.1", 1), Pull("", 0, one.me), 0.0) + one.tick(5000.0):
        assert len(pack("a", message)) <= MOST
    assert reachable(("127.0.0.1", 9)) and not any(map(reachable, [("host.example", 9), ("127.0.0.1", 70000), ("", 0)]))


class Fleet(asyncio.DatagramProtocol):
    """Real members behind relays, and what each last told of the others."""

    def __init__(self, names):
        self.names, self.ways, self.running, self.told, self.lost = names, Ways(names), {}, {}, []

    async def open(self):
        await self.ways.open()
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.address, self.transport = transport.get_extra_info("sockname"), transport
        for name in self.names:
            self.start(name)

    def datagram_received(self, data, address):
        told = json.loads(data)
        self.ways.put(told["name"], tuple(told["at"]))
        self.told[told["name"]] = told
        self.lost += [(told["name"], name) for name in told["lost"]]

    def start(self, name):
        peers = self.ways.peers(name)
        told = {
            "name": name,
            "peers": peers,
            "seeds": [peers[one] for one in self.names[:2] if one != name],
            "period": 250.0,
            "timeout": 80.0,
            "taker": self.address,
        }
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", "dewpin.lab.fleet.member", json.dumps(told)], cwd=ROOT
        )

    async def agree(self, names):
        """Waits until all of these say that these, and no others, are there."""
        names = sorted(names)
        await until(lambda: all(self.told.get(name, {}).get("alive") == names for name in names), 60.0)

    def close(self):
        for one in self.running.values():
            one.kill()
            one.wait()
        self.ways.close()
        self.transport.close()


def test_nine_processes_agree_again_after_kills_stops_cuts_and_slow_links():
    async def scene():
        names = list("abcdefghi")
        fleet = Fleet(names)
        await fleet.open()
        try:
            await faults(fleet, names)
        finally:
            fleet.close()

    async def faults(fleet, names):
        await fleet.agree(names)
        fleet.lost.clear()  # while they start, one may be late
        fleet.ways.cut(["c"], ["d"])  # one way, and all others slow and lossy
        for way in fleet.ways.ways.values():
            way.loses, way.doubles, way.lag = 0.05, 0.05, 30.0
        fleet.running["i"].kill()
        await fleet.agree(names[:-1])  # by the others' help c and d keep each other
        fleet.ways.heal()
        fleet.running["h"].send_signal(signal.SIGSTOP)
        await fleet.agree(names[:-2])
        fleet.running["h"].send_signal(signal.SIGCONT)  # it contradicts, and takes nobody for lost
        await fleet.agree(names[:-1])
        assert not [by for by, _ in fleet.lost if by == "h"] or {one for by, one in fleet.lost if by == "h"} == {"i"}
        fleet.running["g"].send_signal(signal.SIGTERM)
        await fleet.agree([*names[:6], "h"])
        assert "g" not in {one for _, one in fleet.lost}  # it left, nobody lost it
        fleet.ways.cut(names[:3], names[3:])
        fleet.ways.cut(names[3:], names[:3])
        await until(lambda: fleet.told["a"]["alive"] == names[:3], 60.0)
        fleet.ways.heal()
        fleet.start("i")
        await fleet.agree([*names[:6], "h", "i"])

    asyncio.run(scene())
