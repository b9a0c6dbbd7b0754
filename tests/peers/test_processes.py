"""Five real processes, three of them voters, with faults between them, and the resource that they act on."""

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
from driver import until

NAMES, VOTERS, TERM_MS = list("abcde"), list("abc"), 800.0
HOLDER = Path(__file__).with_name("holder.py")


class Act(NamedTuple):
    """An act of a lease holder as it arrived."""

    at_seconds: float
    name: str
    token: int
    is_accepted: bool


class Resource(asyncio.DatagramProtocol):
    """What only the lease holder may act on, behind a fencing guard. `acts`: all acts, in the order of arrival."""

    def __init__(self, proxies):
        self.proxies, self.guard, self.acts = proxies, FencingGuard(), []

    def connection_made(self, transport):
        self.address = transport.get_extra_info("sockname")
        self.transport = transport

    def datagram_received(self, data, address):
        report = json.loads(data)
        if "address" in report:
            return self.proxies.set_address(report["name"], tuple(report["address"]))
        is_accepted = self.guard.accepts(report["token"])
        now_seconds = asyncio.get_running_loop().time()
        self.acts.append(Act(now_seconds, report["name"], report["token"], is_accepted))


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
        return self.resource.acts[-1].name if self.resource.acts else None

    async def next_holder(self, other_than=(), count=5):
        """Waits until one that is not among these has acted so many times in a row from now on; its name."""
        seen = len(self.resource.acts)

        def has_acted():
            last = self.resource.acts[seen:][-count:]
            return len(last) == count and len({act.name for act in last}) == 1 and last[0].name not in other_than

        await until(has_acted, 30.0)
        return self.holder()

    async def until_silent(self, ms):
        await until(lambda: asyncio.get_running_loop().time() - self.resource.acts[-1].at_seconds > ms / 1000.0, 30.0)

    def close(self):
        for one in self.running.values():
            one.kill()
            one.wait()
        self.proxies.close()
        self.resource.transport.close()


def test_one_holder_at_a_time_while_processes_stop_die_and_lose_contact(tmp_path):
    async def scene():
        peers = Peers(tmp_path)
        await peers.open()
        try:
            await faults(peers)
        finally:
            peers.close()
        accepted = [act for act in peers.resource.acts if act.is_accepted]
        tokens = [act.token for act in accepted]
        assert tokens == sorted(tokens)
        assert len(set(tokens)) == len({(act.name, act.token) for act in accepted}) >= 6
        rejected = [
            act for act in peers.resource.acts if not act.is_accepted
        ]  # of one that was stopped between check and act
        assert {act.name for act in rejected} <= peers.stopped and len(rejected) <= 2 * len(peers.stopped)

    async def faults(peers):
        first = await peers.next_holder()
        peers.running[first].send_signal(signal.SIGSTOP)  # in mid-act or not: another goes on
        peers.stopped = {first}
        second = await peers.next_holder({first})
        peers.running[first].send_signal(signal.SIGCONT)
        assert await peers.next_holder({first}, 20) == second  # and keeps it
        peers.proxies.cut(NAMES, [second])  # it hears nobody and is heard: it stops by itself
        third = await peers.next_holder({second})
        peers.proxies.heal()
        peers.proxies.cut([third], NAMES)  # the other way round
        fourth = await peers.next_holder({third})
        peers.proxies.heal()
        for link in peers.proxies.links.values():
            link.loss_share, link.duplicate_share, link.max_lag_ms = 0.2, 0.3, 60.0
        peers.running[fourth].send_signal(signal.SIGTERM)  # by intent
        fifth = await peers.next_holder({fourth})
        peers.proxies.heal()
        peers.kill(fourth)  # both may be voters: two of three must run
        peers.start(fourth)
        peers.kill(fifth)
        sixth = await peers.next_holder({fifth})
        peers.start(fifth)
        gone = [name for name in VOTERS if name != sixth][:2]
        peers.kill(*gone)  # the majority is gone: nobody may act
        await peers.until_silent(2.0 * TERM_MS)
        peers.start(gone[0])
        back = await peers.next_holder()
        shutil.rmtree(peers.folder / gone[1])  # a voter without its folder learns from the others
        peers.start(gone[1])
        peers.kill(back)
        if back in VOTERS:
            peers.start(back)
        await peers.next_holder({back} if back not in VOTERS else ())

    asyncio.run(scene())
