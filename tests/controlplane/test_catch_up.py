"""Catch-up over slow links, on a fake clock: constant traffic, bodies in pages, no delay of other messages."""

import asyncio
import json

import pytest
from controlplane.control_server_world import World
from scripted.clock import run
from scripted.rated_links import LinkNetwork
from scripted.registers import Registers

from dewpin.cluster.rpc import RpcError
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.membership.peers import ALIVE_WITHIN_S
from dewpin.controlplane.register import configuration_bodies
from dewpin.controlplane.register.configuration_bodies import PAGE_CHARACTERS, ConfigurationBodies
from dewpin.controlplane.register.messages import BODY
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import (
    MAX_CHANGES_IN_STATE,
    accepted_change_count,
    initial_state,
    put_configuration,
    successor,
)
from dewpin.controlplane.storage import Storage, StorageDamagedError

TIMEOUT_S = 5.0
RESPONSE_TIMEOUT_S = 0.85
LONG = 4_000_000
CONNECT_TIME_S = 0.5


def body_of(generation, size):
    return json.dumps({"generation": generation, "filling": "x" * size}).encode()


def put(generation, base, size):
    return put_configuration(body_of(generation, size), generation, base)


def read(state):
    return state


async def linked_world():
    world = World()
    world.network = LinkNetwork()
    await world.begin()
    return world


async def stop(world):
    for control_server in world.control_servers.values():
        await control_server.stop()


@pytest.mark.parametrize(
    ("size", "mbit", "most_s"), [(4_096, 15, 0.1), (300_000, 15, 0.5), (LONG, 15, 3.0), (LONG, 86, 1)]
)
def test_restarted_member_catches_up_over_a_slow_link(size, mbit, most_s):
    async def scene():
        world = await linked_world()
        await world.put(1, 7, 0)
        await world.kill(3)
        await world.control_servers[1].register.propose(put(8, 7, size), TIMEOUT_S)
        await asyncio.sleep(0.5)
        world.network.set_rate(mbit)
        await world.start(3)
        assert world.state(3) is None
        elapsed_s = await world.until(lambda: world.generation(3) == 8)
        version = world.newest()["version"]
        await stop(world)
        return elapsed_s, world.network.bytes, world.network.largest, version

    elapsed_s, sent, largest, version = run(scene())
    assert elapsed_s < most_s
    assert sent < size * 1.1 + 100_000, "the body is transferred only once"
    assert largest < PAGE_CHARACTERS + 10_000, "no message blocks the link for long"


def test_heartbeats_arrive_while_a_long_body_is_fetched():
    async def scene():
        world = await linked_world()
        await world.put(1, 7, 0)
        await world.kill(3)
        await world.control_servers[1].register.propose(put(8, 7, LONG), TIMEOUT_S)
        await asyncio.sleep(0.5)
        world.network.set_rate(15)
        before = world.newest()["version"]
        await world.start(3)
        await asyncio.sleep(CONNECT_TIME_S)
        contact_gaps_s = []
        clock = asyncio.get_running_loop().time
        until_s = clock() + TIMEOUT_S
        while world.generation(3) != 8:
            now_s = clock()
            assert now_s < until_s
            third = world.control_servers[3]
            contact_gaps_s += [peer.since_last_received_s(now_s) for peer in third.heartbeats.peers.peers.values()]
            contact_gaps_s += [
                world.control_servers[one].heartbeats.peers.since_last_received_s(third.member, now_s) for one in (1, 2)
            ]
            await asyncio.sleep(0.05)
        await stop(world)
        return max(contact_gaps_s), world.newest()["version"] - before

    longest_s, changes = run(scene())
    assert longest_s < ALIVE_WITHIN_S and changes == 0


def test_restarted_member_is_not_current_before_majority_contact():
    """The configuration on its disk is not current while it runs alone, however long, but is with a second member."""

    async def scene():
        world = await linked_world()
        await world.put(1, 7, 0)
        await world.until(lambda: all(world.generation(one) == 7 for one in (1, 2, 3)))
        await world.kill(1, 2, 3)
        await world.start(3)
        await asyncio.sleep(10.0)
        alone = world.state(3)
        await world.start(2)
        await world.until(lambda: world.generation(3) == 7)
        await stop(world)
        return alone

    assert run(scene()) is None


def test_bytes_of_a_change_do_not_depend_on_earlier_changes():
    async def scene(changes):
        world = await linked_world()
        base = 0
        for generation in range(1, changes + 1):
            await world.control_servers[1].register.propose(put(generation, base, 1000), TIMEOUT_S)
            base = generation
        await asyncio.sleep(2.0)
        world.network.set_rate(86)
        await world.control_servers[1].register.propose(put(base + 1, base, 1000), TIMEOUT_S)
        await world.until(lambda: all(world.generation(one) == base + 1 for one in (1, 2, 3)))
        sent = world.network.bytes
        await stop(world)
        return sent

    after_few, after_many = run(scene(MAX_CHANGES_IN_STATE)), run(scene(5 * MAX_CHANGES_IN_STATE))
    assert after_many < after_few * 1.2


def linked_registers():
    registers = Registers()
    registers.network = LinkNetwork()
    registers.members = {name: registers._member(name) for name in "abc"}
    return registers


def test_member_change_and_read_send_no_body():
    async def scene():
        registers = linked_registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0, 100_000), TIMEOUT_S)
        await asyncio.sleep(0.1)
        registers.network.set_rate(86)
        await registers.members["a"].propose(successor, TIMEOUT_S)
        await registers.members["a"].propose(read, TIMEOUT_S)
        await asyncio.sleep(1.0)
        return registers.network.bytes

    assert run(scene()) < 10_000


def test_member_fetches_the_missing_body_of_an_accepted_value():
    async def scene():
        registers = linked_registers()
        await registers.begin()
        registers.network.cut("c")
        await registers.members["a"].propose(put(7, 0, 100_000), TIMEOUT_S)
        registers.network.restore_links()
        registers.network.down.add("b")
        await registers.members["a"].propose(successor, TIMEOUT_S)
        registers.network.down = {"a"}
        state = await registers.members["c"].propose(read, TIMEOUT_S)
        return state["configuration"]["body"], await registers.disks["c"].query("SELECT body FROM register_bodies")

    body, rows = run(scene())
    assert body.encode() == body_of(7, 100_000) and rows == [(body,)]


def test_interrupted_fetch_continues_at_another_process():
    async def scene():
        registers = linked_registers()
        await registers.begin()
        registers.network.cut("c")
        state = await registers.members["a"].propose(put(7, 0, LONG), TIMEOUT_S)
        await registers.members["b"].propose(read, TIMEOUT_S)
        registers.network.restore_links()
        registers.network.set_rate(86)
        offsets = []

        def on_call(source, target, message):
            if message["type"] == BODY:
                offsets.append((target, message["offset"]))
                if target == "a" and message["offset"] > LONG / 2:
                    raise RpcError("connect", target)

        registers.network.on_call = on_call
        member = registers.members["c"]
        wire = registers.members["a"].to_wire(state, ())
        with pytest.raises(RpcError):
            await member.adopt_chosen(ZERO_BALLOT, wire, "a")
        assert member.chosen["configuration"] is None
        interrupted_offset = offsets[-1][1]
        await member.adopt_chosen(ZERO_BALLOT, wire, "b")
        return member.chosen == state, offsets, interrupted_offset

    is_whole, offsets, interrupted_offset = run(scene())
    assert is_whole
    assert [offset for target, offset in offsets if target == "b"][0] == interrupted_offset > LONG / 2


@pytest.mark.parametrize("answer", [("other", 5), ("x", 1), ("", 5)])
def test_body_with_another_digest_is_rejected(answer):
    class WrongBodyClient:
        async def call(self, address, message, timeout_s):
            return {"type": BODY, "part": answer[0], "length": answer[1]}

    async def scene():
        bodies = ConfigurationBodies(WrongBodyClient())
        state = put(7, 0, PAGE_CHARACTERS)(initial_state({}, {}))
        wire = ConfigurationBodies(WrongBodyClient()).to_wire(state, ())
        with pytest.raises(RpcError):
            await bodies.from_wire(wire, "a")
        return bodies.digests()

    assert run(scene()) == ()


def test_replaced_body_can_still_be_fetched():
    """A peer on a slow link may have fetched half of it when the next configuration is chosen."""

    async def scene():
        registers = linked_registers()
        await registers.begin()
        registers.network.cut("c")
        old = registers.members["a"].to_wire(await registers.members["a"].propose(put(7, 0, LONG), TIMEOUT_S), ())
        await registers.members["a"].propose(put(8, 7, LONG), TIMEOUT_S)
        registers.network.restore_links()
        await registers.members["c"].adopt_chosen(ZERO_BALLOT, old, "a")
        return registers.members["c"].chosen["configuration"]["generation"]

    assert run(scene()) == 7


def test_bodies_in_memory_are_bounded():
    bodies = ConfigurationBodies(None)
    state = initial_state({}, {})
    for generation in range(1, 50):
        state = put(generation, generation - 1, 3_000_000)(state)
        bodies.add(state)
        assert len(bodies.digests()) <= configuration_bodies.MAX_BODIES
        assert sum(map(len, bodies._bodies.values())) <= configuration_bodies.MAX_CHARACTERS


@pytest.mark.parametrize("mbit", [15, 86, 600])
def test_change_of_four_megabytes_is_acknowledged_and_applied_once(mbit):
    """The operator sends it to one control server after the other until one acknowledges it."""

    async def scene():
        world = await linked_world()
        world.network.set_rate(mbit)
        clock = asyncio.get_running_loop().time
        started_s = clock()
        for number in (1, 2, 3, 1, 2, 3):
            try:
                await world.control_servers[number].register.propose(put(7, 0, LONG), RESPONSE_TIMEOUT_S)
                break
            except RegisterUnavailableError:
                await asyncio.sleep(0.2)
        elapsed_s = clock() - started_s
        state = await world.control_servers[3].register.propose(read, TIMEOUT_S)
        await stop(world)
        return elapsed_s, accepted_change_count(state)

    elapsed_s, accepted_count = run(scene())
    assert elapsed_s < 4.0 and accepted_count == 1


# On disk


def test_body_is_stored_once_and_survives_a_restart():
    async def scene():
        registers = Registers()
        await registers.begin()
        for generation in range(1, 6):
            await registers.members["a"].propose(put(generation, generation - 1, 1000), TIMEOUT_S)
        await registers.members["a"].propose(successor, TIMEOUT_S)
        member = await registers.restart("a")
        rows = await registers.disks["a"].query("SELECT digest, body FROM register_bodies")
        values = await registers.disks["a"].query("SELECT value FROM register_replica WHERE key = 'system'")
        return rows, values[0][0], member.newest

    rows, value, state = run(scene())
    assert rows == [(state["configuration"]["digest"], state["configuration"]["body"])]
    assert state["configuration"]["body"].encode() == body_of(5, 1000)
    assert "filling" not in value


def test_body_whose_write_failed_is_written_with_the_next_value():
    async def scene():
        registers = Registers()
        await registers.begin()
        member, disk = registers.members["b"], registers.disks["b"]
        state = put(7, 0, 1000)(registers.initial_state)
        disk.fails = True
        with pytest.raises(RpcError):
            await member.acceptor.handle_accept({"to": "b", "ballot": [5, "a"], "value": state})
        disk.fails = False
        await member.acceptor.handle_accept({"to": "b", "ballot": [6, "a"], "value": successor(state)})
        member = await registers.restart("b")
        return member.newest["configuration"]["body"].encode()

    assert run(scene()) == body_of(7, 1000)


def test_value_of_earlier_release_with_embedded_body_is_read():
    async def scene():
        registers = Registers()
        await registers.begin()
        state = put(7, 0, 1000)(registers.initial_state)
        row = ("system", '[3, "a"]', '[3, "a"]', json.dumps(state))
        sql = "INSERT OR REPLACE INTO register_replica(key, promised, accepted_ballot, value) VALUES (?,?,?,?)"
        await registers.disks["a"].write([(sql, row)])
        return (await registers.restart("a")).newest == state

    assert run(scene())


def test_value_without_its_body_is_a_damaged_disk():
    async def scene():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0, 1000), TIMEOUT_S)
        await registers.disks["a"].write([("DELETE FROM register_bodies", ())])
        with pytest.raises(StorageDamagedError):
            await registers.restart("a")

    run(scene())


def test_files_do_not_grow_with_many_changes(tmp_path):
    """One member with a real database: sizes of the files and number of rows after 60 and after 300 changes."""
    storage = Storage(tmp_path / "data", log=lambda text: None)

    async def scene():
        registers = Registers("a", "a")
        registers.disks["a"] = storage
        registers.members["a"] = registers._member("a")
        await registers.begin()
        sizes = []
        for generation in range(1, 301):
            await registers.members["a"].propose(put(generation, generation - 1, 100_000), TIMEOUT_S)
            if generation in (60, 300):
                await asyncio.sleep(0.05)
                sizes.append({path.name: path.stat().st_size for path in (tmp_path / "data").iterdir()})
        rows = await storage.query("SELECT count(*) FROM register_bodies")
        return sizes, rows

    try:
        (after_few, after_many), rows = asyncio.run(scene())
    finally:
        storage.close()
    assert rows == [(1,)]
    for name, size in after_many.items():
        assert size <= after_few[name] + 50_000, name
