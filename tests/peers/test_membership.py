"""Membership: on the simulated clock of the benchmark, with failing links and processes; then as real processes."""

import asyncio
import importlib.util
import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from dewpin.lab.fleet.datagram_proxies import DatagramProxies
from dewpin.peers import membership
from dewpin.peers.membership import Membership
from dewpin.peers.membership_messages import MemberRecord, MemberState, SyncPage, SyncRequest
from dewpin.peers.node import is_reachable
from dewpin.peers.wire import MAX_DATAGRAM_BYTES, encode_datagram
from driver import wait_until

ROOT = Path(__file__).resolve().parents[2]
spec = importlib.util.spec_from_file_location("members_world", ROOT / "benchmarks/members.py")
members_benchmark = importlib.util.module_from_spec(spec)
spec.loader.exec_module(members_benchmark)
World, PERIOD = members_benchmark.World, members_benchmark.PERIOD


def joined_world(size, seed=1):
    world = World(size, seed)
    assert world.until(world.agreed, 30.0 * PERIOD) is not None
    return world


@pytest.mark.parametrize("size", [2, 3, 40])
def test_all_members_join_and_only_the_failed_one_is_declared_lost(size):
    world = joined_world(size)
    world.run(20.0 * PERIOD)
    del world.members[size - 1]
    assert world.until(world.agreed, 60.0 * PERIOD) is not None
    assert {name for _, _, name in world.lost} <= {f"m{size - 1}"}


def test_no_member_is_declared_lost_with_ten_percent_loss_and_a_one_way_link_failure():
    world = joined_world(20, seed=3)
    world.link = lambda a, b: None if (a, b) == (4, 5) or world.dice.random() < 0.1 else world.dice.uniform(0.5, 200.0)
    world.run(120.0 * PERIOD)
    assert not world.lost


def test_stalled_member_declares_nobody_lost_and_refutes_its_own_loss():
    world = joined_world(20, seed=4)
    world.away[7] = world.now + 40.0 * PERIOD
    world.run(60.0 * PERIOD)
    assert {name for _, _, name in world.lost} == {"m7"} and not [1 for _, by, _ in world.lost if by == "m7"]
    assert world.until(world.agreed, 30.0 * PERIOD) is not None


def test_sides_of_a_healed_partition_merge():
    world, healthy_link = joined_world(12, seed=5), World(0).link
    world.link = lambda a, b: None if (a < 6) != (b < 6) else 1.0
    world.run(45.0 * PERIOD)
    assert world.members[0].active_members() == [f"m{number}" for number in range(6)]
    world.link = healthy_link
    assert world.until(world.agreed, 120.0 * PERIOD) is not None


def test_leaving_member_is_not_declared_lost_and_a_restart_replaces_the_earlier_process():
    world = joined_world(8, seed=6)
    world.send(3, world.members[3].leave())
    del world.members[3]
    assert world.until(world.agreed, 20.0 * PERIOD) is not None and not world.lost
    replaced = world.members[2]
    world.start(2, incarnation=2)
    assert world.until(world.agreed, 30.0 * PERIOD) is not None
    replaced.receive("m0", ("", 0), SyncPage((world.members[2].own_record,), False), world.now)
    assert replaced.is_replaced and "m2" not in replaced.active_members() and replaced.tick(world.now + 5000.0) == []


def test_checks_detect_missing_refutation_dissemination_and_anti_entropy(monkeypatch):
    """Without refutation message loss causes false positives; without updates and syncs some miss a failure."""
    world = joined_world(20, seed=3)
    with monkeypatch.context() as broken:
        broken.setattr(Membership, "_handle_own_record", lambda self, record: None)
        world.link = lambda a, b: None if world.dice.random() < 0.2 else 1.0
        world.run(120.0 * PERIOD)
        assert world.lost
    world = joined_world(20, seed=3)
    monkeypatch.setattr(membership, "SYNC_PERIODS", 1e9)
    monkeypatch.setattr(membership, "RETRANSMIT_FACTOR", 0.0)
    del world.members[9]
    world.run(12.0 * PERIOD)
    assert not world.agreed()


def test_member_list_is_bounded_and_invalid_records_are_counted(monkeypatch):
    monkeypatch.setattr(membership, "MAX_MEMBERS", 5)
    member = Membership("a", ("", 0), 1, [], 0.0)
    member.receive(
        "b",
        ("", 1),
        SyncPage(tuple(MemberRecord(f"n{at}", "h", 1, 1, 0, MemberState.ALIVE) for at in range(9)), False),
        0.0,
    )
    member.receive(
        "b",
        ("", 1),
        SyncPage((MemberRecord("x" * 100, "h", 1, 1, 0, MemberState.ALIVE), MemberRecord("y", "h", 1, 1, 0, 9)), False),
        0.0,
    )
    assert len(member.members) == 5 and member.rejected_count == 6
    inactive = tuple(
        MemberRecord(f"n{at}", "h", 1, 1, 1, MemberState.LEFT if at else MemberState.LOST) for at in range(5)
    )
    member.receive("b", ("", 1), SyncPage(inactive, False), 0.0)
    for at in range(200):
        member.tick(at * PERIOD)
    assert not member.members and member.active_members() == ["a"]


def test_long_names_of_members_exceed_no_datagram_and_host_names_are_not_resolved():
    member = Membership("a", ("127.0.0.1", 1), 1, [], 0.0)
    for at in range(60):
        record = MemberRecord("\u00e4" * 60 + f"{at:03}", "127.0.0.1", 1, 1, 0, MemberState.ALIVE)
        member.receive("b", ("127.0.0.1", 1), SyncPage((record,), False), 0.0)
    for _, _, message in member.receive(
        "b", ("127.0.0.1", 1), SyncRequest("", 0, member.own_record), 0.0
    ) + member.tick(5000.0):
        assert len(encode_datagram("a", message)) <= MAX_DATAGRAM_BYTES
    assert is_reachable(("127.0.0.1", 9)) and not any(
        map(is_reachable, [("host.example", 9), ("127.0.0.1", 70000), ("", 0)])
    )


class Fleet(asyncio.DatagramProtocol):
    """Member processes behind proxies. `reports`: last report of each; `lost`: pairs of reporter and lost member."""

    def __init__(self, names):
        self.names, self.proxies, self.running, self.reports, self.lost = names, DatagramProxies(names), {}, {}, []

    async def open(self):
        await self.proxies.open()
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.address, self.transport = transport.get_extra_info("sockname"), transport
        for name in self.names:
            self.start(name)

    def datagram_received(self, data, address):
        report = json.loads(data)
        self.proxies.set_address(report["name"], tuple(report["at"]))
        self.reports[report["name"]] = report
        self.lost += [(report["name"], name) for name in report["lost"]]

    def start(self, name):
        peers = self.proxies.peers_of(name)
        settings = {
            "name": name,
            "peers": peers,
            "seeds": [peers[seed] for seed in self.names[:2] if seed != name],
            "period": 250.0,
            "timeout": 80.0,
            "taker": self.address,
        }
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", "dewpin.lab.fleet.member_process", json.dumps(settings)], cwd=ROOT
        )

    async def wait_for_agreement(self, names):
        """Waits until each of these members reports exactly these members as active."""
        names = sorted(names)
        await wait_until(lambda: all(self.reports.get(name, {}).get("alive") == names for name in names), 60.0)

    def close(self):
        for process in self.running.values():
            process.kill()
            process.wait()
        self.proxies.close()
        self.transport.close()


def test_nine_processes_converge_after_kills_stops_partitions_and_slow_links():
    async def run():
        names = list("abcdefghi")
        fleet = Fleet(names)
        await fleet.open()
        try:
            await inject_faults(fleet, names)
        finally:
            fleet.close()

    async def inject_faults(fleet, names):
        await fleet.wait_for_agreement(names)
        fleet.lost.clear()  # a slow start may cause false positives
        fleet.proxies.cut(["c"], ["d"])  # in one direction; all other links are slow and lossy
        for link in fleet.proxies.links.values():
            link.loss_share, link.duplicate_share, link.max_lag_ms = 0.05, 0.05, 30.0
        fleet.running["i"].kill()
        await fleet.wait_for_agreement(names[:-1])  # indirect probes keep c and d active for each other
        fleet.proxies.heal()
        fleet.running["h"].send_signal(signal.SIGSTOP)
        await fleet.wait_for_agreement(names[:-2])
        fleet.running["h"].send_signal(signal.SIGCONT)  # it refutes its loss and declares no active member lost
        await fleet.wait_for_agreement(names[:-1])
        assert not [by for by, _ in fleet.lost if by == "h"] or {name for by, name in fleet.lost if by == "h"} == {"i"}
        fleet.running["g"].send_signal(signal.SIGTERM)
        await fleet.wait_for_agreement([*names[:6], "h"])
        assert "g" not in {name for _, name in fleet.lost}  # it left and is not declared lost
        fleet.proxies.cut(names[:3], names[3:])
        fleet.proxies.cut(names[3:], names[:3])
        await wait_until(lambda: fleet.reports["a"]["alive"] == names[:3], 60.0)
        fleet.proxies.heal()
        fleet.start("i")
        await fleet.wait_for_agreement([*names[:6], "h", "i"])

    asyncio.run(run())
