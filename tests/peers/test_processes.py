"""Five real processes, three of them voters, with faults between them; the taking side keeps a log of its own."""

import asyncio
import json
import shutil
import signal
import subprocess
import sys
from pathlib import Path

from dewpin.lab.fleet.relays import Ways
from dewpin.peers.fencing import FencingGuard
from driver import until

NAMES, VOTERS, TERM = list("abcde"), list("abc"), 800.0
HOLDER = Path(__file__).with_name("holder.py")


class Taker(asyncio.DatagramProtocol):
    """Acts as they arrive: (time, name, number, whether the fence let it through)."""

    def __init__(self, ways):
        self.ways, self.guard, self.acts = ways, FencingGuard(), []

    def connection_made(self, transport):
        self.address = transport.get_extra_info("sockname")
        self.transport = transport

    def datagram_received(self, data, address):
        told = json.loads(data)
        if "at" in told:
            return self.ways.put(told["name"], tuple(told["at"]))
        taken = self.guard.accepts(told["number"])
        self.acts.append((asyncio.get_running_loop().time(), told["name"], told["number"], taken))


class Peers:
    def __init__(self, folder):
        self.folder, self.ways, self.running = folder, Ways(NAMES), {}

    async def open(self):
        await self.ways.open()
        _, self.taker = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Taker(self.ways), ("127.0.0.1", 0)
        )
        for name in NAMES:
            self.start(name, first=True)

    def start(self, name, first=False):
        told = {
            "name": name,
            "peers": self.ways.peers(name),
            "voters": VOTERS,
            "folder": str(self.folder / name),
            "term": TERM,
            "first": first,
            "taker": self.taker.address,
        }
        self.running[name] = subprocess.Popen([sys.executable, str(HOLDER), json.dumps(told)], cwd=HOLDER.parents[2])

    def kill(self, *names):
        for name in names:
            self.running[name].kill()
            self.running[name].wait()

    def holder(self):
        return self.taker.acts[-1][1] if self.taker.acts else None

    async def acts(self, other_than=(), count=5):
        """Waits until one that is not among these acted so many times in a row from now on; gives its name."""
        seen = len(self.taker.acts)

        def now():
            last = self.taker.acts[seen:][-count:]
            return len(last) == count and len({act[1] for act in last}) == 1 and last[0][1] not in other_than

        await until(now, 30.0)
        return self.holder()

    async def silent(self, ms):
        await until(lambda: asyncio.get_running_loop().time() - self.taker.acts[-1][0] > ms / 1000.0, 30.0)

    def close(self):
        for one in self.running.values():
            one.kill()
            one.wait()
        self.ways.close()
        self.taker.transport.close()


def test_one_holder_at_a_time_while_processes_stop_die_and_lose_contact(tmp_path):
    async def scene():
        peers = Peers(tmp_path)
        await peers.open()
        try:
            await faults(peers)
        finally:
            peers.close()
        taken = [act for act in peers.taker.acts if act[3]]
        assert [act[2] for act in taken] == sorted(act[2] for act in taken)
        assert len({act[2] for act in taken}) == len({(act[1], act[2]) for act in taken}) >= 6
        late = [act for act in peers.taker.acts if not act[3]]  # of one that was stopped between check and act
        assert {act[1] for act in late} <= peers.stopped and len(late) <= 2 * len(peers.stopped)

    async def faults(peers):
        first = await peers.acts()
        peers.running[first].send_signal(signal.SIGSTOP)  # in mid-act or not: another goes on
        peers.stopped = {first}
        second = await peers.acts({first})
        peers.running[first].send_signal(signal.SIGCONT)
        assert await peers.acts({first}, 20) == second  # and keeps it
        peers.ways.cut(NAMES, [second])  # it hears nobody and is heard: it stops by itself
        third = await peers.acts({second})
        peers.ways.heal()
        peers.ways.cut([third], NAMES)  # the other way round
        fourth = await peers.acts({third})
        peers.ways.heal()
        for way in peers.ways.ways.values():
            way.loses, way.doubles, way.lag = 0.2, 0.3, 60.0
        peers.running[fourth].send_signal(signal.SIGTERM)  # by intent
        fifth = await peers.acts({fourth})
        peers.ways.heal()
        peers.kill(fourth)  # both may be voters: two of three must run
        peers.start(fourth)
        peers.kill(fifth)
        sixth = await peers.acts({fifth})
        peers.start(fifth)
        gone = [name for name in VOTERS if name != sixth][:2]
        peers.kill(*gone)  # the majority is gone: nobody may act
        await peers.silent(2.0 * TERM)
        peers.start(gone[0])
        back = await peers.acts()
        shutil.rmtree(peers.folder / gone[1])  # a voter without its folder learns from the others
        peers.start(gone[1])
        peers.kill(back)
        if back in VOTERS:
            peers.start(back)
        await peers.acts({back} if back not in VOTERS else ())

    asyncio.run(scene())
