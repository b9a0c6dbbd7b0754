"""Orders older than what the state remembers: the members' history of them, its bounds, and who catches up on it."""

import asyncio

import pytest
from controlplane.change_scenes import ANSWER_S, WAIT_S, answer, body_of, play, put, read, take

from dewpin.controlplane.register import change_history as order_history
from dewpin.controlplane.register.change_history import AcceptedChange, ChangeHistory, ChangeHistoryRequest
from dewpin.controlplane.register.system_state import (
    MAX_CHANGES_IN_STATE,
    ChangeForgottenError,
    VersionMismatchError,
    accepted_change_count,
    configuration_digest,
    initial_state,
)


def test_change_dropped_from_state_is_acknowledged_from_history():
    last = 3 * MAX_CHANGES_IN_STATE

    async def scene(registers):
        await take(registers.members["a"], 1, last)
        state = await registers.members["b"].propose(read, WAIT_S)
        assert len(state["accepted"]) == MAX_CHANGES_IN_STATE and accepted_change_count(state) == last
        return [
            await answer(registers.members[name], generation, generation - 1)
            for name in "abc"
            for generation in (
                1,
                2,
                MAX_CHANGES_IN_STATE,
                last - MAX_CHANGES_IN_STATE,
                last - 1,
                last,
            )
        ]

    assert set(play(scene)) == {200}


def test_other_body_or_unused_generation_below_state_is_rejected():
    async def scene(registers):
        member = registers.members["a"]
        base = 0
        for generation in range(10, 10 * (MAX_CHANGES_IN_STATE + 20), 10):
            await member.propose(put(generation, base), WAIT_S)
            base = generation
        return (
            await answer(member, 20, 10, b"other"),
            await answer(member, 25, 20),
            await answer(member, 5, 0),
            await answer(member, 20, 10),
        )

    assert play(scene) == (412, 412, 412, 200)


def test_change_unknown_to_all_histories_is_neither_accepted_nor_rejected(monkeypatch):
    monkeypatch.setattr(order_history, "MAX_CHANGES_IN_HISTORY", MAX_CHANGES_IN_STATE + 10)

    async def scene(registers):
        member = registers.members["a"]
        await take(member, 1, MAX_CHANGES_IN_STATE + 50)
        await asyncio.sleep(1.0)
        rows = [await disk.query("SELECT count(*) FROM orders") for disk in registers.disks.values()]
        return await answer(member, 3, 2), await answer(member, 3, 2, b"other"), await answer(member, 45, 44), rows[0]

    assert play(scene) == (503, 503, 200, [(MAX_CHANGES_IN_STATE + 10,)])


def test_generation_not_above_base_is_rejected_at_any_age():
    async def scene(registers):
        await take(registers.members["a"], 1, MAX_CHANGES_IN_STATE + 50)
        return await answer(registers.members["a"], 3, 3), await answer(registers.members["a"], 3, 9)

    assert play(scene) == (412, 412)


def test_history_keeps_38_days_of_changes_within_row_limit():
    """The changes of a month go into the history of one process; a peer that slept through it takes them by pages."""
    changes = 30 * 850

    async def scene(registers):
        history = registers.members["a"]._history
        state = initial_state({}, {})
        for generation in range(1, changes + 1):
            state = put(generation, generation - 1)(state)
            if generation % MAX_CHANGES_IN_STATE == 0 or generation == changes:
                await history.record(state)
        pages = []

        async def ask(request):
            pages.append(request)
            return await history.page(request)

        late = ChangeHistory(registers.disks["b"], ask)
        await late.load()
        await late.record(state)
        return [
            await late.was_accepted(generation, configuration_digest(body_of(generation), generation - 1))
            for generation in (1, 12_345, changes - MAX_CHANGES_IN_STATE, changes)
        ], len(pages)

    taken, pages = play(scene)
    assert taken == [True] * 4
    assert pages <= changes / order_history.CHANGES_PER_PAGE + 2


def test_history_gap_is_filled_from_peers():
    last = 2 * MAX_CHANGES_IN_STATE

    async def scene(registers):
        registers.network.cut("c")
        await take(registers.members["a"], 1, last)
        registers.network.join()
        member = await registers.restart("c")
        assert member.chosen is None
        await member.propose(read, WAIT_S)
        await asyncio.sleep(1.0)
        registers.network.cut("c")
        rows = await registers.disks["c"].query("SELECT count(*) FROM orders")
        return rows, await member.was_accepted(5, configuration_digest(body_of(5), 4), ANSWER_S)

    assert play(scene) == ([(last,)], True)


def test_failed_history_page_is_requested_again_and_earlier_pages_stay(monkeypatch):
    monkeypatch.setattr(order_history, "CHANGES_PER_PAGE", 50)

    async def scene(registers):
        history = registers.members["a"]._history
        state = initial_state({}, {})
        for generation in range(1, 401):
            state = put(generation, generation - 1)(state)
            await history.record(state)
        answers = 0

        async def ask(request):
            nonlocal answers
            answers += 1
            return None if answers == 3 else await history.page(request)

        late = ChangeHistory(registers.disks["b"], ask)
        await late.record(state)
        before = await late._look_up(80, "?"), await late._look_up(120, "?")
        await late.fill_gaps()
        return before, await late._look_up(120, "?"), answers

    before, after, answers = play(scene)
    assert before == (False, None) and after is False
    assert answers == 7, "two pages, one lost, and the four that were missing"


def test_failed_history_write_is_repaired_by_next_state():
    async def scene(registers):
        member, disk = registers.members["a"], registers.disks["a"]
        await take(member, 1, 5)
        disk.fails = True
        await registers.members["b"].propose(put(6, 5), WAIT_S)
        member.record_chosen(registers.members["b"].chosen_ballot, registers.members["b"].chosen)
        await asyncio.sleep(0.1)
        disk.fails = False
        await take(member, 7, 7)
        await asyncio.sleep(0.1)
        return await disk.query("SELECT number, generation FROM orders ORDER BY number")

    assert play(scene) == [(number, number) for number in range(1, 8)]


def test_state_without_change_count_rejects_no_old_change():
    """It holds no count; with the 2,000 orders that it remembered at most, older ones may have been taken."""
    entries = [
        [generation, configuration_digest(body_of(generation), generation - 1)] for generation in range(501, 2501)
    ]
    old = {
        **initial_state({}, {}),
        "accepted": entries,
        "configuration": {"generation": 2500, "digest": "", "body": "{}"},
    }
    del old["orders_taken"]
    with pytest.raises(ChangeForgottenError):
        put(3, 2)(old)
    assert put(501, 500)(old) is old
    few = {**old, "accepted": entries[-5:]}
    with pytest.raises(VersionMismatchError):
        put(3, 2)(few)
    state = put(2501, 2500)(old)
    assert accepted_change_count(state) == 2002 and len(state["accepted"]) == MAX_CHANGES_IN_STATE
    with pytest.raises(ChangeForgottenError):
        put(501, 500)(state)


def test_history_page_contains_requested_range():
    async def scene(registers):
        await take(registers.members["a"], 1, 9)
        await asyncio.sleep(0.1)
        return await registers.members["a"]._history.page(ChangeHistoryRequest(3, 6))

    page = play(scene)
    assert page.changes == (
        AcceptedChange(4, 4, configuration_digest(body_of(4), 3)),
        AcceptedChange(5, 5, configuration_digest(body_of(5), 4)),
    )
