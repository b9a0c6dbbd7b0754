"""The register's driver over an in-memory network: crashes, races, restarts, disks that fail. The clock jumps."""

import asyncio

import pytest
from scripted.clock import run
from scripted.registers import Registers

from dewpin.cluster.rpc import RpcError
from dewpin.consensus.messages import CONFLICT, PROMISE
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import (
    VersionMismatchError,
    put_configuration,
    set_members,
    successor,
)

WAIT_S = 3.0


def put(generation, base, body=b"{}"):
    return put_configuration(body, generation, base)


def read(state):
    return state


def generation_of(state):
    return state["configuration"]["generation"] if state["configuration"] else 0


def only(registers, source, kind, targets):
    """Lets messages of `kind` from `source` reach `targets` only, until it is called off."""

    def on_call(sender, target, message):
        if sender == source and message["type"] == kind and target not in targets:
            raise RpcError("connect", target)

    registers.network.on_call = on_call


def call_off(registers):
    registers.network.on_call = lambda source, target, message: None


def test_chosen_change_is_read_at_every_member():
    async def scene():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), WAIT_S)
        return [generation_of(await member.propose(read, WAIT_S)) for member in registers.members.values()]

    assert run(scene()) == [7, 7, 7]


def test_proposal_without_majority_times_out():
    async def scene():
        registers = Registers()
        await registers.begin()
        registers.network.cut("a")
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(7, 0), WAIT_S)
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(read, WAIT_S)
        return generation_of(await registers.members["b"].propose(read, WAIT_S))

    assert run(scene()) == 0


def test_member_without_state_proposes_nothing():
    async def scene():
        registers = Registers()
        await registers.members["a"].load()
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(read, WAIT_S)

    run(scene())


def test_proposer_crash_between_rounds_leaves_old_value():
    async def scene():
        registers = Registers()
        await registers.begin()
        only(registers, "a", "register.accept", ())
        registers.disks["a"].stalls = False
        task = asyncio.ensure_future(registers.members["a"].propose(put(7, 0), WAIT_S))
        await asyncio.sleep(0.003)
        registers.network.down.add("a")
        task.cancel()
        call_off(registers)
        return generation_of(await registers.members["b"].propose(put(8, 0), WAIT_S))

    assert run(scene()) == 8


def test_value_accepted_by_majority_survives_proposer_crash():
    async def scene():
        registers = Registers()
        await registers.begin()
        state = await registers.members["a"].propose(put(7, 0), WAIT_S)
        registers.network.down.add("a")
        assert registers.members["b"].has_unfinished_value
        found = await registers.members["b"].propose(read, WAIT_S)
        assert not registers.members["b"].has_unfinished_value
        return found == state

    assert run(scene())


def test_read_finishes_value_accepted_by_one_member():
    async def scene():
        registers = Registers()
        await registers.begin()
        only(registers, "a", "register.accept", ())
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(7, 0), 0.1)
        call_off(registers)
        registers.network.down.add("c")
        assert generation_of(await registers.members["b"].propose(read, WAIT_S)) == 7
        registers.network.down = {"a"}
        return generation_of(await registers.members["c"].propose(read, WAIT_S))

    assert run(scene()) == 7


def test_rejection_is_raised_only_for_chosen_state():
    """A change that is refused because of a value held by one member has that value finished first."""

    async def scene():
        registers = Registers()
        await registers.begin()
        only(registers, "a", "register.accept", ())
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(7, 0), 0.1)
        call_off(registers)
        registers.network.down.add("c")
        with pytest.raises(VersionMismatchError):
            await registers.members["b"].propose(put(8, 0, b"other"), WAIT_S)
        registers.network.down = {"a"}
        return generation_of(await registers.members["c"].propose(read, WAIT_S))

    assert run(scene()) == 7


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.003, 0.006, 0.012])
def test_one_of_two_concurrent_changes_of_a_version_wins(delay_s):
    async def scene():
        registers = Registers()
        await registers.begin()

        async def propose(name, generation, after_s):
            await asyncio.sleep(after_s)
            return await registers.members[name].propose(put(generation, 0, name.encode()), WAIT_S)

        results = await asyncio.gather(propose("a", 7, 0.0), propose("b", 8, delay_s), return_exceptions=True)
        states = [one for one in results if not isinstance(one, Exception)]
        refusals = [one for one in results if isinstance(one, VersionMismatchError)]
        final = await registers.members["c"].propose(read, WAIT_S)
        return len(states), len(refusals), final == states[0]

    assert run(scene()) == (1, 1, True)


def test_concurrent_proposals_at_one_member_take_turns():
    async def scene():
        registers = Registers()
        await registers.begin()
        member = registers.members["a"]
        began_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(member.propose(successor, 0.85) for _ in range(8)))
        prepares = [kind for _, _, kind in registers.network.calls if kind == "register.prepare"]
        return (
            (await member.propose(read, WAIT_S))["version"],
            len(prepares),
            asyncio.get_running_loop().time() - began_s,
        )

    version, prepares, took_s = run(scene())
    assert version == 8
    assert prepares == 8 * 2, "each order takes one ballot: none overtook another"
    assert took_s < 0.3


def test_chosen_values_survive_restart_of_all_members():
    async def scene():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), WAIT_S)
        for name in "abc":
            await registers.restart(name)
            assert registers.members[name].chosen is None
        return generation_of(await registers.members["c"].propose(read, WAIT_S))

    assert run(scene()) == 7


def test_member_rejects_requests_before_disk_is_loaded():
    """An answer from the empty replica would forget what was promised, and would write that down."""

    async def scene():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), WAIT_S)
        early = registers._member("b")
        for handler in (early.acceptor.handle_prepare, early.acceptor.handle_accept):
            with pytest.raises(RpcError) as caught:
                await handler({"to": "b", "ballot": [90, "z"], "value": registers.initial_state})
            assert caught.value.kind == "starting"
        with pytest.raises(RegisterUnavailableError):
            await early.propose(read, WAIT_S)
        await early.load()
        promise = await early.acceptor.handle_prepare({"to": "b", "ballot": [91, "z"]})
        return generation_of(promise["value"])

    assert run(scene()) == 7


def test_read_writes_only_promise_and_accepted_value_is_loaded_with_it():
    async def scene():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0, b'{"x": "%s"}' % (b"y" * 10_000)), WAIT_S)
        rows = "SELECT key, length(value) FROM register_replica ORDER BY key"
        await registers.disks["b"].write([("UPDATE register_replica SET value = '' WHERE key = 'system'", ())])
        await registers.members["c"].propose(read, WAIT_S)
        await asyncio.sleep(0.1)
        sizes = dict(await registers.disks["b"].query(rows))
        member = await registers.restart("c")
        promise = await member.acceptor.handle_prepare({"to": "c", "ballot": [90, "z"]})
        return sizes, generation_of(promise["value"]), promise["accepted"][1]

    assert run(scene()) == ({"system": 0, "system/promise": None}, 7, "a")


def test_promise_omits_value_whose_write_failed():
    async def scene():
        registers = Registers()
        await registers.begin()
        member, disk = registers.members["b"], registers.disks["b"]
        value = put(7, 0)(registers.initial_state)
        disk.fails = True
        with pytest.raises(RpcError):
            await member.acceptor.handle_accept({"to": "b", "ballot": [5, "a"], "value": value})
        disk.fails = False
        promise = await member.acceptor.handle_prepare({"to": "b", "ballot": [6, "c"]})
        member = await registers.restart("b")
        again = await member.acceptor.handle_prepare({"to": "b", "ballot": [7, "c"]})
        return promise["accepted"], promise["value"], again["accepted"], again["value"]

    accepted, value, accepted_after, value_after = run(scene())
    assert (accepted, value) == (accepted_after, value_after)


def test_promise_survives_restart():
    async def scene():
        registers = Registers()
        await registers.begin()
        member = registers.members["b"]
        prepare = {"type": "register.prepare", "to": "b", "ballot": [50, "z"]}
        assert (await member.acceptor.handle_prepare(prepare))["type"] == PROMISE
        member = await registers.restart("b")
        accept = {
            "type": "register.accept",
            "to": "b",
            "ballot": [49, "y"],
            "value": successor(registers.initial_state),
        }
        return await member.acceptor.handle_accept(accept)

    assert run(scene())["type"] == CONFLICT


def test_member_restarted_alone_reports_no_chosen_state():
    async def scene():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), WAIT_S)
        registers.network.cut("c")
        await registers.members["a"].propose(put(8, 7), WAIT_S)
        member = await registers.restart("c")
        with pytest.raises(RegisterUnavailableError):
            await member.propose(read, 1.0)
        assert member.chosen is None
        registers.network.join()
        return generation_of(await member.propose(read, WAIT_S))

    assert run(scene()) == 8


def test_member_with_full_disk_gives_no_vote():
    async def scene():
        registers = Registers()
        await registers.begin()
        registers.disks["b"].fails = True
        with pytest.raises(RpcError) as caught:
            await registers.members["b"].acceptor.handle_prepare({"to": "b", "ballot": [90, "z"]})
        assert caught.value.kind == "storage_failed"
        state = await registers.members["a"].propose(put(7, 0), WAIT_S)
        registers.network.down.add("c")
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(8, 7), WAIT_S)
        return generation_of(state)

    assert run(scene()) == 7


@pytest.mark.parametrize("proposer", ["a", "b"])
def test_stalled_disk_does_not_delay_other_members(proposer):
    async def scene():
        registers = Registers()
        await registers.begin()
        registers.disks["a"].stalls = True
        began_s = asyncio.get_running_loop().time()
        await registers.members[proposer].propose(put(7, 0), WAIT_S)
        return asyncio.get_running_loop().time() - began_s

    assert run(scene()) < 0.1


def test_other_incarnation_at_member_address_gives_no_vote():
    async def scene():
        registers = Registers()
        await registers.begin()
        registers.members["c"].acceptor.member = "c2"
        registers.network.down.add("b")
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(7, 0), WAIT_S)

    run(scene())


def test_register_tolerates_loss_after_member_replacement():
    async def scene():
        registers = Registers("abcd")
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), WAIT_S)
        registers.network.down.add("c")
        members = {"a": "a", "b": "b", "d": "d"}
        await registers.members["a"].propose(set_members(members, {"d": "machine-d"}), WAIT_S)
        await registers.members["a"].propose(successor, WAIT_S)
        registers.network.down.add("a")
        state = await registers.members["b"].propose(put(8, 7), WAIT_S)
        registers.network.down = {"a", "c"}
        registers.members["d"].record_chosen(ZERO_BALLOT, registers.initial_state)
        return state["members"], generation_of(await registers.members["d"].propose(read, WAIT_S))

    assert run(scene()) == ({"a": "a", "b": "b", "d": "d"}, 8)


def test_replaced_member_decides_nothing_with_former_members():
    async def scene():
        registers = Registers("abcd")
        await registers.begin()
        registers.network.cut("c")
        await registers.members["a"].propose(set_members({"a": "a", "b": "b", "d": "d"}, {}), WAIT_S)
        await registers.members["a"].propose(successor, WAIT_S)
        await registers.members["a"].propose(put(7, 0), WAIT_S)
        registers.network.join()
        registers.network.down = {"a", "d"}
        with pytest.raises(RegisterUnavailableError):
            await registers.members["c"].propose(put(8, 0), WAIT_S)
        registers.network.down = {"a"}
        with pytest.raises(VersionMismatchError):
            await registers.members["c"].propose(put(8, 0, b"other"), WAIT_S)

    run(scene())


def test_reconfirmed_value_leaves_no_unfinished_value():
    """A read may write the chosen value anew; a member must not take that for something unfinished ever after."""

    async def scene():
        registers = Registers()
        await registers.begin()
        state = await registers.members["a"].propose(put(7, 0), WAIT_S)
        for member in registers.members.values():
            member.record_chosen(registers.members["a"].chosen_ballot, state)
        accept = {"type": "register.accept", "to": "b", "ballot": [60, "c"], "value": state}
        await registers.members["b"].acceptor.handle_accept(accept)
        return registers.members["b"].has_unfinished_value

    assert run(scene()) is False


def test_stopped_register_leaves_no_task_behind():
    async def scene():
        registers = Registers()
        await registers.begin()
        registers.disks["c"].delay_s = 0.3  # its accept is still under way when the value is chosen
        await registers.members["a"].propose(put(7, 0), WAIT_S)
        registers.disks["a"].stalls = True  # so that a write of the change history does not end by itself
        registers.members["a"].record_chosen(*_next_chosen(registers.members["a"]))
        await asyncio.sleep(0)
        pending = asyncio.all_tasks() - {asyncio.current_task()}
        assert pending
        await registers.members["a"].stop()
        return asyncio.all_tasks() - {asyncio.current_task()}

    assert run(scene()) == set()


def _next_chosen(member):
    """A newer state, as another process tells it, with a change that the history lacks."""
    state = put(8, 7)(member.chosen)
    return member.chosen_ballot, state
