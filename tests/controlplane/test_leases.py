"""Sender leases and the relay tree derived from them."""

import random

import pytest

from dewpin.controlplane.membership.leases import (
    LEASE_CYCLES,
    LEASE_PERIODS,
    RELAY_FAN_OUT,
    RELEASE_RETENTION_S,
    LeaseTable,
)

PERIOD_S = 0.4


def lease_table(count, now_s=0.0):
    table = LeaseTable(PERIOD_S)
    for number in range(count):
        table.renew(f"sender-{number}", f"10.0.0.{number}:1", "east", now_s)
    return table


def test_lease_expires_without_renewal():
    table = lease_table(2)
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
    table = lease_table(2)
    table.release("sender-1", 0.0)
    table.release("unknown", 0.0)
    assert [lease.sender for lease in table.live(0.0)] == ["sender-0"]


def test_renewal_after_release_has_no_effect():
    table = lease_table(2)
    table.release("sender-1", 1.0)
    table.renew("sender-1", "10.0.0.1:1", "east", 1.5)
    assert [lease.sender for lease in table.live(1.5)] == ["sender-0"]
    assert table.parents("sender-1", 1.5) == []
    table.release("sender-1", 1.0 + RELEASE_RETENTION_S)  # repeating a release does not extend its retention
    table.renew("sender-1", "10.0.0.1:1", "east", 1.0 + RELEASE_RETENTION_S)
    assert [lease.sender for lease in table.live(1.0 + RELEASE_RETENTION_S)] == ["sender-1"]  # the release has expired


@pytest.mark.parametrize("count", [1, 2, 4, 5, 20, 21, 85, 200])
def test_relay_tree_has_no_cycles_and_bounded_fan_out(count):
    table = lease_table(count)
    address = {f"sender-{number}": f"10.0.0.{number}:1" for number in range(count)}
    children, roots = {}, 0
    for sender, own_address in address.items():
        ancestors = table.parents(sender, 0.0)
        assert own_address not in ancestors and len(ancestors) == len(set(ancestors))
        if not ancestors:
            roots += 1
            continue
        children.setdefault(ancestors[0], set()).add(own_address)
        parent = next(name for name, other_address in address.items() if other_address == ancestors[0])
        assert table.parents(parent, 0.0) == ancestors[1:]
    assert roots == min(count, RELAY_FAN_OUT)
    assert all(len(child_addresses) <= RELAY_FAN_OUT for child_addresses in children.values())


def test_relay_tree_is_independent_of_renewal_order():
    ascending, descending = lease_table(30), LeaseTable(PERIOD_S)
    for number in reversed(range(30)):
        descending.renew(f"sender-{number}", f"10.0.0.{number}:1", "east", 0.0)
    senders = [f"sender-{number}" for number in range(30)]
    assert [ascending.parents(sender_id, 0.0) for sender_id in senders] == [
        descending.parents(sender_id, 0.0) for sender_id in senders
    ]


def test_sender_without_lease_has_no_parents():
    assert lease_table(30).parents("unknown", 0.0) == []


def test_relay_tree_depends_only_on_remaining_leases():
    """Random renewals, releases and expiries. A sender that released its lease returns under another id."""
    rng, table, expected_expiry_s, incarnations = random.Random(3), LeaseTable(PERIOD_S), {}, [0] * 60
    now_s = 0.0
    for _ in range(3000):
        now_s += rng.uniform(0.0, 0.1)
        number = rng.randrange(60)
        sender = f"sender-{number}/{incarnations[number]}"
        if rng.random() < 0.2:
            table.release(sender, now_s)
            incarnations[number] += 1
            expected_expiry_s.pop(sender, None)
        else:
            grantors = rng.choice([1, 3, 5])
            table.renew(sender, f"{sender}:1", "east", now_s, grantors)
            expected_expiry_s[sender] = now_s + table.duration_s(grantors)
        expected_expiry_s = {sender_id: end_s for sender_id, end_s in expected_expiry_s.items() if end_s > now_s}
        assert table.count(now_s) == len(expected_expiry_s)
    assert {lease.sender for lease in table.live(now_s)} == set(expected_expiry_s)
    remaining = LeaseTable(PERIOD_S)
    for sender_id in expected_expiry_s:
        remaining.renew(sender_id, f"{sender_id}:1", "east", now_s)
    assert [table.parents(sender_id, now_s) for sender_id in expected_expiry_s] == [
        remaining.parents(sender_id, now_s) for sender_id in expected_expiry_s
    ]
    assert len(expected_expiry_s) > 2 * RELAY_FAN_OUT
