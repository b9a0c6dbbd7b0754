"""Leases of five processes, three of them voters, with network and process faults, and a fenced resource."""

import asyncio
import json
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

from dewpin.lab.fleet.datagram_proxies import DatagramProxies
from dewpin.peers.fencing import FencingGuard
from driver import wait_until

NAMES, VOTERS, TERM_MS = list("abcde"), list("abc"), 800.0
HOLDER = Path(__file__).with_name("holder.py")


class Operation(NamedTuple):
    """An operation of a lease holder, as received by the resource."""

    at_seconds: float
    name: str
    token: int
    is_accepted: bool


class Resource(asyncio.DatagramProtocol):
    """A resource reserved to the lease holder, behind a fencing guard. `operations`: all, in order of arrival."""

    def __init__(self, proxies):
        self.proxies, self.guard, self.operations = proxies, FencingGuard(), []

    def connection_made(self, transport):
        self.address = transport.get_extra_info("sockname")
        self.transport = transport

    def datagram_received(self, data, address):
        report = json.loads(data)
        if "address" in report:
            return self.proxies.set_address(report["name"], tuple(report["address"]))
        is_accepted = self.guard.accepts(report["token"])
        now_seconds = asyncio.get_running_loop().time()
        self.operations.append(Operation(now_seconds, report["name"], report["token"], is_accepted))


class Peers:
    def __init__(self, folder):
        self.folder, self.proxies, self.running = folder, DatagramProxies(NAMES), {}

    async def open(self):
        await self.proxies.open()
        _, self.resource = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Resource(self.proxies), ("127.0.0.1", 0)
        )
        for name in NAMES:
            self.start(name, is_new_installation=True)

    def start(self, name, is_new_installation=False):
        settings = {
            "name": name,
            "peers": self.proxies.peers_of(name),
            "voters": VOTERS,
            "folder": str(self.folder / name),
            "term_ms": TERM_MS,
            "is_new_installation": is_new_installation,
            "resource": self.resource.address,
        }
        self.running[name] = subprocess.Popen(
            [sys.executable, str(HOLDER), json.dumps(settings)], cwd=HOLDER.parents[2]
        )

    def kill(self, *names):
        for name in names:
            self.running[name].kill()
            self.running[name].wait()

    def holder(self):
        return self.resource.operations[-1].name if self.resource.operations else None

    async def next_holder(self, other_than=(), count=5):
        """Waits until the last `count` new operations are by one peer not in `other_than`; returns its name."""
        seen = len(self.resource.operations)

        def has_operated():
            last = self.resource.operations[seen:][-count:]
            return (
                len(last) == count
                and len({operation.name for operation in last}) == 1
                and last[0].name not in other_than
            )

        await wait_until(has_operated, 30.0)
        return self.holder()

    async def wait_until_idle(self, ms):
        await wait_until(
            lambda: asyncio.get_running_loop().time() - self.resource.operations[-1].at_seconds > ms / 1000.0, 30.0
        )

    def close(self):
        for process in self.running.values():
            process.kill()
            process.wait()
        self.proxies.close()
        self.resource.transport.close()


def test_one_holder_at_a_time_while_processes_stop_crash_and_are_partitioned(tmp_path):
    async def run():
        peers = Peers(tmp_path)
        await peers.open()
        try:
            await inject_faults(peers)
        finally:
            peers.close()
        accepted = [operation for operation in peers.resource.operations if operation.is_accepted]
        tokens = [operation.token for operation in accepted]
        assert tokens == sorted(tokens)
        assert len(set(tokens)) == len({(operation.name, operation.token) for operation in accepted}) >= 6
        # from a process suspended between check and operation
        rejected = [operation for operation in peers.resource.operations if not operation.is_accepted]
        assert {operation.name for operation in rejected} <= peers.stopped and len(rejected) <= 2 * len(peers.stopped)

    async def inject_faults(peers):
        first = await peers.next_holder()
        peers.running[first].send_signal(signal.SIGSTOP)  # at any point of an operation: another peer takes over
        peers.stopped = {first}
        second = await peers.next_holder({first})
        peers.running[first].send_signal(signal.SIGCONT)
        assert await peers.next_holder({first}, 20) == second  # and remains the holder
        peers.proxies.cut(NAMES, [second])  # it can send but not receive, and stops by itself
        third = await peers.next_holder({second})
        peers.proxies.heal()
        peers.proxies.cut([third], NAMES)  # it can receive but not send
        fourth = await peers.next_holder({third})
        peers.proxies.heal()
        for link in peers.proxies.links.values():
            link.loss_share, link.duplicate_share, link.max_lag_ms = 0.2, 0.3, 60.0
        peers.running[fourth].send_signal(signal.SIGTERM)  # releases the lease
        fifth = await peers.next_holder({fourth})
        peers.proxies.heal()
        peers.kill(fourth)  # both may be voters: two of three must run
        peers.start(fourth)
        peers.kill(fifth)
        sixth = await peers.next_holder({fifth})
        peers.start(fifth)
        killed_voters = [name for name in VOTERS if name != sixth][:2]
        peers.kill(*killed_voters)  # without a majority no peer may act on the resource
        await peers.wait_until_idle(2.0 * TERM_MS)
        peers.start(killed_voters[0])
        recovered_holder = await peers.next_holder()
        shutil.rmtree(peers.folder / killed_voters[1])  # a voter without its votes recovers from the others
        peers.start(killed_voters[1])
        peers.kill(recovered_holder)
        if recovered_holder in VOTERS:
            peers.start(recovered_holder)
        await peers.next_holder({recovered_holder} if recovered_holder not in VOTERS else ())

    asyncio.run(run())
