"""Leases of senders, and the relay tree that is drawn from them."""

import random

import pytest

from dewpin.controlplane.membership.leases import (
    LEASE_CYCLES,
    LEASE_PERIODS,
    RELAY_FAN_OUT,
    RELEASE_MEMORY_S,
    LeaseTable,
)

PERIOD_S = 0.4


def table_of(count, now_s=0.0):
    table = LeaseTable(PERIOD_S)
    for number in range(count):
        table.renew(f"sender-{number}", f"10.0.0.{number}:1", "east", now_s)
    return table


def test_lease_expires_without_renewal():
    table = table_of(2)
    end_s = PERIOD_S * LEASE_PERIODS
    table.renew("sender-0", "10.0.0.0:1", "east", end_s / 2)
    assert [lease.sender for lease in table.live(end_s)] == ["sender-0"]
    assert table.live(1.5 * end_s) == []


def test_lease_duration_grows_with_grantors():
    grantors = 3 * LEASE_PERIODS
    table = LeaseTable(PERIOD_S)
    table.renew("sender-0", "10.0.0.0:1", "east", 0.0, grantors)
    assert table.live((LEASE_CYCLES - 0.5) * grantors * PERIOD_S)


def test_released_lease_is_removed():
    table = table_of(2)
    table.release("sender-1", 0.0)
    table.release("unknown", 0.0)
    assert [lease.sender for lease in table.live(0.0)] == ["sender-0"]


def test_renewal_after_release_has_no_effect():
    table = table_of(2)
    table.release("sender-1", 1.0)
    table.renew("sender-1", "10.0.0.1:1", "east", 1.5)
    assert [lease.sender for lease in table.live(1.5)] == ["sender-0"]
    assert table.parents("sender-1", 1.5) == []
    table.release("sender-1", 1.0 + RELEASE_MEMORY_S)  # again: the first one counts, and has counted for long enough
    table.renew("sender-1", "10.0.0.1:1", "east", 1.0 + RELEASE_MEMORY_S)
    assert [lease.sender for lease in table.live(1.0 + RELEASE_MEMORY_S)] == ["sender-1"]  # nothing is kept for ever


@pytest.mark.parametrize("count", [1, 2, 4, 5, 20, 21, 85, 200])
def test_relay_tree_has_no_cycles_and_bounded_fan_out(count):
    table = table_of(count)
    address = {f"sender-{number}": f"10.0.0.{number}:1" for number in range(count)}
    children, tops = {}, 0
    for sender, own in address.items():
        above = table.parents(sender, 0.0)
        assert own not in above and len(above) == len(set(above))
        if not above:
            tops += 1
            continue
        children.setdefault(above[0], set()).add(own)
        parent = next(name for name, there in address.items() if there == above[0])
        assert table.parents(parent, 0.0) == above[1:]
    assert tops == min(count, RELAY_FAN_OUT)
    assert all(len(below) <= RELAY_FAN_OUT for below in children.values())


def test_relay_tree_is_independent_of_renewal_order():
    forward, backward = table_of(30), LeaseTable(PERIOD_S)
    for number in reversed(range(30)):
        backward.renew(f"sender-{number}", f"10.0.0.{number}:1", "east", 0.0)
    senders = [f"sender-{number}" for number in range(30)]
    assert [forward.parents(one, 0.0) for one in senders] == [backward.parents(one, 0.0) for one in senders]


def test_sender_without_lease_has_no_parents():
    assert table_of(30).parents("unknown", 0.0) == []


def test_relay_tree_depends_only_on_remaining_leases():
    """Renewed, released, ended and granted anew in any order; whoever released comes back under another id."""
    dice, table, alive, lives = random.Random(3), LeaseTable(PERIOD_S), {}, [0] * 60
    now_s = 0.0
    for _ in range(3000):
        now_s += dice.uniform(0.0, 0.1)
        number = dice.randrange(60)
        sender = f"sender-{number}/{lives[number]}"
        if dice.random() < 0.2:
            table.release(sender, now_s)
            lives[number] += 1
            alive.pop(sender, None)
        else:
            grantors = dice.choice([1, 3, 5])
            table.renew(sender, f"{sender}:1", "east", now_s, grantors)
            alive[sender] = now_s + table.duration_s(grantors)
        alive = {one: end_s for one, end_s in alive.items() if end_s > now_s}
        assert table.count(now_s) == len(alive)
    assert {lease.sender for lease in table.live(now_s)} == set(alive)
    alone = LeaseTable(PERIOD_S)
    for one in alive:
        alone.renew(one, f"{one}:1", "east", now_s)
    assert [table.parents(one, now_s) for one in alive] == [alone.parents(one, now_s) for one in alive]
    assert len(alive) > 2 * RELAY_FAN_OUT
