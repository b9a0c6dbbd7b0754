"""The register on an in-memory network with a simulated clock: crashes, races, restarts and disk failures."""

import asyncio

import pytest
from scripted.clock import run
from scripted.registers import Registers

from dewpin.cluster.rpc import RpcError
from dewpin.consensus.messages import CONFLICT, PROMISE
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.register.change_errors import VersionMismatchError
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import put_configuration, set_members, successor

PROPOSE_TIMEOUT_S = 3.0


def put(generation, base, body=b"{}"):
    return put_configuration(body, generation, base)


def read(state):
    return state


def generation_of(state):
    return state["configuration"]["generation"] if state["configuration"] else 0


def drop_except(registers, source, kind, targets):
    """Drops messages of `kind` from `source` to all but `targets`, until `stop_dropping` is called."""

    def on_call(sender, target, message):
        if sender == source and message["type"] == kind and target not in targets:
            raise RpcError("connect", target)

    registers.network.on_call = on_call


def stop_dropping(registers):
    registers.network.on_call = lambda source, target, message: None


def test_chosen_change_is_read_at_every_member():
    async def scenario():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        return [generation_of(await member.propose(read, PROPOSE_TIMEOUT_S)) for member in registers.members.values()]

    assert run(scenario()) == [7, 7, 7]


def test_proposal_without_majority_times_out():
    async def scenario():
        registers = Registers()
        await registers.begin()
        registers.network.cut("a")
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(read, PROPOSE_TIMEOUT_S)
        return generation_of(await registers.members["b"].propose(read, PROPOSE_TIMEOUT_S))

    assert run(scenario()) == 0


def test_member_without_state_proposes_nothing():
    async def scenario():
        registers = Registers()
        await registers.members["a"].load()
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(read, PROPOSE_TIMEOUT_S)

    run(scenario())


def test_proposer_crash_between_rounds_leaves_old_value():
    async def scenario():
        registers = Registers()
        await registers.begin()
        drop_except(registers, "a", "register.accept", ())
        registers.disks["a"].stalls = False
        task = asyncio.ensure_future(registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S))
        await asyncio.sleep(0.003)
        registers.network.down.add("a")
        task.cancel()
        stop_dropping(registers)
        return generation_of(await registers.members["b"].propose(put(8, 0), PROPOSE_TIMEOUT_S))

    assert run(scenario()) == 8


def test_value_accepted_by_majority_survives_proposer_crash():
    async def scenario():
        registers = Registers()
        await registers.begin()
        state = await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        registers.network.down.add("a")
        assert registers.members["b"].has_unfinished_value
        found = await registers.members["b"].propose(read, PROPOSE_TIMEOUT_S)
        assert not registers.members["b"].has_unfinished_value
        return found == state

    assert run(scenario())


def test_read_finishes_value_accepted_by_one_member():
    async def scenario():
        registers = Registers()
        await registers.begin()
        drop_except(registers, "a", "register.accept", ())
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(7, 0), 0.1)
        stop_dropping(registers)
        registers.network.down.add("c")
        assert generation_of(await registers.members["b"].propose(read, PROPOSE_TIMEOUT_S)) == 7
        registers.network.down = {"a"}
        return generation_of(await registers.members["c"].propose(read, PROPOSE_TIMEOUT_S))

    assert run(scenario()) == 7


def test_rejection_is_raised_only_for_chosen_state():
    """A change rejected because of a value accepted by a single member is rejected only after that value is chosen."""

    async def scenario():
        registers = Registers()
        await registers.begin()
        drop_except(registers, "a", "register.accept", ())
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(7, 0), 0.1)
        stop_dropping(registers)
        registers.network.down.add("c")
        with pytest.raises(VersionMismatchError):
            await registers.members["b"].propose(put(8, 0, b"other"), PROPOSE_TIMEOUT_S)
        registers.network.down = {"a"}
        return generation_of(await registers.members["c"].propose(read, PROPOSE_TIMEOUT_S))

    assert run(scenario()) == 7


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.003, 0.006, 0.012])
def test_one_of_two_concurrent_changes_of_a_version_wins(delay_s):
    async def scenario():
        registers = Registers()
        await registers.begin()

        async def propose(name, generation, after_s):
            await asyncio.sleep(after_s)
            return await registers.members[name].propose(put(generation, 0, name.encode()), PROPOSE_TIMEOUT_S)

        results = await asyncio.gather(propose("a", 7, 0.0), propose("b", 8, delay_s), return_exceptions=True)
        states = [result for result in results if not isinstance(result, Exception)]
        rejections = [result for result in results if isinstance(result, VersionMismatchError)]
        read_state = await registers.members["c"].propose(read, PROPOSE_TIMEOUT_S)
        return len(states), len(rejections), read_state == states[0]

    assert run(scenario()) == (1, 1, True)


def test_concurrent_proposals_at_one_member_take_turns():
    async def scenario():
        registers = Registers()
        await registers.begin()
        member = registers.members["a"]
        started_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(member.propose(successor, 0.85) for _ in range(8)))
        prepares = [kind for _, _, kind in registers.network.calls if kind == "register.prepare"]
        return (
            (await member.propose(read, PROPOSE_TIMEOUT_S))["version"],
            len(prepares),
            asyncio.get_running_loop().time() - started_s,
        )

    version, prepares, took_s = run(scenario())
    assert version == 8
    assert prepares == 8 * 2, "each change takes one ballot: none preempted another"
    assert took_s < 0.3


def test_chosen_values_survive_restart_of_all_members():
    async def scenario():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        for name in "abc":
            await registers.restart(name)
            assert registers.members[name].chosen is None
        return generation_of(await registers.members["c"].propose(read, PROPOSE_TIMEOUT_S))

    assert run(scenario()) == 7


def test_member_rejects_requests_before_disk_is_loaded():
    """A reply from the empty replica would disregard its promises on disk and overwrite them."""

    async def scenario():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        unloaded = registers._member("b")
        for handler in (unloaded.acceptor.handle_prepare, unloaded.acceptor.handle_accept):
            with pytest.raises(RpcError) as caught:
                await handler({"to": "b", "ballot": [90, "z"], "value": registers.initial_state})
            assert caught.value.kind == "starting"
        with pytest.raises(RegisterUnavailableError):
            await unloaded.propose(read, PROPOSE_TIMEOUT_S)
        await unloaded.load()
        promise = await unloaded.acceptor.handle_prepare({"to": "b", "ballot": [91, "z"]})
        return generation_of(promise["value"])

    assert run(scenario()) == 7


def test_read_writes_only_promise_and_accepted_value_is_loaded_with_it():
    async def scenario():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0, b'{"x": "%s"}' % (b"y" * 10_000)), PROPOSE_TIMEOUT_S)
        rows = "SELECT key, length(value) FROM register_replica ORDER BY key"
        await registers.disks["b"].write([("UPDATE register_replica SET value = '' WHERE key = 'system'", ())])
        await registers.members["c"].propose(read, PROPOSE_TIMEOUT_S)
        await asyncio.sleep(0.1)
        sizes = dict(await registers.disks["b"].query(rows))
        member = await registers.restart("c")
        promise = await member.acceptor.handle_prepare({"to": "c", "ballot": [90, "z"]})
        return sizes, generation_of(promise["value"]), promise["accepted"][1]

    assert run(scenario()) == ({"system": 0, "system/promise": None}, 7, "a")


def test_promise_omits_value_whose_write_failed():
    async def scenario():
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

    accepted, value, accepted_after, value_after = run(scenario())
    assert (accepted, value) == (accepted_after, value_after)


def test_promise_survives_restart():
    async def scenario():
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

    assert run(scenario())["type"] == CONFLICT


def test_member_restarted_alone_reports_no_chosen_state():
    async def scenario():
        registers = Registers()
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        registers.network.cut("c")
        await registers.members["a"].propose(put(8, 7), PROPOSE_TIMEOUT_S)
        member = await registers.restart("c")
        with pytest.raises(RegisterUnavailableError):
            await member.propose(read, 1.0)
        assert member.chosen is None
        registers.network.restore_links()
        return generation_of(await member.propose(read, PROPOSE_TIMEOUT_S))

    assert run(scenario()) == 8


def test_member_with_full_disk_gives_no_vote():
    async def scenario():
        registers = Registers()
        await registers.begin()
        registers.disks["b"].fails = True
        with pytest.raises(RpcError) as caught:
            await registers.members["b"].acceptor.handle_prepare({"to": "b", "ballot": [90, "z"]})
        assert caught.value.kind == "storage_failed"
        state = await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        registers.network.down.add("c")
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(8, 7), PROPOSE_TIMEOUT_S)
        return generation_of(state)

    assert run(scenario()) == 7


@pytest.mark.parametrize("proposer", ["a", "b"])
def test_stalled_disk_does_not_delay_other_members(proposer):
    async def scenario():
        registers = Registers()
        await registers.begin()
        registers.disks["a"].stalls = True
        started_s = asyncio.get_running_loop().time()
        await registers.members[proposer].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        return asyncio.get_running_loop().time() - started_s

    assert run(scenario()) < 0.1


def test_other_incarnation_at_member_address_gives_no_vote():
    async def scenario():
        registers = Registers()
        await registers.begin()
        registers.members["c"].acceptor.member = "c2"
        registers.network.down.add("b")
        with pytest.raises(RegisterUnavailableError):
            await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)

    run(scenario())


def test_register_tolerates_loss_after_member_replacement():
    async def scenario():
        registers = Registers("abcd")
        await registers.begin()
        await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        registers.network.down.add("c")
        members = {"a": "a", "b": "b", "d": "d"}
        await registers.members["a"].propose(set_members(members, {"d": "machine-d"}), PROPOSE_TIMEOUT_S)
        await registers.members["a"].propose(successor, PROPOSE_TIMEOUT_S)
        registers.network.down.add("a")
        state = await registers.members["b"].propose(put(8, 7), PROPOSE_TIMEOUT_S)
        registers.network.down = {"a", "c"}
        registers.members["d"].record_chosen(ZERO_BALLOT, registers.initial_state)
        return state["members"], generation_of(await registers.members["d"].propose(read, PROPOSE_TIMEOUT_S))

    assert run(scenario()) == ({"a": "a", "b": "b", "d": "d"}, 8)


def test_replaced_member_decides_nothing_with_former_members():
    async def scenario():
        registers = Registers("abcd")
        await registers.begin()
        registers.network.cut("c")
        await registers.members["a"].propose(set_members({"a": "a", "b": "b", "d": "d"}, {}), PROPOSE_TIMEOUT_S)
        await registers.members["a"].propose(successor, PROPOSE_TIMEOUT_S)
        await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        registers.network.restore_links()
        registers.network.down = {"a", "d"}
        with pytest.raises(RegisterUnavailableError):
            await registers.members["c"].propose(put(8, 0), PROPOSE_TIMEOUT_S)
        registers.network.down = {"a"}
        with pytest.raises(VersionMismatchError):
            await registers.members["c"].propose(put(8, 0, b"other"), PROPOSE_TIMEOUT_S)

    run(scenario())


def test_reconfirmed_value_leaves_no_unfinished_value():
    """A read may accept the chosen value again under a new ballot. Members must not report it as unfinished."""

    async def scenario():
        registers = Registers()
        await registers.begin()
        state = await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        for member in registers.members.values():
            member.record_chosen(registers.members["a"].chosen_ballot, state)
        accept = {"type": "register.accept", "to": "b", "ballot": [60, "c"], "value": state}
        await registers.members["b"].acceptor.handle_accept(accept)
        return registers.members["b"].has_unfinished_value

    assert run(scenario()) is False


def test_stopped_register_leaves_no_task_behind():
    async def scenario():
        registers = Registers()
        await registers.begin()
        registers.disks["c"].delay_s = 0.3  # its accept request is still pending when the value is chosen
        await registers.members["a"].propose(put(7, 0), PROPOSE_TIMEOUT_S)
        registers.disks["a"].stalls = True  # so that the write of the change history stays pending
        registers.members["a"].record_chosen(*_next_chosen(registers.members["a"]))
        await asyncio.sleep(0)
        pending = asyncio.all_tasks() - {asyncio.current_task()}
        assert pending
        await registers.members["a"].stop()
        return asyncio.all_tasks() - {asyncio.current_task()}

    assert run(scenario()) == set()


def _next_chosen(member):
    """Returns a ballot and a newer chosen state, as received from another process, with an unrecorded change."""
    state = put(8, 7)(member.chosen)
    return member.chosen_ballot, state
