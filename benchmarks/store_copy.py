"""Measures how long the stores take to copy their data after a view change, under traffic.

    python benchmarks/store_copy.py [--turns 1000] [--change wipe|add|retire] [--stores 3] [--losses 1] [--rate 40]
                                    [--bodies hex|text|random]

Each store is a process of its own with a real disk and real sockets. Fills the disks, sends the stores the new view as
the control plane does, and prints a JSON object: the time until all stores of the next view are synced, the
processor time of all stores in that time, the bytes sent between stores and their transmission time on a link of
600 Mbit/s, the latency of concurrent appends, and the largest memory of a store process. The time to detect a loss and
to agree on the change is not included. `--bodies`: hexadecimal digits, words as in a conversation, or incompressible
bytes. With `--change rest` or `--change traffic` the view stays, and the processor time of all stores over twenty
seconds is measured.
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
FILL_BATCH = 2000
CHANGE_TIMEOUT_S = 900.0
UNCHANGED_S = 20.0
RETAIN_MS = 3_600_000
TEXT_BYTES = 3_000_000


def count_bytes_sent():
    """Count the bytes that this process sends on compressed connections; return a list with the count."""
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
    """Return the peak resident memory since the start of this process; `getrusage` would include the parent's."""
    status = Path("/proc/self/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def run_store(folder, port, count):
    """Run the process of one store."""
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
    """Return a body of `length` bytes, which is half of a turn."""
    if kind == "hex":
        return rng.randbytes(length // 2).hex().encode()
    if kind == "random":
        return rng.randbytes(length)
    text = make_text()
    first = rng.randrange(len(text) - length)
    return text[first : first + length]


@functools.cache
def make_text():
    """Return text of random words with a Zipf distribution."""
    rng = random.Random(2)
    words = ["".join(rng.choices("etaoinshrdlucmfw", k=rng.randint(2, 9))) for _ in range(5000)]
    weights = [1 / (rank + 1) for rank in range(len(words))]
    return " ".join(rng.choices(words, weights, k=TEXT_BYTES // 6)).encode()


async def fill(storage, member, stable, count, turns, body_bytes, bodies):
    """Write those of `turns` turns that have a replica at `member`, one of the stores in `stable`."""
    rng = random.Random(1)
    view = StoreView(1, tuple(Member(store_id, "") for store_id in stable))
    records = []
    for number in range(turns):
        program = f"program-{number // TURNS_OF_PROGRAM:07}"
        body = make_body(rng, bodies, body_bytes // 2)
        if member not in view.stable_replicas(program, count):
            continue
        previous = f"turn-{number - 1:08}" if number % TURNS_OF_PROGRAM else None
        records.append(TurnRecord(f"turn-{number:08}", program, previous, RETAIN_MS, body, body))
    now_ms = int(time.time() * 1000)
    for first in range(0, len(records), FILL_BATCH):
        batch = records[first : first + FILL_BATCH]
        await storage.transact(lambda connection, batch=batch: turn_table.put(connection, batch, now_ms, 0))
    programs = sorted({record.program for record in records})
    await storage.transact(lambda connection: fill_ledgers(connection, programs, now_ms))


def fill_ledgers(connection, programs, now_ms):
    """Write a ledger replica for each program."""
    for program in programs:
        ledger_replica.accept(connection, program, Ballot(now_ms, "filler"), {"spent": 500, "open": {}}, None, now_ms)


class StoreProcesses:
    """The processes of all stores, and the calls that control them."""

    def __init__(self, root, stores, losses):
        self.replicas = 2 * losses + 1
        self.folders = [root / f"store-{index}" for index in range(stores)]
        self.members = []
        self.processes = []
        self.client = RpcClient()

    async def fill(self, stable, turns, body_bytes, bodies):
        """Create the disks; the first `stable` stores hold the turns."""
        storages = [Storage(folder) for folder in self.folders]
        ids = [storage.incarnation for storage in storages]
        for storage in storages[:stable]:
            await fill(storage, storage.incarnation, ids[:stable], self.replicas, turns, body_bytes, bodies)
        for storage in storages:
            storage.close()
        self.members = [Member(store_id, f"127.0.0.1:{FIRST_PORT + index}") for index, store_id in enumerate(ids)]

    def start(self):
        context = multiprocessing.get_context("spawn")
        for number, folder in enumerate(self.folders):
            arguments = (str(folder), FIRST_PORT + number, self.replicas)
            self.processes.append(context.Process(target=run_store, args=arguments, daemon=True))
            self.processes[-1].start()

    def stop(self):
        for process in self.processes:
            process.kill()

    async def send_view(self, view, members):
        for member in members:
            while True:
                try:
                    await self.client.call(member.address, {"type": "adopt", "view": view.to_json()}, 5.0)
                    break
                except RpcError:
                    await asyncio.sleep(0.1)

    async def read_states(self, members):
        calls = [self.client.call(member.address, {"type": "state"}, 30.0) for member in members]
        return await asyncio.gather(*calls)

    async def wait_until_synced(self, epoch, members):
        end_s = time.monotonic() + CHANGE_TIMEOUT_S
        while time.monotonic() < end_s:
            if all(epoch in state["synced"] for state in await self.read_states(members)):
                return
            await asyncio.sleep(0.02)
        raise TimeoutError("the stores of the next view did not sync in time")


class Traffic:
    """Appends turns at a fixed rate until the process ends; records the latency of each append."""

    def __init__(self, view, count, rate):
        self.client = StoreClient(RpcClient(), count)
        self.client.adopt(view)
        self.rate = rate
        self.latencies_s = []
        self.tasks = set()
        self.task = asyncio.ensure_future(self.run()) if rate else None

    async def run(self):
        number = 0
        while True:
            number += 1
            task = asyncio.ensure_future(self.append(number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1.0 / self.rate)

    async def append(self, number):
        start_s = time.monotonic()
        turn = Turn(f"new-{number}", f"new-{number % 50}", None, b"x" * 500, b"y" * 800, 3600.0)
        await self.client.store_turn(turn, 10.0)
        self.latencies_s.append(time.monotonic() - start_s)

    def worst_ms(self):
        return round(1000 * max(self.latencies_s, default=0.0))

    def latency_quantile_ms(self, share):
        """Return a quantile of the append latencies in ms; 0 without appends."""
        ordered = sorted(self.latencies_s)
        return round(1000 * ordered[int(share * (len(ordered) - 1))]) if ordered else 0


def views(change, members, stores):
    """Return the stable members, the next members (None for no change) and the failed members."""
    if change == "wipe":
        return members[:stores], members[1:], members[:1]
    if change == "add":
        return members[:stores], members, []
    if change == "retire":
        return members[: stores + 1], members[1:], []
    return members[:stores], None, []


async def measure(root, turns, change, stores, losses, rate, body_bytes, bodies):
    spare = 0 if change in ("rest", "traffic") else 1
    store_processes = StoreProcesses(root, stores + spare, losses)
    stable, next_members, failed = views(change, list(range(stores + spare)), stores)
    await store_processes.fill(len(stable), turns, body_bytes, bodies)
    store_processes.start()
    stable, failed = (
        [store_processes.members[index] for index in stable],
        [store_processes.members[index] for index in failed],
    )
    view = StoreView(1, tuple(stable))
    try:
        await store_processes.send_view(view, store_processes.members)
        traffic = Traffic(view, store_processes.replicas, rate if change != "rest" else 0)
        await asyncio.sleep(3.0)
        if next_members is None:
            return await measure_unchanged(store_processes, traffic, turns)
        next_members = [store_processes.members[index] for index in next_members]
        for member in failed:
            store_processes.processes[store_processes.members.index(member)].kill()
        alive = [member for member in store_processes.members if member not in failed]
        changed_view = StoreView(2, tuple(stable), tuple(next_members))
        before = await store_processes.read_states(alive)
        traffic.latencies_s.clear()
        start_s = time.monotonic()
        await store_processes.send_view(changed_view, alive)
        await store_processes.wait_until_synced(2, next_members)
        copied_s = time.monotonic() - start_s
        load_average = os.getloadavg()[0]
        after = await store_processes.read_states(alive)
        cpu_by_store_s = [b["cpu_s"] - a["cpu_s"] for a, b in zip(before, after, strict=True)]
        sent_bytes = sum(state["sent"] for state in after) - sum(state["sent"] for state in before)
        return {
            "turns": turns,
            "bodies": bodies,
            "change": change,
            "stores": stores,
            "losses": losses,
            "copied_s": round(copied_s, 2),
            "cpu_s": round(sum(cpu_by_store_s), 2),
            "busiest_cpu_s": round(max(cpu_by_store_s), 2),
            "sent_mb": round(sent_bytes / 1e6, 1),
            "link_s": round(sent_bytes / LINK_BYTES_PER_S, 2),
            "append_p50_ms": traffic.latency_quantile_ms(0.5),
            "append_p99_ms": traffic.latency_quantile_ms(0.99),
            "worst_append_ms": traffic.worst_ms(),
            "memory_mb": round(max(state["memory"] for state in after) / 1e6),
            "load": round(load_average),
            "disk_mb": round(sum(file.stat().st_size for file in store_processes.folders[1].iterdir()) / 1e6),
        }
    finally:
        store_processes.stop()


async def measure_unchanged(store_processes, traffic, turns):
    """Measure the processor time of all stores while the view does not change."""
    before, appended = await store_processes.read_states(store_processes.members), len(traffic.latencies_s)
    await asyncio.sleep(UNCHANGED_S)
    after = await store_processes.read_states(store_processes.members)
    return {
        "turns": turns,
        "appended": len(traffic.latencies_s) - appended,
        "cpu_ms_each_s": round(
            1000 * sum(b["cpu_s"] - a["cpu_s"] for a, b in zip(before, after, strict=True)) / UNCHANGED_S, 2
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
    """Measure one change and print its figures."""
    with tempfile.TemporaryDirectory() as root:
        measurement = measure(Path(root), turns, change, stores, losses, rate, body_bytes, bodies)
        figures = asyncio.run(measurement)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
