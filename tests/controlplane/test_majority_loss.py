"""The log of a lost majority: when it is written and which members it names."""

from dewpin.controlplane.membership.majority_loss import (
    LOG_INTERVAL_S,
    LOSS_TIMEOUT_S,
    MajorityLossLog,
    MissingMembers,
    missing_members,
)
from dewpin.controlplane.membership.peers import PeerDescription, PeerTable

STATE = {
    "members": {"a": "a:1", "b": "b:1", "c": "c:1"},
    "former_members": {"a": "a:1", "b": "b:1", "d": "d:1"},
    "names": {"a": "machine-a", "b": "machine-b", "c": "machine-c"},
}


def description(member, name):
    return PeerDescription(
        id=member,
        name=name,
        address=f"{member}:1",
        serves_control=True,
        serves_store=True,
        version=1,
        synced_epoch=0,
        is_leaving=False,
        is_bootstrap=False,
        has_list_failed=False,
    )


def heard_peers(now_s, *heard):
    peers = PeerTable()
    for member, name in heard:
        peers.record_received(description(member, name), now_s)
    return peers


def test_missing_members_are_separated_by_whether_their_disk_is_lost():
    peers = heard_peers(10.0, ("B", "machine-b"))
    missing = missing_members(STATE, "a", peers, 10.0)
    assert missing.without_disk == ("b (machine-b)",)
    assert missing.silent == ("c (machine-c)", "d (unknown machine)")


def test_members_heard_from_are_not_missing():
    peers = heard_peers(10.0, ("b", "machine-b"), ("c", "machine-c"), ("d", "machine-d"))
    assert missing_members(STATE, "a", peers, 10.0) == MissingMembers((), ())


def test_loss_is_logged_after_timeout_at_limited_rate():
    log, peers = MajorityLossLog(0.0), PeerTable()
    logged = [
        at_s
        for at_s in range(0, 100)
        if log.update(STATE, "a", peers, has_contact=at_s < 20, now_s=float(at_s)) is not None
    ]
    first_s = 19 + LOSS_TIMEOUT_S
    assert logged == [first_s, first_s + LOG_INTERVAL_S, first_s + 2 * LOG_INTERVAL_S]


def test_loss_after_regained_contact_is_logged_without_waiting_for_the_interval():
    log, peers = MajorityLossLog(0.0), PeerTable()
    assert log.update(STATE, "a", peers, False, 6.0) is not None
    assert log.update(STATE, "a", peers, True, 7.0) is None
    assert log.update(STATE, "a", peers, False, 7.0 + LOSS_TIMEOUT_S) is not None
