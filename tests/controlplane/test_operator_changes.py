"""Operator changes on a register of three members, on a fake clock: accepted, rejected, or without a clear answer."""

import asyncio

import pytest
from controlplane.change_scenes import (
    OPERATOR_TIMEOUT_S,
    PROPOSE_TIMEOUT_S,
    make_changes,
    operator_status,
    read,
    run_scenario,
)

from dewpin.cluster.rpc import RpcError
from dewpin.controlplane.register.change_errors import TooFewStoresRemainError, UnknownMachineError
from dewpin.controlplane.register.system_state import (
    MAX_CHANGES_IN_STATE,
    accepted_change_count,
    require_version,
    set_initial_stores,
    start_retirement,
)

# Two changes, and one change sent twice


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.003, 0.006, 0.012, 0.05])
def test_one_of_two_bodies_with_same_generation_is_acknowledged(delay_s):
    async def scene(registers):
        first, second = registers.members["a"], registers.members["b"]

        async def send_later():
            await asyncio.sleep(delay_s)
            return await operator_status(second, 7, 0, b"two")

        answers = await asyncio.gather(operator_status(first, 7, 0, b"one"), send_later())
        repeated_answers = [
            (await operator_status(member, 7, 0, b"one"), await operator_status(member, 7, 0, b"two"))
            for member in registers.members.values()
        ]
        await make_changes(first, 8, 8 + MAX_CHANGES_IN_STATE)
        later_answers = [
            (await operator_status(member, 7, 0, b"one"), await operator_status(member, 7, 0, b"two"))
            for member in registers.members.values()
        ]
        return answers, repeated_answers, later_answers

    answers, repeated_answers, later_answers = run_scenario(scene)
    assert sorted(answers) == [200, 412]
    assert set(repeated_answers) == set(later_answers) == {tuple(answers)}


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.003, 0.006, 0.012, 0.05])
def test_same_change_at_two_control_servers_is_accepted_once_and_acknowledged_by_both(delay_s):
    async def scene(registers):
        async def send_later():
            await asyncio.sleep(delay_s)
            return await operator_status(registers.members["b"], 7, 0)

        answers = await asyncio.gather(operator_status(registers.members["a"], 7, 0), send_later())
        state = await registers.members["c"].propose(read, PROPOSE_TIMEOUT_S)
        return answers, accepted_change_count(state)

    assert run_scenario(scene) == ([200, 200], 1)


def test_same_change_on_both_sides_of_partition_is_acknowledged_by_minority_after_heal():
    async def scene(registers):
        registers.network.cut("c")
        answers = await asyncio.gather(*(operator_status(registers.members[name], 7, 0) for name in "ca"))
        registers.network.restore_links()
        return answers, await operator_status(registers.members["c"], 7, 0)

    assert run_scenario(scene) == ([503, 200], 200)


def test_two_changes_on_both_sides_of_partition_one_accepted_one_rejected():
    async def scene(registers):
        registers.network.cut("c")
        answers = await asyncio.gather(
            operator_status(registers.members["c"], 7, 0, b"small side"),
            operator_status(registers.members["a"], 7, 0, b"great side"),
        )
        registers.network.restore_links()
        await operator_status(registers.members["a"], 8, 7)
        return answers, await operator_status(registers.members["c"], 7, 0, b"small side")

    assert run_scenario(scene) == ([503, 200], 412)


# Crash of the proposer


async def lose_proposer(registers, reached, proposal):
    """Propose a change at the member `a`, whose accepts reach only these members; then it crashes without an answer."""

    def on_call(source, target, message):
        if message["type"] == "register.accept" and source == "a" and target not in reached:
            raise RpcError("connect", target)

    registers.network.on_call = on_call
    if "a" not in reached:
        registers.disks["a"].stalls = True
    task = asyncio.ensure_future(proposal)
    await asyncio.sleep(0.02)
    registers.network.down.add("a")
    task.cancel()
    registers.network.on_call = lambda source, target, message: None


@pytest.mark.parametrize("reached", ["", "a", "b", "c", "ab", "bc", "abc"])
@pytest.mark.parametrize("asked_next", ["b", "c"])
def test_resent_change_is_acknowledged_after_proposer_crash_between_accepts(reached, asked_next):
    """The accepts of the proposer `a` reach some members, then it crashes. The same change sent again is acknowledged
    by any member, and a rival change on the same base wins only if the change was accepted nowhere."""

    async def scene(registers):
        await lose_proposer(registers, reached, operator_status(registers.members["a"], 7, 0))
        return await operator_status(registers.members[asked_next], 7, 0), accepted_change_count(
            registers.members[asked_next].chosen
        )

    assert run_scenario(scene) == (200, 1)


@pytest.mark.parametrize("reached", ["", "b", "c", "bc"])
def test_rival_change_after_proposer_crash_wins_or_is_rejected_for_good(reached):
    async def scene(registers):
        await lose_proposer(registers, reached, operator_status(registers.members["a"], 7, 0))
        rival = await operator_status(registers.members["b"], 7, 0, b"rival")
        return (
            rival,
            await operator_status(registers.members["c"], 7, 0),
            await operator_status(registers.members["b"], 7, 0),
        )

    rival, *repeated_answers = run_scenario(scene)
    assert sorted({rival, *repeated_answers}) == [200, 412] and len(set(repeated_answers)) == 1
    if reached == "bc":
        assert rival == 412, "a majority had accepted the change before its rival was proposed"


@pytest.mark.parametrize(("proposer", "silent"), [("a", "bc"), ("b", "ac"), ("c", "ab")])
def test_change_is_acknowledged_only_after_majority_synced(proposer, silent):
    """Two disks write promises but stall on accepted values: no majority has the change on disk."""

    async def scene(registers):
        def on_call(source, target, message):
            if message["type"] == "register.accept":
                for name in silent:
                    registers.disks[name].stalls = True

        registers.network.on_call = on_call
        outcome = await operator_status(registers.members[proposer], 7, 0)
        for name in "abc":
            registers.disks[name].stalls = False
            await registers.restart(name)
        registers.network.on_call = lambda source, target, message: None
        return outcome, await operator_status(registers.members["b"], 7, 0)

    assert run_scenario(scene) == (503, 200)


# Concurrent changes


def test_eight_concurrent_changes_are_answered_in_time_and_one_wins():
    async def scene(registers):
        clock = asyncio.get_running_loop().time
        started_s = clock()
        answers = await asyncio.gather(
            *(operator_status(registers.members["abc"[n % 3]], 7 + n, 0, b"order %d" % n) for n in range(8))
        )
        elapsed_s = clock() - started_s
        return answers, elapsed_s, accepted_change_count(await registers.members["a"].propose(read, PROPOSE_TIMEOUT_S))

    answers, elapsed_s, accepted_count = run_scenario(scene)
    assert answers.count(200) == 1 and set(answers) == {200, 412}
    assert accepted_count == 1 and elapsed_s <= OPERATOR_TIMEOUT_S


def test_changes_queued_behind_stuck_change_time_out_unproposed():
    """Proposals of one process are serialized. Those still queued at their timeout get a 503 without any message having
    been sent, and each is accepted at most once when it is sent again."""

    async def scene(registers):
        registers.network.cut("a")
        clock = asyncio.get_running_loop().time
        started_s = clock()
        answers = await asyncio.gather(
            *(operator_status(registers.members["a"], 7 + n, 0, b"order %d" % n) for n in range(8))
        )
        elapsed_s = clock() - started_s
        registers.network.restore_links()
        member = registers.members["a"]
        repeated_answers = [await operator_status(member, 7 + n, 0, b"order %d" % n) for n in range(8)]
        return answers, elapsed_s, repeated_answers

    answers, elapsed_s, repeated_answers = run_scenario(scene)
    assert set(answers) == {503} and elapsed_s == pytest.approx(OPERATOR_TIMEOUT_S, abs=0.01)
    assert repeated_answers.count(200) == 1 and set(repeated_answers) == {200, 412}


def test_resent_change_is_acknowledged_after_timeout_with_accepts_in_flight():
    async def scene(registers):
        for name in "bc":
            registers.disks[name].delay_s = 0.5
        first = await operator_status(registers.members["a"], 7, 0)
        for name in "bc":
            registers.disks[name].delay_s = 0.0
        await asyncio.sleep(1.0)
        return (
            first,
            await operator_status(registers.members["b"], 7, 0),
            accepted_change_count(registers.members["b"].chosen),
        )

    assert run_scenario(scene) == (503, 200, 1)


def test_rejection_for_unchosen_value_is_withheld():
    """One member accepted a rival value that no majority has. If a ballot reads that value, it has to complete it and
    the change is rejected; otherwise the change is accepted. It is always exactly one of the two."""

    async def scene(registers, reads_rival):
        def on_call(source, target, message):
            if message["type"] == "register.accept" and source == "a":
                raise RpcError("connect", target)

        registers.network.on_call = on_call
        assert await operator_status(registers.members["a"], 7, 0, b"rival", 0.1) == 503
        registers.network.on_call = lambda source, target, message: None
        registers.network.down = {"c"} if reads_rival else {"a"}
        first = await operator_status(registers.members["b"], 7, 0, b"order")
        registers.network.down = {"a"}
        return first, await operator_status(registers.members["c"], 7, 0, b"order")

    assert run_scenario(lambda registers: scene(registers, True)) == (412, 412)
    assert run_scenario(lambda registers: scene(registers, False)) == (200, 200)


# Retirement of a machine


def retire(name):
    return start_retirement(name, 2)


@pytest.mark.parametrize("reached", ["", "b", "c", "bc"])
def test_resent_retirement_is_started_once(reached):
    async def scene(registers):
        stores = {name: name for name in "abc"}
        names = {name: f"machine-{name}" for name in "abc"}
        await registers.members["a"].propose(require_version(0, set_initial_stores(stores, names)), PROPOSE_TIMEOUT_S)

        await lose_proposer(registers, reached, registers.members["a"].propose(retire("machine-b"), PROPOSE_TIMEOUT_S))
        states = [await registers.members[name].propose(retire("machine-b"), PROPOSE_TIMEOUT_S) for name in "bcb"]
        with pytest.raises(TooFewStoresRemainError):
            await registers.members["c"].propose(retire("machine-c"), PROPOSE_TIMEOUT_S)
        with pytest.raises(UnknownMachineError):
            await registers.members["c"].propose(retire("machine-x"), PROPOSE_TIMEOUT_S)
        return [state["retiring"] for state in states]

    assert run_scenario(scene) == [["machine-b"]] * 3
