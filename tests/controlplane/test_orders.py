"""Orders of the operator against the register of three members, on a fake clock: what is taken, refused, left open."""

import asyncio

import pytest
from control_world import Registers
from store_world import run

from dewpin.cluster.rpc import RpcError
from dewpin.controlplane import order_history
from dewpin.controlplane.order_history import OrderHistory, OrdersRequest, TakenOrder
from dewpin.controlplane.register import RegisterUnavailable
from dewpin.controlplane.system_state import (
    MOST_REMEMBERED_CONFIGURATIONS,
    AnotherVersionIsCurrent,
    GenerationNotAbove,
    OrderForgotten,
    TooFewWouldRemain,
    UnknownMachine,
    begin_stores,
    digest_of,
    genesis,
    on_version,
    orders_taken,
    put_configuration,
    start_retirement,
)

WAIT_S = 3.0
ANSWER_S = 0.85


def body_of(generation):
    return b'{"generation": %d}' % generation


def put(generation, base, body=None):
    return put_configuration(body or body_of(generation), generation, base)


def read(state):
    return state


def play(scene, **names):
    async def whole():
        registers = Registers(**names)
        await registers.begin()
        return await scene(registers)

    return run(whole())


async def answer(register, generation, base, body=None, timeout_s=ANSWER_S):
    """What the operator is told: 200, 400, 412 or 503."""
    body = body or body_of(generation)
    try:
        await register.propose(put(generation, base, body), timeout_s)
    except OrderForgotten:
        was_taken = await register.was_taken(generation, digest_of(body, base), timeout_s)
        return 503 if was_taken is None else 200 if was_taken else 412
    except AnotherVersionIsCurrent:
        return 412
    except GenerationNotAbove:
        return 400
    except RegisterUnavailable:
        return 503
    return 200


async def take(register, first, last):
    """Takes the orders first to last, each on the one before."""
    for generation in range(first, last + 1):
        await register.propose(put(generation, generation - 1), WAIT_S)


# What the state has forgotten


def test_an_order_older_than_all_that_the_state_remembers_is_acknowledged_again_everywhere():
    last = 3 * MOST_REMEMBERED_CONFIGURATIONS

    async def scene(registers):
        await take(registers.members["a"], 1, last)
        state = await registers.members["b"].propose(read, WAIT_S)
        assert len(state["accepted"]) == MOST_REMEMBERED_CONFIGURATIONS and orders_taken(state) == last
        return [
            await answer(registers.members[name], generation, generation - 1)
            for name in "abc"
            for generation in (
                1,
                2,
                MOST_REMEMBERED_CONFIGURATIONS,
                last - MOST_REMEMBERED_CONFIGURATIONS,
                last - 1,
                last,
            )
        ]

    assert set(play(scene)) == {200}


def test_another_body_under_an_old_number_and_a_number_that_was_left_out_are_refused():
    async def scene(registers):
        member = registers.members["a"]
        base = 0
        for generation in range(10, 10 * (MOST_REMEMBERED_CONFIGURATIONS + 20), 10):
            await member.propose(put(generation, base), WAIT_S)
            base = generation
        return (
            await answer(member, 20, 10, b"other"),
            await answer(member, 25, 20),
            await answer(member, 5, 0),
            await answer(member, 20, 10),
        )

    assert play(scene) == (412, 412, 412, 200)


def test_an_order_that_nobody_remembers_gets_no_clear_answer(monkeypatch):
    monkeypatch.setattr(order_history, "MOST_ORDERS", MOST_REMEMBERED_CONFIGURATIONS + 10)

    async def scene(registers):
        member = registers.members["a"]
        await take(member, 1, MOST_REMEMBERED_CONFIGURATIONS + 50)
        await asyncio.sleep(1.0)
        rows = [await disk.query("SELECT count(*) FROM orders") for disk in registers.disks.values()]
        return await answer(member, 3, 2), await answer(member, 3, 2, b"other"), await answer(member, 45, 44), rows[0]

    assert play(scene) == (503, 503, 200, [(MOST_REMEMBERED_CONFIGURATIONS + 10,)])


def test_a_generation_not_above_its_base_was_never_taken_however_old():
    async def scene(registers):
        await take(registers.members["a"], 1, MOST_REMEMBERED_CONFIGURATIONS + 50)
        return await answer(registers.members["a"], 3, 3), await answer(registers.members["a"], 3, 9)

    assert play(scene) == (412, 412)


def test_a_month_of_850_changes_a_day_is_remembered_and_the_rows_stay_bounded():
    """The changes of a month go into the history of one process; a peer that slept through it takes them by pages."""
    changes = 30 * 850

    async def scene(registers):
        history = registers.members["a"]._history
        state = genesis({}, {})
        for generation in range(1, changes + 1):
            state = put(generation, generation - 1)(state)
            if generation % MOST_REMEMBERED_CONFIGURATIONS == 0 or generation == changes:
                await history.note(state)
        pages = []

        async def ask(request):
            pages.append(request)
            return await history.page(request)

        late = OrderHistory(registers.disks["b"], ask)
        await late.load()
        await late.note(state)
        return [
            await late.was_taken(generation, digest_of(body_of(generation), generation - 1))
            for generation in (1, 12_345, changes - MOST_REMEMBERED_CONFIGURATIONS, changes)
        ], len(pages)

    taken, pages = play(scene)
    assert taken == [True] * 4
    assert pages <= changes / order_history.ORDERS_IN_PAGE + 2


def test_a_member_that_slept_through_more_than_the_state_remembers_takes_the_rest_from_its_peers():
    last = 2 * MOST_REMEMBERED_CONFIGURATIONS

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
        return rows, await member.was_taken(5, digest_of(body_of(5), 4), ANSWER_S)

    assert play(scene) == ([(last,)], True)


def test_a_page_that_was_lost_is_asked_for_again_and_those_before_it_are_kept(monkeypatch):
    monkeypatch.setattr(order_history, "ORDERS_IN_PAGE", 50)

    async def scene(registers):
        history = registers.members["a"]._history
        state = genesis({}, {})
        for generation in range(1, 401):
            state = put(generation, generation - 1)(state)
            await history.note(state)
        answers = 0

        async def ask(request):
            nonlocal answers
            answers += 1
            return None if answers == 3 else await history.page(request)

        late = OrderHistory(registers.disks["b"], ask)
        await late.note(state)
        before = await late._is_known(80, "?"), await late._is_known(120, "?")
        await late.fill_gaps()
        return before, await late._is_known(120, "?"), answers

    before, after, answers = play(scene)
    assert before == (False, None) and after is False
    assert answers == 7, "two pages, one lost, and the four that were missing"


def test_a_failed_write_of_the_history_is_made_up_by_the_next_state():
    async def scene(registers):
        member, disk = registers.members["a"], registers.disks["a"]
        await take(member, 1, 5)
        disk.fails = True
        await registers.members["b"].propose(put(6, 5), WAIT_S)
        member.observe(registers.members["b"].chosen_ballot, registers.members["b"].chosen)
        await asyncio.sleep(0.1)
        disk.fails = False
        await take(member, 7, 7)
        await asyncio.sleep(0.1)
        return await disk.query("SELECT number, generation FROM orders ORDER BY number")

    assert play(scene) == [(number, number) for number in range(1, 8)]


def test_a_state_of_the_release_before_that_may_have_forgotten_orders_denies_none():
    """It holds no count; with the 2,000 orders that it remembered at most, older ones may have been taken."""
    entries = [[generation, digest_of(body_of(generation), generation - 1)] for generation in range(501, 2501)]
    old = {**genesis({}, {}), "accepted": entries, "configuration": {"generation": 2500, "digest": "", "body": "{}"}}
    del old["orders_taken"]
    with pytest.raises(OrderForgotten):
        put(3, 2)(old)
    assert put(501, 500)(old) is old
    few = {**old, "accepted": entries[-5:]}
    with pytest.raises(AnotherVersionIsCurrent):
        put(3, 2)(few)
    state = put(2501, 2500)(old)
    assert orders_taken(state) == 2002 and len(state["accepted"]) == MOST_REMEMBERED_CONFIGURATIONS
    with pytest.raises(OrderForgotten):
        put(501, 500)(state)


def test_the_orders_of_a_page_are_those_asked_for():
    async def scene(registers):
        await take(registers.members["a"], 1, 9)
        await asyncio.sleep(0.1)
        return await registers.members["a"]._history.page(OrdersRequest(3, 6))

    page = play(scene)
    assert page.orders == (
        TakenOrder(4, 4, digest_of(body_of(4), 3)),
        TakenOrder(5, 5, digest_of(body_of(5), 4)),
    )


# Two orders, one order twice


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.003, 0.006, 0.012, 0.05])
def test_of_two_bodies_under_one_number_on_one_base_exactly_one_is_acknowledged_ever(delay_s):
    async def scene(registers):
        first, second = registers.members["a"], registers.members["b"]

        async def late():
            await asyncio.sleep(delay_s)
            return await answer(second, 7, 0, b"two")

        answers = await asyncio.gather(answer(first, 7, 0, b"one"), late())
        again = [
            (await answer(member, 7, 0, b"one"), await answer(member, 7, 0, b"two"))
            for member in registers.members.values()
        ]
        await take(first, 8, 8 + MOST_REMEMBERED_CONFIGURATIONS)
        later = [
            (await answer(member, 7, 0, b"one"), await answer(member, 7, 0, b"two"))
            for member in registers.members.values()
        ]
        return answers, again, later

    answers, again, later = play(scene)
    assert sorted(answers) == [200, 412]
    assert set(again) == set(later) == {tuple(answers)}


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.003, 0.006, 0.012, 0.05])
def test_one_body_sent_to_two_processes_is_taken_once_and_acknowledged_by_both(delay_s):
    async def scene(registers):
        async def late():
            await asyncio.sleep(delay_s)
            return await answer(registers.members["b"], 7, 0)

        answers = await asyncio.gather(answer(registers.members["a"], 7, 0), late())
        state = await registers.members["c"].propose(read, WAIT_S)
        return answers, orders_taken(state)

    assert play(scene) == ([200, 200], 1)


def test_one_order_sent_to_both_sides_of_a_cut_is_taken_by_the_greater_and_acknowledged_by_the_other_later():
    async def scene(registers):
        registers.network.cut("c")
        answers = await asyncio.gather(*(answer(registers.members[name], 7, 0) for name in "ca"))
        registers.network.join()
        return answers, await answer(registers.members["c"], 7, 0)

    assert play(scene) == ([503, 200], 200)


def test_two_orders_sent_to_the_two_sides_of_a_cut_are_one_taken_and_one_refused():
    async def scene(registers):
        registers.network.cut("c")
        answers = await asyncio.gather(
            answer(registers.members["c"], 7, 0, b"small side"), answer(registers.members["a"], 7, 0, b"great side")
        )
        registers.network.join()
        await answer(registers.members["a"], 8, 7)
        return answers, await answer(registers.members["c"], 7, 0, b"small side")

    assert play(scene) == ([503, 200], 412)


# A proposer that dies


@pytest.mark.parametrize("reached", ["", "a", "b", "c", "ab", "bc", "abc"])
@pytest.mark.parametrize("asked_next", ["b", "c"])
def test_an_order_whose_proposer_died_between_its_accepts_is_acknowledged_on_resend(reached, asked_next):
    """The accepts of the proposer `a` reach some members, then it dies. The same order sent again is acknowledged at
    whichever member, and a rival on the same base wins only where the order was in force nowhere."""

    async def scene(registers):
        def on_call(source, target, message):
            if message["type"] == "register.accept" and source == "a" and target not in reached:
                raise RpcError("connect", target)

        registers.network.on_call = on_call
        if "a" not in reached:
            registers.disks["a"].stalls = True
        order = asyncio.ensure_future(answer(registers.members["a"], 7, 0))
        await asyncio.sleep(0.02)
        registers.network.down.add("a")
        order.cancel()
        registers.network.on_call = lambda source, target, message: None
        return await answer(registers.members[asked_next], 7, 0), orders_taken(registers.members[asked_next].chosen)

    assert play(scene) == (200, 1)


@pytest.mark.parametrize("reached", ["", "b", "c", "bc"])
def test_a_rival_after_the_proposer_died_wins_or_is_refused_for_good_and_the_order_with_it(reached):
    async def scene(registers):
        def on_call(source, target, message):
            if message["type"] == "register.accept" and source == "a" and target not in reached:
                raise RpcError("connect", target)

        registers.network.on_call = on_call
        registers.disks["a"].stalls = True
        order = asyncio.ensure_future(answer(registers.members["a"], 7, 0))
        await asyncio.sleep(0.02)
        registers.network.down.add("a")
        order.cancel()
        registers.network.on_call = lambda source, target, message: None
        rival = await answer(registers.members["b"], 7, 0, b"rival")
        return rival, await answer(registers.members["c"], 7, 0), await answer(registers.members["b"], 7, 0)

    rival, *again = play(scene)
    assert sorted({rival, *again}) == [200, 412] and len(set(again)) == 1
    if reached == "bc":
        assert rival == 412, "a majority held the order before its rival came"


@pytest.mark.parametrize(("proposer", "silent"), [("a", "bc"), ("b", "ac"), ("c", "ab")])
def test_an_order_is_acknowledged_only_after_a_majority_has_synced(proposer, silent):
    """Two disks promise, and never return from the write of what was accepted: no majority holds the order on disk."""

    async def scene(registers):
        def on_call(source, target, message):
            if message["type"] == "register.accept":
                for name in silent:
                    registers.disks[name].stalls = True

        registers.network.on_call = on_call
        outcome = await answer(registers.members[proposer], 7, 0)
        for name in "abc":
            registers.disks[name].stalls = False
            await registers.restart(name)
        registers.network.on_call = lambda source, target, message: None
        return outcome, await answer(registers.members["b"], 7, 0)

    assert play(scene) == (503, 200)


# Many at once


def test_eight_orders_under_way_at_three_processes_are_each_answered_in_time_and_one_wins():
    async def scene(registers):
        clock = asyncio.get_running_loop().time
        began_s = clock()
        answers = await asyncio.gather(
            *(answer(registers.members["abc"[n % 3]], 7 + n, 0, b"order %d" % n) for n in range(8))
        )
        took_s = clock() - began_s
        return answers, took_s, orders_taken(await registers.members["a"].propose(read, WAIT_S))

    answers, took_s, taken = play(scene)
    assert answers.count(200) == 1 and set(answers) == {200, 412}
    assert taken == 1 and took_s <= ANSWER_S


def test_orders_that_wait_behind_one_that_is_stuck_are_answered_in_time_and_were_never_proposed():
    """Proposals of one process take turns. Those still waiting when their time is over get no clear answer; nothing
    was sent for them, and each is taken once when it comes again."""

    async def scene(registers):
        registers.network.cut("a")
        clock = asyncio.get_running_loop().time
        began_s = clock()
        answers = await asyncio.gather(*(answer(registers.members["a"], 7 + n, 0, b"order %d" % n) for n in range(8)))
        took_s = clock() - began_s
        registers.network.join()
        member = registers.members["a"]
        after = [await answer(member, 7 + n, 0, b"order %d" % n) for n in range(8)]
        return answers, took_s, after

    answers, took_s, after = play(scene)
    assert set(answers) == {503} and took_s == pytest.approx(ANSWER_S, abs=0.01)
    assert after.count(200) == 1 and set(after) == {200, 412}


def test_an_order_that_ran_out_of_time_with_its_accepts_under_way_is_acknowledged_when_it_comes_again():
    async def scene(registers):
        for name in "bc":
            registers.disks[name].delay_s = 0.5
        first = await answer(registers.members["a"], 7, 0)
        for name in "bc":
            registers.disks[name].delay_s = 0.0
        await asyncio.sleep(1.0)
        return first, await answer(registers.members["b"], 7, 0), orders_taken(registers.members["b"].chosen)

    assert play(scene) == (503, 200, 1)


def test_a_refusal_given_for_a_value_that_was_never_chosen_is_kept_back():
    """One member accepted a rival that no majority holds. Where that value must be finished first, the order is
    refused for the chosen rival; where it isn't met, the order is taken: never both, never neither."""

    async def scene(registers, meets):
        def on_call(source, target, message):
            if message["type"] == "register.accept" and source == "a":
                raise RpcError("connect", target)

        registers.network.on_call = on_call
        assert await answer(registers.members["a"], 7, 0, b"rival", 0.1) == 503
        registers.network.on_call = lambda source, target, message: None
        registers.network.down = {"c"} if meets else {"a"}
        first = await answer(registers.members["b"], 7, 0, b"order")
        registers.network.down = {"a"}
        return first, await answer(registers.members["c"], 7, 0, b"order")

    assert play(lambda registers: scene(registers, True)) == (412, 412)
    assert play(lambda registers: scene(registers, False)) == (200, 200)


# Orders to empty a machine


def retire(name):
    return start_retirement(name, 2)


@pytest.mark.parametrize("reached", ["", "b", "c", "bc"])
def test_an_order_to_empty_a_machine_whose_answer_was_lost_is_under_way_once_when_it_comes_again(reached):
    async def scene(registers):
        stores = {name: name for name in "abc"}
        names = {name: f"machine-{name}" for name in "abc"}
        await registers.members["a"].propose(on_version(0, begin_stores(stores, names)), WAIT_S)

        def on_call(source, target, message):
            if message["type"] == "register.accept" and source == "a" and target not in reached:
                raise RpcError("connect", target)

        registers.network.on_call = on_call
        registers.disks["a"].stalls = True
        order = asyncio.ensure_future(registers.members["a"].propose(retire("machine-b"), WAIT_S))
        await asyncio.sleep(0.02)
        registers.network.down.add("a")
        order.cancel()
        registers.network.on_call = lambda source, target, message: None
        states = [await registers.members[name].propose(retire("machine-b"), WAIT_S) for name in "bcb"]
        with pytest.raises(TooFewWouldRemain):
            await registers.members["c"].propose(retire("machine-c"), WAIT_S)
        with pytest.raises(UnknownMachine):
            await registers.members["c"].propose(retire("machine-x"), WAIT_S)
        return [state["retiring"] for state in states]

    assert play(scene) == [["machine-b"]] * 3
