"""How long the stores need for a change of their view: a process for each store, real disks, real sockets, traffic.

    python benchmarks/store_copy.py [--turns 1000] [--change wipe|add|retire] [--stores 3] [--losses 1] [--rate 40]
                                    [--bodies hex|text|random]

Fills the disks, leads the view through the change as the register's owner does, and prints a line of JSON: the time
until every next store has copied, processor time of all stores over that time, bytes between stores, and the time that
these take on a link of 600 Mbit/s, how long the appends beside took, and the largest memory of a store's process. The
time to notice a loss and to agree on the change comes on top. `--bodies`: hexadecimal digits, words as in a
conversation, or bytes that no compression makes shorter. With
`--change rest` or `--change traffic` nothing changes: the processor time of all stores over twenty seconds.
"""

import asyncio
import functools
import json
import multiprocessing
import os
import random
import resource
import tempfile
import time
from pathlib import Path

import click

from dewpin.cluster.compression import CompressedOutput
from dewpin.cluster.rpc import RpcClient, RpcError, RpcServer
from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_view import Member, StoreView
from dewpin.consensus import Ballot
from dewpin.controlplane.storage import Storage
from dewpin.controlplane.store import ledger_replica, turn_table
from dewpin.controlplane.store.replica_sync import StoreSync
from dewpin.controlplane.store.store import Store
from dewpin.dataplane.programs.program_store import Turn
from dewpin.dataplane.programs.store_client import StoreClient

FIRST_PORT = 21700
LINK_BYTES_PER_S = 600e6 / 8
TURNS_OF_PROGRAM = 20
FILL_STEP = 2000
CHANGE_TIMEOUT_S = 900.0
WATCH_S = 20.0
RETAIN_MS = 3_600_000
TEXT_BYTES = 3_000_000


def count_bytes_sent():
    """Count the bytes that this process's compressed connections carry."""
    sent = [0]
    encode = CompressedOutput.encode

    def counting(self, frame):
        compressed = encode(self, frame)
        sent[0] += len(compressed)
        return compressed

    CompressedOutput.encode = counting
    return sent


def cpu_s():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def peak_memory_bytes():
    """The most memory that this process had resident since it was started; that of `getrusage` has the parent's too."""
    status = Path("/proc/self/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def run_store(folder, port, count):
    """The process of one store."""
    sent = count_bytes_sent()

    async def serve():
        storage = Storage(folder)
        client = RpcClient()
        store = Store(storage, storage.incarnation, count, on_view=lambda view: sync.start(view))
        synced = []
        sync = StoreSync(store, client, synced.append)

        async def on_adopt(message):
            store.adopt(StoreView.from_json(message["view"]))
            return {"type": "adopted"}

        async def on_state(message):
            figures = {"cpu_s": cpu_s(), "sent": sent[0], "memory": peak_memory_bytes()}
            return {"type": "state", "synced": synced, **figures}

        server = RpcServer({**store.handlers, "adopt": on_adopt, "state": on_state})
        await server.start("127.0.0.1", port)
        await asyncio.Event().wait()

    asyncio.run(serve())


def make_body(rng, kind, length):
    """Half a turn's bodies."""
    if kind == "hex":
        return rng.randbytes(length // 2).hex().encode()
    if kind == "random":
        return rng.randbytes(length)
    text = make_text()
    first = rng.randrange(len(text) - length)
    return text[first : first + length]


@functools.cache
def make_text():
    """Words of a small language, the frequent ones many."""
    rng = random.Random(2)
    words = ["".join(rng.choices("etaoinshrdlucmfw", k=rng.randint(2, 9))) for _ in range(5000)]
    weights = [1 / (rank + 1) for rank in range(len(words))]
    return " ".join(rng.choices(words, weights, k=TEXT_BYTES // 6)).encode()


async def fill(storage, member, stable, count, turns, body_bytes, bodies):
    """Write those of `turns` turns that the member holds among `stable`."""
    rng = random.Random(1)
    view = StoreView(1, tuple(Member(one, "") for one in stable))
    records = []
    for number in range(turns):
        program = f"program-{number // TURNS_OF_PROGRAM:07}"
        body = make_body(rng, bodies, body_bytes // 2)
        if member not in view.stable_replicas(program, count):
            continue
        previous = f"turn-{number - 1:08}" if number % TURNS_OF_PROGRAM else None
        records.append(TurnRecord(f"turn-{number:08}", program, previous, RETAIN_MS, body, body))
    now_ms = int(time.time() * 1000)
    for first in range(0, len(records), FILL_STEP):
        some = records[first : first + FILL_STEP]
        await storage.transact(lambda connection, some=some: turn_table.put(connection, some, now_ms, 0))
    programs = sorted({record.program for record in records})
    await storage.transact(lambda connection: fill_ledgers(connection, programs, now_ms))


def fill_ledgers(connection, programs, now_ms):
    """Write a ledger for each program."""
    for program in programs:
        ledger_replica.accept(connection, program, Ballot(now_ms, "filler"), {"spent": 500, "open": {}}, None, now_ms)


class Stores:
    """The processes of all stores, and the calls that lead them."""

    def __init__(self, root, number, losses):
        self.count = 2 * losses + 1
        self.folders = [root / f"store-{one}" for one in range(number)]
        self.members = []
        self.processes = []
        self.client = RpcClient()

    async def fill(self, stable, turns, body_bytes, bodies):
        """Make the disks; the first `stable` stores hold the turns."""
        storages = [Storage(folder) for folder in self.folders]
        ids = [storage.incarnation for storage in storages]
        for storage in storages[:stable]:
            await fill(storage, storage.incarnation, ids[:stable], self.count, turns, body_bytes, bodies)
        for storage in storages:
            storage.close()
        self.members = [Member(one, f"127.0.0.1:{FIRST_PORT + number}") for number, one in enumerate(ids)]

    def start(self):
        context = multiprocessing.get_context("spawn")
        for number, folder in enumerate(self.folders):
            arguments = (str(folder), FIRST_PORT + number, self.count)
            self.processes.append(context.Process(target=run_store, args=arguments, daemon=True))
            self.processes[-1].start()

    def stop(self):
        for process in self.processes:
            process.kill()

    async def tell(self, view, members):
        for member in members:
            while True:
                try:
                    await self.client.call(member.address, {"type": "adopt", "view": view.to_json()}, 5.0)
                    break
                except RpcError:
                    await asyncio.sleep(0.1)

    async def states(self, members):
        calls = [self.client.call(member.address, {"type": "state"}, 30.0) for member in members]
        return await asyncio.gather(*calls)

    async def until_synced(self, epoch, members):
        end_s = time.monotonic() + CHANGE_TIMEOUT_S
        while time.monotonic() < end_s:
            if all(epoch in state["synced"] for state in await self.states(members)):
                return
            await asyncio.sleep(0.02)
        raise TimeoutError("the copy did not end")


class Traffic:
    """Appends at a rate, until stopped; notes how long each took."""

    def __init__(self, view, count, rate):
        self.client = StoreClient(RpcClient(), count)
        self.client.adopt(view)
        self.rate = rate
        self.took_s = []
        self.tasks = set()
        self.loop = asyncio.ensure_future(self.run()) if rate else None

    async def run(self):
        number = 0
        while True:
            number += 1
            task = asyncio.ensure_future(self.append(number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1.0 / self.rate)

    async def append(self, number):
        began_s = time.monotonic()
        turn = Turn(f"new-{number}", f"new-{number % 50}", None, b"x" * 500, b"y" * 800, 3600.0)
        await self.client.store_turn(turn, 10.0)
        self.took_s.append(time.monotonic() - began_s)

    def worst_ms(self):
        return round(1000 * max(self.took_s, default=0.0))

    def at_most_ms(self, share):
        """What that share of the appends took at most, in ms."""
        ordered = sorted(self.took_s)
        return round(1000 * ordered[int(share * (len(ordered) - 1))]) if ordered else 0


def views(change, members, stores):
    """Stable and next members, and those of them that are dead."""
    if change == "wipe":
        return members[:stores], members[1:], members[:1]
    if change == "add":
        return members[:stores], members, []
    if change == "retire":
        return members[: stores + 1], members[1:], []
    return members[:stores], None, []


async def play(root, turns, change, stores, losses, rate, body_bytes, bodies):
    spare = 0 if change in ("rest", "traffic") else 1
    fleet = Stores(root, stores + spare, losses)
    stable, following, dead = views(change, list(range(stores + spare)), stores)
    await fleet.fill(len(stable), turns, body_bytes, bodies)
    fleet.start()
    stable, dead = [fleet.members[one] for one in stable], [fleet.members[one] for one in dead]
    view = StoreView(1, tuple(stable))
    try:
        await fleet.tell(view, fleet.members)
        traffic = Traffic(view, fleet.count, rate if change != "rest" else 0)
        await asyncio.sleep(3.0)
        if following is None:
            return await watch(fleet, traffic, turns)
        following = [fleet.members[one] for one in following]
        for one in dead:
            fleet.processes[fleet.members.index(one)].kill()
        alive = [member for member in fleet.members if member not in dead]
        changing = StoreView(2, tuple(stable), tuple(following))
        before = await fleet.states(alive)
        traffic.took_s.clear()
        began_s = time.monotonic()
        await fleet.tell(changing, alive)
        await fleet.until_synced(2, following)
        took_s = time.monotonic() - began_s
        load = os.getloadavg()[0]
        after = await fleet.states(alive)
        cpu = [b["cpu_s"] - a["cpu_s"] for a, b in zip(before, after, strict=True)]
        sent = sum(state["sent"] for state in after) - sum(state["sent"] for state in before)
        return {
            "turns": turns,
            "bodies": bodies,
            "change": change,
            "stores": stores,
            "losses": losses,
            "copied_s": round(took_s, 2),
            "cpu_s": round(sum(cpu), 2),
            "busiest_cpu_s": round(max(cpu), 2),
            "sent_mb": round(sent / 1e6, 1),
            "link_s": round(sent / LINK_BYTES_PER_S, 2),
            "append_p50_ms": traffic.at_most_ms(0.5),
            "append_p99_ms": traffic.at_most_ms(0.99),
            "worst_append_ms": traffic.worst_ms(),
            "memory_mb": round(max(state["memory"] for state in after) / 1e6),
            "load": round(load),
            "disk_mb": round(sum(file.stat().st_size for file in fleet.folders[1].iterdir()) / 1e6),
        }
    finally:
        fleet.stop()


async def watch(fleet, traffic, turns):
    """The processor time of all stores while the view stays."""
    before, appended = await fleet.states(fleet.members), len(traffic.took_s)
    await asyncio.sleep(WATCH_S)
    after = await fleet.states(fleet.members)
    return {
        "turns": turns,
        "appended": len(traffic.took_s) - appended,
        "cpu_ms_each_s": round(
            1000 * sum(b["cpu_s"] - a["cpu_s"] for a, b in zip(before, after, strict=True)) / WATCH_S, 2
        ),
        "sent_mb": round(sum(b["sent"] - a["sent"] for a, b in zip(before, after, strict=True)) / 1e6, 2),
        "worst_append_ms": traffic.worst_ms(),
    }


@click.command()
@click.option("--turns", default=1000)
@click.option("--change", default="wipe", type=click.Choice(["wipe", "add", "retire", "rest", "traffic"]))
@click.option("--stores", default=3)
@click.option("--losses", default=1)
@click.option("--rate", default=40.0)
@click.option("--body-bytes", default=1300)
@click.option("--bodies", default="hex", type=click.Choice(["hex", "text", "random"]))
def main(turns, change, stores, losses, rate, body_bytes, bodies):
    """Play one change and print its figures."""
    with tempfile.TemporaryDirectory() as root:
        played = play(Path(root), turns, change, stores, losses, rate, body_bytes, bodies)
        figures = asyncio.run(played)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
