"""The history of changes no longer listed in the state: lookups, limits and filling of gaps."""

import asyncio

import pytest
from controlplane.change_scenes import (
    OPERATOR_TIMEOUT_S,
    PROPOSE_TIMEOUT_S,
    body_of,
    make_changes,
    operator_status,
    put,
    read,
    run_scenario,
)

from dewpin.controlplane.register import change_history
from dewpin.controlplane.register.change_errors import ChangeForgottenError, VersionMismatchError
from dewpin.controlplane.register.change_history import AcceptedChange, ChangeHistory, ChangeHistoryRequest
from dewpin.controlplane.register.system_state import (
    MAX_CHANGES_IN_STATE,
    accepted_change_count,
    configuration_digest,
    initial_state,
)


def test_change_dropped_from_state_is_acknowledged_from_history():
    last = 3 * MAX_CHANGES_IN_STATE

    async def scenario(registers):
        await make_changes(registers.members["a"], 1, last)
        state = await registers.members["b"].propose(read, PROPOSE_TIMEOUT_S)
        assert len(state["accepted"]) == MAX_CHANGES_IN_STATE and accepted_change_count(state) == last
        return [
            await operator_status(registers.members[name], generation, generation - 1)
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

    assert set(run_scenario(scenario)) == {200}


def test_other_body_or_unused_generation_below_state_is_rejected():
    async def scenario(registers):
        member = registers.members["a"]
        base = 0
        for generation in range(10, 10 * (MAX_CHANGES_IN_STATE + 20), 10):
            await member.propose(put(generation, base), PROPOSE_TIMEOUT_S)
            base = generation
        return (
            await operator_status(member, 20, 10, b"other"),
            await operator_status(member, 25, 20),
            await operator_status(member, 5, 0),
            await operator_status(member, 20, 10),
        )

    assert run_scenario(scenario) == (412, 412, 412, 200)


def test_change_unknown_to_all_histories_is_neither_accepted_nor_rejected(monkeypatch):
    monkeypatch.setattr(change_history, "MAX_CHANGES_IN_HISTORY", MAX_CHANGES_IN_STATE + 10)

    async def scenario(registers):
        member = registers.members["a"]
        await make_changes(member, 1, MAX_CHANGES_IN_STATE + 50)
        await asyncio.sleep(1.0)
        rows = [await disk.query("SELECT count(*) FROM orders") for disk in registers.disks.values()]
        return (
            await operator_status(member, 3, 2),
            await operator_status(member, 3, 2, b"other"),
            await operator_status(member, 45, 44),
            rows[0],
        )

    assert run_scenario(scenario) == (503, 503, 200, [(MAX_CHANGES_IN_STATE + 10,)])


def test_generation_not_above_base_is_rejected_at_any_age():
    async def scenario(registers):
        await make_changes(registers.members["a"], 1, MAX_CHANGES_IN_STATE + 50)
        return await operator_status(registers.members["a"], 3, 3), await operator_status(registers.members["a"], 3, 9)

    assert run_scenario(scenario) == (412, 412)


def test_history_keeps_38_days_of_changes_within_row_limit():
    """One process records a month of changes; a peer that missed all of them fetches them page by page."""
    changes = 30 * 850

    async def scenario(registers):
        history = registers.members["a"]._history
        state = initial_state({}, {})
        for generation in range(1, changes + 1):
            state = put(generation, generation - 1)(state)
            if generation % MAX_CHANGES_IN_STATE == 0 or generation == changes:
                await history.record(state)
        pages = []

        async def query_peers(request):
            pages.append(request)
            return await history.page(request)

        lagging_history = ChangeHistory(registers.disks["b"], query_peers)
        await lagging_history.load()
        await lagging_history.record(state)
        return [
            await lagging_history.was_accepted(generation, configuration_digest(body_of(generation), generation - 1))
            for generation in (1, 12_345, changes - MAX_CHANGES_IN_STATE, changes)
        ], len(pages)

    accepted, pages = run_scenario(scenario)
    assert accepted == [True] * 4
    assert pages <= changes / change_history.CHANGES_PER_PAGE + 2


def test_history_gap_is_filled_from_peers():
    last = 2 * MAX_CHANGES_IN_STATE

    async def scenario(registers):
        registers.network.cut("c")
        await make_changes(registers.members["a"], 1, last)
        registers.network.restore_links()
        member = await registers.restart("c")
        assert member.chosen is None
        await member.propose(read, PROPOSE_TIMEOUT_S)
        await asyncio.sleep(1.0)
        registers.network.cut("c")
        rows = await registers.disks["c"].query("SELECT count(*) FROM orders")
        return rows, await member.was_accepted(5, configuration_digest(body_of(5), 4), OPERATOR_TIMEOUT_S)

    assert run_scenario(scenario) == ([(last,)], True)


def test_failed_history_page_is_requested_again_and_earlier_pages_stay(monkeypatch):
    monkeypatch.setattr(change_history, "CHANGES_PER_PAGE", 50)

    async def scenario(registers):
        history = registers.members["a"]._history
        state = initial_state({}, {})
        for generation in range(1, 401):
            state = put(generation, generation - 1)(state)
            await history.record(state)
        request_count = 0

        async def query_peers(request):
            nonlocal request_count
            request_count += 1
            return None if request_count == 3 else await history.page(request)

        lagging_history = ChangeHistory(registers.disks["b"], query_peers)
        await lagging_history.record(state)
        before = await lagging_history._look_up(80, "?"), await lagging_history._look_up(120, "?")
        await lagging_history.fill_gaps()
        return before, await lagging_history._look_up(120, "?"), request_count

    before, after, request_count = run_scenario(scenario)
    assert before == (False, None) and after is False
    assert request_count == 7, "two pages, one failed request, and the four remaining pages"


def test_failed_history_write_is_repaired_by_next_state():
    async def scenario(registers):
        member, disk = registers.members["a"], registers.disks["a"]
        await make_changes(member, 1, 5)
        disk.fails = True
        await registers.members["b"].propose(put(6, 5), PROPOSE_TIMEOUT_S)
        member.record_chosen(registers.members["b"].chosen_ballot, registers.members["b"].chosen)
        await asyncio.sleep(0.1)
        disk.fails = False
        await make_changes(member, 7, 7)
        await asyncio.sleep(0.1)
        return await disk.query("SELECT number, generation FROM orders ORDER BY number")

    assert run_scenario(scenario) == [(number, number) for number in range(1, 8)]


def test_state_without_change_count_rejects_no_old_change():
    """Earlier releases stored no count. A state with their limit of 2,000 changes may have dropped older ones."""
    entries = [
        [generation, configuration_digest(body_of(generation), generation - 1)] for generation in range(501, 2501)
    ]
    uncounted_state = {
        **initial_state({}, {}),
        "accepted": entries,
        "configuration": {"generation": 2500, "digest": "", "body": "{}"},
    }
    del uncounted_state["orders_taken"]
    with pytest.raises(ChangeForgottenError):
        put(3, 2)(uncounted_state)
    assert put(501, 500)(uncounted_state) is uncounted_state
    short_state = {**uncounted_state, "accepted": entries[-5:]}
    with pytest.raises(VersionMismatchError):
        put(3, 2)(short_state)
    state = put(2501, 2500)(uncounted_state)
    assert accepted_change_count(state) == 2002 and len(state["accepted"]) == MAX_CHANGES_IN_STATE
    with pytest.raises(ChangeForgottenError):
        put(501, 500)(state)


def test_history_page_contains_requested_range():
    async def scenario(registers):
        await make_changes(registers.members["a"], 1, 9)
        await asyncio.sleep(0.1)
        return await registers.members["a"]._history.page(ChangeHistoryRequest(3, 6))

    page = run_scenario(scenario)
    assert page.changes == (
        AcceptedChange(4, 4, configuration_digest(body_of(4), 3)),
        AcceptedChange(5, 5, configuration_digest(body_of(5), 4)),
    )
