"""Control state: the system state with its configuration, the list of receivers, leases, and the choice of stores."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import time
from contextlib import AsyncExitStack

from benchmarks.capacity import shapes
from benchmarks.capacity.series import Effort, Series, sample
from benchmarks.capacity.timing import MICROSECONDS, free_port, in_fresh_process, processor_us_per_call, resident_bytes
from dewpin.cluster.configuration import parse_configuration
from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.placement import replicas
from dewpin.cluster.receivers import DirectoryVersion, ReceiverDirectory, receiver_from_platform, receiver_from_record
from dewpin.cluster.rpc import RpcClient, RpcServer
from dewpin.controlplane.leases import LeaseTable
from dewpin.controlplane.peers import PeerRecord
from dewpin.controlplane.register import SystemRegister
from dewpin.controlplane.storage import Storage
from dewpin.controlplane.system_state import SystemState, digest_of, genesis, put_configuration

STATE = "dewpin/controlplane/system_state.py"
RECEIVERS_MODULE = "dewpin/cluster/receivers.py"
LEASES_MODULE = "dewpin/controlplane/leases.py"
REGISTER = "dewpin/controlplane/register.py, dewpin/consensus"
ROUTES = (50, 200, 500, 1_000, 2_000)
RECEIVERS = (30, 100, 300, 800)
SENDERS = (30, 100, 350, 1_000)
KEEPERS = (3, 5, 9, 15)
STORES = (3, 9, 30, 90)
ACCEPTED = (0, 250, 500, 1_000, 2_000)
REGISTER_MEMBERS = 5
REGISTER_ROUTES = (50, 500, 1_000, 2_000)
RENEWAL_S = 2.8
LEASE_S = 42.0
ONCE = Effort(seconds=0, repeats=1)


def system_state(routes: int, accepted: int = 0) -> SystemState:
    """A system state whose configuration has so many routes, after so many accepted changes."""
    members = {f"{number:016x}": f"10.0.{number}.4:7380" for number in range(REGISTER_MEMBERS)}
    state = genesis(members, {member: f"core-{member[-2:]}" for member in members})
    state = put_configuration(shapes.configuration(routes), 7, 0)(state)
    entries: list[list[int | str]] = [[number, digest_of(b"", number)] for number in range(accepted)]
    state["accepted"] = entries
    return state


def state_news(state: SystemState) -> bytes:
    """The frame by which a relay tells a sender a new state."""
    return encode({"v": 1, "r": 1, "m": {"type": "relay.news", "list_age_s": 0.1, "state": state}})


def state_bytes(_: Effort) -> Series:
    """Bytes of the frame that brings a new system state, by the routes of its configuration."""
    points = sample(ROUTES, ONCE, lambda routes: float(len(state_news(system_state(routes)))))
    return Series("state-bytes", "bytes of the system state on the wire", STATE, "routes", "bytes", "B", points)


def accepted_bytes(_: Effort) -> Series:
    """Bytes that the remembered changes add to the system state."""
    points = sample(ACCEPTED, ONCE, lambda accepted: float(len(state_news(system_state(0, accepted)))))
    return Series(
        "accepted-bytes",
        "bytes of the system state on the wire, without routes",
        STATE,
        "changes remembered",
        "bytes",
        "B",
        points,
    )


def state_send(effort: Effort) -> Series:
    """Processor time to make the frame of a state, once for each child in the relay tree."""

    def at(routes: int) -> float:
        state = system_state(routes)
        return processor_us_per_call(lambda: state_news(state), effort.seconds)

    return Series(
        "state-send",
        "make the message with a whole system state",
        "dewpin/cluster/netstring.py",
        "routes",
        "processor time a message",
        "µs",
        sample(ROUTES, effort, at),
    )


def state_take(effort: Effort) -> Series:
    """Processor time of a sender to take up a state: decode its frame, read and check the configuration."""

    def at(routes: int) -> float:
        frame = state_news(system_state(routes))

        def take() -> None:
            state = Decoder().feed(frame)[0]["m"]["state"]
            parse_configuration(state["configuration"]["body"].encode())

        return processor_us_per_call(take, effort.seconds)

    return Series(
        "state-take",
        "take up a system state: decode, read and check the configuration",
        "dewpin/cluster/configuration, netstring.py",
        "routes",
        "processor time a state",
        "µs",
        sample(ROUTES, effort, at),
    )


def configuration_bytes(_: Effort) -> Series:
    """Bytes of a configuration as the operator sends it, by its routes."""
    points = sample(ROUTES, ONCE, lambda routes: float(len(shapes.configuration(routes))))
    return Series(
        "configuration-bytes",
        "bytes of a whole configuration as the operator sends it",
        "made-up routes of the protocol's shape",
        "routes",
        "bytes of a configuration",
        "B",
        points,
    )


def resident_of_sender(routes: int) -> float:
    """Resident bytes of a sender's modules with a state and its parsed configuration; run in a process of its own."""
    import dewpin.dataplane.__main__  # noqa: F401

    state = system_state(routes)
    held = parse_configuration(shapes.configuration(routes))
    return float(resident_bytes()) if held.generation and state["version"] else 0.0


def sender_memory(effort: Effort) -> Series:
    """Memory of a sender's process with a configuration, by its routes."""
    return Series(
        "sender-memory",
        "memory of a sender's modules with a system state and its parsed configuration",
        "dewpin/dataplane, dewpin/cluster/configuration",
        "routes",
        "resident memory",
        "B",
        sample(ROUTES, effort, lambda routes: in_fresh_process(resident_of_sender, routes)),
    )


def resident_of_keeper(routes: int) -> float:
    """Resident bytes of a keeper's modules with a system state; run in a process of its own."""
    import dewpin.controlplane.__main__  # noqa: F401

    state = system_state(routes)
    return float(resident_bytes()) if state["version"] else 0.0


def keeper_memory(effort: Effort) -> Series:
    """Memory of a keeper's process with a system state, by its routes."""
    return Series(
        "keeper-memory",
        "memory of a keeper's modules with a system state",
        "dewpin/controlplane",
        "routes",
        "resident memory",
        "B",
        sample(ROUTES, effort, lambda routes: in_fresh_process(resident_of_keeper, routes)),
    )


def directory(entries: int) -> ReceiverDirectory:
    """A directory of so many receivers, as a reader of the platform's list makes it."""
    held = ReceiverDirectory()
    held.take_reading([receiver_from_platform(shapes.receiver(number)) for number in range(entries)], "reader")
    return held


def receivers_news(held: ReceiverDirectory) -> bytes:
    """The frame by which a relay tells a sender the receivers."""
    news = {"type": "relay.news", "receivers": held.records(), "receivers_version": held.version}
    return encode({"v": 1, "r": 1, "m": news})


def take_receivers(frame: bytes) -> ReceiverDirectory:
    """What a sender does with that frame."""
    news = Decoder().feed(frame)[0]["m"]
    counter, reader = news["receivers_version"]
    held = ReceiverDirectory()
    held.take_copy(DirectoryVersion(counter, reader), [receiver_from_record(record) for record in news["receivers"]])
    held.by_service()
    return held


def receiver_bytes(_: Effort) -> Series:
    """Bytes of the frame with all receivers."""
    points = sample(RECEIVERS, ONCE, lambda entries: float(len(receivers_news(directory(entries)))))
    return Series(
        "receiver-bytes",
        "bytes of the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        "bytes of a message",
        "B",
        points,
    )


def receiver_send(effort: Effort) -> Series:
    """Processor time to make the message with all receivers, once for each child in the relay tree."""

    def at(entries: int) -> float:
        held = directory(entries)
        return processor_us_per_call(lambda: receivers_news(held), effort.seconds)

    return Series(
        "receiver-send",
        "make the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        "processor time a message",
        "µs",
        sample(RECEIVERS, effort, at),
    )


def receiver_take(effort: Effort) -> Series:
    """Processor time of a sender to take all receivers up."""

    def at(entries: int) -> float:
        frame = receivers_news(directory(entries))
        return processor_us_per_call(lambda: take_receivers(frame), effort.seconds)

    return Series(
        "receiver-take",
        "take up the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        "processor time a message",
        "µs",
        sample(RECEIVERS, effort, at),
    )


def list_read(effort: Effort) -> Series:
    """Processor time of a reader to parse the platform's list and merge it, when nothing has changed."""

    def at(entries: int) -> float:
        body = json.dumps({"instances": [shapes.receiver(number) for number in range(entries)]}).encode()
        held = directory(entries)

        def read() -> None:
            held.take_reading([receiver_from_platform(one) for one in json.loads(body)["instances"]], "reader")

        return processor_us_per_call(read, effort.seconds)

    return Series(
        "list-read",
        "parse and merge the platform's list, unchanged (without its HTTP)",
        RECEIVERS_MODULE,
        "receivers",
        "processor time a reading",
        "µs",
        sample(RECEIVERS, effort, at),
    )


def resident_with_receivers(entries: int) -> float:
    """Resident bytes of a process that holds the receivers; run in a process of its own."""
    held = take_receivers(receivers_news(directory(entries)))
    return float(resident_bytes()) if held.receivers else 0.0


def receiver_memory(effort: Effort) -> Series:
    """Memory of the receivers held."""
    return Series(
        "receiver-memory",
        "memory of a process with all receivers, before and after the wire",
        RECEIVERS_MODULE,
        "receivers",
        "resident memory",
        "B",
        sample(RECEIVERS, effort, lambda entries: in_fresh_process(resident_with_receivers, entries)),
    )


def lease_bytes(_: Effort) -> Series:
    """Bytes of the lease records of so many senders, as JSON."""
    points = sample(
        SENDERS, ONCE, lambda senders: float(sum(len(shapes.encode(shapes.lease(one))) for one in range(senders)))
    )
    return Series(
        "lease-bytes", "bytes of all lease records, as JSON", "stand-in", "senders", "bytes of records", "B", points
    )


def lease_renew(effort: Effort) -> Series:
    """Processor time of a keeper to renew one lease and find its sender's place in the relay tree."""

    def at(senders: int) -> float:
        table = LeaseTable(RENEWAL_S)
        names = [f"sender-{number:04d}/{number:012x}" for number in range(senders)]
        for number, name in enumerate(names):
            table.renew(name, f"10.0.{number // 250}.{number % 250}:7381", "zone", 0.0)

        def renew() -> None:
            table.renew(names[0], "10.0.0.0:7381", "zone", 1.0)
            table.parents(names[0], 1.0)
            table.live(1.0)

        return processor_us_per_call(renew, effort.seconds)

    return Series(
        "lease-renew",
        "renew a lease and find its sender's parents",
        LEASES_MODULE,
        "senders",
        "processor time a renewal",
        "µs",
        sample(SENDERS, effort, at),
    )


def lease_answer_bytes(_: Effort) -> Series:
    """Bytes of the answer to a renewal, by the keepers it names."""

    def at(keepers: int) -> float:
        answer = {
            "type": "lease.granted",
            "duration_s": LEASE_S,
            "state_version": 851,
            "receivers_version": [4711, "0123456789abcdef"],
            "list_age_s": 0.123456789012,
            "parents": [f"10.0.{number}.9:7381" for number in range(4)],
            "keepers": [f"10.0.{number}.4:7380" for number in range(keepers)],
            "senders": 350,
        }
        return float(len(encode({"v": 1, "r": 12345, "m": answer})))

    return Series(
        "lease-answer-bytes",
        "bytes of a renewal's answer",
        "the shape of dewpin/controlplane/keeper.py",
        "keepers named",
        "bytes of an answer",
        "B",
        sample(KEEPERS, ONCE, at),
    )


def hello_bytes(_: Effort) -> Series:
    """Bytes of one greeting between keepers, both ways, when nothing is new, by those that greet each other."""
    record = PeerRecord(
        id="0123456789abcdef",
        name="core-zone-1-1",
        address="10.0.1.4:7380",
        control=True,
        store=False,
        version=851,
        synced_epoch=17,
        leaving=False,
        bootstrap=True,
        list_fails=False,
    )
    version = [4711, "0123456789abcdef"]
    asked = encode({"v": 1, "n": 12345, "m": {"type": "keeper.hello", "from": record, "receivers": version}})
    told = encode({"v": 1, "r": 12345, "m": {"type": "keeper.hello", "from": record, "list_age_s": 0.123456789012}})
    points = sample(KEEPERS, ONCE, lambda keepers: float(keepers - 1) * (len(asked) + len(told)))
    return Series(
        "hello-bytes",
        "bytes of one round of greetings of a keeper to all others",
        "the shape of dewpin/controlplane/keeper.py",
        "keepers",
        "bytes a round",
        "B",
        points,
    )


def rendezvous(effort: Effort) -> Series:
    """Processor time to choose a program's stores, by the stores in the view."""

    def at(count: int) -> float:
        stores = tuple(f"{number:016x}" for number in range(count))
        return processor_us_per_call(lambda: replicas.__wrapped__("3fa81c", stores, 3), effort.seconds)

    return Series(
        "rendezvous",
        "choice of a program's stores, not remembered from before",
        "dewpin/cluster/placement.py",
        "stores",
        "processor time a program",
        "µs",
        sample(STORES, effort, at),
    )


async def change_registers(routes: int, seconds: float) -> tuple[float, float]:
    """Changes of a register of REGISTER_MEMBERS members in one process over loopback, each with its own file.

    Returns the seconds and the processor seconds (all members together) of a change.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            registers = []
            for number in range(REGISTER_MEMBERS):
                storage = Storage(f"{folder}/{number}")
                stack.callback(storage.close)
                client = RpcClient()
                stack.push_async_callback(client.close)
                address = f"127.0.0.1:{free_port()}"
                register = SystemRegister(storage.incarnation, address, storage, client, random.Random(number))
                server = RpcServer(
                    {"register.prepare": register.handle_prepare, "register.accept": register.handle_accept}
                )
                await server.start("127.0.0.1", int(address.rpartition(":")[2]))
                stack.push_async_callback(server.stop)
                registers.append(register)
            members = {register.member: register.address for register in registers}
            first = genesis(members, {member: member for member in members})
            for register in registers:
                await register.load()
                await register.begin(first)
            body = shapes.configuration(routes)
            generation = 1
            await registers[0].propose(put_configuration(body, generation, 0), 10.0)
            start, used = time.perf_counter(), time.process_time()
            while time.perf_counter() < start + seconds:
                await registers[0].propose(put_configuration(body, generation + 1, generation), 10.0)
                generation += 1
            changes = max(generation - 1, 1)
            return (time.perf_counter() - start) / changes, (time.process_time() - used) / changes


def register_change(effort: Effort) -> Series:
    """Time of a change of the register, by the routes of the configuration in it."""

    def at(routes: int) -> float:
        return asyncio.run(change_registers(routes, effort.seconds))[0] * MICROSECONDS

    return Series(
        "register-change",
        f"a change of the register of {REGISTER_MEMBERS} members in one process, each with its file",
        REGISTER,
        "routes",
        "time a change",
        "µs",
        sample(REGISTER_ROUTES, effort, at),
    )


def register_cost(effort: Effort) -> Series:
    """Processor time of a change of the register, all members together."""

    def at(routes: int) -> float:
        return asyncio.run(change_registers(routes, effort.seconds))[1] * MICROSECONDS

    return Series(
        "register-cost",
        f"processor time of a change of the register, all {REGISTER_MEMBERS} members together",
        REGISTER,
        "routes",
        "processor time a change",
        "µs",
        sample(REGISTER_ROUTES, effort, at),
    )
