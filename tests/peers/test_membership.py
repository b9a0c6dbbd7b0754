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
spec = importlib.util.spec_from_file_location("members_benchmark", ROOT / "benchmarks/members.py")
members_benchmark = importlib.util.module_from_spec(spec)
spec.loader.exec_module(members_benchmark)
MembershipSimulation, PERIOD_MS = members_benchmark.MembershipSimulation, members_benchmark.PERIOD_MS


def joined_simulation(size, seed=1):
    simulation = MembershipSimulation(size, seed)
    assert simulation.run_until(simulation.has_converged, 30.0 * PERIOD_MS) is not None
    return simulation


@pytest.mark.parametrize("size", [2, 3, 40])
def test_all_members_join_and_only_the_failed_one_is_declared_lost(size):
    simulation = joined_simulation(size)
    simulation.run(20.0 * PERIOD_MS)
    del simulation.members[size - 1]
    assert simulation.run_until(simulation.has_converged, 60.0 * PERIOD_MS) is not None
    assert {name for _, _, name in simulation.declared_lost} <= {f"m{size - 1}"}


def test_no_member_is_declared_lost_with_ten_percent_loss_and_a_one_way_link_failure():
    simulation = joined_simulation(20, seed=3)
    simulation.link = lambda a, b: (
        None if (a, b) == (4, 5) or simulation.rng.random() < 0.1 else simulation.rng.uniform(0.5, 200.0)
    )
    simulation.run(120.0 * PERIOD_MS)
    assert not simulation.declared_lost


def test_stalled_member_declares_nobody_lost_and_refutes_its_own_loss():
    simulation = joined_simulation(20, seed=4)
    simulation.stopped_until_ms[7] = simulation.now_ms + 40.0 * PERIOD_MS
    simulation.run(60.0 * PERIOD_MS)
    assert {name for _, _, name in simulation.declared_lost} == {"m7"} and not [
        1 for _, by, _ in simulation.declared_lost if by == "m7"
    ]
    assert simulation.run_until(simulation.has_converged, 30.0 * PERIOD_MS) is not None


def test_sides_of_a_healed_partition_merge():
    simulation, healthy_link = joined_simulation(12, seed=5), MembershipSimulation(0).link
    simulation.link = lambda a, b: None if (a < 6) != (b < 6) else 1.0
    simulation.run(45.0 * PERIOD_MS)
    assert simulation.members[0].active_members() == [f"m{number}" for number in range(6)]
    simulation.link = healthy_link
    assert simulation.run_until(simulation.has_converged, 120.0 * PERIOD_MS) is not None


def test_leaving_member_is_not_declared_lost_and_a_restart_replaces_the_earlier_process():
    simulation = joined_simulation(8, seed=6)
    simulation.send(3, simulation.members[3].leave())
    del simulation.members[3]
    assert simulation.run_until(simulation.has_converged, 20.0 * PERIOD_MS) is not None and not simulation.declared_lost
    replaced = simulation.members[2]
    simulation.start(2, incarnation=2)
    assert simulation.run_until(simulation.has_converged, 30.0 * PERIOD_MS) is not None
    replaced.receive("m0", ("", 0), SyncPage((simulation.members[2].own_record,), False), simulation.now_ms)
    assert (
        replaced.is_replaced
        and "m2" not in replaced.active_members()
        and replaced.tick(simulation.now_ms + 5000.0) == []
    )


def test_checks_detect_missing_refutation_dissemination_and_anti_entropy(monkeypatch):
    """Without refutation message loss causes false positives; without updates and syncs some miss a failure."""
    simulation = joined_simulation(20, seed=3)
    with monkeypatch.context() as broken:
        broken.setattr(Membership, "_handle_own_record", lambda self, record: None)
        simulation.link = lambda a, b: None if simulation.rng.random() < 0.2 else 1.0
        simulation.run(120.0 * PERIOD_MS)
        assert simulation.declared_lost
    simulation = joined_simulation(20, seed=3)
    monkeypatch.setattr(membership, "SYNC_PERIODS", 1e9)
    monkeypatch.setattr(membership, "RETRANSMIT_FACTOR", 0.0)
    del simulation.members[9]
    simulation.run(12.0 * PERIOD_MS)
    assert not simulation.has_converged()


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
        member.tick(at * PERIOD_MS)
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
